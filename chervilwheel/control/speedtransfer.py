"""Passes the learned speeds of executors to hosts that may be holder next.

Losing a table costs the next holder some seconds of learning, so tables are
neither acknowledged nor stored.
"""

import math
import typing

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel.control import holding
from chervilwheel.workers import speeds
from chervilwheel.workers import work

SEND_INTERVAL_S = 1.0
# An unchanged table is sent again for hosts that have joined since, and as
# receivers drop old ones.
REFRESH_S = 20.0
MAX_AGE_S = 60.0
# Smaller changes of a speed are not worth a message to all hosts.
MIN_CHANGE = math.log(1.15)
MIN_WEIGHT_RATIO = 1.5
# The standby is the reachable entry host with the lowest name: it is one of
# so many in each zone, unless these are all lost.
STANDBY_CANDIDATES = 3


class SpeedTransfer:
    """Decides when a table is sent, and keeps the latest one received."""

    def __init__(self) -> None:
        self._sent: dict[work.ExecutorId, speeds.SpeedRow] = {}
        self._sent_at = -math.inf
        self._received: tuple[speeds.SpeedRow, ...] = ()
        self._received_at = -math.inf

    def receive(self, message: messages.ExecutorSpeeds, now: float) -> None:
        """Store the table of a holder in place of an earlier one."""
        self._received = message.rows[: speeds.MAX_ROWS]
        self._received_at = now

    def known(self, now: float) -> tuple[speeds.SpeedRow, ...]:
        """Return the latest table, empty if it is too old."""
        if now - self._received_at > MAX_AGE_S:
            self._received = ()
        return self._received

    def is_due(
        self, rows: typing.Sequence[speeds.SpeedRow], now: float
    ) -> bool:
        """Return whether to send a table now, and record that it is sent."""
        current = {row.id: row for row in rows}
        is_old = bool(rows) and now - self._sent_at >= REFRESH_S
        if not is_old and not _has_changed(self._sent, current):
            return False
        self._sent = current
        self._sent_at = now
        return True


def _has_changed(
    former: typing.Mapping[work.ExecutorId, speeds.SpeedRow],
    current: typing.Mapping[work.ExecutorId, speeds.SpeedRow],
) -> bool:
    return former.keys() != current.keys() or any(
        row.life != former[name].life
        or abs(math.log(row.speed / former[name].speed)) > MIN_CHANGE
        or row.weight >= MIN_WEIGHT_RATIO * former[name].weight
        for name, row in current.items()
    )


def standby_candidates(
    entries: typing.Mapping[ids.InstanceId, holding.EntryLink],
    zones: typing.Collection[ids.ZoneId],
) -> list[holding.EntryLink]:
    """Return the entry hosts of each zone that may become its standby."""
    candidates = []
    for zone in sorted(zones):
        names = sorted(n for n, each in entries.items() if each.zone == zone)
        candidates += [entries[n] for n in names[:STANDBY_CANDIDATES]]
    return candidates
