"""Choose the zones whose executors one standby holder takes over.

A standby runs on an entry host, whose processor doesn't carry the load of a
large site: there each zone has a standby of its own. Small zones share one,
since a job of many tasks waits for room longer in a small pool.
"""

import collections
import typing

from chervilwheel import ids
from chervilwheel.workers import work

# A pool of this size serves as much of a load of 70% as a larger one does.
MIN_POOL_EXECUTORS = 24


def standby_zones(
    zone: ids.ZoneId,
    *,
    zones: typing.Collection[ids.ZoneId],
    reports: typing.Iterable[work.ExecutorReport],
    evacuated: typing.Collection[ids.ZoneId] = (),
) -> frozenset[ids.ZoneId]:
    """Return the zones that share a standby with a zone.

    An evacuated zone has no usable executors. Its hosts rely on the standby
    of the first zone that is open.

    :param zones: all zones of the site
    :param reports: the latest report of each executor
    :param evacuated: the evacuated zones
    :returns: the zone alone if the pool of each service is large enough in
        every open zone, otherwise all zones
    """
    shared = frozenset(zones)
    # Hosts may list the zones in different order.
    open_zones = sorted(shared.difference(evacuated))
    counts = collections.Counter(
        (report.service, report.zone)
        for report in reports
        if not report.is_gone
    )
    services = {service for service, _ in counts}
    has_large_pools = bool(services) and all(
        counts[service, each] >= MIN_POOL_EXECUTORS
        for service in services
        for each in open_zones or shared
    )
    if not has_large_pools or zone not in shared:
        return shared
    if open_zones and (zone in evacuated or zone == open_zones[0]):
        return frozenset((open_zones[0], *shared.intersection(evacuated)))
    return frozenset((zone,))


class StandbyZones:
    """Keeps the zones that share a standby until executors change.

    :param zones: all zones of the site
    :param reports: returns the latest report of each executor
    :param evacuated: returns the evacuated zones
    """

    def __init__(
        self,
        *,
        zones: typing.Collection[str],
        reports: typing.Callable[[], typing.Iterable[work.ExecutorReport]],
        evacuated: typing.Callable[[], typing.Collection[ids.ZoneId]] = (
            lambda: ()
        ),
    ) -> None:
        self._zones = [ids.ZoneId(zone) for zone in zones]
        self._reports = reports
        self._evacuated = evacuated
        self._known: dict[ids.ZoneId, frozenset[ids.ZoneId]] = {}

    def reset(self) -> None:
        """Forget the result after a change of executors or evacuations."""
        self._known.clear()

    def shared_with(self, zone: ids.ZoneId) -> frozenset[ids.ZoneId]:
        """Return the zones that share a standby with a zone."""
        if zone not in self._known:
            self._known[zone] = standby_zones(
                zone,
                zones=self._zones,
                reports=self._reports(),
                evacuated=self._evacuated(),
            )
        return self._known[zone]
