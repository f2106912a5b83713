"""Tests of executors whose capacity shrinks and grows while they run."""

import random

import testtools

from chervilwheel.workers import work
from tests import workerworld

FULL_CPU = 48_000
SMALL_CPU = 16_000
SCHEDULES = 80


class ResizingTest(testtools.TestCase):
    """Executors that don't guard their capacity."""

    def world(self, workers=1):
        world = workerworld.World(workers=0)
        for _ in range(workers):
            world.add_worker(cpu=FULL_CPU, guards=False)
        world.run(2.0)
        return world

    def resize(self, world, cpu):
        for model in world.workers.values():
            model.resize(cpu, world.now)

    def test_a_shrunk_executor_gets_what_fits(self):
        world = self.world()
        self.resize(world, SMALL_CPU)
        world.run(workerworld.RESIZE_KNOWN_S)
        world.submit(tasks=3, work_s=0.2)
        world.run(0.1)
        (model,) = world.workers.values()
        self.assertEqual(1, len(model.running))

    def test_a_grown_executor_is_used_again(self):
        world = self.world()
        self.resize(world, SMALL_CPU)
        world.run(workerworld.RESIZE_KNOWN_S)
        self.resize(world, FULL_CPU)
        world.run(workerworld.RESIZE_KNOWN_S)
        world.submit(tasks=3, work_s=0.2)
        world.run(0.1)
        (model,) = world.workers.values()
        self.assertEqual(3, len(model.running))

    def test_tasks_of_a_former_holder_count_after_the_capacity_grows(self):
        world = self.world()
        world.submit(tasks=1, cpu=40_000, work_s=30.0, patience_ms=60_000)
        world.run(0.2)
        self.resize(world, SMALL_CPU)
        world.run(workerworld.RESIZE_KNOWN_S)
        # Its entry host is silent, so no job adopts the runs.
        world.jobs.clear()
        world.switch_holder(knows_all=True)
        world.run(0.05)
        self.resize(world, FULL_CPU)
        world.send_reports()
        world.submit(tasks=2, work_s=0.2)
        world.run(0.1)

    def test_a_job_that_fits_the_full_size_is_not_refused_for_good(self):
        world = self.world()
        self.resize(world, SMALL_CPU)
        world.run(workerworld.RESIZE_KNOWN_S)
        job = world.submit(tasks=1, cpu=40_000)
        world.run(1.0)
        self.assertIs(work.Outcome.REFUSED, world.outcome(job))
        self.assertEqual("no_room", world.answers[job][1].reason)

    def test_a_guarding_executor_is_not_asked_again_and_again(self):
        world = workerworld.World(workers=1, cpu=FULL_CPU)
        world.run(2.0)
        (model,) = world.workers.values()
        world.submit(tasks=1, work_s=1.2, patience_ms=5_000)
        world.run(0.05)
        model.resize(SMALL_CPU, world.now)
        world.submit(tasks=1, work_s=1.2, patience_ms=5_000)
        world.run(1.0)
        self.assertLessEqual(model.rejected_starts, 5)


class ResizingScheduleTest(testtools.TestCase):
    """Random schedules of sizes, holders, cuts and lost answers."""

    def run_schedule(self, seed):
        rng = random.Random(seed)
        world = workerworld.World(seed=seed, workers=0)
        for _ in range(4):
            world.add_worker(cpu=FULL_CPU, guards=False)
        world.net.response_loss_rate = rng.choice([0.0, 0.1])
        world.net.late_delivery_rate = rng.choice([0.0, 0.05])
        world.run(2.0)
        for _ in range(60):
            world.run(rng.expovariate(6.0))
            event = rng.random()
            if event < 0.05:
                world.switch_holder(knows_all=rng.random() < 0.5)
            elif event < 0.25:
                model = rng.choice(list(world.workers.values()))
                sizes = (SMALL_CPU, 30_000, FULL_CPU)
                model.resize(rng.choice(sizes), world.now)
            elif event < 0.3:
                world.net.cut = set(rng.sample(sorted(world.workers), 1))
            elif event < 0.4:
                world.net.cut = set()
            elif event < 0.45 and world.jobs:
                world.cancel(rng.choice(list(world.jobs)))
            else:
                world.submit(
                    tasks=rng.choice([1, 2, 8]),
                    work_s=rng.choice([0.06, 0.2, 0.9]),
                    patience_ms=5_000,
                )
        world.net.cut = set()
        world.run(8.0)

    def test_no_start_exceeds_a_capacity_that_is_known(self):
        for seed in range(SCHEDULES):
            self.run_schedule(seed)
