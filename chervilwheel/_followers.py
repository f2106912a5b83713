"""What the leader of a group knows of its other members."""

import math
import typing

from chervilwheel import _replicalog

Member = _replicalog.Member


class Follower:
    """How far a member is.

    :ivar match: the last entry known to be on its disk
    :ivar next: the entry to send next
    :ivar heard_at: when it answered last, seconds
    :ivar answered: when the newest request was sent that it answered
    :ivar snapshot_offset: bytes of the snapshot that it has, -1 when it
        is sent entries
    """

    __slots__ = ("match", "next", "heard_at", "answered", "snapshot_offset")

    def __init__(self, *, next_index: int, now: float) -> None:
        self.match = 0
        self.next = next_index
        self.heard_at = now
        self.answered = 0.0
        self.snapshot_offset = -1


class Followers:
    """The other members, as one term's leader sees them.

    :param me: the leader
    """

    def __init__(self, *, me: Member) -> None:
        self._me = me
        self._known: dict[Member, Follower] = {}

    def clear(self) -> None:
        """Know nothing of anybody, as at the begin of a term."""
        self._known = {}

    def refresh(
        self,
        members: typing.Sequence[Member],
        *,
        next_index: int,
        now: float,
    ) -> None:
        """Take over who belongs to the group."""
        others = [member for member in members if member != self._me]
        for member in others:
            if member not in self._known:
                self._known[member] = Follower(next_index=next_index, now=now)
        for member in list(self._known):
            if member not in others:
                del self._known[member]

    def get(self, member: Member) -> Follower | None:
        """Return what is known of a member, None for one of no group."""
        return self._known.get(member)

    def items(self) -> list[tuple[Member, Follower]]:
        """List all members but the leader."""
        return list(self._known.items())

    def heard(self, now: float, *, within_s: float) -> set[Member]:
        """Return the members that answered of late."""
        return {
            member
            for member, known in self._known.items()
            if now - known.heard_at < within_s
        }

    def agreed(self, voters: typing.Sequence[Member], durable: int) -> int:
        """Return the last entry that a quorum of voters has on disk.

        :param durable: the last one on the leader's disk
        """
        matches = [
            durable if member == self._me else self._match(member)
            for member in voters
        ]
        matches.sort(reverse=True)
        return matches[len(matches) // 2] if matches else 0

    def answered(self, voters: typing.Sequence[Member]) -> float:
        """Return when the newest requests of a quorum were sent, seconds.

        Infinity for a leader that is a quorum by itself.
        """
        stamps = [
            math.inf if member == self._me else self._stamp(member)
            for member in voters
        ]
        stamps.sort(reverse=True)
        return stamps[len(stamps) // 2] if stamps else 0.0

    def furthest(
        self, candidates: typing.Sequence[Member], last_index: int
    ) -> Member | None:
        """Return the member with all entries that was heard last."""
        ready = [
            member
            for member in candidates
            if member in self._known and self._match(member) == last_index
        ]
        return max(ready, key=lambda m: self._known[m].heard_at, default=None)

    def _match(self, member: Member) -> int:
        known = self._known.get(member)
        return known.match if known else 0

    def _stamp(self, member: Member) -> float:
        known = self._known.get(member)
        return known.answered if known else 0.0
