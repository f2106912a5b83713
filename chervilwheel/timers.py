"""One heap of timers on the runtime's clock, run by the circuits loop."""

import heapq
import itertools
import logging
import typing

import circuits

from chervilwheel import clock

_LOG = logging.getLogger("timers")

MAX_ROUNDS = 8

Callback = typing.Callable[[], None]


class Timer:
    """A callback that waits for its time; it can be cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callback) -> None:
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Forget the callback; safe to call more than once."""
        self.callback = None


class TimerHeap:
    """Timers ordered by time.

    :param clk: the clock that decides what is due
    :param on_error: told of what a callback raises; the rest goes on
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
        self._order = itertools.count()

    def call_at(self, when: float, callback: Callback) -> Timer:
        """Run a callback at a monotonic time, seconds."""
        timer = Timer(callback)
        heapq.heappush(self._heap, (when, next(self._order), timer))
        return timer

    def call_later(self, seconds: float, callback: Callback) -> Timer:
        """Run a callback after a number of seconds."""
        return self.call_at(self.clock.now() + seconds, callback)

    def every(self, seconds: float, callback: Callback) -> None:
        """Run a callback again and again, for the life of the heap."""

        def again() -> None:
            self.call_later(seconds, again)
            callback()

        self.call_later(seconds, again)

    def run_due(self) -> float | None:
        """Run what is due.

        :returns: seconds until the next timer, None when there is none
        """
        for _ in range(MAX_ROUNDS):
            now = self.clock.now()
            if not self._heap or self._heap[0][0] > now:
                break
            # What a callback sets for now runs in the next round, without
            # a turn of the poller, whose wait is whole milliseconds.
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
    """Run a timer heap in the circuits loop.

    :param heap: the timers
    """

    def __init__(self, *, heap: TimerHeap) -> None:
        super().__init__()
        self._heap_of_timers = heap

    @circuits.handler("generate_events", channel="*", priority=50)
    def _on_generate_events(self, event: typing.Any) -> None:
        wait_s = self._heap_of_timers.run_due()
        if wait_s is not None:
            event.reduce_time_left(wait_s)
