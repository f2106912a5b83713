"""The state of one executor incarnation as seen by a holder."""

import dataclasses
import enum
import typing

from chervilwheel.workers import clockestimate
from chervilwheel.workers import warmup
from chervilwheel.workers import work

# Added to every wait for a lease to expire, seconds. Covers the resolution of
# the clocks, a few ticks.
LEASE_MARGIN_S = 0.02


class RunState(enum.Enum):
    """State of a run that occupies resources.

    UNSURE means that the answer to the start order was lost.
    """

    STARTING = "starting"
    RUNNING = "running"
    UNSURE = "unsure"
    STOPPING = "stopping"


@dataclasses.dataclass(kw_only=True, slots=True)
class Run:
    """One run of one task on an executor, from its order to its end.

    :ivar confirmed_at: when the executor confirmed the start, 0 if it has not
    :ivar percent_at: time of the last progress
    :ivar order_deadline_ms: time on the executor's clock at which the start
        order becomes void
    :ivar probed_at: when the lists were read because its start order had no
        answer, 0 if they were not
    :ivar blocked_at: when the executor answered an order to stop it, 0 if it
        has not
    :ivar is_orphan: whether another holder ordered it and no job here has
        adopted it
    :ivar is_alone: whether no other run may be ordered beside it
    :ivar is_risky: whether it is of a queue whose tasks may crash executors
    :ivar former: the incarnation that it was ordered on, if a later one has
        replaced that and hasn't listed the run
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
    probed_at: float = 0.0
    blocked_at: float = 0.0
    is_orphan: bool = False
    is_alone: bool = False
    is_risky: bool = False
    former: "Executor | None" = None

    def inherit(self, former: "Executor", now: float) -> None:
        """Keep what is known of a run whose executor started again.

        A run that was confirmed has ended unless the later incarnation lists
        it. Otherwise that incarnation may still carry out the order, whose
        deadline is far in the future on its clock; a stop that the former
        one confirmed doesn't prevent that.
        """
        self.former = former
        self.probed_at = self.blocked_at = self.stop_sent_at = 0.0
        self.percent_at = now
        if self.confirmed_at:
            self.order_deadline_ms = 0

    def confirm(self, now: float) -> None:
        """Record that the start order was answered as carried out."""
        self.confirmed_at = now
        self.percent_at = now
        # The order isn't carried out again; the executor's lease applies.
        self.order_deadline_ms = 0
        if self.state is not RunState.STOPPING:
            self.state = RunState.RUNNING

    def settle(self) -> None:
        """Record that the current incarnation has carried out the order."""
        if self.former is not None:
            self.former = None
            self.order_deadline_ms = 0


@dataclasses.dataclass(kw_only=True)
class Executor:
    """One incarnation of an executor.

    :ivar stop_s: maximum time that it takes to stop a run, seconds
    :ivar largest_room: the largest resources that it has reported
    :ivar processed_upto: number of the last ended run processed here
    :ivar acked_upto: number of the last ended run acknowledged to it
    :ivar is_synced: whether its lists have been read under the current token
    :ivar is_renewing: whether a renewal is in flight
    :ivar is_retrying: whether the last renewal failed, and the lists are
        polled to find out whether the executor is reachable
    :ivar renewal: number of the latest renewal
    :ivar renewal_due_at: when the renewal in flight is to be answered
    :ivar overdue_poll_at: when the lists were read because it was not, 0 if
        they were not
    :ivar listed_at: when the latest lists received were requested
    :ivar lease_deadline_ms: the end of the lease granted here, on its clock
    :ivar foreign_lease_until: latest end of a lease that orders to another
        incarnation or of another holder may have granted, seconds
    :ivar clock: bounds of its clock
    :ivar unreachable_since: time of the first failed renewal, 0 if reachable
    :ivar rejections: starts rejected for want of room since its last report
        or accepted start
    :ivar lost_together: number of its runs when it became unreachable
    :ivar is_closed: whether its zone is closed
    :ivar is_reserved: whether it is kept free for a task that runs alone
    :ivar is_closed: whether its zone is closed
    :ivar cold: when it is slow after its start
    :ivar cold_rate: what is configured for that time
    :ivar next_cold_start_at: when it may get its next run while it is cold
    :ivar speed: its speed as far as learned, relative to the nominal one
    :ivar on_free_changed: called after each change of the free resources
    :ivar born_ms: start of this incarnation by its reports or its answers, 0
        if unknown
    :ivar is_report_due: whether an answer has shown this incarnation and the
        report is that of a former one
    :ivar is_unused: whether no leader uses it before its next report
    :ivar token_offset: difference of its fencing token to the holder's
    :ivar is_unshared: whether the next leader may not have the report by which
        it is used, so that nothing starts here
    """

    report: work.ExecutorReport
    last_report_at: float
    stop_s: float
    used: work.Room = work.Room()
    free: work.Room = work.Room()
    largest_room: work.Room = work.Room()
    runs: dict[work.TaskId, Run] = dataclasses.field(default_factory=dict)
    processed_upto: int = 0
    acked_upto: int = 0
    is_synced: bool = False
    is_renewing: bool = False
    is_retrying: bool = False
    renewal: int = 0
    renewal_due_at: float = 0.0
    overdue_poll_at: float = 0.0
    renewal_sent_at: float = 0.0
    listed_at: float = 0.0
    lease_deadline_ms: int = 0
    foreign_lease_until: float = 0.0
    clock: clockestimate.ClockEstimate = dataclasses.field(
        default_factory=clockestimate.ClockEstimate
    )
    unreachable_since: float = 0.0
    unusable_until: float = 0.0
    lost_together: int = 0
    is_closed: bool = False
    is_reserved: bool = False
    speed: float = 1.0
    risky_runs: int = 0
    runs_alone: int = 0
    orphans: int = 0
    rejections: int = 0
    draining_since: float = 0.0
    is_gone: bool = False
    is_fenced: bool = False
    is_closed: bool = False
    cold: warmup.ColdPeriod = warmup.ColdPeriod()
    cold_rate: warmup.ColdRate = warmup.ColdRate()
    next_cold_start_at: float = 0.0
    on_free_changed: typing.Callable[["Executor"], None] = lambda _: None
    born_ms: int = 0
    is_report_due: bool = False
    token_offset: int = 0
    is_unused: bool = False
    is_unshared: bool = False

    @property
    def id(self) -> work.ExecutorId:
        """Id of this incarnation."""
        return self.report.id

    @property
    def is_owned(self) -> bool:
        """Whether this holder has ordered or adopted all of its runs."""
        return self.is_synced and not self.orphans

    def __post_init__(self) -> None:
        """Calculate the free resources."""
        self.free = self.report.room
        self.largest_room = self.report.room
        self.born_ms = max(self.born_ms, self.report.born_ms)

    def accepts(self, report: work.ExecutorReport) -> bool:
        """Return whether a report is of this incarnation or of a later one."""
        if report.born_ms < self.born_ms and (
            report.born_ms or self.is_report_due
        ):
            return False
        return report.replaces(self.report)

    def update_report(self, report: work.ExecutorReport) -> None:
        """Store a newer status report."""
        has_changed = (
            report.room != self.report.room
            or report.service != self.report.service
        )
        if report.key > self.report.key:
            self.is_unused = False
        self.report = report
        if self.is_report_due:
            self.is_report_due = False
            self.largest_room = report.room
        self.rejections = 0
        self.largest_room = self.largest_room.largest(report.room)
        if has_changed:
            self._update_free()

    def update_cold(self, at: float) -> None:
        """Process the cold time of its latest report.

        :param at: when the report arrived at a host, seconds
        """
        self.cold = warmup.reported(
            self.cold,
            cold_s=self.report.cold_ms / 1000,
            rate=self.cold_rate,
            at=at,
        )

    def record_cold_start(self, now: float) -> None:
        """Delay the next start while it is cold and has a limit for them."""
        if self.cold.is_cold(now) and self.cold_rate.per_s:
            self.next_cold_start_at = now + 1 / self.cold_rate.per_s

    def deadline_ms(self, now: float, lease_s: float) -> int:
        """Return the time on its clock at which a lease from now ends.

        It counts from the lower bound of the clock, so that the uncertainty
        makes the lease shorter, never longer.
        """
        return int(self.clock.lower_ms(now) + lease_s * 1000)

    def latest_end_at(self, deadline_ms: int) -> float:
        """Return the latest time at which a run leased until a deadline ends.

        :param deadline_ms: time on the executor's clock
        :returns: seconds on the local clock
        """
        expires_at = max(
            self.clock.latest_time_of(deadline_ms), self.foreign_lease_until
        )
        return expires_at + self.stop_s + LEASE_MARGIN_S

    def add_run(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.task] = run
        self.risky_runs += run.is_risky
        self.runs_alone += run.is_alone
        self.orphans += run.is_orphan
        self.used = self.used.plus(run.room)
        self._update_free()

    def remove_run(self, task: work.TaskId) -> Run | None:
        """Remove a run and release its resources."""
        run = self.runs.pop(task, None)
        if run is not None:
            self.risky_runs -= run.is_risky
            self.runs_alone -= run.is_alone
            self.orphans -= run.is_orphan
            self.used = self.used.minus(run.room)
            self._update_free()
        return run

    def _update_free(self) -> None:
        # The resources of orphaned runs are unknown.
        room = work.Room() if self.orphans else self.report.room
        self.free = room.minus(self.used)
        self.on_free_changed(self)

    def may_start(self, now: float) -> bool:
        """Return whether new runs may be ordered here."""
        return (
            self.is_synced
            and not self.is_gone
            and not self.is_closed
            and not self.is_retrying
            and not self.is_report_due
            and not self.is_unused
            and not self.is_unshared
            and not self.report.is_draining
            and not self.report.is_gone
            and not self.is_reserved
            and not self.runs_alone
            and not self.is_closed
            and now >= self.unusable_until
            and (not self.cold.is_cold(now) or self._may_start_cold(now))
        )

    def _may_start_cold(self, now: float) -> bool:
        return now >= self.next_cold_start_at and warmup.may_start(
            self.cold,
            runs=len(self.runs),
            used_cpu=self.used.cpu,
            cpu=self.report.room.cpu,
            now=now,
        )


def count_step_runs(runs: typing.Iterable[Run], task: work.TaskId) -> int:
    """Count the runs that belong to the same step as a task."""
    return sum(
        run.task.job == task.job and run.task.step == task.step for run in runs
    )
