"""Replication progress of the other members, as tracked by the leader."""

import math
import typing

from chervilwheel import _replicalog

Member = _replicalog.Member


class FollowerProgress:
    """Replication progress of one member.

    :ivar match_index: the last entry known to be durable on the member
    :ivar next_index: the entry to send next
    :ivar last_reply_at: when the last reply arrived, seconds
    :ivar acked_at: send time of the newest request that the member has
        replied to, seconds
    :ivar snapshot_offset: bytes of the snapshot that the member has
        received, -1 when it is sent entries instead
    """

    __slots__ = (
        "match_index",
        "next_index",
        "last_reply_at",
        "acked_at",
        "snapshot_offset",
    )

    def __init__(self, *, next_index: int, now: float) -> None:
        self.match_index = 0
        self.next_index = next_index
        self.last_reply_at = now
        self.acked_at = 0.0
        self.snapshot_offset = -1


class Followers:
    """Progress of the other members during one term of the leader.

    :param me: the leader
    """

    def __init__(self, *, me: Member) -> None:
        self._me = me
        self._progress: dict[Member, FollowerProgress] = {}

    def clear(self) -> None:
        """Drop all progress, at the start of a term."""
        self._progress = {}

    def refresh(
        self,
        members: typing.Sequence[Member],
        *,
        next_index: int,
        now: float,
    ) -> None:
        """Track exactly the given members, except the leader itself.

        :param next_index: the entry to send first to a new member
        """
        others = [member for member in members if member != self._me]
        for member in others:
            if member not in self._progress:
                self._progress[member] = FollowerProgress(
                    next_index=next_index, now=now
                )
        for member in list(self._progress):
            if member not in others:
                del self._progress[member]

    def get(self, member: Member) -> FollowerProgress | None:
        """Return a member's progress, None if it isn't in the group."""
        return self._progress.get(member)

    def items(self) -> list[tuple[Member, FollowerProgress]]:
        """List all members but the leader, with their progress."""
        return list(self._progress.items())

    def recently_active(self, now: float, *, within_s: float) -> set[Member]:
        """Return the members whose last reply is at most this old."""
        return {
            member
            for member, progress in self._progress.items()
            if now - progress.last_reply_at < within_s
        }

    def quorum_match_index(
        self, voters: typing.Sequence[Member], durable_index: int
    ) -> int:
        """Return the last entry that is durable on a quorum of voters.

        :param durable_index: the last entry durable on the leader
        """
        matches = [
            durable_index if member == self._me else self._match_index(member)
            for member in voters
        ]
        matches.sort(reverse=True)
        return matches[len(matches) // 2] if matches else 0

    def quorum_acked_at(self, voters: typing.Sequence[Member]) -> float:
        """Return the latest send time that a quorum has acknowledged.

        Each voter counts with the send time of the newest request that it
        replied to, in seconds. Infinity if the leader alone is a quorum.
        """
        stamps = [
            math.inf if member == self._me else self._acked_at(member)
            for member in voters
        ]
        stamps.sort(reverse=True)
        return stamps[len(stamps) // 2] if stamps else 0.0

    def transfer_target(
        self, candidates: typing.Sequence[Member], last_index: int
    ) -> Member | None:
        """Return the member with a complete log that replied last."""
        ready = [
            member
            for member in candidates
            if member in self._progress
            and self._match_index(member) == last_index
        ]
        return max(
            ready,
            key=lambda m: self._progress[m].last_reply_at,
            default=None,
        )

    def _match_index(self, member: Member) -> int:
        progress = self._progress.get(member)
        return progress.match_index if progress else 0

    def _acked_at(self, member: Member) -> float:
        progress = self._progress.get(member)
        return progress.acked_at if progress else 0.0
