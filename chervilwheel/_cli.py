"""Shared parts of the commands: API client, output and exit codes."""

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
    EXIT_NOT_RUN: "nothing was started; it is safe to retry with the same id",
    EXIT_UNKNOWN: "retry with the same id to get the actual outcome",
    EXIT_REFUSED: "see the detail; nothing was changed",
}

Text = typing.Annotated[str, cappa.Arg(long=True)]
Json = typing.Annotated[bool, cappa.Arg(long="--json")]


class Call(typing.NamedTuple):
    """An API request of a command, and how to print its response.

    :ivar rows_key: the key of the response whose list is printed as a table
    """

    method: str
    path: str
    body: typing.Any = None
    rows_key: str | None = None
    query: dict[str, typing.Any] | None = None


def server() -> str:
    """Return the address of the instance that the environment names."""
    return os.environ.get(SERVER_VARIABLE, DEFAULT_SERVER)


def client(
    *, address: str = "", timeout_s: float = TIMEOUT_S
) -> apiclient.ApiClient:
    """Create a client for an instance.

    :param address: its address, empty for the one that the environment names
    :param timeout_s: timeout of a socket operation, seconds
    """
    return apiclient.ApiClient(
        address=address or server(),
        token=os.environ.get(TOKEN_VARIABLE, ""),
        timeout_s=timeout_s,
    )


def run(call: Call, *, as_json: bool) -> None:
    """Send a request and print its response."""
    reply = client().call(call.method, call.path, call.body, query=call.query)
    show_reply(reply, as_json=as_json, rows_key=call.rows_key)


def show_reply(
    reply: apiclient.Reply,
    *,
    as_json: bool,
    rows_key: str | None = None,
    hint: str = "",
) -> None:
    """Print a response; exit with an error code unless it succeeded.

    :param rows_key: the key whose list is printed as a table
    :param hint: printed with an error, instead of that of its exit code
    """
    output.show(reply.body, as_json=as_json, rows_key=rows_key)
    code = _exit_code(reply)
    if code:
        detail = f"HTTP status {reply.status}"
        if isinstance(reply.body, dict):
            detail = str(reply.body.get("detail", detail))
        output.print_error(detail, hint=hint or HINTS.get(code, ""))
        raise cappa.Exit(code=code)


def _exit_code(reply: apiclient.Reply) -> int:
    if reply.is_ok:
        return EXIT_OK
    is_problem = isinstance(reply.body, dict)
    kind = reply.body.get("title") if is_problem else None
    if reply.status == 504 or kind == errors.NotDurable.kind:
        return EXIT_UNKNOWN
    if reply.status in (429, 503):
        return EXIT_NOT_RUN
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
