"""Bounds the rate of log records about invalid input."""

import logging
import typing

from chervilwheel import clock


class LimitedLog:
    """Logs at most one record per interval and counts those left out.

    :param log: the logger
    :param clk: the clock
    :param interval_s: minimum time between two records, seconds
    """

    def __init__(
        self, *, log: logging.Logger, clk: clock.Clock, interval_s: float = 0.5
    ) -> None:
        self._log = log
        self._clock = clk
        self._interval_s = interval_s
        self._next_at = 0.0
        self._omitted = 0

    def warning(self, text: str, **fields: typing.Any) -> None:
        """Log a warning with fields unless the last one is too recent."""
        self._record(logging.WARNING, text, fields)

    def info(self, text: str, **fields: typing.Any) -> None:
        """Log what is no problem, with fields, likewise."""
        self._record(logging.INFO, text, fields)

    def _record(self, level: int, text: str, fields: dict) -> None:
        now = self._clock.now()
        if now < self._next_at:
            self._omitted += 1
            return
        self._next_at = now + self._interval_s
        self._log.log(level, text, extra={**fields, "omitted": self._omitted})
        self._omitted = 0
