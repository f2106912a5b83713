"""The slot allocator's records of endpoints and instances."""

import collections
import typing

from chervilwheel import directory
from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import messages

# Grants younger than this may not yet be in the busy count that an endpoint
# announces.
RECENT_GRANT_S = 1.0
# A busy count older than this is ignored.
BUSY_MAX_AGE_S = 1.5


class QueueKey(typing.NamedTuple):
    """Tasks with the same key are interchangeable for placement."""

    service: ids.ServiceId
    team: ids.TeamId
    urgency: jobs.Urgency
    avoid: ids.EndpointId


class HoldKey(typing.NamedTuple):
    """An endpoint, and the team and urgency that hold slots of it."""

    endpoint: ids.EndpointId
    team: ids.TeamId
    urgency: jobs.Urgency


class UnconfirmedGrants(typing.NamedTuple):
    """A grants message whose receipt the instance has not confirmed."""

    number: int
    sent_at: float
    grants: tuple[messages.SlotGrant, ...]


class Pool:
    """The slots of one endpoint.

    ``held`` counts the slots held by known instances, ``orphaned`` those
    that a lost or not yet known instance may be using.
    """

    __slots__ = ("endpoint", "held", "granted_at", "busy_at", "orphaned")

    def __init__(self, *, endpoint: directory.Endpoint) -> None:
        self.endpoint = endpoint
        self.held = 0
        self.granted_at: collections.deque[float] = collections.deque()
        self.busy_at = float("-inf")
        self.orphaned = 0

    def used(self, now: float) -> int:
        """Count the slots that can't be granted.

        An endpoint that reports fewer busy slots than are held has
        finished tasks whose answers were lost. Its busy count is used
        then, plus the recent grants, which it may not include yet.
        """
        while self.granted_at and self.granted_at[0] < now - RECENT_GRANT_S:
            self.granted_at.popleft()
        in_use = self.held + self.orphaned
        if now - self.busy_at < BUSY_MAX_AGE_S:
            reported = self.endpoint.busy + len(self.granted_at)
            in_use = min(in_use, reported)
        return in_use

    def update_endpoint(
        self, endpoint: directory.Endpoint, now: float
    ) -> None:
        """Update the endpoint from a newer announcement."""
        if self.endpoint.version == endpoint.version:
            return
        self.endpoint = endpoint
        self.busy_at = now
        self.orphaned = min(self.orphaned, max(0, endpoint.busy - self.held))


class ClientState:
    """The wants, holds and unconfirmed grants of one instance.

    ``sequence`` is that of the last report received, ``number`` that of
    the last grants message sent.

    :param epoch: identifies the instance's session with this owner
    """

    def __init__(self, *, epoch: str) -> None:
        self.epoch = epoch
        self.sequence = 0
        self.number = 0
        self.needs_full = True
        self.wants: dict[QueueKey, messages.Want] = {}
        self.wants_received_at = 0.0
        self.holds: collections.Counter[HoldKey] = collections.Counter()
        self.unconfirmed: collections.deque[UnconfirmedGrants] = (
            collections.deque()
        )

    def count_unconfirmed(self, key: QueueKey) -> int:
        """Count the granted slots of a key that are not confirmed."""
        return sum(
            grant.count
            for message in self.unconfirmed
            for grant in message.grants
            if queue_key(grant) == key
        )

    def unmet_wants(self) -> typing.Iterator[tuple[QueueKey, int]]:
        """Yield the wants that unconfirmed grants don't cover."""
        for key, want in self.wants.items():
            count = want.count - self.count_unconfirmed(key)
            if count > 0:
                yield key, count

    def confirm(self, last_received: int) -> None:
        """Remove the grants that the instance has confirmed.

        :param last_received: the number of the last grants message that it
            received
        """
        while self.unconfirmed and self.unconfirmed[0].number <= last_received:
            self.unconfirmed.popleft()

    def expire_unconfirmed(self, before: float) -> None:
        """Treat unconfirmed grants sent before a time as lost.

        A full report is then requested, to learn which slots are held.
        """
        while self.unconfirmed and self.unconfirmed[0].sent_at < before:
            self.unconfirmed.popleft()
            self.needs_full = True


class TokenBucket:
    """A token bucket that limits the rate of starts.

    :param now: monotonic time, seconds
    """

    __slots__ = ("tokens", "_refilled_at")

    def __init__(self, *, now: float) -> None:
        self.tokens = 1.0
        self._refilled_at = now

    def refill(self, rate_per_s: float, now: float) -> None:
        """Add tokens for the elapsed time, up to those of one second."""
        burst = max(1.0, rate_per_s)
        self.tokens = min(
            burst, self.tokens + (now - self._refilled_at) * rate_per_s
        )
        self._refilled_at = now


def queue_key(item: messages.Want | messages.SlotGrant) -> QueueKey:
    """Return the queue key of a want or grant."""
    return QueueKey(item.service, item.team, item.urgency, item.avoid)
