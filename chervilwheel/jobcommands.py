"""Commands of callers: submission ids and jobs."""

import dataclasses
import json
import sys
import typing

import cappa

from chervilwheel import _cli
from chervilwheel import apiclient
from chervilwheel import errors
from chervilwheel import output

SUBMIT_TRIES = 3


@cappa.command(name="mint", help="Mint a submission id.")
@dataclasses.dataclass
class SubmissionMint:
    """Mint a submission id."""

    json: _cli.Json = False

    def __call__(self) -> None:
        """Ask an instance for an id homed in its zone."""
        _cli.run(_cli.Call("POST", "/v1/submissions", {}), as_json=self.json)


@cappa.command(name="submit", help="Submit a job and wait for its answer.")
@dataclasses.dataclass
class JobSubmit:
    """Submit the job that a JSON file describes; ``-`` reads input."""

    file: str
    id: typing.Annotated[str, cappa.Arg(long=True, default="")] = ""
    json: _cli.Json = False

    def __call__(self) -> None:
        """Mint an id unless one is given; repeat errors under it."""
        text = _cli.read_input(self.file)
        client = _cli.client()
        key = self.id
        if not key:
            minted = client.call("POST", "/v1/submissions", {})
            if not minted.is_ok:
                _cli.finish(minted, as_json=self.json)
            key = minted.body["submission"]
        print(f"submission {key}: waiting", file=sys.stderr)
        reply = _submit(client, json.loads(text), key)
        _cli.finish(reply, as_json=self.json)


def _submit(
    client: apiclient.ApiClient, body: typing.Any, key: str
) -> apiclient.Reply:
    for turn in range(SUBMIT_TRIES):
        try:
            return client.call("POST", "/v1/jobs", body, key=key)
        except errors.OutcomeUnknown as exc:
            if turn + 1 == SUBMIT_TRIES:
                raise
            output.complain(exc.detail, hint=f"repeating under {key}")
    raise errors.OutcomeUnknown(key)


@cappa.command(name="show", help="Show a job, without waiting.")
@dataclasses.dataclass
class JobShow:
    """Show a job."""

    id: str
    json: _cli.Json = False

    def __call__(self) -> None:
        """Fetch the job's answer or state."""
        path = f"/v1/jobs/{apiclient.quote(self.id)}"
        _cli.run(_cli.Call("GET", path), as_json=self.json)


@cappa.command(name="wait", help="Wait for a job's answer.")
@dataclasses.dataclass
class JobWait:
    """Wait for a job's answer."""

    id: str
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 60.0
    json: _cli.Json = False

    def __call__(self) -> None:
        """Wait for the job to finish."""
        path = f"/v1/jobs/{apiclient.quote(self.id)}"
        query = {"wait_ms": int(self.seconds * 1000)}
        print(f"submission {self.id}: waiting", file=sys.stderr)
        _cli.run(_cli.Call("GET", path, query=query), as_json=self.json)


@cappa.command(name="cancel", help="Cancel what is not started of a job.")
@dataclasses.dataclass
class JobCancel:
    """Cancel a job."""

    id: str
    json: _cli.Json = False

    def __call__(self) -> None:
        """Forbid further starts."""
        path = f"/v1/jobs/{apiclient.quote(self.id)}/cancel"
        _cli.run(_cli.Call("POST", path, {}), as_json=self.json)
