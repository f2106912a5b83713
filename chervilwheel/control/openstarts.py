"""Keeps the start orders of holders that executors may still carry out.

The next holder of their jobs learns of them from the entry host.
"""

import itertools
import typing

from chervilwheel import ids
from chervilwheel.workers import latestarts
from chervilwheel.workers import work


class _JobStarts(typing.NamedTuple):
    """The open starts of one job.

    :ivar reported_at: when the last one was reported, seconds
    :ivar ordered_at: when each was ordered, seconds
    """

    reported_at: float
    ordered_at: dict[work.OpenStart, float]


class OpenStarts:
    """The open starts of all jobs of an entry host.

    They outlast the job's answer, unless that is final: its caller may send
    it again.
    """

    def __init__(self) -> None:
        # In the order of the last reports.
        self._jobs: dict[ids.JobId, _JobStarts] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def record(self, report: work.StartReport, now: float) -> None:
        """Process the report of a holder."""
        self._purge(now)
        known = self._jobs.pop(report.job, None)
        ordered_at = {} if known is None else known.ordered_at
        for start in report.opened:
            at = now - start.age_ms / 1000
            ordered_at.setdefault(start._replace(age_ms=0), at)
        for start in report.settled:
            ordered_at.pop(start._replace(age_ms=0), None)
        if ordered_at:
            self._jobs[report.job] = _JobStarts(now, ordered_at)

    def of_job(self, job: ids.JobId, now: float) -> tuple[work.OpenStart, ...]:
        """List the starts of a job that may still be carried out."""
        known = self._jobs.get(job)
        if known is None:
            return ()
        return tuple(
            start._replace(age_ms=int((now - at) * 1000))
            for start, at in known.ordered_at.items()
            if now - at < latestarts.MAX_ORDER_DELAY_S
        )

    def forget(self, job: ids.JobId) -> None:
        """Forget the starts of a job that doesn't run again."""
        self._jobs.pop(job, None)

    def _purge(self, now: float) -> None:
        oldest = now - latestarts.MAX_ORDER_DELAY_S
        expired = itertools.takewhile(
            lambda job: self._jobs[job].reported_at < oldest, self._jobs
        )
        for job in list(expired):
            del self._jobs[job]
