"""The messages between instances and their codec."""

import enum
import typing

from chervilwheel import codec
from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import replica
from chervilwheel.workers import work


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


class Renewal(typing.NamedTuple):
    """An announcement that changes nothing but what it names."""

    endpoint: ids.EndpointId
    version: int
    busy: int


class EndpointNews(typing.NamedTuple):
    """Announcements that an instance took from endpoints."""

    announcements: tuple[Announcement, ...]
    renewals: tuple[Renewal, ...]


class Want(typing.NamedTuple):
    """How many alike tasks wait, and when the first is given up.

    ``avoid`` is an endpoint that earlier attempts failed on, or empty.
    """

    service: ids.ServiceId
    team: ids.TeamId
    urgency: jobs.Urgency
    avoid: ids.EndpointId
    count: int
    deadline_in_s: float


class Hold(typing.NamedTuple):
    """How many slots of an endpoint an instance holds for a team."""

    endpoint: ids.EndpointId
    team: ids.TeamId
    urgency: jobs.Urgency
    count: int


class Release(typing.NamedTuple):
    """Slots given back, and how their uses went.

    ``slow`` counts uses that are much slower than their like, whether
    they have ended or not.
    """

    endpoint: ids.EndpointId
    team: ids.TeamId
    urgency: jobs.Urgency
    count: int
    good: int
    bad: int
    slow: int


class SlotReport(typing.NamedTuple):
    """What an instance wants of a zone's slots and what it gives back.

    ``epoch`` names the sender's view of the owner, ``sequence`` counts
    its reports in it and ``seen_grant`` is the last message of grants it
    has taken in. Only a full report lists all that is held.
    """

    zone: ids.ZoneId
    epoch: str
    sequence: int
    seen_grant: int
    is_full: bool
    wants: tuple[Want, ...]
    holds: tuple[Hold, ...]
    releases: tuple[Release, ...]


class SlotGrant(typing.NamedTuple):
    """Slots of one endpoint for alike tasks."""

    service: ids.ServiceId
    team: ids.TeamId
    urgency: jobs.Urgency
    avoid: ids.EndpointId
    endpoint: ids.EndpointId
    host: str
    port: int
    count: int


class SlotGrants(typing.NamedTuple):
    """An owner's answer to reports; it may ask for a full one."""

    zone: ids.ZoneId
    epoch: str
    number: int
    needs_full: bool
    grants: tuple[SlotGrant, ...]


class ServiceLoad(typing.NamedTuple):
    """Slots of a service in a zone, and tasks that wait for them."""

    service: ids.ServiceId
    slots: int
    free: int
    waiting: int


class TeamLoad(typing.NamedTuple):
    """Tasks of a team that wait in a zone."""

    team: ids.TeamId
    waiting: int
    is_over_quota: bool


class ZoneLoad(typing.NamedTuple):
    """What a zone's slot owner tells all instances now and then."""

    zone: ids.ZoneId
    services: tuple[ServiceLoad, ...]
    teams: tuple[TeamLoad, ...]


class CancelJob(typing.NamedTuple):
    """Tell a submission's runner that it was cancelled."""

    job: ids.JobId


class MemberState(enum.Enum):
    """What is believed of an instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class MemberInfo(typing.NamedTuple):
    """An instance as it describes itself, or as others believe it.

    A higher incarnation, set by the instance itself, overrules any
    belief of a lower one.
    """

    name: ids.InstanceId
    zone: ids.ZoneId
    is_entry: bool
    host: str
    port: int
    boot: str
    incarnation: int
    state: MemberState
    is_draining: bool


class GossipKind(enum.Enum):
    """What a membership datagram is for."""

    PING = "ping"
    ACK = "ack"
    PING_REQUEST = "ping_request"
    SYNC = "sync"


class Gossip(typing.NamedTuple):
    """A membership datagram, with news piggybacked.

    ``target`` is who is asked about; ``digest`` covers the sender's
    whole view.
    """

    kind: GossipKind
    sequence: int
    target: ids.InstanceId
    sender: MemberInfo
    digest: int
    updates: tuple[MemberInfo, ...]


class JobOffer(typing.NamedTuple):
    """An entry host asks the holder to run a job."""

    job: work.Job


class JobAnswer(typing.NamedTuple):
    """The holder's final word on a job."""

    job: ids.JobId
    outcome: work.Outcome
    retry_after_ms: int
    reason: str


class JobCancel(typing.NamedTuple):
    """An entry host asks the holder to stop a job."""

    number: int
    job: ids.JobId


class JobCancelled(typing.NamedTuple):
    """Whether the job to stop was known and had not ended."""

    number: int
    is_known: bool


class ExecutorNews(typing.NamedTuple):
    """A control host passes on what executors told it."""

    reports: tuple[work.ExecutorReport, ...]


class EntryBeat(typing.NamedTuple):
    """An entry host is there.

    :ivar document_version: the version of its document
    :ivar token: the highest fencing token that it has heard of
    :ivar holder: the holder that it goes by, empty for none
    """

    entry: ids.InstanceId
    document_version: int
    token: int = 0
    holder: ids.InstanceId = ids.InstanceId("")


class QueueCount(typing.NamedTuple):
    """Jobs of a queue that wait for their first task to start."""

    queue: str
    waiting: int


class ControlNews(typing.NamedTuple):
    """Whether the sender holds the executors, and whom it knows.

    :ivar holder: the sender if it holds, else empty
    :ivar controls: all hosts that serve control
    :ivar entries: the entry hosts that it hears
    :ivar is_standby: whether it holds without a quorum
    :ivar has_quorum: whether it reaches enough voters for an election
    :ivar token: the highest fencing token that it has heard of
    """

    control: ids.InstanceId
    holder: ids.InstanceId
    term: int
    controls: tuple[str, ...]
    counts: tuple[QueueCount, ...]
    entries: tuple[str, ...] = ()
    is_standby: bool = False
    has_quorum: bool = False
    token: int = 0


class DocumentPush(typing.NamedTuple):
    """A committed configuration document."""

    version: int
    data: bytes


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
        ZoneLoad,
        CancelJob,
        Gossip,
        JobOffer,
        JobAnswer,
        JobCancel,
        JobCancelled,
        ExecutorNews,
        EntryBeat,
        ControlNews,
        DocumentPush,
    ],
)
