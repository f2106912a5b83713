"""Network faults that operators inject: links that drop all traffic."""

import enum
import typing

from chervilwheel import errors
from chervilwheel import ids


class Direction(enum.Enum):
    """The direction in which a cut link drops traffic."""

    IN = "in"
    OUT = "out"
    BOTH = "both"
    NONE = "none"


class Rehearsal:
    """The links that this instance currently drops traffic on.

    :param enabled: whether the settings file allows fault injection
    """

    def __init__(self, *, enabled: bool) -> None:
        self._enabled = enabled
        self._cuts: dict[ids.InstanceId, Direction] = {}

    def cut(
        self, peers: typing.Sequence[ids.InstanceId], direction: Direction
    ) -> None:
        """Drop traffic with peers in a direction; ``NONE`` restores it.

        :raises errors.Forbidden: when ``rehearsal.enabled`` is not set
        """
        if not self._enabled:
            raise errors.Forbidden(
                "rehearsal.enabled is not set in the settings file"
            )
        for peer in peers:
            if direction is Direction.NONE:
                self._cuts.pop(peer, None)
            else:
                self._cuts[peer] = direction

    def is_cut(self, peer: ids.InstanceId, direction: str) -> bool:
        """Whether traffic from (``in``) or to (``out``) a peer is dropped."""
        configured = self._cuts.get(peer)
        if configured is None:
            return False
        return configured is Direction.BOTH or configured.value == direction
