"""Retries of the load driver after requests without a response."""

import asyncio
import pathlib

import testtools

from loadtool import client
from loadtool import drive
from loadtool import layout


def node(name):
    return layout.Node(name, "zone", "entry", name, "peer", pathlib.Path())


class RecordingClient:
    """Records requests; those to instances that are down get no response."""

    def __init__(self, down):
        self.down = down
        self.addresses = []

    async def post(self, address, path, body, **options):
        self.addresses.append(address)
        return client.Response(0 if address in self.down else 200, {})


class Target:
    entries = (node("e1"), node("e2"), node("e3"))


class RetryTest(testtools.TestCase):
    def _send(self, seed, down, key="key"):
        driver = drive.Driver(
            target=Target(),
            shape=drive.LoadShape(rate=1.0),
            seconds=1,
            seed=seed,
        )
        self.patch(drive, "RETRY_DELAY_S", 0.0)
        recording = driver._client = RecordingClient(down)
        response = asyncio.run(driver._post(key, ({},), False, True, 0.0, 0))
        return response.status, recording.addresses

    def test_unanswered_request_is_retried_on_another_instance(self):
        for seed in range(40):
            status, addresses = self._send(seed, {"e1", "e2"})
            self.assertEqual(200, status)
            self.assertEqual(len(addresses), len(set(addresses)))

    def test_request_without_key_that_is_not_idempotent_is_sent_once(self):
        statuses = set()
        for seed in range(40):
            status, addresses = self._send(seed, {"e1", "e2"}, key=None)
            statuses.add(status)
            self.assertEqual(1, len(addresses))
        self.assertEqual({0, 200}, statuses)

    def test_unresponsive_instances_are_retried_when_none_is_left(self):
        status, addresses = self._send(1, {"e1", "e2", "e3"})
        self.assertEqual(0, status)
        self.assertEqual(drive.MAX_ATTEMPTS, len(addresses))
