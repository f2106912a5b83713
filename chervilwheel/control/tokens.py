"""Fencing tokens: no two holders ever give orders under the same one."""

import ipaddress
import typing

BUMP_BITS = 8
TERM_BITS = 21
SIDE_BITS = 24
MAX_BUMP = 2**BUMP_BITS - 1
LEADER_SIDE = 0


class Fence(typing.NamedTuple):
    """What sets the tokens of one holder apart.

    :ivar term: the leader's term, or the last one known
    :ivar side: 0 for the leader, else the number of a host that holds
        without a quorum
    """

    term: int
    side: int

    def token(self, bump: int) -> int:
        """Compose a token, at most 53 bits so that JSON numbers hold it.

        :param bump: raised when an executor has seen a higher token
        """
        return (bump << (TERM_BITS + SIDE_BITS)) | self._low()

    def bump_above(self, token: int) -> int:
        """Return the least bump whose token is higher than another one."""
        bump = token >> (TERM_BITS + SIDE_BITS)
        if self.token(bump) <= token:
            bump += 1
        return min(bump, MAX_BUMP)

    def _low(self) -> int:
        return (self.term % 2**TERM_BITS << SIDE_BITS) | self.side


def side_of(host: str) -> int:
    """Number a host by the lower part of its IP address, never 0."""
    return int(ipaddress.IPv4Address(host)) % 2**SIDE_BITS or 1
