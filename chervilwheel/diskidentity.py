"""The identity of a data folder, which distinguishes one disk from another."""

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

    Run once for each founding keeper. Don't run it for a keeper whose
    folder was lost: that keeper starts with an empty folder and joins as
    a learner.

    :raises errors.StorageError: when the folder is not empty
    """
    if store.names(folder):
        raise errors.StorageError(f"{folder}: the folder is not empty")
    write_identity(folder, store, FOUNDING_DISK)


def write_identity(
    folder: pathlib.Path, store: disk.Disk, disk_id: str
) -> None:
    """Write the identity file of a data folder."""
    text = f'disk = "{disk_id}"\nformat_version = {journal.FORMAT_VERSION}\n'
    store.replace(folder / IDENTITY_NAME, text.encode())


def disk_identity(folder: pathlib.Path, store: disk.Disk) -> str:
    """Return the identity of a data folder; an empty one gets a new one.

    :raises errors.StorageError: when the folder has data but no identity
    """
    names = store.names(folder)
    if IDENTITY_NAME in names:
        text = store.read(folder / IDENTITY_NAME).decode()
        return str(tomllib.loads(text)["disk"])
    if names:
        raise errors.StorageError(f"{folder}: {IDENTITY_NAME} is missing")
    new_id = secrets.token_hex(8)
    write_identity(folder, store, new_id)
    _LOG.warning(
        "keeper: an empty disk joins as a learner", extra={"disk": new_id}
    )
    return new_id
