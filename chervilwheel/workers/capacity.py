"""Forecasts when the executors of open zones can start waiting work.

The forecast counts CPU by the time at which it becomes free. It covers
thousands of tasks on hundreds of executors within a tick, so it doesn't
place tasks on single executors. What a task leaves unusable on an executor
is counted as part of its need instead.
"""

import bisect
import collections
import itertools
import math
import typing

from chervilwheel import ids
from chervilwheel.workers import jobstate
from chervilwheel.workers import work

# Half of the shortest tick interval, which bounds how exact a forecast is.
BUCKET_S = 0.01
# Two seconds. Jobs with later starts would miss their objectives: the longest
# tasks take 0.9 s, and their jobs may take 1.6 times that.
BUCKETS = 200
# A run that takes longer than estimated is expected to need this share of its
# estimate from now on.
OVERRUN_SHARE = 0.2
# Lower bound of the share of the capacity that is left for lower priorities.
MIN_SHARE = 0.05
# Time over which the rate of arriving work is averaged.
RATE_WINDOW_S = 2.0


class OpenCapacity:
    """The CPU of the open executors of one service.

    :param rooms: number of executors by their resources
    """

    def __init__(self, rooms: typing.Mapping[work.Room, int]) -> None:
        self.cpu = float(sum(room.cpu * n for room, n in rooms.items()))
        self._rooms = rooms
        self._needs: dict[work.Room, float] = {}

    def need(self, room: work.Room) -> float:
        """Return the CPU that a task takes, with what it leaves unusable.

        :returns: thousandths of a core, infinity if it fits no executor
        """
        need = self._needs.get(room)
        if need is None:
            places = sum(
                n * _count_places(each, room)
                for each, n in self._rooms.items()
            )
            need = self.cpu / places if places else math.inf
            self._needs[room] = need
        return need


def _count_places(room: work.Room, task: work.Room) -> int:
    """Return how many tasks of a size an executor holds."""
    return min(
        (
            available // needed
            for available, needed in zip(room, task, strict=True)
            if needed
        ),
        default=1,
    )


class Forecast:
    """The CPU that becomes free, by time from now.

    :param cpu: the CPU that may be used, thousandths of a core
    """

    def __init__(self, *, cpu: float) -> None:
        self.cpu = cpu
        self._free = [0.0] * BUCKETS
        self._free[0] = cpu

    def add_run(self, need: float, ends_in_s: float) -> None:
        """Add a run that occupies CPU until its end."""
        self._free[0] -= need
        end = _bucket(ends_in_s)
        if end < BUCKETS:
            self._free[end] += need

    def settle(self) -> None:
        """Set off the runs that exceed the capacity against later ends."""
        for number in range(BUCKETS - 1):
            if self._free[number] < 0:
                self._free[number + 1] += self._free[number]
                self._free[number] = 0.0

    def take(
        self, need: float, duration_s: float, not_before_s: float = 0.0
    ) -> float:
        """Occupy CPU as soon as it is free.

        :param need: thousandths of a core
        :param not_before_s: earliest start
        :returns: the time from now at which all of it has been occupied
        """
        shift = max(1, _bucket(duration_s))
        for number in range(_bucket(not_before_s), BUCKETS):
            part = min(self._free[number], need)
            if part <= 0:
                continue
            self._free[number] -= part
            if number + shift < BUCKETS:
                self._free[number + shift] += part
            need -= part
            if need < 1e-6:
                return number * BUCKET_S
        return BUCKETS * BUCKET_S

    def profile(self) -> "Profile":
        """Return the times at which an amount of CPU will have been free."""
        return Profile(self.cpu, list(itertools.accumulate(self._free)))


class Profile(typing.NamedTuple):
    """CPU that will have become free, by time from now."""

    cpu: float
    totals: list[float]

    def start_s(self, need: float) -> float:
        """Return when an amount of CPU will have become free, seconds."""
        if not self.totals[-1] >= need:
            excess = need - self.totals[-1]
            rounds = excess / self.cpu if self.cpu else math.inf
            return BUCKETS * BUCKET_S * (1 + min(rounds, 100.0))
        return bisect.bisect_left(self.totals, need) * BUCKET_S


def _bucket(seconds: float) -> int:
    return max(0, min(BUCKETS, round(seconds / BUCKET_S)))


def remaining_s(*, ordered_at: float, expected_s: float, now: float) -> float:
    """Return the expected time until a run ends."""
    return max(ordered_at + expected_s - now, OVERRUN_SHARE * expected_s)


class _Rate(typing.NamedTuple):
    total: float = 0.0
    weight_s: float = 0.0
    at: float = 0.0


