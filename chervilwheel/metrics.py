"""Counters, gauges and histograms in the usual text format."""

import typing

from hdrh import histogram

PREFIX = "chervilwheel_"
LOWEST = 1
HIGHEST = 3_600_000
DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)

Reader = typing.Callable[[], float]


class Timing:
    """A histogram of times in milliseconds, kept in tenths.

    :param name: the metric's name without the prefix
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self._histogram = histogram.HdrHistogram(LOWEST, HIGHEST, DIGITS)
        self._sum_ms = 0.0

    def add(self, value_ms: float) -> None:
        """Note a time."""
        tenths = min(HIGHEST, max(LOWEST, int(value_ms * 10)))
        self._histogram.record_value(tenths)
        self._sum_ms += value_ms

    def lines(self) -> list[str]:
        """Write the histogram as a summary."""
        name = f"{PREFIX}{self.name}"
        rows = [f"# TYPE {name} summary"]
        for percent in QUANTILES:
            value = self._histogram.get_value_at_percentile(percent) / 10
            share = percent / 100
            rows.append(f'{name}{{quantile="{share:g}"}} {value:g}')
        rows.append(f"{name}_count {self._histogram.get_total_count()}")
        rows.append(f"{name}_sum {self._sum_ms:g}")
        return rows


class Registry:
    """All metrics of an instance."""

    def __init__(self) -> None:
        self._readers: dict[str, Reader] = {}
        self._tables: list[
            tuple[str, typing.Callable[[], typing.Mapping[str, float]]]
        ] = []
        self._timings: list[Timing] = []

    def read(self, name: str, reader: Reader) -> None:
        """Offer a number under a name."""
        self._readers[name] = reader

    def read_table(
        self,
        prefix: str,
        reader: typing.Callable[[], typing.Mapping[str, float]],
    ) -> None:
        """Offer a mapping of numbers, each name behind a prefix."""
        self._tables.append((prefix, reader))

    def timing(self, name: str) -> Timing:
        """Make a histogram."""
        timing = Timing(name=name)
        self._timings.append(timing)
        return timing

    def text(self) -> str:
        """Write all metrics."""
        rows = []
        for name, reader in sorted(self._readers.items()):
            rows.append(f"{PREFIX}{name} {reader():g}")
        for prefix, table in self._tables:
            for name, value in sorted(table().items()):
                rows.append(f"{PREFIX}{prefix}{name} {value:g}")
        for timing in self._timings:
            rows.extend(timing.lines())
        return "\n".join(rows) + "\n"
