"""The whole path with workers: real processes on loopback.

Three control hosts and two entry hosts, started as the platform starts
them, and stand-in workers that note what runs.
"""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

import testtools

from loadtool import ports

ROOT = pathlib.Path(__file__).parent.parent
RUN = ROOT / "platform" / "run.py"
CONTROLS = ("127.0.1.1", "127.0.1.2", "127.0.1.3")
ENTRIES = ("127.0.2.1", "127.0.2.2")
# A long wait shows what is broken; none of the checks is of a time.
PATIENCE_S = 60.0
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "pathPrefix": "/q/",
            "timeoutMs": 30000,
            "targetLatencyMs": 20000,
            "priority": 0,
            "service": "service",
            "maxAttempts": 3,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "service", "maxConnections": 64}],
    "limits": {},
}


def call(address, method, path, value=None, host="a.example"):
    """Make one call; returns status and body."""
    conn = http.client.HTTPConnection(*address, timeout=PATIENCE_S)
    try:
        body = None if value is None else json.dumps(value)
        conn.request(method, path, body, {"Host": host})
        answer = conn.getresponse()
        return answer.status, answer.read()
    finally:
        conn.close()


class Cluster:
    """The processes of one test."""

    def __init__(self, folder):
        self.folder = folder
        names = ("control", "front", "ready", "peer", "workers")
        numbers = ports.block().take(len(names))
        self.ports = dict(zip(names, numbers, strict=True))
        self.processes = {}
        self.runs = folder / "runs.jsonl"
        self.runs.touch()

    def control(self, host):
        return (host, self.ports["control"])

    def entry(self, host):
        return (host, self.ports["front"])

    def start(self, host, role, *, is_founding=True):
        listen = {"control": ("control",), "entry": ("front", "ready")}
        lines = [
            f'name = "{host}"',
            f'role = "{role}"',
            f'host = "{host}"',
            'zone = "north"',
            'zones = ["north"]',
            f"peer_port = {self.ports['peer']}",
            f"founding = {str(is_founding).lower()}",
            "seeds = ["
            + ", ".join(
                f'"{each}:{self.ports["control"]}"' for each in CONTROLS
            )
            + "]",
            "heartbeat_ms = 300",
        ]
        if role == "control":
            data = self.folder / f"data-{host}"
            lines.append(f'data_folder = "{data}"')
        lines.append("[listen]")
        lines.extend(
            f'{name} = "{host}:{self.ports[name]}"' for name in listen[role]
        )
        path = self.folder / f"{host}.toml"
        path.write_text("\n".join(lines))
        self.spawn(
            host,
            [sys.executable, str(RUN), role],
            {"CHERVILWHEEL_NODE_FILE": str(path)},
        )

    def start_workers(self):
        words = [sys.executable, "-m", "standins.workers"]
        words += ["--port", str(self.ports["workers"])]
        words += ["--runs", str(self.runs)]
        for host in CONTROLS:
            words += ["--control", f"{host}:{self.ports['control']}"]
        self.spawn("workers", words, {})

    def spawn(self, name, words, env):
        log = open(self.folder / f"{name}.log", "a")  # noqa: SIM115
        self.processes[name] = subprocess.Popen(
            words, cwd=ROOT, env={**os.environ, **env}, stdout=log, stderr=log
        )
        log.close()

    def kill(self, host, number=signal.SIGKILL):
        process = self.processes.pop(host)
        process.send_signal(number)
        return process.wait(PATIENCE_S)

    def holder(self):
        """Name the control host that logged holding last."""
        found = []
        for host in CONTROLS:
            text = (self.folder / f"{host}.log").read_text()
            for line in text.splitlines():
                if "holding: begun" in line:
                    row = json.loads(line)
                    found.append((row["term"], host))
        return max(found)[1] if found else None

    def report(self):
        """Gather exit codes and the ends of the logs."""
        rows = [
            f"{name}: {process.poll()}"
            for name, process in self.processes.items()
        ]
        for path in sorted(self.folder.glob("*.log")):
            rows.append(f"{path.name}: {path.read_text()[-600:]}")
        return "\n".join(rows)

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait(PATIENCE_S)


