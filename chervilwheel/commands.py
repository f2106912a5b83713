"""The operators' and callers' command line."""

import dataclasses
import pathlib
import sys

import cappa

from chervilwheel import disk
from chervilwheel import errors
from chervilwheel import keeper

EXIT_FAILED = 1


@cappa.command(name="found", help="Prepare the data folder of a keeper.")
@dataclasses.dataclass
class DataFound:
    """Prepare the data folder of a new cluster's keeper."""

    folder: pathlib.Path

    def __call__(self) -> None:
        """Write the founding identity."""
        keeper.found(self.folder, disk.FileDisk())
        print(f"founded {self.folder}")


@cappa.command(name="data", help="Data folders of keepers, offline.")
@dataclasses.dataclass
class Data:
    """Data folders of keepers, offline."""

    action: cappa.Subcommands[DataFound]


@cappa.command(name="chervilwheel")
@dataclasses.dataclass
class Chervilwheel:
    """Drive a chervilwheel cluster."""

    command: cappa.Subcommands[Data]


def main() -> None:
    """Run one command."""
    try:
        cappa.invoke(Chervilwheel)
    except errors.ChervilwheelError as exc:
        print(f"chervilwheel: {exc.detail}", file=sys.stderr)
        raise SystemExit(EXIT_FAILED) from exc


if __name__ == "__main__":
    main()
