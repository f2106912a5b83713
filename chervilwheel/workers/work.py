"""Jobs of tasks that run on leased workers, and what becomes of them."""

import enum
import typing

from chervilwheel import addresses
from chervilwheel import ids

ExecutorId = typing.NewType("ExecutorId", str)


class Room(typing.NamedTuple):
    """Processors in thousandths of a core, memory in MB, accelerators."""

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def holds(self, other: "Room") -> bool:
        """Whether another room fits into this one."""
        return (
            self.cpu >= other.cpu
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )

    def plus(self, other: "Room") -> "Room":
        """Add two rooms."""
        return Room(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Room") -> "Room":
        """Take a room away; the rest may be negative."""
        return Room(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


class Step(typing.NamedTuple):
    """Tasks of a job that are alike.

    :ivar depends_on: numbers of earlier steps that must be done before
    :ivar required_label: a label that the executor must have, or empty
    :ivar preferred_rack: the rack of the step's data, or empty
    :ivar most_together: tasks on one executor at most, 0 for any number
    """

    count: int
    room: Room
    estimated_ms: int
    depends_on: tuple[int, ...] = ()
    required_label: str = ""
    preferred_rack: str = ""
    most_together: int = 0


class Job(typing.NamedTuple):
    """A job that is answered when it has ended.

    :ivar queue: name of the queue it came through
    :ivar service: the service whose executors run it
    :ivar priority: 0 comes first
    :ivar attempts: failed ends of one task that make the job fail
    :ivar stretch: the objective as a multiple of the longest work
    :ivar target_ms: what the objective allows beyond that
    :ivar patience_ms: time that the caller still waits
    :ivar spec: what the tasks are to do, handed on as it is
    :ivar offers: how often it was offered to other holders before
    :ivar is_from_standby: whether one of them held without a quorum
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


class TaskId(typing.NamedTuple):
    """Names one task of a job."""

    job: ids.JobId
    step: int
    index: int


class Outcome(enum.Enum):
    """What a caller is told of a job."""

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    LOST = "lost"
    CANCELLED = "cancelled"


class ExecutorReport(typing.NamedTuple):
    """What an executor says of itself.

    :ivar rack: its rack, empty when it names none
    :ivar clock_ms: its own steady clock when it spoke
    :ivar sequence: rises with each report of one life
    :ivar remaining_ms: least time left while it drains
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


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"


class RunEnd(typing.NamedTuple):
    """An end as the executor lists it, numbered within its life."""

    number: int
    task: TaskId
    run: int
    kind: EndKind


class RunRow(typing.NamedTuple):
    """A run as the executor lists it; ``percent`` is how far it is."""

    task: TaskId
    run: int
    percent: int


class StartVerdict(enum.Enum):
    """What an executor answered to an order to start."""

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
    """What an executor answered to a renewal of its lease."""

    HELD = "held"
    FENCED = "fenced"
    OTHER_LIFE = "other_life"
    UNKNOWN = "unknown"


class HoldAnswer(typing.NamedTuple):
    """The lists of a renewed executor; empty unless it was held."""

    verdict: HoldVerdict
    clock_ms: int = 0
    running: tuple[RunRow, ...] = ()
    ended: tuple[RunEnd, ...] = ()


class StartOrder(typing.NamedTuple):
    """Start a run; ``deadline_ms`` is a time on the executor's clock."""

    executor: ExecutorId
    address: addresses.Address
    task: TaskId
    run: int
    spec: str
    deadline_ms: int
    token: int


class StopOrder(typing.NamedTuple):
    """Stop a run."""

    executor: ExecutorId
    address: addresses.Address
    task: TaskId
    run: int
    token: int


class HoldOrder(typing.NamedTuple):
    """Renew a lease, take note of ends, and wait for the next one.

    :ivar deadline_ms: the lease's end on the executor's clock, 0 to leave
        the lease as it is
    :ivar is_look: whether another renewal may be under way beside it
    """

    executor: ExecutorId
    address: addresses.Address
    deadline_ms: int
    token: int
    noted_upto: int
    wait_ms: int
    is_look: bool = False


class Answer(typing.NamedTuple):
    """The final word on a job."""

    job: ids.JobId
    outcome: Outcome
    retry_after_ms: int = 0
    reason: str = ""


Order = StartOrder | StopOrder | HoldOrder
Action = Order | Answer
