"""Commands on a keeper's data folder, offline."""

import dataclasses
import pathlib

import cappa

from chervilwheel import _cli
from chervilwheel import disk
from chervilwheel import diskidentity
from chervilwheel import inspection
from chervilwheel import output


@cappa.command(name="found", help="Prepare a founding keeper's folder.")
@dataclasses.dataclass
class DataFound:
    """Prepare the data folder of a new cluster's keeper."""

    folder: pathlib.Path

    def __call__(self) -> None:
        """Write the founding identity."""
        diskidentity.found(self.folder, disk.FileDisk())
        print(f"founded {self.folder}")


@cappa.command(name="inspect", help="Show what a data folder holds.")
@dataclasses.dataclass
class DataInspect:
    """Show what a data folder holds, offline."""

    folder: pathlib.Path
    json: _cli.Json = False

    def __call__(self) -> None:
        """Read all files without changing them."""
        rows = inspection.inspect(self.folder)
        output.show({"files": rows}, as_json=self.json, rows_at="files")


@cappa.command(name="verify", help="Check a data folder's checksums.")
@dataclasses.dataclass
class DataVerify:
    """Check a data folder, offline."""

    folder: pathlib.Path

    def __call__(self) -> None:
        """Fail on the first damage that is not a torn tail."""
        rows = inspection.inspect(self.folder)
        broken = [row for row in rows if row["state"] == "damaged"]
        for row in broken:
            output.complain(f"{row['file']}: damaged")
        if broken:
            raise cappa.Exit(code=_cli.EXIT_FAILED)
        print(f"{len(rows)} files, good")
