"""Reports which start orders executors may still carry out.

Entry hosts keep them for the next holder of their jobs, which would know
nothing of orders that had no answer when this holder ended.
"""

import typing

from chervilwheel import ids
from chervilwheel.workers import executors
from chervilwheel.workers import jobtable
from chervilwheel.workers import latestarts
from chervilwheel.workers import work

# Most starts are answered within this time; their tasks' answers are reported
# together.
SETTLE_INTERVAL_S = 0.05


class StartReports:
    """Reports each start order before it is sent and once it is settled.

    An order is settled once its run is known to have begun or never to begin.
    Those to executors whose ids are used once aren't reported: only a later
    incarnation carries an order out beside another run of its task.

    :param executors_by_id: all executors, by id
    :param job_table: all jobs of this holder
    :param late_starts: starts that were given up
    :param actions: list that the reports and the orders are appended to
    """

    def __init__(
        self,
        *,
        executors_by_id: typing.Mapping[work.ExecutorId, executors.Executor],
        job_table: jobtable.JobTable,
        late_starts: latestarts.LateStarts,
        actions: list[work.Action],
    ) -> None:
        self._executors = executors_by_id
        self._job_table = job_table
        self._late_starts = late_starts
        self._actions = actions
        # When each was ordered, by job, seconds.
        self._open: dict[ids.JobId, dict[work.OpenStart, float]] = {}
        self._unreported: list[work.OpenStart] = []
        self._settled_at = 0.0

    def ordered(
        self, executor: executors.Executor, run: executors.Run
    ) -> None:
        """Record a start order, to be reported by :meth:`report`."""
        if not executor.born_ms:
            return
        start = work.OpenStart(
            run.task.step, run.task.index, executor.id, run.number
        )
        self._open.setdefault(run.task.job, {})[start] = run.ordered_at
        self._unreported.append(start)

    def report(self, job: ids.JobId, position: int) -> None:
        """Report the orders of a job that were recorded since the last call.

        :param position: where in the list of actions the orders begin, which
            the report must precede
        """
        if self._unreported:
            report = work.StartReport(job, opened=tuple(self._unreported))
            self._actions.insert(position, report)
            self._unreported.clear()

    def offered(
        self,
        job: ids.JobId,
        starts: typing.Iterable[work.OpenStart],
        now: float,
    ) -> None:
        """Track the starts that a job had under earlier holders.

        What this holder has ordered is reported to the entry host, which may
        be another one.

        :param starts: those that its entry host knows of
        """
        rows = self._open.setdefault(job, {})
        opened = tuple(
            start._replace(age_ms=int((now - ordered_at) * 1000))
            for start, ordered_at in rows.items()
        )
        if opened:
            self._actions.append(work.StartReport(job, opened=opened))
        for start in starts:
            ordered_at = now - start.age_ms / 1000
            rows.setdefault(start._replace(age_ms=0), ordered_at)
        if not rows:
            del self._open[job]

    def report_settled(self, now: float) -> None:
        """Report the orders that were settled since the last report."""
        if now - self._settled_at < SETTLE_INTERVAL_S:
            return
        self._settled_at = now
        for job, rows in list(self._open.items()):
            settled = [s for s in rows if not self._is_open(job, s)]
            for start in settled:
                del rows[start]
            if not rows:
                del self._open[job]
            state = self._job_table.jobs.get(job)
            # With the final answer the entry host forgets all of them.
            if settled and state is not None and not state.has_final_answer:
                self._actions.append(
                    work.StartReport(job, settled=tuple(settled))
                )

    def _is_open(self, job: ids.JobId, start: work.OpenStart) -> bool:
        task = work.TaskId(job, start.step, start.index)
        executor = self._executors.get(start.executor)
        run = executor.runs.get(task) if executor is not None else None
        if run is not None and run.number == start.run:
            return not run.confirmed_at
        return self._late_starts.includes(task, start.executor, start.run)
