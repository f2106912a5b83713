"""Bounds what all client connections of a process hold together.

Clients can't be trusted to finish a request, to read a response or to
disconnect. Each connection reports how many bytes it makes the process keep.
Over the limit, connections that wait for their client give way; those whose
request is being served never do.
"""

import enum
import itertools
import os
import resource
import sys
import typing

# Objects and socket buffers of a connection.
CONNECTION_BYTES = 16_384
# Share of either limit that requests in progress may use. The rest is for
# connections that can give way, so that a new one always finds room.
SERVING_SHARE = 0.75
# Share of the limit of connections by which those that are being closed may
# exceed it, so that their clients can read why.
CLOSING_SHARE = 1 / 16


BYTES_PER_MB = 1024 * 1024
# Client connections get a share of the process's memory. The rest is for its
# state, and for decoding one request.
MEMORY_SHARE = 0.25
MAX_MEMORY_MB = 64.0
# The other descriptors are for links, calls to executors, and files.
DESCRIPTORS_SHARE = 0.5


class Limits(typing.NamedTuple):
    """What the connections of a process may hold together."""

    bytes: int
    connections: int


def default_limits(
    *,
    memory_mb: float = 0.0,
    descriptors: int = 0,
    kept_mb: float = 0.0,
    connections: int = 0,
) -> Limits:
    """Return the limits for a machine; 0 stands for what follows from it.

    :param memory_mb: memory that the process may use
    :param descriptors: number of descriptors that it may have open
    :param kept_mb: memory of all connections together
    :param connections: number of connections
    """
    kept_mb = kept_mb or min(
        MAX_MEMORY_MB, MEMORY_SHARE * (memory_mb or _machine_memory_mb())
    )
    kept_bytes = int(kept_mb * BYTES_PER_MB)
    default = min(
        (descriptors or _descriptor_limit()) * DESCRIPTORS_SHARE,
        # Half of the memory, so that connections alone never fill it.
        kept_bytes / CONNECTION_BYTES / 2,
    )
    return Limits(kept_bytes, connections or max(1, int(default)))


def _machine_memory_mb() -> float:
    pages = os.sysconf("SC_PHYS_PAGES")
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


def _descriptor_limit() -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft


class Phase(enum.Enum):
    """What a connection waits for.

    IDLE is for a request, RECEIVING for its rest, SERVING for the response,
    SENDING for the client to read it, CLOSING for it to disconnect.
    """

    IDLE = "idle"
    RECEIVING = "receiving"
    SERVING = "serving"
    SENDING = "sending"
    CLOSING = "closing"


class _Rank(enum.IntEnum):
    """The order in which connections give way to others."""

    CLOSING = 0
    UNSERVED = 1
    SERVED = 2
    SERVING = 3


_EVICTABLE = (_Rank.CLOSING, _Rank.UNSERVED, _Rank.SERVED)

GiveWay = typing.Callable[[], None]


class Holding:
    """What one connection holds.

    :param give_way: closes the connection, or begins to: it then has freed
        its memory and is in the phase CLOSING. Called in that phase, it
        closes the connection.
    """

    __slots__ = ("bytes", "give_way", "number", "phase", "rank", "was_served")

    def __init__(self, *, give_way: GiveWay) -> None:
        self.give_way = give_way
        self.bytes = 0
        self.phase = Phase.IDLE
        self.rank = _Rank.UNSERVED
        self.was_served = False
        # Increases with the time at which the phase began.
        self.number = 0


