"""Tracks the executors that are lost under a task, and bounds its restarts.

A task may crash the executors that start it. What a holder sees at first is
an executor that doesn't answer, which may as well be cut off. A loss counts
as a crash once another incarnation answers at the executor's address, and is
forgotten if the same incarnation answers again.
"""

import enum
import logging
import typing

from chervilwheel import addresses
from chervilwheel import ids
from chervilwheel.workers import executors
from chervilwheel.workers import jobstate
from chervilwheel.workers import jobtable
from chervilwheel.workers import work

_LOG = logging.getLogger("engine")

# A run had just begun if its executor was lost this shortly after its start. A
# crash shows by a refused connection, within a few round trips.
EARLY_S = 0.05
# A task is given up after this many crashes under its runs, one of them
# alone, or one more if some of the runs may not have begun.
MAX_CRASHES = 2
# While an executor may still return, its task isn't started on a third one
# for this time; a crashed executor is usually back sooner.
RESOLVE_TIMEOUT_S = 10.0
# With this many losses a task waits until each of them is explained.
MAX_UNEXPLAINED = 4


class Sharing(enum.Enum):
    """With which other tasks a task may be started on an executor."""

    SHARED = "shared"
    ALONE = "alone"
    NOT_YET = "not_yet"


def sharing(task: jobstate.Task, now: float) -> Sharing:
    """Return how a task may be started after its losses."""
    count = len(task.losses)
    if not count:
        return Sharing.SHARED
    if count >= MAX_CRASHES and not all(each.is_crash for each in task.losses):
        is_resolvable = now - task.lost_at < RESOLVE_TIMEOUT_S
        if is_resolvable or count >= MAX_UNEXPLAINED:
            return Sharing.NOT_YET
    if count >= MAX_CRASHES or task.losses[0].is_early:
        return Sharing.ALONE
    return Sharing.SHARED


def is_early(run: executors.Run, lost_at: float) -> bool:
    """Return whether a run had just begun when its executor was lost.

    :param lost_at: when the executor was found to be unreachable, seconds
    """
    return lost_at - (run.confirmed_at or run.ordered_at) < EARLY_S


