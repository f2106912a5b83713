"""Tests of what callers get while the holder catches up after a gap."""

import random

import testtools

from chervilwheel.workers import jobstate
from chervilwheel.workers import work
from tests import test_baselines
from tests import workerworld

GAP_S = 0.6
MEASURED_S = 2.0
# Its answer would count until 0.66 s after the request; half of what is left
# may pass before the caller hears that it won't come.
MAX_HOPELESS_WAIT_S = (3 * (1.6 * 0.1 + 0.06) - 0.3) / 2
# Target: jobs that are late already don't make later ones late. The share is
# of the value that these earn without the late ones.
MAX_LOSS = 0.05


def earned_after_gap(seed, *, has_backlog):
    """Return the value earned by jobs that arrive after a gap.

    :param has_backlog: whether jobs were submitted during the gap
    """
    rng = random.Random(seed)
    world = workerworld.World(seed=seed, workers=test_baselines.WORKERS)
    world.run(4.0)
    start = world.now
    arrivals = sorted(
        (at, kind)
        for kind in test_baselines.KINDS
        for at in arrival_times(rng, kind.per_s, GAP_S + MEASURED_S)
    )
    world.run(GAP_S)
    world.switch_holder(knows_all=True)
    earned = []
    for at, kind in arrivals:
        is_late = at < GAP_S
        if is_late and not has_backlog:
            continue
        world.run(max(0.0, start + at - world.now))
        job = world.submit(
            tasks=kind.tasks,
            work_s=kind.work_s,
            cpu=14_000,
            priority=kind.priority,
            waited_s=max(0.0, GAP_S - at),
        )
        if not is_late:
            earned.append((job, kind, kind.work_s))
    world.run(8.0)
    return sum(test_baselines.earned_value(world, *row) for row in earned)


def arrival_times(rng, per_s, until):
    """Return random arrival times."""
    times = []
    at = rng.expovariate(per_s)
    while at < until:
        times.append(at)
        at += rng.expovariate(per_s)
    return times


class BacklogTest(testtools.TestCase):
    """Jobs that can still be in time go before those that can't."""

    def test_late_jobs_of_a_gap_do_not_make_later_jobs_late(self):
        with_backlog = without = 0.0
        for seed in range(1, 6):
            with_backlog += earned_after_gap(seed, has_backlog=True)
            without += earned_after_gap(seed, has_backlog=False)
        self.assertGreaterEqual(with_backlog, (1 - MAX_LOSS) * without)

    def test_a_taken_over_job_that_is_too_late_is_answered_at_once(self):
        world = workerworld.World(workers=test_baselines.WORKERS)
        world.run(4.0)
        # Without the lists of one worker, its earlier runs aren't known.
        world.net.cut = {next(iter(world.workers))}
        world.switch_holder(knows_all=True)
        job = world.submit(tasks=2, work_s=0.06, offers=1)
        objective_s = test_baselines.STRETCH * 0.06 + test_baselines.TARGET_S
        world.run(jobstate.MAX_USEFUL_OBJECTIVES * objective_s)
        self.assertIs(work.Outcome.LOST, world.outcome(job))

    def test_a_taken_over_job_that_will_be_too_late_is_answered_at_once(self):
        # Its task may still run on a worker that doesn't answer, until the
        # lease of that has ended.
        world = workerworld.World(workers=test_baselines.WORKERS)
        world.run(4.0)
        world.net.cut = {next(iter(world.workers))}
        world.switch_holder(knows_all=True)
        job = world.submit(tasks=2, work_s=0.1, offers=1, waited_s=0.3)
        world.run(MAX_HOPELESS_WAIT_S)
        self.assertIs(work.Outcome.LOST, world.outcome(job))

    def test_a_refused_job_does_not_run_when_its_offer_is_repeated(self):
        world = workerworld.World(workers=test_baselines.WORKERS)
        world.run(4.0)
        job = world.submit(tasks=1, work_s=0.06, waited_s=GAP_S, submission=7)
        world.run(0.1)
        self.assertIs(work.Outcome.REFUSED, world.outcome(job))
        starts = world.engine.starts
        world.repeat_offer(job)
        world.run(0.1)
        self.assertEqual(starts, world.engine.starts)
        world.repeat_offer(job, submission=8)
        world.run(0.1)
        self.assertEqual(starts + 1, world.engine.starts)

    def test_late_jobs_of_a_gap_get_room_that_is_free(self):
        world = workerworld.World(workers=test_baselines.WORKERS)
        world.run(4.0 + GAP_S)
        world.switch_holder(knows_all=True)
        world.run(0.1)
        job = world.submit(tasks=2, work_s=0.2, waited_s=GAP_S)
        world.run(2.0)
        self.assertIs(work.Outcome.COMPLETED, world.outcome(job))

    def test_late_jobs_are_not_refused_before_executors_answer(self):
        world = workerworld.World(workers=test_baselines.WORKERS)
        world.run(4.0 + GAP_S)
        world.net.sample_delivery = lambda *_: ("ok", 0.02)
        world.switch_holder(knows_all=True)
        job = world.submit(tasks=2, work_s=0.2, waited_s=GAP_S)
        world.run(2.0)
        self.assertIs(work.Outcome.COMPLETED, world.outcome(job))

    def test_worthless_jobs_of_a_gap_are_refused(self):
        world = workerworld.World(workers=test_baselines.WORKERS)
        world.run(4.0)
        job = world.submit(tasks=2, work_s=0.06, waited_s=GAP_S)
        world.run(0.1)
        self.assertIs(work.Outcome.REFUSED, world.outcome(job))
