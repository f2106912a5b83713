"""Send tasks to endpoints over HTTP, one at a time per connection."""

import collections
import enum
import logging
import typing

from chervilwheel import addresses
from chervilwheel import ids
from chervilwheel import streams
from chervilwheel import timers
from chervilwheel.http import answers

_LOG = logging.getLogger("calls")
JOB_HEADER = "X-Chervilwheel-Job"
TASK_HEADER = "X-Chervilwheel-Task"
ATTEMPT_HEADER = "X-Chervilwheel-Attempt"
DEADLINE_HEADER = "X-Chervilwheel-Deadline-Ms"
NOT_STARTED_HEADER = "X-Chervilwheel-Not-Started"
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_PER_ADDRESS = 16
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


class CallOutcome(enum.Enum):
    """The outcome of one attempt to run a task on an endpoint.

    ``REFUSED`` means that the endpoint reported that it didn't start the
    task; ``GARBLED`` that its response is invalid or for another attempt.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    TIMED_OUT = "timed_out"
    GARBLED = "garbled"

    @property
    def proves_not_started(self) -> bool:
        """Whether the endpoint can't have started the task."""
        return self in (CallOutcome.REFUSED, CallOutcome.UNREACHABLE)


class Call(typing.NamedTuple):
    """One attempt to run a task on an endpoint."""

    endpoint: ids.EndpointId
    address: addresses.Address
    job: ids.JobId
    task: int
    attempt: int
    payload: bytes
    timeout_s: float


class CallResult(typing.NamedTuple):
    """The result of an attempt; ``body`` is the JSON of the endpoint."""

    call: Call
    outcome: CallOutcome
    body: bytes = b""
    detail: str = ""


ResultCallback = typing.Callable[[CallResult], None]


class EndpointClient:
    """Send tasks to endpoints over persistent connections.

    :param loop: the stream loop
    :param heap: timers for timeouts
    :param answer_bytes: maximum response size of one task, bytes
    """

    def __init__(
        self,
        *,
        loop: streams.StreamLoop,
        heap: timers.TimerHeap,
        answer_bytes: int,
    ) -> None:
        self.loop = loop
        self.heap = heap
        self.answer_bytes = answer_bytes
        self._idle: dict[
            addresses.Address, collections.deque[_Connection]
        ] = {}
        self._running: set[_Connection] = set()

    @property
    def in_flight(self) -> int:
        """Number of attempts without a result yet."""
        return len(self._running)

    def start(self, call: Call, done: ResultCallback) -> None:
        """Send a task; ``done`` is called once, after this method returns."""
        conn = self._pop_idle(call.address)
        if conn is None:
            conn = _Connection(owner=self, address=call.address)
        self._running.add(conn)
        conn.run(call, done)

    def release(self, conn: "_Connection", *, reusable: bool) -> None:
        """Return a connection to the idle pool, or close it."""
        self._running.discard(conn)
        idle = self._idle.setdefault(conn.address, collections.deque())
        if reusable and len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(conn)
        else:
            conn.close()

    def remove_idle(self, conn: "_Connection") -> None:
        """Remove an idle connection that the endpoint closed."""
        idle = self._idle.get(conn.address)
        if idle is not None and conn in idle:
            idle.remove(conn)

    def close_idle(self, address: addresses.Address) -> None:
        """Close idle connections to an address that may be unresponsive."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def close(self) -> None:
        """Close all connections without calling back for pending attempts."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()
        for conn in list(self._running):
            conn.close()
        self._running.clear()

    def _pop_idle(self, address: addresses.Address) -> "_Connection | None":
        idle = self._idle.get(address)
        return idle.pop() if idle else None


