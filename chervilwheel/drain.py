"""Stop an instance without cutting a request in flight."""

import enum
import logging
import typing

from chervilwheel import timers

_LOG = logging.getLogger("drain")
POLL_S = 0.05
LINGER_S = 0.2


class Phase(enum.Enum):
    """How far a stop has come."""

    SERVING = "serving"
    NOTICE = "notice"
    REFUSING = "refusing"
    STOPPED = "stopped"


class Drain:
    """Lead an instance from serving to stopped.

    First the health page turns, so that balancers look elsewhere; then
    new work is refused; when nothing is in flight the instance ends.

    :param heap: timers
    :param notice_s: time between the health page and refusing, seconds
    :param timeout_s: time that work in flight is waited for, seconds
    :param on_notice: tells peers that this instance drains
    :param on_refuse: makes the instance refuse new work
    :param in_flight: counts what has not been answered
    :param on_stopped: ends the instance
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
        self._ends_at = 0.0

    @property
    def is_healthy(self) -> bool:
        """Whether the balancer may send requests here."""
        return self.phase is Phase.SERVING

    def begin(self) -> None:
        """Begin to stop; asking again changes nothing."""
        if self.phase is not Phase.SERVING:
            return
        _LOG.info("drain: health page turned")
        self.phase = Phase.NOTICE
        self._on_notice()
        self._heap.call_later(self._notice_s, self._refuse)

    def _refuse(self) -> None:
        _LOG.info("drain: refusing new work")
        self.phase = Phase.REFUSING
        self._ends_at = self._heap.clock.now() + self._timeout_s
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
            self._idle_since is not None and now - self._idle_since >= LINGER_S
        )
        if not is_idle and now < self._ends_at:
            self._heap.call_later(POLL_S, self._poll)
            return
        _LOG.info("drain: stopped", extra={"in_flight": left})
        self.phase = Phase.STOPPED
        self._on_stopped()
