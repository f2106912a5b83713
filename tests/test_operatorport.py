"""Operators' requests and commands against a real port, with fake zones."""

import contextlib
import io
import json
import os
import signal
import socket
import sys
import threading
import time
import unittest.mock

import testtools

from chervilwheel import addresses
from chervilwheel import commands
from chervilwheel import errors
from chervilwheel import guard
from chervilwheel import ids
from chervilwheel import zonecommands
from chervilwheel.control import evacuations
from chervilwheel.control import nodesettings
from chervilwheel.control import operatorport
from chervilwheel.control import runtime
from chervilwheel.http import server

HOST = "127.0.0.1"
OTHER_HOST = "127.0.0.2"
TOKEN = "operators-token"
ZONES = ("east", "north", "west")
AT_MS = 1_700_000_000_123
DEADLINE_S = 10.0


class FakeZones(operatorport.ZoneControl):
    """Zones without replication.

    :param heap: timers
    :ivar orders: the accepted orders: zone, is_evacuated, origin
    :ivar is_durable: whether orders become durable
    :ivar is_quorum_reachable: whether reads succeed
    :ivar reads: number of reads
    :ivar on_read: called at the begin of each read
    """

    zones = evacuations.ZoneTable(0, (), ())
    holder = ids.InstanceId(HOST)

    def __init__(self, heap):
        self.orders = []
        self.is_durable = True
        self.is_quorum_reachable = True
        self.runs = {}
        self.reads = 0
        self.on_read = lambda: None
        self._heap = heap

    def runs_by_zone(self):
        """Return the runs that a test has set."""
        return self.runs

    def order_zone(
        self, zone, *, is_evacuated, origin, done, is_abandoned=lambda: False
    ):
        """Apply an order in the next turn of the loop."""
        if zone not in ZONES:
            raise errors.InvalidRequest("unknown zone")

        def begin():
            if is_abandoned():
                done(False)
                return
            self.orders.append((zone, is_evacuated, origin))
            if self.is_durable:
                self.apply(zone, is_evacuated=is_evacuated, origin=origin)
            self._heap.call_later(0.001, lambda: done(self.is_durable))

        self._heap.call_later(0.0, begin)

    def read_zones(self, done):
        """Pass the table on, None without a quorum."""
        self.reads += 1
        self.on_read()
        table = self.zones if self.is_quorum_reachable else None
        self._heap.call_later(0.001, lambda: done(table))

    def apply(self, zone, *, is_evacuated, origin):
        """Change the table."""
        revision, rows, audit = self.zones
        previous = [row.revision for row in rows if row.zone == zone]
        row = evacuations.ZoneRow(
            zone, sum(previous) + 1, is_evacuated, AT_MS, origin
        )
        entry = evacuations.AuditEntry(
            revision + 1, zone, is_evacuated, AT_MS, origin
        )
        others = tuple(each for each in rows if each.zone != zone)
        self.zones = evacuations.ZoneTable(
            revision + 1, (*others, row), (*audit, entry)
        )


def settings(port, **options):
    """Return settings of a control host."""
    fields = {
        "name": "control-1",
        "role": "control",
        "host": HOST,
        "zone": ids.ZoneId("north"),
        "zones": ZONES,
        "listen": {},
        "seeds": (),
        "peer_port": 0,
        "is_founding": False,
        "data_folder": "",
        "disk_losses": 1,
        "drain_s": 6.0,
        "max_lease_s": 1.0,
        "stop_s": 0.05,
        "heartbeat_s": 1.5,
        "metrics_port": port,
        "operator_token": TOKEN,
    }
    return nodesettings.NodeSettings(**{**fields, **options})


