"""Commands on logs, offline."""

import dataclasses
import json as jsons
import pathlib

import cappa

from chervilwheel import _cli
from chervilwheel import explanation
from chervilwheel import output


@cappa.command(name="explain", help="Tell a request's story from logs.")
@dataclasses.dataclass
class Explain:
    """Put what several processes logged about a request in order."""

    request: str
    files: list[pathlib.Path]
    json: _cli.Json = False

    def __call__(self) -> None:
        """Print the lines; fail when no file names the request."""
        told = explanation.explain(self.request, self.files)
        if told.unreadable:
            output.complain(f"{told.unreadable} lines can't be read")
        if not told.rows:
            output.complain(f"{self.request}: in none of the files")
            raise cappa.Exit(code=_cli.EXIT_FAILED)
        rows = told.rows
        if not self.json:
            rows = [
                {**row, "fields": jsons.dumps(row["fields"])} for row in rows
            ]
        output.show({"rows": rows}, as_json=self.json, rows_at="rows")
