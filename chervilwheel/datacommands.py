"""Offline commands for a keeper's data folder."""

import dataclasses
import pathlib

import cappa

from chervilwheel import _cli
from chervilwheel import disk
from chervilwheel import diskidentity
from chervilwheel import inspection
from chervilwheel import output


@cappa.command(
    name="found", help="Prepare the data folder of a new cluster's keeper."
)
@dataclasses.dataclass
class DataFound:
    """Prepare the data folder of a new cluster's keeper."""

    folder: pathlib.Path

    def __call__(self) -> None:
        """Write the identity file of a founding keeper."""
        diskidentity.found(self.folder, disk.FileDisk())
        print(f"founded {self.folder}")


@cappa.command(name="inspect", help="List the files of a data folder.")
@dataclasses.dataclass
class DataInspect:
    """List the files of a data folder, with their sizes and states."""

    folder: pathlib.Path
    json: _cli.Json = False

    def __call__(self) -> None:
        """Print one row per file, without changing any."""
        rows = inspection.inspect(self.folder)
        output.show({"files": rows}, as_json=self.json, rows_key="files")


@cappa.command(name="verify", help="Check a data folder's checksums.")
@dataclasses.dataclass
class DataVerify:
    """Check the checksums of a data folder's files."""

    folder: pathlib.Path

    def __call__(self) -> None:
        """Report all damaged files and fail; a torn tail is no damage."""
        rows = inspection.inspect(self.folder)
        broken = [row for row in rows if row["state"] == "damaged"]
        for row in broken:
            output.print_error(f"{row['file']}: damaged")
        if broken:
            raise cappa.Exit(code=_cli.EXIT_FAILED)
        print(f"{len(rows)} files, good")
