"""Passes on which executors a leader has given up, for the next leader.

The next leader waits for the run lists of all executors that the former one
may have used. Without these messages it also waits for crashed executors, as
it can't tell them from ones whose reports don't arrive.
"""

import math
import typing

from chervilwheel import messages
from chervilwheel.workers import work

# After a power loss the list is long and changes with each executor. Unchanged
# ones are sent again, for hosts that have joined since.
SEND_INTERVAL_S = 1.0


class UnusedExecutors:
    """Decides when they are sent, and keeps the latest ones received."""

    def __init__(self) -> None:
        self._term = 0
        self._keys: dict[work.ExecutorId, work.ReportKey] = {}
        self._sent_at = -math.inf

    def receive(self, message: messages.ExecutorNews) -> None:
        """Store those of a leader in place of earlier ones."""
        if message.unused_term >= max(self._term, 1):
            self._store(message.unused_term, message.unused)

    def news(
        self, unused: typing.Sequence[work.ReportKey], term: int, now: float
    ) -> messages.ExecutorNews | None:
        """Return the message to send to the other control hosts now, if any.

        :param unused: the executors that this host, as the leader, has given
            up
        """
        current = {key.id: key for key in unused}
        is_new_term = term != self._term
        is_due = now - self._sent_at >= SEND_INTERVAL_S
        has_content = bool(current) or current != self._keys
        if not is_new_term and not (is_due and has_content):
            return None
        self._store(term, unused)
        self._sent_at = now
        return messages.ExecutorNews((), tuple(unused), term)

    def covers(self, report: work.ExecutorReport, former_term: int) -> bool:
        """Return whether a leader has given up the sender of a report.

        :param former_term: the term of that leader. Those of an earlier one
            don't count: a leader since may have used the executor again.
        """
        return self._term == former_term and self.is_listed(report)

    def is_listed(self, report: work.ExecutorReport) -> bool:
        """Return whether the last leader heard of has given its sender up."""
        key = self._keys.get(report.id)
        return key is not None and report.key <= key

    def _store(
        self, term: int, unused: typing.Iterable[work.ReportKey]
    ) -> None:
        self._term = term
        self._keys = {key.id: key for key in unused}
