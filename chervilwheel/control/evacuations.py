"""Evacuated zones: the replicated table of orders and its audit trail."""

import typing

from chervilwheel import ids


class ZoneRow(typing.NamedTuple):
    """The state of a zone that was ever ordered.

    :ivar revision: rises with each change of the zone
    :ivar changed_at_ms: wall time of the last change, milliseconds
    :ivar origin: who ordered the last change
    """

    zone: ids.ZoneId
    revision: int
    is_evacuated: bool
    changed_at_ms: int
    origin: str


class AuditEntry(typing.NamedTuple):
    """One change of a zone.

    :ivar revision: revision of the whole table after the change
    """

    revision: int
    zone: ids.ZoneId
    is_evacuated: bool
    at_ms: int
    origin: str


class ZoneTable(typing.NamedTuple):
    """All zones that were ever ordered, and the newest changes.

    :ivar revision: rises by one with each change
    """

    revision: int
    rows: tuple[ZoneRow, ...]
    audit: tuple[AuditEntry, ...]
