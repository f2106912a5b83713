"""Life cycle of a submission: admission, claim, tasks and answer."""

import collections
import logging
import typing

from chervilwheel import _runs
from chervilwheel import calls
from chervilwheel import clock
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import learned
from chervilwheel import ledger
from chervilwheel import ledgers
from chervilwheel import slotsource
from chervilwheel import taskflow
from chervilwheel import timers

_LOG = logging.getLogger("pipeline")
RETRY_AFTER_S = 1.0
ANSWER_GRACE_S = 1.0
NEW_SUBMISSION_MAX_AGE_MS = 1000

Submission = _runs.Submission
AnswerCallback = _runs.AnswerCallback
ErrorCallback = _runs.ErrorCallback
Verdict = ledger.Verdict


class Admission(typing.Protocol):
    """Decides whether a submission is admitted."""

    def check(
        self, submission: Submission, now: float
    ) -> errors.NotRun | None:
        """Return None, or the error that rejects it with a retry delay."""


class Pipeline:
    """Run submissions from admission to answer.

    :param durable: ledger that survives crashes
    :param volatile: in-memory ledger for single idempotent requests
    :param slots: source of endpoint slots
    :param caller: sends tasks to endpoints
    :param heap: timers
    :param admission: admission control
    :param times: observed run times by service and team
    """

    def __init__(
        self,
        *,
        durable: ledgers.Ledger,
        volatile: ledgers.MemoryLedger,
        slots: slotsource.SlotSource,
        caller: calls.EndpointClient,
        heap: timers.TimerHeap,
        admission: Admission,
        times: learned.LearnedTimes,
    ) -> None:
        self._durable = durable
        self._volatile = volatile
        self._heap = heap
        self._clock: clock.Clock = heap.clock
        self._admission = admission
        self._runs: dict[ids.JobId, _runs.Run] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self._flow = taskflow.TaskFlow(
            slots=slots,
            caller=caller,
            heap=heap,
            times=times,
            counts=self.counts,
            finished=self._finish,
            fenced=self._abandon,
            cancelled=lambda run: self.cancel_local(run.submission.job),
            stage_ended=self._report_stage,
        )
        self.on_stage: typing.Callable[[str, float], None] = (
            lambda stage, seconds: None
        )
        self.on_answered: typing.Callable[[float, float], None] = (
            lambda latency_ms, overhead_ms: None
        )

    @property
    def running(self) -> int:
        """Return the number of submissions without an answer."""
        return len(self._runs)

    def is_running(self, job: ids.JobId) -> bool:
        """Return whether a submission runs on this instance."""
        return job in self._runs

    def _report_stage(self, stage: str, started_at: float) -> None:
        self.on_stage(stage, self._clock.now() - started_at)

    def submit(
        self,
        submission: Submission,
        done: AnswerCallback,
        problem: ErrorCallback,
    ) -> None:
        """Run a submission, or wait for the run that it already has.

        :param done: called once with the answer
        :param problem: called instead with the error when there is no answer
        """
        waiter = _runs.Waiter(done, problem)
        existing = self._runs.get(submission.job)
        if existing is not None:
            self._join_local_run(existing, submission, waiter)
            return
        self.counts["submitted"] += 1
        refusal = self._admission.check(submission, self._clock.now())
        if refusal is not None:
            self._refuse(submission, waiter, refusal)
        else:
            self._claim(submission, waiter)

    def _refuse(
        self,
        submission: Submission,
        waiter: _runs.Waiter,
        refusal: errors.NotRun,
    ) -> None:
        self.counts["refused"] += 1
        if not submission.has_idempotency_key:
            waiter.problem(refusal)
            return

        def on_looked_up(reply: ledger.JobReply | None) -> None:
            if reply is not None and reply.verdict is Verdict.ABSENT:
                waiter.problem(refusal)
            else:
                self._on_not_owned(submission, waiter, reply)

        claim = ledgers.Claim(
            submission.job,
            submission.team,
            submission.spec,
            is_lookup=True,
        )
        self._durable.claim(claim, on_looked_up)

    def _join_local_run(
        self,
        run: _runs.Run,
        submission: Submission,
        waiter: _runs.Waiter,
    ) -> None:
        if run.submission.team != submission.team:
            waiter.problem(errors.Forbidden("the id belongs to another team"))
        elif run.submission.spec.digest != submission.spec.digest:
            waiter.problem(
                errors.KeyReused(
                    "the idempotency key was used with a different body"
                )
            )
        else:
            run.waiters.append(waiter)

    def _claim(self, submission: Submission, waiter: _runs.Waiter) -> None:
        job_ledger = self._durable if submission.is_durable else self._volatile
        run = _runs.Run(
            submission=submission, job_ledger=job_ledger, now=self._clock.now()
        )
        self._runs[submission.job] = run
        run.waiters.append(waiter)
        intents = self._intents_with_claim(run)
        claim = ledgers.Claim(
            submission.job, submission.team, submission.spec, intents
        )
        self._start_answer_timer(run)
        if self._is_likely_new(submission):
            for task in run.tasks:
                self._flow.enqueue(task)
        job_ledger.claim(
            claim, lambda reply: self._on_claimed(run, intents, reply)
        )

    def _is_likely_new(self, submission: Submission) -> bool:
        # Slots for a new submission are requested in parallel with the
        # claim; a resubmission would request slots that it doesn't need.
        if not submission.has_idempotency_key:
            return True
        minted = ids.parse_minted(submission.job)
        if minted is None:
            return False
        age_ms = self._clock.wall() * 1000 - minted.minted_ms
        return abs(age_ms) < NEW_SUBMISSION_MAX_AGE_MS

    def _intents_with_claim(self, run: _runs.Run) -> tuple[int, ...]:
        # When enough slots are free, the intents are sent with the claim, so
        # that only one synced write precedes the first byte to an endpoint.
        if not run.submission.is_durable:
            return ()
        numbers = [
            task.number for task in run.tasks if not task.spec.is_idempotent
        ]
        if not numbers:
            return ()
        free = self._flow.free_hint(run.tasks[numbers[0]])
        return tuple(numbers) if free >= len(run.tasks) else ()

    def _on_claimed(
        self,
        run: _runs.Run,
        intents: tuple[int, ...],
        reply: ledger.JobReply | None,
    ) -> None:
        self._report_stage("claim", run.started_at)
        if reply is not None and reply.verdict is Verdict.OWNED:
            run.epoch = reply.epoch
            for number in intents:
                run.tasks[number].has_intent = True
            for task in run.tasks:
                if task.timer is None:
                    self._flow.enqueue(task)
                self._flow.start_if_ready(task)
            self._record(run)
            return
        self._drop(run)
        for waiter in run.waiters:
            self._on_not_owned(run.submission, waiter, reply)

    def _on_not_owned(
        self,
        submission: Submission,
        waiter: _runs.Waiter,
        reply: ledger.JobReply | None,
    ) -> None:
        if reply is None:
            waiter.problem(
                errors.OutcomeUnknown(
                    "the ledger of the submission is unreachable",
                    retry_after_s=RETRY_AFTER_S,
                )
            )
        elif reply.verdict is Verdict.FINISHED:
            waiter.done(_runs.answer_from_reply(reply))
        elif reply.verdict is Verdict.JOINED:
            self._await_remote_run(submission, waiter)
        else:
            waiter.problem(_runs.claim_error(reply))

    def _await_remote_run(
        self, submission: Submission, waiter: _runs.Waiter
    ) -> None:
        self.counts["joined"] += 1
        longest_deadline_ms = max(
            task.deadline_ms for task in submission.spec.tasks
        )

        def on_finished(reply: ledger.JobReply | None) -> None:
            if reply is not None and reply.verdict is Verdict.FINISHED:
                waiter.done(_runs.answer_from_reply(reply))
            else:
                waiter.problem(
                    errors.OutcomeUnknown(
                        "the submission is running on another instance",
                        retry_after_s=RETRY_AFTER_S,
                    )
                )

        timeout_s = longest_deadline_ms / 1000 + ANSWER_GRACE_S
        self._durable.watch(submission.job, timeout_s, on_finished)

    def fetch(
        self,
        job: ids.JobId,
        team: ids.TeamId,
        wait_s: float,
        done: AnswerCallback,
        problem: ErrorCallback,
    ) -> None:
        """Pass on a submission's answer, or that it is still running.

        :param wait_s: maximum time to wait for it to finish, seconds
        """

        def on_state(reply: ledger.JobReply | None) -> None:
            if reply is None:
                problem(
                    errors.OutcomeUnknown(
                        "the ledger of the submission is unreachable",
                        retry_after_s=RETRY_AFTER_S,
                    )
                )
            elif reply.verdict is Verdict.FINISHED:
                done(_runs.answer_from_reply(reply))
            elif reply.verdict is Verdict.JOINED:
                self._await_answer(job, wait_s, done)
            elif reply.verdict is Verdict.ABSENT:
                problem(errors.NotFound("the submission is not known"))
            else:
                problem(_runs.claim_error(reply))

        empty_spec = jobs.JobSpec((), "")
        claim = ledgers.Claim(job, team, empty_spec, is_lookup=True)
        self._durable.claim(claim, on_state)

    def _await_answer(
        self, job: ids.JobId, wait_s: float, done: AnswerCallback
    ) -> None:
        def on_finished(reply: ledger.JobReply | None) -> None:
            if reply is not None and reply.verdict is Verdict.FINISHED:
                done(_runs.answer_from_reply(reply))
            else:
                done(jobs.Answer(job, jobs.Outcome.RUNNING, "", ()))

        self._durable.watch(job, wait_s, on_finished)

    def cancel(
        self, job: ids.JobId, team: ids.TeamId, done: ledgers.ReplyCallback
    ) -> None:
        """Prevent further starts of a submission on any instance."""

        def on_cancelled(reply: ledger.JobReply | None) -> None:
            if reply is not None and reply.verdict is Verdict.JOINED:
                self.cancel_local(job)
            done(reply)

        self._durable.cancel(job, team, on_cancelled)

    def cancel_local(self, job: ids.JobId) -> None:
        """End the unstarted tasks of a cancelled submission that runs here."""
        run = self._runs.get(job)
        if run is None or run.is_cancelled:
            return
        run.is_cancelled = True
        self.counts["cancelled"] += 1
        for task in run.tasks:
            if not task.attempts:
                self._flow.fail_unstarted(
                    task, "cancelled before it was started"
                )

    def adopt(self, orphan: ledger.Orphan) -> None:
        """Take over a submission from an instance that failed."""
        if orphan.job in self._runs:
            return

        def on_adopted(reply: ledger.JobReply | None) -> None:
            if reply is None or reply.verdict is not Verdict.OWNED:
                return
            if orphan.job in self._runs:
                return
            self.counts["adopted"] += 1
            run = _runs.adopted_run(reply, self._durable, self._clock.now())
            self._runs[orphan.job] = run
            for task in run.tasks:
                if task.result is None:
                    self._flow.enqueue(task)

        self._durable.adopt(orphan.job, orphan.epoch, on_adopted)

    def _finish(self, task: _runs.TaskRun, record: ledger.TaskRecord) -> None:
        if task.result is not None:
            return
        task.result = record
        self._flow.stop(task)
        task.run.unrecorded_results.append(record)
        self._record(task.run)

    def _record(self, run: _runs.Run) -> None:
        can_record = (
            run.epoch and not run.is_recording and run.unrecorded_results
        )
        if not can_record or run.is_abandoned:
            return
        batch, run.unrecorded_results = run.unrecorded_results, []
        run.is_recording = True
        requested_at = self._clock.now()
        run.job_ledger.record(
            run.submission.job,
            run.epoch,
            batch,
            lambda reply: self._on_recorded(run, batch, requested_at, reply),
        )

    def _start_answer_timer(self, run: _runs.Run) -> None:
        limit = max(task.deadline_at for task in run.tasks) + ANSWER_GRACE_S
        run.answer_timer = self._heap.call_at(
            limit, lambda: self._answer_unknown(run)
        )

    def _on_recorded(
        self,
        run: _runs.Run,
        batch: list[ledger.TaskRecord],
        requested_at: float,
        reply: ledger.JobReply | None,
    ) -> None:
        self._report_stage("record", requested_at)
        run.is_recording = False
        if reply is None:
            run.unrecorded_results[:0] = batch
            self._record(run)
        elif reply.verdict is Verdict.FINISHED:
            self._answer(run, _runs.answer_from_reply(reply))
        elif reply.verdict is Verdict.SYNCED:
            self._record(run)
        elif run.never_started:
            self._answer(run, _runs.not_run_answer(run))
        else:
            self._abandon(run)

    def _answer(self, run: _runs.Run, answer: jobs.Answer) -> None:
        self._drop(run)
        if isinstance(run.job_ledger, ledgers.MemoryLedger):
            run.job_ledger.delete_finished(run.submission.job)
        self.counts[f"answered_{answer.outcome.value}"] += 1
        if answer.outcome is jobs.Outcome.COMPLETE:
            latency_ms = (self._clock.now() - run.started_at) * 1000
            self.on_answered(latency_ms, latency_ms - run.longest_task_ms)
        waiters, run.waiters = run.waiters, []
        for waiter in waiters:
            waiter.done(answer)

    def _answer_unknown(self, run: _runs.Run) -> None:
        waiters, run.waiters = run.waiters, []
        for waiter in waiters:
            waiter.problem(
                errors.OutcomeUnknown(
                    "the results could not be recorded in time",
                    retry_after_s=RETRY_AFTER_S,
                )
            )

    def _abandon(self, run: _runs.Run) -> None:
        """Stop a run that another instance has adopted.

        Its waiters get the answer of that instance.
        """
        if run.is_abandoned:
            return
        run.is_abandoned = True
        self.counts["abandoned"] += 1
        self._drop(run)
        waiters, run.waiters = run.waiters, []
        for waiter in waiters:
            self._await_remote_run(run.submission, waiter)

    def _drop(self, run: _runs.Run) -> None:
        run.is_dropped = True
        if self._runs.get(run.submission.job) is run:
            del self._runs[run.submission.job]
        if run.answer_timer is not None:
            run.answer_timer.cancel()
        for task in run.tasks:
            self._flow.stop(task)
