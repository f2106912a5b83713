"""TCP proxies that can cut the links of a host."""

import asyncio
import contextlib


class Link:
    """Forwards connections from one address to another until it is cut.

    While cut, its connections are reset and new ones are refused.

    :param listen: the address that the connecting host uses
    :param target: the address where the other host listens
    """

    def __init__(self, *, listen, target):
        self._listen = listen
        self._target = target
        self._server = None
        self._writers = set()

    async def open(self):
        """Forward connections."""
        self._server = await asyncio.start_server(
            self._serve, *self._listen, reuse_address=True
        )

    async def cut(self):
        """Reset all connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(far_writer)
        if self._server is None:
            writer.transport.abort()
            far_writer.transport.abort()
        await asyncio.gather(
            _pump(reader, far_writer), _pump(far_reader, writer)
        )
        self._writers.discard(writer)
        self._writers.discard(far_writer)


async def _pump(reader, writer):
    with contextlib.suppress(OSError):
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
    with contextlib.suppress(OSError):
        writer.close()


class Cut:
    """All links of one host that listens on a peer port of its own.

    :param hosts: the deployment
    :param host: the address of that host
    """

    def __init__(self, *, hosts, host):
        own, common = hosts.ports["apart"], hosts.ports["peer"]
        self._links = [Link(listen=(host, common), target=(host, own))]
        for other in (*hosts.controls, *hosts.entries):
            if other != host:
                self._links.append(
                    Link(listen=(other, own), target=(other, common))
                )

    async def open(self):
        """Forward everything."""
        for link in self._links:
            await link.open()

    async def cut(self):
        """Separate the host from all others."""
        for link in self._links:
            await link.cut()


class DelayingLink(Link):
    """Forwards connections; an answer can be made to arrive late.

    :param listen: the address that the caller uses
    :param target: the address of the host that answers
    """

    def __init__(self, *, listen, target):
        super().__init__(listen=listen, target=target)
        self.delay_s = 0.0

    async def _serve(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection(*self._target)
        await asyncio.gather(
            _pump(reader, far_writer), self._pump_late(far_reader, writer)
        )

    async def _pump_late(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                delay_s, self.delay_s = self.delay_s, 0.0
                await asyncio.sleep(delay_s)
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()
