"""The identity of a control host's disk and the founding of the group."""

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
    """The identity of a disk.

    :ivar founders: the group's first voters, on a founding disk only
    """

    disk: str
    founders: tuple[str, ...]


def load_or_create_identity(
    folder: pathlib.Path,
    store: disk.Disk,
    *,
    is_founding: bool,
    me: str,
    seeds: typing.Sequence[str],
) -> Identity:
    """Read the identity of a data folder, or create one.

    At the first start of the system, the seeds become the founders. A host
    that starts later with an empty disk joins the group as a new member.

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
        "founding: disk identity created",
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
    """Open the journal of a replica and restore its state.

    A journal with damaged synced bytes is deleted and the disk gets a new
    identity, so that votes and acknowledgements of the lost journal no
    longer count.

    :raises errors.StorageError: when the disk fails
    """
    member = replica.Member(me, identity.disk)
    replica_journal = _new_journal(folder, store, group, identity.disk)
    try:
        restored = replica_journal.open()
    except (errors.CorruptData, errors.ProtocolError) as exc:
        _LOG.error(
            "founding: journal damaged, creating a new disk identity",
            extra={"error": exc.detail},
        )
        return _reset_disk(folder, store, group, me)
    if identity.founders and not restored.snapshot.config.voters:
        voters = tuple(
            replica.Member(ids.InstanceId(name), diskidentity.FOUNDING_DISK)
            for name in identity.founders
        )
        first = replica.Snapshot(0, 0, replica.GroupConfig(voters), b"")
        restored = restored._replace(snapshot=first)
    return replica_journal, restored, member


def _new_journal(
    folder: pathlib.Path, store: disk.Disk, group: str, disk_id: str
) -> journal.Journal:
    return journal.Journal(
        store=store, folder=folder / group, group=group, disk_id=disk_id
    )


def _reset_disk(
    folder: pathlib.Path,
    store: disk.Disk,
    group: str,
    me: ids.InstanceId,
) -> tuple[journal.Journal, replica.Restored, replica.Member]:
    for name in store.names(folder / group):
        store.remove(folder / group / name)
    store.remove(folder / diskidentity.IDENTITY_NAME)
    identity = load_or_create_identity(
        folder, store, is_founding=False, me=me, seeds=()
    )
    replica_journal = _new_journal(folder, store, group, identity.disk)
    return (
        replica_journal,
        replica_journal.open(),
        replica.Member(me, identity.disk),
    )
