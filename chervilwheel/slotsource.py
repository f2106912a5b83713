"""Where a waiting task gets its slot from."""

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
    """What a task wants of a slot; tasks of one need are alike."""

    service: ids.ServiceId
    team: ids.TeamId
    urgency: jobs.Urgency


class Use(enum.Enum):
    """How a granted slot was used."""

    GOOD = "good"
    BAD = "bad"
    REFUSED = "refused"
    UNUSED = "unused"


class Grant(typing.NamedTuple):
    """Leave to run one task on an endpoint."""

    endpoint: ids.EndpointId
    address: addresses.Address
    zone: ids.ZoneId
    need: Need


class Waiting:
    """A task that waits for a slot.

    :param need: what it wants
    :param deadline_at: monotonic time after which it is given up
    :param granted: called once with the grant
    :param avoid: an endpoint that an earlier attempt failed on
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
    """Hands endpoints' slots to waiting tasks."""

    @abc.abstractmethod
    def add(self, waiting: Waiting) -> None:
        """Queue a task for a slot."""

    @abc.abstractmethod
    def cancel(self, waiting: Waiting) -> None:
        """Stop waiting; nothing happens when it was granted already."""

    @abc.abstractmethod
    def release(self, grant: Grant, use: Use) -> None:
        """Give a slot back and say how it was used."""

    @abc.abstractmethod
    def mark_slow(self, grant: Grant) -> None:
        """Note that a slot's task takes much longer than its like."""

    @abc.abstractmethod
    def free_hint(self, need: Need) -> int:
        """Guess how many tasks of a need would get a slot at once."""


class Chooser(abc.ABC):
    """Picks one endpoint among those that seem to have room."""

    @abc.abstractmethod
    def choose(
        self,
        candidates: typing.Sequence[directory.Endpoint],
        used: typing.Mapping[ids.EndpointId, int],
    ) -> directory.Endpoint:
        """Pick one of at least one candidates."""


class RandomChooser(Chooser):
    """Pick at random.

    :param rng: the source of chance
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: typing.Sequence[directory.Endpoint],
        used: typing.Mapping[ids.EndpointId, int],
    ) -> directory.Endpoint:
        """Pick any candidate."""
        return self._rng.choice(candidates)


class RoundRobinChooser(Chooser):
    """Pick one after the other."""

    def __init__(self) -> None:
        self._turn = itertools.count()

    def choose(
        self,
        candidates: typing.Sequence[directory.Endpoint],
        used: typing.Mapping[ids.EndpointId, int],
    ) -> directory.Endpoint:
        """Pick the next candidate."""
        return candidates[next(self._turn) % len(candidates)]


class TwoChoicesChooser(Chooser):
    """Pick the less used of two at random.

    :param rng: the source of chance
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: typing.Sequence[directory.Endpoint],
        used: typing.Mapping[ids.EndpointId, int],
    ) -> directory.Endpoint:
        """Pick the less used one of two."""
        first = self._rng.choice(candidates)
        second = self._rng.choice(candidates)
        return min(first, second, key=lambda each: used.get(each.endpoint, 0))


class UncoordinatedSlots(SlotSource):
    """Choose from this instance's own view, as if it were alone.

    It is the baseline that coordination is measured against.

    :param known: the endpoint directory
    :param chooser: how to pick an endpoint
    :param clk: the clock
    """

    def __init__(
        self,
        *,
        known: directory.Directory,
        chooser: Chooser,
        clk: clock.Clock,
    ) -> None:
        self._known = known
        self._chooser = chooser
        self._clock = clk
        self._used: collections.Counter[ids.EndpointId] = collections.Counter()
        self._queue: collections.deque[Waiting] = collections.deque()

    def add(self, waiting: Waiting) -> None:
        """Queue a task and serve the queue."""
        self._queue.append(waiting)
        self.serve()

    def cancel(self, waiting: Waiting) -> None:
        """Mark a task as gone; the queue skips it later."""
        waiting.is_done = True

    def release(self, grant: Grant, use: Use) -> None:
        """Take a slot back and serve the queue."""
        self._used[grant.endpoint] -= 1
        self.serve()

    def mark_slow(self, grant: Grant) -> None:
        """Take no notice: the baseline doesn't judge endpoints."""

    def free_hint(self, need: Need) -> int:
        """Count the slots that this instance doesn't use itself."""
        offered = self._known.offering(need.service, now=self._clock.now())
        return sum(each.slots - self._used[each.endpoint] for each in offered)

    def serve(self) -> None:
        """Grant slots to the queue's head for as long as there are any."""
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

    def _pick(self, waiting: Waiting) -> directory.Endpoint | None:
        candidates = [
            each
            for each in self._known.offering(
                waiting.need.service, now=self._clock.now()
            )
            if self._used[each.endpoint] < each.slots
        ]
        others = [
            each for each in candidates if each.endpoint != waiting.avoid
        ]
        if not candidates:
            return None
        return self._chooser.choose(others or candidates, self._used)
