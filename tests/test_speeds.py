"""Tests of the learned speeds of executors and run times of queues."""

import math
import random

import testtools

from chervilwheel.workers import speeds

EXECUTORS = 40
ESTIMATE_S = 0.1
# Runs of an executor within 3 s of load.
RUNS = 24


class Site:
    """A table, and runs with random errors of their estimates."""

    def __init__(self, *, seed=1, spread=0.4, table=None):
        self.table = table or speeds.SpeedTable()
        self._rng = random.Random(seed)
        self._spread = spread
        self._jobs = 0
        self.now = 0.0
        for number in range(EXECUTORS):
            self.table.add_executor(f"other-{number}", 0, 0.0)

    def run(self, executor, speed, *, queue="q", factor=1.0):
        """Record one run."""
        self._jobs += 1
        error = self._rng.lognormvariate(0.0, self._spread)
        return self.table.record(
            executor,
            queue,
            job=f"{self._jobs}",
            ran_s=ESTIMATE_S * factor * error / speed,
            estimated_s=ESTIMATE_S,
            now=self.now,
        )

    def run_others(self, count, *, speed=1.0, **options):
        for number in range(count):
            self.run(f"other-{number % EXECUTORS}", speed, **options)


class SpeedTableTest(testtools.TestCase):
    def speed_after(self, runs, *pairs, seeds=20):
        """Return the speeds found after runs at each of some speeds."""
        found = []
        for seed in range(seeds):
            site = Site(seed=seed)
            site.run_others(400)
            site.table.add_executor("x", 0, 0.0)
            speed = 1.0
            for true_speed, count in (*pairs[:-1], (pairs[-1], runs)):
                for _ in range(count):
                    speed = site.run("x", true_speed)
                    site.run_others(1)
            found.append(speed)
        return found

    def test_an_executor_without_runs_counts_as_nominal(self):
        self.assertEqual(1.0, speeds.SpeedTable().add_executor("x", 0, 0.0))

    def test_few_runs_dont_change_a_speed(self):
        # Guards against decisions on the error of a few estimates.
        self.assertEqual({1.0}, set(self.speed_after(4, 1.0)))

    def test_a_slow_executor_is_found_within_3_s(self):
        found = self.speed_after(RUNS, 0.6)
        self.assertGreaterEqual(sum(s < speeds.SLOW for s in found), 16)
        self.assertEqual(0, sum(s > 1.0 for s in found))

    def test_a_fast_executor_is_found_within_3_s(self):
        found = self.speed_after(RUNS, 1.6)
        self.assertGreaterEqual(sum(s > speeds.FAST for s in found), 13)
        self.assertEqual(0, sum(s < 1.0 for s in found))

    def test_a_changed_speed_is_learned_again_within_3_s(self):
        # Guards against a long memory that outlives a change.
        found = self.speed_after(RUNS, (1.0, 200), 0.6)
        self.assertGreaterEqual(sum(s < speeds.SLOW for s in found), 14)

    def test_a_slow_executor_that_recovers_is_used_again_within_3_s(self):
        found = self.speed_after(RUNS, (0.6, 200), 1.0)
        self.assertGreaterEqual(sum(s == 1.0 for s in found), 16)

    def test_speeds_near_the_nominal_one_are_nominal(self):
        for true_speed in (0.85, 1.0, 1.18):
            found = self.speed_after(200, true_speed)
            self.assertGreaterEqual(sum(s == 1.0 for s in found), 19)

    def test_a_queue_with_wrong_estimates_says_nothing_about_executors(self):
        site = Site()
        site.run_others(400)
        site.table.add_executor("x", 0, 0.0)
        site.run_others(400, queue="long", factor=1.8)
        for _ in range(100):
            site.run_others(1, queue="long", factor=1.8)
            site.run("x", 1.0, queue="long", factor=1.8)
        self.assertFalse(site.table.is_uneven)
        self.assertAlmostEqual(
            1.8, site.table.queue_factor("long"), delta=0.25
        )

    def test_a_queue_that_uses_fast_executors_only_keeps_their_speed(self):
        # Guards against a feedback: long tasks go to fast executors, whose
        # speed would then be taken for a property of the queue.
        site = Site()
        site.run_others(400)
        site.table.add_executor("x", 0, 0.0)
        for _ in range(60):
            site.run("x", 1.6)
            site.run_others(1)
        for _ in range(400):
            speed = site.run("x", 1.6, queue="long")
        self.assertGreater(speed, speeds.FAST)

    def test_tasks_of_one_job_count_once(self):
        # Guards against a wrong estimate of one job with many tasks.
        site = Site()
        site.run_others(400)
        site.table.add_executor("x", 0, 0.0)
        for _ in range(50):
            speed = site.table.record(
                "x", "q", job="j", ran_s=0.3, estimated_s=0.1, now=0.0
            )
        self.assertEqual(1.0, speed)

    def test_a_new_incarnation_has_no_history(self):
        site = Site()
        site.run_others(400)
        site.table.add_executor("x", 1, 0.0)
        for _ in range(100):
            site.run("x", 0.6)
        self.assertEqual(1, site.table.slow)
        self.assertEqual(1.0, site.table.add_executor("x", 2, 0.0))
        self.assertEqual(0, site.table.slow)

    def test_records_are_dropped_with_their_executors(self):
        site = Site()
        for number in range(1_000):
            site.table.add_executor(f"x-{number}", 0, 0.0)
            site.table.remove_executor(f"x-{number}")
        self.assertEqual(EXECUTORS, len(site.table._records))
        self.assertEqual(1.0, site.run("x-1", 0.6))

    def test_the_oldest_queue_is_dropped(self):
        site = Site()
        site.run_others(20, queue="first", factor=1.5)
        for number in range(speeds.MAX_QUEUES):
            site.run_others(1, queue=f"queue-{number}")
        self.assertEqual(speeds.MAX_QUEUES, len(site.table._queues))
        self.assertEqual(1.0, site.table.queue_factor("first"))

    def test_times_that_cant_be_are_ignored(self):
        site = Site()
        for ran_s, estimated_s in ((0.0, 0.1), (-1.0, 0.1), (0.1, 0.0)):
            speed = site.table.record(
                "other-1",
                "q",
                job="j",
                ran_s=ran_s,
                estimated_s=estimated_s,
                now=0.0,
            )
            self.assertEqual(1.0, speed)

    def test_changes_of_classes_are_logged_a_bounded_number_of_times(self):
        table = speeds.SpeedTable()
        row = speeds.SpeedRow("x", 0, 0.6, speeds.MAX_WEIGHT)
        table.restore(
            (row._replace(id=f"x-{number}") for number in range(300)), 1.0
        )
        with self.assertLogs("engine") as logs:
            for number in range(300):
                table.add_executor(f"x-{number}", 0, 1.0)
        self.assertEqual(300, table.slow)
        self.assertLessEqual(len(logs.records), speeds.MAX_LOGGED)


