"""Bounds the executors that tasks may crash at a time.

It answers a load with many tasks that crash their executors: each of them is
away for seconds, so these tasks share few executors.
"""

import typing

from chervilwheel.workers import executors
from chervilwheel.workers import losses
from chervilwheel.workers import work


class ExposedExecutors:
    """The executors that run certain tasks, or were lost with them.

    :param executors_by_id: all executors, by id
    :param runs_tasks: returns whether an executor runs such a task
    """

    def __init__(
        self,
        *,
        executors_by_id: typing.Mapping[work.ExecutorId, executors.Executor],
        runs_tasks: typing.Callable[[executors.Executor], bool],
    ) -> None:
        self._executors = executors_by_id
        self._runs_tasks = runs_tasks
        self._began_at: dict[work.ExecutorId, float] = {}

    def add(self, executor: executors.Executor, now: float) -> None:
        """Record the start of such a task."""
        self._began_at[executor.id] = now

    def has_place(self, share: float, now: float) -> bool:
        """Return whether another executor may run such a task.

        :param share: maximum share of the executors, rounded up
        """
        self._began_at = {
            name: began_at
            for name, began_at in self._began_at.items()
            if self._is_exposed(name, began_at, now)
        }
        return len(self._began_at) < share * len(self._executors)

    def _is_exposed(
        self, name: work.ExecutorId, began_at: float, now: float
    ) -> bool:
        executor = self._executors.get(name)
        if executor is None:
            # Another incarnation has replaced it.
            return False
        if self._runs_tasks(executor):
            return True
        is_lost = executor.unreachable_since > 0
        return is_lost and now - began_at < losses.RESOLVE_TIMEOUT_S
