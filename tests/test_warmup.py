"""Tests of how cold executors are warmed up."""

import testtools

from chervilwheel.workers import warmup

RATE = warmup.ColdRate()


def cold(period, at, cold_s, rate=RATE):
    return warmup.reported(period, cold_s=cold_s, rate=rate, at=at)


class WarmupTest(testtools.TestCase):
    """What an executor may have while it is cold."""

    def test_the_share_grows_to_all_over_several_reports(self):
        period = cold(warmup.ColdPeriod(), 10.0, 4.0)
        self.assertEqual(0.0, period.share(10.0))
        period = cold(period, 11.5, 2.5)
        self.assertEqual(0.5, period.share(12.0))
        self.assertEqual(1.0, period.share(14.0))

    def test_a_restart_begins_a_new_cold_period(self):
        period = cold(warmup.ColdPeriod(), 10.0, 4.0)
        period = cold(period, 13.0, 4.0)
        self.assertEqual(0.0, period.share(13.0))

    def test_a_new_holder_knows_the_share_from_the_configured_time(self):
        rate = warmup.ColdRate(start_s=4.0)
        period = cold(warmup.ColdPeriod(), 13.0, 1.0, rate)
        self.assertEqual(0.75, period.share(13.0))

    def test_a_report_from_before_the_reopening_does_not_end_it(self):
        period = warmup.reopened(10.0)
        self.assertEqual(period, cold(period, 9.0, 0.0))
        self.assertFalse(cold(period, 10.5, 0.0).is_cold(10.5))

    def test_a_cold_executor_may_always_have_one_run(self):
        period = cold(warmup.ColdPeriod(), 10.0, 4.0)
        for runs, expected in ((0, True), (1, False)):
            may_start = warmup.may_start(
                period, runs=runs, used_cpu=8 * runs, cpu=32, now=10.5
            )
            self.assertIs(expected, may_start)
