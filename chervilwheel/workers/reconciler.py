"""Reconciles the runs that executors list with the runs ordered here."""

import logging
import typing

from chervilwheel import ids
from chervilwheel.workers import executors
from chervilwheel.workers import health
from chervilwheel.workers import jobstate
from chervilwheel.workers import jobtable
from chervilwheel.workers import latestarts
from chervilwheel.workers import leases
from chervilwheel.workers import speeds
from chervilwheel.workers import takeover
from chervilwheel.workers import work

_LOG = logging.getLogger("engine")
# A run counts as stalled after this time without progress.
STALL_TIMEOUT_S = 0.4
STOP_RETRY_S = 0.15
# Minimum time in which a start order is to be answered.
START_ANSWER_TIMEOUT_S = 0.06
# A run's time is known well enough if its start was confirmed within this
# share of it.
MAX_ANSWER_SHARE = 0.3

FinishCallback = typing.Callable[
    [jobstate.JobState, work.Outcome, float, str], None
]


class RunReconciler:
    """Processes the run lists of executors and adopts runs of other holders.

    :param executors_by_id: all executors, by id
    :param job_table: all jobs of this holder
    :param lease_manager: issues stop orders
    :param speed_table: learns from completed runs
    :param late_starts: starts that were given up
    :param finish: called with a job, its outcome, the time and a reason
    """

    def __init__(
        self,
        *,
        executors_by_id: typing.Mapping[work.ExecutorId, executors.Executor],
        job_table: jobtable.JobTable,
        lease_manager: leases.LeaseManager,
        speed_table: speeds.SpeedTable,
        late_starts: latestarts.LateStarts,
        finish: FinishCallback,
    ) -> None:
        self._executors = executors_by_id
        self._job_table = job_table
        self._leases = lease_manager
        self._speeds = speed_table
        self._late_starts = late_starts
        self._finish = finish
        self._health: dict[work.ExecutorId, health.Health] = {}
        # Executors with orphans by job, None after a new orphan.
        self._orphans: dict[ids.JobId, set[work.ExecutorId]] | None = None

    def add_executor(self, executor: executors.Executor) -> None:
        """Start tracking the health of an executor."""
        self._health[executor.id] = health.Health()

    def remove_executor(self, executor: executors.Executor) -> None:
        """Stop tracking the health of an executor."""
        self._health.pop(executor.id, None)

    def reconcile(
        self,
        executor: executors.Executor,
        answer: work.HoldAnswer,
        sent_at: float,
        now: float,
    ) -> list[executors.Run]:
        """Process the run lists of an executor.

        :param sent_at: when they were requested, seconds
        :returns: runs that have ended with a former incarnation
        """
        ended_before = []
        for end in answer.ended:
            if end.number <= executor.processed_upto:
                continue
            executor.processed_upto = end.number
            self._process_end(executor, end, now)
        rows = {row.task: row for row in answer.running}
        for row in answer.running:
            if row.task not in executor.runs:
                self._add_orphan(executor, row, now)
        for run in list(executor.runs.values()):
            row = rows.get(run.task)
            if row is not None and row.run == run.number:
                self._update_run(executor, run, row, now)
            elif _is_lost(run, answer.clock_ms, sent_at):
                executor.remove_run(run.task)
                self._late_starts.add(executor, run)
                self._job_table.requeue(run)
                if run.former is not None:
                    ended_before.append(run)
            elif _needs_stop(run, sent_at, now):
                # Its order may still be carried out, unless a stop precedes.
                self._leases.stop(executor, run, now)
        return ended_before

    def _add_orphan(
        self, executor: executors.Executor, row: work.RunStatus, now: float
    ) -> None:
        """Record a run that another holder has ordered, or that began late."""
        run = executors.Run(
            task=row.task,
            number=row.run,
            room=work.Room(),
            state=executors.RunState.RUNNING,
            ordered_at=now,
            expected_s=0.0,
            confirmed_at=now,
            percent=row.percent,
            percent_at=now,
            is_orphan=True,
        )
        executor.add_run(run)
        self._orphans = None
        state = self._job_table.jobs.get(row.task.job)
        if state is None:
            return
        is_late = self._late_starts.carried_out(row.task, row.run, executor)
        if state.is_taking_over or state.is_finished or is_late:
            self._adopt_run(state, executor, run)
        if state.is_finished or (is_late and run.is_orphan):
            self._leases.stop(executor, run, now)

    def _update_run(
        self,
        executor: executors.Executor,
        run: executors.Run,
        row: work.RunStatus,
        now: float,
    ) -> None:
        run.settle()
        if not run.confirmed_at:
            run.confirmed_at = now
            run.percent_at = now
        if run.state in (
            executors.RunState.STARTING,
            executors.RunState.UNSURE,
        ):
            run.state = executors.RunState.RUNNING
        if row.percent != run.percent:
            run.percent = row.percent
            run.percent_at = now
        is_stalled = now - run.percent_at > STALL_TIMEOUT_S
        if run.state is executors.RunState.STOPPING:
            if now - run.stop_sent_at > STOP_RETRY_S:
                self._leases.stop(executor, run, now)
        elif is_stalled and run.percent < 100:
            _LOG.info(
                "engine: a run has stalled",
                extra={
                    "task": run.task,
                    "executor": executor.id,
                    "percent": run.percent,
                },
            )
            self.record_failure(executor, now, weight=health.MAX_FAILURES)
            self._leases.stop(executor, run, now)

    def _process_end(
        self, executor: executors.Executor, end: work.RunEnd, now: float
    ) -> None:
        run = executor.runs.get(end.task)
        if run is None or run.number != end.run:
            self._process_orphan_end(executor, end, now)
            return
        executor.remove_run(end.task)
        if run.is_orphan:
            self._process_orphan_end(executor, end, now)
            return
        state = self._job_table.jobs.get(end.task.job)
        if end.kind is work.EndKind.DONE:
            self._health[executor.id].succeeded()
            if state is not None:
                self._record_time(executor, run, state, now)
                state.open_runs -= 1
                self._complete_task(state, end.task, now)
            return
        _LOG.info(
            "engine: a run ended without completing its task",
            extra={
                "task": end.task,
                "run": run.number,
                "executor": executor.id,
                "how": end.kind.value,
                "ran_s": round(now - run.ordered_at, 3),
            },
        )
        if end.kind is work.EndKind.FAILED:
            self.record_failure(executor, now)
        self._job_table.requeue(run)
        task = state.find_task(end.task) if state is not None else None
        if state is None or state.is_finished or task is None:
            return
        if end.kind is work.EndKind.FAILED:
            task.failures += 1
            if task.failures >= state.job.attempts:
                self._finish(state, work.Outcome.FAILED, now, "attempts")

    def _record_time(
        self,
        executor: executors.Executor,
        run: executors.Run,
        state: jobstate.JobState,
        now: float,
    ) -> None:
        """Learn from the time of a completed run that was confirmed here."""
        ran_s = now - run.confirmed_at
        answered_s = run.confirmed_at - run.ordered_at
        if not run.confirmed_at or answered_s > MAX_ANSWER_SHARE * ran_s:
            # Its start is too uncertain.
            return
        executor.speed = self._speeds.record(
            executor.id,
            state.job.queue,
            job=state.job.id,
            ran_s=ran_s,
            estimated_s=run.expected_s,
            now=now,
        )

    def _process_orphan_end(
        self, executor: executors.Executor, end: work.RunEnd, now: float
    ) -> None:
        """Process the end of a run that another holder ordered.

        It may also be one that began late.
        """
        is_late = self._late_starts.carried_out(end.task, end.run, executor)
        if end.kind is not work.EndKind.DONE:
            return
        self._job_table.record_orphan_completion(end.task, now)
        state = self._job_table.jobs.get(end.task.job)
        if state is not None and (state.is_taking_over or is_late):
            self._complete_task(state, end.task, now)

    def record_failure(
        self, executor: executors.Executor, now: float, *, weight: int = 1
    ) -> None:
        """Record a failure of an executor and eject it if it has too many."""
        ejection = self._health[executor.id].failed(weight=weight)
        if ejection.pause_s:
            until = now + ejection.pause_s
            executor.unusable_until = max(executor.unusable_until, until)
            _LOG.info(
                "engine: an executor is ejected",
                extra={"executor": executor.id, "pause_s": ejection.pause_s},
            )

    def adopt(self, state: jobstate.JobState, now: float) -> None:
        """Adopt the runs and completed tasks of a job from other holders."""
        for name in self._executors_with_orphans(state.job.id):
            executor = self._executors.get(name)
            if executor is None:
                continue
            for run in list(executor.runs.values()):
                if run.task.job == state.job.id and run.is_orphan:
                    self._adopt_run(state, executor, run)
        for task in self._job_table.orphan_completions(state.job.id):
            self._complete_task(state, task, now)

    def has_orphans(self, job: ids.JobId) -> bool:
        """Return whether a job has runs that another holder has ordered."""
        return any(
            run.is_orphan and run.task.job == job
            for name in self._executors_with_orphans(job)
            if name in self._executors
            for run in self._executors[name].runs.values()
        )

    def _executors_with_orphans(
        self, job: ids.JobId
    ) -> typing.Collection[work.ExecutorId]:
        if self._orphans is None:
            self._orphans = {}
            for executor in self._executors.values():
                for run in executor.runs.values():
                    if run.is_orphan:
                        names = self._orphans.setdefault(run.task.job, set())
                        names.add(executor.id)
        return self._orphans.get(job, ())

    def _adopt_run(
        self,
        state: jobstate.JobState,
        executor: executors.Executor,
        run: executors.Run,
    ) -> None:
        task = state.find_task(run.task)
        if task is None or task.executor is not None or task.is_done:
            return
        executor.remove_run(run.task)
        run.is_orphan = False
        run.room = state.job.steps[run.task.step].room
        executor.add_run(run)
        state.open_runs += 1
        state.is_started = True
        task.executor = executor.id
        task.next_run = max(task.next_run, run.number + 1)
        if task in state.pending:
            state.pending.remove(task)

    def probe_starts(self, executor: executors.Executor, now: float) -> None:
        """Read the lists if a start order should have been answered."""
        is_unanswered = False
        timeout_s = max(
            START_ANSWER_TIMEOUT_S, self._leases.round_trips.timeout_s
        )
        for run in executor.runs.values():
            if (
                run.state is executors.RunState.STARTING
                and not run.probed_at
                and now - run.ordered_at >= timeout_s
            ):
                run.probed_at = now
                is_unanswered = True
        if is_unanswered and not executor.unreachable_since:
            self._leases.poll(executor, now)

    def stop_orphans(self, executor: executors.Executor, now: float) -> None:
        """Stop orphaned runs that no job has adopted in time."""
        for run in list(executor.runs.values()):
            is_due = (
                run.is_orphan
                and now - run.ordered_at >= takeover.ORPHAN_TIMEOUT_S
            )
            if is_due and run.state is not executors.RunState.STOPPING:
                self._leases.stop(executor, run, now)

    def _complete_task(
        self, state: jobstate.JobState, task: work.TaskId, now: float
    ) -> None:
        if self._job_table.complete_task(state, task):
            self._finish(state, work.Outcome.COMPLETED, now, "")


def _needs_stop(run: executors.Run, sent_at: float, now: float) -> bool:
    """Return whether to stop a run that isn't listed but may still begin.

    :param sent_at: when the lists were requested, seconds
    """
    if run.former is not None:
        is_due = now - run.stop_sent_at > STOP_RETRY_S
        return is_due and not run.confirmed_at
    is_starting = run.state is executors.RunState.STARTING
    return is_starting and 0 < run.probed_at <= sent_at


def _is_lost(run: executors.Run, clock_ms: int, sent_at: float) -> bool:
    """Return whether a run that isn't listed can't begin any more.

    :param clock_ms: the executor's clock when it listed its runs
    :param sent_at: when the lists were requested, seconds
    """
    if run.confirmed_at:
        return run.confirmed_at < sent_at
    if run.blocked_at and run.blocked_at <= sent_at:
        return True
    is_unconfirmed = run.state in (
        executors.RunState.UNSURE,
        executors.RunState.STOPPING,
    )
    return is_unconfirmed and clock_ms > run.order_deadline_ms
