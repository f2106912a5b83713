"""Passes on which executors a standby has used, for the next holder.

The next holder waits for the run lists of the executors that it knows. A
standby may have used others: ones that are new, or that the control hosts
beyond a cut have forgotten.
"""

import math
import typing

from chervilwheel import messages
from chervilwheel.workers import work

# Jobs are handed on for 2 s without a holder, and again if the next holder is
# lost before it has released them.
KEEP_S = 5.0


class UsedExecutors:
    """Keeps the reports of the executors that this host has used."""

    def __init__(self) -> None:
        self._reports: dict[
            work.ExecutorId, tuple[float, work.ExecutorReport]
        ] = {}
        self._ended_at = -math.inf

    def ended(
        self,
        reports: typing.Iterable[tuple[float, work.ExecutorReport]],
        now: float,
    ) -> None:
        """Store those that this host has used as the holder, which it was.

        :param reports: each with when its executor was last heard of, seconds
        """
        if now - self._ended_at >= KEEP_S:
            self._reports.clear()
        self._reports.update((row[1].id, row) for row in reports)
        self._ended_at = now

    def news(self, now: float) -> messages.UsedExecutors | None:
        """Return the message for the next holder, None without a need."""
        if now - self._ended_at >= KEEP_S:
            return None
        rows = list(self._reports.values())
        return messages.UsedExecutors(
            tuple(report for _, report in rows),
            tuple(int((now - at) * 1000) for at, _ in rows),
        )


def read(
    message: messages.UsedExecutors | messages.ReportAnswer, now: float
) -> list[tuple[float, work.ExecutorReport]]:
    """Return the reports of a message with the same times, seconds."""
    return [
        (now - age_ms / 1000, report)
        for age_ms, report in zip(
            message.ages_ms, message.reports, strict=True
        )
    ]
