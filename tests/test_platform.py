"""Platform adapter: valid messages decode, malformed ones are rejected."""

import copy
import json
import pathlib
import platform
import re

import pytest
import testtools

from chervilwheel import errors
from chervilwheel import ids
from chervilwheel.control import documents
from chervilwheel.http import client
from chervilwheel.workers import work
from tests import adapter

ROOT = pathlib.Path(__file__).parent.parent
wireconfig = adapter.load("wireconfig")
wirejobs = adapter.load("wirejobs")
wirejson = adapter.load("wirejson")
controlapi = adapter.load("controlapi")
executorcalls = adapter.load("executorcalls")

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "one.example",
            "pathPrefix": "/peek/",
            "type": "unsafe",
            "timeoutMs": 1500,
            "targetLatencyMs": 60,
            "priority": 0,
            "service": "cars",
            "maxAttempts": 3,
            "stretch": 1.6,
        }
    ],
    "services": [
        {
            "name": "cars",
            "healthCheckPath": "/health",
            "maxConnections": 64,
            "protocol": "h1",
            "tls": False,
            "enforcesCapacity": True,
            "standby": False,
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}
JOB = {
    "spec": "text",
    "bestEffort": True,
    "steps": [
        {"count": 4, "cpu": 500, "memMb": 256, "estimatedMs": 900},
        {
            "count": 2,
            "cpu": 2000,
            "memMb": 64,
            "gpu": 1,
            "estimatedMs": 70,
            "dependsOn": [0],
            "requiredLabel": "b",
            "preferredRack": "r1-3",
            "antiAffinity": 1,
        },
    ],
}
HEARTBEAT = {
    "service": "cars",
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
    "machine": "m-0a3f1",
}
HOLD_RESPONSE = {
    "clockMs": 482113,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "", 41, 500]],
    "ended": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
}
MALFORMED_VALUES = (
    None,
    "text",
    -1,
    10**30,
    1.5,
    float("nan"),
    float("inf"),
    [],
    {},
    [None],
    [[[]]],
    True,
    "\ud800",
)
QUEUE = documents.Queue(
    "r-1", "one.example", "/peek/", ids.ServiceId("cars"), 0, 3, 1.6, 60, 1500
)


def decode_job(data):
    return wirejobs.decode("5c0e7a21d94b36f8", data, QUEUE, {})


def decode_hold(data):
    answer = client.CallResult(client.Failure.NONE, 200, data)
    return executorcalls._hold_answer(answer)


def decode_start(data):
    answer = client.CallResult(client.Failure.NONE, 409, data)
    return executorcalls._start_verdict(answer)


DECODERS = {
    "config": (CONFIG, wireconfig.ConfigDecoder().decode),
    "job": (JOB, decode_job),
    "heartbeat": (
        HEARTBEAT,
        lambda data: controlapi.decode_report("i-1", data),
    ),
    "hold": (HOLD_RESPONSE, decode_hold),
    "start": ({"clockMs": 5, "reason": "fence"}, decode_start),
}


def value_paths(value, path=()):
    """Yield the path of a value and of every value nested in it."""
    yield path
    if isinstance(value, dict):
        for key, each in value.items():
            yield from value_paths(each, (*path, key))
    elif isinstance(value, list):
        for index, each in enumerate(value):
            yield from value_paths(each, (*path, index))


def replace_value(value, path, new):
    """Return a copy with the value at a path replaced, or removed."""
    if not path:
        return new
    value = copy.deepcopy(value)
    inner = value
    for key in path[:-1]:
        inner = inner[key]
    if new is KeyError:
        del inner[path[-1]]
    else:
        inner[path[-1]] = new
    return value


