"""The configuration of a deployment, a replicated and versioned document."""

import abc
import typing

from chervilwheel import batches
from chervilwheel import codec
from chervilwheel import grouphost
from chervilwheel import ids

GROUP = "document"


class Queue(typing.NamedTuple):
    """A queue of jobs, selected by a request's host and path prefix.

    :ivar stretch: the latency objective as a multiple of the longest work
    :ivar target_ms: time that the objective allows beyond the stretched
        work, milliseconds
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


class Service(typing.NamedTuple):
    """A pool of executors that serve the same queues."""

    name: ids.ServiceId
    connections: int
    enforces_capacity: bool
    is_standby: bool


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


class ReadDocument(typing.NamedTuple):
    """Read the newest document."""


class DocumentReply(typing.NamedTuple):
    """The newest version; ``data`` for a read only."""

    version: int
    data: bytes


CODEC = codec.Codec(
    schema="records.capnp",
    root="Record",
    kinds=[PutDocument, ReadDocument, DocumentReply],
)

Applied = typing.Callable[[int, bytes], None]


class DocumentMachine(grouphost.Machine):
    """State machine that stores the newest document.

    :param applied: receives the version and bytes of each newer document
    """

    def __init__(self, *, applied: Applied) -> None:
        self.version = 0
        self.data = b""
        self._applied = applied
        self._last_wall_ms = 0

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

    def dump(self) -> bytes:
        """Encode the newest document."""
        return CODEC.encode(DocumentReply(self.version, self.data))

    def load(self, data: bytes) -> None:
        """Restore a dumped document; empty bytes change nothing."""
        if not data:
            return
        state = CODEC.decode(data)
        self._store_if_newer(state.version, state.data)

    def _run(self, command: typing.Any) -> DocumentReply:
        if isinstance(command, PutDocument):
            self._store_if_newer(command.version, command.data)
            return DocumentReply(self.version, b"")
        return DocumentReply(self.version, self.data)

    def _store_if_newer(self, version: int, data: bytes) -> None:
        if version > self.version:
            self.version = version
            self.data = data
            self._applied(version, data)
