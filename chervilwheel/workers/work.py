"""Data types for jobs, their tasks, and the orders sent to executors."""

import enum
import sys
import typing

from chervilwheel import addresses
from chervilwheel import ids

ExecutorId = typing.NewType("ExecutorId", str)
# Higher than that of any heartbeat, so that a late heartbeat can't undo a
# deregistration.
LAST_SEQUENCE = 2**53 - 1
# A heartbeat that an incarnation sent this much later than its deregistration
# arrived shows that the deregistration was of a former incarnation.
DEREGISTRATION_GRACE_MS = 1_000
# An executor that has deregistered has ended after this time, even if it got
# no acknowledgement.
DEPARTURE_RETENTION_S = 10.0


class Room(typing.NamedTuple):
    """Resources: CPU in thousandths of a core, memory in MB, accelerators."""

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def holds(self, other: "Room") -> bool:
        """Return whether the resources of ``other`` fit into these."""
        return (
            self.cpu >= other.cpu
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )

    def plus(self, other: "Room") -> "Room":
        """Return the sum of two resource amounts."""
        return Room(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Room") -> "Room":
        """Return the difference of two amounts, which may be negative."""
        return Room(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def largest(self, other: "Room") -> "Room":
        """Return the larger amount of each resource."""
        return Room(*map(max, self, other))


class Step(typing.NamedTuple):
    """A group of identical tasks of a job.

    :ivar depends_on: numbers of earlier steps that must complete first
    :ivar required_label: a label that the executor must have, or empty
    :ivar preferred_rack: the rack of the step's data, or empty
    :ivar most_together: maximum number of these tasks on one executor, 0 for
        no limit
    """

    count: int
    room: Room
    estimated_ms: int
    depends_on: tuple[int, ...] = ()
    required_label: str = ""
    preferred_rack: str = ""
    most_together: int = 0


def critical_path_s(steps: typing.Iterable[Step]) -> float:
    """Return the estimated duration of the longest chain, seconds."""
    ends: list[float] = []
    for step in steps:
        before = max((ends[n] for n in step.depends_on), default=0.0)
        ends.append(before + step.estimated_ms / 1000)
    return max(ends, default=0.0)


class TaskLoss(typing.NamedTuple):
    """An executor that was lost while it ran a task of a job.

    :ivar is_early: whether the run had just begun
    :ivar is_alone: whether the executor ran no other task
    :ivar is_begun: whether the run is known to have begun
    :ivar is_crash: whether the executor is known to have crashed
    :ivar born_ms: start of the incarnation that was lost, 0 if unknown
    """

    step: int
    index: int
    executor: ExecutorId
    address: addresses.Address
    is_early: bool = False
    is_alone: bool = False
    is_crash: bool = False
    born_ms: int = 0
    is_begun: bool = False

    @property
    def place(self) -> tuple[int, int]:
        """Numbers of the step and of the task in it."""
        return self.step, self.index


class OpenStart(typing.NamedTuple):
    """A start order that an executor may still carry out.

    :ivar run: number of the run that it starts
    :ivar age_ms: time since it was ordered
    """

    step: int
    index: int
    executor: ExecutorId
    run: int
    age_ms: int = 0


# Objects of a job and of one of its steps.
JOB_BYTES = 2_048
STEP_BYTES = 512
DEPENDENCY_BYTES = 8


class Job(typing.NamedTuple):
    """A job, which is answered once it has ended.

    :ivar queue: name of the queue that admitted it
    :ivar service: the service whose executors run it
    :ivar priority: 0 is the highest
    :ivar attempts: number of failed runs of one task that fails the job
    :ivar stretch: latency objective as a multiple of the critical path
    :ivar target_ms: time that the objective adds to that
    :ivar patience_ms: time left until the caller times out
    :ivar spec: task specification, passed to the executor unchanged
    :ivar offers: number of earlier offers to other holders
    :ivar is_from_standby: whether one of those holders had no quorum
    :ivar waited_ms: time since its entry host received it
    :ivar submission: the entry host's number of this submission; a caller
        may submit a refused job again under the same id
    :ivar losses: executors that earlier holders lost under its tasks
    :ivar cold_start_s: how long the service's executors are slow after a
        start, 0 if unknown
    :ivar cold_per_s: starts per second that a cold one accepts, 0 for no
        limit
    :ivar former_silent_ms: time since its entry host last heard of the holder
        that it was offered to before
    :ivar former_standbys: the hosts that had it as standbys so shortly before
        that runs of theirs may last
    :ivar starts: orders of earlier holders that executors may still carry out
    """

    id: ids.JobId
    queue: str
    service: ids.ServiceId
    priority: int
    attempts: int
    stretch: float
    target_ms: int
    patience_ms: int
    spec: str
    steps: tuple[Step, ...]
    offers: int = 0
    is_from_standby: bool = False
    waited_ms: int = 0
    submission: int = 0
    losses: tuple[TaskLoss, ...] = ()
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    former_silent_ms: int = 0
    former_standbys: tuple[ids.InstanceId, ...] = ()
    starts: tuple[OpenStart, ...] = ()

    @property
    def kept_bytes(self) -> int:
        """Approximate memory of the job."""
        return (
            JOB_BYTES
            + sys.getsizeof(self.spec)
            + sum(
                STEP_BYTES
                + DEPENDENCY_BYTES * len(step.depends_on)
                + sys.getsizeof(step.required_label)
                + sys.getsizeof(step.preferred_rack)
                for step in self.steps
            )
        )

    @property
    def critical_path_s(self) -> float:
        """Estimated duration of its critical path, seconds."""
        return critical_path_s(self.steps)

    @property
    def objective_s(self) -> float:
        """Latency objective, seconds; later answers have reduced value."""
        return self.stretch * self.critical_path_s + self.target_ms / 1000


class TaskId(typing.NamedTuple):
    """Identifies one task of a job."""

    job: ids.JobId
    step: int
    index: int


class Outcome(enum.Enum):
    """The result of a job as reported to its caller."""

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    LOST = "lost"
    CANCELLED = "cancelled"


class JobStage(enum.Enum):
    """How far a job is; UNKNOWN where it may be known elsewhere.

    ABSENT means that it is known not to run and never to run again.
    """

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    ABSENT = "absent"
    UNKNOWN = "unknown"


class ExecutorReport(typing.NamedTuple):
    """A status report of an executor.

    :ivar clock_ms: its monotonic clock when it sent the report
    :ivar sequence: increases with each report of one incarnation
    :ivar remaining_ms: minimum time left until it stops, while it drains
    :ivar born_ms: start of this incarnation in Unix milliseconds, 0 if the
        executor doesn't report it
    :ivar cold_ms: time left in which it is slow after its start
    """

    id: ExecutorId
    service: ids.ServiceId
    address: addresses.Address
    zone: ids.ZoneId
    room: Room
    labels: tuple[str, ...]
    is_draining: bool
    is_gone: bool
    remaining_ms: int
    clock_ms: int
    sequence: int
    born_ms: int = 0
    cold_ms: int = 0

    def replaces(self, known: "ExecutorReport") -> bool:
        """Return whether this report is used after another of the same id.

        A report of a later incarnation is, whatever its sequence; one with a
        start time is of a later incarnation than one without.
        """
        if self.born_ms != known.born_ms:
            return self.born_ms > known.born_ms
        if known.is_gone and known.born_ms and not self.is_gone:
            if self.is_draining:
                # It leaves; it has sent this without an acknowledgement.
                return False
            return self.clock_ms > known.clock_ms + DEREGISTRATION_GRACE_MS
        return self.sequence >= known.sequence

    @property
    def key(self) -> "ReportKey":
        """Identifies this report."""
        return ReportKey(self.id, self.born_ms, self.sequence)


class ReportKey(typing.NamedTuple):
    """Identifies a report; of one executor's, the later one is greater."""

    id: ExecutorId
    born_ms: int
    sequence: int


class EndKind(enum.Enum):
    """How a run ended; LAPSED means that its lease expired."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"


class RunEnd(typing.NamedTuple):
    """An ended run as listed by the executor.

    :ivar number: sequence number of the end within one incarnation
    """

    number: int
    task: TaskId
    run: int
    kind: EndKind


class RunStatus(typing.NamedTuple):
    """A running task as listed by the executor.

    :ivar percent: progress of the run
    """

    task: TaskId
    run: int
    percent: int


class StartVerdict(enum.Enum):
    """Result of a start order.

    UNKNOWN means that no answer arrived, so the run may have started.
    """

    STARTED = "started"
    FENCED = "fenced"
    RUN_TOO_LOW = "run_too_low"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other_life"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class HoldVerdict(enum.Enum):
    """Result of a lease renewal."""

    HELD = "held"
    FENCED = "fenced"
    OTHER_LIFE = "other_life"
    UNKNOWN = "unknown"


class HoldAnswer(typing.NamedTuple):
    """Answer to a renewal; the lists are empty unless the verdict is HELD.

    :ivar born_ms: start of the incarnation that answers, 0 if not given
    """

    verdict: HoldVerdict
    clock_ms: int = 0
    running: tuple[RunStatus, ...] = ()
    ended: tuple[RunEnd, ...] = ()
    born_ms: int = 0


class StartOrder(typing.NamedTuple):
    """Starts a run.

    :ivar deadline_ms: time on the executor's clock after which the order is
        void
    :ivar born_ms: the executor's incarnation known when it was issued
    """

    executor: ExecutorId
    address: addresses.Address
    task: TaskId
    run: int
    spec: str
    deadline_ms: int
    token: int
    born_ms: int = 0


class StopOrder(typing.NamedTuple):
    """Stops a run.

    :ivar born_ms: the executor's incarnation known when it was issued
    """

    executor: ExecutorId
    address: addresses.Address
    task: TaskId
    run: int
    token: int
    born_ms: int = 0


class HoldOrder(typing.NamedTuple):
    """Renews a lease, acknowledges ended runs and waits for the next end.

    :ivar deadline_ms: the lease's end on the executor's clock, 0 to leave
        the lease unchanged
    :ivar acked_upto: number of the last end that this holder has processed
    :ivar wait_ms: maximum time that the executor waits for a run to end
        before it answers
    :ivar number: number of the renewal, 0 for a poll
    :ivar is_poll: whether the order only reads the lists and may be sent
        while a renewal is in flight
    :ivar born_ms: the executor's incarnation known when it was issued
    """

    executor: ExecutorId
    address: addresses.Address
    deadline_ms: int
    token: int
    acked_upto: int
    wait_ms: int
    is_poll: bool = False
    number: int = 0
    born_ms: int = 0


class Answer(typing.NamedTuple):
    """The final answer to a job.

    :ivar submission: the entry host's number of the submission that it
        answers, 0 for any
    """

    job: ids.JobId
    outcome: Outcome
    retry_after_ms: int = 0
    reason: str = ""
    submission: int = 0


class LossReport(typing.NamedTuple):
    """All executors lost under the tasks of a job, for its entry host."""

    job: ids.JobId
    losses: tuple[TaskLoss, ...]


class StartReport(typing.NamedTuple):
    """Changes of a job's starts that may still be carried out.

    :ivar opened: orders that follow this report, or that had no answer yet
    :ivar settled: orders that have been carried out or never will be
    """

    job: ids.JobId
    opened: tuple[OpenStart, ...] = ()
    settled: tuple[OpenStart, ...] = ()


Order = StartOrder | StopOrder | HoldOrder
Notice = Answer | LossReport | StartReport
Action = Order | Notice
