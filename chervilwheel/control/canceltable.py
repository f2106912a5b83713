"""Cancelled jobs, kept while a request for them may still arrive.

A cancel is a fact about a job's id. The control hosts keep it in their log,
so that it outlives the job, its holder and any one process. Entry hosts keep
what the leader sends them, for the time in which one of them holds.

That a job was given up since its tasks crash executors is kept beside the
cancels, under a marked id: hosts of a former version keep and pass on such a
record, and find no job with it.
"""

import abc
import itertools
import math
import struct
import typing

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import timers

# Requests are repeated within seconds; an entry host that was cut off hands
# no job on after CARRY_S in entryjobs, which is less.
RETENTION_S = 60.0
# All jobs that run at the target size at once, 36,000 of one task each, may
# be cancelled within that time.
MAX_CANCELS = 50_000
# Given-up jobs are kept beside as many cancels. Each has crashed two executors
# or more within the retention.
MAX_GIVEN_UP = 5_000
MS_PER_S = 1_000
# No id contains it.
ID_SEPARATOR = "\0"
_GIVEN_UP_MARK = "!"
_HEAD = struct.Struct("<QQ")

Recorded = typing.Callable[[messages.CancelVerdict], None]


def given_up_record(job: ids.JobId) -> ids.JobId:
    """Return the id under which it is kept that a job was given up."""
    return ids.JobId(_GIVEN_UP_MARK + job)


def is_given_up_record(job: ids.JobId) -> bool:
    """Return whether an id in the table is that of a given-up job."""
    return job.startswith(_GIVEN_UP_MARK)


class CancelTable:
    """The ids of cancelled jobs, oldest first, and when each was recorded.

    Its time is that of the leaders that recorded them, and stands still while
    there is none. So nothing is forgotten early.

    :ivar clock_ms: the time of the newest record, milliseconds
    """

    def __init__(self) -> None:
        self.clock_ms = 0
        self._recorded_ms: dict[ids.JobId, int] = {}
        self._given_up: set[ids.JobId] = set()

    def __len__(self) -> int:
        return len(self._recorded_ms)

    def __contains__(self, job: ids.JobId) -> bool:
        return job in self._recorded_ms

    @property
    def given_up_count(self) -> int:
        """The number of records of given-up jobs."""
        return len(self._given_up)

    def age_s(self, job: ids.JobId, clock_ms: int) -> float:
        """Return how long ago a job was recorded, infinite if it wasn't."""
        recorded_ms = self._recorded_ms.get(job)
        if recorded_ms is None:
            return math.inf
        return (clock_ms - recorded_ms) / MS_PER_S

    def record(self, jobs: typing.Iterable[ids.JobId], clock_ms: int) -> None:
        """Record cancelled jobs, and forget those past their retention.

        :param clock_ms: a time that isn't later than that of the newest
            record is of a former leader, or of a command that is applied
            again
        """
        if clock_ms <= self.clock_ms:
            jobs = [job for job in jobs if job not in self]
            if not jobs:
                return
            clock_ms = self.clock_ms + 1
        self.clock_ms = clock_ms
        for job in jobs:
            self._recorded_ms.pop(job, None)
            self._recorded_ms[job] = clock_ms
            if is_given_up_record(job):
                self._given_up.add(job)
        self._forget()

    def has_room(
        self, count: int, clock_ms: int, *, are_given_up: bool = False
    ) -> bool:
        """Return whether a number of jobs can be recorded at a time.

        :param are_given_up: whether they are records of given-up jobs
        """
        limit = MAX_GIVEN_UP if are_given_up else MAX_CANCELS
        kept = len(self._given_up)
        if not are_given_up:
            kept = len(self) - kept
        if kept + count <= limit:
            return True
        expired = sum(
            is_given_up_record(job) == are_given_up
            for job in self._expired(clock_ms)
        )
        return kept - expired + count <= limit

    def since(self, clock_ms: int) -> list[ids.JobId]:
        """Return what was recorded after a time."""
        newest = itertools.takewhile(
            lambda job: self._recorded_ms[job] > clock_ms,
            reversed(self._recorded_ms),
        )
        return list(newest)[::-1]

    def dump(self) -> bytes:
        """Encode the table."""
        count = len(self)
        times = struct.pack(
            f"<QQ{count}Q", self.clock_ms, count, *self._recorded_ms.values()
        )
        return times + ID_SEPARATOR.join(self._recorded_ms).encode()

    def load(self, data: bytes) -> None:
        """Add a dumped table to this one."""
        if not data:
            return
        clock_ms, count = _HEAD.unpack_from(data)
        times = struct.unpack_from(f"<{count}Q", data, _HEAD.size)
        text = data[_HEAD.size + 8 * count :].decode()
        jobs = text.split(ID_SEPARATOR) if count else []
        mine = self._recorded_ms
        for job, at_ms in zip(jobs, times, strict=True):
            mine[ids.JobId(job)] = max(at_ms, mine.get(ids.JobId(job), 0))
        self._recorded_ms = dict(
            sorted(mine.items(), key=lambda item: item[1])
        )
        self._given_up = set(filter(is_given_up_record, self._recorded_ms))
        self.clock_ms = max(self.clock_ms, clock_ms)
        self._forget()

    def _forget(self) -> None:
        for job in self._expired(self.clock_ms):
            del self._recorded_ms[job]
            self._given_up.discard(job)

    def _expired(self, clock_ms: int) -> list[ids.JobId]:
        oldest_ms = clock_ms - int(RETENTION_S * MS_PER_S)
        return list(
            itertools.takewhile(
                lambda job: self._recorded_ms[job] < oldest_ms,
                self._recorded_ms,
            )
        )


