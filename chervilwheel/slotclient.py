"""An instance's side of slot sharing: wants out, grants in."""

import collections
import typing

from chervilwheel import addresses
from chervilwheel import clock
from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import slots
from chervilwheel import slotsource

SPILL_S = 0.05
REFRESH_S = 0.5

Owners = typing.Callable[[ids.ZoneId], ids.InstanceId | None]
Offers = typing.Callable[[ids.ServiceId], dict[ids.ZoneId, int]]


class _Queue:
    """Alike tasks that wait, in order of arrival."""

    __slots__ = ("waiting", "count", "since")

    def __init__(self) -> None:
        self.waiting: collections.deque[slotsource.Waiting] = (
            collections.deque()
        )
        self.count = 0
        self.since = 0.0

    def first(self) -> slotsource.Waiting | None:
        """Return the first that still waits, dropping those before it."""
        while self.waiting and self.waiting[0].is_done:
            self.waiting.popleft()
        return self.waiting[0] if self.waiting else None


class _Uses:
    """Slots given back since the last report."""

    __slots__ = ("count", "good", "bad", "slow")

    def __init__(self) -> None:
        self.count = self.good = self.bad = self.slow = 0


class _Relation:
    """What passes between this instance and the owner of a zone."""

    def __init__(self, *, owner: ids.InstanceId, epoch: str) -> None:
        self.owner = owner
        self.epoch = epoch
        self.sequence = 0
        self.seen_grant = 0
        self.needs_full = True
        self.sent_at = float("-inf")
        self.uses: dict[slots.HoldKey, _Uses] = {}
        self.believed: collections.Counter[slots.QueueKey] = (
            collections.Counter()
        )

    def is_due(
        self, wants: typing.Sequence[messages.Want], now: float
    ) -> bool:
        """Whether the owner's belief is wrong or a refresh is due."""
        if self.needs_full or self.uses:
            return True
        counts = {slots.QueueKey(*want[:4]): want.count for want in wants}
        believed = {key: n for key, n in self.believed.items() if n > 0}
        if counts != believed:
            return True
        return bool(wants) and now - self.sent_at >= REFRESH_S


class Report(typing.NamedTuple):
    """A report and whom it is for."""

    owner: ids.InstanceId
    message: messages.SlotReport


