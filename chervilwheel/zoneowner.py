"""Connect slot books, slot clients and the endpoint directory."""

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

NEWS_S = 0.1
WHOLE_NEWS_S = 5.0
LOAD_S = 0.25
SWEEP_S = 0.25
SETTLE_S = 0.5
LOAD_FRESH_S = 3.0


class _HeardLoad(typing.NamedTuple):
    load: messages.ZoneLoad
    at: float


class ZoneSlots:
    """One entry instance's part in sharing slots.

    It is a client of every zone's owner, and the owner of its own zone
    when the members say so.

    :param me: this instance
    :param zone: its zone
    :param boot: names this run of it
    :param zones: every availability zone
    :param view: the membership view
    :param known: the endpoint directory
    :param links: links to the other instances
    :param heap: timers
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
        self._view = view
        self._known = known
        self._links = links
        self._heap = heap
        self._clock = heap.clock
        self._policies = policies
        self.book: slots.SlotBook | None = None
        self._owned_since = 0.0
        self._loads: dict[ids.ZoneId, _HeardLoad] = {}
        self._news: dict[ids.EndpointId, directory.Endpoint] = {}
        self._sent_whole: dict[
            ids.EndpointId, tuple[directory.Endpoint, float]
        ] = {}
        self._is_flush_due = False
        self._is_allocate_due = False
        self._members: set[ids.InstanceId] = set()
        self.client = slotclient.SlotClient(
            zone=zone,
            boot=boot,
            owners=self.owner_of,
            offers=self.offers,
            clk=self._clock,
            wake=self._flush_soon,
        )
        links.handle(messages.SlotReport, self._on_report)
        links.handle(messages.SlotGrants, self._on_grants)
        links.handle(messages.ZoneLoad, self._on_load)
        links.handle(messages.EndpointNews, self._on_news)
        links.on_lost(self.client.renew)
        heap.every(NEWS_S, self._send_news)
        heap.every(LOAD_S, self._send_load)
        heap.every(SWEEP_S, self._sweep)

    def owner_of(self, zone: ids.ZoneId) -> ids.InstanceId | None:
        """Tell who shares out a zone's slots: one live entry of it."""
        names = [
            info.name
            for info in self._view.live(zone=zone)
            if info.is_entry and not info.is_draining
        ]
        if not names:
            return None
        return ids.rendezvous(f"slots:{zone}", names)

    def offers(self, service: ids.ServiceId) -> dict[ids.ZoneId, int]:
        """List the zones that offer a service, with their free slots."""
        now = self._clock.now()
        offers = {}
        for zone, heard in self._loads.items():
            if now - heard.at > LOAD_FRESH_S:
                continue
            for each in heard.load.services:
                if each.service == service and each.slots:
                    offers[zone] = each.free
        if self._zone not in offers and self._known.offering(
            service, now=now, zone=self._zone
        ):
            offers[self._zone] = 0
        return offers

    def loads(self) -> list[messages.ZoneLoad]:
        """List what the zones' owners said lately."""
        now = self._clock.now()
        return [
            heard.load
            for heard in self._loads.values()
            if now - heard.at <= LOAD_FRESH_S
        ]

    def announced(self, endpoint: directory.Endpoint) -> None:
        """Pass on an announcement that was made here."""
        self._news[endpoint.endpoint] = endpoint
        self._refresh_book()
        if endpoint.is_leaving:
            self._send_news()

    def members_changed(self) -> None:
        """Take in that the membership view changed."""
        live = {info.name for info in self._view.live()}
        gone = self._members - live
        if live - self._members:
            self._sent_whole = {}
        self._members = live
        self._update_ownership()
        if self.book is not None:
            for name in gone:
                self.book.drop(name)
            self._allocate_soon()
        self._flush_soon()

    def _update_ownership(self) -> None:
        is_mine = self.owner_of(self._zone) == self._me
        if is_mine and self.book is None:
            self.book = slots.SlotBook(
                zone=self._zone,
                policies=self._policies,
                zone_count=len(self._zones),
                rng=random.Random(),
            )
            self._owned_since = self._clock.now()
            self._refresh_book()
            self._heap.call_later(SETTLE_S, self._allocate_soon)
        elif not is_mine:
            self.book = None

    def _refresh_book(self) -> None:
        if self.book is None:
            return
        now = self._clock.now()
        live = [
            endpoint
            for endpoint in self._known.live(now=now)
            if endpoint.zone == self._zone
        ]
        self.book.set_endpoints(live, now)
        self._allocate_soon()

    def _allocate_soon(self) -> None:
        if not self._is_allocate_due:
            self._is_allocate_due = True
            self._heap.call_later(0.0, self._allocate)

    def _allocate(self) -> None:
        self._is_allocate_due = False
        now = self._clock.now()
        if self.book is None or not self._is_settled(self.book, now):
            return
        for name, grants in self.book.allocate(now).items():
            if name == self._me:
                self.client.on_grants(grants)
            else:
                self._links.send(name, grants)

    def _is_settled(self, book: slots.SlotBook, now: float) -> bool:
        """Whether a new owner knows what its zone holds, or waited."""
        if now - self._owned_since >= SETTLE_S:
            return True
        return all(
            book.has_heard(info.name)
            for info in self._view.live(zone=self._zone)
            if info.is_entry
        )

    def _on_report(
        self, link: peers.Link, report: messages.SlotReport
    ) -> None:
        self._take_report(link.peer, report)

    def _take_report(
        self, sender: ids.InstanceId, report: messages.SlotReport
    ) -> None:
        if self.book is None or report.zone != self._zone:
            return
        self.book.report(sender, report, self._clock.now())
        self._allocate_soon()

    def _send_load(self) -> None:
        if self.book is None:
            return
        now = self._clock.now()
        load = self.book.load(now)
        self._loads[self._zone] = _HeardLoad(load, now)
        for info in self._view.live():
            if info.is_entry and info.name != self._me:
                self._links.send(info.name, load)

    def _flush_soon(self) -> None:
        if not self._is_flush_due:
            self._is_flush_due = True
            self._heap.call_later(0.0, self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        for owner, report in self.client.take_reports():
            if owner == self._me:
                self._take_report(self._me, report)
            else:
                self._links.send(owner, report)

    def _on_grants(self, _: peers.Link, grants: messages.SlotGrants) -> None:
        self.client.on_grants(grants)

    def _on_load(self, _: peers.Link, load: messages.ZoneLoad) -> None:
        self._loads[load.zone] = _HeardLoad(load, self._clock.now())

    def _sweep(self) -> None:
        self._known.forget_old(now=self._clock.now())
        self._refresh_book()
        self._flush_soon()

    def _send_news(self) -> None:
        if not self._news:
            return
        news, self._news = self._news, {}
        now = self._clock.now()
        whole = []
        renewals = []
        for endpoint in news.values():
            if self._is_known_outside(endpoint, now):
                renewals.append(
                    messages.Renewal(
                        endpoint.endpoint, endpoint.version, endpoint.busy
                    )
                )
            else:
                whole.append(announcement(endpoint))
        message = messages.EndpointNews(tuple(whole), tuple(renewals))
        for info in self._view.live(zone=self._zone):
            if info.is_entry and info.name != self._me:
                self._links.send(info.name, message)

    def _is_known_outside(
        self, endpoint: directory.Endpoint, now: float
    ) -> bool:
        """Tell whether a renewal is enough; a whole one goes now and then."""
        alike = endpoint._replace(version=0, busy=0)
        sent, at = self._sent_whole.get(endpoint.endpoint, (None, 0.0))
        if sent == alike and now - at < WHOLE_NEWS_S:
            return True
        self._sent_whole[endpoint.endpoint] = (alike, now)
        return False

    def _on_news(self, _: peers.Link, news: messages.EndpointNews) -> None:
        now = self._clock.now()
        changed = False
        for each in news.announcements:
            endpoint = _endpoint(each)
            changed |= self._known.merge(endpoint, age_s=each.age_s, now=now)
        for renewal in news.renewals:
            known = self._known.get(renewal.endpoint)
            if known is not None:
                endpoint = known._replace(
                    version=renewal.version, busy=renewal.busy
                )
                changed |= self._known.merge(endpoint, age_s=0.0, now=now)
        if changed:
            self._refresh_book()


def announcement(endpoint: directory.Endpoint) -> messages.Announcement:
    """Write an endpoint as a message."""
    fields = endpoint._asdict()
    address = fields.pop("address")
    return messages.Announcement(
        **fields, host=address.host, port=address.port, age_s=0.0
    )


def _endpoint(news: messages.Announcement) -> directory.Endpoint:
    fields = news._asdict()
    address = addresses.Address(fields.pop("host"), fields.pop("port"))
    fields.pop("age_s")
    return directory.Endpoint(**fields, address=address)
