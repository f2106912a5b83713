"""Control hosts, entry hosts and stand-in executors as local processes.

The processes are started with the commands of the deploy file, each on a
loopback address of its own.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ("north", "east", "south")
PREFIX = "127.44"
SERVICE = "service"
HOST = "a.example"
# Bounds of the small deployments of the pages.
RECOVERY_S = 12.0
HEARTBEAT_MS = 1500
RESEND_S = 1.3
START_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 1.5
PORTS = ("control", "front", "ready", "peer", "metrics", "executors")
# Those of all executors and proxies, from the last port on.
EXECUTOR_PORTS = 60
# A case that isn't over by then can't run.
MOST_S = 115


class CannotRunError(Exception):
    """The case can't run, which says nothing about the product."""


class Record:
    """Writes what was sent, answered and run, one JSON array a line."""

    def __init__(self, path: pathlib.Path) -> None:
        self.rows: list[tuple] = []
        self._began_at = time.monotonic()
        self._path = path
        self._lock = threading.Lock()

    def add(self, event: str, *values: object) -> None:
        """Add a row with the time since the start, seconds."""
        at = round(time.monotonic() - self._began_at, 3)
        with self._lock:
            self.rows.append((at, event, *values))

    def write(self, runs: pathlib.Path) -> None:
        """Write all rows, and those of the stand-in executors."""
        rows = list(self.rows)
        if runs.exists():
            for line in runs.read_text().splitlines():
                at, *values = json.loads(line)
                rows.append((round(at - self._began_at, 3), *values))
        rows.sort(key=lambda row: row[0])
        text = "".join(json.dumps(row) + "\n" for row in rows)
        self._path.write_text(text)


