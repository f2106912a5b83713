"""Bounds of an executor's clock, from the readings in its messages."""

import math

# Maximum rate by which an executor's clock may run slower than the local one,
# as set by the protocol.
MAX_CLOCK_DRIFT = 0.02
RESOLUTION_MS = 1
# Executors may read their clock once a tick, so that the reading in an answer
# may be this much older than the order.
MAX_READING_AGE_MS = 50


class ClockEstimate:
    """An interval that contains the clock of one executor incarnation.

    An answer's reading was taken between the order and the answer, which
    bounds the clock on both sides. A report may have waited anywhere on its
    way, so that its reading is a lower bound only. Between readings, the
    bounds move apart by the maximum drift.
    """

    def __init__(self) -> None:
        self._at = 0.0
        self._lower_ms = -math.inf
        self._upper_ms = math.inf
        self._since = 0.0

    def lower_ms(self, at: float) -> float:
        """Return the least that the clock may show at a time."""
        elapsed_ms = (at - self._at) * 1000
        slowest = 1 - MAX_CLOCK_DRIFT if elapsed_ms > 0 else 1.0
        return self._lower_ms + elapsed_ms * slowest

    def upper_ms(self, at: float) -> float:
        """Return the most that the clock may show at a time."""
        elapsed_ms = (at - self._at) * 1000
        fastest = 1.0 if elapsed_ms > 0 else 1 - MAX_CLOCK_DRIFT
        return self._upper_ms + elapsed_ms * fastest

    def latest_time_of(self, clock_ms: int) -> float:
        """Return the latest time at which the clock shows a value, seconds."""
        remaining_s = (clock_ms - self._lower_ms) / 1000
        return self._at + remaining_s / (1 - MAX_CLOCK_DRIFT)

    def age_s(self, now: float) -> float:
        """Return the time since the last reading that was used, seconds."""
        return now - self._at

    def uncertainty_s(self, at: float) -> float:
        """Return the width of the interval, seconds."""
        return (self.upper_ms(at) - self.lower_ms(at)) / 1000

    def record_report(
        self, clock_ms: int, now: float, *, age_s: float = 0.0
    ) -> None:
        """Use the reading of a report.

        One above the upper bound is of another incarnation.

        :param age_s: minimum time since the report was sent, seconds
        """
        lower_ms = clock_ms + age_s * 1000 * (1 - MAX_CLOCK_DRIFT)
        if self.lower_ms(now) < lower_ms <= self.upper_ms(now):
            self._set(lower_ms, self.upper_ms(now), now)

    def record_answer(
        self, clock_ms: int, *, sent_at: float, now: float
    ) -> bool:
        """Use the reading of an answer.

        A reading outside the interval shows a clock that has been set, or
        that of another incarnation. The interval begins anew with it, unless
        it is above and the order was sent before the present interval began:
        an incarnation that has ended may have answered it.

        :param sent_at: when the order was sent, seconds
        :returns: False if the clock has gone back
        """
        oldest_ms = (now - sent_at) * 1000 + MAX_READING_AGE_MS
        latest_ms = clock_ms + RESOLUTION_MS + oldest_ms
        lower_ms, upper_ms = self.lower_ms(now), self.upper_ms(now)
        has_gone_back = latest_ms < lower_ms
        if has_gone_back or (clock_ms > upper_ms and sent_at >= self._since):
            self._since = now
            self._set(clock_ms, latest_ms, now)
        elif clock_ms <= upper_ms:
            lower_ms = max(lower_ms, clock_ms)
            upper_ms = max(lower_ms, min(upper_ms, latest_ms))
            self._set(lower_ms, upper_ms, now)
        return not has_gone_back

    def _set(self, lower_ms: float, upper_ms: float, at: float) -> None:
        self._lower_ms, self._upper_ms, self._at = lower_ms, upper_ms, at