class PortTest(testtools.TestCase):
    """A control host's runtime, ticked by the test."""

    def setUp(self):
        super().setUp()
        previous = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, previous)
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.port = probe.getsockname()[1]
        self.open()

    def open(self, **options):
        """Start to listen; the options replace settings."""
        cfg = settings(self.port, **options)
        self.node = runtime.Runtime(cfg=cfg)
        self.addCleanup(self.node._stack.close)
        # tick() polls only while the component counts as running.
        self.node._running = True
        self.zones = FakeZones(self.node.heap)
        self.connect(self.zones)
        self.node._serve_metrics()

    def connect(self, zones):
        """Serve operators' requests."""
        self.operators = operatorport.OperatorPort(
            cfg=self.node.cfg, control=zones
        )
        self.node.on_operator_request = self.operators.handle

    def reopen(self, **options):
        """Start again with other settings."""
        self.node._stack.close()
        self.open(**options)

    def tick_until(self, condition):
        deadline = time.monotonic() + DEADLINE_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, "not met in time")
            self.node.tick(timeout=0.005)

    def call(self, method, path, *, token=TOKEN, body=b""):
        """Send a request; returns its status, headers and body."""
        lines = [f"{method} {path} HTTP/1.1", "Host: x", "Connection: close"]
        if token:
            lines.append(f"Authorization: Bearer {token}")
        lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        received = bytearray()
        with socket.create_connection((HOST, self.port)) as sock:
            sock.sendall(data)
            sock.setblocking(False)

            def is_closed():
                try:
                    chunk = sock.recv(65536)
                except BlockingIOError:
                    return False
                received.extend(chunk)
                return not chunk

            self.tick_until(is_closed)
        head, _, content = bytes(received).partition(b"\r\n\r\n")
        status, *header_lines = head.decode().split("\r\n")
        headers = dict(line.split(": ") for line in header_lines)
        return int(status.split()[1]), headers, content.decode()

    def call_json(self, method, path, **options):
        """Send a request; returns its status and JSON body."""
        status, _, content = self.call(method, path, **options)
        return status, json.loads(content)


