"""Identifier types, submission ids and their home zones."""

import hashlib
import re
import secrets
import typing

ChangeId = typing.NewType("ChangeId", str)
EndpointId = typing.NewType("EndpointId", str)
InstanceId = typing.NewType("InstanceId", str)
JobId = typing.NewType("JobId", str)
ServiceId = typing.NewType("ServiceId", str)
TeamId = typing.NewType("TeamId", str)
ZoneId = typing.NewType("ZoneId", str)

BARE_KEY_PREFIX = "key"
MAX_NAME_CHARS = 64
MAX_KEY_CHARS = 128
RANDOM_BYTES = 10
TIME_DIGITS = 12

NAME = re.compile(r"^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$")
KEY = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
_MINTED = re.compile(r"^([a-z0-9-]{1,64})\.([0-9a-f]{12})([0-9a-f]{20})$")


class MintedId(typing.NamedTuple):
    """The home zone and creation time of a minted submission id."""

    zone: ZoneId
    minted_ms: int


def mint(*, zone: ZoneId, wall_s: float) -> JobId:
    """Create a time-ordered submission id with a home zone.

    :param zone: the home zone
    :param wall_s: current wall time, seconds since the epoch
    """
    stamp = int(wall_s * 1000)
    random_part = secrets.token_hex(RANDOM_BYTES)
    return JobId(f"{zone}.{stamp:0{TIME_DIGITS}x}{random_part}")


def parse_minted(text: str) -> MintedId | None:
    """Parse a minted submission id.

    :returns: its parts, or None when the text is not a minted id
    """
    found = _MINTED.match(text)
    if found is None:
        return None
    return MintedId(ZoneId(found.group(1)), int(found.group(2), 16))


def bare_key_job_id(*, team: TeamId, key: str) -> JobId:
    """Return the job id for an idempotency key that is not a minted id."""
    return JobId(f"{BARE_KEY_PREFIX}:{team}:{key}")


def home_zone(job: JobId, *, zones: typing.Sequence[ZoneId]) -> ZoneId | None:
    """Return the zone whose ledger owns a submission.

    A minted id contains its home zone; a bare key is mapped to one of the
    zones by rendezvous hashing.

    :param zones: every availability zone of the deployment
    :returns: the zone, or None if the id contains an unknown zone or
        ``zones`` is empty
    """
    minted = parse_minted(job)
    if minted is not None:
        return minted.zone if minted.zone in zones else None
    if not zones:
        return None
    return rendezvous(job, list(zones))


def rendezvous(key: str, nodes: typing.Sequence[typing.Any]) -> typing.Any:
    """Choose a node by rendezvous (highest random weight) hashing.

    :param nodes: names of the candidates, at least one
    """
    return max(nodes, key=lambda node: (_weight(key, node), node))


def _weight(key: str, node: str) -> bytes:
    text = f"{key}\x00{node}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
