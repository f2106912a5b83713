"""Stand-in executors: the project's own, with heartbeats to any control host.

SIGUSR1 empties the first executor: it reports that it drains, goes on for a
time after the acknowledgement, deregisters and ends.
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import signal
import time

from standins import workers

HEARTBEAT_S = 1.5
HEARTBEAT_TIMEOUT_S = 1.0
DRAIN_S = 2.0


class Executor(workers.Worker):
    """One executor.

    :param opts: the parsed command line
    :param number: its index, which tells its name and its port
    """

    def __init__(self, *, opts: argparse.Namespace, number: int) -> None:
        super().__init__(opts=opts, number=number)
        self.name = self.instance = f"i-{opts.service}-{opts.port + number}"
        # Where it is reached, which may be a proxy.
        self.public_port = self.port
        self._drained = asyncio.Event()
        self._acked = asyncio.Event()
        # Callers of control pick among the hosts.
        self._turns = itertools.count(number)

    async def _send_heartbeats(self) -> None:
        while True:
            await self._send_heartbeat()
            # The change to draining is told at once.
            is_new = self._model.is_draining and not self._acked.is_set()
            wait_s = 0.1 if is_new else HEARTBEAT_S
            if self._drained.is_set():
                await asyncio.sleep(wait_s)
                continue
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._drained.wait(), wait_s)

    async def _send_heartbeat(self) -> None:
        self._sequence += 1
        is_draining = self._model.is_draining
        value = {
            "service": self._opts.service,
            "address": f"{self._opts.host}:{self.public_port}",
            "zone": self._opts.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if is_draining else "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": self._opts.cpu, "memMb": 65536, "gpu": 0},
            "labels": ["a", "r1"],
            "clockMs": self._model.clock_ms(time.monotonic()),
            "sequence": self._sequence,
            "born": self._model.born_ms,
        }
        if is_draining:
            value["remainingMs"] = int(1000 * DRAIN_S)
        body = json.dumps(value).encode()
        first = next(self._turns)
        for turn in range(len(self._opts.control)):
            number = (first + turn) % len(self._opts.control)
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                    await self._post(self._opts.control[number], body)
                if is_draining and not self._acked.is_set():
                    now = time.monotonic()
                    self._append(now, "drain acked", self.instance, number, "")
                    self._acked.set()
                return

    async def leave(self) -> None:
        """Drain, deregister and end."""
        self._model.is_draining = True
        self._append(time.monotonic(), "drains", self.instance, 0, "")
        self._drained.set()
        await self._acked.wait()
        await asyncio.sleep(DRAIN_S + self._opts.linger_s)
        body = json.dumps({"born": self._model.born_ms}).encode()
        for control in self._opts.control:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                    await self._post(control, body, "deregister")
                break
        self._append(time.monotonic(), "leaves", self.instance, 0, "")
        self.end()


async def serve(opts: argparse.Namespace) -> None:
    """Run all executors until cancelled."""
    each = [Executor(opts=opts, number=n) for n in range(opts.count)]
    leaving: list[asyncio.Task] = []
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGUSR1,
        lambda: leaving.append(asyncio.create_task(each[0].leave())),
    )
    await asyncio.gather(*(executor.run() for executor in each))


def parse_arguments() -> argparse.Namespace:
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(prog="executors")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--count", type=int, default=4)
    parser.add_argument("--cpu", type=int, default=16_000)
    parser.add_argument("--service", default="service")
    parser.add_argument("--zone", default="north")
    parser.add_argument("--linger-s", type=float, default=0.5)
    parser.add_argument("--control", action="append", default=[])
    parser.add_argument("--runs", required=True)
    return parser.parse_args()


if __name__ == "__main__":
    asyncio.run(serve(parse_arguments()))
