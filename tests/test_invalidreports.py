"""Tests of reports and answers of executors that can't be used."""

import dataclasses
import json
import logging
import random

import testtools

from chervilwheel import clock
from chervilwheel import guard
from chervilwheel import ids
from chervilwheel import metrics
from chervilwheel.control import controlhost
from chervilwheel.control import documents
from chervilwheel.http import client
from chervilwheel.workers import work
from loadtool import hostworld
from tests import adapter
from tests import test_platform

controlapi = adapter.load("controlapi")
executorcalls = adapter.load("executorcalls")
wireconfig = adapter.load("wireconfig")

BORN_MS = 1_790_000_000_000
HEARTBEAT = {
    "service": "service",
    "address": "10.128.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clockMs": 482113,
    "sequence": 4,
    "born": BORN_MS,
    "machine": "m-0a3f1",
}
REQUIRED = (
    ("service",),
    ("address",),
    ("zone",),
    ("state",),
    ("capacity",),
    ("capacity", "cpu"),
    ("capacity", "memMb"),
    ("clockMs",),
    ("sequence",),
)
NUMBERS = (
    *(path for path in REQUIRED if path[-1] in ("cpu", "memMb")),
    ("capacity", "gpu"),
    ("clockMs",),
    ("sequence",),
    ("born",),
    ("remainingMs",),
)
NOT_NUMBERS = ("4", -1, 10**30, 1.5, float("nan"), float("inf"), [], {}, True)
NOT_NAMES = (None, "", "nowhere", 7, 1.5, [], {}, True, "\ud800")


def mutations():
    """List bodies of invalid heartbeats with a name for each."""

    def body(path, value):
        table = {"remainingMs": 0, **HEARTBEAT}
        return json.dumps(
            test_platform.replace_value(table, path, value)
        ).encode()

    rows = [(f"{path}: missing", body(path, KeyError)) for path in REQUIRED]
    rows += [
        (f"{path}: {value!r}", body(path, value))
        for path in NUMBERS
        for value in NOT_NUMBERS
    ]
    rows += [
        (f"{name}: {value!r}", body((name,), value))
        for name in ("service", "zone", "state", "address")
        for value in NOT_NAMES
    ]
    rows += [
        (f"labels: {value!r}", body(("labels",), value))
        for value in ("a", 7, {}, True, [None], [7], [["a"]], ["\ud800"])
    ]
    rows += [
        (f"capacity: {value!r}", body(("capacity",), value))
        for value in (None, 7, [], {}, "16000")
    ]
    rows += [
        ("born: 0", body(("born",), 0)),
        ("cpu: huge", body(("capacity", "cpu"), 2**52)),
        ("port: 0", body(("address",), "10.128.0.9:0")),
        ("address: name", body(("address",), "example.com:80")),
        ("many labels", body(("labels",), ["a"] * 10_000)),
        ("empty", b""),
        ("null", b"null"),
        ("list", b"[]"),
        ("nested", b"[" * 100_000),
        ("nested object", b'{"a":' * 100_000),
        ("not UTF-8", json.dumps(HEARTBEAT).encode()[:-1] + b',"\xff":1}'),
        ("long number", b'{"sequence":' + b"9" * 10_000 + b"}"),
    ]
    rng = random.Random(7)
    good = json.dumps(HEARTBEAT).encode()
    for number in range(40):
        # None of these bytes may stand in JSON.
        index = rng.randrange(len(good))
        damaged = good[:index] + rng.choice((b"\xff", b"\x00")) + good[index:]
        rows.append((f"damaged {number}", damaged))
        rows.append((f"cut {number}", good[:index]))
    return rows


class Exchange:
    """A request whose response is kept."""

    def __init__(self, target, body):
        self.request = guard.Request("POST", target, {}, body, True)
        self.response = None

    def respond(self, response):
        """Keep the response."""
        self.response = response


class Decoder(documents.Decoder):
    """Decodes any bytes to the same document."""

    def __init__(self, document):
        self._document = document

    def decode(self, data):
        """Return the document."""
        return self._document


