"""Start and stop the processes of one run, and inject faults."""

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
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 40.0


class Usage(typing.NamedTuple):
    """CPU time and peak resident memory of a process."""

    cpu_s: float
    rss_mb: float


class Cluster:
    """The daemons and stand-in executors of one run, as local processes.

    :param plan: the layout
    :param folder: folder for settings, data and logs
    :param seed: seed of the stand-in executors
    """

    def __init__(
        self, *, plan: layout.Layout, folder: pathlib.Path, seed: int
    ) -> None:
        self.plan = plan
        self.folder = folder
        self.nodes = layout.create_nodes(plan, folder)
        self._seed = seed
        self._stack = contextlib.ExitStack()
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self._usage: dict[str, Usage] = {}
        self.executors: list[str] = []
        self.bad_mode = "fail"
        self._executor_args: dict[str, list[str]] = {}

    def __enter__(self) -> "Cluster":
        """Start all processes and wait until the cluster is ready."""
        self._stack.callback(self.stop)
        try:
            self._start_all()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Stop all processes."""
        self._stack.close()

    @property
    def entries(self) -> list[layout.Node]:
        """The entry instances."""
        return [node for node in self.nodes if node.role == "entry"]

    @property
    def keepers(self) -> list[layout.Node]:
        """The keeper instances."""
        return [node for node in self.nodes if node.role == "keeper"]

    @property
    def starts_file(self) -> pathlib.Path:
        """The file in which stand-in executors record task starts."""
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
        """Kill a process with SIGKILL and wait for its end."""
        self._record_usage(name)
        proc = self._running.pop(name)
        proc.kill()
        proc.wait()

    def terminate(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM and wait; kill the process after the timeout.

        :returns: its exit code
        """
        proc = self._running.pop(name)
        proc.terminate()
        with contextlib.suppress(subprocess.TimeoutExpired):
            return proc.wait(timeout_s)
        proc.kill()
        return proc.wait()

    def request_stop(self, name: str) -> subprocess.Popen[bytes]:
        """Send SIGTERM to a process without waiting for its end."""
        proc = self._running.pop(name)
        proc.terminate()
        return proc

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self._running[name].send_signal(number)

    def delete_data(self, node: layout.Node) -> None:
        """Delete the data folder of a daemon that isn't running."""
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
            the request failed
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
        """Make a daemon drop messages from or to some peers.

        :param peers: names of the peers
        :param mode: direction to drop: in, out, both or none
        """
        body = {"instances": peers, "direction": mode}
        self.call(node, "POST", "/v1/rehearsal/cut", body)

    def wait_for_health(self, nodes: typing.Sequence[layout.Node]) -> None:
        """Wait until the health checks of daemons pass.

        :raises TimeoutError: when one doesn't within ``START_TIMEOUT_S``
        """
        self.wait_until(
            lambda: all(
                self.call(node, "GET", "/v1/health")[0] == 200
                for node in nodes
            ),
            "the daemons to be healthy",
        )

    def usage(self) -> dict[str, Usage]:
        """Read the resource usage of the daemons so far, by name."""
        for node in self.nodes:
            if node.name in self._running:
                self._record_usage(node.name)
        return dict(self._usage)

    def metrics(self) -> dict[str, float]:
        """Sum the metrics without labels over all reachable daemons."""
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
        """Start or restart a stand-in executor with extra arguments."""
        self._spawn(name, self._executor_args[name] + extra)

    def stop(self) -> None:
        """Stop all processes; executors are killed, daemons terminated.

        SIGCONT comes first, since a suspended process would not handle
        the SIGTERM.
        """
        for name, proc in list(self._running.items()):
            proc.send_signal(signal.SIGCONT)
            if name in self.executors:
                proc.kill()
            else:
                proc.terminate()
        for proc in self._running.values():
            try:
                proc.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                proc.kill()
                proc.wait()
        self._running.clear()

    def _start_all(self) -> None:
        layout.write_settings(self.plan, self.nodes)
        for node in self.keepers:
            self._initialize_data(node)
            self.start_node(node)
        for node in self.entries:
            self.start_node(node)
        self.wait_for_health(self.nodes)
        self._prepare_executors()
        for name in self.executors:
            self.start_executor(name, [])
        self._wait_for_endpoints()

    def _initialize_data(self, node: layout.Node) -> None:
        """Create the data folder of a new keeper."""
        args = [sys.executable, "-m", "chervilwheel.commands"]
        args += ["data", "found", str(node.data)]
        subprocess.run(args, check=True, stdout=subprocess.DEVNULL)

    def _prepare_executors(self) -> None:
        total = sum(self.plan.executors)
        free_ports = iter(ports.block().allocate(total))
        number = 0
        for zone, count in zip(
            self.plan.zones, self.plan.executors, strict=True
        ):
            entries = [n.http for n in self.entries if n.zone == zone]
            for index in range(count):
                number += 1
                name = f"executor-{number}"
                args = [sys.executable, "-m", "standins.executor"]
                args += ["--name", name, "--zone", zone]
                args += ["--service", SERVICE, "--port", str(next(free_ports))]
                args += ["--rack", f"rack-{index // 8}"]
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
        log_file = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        with log_file:
            env = dict(os.environ, PYTHONHASHSEED="0")
            self._running[name] = subprocess.Popen(
                args, stdout=log_file, stderr=log_file, env=env
            )

    def _wait_for_endpoints(self) -> None:
        def all_registered() -> bool:
            for node in self.entries:
                _, body = self.call(node, "GET", "/v1/endpoints")
                endpoints = (body or {}).get("endpoints", [])
                zone_index = self.plan.zones.index(node.zone)
                if len(endpoints) < self.plan.executors[zone_index]:
                    return False
            return True

        self.wait_until(all_registered, "all endpoints to be registered")

    @staticmethod
    def wait_until(
        condition: typing.Callable[[], bool],
        description: str,
        timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        """Poll a condition until it holds.

        :param description: the condition, for the error message
        :raises TimeoutError: when the condition doesn't hold in time
        """
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(f"timed out waiting for {description}")
            time.sleep(0.1)

    def _record_usage(self, name: str) -> None:
        proc = self._running.get(name)
        if proc is None:
            return
        proc_folder = pathlib.Path("/proc") / str(proc.pid)
        with contextlib.suppress(OSError, IndexError, ValueError):
            fields = (
                (proc_folder / "stat").read_text().rpartition(")")[2].split()
            )
            ticks = int(fields[11]) + int(fields[12])
            cpu_s = ticks / os.sysconf("SC_CLK_TCK")
            rss_mb = 0.0
            for line in (proc_folder / "status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    rss_mb = int(line.split()[1]) / 1024
            self._usage[name] = Usage(cpu_s, rss_mb)


def _decode(data: bytes) -> typing.Any:
    text = data.decode()
    try:
        return json.loads(text)
    except ValueError:
        return text
