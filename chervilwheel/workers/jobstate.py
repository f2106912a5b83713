"""The state of one job at its holder."""

import dataclasses
import enum
import math
import typing

from chervilwheel import ids
from chervilwheel.workers import callerhosts
from chervilwheel.workers import work

# Run numbers reserved for each offer. More than the number of runs that one
# holder starts for a task, since a job has at most ten attempts.
RUN_NUMBERS_PER_OFFER = 16
# Answers after which a job isn't started again under its id.
FINAL_OUTCOMES = (work.Outcome.COMPLETED, work.Outcome.CANCELLED)
# An answer later than this many objectives is worthless to its caller.
MAX_USEFUL_OBJECTIVES = 3.0


class Urgency(enum.IntEnum):
    """How urgent a job is; the lowest value goes first.

    LATE jobs have no running task and can't meet their objective any more.
    """

    ON_TIME = 0
    LATE = 1
    WORTHLESS = 2


class UrgencySpan(typing.NamedTuple):
    """An urgency and the time until which it lasts, seconds."""

    urgency: Urgency
    until: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Task:
    """One task and its progress over all its runs.

    :ivar next_run: number of its next run
    :ivar executor: the executor of its current run
    :ivar losses: the executors that were lost under it
    :ivar lost_at: when the last of them was found to be lost, seconds
    """

    id: work.TaskId
    next_run: int
    failures: int = 0
    is_done: bool = False
    executor: work.ExecutorId | None = None
    losses: tuple[work.TaskLoss, ...] = ()
    lost_at: float = 0.0


