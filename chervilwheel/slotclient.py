"""Request slots from zone owners and hand grants to waiting tasks."""

import collections
import typing

from chervilwheel import addresses
from chervilwheel import clock
from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import slots
from chervilwheel import slotsource

# Tasks that got no slot for this long are requested from another zone too.
SPILLOVER_DELAY_S = 0.05
# After this long without a report, wants are reported again and holds in full.
REPORT_INTERVAL_S = 0.5

OwnerLookup = typing.Callable[[ids.ZoneId], ids.InstanceId | None]
OffersLookup = typing.Callable[[ids.ServiceId], dict[ids.ZoneId, int]]


class _Queue:
    """Interchangeable waiting tasks, in order of arrival.

    ``count`` leaves out cancelled tasks, which stay in ``waiting`` until
    they reach its head.
    """

    __slots__ = ("waiting", "count", "last_progress_at")

    def __init__(self) -> None:
        self.waiting: collections.deque[slotsource.WaitingTask] = (
            collections.deque()
        )
        self.count = 0
        self.last_progress_at = 0.0

    def head(self) -> slotsource.WaitingTask | None:
        """Return the first waiting task, removing those done before it."""
        while self.waiting and self.waiting[0].is_done:
            self.waiting.popleft()
        return self.waiting[0] if self.waiting else None


class _PendingRelease:
    """Slots released since the last report, by result."""

    __slots__ = ("count", "good", "bad", "slow")

    def __init__(self) -> None:
        self.count = self.good = self.bad = self.slow = 0


class _OwnerSession:
    """The state of the message exchange with the owner of a zone.

    ``reported_wants`` are the last reported wants less the grants
    received since, which is what the owner has on record.
    """

    def __init__(self, *, owner: ids.InstanceId, epoch: str) -> None:
        self.owner = owner
        self.epoch = epoch
        self.sequence = 0
        self.seen_grant = 0
        self.needs_full = True
        self.sent_at = float("-inf")
        self.pending_releases: dict[slots.HoldKey, _PendingRelease] = {}
        self.reported_wants: collections.Counter[slots.QueueKey] = (
            collections.Counter()
        )

    def is_due(
        self, wants: typing.Sequence[messages.Want], now: float
    ) -> bool:
        """Whether the owner needs new data or a refresh is due."""
        if self.needs_full or self.pending_releases:
            return True
        counts = {slots.QueueKey(*want[:4]): want.count for want in wants}
        reported_wants = {
            key: n for key, n in self.reported_wants.items() if n > 0
        }
        if counts != reported_wants:
            return True
        return bool(wants) and now - self.sent_at >= REPORT_INTERVAL_S


class OutgoingReport(typing.NamedTuple):
    """A report and the owner to send it to."""

    owner: ids.InstanceId
    message: messages.SlotReport


