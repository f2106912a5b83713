"""Tests of closed zones and cold executors: what callers get, what starts."""

import random
import typing

import pytest
import testtools

from chervilwheel import ids
from chervilwheel.workers import engine
from chervilwheel.workers import refusal
from chervilwheel.workers import warmup
from chervilwheel.workers import work
from tests import test_backlog
from tests import test_baselines
from tests import workerworld

ZONES = ("a", "b", "c")
CLOSED = "a"
WORKERS = 18
CPU = 64_000
# The capacity of test_baselines, of which its load uses 90%.
BASE_CPU = test_baselines.WORKERS * workerworld.CPU
BASE_LOAD = 0.9
LOAD = 0.7
LOAD_S = 6.0
# The load begins this long before the zone is closed.
BEFORE_S = 1.0
SEEDS = (11, 12)
SCHEDULES = 12
# Bounds: jobs of priority 0 that are accepted are in time, refused ones hear
# within this share of their objective, and the open executors earn nearly
# what they earn by themselves at a load of 1.0.
MIN_IN_TIME = 0.9
MAX_REFUSAL_OBJECTIVES = 0.1
MIN_SERVED = 0.85
# Resolution of the clock of the answers.
EPSILON_S = 1e-6


class Sample(typing.NamedTuple):
    """A job of the load, its kind and true run time."""

    job: ids.JobId
    kind: test_baselines.Kind
    work_s: float


class CheckedEngine(engine.Engine):
    """Records the jobs that are refused although they could run."""

    def __init__(self, **options):
        super().__init__(**options)
        self.wrongly_refused = []

    def _finish(self, state, outcome, now, reason="", retry_after_ms=0):
        if outcome is work.Outcome.REFUSED:
            rooms = {state.job.steps[t.id.step].room for t in state.pending}
            free = [e for e in self.executors.values() if e.may_start(now)]
            could_run = any(e.free.holds(r) for e in free for r in rooms)
            if could_run or state.is_started:
                self.wrongly_refused.append(state.job.id)
        super()._finish(state, outcome, now, reason, retry_after_ms)


def make_world(seed=1, *, workers=3, cpu=CPU, engine_class=engine.Engine):
    """Return a world whose workers are spread over the zones."""
    world = workerworld.World(seed=seed, workers=0, engine_class=engine_class)
    for number in range(workers):
        world.add_worker(cpu=cpu, zone=ZONES[number % len(ZONES)])
    world.run(4.0)
    return world


def runs_in(world, zone):
    """Return the number of runs of each worker of a zone."""
    return [
        len(model.running)
        for name, model in world.workers.items()
        if world.zones[name] == zone
    ]


def starts_in(world, zone):
    """Return the number of starts in a zone so far."""
    return sum(
        model.starts
        for name, model in world.workers.items()
        if world.zones[name] == zone
    )


def submit_load(world, rng, *, load, seconds):
    """Submit jobs at random times; returns them.

    :param load: as a multiple of the capacity of all workers
    """
    factor = load / BASE_LOAD * len(world.workers) * CPU / BASE_CPU
    arrivals = sorted(
        (at, kind)
        for kind in test_baselines.KINDS
        for at in test_backlog.arrival_times(rng, factor * kind.per_s, seconds)
    )
    start = world.now
    samples = []
    for at, kind in arrivals:
        world.run(max(0.0, start + at - world.now))
        work_s = kind.work_s * rng.lognormvariate(0.0, 0.15)
        job = world.submit(
            tasks=max(1, round(kind.tasks * rng.lognormvariate(0.0, 0.4))),
            work_s=work_s,
            cpu=int(14_000 * rng.uniform(0.8, 1.1)),
            estimated_s=kind.work_s * rng.lognormvariate(0.0, 0.4),
            priority=kind.priority,
        )
        samples.append(Sample(job, kind, work_s))
    return samples


