"""Tests of tasks that crash the executors that start them."""

import collections
import functools
import random

import testtools

from chervilwheel.workers import engine
from chervilwheel.workers import work
from tests import test_backlog
from tests import test_baselines
from tests import workerworld

LONG_PATIENCE_MS = 60_000
# A caller that got no clear answer sends its job again after this time.
RESEND_S = 1.3
SCHEDULES = 60
# Twice the workers and the load of the comparison of strategies; a third of
# the workers are larger by half.
WORKERS = 24
LOAD = 2.0
LOAD_S = 24.0
WINDOW_S = 2.0
CRASHING_S = (4.0, 14.0)
CRASHING_SHARE = 0.1
# Target: each window of the other callers earns this share.
MIN_EARNED = 0.8


class CrashingTaskTest(testtools.TestCase):
    """One task of a job crashes each executor that starts it."""

    def submit(self, world, **options):
        """Submit a job whose first task crashes its executors."""
        options.setdefault("tasks", 1)
        return world.submit(
            crashing=(0,),
            patience_ms=LONG_PATIENCE_MS,
            target_ms=LONG_PATIENCE_MS,
            **options,
        )

    def check_given_up(self, world, job, *, crashes=2):
        _, answer = world.answers[job]
        self.assertIs(work.Outcome.LOST, answer.outcome)
        self.assertEqual(engine.CRASHES, answer.reason)
        self.assertLessEqual(sum(world.crashes.values()), crashes)

    def test_a_task_that_crashes_executors_is_given_up_after_two(self):
        world = workerworld.World(workers=12)
        world.run(0.5)
        job = self.submit(world)
        world.run(30.0)
        self.check_given_up(world, job)

    def test_a_change_of_holder_keeps_the_count(self):
        for kill_at in (0.02, 0.3, 0.72, 0.9, 1.5):
            world = workerworld.World(workers=12)
            world.run(0.5)
            job = self.submit(world)
            world.run(kill_at)
            world.switch_holder(knows_all=True)
            world.run(30.0)
            # The crash before the change may be unknown to the new holder.
            self.check_given_up(world, job, crashes=3)

    def test_many_changes_of_holder_keep_the_count(self):
        world = workerworld.World(workers=24)
        world.run(0.5)
        job = self.submit(world)
        for _ in range(12):
            world.run(1.4)
            world.switch_holder(knows_all=True)
        world.run(30.0)
        self.check_given_up(world, job, crashes=3)

    def test_a_standby_that_takes_over_keeps_the_count(self):
        world = workerworld.World(workers=12)
        world.run(0.5)
        job = self.submit(world, entry=workerworld.FAR_ENTRY)
        world.run(0.9)
        names = [n for n, m in world.workers.items() if m.is_up][6:]
        world.cut_off(names, wait_s=0.5)
        world.run(6.0)
        world.heal()
        world.run(40.0)
        self.check_given_up(world, job, crashes=4)

    def test_a_crash_that_only_the_successor_shows_is_counted(self):
        world = workerworld.World(workers=12)
        world.crash_options = {"is_dark": True, "restart_s": 6.0}
        world.run(0.5)
        job = self.submit(world)
        world.run(40.0)
        self.check_given_up(world, job, crashes=3)

    def test_jobs_beside_a_crashing_task_are_completed(self):
        for seed in range(1, 9):
            world = workerworld.World(workers=4, seed=seed)
            world.run(0.5)
            beside = [
                world.submit(work_s=0.4, patience_ms=LONG_PATIENCE_MS)
                for _ in range(3)
            ]
            world.run(0.1)
            job = self.submit(world)
            world.run(30.0)
            self.check_given_up(world, job)
            outcomes = {world.outcome(each) for each in beside}
            self.assertEqual({work.Outcome.COMPLETED}, outcomes)

    def test_two_crashing_tasks_fail_no_job_that_ran_beside_both(self):
        for seed in range(1, 9):
            world = workerworld.World(workers=2, cpu=90_000, seed=seed)
            world.run(0.5)
            beside = world.submit(
                tasks=4, work_s=1.0, patience_ms=LONG_PATIENCE_MS
            )
            world.run(0.1)
            for _ in range(2):
                self.submit(world)
            world.run(60.0)
            self.assertIs(work.Outcome.COMPLETED, world.outcome(beside))

    def test_a_task_on_silent_executors_is_neither_given_up_nor_doubled(self):
        world = workerworld.World(workers=4)
        world.run(0.5)
        job = world.submit(tasks=1, work_s=2.0, patience_ms=LONG_PATIENCE_MS)
        for _ in range(4):
            world.run(0.3)
            busy = {n for n, m in world.workers.items() if m.running}
            world.net.cut = busy
            world.run(2.0)
            world.net.cut = set()
        world.run(30.0)
        self.assertIs(work.Outcome.COMPLETED, world.outcome(job))

    def test_an_executor_is_kept_free_for_a_task_that_runs_alone(self):
        world = workerworld.World(workers=3, cpu=100_000)
        world.run(0.5)
        job = self.submit(world)
        for number in range(400):
            # More than fits, so that no executor becomes empty by itself.
            work_s = 0.25 + 0.013 * (number % 9)
            world.at(
                0.1 + number * 0.015,
                functools.partial(world.submit, tasks=1, work_s=work_s),
            )
        world.run(workerworld.RESTART_S - 0.2)
        self.assertEqual(2, world.starts_of[work.TaskId(job, 0, 0)])
        world.run(10.0)
        self.check_given_up(world, job)

    def test_a_job_sent_again_after_it_was_given_up_is_not_started(self):
        world = workerworld.World(workers=12)
        world.run(0.5)
        job = self.submit(world, submission=1)
        world.run(10.0)
        self.check_given_up(world, job)
        world.answers.clear()
        world.repeat_offer(job, submission=2)
        world.run(1.0)
        self.check_given_up(world, job)

    def test_a_task_whose_starts_are_not_answered_is_given_up(self):
        for restart_s in (0.02, 0.1, 0.25, 0.5, 2.0):
            world = workerworld.World(workers=12)
            sample_delivery = world.net.sample_delivery

            def lose_answers(
                worker, holder, order, sample_delivery=sample_delivery
            ):
                delivery = sample_delivery(worker, holder, order)
                if isinstance(order, work.StartOrder):
                    return "unanswered", delivery[1]
                return delivery

            world.net.sample_delivery = lose_answers
            world.crash_options = {"restart_s": restart_s}
            world.run(0.5)
            job = self.submit(world)
            world.run(40.0)
            self.check_given_up(world, job, crashes=3)

    def test_a_job_sent_again_for_a_minute_is_not_started_anew(self):
        world = workerworld.World(workers=12)
        world.run(0.5)
        job = self.submit(world, submission=1)
        world.run(10.0)
        for submission in range(2, 48):
            self.check_given_up(world, job)
            world.answers.clear()
            # The entry host has forgotten what it knew of the job.
            world.repeat_offer(job, submission=submission, losses=())
            world.run(RESEND_S)
        self.check_given_up(world, job)

    def test_a_given_up_job_sent_to_the_next_holders_is_not_started_on(self):
        world = workerworld.World(workers=12)
        world.run(0.5)
        job = self.submit(world, submission=1)
        for submission in range(2, 6):
            world.run(10.0)
            # Two starts after three crashes.
            self.check_given_up(world, job, crashes=5)
            world.switch_holder(knows_all=True)
            world.run(5.0)
            world.answers.clear()
            world.repeat_offer(job, submission=submission, losses=())


