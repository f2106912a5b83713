"""End-to-end tests with workers: real processes on the loopback interface.

Three control hosts and two entry hosts are started as the platform starts
them, with simulated workers that record every run.
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
# Long enough that only a real fault exceeds it; no test checks a latency.
TIMEOUT_S = 60.0
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
    """Send one HTTP request; returns the status and the body."""
    conn = http.client.HTTPConnection(*address, timeout=TIMEOUT_S)
    try:
        body = None if value is None else json.dumps(value)
        conn.request(method, path, body, {"Host": host})
        answer = conn.getresponse()
        return answer.status, answer.read()
    finally:
        conn.close()


def wait_until(test, cluster, condition):
    """Wait until a condition holds, else fail the test."""
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    test.fail("the condition was not met in time\n" + cluster.report())


class Cluster:
    """The processes of one test, with their ports and log files."""

    def __init__(self, folder):
        self.folder = folder
        names = ("control", "front", "ready", "peer", "workers")
        numbers = ports.block().allocate(len(names))
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
            *self.settings(role),
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

    def settings(self, _role):
        """Return further lines of the settings."""
        return []

    def start_workers(self):
        command = [sys.executable, "-m", "standins.workers"]
        command += ["--port", str(self.ports["workers"])]
        command += ["--runs", str(self.runs)]
        for host in CONTROLS:
            command += ["--control", f"{host}:{self.ports['control']}"]
        self.spawn("workers", command, {})

    def spawn(self, name, command, env):
        log = open(self.folder / f"{name}.log", "a")  # noqa: SIM115
        self.processes[name] = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**os.environ, **env},
            stdout=log,
            stderr=log,
        )
        log.close()

    def kill(self, host, number=signal.SIGKILL):
        process = self.processes.pop(host)
        process.send_signal(number)
        return process.wait(TIMEOUT_S)

    def holder(self):
        """Return the control host that became the holder last."""
        found = []
        for host in CONTROLS:
            text = (self.folder / f"{host}.log").read_text()
            for line in text.splitlines():
                if "holding: begun" in line:
                    row = json.loads(line)
                    found.append((row["term"], host))
        return max(found)[1] if found else None

    def report(self):
        """Return the exit codes and the last part of each log."""
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
            process.wait(TIMEOUT_S)


class WorkerPathTest(testtools.TestCase):
    """Jobs from an entry host to workers and back."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster(pathlib.Path(folder.name))
        self.addCleanup(self.cluster.close)
        for host in CONTROLS:
            self.cluster.start(host, "control")
        for host in ENTRIES:
            self.cluster.start(host, "entry")
        self.cluster.start_workers()
        self.wait_until(self.is_config_accepted)
        for host in ENTRIES:
            self.wait_until(lambda h=host: self.serves_jobs(h))

    def wait_until(self, condition):
        wait_until(self, self.cluster, condition)

    def is_config_accepted(self):
        address = self.cluster.control(CONTROLS[0])
        return call(address, "POST", "/v1/config/put", CONFIG)[0] == 200

    def serves_jobs(self, host):
        self.probes = getattr(self, "probes", 0) + 1
        return self.submit(host, 0xF00000 + self.probes, tasks=1)[0] == 200

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
        """Submit a job as a caller does, with a retry after each failure."""
        for attempt in range(100):
            host = ENTRIES[attempt % len(ENTRIES)]
            try:
                status, body = self.submit(host, number, **options)
            except (OSError, http.client.HTTPException):
                status, body = 0, b""
            if status == 200:
                served[number] = json.loads(body)
                return
            time.sleep(1.3)

    def submit_concurrently(self, jobs, served, **options):
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

    def check_no_task_ran_twice(self):
        """Check that no task ran on two workers at the same time."""
        rows = [
            json.loads(line)
            for line in self.cluster.runs.read_text().splitlines()
        ]
        running = {}
        for _, event, worker, task, run, _end_kind in sorted(rows):
            if event == "start":
                if task in running:
                    self.fail(self.describe_runs(rows, task))
                running[task] = (worker, run)
            elif running.get(task) == (worker, run):
                del running[task]

    def describe_runs(self, rows, task):
        """Return a task's events, and the log lines about its job."""
        lines = [f"{task} on two workers"]
        lines.extend(str(row) for row in sorted(rows) if row[3] == task)
        job = task.partition(".")[0]
        for path in sorted(self.cluster.folder.glob("*.log")):
            lines.extend(
                f"{path.name}: {line}"
                for line in path.read_text().splitlines()
                if job in line or "holding:" in line
            )
        return "\n".join(lines)

    def test_jobs_are_served_despite_the_loss_of_the_holder(self):
        served = {}
        threads = self.submit_concurrently(40, served)
        self.cluster.kill(self.cluster.holder())
        for thread in threads:
            thread.join(TIMEOUT_S)
        done = [row for row in served.values() if row["state"] == "completed"]
        self.assertEqual(40, len(done))
        self.check_no_task_ran_twice()

    def test_jobs_are_served_without_any_control_host(self):
        for host in CONTROLS:
            self.cluster.kill(host)
        served = {}
        for thread in self.submit_concurrently(10, served):
            thread.join(TIMEOUT_S)
        self.assertEqual(10, len(served))
        self.check_no_task_ran_twice()

    def test_the_config_survives_a_restart_of_all_control_hosts(self):
        for host in CONTROLS:
            self.cluster.kill(host)
        for host in CONTROLS:
            self.cluster.start(host, "control", is_founding=False)
        address = self.cluster.control(CONTROLS[1])
        self.wait_until(
            lambda: call(address, "GET", "/v1/config/get")[0] == 200
        )
        _, body = call(address, "GET", "/v1/config/get")
        self.assertEqual(CONFIG, json.loads(body))

    def test_a_planned_stop_completes_running_jobs(self):
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
            thread.join(TIMEOUT_S)
        self.assertEqual([200, 200, 200], answers)
        self.assertEqual(0, code)
        self.assertEqual({}, served)
