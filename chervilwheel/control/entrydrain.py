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
# Reserved for sending the last answers.
LAST_ANSWERS_S = 0.2


class EntryDrain:
    """Stop an entry host without cutting off requests.

    Jobs that can't be done before the end of ``drain_s`` are refused as they
    arrive. Those that are open shortly before it are answered by what is
    known of them.

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
        self._ends_at = 0.0
        self._is_listening = True

    def begin(self) -> None:
        """Report not ready, then stop when no request is open."""
        if self._entry.drain is not entryhost.Drain.SERVING:
            return
        self._entry.drain = entryhost.Drain.LEAVING
        heap = self._node.heap
        drain_s = max(0.0, self._node.cfg.drain_s - SHUTDOWN_RESERVE_S)
        self._ends_at = heap.clock.now() + drain_s
        self._entry.jobs.ends_at = self._ends_at - LAST_ANSWERS_S
        _LOG.info("drain: started", extra={"running": len(self._entry.jobs)})
        heap.call_later(min(READINESS_NOTICE_S, drain_s), self._poll)

    def _poll(self) -> None:
        now = self._node.heap.clock.now()
        self._front.close_idle()
        if now >= self._ends_at:
            self._stop()
            return
        is_late = now >= self._ends_at - LAST_ANSWERS_S
        if is_late:
            self._entry.answer_open_requests()
        if self._front.busy and not is_late:
            left_s = self._ends_at - LAST_ANSWERS_S - now
            self._node.heap.call_later(min(POLL_S, left_s), self._poll)
        elif self._is_listening:
            # A request on a connection made just before is still answered.
            self._is_listening = False
            self._front.stop_listening()
            self._node.heap.call_later(POLL_S, self._poll)
        elif self._front.busy:
            left_s = self._ends_at - now
            self._node.heap.call_later(min(POLL_S, left_s), self._poll)
        else:
            self._stop()

    def _stop(self) -> None:
        _LOG.info("drain: finished", extra={"busy": self._front.busy})
        self._node.stop()
