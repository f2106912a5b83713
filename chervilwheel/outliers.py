"""Detect failing endpoints from the results of their tasks."""

import collections
import enum
import typing

from chervilwheel import ids

# Results kept for each endpoint.
RESULT_WINDOW = 20
# An endpoint fails when at least this many results are kept and at least
# this share of them are failures.
MIN_RESULTS = 5
FAILURE_THRESHOLD = 0.5
# The ejection time doubles with each ejection, up to the maximum, until a
# trial succeeds.
BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
# Maximum share of a service's endpoints that are ejected at once; of two or
# more endpoints, one may always be ejected.
MAX_EJECTED_SHARE = 0.34
# Successes without a failure that end a trial.
TRIAL_SUCCESSES = 3


class EndpointState(enum.Enum):
    """Whether an endpoint gets all, no or only trial tasks."""

    TRUSTED = "trusted"
    EJECTED = "ejected"
    TRIAL = "trial"


class _EndpointStats:
    """Recent results and ejections of one endpoint."""

    __slots__ = (
        "results",
        "successes",
        "state",
        "ejected_until",
        "ejections",
        "trial_successes",
    )

    def __init__(self) -> None:
        self.results: collections.deque[bool] = collections.deque()
        self.successes = 0
        self.state = EndpointState.TRUSTED
        self.ejected_until = 0.0
        self.ejections = 0
        self.trial_successes = 0

    def add(self, succeeded: bool, count: int) -> None:
        """Add results to the window, removing the oldest."""
        for _ in range(min(count, RESULT_WINDOW)):
            self.results.append(succeeded)
            self.successes += succeeded
            if len(self.results) > RESULT_WINDOW:
                self.successes -= self.results.popleft()

    @property
    def is_failing(self) -> bool:
        """Whether the share of failures reaches the threshold."""
        count = len(self.results)
        failures = count - self.successes
        return count >= MIN_RESULTS and failures >= FAILURE_THRESHOLD * count

    def clear(self) -> None:
        """Remove all results."""
        self.results.clear()
        self.successes = 0


class OutlierDetector:
    """Eject endpoints that fail, up to a share of those of a service.

    When more endpoints fail than may be ejected, they likely have a
    common cause, so the others stay in use.
    """

    def __init__(self) -> None:
        self._stats: dict[ids.EndpointId, _EndpointStats] = {}

    def record(
        self,
        endpoint: ids.EndpointId,
        *,
        successes: int,
        failures: int,
        service_endpoints: typing.Callable[
            [], typing.Collection[ids.EndpointId]
        ],
        now: float,
    ) -> bool:
        """Record results of tasks and eject the endpoint if it fails.

        :param service_endpoints: returns the endpoints that offer the
            same service
        :returns: whether the endpoint was ejected
        """
        stats = self._stats.setdefault(endpoint, _EndpointStats())
        stats.add(True, successes)
        stats.add(False, failures)
        if stats.state is EndpointState.TRIAL:
            return self._update_trial(stats, successes, failures, now)
        if stats.state is EndpointState.EJECTED or not stats.is_failing:
            return False
        names = service_endpoints()
        max_ejected = max(1, len(names) * MAX_EJECTED_SHARE)
        if len(names) < 2 or self.count_ejected(names, now) + 1 > max_ejected:
            return False
        self._eject(stats, now)
        return True

    def state(self, endpoint: ids.EndpointId, now: float) -> EndpointState:
        """Return the state of an endpoint; an expired ejection is a trial."""
        stats = self._stats.get(endpoint)
        if stats is None:
            return EndpointState.TRUSTED
        if stats.state is EndpointState.EJECTED and now >= stats.ejected_until:
            stats.state = EndpointState.TRIAL
            stats.trial_successes = 0
        return stats.state

    def success_rate(self, endpoint: ids.EndpointId) -> float:
        """Return the share of recent tasks that succeeded."""
        stats = self._stats.get(endpoint)
        if stats is None or not stats.results:
            return 1.0
        return stats.successes / len(stats.results)

    def remove(self, endpoint: ids.EndpointId) -> None:
        """Discard the results of an endpoint that has left."""
        self._stats.pop(endpoint, None)

    def count_ejected(
        self, endpoints: typing.Iterable[ids.EndpointId], now: float
    ) -> int:
        """Count the ejected endpoints among those given."""
        return sum(
            self.state(each, now) is EndpointState.EJECTED
            for each in endpoints
        )

    def _update_trial(
        self, stats: _EndpointStats, successes: int, failures: int, now: float
    ) -> bool:
        if failures:
            self._eject(stats, now)
            return True
        stats.trial_successes += successes
        if stats.trial_successes >= TRIAL_SUCCESSES:
            stats.state = EndpointState.TRUSTED
            stats.clear()
            stats.ejections = 0
        return False

    @staticmethod
    def _eject(stats: _EndpointStats, now: float) -> None:
        duration_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**stats.ejections)
        stats.ejections += 1
        stats.state = EndpointState.EJECTED
        stats.ejected_until = now + duration_s