class LossTracker:
    """Records losses by the address of the executor that was lost.

    :param job_table: all jobs of the holder
    :param actions: list that reports for the entry hosts are appended to
    :ivar jobs: jobs that have lost an executor and may not have ended
    """

    def __init__(
        self, *, job_table: jobtable.JobTable, actions: list[work.Action]
    ) -> None:
        self.jobs: dict[jobstate.JobState, None] = {}
        self._job_table = job_table
        self._actions = actions
        self._unexplained: dict[addresses.Address, set[work.TaskId]] = {}

    def offered(self, state: jobstate.JobState, now: float) -> None:
        """Record the losses that a job had under earlier holders."""
        for loss in state.job.losses:
            task = state.find_task(work.TaskId(state.job.id, *loss.place))
            if task is not None:
                self._add(state, task, loss, now)

    def lost(
        self, executor: executors.Executor, run: executors.Run, now: float
    ) -> None:
        """Record that the executor of a run was lost."""
        state, task = self._find(run.task)
        is_planned = executor.report.is_draining
        if is_planned or run.is_orphan or state is None or task is None:
            return
        loss = work.TaskLoss(
            step=run.task.step,
            index=run.task.index,
            executor=executor.id,
            address=executor.report.address,
            is_early=is_early(run, executor.unreachable_since or now),
            is_alone=executor.lost_together == 1,
            born_ms=executor.born_ms,
            is_begun=bool(run.confirmed_at),
        )
        self._add(state, task, loss, now)
        _LOG.info(
            "engine: an executor was lost under a task",
            extra={
                "task": run.task,
                "run": run.number,
                "executor": executor.id,
                "confirmed": loss.is_begun,
                "early": loss.is_early,
                "alone": loss.is_alone,
                "losses": len(task.losses),
            },
        )
        self._report(state)

    def starting_alone(
        self,
        state: jobstate.JobState,
        task: jobstate.Task,
        executor: executors.Executor,
    ) -> None:
        """Report a start in advance, in case this holder is lost as well."""
        loss = work.TaskLoss(
            step=task.id.step,
            index=task.id.index,
            executor=executor.id,
            address=executor.report.address,
            is_early=True,
            is_alone=True,
            born_ms=executor.born_ms,
        )
        self._report(state, loss)

    def answered(
        self, executor: executors.Executor, sent_at: float
    ) -> list[jobstate.JobState]:
        """Explain the losses at an address by the incarnation that answers.

        :param sent_at: when the answered order was sent, seconds
        :returns: jobs with a task that is to be given up
        """
        address = executor.report.address
        if address not in self._unexplained:
            return []
        return self._explain(
            address,
            crashed=lambda loss: not _may_be_of(loss, executor),
            before=sent_at,
        )

    def replaced(
        self, executor: executors.Executor
    ) -> list[jobstate.JobState]:
        """Explain the losses of an executor that has another incarnation.

        :returns: jobs with a task that is to be given up
        """
        return self._explain(
            executor.report.address,
            crashed=lambda loss: _may_be_of(loss, executor) or None,
        )

    def _explain(
        self,
        address: addresses.Address,
        *,
        crashed: typing.Callable[[work.TaskLoss], bool | None],
        before: float | None = None,
    ) -> list[jobstate.JobState]:
        """Mark losses as crashes or remove them.

        :param crashed: returns whether a loss is a crash, None to keep it
        :param before: only losses recorded before this time are explained
        """
        given_up = []
        for task_id in list(self._unexplained.get(address, ())):
            state, task = self._find(task_id)
            if state is None or task is None:
                self._forget(address, task_id)
                continue
            if before is not None and task.lost_at > before:
                continue
            kept = []
            for loss in task.losses:
                is_crash = crashed(loss) if loss.address == address else None
                if loss.is_crash or is_crash is None:
                    kept.append(loss)
                elif is_crash:
                    kept.append(loss._replace(is_crash=True))
            if tuple(kept) == task.losses:
                continue
            task.losses = tuple(kept)
            if not any(
                each.address == address and not each.is_crash for each in kept
            ):
                self._forget(address, task_id)
            _LOG.info(
                "engine: the loss of an executor is explained",
                extra={
                    "task": task_id,
                    "crashes": sum(each.is_crash for each in kept),
                    "losses": len(kept),
                },
            )
            self._report(state)
            if _is_given_up(task):
                given_up.append(state)
        return given_up

    def _add(
        self,
        state: jobstate.JobState,
        task: jobstate.Task,
        loss: work.TaskLoss,
        now: float,
    ) -> None:
        if any(
            (each.executor, each.born_ms) == (loss.executor, loss.born_ms)
            for each in task.losses
        ):
            return
        task.losses += (loss,)
        task.lost_at = now
        self.jobs[state] = None
        if not loss.is_crash:
            self._unexplained.setdefault(loss.address, set()).add(task.id)

    def _report(
        self, state: jobstate.JobState, *expected: work.TaskLoss
    ) -> None:
        """Report the losses of a job to its entry host.

        :param expected: losses that are reported in advance
        """
        if state.is_finished:
            return
        self._actions.append(
            work.LossReport(state.job.id, (*state.losses, *expected))
        )

    def _find(
        self, task_id: work.TaskId
    ) -> tuple[jobstate.JobState | None, jobstate.Task | None]:
        state = self._job_table.jobs.get(task_id.job)
        if state is None:
            return None, None
        return state, state.find_task(task_id)

    def _forget(self, address: addresses.Address, task: work.TaskId) -> None:
        tasks = self._unexplained.get(address, set())
        tasks.discard(task)
        if not tasks:
            self._unexplained.pop(address, None)

    def purge(self) -> None:
        """Remove the jobs that are no longer in the table."""
        current = self._job_table.jobs
        for state in list(self.jobs):
            if current.get(state.job.id) is not state:
                del self.jobs[state]
        if not self.jobs:
            self._unexplained.clear()

    def overdue(self, now: float) -> list[jobstate.JobState]:
        """List the jobs whose restarted tasks can't end in time any more."""
        return [
            state
            for state in self.jobs
            if not state.is_finished
            and now + state.remaining_path_s > state.patience_ends_at
            and any(
                sharing(task, now) is not Sharing.SHARED
                for task in state.pending
            )
        ]


def _may_be_of(loss: work.TaskLoss, executor: executors.Executor) -> bool:
    """Return whether a loss may be that of an executor's incarnation."""
    is_other = loss.born_ms and loss.born_ms != executor.born_ms
    return loss.executor == executor.id and not is_other


def _is_given_up(task: jobstate.Task) -> bool:
    crashes = [each for each in task.losses if each.is_crash]
    begun = sum(each.is_begun for each in crashes)
    # A start whose answer was lost may have crashed its executor too.
    is_bound_reached = begun >= MAX_CRASHES or len(crashes) > MAX_CRASHES
    return is_bound_reached and any(each.is_alone for each in crashes)


def queues_of_early_runs(
    executor: executors.Executor,
    jobs: typing.Mapping[ids.JobId, jobstate.JobState],
    now: float,
) -> set[str]:
    """Return the queues of the runs that had just begun on an executor."""
    return {
        jobs[run.task.job].job.queue
        for run in executor.runs.values()
        if run.task.job in jobs and not run.is_orphan and is_early(run, now)
    }
