"""Estimates which queues have tasks that crash their executors.

It answers a load in which some jobs of one queue crash executors: the tasks
of this queue are then kept apart from those of others, and on no more
executors than the queue's share of the load.
"""

import math
import typing

from chervilwheel import ids

# Crashes and load count less with time, by a factor of e in this time.
MEMORY_S = 8.0
# Two crashes in short succession that only this queue explains.
RISKY_SCORE = 1.5
# Bounds the time for which a queue counts as risky after its last crash.
MAX_SCORE = 3.0
# Room for variations of a queue's load.
SHARE_MARGIN = 1.25
# Queues with little load still need places for all tasks of a job.
MIN_SHARE = 0.2


class _Decaying(typing.NamedTuple):
    """A sum that decays with time."""

    value: float = 0.0
    at: float = 0.0

    def value_at(self, now: float) -> float:
        return self.value * math.exp((self.at - now) / MEMORY_S)

    def plus(self, amount: float, now: float) -> "_Decaying":
        return _Decaying(self.value_at(now) + amount, now)


class QueueRisk:
    """Scores queues by the executors that were lost as they began tasks."""

    def __init__(self) -> None:
        self._scores: dict[str, _Decaying] = {}
        self._load: dict[ids.ServiceId, dict[str, _Decaying]] = {}

    def record_loss(self, queues: typing.Collection[str], now: float) -> None:
        """Record the loss of an executor.

        :param queues: queues of the tasks that it had just begun
        """
        for queue in queues:
            score = self._scores.get(queue, _Decaying())
            score = score.plus(1 / len(queues), now)
            self._scores[queue] = score._replace(
                value=min(MAX_SCORE, score.value)
            )

    def record_start(
        self, service: ids.ServiceId, queue: str, cpu_s: float, now: float
    ) -> None:
        """Record the start of a task.

        :param cpu_s: expected processor time
        """
        load = self._load.setdefault(service, {})
        load[queue] = load.get(queue, _Decaying()).plus(cpu_s, now)

    def is_risky(self, queue: str, now: float) -> bool:
        """Return whether tasks of a queue are to be kept apart."""
        score = self._scores.get(queue)
        return score is not None and score.value_at(now) >= RISKY_SCORE

    def share(self, service: ids.ServiceId, now: float) -> float:
        """Return the share of executors for the risky queues of a service."""
        load = {
            queue: amount.value_at(now)
            for queue, amount in self._load.get(service, {}).items()
        }
        risky = sum(load[queue] for queue in load if self.is_risky(queue, now))
        total = sum(load.values())
        share = SHARE_MARGIN * risky / total if total else 1.0
        return max(MIN_SHARE, share)