class Records(logging.Handler):
    """Keeps log records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Keep a record."""
        self.records.append(record)


class InvalidReportTest(testtools.TestCase):
    """Reports that can't be used change nothing and are counted."""

    def setUp(self):
        super().setUp()
        self.world = hostworld.World(controls=3, entries=1)
        self.addCleanup(self.world.close)
        self.world.run(3.0)
        self.assertTrue(self.world.put_document(1))
        self.world.run(2.0)
        self.control = self.world.controls[self.world.holder()]
        config = {
            "version": 1,
            "routes": [],
            "services": [{"name": "service"}],
        }
        document = wireconfig.ConfigDecoder().decode(
            json.dumps(config).encode()
        )
        self.control._decoder = Decoder(document)
        self.registry = metrics.Registry()
        self.clock = clock.ManualClock()
        self.api = controlapi.ControlApi(
            control=self.control, registry=self.registry, clk=self.clock
        )

    def post(self, body, *, name="i-1", action="heartbeat"):
        exchange = Exchange(f"/v1/instances/{name}/{action}", body)
        self.api.handle(exchange)
        if action == "deregister" and exchange.response is None:
            # It is acknowledged later, so that runs can be stopped before.
            self.world.run(controlhost.MAX_DEREGISTRATION_ACK_S)
        self.assertEqual(200, exchange.response.status)

    def known(self):
        return {
            name: report for name, (_, report) in self.control._reports.items()
        }

    def executors(self):
        """Return the reports of executors in use.

        One that has deregistered may be tracked until it has listed its runs.
        """
        found = self.control.holder_role._runner.engine.executors.values()
        for executor in found:
            if executor.report.is_gone:
                listed = dataclasses.replace(executor, is_synced=True)
                self.assertFalse(listed.may_start(self.world.clock.now()))
        return {
            executor.id: executor.report
            for executor in found
            if not executor.report.is_gone
        }

    def good(self, **fields):
        return json.dumps({**HEARTBEAT, **fields}).encode()

    def test_no_invalid_report_names_an_executor_or_changes_one(self):
        self.post(self.good())
        self.assertEqual(0, self.api.invalid_reports)
        known, executors = self.known(), self.executors()
        self.assertEqual(["i-1"], list(executors))
        rows = mutations()
        for number, (what, body) in enumerate(rows):
            self.post(body)
            self.post(body, name="i-2")
            self.assertEqual(2 * number + 2, self.api.invalid_reports, what)
        self.world.run(1.0)
        self.assertEqual(known, self.known())
        self.assertEqual(executors, self.executors())
        (line,) = [
            line
            for line in self.registry.render().splitlines()
            if line.startswith("chervilwheel_invalid_reports ")
        ]
        self.assertEqual(2 * len(rows), float(line.split()[1]))

    def remove_service(self):
        """Replace the document by one with another service."""
        document = self.control._decoder.decode(b"")
        service = document.services[0]._replace(name=ids.ServiceId("other"))
        decoder = Decoder(
            document._replace(version=2, services=(service,), data=b"2")
        )
        for control in self.world.controls.values():
            control._decoder = decoder
        self.assertTrue(self.world.put_document(2))
        self.world.run(0.5)
        # The services are read when one of the new ones reports.
        self.post(self.good(service="other"), name="i-9")

    def test_a_drain_is_obeyed_after_its_service_was_removed(self):
        # Jobs of the former document go on there.
        self.post(self.good())
        self.remove_service()
        self.post(self.good(state="draining", sequence=5))
        self.assertTrue(self.executors()["i-1"].is_draining)
        self.assertEqual(0, self.api.invalid_reports)

    def test_so_is_one_at_a_host_that_has_just_started(self):
        self.post(self.good())
        self.remove_service()
        leader = self.world.holder()
        other = next(h for h in self.world.controls if h != leader)
        self.world.stop(other)
        self.world.run(0.5)
        self.world.restart(other)
        self.world.run(3.0)
        fresh = self.world.controls[other]
        fresh._decoder = self.control._decoder
        fresh._reports.clear()
        api = controlapi.ControlApi(
            control=fresh, registry=metrics.Registry(), clk=self.clock
        )
        body = self.good(state="draining", sequence=5)
        exchange = Exchange("/v1/instances/i-1/heartbeat", body)
        api.handle(exchange)
        self.world.run(0.1)
        self.assertEqual({"other"}, fresh._services)
        self.assertEqual(200, exchange.response.status)
        self.assertTrue(self.executors()["i-1"].is_draining)

    def test_its_other_reports_still_count_for_the_jobs_that_it_has(self):
        self.post(self.good())
        self.remove_service()
        small = {"cpu": 1000, "memMb": 32768, "gpu": 0}
        self.post(self.good(capacity=small, sequence=5))
        self.assertEqual(1000, self.executors()["i-1"].room.cpu)
        # An executor that has never been of a known service isn't used.
        self.post(self.good(), name="i-2")
        self.assertNotIn("i-2", self.known())

    def test_warnings_are_bounded_and_count_those_left_out(self):
        records = Records()
        log = logging.getLogger("control")
        log.addHandler(records)
        self.addCleanup(log.removeHandler, records)
        for _ in range(100):
            self.post(b"{")
            self.clock.advance(0.1)
        warnings = [
            each for each in records.records if each.levelname == "WARNING"
        ]
        self.assertLessEqual(len(warnings), 3 * 10)
        self.assertGreaterEqual(len(warnings), 10)
        omitted = sum(each.omitted for each in warnings)
        self.assertGreaterEqual(omitted + len(warnings), 95)

    def test_a_deregistration_of_an_unknown_id_changes_nothing(self):
        self.post(self.good())
        known = self.known()
        self.post(b"", name="i-9", action="deregister")
        self.world.run(1.0)
        self.assertEqual(known, self.known())

    def test_a_deregistration_is_meant_for_the_known_incarnation(self):
        for born in (BORN_MS, None):
            name = f"i-{born}"
            self.post(self.good(born=born), name=name)
            self.post(b"", name=name, action="deregister")
            self.assertNotIn(name, self.executors())
            # A late heartbeat of the former incarnation.
            self.post(self.good(born=born, sequence=5), name=name)
            self.assertNotIn(name, self.executors())
            later = self.good(born=BORN_MS + 9, sequence=1, clockMs=3)
            self.post(later, name=name)
            self.assertIn(name, self.executors())
            # News of the deregistration that come late.
            gone = self.known()[name]._replace(
                is_gone=True,
                born_ms=born or 0,
                sequence=work.LAST_SEQUENCE,
            )
            self.control.report(gone)
            self.assertIn(name, self.executors())
            self.assertFalse(self.known()[name].is_gone)

    def test_a_late_deregistration_of_a_former_incarnation_is_dropped(self):
        self.post(self.good())
        body = json.dumps({"born": BORN_MS - 9}).encode()
        self.post(body, action="deregister")
        self.assertIn("i-1", self.executors())
        self.assertFalse(self.known()["i-1"].is_gone)

    def test_a_deregistration_is_obeyed_whatever_its_body_says(self):
        bodies = (
            b"{}",
            b"\xff",
            b'{"born":"x"}',
            json.dumps({"born": BORN_MS}).encode(),
            json.dumps({"born": BORN_MS + 9}).encode(),
        )
        for number, body in enumerate(bodies):
            name = f"i-{number}"
            self.post(self.good(), name=name)
            self.post(body, name=name, action="deregister")
            self.assertNotIn(name, self.executors())

    def test_all_hosts_keep_the_report_of_the_later_incarnation(self):
        self.post(self.good(sequence=900))
        self.world.run(0.5)
        self.post(self.good(born=BORN_MS + 9, sequence=1, clockMs=3))
        self.post(self.good(sequence=901))
        self.world.run(0.5)
        hosts = [*self.world.controls.values(), *self.world.entries.values()]
        for host in hosts:
            _, report = host._reports["i-1"]
            self.assertEqual(BORN_MS + 9, report.born_ms)
            self.assertEqual(1, report.sequence)

    def test_a_later_deregistration_of_a_live_executor_is_overridden(self):
        # It was of the former incarnation and arrived after a report of the
        # later one, which goes on reporting.
        self.post(self.good())
        self.post(b"", action="deregister")
        self.assertNotIn("i-1", self.executors())
        self.post(self.good(sequence=6, clockMs=HEARTBEAT["clockMs"] + 1_500))
        self.assertIn("i-1", self.executors())


