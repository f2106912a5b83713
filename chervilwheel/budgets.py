"""Limit retries and hedged attempts to a share of first attempts."""


class RetryBudget:
    """A token bucket for extra attempts, filled by first attempts.

    :param share: tokens added by each first attempt; an extra one takes
        one token
    :param burst: maximum number of tokens
    """

    def __init__(self, *, share: float, burst: float) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def deposit(self) -> None:
        """Add tokens for a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def withdraw(self) -> bool:
        """Take a token for one extra attempt.

        :returns: False when there is no token left
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
