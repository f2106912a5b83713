"""Clients that don't behave, against the real processes.

Each test sets the limits of the processes, sends a crowd, and checks that
all processes live, that the memory and the descriptors of the process which
the crowd has met stay within those limits, and that an ordinary request is
answered while the crowd stays connected.
"""

import contextlib
import copy
import http.client
import json
import os
import pathlib
import select
import socket
import subprocess
import sys
import tempfile
import time

import pytest
import testtools

from loadtool import layout
from loadtool import ports
from tests import crowds
from tests import test_workerpath

ENTRY = "127.0.3.1"
MIB = 1024 * 1024
# Limits of the processes, in their settings.
ENTRY_MEMORY_MB = 112
CONTROL_MEMORY_MB = 160
# That of the smallest machine.
INSTANCE_MEMORY_MB = 160
MAX_DESCRIPTORS = 400
MAX_BODY_BYTES = MIB
JOB_PATH = "/q/00000000000c0de0"
CONTROL_PATH = "/v1/config/put"
LONG_MS = 8_000
STEADY_S = 1.0
CONFIG = copy.deepcopy(test_workerpath.CONFIG)
CONFIG["limits"] = {"maxBodyBytes": MAX_BODY_BYTES}


def job(*, work_ms=60, cpu=10_000, padding=0):
    """Return the body of a job; members that are not known are ignored."""
    step = {"count": 1, "cpu": cpu, "memMb": 64, "estimatedMs": work_ms}
    value = {
        "spec": json.dumps([cpu, work_ms]),
        "bestEffort": True,
        "steps": [step],
        "padding": "x" * padding,
    }
    return json.dumps(value).encode()


def with_body(target, body, headers="", *, method="POST"):
    headers += f"Content-Length: {len(body)}\r\n"
    return crowds.request(target, headers, method=method) + body


