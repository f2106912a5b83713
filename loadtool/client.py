"""An HTTP client for many callers in one process."""

import asyncio
import collections
import json
import typing

from chervilwheel.http import answers

# A job of 150 tasks with large results.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class Reply(typing.NamedTuple):
    """An answer; status 0 means the connection broke or hung."""

    status: int
    table: dict[str, typing.Any]


class Client:
    """Keep connections to the entry instances and post requests."""

    def __init__(self) -> None:
        self._idle: dict[str, collections.deque] = {}

    async def post(
        self,
        address: str,
        path: str,
        table: typing.Any,
        *,
        token: str,
        key: str | None = None,
        timeout_s: float = 60.0,
    ) -> Reply:
        """Post JSON and wait for the whole answer."""
        body = json.dumps(table).encode()
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {address}",
            f"Authorization: Bearer {token}",
            f"Content-Length: {len(body)}",
        ]
        if key is not None:
            lines.append(f"Idempotency-Key: {key}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        try:
            return await asyncio.wait_for(
                self._exchange(address, data), timeout_s
            )
        except (TimeoutError, OSError, EOFError, ValueError):
            return Reply(0, {})

    async def _exchange(self, address: str, data: bytes) -> Reply:
        reader, writer = await self._take(address)
        try:
            writer.write(data)
            answer = answers.AnswerReader(limit=MAX_ANSWER_BYTES)
            while not answer.is_whole:
                chunk = await reader.read(262_144)
                if not chunk:
                    raise EOFError("closed")
                answer.feed(chunk)
                if answer.is_broken:
                    raise EOFError("not an answer")
        except BaseException:
            writer.close()
            raise
        if answer.keeps_alive:
            self._idle[address].append((reader, writer))
        else:
            writer.close()
        return Reply(answer.status, json.loads(bytes(answer.body)))

    async def _take(self, address: str) -> typing.Any:
        idle = self._idle.setdefault(address, collections.deque())
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        host, port = address.split(":")
        return await asyncio.open_connection(host, int(port))

    def close(self) -> None:
        """Close idle connections."""
        for idle in self._idle.values():
            for _, writer in idle:
                writer.close()
        self._idle.clear()