class World:
    """A deployment of three zones with a control and an entry host each.

    :param folder: where the record is written
    """

    def __init__(self, folder: pathlib.Path) -> None:
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("the build of the deploy file is missing")
        self.controls = [f"control-{zone}" for zone in ZONES]
        self.entries = [f"entry-{zone}" for zone in ZONES]
        self.record = Record(folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self.runs = self.folder / "runs.jsonl"
        self._signalled: set[str] = set()
        self._processes: dict[str, subprocess.Popen] = {}
        number = random.randrange(1, 250)
        self._hosts = {
            name: f"{PREFIX}.{number}.{index}"
            for index, name in enumerate(self.controls + self.entries, 1)
        }
        self._executor_host = f"{PREFIX}.{number}.100"
        table = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._commands = {
            role: table["roles"][role]["run"].split()
            for role in ("control", "entry")
        }
        self.ports = self._free_ports()
        self._next_executor_port = self.ports["executors"]

    def __enter__(self) -> "World":
        """Return the deployment; nothing is started yet."""
        return self

    def __exit__(self, *_: object) -> None:
        """End all processes and write the record."""
        signal.alarm(0)
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            process.wait()
        self.record.write(self.runs)
        shutil.rmtree(self.folder, ignore_errors=True)

    def _free_ports(self) -> dict[str, int]:
        """Return ports that are free on all addresses."""
        addresses = list(self._hosts.values())
        for _ in range(100):
            first = random.randrange(20_000, 30_000)
            ports = {name: first + 20 * n for n, name in enumerate(PORTS)}
            try:
                for address in addresses:
                    for port in ports.values():
                        _check_free(address, port)
                for number in range(EXECUTOR_PORTS):
                    port = ports["executors"] + number
                    _check_free(self._executor_host, port)
            except OSError:
                continue
            return ports
        raise CannotRunError("no free ports")

    def address(self, name: str, port: str) -> tuple[str, int]:
        """Return the address of one of the ports of a host."""
        return self._hosts[name], self.ports[port]

    def text_address(self, name: str, port: str) -> str:
        """Return the same as ``host:port``."""
        return f"{self._hosts[name]}:{self.ports[port]}"

    def start_hosts(self) -> None:
        """Start all control hosts and entry hosts for the first time."""
        for name in (*self.controls, *self.entries):
            self.start(name, is_founding=True)

    def start_executors(
        self,
        zone: str,
        *,
        count: int,
        cpu: int = 16_000,
        service: str = SERVICE,
        linger_s: float = 0.5,
        module: str = "lib_3.executors",
    ) -> str:
        """Start stand-ins of executors; return the name of their process.

        :param count: number of executors
        :param cpu: their capacity in thousandths of a core
        :param linger_s: how long one that leaves goes on after its drain time
        :param module: the program of the stand-ins
        """
        name = f"executors-{service}-{zone}"
        command = [sys.executable, "-m", module]
        command += ["--host", self._executor_host]
        command += ["--port", str(self._next_executor_port)]
        command += ["--count", str(count), "--cpu", str(cpu)]
        command += ["--service", service, "--zone", zone]
        command += ["--linger-s", str(linger_s), "--runs", str(self.runs)]
        for host in self.controls:
            command += ["--control", self.text_address(host, "control")]
        self._next_executor_port += 2 * count
        path = os.pathsep.join([str(ROOT / "review"), str(ROOT)])
        self._spawn(name, command, {"PYTHONPATH": path})
        return name

    def start(self, name: str, *, is_founding: bool = False) -> None:
        """Start the process of a host."""
        role, _, zone = name.partition("-")
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(name, role, zone, is_founding))
        self._spawn(
            name,
            [sys.executable, *self._commands[role][1:]],
            {
                "CHERVILWHEEL_NODE_FILE": str(path),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
            },
        )
        self.record.add("process started", name)

    def _settings(
        self, name: str, role: str, zone: str, is_founding: bool
    ) -> str:
        values: dict[str, object] = {
            "name": name,
            "role": role,
            "host": self._hosts[name],
            "zone": zone,
            "zones": list(ZONES),
            "seeds": [
                self.text_address(name, "control") for name in self.controls
            ],
            "peer_port": self.ports["peer"],
            "founding": is_founding,
            "disk_losses": 1,
            "drain_s": 6,
            "hold_most_ms": 1000,
            "stop_ms": 50,
            "heartbeat_ms": HEARTBEAT_MS,
            "resend_ms": int(1000 * RESEND_S),
            "memory_mb": 300,
            "max_descriptors": 4100,
            "metrics_port": self.ports["metrics"],
        }
        if role == "control":
            values["data_folder"] = str(self._data(name))
        lines = [
            f"{key} = {json.dumps(value)}" for key, value in values.items()
        ]
        lines.append("[listen]")
        listen = ("control",) if role == "control" else ("front", "ready")
        lines += [
            f'{port} = "{self.text_address(name, port)}"' for port in listen
        ]
        return "\n".join(lines) + "\n"

    def _data(self, name: str) -> pathlib.Path:
        return self.folder / f"data-{name}"

    def _spawn(self, name: str, command: list[str], env: dict) -> None:
        with open(self.folder / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=os.environ | env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._signalled.add(name)
        self.record.add("signal", name, number.name)
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self._processes.pop(name).wait()

    def wipe(self, name: str) -> None:
        """Remove what a host that doesn't run has stored."""
        self.record.add("disk lost", name)
        shutil.rmtree(self._data(name))

    def ended(self) -> list[str]:
        """Return the processes that have ended by themselves."""
        return [
            f"{name}: {process.returncode}"
            for name, process in self._processes.items()
            if process.poll() is not None and name not in self._signalled
        ]

    def call(
        self,
        name: str,
        port: str,
        method: str,
        path: str,
        value: object = None,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        host: str = HOST,
    ) -> tuple[int, bytes]:
        """Send one HTTP request; the status is 0 without a response."""
        conn = http.client.HTTPConnection(
            *self.address(name, port), timeout=timeout_s
        )
        body = None if value is None else json.dumps(value)
        headers = {
            "Host": host,
            "Content-Type": "application/json",
            "Request-Timeout-Ms": str(int(timeout_s * 1000)),
        }
        try:
            conn.request(method, path, body, headers)
            answer = conn.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            conn.close()

    def put_config(self, config: dict, *, timeout_s: float = 20.0) -> bool:
        """Send a configuration to any control host until it is accepted."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            for name in self.controls:
                status, _ = self.call(
                    name,
                    "control",
                    "POST",
                    "/v1/config/put",
                    config,
                    timeout_s=1.0,
                )
                self.record.add("config", name, config["version"], status)
                if status == 200:
                    return True
                if 400 <= status < 500:
                    return False
            time.sleep(0.1)
        return False

    def leader(self, *, timeout_s: float = START_TIMEOUT_S) -> str:
        """Return the control host that says to be the holder."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            for name in self.controls:
                _, body = self.call(
                    name, "metrics", "GET", "/metrics", timeout_s=0.5
                )
                if b"chervilwheel_is_holder 1" in body:
                    return name
            time.sleep(0.05)
        raise CannotRunError("there is no leader")

    def await_ready(self) -> None:
        """Wait until all entry hosts accept jobs and run them."""
        for name in self.entries:
            ends_at = time.monotonic() + START_TIMEOUT_S
            while time.monotonic() < ends_at:
                status, _ = self.call(name, "ready", "GET", "/v1/readiness")
                if status == 200:
                    break
                time.sleep(0.05)
            else:
                raise CannotRunError(f"{name} isn't ready")


def route(name: str, **fields: object) -> dict:
    """Return a route like those of the pages' example."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "type": "unsafe",
        "timeoutMs": 1500,
        "targetLatencyMs": 60,
        "priority": 0,
        "service": SERVICE,
        "maxAttempts": 3,
        "stretch": 1.6,
        **fields,
    }


def config(
    version: int, routes: list[dict], services: tuple[str, ...] = (SERVICE,)
) -> dict:
    """Return a configuration like that of the pages' example."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": service,
                "healthCheckPath": "/health",
                "maxConnections": 64,
                "protocol": "h1",
                "tls": False,
                "enforcesCapacity": True,
                "standby": False,
            }
            for service in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def job(
    *, count: int = 2, cpu: int = 500, work_ms: int = 100, **fields: object
) -> dict:
    """Return a job whose tasks the stand-in executors can run."""
    return {
        "spec": json.dumps([cpu, work_ms]),
        "bestEffort": True,
        "steps": [
            {
                "count": count,
                "cpu": cpu,
                "memMb": 64,
                "estimatedMs": work_ms,
                **fields,
            }
        ],
    }


def new_id() -> str:
    """Return the id of a job."""
    return f"{random.getrandbits(64):016x}"


def _check_free(address: str, port: int) -> None:
    with socket.socket() as probe:
        probe.bind((address, port))


def _give_up(number: int, _frame: typing.Any) -> typing.NoReturn:
    raise CannotRunError(f"ended by {signal.Signals(number).name}")


def main(folder: pathlib.Path, play: typing.Callable[[World], int]) -> int:
    """Play a case; return its exit code, 2 if it couldn't run."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _give_up)
    signal.alarm(MOST_S)
    try:
        with World(folder) as deployment:
            code = play(deployment)
            ended = deployment.ended()
            print(f"ended by themselves: {ended}" if ended else "none ended")
            if any(name.startswith("executors") for name in ended):
                raise CannotRunError("a stand-in has ended")
            return code
    except Exception as exc:
        # Whatever goes wrong in the case itself says nothing of the product.
        print(f"the case can't run: {exc!r}", file=sys.stderr)
        return 2
