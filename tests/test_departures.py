"""Tests of executors that deregister while they run tasks."""

import random

import pytest
import testtools

from chervilwheel import ids
from chervilwheel.workers import engine
from chervilwheel.workers import executors
from chervilwheel.workers import leases
from chervilwheel.workers import takeover
from chervilwheel.workers import work
from tests import workerworld

LONG_PATIENCE_MS = 60_000
# Schedules per part of the random test, which has four parts.
SCHEDULES = 20
# The same for the one of changes of the holder, which has two parts.
SUCCESSIONS = 100
# A stop with its answer, and the list that shows the end.
STOP_ROUND_S = workerworld.STOP_S + 0.05
# Rate of the slowest clock of an executor, set by the protocol.
SLOWEST_CLOCK = 0.98
# When the last lease granted before a departure has lapsed.
LAST_LEASE_S = (
    leases.LEASE_S / SLOWEST_CLOCK
    + workerworld.STOP_S
    + executors.LEASE_MARGIN_S
)


def submit(world, **options):
    """Submit a job of one long task; returns its id."""
    options.setdefault("tasks", 1)
    options.setdefault("work_s", 3.6)
    return world.submit(
        patience_ms=LONG_PATIENCE_MS, target_ms=LONG_PATIENCE_MS, **options
    )


def busy_worker(world):
    """Return the worker that runs a task."""
    (name,) = [n for n, m in world.workers.items() if m.running]
    return name


