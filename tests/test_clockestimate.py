"""Tests of the bounds of executors' clocks and of the leases under them."""

import itertools
import random

import hypothesis
import testtools
from hypothesis import strategies

from chervilwheel import addresses
from chervilwheel import ids
from chervilwheel.control import controlhost
from chervilwheel.control import entryhost
from chervilwheel.control import holding
from chervilwheel.workers import clockestimate
from chervilwheel.workers import executors
from chervilwheel.workers import leases
from chervilwheel.workers import starter
from chervilwheel.workers import takeover
from chervilwheel.workers import work
from standins import workermodel
from tests import workerworld

STOP_S = 0.05
LIMITS = leases.LeaseLimits(1.0, STOP_S)
# "Its own steady clock, which may be 2% slow."
RATES = strategies.sampled_from((0.98, 0.985, 0.99, 0.995, 1.0))
SEEDS = strategies.integers(0, 2**32 - 1)
HOUR_S = 3600.0
TOKEN = 7
# Target: a new leader starts the tasks of jobs whose earlier runs it doesn't
# know within this time.
MAX_RELEASE_S = 0.8
# Readings and deadlines are whole milliseconds.
ROUNDING_S = 0.003
DETERMINISTIC = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=25
)


class Clock:
    """An executor's clock."""

    def __init__(self, rate, *, started_at=0.0):
        self._rate = rate
        self._started_at = started_at

    def exact_ms(self, at):
        """Return the time that it shows, with fractions."""
        return (at - self._started_at) * 1000 * self._rate

    def ms(self, at):
        """Return a reading."""
        return int(self.exact_ms(at))


def sample_round_trip(rng):
    """Return the ways of an order and its answer, some of them slow."""
    slowness = rng.choice((1, 1, 1, 10, 200))
    return tuple(rng.uniform(0.0002, 0.002) * slowness for _ in range(2))


class ClockEstimateTest(testtools.TestCase):
    """The interval contains the clock and stays narrow."""

    @DETERMINISTIC
    @hypothesis.given(rate=RATES, seed=SEEDS)
    def test_the_interval_contains_the_clock_for_an_hour(self, rate, seed):
        rng = random.Random(seed)
        clock = Clock(rate, started_at=-rng.uniform(0.0, HOUR_S))
        estimate = clockestimate.ClockEstimate()
        now = 0.0
        in_flight = []
        while now < HOUR_S:
            now += rng.choice((0.01, 0.3, 5.0, 60.0)) * rng.random()
            draw = rng.random()
            if draw < 0.2:
                age_s = rng.uniform(0.0, 3.0)
                estimate.record_report(
                    clock.ms(now - age_s),
                    now,
                    age_s=rng.choice((0.0, age_s * rng.random())),
                )
            elif draw < 0.6:
                there_s, back_s = sample_round_trip(rng)
                read_at = now + there_s
                arrives_at = read_at + back_s
                in_flight.append((arrives_at, clock.ms(read_at), now))
            elif in_flight:
                # Answers overtake each other, and some are lost.
                in_flight.sort(key=lambda _: rng.random())
                arrives_at, clock_ms, sent_at = in_flight.pop()
                now = max(now, arrives_at)
                self.assertTrue(
                    estimate.record_answer(clock_ms, sent_at=sent_at, now=now)
                )
            for at in (now, now + rng.uniform(0.0, 30.0)):
                exact_ms = clock.exact_ms(at)
                self.assertLessEqual(estimate.lower_ms(at), exact_ms + 1e-3)
                self.assertGreaterEqual(estimate.upper_ms(at), exact_ms - 1e-3)

    @DETERMINISTIC
    @hypothesis.given(rate=RATES, seed=SEEDS)
    def test_the_error_does_not_grow_with_time(self, rate, seed):
        rng = random.Random(seed)
        clock = Clock(rate)
        estimate = clockestimate.ClockEstimate()
        now = 0.0
        while now < HOUR_S:
            sent_at = now
            there_s, back_s = sample_round_trip(rng)
            now += there_s + back_s
            estimate.record_answer(
                clock.ms(sent_at + there_s), sent_at=sent_at, now=now
            )
            round_trip_s = there_s + back_s
            fixed_s = (
                clockestimate.RESOLUTION_MS + clockestimate.MAX_READING_AGE_MS
            ) / 1000
            self.assertLessEqual(
                estimate.uncertainty_s(now), round_trip_s + fixed_s + 1e-6
            )
            lag_s = (clock.exact_ms(now) - estimate.lower_ms(now)) / 1000
            self.assertLessEqual(lag_s, back_s + 0.001 + 1e-6)
            # Some answers are lost.
            wait_s = 0.3 * rng.choice((1, 1, 1, 2, 5, 15))
            now += wait_s
            self.assertLessEqual(
                estimate.uncertainty_s(now),
                round_trip_s
                + fixed_s
                + clockestimate.MAX_CLOCK_DRIFT * wait_s
                + 1e-6,
            )

    def test_a_late_answer_does_not_widen_the_interval(self):
        clock = Clock(0.98)
        estimate = clockestimate.ClockEstimate()
        estimate.record_answer(clock.ms(100.0), sent_at=100.0, now=100.002)
        before = estimate.lower_ms(109.0), estimate.upper_ms(109.0)
        estimate.record_answer(clock.ms(99.0), sent_at=99.0, now=109.0)
        after = estimate.lower_ms(109.0), estimate.upper_ms(109.0)
        self.assertGreaterEqual(after[0], before[0])
        self.assertLessEqual(after[1], before[1])

    def test_a_restarted_clock_is_used_from_its_first_answer(self):
        former, later = Clock(1.0), Clock(1.0, started_at=100.0)
        estimate = clockestimate.ClockEstimate()
        estimate.record_answer(former.ms(99.0), sent_at=99.0, now=99.001)
        self.assertFalse(
            estimate.record_answer(later.ms(101.0), sent_at=101.0, now=101.001)
        )
        self.assertLessEqual(estimate.lower_ms(102.0), later.exact_ms(102.0))
        self.assertGreaterEqual(
            estimate.upper_ms(102.0), later.exact_ms(102.0)
        )

    def test_answers_and_reports_of_a_former_incarnation_are_ignored(self):
        former, later = Clock(1.0), Clock(0.98, started_at=100.0)
        estimate = clockestimate.ClockEstimate()
        estimate.record_answer(former.ms(99.0), sent_at=99.0, now=99.001)
        estimate.record_answer(later.ms(101.0), sent_at=101.0, now=101.001)
        estimate.record_report(former.ms(99.9), 101.2)
        estimate.record_answer(former.ms(99.9), sent_at=99.8, now=101.3)
        self.assertLessEqual(estimate.lower_ms(102.0), later.exact_ms(102.0))
        self.assertGreaterEqual(
            estimate.upper_ms(102.0), later.exact_ms(102.0)
        )


