"""Operators' requests on the metrics port of a control host: zones."""

import abc
import datetime
import hashlib
import json
import logging
import typing
import urllib.parse

from chervilwheel import auth
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel.control import evacuations
from chervilwheel.control import nodesettings
from chervilwheel.http import server

_LOG = logging.getLogger("control")
RETRY_AFTER_S = 1.0
MAX_ORIGIN_CHARS = ids.MAX_NAME_CHARS
OPERATOR = auth.Principal(team=ids.TeamId(""), is_operator=True)


class ZoneControl(abc.ABC):
    """The zones of a deployment, as a control host knows them."""

    @property
    @abc.abstractmethod
    def zones(self) -> evacuations.ZoneTable:
        """The table that this host has applied."""

    @property
    @abc.abstractmethod
    def holder(self) -> ids.InstanceId:
        """The holder as far as known here, empty if unknown."""

    @abc.abstractmethod
    def runs_by_zone(self) -> dict[ids.ZoneId, int]:
        """Count the runs in each zone of the settings.

        :returns: without zones whose runs aren't known, empty when this host
            isn't the holder
        """

    @abc.abstractmethod
    def order_zone(
        self,
        zone: ids.ZoneId,
        *,
        is_evacuated: bool,
        origin: str,
        done: typing.Callable[[bool], None],
        is_abandoned: typing.Callable[[], bool] = lambda: False,
    ) -> None:
        """Evacuate or restore a zone.

        A host that was paused reads requests whose clients have given up. So
        the order begins with the next turn of the event loop, which shows
        that they have disconnected, and is dropped if it is abandoned.

        :param origin: who ordered it
        :param done: receives True once the order is durable, False after a
            timeout or when it was dropped
        :param is_abandoned: whether the client has disconnected
        :raises errors.InvalidRequest: when the zone isn't in the settings
        """

    @abc.abstractmethod
    def read_zones(
        self,
        done: typing.Callable[[evacuations.ZoneTable | None], None],
    ) -> None:
        """Read the newest table.

        :param done: receives the table, None after a timeout
        """


class Route(typing.NamedTuple):
    """A handler for a method and a path.

    :ivar pattern: path segments; ``*`` matches any one segment
    """

    method: str
    pattern: tuple[str, ...]
    handler: typing.Callable[[server.Exchange, tuple[str, ...]], None]


