"""What all commands share: the instance asked, output, exit codes."""

import os
import pathlib
import sys
import typing

import cappa

from chervilwheel import apiclient
from chervilwheel import errors
from chervilwheel import output

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_NOT_RUN = 3
EXIT_UNKNOWN = 4
EXIT_REFUSED = 5
SERVER_VARIABLE = "CHERVILWHEEL_SERVER"
TOKEN_VARIABLE = "CHERVILWHEEL_TOKEN"
DEFAULT_SERVER = "127.0.0.1:8080"
TIMEOUT_S = 3700.0
HINTS = {
    EXIT_NOT_RUN: "nothing was started; the same id may be sent again",
    EXIT_UNKNOWN: "send the same id again to hear the true answer",
    EXIT_REFUSED: "read the detail; nothing was changed",
}

Text = typing.Annotated[str, cappa.Arg(long=True)]
Json = typing.Annotated[bool, cappa.Arg(long="--json")]


class Call(typing.NamedTuple):
    """A request that a command makes, and how to show its answer."""

    method: str
    path: str
    body: typing.Any = None
    rows_at: str | None = None
    query: dict[str, typing.Any] | None = None


def client() -> apiclient.ApiClient:
    """Make a client of the instance that the environment names."""
    return apiclient.ApiClient(
        address=os.environ.get(SERVER_VARIABLE, DEFAULT_SERVER),
        token=os.environ.get(TOKEN_VARIABLE, ""),
        timeout_s=TIMEOUT_S,
    )


def run(call: Call, *, as_json: bool) -> None:
    """Make a request and show its answer."""
    reply = client().call(call.method, call.path, call.body, query=call.query)
    finish(reply, as_json=as_json, rows_at=call.rows_at)


def finish(
    reply: apiclient.Reply, *, as_json: bool, rows_at: str | None = None
) -> None:
    """Show an answer; leave with its exit code when it is an error."""
    output.show(reply.body, as_json=as_json, rows_at=rows_at)
    code = _exit_code(reply)
    if code:
        detail = f"status {reply.status}"
        if isinstance(reply.body, dict):
            detail = str(reply.body.get("detail", detail))
        output.complain(detail, hint=HINTS.get(code, ""))
        raise cappa.Exit(code=code)


def _exit_code(reply: apiclient.Reply) -> int:
    if reply.is_ok:
        return EXIT_OK
    if reply.status in (429, 503):
        return EXIT_NOT_RUN
    if reply.status == 504:
        return EXIT_UNKNOWN
    if reply.status in (401, 403, 409, 410, 422):
        return EXIT_REFUSED
    return EXIT_FAILED


def read_input(name: str) -> str:
    """Read a file, or standard input for ``-``.

    :raises errors.InvalidRequest: when it can't be read
    """
    if name == "-":
        return sys.stdin.read()
    try:
        return pathlib.Path(name).read_text("utf-8")
    except OSError as exc:
        raise errors.InvalidRequest(f"{name}: {exc.strerror}") from exc
