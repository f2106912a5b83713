"""The endpoints of all zones, as they announced themselves."""

import typing

from chervilwheel import addresses
from chervilwheel import ids

MAX_LEASE_S = 3.0
FORGET_S = 60.0


class Endpoint(typing.NamedTuple):
    """One endpoint as last announced.

    ``version`` orders announcements of one endpoint; ``lease_s`` is how
    long the announcement holds, seconds; ``busy`` counts the tasks it
    was running then.
    """

    endpoint: ids.EndpointId
    service: ids.ServiceId
    zone: ids.ZoneId
    address: addresses.Address
    slots: int
    connections: int
    kind: str
    rack: str
    processors: float
    memory_mb: int
    accelerators: int
    busy: int
    version: int
    lease_s: float
    is_leaving: bool


class _Known(typing.NamedTuple):
    endpoint: Endpoint
    expires_at: float


class Directory:
    """Merge announcements and tell which endpoints may get work."""

    def __init__(self) -> None:
        self._known: dict[ids.EndpointId, _Known] = {}
        self.revision = 0

    def merge(self, endpoint: Endpoint, *, age_s: float, now: float) -> bool:
        """Take in an announcement.

        :param age_s: time since it was made, seconds
        :returns: whether it was news
        """
        known = self._known.get(endpoint.endpoint)
        if known is not None and known.endpoint.version >= endpoint.version:
            return False
        lease_s = min(endpoint.lease_s, MAX_LEASE_S) - age_s
        self._known[endpoint.endpoint] = _Known(endpoint, now + lease_s)
        self.revision += 1
        return True

    def get(self, endpoint: ids.EndpointId) -> Endpoint | None:
        """Return the last announcement of an endpoint, even if expired."""
        known = self._known.get(endpoint)
        return known.endpoint if known else None

    def is_live(self, endpoint: ids.EndpointId, *, now: float) -> bool:
        """Whether an endpoint may get new work."""
        known = self._known.get(endpoint)
        return known is not None and _takes_work(known, now)

    def live(self, *, now: float) -> list[Endpoint]:
        """List the endpoints that may get new work."""
        return [
            known.endpoint
            for known in self._known.values()
            if _takes_work(known, now)
        ]

    def offering(
        self,
        service: ids.ServiceId,
        *,
        now: float,
        zone: ids.ZoneId | None = None,
    ) -> list[Endpoint]:
        """List the live endpoints of a service, in one zone or all."""
        return [
            each
            for each in self.live(now=now)
            if each.service == service and zone in (None, each.zone)
        ]

    def all(self, *, now: float) -> list[tuple[Endpoint, float]]:
        """List what is remembered with the time each lease has left."""
        return [
            (known.endpoint, known.expires_at - now)
            for known in self._known.values()
        ]

    def forget_old(self, *, now: float) -> None:
        """Drop endpoints whose lease ended long ago."""
        old = [
            name
            for name, known in self._known.items()
            if known.expires_at + FORGET_S < now
        ]
        for name in old:
            del self._known[name]
            self.revision += 1


def _takes_work(known: _Known, now: float) -> bool:
    return known.expires_at > now and not known.endpoint.is_leaving
