"""HTTP client with persistent connections and a timeout per call."""

import collections
import enum
import logging
import typing

from chervilwheel import addresses
from chervilwheel import streams
from chervilwheel import timers
from chervilwheel.http import answers

_LOG = logging.getLogger("http")
CONNECT_TIMEOUT_S = 0.5
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
# A device between client and server may drop the state of an idle connection
# without closing it, so connections idle for longer are not reused.
MAX_IDLE_S = 10.0


class Failure(enum.Enum):
    """Why a call has no response.

    ``NOT_SENT`` means that the server can't have processed the request,
    ``UNKNOWN`` that it may have.
    """

    NONE = "none"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class CallResult(typing.NamedTuple):
    """The response to a call, or the reason that there is none."""

    failure: Failure
    status: int = 0
    body: bytes = b""


ResultCallback = typing.Callable[[CallResult], None]


class HttpClient:
    """Send HTTP requests over a connection pool per address.

    :param loop: the stream loop
    :param heap: timers
    :param max_per_address: maximum number of connections to one address; a
        call that needs one more fails at once with ``NOT_SENT``
    """

    def __init__(
        self,
        *,
        loop: streams.StreamLoop,
        heap: timers.TimerHeap,
        max_per_address: int,
    ) -> None:
        self.loop = loop
        self.heap = heap
        self.max_per_address = max_per_address
        self.connections_opened = 0
        self._pools: dict[addresses.Address, _Pool] = {}

    def call(
        self,
        address: addresses.Address,
        data: bytes,
        timeout_s: float,
        done: ResultCallback,
    ) -> None:
        """Send a request and pass its result to a callback, exactly once.

        :param data: the encoded request
        :param timeout_s: maximum time until the response is complete
        :param done: called with the result
        """
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = _Pool(owner=self, address=address)
        pool.call(_PendingCall(data, timeout_s, done))

    def close_idle(self, address: addresses.Address) -> None:
        """Close the idle connections to an address."""
        pool = self._pools.get(address)
        if pool is not None:
            pool.close_idle()

    def close(self) -> None:
        """Close the idle connections to all addresses."""
        for pool in self._pools.values():
            pool.close_idle()


class _PendingCall(typing.NamedTuple):
    """A call without a result yet."""

    data: bytes
    timeout_s: float
    done: ResultCallback


class _Pool:
    """The connection pool of one address."""

    def __init__(
        self, *, owner: HttpClient, address: addresses.Address
    ) -> None:
        self.owner = owner
        self.address = address
        self.idle: collections.deque[_Conn] = collections.deque()
        self.count = 0

    def call(self, call: _PendingCall) -> None:
        now = self.owner.heap.clock.now()
        while self.idle:
            conn = self.idle.pop()
            if conn.is_usable(now):
                conn.run(call)
                return
            conn.close()
        if self.count >= self.owner.max_per_address:
            result = CallResult(Failure.NOT_SENT)
            self.owner.heap.call_later(0.0, lambda: call.done(result))
            return
        self.count += 1
        self.owner.connections_opened += 1
        _Conn(pool=self).run(call)

    def close_idle(self) -> None:
        while self.idle:
            self.idle.pop().close()


class _Conn:
    """One connection, either serving one call or idle."""

    def __init__(self, *, pool: _Pool) -> None:
        self._pool = pool
        self._heap = pool.owner.heap
        self._call: _PendingCall | None = None
        self._timers: list[timers.Timer] = []
        self._parser = answers.ResponseParser(limit=MAX_RESPONSE_BYTES)
        self._idle_since = 0.0
        self._is_closed = False
        self._stream = pool.owner.loop.connect(pool.address)
        self._stream.on_open = self._on_open
        self._stream.on_data = self._on_data
        self._stream.on_closed = self._on_closed

    def is_usable(self, now: float) -> bool:
        return not self._is_closed and now - self._idle_since < MAX_IDLE_S

    def run(self, call: _PendingCall) -> None:
        self._call = call
        self._parser = answers.ResponseParser(limit=MAX_RESPONSE_BYTES)
        self._timers = [
            self._heap.call_later(call.timeout_s, self._on_timeout)
        ]
        if self._stream.is_open:
            self._stream.send(call.data)
        elif call.timeout_s > CONNECT_TIMEOUT_S:
            self._timers.append(
                self._heap.call_later(
                    CONNECT_TIMEOUT_S, self._on_connect_timeout
                )
            )

    def close(self) -> None:
        if not self._is_closed:
            self._is_closed = True
            self._pool.count -= 1
        self._stream.close()

    def _on_open(self) -> None:
        if self._call is not None:
            self._stream.send(self._call.data)

    def _on_data(self, data: bytes) -> None:
        if self._call is None:
            self._discard()
            return
        self._parser.feed(data)
        if self._parser.is_invalid:
            self._finish(CallResult(Failure.UNKNOWN), reusable=False)
        elif self._parser.is_complete:
            result = CallResult(
                Failure.NONE, self._parser.status, bytes(self._parser.body)
            )
            self._finish(result, reusable=self._parser.is_reusable)

    def _on_closed(self) -> None:
        if self._call is None:
            self._discard()
        elif self._stream.is_open:
            self._finish(CallResult(Failure.UNKNOWN), reusable=False)
        else:
            self._finish(CallResult(Failure.NOT_SENT), reusable=False)

    def _on_connect_timeout(self) -> None:
        if not self._stream.is_open:
            self._finish(CallResult(Failure.NOT_SENT), reusable=False)

    def _on_timeout(self) -> None:
        is_sent = self._stream.is_open
        failure = Failure.UNKNOWN if is_sent else Failure.NOT_SENT
        self._finish(CallResult(failure), reusable=False)

    def _discard(self) -> None:
        if self in self._pool.idle:
            self._pool.idle.remove(self)
        self.close()

    def _finish(self, result: CallResult, *, reusable: bool) -> None:
        call, self._call = self._call, None
        for timer in self._timers:
            timer.cancel()
        self._timers = []
        if reusable:
            self._idle_since = self._heap.clock.now()
            self._pool.idle.append(self)
        else:
            self.close()
        if call is not None:
            call.done(result)