class DepartureTest(testtools.TestCase):
    """One executor leaves; the world checks for double runs."""

    def setUp(self):
        super().setUp()
        self.world = workerworld.World(workers=3)
        self.world.run(4.0)

    def begin(self, **options):
        """Start a job and let its executor drain; returns both."""
        job = submit(self.world, **options)
        self.world.run(0.3)
        name = busy_worker(self.world)
        self.world.drain(name)
        return job, name

    def restarts_within(self, job, seconds):
        """Check that a job's task is started again in time."""
        self.world.run(seconds + 3 * workerworld.TICK_INTERVAL_S)
        self.assertEqual(2, self.world.starts_of[work.TaskId(job, 0, 0)])
        self.world.run(6.0)
        self.assertIs(work.Outcome.COMPLETED, self.world.outcome(job))

    def test_a_task_is_not_restarted_before_its_executor_has_ended(self):
        for ack_s in (0.2, 1.0, None):
            job, name = self.begin()
            self.world.deregister(name, ack_s=ack_s)
            self.restarts_within(job, STOP_ROUND_S)
            self.world.add_worker()
            self.world.run(4.0)

    def test_a_run_lapses_if_its_executor_ended_with_the_answer(self):
        job, name = self.begin()
        self.world.deregister(name)
        self.restarts_within(job, LAST_LEASE_S)

    def test_a_run_lapses_if_its_executor_cannot_be_reached(self):
        job, name = self.begin()
        self.world.deregister(name, ack_s=None)
        self.world.net.cut.add(name)
        self.restarts_within(job, LAST_LEASE_S)

    def test_another_executor_at_the_address_shows_the_end_at_once(self):
        job, name = self.begin()
        self.world.deregister(name, ack_s=0.001, successor_s=0.05)
        self.restarts_within(job, 0.05 + leases.RENEWAL_RETRY_S + 0.05)

    def test_a_run_that_ends_by_itself_is_counted_as_done(self):
        name = self.world.add_worker(cpu=200_000, stop_s=workerworld.STOP_S)
        self.world.run(1.0)
        job = submit(self.world, work_s=0.3, cpu=100_000)
        self.world.run(0.27)
        self.assertEqual(name, busy_worker(self.world))
        self.world.deregister(name, ack_s=0.2)
        self.world.run(1.0)
        self.assertIs(work.Outcome.COMPLETED, self.world.outcome(job))
        self.assertEqual(1, self.world.starts_of[work.TaskId(job, 0, 0)])

    def test_the_lease_is_not_renewed_any_more(self):
        _, name = self.begin()
        executor = self.world.engine.executors[name]
        self.world.deregister(name, ack_s=None)
        self.world.run(2 * workerworld.DEREGISTER_S)
        lease_ms = self.world.workers[name].lease_expires_ms
        self.world.run(2.0)
        self.assertEqual(lease_ms, self.world.workers[name].lease_expires_ms)
        self.assertFalse(executor.may_start(self.world.now))

    def test_nothing_is_started_on_an_executor_that_leaves(self):
        # Its draining report was lost.
        for name in list(self.world.workers)[1:]:
            self.world.crash(name, restart_s=100.0)
        submit(self.world, cpu=1_000)
        self.world.run(2.0)
        name = busy_worker(self.world)
        starts = self.world.workers[name].starts
        self.world.deregister(name, ack_s=None)
        self.world.run(2 * workerworld.DEREGISTER_S)
        submit(self.world, cpu=1_000, work_s=0.1)
        self.world.run(3.0)
        self.assertEqual(starts, self.world.workers[name].starts)

    def test_a_loss_is_not_recorded_for_an_executor_that_leaves(self):
        for ack_s, successor_s in ((0.001, None), (0.001, 0.05), (0.5, None)):
            job = submit(self.world)
            self.world.run(0.3)
            name = busy_worker(self.world)
            self.world.deregister(name, ack_s=ack_s, successor_s=successor_s)
            self.world.run(2.0)
            self.assertEqual((), self.world.engine.jobs[job].losses)
            self.world.run(6.0)
            self.assertIs(work.Outcome.COMPLETED, self.world.outcome(job))
            self.world.add_worker()
            self.world.run(2.0)

    def test_late_heartbeats_do_not_bring_an_executor_back(self):
        job, name = self.begin()
        late = self.world.report_of(name)
        self.world.deregister(name, ack_s=None)
        self.world.run(0.01)
        for _ in range(5):
            self.world.deliver_report(late)
            self.world.run(0.1)
            executor = self.world.engine.executors.get(name)
            self.assertFalse(executor and not executor.report.is_gone)
        self.restarts_within(job, 0.0)

    def test_a_new_leader_waits_for_the_end_of_a_leaving_executor(self):
        for knows_all in (False, True):
            for ack_s in (0.05, 0.5, None):
                job, name = self.begin()
                self.world.deregister(name, ack_s=ack_s)
                self.world.net.cut.add(name)
                self.world.run(0.01)
                self.world.switch_holder(knows_all=knows_all)
                self.world.run(8.0)
                self.assertIs(work.Outcome.COMPLETED, self.world.outcome(job))
                self.world.add_worker()
                self.world.run(4.0)

    def test_a_new_leader_adopts_a_run_that_ends_on_a_leaving_executor(self):
        # Without a stop of the former holder, which has not heard of it.
        job, name = self.begin(work_s=0.45)
        self.world.engine.report = lambda *args, **options: None
        self.world.deregister(name, ack_s=1.0)
        self.world.run(0.06)
        self.world.switch_holder(knows_all=True)
        self.world.run(5.0)
        self.assertIs(work.Outcome.COMPLETED, self.world.outcome(job))

    def test_a_job_of_a_standby_waits_for_executors_that_have_left(self):
        # The standby has started it on an executor that the leader had used,
        # and the leader alone knows that this leaves.
        world = self.world
        name = next(iter(world.workers))
        world.cut_off([name], wait_s=0.35)
        world.run(2.0)
        world.net.cut = set()
        job = submit(world, entry=workerworld.FAR_ENTRY, cpu=1_000)
        world.run(0.2)
        self.assertIn(name, [n for n, m in world.workers.items() if m.running])
        world.deregister(name, ack_s=None, sides=("engine",))
        world.run(0.2)
        world.heal()
        world.run(8.0)
        self.assertIs(work.Outcome.COMPLETED, world.outcome(job))


class SilentExecutorTest(testtools.TestCase):
    """An executor answers orders, but no control host gets its heartbeats."""

    def test_a_new_leader_waits_for_an_executor_that_does_not_report(self):
        world = workerworld.World(workers=3)
        world.run(4.0)
        job = submit(world, work_s=12.0)
        world.run(0.3)
        name = busy_worker(world)
        last = world.report_of(name)
        world.report_of = lambda each, report_of=world.report_of: (
            last if each == name else report_of(each)
        )
        send_report = world._send_report

        def send(each, holder, **options):
            if each != name:
                send_report(each, holder, **options)

        world._send_report = send
        world.run(6.0)
        # Its answers to the new leader are lost at first.
        world.net.cut.add(name)
        world.switch_holder(knows_all=True)
        world.engine.report(last, world.now, age_s=6.0)
        world.run(0.5)
        world.net.cut.clear()
        world.run(16.0)
        self.assertIs(work.Outcome.COMPLETED, world.outcome(job))


