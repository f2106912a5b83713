"""Raft consensus core: elections, log replication, snapshots, membership.

The module does no I/O. Its driver passes in messages and the time, takes
the resulting actions, makes the state to save durable, calls
:meth:`Replica.on_synced`, and only then sends the messages of ``after_sync``.
"""

import enum
import math
import random
import typing

from chervilwheel import _followers
from chervilwheel import _incoming
from chervilwheel import _replicalog
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import replicamessages

SNAPSHOT_CHUNK_BYTES = 262_144
JOIN_INTERVAL_S = 0.5
LOW_PRIORITY_FACTOR = 3.0
# Share of the stagger that is added at random. Hosts that start at the same
# time would otherwise repeat the same schedule.
MAX_STAGGER_JITTER = 0.2
# Range of the random time until a failed campaign is repeated, as a share of
# the election timeout.
RETRY_SHARES = (0.3, 0.6)
ACTIVE_HEARTBEATS = 3.0
CURRENT_HEARTBEATS = 2.5
# The lease is shorter than the election timeout to allow for clocks that
# run at different speeds; hosts' clocks differ by far less than 10 %.
LEASE_FRACTION = 0.9
# Longer than the restart of a process. A voter that is replaced while it is
# away joins again, so this need not cover longer absences.
REPLACE_VOTER_AFTER_S = 2.0

Entry = _replicalog.Entry
EntryKind = _replicalog.EntryKind
GroupConfig = _replicalog.GroupConfig
Member = _replicalog.Member
Snapshot = _replicalog.Snapshot
VoteRequest = replicamessages.VoteRequest
VoteReply = replicamessages.VoteReply
AppendRequest = replicamessages.AppendRequest
AppendReply = replicamessages.AppendReply
SnapshotChunk = replicamessages.SnapshotChunk
JoinRequest = replicamessages.JoinRequest
Campaign = replicamessages.Campaign
Message = replicamessages.Message
Send = replicamessages.Send
Restored = replicamessages.Restored
Actions = replicamessages.Actions


