"""What a holder remembers of one job while it runs."""

import dataclasses

from chervilwheel import ids
from chervilwheel.workers import work

# More runs than one holder gives a task: attempts are at most ten.
RUNS_AN_OFFER = 16


@dataclasses.dataclass(kw_only=True, slots=True)
class Task:
    """One task, over all its runs."""

    id: work.TaskId
    next_run: int
    failures: int = 0
    is_done: bool = False
    executor: work.ExecutorId | None = None


class JobState:
    """The tasks of a job and how far they are.

    :param job: the job as offered
    :param entry: the entry host that waits for the answer
    :param now: monotonic time of its arrival, seconds
    """

    def __init__(
        self, *, job: work.Job, entry: ids.InstanceId, now: float
    ) -> None:
        self.job = job
        self.entry = entry
        self.arrived_at = now
        self.is_started = False
        self.is_settling = job.offers > 0
        self.settles_from = now
        self.answer: work.Answer | None = None
        self.ended_at = 0.0
        self.tasks = [
            [
                Task(
                    id=work.TaskId(job.id, number, index),
                    next_run=1 + job.offers * RUNS_AN_OFFER,
                )
                for index in range(step.count)
            ]
            for number, step in enumerate(job.steps)
        ]
        self.undone = [step.count for step in job.steps]
        self.unsettled = 0
        self.pending: list[Task] = []
        self._opened: set[int] = set()
        self.open_steps()

    def settle_again(self, job: work.Job, now: float) -> None:
        """Take note that another holder had the job meanwhile."""
        self.job = job
        self.is_settling = True
        self.settles_from = now
        for row in self.tasks:
            for task in row:
                first_run = 1 + job.offers * RUNS_AN_OFFER
                task.next_run = max(task.next_run, first_run)

    @property
    def longest_s(self) -> float:
        """Estimated time of its longest chain of steps, seconds."""
        ends: list[float] = []
        for step in self.job.steps:
            before = max((ends[n] for n in step.depends_on), default=0.0)
            ends.append(before + step.estimated_ms / 1000)
        return max(ends, default=0.0)

    @property
    def objective_s(self) -> float:
        """Time from its arrival within which its answer counts fully."""
        job = self.job
        return job.stretch * self.longest_s + job.target_ms / 1000

    @property
    def is_over(self) -> bool:
        """Whether its answer stands."""
        return self.answer is not None

    @property
    def is_complete(self) -> bool:
        """Whether all its tasks are done."""
        return not any(self.undone)

    def open_steps(self) -> None:
        """Make tasks pending whose earlier steps are done."""
        for number, step in enumerate(self.job.steps):
            if number in self._opened:
                continue
            if any(self.undone[each] for each in step.depends_on):
                continue
            self._opened.add(number)
            self.pending.extend(
                task for task in self.tasks[number] if not task.is_done
            )

    def find(self, task: work.TaskId) -> Task | None:
        """Return one of its tasks, None when it has no such one."""
        if not 0 <= task.step < len(self.tasks):
            return None
        if not 0 <= task.index < len(self.tasks[task.step]):
            return None
        return self.tasks[task.step][task.index]

    def done(self, task: Task) -> None:
        """Take note that a task is done."""
        if task.is_done:
            return
        task.is_done = True
        task.executor = None
        if task in self.pending:
            self.pending.remove(task)
        self.undone[task.id.step] -= 1
        if not self.undone[task.id.step]:
            self.open_steps()