class WorkerPathTest(testtools.TestCase):
    """Jobs from an entry host to workers and back."""

    def setUp(self):
        super().setUp()
        place = tempfile.TemporaryDirectory()
        self.addCleanup(place.cleanup)
        self.cluster = Cluster(pathlib.Path(place.name))
        self.addCleanup(self.cluster.close)
        for host in CONTROLS:
            self.cluster.start(host, "control")
        for host in ENTRIES:
            self.cluster.start(host, "entry")
        self.cluster.start_workers()
        self.until(self.is_put)
        for host in ENTRIES:
            self.until(lambda h=host: self.is_served(h))

    def until(self, condition):
        end = time.monotonic() + PATIENCE_S
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.05)
        self.fail("it didn't come about\n" + self.cluster.report())

    def is_put(self):
        address = self.cluster.control(CONTROLS[0])
        return call(address, "POST", "/v1/config/put", CONFIG)[0] == 200

    def is_served(self, host):
        self.count = getattr(self, "count", 0) + 1
        return self.submit(host, 0xF00000 + self.count, tasks=1)[0] == 200

    def submit(self, host, number, *, tasks=3, work_ms=60):
        value = {
            "spec": json.dumps([10_000, work_ms]),
            "bestEffort": True,
            "steps": [
                {
                    "count": tasks,
                    "cpu": 10_000,
                    "memMb": 64,
                    "estimatedMs": work_ms,
                }
            ],
        }
        address = self.cluster.entry(host)
        return call(address, "POST", f"/q/{number:016x}", value)

    def submit_until_served(self, number, served, **options):
        """Submit as a caller does: again after a lost answer."""
        for turn in range(100):
            host = ENTRIES[turn % len(ENTRIES)]
            try:
                status, body = self.submit(host, number, **options)
            except (OSError, http.client.HTTPException):
                status, body = 0, b""
            if status == 200:
                served[number] = json.loads(body)
                return
            time.sleep(1.3)

    def load(self, jobs, served, **options):
        threads = [
            threading.Thread(
                target=self.submit_until_served,
                args=(number, served),
                kwargs=options,
            )
            for number in range(jobs)
        ]
        for thread in threads:
            thread.start()
            time.sleep(0.02)
        return threads

    def check_runs(self):
        """No task ran on two workers at the same time."""
        rows = [
            json.loads(line)
            for line in self.cluster.runs.read_text().splitlines()
        ]
        running = {}
        for _, what, worker, task, run, _how in sorted(rows):
            if what == "start":
                self.assertNotIn(task, running, f"{task} on two workers")
                running[task] = (worker, run)
            elif running.get(task) == (worker, run):
                del running[task]

    def test_jobs_are_served_through_the_loss_of_the_holder(self):
        served = {}
        threads = self.load(40, served)
        self.cluster.kill(self.cluster.holder())
        for thread in threads:
            thread.join(PATIENCE_S)
        done = [row for row in served.values() if row["state"] == "completed"]
        self.assertEqual(40, len(done))
        self.check_runs()

    def test_jobs_are_served_without_any_control_host(self):
        for host in CONTROLS:
            self.cluster.kill(host)
        served = {}
        for thread in self.load(10, served):
            thread.join(PATIENCE_S)
        self.assertEqual(10, len(served))
        self.check_runs()

    def test_a_document_outlives_the_loss_of_all_processes(self):
        for host in CONTROLS:
            self.cluster.kill(host)
        for host in CONTROLS:
            self.cluster.start(host, "control", is_founding=False)
        address = self.cluster.control(CONTROLS[1])
        self.until(lambda: call(address, "GET", "/v1/config/get")[0] == 200)
        _, body = call(address, "GET", "/v1/config/get")
        self.assertEqual(CONFIG, json.loads(body))

    def test_a_planned_stop_cuts_no_job(self):
        served = {}
        host = ENTRIES[0]
        answers = []
        threads = [
            threading.Thread(
                target=lambda n=n: answers.append(
                    self.submit(host, n, work_ms=900)[0]
                )
            )
            for n in range(3)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.2)
        code = self.cluster.kill(host, signal.SIGTERM)
        for thread in threads:
            thread.join(PATIENCE_S)
        self.assertEqual([200, 200, 200], answers)
        self.assertEqual(0, code)
        self.assertEqual({}, served)
