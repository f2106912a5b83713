"""Starts the tasks of waiting jobs on executors with enough resources."""

import typing

from chervilwheel import ids
from chervilwheel.workers import executors
from chervilwheel.workers import jobstate
from chervilwheel.workers import jobtable
from chervilwheel.workers import leases
from chervilwheel.workers import placement
from chervilwheel.workers import work

# A start order is void after this time, whether or not it was answered.
START_LEASE_S = 0.35
# No task is started for an entry host whose last heartbeat is older than this:
# it may have switched to a standby, which waits equally long before it takes
# runs over (control.standby.NO_QUORUM_WAIT_S).
ENTRY_HEARTBEAT_TIMEOUT_S = 0.35


class Starter:
    """Issues start orders, most urgent jobs first.

    :param executors_by_id: all executors, by id
    :param job_table: all jobs of this holder
    :param lease_manager: renews the leases of executors with new runs
    :param actions: list that the orders are appended to
    """

    def __init__(
        self,
        *,
        executors_by_id: typing.Mapping[work.ExecutorId, executors.Executor],
        job_table: jobtable.JobTable,
        lease_manager: leases.LeaseManager,
        actions: list[work.Action],
    ) -> None:
        self.starts = 0
        self._executors = executors_by_id
        self._job_table = job_table
        self._leases = lease_manager
        self._actions = actions
        self._heartbeats: dict[ids.InstanceId, float] = {}

    def record_heartbeat(self, entry: ids.InstanceId, now: float) -> None:
        """Record that an entry host still uses this holder."""
        self._heartbeats[entry] = now

    def place(
        self, now: float, changed: executors.Executor | None = None
    ) -> None:
        """Issue start orders for waiting tasks.

        :param changed: the only executor that may have more free resources
            than at the last call; None if any may
        """
        if not self._job_table.waiting:
            return
        candidates = (
            self._executors.values() if changed is None else (changed,)
        )
        usable = [
            executor for executor in candidates if executor.may_start(now)
        ]
        min_cpu = self._job_table.waiting.min_cpu()
        for state in list(self._job_table.waiting.ordered()):
            usable = [
                executor for executor in usable if executor.free.cpu >= min_cpu
            ]
            if not usable:
                return
            if not state.is_taking_over and self._is_entry_live(
                state.entry, now
            ):
                self._place_job(state, usable, now)

    def _is_entry_live(self, entry: ids.InstanceId, now: float) -> bool:
        last_heartbeat_at = self._heartbeats.get(entry)
        return (
            last_heartbeat_at is not None
            and now - last_heartbeat_at < ENTRY_HEARTBEAT_TIMEOUT_S
        )

    def _place_job(
        self,
        state: jobstate.JobState,
        usable: list[executors.Executor],
        now: float,
    ) -> None:
        while state.pending:
            task = state.pending[0]
            if state.job.offers and self._has_unfinished_run(task.id):
                return
            step = state.job.steps[task.id.step]
            executor = placement.choose(
                usable, task.id, step, state.job.service
            )
            if executor is None:
                return
            state.pending.pop(0)
            self._job_table.waiting.mark_changed()
            self._start(state, task, step, executor, now)

    def _has_unfinished_run(self, task: work.TaskId) -> bool:
        """Return whether an earlier run of a task may still be running."""
        return any(
            task in executor.runs for executor in self._executors.values()
        )

    def _start(
        self,
        state: jobstate.JobState,
        task: jobstate.Task,
        step: work.Step,
        executor: executors.Executor,
        now: float,
    ) -> None:
        deadline_ms = executor.deadline_ms(now, START_LEASE_S)
        run = executors.Run(
            task=task.id,
            number=task.next_run,
            room=step.room,
            state=executors.RunState.STARTING,
            ordered_at=now,
            expected_s=step.estimated_ms / 1000,
            order_deadline_ms=deadline_ms,
        )
        executor.add_run(run)
        executor.lease_deadline_ms = max(
            executor.lease_deadline_ms, deadline_ms
        )
        task.executor = executor.id
        state.is_started = True
        state.open_runs += 1
        self.starts += 1
        self._actions.append(
            work.StartOrder(
                executor.id,
                executor.report.address,
                task.id,
                run.number,
                state.job.spec,
                deadline_ms,
                self._leases.token,
            )
        )
        self._leases.renew(executor, now)
