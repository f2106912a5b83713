"""Compare what executors list with what they were ordered to run."""

import logging
import typing

from chervilwheel.workers import executors
from chervilwheel.workers import health
from chervilwheel.workers import jobbook
from chervilwheel.workers import jobstate
from chervilwheel.workers import leases
from chervilwheel.workers import settling
from chervilwheel.workers import work

_LOG = logging.getLogger("engine")
# A run whose share of work doesn't move for this time stands still.
STILL_S = 0.4
STOP_RETRY_S = 0.15

Finish = typing.Callable[[jobstate.JobState, work.Outcome, float, str], None]


class RunLists:
    """Take in what runs, what has ended, and what others have begun.

    :param known: all executors, by id
    :param book: the jobs
    :param held: stops runs
    :param finish: told a job, its outcome, the time and a reason
    """

    def __init__(
        self,
        *,
        known: typing.Mapping[work.ExecutorId, executors.Executor],
        book: jobbook.JobBook,
        held: leases.Leases,
        finish: Finish,
    ) -> None:
        self._executors = known
        self._book = book
        self._leases = held
        self._finish = finish
        self._health: dict[work.ExecutorId, health.Health] = {}

    def begin(self, known: executors.Executor) -> None:
        """Take note of an executor's life."""
        self._health[known.id] = health.Health()

    def end(self, known: executors.Executor) -> None:
        """Forget an executor whose life is over."""
        self._health.pop(known.id, None)

    def compare(
        self,
        known: executors.Executor,
        answer: work.HoldAnswer,
        sent_at: float,
        now: float,
    ) -> None:
        """Take in the lists of an executor.

        :param sent_at: when they were asked for, seconds
        """
        for end in answer.ended:
            if end.number <= known.noted_upto:
                continue
            known.noted_upto = end.number
            self._ended(known, end, now)
        rows = {row.task: row for row in answer.running}
        for row in answer.running:
            if row.task not in known.runs:
                self._found(known, row, now)
        for run in list(known.runs.values()):
            row = rows.get(run.task)
            if row is not None and row.run == run.number:
                self._seen(known, run, row, now)
            elif run.state is executors.RunState.UNSURE:
                if answer.clock_ms > run.order_deadline_ms:
                    known.drop(run.task)
                    self._book.again(run)
            elif run.confirmed_at and run.confirmed_at < sent_at:
                # Listed neither as running nor as ended: it is no more.
                known.drop(run.task)
                self._book.again(run)

    def _found(
        self, known: executors.Executor, row: work.RunRow, now: float
    ) -> None:
        """Take note of a run that another holder has ordered."""
        run = executors.Run(
            task=row.task,
            number=row.run,
            # What it takes isn't known; nothing else starts beside it.
            room=known.report.room,
            state=executors.RunState.RUNNING,
            ordered_at=now,
            expected_s=0.0,
            confirmed_at=now,
            percent=row.percent,
            percent_at=now,
            is_orphan=True,
        )
        known.add(run)
        state = self._book.jobs.get(row.task.job)
        if state is not None and state.is_settling:
            self._adopt_run(state, known, run)

    def _seen(
        self,
        known: executors.Executor,
        run: executors.Run,
        row: work.RunRow,
        now: float,
    ) -> None:
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
        is_still = now - run.percent_at > STILL_S
        if run.state is executors.RunState.STOPPING:
            if now - run.stop_sent_at > STOP_RETRY_S:
                self._leases.stop(known, run, now)
        elif is_still and run.percent < 100:
            _LOG.info(
                "engine: a run stands still",
                extra={
                    "task": run.task,
                    "executor": known.id,
                    "percent": run.percent,
                },
            )
            self.blame(known, now, weight=health.MAX_FAILURES)
            self._leases.stop(known, run, now)

    def _ended(
        self, known: executors.Executor, end: work.RunEnd, now: float
    ) -> None:
        run = known.runs.get(end.task)
        if run is None or run.number != end.run:
            self._found_end(end, now)
            return
        known.drop(end.task)
        if run.is_orphan:
            self._found_end(end, now)
            return
        state = self._book.jobs.get(end.task.job)
        if end.kind is work.EndKind.DONE:
            self._health[known.id].succeeded()
            if state is not None:
                state.unsettled -= 1
                self._task_done(state, end.task, now)
            return
        _LOG.info(
            "engine: a run ended and its task is not done",
            extra={
                "task": end.task,
                "run": run.number,
                "executor": known.id,
                "how": end.kind.value,
                "ran_s": round(now - run.ordered_at, 3),
            },
        )
        if end.kind is work.EndKind.FAILED:
            self.blame(known, now)
        self._book.again(run)
        task = state.find(end.task) if state is not None else None
        if state is None or state.is_over or task is None:
            return
        if end.kind is work.EndKind.FAILED:
            task.failures += 1
            if task.failures >= state.job.attempts:
                self._finish(state, work.Outcome.FAILED, now, "attempts")

    def _found_end(self, end: work.RunEnd, now: float) -> None:
        """Take note of the end of a run that another holder ordered."""
        if end.kind is not work.EndKind.DONE:
            return
        self._book.found_done(end.task, now)
        state = self._book.jobs.get(end.task.job)
        if state is not None and state.is_settling:
            self._task_done(state, end.task, now)

    def blame(
        self, known: executors.Executor, now: float, *, weight: int = 1
    ) -> None:
        """Count against an executor; it may be left out for a while."""
        verdict = self._health[known.id].failed(weight=weight)
        if verdict.pause_s:
            until = now + verdict.pause_s
            known.unusable_until = max(known.unusable_until, until)
            _LOG.info(
                "engine: an executor is left out",
                extra={"executor": known.id, "pause_s": verdict.pause_s},
            )

    def adopt(self, state: jobstate.JobState, now: float) -> None:
        """Take over what other holders began of a job."""
        for known in self._executors.values():
            for run in list(known.runs.values()):
                if run.task.job == state.job.id and run.is_orphan:
                    self._adopt_run(state, known, run)
        for task in self._book.done_before(state.job.id):
            self._task_done(state, task, now)

    def _adopt_run(
        self,
        state: jobstate.JobState,
        known: executors.Executor,
        run: executors.Run,
    ) -> None:
        task = state.find(run.task)
        if task is None or task.executor is not None or task.is_done:
            return
        known.drop(run.task)
        run.is_orphan = False
        run.room = state.job.steps[run.task.step].room
        known.add(run)
        state.unsettled += 1
        state.is_started = True
        task.executor = known.id
        task.next_run = run.number + 1
        if task in state.pending:
            state.pending.remove(task)

    def stop_orphans(self, known: executors.Executor, now: float) -> None:
        """Stop runs that nobody has asked for in time."""
        for run in list(known.runs.values()):
            is_due = (
                run.is_orphan and now - run.ordered_at >= settling.ORPHAN_S
            )
            if is_due and run.state is not executors.RunState.STOPPING:
                self._leases.stop(known, run, now)

    def _task_done(
        self, state: jobstate.JobState, task: work.TaskId, now: float
    ) -> None:
        if self._book.task_done(state, task):
            self._finish(state, work.Outcome.COMPLETED, now, "")
