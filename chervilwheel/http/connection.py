"""One client connection of the HTTP server."""

import abc
import collections
import http.client
import typing

from chervilwheel import connbudget
from chervilwheel import guard
from chervilwheel import streams
from chervilwheel import timers

# Maximum number of pipelined requests queued behind the current one. A
# connection that exceeds it is closed.
MAX_PIPELINED = 16
# Reading stops while so many bytes wait for a response to an earlier request.
MAX_PIPELINED_BYTES = 16_384
# For the client to read the last response and to disconnect.
CLOSING_S = 1.0
RETRY_AFTER_S = 1


class Response(typing.NamedTuple):
    """A response; ``headers`` are sent in addition to the framing headers."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"


# The request was not passed on, so that nothing of it has run or will.
BUSY = Response(503, headers=(("Retry-After", str(RETRY_AFTER_S)),))


class Timeouts(typing.NamedTuple):
    """Time limits of a connection, seconds.

    :ivar head_s: maximum time to receive the head of a request
    :ivar request_s: maximum time to receive all of it
    :ivar idle_s: maximum time without a request, or without any progress in
        sending a response
    """

    head_s: float = 3.0
    request_s: float = 3.0
    idle_s: float = 15.0


class Exchange:
    """One request and its response.

    :param request: the request
    :param conn: the connection that it arrived on
    :ivar on_disconnect: called if the client disconnects before the response
    """

    def __init__(self, *, request: guard.Request, conn: "Connection") -> None:
        self.request = request
        self.on_disconnect: typing.Callable[[], None] | None = None
        self.has_responded = False
        self._conn = conn

    @property
    def client_host(self) -> str:
        """The client's IP address, empty if it has disconnected."""
        return self._conn.client_host

    def respond(self, response: Response) -> None:
        """Send the response; any further call is ignored."""
        if self.has_responded:
            return
        self.has_responded = True
        self._conn.finish_exchange(response)

    def release_body(self, kept_bytes: int) -> None:
        """Drop the body, which the handler has decoded.

        :param kept_bytes: approximate memory that serving the request takes
            from now on
        """
        if not self.has_responded:
            self.request = self.request._replace(body=b"")
            self._conn.keep(kept_bytes)


Handler = typing.Callable[[Exchange], None]
# Receives method and target of a request.
MayRefuse = typing.Callable[[str, str], bool]


class Owner(abc.ABC):
    """The server of a connection.

    :ivar heap: timers
    :ivar limits: size limits of one request
    :ivar timeouts: time limits of a connection
    :ivar budget: bounds what the connections of this process hold together
    :ivar work_factor: memory that serving a request takes beside it, as a
        multiple of its body
    :ivar may_refuse: whether a request that there is no room for may be
        answered that it wasn't run; if not, its connection is closed
    :ivar is_closing: whether to close connections once the requests that were
        read are answered
    """

    heap: timers.TimerHeap
    limits: guard.Limits
    timeouts: Timeouts
    budget: connbudget.ConnectionBudget
    work_factor: int
    may_refuse: MayRefuse
    is_closing: bool

    @abc.abstractmethod
    def handle(self, exchange: Exchange) -> None:
        """Pass a request to the handler."""

    @abc.abstractmethod
    def log_rejection(self, detail: str) -> None:
        """Log that a request was rejected, unless many are."""

    @abc.abstractmethod
    def remove(self, conn: "Connection") -> None:
        """Remove a closed connection from the set of connections."""


