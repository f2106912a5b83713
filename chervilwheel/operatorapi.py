"""The HTTP interface for operators, and the health page."""

import typing

from chervilwheel import auth
from chervilwheel import drain
from chervilwheel import errors
from chervilwheel import gateway
from chervilwheel import ids
from chervilwheel import keeper
from chervilwheel import membership
from chervilwheel import metrics
from chervilwheel import rehearsal


class OperatorApi:
    """Health, metrics, members, keepers, drain and rehearsals.

    :param registry: the instance's metrics
    :param view: the membership view
    :param stop: leads the instance to its stop
    :param cuts: the rehearsed cuts
    :param keep: the keeper role, if this instance has it
    """

    def __init__(
        self,
        *,
        registry: metrics.Registry,
        view: membership.Membership,
        stop: drain.Drain,
        cuts: rehearsal.Rehearsal,
        keep: keeper.Keeper | None,
    ) -> None:
        self._registry = registry
        self._view = view
        self._stop = stop
        self._cuts = cuts
        self._keep = keep

    def routes(self) -> list[gateway.Route]:
        """List what is offered to operators."""
        return [
            gateway.Route("GET", ("v1", "health"), self._health, True),
            gateway.Route("GET", ("metrics",), self._metrics),
            gateway.Route("GET", ("v1", "members"), self._members),
            gateway.Route("GET", ("v1", "keeper"), self._keeper),
            gateway.Route("POST", ("v1", "drain"), self._drain),
            gateway.Route("POST", ("v1", "rehearsal", "cut"), self._cut),
        ]

    def _health(self, exchange: gateway.Exchange) -> None:
        phase = self._stop.phase
        status = 200 if self._stop.is_healthy else 503
        exchange.reply(status, {"status": phase.value})

    def _metrics(self, exchange: gateway.Exchange) -> None:
        auth.require_operator(exchange.who)
        text = self._registry.text().encode()
        exchange.reply_bytes(200, text, kind=gateway.TEXT)

    def _members(self, exchange: gateway.Exchange) -> None:
        auth.require_operator(exchange.who)
        rows = [
            {
                "name": info.name,
                "zone": info.zone,
                "address": f"{info.host}:{info.port}",
                "is_entry": info.is_entry,
                "state": info.state.value,
                "incarnation": info.incarnation,
                "is_draining": info.is_draining,
            }
            for info in self._view.all()
        ]
        exchange.reply(200, {"members": rows})

    def _keeper(self, exchange: gateway.Exchange) -> None:
        auth.require_operator(exchange.who)
        if self._keep is None:
            raise errors.NotFound("this instance is not a keeper")
        rows = [
            {
                "group": host.group,
                "role": host.member.role.value,
                "term": host.member.term,
                "leader": host.member.leader.name
                if host.member.leader
                else None,
                "commit": host.member.commit,
                "last_index": host.member.log.last_index,
                "voters": [m.name for m in host.member.config.voters],
                "learners": [m.name for m in host.member.config.learners],
                "is_halted": host.is_halted,
            }
            for host in self._keep.hosts.values()
        ]
        exchange.reply(200, {"groups": rows})

    def _drain(self, exchange: gateway.Exchange) -> None:
        auth.require_operator(exchange.who)
        exchange.reply(202, {"status": "draining"})
        self._stop.begin()

    def _cut(self, exchange: gateway.Exchange) -> None:
        auth.require_operator(exchange.who)
        table: dict[str, typing.Any] = exchange.table()
        names = table.get("instances")
        is_list = isinstance(names, list)
        if not is_list or not all(isinstance(n, str) for n in names):
            raise errors.InvalidRequest("instances: a list of names")
        try:
            direction = rehearsal.Direction(table.get("direction"))
        except ValueError as exc:
            raise errors.InvalidRequest(
                "direction: in, out, both or none"
            ) from exc
        self._cuts.cut([ids.InstanceId(n) for n in names], direction)
        exchange.reply(200, {"cut": names, "direction": direction.value})
