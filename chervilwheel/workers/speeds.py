"""Learns the speeds of executors and the run times of queues.

An executor may run at 0.6 to 1.6 of the nominal speed and doesn't report it.
A run tells it by its time divided by its estimate, compared with the mean of
that ratio for its queue. A speed is used only where it is certain to differ
from the nominal one by more than a fifth.
"""

import logging
import math
import typing

from chervilwheel import ids
from chervilwheel.workers import work

_LOG = logging.getLogger("engine")

# Speeds between these count as the nominal speed.
SLOW = 0.8
FAST = 1.25
_BAND = math.log(FAST)
# Halfway from there to the speeds of 0.6 and 1.6.
_MIN_DIFFERENCE = 0.35
# Deviation of the logarithm of a run's time divided by its estimate.
SAMPLE_DEVIATION = 0.4
# Certainty, in deviations of the mean, with which an executor is outside the
# band: most executors of 0.6 and 1.6 reach two within 24 runs, 3 s of load.
CERTAINTY = 2.0
# One run that takes three times its estimate says nothing about a speed.
MIN_WEIGHT = 8.0
# Number of samples after which older ones decay. With independent errors, the
# mean then deviates by 0.037, a third of the distance from 0.8 to the limit.
MAX_WEIGHT = 60.0
MAX_QUEUE_WEIGHT = 200.0
# Samples count for executors once the mean of their queue is known so well.
MIN_QUEUE_WEIGHT = 8.0
# Weight at which a speed counts half in the mean of a queue. It keeps the
# common factor of all speeds and queues at 1.0.
HALF_WEIGHT = 6.0
# A changed speed shows in the last 8 samples, whose mean deviates by more
# than this (3.4 deviations) from the speed known.
RECENT_WEIGHT = 8.0
MAX_RECENT = 0.35
MAX_SAMPLE = 1.2
MAX_QUEUES = 512
# A table of another holder may be old.
RESTORED_SHARE = 0.5
RESTORED_S = 60.0
MAX_ROWS = 350
# Limits of a queue's factor, seen as an error beyond.
MAX_QUEUE_FACTOR = 2.0
# Changes of classes that are logged in a row, and a second after that.
MAX_LOGGED = 20.0
LOGGED_PER_S = 1.0


class SpeedRow(typing.NamedTuple):
    """The speed of an executor, for the next holder.

    :ivar life: start time of its incarnation in Unix ms, 0 if unknown
    :ivar speed: relative to the nominal speed
    :ivar weight: effective number of samples
    """

    id: work.ExecutorId
    life: int
    speed: float
    weight: float


class _Mean(typing.NamedTuple):
    """A decayed mean of logarithms.

    :ivar recent: decayed mean of the latest deviations from it
    """

    value: float = 0.0
    weight: float = 0.0
    recent: float = 0.0

    def plus(self, sample: float, max_weight: float) -> "_Mean":
        """Return the mean with a further sample."""
        weight = min(max_weight, self.weight + 1)
        value = self.value + (sample - self.value) / weight
        recent = self.recent + (sample - self.value - self.recent) / (
            RECENT_WEIGHT
        )
        return _Mean(value, weight, recent)

    def restarted(self) -> "_Mean":
        """Return the mean of the recent samples."""
        return _Mean(self.value + self.recent, RECENT_WEIGHT)

    @property
    def damped(self) -> float:
        """The mean, reduced while its weight is small."""
        return self.value * self.weight / (self.weight + HALF_WEIGHT)


class _Record(typing.NamedTuple):
    """What is known of an executor.

    :ivar speed: 1.0 within the band
    :ivar job: the job of the latest sample
    """

    life: int
    mean: _Mean = _Mean()
    speed: float = 1.0
    job: ids.JobId = ids.JobId("")


