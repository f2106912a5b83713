"""A planned stop of an entry host: turn the readiness, finish, end."""

import logging

from chervilwheel.control import entryhost
from chervilwheel.control import runtime
from chervilwheel.http import server

_LOG = logging.getLogger("drain")
# Two misses of a check each second, and the time of a check.
NOTICE_S = 2.6
# Left for the end of the process.
RESERVE_S = 0.5
POLL_S = 0.1


class EntryDrain:
    """Stop an entry host without cutting a request.

    :param node: the loop
    :param entry: the entry host
    :param front: the server of callers
    """

    def __init__(
        self,
        *,
        node: runtime.Runtime,
        entry: entryhost.EntryHost,
        front: server.HttpServer,
    ) -> None:
        self._node = node
        self._entry = entry
        self._front = front
        self._begun_at = 0.0

    def begin(self) -> None:
        """Say not ready, and end when nothing is open any more."""
        if self._entry.drain is not entryhost.Drain.SERVING:
            return
        self._entry.drain = entryhost.Drain.LEAVING
        self._begun_at = self._node.heap.clock.now()
        _LOG.info("drain: begun", extra={"running": len(self._entry.jobs)})
        self._node.heap.call_later(NOTICE_S, self._poll)

    def _poll(self) -> None:
        self._front.close_idle()
        passed_s = self._node.heap.clock.now() - self._begun_at
        is_late = passed_s >= self._node.cfg.drain_s - RESERVE_S
        if self._front.busy and not is_late:
            self._node.heap.call_later(POLL_S, self._poll)
            return
        _LOG.info("drain: over", extra={"busy": self._front.busy})
        self._node.stop()