class TransferTest(testtools.TestCase):
    def learned(self):
        """Return a table with a slow, a fast and a nominal executor."""
        site = Site()
        site.run_others(400)
        for name in ("slow", "fast", "nominal"):
            site.table.add_executor(name, 5, 0.0)
        for _ in range(80):
            site.run("slow", 0.6)
            site.run("fast", 1.6)
            site.run("nominal", 1.0)
        return site.table

    def test_only_speeds_outside_the_band_are_sent(self):
        rows = self.learned().rows()
        self.assertEqual({"slow", "fast"}, {row.id for row in rows})

    def test_a_new_holder_begins_with_them_at_a_reduced_weight(self):
        rows = self.learned().rows()
        table = speeds.SpeedTable()
        table.restore(rows, 0.0)
        self.assertLess(table.add_executor("slow", 5, 0.0), speeds.SLOW)
        self.assertGreater(table.add_executor("fast", 5, 0.0), speeds.FAST)
        self.assertEqual(1.0, table.add_executor("nominal", 5, 0.0))
        for row in table.rows():
            self.assertLess(row.weight, speeds.MAX_WEIGHT)

    def test_a_row_of_another_incarnation_is_ignored(self):
        table = speeds.SpeedTable()
        table.restore(self.learned().rows(), 0.0)
        self.assertEqual(1.0, table.add_executor("slow", 6, 0.0))

    def test_a_table_is_forgotten_after_a_minute(self):
        # Guards against a speed of an executor that returns long after.
        table = speeds.SpeedTable()
        table.restore(self.learned().rows(), 0.0)
        self.assertEqual(1.0, table.add_executor("slow", 5, 61.0))

    def test_a_wrong_table_is_corrected_by_runs(self):
        # Guards against a stale table that keeps an executor out of use.
        site = Site()
        site.table.restore([speeds.SpeedRow("x", 0, 0.6, 60.0)], 0.0)
        site.table.add_executor("x", 0, 0.0)
        site.run_others(400)
        for _ in range(RUNS):
            speed = site.run("x", 1.0)
        self.assertEqual(1.0, speed)

    def test_invalid_rows_are_ignored(self):
        table = speeds.SpeedTable()
        rows = (
            speeds.SpeedRow("x", 0, speed, weight)
            for speed, weight in (
                (0.0, 10.0),
                (-1.0, 10.0),
                (math.nan, 10.0),
                (math.inf, 10.0),
                (1e30, 10.0),
                (0.6, math.nan),
                (0.6, -1.0),
                (0.6, 1e9),
            )
        )
        table.restore(rows, 0.0)
        self.assertEqual(1.0, table.add_executor("x", 0, 0.0))

    def test_a_table_is_bounded(self):
        table = speeds.SpeedTable()
        for number in range(1_000):
            table.restore([speeds.SpeedRow(f"x-{number}", 0, 0.6, 60.0)], 0.0)
            table.add_executor(f"x-{number}", 0, 0.0)
        self.assertEqual(speeds.MAX_ROWS, len(table.rows()))
