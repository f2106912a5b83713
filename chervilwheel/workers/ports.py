"""Interface through which a holder sends orders to executors."""

import abc
import typing

from chervilwheel.workers import work

StartCallback = typing.Callable[[work.StartVerdict, int], None]
StopCallback = typing.Callable[[bool, int], None]
HoldCallback = typing.Callable[[work.HoldAnswer], None]


class ExecutorPort(abc.ABC):
    """Sends orders to executors and returns their answers.

    Each callback is called exactly once, never before the method returns.
    """

    @abc.abstractmethod
    def start(self, order: work.StartOrder, done: StartCallback) -> None:
        """Send a start order.

        :param done: called with the verdict and the executor's clock in ms,
            0 if unknown
        """

    @abc.abstractmethod
    def stop(self, order: work.StopOrder, done: StopCallback) -> None:
        """Send a stop order.

        :param done: called with whether the executor has stopped the run, so
            that it can't begin any more, and its clock in ms, 0 if unknown
        """

    @abc.abstractmethod
    def hold(self, order: work.HoldOrder, done: HoldCallback) -> None:
        """Renew a lease and read the lists of running and ended runs.

        :param done: called with the answer
        """
