"""Tests of queues whose tasks crash executors: they are kept apart."""

import testtools

from chervilwheel import ids
from chervilwheel.workers import risk
from chervilwheel.workers import work
from tests import workerworld

SERVICE = ids.ServiceId("service")


class QueueRiskTest(testtools.TestCase):
    """The score of queues and their share of the load."""

    def setUp(self):
        super().setUp()
        self.risk = risk.QueueRisk()

    def test_two_crashes_that_one_queue_explains_make_it_risky(self):
        self.risk.record_loss({"bad"}, 10.0)
        self.assertFalse(self.risk.is_risky("bad", 10.0))
        self.risk.record_loss({"bad"}, 11.0)
        self.assertTrue(self.risk.is_risky("bad", 11.0))
        self.assertFalse(self.risk.is_risky("good", 11.0))

    def test_a_crash_that_several_queues_explain_counts_for_less(self):
        for at in (10.0, 10.5):
            self.risk.record_loss({"one", "two"}, at)
        self.assertFalse(self.risk.is_risky("one", 10.5))

    def test_a_queue_stops_being_risky(self):
        for at in range(20):
            self.risk.record_loss({"bad"}, float(at))
        self.assertTrue(self.risk.is_risky("bad", 20.0))
        self.assertFalse(self.risk.is_risky("bad", 26.0))

    def test_the_share_follows_the_load(self):
        for queue, cpu_s in (("bad", 40.0), ("good", 60.0)):
            self.risk.record_start(SERVICE, queue, cpu_s, 10.0)
        for _ in range(2):
            self.risk.record_loss({"bad"}, 10.0)
        self.assertAlmostEqual(
            0.4 * risk.SHARE_MARGIN, self.risk.share(SERVICE, 10.0)
        )


class RiskyQueueTest(testtools.TestCase):
    """Where the tasks of a risky queue are started."""

    def make_risky(self, world):
        for _ in range(3):
            world.submit(tasks=1, priority=0, crashing=(0,))
            world.run(0.3)
        world.run(8.0)
        for _ in range(3):
            world.submit(tasks=1, priority=0, crashing=(0,))
            world.run(0.1)

    def queues_by_worker(self, world):
        return [
            {world.jobs[name.split(".")[0]].queue for name in model.running}
            for model in world.workers.values()
            if model.running
        ]

    def test_it_shares_no_executor_with_others(self):
        world = workerworld.World(workers=24)
        world.run(0.5)
        self.make_risky(world)
        for _ in range(6):
            world.submit(tasks=1, priority=1, work_s=0.5)
            world.submit(tasks=1, priority=0, work_s=0.5)
        world.run(0.1)
        queues = self.queues_by_worker(world)
        self.assertEqual({"q0", "q1"}, set().union(*queues))
        self.assertTrue(all(len(each) == 1 for each in queues), queues)

    def test_it_uses_all_executors_while_no_other_queue_waits(self):
        world = workerworld.World(workers=24)
        world.run(0.5)
        self.make_risky(world)
        job = world.submit(tasks=32, priority=0, work_s=0.5)
        world.run(0.1)
        running = sum(len(m.running) for m in world.workers.values())
        self.assertEqual(32, running)
        world.run(2.0)
        self.assertIs(work.Outcome.COMPLETED, world.outcome(job))
