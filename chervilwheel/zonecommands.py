"""Commands for operators: evacuate and restore availability zones.

They address the metrics port of a control host.
"""

import dataclasses
import sys
import time
import typing

import cappa

from chervilwheel import _cli
from chervilwheel import apiclient
from chervilwheel import errors
from chervilwheel import output

ZONES_PATH = "/v1/zones"
OPEN = "open"
EVACUATED = "evacuated"
# A control host answers within 1.8 s: an order and a read of 0.9 s each.
TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.5
# An executor that crashed is given up after 60 s without a report; until then
# the runs of its zone are not known.
WAIT_LIMIT_S = 90.0
SERVER_HINT = (
    f"{_cli.SERVER_VARIABLE} names the metrics port of a control host, "
    "such as 10.0.0.1:9464; any control host will do"
)
RESEND_HINT = "send the order again, to any control host; it is safe to repeat"
HINTS = {
    401: f"{_cli.TOKEN_VARIABLE} is to be the hosts' setting operator_token",
    403: "set operator_token in the settings of the control hosts",
    404: f"see `chervilwheel zone list`; {SERVER_HINT}",
    503: RESEND_HINT,
}

Row = dict[str, typing.Any]


@cappa.command(name="list", help="List the zones and their states.")
@dataclasses.dataclass
class ZoneList:
    """List the zones; runs are shown by the holder only."""

    json: _cli.Json = False

    def __call__(self) -> None:
        """Print the state of each zone."""
        body = _request("GET", ZONES_PATH, "zones", as_json=self.json)
        output.show(body, as_json=self.json, rows_key="zones")
        _warn_unless_confirmed(body)


@cappa.command(name="audit", help="List the newest evacuations and restores.")
@dataclasses.dataclass
class ZoneAudit:
    """List the newest evacuations and restores."""

    json: _cli.Json = False

    def __call__(self) -> None:
        """Print the changes of all zones, oldest first."""
        path = f"{ZONES_PATH}/audit"
        body = _request("GET", path, "changes", as_json=self.json)
        output.show(body, as_json=self.json, rows_key="changes")
        _warn_unless_confirmed(body)


@cappa.command(name="evacuate", help="Start no more tasks in a zone.")
@dataclasses.dataclass
class ZoneEvacuate:
    """Evacuate a zone; the tasks that run there end by themselves.

    With ``wait``, the command ends when no run is left in the zone, or fails
    after ``seconds``.
    """

    zone: str
    wait: typing.Annotated[bool, cappa.Arg(long=True)] = False
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = WAIT_LIMIT_S
    json: _cli.Json = False

    def __call__(self) -> None:
        """Send the order, and optionally wait until the zone is empty."""
        row = _order(self.zone, "evacuate", EVACUATED, as_json=self.json)
        if self.wait:
            row = _wait_until_empty(row, limit_s=self.seconds)
        output.show(row, as_json=self.json)


@cappa.command(name="restore", help="Start tasks in a zone again.")
@dataclasses.dataclass
class ZoneRestore:
    """Restore an evacuated zone."""

    zone: str
    json: _cli.Json = False

    def __call__(self) -> None:
        """Send the order."""
        row = _order(self.zone, "restore", OPEN, as_json=self.json)
        output.show(row, as_json=self.json)


def _order(zone: str, action: str, state: str, *, as_json: bool) -> Row:
    """Send an order and return the zone's row.

    :param state: the state that the order leads to
    """
    path = f"{ZONES_PATH}/{apiclient.quote(zone)}/{action}"
    row = _request("POST", path, "zone", as_json=as_json)
    _require_state(row, state)
    return row


def _require_state(row: Row, state: str) -> None:
    """Exit with an error code if another order has replaced this one."""
    if row["state"] != state:
        _fail(
            f"zone {row['zone']} is {row['state']}, as {row['origin']} ordered"
            " in the meantime",
            code=_cli.EXIT_REFUSED,
            hint="see `chervilwheel zone audit`",
        )


def _request(method: str, path: str, key: str, *, as_json: bool) -> Row:
    """Send a request; exit with an error code unless it succeeded.

    :param key: a key that the response has
    """
    try:
        reply = _cli.client(timeout_s=TIMEOUT_S).call(method, path)
    except errors.OutcomeUnknown as exc:
        hint = SERVER_HINT if method == "GET" else RESEND_HINT
        _fail(
            f"{_cli.server()}: no complete response ({exc.__cause__})",
            code=_cli.EXIT_UNKNOWN,
            hint=hint,
        )
    if not reply.is_ok:
        hint = HINTS.get(reply.status, SERVER_HINT)
        _cli.show_reply(reply, as_json=as_json, hint=hint)
    if not isinstance(reply.body, dict) or key not in reply.body:
        # A host of a version without zones answers with its metrics.
        _fail(
            f"{_cli.server()}: not a response about zones",
            code=_cli.EXIT_FAILED,
            hint=SERVER_HINT,
        )
    return reply.body


def _wait_until_empty(row: Row, *, limit_s: float) -> Row:
    """Wait until no run is left in an evacuated zone; show the progress.

    :param row: the zone's row after the order
    :param limit_s: maximum time to wait, seconds
    :returns: its last row
    """
    zone = row["zone"]
    ends_at = time.monotonic() + limit_s
    shown = ""
    while True:
        _require_state(row, EVACUATED)
        progress = _progress(row)
        if progress != shown:
            print(f"zone {zone}: {progress}", file=sys.stderr)
            shown = progress
        if row["runs"] == 0:
            return row
        if time.monotonic() >= ends_at:
            _fail(
                f"zone {zone} is evacuated; after {limit_s:g} s: {progress}",
                code=_cli.EXIT_FAILED,
                hint="the order holds; run the command again to go on waiting",
            )
        time.sleep(POLL_INTERVAL_S)
        row = _poll(row)


def _progress(row: Row) -> str:
    if row["runs"] is not None:
        return f"runs left: {row['runs']}"
    if not row["holder"]:
        return "runs not known: no holder is known"
    return f"runs not known to {row['holder']} yet"


def _poll(row: Row) -> Row:
    """Read a zone's row from the holder, else from the server.

    The server knows the next holder when the last one can't be reached.

    :returns: without runs if neither answers
    """
    server = _cli.server()
    port = server.rpartition(":")[2]
    addresses = [server]
    if row["holder"]:
        addresses.insert(0, f"{row['holder']}:{port}")
    for address in addresses:
        try:
            client = _cli.client(address=address, timeout_s=TIMEOUT_S)
            reply = client.call("GET", ZONES_PATH)
        except errors.OutcomeUnknown:
            continue
        if reply.is_ok and isinstance(reply.body, dict):
            for each in reply.body.get("zones", []):
                if each["zone"] == row["zone"] and reply.body["is_confirmed"]:
                    return each
    return {**row, "runs": None, "holder": ""}


def _warn_unless_confirmed(body: Row) -> None:
    if not body.get("is_confirmed"):
        output.print_error(
            "this host reaches no quorum; what it shows may be outdated",
            hint="ask another control host",
        )


def _fail(detail: str, *, code: int, hint: str) -> typing.NoReturn:
    output.print_error(detail, hint=hint)
    raise cappa.Exit(code=code)
