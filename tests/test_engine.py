"""Tests of the assignment engine with simulated workers and time."""

import random

import pytest
import testtools

from chervilwheel import ids
from chervilwheel.workers import engine
from chervilwheel.workers import executors
from chervilwheel.workers import jobstate
from chervilwheel.workers import leases
from chervilwheel.workers import starter
from chervilwheel.workers import takeover
from chervilwheel.workers import work
from tests import workerworld

# Schedules per part of the random test, which is split into eight parts so
# that processes can share it.
SCHEDULES = 50
# Schedules per part of the network partition test, which has four parts.
PARTITION_SCHEDULES = 40
# Schedules in which the holder of slow workers is replaced.
HAND_OVERS = 300
# Simulated duration of a random schedule.
SCHEDULE_S = 12.0


class EngineTest(testtools.TestCase):
    """Jobs on workers without random faults."""

    def test_each_task_of_a_job_runs_once_and_the_job_completes(self):
        world = workerworld.World()
        job = world.submit(tasks=8, work_s=0.06)
        world.run(1.0)
        self.assertEqual(work.Outcome.COMPLETED, world.outcome(job))
        starts = sum(m.starts for m in world.workers.values())
        self.assertEqual(8, starts)
        self.assertLess(world.latency(job), 0.16)

    def test_steps_start_in_order(self):
        world = workerworld.World()
        room = work.Room(10_000, 64)
        steps = (work.Step(2, room, 100), work.Step(2, room, 100, (0,)))
        job = world.submit(work_s=0.1, steps=steps)
        world.run(0.15)
        running = [name for m in world.workers.values() for name in m.running]
        self.assertTrue(all(".1." in name for name in running), running)
        world.run(1.0)
        self.assertEqual(work.Outcome.COMPLETED, world.outcome(job))

    def test_a_job_that_cannot_start_in_time_is_refused_and_never_runs(self):
        world = workerworld.World(workers=1)
        world.submit(tasks=2, work_s=3.0, priority=0)
        world.run(0.1)
        late = world.submit(tasks=2, work_s=0.06, priority=1)
        world.run(1.0)
        self.assertEqual(work.Outcome.REFUSED, world.outcome(late))
        retry_ms = world.answers[late][1].retry_after_ms
        self.assertGreater(retry_ms, 0)
        starts = sum(m.starts for m in world.workers.values())
        self.assertEqual(2, starts)

    def test_a_job_that_never_fits_is_refused_at_once(self):
        world = workerworld.World(workers=2)
        world.run(4.0)
        job = world.submit(tasks=1, cpu=workerworld.CPU + 1, work_s=5.0)
        self.assertEqual(work.Outcome.REFUSED, world.outcome(job))
        self.assertEqual(0.0, world.latency(job))

    def test_jobs_wait_in_a_short_queue_and_are_refused_in_a_long_one(self):
        for jobs, outcome in (
            (1, work.Outcome.COMPLETED),
            (12, work.Outcome.REFUSED),
        ):
            world = workerworld.World(workers=4)
            world.run(4.0)
            for _ in range(4):
                world.submit(tasks=2, work_s=0.25, priority=0)
            late = [
                world.submit(tasks=2, work_s=0.2, estimated_s=0.2)
                for _ in range(jobs)
            ]
            world.run(3.0)
            self.assertEqual(outcome, world.outcome(late[-1]))

    def test_a_task_that_fails_on_every_attempt_fails_its_job(self):
        world = workerworld.World(workers=2)
        for model in world.workers.values():
            model.is_failing = True
        job = world.submit(tasks=1, attempts=2)
        world.run(8.0)
        self.assertEqual(work.Outcome.FAILED, world.outcome(job))
        starts = sum(m.starts for m in world.workers.values())
        self.assertEqual(2, starts)

    def test_a_cancelled_job_releases_its_resources(self):
        world = workerworld.World(workers=1)
        job = world.submit(tasks=2, work_s=5.0)
        world.run(0.2)
        world.cancel(job)
        world.run(0.3)
        self.assertEqual(0, sum(m.used_cpu for m in world.workers.values()))

    def end_during_takeover(self, outcome):
        """End a job before the new holder knows its run.

        :returns: the world, the job and the worker that runs its task
        """
        world = workerworld.World(workers=3)
        world.run(4.0)
        job = world.submit(tasks=1, work_s=5.0, patience_ms=60_000)
        world.run(0.3)
        (busy,) = [n for n, m in world.workers.items() if m.running]
        world.net.cut.add(busy)
        world.switch_holder(knows_all=True)
        world.run(0.05)
        world.cancel(job, outcome)
        world.net.cut.clear()
        return world, job, world.workers[busy]

    def test_a_run_listed_after_its_job_was_cancelled_is_stopped(self):
        world, _, model = self.end_during_takeover(work.Outcome.CANCELLED)
        world.run(1.0)
        self.assertEqual(0, model.used_cpu)

    def test_a_job_sent_again_waits_for_runs_that_are_not_listed_yet(self):
        world, job, _ = self.end_during_takeover(work.Outcome.LOST)
        world.answers.clear()
        world.repeat_offer(
            job, offers=0, submission=2, target_ms=60_000, patience_ms=60_000
        )
        world.run(8.0)
        self.assertIs(work.Outcome.COMPLETED, world.outcome(job))

    def test_a_job_sent_to_another_entry_host_adopts_its_orphaned_run(self):
        # Its entry host and the holder were lost together.
        world = workerworld.World(workers=3)
        world.run(4.0)
        job = world.submit(tasks=1, work_s=2.0, patience_ms=60_000)
        world.run(0.3)
        sent = world.jobs.pop(job)
        world.switch_holder(knows_all=True)
        world.run(0.1)
        world.jobs[job] = sent
        world.repeat_offer(job, target_ms=60_000)
        world.run(4.0)
        self.assertIs(work.Outcome.COMPLETED, world.outcome(job))
        self.assertEqual(1, sum(m.starts for m in world.workers.values()))

    def test_a_job_of_a_silent_entry_host_is_lost_not_cancelled(self):
        world = workerworld.World()
        job = world.submit(tasks=2, work_s=0.5)
        world.run(0.1)
        world.engine.end_entry_jobs(workerworld.ENTRY, world.now)
        world.run(0.5)
        self.assertEqual(work.Outcome.LOST, world.outcome(job))

    def test_a_draining_executor_gets_no_new_runs(self):
        world = workerworld.World(workers=1)
        world.run(0.5)
        world.drain("x1")
        world.submit(tasks=1)
        world.run(1.0)
        self.assertEqual(0, world.workers["x1"].starts)

    def test_tasks_of_a_crashed_executor_restart_elsewhere(self):
        world = workerworld.World(workers=2)
        world.run(0.5)
        job = world.submit(tasks=1, work_s=0.9)
        world.run(0.1)
        (busy,) = [n for n, m in world.workers.items() if m.running]
        world.workers[busy].crash()
        world.net.cut.add(busy)
        world.run(4.0)
        self.assertEqual(work.Outcome.COMPLETED, world.outcome(job))

    def test_a_stalled_run_is_stopped_and_restarted_elsewhere(self):
        world = workerworld.World(workers=2)
        world.run(0.5)
        stalled = world.workers["x1"]
        stalled.is_hanging = True
        jobs = [world.submit(tasks=2, work_s=0.2) for _ in range(2)]
        world.run(3.0)
        for job in jobs:
            self.assertEqual(work.Outcome.COMPLETED, world.outcome(job))

    def test_short_leases_are_renewed_in_time(self):
        world = workerworld.World(workers=2, max_lease_s=0.2)
        world.run(0.5)
        job = world.submit(tasks=2, work_s=0.9)
        world.run(1.2)
        self.assertEqual(work.Outcome.COMPLETED, world.outcome(job))
        starts = sum(m.starts for m in world.workers.values())
        self.assertEqual(2, starts)

    def test_a_new_holder_adopts_running_tasks(self):
        world = workerworld.World(workers=3)
        job = world.submit(tasks=3, work_s=0.9)
        world.run(0.5)
        world.switch_holder()
        world.run(1.0)
        self.assertEqual(work.Outcome.COMPLETED, world.outcome(job))
        starts = sum(m.starts for m in world.workers.values())
        self.assertEqual(3, starts)

    def test_a_raised_token_is_used_at_once(self):
        world = workerworld.World(workers=2)
        world.run(0.5)
        for model in world.workers.values():
            model.token = 5
        job = world.submit(tasks=1, work_s=0.06)
        world.run(0.01)
        world.engine.raise_token(6, world.now)
        world.run(0.4)
        self.assertEqual(work.Outcome.COMPLETED, world.outcome(job))

    def test_an_orphaned_run_is_stopped_before_others_restart_it(self):
        world = workerworld.World(workers=2)
        job = world.submit(tasks=2, work_s=5.0)
        world.run(0.3)
        del world.jobs[job]
        world.switch_holder()
        # The stop is repeated with the next renewal if it was lost.
        world.run(takeover.ORPHAN_TIMEOUT_S + 0.3)
        self.assertEqual(0, sum(m.used_cpu for m in world.workers.values()))

    def test_a_repeated_offer_attaches_to_the_running_job(self):
        world = workerworld.World()
        job = world.submit(tasks=2, work_s=0.3)
        world.run(0.1)
        repeated = world.jobs[job]
        world.engine.offer(repeated, workerworld.ENTRY, world.now)
        world.run(1.0)
        starts = sum(m.starts for m in world.workers.values())
        self.assertEqual(2, starts)


