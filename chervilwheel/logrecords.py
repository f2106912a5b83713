"""Read the JSON log records of several processes."""

import datetime
import json
import pathlib
import typing

from chervilwheel import errors

Row = dict[str, typing.Any]


class Records(typing.NamedTuple):
    """Log records ordered by time.

    :ivar unreadable: number of lines that could not be parsed as a record
    """

    rows: list[Row]
    unreadable: int


def read(files: typing.Iterable[pathlib.Path]) -> Records:
    """Read log files with one JSON object per line.

    A prefix added by a log collector is ignored. Times come from the wall
    clock of each process, so the order across processes is only as accurate
    as their clocks.

    :raises errors.StorageError: when a file can't be read
    """
    rows: list[Row] = []
    unreadable = 0
    for path in files:
        for line in _read_lines(path):
            row = _parse(line)
            if row is None:
                unreadable += bool(line.strip())
            else:
                rows.append(row)
    rows.sort(key=lambda row: str(row.get("at", "")))
    return Records(rows, unreadable)


def parse_time(row: Row) -> datetime.datetime | None:
    """Parse the timestamp of a record, None when it is invalid."""
    try:
        return datetime.datetime.fromisoformat(str(row.get("at", "")))
    except ValueError:
        return None


def _read_lines(path: pathlib.Path) -> list[str]:
    try:
        return path.read_text(errors="replace").splitlines()
    except OSError as exc:
        raise errors.StorageError(f"{path}: {exc.strerror}") from exc


def _parse(line: str) -> Row | None:
    """Parse the JSON object in a line, None when there is none."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        row = json.loads(line[start:])
    except ValueError:
        return None
    return row if isinstance(row, dict) and "message" in row else None
