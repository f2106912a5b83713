"""State of the submissions that run on an instance."""

import typing

from chervilwheel import calls
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import ledger
from chervilwheel import ledgers
from chervilwheel import slotsource
from chervilwheel import timers

RETRY_AFTER_S = 1.0

AnswerCallback = typing.Callable[[jobs.Answer], None]
ErrorCallback = typing.Callable[[errors.ChervilwheelError], None]


class Submission(typing.NamedTuple):
    """A validated request to run a job."""

    job: ids.JobId
    team: ids.TeamId
    spec: jobs.JobSpec
    is_durable: bool
    has_idempotency_key: bool


class Waiter(typing.NamedTuple):
    """A caller that waits for an answer.

    Exactly one of ``done`` and ``problem`` is called, once.
    """

    done: AnswerCallback
    problem: ErrorCallback


class Attempt:
    """One attempt to run a task on an endpoint."""

    __slots__ = ("task", "grant", "started_at", "hedge_timer")

    def __init__(
        self, *, task: "TaskRun", grant: slotsource.Grant, started_at: float
    ) -> None:
        self.task = task
        self.grant = grant
        self.started_at = started_at
        self.hedge_timer: timers.Timer | None = None


class TaskRun:
    """State of one task of a running submission.

    ``attempts`` holds the attempts in flight, ``attempts_started`` counts
    all of them; ``avoid`` is the endpoint that the last attempt failed on
    or was slow on.
    """

    __slots__ = (
        "run",
        "number",
        "spec",
        "deadline_at",
        "attempts_started",
        "attempts",
        "result",
        "has_intent",
        "waiting",
        "grant",
        "timer",
        "avoid",
        "last_failure",
        "queued_at",
    )

    def __init__(
        self, *, run: "Run", number: int, spec: jobs.TaskSpec, now: float
    ) -> None:
        self.run = run
        self.number = number
        self.spec = spec
        self.deadline_at = now + spec.deadline_ms / 1000
        self.attempts_started = 0
        self.attempts: list[Attempt] = []
        self.result: ledger.TaskRecord | None = None
        self.has_intent = False
        self.waiting: slotsource.WaitingTask | None = None
        self.grant: slotsource.Grant | None = None
        self.timer: timers.Timer | None = None
        self.avoid: ids.EndpointId | None = None
        self.queued_at = now
        self.last_failure: calls.CallResult | None = None

    @property
    def is_over(self) -> bool:
        """Return whether no further attempt may be started."""
        return self.result is not None or self.run.is_dropped


class Run:
    """State of a submission that runs on this instance.

    :param submission: the request
    :param job_ledger: the ledger that it is claimed in
    :param now: monotonic time, seconds
    """

    def __init__(
        self, *, submission: Submission, job_ledger: ledgers.Ledger, now: float
    ) -> None:
        self.submission = submission
        self.job_ledger = job_ledger
        self.started_at = now
        self.longest_task_ms = 0.0
        self.epoch = 0
        self.tasks = [
            TaskRun(run=self, number=number, spec=spec, now=now)
            for number, spec in enumerate(submission.spec.tasks)
        ]
        self.waiters: list[Waiter] = []
        self.unrecorded_results: list[ledger.TaskRecord] = []
        self.answer_timer: timers.Timer | None = None
        self.is_recording = False
        self.is_cancelled = False
        self.is_abandoned = False
        self.is_dropped = False

    @property
    def never_started(self) -> bool:
        """Return whether all tasks ended without being started."""
        return all(
            task.result is not None
            and task.result.outcome is jobs.Outcome.NOT_RUN
            for task in self.tasks
        )


def adopted_run(
    reply: ledger.JobReply, job_ledger: ledgers.Ledger, now: float
) -> Run:
    """Build the run of a submission adopted from a failed instance."""
    tasks = jobs.load_tasks(reply.tasks)
    spec = jobs.JobSpec(tasks, reply.digest)
    submission = Submission(reply.job, reply.team, spec, True, True)
    run = Run(submission=submission, job_ledger=job_ledger, now=now)
    run.epoch = reply.epoch
    for record in reply.results:
        run.tasks[record.task].result = record
    return run


def answer_from_reply(reply: ledger.JobReply) -> jobs.Answer:
    """Build the answer of a finished submission."""
    results = [
        jobs.TaskResult(record.outcome, record.value, record.detail)
        for record in reply.results
    ]
    answer = jobs.combine_results(reply.job, results)
    if answer.outcome is jobs.Outcome.NOT_RUN:
        answer = answer._replace(retry_after_s=RETRY_AFTER_S)
    return answer


def not_run_answer(run: Run) -> jobs.Answer:
    """Build the answer of a run that never started a task."""
    results = [
        jobs.TaskResult(record.outcome, record.value, record.detail)
        for record in (task.result for task in run.tasks)
        if record is not None
    ]
    answer = jobs.combine_results(run.submission.job, results)
    return answer._replace(retry_after_s=RETRY_AFTER_S)


def claim_error(reply: ledger.JobReply) -> errors.ChervilwheelError:
    """Return the error for a claim that was not accepted."""
    if reply.verdict is ledger.Verdict.KEY_REUSED:
        return errors.KeyReused(
            "the idempotency key was used with a different body"
        )
    if reply.verdict is ledger.Verdict.FOREIGN:
        return errors.Forbidden("the id belongs to another team")
    if reply.verdict is ledger.Verdict.EXPIRED:
        return errors.Expired(
            "the id is older than the retention of the ledger"
        )
    return errors.OutcomeUnknown(f"the ledger returned {reply.verdict.value}")


def complete_result(task: int, body: bytes) -> ledger.TaskRecord:
    """Build the record of an answered task.

    An answer that is not JSON counts as failed.
    """
    text = jobs.json_text(body)
    if text is None:
        return ledger.TaskRecord(
            task, jobs.Outcome.FAILED, "null", "the answer is not JSON"
        )
    return ledger.TaskRecord(task, jobs.Outcome.COMPLETE, text, "")


def failed_result(
    task: int, call_result: calls.CallResult
) -> ledger.TaskRecord:
    """Build the record of a task whose last attempt failed."""
    outcome = jobs.Outcome.UNKNOWN
    if call_result.outcome is calls.CallOutcome.FAILED:
        outcome = jobs.Outcome.FAILED
    elif call_result.outcome.proves_not_started:
        outcome = jobs.Outcome.NOT_RUN
    detail = call_result.detail or "the endpoint reported a failure"
    return ledger.TaskRecord(task, outcome, "null", detail)
