"""Graceful shutdown: stop an instance without dropping requests."""

import enum
import logging
import typing

from chervilwheel import timers

_LOG = logging.getLogger("drain")
POLL_S = 0.05
# The in-flight count must stay zero for this long before the instance stops.
IDLE_S = 0.2


class Phase(enum.Enum):
    """A phase of the shutdown."""

    SERVING = "serving"
    NOTICE = "notice"
    REFUSING = "refusing"
    STOPPED = "stopped"


class Drain:
    """Take an instance from serving to stopped.

    First the health check fails, so that load balancers route requests
    to other instances; then new work is refused; the instance stops when
    no work is in flight or the timeout has expired.

    :param heap: the timer heap
    :param notice_s: seconds from the failing health check to refusing work
    :param timeout_s: maximum wait for work in flight, seconds
    :param on_notice: announces to peers that this instance is draining
    :param on_refuse: makes the instance refuse new work
    :param in_flight: returns the number of unanswered requests
    :param on_stopped: stops the instance
    """

    def __init__(
        self,
        *,
        heap: timers.TimerHeap,
        notice_s: float,
        timeout_s: float,
        on_notice: typing.Callable[[], None],
        on_refuse: typing.Callable[[], None],
        in_flight: typing.Callable[[], int],
        on_stopped: typing.Callable[[], None],
    ) -> None:
        self.phase = Phase.SERVING
        self._heap = heap
        self._notice_s = notice_s
        self._timeout_s = timeout_s
        self._on_notice = on_notice
        self._on_refuse = on_refuse
        self._in_flight = in_flight
        self._on_stopped = on_stopped
        self._idle_since: float | None = None
        self._deadline = 0.0

    @property
    def is_healthy(self) -> bool:
        """Whether load balancers may route requests to this instance."""
        return self.phase is Phase.SERVING

    def begin(self) -> None:
        """Start the shutdown; further calls have no effect."""
        if self.phase is not Phase.SERVING:
            return
        _LOG.info("drain: health check set to failing")
        self.phase = Phase.NOTICE
        self._on_notice()
        self._heap.call_later(self._notice_s, self._refuse_new_work)

    def _refuse_new_work(self) -> None:
        _LOG.info("drain: refusing new work")
        self.phase = Phase.REFUSING
        self._deadline = self._heap.clock.now() + self._timeout_s
        self._on_refuse()
        self._poll()

    def _poll(self) -> None:
        now = self._heap.clock.now()
        left = self._in_flight()
        if left:
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now
        is_idle = (
            self._idle_since is not None and now - self._idle_since >= IDLE_S
        )
        if not is_idle and now < self._deadline:
            self._heap.call_later(POLL_S, self._poll)
            return
        _LOG.info("drain: stopped", extra={"in_flight": left})
        self.phase = Phase.STOPPED
        self._on_stopped()