class UnprovenCrashTest(testtools.TestCase):
    """Executors crash when a task's run is over or hasn't begun."""

    def submit(self, world):
        job = world.submit(
            tasks=1,
            work_s=2.0,
            patience_ms=LONG_PATIENCE_MS,
            target_ms=LONG_PATIENCE_MS,
        )
        return job, work.TaskId(job, 0, 0)

    def crash_behind_cut(self, world, names, *, after_s):
        """Cut workers off and crash them a time after that."""
        world.net.cut |= names
        world.run(after_s)
        for name in names:
            world.crash(name, restart_s=0.5, is_dark=True)
        world.run(0.6)

    def test_a_job_is_not_failed_by_crashes_after_the_leases_of_its_runs(self):
        world = workerworld.World(workers=6)
        world.run(0.5)
        job, _ = self.submit(world)
        for _ in range(3):
            world.run(0.3)
            busy = {n for n, m in world.workers.items() if m.running}
            self.crash_behind_cut(world, busy, after_s=1.3)
        world.run(30.0)
        self.assertIsNot(work.Outcome.FAILED, world.outcome(job))

    def test_a_job_is_not_failed_by_crashes_before_its_runs_began(self):
        world = workerworld.World(workers=6)
        world.run(0.5)
        job, task = self.submit(world)
        world.run(0.3)
        busy = {n for n, m in world.workers.items() if m.running}
        for name in busy:
            world.crash(name, restart_s=0.5)
        # All others are cut off when the task is to start again.
        idle = {n for n, m in world.workers.items() if m.is_up}
        self.crash_behind_cut(world, idle, after_s=1.2)
        world.run(30.0)
        self.assertIs(work.Outcome.COMPLETED, world.outcome(job))
        self.assertEqual(2, world.starts_of[task])

    def test_starts_that_another_incarnation_rejects_give_up_no_job(self):
        for seed in range(1, 21):
            world = workerworld.World(workers=8, seed=seed)
            world.run(0.5)
            for name in list(world.workers):
                world.crash(name, restart_s=0.05)
            # Before the next reports.
            world.run(0.06)
            job, task = self.submit(world)
            world.run(30.0)
            self.assertIs(work.Outcome.COMPLETED, world.outcome(job))
            self.assertEqual(1, world.starts_of[task])

    def test_no_job_is_failed_by_cuts_and_crashes_of_executors(self):
        for seed in range(SCHEDULES):
            rng = random.Random(seed)
            world = workerworld.World(seed=seed, workers=rng.choice([4, 12]))
            for _ in range(40):
                world.run(rng.expovariate(4.0))
                event = rng.random()
                names = {n for n, m in world.workers.items() if m.is_up}
                chosen = set(rng.sample(sorted(names), len(names) // 3))
                if event < 0.1:
                    world.switch_holder(knows_all=rng.random() < 0.5)
                elif event < 0.25:
                    world.net.cut ^= chosen
                elif event < 0.4:
                    for name in chosen:
                        world.crash(
                            name,
                            restart_s=rng.uniform(0.2, 2.0),
                            is_dark=name in world.net.cut,
                        )
                else:
                    world.submit(
                        tasks=rng.choice([1, 2, 8]),
                        work_s=rng.choice([0.06, 0.2, 0.9]),
                        patience_ms=LONG_PATIENCE_MS,
                        target_ms=LONG_PATIENCE_MS,
                    )
            world.net.cut -= {n for n, m in world.workers.items() if m.is_up}
            world.run(30.0)
            outcomes = {world.outcome(job) for job in world.jobs}
            self.assertNotIn(work.Outcome.FAILED, outcomes, seed)


class CrashScheduleTest(testtools.TestCase):
    """Random schedules of crashing tasks, holders, cuts and lost answers."""

    def test_no_task_is_started_more_than_twice_after_three_crashes(self):
        for seed in range(SCHEDULES):
            rng = random.Random(seed)
            world = workerworld.World(seed=seed, workers=rng.choice([4, 12]))
            world.net.response_loss_rate = rng.choice([0.0, 0.05])
            world.crash_options = {
                "is_dark": rng.random() < 0.3,
                "restart_s": rng.uniform(0.5, 6.0),
            }
            for _ in range(40):
                world.run(rng.expovariate(4.0))
                event = rng.random()
                if event < 0.1:
                    world.switch_holder(knows_all=rng.random() < 0.5)
                elif event < 0.2:
                    names = rng.sample(sorted(world.workers), 2)
                    world.net.cut ^= set(names) - set(world.refusing)
                else:
                    world.submit(
                        tasks=rng.choice([1, 2, 8]),
                        work_s=rng.choice([0.06, 0.2, 0.9]),
                        patience_ms=LONG_PATIENCE_MS,
                        crashing=(0,) if rng.random() < 0.2 else (),
                    )
            world.net.cut -= set(world.net.cut) - set(world.refusing)
            world.run(30.0)
            crashing = {task.job for task in world.crashing}
            for job, (_, answer) in world.answers.items():
                self.assertIsNot(work.Outcome.FAILED, answer.outcome)
                if job not in crashing:
                    self.assertNotEqual(engine.CRASHES, answer.reason)


class CrashLoadTest(testtools.TestCase):
    """Callers of other jobs while a tenth of one kind crashes executors."""

    def earned_by_window(self, seed):
        """Return the share of their value that the other jobs earn.

        :returns: a share for each window of arrival
        """
        rng = random.Random(seed)
        world = workerworld.World(seed=seed, workers=0)
        for number in range(WORKERS):
            world.add_worker(
                cpu=48_000 if number % 3 == 2 else 32_000,
                speed=(0.8, 1.0, 1.25)[number // 8],
            )
        world.run(4.0)
        start = world.now
        arrivals = sorted(
            (at, kind)
            for kind in test_baselines.KINDS
            for at in test_backlog.arrival_times(
                rng, LOAD * kind.per_s, LOAD_S
            )
        )
        windows = collections.defaultdict(list)
        for at, kind in arrivals:
            world.run(max(0.0, start + at - world.now))
            is_crashing = (
                kind is test_baselines.KINDS[0]
                and CRASHING_S[0] <= at < CRASHING_S[1]
                and rng.random() < CRASHING_SHARE
            )
            work_s = kind.work_s * rng.lognormvariate(0.0, 0.15)
            job = world.submit(
                tasks=max(1, round(kind.tasks * rng.lognormvariate(0, 0.4))),
                work_s=work_s,
                cpu=int(14_000 * rng.uniform(0.8, 1.1)),
                estimated_s=kind.work_s * rng.lognormvariate(0.0, 0.4),
                priority=kind.priority,
                crashing=(0,) if is_crashing else (),
                leaves=True,
            )
            if not is_crashing:
                windows[int(at / WINDOW_S)].append((job, kind, work_s))
        world.run(8.0)
        return [
            sum(test_baselines.earned_value(world, *row) for row in rows)
            / sum(kind.value for _, kind, _ in rows)
            for _, rows in sorted(windows.items())
        ]

    def check(self, seed):
        earned = self.earned_by_window(seed)
        self.assertGreaterEqual(min(earned), MIN_EARNED, earned)

    def test_other_callers_hardly_notice(self):
        self.check(1)

    def test_other_callers_hardly_notice_second_seed(self):
        self.check(2)

    def test_other_callers_hardly_notice_third_seed(self):
        self.check(3)