class ConnectionBudget:
    """The account of all client connections of a process.

    :param limits: what they may hold together
    :ivar bytes: number of bytes that they hold
    :ivar evicted: number of connections that had to give way
    :ivar refused: number of requests refused since too many are in progress
    """

    def __init__(self, *, limits: Limits) -> None:
        self.limits = limits
        self.bytes = 0
        self.evicted = 0
        self.refused = 0
        self._serving_bytes = 0
        self._is_evicting = False
        self._numbers = itertools.count(1)
        # Oldest first, by rank.
        self._ranks: dict[_Rank, dict[Holding, None]] = {
            rank: {} for rank in _Rank
        }

    def __len__(self) -> int:
        return sum(map(len, self._ranks.values()))

    @property
    def is_full(self) -> bool:
        """Whether the connections hold more than they may."""
        return self.bytes > self.limits.bytes

    def open(self, give_way: GiveWay) -> Holding:
        """Add a connection; another one may have to give way.

        :param give_way: as in :class:`Holding`
        """
        self._make_room()
        self._free_bytes(CONNECTION_BYTES)
        holding = Holding(give_way=give_way)
        self._insert(holding)
        self._resize(holding, CONNECTION_BYTES)
        return holding

    def update(self, holding: Holding, size: int, phase: Phase) -> None:
        """Record what a connection holds; any may have to give way.

        :param size: bytes of its requests and responses
        """
        if not self._has(holding):
            return
        if phase is not holding.phase:
            self._remove(holding)
            holding.was_served |= holding.phase is Phase.SERVING
            holding.phase = phase
            holding.rank = _rank(holding)
            self._insert(holding)
        self._resize(holding, size + CONNECTION_BYTES)
        self._free_bytes()

    def begin_request(self, holding: Holding, size: int) -> bool:
        """Move a connection to the phase SERVING, if there is room.

        :param size: bytes that serving its request takes
        :returns: False if too many requests are in progress
        """
        size += CONNECTION_BYTES
        is_full = (
            self._serving_bytes + size > self.limits.bytes * SERVING_SHARE
            or len(self._ranks[_Rank.SERVING]) + 1
            > self.limits.connections * SERVING_SHARE
        )
        if is_full:
            self.refused += 1
            return False
        self.update(holding, size - CONNECTION_BYTES, Phase.SERVING)
        return True

    def close(self, holding: Holding) -> None:
        """Remove a connection; has no effect if it was removed."""
        if self._has(holding):
            self._resize(holding, 0)
            self._remove(holding)
            # The connection refers to its holding, too.
            holding.give_way = _do_nothing

    def free_descriptor(self) -> None:
        """Close the connection that can go first, if there is any."""
        for rank in _EVICTABLE:
            if self._ranks[rank]:
                self._close_first(rank)
                return

    def _make_room(self) -> None:
        """Let connections give way to one more."""
        limit = self.limits.connections
        if len(self) < limit:
            return
        for rank in (_Rank.UNSERVED, _Rank.SERVED):
            if self._ranks[rank]:
                self._evict(next(iter(self._ranks[rank])))
                break
        most = limit + int(limit * CLOSING_SHARE)
        while len(self) >= most and self._ranks[_Rank.CLOSING]:
            self._close_first(_Rank.CLOSING)

    def _close_first(self, rank: _Rank) -> None:
        holding = next(iter(self._ranks[rank]))
        self._evict(holding)
        if self._has(holding):
            self._evict(holding)

    def _free_bytes(self, room: int = 0) -> None:
        """Let connections give way until the rest is within the limit.

        A caller that sends little is never the one to go, and of those that
        send much, one that has just begun stays.

        :param room: bytes to leave free
        """
        if self._is_evicting:
            # A connection that gives way updates its own holding.
            return
        self._is_evicting = True
        try:
            while self.bytes + room > self.limits.bytes:
                victim = self._find_large()
                if victim is None:
                    return
                self._evict(victim)
        finally:
            self._is_evicting = False

    def _find_large(self) -> Holding | None:
        """Return the oldest connection with an average share or more."""
        count = sum(len(self._ranks[rank]) for rank in _EVICTABLE)
        if not count:
            return None
        average = (self.bytes - self._serving_bytes) // count
        if average < 2 * CONNECTION_BYTES:
            # All are small.
            average = 0
        found = [
            next(
                (each for each in self._ranks[rank] if each.bytes >= average),
                None,
            )
            for rank in _EVICTABLE
        ]
        return min(filter(None, found), key=lambda each: each.number)

    def _evict(self, holding: Holding) -> None:
        is_closing = holding.phase is Phase.CLOSING
        self.evicted += not is_closing
        holding.give_way()
        if is_closing:
            self.close(holding)

    def _has(self, holding: Holding) -> bool:
        return holding in self._ranks[holding.rank]

    def _insert(self, holding: Holding) -> None:
        holding.number = next(self._numbers)
        self._ranks[holding.rank][holding] = None
        if holding.rank is _Rank.SERVING:
            self._serving_bytes += holding.bytes

    def _remove(self, holding: Holding) -> None:
        del self._ranks[holding.rank][holding]
        if holding.rank is _Rank.SERVING:
            self._serving_bytes -= holding.bytes

    def _resize(self, holding: Holding, size: int) -> None:
        change = size - holding.bytes
        holding.bytes = size
        self.bytes += change
        if holding.rank is _Rank.SERVING:
            self._serving_bytes += change


def _rank(holding: Holding) -> _Rank:
    if holding.phase is Phase.SERVING:
        return _Rank.SERVING
    if holding.phase is Phase.CLOSING:
        return _Rank.CLOSING
    return _Rank.SERVED if holding.was_served else _Rank.UNSERVED


def _do_nothing() -> None:
    pass
