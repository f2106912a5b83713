"""Directed links between hosts and executors that can be cut and healed."""

import asyncio
import collections
import contextlib
import typing

CHUNK_BYTES = 65_536
Pair = tuple[str, str]


class Links:
    """Which links are cut; cuts may overlap."""

    def __init__(self) -> None:
        self._cuts: collections.Counter[Pair] = collections.Counter()
        self._healed = asyncio.Event()

    @property
    def has_cuts(self) -> bool:
        """Whether any link is cut."""
        return bool(self._cuts)

    def is_cut(self, source: str, target: str) -> bool:
        """Whether messages from one to the other are held up."""
        return (source, target) in self._cuts

    def cut(self, pairs: typing.Iterable[Pair]) -> None:
        """Hold up what is sent over some links."""
        self._cuts.update(pairs)

    def heal(self, pairs: typing.Iterable[Pair]) -> None:
        """Undo a cut; what was held up arrives."""
        self._cuts.subtract(pairs)
        self._cuts = +self._cuts
        healed, self._healed = self._healed, asyncio.Event()
        healed.set()

    async def wait_open(self, source: str, target: str) -> None:
        """Wait while a link is cut."""
        while self.is_cut(source, target):
            await self._healed.wait()


class Relay:
    """Forwards the connections from one host to another.

    :param links: which links are cut
    :param pair: the host that connects, and the one that listens
    :param listen: the address that the first connects to
    :param target: the address where the other listens
    """

    def __init__(
        self,
        *,
        links: Links,
        pair: Pair,
        listen: tuple[str, int],
        target: tuple[str, int],
    ) -> None:
        self._links = links
        self._pair = pair
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Accept connections.

        :raises OSError: if the address is in use
        """
        self._server = await asyncio.start_server(self._serve, *self._listen)

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()

    def close(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source, target = self._pair
        with contextlib.ExitStack() as stack:
            stack.callback(writer.close)
            await self._links.wait_open(source, target)
            await self._links.wait_open(target, source)
            try:
                far_reader, far_writer = await asyncio.open_connection(
                    *self._target
                )
            except OSError:
                writer.transport.abort()
                return
            stack.callback(far_writer.close)
            await asyncio.gather(
                self._pump(reader, far_writer, source, target),
                self._pump(far_reader, writer, target, source),
            )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        target: str,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._links.wait_open(source, target)
                writer.write(data)
                await writer.drain()
        await self._links.wait_open(source, target)
        writer.close()
