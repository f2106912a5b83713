"""Holds requests that arrive before a started host has its document.

After a loss of power an entry host is up before the control hosts have
elected a leader, which knows the document. Many of the jobs that arrive in
between can wait that long and still be in time.
"""

import logging
import typing

from chervilwheel import timers

_LOG = logging.getLogger("entry")

# An election after a restart takes 0.4 to 0.8 s, and the control hosts start
# before the entry hosts.
MAX_WAIT_S = 0.6
# The objective of a job allows some such share of its work for waiting. The
# queue's own figure is in the document.
WAIT_WORK_SHARE = 0.6

# Receives the time waited in seconds, None when the wait was given up.
Waited = typing.Callable[[float | None], None]


class StartWait:
    """Requests that wait for the first document.

    :param heap: timers
    """

    def __init__(self, *, heap: timers.TimerHeap) -> None:
        self._heap = heap
        self._waiting: dict[int, tuple[float, Waited]] = {}
        self._last_number = 0

    def add(self, done: Waited, *, work_s: float) -> None:
        """Wait for the document as long as the request can bear.

        :param work_s: estimated duration of its work, seconds
        """
        limit_s = min(MAX_WAIT_S, WAIT_WORK_SHARE * work_s)
        if not limit_s:
            self._refuse(done, 0.0)
            return
        self._last_number += 1
        number = self._last_number
        self._waiting[number] = (self._heap.clock.now(), done)
        self._heap.call_later(limit_s, lambda: self._give_up(number))

    def release(self) -> None:
        """Let all requests continue, since a document is there."""
        now = self._heap.clock.now()
        waiting, self._waiting = self._waiting, {}
        for since, done in waiting.values():
            done(now - since)

    def give_up_all(self) -> None:
        """Refuse all requests that still wait."""
        for number in list(self._waiting):
            self._give_up(number)

    def _give_up(self, number: int) -> None:
        since, done = self._waiting.pop(number, (0.0, None))
        if done is not None:
            self._refuse(done, self._heap.clock.now() - since)

    def _refuse(self, done: Waited, waited_s: float) -> None:
        _LOG.info(
            "entry: a request was refused without a document",
            extra={"waited_s": round(waited_s, 3)},
        )
        done(None)
