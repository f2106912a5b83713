"""Send tasks to endpoints over HTTP, one request a connection at a time."""

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
MAX_IDLE = 16
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


class CallOutcome(enum.Enum):
    """How one attempt at an endpoint ended."""

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
    """One attempt of one task."""

    endpoint: ids.EndpointId
    address: addresses.Address
    job: ids.JobId
    task: int
    attempt: int
    payload: bytes
    timeout_s: float


class CallResult(typing.NamedTuple):
    """The end of one attempt; ``body`` is the endpoint's JSON text."""

    call: Call
    outcome: CallOutcome
    body: bytes = b""
    detail: str = ""


Done = typing.Callable[[CallResult], None]


class Caller:
    """Keep connections to endpoints and send tasks over them.

    :param loop: the stream loop
    :param heap: timers for deadlines
    :param answer_bytes: largest answer of one task, bytes
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
        """Attempts without an end."""
        return len(self._running)

    def start(self, call: Call, done: Done) -> None:
        """Send a task; the result comes once, never before this returns."""
        conn = self._take_idle(call.address)
        if conn is None:
            conn = _Connection(owner=self, address=call.address)
        self._running.add(conn)
        conn.run(call, done)

    def release(self, conn: "_Connection", *, reusable: bool) -> None:
        """Take back a connection whose attempt has ended."""
        self._running.discard(conn)
        idle = self._idle.setdefault(conn.address, collections.deque())
        if reusable and len(idle) < MAX_IDLE:
            idle.append(conn)
        else:
            conn.close()

    def drop(self, conn: "_Connection") -> None:
        """Forget an idle connection that the endpoint closed."""
        idle = self._idle.get(conn.address)
        if idle is not None and conn in idle:
            idle.remove(conn)

    def distrust(self, address: addresses.Address) -> None:
        """Close the idle connections to an address, which may be silent."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def close(self) -> None:
        """Close every connection; attempts in flight are not told."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()
        for conn in list(self._running):
            conn.close()
        self._running.clear()

    def _take_idle(self, address: addresses.Address) -> "_Connection | None":
        idle = self._idle.get(address)
        return idle.pop() if idle else None


class _Connection:
    """One connection to an endpoint, running one attempt or idle."""

    def __init__(self, *, owner: Caller, address: addresses.Address) -> None:
        self.address = address
        self._owner = owner
        self._stream = owner.loop.connect(address)
        self._stream.on_open = self._on_open
        self._stream.on_data = self._on_data
        self._stream.on_closed = self._on_closed
        self._call: Call | None = None
        self._done: Done | None = None
        self._timers: list[timers.Timer] = []
        self._answer: _TaskAnswer | None = None
        self._is_starting = False

    def run(self, call: Call, done: Done) -> None:
        self._call = call
        self._done = done
        self._answer = _TaskAnswer(limit=self._owner.answer_bytes)
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
        if self._answer is None:
            self._stream.fail()
            return
        self._answer.feed(data)
        if self._answer.is_broken:
            self._end(CallOutcome.GARBLED, detail="not a valid answer")
        elif self._answer.is_whole:
            self._judge(self._answer)

    def _judge(self, answer: "_TaskAnswer") -> None:
        call = self._call
        if answer.is_refusal:
            self._end(CallOutcome.REFUSED, detail="refused before start")
        elif call is None or not answer.belongs_to(call):
            self._end(
                CallOutcome.GARBLED, detail="the answer is another task's"
            )
        elif answer.status == HTTP_OK:
            self._end(CallOutcome.ANSWERED, body=bytes(answer.body))
        else:
            self._end(CallOutcome.FAILED, body=bytes(answer.body))

    def _on_closed(self) -> None:
        if self._call is None:
            self._owner.drop(self)
        elif self._stream.is_open:
            self._end(CallOutcome.LOST, detail="the connection broke")
        else:
            self._end(CallOutcome.UNREACHABLE, detail="no connection")

    def _on_connect_timeout(self) -> None:
        if not self._stream.is_open:
            self._end(CallOutcome.UNREACHABLE, detail="no connection in time")

    def _on_timeout(self) -> None:
        if self._stream.is_open:
            self._end(CallOutcome.TIMED_OUT, detail="no answer in time")
        else:
            self._end(CallOutcome.UNREACHABLE, detail="no connection in time")

    def _end(
        self, outcome: CallOutcome, *, body: bytes = b"", detail: str = ""
    ) -> None:
        call, done, answer = self._call, self._done, self._answer
        self._call = self._done = self._answer = None
        self._cancel_timers()
        is_clean = outcome in (
            CallOutcome.ANSWERED,
            CallOutcome.FAILED,
            CallOutcome.REFUSED,
        )
        reusable = is_clean and answer is not None and answer.keeps_alive
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


class _TaskAnswer(answers.AnswerReader):
    """An endpoint's answer to an attempt."""

    @property
    def is_refusal(self) -> bool:
        return (
            self.status == HTTP_UNAVAILABLE
            and NOT_STARTED_HEADER.lower() in self.headers
        )

    def belongs_to(self, call: Call) -> bool:
        named = (
            self.headers.get(JOB_HEADER.lower()),
            self.headers.get(TASK_HEADER.lower()),
            self.headers.get(ATTEMPT_HEADER.lower()),
        )
        return named == (call.job, str(call.task), str(call.attempt))


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
