"""Messages exchanged between instances, and their codec."""

import enum
import typing

from chervilwheel import codec
from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import replica
from chervilwheel.workers import speeds
from chervilwheel.workers import work


class Challenge(typing.NamedTuple):
    """First handshake message, from the accepting side, with its nonce."""

    nonce: bytes


class Hello(typing.NamedTuple):
    """Second handshake message: the connecting side proves its cluster key."""

    instance: ids.InstanceId
    nonce: bytes
    proof: bytes


class Welcome(typing.NamedTuple):
    """Last handshake message: the accepting side proves its cluster key."""

    instance: ids.InstanceId
    proof: bytes


class Heartbeat(typing.NamedTuple):
    """Checks that a link is alive; the receiver echoes it as a reply."""

    sequence: int
    is_reply: bool


class GroupStatus(typing.NamedTuple):
    """Values of :attr:`GroupReply.status` that the group protocol defines."""

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
    """Reply to a group request, with one result per command on success."""

    number: int
    group: str
    status: str
    leader: ids.InstanceId
    results: tuple[bytes, ...]


class WatchRequest(typing.NamedTuple):
    """Subscribe to the completion of a submission."""

    number: int
    group: str
    job: ids.JobId


class SettingsPull(typing.NamedTuple):
    """Request changes after a revision.

    ``digest`` is the digest of the sender's documents at that revision.
    """

    revision: int
    digest: bytes


class Document(typing.NamedTuple):
    """A settings document; ``revision`` is that of its last change."""

    path: str
    text: str
    revision: int
    is_deleted: bool


class SettingsPush(typing.NamedTuple):
    """Documents changed up to a revision, or all of them if ``is_whole``."""

    revision: int
    is_whole: bool
    documents: tuple[Document, ...]
    digest: bytes


class Announcement(typing.NamedTuple):
    """Registration of an endpoint, received ``age_s`` seconds ago."""

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
    """Renews an announcement, updating only the fields listed here."""

    endpoint: ids.EndpointId
    version: int
    busy: int


class EndpointNews(typing.NamedTuple):
    """Announcements and renewals that an instance received from endpoints."""

    announcements: tuple[Announcement, ...]
    renewals: tuple[Renewal, ...]


class Want(typing.NamedTuple):
    """Demand for slots: the number of identical waiting tasks.

    ``deadline_in_s`` is the time until the first of them expires. ``avoid``
    is an endpoint on which earlier attempts failed, or empty.
    """

    service: ids.ServiceId
    team: ids.TeamId
    urgency: jobs.Urgency
    avoid: ids.EndpointId
    count: int
    deadline_in_s: float


class Hold(typing.NamedTuple):
    """The number of slots of an endpoint that an instance holds for a team."""

    endpoint: ids.EndpointId
    team: ids.TeamId
    urgency: jobs.Urgency
    count: int


class Release(typing.NamedTuple):
    """Returned slots and the outcomes of the tasks that used them.

    ``slow`` counts tasks that take much longer than comparable ones,
    including tasks that are still running.
    """

    endpoint: ids.EndpointId
    team: ids.TeamId
    urgency: jobs.Urgency
    count: int
    good: int
    bad: int
    slow: int


