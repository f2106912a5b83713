"""What a holder knows of one executor in one of its lives."""

import dataclasses
import enum
import typing

from chervilwheel.workers import work

# An executor's clock may be this much slower than ours (protocol bound).
CLOCK_SLOWNESS = 0.02
# Added to every wait for a lease to end, seconds: a few clock ticks.
LEASE_MARGIN_S = 0.02


class RunState(enum.Enum):
    """What is known of a run that takes room."""

    STARTING = "starting"
    RUNNING = "running"
    UNSURE = "unsure"
    STOPPING = "stopping"


@dataclasses.dataclass(kw_only=True, slots=True)
class Run:
    """One run of one task on an executor, from its order to its end.

    An orphan is a run that another holder ordered.
    """

    task: work.TaskId
    number: int
    room: work.Room
    state: RunState
    ordered_at: float
    expected_s: float
    confirmed_at: float = 0.0
    percent: int = -1
    percent_at: float = 0.0
    order_deadline_ms: int = 0
    stop_sent_at: float = 0.0
    is_orphan: bool = False


@dataclasses.dataclass(kw_only=True)
class Executor:
    """One life of an executor.

    :ivar stop_s: time that it takes at most to end a run, seconds
    """

    report: work.ExecutorReport
    heard_at: float
    stop_s: float
    used: work.Room = work.Room()
    free: work.Room = work.Room()
    runs: dict[work.TaskId, Run] = dataclasses.field(default_factory=dict)
    noted_upto: int = 0
    told_upto: int = 0
    is_synced: bool = False
    is_holding: bool = False
    hold_sent_at: float = 0.0
    answered_at: float = 0.0
    lease_deadline_ms: int = 0
    clock_ms: int = 0
    clock_at: float = 0.0
    silent_since: float = 0.0
    unusable_until: float = 0.0
    draining_since: float = 0.0
    speed: float = 1.0
    is_gone: bool = False
    is_fenced: bool = False

    @property
    def id(self) -> work.ExecutorId:
        """Its identity in this life."""
        return self.report.id

    @property
    def is_owned(self) -> bool:
        """Whether this holder has ordered or taken over all that runs."""
        return self.is_synced and not any(
            run.is_orphan for run in self.runs.values()
        )

    def __post_init__(self) -> None:
        """Work out what is free."""
        self.free = self.report.room

    def take_report(self, report: work.ExecutorReport) -> None:
        """Take over what it says of itself."""
        self.report = report
        self.free = report.room.minus(self.used)

    def learn_clock(self, clock_ms: int, at: float) -> None:
        """Take over a reading of its clock.

        :param at: when the reading arrived here, seconds
        """
        if clock_ms >= self.clock_least_ms(at):
            self.clock_ms = clock_ms
            self.clock_at = at

    def clock_least_ms(self, now: float) -> float:
        """Tell what its clock shows at least, milliseconds."""
        if not self.clock_at:
            return -1.0
        passed_ms = (now - self.clock_at) * 1000
        return self.clock_ms + passed_ms * (1 - CLOCK_SLOWNESS)

    def deadline_ms(self, now: float, lease_s: float) -> int:
        """Tell the time on its clock a lease from now."""
        return int(self.clock_ms + (now - self.clock_at + lease_s) * 1000)

    def over_at(self, deadline_ms: int) -> float:
        """Tell when what was leased until then has ended for certain.

        :param deadline_ms: on its own clock
        :returns: seconds on the clock of this process
        """
        rest_s = (deadline_ms - self.clock_ms) / 1000
        passes_at = self.clock_at + rest_s / (1 - CLOCK_SLOWNESS)
        return passes_at + self.stop_s + LEASE_MARGIN_S

    def add(self, run: Run) -> None:
        """Give room to a run."""
        self.runs[run.task] = run
        self.used = self.used.plus(run.room)
        self.free = self.report.room.minus(self.used)

    def drop(self, task: work.TaskId) -> Run | None:
        """Take the room of a run back."""
        run = self.runs.pop(task, None)
        if run is not None:
            self.used = self.used.minus(run.room)
            self.free = self.report.room.minus(self.used)
        return run

    def may_start(self, now: float) -> bool:
        """Whether new runs may be ordered here."""
        return (
            self.is_synced
            and not self.is_gone
            and not self.report.is_draining
            and now >= self.unusable_until
        )


def together(runs: typing.Iterable[Run], task: work.TaskId) -> int:
    """Count the runs of a task's step."""
    return sum(
        run.task.job == task.job and run.task.step == task.step for run in runs
    )
