"""Completes a new leader's reports by those of the other control hosts.

The former leader has used executors only once a quorum had their reports. A
new one that was cut off before may lack some; a quorum of voters, itself
included, knows all of them.
"""

import math
import typing

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel.workers import work

# A question that isn't answered is repeated.
REPEAT_S = 1.0


class ReportQuorum:
    """Tracks which control hosts a leader has the reports of.

    :param me: this host
    """

    def __init__(self, *, me: ids.InstanceId) -> None:
        self._me = me
        self._term = 0
        self._known: set[ids.InstanceId] = set()
        self._is_complete = False
        self._asked_at = -math.inf

    def begin(self, term: int) -> None:
        """Begin to ask, as the leader of a term."""
        self._term = term
        self._known = {self._me}
        self._is_complete = False
        self._asked_at = -math.inf

    def query(
        self, reports: typing.Iterable[work.ExecutorReport], now: float
    ) -> messages.ExecutorNews | None:
        """Return the message to send to the other voters now, if any.

        :param reports: those that this host has
        """
        if now - self._asked_at < REPEAT_S:
            return None
        self._asked_at = now
        known = tuple(report.key for report in reports)
        query = messages.ReportQuery(self._term, known)
        return messages.ExecutorNews((), query=query)

    def record(
        self, sender: ids.InstanceId, answer: messages.ReportAnswer
    ) -> None:
        """Record an answer, unless it is that of an earlier term."""
        if answer.term == self._term and answer.is_complete:
            self._known.add(sender)

    def is_complete(self, voters: typing.Iterable[ids.InstanceId]) -> bool:
        """Return whether this host has had all reports of a quorum.

        Later ones have reached it as the leader.
        """
        names = set(voters)
        self._is_complete |= 2 * len(self._known & names) > len(names)
        return self._is_complete


def answer(
    query: messages.ReportQuery,
    reports: typing.Iterable[tuple[float, work.ExecutorReport]],
    now: float,
    *,
    is_complete: bool,
) -> messages.ReportAnswer:
    """Return the reports that are newer than those of the sender.

    :param reports: each with when its executor was last heard of, seconds
    :param is_complete: whether they are those of all executors
    """
    known = {key.id: key for key in query.known}
    newer = [
        (at, report)
        for at, report in reports
        if report.id not in known or report.key > known[report.id]
    ]
    return messages.ReportAnswer(
        query.term,
        tuple(report for _, report in newer),
        tuple(int((now - at) * 1000) for at, _ in newer),
        is_complete,
    )
