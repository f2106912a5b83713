"""A small deployment on loopback: the project's own programs as processes.

The programs are started with the commands of the deploy file, with settings
as its template gives them. Each host has a loopback address of its own.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HEARTBEAT_MS = 1500
READY_S = 30.0
SERVICE = "svc"
HOST = "a.example"
PREFIX = "/q/"
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r-1",
            "host": HOST,
            "pathPrefix": PREFIX,
            "type": "unsafe",
            "timeoutMs": 60000,
            "targetLatencyMs": 60,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 3,
            "stretch": 1.6,
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "healthCheckPath": "/health",
            "maxConnections": 64,
            "protocol": "h1",
            "tls": False,
            "enforcesCapacity": True,
            "standby": False,
        }
    ],
    "limits": {},
}


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """Writes what was seen, with the time since the start.

    :param path: the file to write
    """

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)  # noqa: SIM115
        self.began_at = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    def add(self, who, what):
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {who:<12} {what}\n")


class Deployment:
    """Control hosts and entry hosts.

    :param record: what was seen
    :param zones: zone of each host: {"control": [...], "entry": [...]}
    :param apart: numbers of entry hosts with a peer port of their own, so
        that their links to others pass through proxies
    """

    def __init__(self, *, record, zones, apart=()):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        rng = random.Random()
        block = f"127.{rng.randint(20, 250)}.{rng.randint(1, 250)}"
        self.controls = [
            f"{block}.{n + 1}" for n in range(len(zones["control"]))
        ]
        self.entries = [
            f"{block}.{n + 51}" for n in range(len(zones["entry"]))
        ]
        self.block = block
        self.zone_of = dict(
            zip(
                [*self.controls, *self.entries],
                [*zones["control"], *zones["entry"]],
                strict=True,
            )
        )
        self.apart = {self.entries[n] for n in apart}
        names = ("control", "front", "ready", "peer", "apart", "metrics")
        self.ports = dict(zip(names, self._free_ports(6), strict=True))
        table = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._commands = {
            role: table["roles"][role]["run"].split()
            for role in ("control", "entry")
        }
        self.processes = {}

    def _free_ports(self, count):
        rng = random.Random()
        found = []
        while len(found) < count:
            port = rng.randint(10_000, 32_000)
            if port in found:
                continue
            with contextlib.suppress(OSError), contextlib.ExitStack() as held:
                for host in (*self.controls, *self.entries):
                    probe = held.enter_context(socket.socket())
                    probe.bind((host, port))
                found.append(port)
        return found

    def peer_port(self, host):
        """Return the port on which a host listens for others."""
        return self.ports["apart" if host in self.apart else "peer"]

    def _settings(self, host, role, is_founding):
        listen = {
            "control": {"control": self.ports["control"]},
            "entry": {
                "front": self.ports["front"],
                "ready": self.ports["ready"],
            },
        }[role]
        zones = sorted(set(self.zone_of.values()))
        seeds = [f"{h}:{self.ports['control']}" for h in self.controls[:3]]
        lines = [
            f'name = "{role}-{host}"',
            f'role = "{role}"',
            f'host = "{host}"',
            f'zone = "{self.zone_of[host]}"',
            f"zones = {json.dumps(zones)}",
            f"seeds = {json.dumps(seeds)}",
            f"peer_port = {self.peer_port(host)}",
            f"founding = {json.dumps(is_founding)}",
        ]
        if role == "control":
            lines.append(f'data_folder = "{self.folder / ("disk-" + host)}"')
        lines += [
            "disk_losses = 1",
            "drain_s = 6",
            "hold_most_ms = 1000",
            "stop_ms = 50",
            f"heartbeat_ms = {HEARTBEAT_MS}",
            f"metrics_port = {self.ports['metrics']}",
            "[listen]",
            *(f'{name} = "{host}:{port}"' for name, port in listen.items()),
        ]
        return "\n".join(lines) + "\n"

    async def start(self, host, *, is_founding=True):
        """Start the process of a host."""
        role = "control" if host in self.controls else "entry"
        path = self.folder / f"{host}.toml"
        path.write_text(self._settings(host, role, is_founding))
        env = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "LANG")
        }
        env["CHERVILWHEEL_NODE_FILE"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.folder / f"{host}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                *self._commands[role],
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes[host] = process
        self.record.add(self.name(host), "process started")

    async def start_all(self):
        """Start all hosts and hand in the first configuration."""
        for host in (*self.controls, *self.entries):
            await self.start(host)
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                answer = await call(
                    (self.controls[0], self.ports["control"]),
                    "POST",
                    "/v1/config/put",
                    CONFIG,
                    timeout_s=1.0,
                )
                if answer.status == 200:
                    break
            await asyncio.sleep(0.1)
        else:
            raise CannotRunError("the configuration was not accepted")
        for host in self.entries:
            await self._until_ready(host, end)
        self.record.add("operator", "configuration acknowledged, all ready")

    async def _until_ready(self, host, end):
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                answer = await call(
                    (host, self.ports["ready"]),
                    "GET",
                    "/v1/readiness",
                    timeout_s=1.0,
                )
                if answer.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{host} did not become ready")

    def signal(self, host, number):
        """Send a signal to the process of a host."""
        name = signal.Signals(number).name
        self.record.add(self.name(host), f"gets {name}")
        self.processes[host].send_signal(number)

    def name(self, host):
        """Return a short name of a host."""
        if host in self.controls:
            return f"control-{self.controls.index(host) + 1}"
        return f"entry-{self.entries.index(host) + 1}"

    def control_addresses(self):
        """Return the addresses for executors and operators."""
        return [(host, self.ports["control"]) for host in self.controls]

    def front(self, number):
        """Return the address for clients of an entry host."""
        return (self.entries[number], self.ports["front"])

    async def metric(self, host, name):
        """Return a metric of a host, None if it isn't there."""
        answer = await call(
            (host, self.ports["metrics"]), "GET", "/metrics", timeout_s=2.0
        )
        for line in answer.body.decode().splitlines():
            key, _, value = line.rpartition(" ")
            if key.endswith(name):
                return float(value)
        return None

    async def leader(self):
        """Return the control host that leads."""
        for host in self.controls:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                if await self.metric(host, "is_holder"):
                    return host
        return None

    def caller_of(self, peer):
        """Return the host whose process has a connection's other end.

        :param peer: address and port of that end
        """
        inode = _inode_of(peer)
        for host, process in self.processes.items():
            folder = pathlib.Path(f"/proc/{process.pid}/fd")
            with contextlib.suppress(OSError):
                for entry in folder.iterdir():
                    with contextlib.suppress(OSError):
                        if os.readlink(entry) == f"socket:[{inode}]":
                            return host
        return None

    def dead(self):
        """Return the hosts whose process has ended."""
        return [
            self.name(host)
            for host, process in self.processes.items()
            if process.returncode is not None
        ]

    async def close(self):
        """End all processes and keep the logs if asked to."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            target = pathlib.Path(keep)
            target.mkdir(parents=True, exist_ok=True)
            for path in self.folder.glob("*.log"):
                (target / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()


def _inode_of(peer):
    host, port = peer
    packed = socket.inet_aton(host)
    if sys.byteorder == "little":
        packed = packed[::-1]
    local = f"{packed.hex().upper()}:{port:04X}"
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == local and fields[9] != "0":
            return fields[9]
    return ""


class Answer:
    """A response to a call."""

    def __init__(self, status, body):
        self.status = status
        self.body = body

    def json(self):
        """Return the body's value."""
        return json.loads(self.body or b"null")


async def call(
    address, method, path, value=None, *, headers=None, timeout_s=1.5
):
    """Send one request on a connection of its own.

    :raises OSError: without a whole response, or after the timeout
    """
    body = b"" if value is None else json.dumps(value).encode()
    head = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    head += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    head += [f"{key}: {text}" for key, text in (headers or {}).items()]
    data = ("\r\n".join(head) + "\r\n\r\n").encode() + body

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(data)
            return await read_response(reader)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except asyncio.IncompleteReadError as exc:
        raise ConnectionResetError("no whole response") from exc


async def read_response(reader):
    """Read one response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status = int(head.split(" ")[1])
    size = 0
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            size = int(value)
    return Answer(status, await reader.readexactly(size))