@pytest.mark.parametrize("part", range(8))
def test_random_schedules_keep_the_invariants(part):
    """No task runs twice at the same time, and every job is answered."""
    for seed in range(part * SCHEDULES, (part + 1) * SCHEDULES):
        play(seed)


@pytest.mark.parametrize("part", range(4))
def test_both_sides_of_a_partition_keep_the_invariants(part):
    """A second holder serves the isolated side until the partition heals."""
    for seed in range(
        part * PARTITION_SCHEDULES, (part + 1) * PARTITION_SCHEDULES
    ):
        play_partition(seed)


@pytest.mark.parametrize("part", range(2))
def test_short_partitions_keep_the_invariants(part):
    """A second holder stops before the leader has given up its jobs."""
    for seed in range(part * 25, (part + 1) * 25):
        play_short_partition(seed)


def test_hand_overs_on_slow_workers_keep_the_invariants():
    """A new holder can't reach some of the busy workers."""
    for seed in range(HAND_OVERS):
        play_hand_over(seed)


class ZoneRunsTest(testtools.TestCase):
    """Runs of a zone are counted only while all of them are known."""

    ZONE = ids.ZoneId("zone")
    EMPTY_ZONE = ids.ZoneId("empty")

    def setUp(self):
        super().setUp()
        self.world = workerworld.World(workers=3)

    def count(self):
        """Return the runs of the workers' zone, None if unknown."""
        counts = self.world.engine.runs_by_zone(
            (self.ZONE, self.EMPTY_ZONE), self.world.now
        )
        return counts.get(self.ZONE)

    def test_runs_are_counted_until_they_end(self):
        self.world.run(4.0)
        self.assertEqual(0, self.count())
        self.world.submit(tasks=4, work_s=0.5)
        self.assertEqual(4, self.count())
        self.world.run(0.2)
        self.assertEqual(4, self.count())
        self.world.run(0.8)
        self.assertEqual(0, self.count())

    def test_only_the_given_zones_are_counted(self):
        self.world.run(4.0)
        counts = self.world.engine.runs_by_zone(
            (self.EMPTY_ZONE,), self.world.now
        )
        self.assertEqual({self.EMPTY_ZONE: 0}, counts)

    def test_a_new_holder_does_not_know_runs_before_all_have_reported(self):
        self.world.run(4.0)
        self.world.submit(tasks=4, work_s=3.0)
        self.world.run(0.2)
        self.world.switch_holder()
        self.world.run(1.0)
        self.assertIsNone(self.count())

    def test_a_new_holder_counts_runs_of_the_former_one(self):
        self.world.run(4.0)
        self.world.submit(tasks=4, work_s=2.0)
        self.world.run(0.2)
        self.world.switch_holder(knows_all=True)
        self.assertIsNone(self.count())
        self.world.run(0.5)
        self.assertEqual(4, self.count())

    def test_runs_are_unknown_while_a_busy_worker_does_not_answer(self):
        # A standby of a zone that is cut off may start tasks there.
        self.world.run(4.0)
        self.world.submit(tasks=6, work_s=2.0)
        self.world.run(0.2)
        self.world.net.cut.add(next(iter(self.world.workers)))
        self.world.run(2.5)
        self.assertIsNone(self.count())
        self.world.net.cut.clear()
        self.world.run(4.0)
        self.assertEqual(0, self.count())

    def test_runs_are_unknown_when_an_idle_worker_stops_reporting(self):
        # An idle worker isn't asked for anything.
        self.world.run(4.0)
        self.world.net.cut.update(self.world.workers)
        self.world.run(7.0)
        self.assertIsNone(self.count())
        self.world.net.cut.clear()
        self.world.run(2.0)
        self.assertEqual(0, self.count())

    def test_a_worker_that_never_returns_is_given_up(self):
        self.world.run(4.0)
        name = next(iter(self.world.workers))
        self.world.workers[name].crash()
        self.world.run(7.0)
        self.assertIsNone(self.count())
        self.world.run(engine.EXECUTOR_RETENTION_S)
        self.assertEqual(0, self.count())


