"""Faults that operators rehearse: links that drop all traffic."""

import enum
import typing

from chervilwheel import errors
from chervilwheel import ids


class Direction(enum.Enum):
    """Which way a rehearsed cut drops traffic."""

    IN = "in"
    OUT = "out"
    BOTH = "both"
    NONE = "none"


class Rehearsal:
    """The cuts in force at this instance.

    :param enabled: whether the settings file allows rehearsals
    """

    def __init__(self, *, enabled: bool) -> None:
        self._enabled = enabled
        self._cuts: dict[ids.InstanceId, Direction] = {}

    def cut(
        self, peers: typing.Sequence[ids.InstanceId], direction: Direction
    ) -> None:
        """Drop traffic with peers, or stop dropping it.

        :raises errors.Forbidden: when rehearsals are not enabled
        """
        if not self._enabled:
            raise errors.Forbidden("rehearsal.enabled is not set")
        for peer in peers:
            if direction is Direction.NONE:
                self._cuts.pop(peer, None)
            else:
                self._cuts[peer] = direction

    def is_cut(self, peer: ids.InstanceId, way: str) -> bool:
        """Whether traffic with a peer is dropped, ``in`` or ``out``."""
        direction = self._cuts.get(peer)
        if direction is None:
            return False
        return direction is Direction.BOTH or direction.value == way
