"""Summarize which jobs were lost or late, when and why, from log records."""

import collections
import enum
import pathlib
import statistics
import typing

from chervilwheel import logrecords

NOT_COMPLETED = "entry: a job was not completed"
COMPLETED_LATE = "entry: a job was completed late"
CALLERS_LEFT = "entry: the callers of a job have left"
NO_DOCUMENT = "entry: a request was refused without a document"
ENGINE_REFUSED = "engine: a job is refused"
ZONE_REFUSED = "engine: a job is refused while a zone is closed"
_ENTRY_MESSAGES = (NOT_COMPLETED, COMPLETED_LATE, CALLERS_LEFT, NO_DOCUMENT)


class Cause(enum.Enum):
    """Why a job wasn't answered in time."""

    NO_DOCUMENT = "refused: the entry host had no document"
    NO_HOLDER = "refused: no holder"
    NO_ROOM = "refused: all executors were in use"
    PAUSED = "refused: executors were paused"
    FREE = "refused: executors were free"
    CLOSED_ZONE = "refused: a zone was closed"
    NEVER_FITS = "refused: fits no executor"
    UNSENDABLE = "refused: can't be sent to the holder"
    HOLDER_LOST = "lost: no next holder in time"
    TOO_LATE = "lost: too late after a change of the holder"
    CRASHED = "lost: executors crashed under a task"
    LOST = "lost: other reasons"
    FAILED = "failed"
    CANCELLED = "cancelled"
    CALLER_LEFT = "the caller left"
    LATE = "completed late"


class Loss(typing.NamedTuple):
    """A job that wasn't answered in time.

    :ivar at: when it was answered, as logged
    :ivar waited_s: time from its request to its answer, seconds
    :ivar waited_share: the same as a share of its objective, 0 if unknown
    """

    at: str
    job: str
    queue: str
    cause: Cause
    waited_s: float
    waited_share: float


class Row(typing.NamedTuple):
    """The losses of one cause and queue, in one second if split by time.

    :ivar jobs: number of jobs
    :ivar waited_s: median of the time that they waited, seconds
    :ivar waited_share: the same as a share of their objectives
    """

    second: str
    cause: str
    queue: str
    jobs: int
    waited_s: float
    waited_share: float


class Report(typing.NamedTuple):
    """Losses in the order of their time.

    :ivar unreadable: number of lines that could not be parsed as a record
    """

    losses: list[Loss]
    unreadable: int

    def rows(self, *, by_second: bool) -> list[Row]:
        """Group the losses by cause and queue, the largest group first.

        :param by_second: group them by second too, in the order of time
        """
        groups: dict[tuple[str, Cause, str], list[Loss]] = (
            collections.defaultdict(list)
        )
        for loss in self.losses:
            second = _second(loss.at) if by_second else ""
            groups[second, loss.cause, loss.queue].append(loss)
        ordered = sorted(
            groups.items(), key=lambda item: (item[0][0], -len(item[1]))
        )
        return [
            Row(
                second,
                cause.value,
                queue,
                len(group),
                round(statistics.median(each.waited_s for each in group), 3),
                round(
                    statistics.median(each.waited_share for each in group), 2
                ),
            )
            for (second, cause, queue), group in ordered
        ]


def report(files: typing.Sequence[pathlib.Path]) -> Report:
    """Read the losses from the logs of entry hosts and control hosts.

    Jobs whose entry host was killed or cut off leave no record.

    :param files: log files with one JSON object per line
    :raises errors.StorageError: when a file can't be read
    """
    rows, unreadable = logrecords.read(files)
    refusals = {
        str(row.get("job")): row
        for row in rows
        if row["message"] in (ENGINE_REFUSED, ZONE_REFUSED)
    }
    losses = [
        _loss(row, refusals)
        for row in rows
        if row["message"] in _ENTRY_MESSAGES
    ]
    return Report(losses, unreadable)


def plot(losses: typing.Sequence[Loss], path: pathlib.Path) -> None:
    """Draw the number of losses by second and cause into a file.

    :param path: the file; its suffix selects the format
    """
    # A development dependency, which isn't needed to print a table.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    seconds = sorted({_second(loss.at) for loss in losses})
    counts = collections.Counter(
        (_second(loss.at), loss.cause) for loss in losses
    )
    figure, axes = pyplot.subplots(figsize=(10, 4))
    bottoms = [0] * len(seconds)
    for cause in Cause:
        heights = [counts[second, cause] for second in seconds]
        if any(heights):
            axes.bar(seconds, heights, bottom=bottoms, label=cause.value)
            bottoms = [
                low + height
                for low, height in zip(bottoms, heights, strict=True)
            ]
    axes.set_ylabel("jobs per second")
    axes.tick_params(axis="x", rotation=90)
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _second(at: str) -> str:
    return at.replace(",", ".").partition(".")[0]


def _loss(row: logrecords.Row, refusals: dict[str, logrecords.Row]) -> Loss:
    waited_s = _number(row, "waited_s")
    objective_s = _number(row, "objective_s")
    return Loss(
        at=str(row.get("at", "")),
        job=str(row.get("job", "")),
        queue=str(row.get("queue", "")),
        cause=_cause(row, refusals),
        waited_s=waited_s,
        waited_share=waited_s / objective_s if objective_s else 0.0,
    )


def _number(row: logrecords.Row, name: str) -> float:
    value = row.get(name)
    return float(value) if isinstance(value, int | float) else 0.0


def _cause(row: logrecords.Row, refusals: dict[str, logrecords.Row]) -> Cause:
    if row["message"] == COMPLETED_LATE:
        return Cause.LATE
    if row["message"] == CALLERS_LEFT:
        return Cause.CALLER_LEFT
    if row["message"] == NO_DOCUMENT:
        return Cause.NO_DOCUMENT
    outcome, reason = row.get("outcome"), row.get("reason")
    if outcome == "refused":
        if reason == "no_room":
            return _room_cause(refusals.get(str(row.get("job"))))
        return {
            "no_holder": Cause.NO_HOLDER,
            "never_fits": Cause.NEVER_FITS,
            "unsendable": Cause.UNSENDABLE,
        }.get(str(reason), Cause.NO_ROOM)
    if outcome == "lost":
        return {
            "holder_lost": Cause.HOLDER_LOST,
            "too_late": Cause.TOO_LATE,
            "executors_crashed": Cause.CRASHED,
        }.get(str(reason), Cause.LOST)
    return Cause.CANCELLED if outcome == "cancelled" else Cause.FAILED


def _room_cause(refusal: logrecords.Row | None) -> Cause:
    """Return what the holder knew of its executors when it refused a job.

    :param refusal: the holder's record, None if it isn't in the files
    """
    if refusal is None:
        return Cause.NO_ROOM
    if refusal["message"] == ZONE_REFUSED:
        return Cause.CLOSED_ZONE
    if refusal.get("fit"):
        return Cause.FREE
    return Cause.PAUSED if refusal.get("paused_fit") else Cause.NO_ROOM