class ArrivalRates:
    """Moving averages of the arriving work, by service and priority."""

    def __init__(self) -> None:
        self._rates: dict[ids.ServiceId, dict[int, _Rate]] = (
            collections.defaultdict(dict)
        )

    def record(self, job: work.Job, now: float) -> None:
        """Record the arrival of a job."""
        cpu_s = sum(
            step.count * step.room.cpu * step.estimated_ms / 1000
            for step in job.steps
        )
        rates = self._rates[job.service]
        rate = _decayed(rates.get(job.priority, _Rate(at=now)), now)
        rates[job.priority] = rate._replace(total=rate.total + cpu_s)

    def above(
        self, service: ids.ServiceId, priority: int, now: float
    ) -> float:
        """Return the work of higher priority that arrives each second.

        :returns: thousandths of a core times seconds, per second
        """
        rates = [
            _decayed(rate, now)
            for other, rate in self._rates[service].items()
            if other < priority
        ]
        return sum(rate.total / max(rate.weight_s, 0.5) for rate in rates)


def _decayed(rate: _Rate, now: float) -> _Rate:
    elapsed_s = max(0.0, now - rate.at)
    decay = math.exp(-elapsed_s / RATE_WINDOW_S)
    weight_s = RATE_WINDOW_S + (rate.weight_s - RATE_WINDOW_S) * decay
    return _Rate(rate.total * decay, weight_s, now)


class Outlook:
    """When the open executors of one service can start which jobs.

    Waiting jobs are added in the order in which they start, then new ones as
    they arrive.

    :param capacity: the executors
    :param forecast: the CPU that becomes free
    :param work_above: returns the work above a priority that arrives each
        second, thousandths of a core
    :param now: time of the forecast, seconds
    """

    def __init__(
        self,
        *,
        capacity: OpenCapacity,
        forecast: Forecast,
        work_above: typing.Callable[[int], float],
        now: float,
    ) -> None:
        self._capacity = capacity
        self._forecast = forecast
        self._work_above = work_above
        self._now = now
        self._shares: dict[int, float] = {}
        # What is left after the waiting jobs of a priority and above; the
        # last of them is out of date while more jobs are added.
        self._profiles: dict[int, Profile] = {}
        self._last_priority: int | None = None
        self._base: Profile | None = None
        # Need of the jobs accepted since the forecast, by priority.
        self._accepted: collections.Counter[int] = collections.Counter()

    def fits(self, job: work.Job) -> bool:
        """Return whether some executor holds each task of a job."""
        return all(
            self._capacity.need(step.room) < math.inf for step in job.steps
        )

    def add_started(self, state: jobstate.JobState) -> None:
        """Add what is left of a started job, which goes first."""
        self._take(state)

    def add_waiting(self, state: jobstate.JobState) -> None:
        """Add a job that hasn't started, the highest priority first."""
        self._end_priority(state.job.priority)
        self._take(state)

    def _end_priority(self, following: int | None) -> None:
        """Keep the profile of the priority whose jobs have been added."""
        if self._base is None:
            self._base = self._forecast.profile()
        last = self._last_priority
        if last is not None and last != following:
            self._profiles[last] = self._forecast.profile()
        self._last_priority = following

    def _take(self, state: jobstate.JobState) -> None:
        ends: list[float] = []
        waiting = collections.Counter(task.id.step for task in state.pending)
        for number, step in enumerate(state.job.steps):
            start = max((ends[n] for n in step.depends_on), default=0.0)
            duration_s = step.estimated_ms / 1000
            is_ready = not any(state.tasks_left[n] for n in step.depends_on)
            left = waiting[number] if is_ready else state.tasks_left[number]
            if left:
                need = left * self._capacity.need(step.room)
                start = max(
                    start, self._forecast.take(need, duration_s, start)
                )
            ends.append(start + duration_s * bool(state.tasks_left[number]))

    def add_new(self, state: jobstate.JobState) -> None:
        """Add a job that has arrived since the forecast."""
        self._accepted[state.job.priority] += self._need(state)

    def wait_s(self, state: jobstate.JobState, now: float) -> float:
        """Return how long a job waits until all that is ready can start.

        Of the capacity that becomes free meanwhile, only a share goes to it:
        jobs of higher priority that are yet to arrive go first.
        """
        priority = state.job.priority
        if priority == self._last_priority:
            profile = self._forecast.profile()
        else:
            self._end_priority(None)
            profile = self._profile(priority)
        need = self._need(state) + sum(
            need for each, need in self._accepted.items() if each <= priority
        )
        start_s = profile.start_s(need / self._share(priority))
        return max(0.0, start_s - (now - self._now))

    def _profile(self, priority: int) -> Profile:
        """Return what is left after the jobs of a priority and above."""
        above = [each for each in self._profiles if each <= priority]
        if above:
            return self._profiles[max(above)]
        return self._base or self._forecast.profile()

    def _share(self, priority: int) -> float:
        share = self._shares.get(priority)
        if share is None:
            above = self._work_above(priority) / self._forecast.cpu
            share = max(MIN_SHARE, 1.0 - above)
            self._shares[priority] = share
        return share

    def _need(self, state: jobstate.JobState) -> float:
        """Return the CPU that a job takes once it starts."""
        return sum(
            step.count * self._capacity.need(step.room)
            for step in state.job.steps
            if not step.depends_on
        )