class Load(typing.NamedTuple):
    """A world after a load, and the jobs of the load.

    ``starts`` is the number of starts in closed zones.
    """

    world: workerworld.World
    samples: list[Sample]
    starts: int

    @property
    def earned_share(self):
        """Share of the value of all jobs that was earned."""
        return sum(
            test_baselines.earned_value(self.world, *sample)
            for sample in self.samples
        ) / sum(sample.kind.value for sample in self.samples)

    def jobs(self, outcome, priority=None):
        """Return the jobs with an outcome."""
        return [
            sample.job
            for sample in self.samples
            if self.world.outcome(sample.job) is outcome
            and priority in (None, sample.kind.priority)
        ]


def run_load(seed, *, workers, load, closed=()):
    """Run a load, in which some zones are closed; returns what follows.

    :returns: the load after the zones were closed, and the number of starts
        there
    """
    world = make_world(seed, workers=workers, engine_class=CheckedEngine)
    rng = random.Random(seed)
    submit_load(world, rng, load=load, seconds=BEFORE_S)
    if closed:
        world.close_zones(*closed)
    # Orders that were on their way arrive.
    world.run(0.01)
    starts = sum(starts_in(world, zone) for zone in closed)
    samples = submit_load(world, rng, load=load, seconds=LOAD_S)
    world.run(4.0)
    starts = sum(starts_in(world, zone) for zone in closed) - starts
    return Load(world, samples, starts)


@pytest.fixture(scope="module")
def closed_loads():
    return [
        run_load(seed, workers=WORKERS, load=LOAD, closed=(CLOSED,))
        for seed in SEEDS
    ]


def test_accepted_jobs_of_the_highest_priority_are_in_time(closed_loads):
    """Guards against accepting more than the open executors can serve."""
    for load in closed_loads:
        world = load.world
        accepted = load.jobs(work.Outcome.COMPLETED, 0)
        in_time = sum(
            world.latency(job) <= world.jobs[job].objective_s
            for job in accepted
        )
        assert in_time >= MIN_IN_TIME * len(accepted)


def test_refused_jobs_hear_so_at_once(closed_loads):
    """Guards against refusing jobs only after they have waited."""
    late = []
    for load in closed_loads:
        world = load.world
        refused = load.jobs(work.Outcome.REFUSED)
        assert refused
        for job in refused:
            assert world.answers[job][1].retry_after_ms > 0
            limit_s = MAX_REFUSAL_OBJECTIVES * world.jobs[job].objective_s
            if world.latency(job) > limit_s + EPSILON_S:
                late.append(job)
    assert not late


def test_lower_priorities_are_refused_first(closed_loads):
    """Guards against refusing by time only, which hits short jobs most."""
    refused = [0, 0]
    total = [0, 0]
    for load in closed_loads:
        jobs = set(load.jobs(work.Outcome.REFUSED))
        for sample in load.samples:
            is_lower = sample.kind.priority > 0
            total[is_lower] += 1
            refused[is_lower] += sample.job in jobs
    assert refused[0] / total[0] < refused[1] / total[1]


def test_no_job_is_refused_that_could_run(closed_loads):
    """Guards against refusing by forecast while an executor is free."""
    for load in closed_loads:
        assert not load.world.engine.wrongly_refused


def test_nothing_starts_in_the_closed_zone(closed_loads):
    """Guards against ways of starting tasks that don't see closed zones."""
    for load in closed_loads:
        assert load.starts == 0


def test_open_executors_serve_what_they_can(closed_loads):
    """Guards against refusing work that the open executors could serve."""
    open_workers = WORKERS * 2 // 3
    alone = [
        run_load(seed, workers=open_workers, load=1.0).earned_share
        for seed in SEEDS
    ]
    with_closed = [load.earned_share for load in closed_loads]
    served = LOAD * WORKERS * sum(with_closed)
    assert served >= MIN_SERVED * open_workers * sum(alone)


