"""Commands for operators: replicated settings, teams and the audit trail."""

import dataclasses
import pathlib
import secrets
import sys
import typing

import cappa

from chervilwheel import _cli
from chervilwheel import config
from chervilwheel import policies


@cappa.command(name="get", help="Show settings documents under a path.")
@dataclasses.dataclass
class SettingsGet:
    """Show settings."""

    path: typing.Annotated[str, cappa.Arg(default="")] = ""
    json: _cli.Json = False

    def __call__(self) -> None:
        """Print the documents that the instance currently applies."""
        call = _cli.Call(
            "GET", "/v1/settings", None, "documents", {"path": self.path}
        )
        _cli.run(call, as_json=self.json)


@cappa.command(name="set", help="Write a settings document.")
@dataclasses.dataclass
class SettingsSet:
    """Write the document at a path; file ``-`` reads standard input."""

    path: str
    file: str
    base: typing.Annotated[int, cappa.Arg(long=True)] = -1
    change_id: _cli.Text = ""
    json: _cli.Json = False

    def __call__(self) -> None:
        """Write the document, based on ``base`` or the current revision."""
        text = _cli.read_input(self.file)
        _change(self.path, text, self.base, self.change_id, self.json)


def _change(
    path: str, text: str | None, base: int, change_id: str, as_json: bool
) -> None:
    client = _cli.client()
    if base < 0:
        current = client.call("GET", "/v1/settings", query={"path": path})
        if not current.is_ok:
            _cli.show_reply(current, as_json=as_json)
        base = current.body["revision"]
    change_id = change_id or secrets.token_hex(12)
    print(f"change {change_id}", file=sys.stderr)
    body = {
        "change_id": change_id,
        "base_revision": base,
        "edits": [{"path": path, "text": text}],
    }
    reply = client.call("POST", "/v1/settings", body)
    _cli.show_reply(reply, as_json=as_json)


@cappa.command(name="delete", help="Delete a settings document.")
@dataclasses.dataclass
class SettingsDelete:
    """Delete a settings document."""

    path: str
    base: typing.Annotated[int, cappa.Arg(long=True)] = -1
    change_id: _cli.Text = ""
    json: _cli.Json = False

    def __call__(self) -> None:
        """Delete the document."""
        _change(self.path, None, self.base, self.change_id, self.json)


@cappa.command(name="history", help="Show the changes under a path.")
@dataclasses.dataclass
class SettingsHistory:
    """Show the changes under a path."""

    path: typing.Annotated[str, cappa.Arg(default="")] = ""
    limit: typing.Annotated[int, cappa.Arg(long=True)] = 100
    json: _cli.Json = False

    def __call__(self) -> None:
        """Print audit records, oldest first."""
        _show_changes(self.path, self.limit, self.json)


@cappa.command(name="check", help="Validate a daemon's settings file.")
@dataclasses.dataclass
class SettingsCheck:
    """Validate a daemon's settings file without contacting an instance."""

    file: pathlib.Path

    def __call__(self) -> None:
        """Load the file with the daemon's own validation."""
        config.load(self.file)
        print(f"{self.file}: valid")


@cappa.command(name="verify", help="Verify the hash chain of the audit trail.")
@dataclasses.dataclass
class AuditVerify:
    """Verify the hash chain of the audit trail."""

    limit: typing.Annotated[int, cappa.Arg(long=True)] = 1000

    def __call__(self) -> None:
        """Fetch the newest records and verify the chain of their hashes."""
        query = {"limit": self.limit}
        reply = _cli.client().call("GET", "/v1/audit", query=query)
        if not reply.is_ok:
            _cli.show_reply(reply, as_json=True)
        changes = [
            policies.Change(
                **{**row, "status": policies.ChangeStatus(row["status"])}
            )
            for row in reply.body["changes"]
        ]
        policies.verify(changes)
        print(f"{len(changes)} records, hash chain intact")


@cappa.command(name="tail", help="Show the newest audit records.")
@dataclasses.dataclass
class AuditTail:
    """Show the newest audit records."""

    limit: typing.Annotated[int, cappa.Arg(long=True)] = 20
    json: _cli.Json = False

    def __call__(self) -> None:
        """Print audit records, oldest first."""
        _show_changes("", self.limit, self.json)


def _show_changes(path: str, limit: int, as_json: bool) -> None:
    query = {"path": path, "limit": limit}
    call = _cli.Call("GET", "/v1/audit", None, "changes", query)
    _cli.run(call, as_json=as_json)


@cappa.command(name="list", help="List the teams that have documents.")
@dataclasses.dataclass
class TeamList:
    """List teams."""

    json: _cli.Json = False

    def __call__(self) -> None:
        """Print the documents of all teams."""
        call = _cli.Call(
            "GET",
            "/v1/settings",
            None,
            "documents",
            {"path": policies.TEAMS},
        )
        _cli.run(call, as_json=self.json)


@cappa.command(name="show", help="Show a team's documents.")
@dataclasses.dataclass
class TeamShow:
    """Show a team's documents."""

    team: str
    json: _cli.Json = False

    def __call__(self) -> None:
        """Print the documents of the team's subtree."""
        query = {"path": f"{policies.TEAMS}/{self.team}"}
        call = _cli.Call("GET", "/v1/settings", None, "documents", query)
        _cli.run(call, as_json=self.json)


@cappa.command(name="set", help="Write a team's policy from a file.")
@dataclasses.dataclass
class TeamSet:
    """Write a team's policy from a file; ``-`` reads standard input."""

    team: str
    file: str
    json: _cli.Json = False

    def __call__(self) -> None:
        """Write the policy, based on the current revision."""
        text = _cli.read_input(self.file)
        path = f"{policies.TEAMS}/{self.team}/policy"
        _change(path, text, -1, "", self.json)