class MutantTest(testtools.TestCase):
    """Random schedules detect engines that would break the invariants."""

    def test_restarting_a_task_after_an_unanswered_start_is_caught(self):
        class TreatsUnknownAsNotSent(engine.Engine):
            def started(self, order, verdict, clock_ms, now):
                if verdict is work.StartVerdict.UNKNOWN:
                    verdict = work.StartVerdict.NOT_SENT
                super().started(order, verdict, clock_ms, now)

        self.assert_caught(TreatsUnknownAsNotSent)

    def test_a_start_before_earlier_runs_are_known_is_caught(self):
        class WithoutTakeover(engine.Engine):
            def offer(self, job, entry, now):
                super().offer(job._replace(offers=0), entry, now)

        self.assert_caught(WithoutTakeover)

    def test_leases_without_allowance_for_clock_drift_are_caught(self):
        nominal = property(lambda limits: limits.lease_s)
        self.patch(leases.LeaseLimits, "max_lease_time_s", nominal)
        self.patch(executors, "LEASE_MARGIN_S", 0.0)
        self.assert_caught(
            engine.Engine, play_hand_over, seeds=range(HAND_OVERS)
        )

    def test_leases_on_a_clock_that_is_not_known_to_be_slow_are_caught(self):
        def deadline_ms(executor, now, lease_s):
            return int(executor.clock.upper_ms(now) + lease_s * 1000)

        self.patch(executors.Executor, "deadline_ms", deadline_ms)
        self.assert_caught(
            engine.Engine, play_hand_over, seeds=range(HAND_OVERS)
        )

    def test_runs_dropped_before_their_leases_expire_are_caught(self):
        class EarlyDrop(engine.Engine):
            def _drop_expired_runs(self, executor, now):
                for run in list(executor.runs.values()):
                    executor.remove_run(run.task)
                    self._job_table.requeue(run)

        self.assert_caught(EarlyDrop)

    def test_a_second_holder_that_extends_all_leases_is_caught(self):
        self.patch(executors.Executor, "is_owned", True)
        self.assert_caught(
            engine.Engine, play_partition, seeds=range(100, 160)
        )

    def test_a_returned_job_without_a_takeover_delay_is_caught(self):
        self.patch(
            jobstate.JobState, "restart_takeover", lambda self, job, now: None
        )
        self.assert_caught(engine.Engine, play_short_partition)

    def test_starts_for_an_entry_host_that_switched_holder_are_caught(self):
        self.patch(starter, "ENTRY_HEARTBEAT_TIMEOUT_S", 100.0)
        self.assert_caught(
            engine.Engine, play_partition, seeds=range(159, -1, -1)
        )

    def test_treating_a_run_as_ended_while_it_stops_is_caught(self):
        class WithoutStopTime(engine.Engine):
            def __init__(self, *, lease_limits, **options):
                super().__init__(
                    lease_limits=lease_limits._replace(stop_s=0.0), **options
                )

        self.patch(executors, "LEASE_MARGIN_S", 0.0)
        self.assert_caught(
            WithoutStopTime, play_hand_over, seeds=range(HAND_OVERS)
        )

    def assert_caught(self, kind, play_schedule=None, seeds=None):
        for seed in seeds or range(SCHEDULES):
            try:
                (play_schedule or play)(seed, kind)
            except workerworld.InvariantError:
                return
        self.fail("no schedule caught the mutant")


