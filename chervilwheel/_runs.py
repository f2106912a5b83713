"""The submissions that an instance runs, as plain state."""

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

AnswerDone = typing.Callable[[jobs.Answer], None]
Problem = typing.Callable[[errors.ChervilwheelError], None]


class Submission(typing.NamedTuple):
    """A validated request to run a job."""

    job: ids.JobId
    team: ids.TeamId
    spec: jobs.JobSpec
    is_durable: bool
    has_callers_key: bool


class Waiter(typing.NamedTuple):
    """A caller that waits for an answer: one of the two is called."""

    done: AnswerDone
    problem: Problem


class Attempt:
    """One try of one task at one endpoint."""

    __slots__ = ("task", "grant", "started_at", "hedge_timer")

    def __init__(
        self, *, task: "TaskRun", grant: slotsource.Grant, started_at: float
    ) -> None:
        self.task = task
        self.grant = grant
        self.started_at = started_at
        self.hedge_timer: timers.Timer | None = None


class TaskRun:
    """One task on its way."""

    __slots__ = (
        "run",
        "number",
        "spec",
        "deadline_at",
        "tries",
        "attempts",
        "result",
        "has_intent",
        "waiting",
        "grant",
        "timer",
        "avoid",
        "bad_end",
        "queued_at",
    )

    def __init__(
        self, *, run: "Run", number: int, spec: jobs.TaskSpec, now: float
    ) -> None:
        self.run = run
        self.number = number
        self.spec = spec
        self.deadline_at = now + spec.deadline_ms / 1000
        self.tries = 0
        self.attempts: list[Attempt] = []
        self.result: ledger.TaskRecord | None = None
        self.has_intent = False
        self.waiting: slotsource.Waiting | None = None
        self.grant: slotsource.Grant | None = None
        self.timer: timers.Timer | None = None
        self.avoid: ids.EndpointId | None = None
        self.queued_at = now
        self.bad_end: calls.CallResult | None = None

    @property
    def is_over(self) -> bool:
        """Whether nothing more is to be started for it."""
        return self.result is not None or self.run.is_dropped


class Run:
    """A submission that this instance runs.

    :param submission: what is run
    :param book: the ledger it is claimed in
    :param now: monotonic time, seconds
    """

    def __init__(
        self, *, submission: Submission, book: ledgers.Ledger, now: float
    ) -> None:
        self.submission = submission
        self.book = book
        self.began_at = now
        self.longest_ms = 0.0
        self.epoch = 0
        self.tasks = [
            TaskRun(run=self, number=number, spec=spec, now=now)
            for number, spec in enumerate(submission.spec.tasks)
        ]
        self.waiters: list[Waiter] = []
        self.unrecorded: list[ledger.TaskRecord] = []
        self.answer_timer: timers.Timer | None = None
        self.is_recording = False
        self.is_cancelled = False
        self.is_abandoned = False
        self.is_dropped = False

    @property
    def never_started(self) -> bool:
        """Whether all tasks ended without a start."""
        return all(
            task.result is not None
            and task.result.outcome is jobs.Outcome.NOT_RUN
            for task in self.tasks
        )


def adopted_run(
    reply: ledger.JobReply, book: ledgers.Ledger, now: float
) -> Run:
    """Build the run of a submission taken over from a lost runner."""
    tasks = jobs.load_tasks(reply.tasks)
    spec = jobs.JobSpec(tasks, reply.digest)
    submission = Submission(reply.job, reply.team, spec, True, True)
    run = Run(submission=submission, book=book, now=now)
    run.epoch = reply.epoch
    for record in reply.results:
        run.tasks[record.task].result = record
    return run


def answer_of(reply: ledger.JobReply) -> jobs.Answer:
    """Build the answer of a finished submission."""
    results = [
        jobs.TaskResult(record.outcome, record.value, record.detail)
        for record in reply.results
    ]
    answer = jobs.conclude(reply.job, results)
    if answer.outcome is jobs.Outcome.NOT_RUN:
        answer = answer._replace(retry_after_s=RETRY_AFTER_S)
    return answer


def not_run_answer(run: Run) -> jobs.Answer:
    """Build the answer of a run that never started anything."""
    results = [
        jobs.TaskResult(record.outcome, record.value, record.detail)
        for record in (task.result for task in run.tasks)
        if record is not None
    ]
    answer = jobs.conclude(run.submission.job, results)
    return answer._replace(retry_after_s=RETRY_AFTER_S)


def claim_problem(reply: ledger.JobReply) -> errors.ChervilwheelError:
    """Say why a claim was not accepted."""
    if reply.verdict is ledger.Verdict.KEY_REUSED:
        return errors.KeyReused("the key came with another body")
    if reply.verdict is ledger.Verdict.FOREIGN:
        return errors.Forbidden("the id belongs to another team")
    if reply.verdict is ledger.Verdict.EXPIRED:
        return errors.Expired("the id is older than the ledger remembers")
    return errors.OutcomeUnknown(f"the ledger said {reply.verdict.value}")


def complete_result(task: int, body: bytes) -> ledger.TaskRecord:
    """Record an answer; one that is not JSON text counts as failed."""
    text = jobs.json_text(body)
    if text is None:
        return ledger.TaskRecord(
            task, jobs.Outcome.FAILED, "null", "the answer is not JSON"
        )
    return ledger.TaskRecord(task, jobs.Outcome.COMPLETE, text, "")


def bad_result(task: int, end: calls.CallResult) -> ledger.TaskRecord:
    """Record how the last attempt of a task went wrong."""
    outcome = jobs.Outcome.UNKNOWN
    if end.outcome is calls.CallOutcome.FAILED:
        outcome = jobs.Outcome.FAILED
    elif end.outcome.proves_not_started:
        outcome = jobs.Outcome.NOT_RUN
    detail = end.detail or "the endpoint reported a failure"
    return ledger.TaskRecord(task, outcome, "null", detail)
