"""The way of a task: admit, claim, place, start, collect, answer."""

import collections
import logging
import typing

from chervilwheel import calls
from chervilwheel import clock
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import ledgers
from chervilwheel import slotsource
from chervilwheel import timers

_LOG = logging.getLogger("pipeline")
MAX_ATTEMPTS = 4
RETRY_AFTER_S = 1.0

AnswerDone = typing.Callable[[jobs.Answer], None]
Problem = typing.Callable[[errors.ChervilwheelError], None]


class Submission(typing.NamedTuple):
    """A validated request to run a job."""

    job: ids.JobId
    team: ids.TeamId
    spec: jobs.JobSpec
    is_durable: bool


class _TaskRun:
    """One task on its way."""

    __slots__ = (
        "run",
        "number",
        "spec",
        "deadline_at",
        "attempt",
        "result",
        "is_recorded",
        "has_intent",
        "was_sent",
        "waiting",
        "grant",
        "timer",
        "avoid",
    )

    def __init__(
        self, *, run: "_Run", number: int, spec: jobs.TaskSpec, now: float
    ) -> None:
        self.run = run
        self.number = number
        self.spec = spec
        self.deadline_at = now + spec.deadline_ms / 1000
        self.attempt = 0
        self.result: jobs.TaskResult | None = None
        self.is_recorded = False
        self.has_intent = False
        self.was_sent = False
        self.waiting: slotsource.Waiting | None = None
        self.grant: slotsource.Grant | None = None
        self.timer: timers.Timer | None = None
        self.avoid: ids.EndpointId | None = None


class _Run:
    """A submission that this instance runs."""

    def __init__(self, *, submission: Submission, now: float) -> None:
        self.submission = submission
        self.epoch = 0
        self.tasks = [
            _TaskRun(run=self, number=number, spec=spec, now=now)
            for number, spec in enumerate(submission.spec.tasks)
        ]
        self.waiters: list[AnswerDone] = []
        self.unrecorded: list[ledgers.Recorded] = []
        self.is_recording = False
        self.is_answered = False


