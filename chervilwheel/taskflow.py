"""The way of one task: place, start, collect, and try again."""

import collections
import typing

from chervilwheel import _runs
from chervilwheel import budgets
from chervilwheel import calls
from chervilwheel import jobs
from chervilwheel import learned
from chervilwheel import ledger
from chervilwheel import slotsource
from chervilwheel import timers

MAX_ATTEMPTS = 4
MAX_REFUSED = 16
RETRY_SHARE = 0.1
RETRY_BURST = 20.0
HEDGE_QUANTILE = 0.95
HEDGE_FACTOR = 1.5
HEDGE_LEAST_S = 0.02
ATTEMPT_FACTOR = 8.0
ATTEMPT_LEAST_S = 2.0
INTEND_RETRY_S = 0.2
HOLD_S = 0.3

Verdict = ledger.Verdict
Finished = typing.Callable[[_runs.TaskRun, ledger.TaskRecord], None]
RunTold = typing.Callable[[_runs.Run], None]
Staged = typing.Callable[[str, float], None]


class TaskFlow:
    """Bring tasks of claimed runs to endpoints and their results back.

    :param slots: hands out endpoints' slots
    :param caller: sends tasks to endpoints
    :param heap: timers
    :param times: learned run times by service and team
    :param counts: counters of the instance
    :param finished: told a task's result, once a task
    :param fenced: told that a run belongs to another instance now
    :param cancelled: told that a run was cancelled
    :param staged: told a stage's name and when it began
    """

    def __init__(
        self,
        *,
        slots: slotsource.SlotSource,
        caller: calls.Caller,
        heap: timers.TimerHeap,
        times: learned.LearnedTimes,
        counts: collections.Counter[str],
        finished: Finished,
        fenced: RunTold,
        cancelled: RunTold,
        staged: Staged,
    ) -> None:
        self._slots = slots
        self._caller = caller
        self._heap = heap
        self._clock = heap.clock
        self._times = times
        self._counts = counts
        self._finished = finished
        self._fenced = fenced
        self._cancelled = cancelled
        self._staged = staged
        self._budget = budgets.RetryBudget(
            share=RETRY_SHARE, burst=RETRY_BURST
        )

    def free_hint(self, task: _runs.TaskRun) -> int:
        """Guess how many tasks like one would get a slot at once."""
        return self._slots.free_hint(_need(task))

    def place(self, task: _runs.TaskRun) -> None:
        """Queue a task for a slot, until its deadline."""
        task.timer = self._heap.call_at(
            task.deadline_at, lambda: self._on_deadline(task)
        )
        self._queue(task)

    def _queue(self, task: _runs.TaskRun) -> None:
        if task.waiting is not None:
            return
        task.queued_at = self._clock.now()
        task.waiting = slotsource.Waiting(
            need=_need(task),
            deadline_at=task.deadline_at,
            granted=lambda grant: self._on_grant(task, grant),
            avoid=task.avoid,
        )
        self._slots.add(task.waiting)

    def _on_grant(self, task: _runs.TaskRun, grant: slotsource.Grant) -> None:
        task.waiting = None
        if task.is_over:
            self._slots.release(grant, slotsource.Use.UNUSED)
            return
        self._staged("slot", task.queued_at)
        task.grant = grant
        self.start_if_ready(task)
        if task.grant is grant:
            self._heap.call_later(HOLD_S, lambda: self._unhold(task, grant))

    def _unhold(self, task: _runs.TaskRun, grant: slotsource.Grant) -> None:
        # The ledger is slow; others may use the slot meanwhile.
        if task.grant is grant:
            self._return_grant(task)

    def start_if_ready(self, task: _runs.TaskRun) -> None:
        """Start a task that is claimed, granted and intended."""
        run = task.run
        if not run.epoch:
            return
        if task.is_over:
            self._return_grant(task)
        elif task.grant is None:
            if not task.attempts:
                self._queue(task)
        elif task.spec.is_idempotent or task.has_intent:
            self._start(task)
        else:
            self._intend(task)

    def _intend(self, task: _runs.TaskRun) -> None:
        run = task.run
        asked_at = self._clock.now()
        run.book.intend(
            run.submission.job,
            run.epoch,
            [task.number],
            lambda reply: self._on_intent(task, asked_at, reply),
        )

    def _on_intent(
        self,
        task: _runs.TaskRun,
        asked_at: float,
        reply: ledger.JobReply | None,
    ) -> None:
        self._staged("intent", asked_at)
        if reply is None:
            self._heap.call_later(
                INTEND_RETRY_S, lambda: self.start_if_ready(task)
            )
        elif reply.verdict is Verdict.SYNCED:
            task.has_intent = True
            self.start_if_ready(task)
        elif reply.verdict is Verdict.CANCELLED:
            self._cancelled(task.run)
            self._return_grant(task)
        else:
            self._fenced(task.run)

    def _start(self, task: _runs.TaskRun) -> None:
        grant = typing.cast(slotsource.Grant, task.grant)
        task.grant = None
        now = self._clock.now()
        left_s = task.deadline_at - now
        if left_s <= 0:
            self._slots.release(grant, slotsource.Use.UNUSED)
            return
        task.tries += 1
        if task.tries == 1:
            self._budget.earn()
        self._counts["sent"] += 1
        attempt = _runs.Attempt(task=task, grant=grant, started_at=now)
        task.attempts.append(attempt)
        call = calls.Call(
            endpoint=grant.endpoint,
            address=grant.address,
            job=task.run.submission.job,
            task=task.number,
            attempt=task.tries,
            payload=task.spec.payload.encode(),
            timeout_s=self._attempt_limit_s(task, left_s),
        )
        self._hedge_later(task, attempt)
        self._caller.start(call, lambda end: self._collect(attempt, end))

    def _attempt_limit_s(self, task: _runs.TaskRun, left_s: float) -> float:
        # Only idempotent work may be tried again, so only its attempts
        # end before the deadline.
        times = self._times.get(_kind(task))
        if not task.spec.is_idempotent or times is None:
            return left_s
        limit_s = ATTEMPT_FACTOR * times.quantile_ms(0.99) / 1000
        return min(left_s, max(ATTEMPT_LEAST_S, limit_s))

    def _hedge_later(
        self, task: _runs.TaskRun, attempt: _runs.Attempt
    ) -> None:
        times = self._times.get(_kind(task))
        if times is None:
            return
        delay_s = HEDGE_FACTOR * times.quantile_ms(HEDGE_QUANTILE) / 1000
        attempt.hedge_timer = self._heap.call_later(
            max(HEDGE_LEAST_S, delay_s), lambda: self._on_slow(attempt)
        )

    def _on_slow(self, attempt: _runs.Attempt) -> None:
        task = attempt.task
        if attempt not in task.attempts:
            return
        self._slots.mark_slow(attempt.grant)
        if task.is_over or not task.spec.is_idempotent:
            return
        is_alone = task.waiting is None and task.grant is None
        if is_alone and task.tries < MAX_ATTEMPTS and self._budget.spend():
            self._counts["hedged"] += 1
            task.avoid = attempt.grant.endpoint
            self._queue(task)

    def _collect(self, attempt: _runs.Attempt, end: calls.CallResult) -> None:
        task = attempt.task
        task.attempts.remove(attempt)
        if attempt.hedge_timer is not None:
            attempt.hedge_timer.cancel()
        self._slots.release(attempt.grant, _use(end.outcome))
        run_ms = (self._clock.now() - attempt.started_at) * 1000
        self._counts[f"call_{end.outcome.value}"] += 1
        if end.outcome in _SUSPICIOUS:
            self._caller.distrust(end.call.address)
        if task.is_over:
            self._on_late(task, end)
        elif end.outcome is calls.CallOutcome.ANSWERED:
            self._times.add(_kind(task), run_ms)
            task.run.longest_ms = max(task.run.longest_ms, run_ms)
            self._finished(task, _runs.complete_result(task.number, end.body))
        elif self._has_more(task):
            task.bad_end = end
        elif self._may_retry(task, end):
            self._counts["retried"] += 1
            task.avoid = end.call.endpoint
            task.bad_end = None
            self._queue(task)
        else:
            self._finished(task, _runs.bad_result(task.number, end))

    def _on_late(self, task: _runs.TaskRun, end: calls.CallResult) -> None:
        self._counts["late_answers"] += 1
        run = task.run
        if run.is_abandoned and end.outcome is calls.CallOutcome.ANSWERED:
            # Still true, and the adopter may not know it.
            record = _runs.complete_result(task.number, end.body)
            run.book.record(
                run.submission.job, run.epoch, [record], lambda _: None
            )

    def _has_more(self, task: _runs.TaskRun) -> bool:
        is_under_way = task.attempts or task.waiting or task.grant
        return bool(is_under_way) and self._clock.now() < task.deadline_at

    def _may_retry(self, task: _runs.TaskRun, end: calls.CallResult) -> bool:
        if self._clock.now() >= task.deadline_at or task.run.is_cancelled:
            return False
        if end.outcome.proves_not_started:
            return task.tries < MAX_REFUSED
        if not task.spec.is_idempotent or task.tries >= MAX_ATTEMPTS:
            return False
        return self._budget.spend()

    def _on_deadline(self, task: _runs.TaskRun) -> None:
        if task.is_over:
            return
        if task.attempts:
            # Their own timeout is this very moment.
            return
        if task.bad_end is not None:
            self._finished(task, _runs.bad_result(task.number, task.bad_end))
        else:
            self.give_up(task, "no slot before the deadline")

    def give_up(self, task: _runs.TaskRun, detail: str) -> None:
        """End a task that was not started."""
        record = ledger.TaskRecord(
            task.number, jobs.Outcome.NOT_RUN, "null", detail
        )
        self._finished(task, record)

    def stop(self, task: _runs.TaskRun) -> None:
        """Let go of the timer, the place in the queue and the slot."""
        if task.timer is not None:
            task.timer.cancel()
        if task.waiting is not None:
            self._slots.cancel(task.waiting)
            task.waiting = None
        self._return_grant(task)

    def _return_grant(self, task: _runs.TaskRun) -> None:
        grant, task.grant = task.grant, None
        if grant is not None:
            self._slots.release(grant, slotsource.Use.UNUSED)


_SUSPICIOUS = {
    calls.CallOutcome.TIMED_OUT,
    calls.CallOutcome.LOST,
    calls.CallOutcome.GARBLED,
}


def _need(task: _runs.TaskRun) -> slotsource.Need:
    team = task.run.submission.team
    return slotsource.Need(task.spec.service, team, task.spec.urgency)


def _kind(task: _runs.TaskRun) -> tuple[str, str]:
    return (task.spec.service, task.run.submission.team)


def _use(outcome: calls.CallOutcome) -> slotsource.Use:
    if outcome is calls.CallOutcome.ANSWERED:
        return slotsource.Use.GOOD
    if outcome is calls.CallOutcome.REFUSED:
        return slotsource.Use.REFUSED
    return slotsource.Use.BAD