def play(seed, kind=engine.Engine):
    """Run one random schedule and check that every job is answered."""
    rng = random.Random(seed)
    world = workerworld.World(seed=seed, workers=5, engine_class=kind)
    world.net.response_loss_rate = rng.choice((0.0, 0.03, 0.1))
    world.net.late_delivery_rate = rng.choice((0.0, 0.03, 0.1))
    end = world.now + SCHEDULE_S
    while world.now < end:
        draw = rng.random()
        if draw < 0.7:
            world.submit(
                tasks=rng.randint(1, 4),
                work_s=rng.choice((0.06, 0.2, 0.9)),
                priority=rng.randint(0, 2),
            )
        elif draw < 0.74:
            world.switch_holder(knows_all=rng.random() < 0.5)
        elif draw < 0.78:
            cut(world, rng)
        elif draw < 0.80:
            crash(world, rng)
        elif draw < 0.83 and world.jobs:
            world.cancel(rng.choice(list(world.jobs)))
        elif draw < 0.86:
            name = rng.choice(list(world.workers))
            model = world.workers[name]
            model.is_hanging = not model.is_hanging
        world.run(rng.uniform(0.0, 0.2))
    world.net.response_loss_rate = world.net.late_delivery_rate = 0.0
    world.net.cut.clear()
    for model in world.workers.values():
        model.is_hanging = False
    world.run(12.0)
    undecided = [j for j in world.jobs if j not in world.answers]
    if undecided:
        raise AssertionError(f"seed {seed}: no answer for {undecided}")


