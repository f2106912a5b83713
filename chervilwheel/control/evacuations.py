"""The evacuated zones of a site, a replicated and audited table."""

import enum
import logging
import typing

from chervilwheel import ids

MAX_AUDIT_ENTRIES = 256


class ZoneRow(typing.NamedTuple):
    """The newest order for a zone.

    :ivar revision: the revision of the table with this order
    :ivar changed_at_ms: wall time of the order, milliseconds
    :ivar origin: where the order came from
    """

    zone: ids.ZoneId
    revision: int
    is_evacuated: bool
    changed_at_ms: int
    origin: str


class AuditEntry(typing.NamedTuple):
    """A change of the table."""

    revision: int
    zone: ids.ZoneId
    is_evacuated: bool
    at_ms: int
    origin: str


class OrderZone(typing.NamedTuple):
    """Evacuate or restore a zone.

    :ivar base: the revision of the zone's row that the order is based on, 0
        without a row. The order has no effect on another one.
    :ivar at_ms: wall time at which the order was received, milliseconds
    """

    zone: ids.ZoneId
    is_evacuated: bool
    base: int
    origin: str
    at_ms: int = 0


class OrderStatus(enum.Enum):
    """What an order did."""

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"


class OrderReply(typing.NamedTuple):
    """The result of an order; ``revision`` is that of the zone's row."""

    status: OrderStatus
    revision: int


class ReadZones(typing.NamedTuple):
    """Read the table."""


class ZoneTable(typing.NamedTuple):
    """All zones that were ever ordered.

    :ivar revision: incremented by one with each change
    :ivar audit: the newest changes, oldest first
    """

    revision: int = 0
    rows: tuple[ZoneRow, ...] = ()
    audit: tuple[AuditEntry, ...] = ()

    @property
    def evacuated(self) -> frozenset[ids.ZoneId]:
        """The evacuated zones."""
        return frozenset(row.zone for row in self.rows if row.is_evacuated)

    def row(self, zone: ids.ZoneId) -> ZoneRow:
        """Return the row of a zone, one with revision 0 if it has none."""
        for row in self.rows:
            if row.zone == zone:
                return row
        return ZoneRow(zone, 0, False, 0, "")

    def apply(self, order: OrderZone) -> tuple["ZoneTable", OrderReply]:
        """Return the table after an order, and the reply to it."""
        row = self.row(order.zone)
        if row.is_evacuated == order.is_evacuated:
            return self, OrderReply(OrderStatus.UNCHANGED, row.revision)
        if row.revision != order.base:
            return self, OrderReply(OrderStatus.CONFLICT, row.revision)
        revision = self.revision + 1
        changed = ZoneRow(
            order.zone, revision, order.is_evacuated, order.at_ms, order.origin
        )
        others = [each for each in self.rows if each.zone != order.zone]
        entry = AuditEntry(
            revision,
            order.zone,
            order.is_evacuated,
            order.at_ms,
            order.origin,
        )
        table = ZoneTable(
            revision,
            tuple(sorted([*others, changed])),
            (*self.audit, entry)[-MAX_AUDIT_ENTRIES:],
        )
        return table, OrderReply(OrderStatus.APPLIED, revision)


class ZoneView:
    """The evacuated zones as a host knows them, never an older state.

    :param part: prefix of the log lines about changes
    :ivar revision: the revision of the table, 0 before any order
    :ivar evacuated: the evacuated zones
    """

    def __init__(self, *, part: str) -> None:
        self.revision = 0
        self.evacuated: frozenset[ids.ZoneId] = frozenset()
        self._part = part
        self._log = logging.getLogger(part)

    def update(
        self, revision: int, evacuated: typing.Iterable[str], origin: str
    ) -> bool:
        """Take over a newer state.

        :param origin: where the order or the message came from
        :returns: whether the evacuated zones have changed
        """
        if revision <= self.revision:
            return False
        before = self.evacuated
        self.revision = revision
        self.evacuated = frozenset(map(ids.ZoneId, evacuated))
        changed = before ^ self.evacuated
        for zone in sorted(changed):
            verb = "evacuated" if zone in self.evacuated else "restored"
            self._log.info(
                f"{self._part}: a zone is {verb}",
                extra={"zone": zone, "revision": revision, "origin": origin},
            )
        return bool(changed)
