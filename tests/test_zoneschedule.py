"""Evacuations under random cuts, stops and restarts of control hosts.

An operator gives one order after the other and resends each until it is
acknowledged. Meanwhile tasks are started all the time.
"""

import itertools
import os
import random

import testtools

from loadtool import hostworld
from tests import test_evacuatedzones
from tests import test_hosts

FIRST_SEED = int(os.environ.get("ZONES_FIRST", "1"))
SEEDS = int(os.environ.get("ZONES_SEEDS", "3"))
ZONES = test_evacuatedzones.ZONES
EVACUATION_S = test_evacuatedzones.EVACUATION_S
ORDERS = 6
# The operator resends an order that wasn't acknowledged by then.
RESEND_S = 1.0
# Cuts heal after this number of attempts.
MAX_ATTEMPTS = 3


class Schedule:
    """Random faults and orders.

    :param seed: seed of the random number generator
    """

    def __init__(self, *, seed):
        self._rng = random.Random(seed)
        self._starts = []
        self._stopped = None
        # Zone, time from which and until which nothing may be started there.
        self._closed = []
        self._acked_at = {}
        self.world = hostworld.World(
            controls=3,
            entries=4,
            make_port=lambda heap: test_evacuatedzones.RecordingPort(
                heap, starts=self._starts
            ),
            zones=ZONES,
            evacuation_s=EVACUATION_S,
        )
        self.world.run(2.0)
        self.world.put_document(1)
        self._report()
        numbers = itertools.count(1)
        for entry in self.world.entries.values():
            job = test_hosts.job()._replace(id=f"{next(numbers):016x}")
            entry.jobs.submit(job, lambda _answer: None)

    def run(self):
        """Run the schedule; return the starts in zones that were closed."""
        for _ in range(ORDERS):
            self._fault()
            self.world.run(self._rng.choice([0.0, 0.5, 3.0]))
            zone = self._rng.choice(ZONES)
            if zone in self._acked_at:
                self._restore(zone)
            else:
                self._acked_at[zone] = self._order(zone, is_evacuated=True)
        self._heal()
        self.world.run(EVACUATION_S + 2.0)
        for zone in list(self._acked_at):
            self._close(zone)
        return [
            (zone, at)
            for zone, since, until in self._closed
            for at, each in self._starts
            if each == zone and since < at < until
        ]

    def tables(self):
        """Return the tables of all control hosts."""
        return {control.zones for control in self.world.controls.values()}

    def _restore(self, zone):
        self._close(zone)
        self._order(zone, is_evacuated=False)

    def _close(self, zone):
        since = self._acked_at.pop(zone) + EVACUATION_S
        self._closed.append((zone, since, self.world.clock.now()))

    def _order(self, zone, *, is_evacuated):
        for attempt in itertools.count(1):
            if attempt > MAX_ATTEMPTS:
                self._heal()
            control = self._rng.choice(list(self.world.controls.values()))
            results = []
            control.order_zone(
                zone,
                is_evacuated=is_evacuated,
                origin="test",
                done=results.append,
            )
            end = self.world.clock.now() + RESEND_S
            while True not in results and self.world.clock.now() < end:
                self.world.run(0.005)
            if True in results:
                return self.world.clock.now()

    def _fault(self):
        choice = self._rng.random()
        if choice < 0.25:
            self._heal()
        elif choice < 0.5:
            zone = self._rng.choice(ZONES)
            inside = self.world.hosts_of(zone)
            for host in inside:
                self.world.cut_off(host, set(self.world.nodes) - set(inside))
        elif choice < 0.75:
            hosts = sorted(self.world.nodes)
            self.world.cut_off(
                self._rng.choice(hosts), self._rng.sample(hosts, 3)
            )
        elif self._stopped is None:
            self._stopped = self._rng.choice(list(self.world.controls))
            self.world.stop(self._stopped)

    def _heal(self):
        self.world.network.cuts.clear()
        if self._stopped is not None:
            self.world.restart(self._stopped)
            self._stopped = None
        self._report()

    def _report(self):
        for control in self.world.controls.values():
            for zone in ZONES:
                control.report(test_hosts.report(f"{zone}-0", zone=zone))


class ZoneScheduleTest(testtools.TestCase):
    def test_nothing_is_started_in_a_zone_after_the_bound(self):
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            schedule = Schedule(seed=seed)
            self.addCleanup(schedule.world.close)
            self.assertEqual([], schedule.run(), seed)
            self.assertEqual(1, len(schedule.tables()), seed)
