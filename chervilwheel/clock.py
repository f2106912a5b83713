"""Monotonic and wall clocks, with a manually advanced one for tests."""

import abc
import time
import typing

Instant = typing.NewType("Instant", float)


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def now(self) -> Instant:
        """Return the monotonic time in seconds."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return the wall time in seconds since the epoch."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def now(self) -> Instant:
        """Return the time since boot in seconds.

        CLOCK_BOOTTIME includes the time that the host was suspended,
        unlike CLOCK_MONOTONIC, so a lease that expired during a suspension
        is not taken for valid on resume.
        """
        return Instant(time.clock_gettime(time.CLOCK_BOOTTIME))

    def wall(self) -> float:
        """Return the system's wall time in seconds since the epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock that only moves when it is advanced.

    :param start: initial monotonic time, seconds
    :param wall: initial wall time, seconds since the epoch
    """

    def __init__(
        self, *, start: float = 1000.0, wall: float = 1_800_000_000.0
    ) -> None:
        self._now = start
        self._wall = wall

    def now(self) -> Instant:
        """Return the current monotonic time in seconds."""
        return Instant(self._now)

    def wall(self) -> float:
        """Return the current wall time in seconds since the epoch."""
        return self._wall

    def advance(self, seconds: float) -> None:
        """Advance the monotonic and the wall time.

        :param seconds: a positive number of seconds
        """
        self._now += seconds
        self._wall += seconds

    def jump_wall(self, seconds: float) -> None:
        """Change the wall time only, as a clock step does."""
        self._wall += seconds
