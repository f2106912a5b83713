"""Tests of the timer heap with a manual clock."""

import testtools

from chervilwheel import clock
from chervilwheel import timers


class AdvancingClock(clock.ManualClock):
    """A clock that advances by a microsecond on every read."""

    def now(self):
        self.advance(1e-6)
        return super().now()


class TimerHeapTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.errors = []
        self.heap = timers.TimerHeap(
            clk=self.clock, on_error=self.errors.append
        )
        self.ran = []

    def _advance(self, seconds):
        self.clock.advance(seconds)
        return self.heap.run_due()

    def test_timers_run_in_due_order_and_not_early(self):
        self.heap.call_later(2.0, lambda: self.ran.append("b"))
        self.heap.call_later(1.0, lambda: self.ran.append("a"))
        self.assertAlmostEqual(0.5, self._advance(0.5))
        self.assertEqual([], self.ran)
        self._advance(2.0)
        self.assertEqual(["a", "b"], self.ran)

    def test_cancelled_timer_does_not_run(self):
        timer = self.heap.call_later(1.0, lambda: self.ran.append("a"))
        timer.cancel()
        self.assertIsNone(self._advance(2.0))
        self.assertEqual([], self.ran)

    def test_timer_without_delay_runs_in_the_same_call(self):
        advancing = AdvancingClock()
        heap = timers.TimerHeap(clk=advancing)

        def first():
            heap.call_later(0.0, lambda: self.ran.append("second"))

        heap.call_later(1.0, first)
        advancing.advance(1.1)
        heap.run_due()
        self.assertEqual(["second"], self.ran)

    def test_failing_callback_does_not_stop_other_timers(self):
        self.heap.call_later(1.0, lambda: 1 / 0)
        self.heap.call_later(1.0, lambda: self.ran.append("a"))
        self._advance(1.0)
        self.assertEqual(["a"], self.ran)
        self.assertIsInstance(self.errors[0], ZeroDivisionError)

    def test_periodic_callback_keeps_its_rate(self):
        self.heap.call_every(0.1, lambda: self.ran.append(self.clock.now()))
        for _ in range(1000):
            self._advance(0.01)
        self.assertAlmostEqual(100, len(self.ran), delta=10)
