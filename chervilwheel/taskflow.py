"""Execution of one task: queueing, start, result, retries and hedging."""

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
MAX_REFUSED_ATTEMPTS = 16
RETRY_RATIO = 0.1
RETRY_BURST = 20.0
HEDGE_QUANTILE = 0.95
HEDGE_FACTOR = 1.5
MIN_HEDGE_DELAY_S = 0.02
ATTEMPT_TIMEOUT_FACTOR = 8.0
MIN_ATTEMPT_TIMEOUT_S = 2.0
INTENT_RETRY_DELAY_S = 0.2
MAX_GRANT_HOLD_S = 0.3

Verdict = ledger.Verdict
ResultCallback = typing.Callable[[_runs.TaskRun, ledger.TaskRecord], None]
RunCallback = typing.Callable[[_runs.Run], None]
StageCallback = typing.Callable[[str, float], None]


class TaskFlow:
    """Run the tasks of claimed submissions on endpoints.

    :param slots: source of endpoint slots
    :param caller: sends tasks to endpoints
    :param heap: timers
    :param times: observed run times by service and team
    :param counts: counters of the instance
    :param finished: called once for each task with its result
    :param fenced: called when another instance has taken over a run
    :param cancelled: called when a run was cancelled
    :param stage_ended: called with a stage's name and its start time
    """

    def __init__(
        self,
        *,
        slots: slotsource.SlotSource,
        caller: calls.EndpointClient,
        heap: timers.TimerHeap,
        times: learned.LearnedTimes,
        counts: collections.Counter[str],
        finished: ResultCallback,
        fenced: RunCallback,
        cancelled: RunCallback,
        stage_ended: StageCallback,
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
        self._stage_ended = stage_ended
        self._budget = budgets.RetryBudget(
            share=RETRY_RATIO, burst=RETRY_BURST
        )

    def free_hint(self, task: _runs.TaskRun) -> int:
        """Estimate how many tasks like this one would get a slot at once."""
        return self._slots.free_hint(_need(task))

    def enqueue(self, task: _runs.TaskRun) -> None:
        """Queue a task for a slot, until its deadline."""
        task.timer = self._heap.call_at(
            task.deadline_at, lambda: self._on_deadline(task)
        )
        self._queue(task)

    def _queue(self, task: _runs.TaskRun) -> None:
        if task.waiting is not None:
            return
        task.queued_at = self._clock.now()
        task.waiting = slotsource.WaitingTask(
            need=_need(task),
            deadline_at=task.deadline_at,
            granted=lambda grant: self._on_grant(task, grant),
            avoid=task.avoid,
        )
        self._slots.add(task.waiting)

    def _on_grant(self, task: _runs.TaskRun, grant: slotsource.Grant) -> None:
        task.waiting = None
        if task.is_over:
            self._slots.release(grant, slotsource.GrantResult.UNUSED)
            return
        self._stage_ended("slot", task.queued_at)
        task.grant = grant
        self.start_if_ready(task)
        if task.grant is grant:
            self._heap.call_later(
                MAX_GRANT_HOLD_S,
                lambda: self._release_unused_grant(task, grant),
            )

    def _release_unused_grant(
        self, task: _runs.TaskRun, grant: slotsource.Grant
    ) -> None:
        # The ledger has not replied yet; other tasks can use the slot in
        # the meantime.
        if task.grant is grant:
            self._return_grant(task)

    def start_if_ready(self, task: _runs.TaskRun) -> None:
        """Start a task once it has its claim, its slot and its intent.

        An idempotent task needs no intent.
        """
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
            self._record_intent(task)

    def _record_intent(self, task: _runs.TaskRun) -> None:
        run = task.run
        requested_at = self._clock.now()
        run.job_ledger.intend(
            run.submission.job,
            run.epoch,
            [task.number],
            lambda reply: self._on_intent(task, requested_at, reply),
        )

    def _on_intent(
        self,
        task: _runs.TaskRun,
        requested_at: float,
        reply: ledger.JobReply | None,
    ) -> None:
        self._stage_ended("intent", requested_at)
        if reply is None:
            self._heap.call_later(
                INTENT_RETRY_DELAY_S, lambda: self.start_if_ready(task)
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
        remaining_s = task.deadline_at - now
        if remaining_s <= 0:
            self._slots.release(grant, slotsource.GrantResult.UNUSED)
            return
        task.attempts_started += 1
        if task.attempts_started == 1:
            self._budget.deposit()
        self._counts["sent"] += 1
        attempt = _runs.Attempt(task=task, grant=grant, started_at=now)
        task.attempts.append(attempt)
        call = calls.Call(
            endpoint=grant.endpoint,
            address=grant.address,
            job=task.run.submission.job,
            task=task.number,
            attempt=task.attempts_started,
            payload=task.spec.payload.encode(),
            timeout_s=self._attempt_timeout_s(task, remaining_s),
        )
        self._schedule_hedge(task, attempt)
        self._caller.start(
            call,
            lambda call_result: self._on_call_result(attempt, call_result),
        )

    def _attempt_timeout_s(
        self, task: _runs.TaskRun, remaining_s: float
    ) -> float:
        # Only idempotent tasks may be retried, so only their attempts time
        # out before the deadline.
        times = self._times.get(_learning_key(task))
        if not task.spec.is_idempotent or times is None:
            return remaining_s
        limit_s = ATTEMPT_TIMEOUT_FACTOR * times.quantile_ms(0.99) / 1000
        return min(remaining_s, max(MIN_ATTEMPT_TIMEOUT_S, limit_s))

    def _schedule_hedge(
        self, task: _runs.TaskRun, attempt: _runs.Attempt
    ) -> None:
        times = self._times.get(_learning_key(task))
        if times is None:
            return
        delay_s = HEDGE_FACTOR * times.quantile_ms(HEDGE_QUANTILE) / 1000
        attempt.hedge_timer = self._heap.call_later(
            max(MIN_HEDGE_DELAY_S, delay_s),
            lambda: self._on_hedge_delay(attempt),
        )

    def _on_hedge_delay(self, attempt: _runs.Attempt) -> None:
        task = attempt.task
        if attempt not in task.attempts:
            return
        self._slots.mark_slow(attempt.grant)
        if task.is_over or not task.spec.is_idempotent:
            return
        is_unqueued = task.waiting is None and task.grant is None
        if (
            is_unqueued
            and task.attempts_started < MAX_ATTEMPTS
            and self._budget.withdraw()
        ):
            self._counts["hedged"] += 1
            task.avoid = attempt.grant.endpoint
            self._queue(task)

    def _on_call_result(
        self, attempt: _runs.Attempt, call_result: calls.CallResult
    ) -> None:
        task = attempt.task
        task.attempts.remove(attempt)
        if attempt.hedge_timer is not None:
            attempt.hedge_timer.cancel()
        self._slots.release(attempt.grant, _slot_use(call_result.outcome))
        run_ms = (self._clock.now() - attempt.started_at) * 1000
        self._counts[f"call_{call_result.outcome.value}"] += 1
        if call_result.outcome in _CONNECTION_FAILURES:
            self._caller.close_idle(call_result.call.address)
        if task.is_over:
            self._on_late_result(task, call_result)
        elif call_result.outcome is calls.CallOutcome.ANSWERED:
            self._times.add(_learning_key(task), run_ms)
            task.run.longest_task_ms = max(task.run.longest_task_ms, run_ms)
            self._finished(
                task, _runs.complete_result(task.number, call_result.body)
            )
        elif self._has_pending_attempt(task):
            task.last_failure = call_result
        elif self._may_retry(task, call_result):
            self._counts["retried"] += 1
            task.avoid = call_result.call.endpoint
            task.last_failure = None
            self._queue(task)
        else:
            self._finished(task, _runs.failed_result(task.number, call_result))

    def _on_late_result(
        self, task: _runs.TaskRun, call_result: calls.CallResult
    ) -> None:
        self._counts["late_answers"] += 1
        run = task.run
        if (
            run.is_abandoned
            and call_result.outcome is calls.CallOutcome.ANSWERED
        ):
            # The result is still valid, and the instance that adopted the
            # run may not have it.
            record = _runs.complete_result(task.number, call_result.body)
            run.job_ledger.record(
                run.submission.job, run.epoch, [record], lambda _: None
            )

    def _has_pending_attempt(self, task: _runs.TaskRun) -> bool:
        is_pending = task.attempts or task.waiting or task.grant
        return bool(is_pending) and self._clock.now() < task.deadline_at

    def _may_retry(
        self, task: _runs.TaskRun, call_result: calls.CallResult
    ) -> bool:
        if self._clock.now() >= task.deadline_at or task.run.is_cancelled:
            return False
        if call_result.outcome.proves_not_started:
            return task.attempts_started < MAX_REFUSED_ATTEMPTS
        if (
            not task.spec.is_idempotent
            or task.attempts_started >= MAX_ATTEMPTS
        ):
            return False
        return self._budget.withdraw()

    def _on_deadline(self, task: _runs.TaskRun) -> None:
        if task.is_over:
            return
        if task.attempts:
            # The attempts in flight time out at this deadline too.
            return
        if task.last_failure is not None:
            self._finished(
                task, _runs.failed_result(task.number, task.last_failure)
            )
        else:
            self.fail_unstarted(task, "no slot before the deadline")

    def fail_unstarted(self, task: _runs.TaskRun, detail: str) -> None:
        """End a task that was never started with the outcome NOT_RUN."""
        record = ledger.TaskRecord(
            task.number, jobs.Outcome.NOT_RUN, "null", detail
        )
        self._finished(task, record)

    def stop(self, task: _runs.TaskRun) -> None:
        """Cancel the timer and the queue entry and release the slot."""
        if task.timer is not None:
            task.timer.cancel()
        if task.waiting is not None:
            self._slots.cancel(task.waiting)
            task.waiting = None
        self._return_grant(task)

    def _return_grant(self, task: _runs.TaskRun) -> None:
        grant, task.grant = task.grant, None
        if grant is not None:
            self._slots.release(grant, slotsource.GrantResult.UNUSED)


# After these outcomes the idle connections to the endpoint are closed.
_CONNECTION_FAILURES = {
    calls.CallOutcome.TIMED_OUT,
    calls.CallOutcome.LOST,
    calls.CallOutcome.GARBLED,
}


def _need(task: _runs.TaskRun) -> slotsource.Need:
    team = task.run.submission.team
    return slotsource.Need(task.spec.service, team, task.spec.urgency)


def _learning_key(task: _runs.TaskRun) -> tuple[str, str]:
    return (task.spec.service, task.run.submission.team)


def _slot_use(outcome: calls.CallOutcome) -> slotsource.GrantResult:
    if outcome is calls.CallOutcome.ANSWERED:
        return slotsource.GrantResult.GOOD
    if outcome is calls.CallOutcome.REFUSED:
        return slotsource.GrantResult.REFUSED
    return slotsource.GrantResult.BAD