class Pipeline:
    """Run submissions from claim to answer.

    :param ledger: remembers submissions, intents and results
    :param slots: hands out endpoints' slots
    :param caller: sends tasks to endpoints
    :param heap: timers
    """

    def __init__(
        self,
        *,
        ledger: ledgers.Ledger,
        slots: slotsource.SlotSource,
        caller: calls.Caller,
        heap: timers.TimerHeap,
    ) -> None:
        self._ledger = ledger
        self._slots = slots
        self._caller = caller
        self._heap = heap
        self._clock: clock.Clock = heap.clock
        self._runs: dict[ids.JobId, _Run] = {}
        self.counts: collections.Counter[str] = collections.Counter()

    @property
    def running(self) -> int:
        """Submissions that are not answered."""
        return len(self._runs)

    def submit(
        self, submission: Submission, done: AnswerDone, problem: Problem
    ) -> None:
        """Run a submission, or join its run.

        :param done: called once with the answer
        :param problem: called instead when the submission is refused
        """
        self._claim(submission, done, problem)

    def _claim(
        self, submission: Submission, done: AnswerDone, problem: Problem
    ) -> None:
        known = self._runs.get(submission.job)
        if known is not None:
            self._join_here(known, submission, done, problem)
            return
        run = _Run(submission=submission, now=self._clock.now())
        self._runs[submission.job] = run
        run.waiters.append(done)
        claim = ledgers.Claim(submission.job, submission.team, submission.spec)
        self._ledger.claim(
            claim, lambda reply: self._on_claimed(run, reply, problem)
        )

    def _join_here(
        self,
        run: _Run,
        submission: Submission,
        done: AnswerDone,
        problem: Problem,
    ) -> None:
        if run.submission.team != submission.team:
            problem(errors.Forbidden("the id belongs to another team"))
        elif run.submission.spec.digest != submission.spec.digest:
            problem(errors.KeyReused("the key came with another body"))
        else:
            run.waiters.append(done)

    def _on_claimed(
        self, run: _Run, reply: ledgers.ClaimReply, problem: Problem
    ) -> None:
        if reply.verdict is ledgers.Verdict.OWNED:
            run.epoch = reply.epoch
            for task in run.tasks:
                self._place(task)
            return
        del self._runs[run.submission.job]
        problem(errors.OutcomeUnknown(f"claim: {reply.verdict.value}"))

    def _place(self, task: _TaskRun) -> None:
        task.timer = self._heap.call_at(
            task.deadline_at, lambda: self._on_deadline(task)
        )
        self._queue(task)

    def _queue(self, task: _TaskRun) -> None:
        need = slotsource.Need(
            task.spec.service,
            task.run.submission.team,
            task.spec.urgency,
        )
        task.waiting = slotsource.Waiting(
            need=need,
            deadline_at=task.deadline_at,
            granted=lambda grant: self._on_grant(task, grant),
            avoid=task.avoid,
        )
        self._slots.add(task.waiting)

    def _on_grant(self, task: _TaskRun, grant: slotsource.Grant) -> None:
        task.waiting = None
        task.grant = grant
        if task.spec.is_idempotent or task.has_intent:
            self._start(task)
            return
        self._ledger.intend(
            task.run.submission.job,
            task.run.epoch,
            [task.number],
            lambda verdict: self._on_intent(task, verdict),
        )

    def _on_intent(
        self, task: _TaskRun, verdict: ledgers.IntentVerdict
    ) -> None:
        if verdict is ledgers.IntentVerdict.SYNCED:
            task.has_intent = True
            self._start(task)

    def _start(self, task: _TaskRun) -> None:
        grant = task.grant
        left_s = task.deadline_at - self._clock.now()
        if grant is None or task.result is not None or left_s <= 0:
            self._give_back(task, was_refused=False)
            return
        task.attempt += 1
        task.was_sent = True
        self.counts["sent"] += 1
        call = calls.Call(
            endpoint=grant.endpoint.endpoint,
            address=grant.endpoint.address,
            job=task.run.submission.job,
            task=task.number,
            attempt=task.attempt,
            payload=task.spec.payload.encode(),
            timeout_s=left_s,
        )
        self._caller.start(call, lambda done: self._collect(task, done))

    def _collect(self, task: _TaskRun, done: calls.CallResult) -> None:
        refused = done.outcome.proves_not_started
        self._give_back(task, was_refused=refused)
        if refused:
            task.was_sent = False
        if done.outcome is calls.CallOutcome.ANSWERED:
            self._finish(
                task,
                jobs.TaskResult(jobs.Outcome.COMPLETE, done.body.decode()),
            )
        elif self._may_retry(task, done):
            task.avoid = done.call.endpoint
            self.counts["retried"] += 1
            self._queue(task)
        else:
            self._finish(task, _bad_result(done))

    def _may_retry(self, task: _TaskRun, done: calls.CallResult) -> bool:
        is_safe = task.spec.is_idempotent or done.outcome.proves_not_started
        in_time = self._clock.now() < task.deadline_at
        return is_safe and in_time and task.attempt < MAX_ATTEMPTS

    def _give_back(self, task: _TaskRun, *, was_refused: bool) -> None:
        grant, task.grant = task.grant, None
        if grant is not None:
            self._slots.release(grant, was_refused=was_refused)

    def _on_deadline(self, task: _TaskRun) -> None:
        if task.result is not None or task.was_sent:
            return
        if task.waiting is not None:
            self._slots.cancel(task.waiting)
        self._finish(
            task,
            jobs.TaskResult(
                jobs.Outcome.NOT_RUN, detail="no slot before the deadline"
            ),
        )

    def _finish(self, task: _TaskRun, result: jobs.TaskResult) -> None:
        if task.result is not None:
            return
        task.result = result
        if task.timer is not None:
            task.timer.cancel()
        run = task.run
        run.unrecorded.append(ledgers.Recorded(task.number, result))
        self._record(run)

    def _record(self, run: _Run) -> None:
        if run.is_recording or not run.unrecorded:
            return
        batch, run.unrecorded = run.unrecorded, []
        run.is_recording = True
        self._ledger.record(
            run.submission.job,
            run.epoch,
            batch,
            lambda kept: self._on_recorded(run, batch, kept),
        )

    def _on_recorded(
        self, run: _Run, batch: list[ledgers.Recorded], kept: bool
    ) -> None:
        run.is_recording = False
        for recorded in batch:
            run.tasks[recorded.task].is_recorded = kept
        self._record(run)
        if all(task.is_recorded for task in run.tasks):
            self._answer(run)

    def _answer(self, run: _Run) -> None:
        if run.is_answered:
            return
        run.is_answered = True
        results = [typing.cast(jobs.TaskResult, t.result) for t in run.tasks]
        answer = jobs.conclude(run.submission.job, results)
        if answer.outcome is jobs.Outcome.NOT_RUN:
            answer = answer._replace(retry_after_s=RETRY_AFTER_S)
        del self._runs[run.submission.job]
        for waiter in run.waiters:
            waiter(answer)


def _bad_result(done: calls.CallResult) -> jobs.TaskResult:
    outcome = jobs.Outcome.UNKNOWN
    if done.outcome is calls.CallOutcome.FAILED:
        outcome = jobs.Outcome.FAILED
    elif done.outcome.proves_not_started:
        outcome = jobs.Outcome.NOT_RUN
    return jobs.TaskResult(outcome, detail=done.detail or "the task failed")
