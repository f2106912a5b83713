"""The disk of a control host: its identity, and who founded the group."""

import logging
import pathlib
import secrets
import tomllib
import typing

from chervilwheel import disk
from chervilwheel import diskidentity
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import journal
from chervilwheel import replica

_LOG = logging.getLogger("founding")


class Identity(typing.NamedTuple):
    """Which disk this is; ``founders`` stand on a founding disk only."""

    disk: str
    founders: tuple[str, ...]


def identify(
    folder: pathlib.Path,
    store: disk.Disk,
    *,
    is_founding: bool,
    me: str,
    seeds: typing.Sequence[str],
) -> Identity:
    """Read the identity of a data folder, or give it one.

    The first start of the system makes the seeds founders; an empty disk
    at any other start joins as a new one.

    :raises errors.StorageError: when the disk fails
    """
    names = store.names(folder)
    if diskidentity.IDENTITY_NAME in names:
        text = store.read(folder / diskidentity.IDENTITY_NAME).decode()
        table = tomllib.loads(text)
        return Identity(
            str(table["disk"]), tuple(map(str, table.get("founders", [])))
        )
    if is_founding and me in seeds:
        identity = Identity(diskidentity.FOUNDING_DISK, tuple(seeds))
    else:
        identity = Identity(secrets.token_hex(8), ())
    quoted = ", ".join(f'"{each}"' for each in identity.founders)
    text = (
        f'disk = "{identity.disk}"\n'
        f"founders = [{quoted}]\n"
        f"format_version = {journal.FORMAT_VERSION}\n"
    )
    store.replace(folder / diskidentity.IDENTITY_NAME, text.encode())
    _LOG.info(
        "founding: a disk got its identity",
        extra={"disk": identity.disk, "founders": identity.founders},
    )
    return identity


def open_replica(
    *,
    folder: pathlib.Path,
    store: disk.Disk,
    identity: Identity,
    group: str,
    me: ids.InstanceId,
) -> tuple[journal.Journal, replica.Restored, replica.Member]:
    """Open the journal of a replica and read it back.

    A journal whose synced bytes are damaged is set aside: the disk gets a
    new identity, so that what it promised before counts no more.

    :raises errors.StorageError: when the disk fails
    """
    member = replica.Member(me, identity.disk)
    book = _journal(folder, store, group, identity.disk)
    try:
        restored = book.open()
    except (errors.CorruptData, errors.ProtocolError) as exc:
        _LOG.error(
            "founding: a journal was damaged", extra={"error": exc.detail}
        )
        return _start_anew(folder, store, group, me)
    if identity.founders and not restored.snapshot.config.voters:
        voters = tuple(
            replica.Member(ids.InstanceId(name), diskidentity.FOUNDING_DISK)
            for name in identity.founders
        )
        first = replica.Snapshot(0, 0, replica.GroupConfig(voters), b"")
        restored = restored._replace(snapshot=first)
    return book, restored, member


def _journal(
    folder: pathlib.Path, store: disk.Disk, group: str, disk_id: str
) -> journal.Journal:
    return journal.Journal(
        store=store, folder=folder / group, group=group, disk_id=disk_id
    )


def _start_anew(
    folder: pathlib.Path,
    store: disk.Disk,
    group: str,
    me: ids.InstanceId,
) -> tuple[journal.Journal, replica.Restored, replica.Member]:
    for name in store.names(folder / group):
        store.remove(folder / group / name)
    store.remove(folder / diskidentity.IDENTITY_NAME)
    identity = identify(folder, store, is_founding=False, me=me, seeds=())
    book = _journal(folder, store, group, identity.disk)
    return book, book.open(), replica.Member(me, identity.disk)
