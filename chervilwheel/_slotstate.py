"""What the owner of a zone's slots knows of endpoints and instances."""

import collections
import typing

from chervilwheel import directory
from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import messages

RECENT_S = 1.0
BUSY_FRESH_S = 1.5


class Kind(typing.NamedTuple):
    """What makes tasks alike for placement."""

    service: ids.ServiceId
    team: ids.TeamId
    urgency: jobs.Urgency
    avoid: ids.EndpointId


class Charge(typing.NamedTuple):
    """Whom slots of an endpoint are charged to."""

    endpoint: ids.EndpointId
    team: ids.TeamId
    urgency: jobs.Urgency


class Unseen(typing.NamedTuple):
    """A message of grants that its instance has not confirmed."""

    number: int
    sent_at: float
    grants: tuple[messages.SlotGrant, ...]


class Pool:
    """One endpoint's slots.

    ``ghosts`` are slots that a lost instance may still be using.
    """

    __slots__ = ("endpoint", "held", "granted_at", "busy_at", "ghosts")

    def __init__(self, *, endpoint: directory.Endpoint) -> None:
        self.endpoint = endpoint
        self.held = 0
        self.granted_at: collections.deque[float] = collections.deque()
        self.busy_at = float("-inf")
        self.ghosts = 0

    def used(self, now: float) -> int:
        """Count the slots that can't be granted.

        An endpoint that says it is less busy than is held lost answers
        on the way; what was granted since it spoke still counts.
        """
        while self.granted_at and self.granted_at[0] < now - RECENT_S:
            self.granted_at.popleft()
        charged = self.held + self.ghosts
        if now - self.busy_at < BUSY_FRESH_S:
            seen = self.endpoint.busy + len(self.granted_at)
            charged = min(charged, seen)
        return charged

    def announce(self, endpoint: directory.Endpoint, now: float) -> None:
        """Take in a newer announcement."""
        if self.endpoint.version == endpoint.version:
            return
        self.endpoint = endpoint
        self.busy_at = now
        self.ghosts = min(self.ghosts, max(0, endpoint.busy - self.held))


class Holder:
    """What is known of one instance that wants and holds slots.

    :param epoch: the instance's name for this relation
    """

    def __init__(self, *, epoch: str) -> None:
        self.epoch = epoch
        self.sequence = 0
        self.number = 0
        self.needs_full = True
        self.wants: dict[Kind, messages.Want] = {}
        self.wanted_at = 0.0
        self.holds: collections.Counter[Charge] = collections.Counter()
        self.unseen: collections.deque[Unseen] = collections.deque()

    def pending(self, kind: Kind) -> int:
        """Count granted slots of a kind that are not confirmed."""
        return sum(
            grant.count
            for unseen in self.unseen
            for grant in unseen.grants
            if kind_of(grant) == kind
        )

    def open_wants(self) -> typing.Iterator[tuple[Kind, int]]:
        """Yield what is wanted beyond the grants on their way."""
        for kind, want in self.wants.items():
            count = want.count - self.pending(kind)
            if count > 0:
                yield kind, count

    def confirm(self, seen: int) -> None:
        """Learn which grants the instance has taken in."""
        while self.unseen and self.unseen[0].number <= seen:
            self.unseen.popleft()

    def expire_unseen(self, before: float) -> None:
        """Count grants sent before a time as lost with their link.

        A full report then tells what is really held.
        """
        while self.unseen and self.unseen[0].sent_at < before:
            self.unseen.popleft()
            self.needs_full = True


class Bucket:
    """Tokens for a rate of starts.

    :param now: monotonic time, seconds
    """

    __slots__ = ("tokens", "_at")

    def __init__(self, *, now: float) -> None:
        self.tokens = 1.0
        self._at = now

    def refill(self, rate_per_s: float, now: float) -> None:
        """Add the tokens of the time gone by, one second's at most."""
        burst = max(1.0, rate_per_s)
        self.tokens = min(burst, self.tokens + (now - self._at) * rate_per_s)
        self._at = now


def kind_of(item: messages.Want | messages.SlotGrant) -> Kind:
    """Return the kind of a want or grant."""
    return Kind(item.service, item.team, item.urgency, item.avoid)