def peak_memory_mb(pid):
    """Return the largest resident set that a process has had."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    rows = dict(line.split(":", 1) for line in text.splitlines())
    return int(rows["VmHWM"].split()[0]) / 1024


def wait_until_steady(pid):
    """Wait until the memory of a process has stopped growing."""
    former = -1.0
    while (peak := peak_memory_mb(pid)) > former + 1:
        former = peak
        time.sleep(STEADY_S)


class Deployment(test_workerpath.Cluster):
    """Three control hosts, an entry host and workers, with limits."""

    def __init__(self, folder):
        super().__init__(folder)
        self.ports["metrics"] = ports.block().allocate(1)[0]

    def settings(self, role):
        memory_mb = {"entry": ENTRY_MEMORY_MB, "control": CONTROL_MEMORY_MB}
        return [
            f"memory_mb = {memory_mb[role]}",
            f"max_descriptors = {MAX_DESCRIPTORS}",
            f"metrics_port = {self.ports['metrics']}",
        ]

    def pid(self, host):
        return self.processes[host].pid

    def peak_memory_mb(self, host):
        return peak_memory_mb(self.pid(host))

    def descriptors(self, host):
        return len(os.listdir(f"/proc/{self.pid(host)}/fd"))


@pytest.mark.alone
class CrowdTest(testtools.TestCase):
    """One crowd a test."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(pathlib.Path(folder.name))
        self.addCleanup(self.deployment.close)
        for host in test_workerpath.CONTROLS:
            self.deployment.start(host, "control")
        self.deployment.start(ENTRY, "entry")
        self.deployment.start_workers()
        self.jobs = 0
        for condition in (
            self.is_config_accepted,
            lambda: self.submit()[0] == 200,
        ):
            test_workerpath.wait_until(self, self.deployment, condition)

    @property
    def control(self):
        return test_workerpath.CONTROLS[0]

    def is_config_accepted(self):
        address = self.deployment.control(self.control)
        answer = test_workerpath.call(address, "POST", CONTROL_PATH, CONFIG)
        return answer[0] == 200

    def submit(self, body=None):
        """Send an ordinary job, each with another id."""
        self.jobs += 1
        value = json.loads(body or job())
        address = self.deployment.entry(ENTRY)
        path = f"/q/{self.jobs:016x}"
        return test_workerpath.call(address, "POST", path, value)

    def crowd(self, host, port, **options):
        address = (host, self.deployment.ports[port])
        crowd = crowds.Crowd(address=address, **options)
        self.addCleanup(crowd.close)
        return crowd

    def wait_until_steady(self, host):
        wait_until_steady(self.deployment.pid(host))

    def check(self, host, memory_mb):
        """Check what must hold while the crowd is connected."""
        self.wait_until_steady(host)
        status, body = self.submit()
        self.assertEqual((200, b'{"state":"completed"}'), (status, body))
        for name, process in self.deployment.processes.items():
            self.assertIsNone(process.poll(), name)
        self.assertLess(self.deployment.peak_memory_mb(host), memory_mb)
        self.assertLess(self.deployment.descriptors(host), MAX_DESCRIPTORS)

    def check_entry(self):
        self.check(ENTRY, ENTRY_MEMORY_MB)

    def check_control(self):
        address = self.deployment.control(self.control)
        answer = test_workerpath.call(address, "GET", "/v1/config/get")
        self.assertEqual(200, answer[0])
        self.check(self.control, CONTROL_MEMORY_MB)

    def test_whole_bodies_that_stop_a_byte_short(self):
        data = crowds.announced(JOB_PATH, MAX_BODY_BYTES)
        self.crowd(ENTRY, "front").send(data, count=120)
        self.check_entry()

    def test_bodies_in_pieces_that_stop_a_byte_short(self):
        data = crowds.announced(JOB_PATH, MAX_BODY_BYTES)
        self.crowd(ENTRY, "front").send(data, count=120, piece=16_384)
        self.check_entry()

    def test_large_chunks_without_the_last_one(self):
        data = crowds.chunked(JOB_PATH, MAX_BODY_BYTES, 65_536)
        self.crowd(ENTRY, "front").send(data, count=120)
        self.check_entry()

    def test_small_chunks_without_the_last_one(self):
        data = crowds.chunked(JOB_PATH, MAX_BODY_BYTES, 16)
        self.crowd(ENTRY, "front").send(data, count=120)
        self.check_entry()

    def test_bodies_of_half_the_limit_on_twice_as_many_connections(self):
        data = crowds.announced(JOB_PATH, MAX_BODY_BYTES // 2)
        self.crowd(ENTRY, "front").send(data, count=240)
        self.check_entry()

    def test_bodies_of_clients_that_disconnect(self):
        data = crowds.announced(JOB_PATH, MAX_BODY_BYTES)
        for _ in range(20):
            crowd = self.crowd(ENTRY, "front")
            crowd.send(data, count=8)
            crowd.close()
        self.check_entry()

    def test_trailers_that_never_end(self):
        head = crowds.request(JOB_PATH, "Transfer-Encoding: chunked\r\n")
        data = head + b"0\r\nTrailer: " + b"x" * MIB
        self.crowd(ENTRY, "front").send(data, count=120)
        self.check_entry()

    def test_requests_queued_behind_one_in_progress(self):
        first = with_body(
            JOB_PATH, job(work_ms=LONG_MS), "Request-Timeout-Ms: 20000\r\n"
        )
        later = with_body(JOB_PATH, job(padding=MAX_BODY_BYTES - 1_000))
        crowd = self.crowd(ENTRY, "front")
        crowd.send(first + 12 * later, count=10)
        self.check_entry()

    def test_large_jobs_in_progress(self):
        crowd = self.crowd(ENTRY, "front")
        body = job(work_ms=LONG_MS, cpu=100, padding=MAX_BODY_BYTES - 1_000)
        for number in range(100):
            target = f"/q/{0xC0000 + number:016x}"
            data = with_body(target, body, "Request-Timeout-Ms: 20000\r\n")
            crowd.send(data, count=1)
        self.check_entry()

    def test_jobs_of_very_many_tasks(self):
        step = {"count": 2, "cpu": 100, "memMb": 1, "estimatedMs": 5_000}
        value = {"spec": "[100, 5000]", "bestEffort": True}
        body = json.dumps(value | {"steps": [step] * 4_500}).encode()
        crowd = self.crowd(ENTRY, "front")
        for number in range(60):
            target = f"/q/{0xD0000 + number:016x}"
            data = with_body(target, body, "Request-Timeout-Ms: 20000\r\n")
            crowd.send(data, count=1)
        for host in (ENTRY, *test_workerpath.CONTROLS):
            self.wait_until_steady(host)
        self.check_entry()
        for host in test_workerpath.CONTROLS:
            self.check(host, CONTROL_MEMORY_MB)

    def test_connections_up_to_the_end_of_the_descriptors(self):
        data = crowds.request(JOB_PATH, "")[:-2]
        self.crowd(ENTRY, "front").send(data, count=300)
        self.crowd(ENTRY, "ready").send(data, count=300)
        self.check_entry()

    def test_large_heads_that_do_not_end(self):
        data = crowds.request(JOB_PATH, f"A: {'x' * 15_000}\r\n")[:-2]
        self.crowd(ENTRY, "front").send(data, count=900)
        self.check_entry()

    def test_bodies_at_the_readiness_port(self):
        data = crowds.announced("/v1/readiness", MAX_BODY_BYTES)
        self.crowd(ENTRY, "ready").send(data, count=120)
        address = (ENTRY, self.deployment.ports["ready"])
        answer = test_workerpath.call(address, "GET", "/v1/readiness")
        self.assertEqual(200, answer[0])
        self.check_entry()

    def test_trailers_at_the_metrics_port(self):
        head = crowds.request("/metrics", "Transfer-Encoding: chunked\r\n")
        data = head + b"0\r\nTrailer: " + b"x" * MIB
        self.crowd(ENTRY, "metrics").send(data, count=120)
        address = (ENTRY, self.deployment.ports["metrics"])
        answer = test_workerpath.call(address, "GET", "/metrics")
        self.assertEqual(200, answer[0])
        self.check_entry()

    def test_bodies_at_a_control_host_that_stop_a_byte_short(self):
        data = crowds.announced(CONTROL_PATH, 4 * MIB)
        self.crowd(self.control, "control").send(data, count=40)
        self.check_control()

    def test_bodies_that_take_much_more_memory_decoded(self):
        body = b'{"version":9,"a":[' + b"{}," * (4 * MIB // 3 - 10) + b"{}]}"
        data = with_body(CONTROL_PATH, body)
        self.crowd(self.control, "control").send(data, count=4)
        self.wait_until_steady(self.control)
        self.check_control()

    def test_large_documents_at_once(self):
        crowd = self.crowd(self.control, "control")
        for version in range(2, 18):
            value = CONFIG | {"version": version, "padding": "x" * 4_000_000}
            body = json.dumps(value).encode()
            crowd.send(with_body(CONTROL_PATH, body), count=1)
        self.wait_until_steady(self.control)
        self.check_control()

    def test_connections_to_a_control_host_up_to_the_last_descriptor(self):
        data = crowds.request(CONTROL_PATH, "")[:-2]
        self.crowd(self.control, "control").send(data, count=300)
        self.crowd(self.control, "metrics").send(data, count=300)
        self.check_control()

    def test_responses_of_a_control_host_that_nobody_reads(self):
        config = CONFIG | {"version": 2, "padding": "x" * MIB}
        address = self.deployment.control(self.control)
        answer = test_workerpath.call(address, "POST", CONTROL_PATH, config)
        self.assertEqual(200, answer[0])
        data = crowds.request("/v1/config/get", "", method="GET")
        crowd = self.crowd(self.control, "control", receive_bytes=4_096)
        crowd.send(12 * data, count=30)
        crowd.wait_for_responses()
        self.wait_until_steady(self.control)
        self.check_control()

    def test_bodies_far_over_the_limit(self):
        endless = crowds.request(JOB_PATH, "Transfer-Encoding: chunked\r\n")
        endless += 16 * (b"100000\r\n" + b"x" * MIB + b"\r\n")
        crowd = self.crowd(ENTRY, "front")
        crowd.send(crowds.announced(JOB_PATH, 16 * MIB), count=30)
        crowd.send(endless, count=30)
        self.check_entry()

    def test_a_refusal_reaches_a_client_that_is_still_sending(self):
        for data in (
            crowds.announced(JOB_PATH, 16 * MIB),
            crowds.chunked(JOB_PATH, 16 * MIB, 65_536),
        ):
            with socket.create_connection(
                self.deployment.entry(ENTRY), test_workerpath.TIMEOUT_S
            ) as sock:
                for start in range(0, 4 * MIB, 16_384):
                    sock.sendall(data[start : start + 16_384])
                    if select.select([sock], [], [], 0)[0]:
                        break
                response = http.client.HTTPResponse(sock)
                response.begin()
                self.assertEqual(413, response.status)
                response.read()
                # The end of the connection, not a reset.
                self.assertEqual(b"", sock.recv(1))
        self.check_entry()

    def test_a_single_request_at_the_limit_is_served(self):
        padding = MAX_BODY_BYTES - len(job())
        body = job(padding=padding)
        self.assertEqual(MAX_BODY_BYTES, len(body))
        conn = http.client.HTTPConnection(
            *self.deployment.entry(ENTRY), timeout=test_workerpath.TIMEOUT_S
        )
        self.addCleanup(conn.close)
        conn.request("POST", JOB_PATH, body, {"Host": "a.example"})
        self.assertEqual(200, conn.getresponse().status)
        config = CONFIG | {"version": 2, "padding": ""}
        room = 4 * MIB - len(json.dumps(config))
        config["padding"] = "x" * room
        address = self.deployment.control(self.control)
        answer = test_workerpath.call(address, "POST", CONTROL_PATH, config)
        self.assertEqual(200, answer[0])
        self.check_entry()
        self.check_control()

    def test_the_limit_of_the_document_applies_to_bodies(self):
        config = copy.deepcopy(CONFIG) | {"version": 2}
        config["limits"]["maxBodyBytes"] = 100_000
        address = self.deployment.control(self.control)
        answer = test_workerpath.call(address, "POST", CONTROL_PATH, config)
        self.assertEqual(200, answer[0])
        large = job(padding=100_000)
        test_workerpath.wait_until(
            self, self.deployment, lambda: self.submit(large)[0] == 413
        )
        self.assertEqual(200, self.submit(job(padding=90_000))[0])
        self.check_entry()


@pytest.mark.alone
class InstanceCrowdTest(testtools.TestCase):
    """Crowds at an instance of the daemon, with its default account."""

    def setUp(self):
        super().setUp()
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        plan = layout.Layout(entries=(1,), keepers=(), executors=(0,))
        (node, *_) = layout.create_nodes(plan, pathlib.Path(folder))
        layout.write_settings(plan, [node])
        text = node.settings.read_text()
        text = text.replace("[limits]", f"[limits]\nbody_bytes = {MIB}")
        node.settings.write_text(text)
        host, port = node.http.split(":")
        self.address = (host, int(port))
        self.process = subprocess.Popen(
            [
                sys.executable,
                *("-m", "chervilwheel.daemon", "--settings"),
                str(node.settings),
            ],
            stderr=subprocess.DEVNULL,
        )
        stack.callback(self.process.wait)
        stack.callback(self.process.kill)
        end = time.monotonic() + test_workerpath.TIMEOUT_S
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                socket.create_connection(self.address, 1).close()
                break
            time.sleep(0.05)

    def crowd(self):
        crowd = crowds.Crowd(address=self.address)
        self.addCleanup(crowd.close)
        return crowd

    def check(self):
        wait_until_steady(self.process.pid)
        answer = test_workerpath.call(self.address, "GET", "/v1/health")
        self.assertEqual(200, answer[0])
        self.assertIsNone(self.process.poll())
        peak_mb = peak_memory_mb(self.process.pid)
        self.assertLess(peak_mb, INSTANCE_MEMORY_MB)

    def test_whole_bodies_that_stop_a_byte_short(self):
        self.crowd().send(crowds.announced("/v1/jobs", MIB), count=200)
        self.check()

    def test_large_chunks_without_the_last_one(self):
        self.crowd().send(crowds.chunked("/v1/jobs", MIB, 65_536), count=200)
        self.check()

    def test_bodies_of_clients_that_disconnect(self):
        data = crowds.announced("/v1/jobs", MIB)
        for _ in range(25):
            crowd = self.crowd()
            crowd.send(data, count=8)
            crowd.close()
        self.check()

    def test_more_connections_than_there_may_be(self):
        data = crowds.request("/v1/jobs", "")[:-2]
        self.crowd().send(data, count=2_100)
        self.check()
