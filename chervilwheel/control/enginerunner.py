"""Run an engine: send its orders to executors and return its answers."""

import logging
import typing

from chervilwheel import ids
from chervilwheel import timers
from chervilwheel.control import tokens
from chervilwheel.workers import engine
from chervilwheel.workers import ports
from chervilwheel.workers import work

_LOG = logging.getLogger("holder")
# A third of the duration of the shortest task (60 ms); a tick costs a few
# tens of microseconds.
TICK_S = 0.02

Notify = typing.Callable[[ids.InstanceId, work.Notice], None]


class EngineRunner:
    """Execute the actions of an engine while this host is the holder.

    :param heap: timers
    :param port: sends orders to executors
    :param job_engine: the engine
    :param fence: the parts of this holder's fencing tokens that are its own
    :param bump: the bump of the engine's current token
    :param notify: receives the entry host and a notice about its job
    :param may_send_orders: whether orders may be sent now
    :param may_start: whether tasks may be started now
    :param on_bumps_used: called when executors fence the leader off and its
        token can't be raised any more
    """

    def __init__(
        self,
        *,
        heap: timers.TimerHeap,
        port: ports.ExecutorPort,
        job_engine: engine.Engine,
        fence: tokens.Fence,
        bump: int,
        notify: Notify,
        may_send_orders: typing.Callable[[], bool],
        may_start: typing.Callable[[], bool] = lambda: True,
        on_bumps_used: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self.engine = job_engine
        self._heap = heap
        self._port = port
        self._notify = notify
        self._may_send_orders = may_send_orders
        self._fence = fence
        self._bump = bump
        self._may_start = may_start
        self._on_bumps_used = on_bumps_used
        self._closed_zones: frozenset[ids.ZoneId] = frozenset()
        self._is_closed = False
        self._last_order_at = self._now()
        self._heap.call_later(TICK_S, self._tick)

    def last_order_s(self) -> float:
        """Return the time since a start or a renewal was sent, seconds."""
        return self._now() - self._last_order_at

    def close(self) -> None:
        """Send no more orders.

        Running tasks end with their leases or pass to the next holder.
        """
        self._is_closed = True

    def report(
        self,
        report: work.ExecutorReport,
        *,
        age_s: float = 0.0,
        is_unused: bool = False,
    ) -> None:
        """Process an executor's report, as :meth:`engine.Engine.report`."""
        self.engine.report(
            report, self._now(), age_s=age_s, is_unused=is_unused
        )
        self.execute_actions()

    def reports_shared(self, names: typing.Iterable[work.ExecutorId]) -> None:
        """Use executors, as :meth:`engine.Engine.reports_shared`."""
        self.engine.reports_shared(names, self._now())
        self.execute_actions()

    def offer(self, job: work.Job, entry: ids.InstanceId) -> None:
        """Submit a job of an entry host to the engine."""
        self.engine.offer(job, entry, self._now())
        self.execute_actions()

    def cancel(self, job: ids.JobId, outcome: work.Outcome) -> bool:
        """Cancel a job; return whether it had not ended yet."""
        is_known = self.engine.cancel(job, self._now(), outcome)
        self.execute_actions()
        return is_known

    def leave(self, job: ids.JobId, entry: ids.InstanceId) -> None:
        """Stop a job whose callers have left, unless others wait for it."""
        self.engine.leave(job, entry, self._now())
        self.execute_actions()

    def close_zones(self, zones: frozenset[ids.ZoneId]) -> None:
        """Start nothing in these zones from now on; open all others."""
        if zones != self._closed_zones:
            self._closed_zones = zones
            self.engine.close_zones(zones, self._now())
            self.execute_actions()

    def end_entry_jobs(self, entry: ids.InstanceId) -> None:
        """End the jobs of an entry host whose heartbeats stopped as lost."""
        self.engine.end_entry_jobs(entry, self._now())
        self.execute_actions()

    def refuse_unstarted(self, *, reason: str) -> None:
        """Refuse the jobs of which no holder has begun a run."""
        self.engine.refuse_unstarted(self._now(), reason=reason)
        self.execute_actions()

    def execute_actions(self) -> None:
        """Execute all actions that the engine has queued."""
        while True:
            actions = self.engine.take_actions()
            if not actions or self._is_closed:
                return
            for action in actions:
                self._execute(action)

    def _now(self) -> float:
        return self._heap.clock.now()

    def _tick(self) -> None:
        if self._is_closed:
            return
        self._heap.call_later(TICK_S, self._tick)
        self.engine.tick(self._now())
        self.execute_actions()
        if self.engine.needs_token:
            self._raise_leader_token()

    def _execute(self, action: work.Action) -> None:
        if isinstance(action, work.Notice):
            self._notify_entries(action)
        elif isinstance(action, work.StartOrder):
            self._start(action)
        elif isinstance(action, work.HoldOrder):
            self._hold(action)
        else:
            self._stop(action)

    def _notify_entries(self, notice: work.Notice) -> None:
        """Send a notice to the entry hosts that have offered its job."""
        state = self.engine.jobs.get(notice.job)
        if state is None:
            return
        # A caller may submit the job again when it is answered.
        for entry in tuple(state.answered):
            if isinstance(notice, work.Answer):
                notice = notice._replace(submission=state.submission_of(entry))
            self._notify(entry, notice)

    def _start(self, order: work.StartOrder) -> None:
        def done(verdict: work.StartVerdict, clock_ms: int) -> None:
            if self._is_closed:
                return
            if verdict is work.StartVerdict.FENCED:
                self._raise_token(order)
            self.engine.started(order, verdict, clock_ms, self._now())
            self.execute_actions()

        if self._may_send_orders() and self._may_start_on(order.executor):
            self._last_order_at = self._now()
            self._port.start(order, done)
        else:
            self._call_next_tick(lambda: done(work.StartVerdict.NOT_SENT, 0))

    def _may_start_on(self, name: work.ExecutorId) -> bool:
        # The engine may have ordered the start before the zone was closed.
        executor = self.engine.executors.get(name)
        is_closed = (
            executor is not None and executor.report.zone in self._closed_zones
        )
        return self._may_start() and not is_closed

    def _hold(self, order: work.HoldOrder) -> None:
        sent_at = self._now()

        def done(answer: work.HoldAnswer) -> None:
            if self._is_closed:
                return
            if answer.verdict is work.HoldVerdict.FENCED:
                self._raise_token(order)
            self.engine.held(order, answer, sent_at, self._now())
            self.execute_actions()

        if self._may_send_orders():
            self._last_order_at = sent_at
            self._port.hold(order, done)
        else:
            unknown = work.HoldAnswer(work.HoldVerdict.UNKNOWN)
            self._call_next_tick(lambda: done(unknown))

    def _stop(self, order: work.StopOrder) -> None:
        def done(is_stopped: bool, clock_ms: int) -> None:
            if self._is_closed or not is_stopped:
                return
            self.engine.stopped(order, clock_ms, self._now())
            self.execute_actions()

        if self._may_send_orders():
            self._port.stop(order, done)

    def _raise_token(self, order: work.StartOrder | work.HoldOrder) -> None:
        """Replace a token that an executor fenced off with a higher one.

        The executor has seen the token of a standby holder. An order with a
        former token of this holder is to be fenced off. Only the leader
        raises it: two standbys that don't know each other would take turns.
        """
        if not self.engine.is_token_of(order.token, order.executor):
            return
        if self._fence.side != tokens.LEADER_SIDE:
            self.engine.check_fences(self._now())
            return
        self._raise_leader_token()

    def _raise_leader_token(self) -> None:
        """Use the next bump, while the leader lease is valid."""
        is_leader = self._fence.side == tokens.LEADER_SIDE
        if not is_leader or not self._may_send_orders():
            return
        if self._bump < tokens.MAX_BUMP:
            self._use_bump(self._bump + 1)
        else:
            self._on_bumps_used()

    def raise_token_above(self, token: int) -> None:
        """Use a token above one whose holder sends no orders any more.

        A token that isn't higher is this holder's own, repeated by a host
        that follows it.
        """
        if token <= self.engine.highest_token:
            return
        self._fence = self._fence.above(token)
        bump = self._fence.bump_above(token)
        if self._fence.token(bump) > self.engine.highest_token:
            self._use_bump(bump)

    def _use_bump(self, bump: int) -> None:
        self._bump = bump
        self.engine.raise_token(self._fence.token(bump), self._now())
        _LOG.info("holder: token raised", extra={"bump": bump})
        self.execute_actions()

    def _call_next_tick(self, callback: typing.Callable[[], None]) -> None:
        self._heap.call_later(TICK_S, callback)