def play_short_partition(seed, kind=engine.Engine):
    """Run partitions that end while the leader still has the jobs."""
    play_partition(seed, kind, cut_s=(0.4, 0.8))


def play_partition(seed, kind=engine.Engine, cut_s=(0.5, 4.0)):
    """Run partitions that isolate some workers and an entry host."""
    rng = random.Random(seed)
    world = workerworld.World(seed=seed, workers=8, engine_class=kind)
    world.net.response_loss_rate = rng.choice((0.0, 0.03))
    isolated_share = rng.choice((0.5, 0.9))
    for _ in range(2):
        submit_for(world, rng, rng.uniform(0.5, 2.0), isolated_share)
        isolated = rng.sample(sorted(world.workers), rng.randint(2, 6))
        # A standby starts 0.35 s after a partition that it detects at once.
        wait_s = rng.choice((0.35, rng.uniform(0.35, 1.3)))
        world.cut_off(isolated, wait_s=wait_s)
        submit_for(world, rng, rng.uniform(*cut_s), isolated_share)
        world.heal()
    submit_for(world, rng, 1.0, isolated_share)
    world.net.response_loss_rate = 0.0
    world.run(12.0)
    undecided = [j for j in world.jobs if j not in world.answers]
    if undecided:
        raise AssertionError(f"seed {seed}: no answer for {undecided}")


def play_succession(seed, kind=engine.Engine):
    """Replace the holder while a standby holds the isolated workers."""
    rng = random.Random(seed)
    world = workerworld.World(seed=seed, workers=8, engine_class=kind)
    world.net.response_loss_rate = rng.choice((0.0, 0.03))
    isolated_share = rng.choice((0.1, 0.5))
    submit_for(world, rng, rng.uniform(0.3, 1.5), isolated_share)
    isolated = rng.sample(sorted(world.workers), rng.randint(2, 5))
    world.cut_off(isolated, wait_s=rng.uniform(0.35, 1.0))
    submit_for(world, rng, rng.uniform(0.0, 1.0), isolated_share)
    world.switch_holder(knows_all=True)
    submit_for(world, rng, rng.uniform(0.5, 3.0), isolated_share)
    world.heal()
    world.net.response_loss_rate = 0.0
    world.run(12.0)
    undecided = [j for j in world.jobs if j not in world.answers]
    if undecided:
        raise AssertionError(f"seed {seed}: no answer for {undecided}")


def play_hand_over(seed, kind=engine.Engine):
    """Replace the holder while some workers can't be reached.

    All clocks are as slow, and runs take as long to stop, as they may.
    """
    rng = random.Random(seed)
    world = workerworld.World(
        seed=seed,
        workers=8,
        engine_class=kind,
        worker_options={"clock_rate": 0.98, "stop_s": workerworld.STOP_S},
    )
    world.run(4.0)
    for _ in range(4):
        world.submit(tasks=2, work_s=3.6, patience_ms=20_000)
    world.run(rng.uniform(0.4, 0.9))
    busy = [name for name, each in world.workers.items() if each.running]
    world.net.cut = set(rng.sample(busy, len(busy) // 2))
    world.switch_holder(knows_all=True)
    world.run(1.5)


def submit_for(world, rng, seconds, isolated_share):
    """Submit jobs at both entry hosts for a number of seconds."""
    end = world.now + seconds
    while world.now < end:
        world.submit(
            tasks=rng.randint(1, 4),
            work_s=rng.choice((0.06, 0.2, 0.9, 2.5)),
            priority=rng.randint(0, 2),
            entry=workerworld.FAR_ENTRY
            if rng.random() < isolated_share
            else workerworld.ENTRY,
        )
        world.run(rng.uniform(0.0, 0.25))


def cut(world, rng):
    """Isolate a worker for a random time."""
    name = rng.choice(list(world.workers))
    world.net.cut.add(name)
    world.at(rng.uniform(0.2, 5.0), lambda: world.net.cut.discard(name))


def crash(world, rng):
    """Crash a worker and add a new one."""
    name = rng.choice(list(world.workers))
    world.workers[name].crash()
    world.add_worker()