class OperatorPortTest(PortTest):
    """Requests of operators."""

    def test_metrics_are_served_as_before_and_without_a_token(self):
        status, headers, content = self.call("GET", "/metrics", token="")
        self.assertEqual(200, status)
        self.assertEqual("text/plain", headers["Content-Type"])
        self.assertIn("peer_links", content)

    def test_a_host_without_operators_requests_does_not_acknowledge_any(self):
        # An entry host must not answer an order with its metrics and 200.
        self.node.on_operator_request = runtime._respond_not_found
        status, _ = self.call_json("POST", "/v1/zones/north/evacuate")
        self.assertEqual(404, status)
        self.assertEqual(200, self.call("GET", "/metrics")[0])

    def test_all_zones_of_the_settings_are_listed(self):
        self.zones.apply("west", is_evacuated=True, origin="someone")
        self.zones.runs = {"north": 3, "west": 0}
        status, body = self.call_json("GET", "/v1/zones", token="")
        self.assertEqual(200, status)
        self.assertEqual(1, body["revision"])
        self.assertTrue(body["is_confirmed"])
        self.assertEqual(
            [
                ("east", "open", 0, None, "", None, HOST),
                ("north", "open", 0, None, "", 3, HOST),
                (
                    "west",
                    "evacuated",
                    1,
                    "2023-11-14T22:13:20.123Z",
                    "someone",
                    0,
                    HOST,
                ),
            ],
            [tuple(row.values()) for row in body["zones"]],
        )
        self.assertEqual(
            [
                "zone",
                "state",
                "revision",
                "changed_at",
                "origin",
                "runs",
                "holder",
            ],
            list(body["zones"][0]),
        )

    def test_an_ordered_zone_that_left_the_settings_is_listed(self):
        self.zones.apply("south", is_evacuated=True, origin="someone")
        _, body = self.call_json("GET", "/v1/zones")
        names = [row["zone"] for row in body["zones"]]
        self.assertEqual([*ZONES, "south"], names)

    def test_without_a_quorum_the_list_is_marked_and_has_no_runs(self):
        # A former leader must not show the runs of a zone as ended.
        self.zones.apply("west", is_evacuated=True, origin="someone")
        self.zones.runs = {"west": 0}
        self.zones.is_quorum_reachable = False
        _, body = self.call_json("GET", "/v1/zones")
        self.assertFalse(body["is_confirmed"])
        self.assertEqual("evacuated", body["zones"][2]["state"])
        self.assertIsNone(body["zones"][2]["runs"])
        _, body = self.call_json("GET", "/v1/zones/audit")
        self.assertFalse(body["is_confirmed"])
        self.assertEqual(1, len(body["changes"]))

    def test_orders_are_answered_with_the_row_and_recorded(self):
        status, row = self.call_json("POST", "/v1/zones/north/evacuate")
        self.assertEqual((200, "evacuated"), (status, row["state"]))
        self.assertEqual(("north", 1), (row["zone"], row["revision"]))
        status, row = self.call_json("POST", "/v1/zones/north/restore")
        self.assertEqual((200, "open"), (status, row["state"]))
        origin = f"operator/{HOST}"
        self.assertEqual(
            [("north", True, origin), ("north", False, origin)],
            self.zones.orders,
        )
        _, body = self.call_json("GET", "/v1/zones/audit", token="")
        self.assertEqual(
            [(1, "north", "evacuated"), (2, "north", "open")],
            [tuple(row.values())[:3] for row in body["changes"]],
        )

    def test_orders_need_the_token(self):
        for token in ("", "other", TOKEN + "x", TOKEN[:-1]):
            status, body = self.call_json(
                "POST", "/v1/zones/north/evacuate", token=token
            )
            self.assertEqual((401, "unauthorized"), (status, body["title"]))
        self.assertEqual([], self.zones.orders)

    def test_an_empty_setting_forbids_orders_with_any_token(self):
        self.reopen(operator_token="")
        for token in ("", TOKEN):
            status, body = self.call_json(
                "POST", "/v1/zones/north/restore", token=token
            )
            self.assertEqual((403, "forbidden"), (status, body["title"]))
        self.assertEqual([], self.zones.orders)
        self.assertEqual(200, self.call("GET", "/v1/zones")[0])

    def test_invalid_orders_change_nothing(self):
        evacuate = "/v1/zones/north/evacuate"
        for method, path, body, expected in (
            ("POST", "/v1/zones/south/evacuate", b"", 404),
            ("POST", "/v1/zones/north%2F/evacuate", b"", 404),
            ("POST", "/v1/zones/north/close", b"", 404),
            ("POST", "/v1/zones//evacuate", b"", 404),
            ("GET", "/v1/other", b"", 404),
            ("POST", evacuate, b"{}", 400),
            ("GET", evacuate, b"", 405),
            ("DELETE", evacuate, b"", 405),
            ("PUT", "/v1/zones", b"", 405),
            ("POST", "/v1/zones/audit", b"", 405),
            ("POST", "/metrics", b"", 405),
        ):
            status, problem = self.call_json(method, path, body=body)
            self.assertEqual(
                (expected, expected), (status, problem["status"]), path
            )
        self.assertEqual([], self.zones.orders)

    def test_the_allowed_method_is_named(self):
        for method, path in (("GET", "/v1/zones"), ("GET", "/metrics")):
            status, headers, _ = self.call("PUT", path)
            self.assertEqual((405, method), (status, headers["Allow"]))

    def test_a_refused_order_does_not_show_whether_its_zone_exists(self):
        statuses = {
            self.call("POST", f"/v1/zones/{zone}/evacuate", token="no")[0]
            for zone in ("north", "south")
        }
        self.assertEqual({401}, statuses)

    def test_an_order_that_is_not_durable_is_to_be_repeated(self):
        self.zones.is_durable = False
        status, headers, content = self.call(
            "POST", "/v1/zones/north/evacuate"
        )
        self.assertEqual((503, "1"), (status, headers["Retry-After"]))
        self.assertEqual("not-durable", json.loads(content)["title"])

    def test_a_durable_order_whose_row_is_unknown_is_to_be_repeated(self):
        # This host may not have applied the order that the leader committed.
        self.zones.is_quorum_reachable = False
        with unittest.mock.patch.object(self.zones, "apply"):
            status, _ = self.call_json("POST", "/v1/zones/north/evacuate")
        self.assertEqual(503, status)
        status, row = self.call_json("POST", "/v1/zones/north/evacuate")
        self.assertEqual((200, "evacuated"), (status, row["state"]))

    def test_the_row_shows_the_order_that_came_after(self):
        self.zones.on_read = lambda: self.zones.apply(
            "north", is_evacuated=False, origin="someone"
        )
        status, row = self.call_json("POST", "/v1/zones/north/evacuate")
        self.assertEqual((200, "open"), (status, row["state"]))
        self.assertEqual("someone", row["origin"])

    def test_an_order_whose_client_has_disconnected_does_not_begin(self):
        # A paused host reads it when it resumes, after later orders.
        request = (
            "POST /v1/zones/north/evacuate HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {TOKEN}\r\n\r\n"
        ).encode()
        with socket.create_connection((HOST, self.port)) as sock:
            sock.sendall(request)
        for _ in range(20):
            self.node.tick(timeout=0.005)
        self.assertEqual([], self.zones.orders)

    def test_the_token_is_not_logged(self):
        with self.assertLogs() as logs:
            self.call("POST", "/v1/zones/north/evacuate")
            self.call("POST", "/v1/zones/north/evacuate", token="wrong")
        fields = [str(record.__dict__) for record in logs.records]
        self.assertIn("without a valid token", "".join(fields))
        for secret in (TOKEN, "wrong"):
            self.assertNotIn(secret, "".join(fields))


