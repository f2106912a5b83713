"""Tests of the measurement of an event loop's turns."""

import testtools

from chervilwheel import clock
from chervilwheel import loopload
from chervilwheel import metrics


class LoopLoadTest(testtools.TestCase):
    """Turns are measured from the end of a poll to the next one."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.histogram = metrics.Histogram(name="loop_turn_ms")
        self.load = loopload.LoopLoad(clk=self.clock, histogram=self.histogram)

    def turn(self, busy_s, wait_s):
        self.clock.advance(busy_s)
        self.load.poll_begins()
        self.clock.advance(wait_s)
        self.load.poll_ended()

    def test_waiting_is_not_counted_as_busy(self):
        self.turn(0.25, 10.0)
        self.turn(0.5, 10.0)
        load = self.load.report()
        self.assertEqual((2, 0.75, 0.5), load[:3])
        self.assertIn("chervilwheel_loop_turn_ms_count 2", self.lines())

    def test_a_report_starts_a_new_measurement(self):
        self.turn(0.5, 1.0)
        self.load.report()
        self.turn(0.25, 1.0)
        self.assertEqual((1, 0.25, 0.25), self.load.report()[:3])

    def lines(self):
        return "\n".join(self.histogram.lines())
