"""Commands that read log files, without contacting an instance."""

import dataclasses
import json as json_module
import pathlib
import typing

import cappa

from chervilwheel import _cli
from chervilwheel import explanation
from chervilwheel import lossreport
from chervilwheel import output


@cappa.command(name="explain", help="Show the log records about a request.")
@dataclasses.dataclass
class Explain:
    """Show the log records about a request, ordered by time."""

    request: str
    files: list[pathlib.Path]
    json: _cli.Json = False

    def __call__(self) -> None:
        """Print the records; fail when no file mentions the request."""
        result = explanation.explain(self.request, self.files)
        if result.unreadable:
            output.print_error(
                f"{result.unreadable} lines could not be parsed"
            )
        if not result.rows:
            output.print_error(f"{self.request}: not found in the log files")
            raise cappa.Exit(code=_cli.EXIT_FAILED)
        rows = result.rows
        if not self.json:
            rows = [
                {**row, "fields": json_module.dumps(row["fields"])}
                for row in rows
            ]
        output.show({"rows": rows}, as_json=self.json, rows_key="rows")


@cappa.command(name="losses", help="Show which jobs were lost, and why.")
@dataclasses.dataclass
class Losses:
    """Show which jobs were refused, lost or late, by cause and queue.

    Give the logs of all entry hosts and control hosts. Jobs whose entry host
    was killed or cut off leave no record.
    """

    files: list[pathlib.Path]
    by_second: typing.Annotated[bool, cappa.Arg(long=True)] = False
    plot: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="draw them by second into a file"),
    ] = None
    json: _cli.Json = False

    def __call__(self) -> None:
        """Print the losses, and draw them if a file for it is given."""
        result = lossreport.report(self.files)
        if result.unreadable:
            output.print_error(
                f"{result.unreadable} lines could not be parsed"
            )
        rows = result.rows(by_second=self.by_second)
        output.show(
            {"rows": [row._asdict() for row in rows]},
            as_json=self.json,
            rows_key="rows",
        )
        if self.plot is not None:
            lossreport.plot(result.losses, self.plot)
