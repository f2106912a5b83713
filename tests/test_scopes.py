"""Tests of the zones that share a standby."""

import testtools

from chervilwheel.control import scopes
from tests import test_hosts

ZONES = ("north", "south")


class StandbyZonesTest(testtools.TestCase):
    """Zones have a standby of their own where each pool is large."""

    def shared(
        self, north, south, *, zone="north", other_service=0, evacuated=()
    ):
        reports = [
            test_hosts.report(f"{name}-{number}", zone=name)
            for name, count in (("north", north), ("south", south))
            for number in range(count)
        ]
        reports += [
            each._replace(id=f"{each.id}-b", service="other")
            for each in reports[:other_service]
        ]
        return scopes.standby_zones(
            zone, zones=ZONES, reports=reports, evacuated=evacuated
        )

    def test_large_zones_stand_alone(self):
        least = scopes.MIN_POOL_EXECUTORS
        self.assertEqual({"north"}, self.shared(least, least))
        self.assertEqual({"south"}, self.shared(least, least, zone="south"))

    def test_an_evacuated_zone_joins_the_first_open_one(self):
        least = scopes.MIN_POOL_EXECUTORS
        zones = ("west", "north", "south", "east")
        reports = [
            test_hosts.report(f"{name}-{number}", zone=name)
            for name in zones
            for number in range(least)
        ]

        def shared(zone, *evacuated):
            return scopes.standby_zones(
                zone, zones=zones, reports=reports, evacuated=evacuated
            )

        self.assertEqual({"east", "west"}, shared("west", "west"))
        self.assertEqual({"east", "west"}, shared("east", "west"))
        self.assertEqual({"north"}, shared("north", "west"))
        self.assertEqual({"north", "east"}, shared("east", "east"))
        self.assertEqual({"north", "east"}, shared("north", "east"))
        self.assertEqual({"east"}, shared("east", *zones))

    def test_an_evacuated_zone_may_lose_its_executors(self):
        least = scopes.MIN_POOL_EXECUTORS
        self.assertEqual(set(ZONES), self.shared(least, 0))
        shared = self.shared(least, 0, evacuated=("south",))
        self.assertEqual(set(ZONES), shared)
        reports = [
            test_hosts.report(f"{name}-{number}", zone=name)
            for name in ("a", "b")
            for number in range(least)
        ]
        shared = scopes.standby_zones(
            "b", zones=("a", "b", "c"), reports=reports, evacuated=("c",)
        )
        self.assertEqual({"b"}, shared)

    def test_one_small_zone_joins_all(self):
        least = scopes.MIN_POOL_EXECUTORS
        self.assertEqual(set(ZONES), self.shared(least, least - 1))

    def test_a_service_with_a_small_pool_joins_all(self):
        least = scopes.MIN_POOL_EXECUTORS
        shared = self.shared(least, least, other_service=1)
        self.assertEqual(set(ZONES), shared)

    def test_all_zones_are_shared_without_executors(self):
        self.assertEqual(set(ZONES), self.shared(0, 0))

    def test_an_unknown_zone_shares_with_all(self):
        least = scopes.MIN_POOL_EXECUTORS
        self.assertEqual(set(ZONES), self.shared(least, least, zone=""))

    def test_executors_that_have_ended_do_not_count(self):
        least = scopes.MIN_POOL_EXECUTORS
        reports = [
            test_hosts.report(f"{name}-{number}", zone=name)
            for name in ZONES
            for number in range(least)
        ]
        reports[0] = reports[0]._replace(is_gone=True)
        shared = scopes.standby_zones("north", zones=ZONES, reports=reports)
        self.assertEqual(set(ZONES), shared)
