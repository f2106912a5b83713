"""Request validation, limits and timeouts in front of the web server."""

import collections
import json
import logging
import socket
import typing

import circuits
from circuits.net import events as net_events

from chervilwheel import clock
from chervilwheel import connbudget
from chervilwheel import guard

_LOG = logging.getLogger("edge")
TIMEOUT_CHECK_INTERVAL_S = 0.25
MAX_PIPELINED = 64
RETRY_AFTER_S = 1


class _ValidatedRead(net_events.read):
    """A ``read`` event whose data is one validated request."""

    name = "read"


class _Connection:
    """State of one client connection."""

    def __init__(
        self,
        *,
        normalizer: guard.RequestNormalizer,
        holding: connbudget.Holding,
        now: float,
    ) -> None:
        self.normalizer = normalizer
        self.holding = holding
        self.busy_bytes = 0
        self.queued: collections.deque[guard.NormalizedRequest] = (
            collections.deque()
        )
        self.is_busy = False
        self.closes_after_response = False
        self.rejection: guard.Rejection | None = None
        self.waiting_since = now

    @property
    def ahead_bytes(self) -> int:
        """Memory of what was received but isn't being served."""
        queued = sum(request.kept_bytes for request in self.queued)
        return queued + self.normalizer.kept_bytes

    @property
    def phase(self) -> connbudget.Phase:
        """What the connection waits for."""
        if self.is_busy:
            return connbudget.Phase.SERVING
        if self.queued or self.normalizer.is_partial:
            return connbudget.Phase.RECEIVING
        return connbudget.Phase.IDLE

    def clear(self) -> None:
        """Free what was received but isn't being served."""
        self.normalizer.discard()
        self.queued.clear()