class SlotClient(slotsource.SlotSource):
    """Queue tasks and ask the zones' owners for slots.

    :param zone: the zone this instance stands in
    :param boot: names this run of the instance
    :param owners: tells who owns a zone's slots now
    :param offers: tells the zones that offer a service, with free slots
    :param clk: the clock
    :param wake: called when there is something to report
    """

    def __init__(
        self,
        *,
        zone: ids.ZoneId,
        boot: str,
        owners: Owners,
        offers: Offers,
        clk: clock.Clock,
        wake: typing.Callable[[], None],
    ) -> None:
        self._zone = zone
        self._boot = boot
        self._owners = owners
        self._offers = offers
        self._clock = clk
        self._wake = wake
        self._queues: dict[slots.QueueKey, _Queue] = {}
        self._relations: dict[ids.ZoneId, _Relation] = {}
        self._holds: dict[ids.ZoneId, collections.Counter[slots.HoldKey]] = {}
        self._epochs = 0
        self.unused = 0

    @property
    def waiting(self) -> int:
        """Tasks that wait for a slot here."""
        return sum(queue.count for queue in self._queues.values())

    def add(self, waiting: slotsource.Waiting) -> None:
        """Queue a task."""
        key = _queue_key(waiting)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = _Queue()
        if not queue.count:
            queue.since = self._clock.now()
        queue.waiting.append(waiting)
        queue.count += 1
        self._wake()

    def cancel(self, waiting: slotsource.Waiting) -> None:
        """Stop waiting."""
        if waiting.is_done:
            return
        waiting.is_done = True
        queue = self._queues.get(_queue_key(waiting))
        if queue is not None:
            queue.count -= 1
            self._wake()

    def release(self, grant: slotsource.Grant, use: slotsource.Use) -> None:
        """Give a slot back to its zone's owner."""
        hold_key = _hold_key(grant)
        holds = self._holds.get(grant.zone)
        if holds is not None and holds[hold_key]:
            holds[hold_key] -= 1
            if not holds[hold_key]:
                del holds[hold_key]
        uses = self._uses(grant.zone, hold_key)
        if uses is None:
            return
        uses.count += 1
        if use is slotsource.Use.GOOD:
            uses.good += 1
        elif use is slotsource.Use.BAD:
            uses.bad += 1
        elif use is slotsource.Use.UNUSED:
            self.unused += 1

    def mark_slow(self, grant: slotsource.Grant) -> None:
        """Tell the owner that a task takes much longer than its like."""
        uses = self._uses(grant.zone, _hold_key(grant))
        if uses is not None:
            uses.slow += 1

    def free_hint(self, need: slotsource.Need) -> int:
        """Return what the zone's owner last said of free slots."""
        return self._offers(need.service).get(self._zone, 0)

    def take_reports(self) -> list[Report]:
        """Write the reports that are due."""
        now = self._clock.now()
        self._update_relations()
        wants = self._wants_by_zone(now)
        reports = []
        for zone, relation in self._relations.items():
            mine = wants.get(zone, ())
            is_quiet = now - relation.sent_at >= REFRESH_S
            if is_quiet and self._holds.get(zone):
                relation.needs_full = True
            if relation.is_due(mine, now):
                report = self._report(zone, relation, mine, now)
                reports.append(Report(relation.owner, report))
        return reports

    def on_grants(self, grants: messages.SlotGrants) -> None:
        """Hand granted slots to waiting tasks."""
        relation = self._relations.get(grants.zone)
        if relation is None or relation.epoch != grants.epoch:
            return
        if grants.number <= relation.seen_grant:
            return
        if grants.number != relation.seen_grant + 1 or grants.needs_full:
            relation.needs_full = True
        relation.seen_grant = grants.number
        for grant in grants.grants:
            relation.believed[slots.QueueKey(*grant[:4])] -= grant.count
            self._hand_out(grants.zone, grant)
        self._wake()

    def _hand_out(self, zone: ids.ZoneId, granted: messages.SlotGrant) -> None:
        key = slots.QueueKey(*granted[:4])
        need = slotsource.Need(key.service, key.team, key.urgency)
        address = addresses.Address(granted.host, granted.port)
        grant = slotsource.Grant(granted.endpoint, address, zone, need)
        holds = self._holds.setdefault(zone, collections.Counter())
        holds[_hold_key(grant)] += granted.count
        for _ in range(granted.count):
            waiting = self._pop(key)
            if waiting is None:
                self.release(grant, slotsource.Use.UNUSED)
            else:
                waiting.granted(grant)

    def _pop(self, key: slots.QueueKey) -> slotsource.Waiting | None:
        queue = self._queues.get(key)
        waiting = queue.first() if queue else None
        if queue is None or waiting is None:
            self._queues.pop(key, None)
            return None
        queue.waiting.popleft()
        queue.count -= 1
        queue.since = self._clock.now()
        waiting.is_done = True
        return waiting

    def _uses(self, zone: ids.ZoneId, hold_key: slots.HoldKey) -> _Uses | None:
        relation = self._relations.get(zone)
        if relation is None:
            return None
        self._wake()
        uses = relation.uses.get(hold_key)
        if uses is None:
            uses = relation.uses[hold_key] = _Uses()
        return uses

    def _update_relations(self) -> None:
        zones = {self._zone, *self._holds}
        for key in self._queues:
            zones.update(self._offers(key.service))
        for zone in zones:
            owner = self._owners(zone)
            relation = self._relations.get(zone)
            if owner is None:
                self._relations.pop(zone, None)
            elif relation is None or relation.owner != owner:
                self._epochs += 1
                epoch = f"{self._boot}.{self._epochs}"
                self._relations[zone] = _Relation(owner=owner, epoch=epoch)

    def renew(self, owner: ids.InstanceId) -> None:
        """Begin anew with an owner whose link was lost."""
        for zone, relation in list(self._relations.items()):
            if relation.owner == owner:
                del self._relations[zone]

    def _wants_by_zone(
        self, now: float
    ) -> dict[ids.ZoneId, list[messages.Want]]:
        wants: dict[ids.ZoneId, list[messages.Want]] = {}
        for key, queue in list(self._queues.items()):
            first = queue.first()
            if first is None:
                del self._queues[key]
                continue
            deadline_in_s = first.deadline_at - now
            for zone, count in self._spread(key, queue, now):
                wants.setdefault(zone, []).append(
                    messages.Want(*key, count, deadline_in_s)
                )
        return wants

    def _spread(
        self, key: slots.QueueKey, queue: _Queue, now: float
    ) -> list[tuple[ids.ZoneId, int]]:
        """Ask at home first, elsewhere when home is short of slots."""
        offers = self._offers(key.service)
        others = {
            zone: free
            for zone, free in offers.items()
            if zone != self._zone and zone in self._relations
        }
        if not others:
            return [(self._zone, queue.count)]
        best = max(others, key=lambda zone: (others[zone], zone))
        if self._zone not in offers:
            return [(best, queue.count)]
        spread = [(self._zone, queue.count)]
        if now - queue.since > SPILL_S and others[best]:
            spread.append((best, min(queue.count, others[best])))
        return spread

    def _report(
        self,
        zone: ids.ZoneId,
        relation: _Relation,
        wants: typing.Sequence[messages.Want],
        now: float,
    ) -> messages.SlotReport:
        relation.sequence += 1
        relation.sent_at = now
        is_full = relation.needs_full
        relation.needs_full = False
        relation.believed = collections.Counter(
            {slots.QueueKey(*want[:4]): want.count for want in wants}
        )
        holds: tuple[messages.Hold, ...] = ()
        if is_full:
            counts = self._holds.get(zone, {})
            holds = tuple(
                messages.Hold(*hold_key, count)
                for hold_key, count in counts.items()
                if count
            )
        releases = tuple(
            messages.Release(
                *hold_key,
                0 if is_full else uses.count,
                uses.good,
                uses.bad,
                uses.slow,
            )
            for hold_key, uses in relation.uses.items()
        )
        relation.uses = {}
        return messages.SlotReport(
            zone=zone,
            epoch=relation.epoch,
            sequence=relation.sequence,
            seen_grant=relation.seen_grant,
            is_full=is_full,
            wants=tuple(wants),
            holds=holds,
            releases=releases,
        )


def _queue_key(waiting: slotsource.Waiting) -> slots.QueueKey:
    avoid = waiting.avoid or ids.EndpointId("")
    return slots.QueueKey(*waiting.need, avoid)


def _hold_key(grant: slotsource.Grant) -> slots.HoldKey:
    return slots.HoldKey(grant.endpoint, grant.need.team, grant.need.urgency)
