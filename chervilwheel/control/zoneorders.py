"""Commit the orders of operators that evacuate or restore a zone."""

import logging
import typing

from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import timers
from chervilwheel.control import documents
from chervilwheel.control import evacuations
from chervilwheel.control import groupcalls

_LOG = logging.getLogger("control")

Done = typing.Callable[[bool], None]
IsAbandoned = typing.Callable[[], bool]


class _Order(typing.NamedTuple):
    """An order that is not committed yet.

    :ivar base: the revision of the zone's row that it is based on
    """

    zone: ids.ZoneId
    is_evacuated: bool
    origin: str
    base: int
    deadline: float
    done: Done
    is_abandoned: IsAbandoned


class ZoneOrders:
    """Run orders for zones on the leader of the group.

    :param calls: runs commands on the leader
    :param heap: timers
    :param zones: all zones of the site
    :param table: returns the table as applied by this host
    :param timeout_s: time after which an order is given up, seconds
    :ivar orders: number of orders received
    """

    def __init__(
        self,
        *,
        calls: groupcalls.GroupCalls,
        heap: timers.TimerHeap,
        zones: typing.Collection[str],
        table: typing.Callable[[], evacuations.ZoneTable],
        timeout_s: float,
    ) -> None:
        self.orders = 0
        self._calls = calls
        self._heap = heap
        self._zones = frozenset(zones)
        self._table = table
        self._timeout_s = timeout_s

    def order(
        self,
        zone: ids.ZoneId,
        *,
        is_evacuated: bool,
        origin: str,
        done: Done,
        is_abandoned: IsAbandoned,
    ) -> None:
        """Evacuate or restore a zone.

        :param done: receives True once the order is committed, False after a
            timeout or when it was abandoned
        :param is_abandoned: whether nobody waits for the result any more
        :raises errors.InvalidRequest: when the zone is unknown
        """
        if zone not in self._zones:
            raise errors.InvalidRequest(f"unknown zone: {zone!r}")
        self.orders += 1
        pending = _Order(
            zone,
            is_evacuated,
            origin,
            self._table().row(zone).revision,
            self._heap.clock.now() + self._timeout_s,
            done,
            is_abandoned,
        )
        # A host that was paused reads old requests when it resumes. The next
        # turn of the loop shows that their clients have disconnected.
        self._heap.call_later(0.0, lambda: self._send(pending))

    def read(
        self, done: typing.Callable[[evacuations.ZoneTable | None], None]
    ) -> None:
        """Read the table from a quorum; ``done`` gets None on a timeout."""

        def answered(reply: bytes | None) -> None:
            done(None if reply is None else documents.CODEC.decode(reply))

        command = documents.CODEC.encode(evacuations.ReadZones())
        self._calls.call(command, self._timeout_s, answered)

    def _send(self, order: _Order) -> None:
        left_s = order.deadline - self._heap.clock.now()
        if left_s <= 0 or order.is_abandoned():
            self._finish(order, False)
            return
        command = evacuations.OrderZone(
            order.zone,
            order.is_evacuated,
            order.base,
            order.origin,
            int(self._heap.clock.wall() * 1000),
        )

        def answered(data: bytes | None) -> None:
            if data is None:
                self._finish(order, False)
                return
            reply = documents.CODEC.decode(data)
            if reply.status is evacuations.OrderStatus.CONFLICT:
                self._send(order._replace(base=reply.revision))
            else:
                self._finish(order, True)

        encoded = documents.CODEC.encode(command)
        self._calls.call(encoded, left_s, answered)

    def _finish(self, order: _Order, is_committed: bool) -> None:
        _LOG.info(
            "control: zone order finished",
            extra={
                "zone": order.zone,
                "evacuated": order.is_evacuated,
                "committed": is_committed,
                "origin": order.origin,
            },
        )
        order.done(is_committed)
