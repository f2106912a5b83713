"""How long a standby holder may start tasks without news of evacuations."""

import math
import typing

from chervilwheel import ids
from chervilwheel import messages

# For orders on their way to executors, and for the time that a deposed leader
# goes on to send heartbeats.
SAFETY_S = 0.5
# Longer than the interval of heartbeats to hosts that aren't the holder.
WITNESS_TIMEOUT_S = 0.8
WITNESSES_PER_ZONE = 2
# Control hosts other than the holder answer a heartbeat every 0.6 s. A host
# that reaches none of them asks the holder.
RENEWAL_DUE_S = 1.0


def choose_witnesses(
    entries: typing.Iterable[messages.EntryPeer], zone: ids.ZoneId
) -> tuple[messages.EntryPeer, ...]:
    """Return some entry hosts of each zone other than the given one."""
    others: dict[ids.ZoneId, list[messages.EntryPeer]] = {}
    for entry in sorted(entries):
        if entry.zone and entry.zone != zone:
            others.setdefault(entry.zone, []).append(entry)
    return tuple(
        entry
        for each in others.values()
        for entry in each[:WITNESSES_PER_ZONE]
    )


class _Witness(typing.NamedTuple):
    """What an entry host has told last.

    :ivar at: time of this host's message that it answered, seconds
    :ivar reaches_quorum: whether it reaches a leader or a quorum
    """

    zone: ids.ZoneId
    at: float
    reaches_quorum: bool


class StartPermission:
    """Expires when an acknowledged order may have been missed.

    Times are those of this host's messages whose answers were received.
    Answers that queued up while this host was suspended don't extend it.

    :param zone: the zone of this host
    :param zones: all zones of the site
    :param evacuation_s: time after its acknowledgement by which an order has
        effect, seconds; 0 for a permission that doesn't expire
    """

    def __init__(
        self,
        *,
        zone: ids.ZoneId,
        zones: typing.Collection[str],
        evacuation_s: float,
    ) -> None:
        self._zone = zone
        self._zones = frozenset(zones)
        self._limit_s = max(0.0, evacuation_s - SAFETY_S)
        self._is_limited = evacuation_s > 0
        self._renewed_at = -math.inf
        self._quorum_seen_at = -math.inf
        self._witnesses: dict[ids.InstanceId, _Witness] = {}

    @property
    def is_limited(self) -> bool:
        """Whether the permission can expire."""
        return self._is_limited

    def renew(self, at: float, now: float) -> None:
        """Record that a control host with a quorum has told its table.

        :param at: time of this host's message that it answered, seconds
        """
        # A time ahead is that of this host before it was started again.
        if at <= now:
            self._renewed_at = max(self._renewed_at, at)

    def record_quorum(self, now: float) -> None:
        """Record that this host reaches a leader or a quorum."""
        self._quorum_seen_at = now

    def record_witness(
        self,
        host: ids.InstanceId,
        zone: ids.ZoneId,
        *,
        at: float,
        reaches_quorum: bool,
        now: float,
    ) -> None:
        """Process a heartbeat of an entry host.

        :param at: time of this host's message that it answered, seconds
        :param reaches_quorum: whether it reaches a leader or a quorum
        """
        if not self._is_limited or zone not in self._zones or at > now:
            return
        self._witnesses[host] = _Witness(zone, at, reaches_quorum)
        self._renew_by_witnesses(now)

    def may_start(self, now: float) -> bool:
        """Return whether tasks may be started."""
        if not self._is_limited:
            return True
        self._renew_by_witnesses(now)
        return now - self._renewed_at < self._limit_s

    def is_renewal_due(self, now: float) -> bool:
        """Return whether the usual answers of control hosts don't come."""
        return self._is_limited and now - self._renewed_at > RENEWAL_DUE_S

    def _renew_by_witnesses(self, now: float) -> None:
        """Renew it while hosts in most zones reach no quorum.

        Then no order can be acknowledged, and none was since the time of the
        oldest answer needed for the majority.
        """
        if now - self._quorum_seen_at < WITNESS_TIMEOUT_S:
            return
        told_at: dict[ids.ZoneId, float] = {self._zone: now}
        for host, witness in list(self._witnesses.items()):
            if now - witness.at >= WITNESS_TIMEOUT_S:
                del self._witnesses[host]
            elif witness.reaches_quorum:
                return
            else:
                zone = witness.zone
                told_at[zone] = max(told_at.get(zone, -math.inf), witness.at)
        needed = len(self._zones) // 2 + 1
        if len(told_at) >= needed:
            newest = sorted(told_at.values(), reverse=True)
            self.renew(newest[needed - 1], now)