class SpeedTable:
    """Speeds by executor, and the mean ratio of run times by queue.

    :ivar slow: number of executors known to be slow
    :ivar fast: number of executors known to be fast
    """

    def __init__(self) -> None:
        self.slow = 0
        self.fast = 0
        self._records: dict[work.ExecutorId, _Record] = {}
        self._queues: dict[str, _Mean] = {}
        self._restored: dict[work.ExecutorId, SpeedRow] = {}
        self._restored_at = 0.0
        self._log_credit = MAX_LOGGED
        self._logged_at = 0.0

    @property
    def is_uneven(self) -> bool:
        """Whether any executor has another than the nominal speed."""
        return self.slow + self.fast > 0

    def add_executor(
        self, executor: work.ExecutorId, life: int, now: float
    ) -> float:
        """Begin a record of an executor without history.

        :param life: start time of its incarnation in Unix ms, 0 if unknown
        :returns: the speed to use
        """
        self.remove_executor(executor)
        mean = _Mean()
        restored = self._restored.pop(executor, None)
        is_recent = now - self._restored_at <= RESTORED_S
        if restored is not None and is_recent and restored.life == life:
            mean = _Mean(
                math.log(restored.speed), restored.weight * RESTORED_SHARE
            )
        self._records[executor] = _Record(life)
        return self._store(executor, mean, now)

    def remove_executor(self, executor: work.ExecutorId) -> None:
        """Drop the record of an executor."""
        record = self._records.pop(executor, None)
        if record is not None:
            self._count(record.speed, -1)

    def record(
        self,
        executor: work.ExecutorId,
        queue: str,
        *,
        job: ids.JobId,
        ran_s: float,
        estimated_s: float,
        now: float,
    ) -> float:
        """Record a run that completed its task.

        :returns: the speed of its executor to use
        """
        record = self._records.get(executor)
        if record is None:
            return 1.0
        # Tasks of one job share the error of its estimate.
        is_repeated = job == record.job
        if is_repeated or ran_s <= 0 or estimated_s <= 0:
            return record.speed
        self._records[executor] = record._replace(job=job)
        known = self._queues.pop(queue, _Mean())
        ratio = math.log(ran_s / estimated_s)
        # Executors of other speeds must not shift the mean of the queue.
        sample = ratio + record.mean.damped
        self._queues[queue] = known.plus(
            _clipped(sample, known), MAX_QUEUE_WEIGHT
        )
        if len(self._queues) > MAX_QUEUES:
            del self._queues[next(iter(self._queues))]
        if known.weight < MIN_QUEUE_WEIGHT:
            return record.speed
        sample = _clipped(known.value - ratio, record.mean)
        mean = record.mean.plus(sample, MAX_WEIGHT)
        if mean.weight > RECENT_WEIGHT and abs(mean.recent) > MAX_RECENT:
            mean = mean.restarted()
        return self._store(executor, mean, now)

    def queue_factor(self, queue: str) -> float:
        """Return the mean of run times divided by estimates of a queue."""
        known = self._queues.get(queue)
        if known is None or known.weight < MIN_QUEUE_WEIGHT:
            return 1.0
        factor = math.exp(known.value)
        return min(MAX_QUEUE_FACTOR, max(1 / MAX_QUEUE_FACTOR, factor))

    def rows(self) -> tuple[SpeedRow, ...]:
        """Return the speeds outside the band, best known ones first."""
        rows = [
            SpeedRow(name, record.life, record.speed, record.mean.weight)
            for name, record in self._records.items()
            if record.speed != 1.0
        ]
        rows.sort(key=lambda row: -row.weight)
        return tuple(rows[:MAX_ROWS])

    def restore(self, rows: typing.Iterable[SpeedRow], now: float) -> None:
        """Use the table of a former holder for executors added from now on.

        It is forgotten after a while.
        """
        self._restored_at = now
        for row in tuple(rows)[:MAX_ROWS]:
            is_valid = (
                math.isfinite(row.speed)
                and abs(math.log(max(row.speed, 1e-9))) <= 2 * MAX_SAMPLE
                and 0 < row.weight <= MAX_WEIGHT
            )
            if is_valid:
                self._restored[row.id] = row

    def _store(
        self, executor: work.ExecutorId, mean: _Mean, now: float
    ) -> float:
        former = self._records[executor]
        speed = _usable_speed(mean)
        self._records[executor] = former._replace(mean=mean, speed=speed)
        if _speed_class(speed) != _speed_class(former.speed):
            self._count(former.speed, -1)
            self._count(speed, 1)
            self._log_change(executor, mean, speed, now)
        return speed

    def _count(self, speed: float, change: int) -> None:
        self.slow += change * (speed < 1.0)
        self.fast += change * (speed > 1.0)

    def _log_change(
        self, executor: work.ExecutorId, mean: _Mean, speed: float, now: float
    ) -> None:
        earned = (now - self._logged_at) * LOGGED_PER_S
        self._logged_at = now
        self._log_credit = min(MAX_LOGGED, self._log_credit + earned)
        if self._log_credit < 1:
            return
        self._log_credit -= 1
        _LOG.info(
            "engine: the speed of an executor has changed",
            extra={
                "executor": executor,
                "speed_class": _speed_class(speed),
                "speed": round(math.exp(mean.value), 2),
                "weight": round(mean.weight, 1),
            },
        )


def _clipped(sample: float, mean: _Mean) -> float:
    """Limit the effect of a single run."""
    if not mean.weight:
        return max(-MAX_SAMPLE, min(MAX_SAMPLE, sample))
    return max(mean.value - MAX_SAMPLE, min(mean.value + MAX_SAMPLE, sample))


def _usable_speed(mean: _Mean) -> float:
    """Return a speed that is certain to be outside the band, else 1.0."""
    if mean.weight < MIN_WEIGHT:
        return 1.0
    margin = CERTAINTY * SAMPLE_DEVIATION / math.sqrt(mean.weight)
    if abs(mean.value) <= max(_MIN_DIFFERENCE, _BAND + margin):
        return 1.0
    return math.exp(mean.value)


def _speed_class(speed: float) -> str:
    if speed == 1.0:
        return "nominal"
    return "slow" if speed < 1.0 else "fast"
