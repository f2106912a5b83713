"""Control hosts and entry hosts as local processes."""

import asyncio
import contextlib
import json
import logging
import os
import pathlib
import shutil
import signal
import socket
import sys
import tomllib
import typing
import urllib.request

from loadtool import ports
from soak import links
from soak import schedules

_LOG = logging.getLogger("soak")
ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_MS = 1500
STOP_MS = 50
MAX_HOLD_MS = 1000
# A process that was told to stop is killed after this time.
GRACE_S = 6.0
PROBE_TIMEOUT_S = 0.5
ADDRESS_PREFIX = "127.21.0"
EXECUTOR_PREFIX = "127.21.1"
PORT_NAMES = ("control", "front", "ready", "metrics", "executor")


class CannotRunError(Exception):
    """The run can't take place, which says nothing about the product."""


class Hosts:
    """Starts hosts and sends them signals.

    A host connects to its peers at their addresses and its own peer port.
    Each has another peer port, so that a relay can listen for every pair.

    :param folder: folder for settings, data and logs
    :param net: the links between the hosts
    :ivar zones: zone of each host
    :ivar unexpected_ends: hosts whose process ended by itself
    """

    def __init__(self, *, folder: pathlib.Path, net: links.Links) -> None:
        self.controls = [f"control-{zone}" for zone in schedules.ZONES]
        self.entries = [f"entry-{zone}" for zone in schedules.ZONES]
        self.zones = {
            name: name.rpartition("-")[2]
            for name in (*self.controls, *self.entries)
        }
        self.unexpected_ends: list[str] = []
        self._folder = folder
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._watchers: dict[str, asyncio.Task[None]] = {}
        self._stopping: set[str] = set()
        self._addresses = {
            name: f"{ADDRESS_PREFIX}.{number}"
            for number, name in enumerate(self.zones, 1)
        }
        names = (*PORT_NAMES, *self.zones)
        try:
            numbers = ports.block().allocate(len(names))
            self.ports = dict(zip(names, numbers, strict=True))
            self._check_ports()
            table = tomllib.loads((ROOT / "deploy/system.toml").read_text())
            self._commands = {
                role: table["roles"][role]["run"].split()
                for role in ("control", "entry")
            }
        except (OSError, KeyError, ValueError) as exc:
            raise CannotRunError(f"before the start: {exc!r}") from exc
        self._relays = [
            links.Relay(
                links=net,
                pair=(source, target),
                listen=(self._addresses[target], self.ports[source]),
                target=(self._addresses[target], self.ports[target]),
            )
            for source in self.zones
            for target in self.zones
            if source != target
        ]

    def _check_ports(self) -> None:
        for address in self._addresses.values():
            for port in self.ports.values():
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((address, port))

    def address(self, name: str, port: str) -> str:
        """Return ``host:port`` of one of the ports of a host."""
        return f"{self._addresses[name]}:{self.ports[port]}"

    def addresses(
        self, names: typing.Iterable[str], port: str
    ) -> dict[str, str]:
        """Return the address of one of the ports of each host."""
        return {name: self.address(name, port) for name in names}

    async def start_all(self) -> None:
        """Start the relays and all hosts for the first time."""
        for relay in self._relays:
            await relay.open()
        for name in self.zones:
            await self.start(name, is_founding=True)

    async def start(self, name: str, *, is_founding: bool = False) -> None:
        """Start the process of a host."""
        role = name.partition("-")[0]
        settings = self._folder / f"{name}.toml"
        settings.write_text(self._settings(name, role, is_founding))
        path = [str(ROOT / "target" / "deps"), os.environ.get("PYTHONPATH")]
        env = os.environ | {
            "CHERVILWHEEL_NODE_FILE": str(settings),
            "PYTHONPATH": os.pathsep.join(filter(None, path)),
        }
        _, *args = self._commands[role]
        with open(self._folder / f"{name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *args,
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self._processes[name] = process
        self._watchers[name] = asyncio.create_task(self._watch(name, process))
        _LOG.info("%s started", name)

    def _settings(self, name: str, role: str, is_founding: bool) -> str:
        listen = {"control": ("control",), "entry": ("front", "ready")}[role]
        seeds = [self.address(seed, "control") for seed in self.controls[:3]]
        values: dict[str, typing.Any] = {
            "name": name,
            "role": role,
            "host": self._addresses[name],
            "zone": self.zones[name],
            "zones": list(schedules.ZONES),
            "seeds": seeds,
            "peer_port": self.ports[name],
            "founding": is_founding,
            "disk_losses": 1,
            "drain_s": int(GRACE_S),
            "hold_most_ms": MAX_HOLD_MS,
            "stop_ms": STOP_MS,
            "heartbeat_ms": HEARTBEAT_MS,
            "metrics_port": self.ports["metrics"],
        }
        if role == "control":
            values["data_folder"] = str(self._data_folder(name))
        lines = [f"{key} = {json.dumps(val)}" for key, val in values.items()]
        lines.append("[listen]")
        lines += [f'{port} = "{self.address(name, port)}"' for port in listen]
        return "\n".join(lines) + "\n"

    def _data_folder(self, name: str) -> pathlib.Path:
        return self._folder / f"data-{name}"

    def wipe(self, name: str) -> None:
        """Remove what a host that doesn't run has stored."""
        _LOG.info("%s loses its disk", name)
        shutil.rmtree(self._data_folder(name), ignore_errors=True)

    async def _watch(
        self, name: str, process: asyncio.subprocess.Process
    ) -> None:
        code = await process.wait()
        _LOG.info("%s ended with %d", name, code)
        if name in self._stopping:
            self._stopping.discard(name)
        else:
            self.unexpected_ends.append(f"{name} ended with {code}")

    def is_running(self, name: str) -> bool:
        """Whether a process runs that wasn't told to stop."""
        process = self._processes.get(name)
        return (
            process is not None
            and process.returncode is None
            and name not in self._stopping
        )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a host."""
        _LOG.info("%s gets %s", name, number.name)
        with contextlib.suppress(ProcessLookupError):
            self._processes[name].send_signal(number)

    async def stop(self, name: str, number: signal.Signals) -> None:
        """Stop a process by a signal, and wait for its end."""
        self._stopping.add(name)
        self.send_signal(name, number)
        watcher = self._watchers[name]
        try:
            await asyncio.wait_for(asyncio.shield(watcher), GRACE_S)
        except TimeoutError:
            self.send_signal(name, signal.SIGKILL)
            await watcher

    def pids(self) -> dict[str, int]:
        """Return the process id of each host that runs."""
        return {
            name: process.pid
            for name, process in self._processes.items()
            if process.returncode is None
        }

    async def get(self, name: str, port: str, path: str) -> str:
        """Return a resource of a host, empty without a response 200."""
        url = f"http://{self.address(name, port)}{path}"
        return await asyncio.to_thread(_get, url)

    async def leader(self) -> str | None:
        """Return the control host that leads, of two the later one."""
        texts = await asyncio.gather(
            *(self.get(name, "metrics", "/metrics") for name in self.controls)
        )
        found = []
        for name, text in zip(self.controls, texts, strict=True):
            rows = (line.rpartition(" ") for line in text.splitlines())
            values = {key.rpartition("_")[2]: val for key, _, val in rows}
            if float(values.get("holder", 0)):
                found.append((float(values.get("term", 0)), name))
        return max(found)[1] if found else None

    async def close(self) -> None:
        """Kill all processes that were started here."""
        for relay in self._relays:
            relay.close()
        self._stopping.update(self._processes)
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self._processes.values():
            await process.wait()


def _get(url: str) -> str:
    try:
        with urllib.request.urlopen(url, timeout=PROBE_TIMEOUT_S) as response:
            return response.read().decode()
    except (OSError, ValueError):
        return ""
