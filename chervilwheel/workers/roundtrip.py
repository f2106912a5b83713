"""Estimates how long executors take to answer orders."""

# Gains of the moving averages, as in the usual estimator of TCP.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4
# Assumed until orders have been answered: a new holder opens connections to
# all executors at once.
INITIAL_S = 0.1


class RoundTripEstimator:
    """Moving averages of round trips and of their deviation.

    They include the time that answers wait in this host until they are read,
    so that a busy host doesn't take them for lost.
    """

    def __init__(self) -> None:
        self._mean_s = INITIAL_S
        self._deviation_s = INITIAL_S / 2

    def record(self, seconds: float) -> None:
        """Record the time from an order to its answer."""
        error_s = seconds - self._mean_s
        self._mean_s += MEAN_GAIN * error_s
        self._deviation_s += DEVIATION_GAIN * (
            abs(error_s) - self._deviation_s
        )

    @property
    def timeout_s(self) -> float:
        """Time after which an answer is probably lost, seconds."""
        return self._mean_s + DEVIATIONS * self._deviation_s
