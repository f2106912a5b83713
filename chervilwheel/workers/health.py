"""Ejects executors temporarily after consecutive failed runs."""

import typing

# A single failure is within the tasks' normal failure rate.
MAX_FAILURES = 2
# Long enough for a transient fault to end, short enough that the capacity
# is soon available again.
FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 4.0


class Ejection(typing.NamedTuple):
    """How long an executor gets no new runs.

    :ivar pause_s: duration in seconds, 0 when it isn't ejected
    """

    pause_s: float


class Health:
    """Counts consecutive failures; the pause doubles with each ejection."""

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0

    def succeeded(self) -> None:
        """Record a successful run."""
        self.failures = 0
        self.ejections = 0

    def failed(self, *, weight: int = 1) -> Ejection:
        """Record a run that failed or stalled.

        :param weight: number of failures that it counts as
        """
        self.failures += weight
        if self.failures < MAX_FAILURES:
            return Ejection(0.0)
        # After the pause a single failed run ejects the executor again.
        self.failures = MAX_FAILURES - 1
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**self.ejections)
        self.ejections += 1
        return Ejection(pause_s)
