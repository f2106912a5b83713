"""The configuration of a deployment, a replicated and versioned document."""

import abc
import collections
import logging
import typing

from chervilwheel import batches
from chervilwheel import codec
from chervilwheel import errors
from chervilwheel import grouphost
from chervilwheel import ids
from chervilwheel.control import canceltable
from chervilwheel.control import deltas
from chervilwheel.control import evacuations

_LOG = logging.getLogger("control")
GROUP = "document"


class Queue(typing.NamedTuple):
    """A queue of jobs, selected by a request's host and path prefix.

    :ivar stretch: the latency objective as a multiple of the longest work
    :ivar target_ms: time that the objective allows beyond the stretched
        work, milliseconds
    :ivar cold_start_s: how long the service's executors are slow after a
        start, 0 if unknown
    :ivar cold_per_s: starts per second that a cold one accepts, 0 for no
        limit
    """

    name: str
    host: str
    prefix: str
    service: ids.ServiceId
    priority: int
    attempts: int
    stretch: float
    target_ms: int
    timeout_ms: int
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class Service(typing.NamedTuple):
    """A pool of executors that serve the same queues.

    The times of cold executors are as in :class:`Queue`.
    """

    name: ids.ServiceId
    connections: int
    enforces_capacity: bool
    is_standby: bool
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class Bounds(typing.NamedTuple):
    """Size limits and timeouts of callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Document(typing.NamedTuple):
    """A parsed configuration.

    :ivar data: the bytes that the operator sent
    """

    version: int
    queues: tuple[Queue, ...]
    services: tuple[Service, ...]
    bounds: Bounds
    data: bytes


class Decoder(abc.ABC):
    """Parses documents in the operators' format."""

    @abc.abstractmethod
    def decode(self, data: bytes) -> Document:
        """Parse and validate a document.

        :raises errors.InvalidSettings: with the reason, when it is invalid
        """


class PutDocument(typing.NamedTuple):
    """Store a document unless the stored version is the same or newer."""

    version: int
    data: bytes


class ChangeDocument(typing.NamedTuple):
    """Store a newer document as a difference to the stored one.

    :ivar base: the version that the delta applies to, 0 for any. The command
        has no effect if another version is stored.
    """

    version: int
    base: int
    delta: bytes


class ReadDocument(typing.NamedTuple):
    """Read the newest document, or record cancelled jobs.

    Both are one command, so that a host of a former version can follow the
    log; to it this is a read.

    :ivar known: a version that the reader has; its data isn't returned
    :ivar cancelled: cancelled jobs to record; nothing is read then
    :ivar cancelled_at_ms: the leader's time for them, as in
        :class:`canceltable.CancelTable`
    """

    known: int = 0
    cancelled: tuple[ids.JobId, ...] = ()
    cancelled_at_ms: int = 0


class DocumentReply(typing.NamedTuple):
    """The newest version; ``data`` only if a reader doesn't have it."""

    version: int
    data: bytes


class ControlState(typing.NamedTuple):
    """The whole state once a zone was ordered or a job cancelled.

    :ivar cancels: the cancelled jobs, empty without any
    """

    document: DocumentReply
    zones: evacuations.ZoneTable
    cancels: bytes = b""


CODEC = codec.Codec(
    schema="records.capnp",
    root="Record",
    kinds=[
        PutDocument,
        ChangeDocument,
        ReadDocument,
        DocumentReply,
        ControlState,
        evacuations.OrderZone,
        evacuations.OrderReply,
        evacuations.ReadZones,
        evacuations.ZoneTable,
    ],
)

# A chain of deltas that is longer than this is replaced by the whole document.
MAX_CHAIN_BYTES = 65_536
MAX_CHAIN_DELTAS = 64

Applied = typing.Callable[[int, bytes], None]
Cancelled = typing.Callable[[], None]
ZonesChanged = typing.Callable[[evacuations.ZoneTable], None]


class _Step(typing.NamedTuple):
    """A delta from one version to the next one stored."""

    base: int
    delta: bytes


