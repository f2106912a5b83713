"""The HTTP interface for operators, and the health check."""

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
    """Serve health, metrics, members, keepers, drain and fault injection.

    :param registry: the instance's metrics
    :param view: the membership view
    :param shutdown: the drain that shuts the instance down
    :param link_cuts: the links on which traffic is dropped
    :param keeper_role: the keeper role, None when this instance doesn't
        have it
    """

    def __init__(
        self,
        *,
        registry: metrics.Registry,
        view: membership.Membership,
        shutdown: drain.Drain,
        link_cuts: rehearsal.Rehearsal,
        keeper_role: keeper.Keeper | None,
    ) -> None:
        self._registry = registry
        self._view = view
        self._shutdown = shutdown
        self._link_cuts = link_cuts
        self._keeper_role = keeper_role

    def routes(self) -> list[gateway.Route]:
        """List the routes that this interface serves."""
        return [
            gateway.Route("GET", ("v1", "health"), self._get_health, True),
            gateway.Route("GET", ("metrics",), self._get_metrics),
            gateway.Route("GET", ("v1", "members"), self._list_members),
            gateway.Route("GET", ("v1", "keeper"), self._list_groups),
            gateway.Route("POST", ("v1", "drain"), self._begin_drain),
            gateway.Route("POST", ("v1", "rehearsal", "cut"), self._cut_links),
        ]

    def _get_health(self, exchange: gateway.Exchange) -> None:
        phase = self._shutdown.phase
        status = 200 if self._shutdown.is_healthy else 503
        exchange.reply(status, {"status": phase.value})

    def _get_metrics(self, exchange: gateway.Exchange) -> None:
        auth.require_operator(exchange.principal)
        text = self._registry.render().encode()
        exchange.reply_bytes(200, text, content_type=gateway.PROMETHEUS_TEXT)

    def _list_members(self, exchange: gateway.Exchange) -> None:
        auth.require_operator(exchange.principal)
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

    def _list_groups(self, exchange: gateway.Exchange) -> None:
        auth.require_operator(exchange.principal)
        if self._keeper_role is None:
            raise errors.NotFound(
                "this instance does not have the keeper role"
            )
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
            for host in self._keeper_role.hosts.values()
        ]
        exchange.reply(200, {"groups": rows})

    def _begin_drain(self, exchange: gateway.Exchange) -> None:
        auth.require_operator(exchange.principal)
        exchange.reply(202, {"status": "draining"})
        self._shutdown.begin()

    def _cut_links(self, exchange: gateway.Exchange) -> None:
        auth.require_operator(exchange.principal)
        table: dict[str, typing.Any] = exchange.parse_json()
        names = table.get("instances")
        is_list = isinstance(names, list)
        if not is_list or not all(isinstance(n, str) for n in names):
            raise errors.InvalidRequest(
                "instances: a list of instance names is required"
            )
        try:
            direction = rehearsal.Direction(table.get("direction"))
        except ValueError as exc:
            raise errors.InvalidRequest(
                "direction: must be in, out, both or none"
            ) from exc
        self._link_cuts.cut([ids.InstanceId(n) for n in names], direction)
        exchange.reply(200, {"cut": names, "direction": direction.value})
