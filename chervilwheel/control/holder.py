"""Drive an engine: its orders to executors, its answers to callers."""

import logging
import typing

from chervilwheel import ids
from chervilwheel import timers
from chervilwheel.control import tokens
from chervilwheel.workers import engine
from chervilwheel.workers import ports
from chervilwheel.workers import work

_LOG = logging.getLogger("holder")
# A third of the shortest task's time; a tick costs a few tens of us.
TICK_S = 0.02

Answered = typing.Callable[[ids.InstanceId, work.Answer], None]


class Holder:
    """Hold the executors for as long as this host may.

    :param heap: timers
    :param port: carries orders to executors
    :param decider: the engine
    :param fence: what sets this holder's tokens apart
    :param bump: what the engine's token was made with
    :param answered: told the entry host and the final word on its job
    :param may_order: whether orders may leave now
    """

    def __init__(
        self,
        *,
        heap: timers.TimerHeap,
        port: ports.ExecutorPort,
        decider: engine.Engine,
        fence: tokens.Fence,
        bump: int,
        answered: Answered,
        may_order: typing.Callable[[], bool],
    ) -> None:
        self.engine = decider
        self._heap = heap
        self._port = port
        self._answered = answered
        self._may_order = may_order
        self._fence = fence
        self._bump = bump
        self._is_closed = False
        self._heap.call_later(TICK_S, self._tick)

    def close(self) -> None:
        """Give no more orders; what runs lapses or is taken over."""
        self._is_closed = True

    def report(
        self, report: work.ExecutorReport, *, age_s: float = 0.0
    ) -> None:
        """Take in what an executor said of itself some time ago."""
        self.engine.report(report, self._now(), age_s=age_s)
        self.pump()

    def offer(self, job: work.Job, entry: ids.InstanceId) -> None:
        """Take a job in."""
        self.engine.offer(job, entry, self._now())
        self.pump()

    def cancel(self, job: ids.JobId, outcome: work.Outcome) -> bool:
        """Stop a job; tells whether it had not ended."""
        is_known = self.engine.cancel(job, self._now(), outcome)
        self.pump()
        return is_known

    def lose_entry(self, entry: ids.InstanceId) -> None:
        """Stop the jobs of an entry host that is silent."""
        self.engine.lose_entry(entry, self._now())
        self.pump()

    def pump(self) -> None:
        """Carry out what the engine wants."""
        while True:
            actions = self.engine.take()
            if not actions or self._is_closed:
                return
            for action in actions:
                self._carry_out(action)

    def _now(self) -> float:
        return self._heap.clock.now()

    def _tick(self) -> None:
        if self._is_closed:
            return
        self._heap.call_later(TICK_S, self._tick)
        self.engine.tick(self._now())
        self.pump()

    def _carry_out(self, action: work.Action) -> None:
        if isinstance(action, work.Answer):
            state = self.engine.jobs.get(action.job)
            if state is not None:
                self._answered(state.entry, action)
        elif isinstance(action, work.StartOrder):
            self._start(action)
        elif isinstance(action, work.HoldOrder):
            self._hold(action)
        else:
            self._stop(action)

    def _start(self, order: work.StartOrder) -> None:
        def done(verdict: work.StartVerdict, clock_ms: int) -> None:
            if self._is_closed:
                return
            if verdict is work.StartVerdict.FENCED:
                self._raise_token(order.token)
            self.engine.started(order, verdict, clock_ms, self._now())
            self.pump()

        if self._may_order():
            self._port.start(order, done)
        else:
            self._later(lambda: done(work.StartVerdict.NOT_SENT, 0))

    def _hold(self, order: work.HoldOrder) -> None:
        sent_at = self._now()

        def done(answer: work.HoldAnswer) -> None:
            if self._is_closed:
                return
            if answer.verdict is work.HoldVerdict.FENCED:
                self._raise_token(order.token)
            self.engine.held(order, answer, sent_at, self._now())
            self.pump()

        if self._may_order():
            self._port.hold(order, done)
        else:
            silent = work.HoldAnswer(work.HoldVerdict.UNKNOWN)
            self._later(lambda: done(silent))

    def _stop(self, order: work.StopOrder) -> None:
        if self._may_order():
            self._port.stop(order, lambda _clock_ms: None)

    def _raise_token(self, refused: int) -> None:
        """Go beyond the token of a holder that had no quorum.

        Only the leader does so, while it is sure to lead.
        """
        is_leader = self._fence.side == tokens.LEADER_SIDE
        if not is_leader or not self._may_order():
            return
        if refused == self.engine.token and self._bump < tokens.MAX_BUMP:
            self._bump += 1
            token = self._fence.token(self._bump)
            self.engine.raise_token(token, self._now())
            _LOG.info("holder: token raised", extra={"bump": self._bump})

    def _later(self, callback: typing.Callable[[], None]) -> None:
        self._heap.call_later(TICK_S, callback)
