"""Read reports of runs and show them as a table or a plot."""

import json
import pathlib
import typing

COLUMNS = (
    "scenario",
    "seed",
    "tasks",
    "answered",
    "failed",
    "not_run",
    "outcome_unknown",
    "lost",
    "doubled",
    "partial",
    "crossed",
    "false_not_run",
    "wasted_per_task",
    "cpu_ms_per_task",
)


def quantile(values: typing.Sequence[float], fraction: float) -> float | None:
    """Return a quantile of sorted values, or None if there are none."""
    if not values:
        return None
    index = min(len(values) - 1, int(fraction * len(values)))
    return round(values[index], 2)


def table(reports: typing.Sequence[dict[str, typing.Any]]) -> str:
    """Format reports as a plain-text table."""
    columns = (*COLUMNS, "p50", "p99", "p999")
    rows = [columns]
    for report in reports:
        quantiles = report["over_ideal_ms"]
        cells = [str(report.get(name)) for name in COLUMNS]
        cells += [str(quantiles[name]) for name in ("p50", "p99", "p999")]
        rows.append(tuple(cells))
    widths = [max(len(row[i]) for row in rows) for i in range(len(columns))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in rows
    )


def plot(
    reports: typing.Sequence[dict[str, typing.Any]], path: pathlib.Path
) -> None:
    """Plot the quantiles of latency over the ideal as bars.

    :param path: the image file; its suffix selects the format
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [f"{r['scenario']}\nseed {r['seed']}" for r in reports]
    figure, axes = pyplot.subplots(figsize=(2 + 1.6 * len(names), 4))
    for offset, key in enumerate(("p50", "p99", "p999")):
        values = [r["over_ideal_ms"][key] or 0.0 for r in reports]
        positions = [i + 0.25 * (offset - 1) for i in range(len(names))]
        axes.bar(positions, values, width=0.25, label=key)
    axes.set_xticks(range(len(names)), names, fontsize=8)
    axes.set_ylabel("latency over ideal, ms")
    axes.set_yscale("symlog", linthresh=1.0)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def read(path: pathlib.Path) -> dict[str, typing.Any]:
    """Read a report file."""
    return json.loads(path.read_text())
