"""A start that arrives late runs beside the task's run elsewhere.

The executor that it is meant for has started again meanwhile, under the id
that it had. A proxy before each executor holds the start up on its way.
"""

import asyncio
import contextlib
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.append(str(HERE.parent / "lib_2"))

import world  # noqa: E402

EXECUTORS = 8
CPU = 6_800
WORK_MS = 3_500
LATE_S = 2.6
CRASH_S = 0.6
AWAY_S = 1.2
START = b"POST /v1/run-start "
# The site's window for late orders.
WINDOW_S = 5.5


class Way:
    """The way to the executors; it holds up the first start.

    :ivar held_by: the executor that this start is meant for
    :ivar held_at: when it was sent, seconds
    """

    def __init__(self, record: world.Record) -> None:
        self.held_by: world.Executor | None = None
        self.held_at = 0.0
        self._record = record

    async def open(self, executor: world.Executor) -> asyncio.Server:
        """Put a proxy before an executor, which tells its address."""
        host, port = executor.address.split(":")
        number = int(port) + EXECUTORS

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    writer.write(await self._pass_on(executor, reader, port))
                    await writer.drain()
            writer.close()

        executor.address = f"{host}:{number}"
        return await asyncio.start_server(serve, host, number)

    async def _pass_on(
        self, executor: world.Executor, reader: asyncio.StreamReader, port: str
    ) -> bytes:
        """Forward one request over a connection of its own."""
        data = await _read_message(reader)
        is_held = self.held_by is None and data.startswith(START)
        if is_held and world.HAS_TROUBLE:
            self.held_by, self.held_at = executor, time.monotonic()
            self._record.add(f"a start to {executor.instance} is held up")
            await asyncio.sleep(LATE_S)
            self._record.add(f"the start arrives at {executor.instance}")
        host = executor.address.split(":")[0]
        far_reader, far_writer = await asyncio.open_connection(host, port)
        try:
            far_writer.write(data)
            return await _read_message(far_reader)
        finally:
            far_writer.close()


async def _read_message(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    size = 0
    for line in head.decode().split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            size = int(value)
    return head + await reader.readexactly(size)


async def case(all_hosts: world.World) -> list[str]:
    """Play it."""
    way = Way(all_hosts.record)
    for executor in all_hosts.executors:
        await way.open(executor)
    await all_hosts.start_all(world.config())
    steps = [{"count": 1, "cpu": CPU, "memMb": 64, "estimatedMs": WORK_MS}]
    spec = json.dumps([CPU, WORK_MS])
    caller = all_hosts.spawn(
        all_hosts.submit("0000000000000001", "entry-0", steps, spec)
    )
    if not world.HAS_TROUBLE:
        await all_hosts.started(1)
    else:
        await asyncio.sleep(CRASH_S)
        crashed = way.held_by
        if crashed is None:
            raise world.CannotRunError("no start was sent")
        crashed.end()
        all_hosts.record.add(f"{crashed.instance} crashes")
        await asyncio.sleep(AWAY_S)
        crashed.start_again()
        all_hosts.record.add(f"{crashed.instance} starts again under its id")
    await caller
    await asyncio.sleep(1.0)
    if world.HAS_TROUBLE:
        orders = sum(
            abs(at - way.held_at) < WINDOW_S / 2
            for each in all_hosts.executors
            for at in each.orders
        )
        all_hosts.record.add(f"1 of {orders + 1} orders in {WINDOW_S} s late")
    return world.find_twice(all_hosts.runs())


if __name__ == "__main__":
    sys.exit(world.play(HERE, case, executors=EXECUTORS))
