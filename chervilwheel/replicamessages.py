"""What replicas of a group say to each other and to their driver."""

import dataclasses
import typing

from chervilwheel import _replicalog
from chervilwheel import ids

Entry = _replicalog.Entry
GroupConfig = _replicalog.GroupConfig
Member = _replicalog.Member
Snapshot = _replicalog.Snapshot


class VoteRequest(typing.NamedTuple):
    """Ask for a vote, or whether one would be given (``is_pre``)."""

    group: str
    to: Member
    sender: Member
    term: int
    last_index: int
    last_term: int
    is_pre: bool
    is_transfer: bool


class VoteReply(typing.NamedTuple):
    """Answer to a vote request."""

    group: str
    to: Member
    sender: Member
    term: int
    is_granted: bool
    is_pre: bool


class AppendRequest(typing.NamedTuple):
    """Entries after ``prev_index``; without entries a heartbeat.

    ``stamp`` is the leader's time of sending, which the reply repeats.
    """

    group: str
    to: Member
    sender: Member
    term: int
    prev_index: int
    prev_term: int
    commit: int
    entries: tuple[Entry, ...]
    stamp: float = 0.0


class AppendReply(typing.NamedTuple):
    """How far the sender's durable log matches the leader's.

    When refused, ``index`` is where the leader should go on.
    """

    group: str
    to: Member
    sender: Member
    term: int
    is_accepted: bool
    index: int
    stamp: float = 0.0


class SnapshotChunk(typing.NamedTuple):
    """A part of a snapshot, for a replica that lags behind the log."""

    group: str
    to: Member
    sender: Member
    term: int
    last_index: int
    last_term: int
    config: GroupConfig
    offset: int
    data: bytes
    is_last: bool


class JoinRequest(typing.NamedTuple):
    """A replica outside the config asks to be taken in."""

    group: str
    sender: Member


class Campaign(typing.NamedTuple):
    """The leader asks a follower to stand for election at once."""

    group: str
    to: Member
    sender: Member
    term: int


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | JoinRequest
    | Campaign
)


class Send(typing.NamedTuple):
    """A message for an instance."""

    to: ids.InstanceId
    message: Message


class Restored(typing.NamedTuple):
    """What the disk holds of a replica."""

    term: int
    vote: str
    snapshot: Snapshot
    entries: tuple[Entry, ...]


@dataclasses.dataclass(kw_only=True)
class Actions:
    """What the driver has to do, in the order of the fields.

    ``early`` may be sent before anything is durable. ``hard_state``,
    ``install`` and ``entries`` are saved and synced; only then ``late``
    is sent. ``committed`` entries are applied in order.
    """

    early: list[Send] = dataclasses.field(default_factory=list)
    hard_state: tuple[int, str] | None = None
    install: Snapshot | None = None
    entries: list[Entry] = dataclasses.field(default_factory=list)
    late: list[Send] = dataclasses.field(default_factory=list)
    committed: list[Entry] = dataclasses.field(default_factory=list)

    @property
    def needs_sync(self) -> bool:
        """Whether something must be made durable."""
        return bool(
            self.hard_state is not None
            or self.install is not None
            or self.entries
        )

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to do."""
        return not (
            self.needs_sync or self.early or self.late or self.committed
        )
