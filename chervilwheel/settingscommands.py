"""Commands of operators: replicated settings, teams and the audit."""

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
        """List the documents in force at this instance."""
        call = _cli.Call(
            "GET", "/v1/settings", None, "documents", {"path": self.path}
        )
        _cli.run(call, as_json=self.json)


@cappa.command(name="set", help="Write a settings document.")
@dataclasses.dataclass
class SettingsSet:
    """Write the document at a path from a file; ``-`` reads input."""

    path: str
    file: str
    base: typing.Annotated[int, cappa.Arg(long=True)] = -1
    change_id: _cli.Text = ""
    json: _cli.Json = False

    def __call__(self) -> None:
        """Change the document, based on the revision seen last."""
        text = _cli.read_input(self.file)
        _change(self.path, text, self.base, self.change_id, self.json)


def _change(
    path: str, text: str | None, base: int, change_id: str, as_json: bool
) -> None:
    client = _cli.client()
    if base < 0:
        seen = client.call("GET", "/v1/settings", query={"path": path})
        if not seen.is_ok:
            _cli.finish(seen, as_json=as_json)
        base = seen.body["revision"]
    change_id = change_id or secrets.token_hex(12)
    print(f"change {change_id}", file=sys.stderr)
    body = {
        "change_id": change_id,
        "base_revision": base,
        "edits": [{"path": path, "text": text}],
    }
    reply = client.call("POST", "/v1/settings", body)
    _cli.finish(reply, as_json=as_json)


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
        """List audit records, oldest first."""
        _show_changes(self.path, self.limit, self.json)


@cappa.command(name="check", help="Check a daemon's settings file.")
@dataclasses.dataclass
class SettingsCheck:
    """Check a daemon's settings file, offline."""

    file: pathlib.Path

    def __call__(self) -> None:
        """Read the file as the daemon would."""
        config.load(self.file)
        print(f"{self.file}: good")


@cappa.command(name="verify", help="Check the hash chain of the audit.")
@dataclasses.dataclass
class AuditVerify:
    """Check the hash chain of the audit trail."""

    limit: typing.Annotated[int, cappa.Arg(long=True)] = 1000

    def __call__(self) -> None:
        """Fetch the newest records and check each against the next."""
        query = {"limit": self.limit}
        reply = _cli.client().call("GET", "/v1/audit", query=query)
        if not reply.is_ok:
            _cli.finish(reply, as_json=True)
        changes = [
            policies.Change(
                **{**row, "status": policies.ChangeStatus(row["status"])}
            )
            for row in reply.body["changes"]
        ]
        policies.verify(changes)
        print(f"{len(changes)} records, unbroken")


@cappa.command(name="tail", help="Show the newest audit records.")
@dataclasses.dataclass
class AuditTail:
    """Show the newest audit records."""

    limit: typing.Annotated[int, cappa.Arg(long=True)] = 20
    json: _cli.Json = False

    def __call__(self) -> None:
        """List audit records, oldest first."""
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
        """List the documents of all teams."""
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
        """List the documents of the team's subtree."""
        query = {"path": f"{policies.TEAMS}/{self.team}"}
        call = _cli.Call("GET", "/v1/settings", None, "documents", query)
        _cli.run(call, as_json=self.json)


@cappa.command(name="set", help="Write a team's policy from a file.")
@dataclasses.dataclass
class TeamSet:
    """Write a team's policy from a file; ``-`` reads input."""

    team: str
    file: str
    json: _cli.Json = False

    def __call__(self) -> None:
        """Change the policy, based on the revision seen last."""
        text = _cli.read_input(self.file)
        path = f"{policies.TEAMS}/{self.team}/policy"
        _change(path, text, -1, "", self.json)
