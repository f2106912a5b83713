"""Limits what cold executors are given, so that they warm up gradually.

An executor is slow for some time after its start. If it were filled at once,
all of its tasks would be late.
"""

import typing

# Interval at which executors report.
REPORT_INTERVAL_S = 1.5
# A reopened executor counts as cold for at most this long without a report:
# a report may be lost, and the next one comes an interval later.
ASSUMED_COLD_S = 2 * REPORT_INTERVAL_S
# Reports of one cold period may disagree on its end by this much, since they
# are delayed on their way.
END_TOLERANCE_S = 0.5


class ColdRate(typing.NamedTuple):
    """What is configured for the cold executors of a service.

    :ivar start_s: how long executors are cold after a start, 0 if unknown
    :ivar per_s: starts per second that a cold executor accepts, 0 for no
        limit
    """

    start_s: float = 0.0
    per_s: float = 0.0


class ColdPeriod(typing.NamedTuple):
    """The time in which an executor is cold, seconds.

    :ivar is_assumed: whether its zone was reopened and it hasn't reported
        since
    """

    began_at: float = 0.0
    ends_at: float = 0.0
    is_assumed: bool = False

    def is_cold(self, now: float) -> bool:
        """Return whether the executor is cold."""
        return now < self.ends_at

    def share(self, now: float) -> float:
        """Return the share of its capacity that the executor may use."""
        if not self.is_cold(now):
            return 1.0
        elapsed_s = max(0.0, now - self.began_at)
        return elapsed_s / (self.ends_at - self.began_at)


def reopened(now: float) -> ColdPeriod:
    """Return the cold period of an executor whose zone was just reopened."""
    return ColdPeriod(now, now + ASSUMED_COLD_S, is_assumed=True)


def reported(
    period: ColdPeriod, *, cold_s: float, rate: ColdRate, at: float
) -> ColdPeriod:
    """Return the cold period of an executor that has reported.

    :param period: what was known before
    :param cold_s: the reported time left in which it is cold
    :param at: when the report arrived at a host, seconds
    """
    if period.is_assumed and at < period.began_at:
        return period
    if cold_s <= 0:
        return ColdPeriod()
    ends_at = at + cold_s
    is_same = (
        period.is_cold(at)
        and not period.is_assumed
        and abs(ends_at - period.ends_at) <= END_TOLERANCE_S
    )
    began_at = period.began_at if is_same else min(at, ends_at - rate.start_s)
    return ColdPeriod(began_at, ends_at)


def may_start(
    period: ColdPeriod, *, runs: int, used_cpu: int, cpu: int, now: float
) -> bool:
    """Return whether an executor may get another run.

    A cold executor may always have one run.

    :param runs: number of its runs
    :param used_cpu: what they use, thousandths of a core
    :param cpu: its capacity, thousandths of a core
    """
    return not runs or used_cpu < period.share(now) * cpu
