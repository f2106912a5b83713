"""An asynchronous HTTP client with a pool of idle connections."""

import asyncio
import collections
import json
import typing

from chervilwheel.http import answers

# Large enough for the response of a job with 150 tasks and large results.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Servers close connections that are idle for 15 s; a request sent at that
# moment gets no response.
MAX_IDLE_S = 10.0


class Response(typing.NamedTuple):
    """An HTTP response; status 0 means a failed or timed-out request."""

    status: int
    body: dict[str, typing.Any]


class Client:
    """Send requests to entry instances over reused connections."""

    def __init__(self) -> None:
        self._idle: dict[str, collections.deque] = {}

    async def post(
        self,
        address: str,
        path: str,
        body: typing.Any,
        *,
        token: str = "",
        key: str | None = None,
        timeout_s: float = 60.0,
        host: str = "",
        headers: typing.Mapping[str, str] | None = None,
    ) -> Response:
        """Post a JSON body and wait for the complete response.

        :param address: ``host:port`` of the instance
        :param key: value of the ``Idempotency-Key`` header, if any
        :param host: value of the ``Host`` header if it isn't the address
        :param headers: further headers
        """
        lines = [f"Authorization: Bearer {token}"]
        lines += [
            f"{name}: {value}" for name, value in (headers or {}).items()
        ]
        if key is not None:
            lines.append(f"Idempotency-Key: {key}")
        return await self.send(
            "POST",
            address,
            path,
            json.dumps(body).encode(),
            host=host,
            lines=lines,
            timeout_s=timeout_s,
        )

    async def send(
        self,
        method: str,
        address: str,
        path: str,
        payload: bytes = b"",
        *,
        host: str = "",
        lines: typing.Iterable[str] = (),
        timeout_s: float = 60.0,
    ) -> Response:
        """Send a request and wait for the complete response.

        :param address: ``host:port`` of the instance
        :param host: value of the ``Host`` header if it isn't the address
        :param lines: further lines of the header
        """
        head = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host or address}",
            f"Content-Length: {len(payload)}",
            *lines,
        ]
        data = ("\r\n".join(head) + "\r\n\r\n").encode() + payload
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(address, data)
        except (TimeoutError, OSError, EOFError, ValueError):
            return Response(0, {})

    async def _exchange(self, address: str, data: bytes) -> Response:
        reader, writer = await self._acquire(address)
        try:
            writer.write(data)
            response = answers.ResponseParser(limit=MAX_RESPONSE_BYTES)
            while not response.is_complete:
                chunk = await reader.read(262_144)
                if not chunk:
                    raise EOFError(
                        "connection closed before the response ended"
                    )
                response.feed(chunk)
                if response.is_invalid:
                    raise EOFError("malformed HTTP response")
        except BaseException:
            writer.close()
            raise
        if response.is_reusable:
            expires_at = asyncio.get_running_loop().time() + MAX_IDLE_S
            self._idle[address].append((reader, writer, expires_at))
        else:
            writer.close()
        return Response(
            response.status, json.loads(bytes(response.body) or b"{}")
        )

    async def _acquire(self, address: str) -> typing.Any:
        idle = self._idle.setdefault(address, collections.deque())
        now = asyncio.get_running_loop().time()
        while idle:
            reader, writer, expires_at = idle.pop()
            is_open = not reader.at_eof() and not writer.is_closing()
            if is_open and now < expires_at:
                return reader, writer
            writer.close()
        host, port = address.split(":")
        return await asyncio.open_connection(host, int(port))

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for _, writer, _ in idle:
                writer.close()
        self._idle.clear()
