"""Serve HTTP on the stream loop: one request at a time a connection."""

import collections
import http.client
import logging
import typing

from chervilwheel import addresses
from chervilwheel import guard
from chervilwheel import streams
from chervilwheel import timers

_LOG = logging.getLogger("http")
# Pipelined requests that wait behind the one being answered.
MAX_WAITING = 16
SWEEP_S = 0.5


class Response(typing.NamedTuple):
    """An answer; ``headers`` go out beside those of the framing."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"


class Timeouts(typing.NamedTuple):
    """How long a connection may take, seconds."""

    request_s: float = 3.0
    idle_s: float = 15.0


class Exchange:
    """One request and the means to answer it.

    :param request: the request
    :param conn: its connection
    """

    def __init__(self, *, request: guard.Request, conn: "_Conn") -> None:
        self.request = request
        self.on_gone: typing.Callable[[], None] | None = None
        self.is_answered = False
        self._conn = conn

    def answer(self, response: Response) -> None:
        """Send the answer; only the first one counts."""
        if self.is_answered:
            return
        self.is_answered = True
        self._conn.answered(response)


Handler = typing.Callable[[Exchange], None]


class HttpServer:
    """Accept connections and hand their requests to a handler.

    :param loop: the stream loop
    :param heap: timers
    :param limits: bounds of one request
    :param timeouts: bounds of a connection's time
    :param handler: answers requests, now or later
    """

    def __init__(
        self,
        *,
        loop: streams.StreamLoop,
        heap: timers.TimerHeap,
        limits: guard.Limits,
        timeouts: Timeouts,
        handler: Handler,
    ) -> None:
        self.heap = heap
        self.limits = limits
        self.timeouts = timeouts
        self.handler = handler
        self.is_closing = False
        self._loop = loop
        self._conns: set[_Conn] = set()
        heap.every(SWEEP_S, self._sweep)

    @property
    def busy(self) -> int:
        """Connections with a request that has begun and isn't answered."""
        return sum(conn.is_busy for conn in self._conns)

    def listen(self, address: addresses.Address) -> None:
        """Accept connections on an address.

        :raises OSError: when the address can't be bound
        """
        self._loop.listen(address, self._accept)

    def close_idle(self) -> None:
        """Close what is idle; the rest closes after its answer."""
        self.is_closing = True
        for conn in list(self._conns):
            if not conn.is_busy:
                conn.close()

    def forget(self, conn: "_Conn") -> None:
        """Drop a closed connection."""
        self._conns.discard(conn)

    def _accept(self, stream: streams.Stream) -> None:
        self._conns.add(_Conn(server=self, stream=stream))

    def _sweep(self) -> None:
        now = self.heap.clock.now()
        for conn in list(self._conns):
            conn.expire(now)


class _Conn:
    """One connection of a caller."""

    def __init__(self, *, server: HttpServer, stream: streams.Stream) -> None:
        self._server = server
        self._stream = stream
        self._reader = guard.RequestReader(limits=server.limits)
        self._waiting: collections.deque[guard.Framed] = collections.deque()
        self._current: Exchange | None = None
        self._since = server.heap.clock.now()
        self._keep_alive = True
        stream.on_data = self._on_data
        stream.on_closed = self._on_closed

    @property
    def is_busy(self) -> bool:
        """Whether a request has begun and isn't answered."""
        return bool(self._current or self._waiting or self._reader.is_partial)

    def close(self) -> None:
        self._server.forget(self)
        self._stream.close()

    def expire(self, now: float) -> None:
        """Close what takes too long to ask."""
        if self._current is not None:
            return
        timeouts = self._server.timeouts
        if self._reader.is_partial:
            if now - self._since > timeouts.request_s:
                self._refuse(guard.Status.TIMEOUT, "the request is slow")
        elif now - self._since > timeouts.idle_s:
            self.close()

    def answered(self, response: Response) -> None:
        """Send the answer to the current request."""
        self._current = None
        self._since = self._server.heap.clock.now()
        keep = self._keep_alive and not self._server.is_closing
        self._stream.send(_encode(response, keep=keep))
        if not keep:
            self._end()
        elif self._waiting:
            self._server.heap.call_later(0.0, self._next)

    def _end(self) -> None:
        if self._stream.is_closed:
            self._server.forget(self)
        elif self._stream.unsent:
            self._server.heap.call_later(0.01, self._end)
        else:
            self.close()

    def _on_data(self, data: bytes) -> None:
        if not self._reader.is_partial:
            self._since = self._server.heap.clock.now()
        self._waiting.extend(self._reader.feed(data))
        if len(self._waiting) > MAX_WAITING:
            self.close()
            return
        self._next()

    def _next(self) -> None:
        while self._waiting and self._current is None:
            framed = self._waiting.popleft()
            if isinstance(framed, guard.Continue):
                self._stream.send(guard.CONTINUE)
            elif isinstance(framed, guard.Refusal):
                self._refuse(framed.status, framed.detail)
                return
            elif isinstance(framed, guard.Request):
                self._keep_alive = framed.keep_alive
                exchange = Exchange(request=framed, conn=self)
                self._current = exchange
                self._handle(exchange)

    def _handle(self, exchange: Exchange) -> None:
        try:
            self._server.handler(exchange)
        except Exception as exc:
            _LOG.exception(
                "http: a handler failed", extra={"error": repr(exc)}
            )
            exchange.answer(Response(500))

    def _refuse(self, status: guard.Status, detail: str) -> None:
        code, _ = status.value
        _LOG.info("http: refused bytes", extra={"detail": detail})
        self._waiting.clear()
        self._keep_alive = False
        self._current = None
        self.answered(Response(code))

    def _on_closed(self) -> None:
        self._server.forget(self)
        current, self._current = self._current, None
        if current is not None and not current.is_answered:
            current.is_answered = True
            if current.on_gone is not None:
                current.on_gone()


def _encode(response: Response, *, keep: bool) -> bytes:
    reason = http.client.responses.get(response.status, "Unknown")
    lines = [
        f"HTTP/1.1 {response.status} {reason}",
        f"Content-Length: {len(response.body)}",
    ]
    if response.body:
        lines.append(f"Content-Type: {response.content_type}")
    if not keep:
        lines.append("Connection: close")
    lines.extend(f"{name}: {value}" for name, value in response.headers)
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + response.body