class SlotReport(typing.NamedTuple):
    """An instance's demand for slots of a zone, and the slots it returns.

    ``epoch`` identifies the sender's view of the slot owner, ``sequence``
    counts the reports within that epoch and ``seen_grant`` is the number of
    the last processed :class:`SlotGrants`. Only a full report lists all
    held slots.
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
    """Slots of one endpoint, granted for identical tasks."""

    service: ids.ServiceId
    team: ids.TeamId
    urgency: jobs.Urgency
    avoid: ids.EndpointId
    endpoint: ids.EndpointId
    host: str
    port: int
    count: int


class SlotGrants(typing.NamedTuple):
    """Reply of a slot owner to reports; may request a full report."""

    zone: ids.ZoneId
    epoch: str
    number: int
    needs_full: bool
    grants: tuple[SlotGrant, ...]


class ServiceLoad(typing.NamedTuple):
    """Slots and waiting tasks of a service in a zone."""

    service: ids.ServiceId
    slots: int
    free: int
    waiting: int


class TeamLoad(typing.NamedTuple):
    """Waiting tasks of a team in a zone."""

    team: ids.TeamId
    waiting: int
    is_over_quota: bool


class ZoneLoad(typing.NamedTuple):
    """Load of a zone, broadcast periodically by its slot owner."""

    zone: ids.ZoneId
    services: tuple[ServiceLoad, ...]
    teams: tuple[TeamLoad, ...]


class CancelJob(typing.NamedTuple):
    """Notifies the instance running a submission that it was cancelled."""

    job: ids.JobId


class MemberState(enum.Enum):
    """Membership state of an instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class MemberInfo(typing.NamedTuple):
    """Membership record of an instance, from itself or from other members.

    The incarnation is set by the instance itself. A record with a higher
    incarnation replaces any with a lower one.
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
    """Type of a membership datagram."""

    PING = "ping"
    ACK = "ack"
    PING_REQUEST = "ping_request"
    SYNC = "sync"


class Gossip(typing.NamedTuple):
    """A membership datagram with piggybacked updates.

    ``target`` is the instance to probe; ``digest`` covers the sender's
    complete membership view.
    """

    kind: GossipKind
    sequence: int
    target: ids.InstanceId
    sender: MemberInfo
    digest: int
    updates: tuple[MemberInfo, ...]


class JobOffer(typing.NamedTuple):
    """Request from an entry host to the holder to run a job.

    :ivar status_stamp: as in :class:`EntryBeat`
    """

    job: work.Job
    status_stamp: float = 0.0


class JobAnswer(typing.NamedTuple):
    """Final result of a job, from the holder, as :class:`work.Answer`."""

    job: ids.JobId
    outcome: work.Outcome
    retry_after_ms: int
    reason: str
    submission: int = 0


class JobLosses(typing.NamedTuple):
    """Executors lost under the tasks of a job, from the holder."""

    job: ids.JobId
    losses: tuple[work.TaskLoss, ...]


class JobStarts(typing.NamedTuple):
    """Changes of a job's open starts, as :class:`work.StartReport`."""

    job: ids.JobId
    opened: tuple[work.OpenStart, ...]
    settled: tuple[work.OpenStart, ...]


class JobCancel(typing.NamedTuple):
    """Request from an entry host to the holder to cancel a job.

    :ivar number: 0 if no caller requested it, which isn't answered
    :ivar takes_verdict: whether the entry host reads the verdict of the reply
    :ivar has_left: whether its callers have left, so that the job goes on if
        another entry host has offered it, too
    """

    number: int
    job: ids.JobId
    takes_verdict: bool = False
    has_left: bool = False


class CancelVerdict(enum.Enum):
    """What became of a cancel.

    SETTLED, which former versions send as no text, means that it stands for
    good. UNSETTLED ones may be undone by another holder; FULL ones weren't
    carried out, since too many are kept.
    """

    SETTLED = ""
    UNSETTLED = "unsettled"
    FULL = "full"


class JobCancelled(typing.NamedTuple):
    """Reply to a cancellation.

    :ivar is_known: whether the job was known and unfinished
    """

    number: int
    is_known: bool
    verdict: CancelVerdict = CancelVerdict.SETTLED


class CancelNews(typing.NamedTuple):
    """Cancelled jobs in the log of the control hosts.

    :ivar clock_ms: the leaders' time up to which the receiver knows all then,
        0 if more follow
    """

    jobs: tuple[ids.JobId, ...]
    clock_ms: int = 0


class JobQuery(typing.NamedTuple):
    """Request from an entry host to the holder for the state of a job."""

    number: int
    job: ids.JobId


class JobStatus(typing.NamedTuple):
    """Reply to a query."""

    number: int
    state: work.JobStage


class ReportQuery(typing.NamedTuple):
    """Request of a new leader for the reports that it lacks.

    :ivar term: its term, 0 if the message requests nothing
    :ivar known: the reports that it has
    """

    term: int = 0
    known: tuple[work.ReportKey, ...] = ()


class ExecutorNews(typing.NamedTuple):
    """Executor reports that a control host forwards.

    :ivar unused: the last reports of all executors that the leader has given
        up, and won't use before it has another report
    :ivar unused_term: the term of that leader, 0 if the message says nothing
        of them
    :ivar query: answered with :class:`ReportAnswer`. It is part of this
        message since former versions close the link on an unknown one.
    """

    reports: tuple[work.ExecutorReport, ...]
    unused: tuple[work.ReportKey, ...] = ()
    unused_term: int = 0
    query: ReportQuery = ReportQuery()


class UsedExecutors(typing.NamedTuple):
    """Reports of the executors that a standby has used, for the next holder.

    :ivar ages_ms: time since each was last heard of
    """

    reports: tuple[work.ExecutorReport, ...]
    ages_ms: tuple[int, ...]


class ReportAnswer(typing.NamedTuple):
    """Reply to a request for reports.

    :ivar term: that of the request
    :ivar reports: those that are newer than the ones in the request
    :ivar ages_ms: time since each was last heard of
    :ivar is_complete: whether the sender has run for so long that all
        executors have reported to it
    """

    term: int
    reports: tuple[work.ExecutorReport, ...]
    ages_ms: tuple[int, ...]
    is_complete: bool


