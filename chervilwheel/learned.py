"""Run times learned from what was seen, with a fading memory."""

import math
import typing

LEAST_MS = 1.0
STEPS_PER_DOUBLING = 4
BUCKETS = 96
FADE_AFTER = 512
FADE = 0.5
MIN_SAMPLES = 20


class RunTimes:
    """A small histogram of run times that forgets old ones."""

    __slots__ = ("_counts", "_total", "_since_fade")

    def __init__(self) -> None:
        self._counts = [0.0] * BUCKETS
        self._total = 0.0
        self._since_fade = 0

    @property
    def is_known(self) -> bool:
        """Whether enough was seen to judge by."""
        return self._total >= MIN_SAMPLES

    def add(self, run_ms: float) -> None:
        """Note a run time, milliseconds."""
        self._counts[_bucket(run_ms)] += 1.0
        self._total += 1.0
        self._since_fade += 1
        if self._since_fade >= FADE_AFTER:
            self._fade()

    def quantile_ms(self, share: float) -> float:
        """Return the time that a share of runs stays below.

        :param share: from 0 to 1
        :returns: milliseconds, the upper edge of its bucket; 0 if none
        """
        wanted = share * self._total
        seen = 0.0
        for place, count in enumerate(self._counts):
            seen += count
            if count and seen >= wanted:
                return _upper_ms(place)
        return 0.0

    def _fade(self) -> None:
        self._since_fade = 0
        self._counts = [count * FADE for count in self._counts]
        self._total *= FADE


class LearnedTimes:
    """Run times by key, with a bound on the number of keys.

    :param limit: keys at most; the oldest goes first
    """

    def __init__(self, *, limit: int = 1024) -> None:
        self._limit = limit
        self._times: dict[typing.Hashable, RunTimes] = {}

    def add(self, key: typing.Hashable, run_ms: float) -> None:
        """Note a run time of a key, milliseconds."""
        times = self._times.get(key)
        if times is None:
            if len(self._times) >= self._limit:
                del self._times[next(iter(self._times))]
            times = self._times[key] = RunTimes()
        times.add(run_ms)

    def get(self, key: typing.Hashable) -> RunTimes | None:
        """Return what is known of a key, None when it is too little."""
        times = self._times.get(key)
        return times if times is not None and times.is_known else None


def _bucket(run_ms: float) -> int:
    if run_ms <= LEAST_MS:
        return 0
    steps = math.log2(run_ms / LEAST_MS) * STEPS_PER_DOUBLING
    return min(BUCKETS - 1, math.ceil(steps))


def _upper_ms(place: int) -> float:
    return LEAST_MS * 2 ** (place / STEPS_PER_DOUBLING)
