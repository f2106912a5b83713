"""Commands for callers: submission ids and jobs."""

import dataclasses
import json
import sys
import typing

import cappa

from chervilwheel import _cli
from chervilwheel import apiclient
from chervilwheel import errors
from chervilwheel import output

MAX_SUBMIT_ATTEMPTS = 3


@cappa.command(name="mint", help="Create a submission id.")
@dataclasses.dataclass
class SubmissionMint:
    """Create a submission id."""

    json: _cli.Json = False

    def __call__(self) -> None:
        """Request an id whose home zone is the zone of the instance."""
        _cli.run(_cli.Call("POST", "/v1/submissions", {}), as_json=self.json)


@cappa.command(name="submit", help="Submit a job and wait for its result.")
@dataclasses.dataclass
class JobSubmit:
    """Submit a job from a JSON file; ``-`` reads standard input."""

    file: str
    id: typing.Annotated[str, cappa.Arg(long=True, default="")] = ""
    json: _cli.Json = False

    def __call__(self) -> None:
        """Submit under the given or a new id, and retry with that id."""
        text = _cli.read_input(self.file)
        client = _cli.client()
        key = self.id
        if not key:
            creation = client.call("POST", "/v1/submissions", {})
            if not creation.is_ok:
                _cli.show_reply(creation, as_json=self.json)
            key = creation.body["submission"]
        print(f"submission {key}: waiting", file=sys.stderr)
        reply = _submit(client, json.loads(text), key)
        _cli.show_reply(reply, as_json=self.json)


def _submit(
    client: apiclient.ApiClient, body: typing.Any, key: str
) -> apiclient.Reply:
    for attempt in range(MAX_SUBMIT_ATTEMPTS):
        try:
            return client.call("POST", "/v1/jobs", body, key=key)
        except errors.OutcomeUnknown as exc:
            if attempt + 1 == MAX_SUBMIT_ATTEMPTS:
                raise
            output.print_error(
                exc.detail, hint=f"retrying with submission id {key}"
            )
    raise errors.OutcomeUnknown(key)


@cappa.command(name="show", help="Show a job without waiting for it.")
@dataclasses.dataclass
class JobShow:
    """Show a job."""

    id: str
    json: _cli.Json = False

    def __call__(self) -> None:
        """Print the job's result or its state."""
        path = f"/v1/jobs/{apiclient.quote(self.id)}"
        _cli.run(_cli.Call("GET", path), as_json=self.json)


@cappa.command(name="wait", help="Wait for a job's result.")
@dataclasses.dataclass
class JobWait:
    """Wait for a job's result."""

    id: str
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 60.0
    json: _cli.Json = False

    def __call__(self) -> None:
        """Print the job's result, or its state after the timeout."""
        path = f"/v1/jobs/{apiclient.quote(self.id)}"
        query = {"wait_ms": int(self.seconds * 1000)}
        print(f"submission {self.id}: waiting", file=sys.stderr)
        _cli.run(_cli.Call("GET", path, query=query), as_json=self.json)


@cappa.command(
    name="cancel", help="Cancel the tasks of a job that are not started."
)
@dataclasses.dataclass
class JobCancel:
    """Cancel a job."""

    id: str
    json: _cli.Json = False

    def __call__(self) -> None:
        """Prevent the job's remaining tasks from starting."""
        path = f"/v1/jobs/{apiclient.quote(self.id)}/cancel"
        _cli.run(_cli.Call("POST", path, {}), as_json=self.json)