class CancelStore(abc.ABC):
    """Where a holder keeps cancelled jobs."""

    @abc.abstractmethod
    def holds(self, job: ids.JobId) -> bool:
        """Return whether a job is cancelled or about to be."""

    @abc.abstractmethod
    def has_room(self, job: ids.JobId) -> bool:
        """Return whether a job can be recorded."""

    @abc.abstractmethod
    def age_s(self, job: ids.JobId) -> float:
        """Return the age of a job's settled record, infinite without one."""

    @abc.abstractmethod
    def record(self, job: ids.JobId, done: Recorded) -> None:
        """Record a cancelled job.

        :param done: receives SETTLED once that stands for good, else
            UNSETTLED
        """


class KeptCancels(CancelStore):
    """The cancelled jobs that an entry host knows of.

    What it records as a holder isn't settled, since it has no quorum.

    :param heap: timers
    :ivar known_ms: the leaders' time up to which it knows all
    """

    def __init__(self, *, heap: timers.TimerHeap) -> None:
        self.known_ms = 0
        self._heap = heap
        self._table = CancelTable()

    def __len__(self) -> int:
        return len(self._table)

    def holds(self, job: ids.JobId) -> bool:
        """Return whether a job is cancelled."""
        return job in self._table

    def has_room(self, job: ids.JobId) -> bool:
        """Return whether a job can be recorded."""
        return self.holds(job) or self._table.has_room(
            1, self._clock_ms(), are_given_up=is_given_up_record(job)
        )

    def age_s(self, job: ids.JobId) -> float:
        """Return how long a job has been recorded here, seconds."""
        return self._table.age_s(job, self._clock_ms())

    def record(self, job: ids.JobId, done: Recorded) -> None:
        """Record a job cancelled by this host."""
        self._table.record([job], self._clock_ms())
        done(messages.CancelVerdict.UNSETTLED)

    def add(self, news: messages.CancelNews) -> None:
        """Add jobs that a leader has recorded, which bounds their number."""
        self._table.record(news.jobs, self._clock_ms())
        self.known_ms = max(self.known_ms, news.clock_ms)

    def _clock_ms(self) -> int:
        return int(self._heap.clock.now() * MS_PER_S)