class ReportTest(testtools.TestCase):
    """Which reports show that a deregistration was of a former incarnation."""

    def is_used(self, **changes):
        world = workerworld.World(workers=1, reports_born=True)
        known = world.report_of("x1")
        gone = known._replace(
            is_draining=True, is_gone=True, sequence=work.LAST_SEQUENCE
        )
        return known._replace(
            clock_ms=known.clock_ms + 5_000,
            sequence=known.sequence + 3,
            **changes,
        ).replaces(gone)

    def test_an_executor_that_goes_on_draining_is_still_leaving(self):
        self.assertFalse(self.is_used(is_draining=True))

    def test_one_that_is_ready_was_not_meant(self):
        self.assertTrue(self.is_used())


def play(seed, kind=engine.Engine):
    """Run a random schedule of departures; all jobs must be answered."""
    rng = random.Random(seed)
    has_lives = rng.random() < 0.3
    world = workerworld.World(
        seed=seed, workers=6, engine_class=kind, reports_born=has_lives
    )
    world.net.response_loss_rate = rng.choice((0.0, 0.03, 0.1))
    world.net.late_delivery_rate = rng.choice((0.0, 0.03, 0.1))
    isolated_share = rng.choice((0.0, 0.3))
    leaving = set()
    for _ in range(60):
        if rng.random() < 0.6:
            submit(
                world,
                tasks=rng.randint(1, 4),
                work_s=rng.choice((0.06, 0.2, 0.9, 3.6)),
                cpu=rng.choice((4_000, 14_000)),
                entry=workerworld.FAR_ENTRY
                if rng.random() < isolated_share
                else workerworld.ENTRY,
            )
        else:
            disturb(world, rng, leaving, has_lives=has_lives)
        world.run(rng.uniform(0.0, 0.3))
    world.heal()
    world.close_zones()
    world.net.response_loss_rate = world.net.late_delivery_rate = 0.0
    world.net.cut.clear()
    world.run(30.0)
    undecided = [j for j in world.jobs if j not in world.answers]
    if undecided:
        raise AssertionError(f"seed {seed}: no answer for {undecided}")


def disturb(world, rng, leaving, *, has_lives):
    """Let a worker leave, or release runs in another way.

    :param leaving: workers that leave or have crashed
    :param has_lives: whether workers start again under their ids
    """
    names = [
        n for n, m in world.workers.items() if m.is_up and n not in leaving
    ]
    name = rng.choice(names)
    draw = rng.random()
    if draw < 0.45:
        leaving.add(name)
        leave(world, rng, name)
        world.add_worker()
    elif draw < 0.55:
        world.switch_holder(knows_all=rng.random() < 0.7)
    elif draw < 0.65:
        cut_off(world, rng, name)
    elif draw < 0.7:
        if has_lives and rng.random() < 0.7:
            down_s = rng.choice((0.005, 0.1, 1.0))
            world.restart_under_id(name, down_s=down_s)
            return
        leaving.add(name)
        world.crash(name, restart_s=rng.uniform(0.1, 3.0))
        world.add_worker()
    elif draw < 0.75 and world.jobs:
        world.cancel(rng.choice(list(world.jobs)))
    elif draw < 0.8:
        world.close_zones(*rng.choice(((), (ids.ZoneId("zone"),))))
    elif world.standby is not None:
        world.heal()
    elif draw < 0.9:
        begin_partition(world, rng, names)


