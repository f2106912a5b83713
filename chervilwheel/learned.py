"""Estimate run times from observed ones, with exponential decay."""

import math
import typing

# Upper bound of the first bucket; it doubles every BUCKETS_PER_DOUBLING
# buckets.
MIN_MS = 1.0
BUCKETS_PER_DOUBLING = 4
BUCKET_COUNT = 96
# After this many samples, all counts are multiplied by the factor.
DECAY_INTERVAL = 512
DECAY_FACTOR = 0.5
# Quantiles of fewer samples are not used.
MIN_SAMPLES = 20


class RunTimeHistogram:
    """A histogram of run times in which older samples weigh less."""

    __slots__ = ("_counts", "_total", "_since_decay")

    def __init__(self) -> None:
        self._counts = [0.0] * BUCKET_COUNT
        self._total = 0.0
        self._since_decay = 0

    @property
    def has_enough_samples(self) -> bool:
        """Whether there are enough samples for an estimate."""
        return self._total >= MIN_SAMPLES

    def add(self, run_ms: float) -> None:
        """Add a run time, in milliseconds."""
        self._counts[_bucket_index(run_ms)] += 1.0
        self._total += 1.0
        self._since_decay += 1
        if self._since_decay >= DECAY_INTERVAL:
            self._decay()

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the run times.

        :param quantile: from 0 to 1
        :returns: the upper bound of its bucket in milliseconds, 0 without
            samples
        """
        target = quantile * self._total
        cumulative = 0.0
        for index, count in enumerate(self._counts):
            cumulative += count
            if count and cumulative >= target:
                return _upper_bound_ms(index)
        return 0.0

    def _decay(self) -> None:
        self._since_decay = 0
        self._counts = [count * DECAY_FACTOR for count in self._counts]
        self._total *= DECAY_FACTOR


class LearnedTimes:
    """Run time histograms by key, for a limited number of keys.

    :param limit: maximum number of keys; beyond it, the key that was
        added first is removed
    """

    def __init__(self, *, limit: int = 1024) -> None:
        self._limit = limit
        self._histograms: dict[typing.Hashable, RunTimeHistogram] = {}

    def add(self, key: typing.Hashable, run_ms: float) -> None:
        """Add a run time of a key, in milliseconds."""
        histogram = self._histograms.get(key)
        if histogram is None:
            if len(self._histograms) >= self._limit:
                del self._histograms[next(iter(self._histograms))]
            histogram = self._histograms[key] = RunTimeHistogram()
        histogram.add(run_ms)

    def get(self, key: typing.Hashable) -> RunTimeHistogram | None:
        """Return the histogram of a key, None with too few samples."""
        histogram = self._histograms.get(key)
        return (
            histogram
            if histogram is not None and histogram.has_enough_samples
            else None
        )


def _bucket_index(run_ms: float) -> int:
    if run_ms <= MIN_MS:
        return 0
    position = math.log2(run_ms / MIN_MS) * BUCKETS_PER_DOUBLING
    return min(BUCKET_COUNT - 1, math.ceil(position))


def _upper_bound_ms(index: int) -> float:
    return MIN_MS * 2 ** (index / BUCKETS_PER_DOUBLING)
