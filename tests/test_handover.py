"""Tests of the hand-over of executors whose clocks are slow."""

import testtools

from chervilwheel.control import entryhost
from chervilwheel.control import standby
from chervilwheel.workers import leases
from chervilwheel.workers import work
from tests import workerworld

WORKERS = 18
CUT_WORKERS = 6
LOAD_S = 60.0
JOBS = 8
WORK_S = 3.6
CLOCK_RATE = 0.98
# Targets: a new leader starts the tasks whose earlier runs it doesn't know
# within this time, and no task twice.
MAX_RELEASE_S = 0.8
# Resolution of the executors' clocks, and two ticks.
READING_S = 0.002
TICKS_S = 0.04
# A standby begins no sooner after a cut. The last status of the leader is
# older than the cut by an interval of it.
STANDBY_WAIT_S = (
    entryhost.HOLDER_SUSPECT_S
    + entryhost.CONTROL_REPLY_TIMEOUT_S
    + standby.NO_QUORUM_WAIT_S
    - entryhost.HEARTBEAT_INTERVAL_S
)
# Shorter than the time after which a silent executor is given up.
SILENCE_S = 50.0


class LeaseWorld(workerworld.World):
    """Records how long the leases that are granted last at most.

    :ivar longest_s: longest time from an order to the lease's end, seconds
    """

    longest_s = 0.0
    is_silent = False

    def _execute(self, holder, action):
        deadline_ms = getattr(action, "deadline_ms", 0)
        if deadline_ms:
            model = self.workers[action.executor]
            left_ms = deadline_ms - model.clock_ms(self.now)
            longest_s = left_ms / 1000 / CLOCK_RATE
            self.longest_s = max(self.longest_s, longest_s)
        super()._execute(holder, action)

    def _send_report(self, name, holder, *, is_forwarded=False):
        if not self.is_silent:
            super()._send_report(name, holder, is_forwarded=is_forwarded)


class HandOverTest(testtools.TestCase):
    """A task isn't started again while the former holder's lease lasts."""

    def world(self, *, clock_rate=CLOCK_RATE):
        """Return a world of workers with equal clocks."""
        world = LeaseWorld(workers=0)
        for _ in range(WORKERS):
            world.add_worker(clock_rate=clock_rate, stop_s=workerworld.STOP_S)
        world.run(4.0)
        return world

    def load(self, world):
        """Use all workers for a minute."""
        until = world.now + LOAD_S
        while world.now < until:
            world.submit(tasks=6, work_s=0.1)
            world.run(0.2)

    def starts_after_hand_over(self, world):
        """Replace the leader by one that can't reach some busy workers.

        :returns: times of the starts by the successor, seconds after it
            begins
        """
        jobs = [
            world.submit(tasks=2, work_s=WORK_S, patience_ms=20_000)
            for _ in range(JOBS)
        ]
        world.run(0.7)
        started = [task for task in world.starts_of if task.job in jobs]
        self.assertEqual(2 * JOBS, len(started))
        busy = [name for name, each in world.workers.items() if each.running]
        world.net.cut.update(busy[:CUT_WORKERS])
        world.switch_holder(knows_all=True)
        began_at = world.now
        times = []
        while world.now < began_at + WORK_S:
            world.run(0.01)
            new = world.engine.starts - len(times)
            times += [world.now - began_at] * new
        return times

    def test_a_task_does_not_run_twice_on_slow_clocks(self):
        world = self.world()
        self.load(world)
        times = self.starts_after_hand_over(world)
        self.assertGreaterEqual(len(times), CUT_WORKERS)
        self.assertLessEqual(max(times), MAX_RELEASE_S + TICKS_S)

    def test_no_lease_lasts_longer_than_a_successor_reckons_with(self):
        world = self.world()
        world.net.response_loss_rate = 0.1
        world.net.late_delivery_rate = 0.05
        self.load(world)
        nominal_s = leases.LEASE_S / CLOCK_RATE
        self.assertLessEqual(world.longest_s, nominal_s + READING_S)

    def test_a_worker_that_starts_again_under_its_id_gets_the_same_leases(
        self,
    ):
        # It doesn't report when it started: only its clock shows it.
        world = self.world()
        self.load(world)
        for name in list(world.workers)[:CUT_WORKERS]:
            world.restart_under_id(name)
        # Until each has answered a renewal.
        world.run(leases.IDLE_RENEWAL_S + 1.0)
        world.longest_s = 0.0
        self.load(world)
        nominal_s = leases.LEASE_S / CLOCK_RATE
        self.assertLessEqual(world.longest_s, nominal_s + READING_S)

    def test_workers_without_reports_accept_starts_after_a_long_pause(self):
        for clock_rate in (CLOCK_RATE, 1.0):
            world = self.world(clock_rate=clock_rate)
            world.is_silent = True
            world.run(SILENCE_S)
            job = world.submit(tasks=6, work_s=0.1)
            world.run(1.0)
            self.assertIs(work.Outcome.COMPLETED, world.outcome(job))
            late = work.StartVerdict.TOO_LATE.value
            self.assertEqual(0, world.engine.verdicts[late])


class StandbyTest(testtools.TestCase):
    """A leader beyond a cut uses an entry host's runs for some time more."""

    def play(self, *, lost_s):
        """Lose the leader some time after it was cut off from an entry host.

        :param lost_s: time between the two, seconds
        """
        world = LeaseWorld(workers=0)
        for _ in range(WORKERS):
            world.add_worker(clock_rate=CLOCK_RATE, stop_s=workerworld.STOP_S)
        world.run(4.0)
        far = list(world.workers)[: WORKERS // 2]
        near = set(world.workers) - set(far)
        for _ in range(JOBS):
            world.submit(
                tasks=2,
                work_s=WORK_S,
                patience_ms=20_000,
                entry=workerworld.FAR_ENTRY,
            )
        world.run(0.5)
        started = sum(world.starts_of.values())
        # The standby reaches the other half of the workers only.
        world.cut_off(far, wait_s=STANDBY_WAIT_S)
        world.run(lost_s)
        world.net.cut = world.net.cut | near
        world.run(WORK_S)
        self.assertGreater(sum(world.starts_of.values()), started)

    def test_it_waits_for_a_leader_that_is_lost_after_the_cut(self):
        for step in range(10):
            self.play(lost_s=0.4 + step * 0.04)
