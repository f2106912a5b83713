"""Judge an executor from the ends of what ran on it."""

import typing

# One failure in a row is within the tasks' own share of faults.
MAX_FAILURES = 2
# Long enough for a passing fault to end, short enough to lend the room.
FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 4.0


class Verdict(typing.NamedTuple):
    """Whether and how long an executor is left out, seconds."""

    pause_s: float


class Health:
    """Count failures in a row and lengthen the pause with each ejection."""

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0

    def succeeded(self) -> None:
        """Take note of a run that ended well."""
        self.failures = 0
        self.ejections = 0

    def failed(self, *, weight: int = 1) -> Verdict:
        """Take note of a run that failed or stood still.

        :param weight: how many plain failures it stands for
        """
        self.failures += weight
        if self.failures < MAX_FAILURES:
            return Verdict(0.0)
        # The next trial is one run; its failure ejects at once.
        self.failures = MAX_FAILURES - 1
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**self.ejections)
        self.ejections += 1
        return Verdict(pause_s)