class Renewals:
    """One holder renews the lease of one executor over a bad network.

    :ivar now: true time, seconds
    :ivar answered_at: when the last answer arrived, seconds
    :ivar back_s: how long it was on its way, seconds
    """

    def __init__(self, *, rate, seed):
        self.now = 10.0
        self.ended_at = 0.0
        self._rng = random.Random(seed)
        self._rate = rate
        self._started_at = self.now - 5.0
        self.model = workermodel.WorkerModel(
            cpu=1,
            now=self._started_at,
            clock_rate=rate,
            stop_s=STOP_S,
            on_end=self._on_end,
        )
        self.executor = executors.Executor(
            report=report(self.model.clock_ms(self.now)),
            last_report_at=self.now,
            stop_s=STOP_S,
            is_synced=True,
        )
        self.executor.clock.record_report(
            self.model.clock_ms(self.now), self.now
        )
        self.answered_at = self.now
        self.back_s = 0.0
        self._actions = []
        self._manager = leases.LeaseManager(
            token=TOKEN, limits=LIMITS, actions=self._actions
        )
        self._task_numbers = itertools.count(1)

    def start(self):
        """Start a run that ends only with its lease."""
        self.model.start(
            f"task-{next(self._task_numbers)}",
            1,
            cpu=1,
            work_s=10 * HOUR_S,
            deadline_ms=self.executor.deadline_ms(
                self.now, starter.START_LEASE_S
            ),
            token=TOKEN,
            now=self.now,
        )

    def _on_end(self, run, _kind):
        self.ended_at = run.ends_at

    def renew(self):
        """Send a renewal, whose answer may be late or lost.

        :returns: when it was sent, seconds
        """
        sent_at = self.now
        executor = self.executor
        executor.is_renewing = executor.is_retrying = False
        executor.unreachable_since = 0.0
        executor.is_synced = True
        self._manager.renew(executor, sent_at)
        order = self._actions.pop()
        there_s, back_s = sample_round_trip(self._rng)
        self.now += there_s
        self.model.renew_lease(
            deadline_ms=order.deadline_ms,
            token=TOKEN,
            acked_upto=0,
            now=self.now,
        )
        clock_ms = self.model.clock_ms(self.now)
        if self._rng.random() < 0.2:
            return sent_at
        self.now += back_s
        executor.clock.record_answer(clock_ms, sent_at=sent_at, now=self.now)
        self.answered_at, self.back_s = self.now, back_s
        return sent_at

    def granted_s(self, now):
        """Return the lease on the executor's clock if it is renewed now."""
        deadline_ms = self.executor.deadline_ms(now, LIMITS.lease_s)
        return (deadline_ms - self.model.clock_ms(now)) / 1000

    def lease_ends_at(self):
        """Return when the lease ends, seconds."""
        return self._started_at + self.model.lease_expires_ms / (
            1000 * self._rate
        )

    def run_ended_at(self):
        """Return when the latest run ended, seconds."""
        self.model.advance(self.now)
        assert not self.model.running
        return self.ended_at


