"""Collect the log records of several processes about one request."""

import datetime
import pathlib
import typing

from chervilwheel import logrecords

# Maximum distance between a context record and the request's own records.
# An executor failure can be logged up to one lease (0.7 s) plus a call timeout
# before the request that it affects.
CONTEXT_WINDOW_S = 2.0
# Fields that every record has; they aren't repeated under "fields".
_COMMON_FIELDS = ("at", "level", "part", "message", "instance")
# Loggers that report which host is the holder, its commands and its disk.
_HOLDER_LOGGERS = ("holding", "holder", "entry", "group")

Row = logrecords.Row


class Explanation(typing.NamedTuple):
    """Log records about a request, ordered by time.

    :ivar rows: records with ``at``, ``instance``, ``message``, ``about``
        (request, executor or belief) and the remaining fields
    :ivar unreadable: number of lines that could not be parsed as a record
    """

    rows: list[Row]
    unreadable: int


def explain(request: str, files: typing.Sequence[pathlib.Path]) -> Explanation:
    """Find the records about a request and their context.

    The context consists of records about the executors that the request's
    records name, and of records about changes of the holder at about the
    same time. Times come from the wall clock of each process, so the order
    across processes is only as accurate as their clocks.

    :param request: the id of a job
    :param files: log files with one JSON object per line; a prefix added by
        a log collector is ignored
    :raises errors.ChervilwheelError: when a file can't be read
    """
    rows, unreadable = logrecords.read(files)
    matches = [row for row in rows if _refers_to(row, request)]
    if not matches:
        return Explanation([], unreadable)
    match_ids = {id(row) for row in matches}
    executors = {row["executor"] for row in matches if "executor" in row}
    times = [
        at for row in matches if (at := logrecords.parse_time(row)) is not None
    ]
    selected = []
    for row in rows:
        about = (
            "request"
            if id(row) in match_ids
            else _context_kind(row, executors)
        )
        if about == "request" or about and _is_near(row, times):
            selected.append(_format_row(row, about))
    return Explanation(selected, unreadable)


def _refers_to(row: Row, request: str) -> bool:
    """Whether a record names the request's job or one of its tasks."""
    jobs = row.get("jobs")
    if isinstance(jobs, list) and request in jobs:
        return True
    task = row.get("task")
    task_job = task[0] if isinstance(task, list) and task else None
    return request in (row.get("job"), task_job)


def _context_kind(row: Row, executors: set[typing.Any]) -> str:
    """Classify a context record; empty when it isn't relevant."""
    if "executor" in row and "job" not in row and "task" not in row:
        return "executor" if row["executor"] in executors else ""
    is_holder_record = row.get("part") in _HOLDER_LOGGERS and "job" not in row
    return "belief" if is_holder_record else ""


def _is_near(row: Row, times: list[datetime.datetime]) -> bool:
    """Whether a record was logged close to the request's records."""
    at = logrecords.parse_time(row)
    if at is None or not times:
        return False
    window = datetime.timedelta(seconds=CONTEXT_WINDOW_S)
    return min(times) - window <= at <= max(times) + window


def _format_row(row: Row, about: str) -> Row:
    extra_fields = {key: row[key] for key in row if key not in _COMMON_FIELDS}
    return {
        "at": row.get("at", ""),
        "instance": row.get("instance", ""),
        "about": about,
        "message": row["message"],
        "fields": extra_fields,
    }
