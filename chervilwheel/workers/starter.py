"""Start the tasks of waiting jobs where they fit."""

import typing

from chervilwheel import ids
from chervilwheel.workers import executors
from chervilwheel.workers import jobbook
from chervilwheel.workers import jobstate
from chervilwheel.workers import leases
from chervilwheel.workers import placement
from chervilwheel.workers import work

# An order to start is void after this time, answered or not.
START_LEASE_S = 0.35
# Nothing starts for an entry host that has not been heard for this time: it
# may have gone over to a standby, and one waits so long before it takes
# runs over (control.standby.WAIT_S).
ENTRY_QUIET_S = 0.35


class Starter:
    """Order starts, most urgent jobs first.

    :param known: all executors, by id
    :param book: the jobs
    :param held: renews the leases that starts need
    :param actions: takes the orders
    """

    def __init__(
        self,
        *,
        known: typing.Mapping[work.ExecutorId, executors.Executor],
        book: jobbook.JobBook,
        held: leases.Leases,
        actions: list[work.Action],
    ) -> None:
        self.starts = 0
        self._executors = known
        self._book = book
        self._leases = held
        self._actions = actions
        self._entries: dict[ids.InstanceId, float] = {}

    def hear_entry(self, entry: ids.InstanceId, now: float) -> None:
        """Take note that an entry host still goes by this holder."""
        self._entries[entry] = now

    def place(
        self, now: float, changed: executors.Executor | None = None
    ) -> None:
        """Order starts for waiting tasks.

        :param changed: the one executor that may have more room than at
            the last call; None for any
        """
        if not self._book.waiting:
            return
        among = self._executors.values() if changed is None else (changed,)
        usable = [each for each in among if each.may_start(now)]
        least_cpu = self._book.waiting.least_cpu()
        for state in list(self._book.waiting.ordered()):
            usable = [each for each in usable if each.free.cpu >= least_cpu]
            if not usable:
                return
            if not state.is_settling and self._is_heard(state.entry, now):
                self._place_job(state, usable, now)

    def _is_heard(self, entry: ids.InstanceId, now: float) -> bool:
        heard_at = self._entries.get(entry)
        return heard_at is not None and now - heard_at < ENTRY_QUIET_S

    def _place_job(
        self,
        state: jobstate.JobState,
        usable: list[executors.Executor],
        now: float,
    ) -> None:
        while state.pending:
            task = state.pending[0]
            if state.job.offers and self._runs_somewhere(task.id):
                return
            step = state.job.steps[task.id.step]
            known = placement.choose(usable, task.id, step, state.job.service)
            if known is None:
                return
            state.pending.pop(0)
            self._book.waiting.changed()
            self._start(state, task, step, known, now)

    def _runs_somewhere(self, task: work.TaskId) -> bool:
        """Whether a run of a task that is to be stopped isn't over yet."""
        return any(task in each.runs for each in self._executors.values())

    def _start(
        self,
        state: jobstate.JobState,
        task: jobstate.Task,
        step: work.Step,
        known: executors.Executor,
        now: float,
    ) -> None:
        deadline_ms = known.deadline_ms(now, START_LEASE_S)
        run = executors.Run(
            task=task.id,
            number=task.next_run,
            room=step.room,
            state=executors.RunState.STARTING,
            ordered_at=now,
            expected_s=step.estimated_ms / 1000,
            order_deadline_ms=deadline_ms,
        )
        known.add(run)
        known.lease_deadline_ms = max(known.lease_deadline_ms, deadline_ms)
        task.executor = known.id
        state.is_started = True
        state.unsettled += 1
        self.starts += 1
        self._actions.append(
            work.StartOrder(
                known.id,
                known.report.address,
                task.id,
                run.number,
                state.job.spec,
                deadline_ms,
                self._leases.token,
            )
        )
        self._leases.hold(known, now)