def report(clock_ms):
    """Return a report of an executor."""
    return work.ExecutorReport(
        id=work.ExecutorId("x"),
        service=workerworld.SERVICE,
        address=addresses.Address("10.0.0.1", 8000),
        zone=ids.ZoneId("zone"),
        room=work.Room(32_000, 65_536),
        labels=(),
        is_draining=False,
        is_gone=False,
        remaining_ms=0,
        clock_ms=clock_ms,
        sequence=1,
    )


class LeaseEndTest(testtools.TestCase):
    """No run outlasts the time for which a successor waits."""

    @DETERMINISTIC
    @hypothesis.given(rate=RATES, seed=SEEDS)
    def test_no_lease_outlasts_the_time_that_a_successor_waits(
        self, rate, seed
    ):
        renewals = Renewals(rate=rate, seed=seed)
        rng = random.Random(seed)
        ends_at = renewals.now + HOUR_S
        orders = 0
        while renewals.now < ends_at:
            renewals.now += rng.choice((0.3, 0.3, 0.3, 30.0)) * rng.random()
            sent_at = renewals.renew()
            orders += 1
            run_ends_at = renewals.lease_ends_at() + STOP_S
            self.assertLessEqual(run_ends_at, sent_at + LIMITS.max_run_s)
            executor = renewals.executor
            self.assertLessEqual(
                run_ends_at, executor.latest_end_at(executor.lease_deadline_ms)
            )
        self.assertGreater(orders, 500)

    @DETERMINISTIC
    @hypothesis.given(rate=RATES, seed=SEEDS)
    def test_no_run_outlasts_the_time_that_a_successor_waits(self, rate, seed):
        renewals = Renewals(rate=rate, seed=seed)
        rng = random.Random(seed)
        ends_at = renewals.now + HOUR_S
        ends = 0
        while renewals.now < ends_at:
            renewals.start()
            for _ in range(rng.randint(1, 10)):
                last_order_at = renewals.renew()
                renewals.now += rng.uniform(0.0, 0.3)
            renewals.now += 10.0
            ended_at = renewals.run_ended_at()
            self.assertLessEqual(ended_at, last_order_at + LIMITS.max_run_s)
            ends += ended_at > last_order_at
        self.assertGreater(ends, 100)

    @DETERMINISTIC
    @hypothesis.given(rate=RATES, seed=SEEDS)
    def test_leases_do_not_become_shorter_in_an_hour(self, rate, seed):
        renewals = Renewals(rate=rate, seed=seed)
        rng = random.Random(seed)
        ends_at = renewals.now + HOUR_S
        while renewals.now < ends_at:
            renewals.now += rng.uniform(0.0, 0.3)
            sent_at = renewals.now
            drift_s = clockestimate.MAX_CLOCK_DRIFT * (
                sent_at - renewals.answered_at
            )
            granted_s = renewals.granted_s(sent_at)
            shortest_s = LIMITS.lease_s - renewals.back_s - drift_s
            self.assertGreaterEqual(granted_s, shortest_s - ROUNDING_S)
            self.assertLessEqual(granted_s, LIMITS.lease_s + ROUNDING_S)
            renewals.renew()

    def test_a_new_leader_releases_jobs_in_time(self):
        self.assertLessEqual(LIMITS.max_run_s, MAX_RELEASE_S)

    def test_a_standby_that_is_followed_no_more_has_dropped_the_jobs(self):
        check_s = max(
            controlhost.STATUS_INTERVAL_S, entryhost.HEARTBEAT_INTERVAL_S
        )
        dropped_s = holding.ENTRY_TIMEOUT_S + check_s
        self.assertGreaterEqual(takeover.ENTRY_RELEASE_S, dropped_s)
