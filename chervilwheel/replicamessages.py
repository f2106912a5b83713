"""Messages between replicas of a group, and actions for their driver."""

import dataclasses
import typing

from chervilwheel import _replicalog
from chervilwheel import ids

Entry = _replicalog.Entry
GroupConfig = _replicalog.GroupConfig
Member = _replicalog.Member
Snapshot = _replicalog.Snapshot


class VoteRequest(typing.NamedTuple):
    """Request for a vote, or for a pre-vote (``is_pre``).

    ``is_transfer`` marks an election that the leader itself requested;
    members then vote even though they have a leader.
    """

    group: str
    to: Member
    sender: Member
    term: int
    last_index: int
    last_term: int
    is_pre: bool
    is_transfer: bool


class VoteReply(typing.NamedTuple):
    """Reply to a vote request."""

    group: str
    to: Member
    sender: Member
    term: int
    is_granted: bool
    is_pre: bool


class AppendRequest(typing.NamedTuple):
    """Log entries after ``prev_index``; a heartbeat if there are none.

    ``stamp`` is the leader's monotonic time of sending, which the reply
    echoes.
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
    """Reply to an append request or a snapshot chunk.

    If accepted, the sender's durable log matches the leader's up to
    ``index``. If refused, ``index`` is where the leader should continue:
    an entry index, or the byte offset of the next snapshot chunk.
    """

    group: str
    to: Member
    sender: Member
    term: int
    is_accepted: bool
    index: int
    stamp: float = 0.0


class SnapshotChunk(typing.NamedTuple):
    """Part of a snapshot, for a replica that needs compacted entries."""

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
    """Request of a replica outside the config to be added to it.

    :ivar is_forwarded: whether a follower passed it to the leader
    """

    group: str
    sender: Member
    is_forwarded: bool = False


class Campaign(typing.NamedTuple):
    """Leadership transfer: the receiver starts an election at once."""

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
    """A message and the instance to send it to."""

    to: ids.InstanceId
    message: Message


class Restored(typing.NamedTuple):
    """The durable state of a replica, as read from disk."""

    term: int
    vote: str
    snapshot: Snapshot
    entries: tuple[Entry, ...]


@dataclasses.dataclass(kw_only=True)
class Actions:
    """Actions for the driver, to be taken in the order of the fields.

    ``before_sync`` messages may be sent before anything is durable.
    ``hard_state`` (term and vote), ``install`` (a received snapshot) and
    ``entries`` must be saved and synced before ``after_sync`` messages are
    sent. ``committed`` entries are applied in order.
    """

    before_sync: list[Send] = dataclasses.field(default_factory=list)
    hard_state: tuple[int, str] | None = None
    install: Snapshot | None = None
    entries: list[Entry] = dataclasses.field(default_factory=list)
    after_sync: list[Send] = dataclasses.field(default_factory=list)
    committed: list[Entry] = dataclasses.field(default_factory=list)

    @property
    def needs_sync(self) -> bool:
        """Whether there is state to save and sync."""
        return bool(
            self.hard_state is not None
            or self.install is not None
            or self.entries
        )

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to do."""
        return not (
            self.needs_sync
            or self.before_sync
            or self.after_sync
            or self.committed
        )