class _Connection:
    """One connection to an endpoint, either serving one attempt or idle."""

    def __init__(
        self, *, owner: EndpointClient, address: addresses.Address
    ) -> None:
        self.address = address
        self._owner = owner
        self._stream = owner.loop.connect(address)
        self._stream.on_open = self._on_open
        self._stream.on_data = self._on_data
        self._stream.on_closed = self._on_closed
        self._call: Call | None = None
        self._done: ResultCallback | None = None
        self._timers: list[timers.Timer] = []
        self._response: _TaskResponse | None = None
        self._is_starting = False

    def run(self, call: Call, done: ResultCallback) -> None:
        self._call = call
        self._done = done
        self._response = _TaskResponse(limit=self._owner.answer_bytes)
        self._is_starting = True
        heap = self._owner.heap
        self._timers = [heap.call_later(call.timeout_s, self._on_timeout)]
        if self._stream.is_open:
            self._stream.send(_encode(call))
        else:
            self._timers.append(
                heap.call_later(CONNECT_TIMEOUT_S, self._on_connect_timeout)
            )
        self._is_starting = False

    def close(self) -> None:
        self._stream.close()
        self._cancel_timers()

    def _on_open(self) -> None:
        if self._call is not None:
            self._stream.send(_encode(self._call))

    def _on_data(self, data: bytes) -> None:
        if self._response is None:
            self._stream.abort()
            return
        self._response.feed(data)
        if self._response.is_invalid:
            self._finish(CallOutcome.GARBLED, detail="not a valid answer")
        elif self._response.is_complete:
            self._classify(self._response)

    def _classify(self, response: "_TaskResponse") -> None:
        call = self._call
        if response.is_not_started:
            self._finish(CallOutcome.REFUSED, detail="refused before start")
        elif call is None or not response.matches(call):
            self._finish(
                CallOutcome.GARBLED, detail="the answer is another task's"
            )
        elif response.status == HTTP_OK:
            self._finish(CallOutcome.ANSWERED, body=bytes(response.body))
        else:
            self._finish(CallOutcome.FAILED, body=bytes(response.body))

    def _on_closed(self) -> None:
        if self._call is None:
            self._owner.remove_idle(self)
        elif self._stream.is_open:
            self._finish(CallOutcome.LOST, detail="the connection broke")
        else:
            self._finish(CallOutcome.UNREACHABLE, detail="no connection")

    def _on_connect_timeout(self) -> None:
        if not self._stream.is_open:
            self._finish(
                CallOutcome.UNREACHABLE, detail="no connection in time"
            )

    def _on_timeout(self) -> None:
        if self._stream.is_open:
            self._finish(CallOutcome.TIMED_OUT, detail="no answer in time")
        else:
            self._finish(
                CallOutcome.UNREACHABLE, detail="no connection in time"
            )

    def _finish(
        self, outcome: CallOutcome, *, body: bytes = b"", detail: str = ""
    ) -> None:
        call, done, response = self._call, self._done, self._response
        self._call = self._done = self._response = None
        self._cancel_timers()
        is_clean = outcome in (
            CallOutcome.ANSWERED,
            CallOutcome.FAILED,
            CallOutcome.REFUSED,
        )
        reusable = is_clean and response is not None and response.is_reusable
        self._owner.release(self, reusable=reusable)
        if call is None or done is None:
            return
        result = CallResult(call, outcome, body, detail)
        if self._is_starting:
            self._owner.heap.call_later(0.0, lambda: done(result))
        else:
            done(result)

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers = []


class _TaskResponse(answers.ResponseParser):
    """The response of an endpoint to an attempt."""

    @property
    def is_not_started(self) -> bool:
        return (
            self.status == HTTP_UNAVAILABLE
            and NOT_STARTED_HEADER.lower() in self.headers
        )

    def matches(self, call: Call) -> bool:
        identity = (
            self.headers.get(JOB_HEADER.lower()),
            self.headers.get(TASK_HEADER.lower()),
            self.headers.get(ATTEMPT_HEADER.lower()),
        )
        return identity == (call.job, str(call.task), str(call.attempt))


def _encode(call: Call) -> bytes:
    head = (
        f"POST /v1/tasks HTTP/1.1\r\nHost: {call.address}\r\n"
        f"{JOB_HEADER}: {call.job}\r\n"
        f"{TASK_HEADER}: {call.task}\r\n"
        f"{ATTEMPT_HEADER}: {call.attempt}\r\n"
        f"{DEADLINE_HEADER}: {int(call.timeout_s * 1000)}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(call.payload)}\r\n\r\n"
    )
    return head.encode("ascii") + call.payload
