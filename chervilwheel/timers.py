"""A timer heap, run by the circuits event loop."""

import heapq
import itertools
import logging
import math
import typing

import circuits

from chervilwheel import clock

_LOG = logging.getLogger("timers")

# Rounds of due timers in one run_due() call; bounded, so that callbacks that
# schedule further ones without delay cannot keep the loop from polling.
MAX_ROUNDS = 8

Callback = typing.Callable[[], None]


class Timer:
    """A scheduled callback, which can be cancelled before it runs."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callback) -> None:
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Drop the callback; safe to call more than once."""
        self.callback = None


class TimerHeap:
    """Timers ordered by due time.

    :param clk: the clock that due times are compared with
    :param on_error: called with an exception that a callback raised; the
        other timers still run. The default logs it.
    """

    def __init__(
        self,
        *,
        clk: clock.Clock,
        on_error: typing.Callable[[Exception], None] | None = None,
    ) -> None:
        self.clock = clk
        self._on_error = on_error or _log_error
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()

    def call_at(self, when: float, callback: Callback) -> Timer:
        """Run a callback at a monotonic time in seconds."""
        timer = Timer(callback)
        heapq.heappush(self._heap, (when, next(self._sequence), timer))
        return timer

    def call_later(self, seconds: float, callback: Callback) -> Timer:
        """Run a callback after a number of seconds."""
        return self.call_at(self.clock.now() + seconds, callback)

    def call_every(self, seconds: float, callback: Callback) -> None:
        """Run a callback periodically, for the lifetime of the heap."""

        def run_and_reschedule() -> None:
            self.call_later(seconds, run_and_reschedule)
            callback()

        self.call_later(seconds, run_and_reschedule)

    def run_due(self, *, until: float = math.inf) -> float | None:
        """Run the timers that are due.

        :param until: leave timers that became due after this time, seconds
        :returns: seconds until the next timer, None if there is none
        """
        for _ in range(MAX_ROUNDS):
            now = min(self.clock.now(), until)
            if not self._heap or self._heap[0][0] > now:
                break
            # A timer that a callback schedules without delay runs in the
            # next round, not after a poll, whose timeout is in whole
            # milliseconds.
            while self._heap and self._heap[0][0] <= now:
                self._run(heapq.heappop(self._heap)[2])
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
        if not self._heap:
            return None
        return max(0.0, self._heap[0][0] - self.clock.now())

    def _run(self, timer: Timer) -> None:
        callback = timer.callback
        timer.callback = None
        if callback is None:
            return
        try:
            callback()
        except Exception as exc:
            self._on_error(exc)


def _log_error(exc: Exception) -> None:
    _LOG.error("timers: a callback failed", exc_info=exc)


class TimerLoop(circuits.BaseComponent):
    """Run a timer heap in the circuits event loop.

    A timer runs after the input that arrived before it was due, so that a
    timeout doesn't expire while the response waits to be read.

    :param heap: the timer heap
    :param polled_at: returns when the last poll for input ended, seconds
    """

    def __init__(
        self, *, heap: TimerHeap, polled_at: typing.Callable[[], float]
    ) -> None:
        super().__init__()
        self._timer_heap = heap
        self._polled_at = polled_at

    @circuits.handler("generate_events", channel="*", priority=50)
    def _on_generate_events(self, event: typing.Any) -> None:
        wait_s = self._timer_heap.run_due(until=self._polled_at())
        if wait_s is not None:
            event.reduce_time_left(wait_s)
