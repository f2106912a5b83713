"""Tell bad endpoints from good ones by how their tasks end."""

import collections
import enum
import typing

from chervilwheel import ids

WINDOW = 20
LEAST_RESULTS = 5
BAD_SHARE = 0.5
EJECT_S = 2.0
MAX_EJECT_S = 30.0
EJECTED_SHARE = 0.34
TRIAL_GOODS = 3


class Standing(enum.Enum):
    """How far an endpoint is trusted."""

    TRUSTED = "trusted"
    EJECTED = "ejected"
    TRIAL = "trial"


class _Record:
    """What is remembered of one endpoint."""

    __slots__ = ("results", "goods", "standing", "until", "times", "trial")

    def __init__(self) -> None:
        self.results: collections.deque[bool] = collections.deque()
        self.goods = 0
        self.standing = Standing.TRUSTED
        self.until = 0.0
        self.times = 0
        self.trial = 0

    def add(self, is_good: bool, count: int) -> None:
        """Note results, forgetting the oldest."""
        for _ in range(min(count, WINDOW)):
            self.results.append(is_good)
            self.goods += is_good
            if len(self.results) > WINDOW:
                self.goods -= self.results.popleft()

    @property
    def is_bad(self) -> bool:
        """Whether enough of the recent results are bad."""
        count = len(self.results)
        bad = count - self.goods
        return count >= LEAST_RESULTS and bad >= BAD_SHARE * count

    def clear(self) -> None:
        """Forget all results."""
        self.results.clear()
        self.goods = 0


class Outliers:
    """Eject endpoints that fail, but never too many at once.

    When more fail than may be ejected, the cause is likely shared, and
    the rest stays in use.
    """

    def __init__(self) -> None:
        self._records: dict[ids.EndpointId, _Record] = {}

    def note(
        self,
        endpoint: ids.EndpointId,
        *,
        good: int,
        bad: int,
        alike: typing.Callable[[], typing.Collection[ids.EndpointId]],
        now: float,
    ) -> bool:
        """Take in how tasks on an endpoint ended.

        :param alike: lists the endpoints that offer the same service
        :returns: whether the endpoint was ejected by it
        """
        record = self._records.setdefault(endpoint, _Record())
        record.add(True, good)
        record.add(False, bad)
        if record.standing is Standing.TRIAL:
            return self._judge_trial(record, good, bad, now)
        if record.standing is Standing.EJECTED or not record.is_bad:
            return False
        names = alike()
        most = max(1, len(names) * EJECTED_SHARE)
        if len(names) < 2 or self.ejected(names, now) + 1 > most:
            return False
        self._eject(record, now)
        return True

    def standing(self, endpoint: ids.EndpointId, now: float) -> Standing:
        """Tell how far an endpoint is trusted now."""
        record = self._records.get(endpoint)
        if record is None:
            return Standing.TRUSTED
        if record.standing is Standing.EJECTED and now >= record.until:
            record.standing = Standing.TRIAL
            record.trial = 0
        return record.standing

    def success_share(self, endpoint: ids.EndpointId) -> float:
        """Return the share of recent tasks that ended well."""
        record = self._records.get(endpoint)
        if record is None or not record.results:
            return 1.0
        return record.goods / len(record.results)

    def forget(self, endpoint: ids.EndpointId) -> None:
        """Forget an endpoint that left."""
        self._records.pop(endpoint, None)

    def ejected(
        self, endpoints: typing.Iterable[ids.EndpointId], now: float
    ) -> int:
        """Count the ejected among endpoints."""
        return sum(
            self.standing(each, now) is Standing.EJECTED for each in endpoints
        )

    def _judge_trial(
        self, record: _Record, good: int, bad: int, now: float
    ) -> bool:
        if bad:
            self._eject(record, now)
            return True
        record.trial += good
        if record.trial >= TRIAL_GOODS:
            record.standing = Standing.TRUSTED
            record.clear()
            record.times = 0
        return False

    @staticmethod
    def _eject(record: _Record, now: float) -> None:
        length_s = min(MAX_EJECT_S, EJECT_S * 2**record.times)
        record.times += 1
        record.standing = Standing.EJECTED
        record.until = now + length_s
