"""Start, hurt and stop the processes of one run."""

import contextlib
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time
import typing
import urllib.error
import urllib.request

from loadtool import layout
from loadtool import ports

SERVICE = "pricing"
START_S = 60.0
STOP_S = 40.0


class Usage(typing.NamedTuple):
    """What a process has used: seconds of processor, MB at its peak."""

    cpu_s: float
    rss_mb: float


class Cluster:
    """The daemons and stand-ins of one run, as plain processes.

    :param plan: the layout
    :param folder: where settings, data and logs go
    :param seed: seed of the stand-ins
    """

    def __init__(
        self, *, plan: layout.Layout, folder: pathlib.Path, seed: int
    ) -> None:
        self.plan = plan
        self.folder = folder
        self.nodes = layout.plan(plan, folder)
        self._seed = seed
        self._stack = contextlib.ExitStack()
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self._usage: dict[str, Usage] = {}
        self.executors: list[str] = []
        self.bad_mode = "fail"
        self._executor_args: dict[str, list[str]] = {}

    def __enter__(self) -> "Cluster":
        """Start everything and wait until it serves."""
        self._stack.callback(self.stop)
        try:
            self._start_all()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Stop everything."""
        self._stack.close()

    @property
    def entries(self) -> list[layout.Node]:
        """The entry instances."""
        return [node for node in self.nodes if node.role == "entry"]

    @property
    def keepers(self) -> list[layout.Node]:
        """The keepers."""
        return [node for node in self.nodes if node.role == "keeper"]

    @property
    def starts_file(self) -> pathlib.Path:
        """Where the stand-ins note what they start."""
        return self.folder / "starts.jsonl"

    def node(self, name: str) -> layout.Node:
        """Find a daemon by name."""
        return next(node for node in self.nodes if node.name == name)

    def start_node(self, node: layout.Node) -> None:
        """Start one daemon."""
        args = [
            sys.executable,
            "-m",
            "chervilwheel.daemon",
            "--settings",
            str(node.settings),
        ]
        self._spawn(node.name, args)

    def kill(self, name: str) -> None:
        """Kill a process without warning."""
        self._note_usage(name)
        proc = self._running.pop(name)
        proc.kill()
        proc.wait()

    def terminate(self, name: str, timeout_s: float = STOP_S) -> int:
        """Ask a process to stop and wait for it.

        :returns: its exit code
        """
        proc = self._running.pop(name)
        proc.terminate()
        with contextlib.suppress(subprocess.TimeoutExpired):
            return proc.wait(timeout_s)
        proc.kill()
        return proc.wait()

    def request_stop(self, name: str) -> subprocess.Popen[bytes]:
        """Ask a process to stop, without waiting."""
        proc = self._running.pop(name)
        proc.terminate()
        return proc

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self._running[name].send_signal(number)

    def wipe(self, node: layout.Node) -> None:
        """Lose a daemon's disk; it must not be running."""
        shutil.rmtree(node.data, ignore_errors=True)

    def call(
        self,
        node: layout.Node,
        method: str,
        path: str,
        body: typing.Any = None,
        *,
        token: str = layout.OPERATOR_TOKEN,
        key: str | None = None,
        timeout_s: float = 5.0,
    ) -> tuple[int, typing.Any]:
        """Make one HTTP request to a daemon.

        :returns: the status and the decoded body; status 0 when it
            can't be reached
        """
        data = None if body is None else json.dumps(body).encode()
        req = urllib.request.Request(
            f"http://{node.http}{path}", data=data, method=method
        )
        req.add_header("Authorization", f"Bearer {token}")
        if key is not None:
            req.add_header("Idempotency-Key", key)
        try:
            with urllib.request.urlopen(req, timeout=timeout_s) as res:
                return res.status, _decode(res.read())
        except urllib.error.HTTPError as exc:
            return exc.code, _decode(exc.read())
        except (OSError, ValueError):
            return 0, None

    def cut(self, node: layout.Node, peers: list[str], mode: str) -> None:
        """Make a daemon drop traffic: mode in, out, both or none."""
        body = {"instances": peers, "direction": mode}
        self.call(node, "POST", "/v1/rehearsal/cut", body)

    def wait_for_health(self, nodes: typing.Sequence[layout.Node]) -> None:
        """Wait until daemons say that they serve.

        :raises TimeoutError: when one doesn't within ``START_S``
        """
        self.wait_until(
            lambda: all(
                self.call(node, "GET", "/v1/health")[0] == 200
                for node in nodes
            ),
            "the daemons to serve",
        )

    def usage(self) -> dict[str, Usage]:
        """Read what the daemons have used so far, by name."""
        for node in self.nodes:
            if node.name in self._running:
                self._note_usage(node.name)
        return dict(self._usage)

    def metrics(self) -> dict[str, float]:
        """Add up the counters of all daemons that answer."""
        totals: dict[str, float] = {}
        for node in self.nodes:
            status, text = self.call(node, "GET", "/metrics")
            if status != 200 or not isinstance(text, str):
                continue
            for line in text.splitlines():
                if line.startswith("#") or "{" in line:
                    continue
                name, _, value = line.partition(" ")
                totals[name] = totals.get(name, 0.0) + float(value)
        return totals

    def start_executor(self, name: str, extra: list[str]) -> None:
        """Start, or start again, one stand-in executor."""
        self._spawn(name, self._executor_args[name] + extra)

    def stop(self) -> None:
        """Stop every process; stand-ins first."""
        for name, proc in list(self._running.items()):
            proc.send_signal(signal.SIGCONT)
            if name in self.executors:
                proc.kill()
            else:
                proc.terminate()
        for proc in self._running.values():
            try:
                proc.wait(STOP_S)
            except subprocess.TimeoutExpired:
                proc.kill()
                proc.wait()
        self._running.clear()

    def _start_all(self) -> None:
        layout.write_settings(self.plan, self.nodes)
        for node in self.keepers:
            self._found(node)
            self.start_node(node)
        for node in self.entries:
            self.start_node(node)
        self.wait_for_health(self.nodes)
        self._plan_executors()
        for name in self.executors:
            self.start_executor(name, [])
        self._wait_for_endpoints()

    def _found(self, node: layout.Node) -> None:
        args = [sys.executable, "-m", "chervilwheel.commands"]
        args += ["data", "found", str(node.data)]
        subprocess.run(args, check=True, stdout=subprocess.DEVNULL)

    def _plan_executors(self) -> None:
        total = sum(self.plan.executors)
        numbers = iter(ports.block().take(total))
        number = 0
        for zone, count in zip(
            self.plan.zones, self.plan.executors, strict=True
        ):
            entries = [n.http for n in self.entries if n.zone == zone]
            for place in range(count):
                number += 1
                name = f"executor-{number}"
                args = [sys.executable, "-m", "standins.executor"]
                args += ["--name", name, "--zone", zone]
                args += ["--service", SERVICE, "--port", str(next(numbers))]
                args += ["--rack", f"rack-{place // 8}"]
                args += ["--bad-mode", self.bad_mode]
                args += ["--slots", str(self.plan.slots)]
                args += ["--token", layout.OPERATOR_TOKEN]
                args += ["--starts", str(self.starts_file)]
                args += ["--seed", str(self._seed + number)]
                args += ["--run-ms", *map(str, self.plan.run_ms)]
                for address in entries:
                    args += ["--entry", address]
                self.executors.append(name)
                self._executor_args[name] = args

    def _spawn(self, name: str, args: list[str]) -> None:
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        with log:
            env = dict(os.environ, PYTHONHASHSEED="0")
            self._running[name] = subprocess.Popen(
                args, stdout=log, stderr=log, env=env
            )

    def _wait_for_endpoints(self) -> None:
        def is_complete() -> bool:
            for node in self.entries:
                _, table = self.call(node, "GET", "/v1/endpoints")
                known = (table or {}).get("endpoints", [])
                place = self.plan.zones.index(node.zone)
                if len(known) < self.plan.executors[place]:
                    return False
            return True

        self.wait_until(is_complete, "all endpoints to be known")

    @staticmethod
    def wait_until(
        is_true: typing.Callable[[], bool], what: str, limit_s: float = START_S
    ) -> None:
        """Wait for a condition.

        :raises TimeoutError: naming what was waited for
        """
        ends_at = time.monotonic() + limit_s
        while not is_true():
            if time.monotonic() > ends_at:
                raise TimeoutError(f"waited in vain for {what}")
            time.sleep(0.1)

    def _note_usage(self, name: str) -> None:
        proc = self._running.get(name)
        if proc is None:
            return
        folder = pathlib.Path("/proc") / str(proc.pid)
        with contextlib.suppress(OSError, IndexError, ValueError):
            fields = (folder / "stat").read_text().rpartition(")")[2].split()
            ticks = int(fields[11]) + int(fields[12])
            cpu_s = ticks / os.sysconf("SC_CLK_TCK")
            rss_mb = 0.0
            for line in (folder / "status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    rss_mb = int(line.split()[1]) / 1024
            self._usage[name] = Usage(cpu_s, rss_mb)


def _decode(data: bytes) -> typing.Any:
    text = data.decode()
    try:
        return json.loads(text)
    except ValueError:
        return text
