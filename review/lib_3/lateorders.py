"""Stand-in executors behind proxies, one of which holds a start order up.

SIGUSR1 arms the proxies: the next start order stays without an answer.
SIGUSR2 crashes the executor that it was for. That starts again under its id,
and the proxy passes the order on over a connection of its own.
"""

import argparse
import asyncio
import contextlib
import signal
import time

from lib_3 import executors

# Orders without an answer are carried out 2 to 12 s late.
LEAST_DELAY_S = 2.0
DOWN_S = 1.2
RETRY_S = 0.001
START_PATH = b" /v1/run-start "


class Proxy:
    """Forwards the calls of hosts to one executor.

    :param site: all executors of the process
    :param executor: the executor
    """

    def __init__(self, *, site: "Site", executor: executors.Executor) -> None:
        self._site = site
        self._executor = executor
        self._opts = site.opts

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        server = await asyncio.start_server(
            self._forward, self._opts.host, self._executor.public_port
        )
        async with server:
            await server.serve_forever()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.ExitStack() as stack:
            stack.enter_context(
                contextlib.suppress(OSError, asyncio.IncompleteReadError)
            )
            stack.enter_context(contextlib.closing(writer))
            far_reader, far_writer = await self._connect()
            stack.enter_context(contextlib.closing(far_writer))
            answers = asyncio.create_task(_copy(far_reader, writer))
            stack.callback(answers.cancel)
            while True:
                request = await _read_request(reader)
                path = request.split(b" ", 2)[1].decode()
                self._site.write("call", self._executor, path)
                if self._site.is_armed and START_PATH in request:
                    self._site.is_armed = False
                    self._site.hold_up(self._executor, request)
                    # The caller waits for the answer in vain.
                    await reader.read()
                    return
                far_writer.write(request)
                await far_writer.drain()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(
            self._opts.host, self._executor.port
        )

    async def pass_on(self, request: bytes) -> None:
        """Send a request as soon as the executor accepts a connection."""
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await self._connect()
                writer.write(request)
                await writer.drain()
                status = (await reader.readline()).decode().strip()
                self._site.write("late order", self._executor, status)
                writer.close()
                return
            await asyncio.sleep(RETRY_S)


async def _read_request(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    size = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            size = int(line.partition(b":")[2])
    return head + await reader.readexactly(size)


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
    writer.close()


class Site:
    """All executors and proxies of the process.

    :param opts: the options of the command line
    :ivar is_armed: whether the next start order is held up
    """

    def __init__(self, *, opts: argparse.Namespace) -> None:
        self.opts = opts
        self.is_armed = False
        self._held: tuple[executors.Executor, bytes, float] | None = None
        self._tasks: list[asyncio.Task] = []
        self._executors = [
            executors.Executor(opts=opts, number=number)
            for number in range(opts.count)
        ]
        self._proxies = {}
        for executor in self._executors:
            executor.public_port = executor.port + opts.count
            self._proxies[executor.name] = Proxy(site=self, executor=executor)

    def write(self, event: str, executor: executors.Executor, text: str):
        """Write an event to the record of the runs."""
        now = time.monotonic()
        executor._append(now, event, executor.instance, 0, text)

    def hold_up(self, executor: executors.Executor, request: bytes) -> None:
        """Keep an order to pass it on later."""
        self._held = (executor, request, time.monotonic())
        self.write("held up", executor, "")

    def _crash(self) -> None:
        if self._held is not None:
            self._tasks.append(asyncio.create_task(self._restart()))

    async def _restart(self) -> None:
        executor, request, held_at = self._held
        self.write("crashes", executor, "")
        executor.end()
        name = executor.instance
        until = max(held_at + LEAST_DELAY_S, time.monotonic() + DOWN_S)
        await asyncio.sleep(until - time.monotonic())
        late = asyncio.create_task(
            self._proxies[executor.name].pass_on(request)
        )
        executor.begin_again()
        executor.instance = name
        self.write("is back", executor, "")
        await late

    async def run(self) -> None:
        """Run until cancelled."""
        loop = asyncio.get_running_loop()

        def arm() -> None:
            self.is_armed = True

        loop.add_signal_handler(signal.SIGUSR1, arm)
        loop.add_signal_handler(signal.SIGUSR2, self._crash)
        await asyncio.gather(
            *(executor.run() for executor in self._executors),
            *(proxy.serve() for proxy in self._proxies.values()),
        )


if __name__ == "__main__":
    asyncio.run(Site(opts=executors.parse_arguments()).run())