class Edge(circuits.BaseComponent):
    """Validate requests before they reach the web library.

    Intercepts ``read`` events and queues pipelined requests per connection,
    so that the library handles one at a time. A connection that sends an
    invalid request, or gives way to others, gets an error response and is
    closed.

    :param limits: size limits of one request
    :param request_timeout_s: maximum time to receive a request, seconds
    :param idle_timeout_s: maximum idle time of a connection, seconds
    :param budget: bounds what the connections hold together
    :param clk: the clock
    :ivar is_closing: whether to close a connection once its queue is empty
    """

    channel = "web"

    def __init__(
        self,
        *,
        limits: guard.Limits,
        request_timeout_s: float,
        idle_timeout_s: float,
        budget: connbudget.ConnectionBudget,
        clk: clock.Clock,
    ) -> None:
        super().__init__()
        self._limits = limits
        self._request_timeout_s = request_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._budget = budget
        self._clock = clk
        self._connections: dict[socket.socket, _Connection] = {}
        self.is_closing = False

    @property
    def busy(self) -> int:
        """Number of requests without a response yet."""
        return sum(
            conn.is_busy + len(conn.queued)
            for conn in self._connections.values()
        )

    @circuits.handler("connect", priority=100)
    def _on_connect(self, sock: socket.socket, *_: typing.Any) -> None:
        normalizer = guard.RequestNormalizer(limits=self._limits)
        self._connections[sock] = _Connection(
            normalizer=normalizer,
            holding=self._budget.open(lambda: self._give_way(sock)),
            now=self._clock.now(),
        )

    @circuits.handler("disconnect", priority=100)
    def _on_disconnect(self, sock: socket.socket, *_: typing.Any) -> None:
        self._remove(sock)

    @circuits.handler("read", priority=100)
    def _on_read(
        self, event: typing.Any, sock: socket.socket, data: bytes
    ) -> None:
        if isinstance(event, _ValidatedRead):
            return
        event.stop()
        conn = self._connections.get(sock)
        if conn is None or conn.rejection is not None:
            return
        if not conn.normalizer.is_partial:
            conn.waiting_since = self._clock.now()
        for item in conn.normalizer.feed(data):
            self._handle_item(sock, conn, item)
        if len(conn.queued) > MAX_PIPELINED:
            conn.rejection = guard.Rejection(
                guard.Status.BAD_REQUEST, "too many requests wait"
            )
        self._dispatch_next(sock, conn)
        self._account(conn)

    def _account(self, conn: _Connection) -> None:
        """Report what a connection holds and waits for."""
        ahead = conn.ahead_bytes
        self._budget.update(conn.holding, conn.busy_bytes + ahead, conn.phase)
        # One more request may wait behind the one in progress.
        most = self._limits.header_bytes + self._limits.body_bytes
        if conn.is_busy and (ahead > most or (ahead and self._budget.is_full)):
            conn.closes_after_response = True
            conn.clear()
            self._budget.update(conn.holding, conn.busy_bytes, conn.phase)

    def _give_way(self, sock: socket.socket) -> None:
        """Close a connection, since others need its room."""
        conn = self._connections.get(sock)
        if conn is not None and conn.phase is connbudget.Phase.RECEIVING:
            # Without the head it isn't known what was asked for.
            is_known = conn.queued or conn.normalizer.target is not None
            status = guard.Status.BUSY if is_known else guard.Status.TIMEOUT
            self._close(
                sock, guard.Rejection(status, "no room for the request")
            )
        else:
            self._close(sock)

    def _close(
        self, sock: socket.socket, rejection: guard.Rejection | None = None
    ) -> None:
        self._remove(sock)
        if rejection is not None:
            self._send_rejection(sock, rejection)
        else:
            self.fire(net_events.close(sock))

    def _remove(self, sock: socket.socket) -> None:
        conn = self._connections.pop(sock, None)
        if conn is not None:
            conn.clear()
            self._budget.close(conn.holding)

    def _handle_item(
        self, sock: socket.socket, conn: _Connection, item: guard.FramingResult
    ) -> None:
        if isinstance(item, guard.NormalizedRequest):
            conn.queued.append(item)
        elif isinstance(item, guard.Rejection):
            conn.rejection = item
        elif not conn.is_busy and not conn.queued:
            self.fire(net_events.write(sock, guard.CONTINUE_RESPONSE))

    def _dispatch_next(self, sock: socket.socket, conn: _Connection) -> None:
        if conn.is_busy:
            return
        if conn.queued:
            req = conn.queued.popleft()
            # The web library keeps the data and the body apart from it.
            size = 2 * req.kept_bytes
            if not self._budget.begin_request(conn.holding, size):
                rejection = guard.Rejection(
                    guard.Status.BUSY, "too many requests are in progress"
                )
                self._close(sock, rejection)
                return
            conn.is_busy = True
            conn.busy_bytes = size
            conn.closes_after_response = not req.keep_alive
            self.fire(_ValidatedRead(sock, req.data))
        elif conn.rejection is not None:
            self._close(sock, conn.rejection)

    @circuits.handler("response_complete", channel="*")
    def _on_response_complete(self, event: typing.Any, *_: typing.Any) -> None:
        res = event.args[0].args[0]
        sock = res.request.sock
        conn = self._connections.get(sock)
        if conn is None:
            return
        conn.is_busy = False
        conn.busy_bytes = 0
        conn.waiting_since = self._clock.now()
        if conn.closes_after_response or (self.is_closing and not conn.queued):
            self._close(sock)
            return
        self._dispatch_next(sock, conn)
        self._account(conn)

    def check_timeouts(self) -> None:
        """Apply the request timeout and the idle timeout."""
        now = self._clock.now()
        for sock, conn in list(self._connections.items()):
            if conn.is_busy or conn.queued:
                continue
            elapsed_s = now - conn.waiting_since
            if (
                conn.normalizer.is_partial
                and elapsed_s > self._request_timeout_s
            ):
                conn.rejection = guard.Rejection(
                    guard.Status.TIMEOUT, "the request came too slowly"
                )
                self._dispatch_next(sock, conn)
            elif elapsed_s > self._idle_timeout_s:
                self._close(sock)

    def _send_rejection(
        self, sock: socket.socket, rejection: guard.Rejection
    ) -> None:
        code, phrase = rejection.status.value
        body = json.dumps(
            {
                "type": "about:blank",
                "title": phrase,
                "status": code,
                "detail": rejection.detail,
            }
        ).encode()
        head = (
            f"HTTP/1.1 {code} {phrase}\r\n"
            "Content-Type: application/problem+json\r\n"
            f"Content-Length: {len(body)}\r\n"
        )
        if rejection.status is guard.Status.BUSY:
            head += f"Retry-After: {RETRY_AFTER_S}\r\n"
        head += "Connection: close\r\n\r\n"
        self.fire(net_events.write(sock, head.encode() + body))
        self.fire(net_events.close(sock))