class ClosedZoneTest(testtools.TestCase):
    """Single cases of closing zones."""

    def test_runs_of_a_closed_zone_end_by_themselves(self):
        world = make_world()
        job = world.submit(tasks=12, work_s=0.5)
        world.run(0.1)
        self.assertGreater(sum(runs_in(world, CLOSED)), 0)
        world.close_zones(CLOSED)
        world.run(1.0)
        self.assertIs(work.Outcome.COMPLETED, world.outcome(job))
        self.assertEqual(12, sum(world.starts_of.values()))

    def test_a_job_that_only_fits_closed_executors_is_refused_at_once(self):
        world = make_world()
        world.add_worker(cpu=2 * CPU, zone=CLOSED)
        world.run(4.0)
        world.close_zones(CLOSED)
        job = world.submit(tasks=1, cpu=CPU + 1)
        _, answer = world.answers[job]
        self.assertIs(work.Outcome.REFUSED, answer.outcome)
        self.assertEqual("no_room", answer.reason)
        self.assertGreater(answer.retry_after_ms, 0)

    def test_a_waiting_job_that_only_fits_there_is_refused_on_closing(self):
        world = make_world()
        world.add_worker(cpu=2 * CPU, zone=CLOSED)
        world.run(4.0)
        world.submit(tasks=1, cpu=CPU + 1, work_s=0.9)
        waiting = world.submit(tasks=1, cpu=CPU + 1, work_s=0.9)
        world.run(0.1)
        world.close_zones(CLOSED)
        self.assertEqual("no_room", world.answers[waiting][1].reason)

    def test_a_job_too_large_for_all_executors_never_fits(self):
        world = make_world()
        world.close_zones(CLOSED)
        job = world.submit(tasks=1, cpu=CPU + 1)
        self.assertEqual("never_fits", world.answers[job][1].reason)

    def test_with_all_zones_closed_jobs_are_refused_at_once(self):
        world = make_world()
        world.close_zones(*ZONES)
        job = world.submit(tasks=1)
        self.assertEqual("no_room", world.answers[job][1].reason)
        world.close_zones()
        job = world.submit(tasks=1)
        world.run(1.0)
        self.assertIs(work.Outcome.COMPLETED, world.outcome(job))

    def test_a_new_holder_starts_nothing_in_a_closed_zone(self):
        world = make_world()
        world.close_zones(CLOSED)
        world.run(0.5)
        world.switch_holder(knows_all=True)
        world.run(0.5)
        for _ in range(6):
            world.submit(tasks=4, work_s=0.3)
        world.run(2.0)
        self.assertEqual(0, starts_in(world, CLOSED))

    def test_started_jobs_are_not_refused_when_a_zone_closes(self):
        world = make_world()
        jobs = [world.submit(tasks=8, work_s=0.5) for _ in range(2)]
        world.run(0.05)
        started = [job for job in jobs if world.engine.jobs[job].is_started]
        world.close_zones(CLOSED, "b")
        world.run(0.1)
        self.assertTrue(started)
        self.assertFalse([job for job in started if job in world.answers])

    def test_without_closed_zones_the_orders_are_those_without_the_rule(self):
        def orders(engine_class):
            world = make_world(3, workers=6, engine_class=engine_class)
            samples = submit_load(
                world, random.Random(3), load=1.2, seconds=2.0
            )
            world.run(3.0)
            return [world.answers.get(each.job) for each in samples], [
                model.starts for model in world.workers.values()
            ]

        class NoRefuser(refusal.Refuser):
            def admit(self, state, now):
                pass

            def _refuse_excess(self, now, *, is_any_age=False):
                pass

        with_rule = orders(engine.Engine)
        self.patch(refusal, "Refuser", NoRefuser)
        self.assertEqual(orders(engine.Engine), with_rule)


