"""Keep retries and hedges to a share of the traffic."""


class RetryBudget:
    """A bucket that first attempts fill and extra attempts empty.

    :param share: extra attempts for each first attempt
    :param burst: extra attempts that may be saved up
    """

    def __init__(self, *, share: float, burst: float) -> None:
        self._share = share
        self._burst = burst
        self._saved = burst

    def earn(self) -> None:
        """Count a first attempt."""
        self._saved = min(self._burst, self._saved + self._share)

    def spend(self) -> bool:
        """Take leave for one extra attempt.

        :returns: False when the share is used up
        """
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