class InvalidAnswerTest(testtools.TestCase):
    """Answers of executors that can't be read raise nothing."""

    RUNNING = ["5c0e7a21d94b36f8.0.1.17", 2, "", 41, 500]
    ENDED = [58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]

    def hold(self, **fields):
        table = {
            "clockMs": 5,
            "born": BORN_MS,
            "running": [self.RUNNING],
            "ended": [self.ENDED],
            **fields,
        }
        return test_platform.decode_hold(json.dumps(table).encode())

    def test_the_start_time_of_the_incarnation_is_read(self):
        self.assertEqual(BORN_MS, self.hold().born_ms)
        self.assertEqual(0, self.hold(born=None).born_ms)

    def test_an_answer_of_an_unknown_incarnation_is_not_used(self):
        for born in ("1", 0, -1, 1.5, 10**30, [], {}, True):
            answer = self.hold(born=born)
            self.assertIs(work.HoldVerdict.UNKNOWN, answer.verdict, born)

    def test_an_invalid_row_of_a_running_task_rejects_the_answer(self):
        # Without the row its task would count as ended and start again.
        for row in (None, [], ["x", 1, "", 2], ["a.0.1.²", 1, "", 2]):
            answer = self.hold(running=[self.RUNNING, row])
            self.assertIs(work.HoldVerdict.UNKNOWN, answer.verdict, row)

    def test_an_invalid_row_of_an_end_leaves_the_others(self):
        rows = (
            [59, "x", 1, "done", ""],
            [59, "a.0.1.²", 1, "done", ""],
            [59, "5c0e7a21d94b36f8.0.1.9", 1.5, "done", ""],
            [59, "5c0e7a21d94b36f8.0.1.9", 1, "exploded", ""],
            [59, "5c0e7a21d94b36f8.0.1.9", 1, ["done"], ""],
            [59],
        )
        for row in rows:
            answer = self.hold(ended=[self.ENDED, row])
            self.assertIs(work.HoldVerdict.HELD, answer.verdict, row)
            first, second = answer.ended
            self.assertIs(work.EndKind.DONE, first.kind)
            # Acknowledged, or the executor would list it for ever.
            self.assertEqual(59, second.number)
            self.assertIsNot(work.EndKind.DONE, second.kind)

    def test_an_end_without_a_number_rejects_the_answer(self):
        # It can't be acknowledged.
        for row in (None, [], {}, ["59", "a", 1, "done"], [10**30]):
            answer = self.hold(ended=[self.ENDED, row])
            self.assertIs(work.HoldVerdict.UNKNOWN, answer.verdict, row)

    def test_unreadable_bodies_raise_nothing(self):
        bodies = (
            b"",
            b"\xff\xfe\xff",
            b"[" * 100_000,
            b"7",
            b'{"clockMs":NaN}',
        )
        for body in bodies:
            for status in (200, 400, 409, 421, 429, 500, 503):
                answer = client.CallResult(client.Failure.NONE, status, body)
                _, clock_ms = executorcalls._start_verdict(answer)
                self.assertEqual(0, clock_ms)
                self.assertEqual(0, executorcalls._clock_ms(answer))
                held = executorcalls._hold_answer(answer)
                self.assertIsNot(work.HoldVerdict.HELD, held.verdict)

    def test_an_unreadable_task_name_is_rejected(self):
        job = ids.JobId("5c0e7a21d94b36f8")
        task = executorcalls.parse_task(f"{job}.0.1.17")
        self.assertEqual(work.TaskId(job, 1, 17), task)
