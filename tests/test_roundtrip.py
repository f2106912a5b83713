"""Tests of the estimate of executors' answer times."""

import testtools

from chervilwheel.workers import roundtrip


class RoundTripEstimatorTest(testtools.TestCase):
    """The timeout follows the answers that arrive."""

    def test_the_timeout_falls_to_that_of_fast_answers(self):
        estimator = roundtrip.RoundTripEstimator()
        for _ in range(50):
            estimator.record(0.003)
        self.assertLess(estimator.timeout_s, 0.01)

    def test_answers_that_wait_in_a_busy_host_are_not_taken_for_lost(self):
        estimator = roundtrip.RoundTripEstimator()
        for _ in range(50):
            estimator.record(0.003)
        for _ in range(10):
            estimator.record(0.2)
        self.assertGreater(estimator.timeout_s, 0.2)
