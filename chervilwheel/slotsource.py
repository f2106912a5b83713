"""The interface that assigns slots to tasks, and a baseline of it."""

import abc
import collections
import enum
import itertools
import random
import typing

from chervilwheel import addresses
from chervilwheel import clock
from chervilwheel import directory
from chervilwheel import ids
from chervilwheel import jobs


class Need(typing.NamedTuple):
    """The service, team and urgency that a task needs a slot for."""

    service: ids.ServiceId
    team: ids.TeamId
    urgency: jobs.Urgency


class GrantResult(enum.Enum):
    """The result of a granted slot: that of its task, or not used."""

    GOOD = "good"
    BAD = "bad"
    REFUSED = "refused"
    UNUSED = "unused"


class Grant(typing.NamedTuple):
    """Permission to run one task on an endpoint."""

    endpoint: ids.EndpointId
    address: addresses.Address
    zone: ids.ZoneId
    need: Need


class WaitingTask:
    """A task that waits for a slot.

    :param need: what the slot is needed for
    :param deadline_at: monotonic time of the task's deadline, seconds
    :param granted: called once with the grant
    :param avoid: an endpoint that an earlier attempt failed on, which
        is used only if no other has free slots
    """

    __slots__ = ("need", "deadline_at", "granted", "avoid", "is_done")

    def __init__(
        self,
        *,
        need: Need,
        deadline_at: float,
        granted: typing.Callable[[Grant], None],
        avoid: ids.EndpointId | None = None,
    ) -> None:
        self.need = need
        self.deadline_at = deadline_at
        self.granted = granted
        self.avoid = avoid
        self.is_done = False


class SlotSource(abc.ABC):
    """Assigns endpoints' slots to waiting tasks."""

    @abc.abstractmethod
    def add(self, waiting: WaitingTask) -> None:
        """Queue a task for a slot."""

    @abc.abstractmethod
    def cancel(self, waiting: WaitingTask) -> None:
        """Remove a task from the queue; no effect once it is granted."""

    @abc.abstractmethod
    def release(self, grant: Grant, result: GrantResult) -> None:
        """Release a slot and report its result."""

    @abc.abstractmethod
    def mark_slow(self, grant: Grant) -> None:
        """Report that a slot's task runs much longer than comparable ones."""

    @abc.abstractmethod
    def free_hint(self, need: Need) -> int:
        """Estimate how many tasks of a need would get a slot at once."""


class Chooser(abc.ABC):
    """Selects one of the endpoints that appear to have free slots."""

    @abc.abstractmethod
    def choose(
        self,
        candidates: typing.Sequence[directory.Endpoint],
        used: typing.Mapping[ids.EndpointId, int],
    ) -> directory.Endpoint:
        """Return one of the candidates, of which there is at least one.

        :param used: slots in use by endpoint, as this instance counts them
        """


class RandomChooser(Chooser):
    """Select an endpoint at random.

    :param rng: the random number generator
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: typing.Sequence[directory.Endpoint],
        used: typing.Mapping[ids.EndpointId, int],
    ) -> directory.Endpoint:
        """Return a random candidate."""
        return self._rng.choice(candidates)


class RoundRobinChooser(Chooser):
    """Select endpoints in turn."""

    def __init__(self) -> None:
        self._counter = itertools.count()

    def choose(
        self,
        candidates: typing.Sequence[directory.Endpoint],
        used: typing.Mapping[ids.EndpointId, int],
    ) -> directory.Endpoint:
        """Return the next candidate in turn."""
        return candidates[next(self._counter) % len(candidates)]


class TwoChoicesChooser(Chooser):
    """Select the less used of two random endpoints.

    :param rng: the random number generator
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: typing.Sequence[directory.Endpoint],
        used: typing.Mapping[ids.EndpointId, int],
    ) -> directory.Endpoint:
        """Return the less used of two random candidates."""
        first = self._rng.choice(candidates)
        second = self._rng.choice(candidates)
        return min(first, second, key=lambda each: used.get(each.endpoint, 0))


class UncoordinatedSlots(SlotSource):
    """Assign slots by this instance's own use of endpoints only.

    It ignores the other instances and is the baseline that coordinated
    allocation is measured against.

    :param known: the endpoint directory
    :param chooser: selects an endpoint
    :param clk: the clock
    """

    def __init__(
        self,
        *,
        known: directory.Directory,
        chooser: Chooser,
        clk: clock.Clock,
    ) -> None:
        self._directory = known
        self._chooser = chooser
        self._clock = clk
        self._used: collections.Counter[ids.EndpointId] = collections.Counter()
        self._queue: collections.deque[WaitingTask] = collections.deque()

    def add(self, waiting: WaitingTask) -> None:
        """Queue a task and grant free slots."""
        self._queue.append(waiting)
        self.serve()

    def cancel(self, waiting: WaitingTask) -> None:
        """Mark a task as done; it is removed when the queue is served."""
        waiting.is_done = True

    def release(self, grant: Grant, result: GrantResult) -> None:
        """Release a slot and grant free slots."""
        self._used[grant.endpoint] -= 1
        self.serve()

    def mark_slow(self, grant: Grant) -> None:
        """Do nothing: the baseline doesn't eject endpoints."""

    def free_hint(self, need: Need) -> int:
        """Return the slots that this instance doesn't use itself."""
        offered = self._directory.live_for_service(
            need.service, now=self._clock.now()
        )
        return sum(each.slots - self._used[each.endpoint] for each in offered)

    def serve(self) -> None:
        """Grant a slot to each queued task for which one is free."""
        for _ in range(len(self._queue)):
            waiting = self._queue.popleft()
            if waiting.is_done:
                continue
            chosen = self._pick(waiting)
            if chosen is None:
                self._queue.append(waiting)
                continue
            self._used[chosen.endpoint] += 1
            waiting.is_done = True
            waiting.granted(
                Grant(
                    chosen.endpoint,
                    chosen.address,
                    chosen.zone,
                    waiting.need,
                )
            )

    def _pick(self, waiting: WaitingTask) -> directory.Endpoint | None:
        candidates = [
            each
            for each in self._directory.live_for_service(
                waiting.need.service, now=self._clock.now()
            )
            if self._used[each.endpoint] < each.slots
        ]
        preferred = [
            each for each in candidates if each.endpoint != waiting.avoid
        ]
        if not candidates:
            return None
        return self._chooser.choose(preferred or candidates, self._used)
