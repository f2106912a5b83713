"""Put together what processes logged about one request."""

import datetime
import json
import pathlib
import typing

from chervilwheel import errors

# An executor's own trouble shows up to a lease, 0.7 s, and a call's
# timeout before the request that it spoils.
AROUND_S = 2.0
# Fields that every line has.
_COMMON = ("at", "level", "part", "message", "instance")
# Parts that tell of the holder, its orders and its disk.
_BELIEFS = ("holding", "holder", "entry", "group")

Row = dict[str, typing.Any]


class Explanation(typing.NamedTuple):
    """Lines about a request, in order of time.

    :ivar rows: each with ``at``, ``instance``, ``message``, ``about``
        (request, executor or belief) and its other fields
    :ivar unreadable: lines that hold no record of a log
    """

    rows: list[Row]
    unreadable: int


def explain(request: str, files: typing.Sequence[pathlib.Path]) -> Explanation:
    """Find the lines about a request, and what bears on them.

    Besides the lines that name the request there are those about the
    executors that these name, and what their processes came to believe of
    the holder meanwhile. Times are of the wall clock of each process.

    :param request: the id of a job
    :param files: logs, one JSON object a line; what a collector wrote
        before it is passed over
    :raises errors.ChervilwheelError: when a file can't be read
    """
    rows: list[Row] = []
    unreadable = 0
    for path in files:
        for line in _lines(path):
            row = _read(line)
            if row is None:
                unreadable += bool(line.strip())
            else:
                rows.append(row)
    rows.sort(key=lambda row: str(row.get("at", "")))
    found = [row for row in rows if _names(row, request)]
    if not found:
        return Explanation([], unreadable)
    own = {id(row) for row in found}
    executors = {row["executor"] for row in found if "executor" in row}
    times = [at for row in found if (at := _time(row)) is not None]
    told = []
    for row in rows:
        about = "request" if id(row) in own else _bearing(row, executors)
        if about == "request" or about and _is_near(row, times):
            told.append(_tell(row, about))
    return Explanation(told, unreadable)


def _lines(path: pathlib.Path) -> list[str]:
    try:
        return path.read_text(errors="replace").splitlines()
    except OSError as exc:
        raise errors.StorageError(f"{path}: {exc.strerror}") from exc


def _read(line: str) -> Row | None:
    place = line.find("{")
    if place < 0:
        return None
    try:
        row = json.loads(line[place:])
    except ValueError:
        return None
    return row if isinstance(row, dict) and "message" in row else None


def _names(row: Row, request: str) -> bool:
    """Whether a line is about a request: its job, or a task of it."""
    task = row.get("task")
    of_task = task[0] if isinstance(task, list) and task else None
    return request in (row.get("job"), of_task)


def _bearing(row: Row, executors: set[typing.Any]) -> str:
    """Tell what else a line is about, empty for nothing of interest."""
    if "executor" in row and "job" not in row and "task" not in row:
        return "executor" if row["executor"] in executors else ""
    is_belief = row.get("part") in _BELIEFS and "job" not in row
    return "belief" if is_belief else ""


def _time(row: Row) -> datetime.datetime | None:
    """Read the time of a line, None when it can't be read."""
    try:
        return datetime.datetime.fromisoformat(str(row.get("at", "")))
    except ValueError:
        return None


def _is_near(row: Row, times: list[datetime.datetime]) -> bool:
    """Whether a line lies around the lines about the request."""
    at = _time(row)
    if at is None or not times:
        return False
    around = datetime.timedelta(seconds=AROUND_S)
    return min(times) - around <= at <= max(times) + around


def _tell(row: Row, about: str) -> Row:
    rest = {key: row[key] for key in row if key not in _COMMON}
    return {
        "at": row.get("at", ""),
        "instance": row.get("instance", ""),
        "about": about,
        "message": row["message"],
        "fields": rest,
    }
