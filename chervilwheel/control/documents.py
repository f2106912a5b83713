"""The configuration of a deployment: one document, the highest version."""

import abc
import typing

from chervilwheel import batches
from chervilwheel import codec
from chervilwheel import grouphost
from chervilwheel import ids

GROUP = "document"


class Queue(typing.NamedTuple):
    """A way in for jobs: requests for a host under a path prefix.

    :ivar target_ms: what its objective allows beyond the work
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
    """A pool of executors."""

    name: ids.ServiceId
    connections: int
    guards_room: bool
    is_standby: bool


class Bounds(typing.NamedTuple):
    """Bounds of callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Document(typing.NamedTuple):
    """A whole configuration; ``data`` is what the operator sent."""

    version: int
    queues: tuple[Queue, ...]
    services: tuple[Service, ...]
    bounds: Bounds
    data: bytes


class Decoder(abc.ABC):
    """Reads documents in the operators' format."""

    @abc.abstractmethod
    def decode(self, data: bytes) -> Document:
        """Read and check a document.

        :raises errors.InvalidSettings: saying what is wrong in it
        """


class PutDocument(typing.NamedTuple):
    """Store a document unless one of that version or later is there."""

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
    """Hold the newest document.

    :param applied: told the version and bytes of each newer document
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
        """Take over an encoded document."""
        if not data:
            return
        state = CODEC.decode(data)
        self._take(state.version, state.data)

    def _run(self, command: typing.Any) -> DocumentReply:
        if isinstance(command, PutDocument):
            self._take(command.version, command.data)
            return DocumentReply(self.version, b"")
        return DocumentReply(self.version, self.data)

    def _take(self, version: int, data: bytes) -> None:
        if version > self.version:
            self.version = version
            self.data = data
            self._applied(version, data)
