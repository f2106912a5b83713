"""Stand-in executors whose links to hosts can be cut."""

import argparse
import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import socket
import sys
import time
import typing

from soak import judge
from soak import links
from soak import schedules
from standins import workermodel
from standins import workers

TCP_TABLE = pathlib.Path("/proc/net/tcp")
INODE_FIELD = 9
ORDER_PATHS = ("/v1/run-start", "/v1/run-stop")
# Share of the calls that a fault of an executor acts on.
FAULT_SHARE = 0.5
# Longest delay of an answer, or of an order that is carried out late.
LATEST_S = 2.0
# It ends even if nobody acknowledges that it drains.
UNACKNOWLEDGED_DRAIN_S = 5.0
DEREGISTER_TIMEOUT_S = 1.0


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
    :ivar drains: when a heartbeat that says that it drains was first
        acknowledged, by incarnation
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
        self.drains: dict[str, float] = {}
        self._controls = controls
        self._net = net
        self._callers = callers
        self._rng = random.Random(number)
        self._faults: collections.Counter[schedules.Kind] = (
            collections.Counter()
        )
        self._late_orders: set[asyncio.Task[None]] = set()
        self._is_faulty = asyncio.Lock()

    async def suffer(self, kind: schedules.Kind, for_s: float) -> None:
        """Let a fault act, and wait until it is over."""
        if kind in (schedules.Kind.CRASH, schedules.Kind.LEAVE):
            async with self._is_faulty:
                if kind is schedules.Kind.LEAVE:
                    await self._drain()
                self.end()
                await asyncio.sleep(for_s)
                self.begin_again()
            return
        self._faults[kind] += 1
        await asyncio.sleep(for_s)
        self._faults[kind] -= 1

    async def _drain(self) -> None:
        self._model.is_draining = True
        end = time.monotonic() + UNACKNOWLEDGED_DRAIN_S
        while self.instance not in self.drains and time.monotonic() < end:
            await asyncio.sleep(workers.POLL_INTERVAL_S)
        await asyncio.sleep(judge.DRAIN_S + self._rng.uniform(0, 1))
        body = json.dumps({"born": self._model.born_ms}).encode()
        for control in self._opts.control:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                async with asyncio.timeout(DEREGISTER_TIMEOUT_S):
                    await self._post(control, body, "deregister")
                return

    def _on_acknowledged(self) -> None:
        if self._model.is_draining:
            self.drains.setdefault(self.instance, time.monotonic())

    async def _answer(
        self, path: str, body: dict, instance: str | None
    ) -> tuple[int, dict]:
        is_order = path in ORDER_PATHS
        if is_order and self._has(schedules.Kind.DEFER):
            order = self._carry_out_late(path, body, instance)
            task = asyncio.create_task(order)
            self._late_orders.add(task)
            task.add_done_callback(self._late_orders.discard)
            raise OSError("the connection breaks before the answer")
        answer = await super()._answer(path, body, instance)
        if self._has(schedules.Kind.LATE):
            await asyncio.sleep(self._rng.uniform(0, LATEST_S))
        return answer

    def _has(self, kind: schedules.Kind) -> bool:
        return bool(self._faults[kind]) and self._rng.random() < FAULT_SHARE

    async def _carry_out_late(
        self, path: str, body: dict, instance: str | None
    ) -> None:
        await asyncio.sleep(self._rng.uniform(0, LATEST_S))
        with contextlib.suppress(OSError):
            await super()._answer(path, body, instance)

    async def _handle_start(
        self, body: dict
    ) -> tuple[workermodel.Verdict, dict]:
        cpu, work_ms, failure_share = json.loads(body["spec"])
        self._model.is_failing = (
            self._has(schedules.Kind.FAIL)
            or self._rng.random() < failure_share
        )
        spec = json.dumps([cpu, work_ms])
        return await super()._handle_start(body | {"spec": spec})

    async def _on_request(self, peer: tuple[str, int]) -> None:
        if self._net.has_cuts:
            host = await self._callers.find(peer)
            await self._net.wait_open(host, self.name)

    async def _on_response(self, peer: tuple[str, int]) -> None:
        if self._net.has_cuts:
            host = await self._callers.find(peer)
            await self._net.wait_open(self.name, host)

    async def _post(
        self, address: str, body: bytes, action: str = "heartbeat"
    ) -> None:
        control = self._controls[address]
        if self._net.is_cut(self.name, control):
            raise OSError("the link is cut")
        await super()._post(address, body, action)
        if self._net.is_cut(control, self.name):
            raise OSError("the link is cut")
