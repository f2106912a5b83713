"""Adapt HTTP requests of the web library to routed handlers."""

import json
import logging
import typing
import urllib.parse

import circuits
from circuits.web import events as web_events

from chervilwheel import auth
from chervilwheel import errors
from chervilwheel import jobs
from chervilwheel import problems

_LOG = logging.getLogger("gateway")
JSON = "application/json"
PROMETHEUS_TEXT = "text/plain; version=0.0.4"


class Exchange:
    """One request and its response, which may be sent later.

    :param method: the HTTP method
    :param path: the decoded path segments
    :param query: the query parameters; the last of several values is kept
    :param headers: the request headers
    :param body: the complete body
    :param respond: sends the response
    :ivar principal: the authenticated caller
    """

    def __init__(
        self,
        *,
        method: str,
        path: tuple[str, ...],
        query: dict[str, str],
        headers: typing.Mapping[str, str],
        body: bytes,
        respond: typing.Callable[[int, str, bytes, dict[str, str]], None],
    ) -> None:
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body
        self.principal = auth.Principal(team="", is_operator=False)
        self.is_replied = False
        self._respond = respond

    def parse_json(self) -> dict[str, typing.Any]:
        """Decode the body as a JSON object.

        :raises errors.InvalidRequest: if it is not a JSON object
        """
        return jobs.parse_body(self.body)

    def query_number(self, name: str, default: float) -> float:
        """Read a numeric query parameter.

        :raises errors.InvalidRequest: if it is not a number or out of range
        """
        text = self.query.get(name)
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError as exc:
            raise errors.InvalidRequest(f"{name}: not a number") from exc
        if not 0 <= value < 1e15:
            raise errors.InvalidRequest(f"{name}: out of range")
        return value

    def reply(
        self,
        status: int,
        content: typing.Any,
        *,
        headers: dict[str, str] | None = None,
        content_type: str = JSON,
    ) -> None:
        """Send a JSON response; any further response is ignored."""
        body = json.dumps(content, separators=(",", ":")).encode()
        self.reply_bytes(
            status, body, content_type=content_type, headers=headers
        )

    def reply_bytes(
        self,
        status: int,
        body: bytes,
        *,
        content_type: str,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a response; any further response is ignored."""
        if self.is_replied:
            return
        self.is_replied = True
        self._respond(status, content_type, body, headers or {})

    def reply_error(self, exc: errors.ChervilwheelError) -> None:
        """Send an error response with problem details (RFC 9457)."""
        problem = problems.describe(exc)
        self.reply(
            exc.status,
            problem.content,
            headers=problem.headers,
            content_type=problems.CONTENT_TYPE,
        )


Handler = typing.Callable[[Exchange], None]


class Route(typing.NamedTuple):
    """A handler for a method and a path.

    :ivar pattern: path segments; ``*`` matches any one segment, a final
        ``**`` any one or more
    :ivar is_public: whether the route requires no token
    """

    method: str
    pattern: tuple[str, ...]
    handler: Handler
    is_public: bool = False


class Router:
    """Authenticate a request and run the handler of its route.

    :param routes: the available routes
    :param tokens: the tokens of teams and operators
    """

    def __init__(
        self, *, routes: typing.Sequence[Route], tokens: auth.TokenStore
    ) -> None:
        self._routes = tuple(routes)
        self._tokens = tokens

    def run(self, exchange: Exchange) -> None:
        """Run the handler; send an error response if it raises."""
        try:
            self._run(exchange)
        except errors.ChervilwheelError as exc:
            exchange.reply_error(exc)
        except Exception:
            _LOG.exception("gateway: request handler failed")
            exchange.reply_error(errors.OutcomeUnknown("an internal error"))

    def _run(self, exchange: Exchange) -> None:
        matching = [
            route
            for route in self._routes
            if _matches(route.pattern, exchange.path)
        ]
        if not matching:
            raise errors.NotFound("no such resource")
        for route in matching:
            if route.method == exchange.method:
                if not route.is_public:
                    header = exchange.headers.get("Authorization")
                    exchange.principal = self._tokens.authenticate(header)
                route.handler(exchange)
                return
        raise errors.InvalidRequest("the resource has no such method")


class Gateway(circuits.BaseComponent):
    """Pass requests of the web library to the router.

    :param router: the router
    """

    channel = "web"

    def __init__(self, *, router: Router) -> None:
        super().__init__()
        self._router = router

    @circuits.handler("request", priority=100)
    def _on_request(
        self, event: typing.Any, req: typing.Any, res: typing.Any
    ) -> bool:
        event.stop()

        def respond(
            status: int, kind: str, body: bytes, headers: dict[str, str]
        ) -> None:
            if req.sock.fileno() < 0:
                # The client has disconnected; the result stays in the ledger.
                return
            res.status = status
            res.headers["Content-Type"] = kind
            for name, value in headers.items():
                res.headers[name] = value
            res.body = body
            self.fire(web_events.response(res))

        exchange = Exchange(
            method=req.method,
            path=_path_segments(req.path),
            query=_query(req.qs),
            headers=req.headers,
            body=req.body.read(),
            respond=respond,
        )
        self._router.run(exchange)
        return True


def _path_segments(path: str) -> tuple[str, ...]:
    segments = path.strip("/").split("/")
    return tuple(urllib.parse.unquote(segment) for segment in segments)


def _query(text: str | bytes) -> dict[str, str]:
    query = text.decode("latin-1") if isinstance(text, bytes) else text
    return dict(urllib.parse.parse_qsl(query))


def _matches(pattern: tuple[str, ...], path: tuple[str, ...]) -> bool:
    if pattern and pattern[-1] == "**":
        head = pattern[:-1]
        return len(path) > len(head) and _matches(head, path[: len(head)])
    if len(pattern) != len(path):
        return False
    return all(
        expected in ("*", segment)
        for expected, segment in zip(pattern, path, strict=True)
    )