@pytest.mark.parametrize("name", DECODERS)
def test_a_malformed_message_is_decoded_or_rejected_without_a_crash(name):
    """Each field in turn is missing, null, of another type, huge or NaN.

    Each such message is decoded whole, cut to half and empty. A decoder may
    accept it or raise an error with a detail; any other exception escapes.
    """
    value, decode = DECODERS[name]
    for path in value_paths(value):
        for new in (*MALFORMED_VALUES, KeyError):
            if not path and new is KeyError:
                continue
            data = json.dumps(replace_value(value, path, new)).encode()
            for length in (len(data), len(data) // 2, 0):
                try:
                    decode(data[:length])
                except errors.ChervilwheelError as exc:
                    assert exc.detail


class AdapterTest(testtools.TestCase):
    """Valid messages, rejected ones, and the limits of the adapter."""

    def test_a_config_decodes(self):
        data = json.dumps(CONFIG).encode()
        document = wireconfig.ConfigDecoder().decode(data)
        self.assertEqual(7, document.version)
        self.assertEqual(QUEUE, document.queues[0])
        self.assertEqual(data, document.data)

    def test_an_invalid_config_is_rejected(self):
        invalid_fields = {
            "unknown service": (("routes", 0, "service"), "none"),
            "no timeout": (("routes", 0, "timeoutMs"), 0),
            "no version": (("version",), 0),
        }
        for name, (path, value) in invalid_fields.items():
            data = json.dumps(replace_value(CONFIG, path, value)).encode()
            self.assertRaises(
                errors.InvalidSettings,
                wireconfig.ConfigDecoder().decode,
                data,
            )
            del name
        duplicated = copy.deepcopy(CONFIG)
        duplicated["routes"].append(dict(duplicated["routes"][0], name="r-2"))
        self.assertRaises(
            errors.InvalidSettings,
            wireconfig.ConfigDecoder().decode,
            json.dumps(duplicated).encode(),
        )

    def test_a_job_decodes(self):
        job = decode_job(json.dumps(JOB).encode())
        self.assertEqual(work.Room(2000, 64, 1), job.steps[1].room)
        self.assertEqual((0,), job.steps[1].depends_on)
        self.assertEqual(1, job.steps[1].most_together)

    def test_the_work_of_a_job_is_estimated_without_its_queue(self):
        chain = [
            {"count": 1, "estimatedMs": 200},
            {"count": 2, "estimatedMs": 300, "dependsOn": [0]},
        ]
        cases = (({"steps": chain}, 0.5), ({"steps": 7}, 0.0), ({}, 0.0))
        for value, expected in cases:
            data = json.dumps(value).encode()
            self.assertEqual(expected, wirejobs.estimate_work_s(data))
        self.assertEqual(0.0, wirejobs.estimate_work_s(b"{"))

    def test_a_job_that_uses_an_unsupported_feature_is_not_run(self):
        for path, value in (
            (("bestEffort",), False),
            (("runCount",), 3),
            (("steps", 0, "gangScheduled"), True),
            (("steps", 0, "longRunning"), True),
            (("steps", 0, "fills"), True),
            (("steps", 0, "localitySensitive"), True),
        ):
            data = json.dumps(replace_value(JOB, path, value)).encode()
            self.assertRaises(errors.NotRun, decode_job, data)

    def test_cold_executors_of_a_service_are_configured_optionally(self):
        decoder = wireconfig.ConfigDecoder()
        path = ("services", 0, "coldPerS")
        document = decoder.decode(json.dumps(CONFIG).encode())
        self.assertEqual(0.0, document.queues[0].cold_per_s)
        data = json.dumps(replace_value(CONFIG, path, 2.5)).encode()
        document = decoder.decode(data)
        self.assertEqual(2.5, document.queues[0].cold_per_s)
        self.assertEqual(2.5, document.services[0].cold_per_s)
        for value in ("2.5", True, -1, [], float("nan")):
            data = json.dumps(replace_value(CONFIG, path, value)).encode()
            self.assertRaises(errors.InvalidSettings, decoder.decode, data)

    def test_a_text_that_would_take_much_memory_is_rejected(self):
        size = 4 * 1024 * 1024
        for value in (b"[],", b"{},", b'{"a":0},', b"[[0]],", b"0,"):
            data = b'{"a":[' + value * (size // len(value)) + b"0]}"
            self.assertRaises(errors.InvalidRequest, wirejson.parse, data)
        route = CONFIG["routes"][0]
        config = dict(CONFIG)
        count = size // len(json.dumps(route, separators=(",", ":")))
        config["routes"] = [
            dict(route, pathPrefix=f"/{number:05}/")
            for number in range(count - 100)
        ]
        data = wirejson.dump(config)
        self.assertGreater(len(data), 0.95 * size)
        document = wireconfig.ConfigDecoder().decode(data)
        self.assertEqual(count - 100, len(document.queues))

    def test_a_heartbeat_decodes(self):
        report = controlapi.decode_report(
            "i-1", json.dumps(HEARTBEAT).encode()
        )
        self.assertEqual(work.Room(16000, 32768, 0), report.room)
        self.assertFalse(report.is_draining)
        self.assertEqual(0, report.cold_ms)
        cold = dict(HEARTBEAT, coldRemainingMs=1800)
        report = controlapi.decode_report("i-1", json.dumps(cold).encode())
        self.assertEqual(1800, report.cold_ms)
        draining = dict(HEARTBEAT, state="draining", remainingMs=4500)
        report = controlapi.decode_report("i", json.dumps(draining).encode())
        self.assertTrue(report.is_draining)
        self.assertEqual(4500, report.remaining_ms)

    def test_the_lists_of_a_hold_response_decode(self):
        answer = decode_hold(json.dumps(HOLD_RESPONSE).encode())
        self.assertEqual(work.HoldVerdict.HELD, answer.verdict)
        task = work.TaskId(ids.JobId("5c0e7a21d94b36f8"), 1, 17)
        self.assertEqual(work.RunStatus(task, 2, 41), answer.running[0])
        self.assertEqual(work.EndKind.DONE, answer.ended[0].kind)

    def test_every_status_of_a_start_has_a_verdict(self):
        verdicts = {
            (200, "{}"): work.StartVerdict.STARTED,
            (409, '{"reason":"fence"}'): work.StartVerdict.FENCED,
            (409, '{"reason":"old"}'): work.StartVerdict.RUN_TOO_LOW,
            (409, '{"reason":"late"}'): work.StartVerdict.TOO_LATE,
            (409, '{"reason":"room"}'): work.StartVerdict.NO_ROOM,
            (400, ""): work.StartVerdict.INVALID,
            (421, ""): work.StartVerdict.OTHER_LIFE,
            (429, ""): work.StartVerdict.UNHEALTHY,
            (503, ""): work.StartVerdict.UNHEALTHY,
            (500, ""): work.StartVerdict.UNKNOWN,
        }
        for (status, body), verdict in verdicts.items():
            answer = client.CallResult(
                client.Failure.NONE, status, body.encode()
            )
            actual, _ = executorcalls._start_verdict(answer)
            self.assertEqual(verdict, actual)

    def test_the_standard_library_platform_still_imports(self):
        self.assertTrue(platform.python_version())
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())

    def test_no_wire_name_is_used_outside_the_adapter(self):
        names = (
            "bestEffort|pathPrefix|targetLatencyMs|maxAttempts|memMb|"
            "estimatedMs|deadlineMs|fencingToken|ackedUpto|clockMs|waitMs|"
            "Expected-Instance|run-start|run-stop|v1/hold|config/put|"
            "coldRemainingMs|enforcesCapacity|heartbeatAddress|"
            "Request-Timeout-Ms"
        )
        pattern = re.compile(names)
        for folder in ("chervilwheel", "loadtool"):
            for path in (ROOT / folder).rglob("*.py"):
                found = pattern.search(path.read_text())
                self.assertIsNone(found, f"{path.name}: {found}")

    def test_the_adapter_stays_small(self):
        lines = sum(
            len(path.read_text().splitlines())
            for path in (ROOT / "platform").glob("*.py")
        )
        self.assertLess(lines, 1500)