class ColdExecutorTest(testtools.TestCase):
    """Executors that are cold after a start or after their zone reopens."""

    def test_a_reopened_cold_zone_is_not_filled_at_once(self):
        world = make_world(workers=6)
        world.close_zones(CLOSED)
        rng = random.Random(1)
        submit_load(world, rng, load=LOAD, seconds=1.0)
        for name, zone in world.zones.items():
            if zone == CLOSED:
                world.cold_until[name] = world.now + 3.0
        world.close_zones()
        submit_load(world, rng, load=1.2, seconds=0.4)
        self.assertLessEqual(max(runs_in(world, CLOSED)), 1)
        submit_load(world, rng, load=1.2, seconds=4.0)
        self.assertGreaterEqual(max(runs_in(world, CLOSED)), 3)

    def test_a_silent_reopened_executor_is_used_fully_after_a_while(self):
        world = make_world()
        world.close_zones(CLOSED)
        world.run(0.5)
        world.close_zones()
        now = world.now + warmup.ASSUMED_COLD_S
        self.assertEqual(0, world.engine.count_cold(now))

    def test_the_first_report_ends_the_assumption(self):
        world = make_world()
        world.close_zones(CLOSED)
        world.run(0.5)
        world.close_zones()
        self.assertEqual(1, world.engine.count_cold(world.now))
        world.run(workerworld.REPORT_INTERVAL_S)
        self.assertEqual(0, world.engine.count_cold(world.now))

    def test_a_cold_executor_gets_more_runs_as_it_warms_up(self):
        world = make_world(workers=0)
        world.add_worker(cpu=CPU, cold_s=4.0)
        world.run(0.2)
        world.submit(tasks=8, work_s=30.0, patience_ms=60_000)
        world.run(0.2)
        counts = []
        for _ in range(4):
            counts.extend(runs_in(world, "zone"))
            world.run(1.0)
        self.assertEqual(1, counts[0])
        self.assertEqual(sorted(counts), counts)
        self.assertEqual([4], runs_in(world, "zone"))

    def test_a_cold_executor_gets_few_starts_a_second(self):
        world = make_world(workers=0)
        world.add_worker(cpu=CPU, cold_s=20.0)
        world.run(0.2)
        for _ in range(40):
            world.submit(
                tasks=1, work_s=0.01, target_ms=20_000, cold_per_s=4.0
            )
        counts = [starts_in(world, "zone")]
        for _ in range(4):
            world.run(0.25)
            counts.append(starts_in(world, "zone"))
        self.assertLessEqual(counts[-1], 4 + 1)
        self.assertGreaterEqual(counts[-1], 3)


class StrictEngine(CheckedEngine):
    """Fails on a start order for an executor of a closed zone."""

    def take_actions(self):
        actions = super().take_actions()
        for action in actions:
            if isinstance(action, work.StartOrder):
                executor = self.executors.get(action.executor)
                if executor and executor.report.zone in self._closed_zones:
                    raise workerworld.InvariantError("start in a closed zone")
        return actions


class ClosedZoneScheduleTest(testtools.TestCase):
    """Random schedules of closed zones, crashes, holders and lost answers."""

    def run_schedule(self, seed):
        rng = random.Random(seed)
        world = make_world(seed, workers=6, engine_class=StrictEngine)
        world.net.response_loss_rate = rng.choice([0.0, 0.1])
        world.net.late_delivery_rate = rng.choice([0.0, 0.05])
        for _ in range(60):
            world.run(rng.expovariate(12.0))
            event = rng.random()
            if event < 0.15:
                count = rng.choice([0, 0, 1, 1, 2, 3])
                world.close_zones(*rng.sample(ZONES, count))
            elif event < 0.2:
                world.switch_holder(knows_all=rng.random() < 0.5)
            elif event < 0.25:
                world.net.cut = set(rng.sample(sorted(world.workers), 1))
            elif event < 0.3:
                world.net.cut = set()
            elif event < 0.33:
                up = [n for n, model in world.workers.items() if model.is_up]
                world.crash(rng.choice(up))
            else:
                world.submit(
                    tasks=rng.choice([1, 2, 8, 16]),
                    work_s=rng.choice([0.06, 0.2, 0.9]),
                    priority=rng.choice([0, 1, 2]),
                    patience_ms=5_000,
                )
        world.net.cut = set()
        world.close_zones()
        world.run(10.0)
        self.assertEqual([], world.engine.wrongly_refused)
        self.assertEqual(set(world.jobs), set(world.answers))
        self.assertEqual([0] * 3, [max(runs_in(world, z)) for z in ZONES])

    def test_nothing_starts_in_closed_zones_and_every_job_is_answered(self):
        for seed in range(SCHEDULES):
            self.run_schedule(seed)
