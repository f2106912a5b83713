"""Planned stop of an entry host: fail readiness, drain requests, exit."""

import logging

from chervilwheel.control import entryhost
from chervilwheel.control import runtime
from chervilwheel.http import server

_LOG = logging.getLogger("drain")
# Covers two failed readiness checks, one a second, and the duration of a
# check.
READINESS_NOTICE_S = 2.6
# Reserved for the shutdown of the process.
SHUTDOWN_RESERVE_S = 0.5
POLL_S = 0.1


class EntryDrain:
    """Stop an entry host without interrupting requests.

    Requests that are still open shortly before the end of ``drain_s`` are
    cut off.

    :param node: event loop, timers and settings
    :param entry: the entry host
    :param front: the HTTP server for callers
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
        """Report not ready, then stop when no request is open."""
        if self._entry.drain is not entryhost.Drain.SERVING:
            return
        self._entry.drain = entryhost.Drain.LEAVING
        self._begun_at = self._node.heap.clock.now()
        _LOG.info("drain: started", extra={"running": len(self._entry.jobs)})
        self._node.heap.call_later(READINESS_NOTICE_S, self._poll)

    def _poll(self) -> None:
        self._front.close_idle()
        elapsed_s = self._node.heap.clock.now() - self._begun_at
        is_out_of_time = (
            elapsed_s >= self._node.cfg.drain_s - SHUTDOWN_RESERVE_S
        )
        if self._front.busy and not is_out_of_time:
            self._node.heap.call_later(POLL_S, self._poll)
            return
        _LOG.info("drain: finished", extra={"busy": self._front.busy})
        self._node.stop()
