"""How busy an event loop is: its turns and the processor time it uses."""

import time
import typing

from chervilwheel import clock
from chervilwheel import metrics


class Load(typing.NamedTuple):
    """The load of an event loop since the last report.

    :ivar turns: number of times that the loop has polled
    :ivar busy_s: time between the end of a poll and the next one, seconds
    :ivar longest_turn_s: the longest such time, seconds
    :ivar cpu_s: processor time of the process, seconds
    """

    turns: int
    busy_s: float
    longest_turn_s: float
    cpu_s: float


class LoopLoad:
    """Measure the turns of an event loop.

    :param clk: the runtime's clock
    :param histogram: receives the duration of each turn
    """

    def __init__(
        self, *, clk: clock.Clock, histogram: metrics.Histogram
    ) -> None:
        self._clock = clk
        self._histogram = histogram
        self._woke_at = clk.now()
        self._turns = 0
        self._busy_s = 0.0
        self._longest_turn_s = 0.0
        self._cpu_at_report_s = time.process_time()

    def poll_begins(self) -> None:
        """Record that the loop has handled all events of its last poll."""
        turn_s = self._clock.now() - self._woke_at
        self._turns += 1
        self._busy_s += turn_s
        self._longest_turn_s = max(self._longest_turn_s, turn_s)
        self._histogram.record(turn_s * 1000)

    def poll_ended(self) -> None:
        """Record that the poll has returned."""
        self._woke_at = self._clock.now()

    def report(self) -> Load:
        """Return the load since the last report, and start a new one."""
        cpu_s = time.process_time()
        load = Load(
            self._turns,
            self._busy_s,
            self._longest_turn_s,
            cpu_s - self._cpu_at_report_s,
        )
        self._turns = 0
        self._busy_s = 0.0
        self._longest_turn_s = 0.0
        self._cpu_at_report_s = cpu_s
        return load
