"""Offline, read-only inspection of a keeper's data folder."""

import pathlib
import typing

from chervilwheel import diskidentity
from chervilwheel import errors
from chervilwheel import journal


def inspect(folder: pathlib.Path) -> list[dict[str, typing.Any]]:
    """Describe every file of a data folder.

    :returns: for each file its name, size in bytes, number of records and
        state: good, torn (the last write is incomplete) or damaged
    :raises errors.StorageError: when the folder does not exist
    """
    if not folder.is_dir():
        raise errors.StorageError(f"{folder}: not a folder")
    rows = []
    for path in sorted(folder.rglob("*")):
        if path.is_file():
            rows.append(_describe(path, folder))
    return rows


def _describe(
    path: pathlib.Path, folder: pathlib.Path
) -> dict[str, typing.Any]:
    name = str(path.relative_to(folder))
    data = path.read_bytes()
    row = {"file": name, "bytes": len(data), "records": 0, "state": "good"}
    if path.name == diskidentity.IDENTITY_NAME:
        return row
    try:
        frames = journal.read_frames(data, name=name)
    except errors.ChervilwheelError:
        return {**row, "state": "damaged"}
    row["records"] = len(frames.records)
    if frames.good_bytes < len(data):
        row["state"] = "torn"
    return row