class CommandTest(PortTest):
    """Commands run in a thread while the test ticks the control host."""

    def setUp(self):
        super().setUp()
        patch = unittest.mock.patch.object
        for patcher in (
            patch(zonecommands, "POLL_INTERVAL_S", 0.01),
            patch(zonecommands, "TIMEOUT_S", 0.5),
        ):
            patcher.start()
            self.addCleanup(patcher.stop)

    def run_command(self, *args, address=None, token=TOKEN):
        """Run a command; returns its exit code, output and errors."""
        codes = []
        environment = {
            "CHERVILWHEEL_SERVER": address or f"{HOST}:{self.port}",
            "CHERVILWHEEL_TOKEN": token,
            "COLUMNS": "200",
        }

        def run():
            try:
                commands.main()
                codes.append(0)
            except SystemExit as exc:
                codes.append(exc.code or 0)

        out, err = io.StringIO(), io.StringIO()
        argv = ["chervilwheel", "zone", *args]
        with (
            unittest.mock.patch.dict(os.environ, environment),
            unittest.mock.patch.object(sys, "argv", argv),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            thread = threading.Thread(target=run)
            thread.start()
            self.tick_until(lambda: not thread.is_alive())
        return codes[0], out.getvalue(), err.getvalue()

    def serve_other(self, zones):
        """Serve the same port on another host."""
        front = server.HttpServer(
            loop=self.node.loop,
            heap=self.node.heap,
            limits=guard.Limits(header_bytes=8_192, body_bytes=1_024),
            timeouts=server.Timeouts(),
            handler=operatorport.OperatorPort(
                cfg=self.node.cfg, control=zones
            ).handle,
            budget=self.node.connections,
        )
        front.listen(addresses.Address(OTHER_HOST, self.port))

    def test_zones_are_ordered_listed_and_audited(self):
        code, out, err = self.run_command("evacuate", "north", "--json")
        self.assertEqual((0, ""), (code, err))
        self.assertEqual("evacuated", json.loads(out)["state"])
        code, out, _ = self.run_command("list")
        self.assertEqual(0, code)
        for text in ("east", "north", "west", "evacuated", "open", HOST):
            self.assertIn(text, out)
        self.assertNotIn("None", out)
        code, out, _ = self.run_command("restore", "north")
        self.assertEqual(0, code)
        self.assertIn("open", out)
        code, out, _ = self.run_command("audit", "--json")
        self.assertEqual(0, code)
        changes = json.loads(out)["changes"]
        self.assertEqual([1, 2], [row["revision"] for row in changes])

    def test_failures_have_exit_codes_and_hints(self):
        for args, options, expected, hint in (
            (("evacuate", "south"), {}, 1, "zone list"),
            (("evacuate", "north"), {"token": "x"}, 5, "operator_token"),
            (("list",), {"address": "127.0.0.1:9"}, 4, "metrics port"),
            (("restore", "east"), {"address": "127.0.0.1:9"}, 4, "repeat"),
            (("list",), {"address": "127.0.0.1"}, 1, "host:port"),
            (("close", "north"), {}, 2, ""),
        ):
            code, _, err = self.run_command(*args, **options)
            self.assertEqual(expected, code, err)
            self.assertIn(hint, err)
        self.zones.is_durable = False
        code, out, err = self.run_command("evacuate", "north", "--json")
        self.assertEqual(4, code)
        self.assertEqual("not-durable", json.loads(out)["title"])
        self.assertIn("repeat", err)
        self.reopen(operator_token="")
        code, _, err = self.run_command("evacuate", "north")
        self.assertEqual(5, code)
        self.assertIn("set operator_token", err)

    def test_an_order_that_was_replaced_is_reported(self):
        self.zones.on_read = lambda: self.zones.apply(
            "north", is_evacuated=False, origin="someone"
        )
        code, _, err = self.run_command("evacuate", "north")
        self.assertEqual(5, code)
        self.assertIn("someone", err)

    def test_a_host_that_answers_with_metrics_is_no_success(self):
        # A host of the version before serves its metrics under every path.
        self.node.on_operator_request = lambda exchange: exchange.respond(
            server.Response(200, b"peer_links 1\n", content_type="text/plain")
        )
        code, _, err = self.run_command("evacuate", "north")
        self.assertEqual(1, code)
        self.assertIn("control host", err)

    def test_a_list_that_no_quorum_confirmed_is_marked(self):
        self.zones.is_quorum_reachable = False
        for command in ("list", "audit"):
            code, _, err = self.run_command(command)
            self.assertEqual(0, code)
            self.assertIn("outdated", err)

    def test_waiting_ends_when_no_run_is_left(self):
        remaining = [5, 5, 2, 0]

        def count_runs():
            self.zones.runs = {"north": remaining.pop(0)}

        self.zones.on_read = count_runs
        code, out, err = self.run_command(
            "evacuate", "north", "--wait", "--json"
        )
        self.assertEqual((0, []), (code, remaining))
        self.assertEqual(0, json.loads(out)["runs"])
        self.assertEqual(
            [f"zone north: runs left: {count}" for count in (5, 2, 0)],
            err.splitlines(),
        )

    def test_waiting_asks_the_holder(self):
        # Only the holder knows the runs; the others show null.
        holder = FakeZones(self.node.heap)
        holder.holder = self.zones.holder = ids.InstanceId(OTHER_HOST)
        holder.apply("north", is_evacuated=True, origin="operator")
        holder.runs = {"north": 1}

        def end_runs():
            holder.runs = {"north": int(holder.reads < 3)}

        holder.on_read = end_runs
        self.serve_other(holder)
        code, _, err = self.run_command("evacuate", "north", "--wait")
        self.assertEqual((0, 3), (code, holder.reads))
        self.assertEqual(1, self.zones.reads)
        self.assertIn("runs left: 1", err)

    def test_waiting_finds_the_next_holder(self):
        # Nothing listens on the former holder any more.
        self.zones.holder = ids.InstanceId(OTHER_HOST)

        def change_holder():
            if self.zones.reads == 3:
                self.zones.holder = ids.InstanceId(HOST)
                self.zones.runs = {"north": 0}

        self.zones.on_read = change_holder
        code, _, err = self.run_command("evacuate", "north", "--wait")
        self.assertEqual(0, code, err)
        self.assertIn(f"not known to {OTHER_HOST}", err)

    def test_waiting_has_a_limit(self):
        self.zones.runs = {"north": 7}
        code, _, err = self.run_command(
            "evacuate", "north", "--wait", "--seconds", "0.1"
        )
        self.assertEqual(1, code)
        self.assertIn("after 0.1 s: runs left: 7", err)

    def test_waiting_ends_when_the_zone_is_restored(self):
        self.zones.runs = {"north": 7}

        def restore():
            if self.zones.reads == 3:
                self.zones.apply("north", is_evacuated=False, origin="someone")

        self.zones.on_read = restore
        code, _, err = self.run_command("evacuate", "north", "--wait")
        self.assertEqual(5, code)
        self.assertIn("someone", err)

    def test_unknown_runs_are_not_taken_for_none(self):
        # The holder doesn't know them while an executor doesn't answer.
        self.zones.runs = {"west": 0}
        code, _, err = self.run_command(
            "evacuate", "north", "--wait", "--seconds", "0.1"
        )
        self.assertEqual(1, code)
        self.assertIn("not known", err)
