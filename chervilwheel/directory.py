"""Directory of the endpoints announced in all zones."""

import typing

from chervilwheel import addresses
from chervilwheel import ids

MAX_LEASE_S = 3.0
EXPIRED_RETENTION_S = 60.0


class Endpoint(typing.NamedTuple):
    """The last announcement of an endpoint.

    ``version`` orders the announcements of one endpoint; ``lease_s`` is
    how long the announcement is valid, in seconds; ``busy`` is the number
    of tasks that were running when it was made.
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


class _Registration(typing.NamedTuple):
    endpoint: Endpoint
    expires_at: float


class Directory:
    """Merge announcements and list the endpoints that accept work."""

    def __init__(self) -> None:
        self._registrations: dict[ids.EndpointId, _Registration] = {}
        self.revision = 0

    def merge(self, endpoint: Endpoint, *, age_s: float, now: float) -> bool:
        """Store an announcement unless a newer one is known.

        :param age_s: time since it was made, seconds
        :returns: whether it was stored
        """
        registration = self._registrations.get(endpoint.endpoint)
        if (
            registration is not None
            and registration.endpoint.version >= endpoint.version
        ):
            return False
        lease_s = min(endpoint.lease_s, MAX_LEASE_S) - age_s
        self._registrations[endpoint.endpoint] = _Registration(
            endpoint, now + lease_s
        )
        self.revision += 1
        return True

    def get(self, endpoint: ids.EndpointId) -> Endpoint | None:
        """Return the last announcement of an endpoint, even if expired."""
        registration = self._registrations.get(endpoint)
        return registration.endpoint if registration else None

    def is_live(self, endpoint: ids.EndpointId, *, now: float) -> bool:
        """Return whether an endpoint accepts new work."""
        registration = self._registrations.get(endpoint)
        return registration is not None and _accepts_work(registration, now)

    def live(self, *, now: float) -> list[Endpoint]:
        """List the endpoints that accept new work."""
        return [
            registration.endpoint
            for registration in self._registrations.values()
            if _accepts_work(registration, now)
        ]

    def live_for_service(
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
        """List all endpoints with the remaining time of their leases.

        The time is negative for expired leases, which are included.
        """
        return [
            (registration.endpoint, registration.expires_at - now)
            for registration in self._registrations.values()
        ]

    def remove_expired(self, *, now: float) -> None:
        """Remove endpoints whose lease expired a retention period ago."""
        expired_ids = [
            endpoint_id
            for endpoint_id, registration in self._registrations.items()
            if registration.expires_at + EXPIRED_RETENTION_S < now
        ]
        for endpoint_id in expired_ids:
            del self._registrations[endpoint_id]
            self.revision += 1


def _accepts_work(registration: _Registration, now: float) -> bool:
    return (
        registration.expires_at > now and not registration.endpoint.is_leaving
    )