class SlotClient(slotsource.SlotSource):
    """Queue tasks and request slots from the zones' owners.

    :param zone: the zone of this instance
    :param boot: unique identifier of this process start
    :param owners: returns the current owner of a zone's slots
    :param offers: returns the free slots of each zone with a service
    :param clk: the clock
    :param wake: called when there is something to report
    """

    def __init__(
        self,
        *,
        zone: ids.ZoneId,
        boot: str,
        owners: OwnerLookup,
        offers: OffersLookup,
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
        self._sessions: dict[ids.ZoneId, _OwnerSession] = {}
        self._holds: dict[ids.ZoneId, collections.Counter[slots.HoldKey]] = {}
        self._session_count = 0
        self.unused = 0

    @property
    def waiting(self) -> int:
        """The number of tasks that wait for a slot."""
        return sum(queue.count for queue in self._queues.values())

    def add(self, waiting: slotsource.WaitingTask) -> None:
        """Queue a task."""
        key = _queue_key(waiting)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = _Queue()
        if not queue.count:
            queue.last_progress_at = self._clock.now()
        queue.waiting.append(waiting)
        queue.count += 1
        self._wake()

    def cancel(self, waiting: slotsource.WaitingTask) -> None:
        """Remove a task that no longer needs a slot."""
        if waiting.is_done:
            return
        waiting.is_done = True
        queue = self._queues.get(_queue_key(waiting))
        if queue is not None:
            queue.count -= 1
            self._wake()

    def release(
        self, grant: slotsource.Grant, result: slotsource.GrantResult
    ) -> None:
        """Release a slot to its zone's owner in the next report."""
        hold_key = _hold_key(grant)
        holds = self._holds.get(grant.zone)
        if holds is not None and holds[hold_key]:
            holds[hold_key] -= 1
            if not holds[hold_key]:
                del holds[hold_key]
        pending_release = self._pending_release(grant.zone, hold_key)
        if pending_release is None:
            return
        pending_release.count += 1
        if result is slotsource.GrantResult.GOOD:
            pending_release.good += 1
        elif result is slotsource.GrantResult.BAD:
            pending_release.bad += 1
        elif result is slotsource.GrantResult.UNUSED:
            self.unused += 1

    def mark_slow(self, grant: slotsource.Grant) -> None:
        """Report that a task runs much longer than comparable ones."""
        pending_release = self._pending_release(grant.zone, _hold_key(grant))
        if pending_release is not None:
            pending_release.slow += 1

    def free_hint(self, need: slotsource.Need) -> int:
        """Return the free slots that the zone's owner last reported."""
        return self._offers(need.service).get(self._zone, 0)

    def take_reports(self) -> list[OutgoingReport]:
        """Return the reports that are due, and count them as sent."""
        now = self._clock.now()
        self._update_sessions()
        wants = self._wants_by_zone(now)
        reports = []
        for zone, session in self._sessions.items():
            zone_wants = wants.get(zone, ())
            is_refresh_due = now - session.sent_at >= REPORT_INTERVAL_S
            if is_refresh_due and self._holds.get(zone):
                session.needs_full = True
            if session.is_due(zone_wants, now):
                report = self._report(zone, session, zone_wants, now)
                reports.append(OutgoingReport(session.owner, report))
        return reports

    def on_grants(self, grants: messages.SlotGrants) -> None:
        """Assign granted slots to waiting tasks.

        A gap in the message numbers means that grants were lost, so the
        next report is a full one.
        """
        session = self._sessions.get(grants.zone)
        if session is None or session.epoch != grants.epoch:
            return
        if grants.number <= session.seen_grant:
            return
        if grants.number != session.seen_grant + 1 or grants.needs_full:
            session.needs_full = True
        session.seen_grant = grants.number
        for grant in grants.grants:
            session.reported_wants[slots.QueueKey(*grant[:4])] -= grant.count
            self._assign(grants.zone, grant)
        self._wake()

    def _assign(self, zone: ids.ZoneId, granted: messages.SlotGrant) -> None:
        key = slots.QueueKey(*granted[:4])
        need = slotsource.Need(key.service, key.team, key.urgency)
        address = addresses.Address(granted.host, granted.port)
        grant = slotsource.Grant(granted.endpoint, address, zone, need)
        holds = self._holds.setdefault(zone, collections.Counter())
        holds[_hold_key(grant)] += granted.count
        for _ in range(granted.count):
            waiting = self._pop_waiting(key)
            if waiting is None:
                self.release(grant, slotsource.GrantResult.UNUSED)
            else:
                waiting.granted(grant)

    def _pop_waiting(
        self, key: slots.QueueKey
    ) -> slotsource.WaitingTask | None:
        queue = self._queues.get(key)
        waiting = queue.head() if queue else None
        if queue is None or waiting is None:
            self._queues.pop(key, None)
            return None
        queue.waiting.popleft()
        queue.count -= 1
        queue.last_progress_at = self._clock.now()
        waiting.is_done = True
        return waiting

    def _pending_release(
        self, zone: ids.ZoneId, hold_key: slots.HoldKey
    ) -> _PendingRelease | None:
        session = self._sessions.get(zone)
        if session is None:
            return None
        self._wake()
        pending_release = session.pending_releases.get(hold_key)
        if pending_release is None:
            pending_release = session.pending_releases[hold_key] = (
                _PendingRelease()
            )
        return pending_release

    def _update_sessions(self) -> None:
        zones = {self._zone, *self._holds}
        for key in self._queues:
            zones.update(self._offers(key.service))
        for zone in zones:
            owner = self._owners(zone)
            session = self._sessions.get(zone)
            if owner is None:
                self._sessions.pop(zone, None)
            elif session is None or session.owner != owner:
                self._session_count += 1
                epoch = f"{self._boot}.{self._session_count}"
                self._sessions[zone] = _OwnerSession(owner=owner, epoch=epoch)

    def reset_sessions(self, owner: ids.InstanceId) -> None:
        """Discard the sessions with an owner whose connection was lost.

        The next reports open new sessions and are full ones.
        """
        for zone, session in list(self._sessions.items()):
            if session.owner == owner:
                del self._sessions[zone]

    def _wants_by_zone(
        self, now: float
    ) -> dict[ids.ZoneId, list[messages.Want]]:
        wants: dict[ids.ZoneId, list[messages.Want]] = {}
        for key, queue in list(self._queues.items()):
            head = queue.head()
            if head is None:
                del self._queues[key]
                continue
            deadline_in_s = head.deadline_at - now
            for zone, count in self._split_by_zone(key, queue, now):
                wants.setdefault(zone, []).append(
                    messages.Want(*key, count, deadline_in_s)
                )
        return wants

    def _split_by_zone(
        self, key: slots.QueueKey, queue: _Queue, now: float
    ) -> list[tuple[ids.ZoneId, int]]:
        """Split a queue's wants among zones, this zone first.

        The other zone with most free slots is added when the queue got no
        slot for the spillover delay.
        """
        offers = self._offers(key.service)
        other_zones = {
            zone: free
            for zone, free in offers.items()
            if zone != self._zone and zone in self._sessions
        }
        if not other_zones:
            return [(self._zone, queue.count)]
        best = max(other_zones, key=lambda zone: (other_zones[zone], zone))
        if self._zone not in offers:
            return [(best, queue.count)]
        zone_counts = [(self._zone, queue.count)]
        if (
            now - queue.last_progress_at > SPILLOVER_DELAY_S
            and other_zones[best]
        ):
            zone_counts.append((best, min(queue.count, other_zones[best])))
        return zone_counts

    def _report(
        self,
        zone: ids.ZoneId,
        session: _OwnerSession,
        wants: typing.Sequence[messages.Want],
        now: float,
    ) -> messages.SlotReport:
        session.sequence += 1
        session.sent_at = now
        is_full = session.needs_full
        session.needs_full = False
        session.reported_wants = collections.Counter(
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
                0 if is_full else pending_release.count,
                pending_release.good,
                pending_release.bad,
                pending_release.slow,
            )
            for hold_key, pending_release in session.pending_releases.items()
        )
        session.pending_releases = {}
        return messages.SlotReport(
            zone=zone,
            epoch=session.epoch,
            sequence=session.sequence,
            seen_grant=session.seen_grant,
            is_full=is_full,
            wants=tuple(wants),
            holds=holds,
            releases=releases,
        )


def _queue_key(waiting: slotsource.WaitingTask) -> slots.QueueKey:
    avoid = waiting.avoid or ids.EndpointId("")
    return slots.QueueKey(*waiting.need, avoid)


def _hold_key(grant: slotsource.Grant) -> slots.HoldKey:
    return slots.HoldKey(grant.endpoint, grant.need.team, grant.need.urgency)
