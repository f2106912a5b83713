"""How a holder reaches executors."""

import abc
import typing

from chervilwheel.workers import work

Started = typing.Callable[[work.StartVerdict, int], None]
Stopped = typing.Callable[[int], None]
Held = typing.Callable[[work.HoldAnswer], None]


class ExecutorPort(abc.ABC):
    """Carries orders to executors and their answers back.

    Each answer comes once, never before the call returns.
    """

    @abc.abstractmethod
    def start(self, order: work.StartOrder, done: Started) -> None:
        """Order a start.

        :param done: told a verdict and the executor's clock in ms, or 0
        """

    @abc.abstractmethod
    def stop(self, order: work.StopOrder, done: Stopped) -> None:
        """Order a stop.

        :param done: told the executor's clock in ms, or 0
        """

    @abc.abstractmethod
    def hold(self, order: work.HoldOrder, done: Held) -> None:
        """Renew a lease and read the lists."""