class OperatorPort:
    """Show the zones, and evacuate and restore them.

    :param cfg: settings of this process
    :param control: the control host
    """

    def __init__(
        self,
        *,
        cfg: nodesettings.NodeSettings,
        control: ZoneControl,
    ) -> None:
        self._control = control
        self._zones = tuple(ids.ZoneId(zone) for zone in cfg.zones)
        self._tokens: auth.TokenStore | None = None
        if cfg.operator_token:
            digest = hashlib.sha256(cfg.operator_token.encode()).hexdigest()
            credential = auth.Credential(digest, OPERATOR)
            self._tokens = auth.TokenStore(credentials=(credential,))

    def routes(self) -> list[Route]:
        """Return the routes that this interface serves."""
        return [
            Route("GET", ("v1", "zones"), self._list_zones),
            Route("GET", ("v1", "zones", "audit"), self._list_changes),
            Route("POST", ("v1", "zones", "*", "evacuate"), self._evacuate),
            Route("POST", ("v1", "zones", "*", "restore"), self._restore),
        ]

    def handle(self, exchange: server.Exchange) -> None:
        """Handle a request that is not for the metrics."""
        try:
            self._handle(exchange)
        except errors.ChervilwheelError as exc:
            _respond_error(exchange, exc)

    def _handle(self, exchange: server.Exchange) -> None:
        target = exchange.request.target.partition("?")[0]
        segments = target.removeprefix("/").split("/")
        path = tuple(urllib.parse.unquote(each) for each in segments)
        matching = [
            route for route in self.routes() if _matches(route.pattern, path)
        ]
        if not matching:
            raise errors.NotFound("no such resource")
        for route in matching:
            if route.method == exchange.request.method:
                route.handler(exchange, path)
                return
        raise errors.MethodNotAllowed(matching[0].method)

    def _list_zones(
        self, exchange: server.Exchange, _path: tuple[str, ...]
    ) -> None:
        def on_read(table: evacuations.ZoneTable | None) -> None:
            shown = self._control.zones if table is None else table
            is_confirmed = table is not None
            _respond(
                exchange,
                {
                    "revision": shown.revision,
                    "is_confirmed": is_confirmed,
                    "zones": self._rows(shown, is_confirmed=is_confirmed),
                },
            )

        self._control.read_zones(on_read)

    def _list_changes(
        self, exchange: server.Exchange, _path: tuple[str, ...]
    ) -> None:
        def on_read(table: evacuations.ZoneTable | None) -> None:
            shown = self._control.zones if table is None else table
            _respond(
                exchange,
                {
                    "is_confirmed": table is not None,
                    "changes": [
                        {
                            "revision": entry.revision,
                            "zone": entry.zone,
                            "state": _state(entry.is_evacuated),
                            "changed_at": _time_text(entry.at_ms),
                            "origin": entry.origin,
                        }
                        for entry in sorted(shown.audit)
                    ],
                },
            )

        self._control.read_zones(on_read)

    def _evacuate(
        self, exchange: server.Exchange, path: tuple[str, ...]
    ) -> None:
        self._accept_order(exchange, path[2], is_evacuated=True)

    def _restore(
        self, exchange: server.Exchange, path: tuple[str, ...]
    ) -> None:
        self._accept_order(exchange, path[2], is_evacuated=False)

    def _accept_order(
        self, exchange: server.Exchange, name: str, *, is_evacuated: bool
    ) -> None:
        principal = self._authenticate(exchange)
        zone = ids.ZoneId(name)
        if zone not in self._zones:
            raise errors.NotFound(
                "no such zone; the settings have "
                + (", ".join(self._zones) or "none")
            )
        if exchange.request.body:
            raise errors.InvalidRequest("an order has no body")
        origin = f"{principal.name}/{exchange.client_host}"

        def on_result(is_durable: bool) -> None:
            if is_durable:
                self._respond_row(exchange, zone, is_evacuated=is_evacuated)
            else:
                _respond_error(exchange, _not_durable())

        self._control.order_zone(
            zone,
            is_evacuated=is_evacuated,
            origin=origin[:MAX_ORIGIN_CHARS],
            done=on_result,
            # A disconnected client's exchange counts as responded.
            is_abandoned=lambda: exchange.has_responded,
        )

    def _authenticate(self, exchange: server.Exchange) -> auth.Principal:
        if self._tokens is None:
            raise errors.Forbidden(
                "orders are not accepted: operator_token is empty in the "
                "settings of this host"
            )
        header = exchange.request.headers.get("authorization")
        try:
            return self._tokens.authenticate(header)
        except errors.Unauthorized as exc:
            _LOG.warning(
                "control: an order without a valid token",
                extra={"origin": exchange.client_host, "error": exc.detail},
            )
            raise

    def _respond_row(
        self,
        exchange: server.Exchange,
        zone: ids.ZoneId,
        *,
        is_evacuated: bool,
    ) -> None:
        """Respond with a zone's row after a durable order.

        This host may not have applied the order yet, so the row is read from
        a quorum. It shows a later order of another operator, if there is one.
        """

        def on_read(table: evacuations.ZoneTable | None) -> None:
            shown = self._control.zones if table is None else table
            is_confirmed = table is not None
            rows = self._rows(shown, is_confirmed=is_confirmed)
            (row,) = (row for row in rows if row["zone"] == zone)
            if is_confirmed or row["state"] == _state(is_evacuated):
                _respond(exchange, row)
            else:
                _respond_error(exchange, _not_durable())

        self._control.read_zones(on_read)

    def _rows(
        self, table: evacuations.ZoneTable, *, is_confirmed: bool
    ) -> list[dict[str, typing.Any]]:
        """Describe the zones of the settings, then other ordered ones.

        :param is_confirmed: whether a quorum confirmed the table; otherwise
            another host may be the holder, and the runs aren't shown
        """
        ordered = {row.zone: row for row in table.rows}
        runs = self._control.runs_by_zone() if is_confirmed else {}
        rows = []
        for zone in dict.fromkeys((*self._zones, *ordered)):
            row = ordered.get(zone, evacuations.ZoneRow(zone, 0, False, 0, ""))
            rows.append(
                {
                    "zone": zone,
                    "state": _state(row.is_evacuated),
                    "revision": row.revision,
                    "changed_at": _time_text(row.changed_at_ms),
                    "origin": row.origin,
                    "runs": runs.get(zone),
                    "holder": self._control.holder,
                }
            )
        return rows


def _not_durable() -> errors.NotDurable:
    return errors.NotDurable(
        "the order is not known to be durable, but may still take effect",
        retry_after_s=RETRY_AFTER_S,
    )


def _matches(pattern: tuple[str, ...], path: tuple[str, ...]) -> bool:
    return len(pattern) == len(path) and all(
        expected in ("*", segment)
        for expected, segment in zip(pattern, path, strict=True)
    )


def _state(is_evacuated: bool) -> str:
    return "evacuated" if is_evacuated else "open"


def _time_text(at_ms: int) -> str | None:
    """Return a wall time as text in UTC, None for 0."""
    if not at_ms:
        return None
    at = datetime.datetime.fromtimestamp(at_ms / 1000, datetime.UTC)
    return at.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _respond(exchange: server.Exchange, content: typing.Any) -> None:
    exchange.respond(server.Response(200, json.dumps(content).encode()))


def _respond_error(
    exchange: server.Exchange, exc: errors.ChervilwheelError
) -> None:
    exchange.respond(server.error_response(exc))
