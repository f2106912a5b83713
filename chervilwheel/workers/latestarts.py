"""Start orders that an executor may carry out after it has started again."""

import logging
import typing

from chervilwheel.workers import executors
from chervilwheel.workers import jobstate
from chervilwheel.workers import jobtable
from chervilwheel.workers import work

_LOG = logging.getLogger("engine")

# Executors carry an order out up to 12 s late.
MAX_ORDER_DELAY_S = 15.0
PURGE_INTERVAL_S = 1.0
# Answers after which a job isn't started again under its id.
_FINAL_OUTCOMES = (work.Outcome.COMPLETED, work.Outcome.CANCELLED)


class LateStarts:
    """Starts that had no answer and that their executor rejects by now.

    Only the incarnation that has stopped the run, or whose clock has passed
    the deadline, rejects the order. The next one under the same id does so
    from the first order on that it obeys (:class:`leases.LeaseManager`).
    Until then it may begin the run, so that the task runs nowhere else.

    :param executors_by_id: all executors, by id
    :param job_table: all jobs of this holder
    """

    def __init__(
        self,
        *,
        executors_by_id: typing.Mapping[work.ExecutorId, executors.Executor],
        job_table: jobtable.JobTable,
    ) -> None:
        self._executors = executors_by_id
        self._job_table = job_table
        # When each was ordered, by task and executor, seconds.
        self._ordered_at: dict[work.TaskId, dict[work.ExecutorId, float]] = {}
        self._tasks: dict[work.ExecutorId, dict[work.TaskId, None]] = {}
        self._held_back: dict[work.TaskId, None] = {}
        self._purged_at = 0.0

    def __len__(self) -> int:
        return len(self._ordered_at)

    def add(self, executor: executors.Executor, run: executors.Run) -> None:
        """Record the order of a run that is given up.

        The id of an executor that doesn't tell its start is used once.
        """
        if run.confirmed_at or run.is_orphan or not executor.born_ms:
            return
        orders = self._ordered_at.setdefault(run.task, {})
        orders[executor.id] = run.ordered_at
        self._tasks.setdefault(executor.id, {})[run.task] = None

    def has(self, task: work.TaskId, name: work.ExecutorId) -> bool:
        """Return whether an executor may begin a task that was given up."""
        return name in self._ordered_at.get(task, ())

    def holds_back(self, task: work.TaskId) -> bool:
        """Return whether a task may begin on an executor that isn't reached.

        An executor that has left may be started again.
        """
        orders = self._ordered_at.get(task)
        if orders is None or all(map(self._is_rejecting, orders)):
            return False
        if task not in self._held_back:
            self._held_back[task] = None
            _LOG.info(
                "engine: a task waits for an executor to reject its start",
                extra={"task": task, "executors": list(orders)},
            )
        return True

    def _is_rejecting(self, name: work.ExecutorId) -> bool:
        executor = self._executors.get(name)
        return (
            executor is not None
            and executor.is_synced
            and not executor.is_retrying
            and not executor.unreachable_since
        )

    def is_watched(self, executor: executors.Executor) -> bool:
        """Return whether a crash of an executor is to be noticed soon.

        A task that was given up there may run elsewhere.
        """
        jobs = self._job_table.jobs
        return any(
            task.job in jobs and not jobs[task.job].is_finished
            for task in self._tasks.get(executor.id, ())
        )

    def tasks_of(self, executor: executors.Executor) -> list[work.TaskId]:
        """List the tasks that a later incarnation may begin."""
        return list(self._tasks.get(executor.id, ()))

    def remove_executor(self, executor: executors.Executor) -> None:
        """Forget the orders to an executor whose id isn't used any more."""
        for task in self.tasks_of(executor):
            self.remove(task, executor.id)

    def remove(self, task: work.TaskId, name: work.ExecutorId) -> None:
        """Forget an order that was carried out or can't arrive any more."""
        orders = self._ordered_at.get(task, {})
        orders.pop(name, None)
        if not orders:
            self._ordered_at.pop(task, None)
            self._held_back.pop(task, None)
        tasks = self._tasks.get(name, {})
        tasks.pop(task, None)
        if not tasks:
            self._tasks.pop(name, None)

    def overdue(self, now: float) -> list[jobstate.JobState]:
        """List the jobs whose tasks were held back for too long to be done."""
        overdue = {}
        for task in list(self._held_back):
            state = self._job_table.jobs.get(task.job)
            found = state.find_task(task) if state is not None else None
            if state is None or found not in state.pending:
                del self._held_back[task]
            elif now + state.remaining_path_s > state.patience_ends_at:
                overdue[state] = None
        return list(overdue)

    def purge(self, now: float) -> None:
        """Forget orders that are too old, and those of finished jobs."""
        if now - self._purged_at < PURGE_INTERVAL_S:
            return
        self._purged_at = now
        for task, orders in list(self._ordered_at.items()):
            state = self._job_table.jobs.get(task.job)
            answer = state.answer if state is not None else None
            is_final = answer is not None and answer.outcome in _FINAL_OUTCOMES
            for name, ordered_at in list(orders.items()):
                if is_final or now - ordered_at >= MAX_ORDER_DELAY_S:
                    self.remove(task, name)