class EntryBeat(typing.NamedTuple):
    """Heartbeat of an entry host.

    :ivar document_version: the version of its configuration document
    :ivar token: the highest fencing token that it has received
    :ivar holder: the holder that it currently uses, empty if none
    :ivar zone: its availability zone
    :ivar has_leader: whether that holder is the leader, heard of recently
    :ivar zones_revision: the newest revision of evacuations that it knows
    :ivar evacuated: the evacuated zones
    :ivar stamp: the sender's monotonic time, seconds
    :ivar echo: the stamp of the receiver's latest heartbeat, 0 for none
    :ivar has_quorum: whether a control host has told it of a quorum recently
    :ivar is_probe: whether the receiver is to answer at once, an entry host
        with its heartbeat and a control host with its status
    :ivar is_fenced: whether executors have fenced it off as a standby holder
    :ivar keeps_cancels: whether it takes :class:`CancelNews`
    :ivar cancels_known_ms: the leaders' time up to which it has them
    :ivar status_stamp: the stamp of the latest status of its holder, 0 if
        unknown
    :ivar has_ended: whether it has answered all requests and ends, so that it
        hands its jobs to no other holder
    :ivar keeps_starts: whether it takes :class:`JobStarts`
    """

    entry: ids.InstanceId
    document_version: int
    token: int = 0
    holder: ids.InstanceId = ids.InstanceId("")
    zone: ids.ZoneId = ids.ZoneId("")
    has_leader: bool = False
    zones_revision: int = 0
    evacuated: tuple[ids.ZoneId, ...] = ()
    stamp: float = 0.0
    echo: float = 0.0
    has_quorum: bool = False
    is_probe: bool = False
    is_fenced: bool = False
    keeps_cancels: bool = False
    cancels_known_ms: int = 0
    status_stamp: float = 0.0
    has_ended: bool = False
    keeps_starts: bool = False


class EntryPeer(typing.NamedTuple):
    """An entry host and its availability zone."""

    host: ids.InstanceId
    zone: ids.ZoneId


class EntryNews(typing.NamedTuple):
    """Entry hosts that share a standby with the receiver.

    :ivar witnesses: some entry hosts of each other zone
    """

    entries: tuple[EntryPeer, ...]
    witnesses: tuple[EntryPeer, ...] = ()


class QueueCount(typing.NamedTuple):
    """Number of jobs in a queue of which no task has started."""

    queue: str
    waiting: int


class ControlNews(typing.NamedTuple):
    """Status of a control host.

    :ivar holder: the sender if it is the holder of the executors, else empty
    :ivar controls: all control hosts
    :ivar is_standby: whether the sender is the holder without a quorum
    :ivar has_quorum: whether it reaches enough voters for an election
    :ivar token: the highest fencing token that it has received
    :ivar zones_revision: the newest revision of evacuations that it knows
    :ivar evacuated: the evacuated zones
    :ivar echo: the stamp of the heartbeat that this answers, 0 for none
    :ivar is_current: whether it knows all orders acknowledged up to now, save
        for a fraction of a second
    :ivar answers_queries: whether it answers :class:`JobQuery`
    :ivar stamp: the sender's monotonic time, seconds
    """

    control: ids.InstanceId
    holder: ids.InstanceId
    term: int
    controls: tuple[str, ...]
    counts: tuple[QueueCount, ...]
    is_standby: bool = False
    has_quorum: bool = False
    token: int = 0
    zones_revision: int = 0
    evacuated: tuple[ids.ZoneId, ...] = ()
    echo: float = 0.0
    is_current: bool = False
    answers_queries: bool = False
    stamp: float = 0.0


class ExecutorSpeeds(typing.NamedTuple):
    """Speeds that a holder has learned, for the next one."""

    rows: tuple[speeds.SpeedRow, ...]


class DocumentPush(typing.NamedTuple):
    """A committed configuration document.

    :ivar base: the version that the first delta applies to, 0 for none
    :ivar deltas: differences that lead to the version, one after the other
    """

    version: int
    base: int
    deltas: tuple[bytes, ...]


class Relayed(typing.NamedTuple):
    """A message that another host forwards.

    :ivar data: the encoded message
    """

    sender: ids.InstanceId
    receiver: ids.InstanceId
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
        JobLosses,
        JobCancel,
        JobCancelled,
        ExecutorNews,
        EntryBeat,
        ControlNews,
        DocumentPush,
        Relayed,
        EntryNews,
        ExecutorSpeeds,
        CancelNews,
        JobQuery,
        JobStatus,
        UsedExecutors,
        ReportAnswer,
        JobStarts,
    ],
)
