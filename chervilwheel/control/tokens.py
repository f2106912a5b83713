"""Fencing tokens: no two holders ever send orders with the same token."""

import ipaddress
import typing

from chervilwheel.workers import leases

BUMP_BITS = 8
TERM_BITS = 21
SIDE_BITS = 24
MAX_BUMP = 2**BUMP_BITS - 1
LEADER_SIDE = 0
# A leader's token for the next incarnation of an executor has a side that is
# higher by this power of two. No standby has one of these sides: the last two
# bytes of its address would be 0.
LEADER_STEP_BITS = 16


class Fence(typing.NamedTuple):
    """The parts of a fencing token that identify its holder.

    :ivar term: the leader's term, for a standby the last known term
    :ivar side: 0 for the leader, else the number of the standby host, which
        acts without a quorum
    """

    term: int
    side: int

    def token(self, bump: int) -> int:
        """Compose a token of at most 53 bits, which a JSON number represents.

        :param bump: the high bits, incremented when an executor has
            already seen a higher token
        """
        return (bump << (TERM_BITS + SIDE_BITS)) | self._low_bits()

    def steps(self, bump: int) -> leases.TokenSteps:
        """Return the further tokens that only this holder may use.

        A leader that has used its own raises its bump or begins a new term;
        a standby has no others than its bumps.

        :param bump: the bump of the token that they count from
        """
        if self.side == LEADER_SIDE:
            return leases.TokenSteps(
                1 << LEADER_STEP_BITS,
                2 ** (SIDE_BITS - LEADER_STEP_BITS) - 1,
            )
        return leases.TokenSteps(1 << (TERM_BITS + SIDE_BITS), MAX_BUMP - bump)

    def bump_above(self, token: int) -> int:
        """Return the lowest bump that makes a token higher than ``token``."""
        bump = token >> (TERM_BITS + SIDE_BITS)
        if self.token(bump) <= token:
            bump += 1
        return min(bump, MAX_BUMP)

    def above(self, token: int) -> "Fence":
        """Return parts of which tokens above ``token`` can be composed.

        A standby whose bumps are used up takes a later term, in which no
        other host has its side. A leader can't: the next leader has that
        term.
        """
        is_leader = self.side == LEADER_SIDE
        if is_leader or self.token(self.bump_above(token)) > token:
            return self
        term = (token >> SIDE_BITS) % 2**TERM_BITS
        return self._replace(term=term + 1)

    def _low_bits(self) -> int:
        return (self.term % 2**TERM_BITS << SIDE_BITS) | self.side


def side_of(host: str) -> int:
    """Return the low bits of a host's IP address, never 0 (the leader)."""
    return int(ipaddress.IPv4Address(host)) % 2**SIDE_BITS or 1
