"""Orders of the platform for zones are translated to the control host."""

import json

import testtools

from chervilwheel import clock
from chervilwheel import errors
from chervilwheel import guard
from chervilwheel import metrics
from chervilwheel.http import server
from tests import adapter

controlapi = adapter.load("controlapi")


class _Control:
    """A control host with one zone that records orders."""

    def __init__(self):
        self.orders = []
        self.done = None
        self.is_abandoned = None

    def order_zone(self, zone, *, is_evacuated, origin, done, is_abandoned):
        if zone != "north 1":
            raise errors.InvalidRequest("unknown zone")
        self.orders.append((zone, is_evacuated, origin))
        self.done = done
        self.is_abandoned = is_abandoned


class _Conn:
    def __init__(self):
        self.responses = []

    def finish_exchange(self, response):
        self.responses.append(response)


class ZoneOrderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.control = _Control()
        self.api = controlapi.ControlApi(
            control=self.control,
            registry=metrics.Registry(),
            clk=clock.ManualClock(),
        )

    def call(self, target, *, method="POST", body=b""):
        """Make a call; return the list that its response is added to."""
        conn = _Conn()
        request = guard.Request(
            method=method,
            target=target,
            headers={},
            body=body,
            keep_alive=True,
        )
        self.exchange = server.Exchange(request=request, conn=conn)
        self.api.handle(self.exchange)
        return conn.responses

    def assert_error(self, status, responses):
        (response,) = responses
        self.assertEqual(status, response.status)
        self.assertIsInstance(json.loads(response.body)["error"], str)

    def test_start_and_finish_are_orders(self):
        self.call("/v1/evacuations/north%201/start")
        self.call("/v1/evacuations/north%201/finish")
        self.assertEqual(
            [("north 1", True, "platform"), ("north 1", False, "platform")],
            self.control.orders,
        )

    def test_an_order_is_acknowledged_once_it_is_durable(self):
        responses = self.call("/v1/evacuations/north%201/start")
        self.assertEqual([], responses)
        self.control.done(True)
        self.assertEqual(200, responses[0].status)

    def test_an_order_that_may_not_be_durable_is_an_error(self):
        responses = self.call("/v1/evacuations/north%201/start")
        self.control.done(False)
        self.assert_error(503, responses)

    def test_an_order_is_abandoned_once_the_client_has_disconnected(self):
        self.call("/v1/evacuations/north%201/start")
        self.assertFalse(self.control.is_abandoned())
        self.exchange.has_responded = True
        self.assertTrue(self.control.is_abandoned())

    def test_invalid_calls_are_errors(self):
        for status, call in (
            (422, {"target": "/v1/evacuations/south/start"}),
            (422, {"target": "/v1/evacuations/%ff/start"}),
            (404, {"target": "/v1/evacuations/north%201/stop"}),
            (404, {"target": "/v1/evacuations/start"}),
            (400, {"target": "/v1/evacuations/north%201/start", "body": b"x"}),
            (
                405,
                {"target": "/v1/evacuations/north%201/start", "method": "GET"},
            ),
        ):
            self.assert_error(status, self.call(**call))
        self.assertEqual([], self.control.orders)
