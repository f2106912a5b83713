"""The identity of a data folder, which tells one disk from the next."""

import logging
import pathlib
import secrets
import tomllib

from chervilwheel import disk
from chervilwheel import errors
from chervilwheel import journal

_LOG = logging.getLogger("keeper")
IDENTITY_NAME = "identity.toml"
FOUNDING_DISK = "founding"


def found(folder: pathlib.Path, store: disk.Disk) -> None:
    """Prepare a data folder for a keeper of a new cluster.

    Done once for each founding keeper. A folder that was lost is never
    founded again: its keeper starts with an empty one and is taken in.

    :raises errors.StorageError: when the folder is not empty
    """
    if store.names(folder):
        raise errors.StorageError(f"{folder}: the folder is not empty")
    write_identity(folder, store, FOUNDING_DISK)


def write_identity(
    folder: pathlib.Path, store: disk.Disk, disk_id: str
) -> None:
    """Give a data folder an identity."""
    text = f'disk = "{disk_id}"\nformat_version = {journal.FORMAT_VERSION}\n'
    store.replace(folder / IDENTITY_NAME, text.encode())


def disk_identity(folder: pathlib.Path, store: disk.Disk) -> str:
    """Read the identity of a data folder, or give it a new one.

    :raises errors.StorageError: when the folder has data but no identity
    """
    names = store.names(folder)
    if IDENTITY_NAME in names:
        text = store.read(folder / IDENTITY_NAME).decode()
        return str(tomllib.loads(text)["disk"])
    if names:
        raise errors.StorageError(f"{folder}: {IDENTITY_NAME} is missing")
    fresh = secrets.token_hex(8)
    write_identity(folder, store, fresh)
    _LOG.warning(
        "keeper: an empty disk joins as a learner", extra={"disk": fresh}
    )
    return fresh
