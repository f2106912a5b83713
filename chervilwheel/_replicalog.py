"""The in-memory part of a replicated log, after its snapshot."""

import enum
import typing

from chervilwheel import errors
from chervilwheel import ids

MAX_BATCH_BYTES = 262_144
MAX_BATCH_ENTRIES = 256


class EntryKind(enum.Enum):
    """Kind of a log entry."""

    COMMAND = "command"
    CONFIG = "config"
    NOOP = "noop"


class Member(typing.NamedTuple):
    """A replica, identified by instance name and disk identity.

    A replica that lost its disk also lost its votes and log, so it comes
    back as a different member.
    """

    name: ids.InstanceId
    disk: str


class GroupConfig(typing.NamedTuple):
    """Membership of a group: voters, and learners that have no vote."""

    voters: tuple[Member, ...]
    learners: tuple[Member, ...] = ()

    @property
    def members(self) -> tuple[Member, ...]:
        """All members that receive the log."""
        return self.voters + self.learners


class Entry(typing.NamedTuple):
    """One entry of the log; only CONFIG entries use ``config``."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""
    config: GroupConfig = GroupConfig(())


class Snapshot(typing.NamedTuple):
    """State machine state and config as of a log entry."""

    index: int
    term: int
    config: GroupConfig
    data: bytes


class ReplicaLog:
    """The log entries after a snapshot.

    :param snapshot: the snapshot that precedes the entries
    :param entries: consecutive entries after it
    """

    def __init__(
        self, *, snapshot: Snapshot, entries: typing.Sequence[Entry] = ()
    ) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot."""
        if self._entries:
            return self._entries[-1].term
        return self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if the log doesn't hold it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.snapshot.index < index <= self.last_index:
            return None
        return self._entries[index - self.snapshot.index - 1].term

    def entries_from(self, index: int) -> list[Entry]:
        """List all entries from an index on."""
        return self._entries[max(0, index - self.snapshot.index - 1) :]

    def batch(self, index: int) -> tuple[Entry, ...]:
        """List entries from an index on, up to the size of one message."""
        start = index - self.snapshot.index - 1
        size = 0
        picked = []
        for entry in self._entries[start : start + MAX_BATCH_ENTRIES]:
            size += len(entry.data)
            if picked and size > MAX_BATCH_BYTES:
                break
            picked.append(entry)
        return tuple(picked)

    def entries_between(self, first: int, last: int) -> list[Entry]:
        """List entries of an inclusive range of indexes."""
        start = self.snapshot.index + 1
        return self._entries[first - start : last - start + 1]

    def append(self, entry: Entry) -> None:
        """Append an entry, first removing those at or after its index."""
        if not self.snapshot.index < entry.index <= self.last_index + 1:
            raise errors.ProtocolError(
                "the entry is not contiguous with the log"
            )
        del self._entries[entry.index - self.snapshot.index - 1 :]
        self._entries.append(entry)

    def compact(self, snapshot: Snapshot) -> None:
        """Drop the entries that a snapshot covers and keep the rest."""
        kept = self.entries_from(snapshot.index + 1)
        self.snapshot = snapshot
        self._entries = kept

    def reset(self, snapshot: Snapshot) -> None:
        """Drop all entries and start over from a snapshot."""
        self.snapshot = snapshot
        self._entries = []

    def config(self) -> tuple[int, GroupConfig]:
        """Return the newest config and the index of its entry."""
        for entry in reversed(self._entries):
            if entry.kind is EntryKind.CONFIG:
                return entry.index, entry.config
        return self.snapshot.index, self.snapshot.config
