"""Gauges, counters and histograms in the Prometheus text format."""

import typing

from hdrh import histogram

PREFIX = "chervilwheel_"
# Range of the histograms, in tenths of a millisecond.
MIN_TENTHS = 1
MAX_TENTHS = 3_600_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

Reader = typing.Callable[[], float]


class Histogram:
    """A histogram of durations, with a resolution of 0.1 ms.

    :param name: the metric's name without ``chervilwheel_``
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self._histogram = histogram.HdrHistogram(
            MIN_TENTHS, MAX_TENTHS, SIGNIFICANT_DIGITS
        )
        self._sum_ms = 0.0

    def record(self, value_ms: float) -> None:
        """Record a duration in milliseconds.

        Values outside the range of the histogram are clamped to it.
        """
        tenths = min(MAX_TENTHS, max(MIN_TENTHS, int(value_ms * 10)))
        self._histogram.record_value(tenths)
        self._sum_ms += value_ms

    def lines(self) -> list[str]:
        """Return the lines of the metric, as a Prometheus summary."""
        name = f"{PREFIX}{self.name}"
        rows = [f"# TYPE {name} summary"]
        for percent in PERCENTILES:
            value = self._histogram.get_value_at_percentile(percent) / 10
            quantile = percent / 100
            rows.append(f'{name}{{quantile="{quantile:g}"}} {value:g}')
        rows.append(f"{name}_count {self._histogram.get_total_count()}")
        rows.append(f"{name}_sum {self._sum_ms:g}")
        return rows


class Registry:
    """The metrics of an instance."""

    def __init__(self) -> None:
        self._readers: dict[str, Reader] = {}
        self._tables: list[
            tuple[str, typing.Callable[[], typing.Mapping[str, float]]]
        ] = []
        self._timings: list[Histogram] = []

    def register(self, name: str, reader: Reader) -> None:
        """Register a metric whose value is read on each scrape."""
        self._readers[name] = reader

    def register_table(
        self,
        prefix: str,
        reader: typing.Callable[[], typing.Mapping[str, float]],
    ) -> None:
        """Register a mapping of metrics, read on each scrape.

        :param prefix: prepended to each key of the mapping
        """
        self._tables.append((prefix, reader))

    def create_histogram(self, name: str) -> Histogram:
        """Create and register a histogram of durations."""
        timing = Histogram(name=name)
        self._timings.append(timing)
        return timing

    def render(self) -> str:
        """Return all metrics in the text format."""
        rows = []
        for name, reader in sorted(self._readers.items()):
            rows.append(f"{PREFIX}{name} {reader():g}")
        for prefix, table in self._tables:
            for name, value in sorted(table().items()):
                rows.append(f"{PREFIX}{prefix}{name} {value:g}")
        for timing in self._timings:
            rows.extend(timing.lines())
        return "\n".join(rows) + "\n"
