"""The messages between instances and their codec."""

import typing

from chervilwheel import codec
from chervilwheel import ids
from chervilwheel import replica


class Challenge(typing.NamedTuple):
    """The acceptor's first message on a link."""

    nonce: bytes


class Hello(typing.NamedTuple):
    """The connector proves that it knows the cluster key."""

    instance: ids.InstanceId
    nonce: bytes
    proof: bytes


class Welcome(typing.NamedTuple):
    """The acceptor proves the same."""

    instance: ids.InstanceId
    proof: bytes


class Heartbeat(typing.NamedTuple):
    """Shows that a link still carries bytes both ways."""

    sequence: int
    is_reply: bool


class GroupStatus(typing.NamedTuple):
    """Reserved names of :attr:`GroupReply.status`."""

    ok: str = "ok"
    not_leader: str = "not_leader"
    unknown: str = "unknown"
    finished: str = "finished"


STATUS = GroupStatus()


class GroupRequest(typing.NamedTuple):
    """Commands for the state machine of a replica group."""

    number: int
    group: str
    commands: tuple[bytes, ...]


class GroupReply(typing.NamedTuple):
    """Answer to a group request: a result for each command if ok."""

    number: int
    group: str
    status: str
    leader: ids.InstanceId
    results: tuple[bytes, ...]


class WatchRequest(typing.NamedTuple):
    """Ask to be told when a submission finishes."""

    number: int
    group: str
    job: ids.JobId


class SettingsPull(typing.NamedTuple):
    """Ask for what changed after a revision; the digest covers it."""

    revision: int
    digest: bytes


class Document(typing.NamedTuple):
    """One settings document; ``revision`` is of its last change."""

    path: str
    text: str
    revision: int
    is_deleted: bool


class SettingsPush(typing.NamedTuple):
    """Documents up to a revision; all of them when ``is_whole``."""

    revision: int
    is_whole: bool
    documents: tuple[Document, ...]
    digest: bytes


class Announcement(typing.NamedTuple):
    """An endpoint's announcement, ``age_s`` seconds old."""

    endpoint: ids.EndpointId
    service: ids.ServiceId
    zone: ids.ZoneId
    host: str
    port: int
    slots: int
    connections: int
    kind: str
    rack: str
    processors: float
    memory_mb: int
    accelerators: int
    busy: int
    version: int
    lease_s: float
    is_leaving: bool
    age_s: float


class EndpointNews(typing.NamedTuple):
    """Announcements that an instance took from endpoints."""

    announcements: tuple[Announcement, ...]


class Want(typing.NamedTuple):
    """How many alike tasks wait, and when the first is given up."""

    team: ids.TeamId
    urgency: str
    count: int
    deadline_in_s: float


class Hold(typing.NamedTuple):
    """Slots of an endpoint: held in a full report, else given back."""

    endpoint: ids.EndpointId
    count: int


class SlotReport(typing.NamedTuple):
    """What an instance wants of a pool and holds of it.

    ``epoch`` names the instance's run, ``sequence`` counts its reports
    and ``seen_grant`` is the last message of grants it has taken in.
    """

    service: ids.ServiceId
    zone: ids.ZoneId
    epoch: str
    sequence: int
    seen_grant: int
    is_full: bool
    wants: tuple[Want, ...]
    holds: tuple[Hold, ...]
    suspects: tuple[ids.EndpointId, ...]


class SlotGrant(typing.NamedTuple):
    """Slots of one endpoint for alike tasks."""

    team: ids.TeamId
    urgency: str
    endpoint: ids.EndpointId
    count: int


class SlotGrants(typing.NamedTuple):
    """A pool owner's answer to reports."""

    service: ids.ServiceId
    zone: ids.ZoneId
    epoch: str
    number: int
    seen_report: int
    grants: tuple[SlotGrant, ...]
    free: int
    waiting: int
    needs_full: bool


REPLICA_KINDS = (
    replica.VoteRequest,
    replica.VoteReply,
    replica.AppendRequest,
    replica.AppendReply,
    replica.SnapshotChunk,
    replica.JoinRequest,
    replica.Campaign,
)

CODEC = codec.Codec(
    schema="peer.capnp",
    root="Peer",
    kinds=[
        *REPLICA_KINDS,
        Challenge,
        Hello,
        Welcome,
        Heartbeat,
        GroupRequest,
        GroupReply,
        WatchRequest,
        SettingsPull,
        SettingsPush,
        EndpointNews,
        SlotReport,
        SlotGrants,
    ],
)
