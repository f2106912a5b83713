"""Run the slot allocator and the slot client of an entry instance."""

import random
import typing

from chervilwheel import addresses
from chervilwheel import directory
from chervilwheel import ids
from chervilwheel import membership
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel import slotclient
from chervilwheel import slots
from chervilwheel import timers

# Announcements are batched for this long before they are sent.
ANNOUNCE_INTERVAL_S = 0.1
# An unchanged endpoint is announced in full at this interval and with short
# renewals in between.
FULL_ANNOUNCE_INTERVAL_S = 5.0
# Interval between load broadcasts of a zone's owner.
LOAD_INTERVAL_S = 0.25
# Interval at which expired endpoints are removed and reports are checked.
REFRESH_INTERVAL_S = 0.25
# A new owner grants nothing until all instances of its zone have sent full
# reports, or this timeout has passed.
TAKEOVER_TIMEOUT_S = 0.5
# Zone loads older than this are ignored.
LOAD_MAX_AGE_S = 3.0


class _ReceivedLoad(typing.NamedTuple):
    load: messages.ZoneLoad
    received_at: float


class ZoneSlots:
    """Request slots from zone owners, and allocate them as an owner.

    Every entry instance is a slot client of all zones. It also allocates
    the slots of its own zone while :meth:`owner_of` selects it.

    :param me: the name of this instance
    :param zone: the zone of this instance
    :param boot: unique identifier of this process start
    :param zones: all availability zones
    :param view: the membership view
    :param known: the endpoint directory
    :param links: connections to the other instances
    :param heap: the timer heap
    :param policies: looks up a team's policy
    """

    def __init__(
        self,
        *,
        me: ids.InstanceId,
        zone: ids.ZoneId,
        boot: str,
        zones: typing.Sequence[ids.ZoneId],
        view: membership.Membership,
        known: directory.Directory,
        links: peers.Peers,
        heap: timers.TimerHeap,
        policies: slots.Policies,
    ) -> None:
        self._me = me
        self._zone = zone
        self._zones = tuple(zones)
        self._membership = view
        self._directory = known
        self._links = links
        self._timers = heap
        self._clock = heap.clock
        self._policies = policies
        self.allocator: slots.SlotAllocator | None = None
        self._became_owner_at = 0.0
        self._loads: dict[ids.ZoneId, _ReceivedLoad] = {}
        self._unsent: dict[ids.EndpointId, directory.Endpoint] = {}
        self._sent_in_full: dict[
            ids.EndpointId, tuple[directory.Endpoint, float]
        ] = {}
        self._is_report_scheduled = False
        self._is_allocate_scheduled = False
        self._members: set[ids.InstanceId] = set()
        self.client = slotclient.SlotClient(
            zone=zone,
            boot=boot,
            owners=self.owner_of,
            offers=self.offers,
            clk=self._clock,
            wake=self._schedule_reports,
        )
        links.handle(messages.SlotReport, self._on_report)
        links.handle(messages.SlotGrants, self._on_grants)
        links.handle(messages.ZoneLoad, self._on_load)
        links.handle(messages.EndpointNews, self._on_announcements)
        links.on_link_lost(self.client.reset_sessions)
        heap.call_every(ANNOUNCE_INTERVAL_S, self._send_announcements)
        heap.call_every(LOAD_INTERVAL_S, self._send_load)
        heap.call_every(REFRESH_INTERVAL_S, self._refresh)

    def owner_of(self, zone: ids.ZoneId) -> ids.InstanceId | None:
        """Return the owner of a zone's slots, None without live entries.

        Instances with the same membership view select the same owner, by
        rendezvous hashing over the live entries that are not draining.
        """
        names = [
            info.name
            for info in self._membership.live(zone=zone)
            if info.is_entry and not info.is_draining
        ]
        if not names:
            return None
        return ids.rendezvous(f"slots:{zone}", names)

    def offers(self, service: ids.ServiceId) -> dict[ids.ZoneId, int]:
        """Return the free slots of each zone that offers a service."""
        now = self._clock.now()
        offers = {}
        for zone, received in self._loads.items():
            if now - received.received_at > LOAD_MAX_AGE_S:
                continue
            for each in received.load.services:
                if each.service == service and each.slots:
                    offers[zone] = each.free
        if self._zone not in offers and self._directory.live_for_service(
            service, now=now, zone=self._zone
        ):
            offers[self._zone] = 0
        return offers

    def loads(self) -> list[messages.ZoneLoad]:
        """Return the zone loads that are not older than the maximum age."""
        now = self._clock.now()
        return [
            received.load
            for received in self._loads.values()
            if now - received.received_at <= LOAD_MAX_AGE_S
        ]

    def on_announcement(self, endpoint: directory.Endpoint) -> None:
        """Queue an endpoint's announcement for the zone's other entries.

        A leaving endpoint is announced at once.
        """
        self._unsent[endpoint.endpoint] = endpoint
        self._update_endpoints()
        if endpoint.is_leaving:
            self._send_announcements()

    def on_members_changed(self) -> None:
        """Update ownership and the allocator after a membership change."""
        live = {info.name for info in self._membership.live()}
        removed = self._members - live
        if live - self._members:
            self._sent_in_full = {}
        self._members = live
        self._update_ownership()
        if self.allocator is not None:
            for name in removed:
                self.allocator.remove_client(name)
            self._schedule_allocate()
        self._schedule_reports()

    def _update_ownership(self) -> None:
        is_mine = self.owner_of(self._zone) == self._me
        if is_mine and self.allocator is None:
            self.allocator = slots.SlotAllocator(
                zone=self._zone,
                policies=self._policies,
                zone_count=len(self._zones),
                rng=random.Random(),
            )
            self._became_owner_at = self._clock.now()
            self._update_endpoints()
            self._timers.call_later(
                TAKEOVER_TIMEOUT_S, self._schedule_allocate
            )
        elif not is_mine:
            self.allocator = None

    def _update_endpoints(self) -> None:
        if self.allocator is None:
            return
        now = self._clock.now()
        live = [
            endpoint
            for endpoint in self._directory.live(now=now)
            if endpoint.zone == self._zone
        ]
        self.allocator.set_endpoints(live, now)
        self._schedule_allocate()

    def _schedule_allocate(self) -> None:
        if not self._is_allocate_scheduled:
            self._is_allocate_scheduled = True
            self._timers.call_later(0.0, self._allocate)

    def _allocate(self) -> None:
        self._is_allocate_scheduled = False
        now = self._clock.now()
        if self.allocator is None or not self._can_grant(self.allocator, now):
            return
        for name, grants in self.allocator.allocate(now).items():
            if name == self._me:
                self.client.on_grants(grants)
            else:
                self._links.send(name, grants)

    def _can_grant(self, allocator: slots.SlotAllocator, now: float) -> bool:
        """Whether all instances have reported their holds, or timed out."""
        if now - self._became_owner_at >= TAKEOVER_TIMEOUT_S:
            return True
        return all(
            allocator.has_full_report(info.name)
            for info in self._membership.live(zone=self._zone)
            if info.is_entry
        )

    def _on_report(
        self, link: peers.Link, report: messages.SlotReport
    ) -> None:
        self._handle_report(link.peer, report)

    def _handle_report(
        self, sender: ids.InstanceId, report: messages.SlotReport
    ) -> None:
        if self.allocator is None or report.zone != self._zone:
            return
        self.allocator.on_report(sender, report, self._clock.now())
        self._schedule_allocate()

    def _send_load(self) -> None:
        if self.allocator is None:
            return
        now = self._clock.now()
        load = self.allocator.load(now)
        self._loads[self._zone] = _ReceivedLoad(load, now)
        for info in self._membership.live():
            if info.is_entry and info.name != self._me:
                self._links.send(info.name, load)

    def _schedule_reports(self) -> None:
        if not self._is_report_scheduled:
            self._is_report_scheduled = True
            self._timers.call_later(0.0, self._send_reports)

    def _send_reports(self) -> None:
        self._is_report_scheduled = False
        for owner, report in self.client.take_reports():
            if owner == self._me:
                self._handle_report(self._me, report)
            else:
                self._links.send(owner, report)

    def _on_grants(self, _: peers.Link, grants: messages.SlotGrants) -> None:
        self.client.on_grants(grants)

    def _on_load(self, _: peers.Link, load: messages.ZoneLoad) -> None:
        self._loads[load.zone] = _ReceivedLoad(load, self._clock.now())

    def _refresh(self) -> None:
        self._directory.remove_expired(now=self._clock.now())
        self._update_endpoints()
        self._schedule_reports()

    def _send_announcements(self) -> None:
        if not self._unsent:
            return
        unsent, self._unsent = self._unsent, {}
        now = self._clock.now()
        full = []
        renewals = []
        for endpoint in unsent.values():
            if self._can_send_renewal(endpoint, now):
                renewals.append(
                    messages.Renewal(
                        endpoint.endpoint, endpoint.version, endpoint.busy
                    )
                )
            else:
                full.append(announcement(endpoint))
        message = messages.EndpointNews(tuple(full), tuple(renewals))
        for info in self._membership.live(zone=self._zone):
            if info.is_entry and info.name != self._me:
                self._links.send(info.name, message)

    def _can_send_renewal(
        self, endpoint: directory.Endpoint, now: float
    ) -> bool:
        """Return whether a renewal suffices, else record a full one as sent.

        Full announcements are repeated because peers ignore renewals of
        endpoints that they don't know.
        """
        unversioned = endpoint._replace(version=0, busy=0)
        sent, sent_at = self._sent_in_full.get(endpoint.endpoint, (None, 0.0))
        if sent == unversioned and now - sent_at < FULL_ANNOUNCE_INTERVAL_S:
            return True
        self._sent_in_full[endpoint.endpoint] = (unversioned, now)
        return False

    def _on_announcements(
        self, _: peers.Link, message: messages.EndpointNews
    ) -> None:
        now = self._clock.now()
        changed = False
        for each in message.announcements:
            endpoint = _to_endpoint(each)
            changed |= self._directory.merge(
                endpoint, age_s=each.age_s, now=now
            )
        for renewal in message.renewals:
            known = self._directory.get(renewal.endpoint)
            if known is not None:
                endpoint = known._replace(
                    version=renewal.version, busy=renewal.busy
                )
                changed |= self._directory.merge(endpoint, age_s=0.0, now=now)
        if changed:
            self._update_endpoints()


def announcement(endpoint: directory.Endpoint) -> messages.Announcement:
    """Convert an endpoint to the message that announces it."""
    fields = endpoint._asdict()
    address = fields.pop("address")
    return messages.Announcement(
        **fields, host=address.host, port=address.port, age_s=0.0
    )


def _to_endpoint(message: messages.Announcement) -> directory.Endpoint:
    fields = message._asdict()
    address = addresses.Address(fields.pop("host"), fields.pop("port"))
    fields.pop("age_s")
    return directory.Endpoint(**fields, address=address)