class DocumentMachine(grouphost.Machine):
    """State machine of the document, the evacuations and cancelled jobs.

    :param applied: receives the version and bytes of each newer document
    :param zones_changed: receives each newer table of evacuations
    :param cancelled: called when cancelled jobs were recorded
    :ivar cancels: the cancelled jobs
    """

    def __init__(
        self,
        *,
        applied: Applied,
        zones_changed: ZonesChanged = lambda _table: None,
        cancelled: Cancelled = lambda: None,
    ) -> None:
        self.version = 0
        self.data = b""
        self.zones = evacuations.ZoneTable()
        self.cancels = canceltable.CancelTable()
        self._cancelled = cancelled
        self._applied = applied
        self._zones_changed = zones_changed
        self._last_wall_ms = 0
        self._steps: collections.deque[_Step] = collections.deque()
        self._steps_bytes = 0
        self._whole: tuple[int, bytes] = (0, b"")

    @property
    def last_wall_ms(self) -> int:
        """Wall time of the last batch applied, milliseconds."""
        return self._last_wall_ms

    def apply(self, data: bytes) -> list[bytes]:
        """Apply the commands of one entry."""
        batch = batches.CODEC.decode(data)
        self._last_wall_ms = max(self._last_wall_ms, batch.wall_ms)
        return [
            CODEC.encode(self._run(CODEC.decode(each)))
            for each in batch.commands
        ]

    def deltas_since(self, version: int) -> tuple[int, tuple[bytes, ...]]:
        """Return the deltas that lead to the newest version.

        :param version: the version that the receiver has, 0 for none
        :returns: the version that they start from, which is the given one or
            0, and the deltas
        """
        bases = [step.base for step in self._steps]
        if version and version in bases:
            first = bases.index(version)
            chain = [step.delta for step in self._steps]
            return version, tuple(chain[first:])
        if self._whole[0] != self.version:
            self._whole = (self.version, deltas.encode(b"", self.data))
        return 0, (self._whole[1],)

    def dump(self) -> bytes:
        """Encode the state.

        Without any order this is a form that earlier versions read.
        """
        document = DocumentReply(self.version, self.data)
        cancels = self.cancels.dump() if len(self.cancels) else b""
        if not self.zones.revision and not cancels:
            return CODEC.encode(document)
        return CODEC.encode(ControlState(document, self.zones, cancels))

    def load(self, data: bytes) -> None:
        """Restore a dumped state where it is newer.

        Entries that are applied again after an older snapshot change nothing.
        """
        if not data:
            return
        state = CODEC.decode(data)
        if isinstance(state, ControlState):
            self._store_zones_if_newer(state.zones)
            self.cancels.load(state.cancels)
            state = state.document
        self._store_if_newer(state.version, state.data)

    def _run(self, command: typing.Any) -> typing.Any:
        if isinstance(command, evacuations.OrderZone):
            table, reply = self.zones.apply(command)
            self._store_zones_if_newer(table)
            return reply
        if isinstance(command, evacuations.ReadZones):
            return self.zones
        if isinstance(command, PutDocument):
            self._store_if_newer(command.version, command.data)
            return DocumentReply(self.version, b"")
        if isinstance(command, ChangeDocument):
            self._change(command)
            return DocumentReply(self.version, b"")
        if command.cancelled:
            self.cancels.record(command.cancelled, command.cancelled_at_ms)
            self._cancelled()
            return DocumentReply(self.version, b"")
        is_known = command.known == self.version
        return DocumentReply(self.version, b"" if is_known else self.data)

    def _change(self, command: ChangeDocument) -> None:
        if command.version <= self.version:
            return
        if command.base not in (0, self.version):
            return
        base = self.data if command.base else b""
        try:
            data = deltas.decode(base, command.delta)
        except errors.ProtocolError as exc:
            _LOG.error(
                "control: invalid delta of a document",
                extra={"version": command.version, "error": exc.detail},
            )
            return
        if command.base:
            self._add_step(_Step(command.base, command.delta))
        else:
            self._clear_steps()
        self._store(command.version, data)

    def _store_zones_if_newer(self, table: evacuations.ZoneTable) -> None:
        if table.revision > self.zones.revision:
            self.zones = table
            self._zones_changed(table)

    def _store_if_newer(self, version: int, data: bytes) -> None:
        if version > self.version:
            self._clear_steps()
            self._store(version, data)

    def _store(self, version: int, data: bytes) -> None:
        self.version = version
        self.data = data
        self._applied(version, data)

    def _add_step(self, step: _Step) -> None:
        self._steps.append(step)
        self._steps_bytes += len(step.delta)
        while len(self._steps) > 1 and (
            self._steps_bytes > MAX_CHAIN_BYTES
            or len(self._steps) > MAX_CHAIN_DELTAS
        ):
            self._steps_bytes -= len(self._steps.popleft().delta)

    def _clear_steps(self) -> None:
        self._steps.clear()
        self._steps_bytes = 0
