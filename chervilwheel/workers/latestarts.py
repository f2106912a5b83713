"""Start orders that an executor may carry out after it has started again."""

import logging
import typing

from chervilwheel import ids
from chervilwheel.workers import executors
from chervilwheel.workers import jobstate
from chervilwheel.workers import jobtable
from chervilwheel.workers import work

_LOG = logging.getLogger("engine")

# Executors carry an order out up to 12 s late.
MAX_ORDER_DELAY_S = 15.0
PURGE_INTERVAL_S = 1.0


class LateStart(typing.NamedTuple):
    """A start order, by the executor that it was sent to."""

    executor: work.ExecutorId
    run: int


class LateStarts:
    """Starts that had no answer and that their executor rejects by now.

    Only the incarnation that has stopped the run, or whose clock has passed
    the deadline, rejects the order. The next one under the same id does so
    from the first order on that it obeys (:class:`leases.LeaseManager`).
    Until then it may begin the run, so that the task runs nowhere else.

    :param executors_by_id: all executors, by id
    :param job_table: all jobs of this holder
    :ivar inherited: number of orders of earlier holders so far
    """

    def __init__(
        self,
        *,
        executors_by_id: typing.Mapping[work.ExecutorId, executors.Executor],
        job_table: jobtable.JobTable,
    ) -> None:
        self._executors = executors_by_id
        self._job_table = job_table
        # When each was ordered, by task, seconds.
        self._ordered_at: dict[work.TaskId, dict[LateStart, float]] = {}
        self._tasks: dict[work.ExecutorId, dict[work.TaskId, None]] = {}
        self._held_back: dict[work.TaskId, None] = {}
        self._purged_at = 0.0
        self.inherited = 0

    def add(self, executor: executors.Executor, run: executors.Run) -> None:
        """Record the order of a run that is given up.

        The id of an executor that doesn't tell its start is used once.
        """
        if run.confirmed_at or run.is_orphan or not executor.born_ms:
            return
        orders = self._ordered_at.setdefault(run.task, {})
        orders[LateStart(executor.id, run.number)] = run.ordered_at
        self._tasks.setdefault(executor.id, {})[run.task] = None

    def inherit(
        self,
        job: ids.JobId,
        starts: typing.Iterable[work.OpenStart],
        now: float,
    ) -> None:
        """Record orders of earlier holders that may still be carried out.

        An executor that isn't known yet may be by then.
        """
        for start in starts:
            task = work.TaskId(job, start.step, start.index)
            ordered_at = now - start.age_ms / 1000
            executor = self._executors.get(start.executor)
            run = executor.runs.get(task) if executor is not None else None
            is_listed = run is not None and run.number == start.run
            if is_listed or now - ordered_at >= MAX_ORDER_DELAY_S:
                continue
            orders = self._ordered_at.setdefault(task, {})
            orders.setdefault(LateStart(start.executor, start.run), ordered_at)
            self._tasks.setdefault(start.executor, {})[task] = None
            self.inherited += 1

    def includes(
        self, task: work.TaskId, executor: work.ExecutorId, run: int
    ) -> bool:
        """Return whether an order may still be carried out."""
        orders = self._ordered_at.get(task, ())
        return LateStart(executor, run) in orders

    def carried_out(
        self, task: work.TaskId, run: int, executor: executors.Executor
    ) -> bool:
        """Forget an order whose run an executor lists.

        :returns: whether the order had been given up
        """
        order = LateStart(executor.id, run)
        if order not in self._ordered_at.get(task, ()):
            return False
        self._remove(task, order)
        _LOG.info(
            "engine: a start was carried out late",
            extra={
                "task": task,
                "run": run,
                "executor": executor.id,
                "born_ms": executor.born_ms,
            },
        )
        return True

    def holds_back(self, task: work.TaskId) -> bool:
        """Return whether a task may begin on an executor that isn't reached.

        An executor that has left may be started again.
        """
        orders = self._ordered_at.get(task)
        if orders is None:
            return False
        names = {order.executor for order in orders}
        if all(map(self._is_rejecting, names)):
            return False
        if task not in self._held_back:
            self._held_back[task] = None
            _LOG.info(
                "engine: a task waits for an executor to reject its start",
                extra={"task": task, "executors": sorted(names)},
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
        tasks = self._tasks.get(executor.id)
        # Asked for each executor at each tick, nearly always without one.
        if tasks is None:
            return False
        jobs = self._job_table.jobs
        return any(
            task.job in jobs and not jobs[task.job].is_finished
            for task in tasks
        )

    def tasks_of(self, executor: executors.Executor) -> list[work.TaskId]:
        """List the tasks that a later incarnation may begin."""
        return list(self._tasks.get(executor.id, ()))

    def remove_executor(self, executor: executors.Executor) -> None:
        """Forget the orders to an executor whose id isn't used any more."""
        for task in self.tasks_of(executor):
            for order in list(self._ordered_at[task]):
                if order.executor == executor.id:
                    self._remove(task, order)

    def _remove(self, task: work.TaskId, order: LateStart) -> None:
        orders = self._ordered_at[task]
        del orders[order]
        if not any(each.executor == order.executor for each in orders):
            tasks = self._tasks[order.executor]
            del tasks[task]
            if not tasks:
                del self._tasks[order.executor]
        if not orders:
            del self._ordered_at[task]
            self._held_back.pop(task, None)

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
            is_final = state is not None and state.has_final_answer
            for order, ordered_at in list(orders.items()):
                if is_final or now - ordered_at >= MAX_ORDER_DELAY_S:
                    self._remove(task, order)