def play_succession(seed, kind=engine.Engine):
    """Change the holder while a worker with runs leaves."""
    rng = random.Random(seed)
    world = workerworld.World(seed=seed, workers=5, engine_class=kind)
    world.run(4.0)
    names = list(world.workers)
    entry = rng.choice((workerworld.ENTRY, workerworld.FAR_ENTRY))
    has_standby = rng.random() < 0.5
    if has_standby:
        world.cut_off(names[:2], wait_s=0.35)
        world.run(1.5)
        world.net.cut = set()
    for _ in range(4):
        submit(world, entry=entry, tasks=2, cpu=7_000)
    world.run(0.3)
    busy = [n for n, m in world.workers.items() if m.running]
    name = rng.choice(busy)
    if rng.random() < 0.5:
        world.drain(name)
    sides = rng.choice((("engine",), ("engine", "standby")))
    ack_s = rng.choice((0.2, 1.0, None))
    world.deregister(name, ack_s=ack_s, sides=sides)
    if rng.random() < 0.5:
        world.net.cut.add(name)
        for unreachable in world.net.unreachable_from.values():
            unreachable.add(name)
    world.run(rng.uniform(0.0, 0.3))
    if has_standby:
        world.heal()
    else:
        world.switch_holder(knows_all=True)
    world.run(1.0)
    world.net.cut.clear()
    world.run(15.0)
    undecided = [j for j in world.jobs if j not in world.answers]
    if undecided:
        raise AssertionError(f"seed {seed}: no answer for {undecided}")


def leave(world, rng, name):
    """Let a worker drain and leave, with lost, late and repeated messages."""
    if rng.random() < 0.8:
        world.drain(name)
    at = rng.choice((0.0, rng.uniform(0.0, 1.0)))
    world.delay_report(name, at + rng.uniform(0.0, 3.0))
    ack_s = rng.choice((0.001, 0.2, rng.uniform(0.0, 2.0), None))
    copies = [0.0]
    if rng.random() < 0.3:
        copies = [rng.uniform(0.0, 2.0) for _ in range(2)]
    sides = rng.choice(
        (("engine", "standby"), ("engine", "standby"), ("engine",))
    )
    successor_s = rng.choice((None, rng.uniform(0.0, 2.0)))
    world.at(
        at,
        lambda: world.deregister(
            name,
            ack_s=ack_s,
            successor_s=successor_s,
            copies=copies,
            sides=sides,
        ),
    )


def cut_off(world, rng, name):
    """Isolate a worker for a random time."""
    world.net.cut.add(name)
    world.at(rng.uniform(0.2, 3.0), lambda: world.net.cut.discard(name))


def begin_partition(world, rng, names):
    """Start a standby that reaches some workers, some of them alone."""
    isolated = rng.sample(names, len(names) // 2)
    world.cut_off(isolated, wait_s=rng.uniform(0.35, 1.0))
    world.net.cut = set(rng.sample(isolated, len(isolated) // 2))


@pytest.mark.parametrize("part", range(4))
def test_no_task_runs_twice_beside_random_departures(part):
    """Departures beside all other ways in which runs are released."""
    for seed in range(part * SCHEDULES, (part + 1) * SCHEDULES):
        play(seed)


@pytest.mark.parametrize("part", range(2))
def test_no_task_runs_twice_when_the_holder_changes_beside_a_departure(part):
    """The next holder doesn't know what the leaving executor runs."""
    for seed in range(part * SUCCESSIONS, (part + 1) * SUCCESSIONS):
        play_succession(seed)


class MutantTest(testtools.TestCase):
    """Random schedules detect engines that release runs without a proof."""

    def assert_caught(self, kind):
        for seed in range(2 * SUCCESSIONS):
            try:
                play_succession(seed, kind)
            except workerworld.InvariantError:
                return
        self.fail("no schedule caught the mutant")

    def test_a_deregistration_taken_for_the_end_is_caught(self):
        class TrustsDeregistration(engine.Engine):
            def _deregister(self, executor, report, now, *, age_s):
                self._remove_executor(
                    executor, now, why=engine.Departure.DEREGISTERED
                )

        self.assert_caught(TrustsDeregistration)

    def test_a_holder_that_ignores_unknown_leaving_executors_is_caught(self):
        class KnowsNoLeaving(engine.Engine):
            def report(self, report, now, *, age_s=0.0):
                if report.id in self.executors or not report.is_gone:
                    super().report(report, now, age_s=age_s)

        self.assert_caught(KnowsNoLeaving)

    def test_removing_an_executor_that_has_not_listed_its_runs_is_caught(
        self,
    ):
        self.patch(
            engine,
            "_has_left",
            lambda executor, _: executor.report.is_gone and not executor.runs,
        )
        self.assert_caught(engine.Engine)

    def test_releasing_jobs_of_a_standby_by_the_known_lists_is_caught(self):
        self.patch(takeover.Takeovers, "executor_left", lambda *_: None)
        self.assert_caught(engine.Engine)
