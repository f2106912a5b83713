"""HTTP server on the stream loop, one request per connection at a time."""

import json
import logging
import socket

from chervilwheel import addresses
from chervilwheel import connbudget
from chervilwheel import errors
from chervilwheel import guard
from chervilwheel import loglimit
from chervilwheel import problems
from chervilwheel import streams
from chervilwheel import timers
from chervilwheel.http import connection

_LOG = logging.getLogger("http")
TIMEOUT_CHECK_INTERVAL_S = 0.5
Response = connection.Response
Timeouts = connection.Timeouts
Exchange = connection.Exchange
Handler = connection.Handler


def error_response(exc: errors.ChervilwheelError) -> Response:
    """Return an error response with problem details (RFC 9457)."""
    problem = problems.describe(exc)
    return Response(
        exc.status,
        json.dumps(problem.content).encode(),
        headers=tuple(problem.headers.items()),
        content_type=problems.CONTENT_TYPE,
    )


class HttpServer(connection.Owner):
    """Accept connections and pass their requests to a handler.

    :param loop: the stream loop
    :param heap: timers
    :param limits: size limits of one request
    :param timeouts: time limits of a connection
    :param handler: responds to a request, immediately or later
    :param budget: bounds what the connections of this process hold together
    :param work_factor: memory that serving a request takes beside it, as a
        multiple of its body
    :ivar may_refuse: whether a request that there is no room for may be
        answered that it wasn't run; if not, its connection is closed
    """

    def __init__(
        self,
        *,
        loop: streams.StreamLoop,
        heap: timers.TimerHeap,
        limits: guard.Limits,
        timeouts: Timeouts,
        handler: Handler,
        budget: connbudget.ConnectionBudget,
        work_factor: int = 1,
    ) -> None:
        self.heap = heap
        self.limits = limits
        self.timeouts = timeouts
        self.handler = handler
        self.budget = budget
        self.work_factor = work_factor
        self.may_refuse: connection.MayRefuse = lambda _method, _target: True
        self.is_closing = False
        self._log = loglimit.LimitedLog(log=_LOG, clk=heap.clock)
        self._loop = loop
        self._conns: set[connection.Connection] = set()
        self._listeners: list[socket.socket] = []
        heap.call_every(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    @property
    def busy(self) -> int:
        """Number of connections with a request in progress."""
        return sum(conn.is_busy for conn in self._conns)

    def listen(self, address: addresses.Address) -> None:
        """Accept connections on an address.

        :raises OSError: when the address can't be bound
        """
        self._listeners.append(
            self._loop.listen(address, self._accept, is_for_clients=True)
        )

    def stop_listening(self) -> None:
        """Accept no more connections."""
        for sock in self._listeners:
            self._loop.stop_listening(sock)
        self._listeners = []

    def close_idle(self) -> None:
        """Close idle connections, and the others once they are answered."""
        self.is_closing = True
        for conn in list(self._conns):
            if not conn.is_busy:
                conn.close()

    def remove(self, conn: connection.Connection) -> None:
        """Remove a closed connection from the set of connections."""
        self._conns.discard(conn)

    def handle(self, exchange: Exchange) -> None:
        """Pass a request to the handler."""
        self._loop.add_client_cost(len(exchange.request.body))
        try:
            self.handler(exchange)
        except Exception as exc:
            _LOG.exception(
                "http: request handler failed", extra={"error": repr(exc)}
            )
            exchange.respond(Response(500))

    def log_rejection(self, detail: str) -> None:
        """Log that a request was rejected, unless many are."""
        self._log.info("http: request rejected", detail=detail)

    def _accept(self, stream: streams.Stream) -> None:
        self._conns.add(connection.Connection(server=self, stream=stream))

    def _check_timeouts(self) -> None:
        now = self.heap.clock.now()
        for conn in list(self._conns):
            conn.check_timeouts(now)