class JobState:
    """The tasks of a job and their progress.

    :param job: the job as offered
    :param entry: the entry host that offered it
    :param now: monotonic time of the offer, seconds
    :ivar entry: the entry host that offered it last
    :ivar answered: the entry hosts that are sent notices about it
    :ivar lost_entries: those that were lost while their callers waited, and
        may have handed it to another holder
    :ivar arrived_at: when its entry host received it, seconds
    :ivar critical_path_s: estimated duration of its critical path, seconds
    :ivar objective_s: latency objective, seconds; later answers have reduced
        value
    :ivar min_cpu: the smallest CPU need of any of its tasks
    :ivar heard_at: when its entry host last heard of another holder that it
        had offered the job to, 0 if there was none, seconds
    :ivar starts: number of start orders issued for its tasks
    :ivar refused_starts: how many of them executors refused
    """

    def __init__(
        self, *, job: work.Job, entry: ids.InstanceId, now: float
    ) -> None:
        self.job = job
        self.entry = entry
        self.answered = [entry]
        self.lost_entries: dict[ids.InstanceId, callerhosts.LostEntry] = {}
        # The numbers of submission and of offer that each entry host sent.
        self._offers = {entry: (job.submission, job.offers)}
        self.arrived_at = now - job.waited_ms / 1000
        # When the callers of each entry host have timed out.
        self._patience_ends = {entry: self.patience_ends_at}
        # Kept, since each passes over all steps.
        self.critical_path_s = job.critical_path_s
        self.objective_s = job.objective_s
        self.is_started = False
        self.starts = 0
        self.refused_starts = 0
        self.is_taking_over = job.offers > 0
        self.takeover_from = now
        self.heard_at = 0.0
        if job.offers:
            self.heard_at = now - job.former_silent_ms / 1000
        self.min_cpu = min((step.room.cpu for step in job.steps), default=0)
        self.answer: work.Answer | None = None
        self.ended_at = 0.0
        self.tasks = [
            [
                Task(
                    id=work.TaskId(job.id, number, index),
                    next_run=1 + job.offers * RUN_NUMBERS_PER_OFFER,
                )
                for index in range(step.count)
            ]
            for number, step in enumerate(job.steps)
        ]
        self.tasks_left = [step.count for step in job.steps]
        self.open_runs = 0
        self.pending: list[Task] = []
        self._queued_steps: set[int] = set()
        self.queue_ready_steps()

    def is_repeated_by(self, job: work.Job, entry: ids.InstanceId) -> bool:
        """Return whether an offer repeats an earlier one."""
        offer = (job.submission, job.offers)
        return job.submission > 0 and self._offers.get(entry) == offer

    def submission_of(self, entry: ids.InstanceId) -> int:
        """Return the number of an entry host's latest submission."""
        return self._offers[entry][0]

    def add_offer(
        self, job: work.Job, entry: ids.InstanceId, now: float
    ) -> None:
        """Record another offer; its entry host is answered, too.

        A failed job is failed for all of them, by the highest limit.
        """
        if job.attempts > self.job.attempts:
            self.job = self.job._replace(attempts=job.attempts)
        if self.is_finished:
            # The others have had their answer.
            self.answered.clear()
        if entry not in self.answered:
            self.answered.append(entry)
        self.entry = entry
        self._offers[entry] = (job.submission, job.offers)
        self._patience_ends[entry] = (
            now + (job.patience_ms - job.waited_ms) / 1000
        )

    def lose_entry(
        self, entry: ids.InstanceId, now: float, *, max_run_s: float
    ) -> None:
        """Record that an entry host was lost whose callers wait for it.

        :param max_run_s: how long its runs last after the last order of any
            holder, seconds
        """
        ends_at = self._patience_ends[entry]
        self.lost_entries[entry] = callerhosts.LostEntry(
            now, ends_at + max_run_s
        )

    def needs_takeover(self, job: work.Job) -> bool:
        """Return whether an offer tells of a holder that wasn't known of."""
        return job.offers > self.job.offers or (
            job.is_from_standby and not self.job.is_from_standby
        )

    def remove_entry(self, entry: ids.InstanceId) -> bool:
        """Remove an entry host whose callers have left.

        :returns: whether another one has offered the job
        """
        others = [each for each in self.answered if each != entry]
        if others:
            self.answered = others
            self.entry = others[-1]
        return bool(others)

    def restart_takeover(self, job: work.Job, now: float) -> None:
        """Delay further starts after another holder has had the job.

        It keeps its tasks, though a caller may have sent other ones, its
        limit of attempts, and what other entry hosts know of its holders.
        """
        former = self.job
        standbys = dict.fromkeys(
            (*former.former_standbys, *job.former_standbys)
        )
        self.job = job._replace(
            spec=former.spec,
            steps=former.steps,
            attempts=former.attempts,
            offers=max(former.offers, job.offers),
            is_from_standby=former.is_from_standby or job.is_from_standby,
            former_standbys=tuple(standbys),
        )
        self.is_taking_over = True
        self.takeover_from = now
        self.heard_at = max(self.heard_at, now - job.former_silent_ms / 1000)
        for row in self.tasks:
            for task in row:
                first_run = 1 + job.offers * RUN_NUMBERS_PER_OFFER
                task.next_run = max(task.next_run, first_run)

    @property
    def losses(self) -> tuple[work.TaskLoss, ...]:
        """The executors that were lost under its tasks."""
        return tuple(
            loss for row in self.tasks for task in row for loss in task.losses
        )

    @property
    def patience_ends_at(self) -> float:
        """When its caller times out, seconds."""
        return self.arrived_at + self.job.patience_ms / 1000

    @property
    def callers_end_at(self) -> float:
        """When the callers at all its entry hosts have timed out, seconds."""
        return max(self._patience_ends[entry] for entry in self.answered)

    @property
    def remaining_path_s(self) -> float:
        """Estimated duration of the steps that aren't complete, seconds."""
        if len(self.job.steps) == 1:
            return self.job.steps[0].estimated_ms / 1000
        ends: list[float] = []
        for step, left in zip(self.job.steps, self.tasks_left, strict=True):
            before = max((ends[n] for n in step.depends_on), default=0.0)
            ends.append(before + (step.estimated_ms / 1000 if left else 0.0))
        return max(ends, default=0.0)

    def urgency(self, now: float) -> UrgencySpan:
        """Return how urgent it is to start its next task."""
        path_s = self.remaining_path_s
        useful_until = (
            self.arrived_at + MAX_USEFUL_OBJECTIVES * self.objective_s - path_s
        )
        if now > useful_until:
            return UrgencySpan(Urgency.WORTHLESS, math.inf)
        on_time_until = self.arrived_at + self.objective_s - path_s
        if self.is_started:
            return UrgencySpan(Urgency.ON_TIME, useful_until)
        if now > on_time_until:
            return UrgencySpan(Urgency.LATE, useful_until)
        return UrgencySpan(Urgency.ON_TIME, on_time_until)

    def is_worthless(self, now: float) -> bool:
        """Whether its answer would be too late to be of use."""
        return self.urgency(now).urgency is Urgency.WORTHLESS

    @property
    def has_never_run(self) -> bool:
        """Whether surely no holder has begun a run of its tasks."""
        return not self.job.offers and self.starts == self.refused_starts

    @property
    def is_finished(self) -> bool:
        """Whether its answer is final."""
        return self.answer is not None

    @property
    def has_final_answer(self) -> bool:
        """Whether it isn't started again under its id."""
        return (
            self.answer is not None and self.answer.outcome in FINAL_OUTCOMES
        )

    @property
    def is_complete(self) -> bool:
        """Whether all its tasks are done."""
        return not any(self.tasks_left)

    def queue_ready_steps(self) -> None:
        """Queue the tasks of steps whose dependencies are complete."""
        for number, step in enumerate(self.job.steps):
            if number in self._queued_steps:
                continue
            if any(self.tasks_left[each] for each in step.depends_on):
                continue
            self._queued_steps.add(number)
            self.pending.extend(
                task for task in self.tasks[number] if not task.is_done
            )

    def find_task(self, task: work.TaskId) -> Task | None:
        """Return the task with an id, or None if the job has no such task."""
        if not 0 <= task.step < len(self.tasks):
            return None
        if not 0 <= task.index < len(self.tasks[task.step]):
            return None
        return self.tasks[task.step][task.index]

    def done(self, task: Task) -> None:
        """Mark a task as completed."""
        if task.is_done:
            return
        task.is_done = True
        task.executor = None
        if task in self.pending:
            self.pending.remove(task)
        self.tasks_left[task.id.step] -= 1
        if not self.tasks_left[task.id.step]:
            self.queue_ready_steps()
