"""Tests of the forecast of free CPU."""

import math

import testtools

from chervilwheel import ids
from chervilwheel.workers import capacity
from chervilwheel.workers import jobstate
from chervilwheel.workers import work

SERVICE = ids.ServiceId("service")
EXECUTOR = work.Room(32, 1_000)


def make_state(*, tasks=1, cpu=16, priority=1, work_ms=200, number=0):
    job = work.Job(
        id=ids.JobId(f"{number:016x}"),
        queue="q",
        service=SERVICE,
        priority=priority,
        attempts=1,
        stretch=1.6,
        target_ms=60,
        patience_ms=1_000,
        spec="",
        steps=(work.Step(tasks, work.Room(cpu, 1), work_ms),),
    )
    return jobstate.JobState(job=job, entry=ids.InstanceId("e"), now=0.0)


def make_outlook(*, executors=2, runs=0, work_above=0.0):
    """Return an outlook; each run takes half an executor for 0.3 s."""
    open_capacity = capacity.OpenCapacity({EXECUTOR: executors})
    forecast = capacity.Forecast(cpu=open_capacity.cpu)
    for _ in range(runs):
        forecast.add_run(16.0, 0.3)
    forecast.settle()
    return capacity.Outlook(
        capacity=open_capacity,
        forecast=forecast,
        work_above=lambda _: work_above,
        now=0.0,
    )


class OpenCapacityTest(testtools.TestCase):
    """What tasks need, with what they leave unusable."""

    def test_tasks_that_do_not_fit_together_leave_room_unused(self):
        open_capacity = capacity.OpenCapacity({EXECUTOR: 3})
        self.assertEqual(16.0, open_capacity.need(work.Room(14, 1)))
        self.assertEqual(32.0, open_capacity.need(work.Room(17, 1)))
        self.assertEqual(math.inf, open_capacity.need(work.Room(33, 1)))

    def test_memory_limits_the_number_of_tasks_too(self):
        open_capacity = capacity.OpenCapacity({EXECUTOR: 1})
        self.assertEqual(32.0, open_capacity.need(work.Room(1, 600)))


class OutlookTest(testtools.TestCase):
    """When jobs can start."""

    def test_a_job_waits_for_the_end_of_the_runs(self):
        outlook = make_outlook(runs=4)
        self.assertAlmostEqual(0.3, outlook.wait_s(make_state(), 0.0))

    def test_a_job_waits_for_those_of_its_priority_and_above(self):
        outlook = make_outlook()
        outlook.add_waiting(make_state(tasks=4, priority=1))
        self.assertEqual(0.0, outlook.wait_s(make_state(priority=0), 0.0))
        for priority in (1, 2):
            wait_s = outlook.wait_s(make_state(priority=priority), 0.0)
            self.assertAlmostEqual(0.2, wait_s)

    def test_new_jobs_count_until_the_next_forecast(self):
        outlook = make_outlook(runs=2)
        first = make_state(tasks=2)
        self.assertEqual(0.0, outlook.wait_s(first, 0.0))
        outlook.add_new(first)
        self.assertAlmostEqual(0.3, outlook.wait_s(make_state(), 0.0))
        urgent = make_state(priority=0)
        self.assertEqual(0.0, outlook.wait_s(urgent, 0.0))

    def test_arriving_work_above_leaves_only_a_share(self):
        outlook = make_outlook(runs=2, work_above=32.0)
        self.assertEqual(0.0, outlook.wait_s(make_state(tasks=1), 0.0))
        self.assertAlmostEqual(0.3, outlook.wait_s(make_state(tasks=2), 0.0))

    def test_work_beyond_the_forecast_has_a_finite_wait(self):
        outlook = make_outlook()
        wait_s = outlook.wait_s(make_state(tasks=4_000), 0.0)
        self.assertGreater(wait_s, 2.0)
        self.assertLess(wait_s, 1_000.0)


class ArrivalRatesTest(testtools.TestCase):
    """The rate of arriving work."""

    def test_a_steady_load_is_measured(self):
        rates = capacity.ArrivalRates()
        for number in range(500):
            now = number / 50
            rates.record(make_state(priority=0).job, now)
        # 50 tasks a second of 16 units for 0.2 s.
        self.assertAlmostEqual(160, rates.above(SERVICE, 1, now), delta=8)
        self.assertEqual(0, rates.above(SERVICE, 0, now))