class Role(enum.Enum):
    """Role of a replica in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(typing.NamedTuple):
    """Timeouts of a group, seconds.

    :ivar election_timeout_s: time without a leader after which the first
        voter campaigns
    :ivar election_stagger_s: delay between one voter's campaign and the
        next one's; longer than an election takes, so that votes aren't split
    """

    heartbeat_interval_s: float = 0.1
    election_timeout_s: float = 1.0
    election_stagger_s: float = 0.3


class Replica:
    """One member of one group.

    :param group: the group's name
    :param me: this member
    :param restored: the state read from its disk
    :param peers: instances that receive its join requests, besides the
        members of the config
    :param rng: random numbers for election timeouts
    :param now: monotonic time, seconds
    :param timing: timeouts of the group
    :param is_low_priority: whether the member has low election priority: it
        uses longer election timeouts and hands leadership to any other
        voter that is up to date
    :param target_voters: number of voters up to which learners are
        promoted; beyond it, a learner only replaces an unresponsive
        voter. 0 for no limit
    """

    def __init__(
        self,
        *,
        group: str,
        me: Member,
        restored: Restored,
        peers: typing.Sequence[ids.InstanceId],
        rng: random.Random,
        now: float,
        timing: Timing,
        is_low_priority: bool = False,
        target_voters: int = 0,
    ) -> None:
        self.group = group
        self.me = me
        self.term = restored.term
        self.vote = restored.vote
        self.role = Role.FOLLOWER
        self.leader: Member | None = None
        self.commit = restored.snapshot.index
        self.log = _replicalog.ReplicaLog(
            snapshot=restored.snapshot, entries=restored.entries
        )
        self._peers = tuple(peers)
        self._rng = rng
        self._timing = timing
        self._is_low_priority = is_low_priority
        self._target_voters = target_voters
        self._delivered_index = self.commit
        self._durable_index = self.log.last_index
        self._votes: set[Member] = set()
        self._followers = _followers.Followers(me=me)
        self._leader_contact_at = now - timing.election_timeout_s
        if restored.term:
            # A leader may have contacted it just before the restart, and
            # that leader's lease may still hold.
            self._leader_contact_at = now
        self._incoming = _incoming.IncomingSnapshot()
        self._next_join_at = now
        self._next_heartbeat_at = now
        self._is_transfer = False
        self._actions = Actions()
        self._now = now
        self._reply_stamp = 0.0
        self._transferred_term = -1
        self._last_message_at: dict[Member, float] = {}
        self._leader_message_at = -math.inf
        self._current_at = -math.inf
        self._config_index, self.config = self.log.config()
        self._reset_election_timer(now)

    @property
    def is_voter(self) -> bool:
        """Whether this member's votes and acknowledgements count."""
        return self.me in self.config.voters

    @property
    def is_leader(self) -> bool:
        """Whether it is the leader of its term."""
        return self.role is Role.LEADER

    def has_quorum_without_self(self, now: float) -> bool:
        """Whether recent replies come from a quorum without this leader."""
        if not self.is_leader:
            return False
        limit_s = ACTIVE_HEARTBEATS * self._timing.heartbeat_interval_s
        return self._is_quorum(
            self._followers.recently_active(now, within_s=limit_s)
        )

    def lease_expires_at(self) -> float:
        """Return when the leader lease expires, monotonic seconds.

        Until then no other member can have been elected. The lease starts
        when the requests that a quorum acknowledged were sent, not when
        the replies were read: replies that queued up while this host was
        suspended don't extend it. 0 for a member without a lease.
        """
        is_new = self.log.term_at(self.commit) != self.term
        if not self.is_leader or is_new or self._transferred_term == self.term:
            return 0.0
        acked_at = self._followers.quorum_acked_at(self.config.voters)
        return acked_at + LEASE_FRACTION * self._timing.election_timeout_s

    def quorum_acked_at(self) -> float:
        """Return when a quorum was last sent what it has acknowledged.

        What was sent to all members before then has reached a quorum. 0 for a
        member that doesn't lead.
        """
        if not self.is_leader:
            return 0.0
        return self._followers.quorum_acked_at(self.config.voters)

    def is_quorum_reachable(self, now: float) -> bool:
        """Whether the group has a leader or can elect one, as seen here.

        False once neither a message from a leader nor messages from a
        quorum have arrived for so long that two voters have campaigned.
        """
        timing = self._timing
        wait_s = timing.election_timeout_s + 2 * timing.election_stagger_s
        if now - self._leader_message_at < wait_s:
            return True
        recent = {
            member
            for member, at in self._last_message_at.items()
            if now - at < wait_s
        }
        return self._is_quorum({self.me, *recent})

    def is_current(self, now: float) -> bool:
        """Whether this member knows what was committed a moment ago.

        A deposed leader sends heartbeats for little more than the election
        timeout, and a follower takes them into account a little longer.
        """
        if self.is_leader:
            return now < self.lease_expires_at()
        limit_s = CURRENT_HEARTBEATS * self._timing.heartbeat_interval_s
        return now - self._current_at < limit_s

    def take_actions(self) -> Actions:
        """Return the actions due since the last call, and clear them."""
        actions = self._actions
        self._actions = Actions()
        if self._delivered_index < self.commit:
            first = self._delivered_index + 1
            actions.committed = self.log.entries_between(first, self.commit)
            self._delivered_index = self.commit
        return actions

    def on_synced(self, now: float) -> None:
        """Record that everything returned to be saved is now durable."""
        self._durable_index = self.log.last_index
        if self.role is Role.CANDIDATE and self.vote == _vote_key(self.me):
            self._count_vote(self.me, now)
        if self.is_leader:
            self._advance_commit()

    def propose(self, commands: typing.Sequence[bytes], now: float) -> int:
        """Append commands to the log.

        :returns: the index of the last command
        :raises errors.NotLeader: when this member isn't the leader
        """
        self._require_leader()
        self._now = now
        for data in commands:
            self._append(EntryKind.COMMAND, data=data)
        self._broadcast(now)
        return self.log.last_index

    def change_config(self, config: GroupConfig, now: float) -> None:
        """Propose a config that adds or removes at most one voter.

        :raises errors.NotLeader: when this member isn't the leader
        :raises errors.Conflict: when an earlier change is not committed
            or this one changes more than one voter
        """
        self._require_leader()
        changed = set(config.voters) ^ set(self.config.voters)
        if len(changed) > 1:
            raise errors.Conflict(
                "a config change may add or remove only one voter"
            )
        if not self._may_change_config():
            raise errors.Conflict("an earlier config change is not committed")
        self._append(EntryKind.CONFIG, config=config)
        self._broadcast(now)

    def compact(self, data: bytes, index: int) -> Snapshot:
        """Replace the log up to an applied entry by a snapshot.

        :param data: the state after that entry
        :returns: the snapshot, for the driver to save
        """
        term = self.log.term_at(index)
        if term is None or index > self._delivered_index:
            raise errors.Conflict(
                "cannot compact the log beyond the applied entries"
            )
        config = self.log.snapshot.config
        for entry in self.log.entries_between(
            self.log.snapshot.index + 1, index
        ):
            if entry.kind is EntryKind.CONFIG:
                config = entry.config
        snapshot = Snapshot(index, term, config, data)
        self.log.compact(snapshot)
        return snapshot

    def resign(self, now: float) -> None:
        """Transfer leadership to an up-to-date voter, if there is one.

        From then on this member has low election priority.
        """
        self._is_low_priority = True
        if not self.is_leader:
            return
        self._transfer(list(self.config.voters), now)

    def begin_term(self, now: float) -> None:
        """Stand for election in the next term, as the leader of this one.

        Its lease ends with its role, so the voters needn't wait for it.
        """
        if self.is_leader:
            self._campaign(now, is_pre=False, is_transfer=True)

    def tick(self, now: float) -> None:
        """Run the timers: elections, heartbeats and join requests."""
        self._now = now
        if self.is_leader:
            self._tick_leader(now)
        elif not self.is_voter:
            self._send_join_requests(now)
        elif now >= self._election_deadline:
            self._campaign(now, is_pre=True)

    def receive(self, message: Message, now: float) -> None:
        """Process a message; drop one that is for an earlier disk."""
        self._now = now
        if isinstance(message, JoinRequest):
            self._admit(message, now)
            return
        if message.to != self.me:
            return
        if self._is_from_former_voter(message, now):
            self._admit(JoinRequest(self.group, message.sender), now)
        self._last_message_at[message.sender] = now
        is_pre_vote = (
            isinstance(message, VoteRequest | VoteReply) and message.is_pre
        )
        if message.term > self.term and not is_pre_vote:
            if isinstance(message, VoteRequest) and self._has_leader(
                message, now
            ):
                return
            self._become_follower(message.term, None, now)
        handlers: dict[type, typing.Callable[..., None]] = {
            VoteRequest: self._on_vote_request,
            VoteReply: self._on_vote_reply,
            AppendRequest: self._on_append,
            AppendReply: self._on_append_reply,
            SnapshotChunk: self._on_snapshot,
            Campaign: self._on_campaign,
        }
        handlers[type(message)](message, now)

    def _is_from_former_voter(self, message: Message, now: float) -> bool:
        """Whether a voter that was replaced while away campaigns.

        Its log may lack the change of the config, so that it still takes
        itself for a voter and sends no join requests.
        """
        return (
            isinstance(message, VoteRequest)
            and self._has_leader(message, now)
            and not any(
                member.name == message.sender.name
                for member in self.config.members
            )
        )

    def _admit(self, message: JoinRequest, now: float) -> None:
        """Add a member that asks to join, or pass its request to the leader.

        A new host may know none but followers.
        """
        if self.is_leader:
            self._on_join(message, now)
        elif self.leader is not None and not message.is_forwarded:
            forwarded = message._replace(is_forwarded=True)
            self._actions.before_sync.append(Send(self.leader.name, forwarded))

    def _require_leader(self) -> None:
        if not self.is_leader:
            leader = self.leader.name if self.leader else ""
            raise errors.NotLeader(
                f"{self.group}: this replica is not the leader", leader=leader
            )

    def _reset_election_timer(self, now: float) -> None:
        """Campaign after the other voters that come before this one."""
        timing = self._timing
        jitter = self._rng.uniform(0.0, MAX_STAGGER_JITTER)
        timeout_s = timing.election_timeout_s + timing.election_stagger_s * (
            self._campaign_rank() + jitter
        )
        factor = LOW_PRIORITY_FACTOR if self._is_low_priority else 1.0
        self._election_deadline = now + factor * timeout_s

    def _campaign_rank(self) -> int:
        """Return how many voters campaign before this one.

        The order begins after the leader, so that it isn't waited for.
        """
        voters = self.config.voters
        if self.me not in voters:
            return len(voters)
        first = 0
        if self.leader in voters:
            first = voters.index(self.leader) + 1
        return (voters.index(self.me) - first) % len(voters)

    def _retry_campaign_later(self, now: float) -> None:
        """Campaign again unless this campaign succeeds.

        The time is random, since the other voters' campaigns fail too.
        """
        timeout_s = self._rng.uniform(*RETRY_SHARES) * (
            self._timing.election_timeout_s
        )
        factor = LOW_PRIORITY_FACTOR if self._is_low_priority else 1.0
        self._election_deadline = now + factor * timeout_s

    def _has_leader(self, message: VoteRequest, now: float) -> bool:
        if message.is_transfer:
            return False
        if self.is_leader:
            return True
        age = now - self._leader_contact_at
        return age < self._timing.election_timeout_s

    def _campaign(
        self, now: float, *, is_pre: bool, is_transfer: bool = False
    ) -> None:
        self._retry_campaign_later(now)
        self.leader = None
        self._votes = set()
        if is_pre:
            self.role = Role.PRE_CANDIDATE
        else:
            self.role = Role.CANDIDATE
            self.term += 1
            self._cast_vote(_vote_key(self.me))
        self._is_transfer = is_transfer
        term = self.term + 1 if is_pre else self.term
        for member in self.config.voters:
            if member == self.me:
                continue
            request = VoteRequest(
                group=self.group,
                to=member,
                sender=self.me,
                term=term,
                last_index=self.log.last_index,
                last_term=self.log.last_term,
                is_pre=is_pre,
                is_transfer=is_transfer,
            )
            self._send_after_sync(request)
        if is_pre:
            self._count_vote(self.me, now)

    def _cast_vote(self, vote: str) -> None:
        self.vote = vote
        self._actions.hard_state = (self.term, self.vote)

    def _on_vote_request(self, message: VoteRequest, now: float) -> None:
        granted = self._may_grant_vote(message, now)
        if granted and not message.is_pre:
            self._cast_vote(_vote_key(message.sender))
            self._reset_election_timer(now)
        # A refused pre-vote carries this member's own term, so that a
        # candidate with an older term adopts it.
        term = message.term if message.is_pre and granted else self.term
        reply = VoteReply(
            group=self.group,
            to=message.sender,
            sender=self.me,
            term=term,
            is_granted=granted,
            is_pre=message.is_pre,
        )
        self._send_after_sync(reply)

    def _may_grant_vote(self, message: VoteRequest, now: float) -> bool:
        # Don't check whether this member is a voter in its own config: the
        # candidate's config may be newer, and the request is addressed to
        # this disk.
        if message.term < self.term or self._has_leader(message, now):
            return False
        candidate_log = (message.last_term, message.last_index)
        if candidate_log < (self.log.last_term, self.log.last_index):
            return False
        if message.is_pre:
            return message.term > self.term
        return self.vote in ("", _vote_key(message.sender))

    def _on_vote_reply(self, message: VoteReply, now: float) -> None:
        if message.is_pre:
            expected = Role.PRE_CANDIDATE, self.term + 1
            if not message.is_granted and message.term > self.term:
                self._become_follower(message.term, None, now)
                return
        else:
            expected = Role.CANDIDATE, self.term
        if message.is_granted and expected == (self.role, message.term):
            self._count_vote(message.sender, now)

    def _count_vote(self, voter: Member, now: float) -> None:
        self._votes.add(voter)
        if not self._is_quorum(self._votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, is_pre=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _is_quorum(self, members: typing.Collection[Member]) -> bool:
        voters = self.config.voters
        count = sum(member in members for member in voters)
        return count * 2 > len(voters)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.me
        self._followers.clear()
        self._append(EntryKind.NOOP)
        self._refresh_followers(now)
        self._broadcast(now)

    def _become_follower(
        self, term: int, leader: Member | None, now: float
    ) -> None:
        if term > self.term:
            self.term = term
            self._cast_vote("")
        self.role = Role.FOLLOWER
        self.leader = leader
        self._reset_election_timer(now)

    def _on_campaign(self, message: Campaign, now: float) -> None:
        is_current = message.term == self.term
        if is_current and self.is_voter and not self.is_leader:
            self._campaign(now, is_pre=False, is_transfer=True)

    def _append(
        self,
        kind: EntryKind,
        *,
        data: bytes = b"",
        config: GroupConfig | None = None,
    ) -> None:
        entry = Entry(
            index=self.log.last_index + 1,
            term=self.term,
            kind=kind,
            data=data,
            config=config or GroupConfig(()),
        )
        self._store(entry)

    def _store(self, entry: Entry) -> None:
        if entry.index <= self.commit:
            raise errors.ProtocolError(
                "attempt to overwrite a committed entry"
            )
        self.log.append(entry)
        self._durable_index = min(self._durable_index, entry.index - 1)
        pending = self._actions.entries
        while pending and pending[-1].index >= entry.index:
            pending.pop()
        pending.append(entry)
        overwrites_config = self._config_index >= entry.index
        if entry.kind is EntryKind.CONFIG or overwrites_config:
            self._config_index, self.config = self.log.config()

    def _refresh_followers(self, now: float) -> None:
        self._followers.refresh(
            self.config.members, next_index=self.log.last_index, now=now
        )

    def _broadcast(self, now: float) -> None:
        self._refresh_followers(now)
        for member, progress in self._followers.items():
            self._send_entries(member, progress)
        self._next_heartbeat_at = now + self._timing.heartbeat_interval_s

    def _send_entries(
        self, member: Member, progress: _followers.FollowerProgress
    ) -> None:
        if progress.next_index <= self.log.snapshot.index:
            if progress.snapshot_offset < 0:
                progress.snapshot_offset = 0
            self._send_chunk(member, progress)
            return
        progress.snapshot_offset = -1
        prev = progress.next_index - 1
        entries = self.log.batch(progress.next_index)
        request = AppendRequest(
            group=self.group,
            to=member,
            sender=self.me,
            term=self.term,
            prev_index=prev,
            prev_term=self.log.term_at(prev) or 0,
            commit=self.commit,
            entries=entries,
            stamp=self._now,
        )
        progress.next_index += len(entries)
        self._send_before_sync(request)

    def _send_chunk(
        self, member: Member, progress: _followers.FollowerProgress
    ) -> None:
        snapshot = self.log.snapshot
        offset = min(progress.snapshot_offset, len(snapshot.data))
        data = snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES]
        chunk = SnapshotChunk(
            group=self.group,
            to=member,
            sender=self.me,
            term=self.term,
            last_index=snapshot.index,
            last_term=snapshot.term,
            config=snapshot.config,
            offset=offset,
            data=data,
            is_last=offset + len(data) == len(snapshot.data),
        )
        self._send_before_sync(chunk)

    def _on_append_reply(self, message: AppendReply, now: float) -> None:
        progress = self._followers.get(message.sender)
        if not self.is_leader or message.term != self.term or progress is None:
            return
        progress.last_reply_at = now
        progress.acked_at = max(progress.acked_at, message.stamp)
        if progress.snapshot_offset >= 0:
            self._on_chunk_reply(message, progress)
            return
        if not message.is_accepted:
            hint = min(message.index, progress.next_index - 1)
            progress.next_index = max(progress.match_index + 1, hint)
            self._send_entries(message.sender, progress)
            return
        progress.match_index = max(progress.match_index, message.index)
        progress.next_index = max(
            progress.next_index, progress.match_index + 1
        )
        self._advance_commit()
        if progress.next_index <= self.log.last_index:
            self._send_entries(message.sender, progress)
        self._promote_learner(message.sender, progress, now)

    def _on_chunk_reply(
        self, message: AppendReply, progress: _followers.FollowerProgress
    ) -> None:
        if message.is_accepted:
            progress.snapshot_offset = -1
            progress.match_index = max(progress.match_index, message.index)
            progress.next_index = max(progress.match_index + 1, 1)
        else:
            progress.snapshot_offset = message.index
        self._send_entries(message.sender, progress)

    def _advance_commit(self) -> None:
        quorum_index = self._followers.quorum_match_index(
            self.config.voters, self._durable_index
        )
        if (
            quorum_index > self.commit
            and self.log.term_at(quorum_index) == self.term
        ):
            self.commit = quorum_index
            self._after_commit()

    def _after_commit(self) -> None:
        if not self.is_voter and self._config_index <= self.commit:
            self.role = Role.FOLLOWER
            self.leader = None

    def _tick_leader(self, now: float) -> None:
        within_s = self._timing.election_timeout_s
        recent = {
            self.me,
            *self._followers.recently_active(now, within_s=within_s),
        }
        if not self._is_quorum(recent):
            self._become_follower(self.term, None, now)
            return
        if now < self._next_heartbeat_at:
            return
        self._broadcast(now)
        if self._is_low_priority:
            self._transfer([m for m in self.config.voters if m in recent], now)

    def _transfer(
        self, candidates: typing.Sequence[Member], now: float
    ) -> None:
        target = self._followers.transfer_target(
            candidates, self.log.last_index
        )
        if target is not None:
            self._transferred_term = self.term
            self._send_before_sync(
                Campaign(self.group, target, self.me, self.term)
            )

    def _may_change_config(self) -> bool:
        return (
            self._config_index <= self.commit
            and self.log.term_at(self.commit) == self.term
        )

    def _send_join_requests(self, now: float) -> None:
        if now < self._next_join_at:
            return
        self._next_join_at = now + JOIN_INTERVAL_S
        names = set(self._peers)
        names.update(member.name for member in self.config.members)
        names.discard(self.me.name)
        for name in sorted(names):
            self._actions.before_sync.append(
                Send(name, JoinRequest(self.group, self.me))
            )

    def _on_join(self, message: JoinRequest, now: float) -> None:
        if not self.is_leader or not self._may_change_config():
            return
        config = self.config
        if message.sender in config.members:
            return
        replaced = [
            member
            for member in config.members
            if member.name == message.sender.name
        ]
        voters = tuple(m for m in config.voters if m not in replaced)
        learners = tuple(m for m in config.learners if m not in replaced)
        if not replaced:
            learners += (message.sender,)
        if not voters:
            return
        self.change_config(GroupConfig(voters, learners), now)

    def _promote_learner(
        self, member: Member, progress: _followers.FollowerProgress, now: float
    ) -> None:
        config = self.config
        if member not in config.learners or not self._may_change_config():
            return
        if progress.match_index < self.commit:
            return
        if 0 < self._target_voters <= len(config.voters):
            self._replace_unresponsive_voter(config, now)
            return
        learners = tuple(m for m in config.learners if m != member)
        voters = (*config.voters, member)
        self.change_config(GroupConfig(voters, learners), now)

    def _replace_unresponsive_voter(
        self, config: GroupConfig, now: float
    ) -> None:
        """Remove one voter that has not replied for a long time."""
        active = self._followers.recently_active(
            now, within_s=REPLACE_VOTER_AFTER_S
        )
        unresponsive = [
            m for m in config.voters if m not in (self.me, *active)
        ]
        if not unresponsive:
            return
        voters = tuple(m for m in config.voters if m != unresponsive[0])
        self.change_config(GroupConfig(voters, config.learners), now)

    def _on_append(self, message: AppendRequest, now: float) -> None:
        self._reply_stamp = message.stamp
        if message.term < self.term:
            self._reply_append(message.sender, False, 0)
            return
        self._become_follower(message.term, message.sender, now)
        self._leader_contact_at = self._leader_message_at = now
        prev = message.prev_index
        if prev < self.log.snapshot.index:
            # Entries up to the snapshot are committed, so they match.
            self._reply_append(message.sender, True, self.log.snapshot.index)
            return
        if self.log.term_at(prev) != message.prev_term:
            self._reply_append(
                message.sender, False, self._conflict_index(prev)
            )
            return
        for entry in message.entries:
            if self.log.term_at(entry.index) != entry.term:
                self._store(entry)
        last = prev + len(message.entries)
        self.commit = max(self.commit, min(message.commit, last))
        if self.commit >= message.commit:
            self._current_at = now
        self._reply_append(message.sender, True, last)

    def _conflict_index(self, prev: int) -> int:
        if prev > self.log.last_index:
            return self.log.last_index + 1
        term = self.log.term_at(prev)
        floor = max(self.log.snapshot.index, self.commit) + 1
        index = prev
        while index > floor and self.log.term_at(index - 1) == term:
            index -= 1
        return max(index, floor)

    def _reply_append(self, to: Member, accepted: bool, index: int) -> None:
        reply = AppendReply(
            group=self.group,
            to=to,
            sender=self.me,
            term=self.term,
            is_accepted=accepted,
            index=index,
            stamp=self._reply_stamp,
        )
        self._send_after_sync(reply)

    def _on_snapshot(self, message: SnapshotChunk, now: float) -> None:
        self._reply_stamp = 0.0
        if message.term < self.term:
            self._reply_append(message.sender, False, 0)
            return
        self._become_follower(message.term, message.sender, now)
        self._leader_contact_at = self._leader_message_at = now
        if message.last_index <= self.commit:
            self._reply_append(message.sender, True, self.commit)
            return
        snapshot = self._incoming.add(message)
        if snapshot is None:
            self._reply_append(message.sender, False, self._incoming.size)
            return
        self._install(snapshot)
        self._reply_append(message.sender, True, snapshot.index)

    def _install(self, snapshot: Snapshot) -> None:
        self.log.reset(snapshot)
        self._actions.entries = []
        self._actions.install = snapshot
        self._actions.committed = []
        self.commit = self._delivered_index = snapshot.index
        self._config_index, self.config = self.log.config()

    def _send_before_sync(self, message: typing.Any) -> None:
        self._actions.before_sync.append(Send(message.to.name, message))

    def _send_after_sync(self, message: typing.Any) -> None:
        self._actions.after_sync.append(Send(message.to.name, message))


def _vote_key(member: Member) -> str:
    return f"{member.name}/{member.disk}"
