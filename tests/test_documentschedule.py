"""Documents reach all entry hosts under random cuts between hosts."""

import os
import random

import testtools

from loadtool import document_cost

FIRST_SEED = int(os.environ.get("DOCUMENTS_FIRST", "1"))
SEEDS = int(os.environ.get("DOCUMENTS_SEEDS", "12"))
CONTROLS = 3
ENTRIES = 5
ROUTES = 60
STEPS = 12
# The bound of a change, and the time to elect a leader before it.
IN_FORCE_S = 2.0 + 1.0


class Schedule:
    """Changes of a document while hosts can't reach each other.

    :param seed: seed of the random number generator
    """

    def __init__(self, *, seed):
        self._rng = random.Random(seed)
        self.world = document_cost.start_world(
            controls=CONTROLS, entries=ENTRIES
        )
        self._sent = 0
        self.acknowledged = 0

    def run(self):
        """Run the schedule; return the versions of the entry hosts."""
        for _ in range(STEPS):
            self._cut()
            self._put()
            self._advance(self._rng.choice([0.05, 0.3, 1.2]))
        self.world.network.cuts.clear()
        self._advance(IN_FORCE_S)
        return [
            entry.document_version for entry in self.world.entries.values()
        ]

    def _cut(self):
        cuts = self.world.network.cuts
        if self._rng.random() < 0.4:
            cuts.clear()
        if self._rng.random() < 0.5:
            hosts = sorted(self.world.nodes)
            self.world.cut_off(
                self._rng.choice(hosts), self._rng.sample(hosts, 3)
            )

    def _put(self):
        self._sent += 1
        version = self._sent
        data = document_cost.encode_document(version, routes=ROUTES)
        control = self._rng.choice(list(self.world.controls.values()))

        def answered(is_stored):
            if is_stored:
                self.acknowledged = max(self.acknowledged, version)

        control.put(data, answered)

    def _advance(self, seconds):
        """Advance the time; no host may step back to an older version."""
        entries = list(self.world.entries.values())
        before = [entry.document_version for entry in entries]
        self.world.run(seconds)
        after = [entry.document_version for entry in entries]
        if any(new < old for old, new in zip(before, after, strict=True)):
            raise AssertionError(f"versions {before} became {after}")


class DocumentScheduleTest(testtools.TestCase):
    def test_entry_hosts_have_the_newest_document_once_cuts_heal(self):
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            schedule = Schedule(seed=seed)
            self.addCleanup(schedule.world.close)
            versions = schedule.run()
            self.assertEqual(1, len(set(versions)), (seed, versions))
            self.assertGreaterEqual(versions[0], schedule.acknowledged, seed)