class Connection:
    """Receive the requests of one client and send the responses.

    :param server: the server that accepted it
    :param stream: the TCP connection
    """

    def __init__(self, *, server: Owner, stream: streams.Stream) -> None:
        self._server = server
        self._stream = stream
        self._parser = guard.RequestParser(limits=server.limits)
        self._queued: collections.deque[guard.FramingResult] = (
            collections.deque()
        )
        self._queued_bytes = 0
        self._exchange: Exchange | None = None
        self._exchange_bytes = 0
        self._waiting_since = server.heap.clock.now()
        self._unsent_bytes = 0
        self._keep_alive = True
        self._is_closing = False
        # Whether the client may send what isn't read.
        self._has_unread = False
        stream.on_data = self._on_data
        stream.on_closed = self._on_closed
        stream.on_sent = self._on_sent
        self._holding = server.budget.open(self._give_way)

    @property
    def is_busy(self) -> bool:
        """Whether a request was partly received or has no response yet."""
        return not self._is_closing and bool(
            self._exchange or self._queued or self._parser.is_partial
        )

    @property
    def client_host(self) -> str:
        """The client's IP address, empty if it has disconnected."""
        try:
            return self._stream.sock.getpeername()[0]
        except OSError:
            return ""

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.close()
        self._release()

    def check_timeouts(self, now: float) -> None:
        """Close the connection if the client keeps it waiting."""
        if self._exchange is not None:
            return
        timeouts = self._server.timeouts
        unsent = self._stream.unsent_bytes
        if unsent < self._unsent_bytes:
            self._waiting_since = now
        self._unsent_bytes = unsent
        waited_s = now - self._waiting_since
        if self._is_closing and not unsent:
            if waited_s > CLOSING_S:
                self.close()
        elif unsent or not self._parser.is_partial:
            if waited_s > timeouts.idle_s:
                self.close()
        elif waited_s > timeouts.request_s or (
            waited_s > timeouts.head_s and self._parser.target is None
        ):
            self._reject(guard.Status.TIMEOUT, "request timeout")

    def keep(self, size: int) -> None:
        """Record what the request in progress makes the process keep."""
        self._exchange_bytes = size
        self._account()

    def finish_exchange(self, response: Response) -> None:
        """Send the response to the current request."""
        self._exchange = None
        self._waiting_since = self._server.heap.clock.now()
        keep = self._keep_alive and not self._is_last
        self._stream.send(_encode(response, keep=keep))
        if not keep:
            self._close_when_sent()
        elif self._queued:
            self._server.heap.call_later(0.0, self._process_queue)
        elif not self._stream.unsent_bytes:
            self._stream.resume_reading()
        self._account()

    @property
    def _is_last(self) -> bool:
        """Whether no other request is answered on this connection.

        A server that closes still answers what it has read.
        """
        return self._server.is_closing and not any(
            isinstance(item, guard.Request) for item in self._queued
        )

    def _account(self) -> None:
        """Report what this connection holds and waits for."""
        if self._stream.is_closed:
            return
        size = self._queued_bytes + self._parser.kept_bytes
        size += self._stream.unsent_bytes
        if self._exchange is not None:
            size += self._exchange_bytes
        self._server.budget.update(self._holding, size, self._phase())
        if self._exchange is not None and self._server.budget.is_full:
            self._drop_queue()

    def _phase(self) -> connbudget.Phase:
        if self._is_closing:
            return connbudget.Phase.CLOSING
        if self._exchange is not None:
            return connbudget.Phase.SERVING
        if self._stream.unsent_bytes:
            return connbudget.Phase.SENDING
        if self._queued or self._parser.is_partial:
            return connbudget.Phase.RECEIVING
        return connbudget.Phase.IDLE

    def _drop_queue(self) -> None:
        """Close after the current response; drop the requests behind it."""
        if self._queued or self._parser.is_partial:
            self._keep_alive = False
            self._has_unread = True
            self._clear()
            self._account()

    def _clear(self) -> None:
        """Free what was received but isn't being served."""
        self._parser.discard()
        self._queued.clear()
        self._queued_bytes = 0

    def _give_way(self) -> None:
        """Close this connection, since others need its room."""
        target = self._parser.target
        if self._is_closing or not self._parser.is_partial:
            self.close()
        elif target is None:
            self._reject(guard.Status.TIMEOUT, "no room for the request")
        elif self._server.may_refuse(*target):
            self._reject(guard.Status.BUSY, "no room for the request")
        else:
            self.close()

    def _close_when_sent(self) -> None:
        """Close once the response is sent and the client can't lose it.

        Data that arrives after the end of a connection resets it, and the
        client may lose a response that it hasn't read. So while the client
        may be sending, what it sends is read until it disconnects.
        """
        if self._queued or self._parser.is_partial:
            self._has_unread = True
        self._clear()
        self._is_closing = True
        if not self._stream.unsent_bytes:
            self._on_sent()

    def _on_sent(self) -> None:
        if not self._is_closing:
            self._process_queue()
            self._account()
        elif self._has_unread:
            self._waiting_since = self._server.heap.clock.now()
            self._stream.end_sending()
            self._stream.resume_reading()
        else:
            self.close()

    def _on_data(self, data: bytes) -> None:
        if self._is_closing or not self._keep_alive:
            self._has_unread = True
            return
        if not self._parser.is_partial:
            self._waiting_since = self._server.heap.clock.now()
            self._parser.limits = self._server.limits
        items = self._parser.feed(data)
        self._queued.extend(items)
        self._queued_bytes += sum(item.kept_bytes for item in items)
        if len(self._queued) > MAX_PIPELINED:
            self.close()
            return
        self._process_queue()
        self._account()
        self._pause_if_ahead()

    def _pause_if_ahead(self) -> None:
        """Read no further while requests wait for a response."""
        if not self._stream.is_closed and not self._is_closing:
            is_waiting = self._exchange is not None or (
                self._stream.unsent_bytes > 0
            )
            ahead = self._queued_bytes + self._parser.kept_bytes
            if is_waiting and ahead > MAX_PIPELINED_BYTES:
                self._has_unread = True
                self._stream.pause_reading()

    def _process_queue(self) -> None:
        while self._queued and self._exchange is None:
            if self._stream.unsent_bytes:
                return
            item = self._queued.popleft()
            self._queued_bytes -= item.kept_bytes
            if isinstance(item, guard.ExpectContinue):
                self._stream.send(guard.CONTINUE_RESPONSE)
            elif isinstance(item, guard.Rejection):
                self._reject(item.status, item.detail)
                return
            elif isinstance(item, guard.Request):
                self._begin(item)
        if not self._is_closing and self._exchange is None:
            self._has_unread = False
            self._stream.resume_reading()

    def _begin(self, request: guard.Request) -> None:
        """Pass a request to the handler, if there is room to serve it."""
        self._keep_alive = request.keep_alive
        exchange = Exchange(request=request, conn=self)
        self._exchange = exchange
        self._exchange_bytes = (
            request.kept_bytes + self._server.work_factor * len(request.body)
        )
        size = self._exchange_bytes + self._queued_bytes
        if self._server.budget.begin_request(self._holding, size):
            self._server.handle(exchange)
        elif self._server.may_refuse(request.method, request.target):
            exchange.respond(BUSY)
        else:
            self._exchange = None
            self.close()

    def _reject(self, status: guard.Status, detail: str) -> None:
        code, _ = status.value
        self._server.log_rejection(detail)
        self._keep_alive = False
        self._exchange = None
        self.finish_exchange(
            BUSY if status is guard.Status.BUSY else Response(code)
        )

    def _on_closed(self) -> None:
        exchange, self._exchange = self._exchange, None
        self._release()
        if exchange is not None and not exchange.has_responded:
            exchange.has_responded = True
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()

    def _release(self) -> None:
        """Free what a closed connection holds, without a collection."""
        self._server.remove(self)
        self._server.budget.close(self._holding)
        self._clear()
        self._stream.on_data = self._stream.on_closed = None
        self._stream.on_sent = None


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
