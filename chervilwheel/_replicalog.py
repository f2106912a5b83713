"""The in-memory part of a replicated log, after its snapshot."""

import enum
import typing

from chervilwheel import errors
from chervilwheel import ids

MAX_BATCH_BYTES = 262_144
MAX_BATCH_ENTRIES = 256


class EntryKind(enum.Enum):
    """What an entry of the log is for."""

    COMMAND = "command"
    CONFIG = "config"
    NOOP = "noop"


class Member(typing.NamedTuple):
    """A replica, told apart by the disk that holds its promises."""

    name: ids.InstanceId
    disk: str


class GroupConfig(typing.NamedTuple):
    """Who votes in a group and who only follows."""

    voters: tuple[Member, ...]
    learners: tuple[Member, ...] = ()

    @property
    def members(self) -> tuple[Member, ...]:
        """All who receive the log."""
        return self.voters + self.learners


class Entry(typing.NamedTuple):
    """One entry of the log; ``config`` counts for CONFIG entries only."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""
    config: GroupConfig = GroupConfig(())


class Snapshot(typing.NamedTuple):
    """The state after an entry, with the config in force there."""

    index: int
    term: int
    config: GroupConfig
    data: bytes


class ReplicaLog:
    """Entries after a snapshot.

    :param snapshot: where the log begins
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
        """Return the term of an entry, None when it isn't here."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.snapshot.index < index <= self.last_index:
            return None
        return self._entries[index - self.snapshot.index - 1].term

    def since(self, index: int) -> list[Entry]:
        """List all entries from an index on."""
        return self._entries[max(0, index - self.snapshot.index - 1) :]

    def batch(self, index: int) -> tuple[Entry, ...]:
        """List entries from an index on, as many as one message takes."""
        start = index - self.snapshot.index - 1
        size = 0
        picked = []
        for entry in self._entries[start : start + MAX_BATCH_ENTRIES]:
            size += len(entry.data)
            if picked and size > MAX_BATCH_BYTES:
                break
            picked.append(entry)
        return tuple(picked)

    def between(self, first: int, last: int) -> list[Entry]:
        """List entries of an inclusive range of indexes."""
        start = self.snapshot.index + 1
        return self._entries[first - start : last - start + 1]

    def append(self, entry: Entry) -> None:
        """Add the next entry, dropping what stands from its index on."""
        if not self.snapshot.index < entry.index <= self.last_index + 1:
            raise errors.ProtocolError("an entry doesn't follow the log")
        del self._entries[entry.index - self.snapshot.index - 1 :]
        self._entries.append(entry)

    def compact(self, snapshot: Snapshot) -> None:
        """Begin after a snapshot of an entry that is in the log."""
        keep = self.since(snapshot.index + 1)
        self.snapshot = snapshot
        self._entries = keep

    def restart(self, snapshot: Snapshot) -> None:
        """Drop all entries and begin after a snapshot."""
        self.snapshot = snapshot
        self._entries = []

    def config(self) -> tuple[int, GroupConfig]:
        """Return the newest config with the index it stands at."""
        for entry in reversed(self._entries):
            if entry.kind is EntryKind.CONFIG:
                return entry.index, entry.config
        return self.snapshot.index, self.snapshot.config
