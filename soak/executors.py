"""Stand-in executors whose links to hosts can be cut."""

import argparse
import asyncio
import contextlib
import os
import pathlib
import socket
import sys
import typing

from soak import links
from standins import workers

TCP_TABLE = pathlib.Path("/proc/net/tcp")
INODE_FIELD = 9


class Callers:
    """Finds out which host has opened a connection.

    All hosts connect from the same address, so that only the table of open
    sockets tells them apart.

    :param pids: returns the process id of each host
    """

    def __init__(self, *, pids: typing.Callable[[], dict[str, int]]) -> None:
        self._pids = pids
        self._hosts: dict[tuple[str, int], str] = {}
        self._lock = asyncio.Lock()

    async def find(self, peer: tuple[str, int]) -> str:
        """Return the host at the other end, empty if it isn't known.

        :param peer: address and port of that end
        """
        if peer not in self._hosts:
            # One reading of the tables serves all who wait for the lock.
            async with self._lock:
                if peer not in self._hosts:
                    self._hosts |= await asyncio.to_thread(_list, self._pids())
        return self._hosts.setdefault(peer, "")

    def forget(self) -> None:
        """Forget all connections; others may use their ports."""
        self._hosts.clear()


def _list(pids: dict[str, int]) -> dict[tuple[str, int], str]:
    """Return the host of each socket, by address and port."""
    hosts = {}
    for host, pid in pids.items():
        with contextlib.suppress(OSError):
            for entry in os.scandir(f"/proc/{pid}/fd"):
                with contextlib.suppress(OSError):
                    name = os.readlink(entry.path)
                    hosts[name.removeprefix("socket:[").rstrip("]")] = host
    found = {}
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if host := hosts.get(fields[INODE_FIELD]):
            address, port = fields[1].split(":")
            packed = int(address, 16).to_bytes(4, sys.byteorder)
            found[socket.inet_ntoa(packed), int(port, 16)] = host
    return found


class Executor(workers.Worker):
    """A stand-in executor.

    :param opts: options of the stand-in; ``control`` has the addresses of
        the control hosts
    :param number: index of the executor
    :param clock_rate: rate of its clock
    :param controls: name of the control host at each address
    :param net: which links are cut
    :param callers: tells the hosts' connections apart
    """

    def __init__(
        self,
        *,
        opts: argparse.Namespace,
        number: int,
        clock_rate: float,
        controls: dict[str, str],
        net: links.Links,
        callers: Callers,
    ) -> None:
        super().__init__(opts=opts, number=number, clock_rate=clock_rate)
        self._controls = controls
        self._net = net
        self._callers = callers

    async def _on_request(self, peer: tuple[str, int]) -> None:
        if self._net.has_cuts:
            host = await self._callers.find(peer)
            await self._net.wait_open(host, self.name)

    async def _on_response(self, peer: tuple[str, int]) -> None:
        if self._net.has_cuts:
            host = await self._callers.find(peer)
            await self._net.wait_open(self.name, host)

    async def _post(self, address: str, body: bytes) -> None:
        control = self._controls[address]
        if self._net.is_cut(self.name, control):
            raise OSError("the link is cut")
        await super()._post(address, body)
        if self._net.is_cut(control, self.name):
            raise OSError("the link is cut")
