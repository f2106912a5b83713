"""Replicate a log among a few voters: terms, votes, quorum, snapshots.

The module decides only. Whoever drives it hands in messages and time,
takes the actions, makes the saved part durable before it sends the late
messages, and says so with :meth:`Replica.synced`.
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

CHUNK_BYTES = 262_144
JOIN_S = 0.5
RELUCTANCE = 3.0
ANSWERING_BEATS = 3.0
# Clocks of hosts differ in speed by far less than a tenth.
LEASE_SHARE = 0.9
# Longer than a restart, so that a voter that comes back keeps its vote.
SILENT_S = 8.0

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
    """What a replica does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(typing.NamedTuple):
    """Times of a group, seconds."""

    heartbeat_s: float = 0.1
    election_s: float = 1.0


class Replica:
    """One member of one group.

    :param group: the group's name
    :param me: this member
    :param restored: what its disk holds
    :param peers: instances to ask when it isn't in the config
    :param rng: the source of chance for election times
    :param now: monotonic time, seconds
    :param timing: times of the group
    :param is_reluctant: whether it leads only when no other can
    :param voters_wanted: learners become voters up to this number, and
        then in place of voters that are silent; 0 for any number
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
        is_reluctant: bool = False,
        voters_wanted: int = 0,
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
        self._is_reluctant = is_reluctant
        self._voters_wanted = voters_wanted
        self._handed_out = self.commit
        self._durable = self.log.last_index
        self._votes: set[Member] = set()
        self._followers = _followers.Followers(me=me)
        self._heard_leader_at = now - timing.election_s
        if restored.term:
            # It may have heard a leader just before its restart.
            self._heard_leader_at = now
        self._incoming = _incoming.IncomingSnapshot()
        self._joins_at = now
        self._beats_at = now
        self._is_transfer = False
        self._actions = Actions()
        self._now = now
        self._stamp = 0.0
        self._transferred = -1
        self._voters_heard: dict[Member, float] = {}
        self._leader_spoke_at = -math.inf
        self._config_index, self.config = self.log.config()
        self._reset_election(now)

    @property
    def is_voter(self) -> bool:
        """Whether this member's promises count."""
        return self.me in self.config.voters

    @property
    def is_leader(self) -> bool:
        """Whether it leads its group in its term."""
        return self.role is Role.LEADER

    def others_are_quorum(self, now: float) -> bool:
        """Whether enough other voters answer to commit without this disk."""
        if not self.is_leader:
            return False
        limit_s = ANSWERING_BEATS * self._timing.heartbeat_s
        return self._is_quorum(self._followers.heard(now, within_s=limit_s))

    def leads_until(self) -> float:
        """Tell until when no other can have been elected, seconds.

        It counts from when messages that a quorum answered were sent, so
        answers that waited while this host was suspended prove nothing.
        """
        is_new = self.log.term_at(self.commit) != self.term
        if not self.is_leader or is_new or self._transferred == self.term:
            return 0.0
        answered = self._followers.answered(self.config.voters)
        return answered + LEASE_SHARE * self._timing.election_s

    def hears_quorum(self, now: float) -> bool:
        """Whether a leader stands or can be elected, as far as seen here.

        It takes the longest wait for an election without a word from a
        leader or from most voters to deny it.
        """
        wait_s = 2 * self._timing.election_s
        if now - self._leader_spoke_at < wait_s:
            return True
        recent = {
            member
            for member, at in self._voters_heard.items()
            if now - at < wait_s
        }
        return self._is_quorum({self.me, *recent})

    def take(self) -> Actions:
        """Hand out what has to be done, once."""
        actions = self._actions
        self._actions = Actions()
        if self._handed_out < self.commit:
            first = self._handed_out + 1
            actions.committed = self.log.between(first, self.commit)
            self._handed_out = self.commit
        return actions

    def synced(self, now: float) -> None:
        """Learn that all that was handed out to save is durable."""
        self._durable = self.log.last_index
        if self.role is Role.CANDIDATE and self.vote == _key(self.me):
            self._count_vote(self.me, now)
        if self.is_leader:
            self._advance_commit()

    def propose(self, commands: typing.Sequence[bytes], now: float) -> int:
        """Append commands to the log.

        :returns: the index of the last one
        :raises errors.NotLeader: when this member doesn't lead
        """
        self._require_leader()
        self._now = now
        for data in commands:
            self._append(EntryKind.COMMAND, data=data)
        self._broadcast(now)
        return self.log.last_index

    def change_config(self, config: GroupConfig, now: float) -> None:
        """Propose a config that differs by one voter at most.

        :raises errors.NotLeader: when this member doesn't lead
        :raises errors.Conflict: when an earlier change is under way or
            this one changes more than one voter
        """
        self._require_leader()
        changed = set(config.voters) ^ set(self.config.voters)
        if len(changed) > 1:
            raise errors.Conflict("one voter at a time")
        if not self._may_change_config():
            raise errors.Conflict("an earlier change is not committed")
        self._append(EntryKind.CONFIG, config=config)
        self._broadcast(now)

    def compact(self, data: bytes, index: int) -> Snapshot:
        """Begin the log after an applied entry.

        :param data: the state after that entry
        :returns: the snapshot, for the driver to save
        """
        term = self.log.term_at(index)
        if term is None or index > self._handed_out:
            raise errors.Conflict("that entry is not applied")
        config = self.log.snapshot.config
        for entry in self.log.between(self.log.snapshot.index + 1, index):
            if entry.kind is EntryKind.CONFIG:
                config = entry.config
        snapshot = Snapshot(index, term, config, data)
        self.log.compact(snapshot)
        return snapshot

    def resign(self, now: float) -> None:
        """Hand leadership to the member that is furthest, if there is one.

        From now on this member stands for election late only.
        """
        self._is_reluctant = True
        if not self.is_leader:
            return
        self._transfer(list(self.config.voters), now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._now = now
        if self.is_leader:
            self._tick_leader(now)
        elif not self.is_voter:
            self._ask_to_join(now)
        elif now >= self._election_at:
            self._campaign(now, is_pre=True)

    def receive(self, message: Message, now: float) -> None:
        """Take a message in; those for a former disk are dropped."""
        self._now = now
        if isinstance(message, JoinRequest):
            self._on_join(message, now)
            return
        if message.to != self.me:
            return
        self._voters_heard[message.sender] = now
        is_pre_vote = (
            isinstance(message, VoteRequest | VoteReply) and message.is_pre
        )
        if message.term > self.term and not is_pre_vote:
            if isinstance(message, VoteRequest) and self._is_led(message, now):
                return
            self._follow(message.term, None, now)
        handlers: dict[type, typing.Callable[..., None]] = {
            VoteRequest: self._on_vote_request,
            VoteReply: self._on_vote_reply,
            AppendRequest: self._on_append,
            AppendReply: self._on_append_reply,
            SnapshotChunk: self._on_snapshot,
            Campaign: self._on_campaign,
        }
        handlers[type(message)](message, now)

    def _require_leader(self) -> None:
        if not self.is_leader:
            leader = self.leader.name if self.leader else ""
            raise errors.NotLeader(
                f"{self.group}: not led here", leader=leader
            )

    def _reset_election(self, now: float) -> None:
        base = self._timing.election_s
        if self._is_reluctant:
            base *= RELUCTANCE
        self._election_at = now + self._rng.uniform(base, 2 * base)

    def _is_led(self, message: VoteRequest, now: float) -> bool:
        if message.is_transfer:
            return False
        if self.is_leader:
            return True
        age = now - self._heard_leader_at
        return age < self._timing.election_s

    def _campaign(
        self, now: float, *, is_pre: bool, is_transfer: bool = False
    ) -> None:
        self._reset_election(now)
        self.leader = None
        self._votes = set()
        if is_pre:
            self.role = Role.PRE_CANDIDATE
        else:
            self.role = Role.CANDIDATE
            self.term += 1
            self._cast_vote(_key(self.me))
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
            self._late(request)
        if is_pre:
            self._count_vote(self.me, now)

    def _cast_vote(self, vote: str) -> None:
        self.vote = vote
        self._actions.hard_state = (self.term, self.vote)

    def _on_vote_request(self, message: VoteRequest, now: float) -> None:
        granted = self._would_vote(message, now)
        if granted and not message.is_pre:
            self._cast_vote(_key(message.sender))
            self._reset_election(now)
        # A refused pre-vote carries this member's own term, so that a
        # candidate behind the times catches up.
        term = message.term if message.is_pre and granted else self.term
        reply = VoteReply(
            group=self.group,
            to=message.sender,
            sender=self.me,
            term=term,
            is_granted=granted,
            is_pre=message.is_pre,
        )
        self._late(reply)

    def _would_vote(self, message: VoteRequest, now: float) -> bool:
        # Whose vote counts is the candidate's to say: its config may be
        # newer than the one here, and it names this very disk.
        if message.term < self.term or self._is_led(message, now):
            return False
        theirs = (message.last_term, message.last_index)
        if theirs < (self.log.last_term, self.log.last_index):
            return False
        if message.is_pre:
            return message.term > self.term
        return self.vote in ("", _key(message.sender))

    def _on_vote_reply(self, message: VoteReply, now: float) -> None:
        if message.is_pre:
            wanted = Role.PRE_CANDIDATE, self.term + 1
            if not message.is_granted and message.term > self.term:
                self._follow(message.term, None, now)
                return
        else:
            wanted = Role.CANDIDATE, self.term
        if message.is_granted and wanted == (self.role, message.term):
            self._count_vote(message.sender, now)

    def _count_vote(self, voter: Member, now: float) -> None:
        self._votes.add(voter)
        if not self._is_quorum(self._votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, is_pre=False)
        elif self.role is Role.CANDIDATE:
            self._lead(now)

    def _is_quorum(self, members: typing.Collection[Member]) -> bool:
        voters = self.config.voters
        count = sum(member in members for member in voters)
        return count * 2 > len(voters)

    def _lead(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.me
        self._followers.clear()
        self._append(EntryKind.NOOP)
        self._refresh_followers(now)
        self._broadcast(now)

    def _follow(self, term: int, leader: Member | None, now: float) -> None:
        if term > self.term:
            self.term = term
            self._cast_vote("")
        self.role = Role.FOLLOWER
        self.leader = leader
        self._reset_election(now)

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
            raise errors.ProtocolError("a committed entry would change")
        self.log.append(entry)
        self._durable = min(self._durable, entry.index - 1)
        pending = self._actions.entries
        while pending and pending[-1].index >= entry.index:
            pending.pop()
        pending.append(entry)
        was_config = self._config_index >= entry.index
        if entry.kind is EntryKind.CONFIG or was_config:
            self._config_index, self.config = self.log.config()

    def _refresh_followers(self, now: float) -> None:
        self._followers.refresh(
            self.config.members, next_index=self.log.last_index, now=now
        )

    def _broadcast(self, now: float) -> None:
        self._refresh_followers(now)
        for member, progress in self._followers.items():
            self._send_entries(member, progress)
        self._beats_at = now + self._timing.heartbeat_s

    def _send_entries(
        self, member: Member, progress: _followers.Follower
    ) -> None:
        if progress.next <= self.log.snapshot.index:
            if progress.snapshot_offset < 0:
                progress.snapshot_offset = 0
            self._send_chunk(member, progress)
            return
        progress.snapshot_offset = -1
        prev = progress.next - 1
        entries = self.log.batch(progress.next)
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
        progress.next += len(entries)
        self._early(request)

    def _send_chunk(
        self, member: Member, progress: _followers.Follower
    ) -> None:
        snapshot = self.log.snapshot
        offset = min(progress.snapshot_offset, len(snapshot.data))
        data = snapshot.data[offset : offset + CHUNK_BYTES]
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
        self._early(chunk)

    def _on_append_reply(self, message: AppendReply, now: float) -> None:
        progress = self._followers.get(message.sender)
        if not self.is_leader or message.term != self.term or progress is None:
            return
        progress.heard_at = now
        progress.answered = max(progress.answered, message.stamp)
        if progress.snapshot_offset >= 0:
            self._on_chunk_reply(message, progress)
            return
        if not message.is_accepted:
            hint = min(message.index, progress.next - 1)
            progress.next = max(progress.match + 1, hint)
            self._send_entries(message.sender, progress)
            return
        progress.match = max(progress.match, message.index)
        progress.next = max(progress.next, progress.match + 1)
        self._advance_commit()
        if progress.next <= self.log.last_index:
            self._send_entries(message.sender, progress)
        self._tend_learner(message.sender, progress, now)

    def _on_chunk_reply(
        self, message: AppendReply, progress: _followers.Follower
    ) -> None:
        if message.is_accepted:
            progress.snapshot_offset = -1
            progress.match = max(progress.match, message.index)
            progress.next = max(progress.match + 1, 1)
        else:
            progress.snapshot_offset = message.index
        self._send_entries(message.sender, progress)

    def _advance_commit(self) -> None:
        agreed = self._followers.agreed(self.config.voters, self._durable)
        if agreed > self.commit and self.log.term_at(agreed) == self.term:
            self.commit = agreed
            self._after_commit()

    def _after_commit(self) -> None:
        if not self.is_voter and self._config_index <= self.commit:
            self.role = Role.FOLLOWER
            self.leader = None

    def _tick_leader(self, now: float) -> None:
        within_s = self._timing.election_s
        recent = {self.me, *self._followers.heard(now, within_s=within_s)}
        if not self._is_quorum(recent):
            self._follow(self.term, None, now)
            return
        if now < self._beats_at:
            return
        self._broadcast(now)
        if self._is_reluctant:
            self._transfer([m for m in self.config.voters if m in recent], now)

    def _transfer(
        self, candidates: typing.Sequence[Member], now: float
    ) -> None:
        target = self._followers.furthest(candidates, self.log.last_index)
        if target is not None:
            self._transferred = self.term
            self._early(Campaign(self.group, target, self.me, self.term))

    def _may_change_config(self) -> bool:
        return (
            self._config_index <= self.commit
            and self.log.term_at(self.commit) == self.term
        )

    def _ask_to_join(self, now: float) -> None:
        if now < self._joins_at:
            return
        self._joins_at = now + JOIN_S
        names = set(self._peers)
        names.update(member.name for member in self.config.members)
        names.discard(self.me.name)
        for name in sorted(names):
            self._actions.early.append(
                Send(name, JoinRequest(self.group, self.me))
            )

    def _on_join(self, message: JoinRequest, now: float) -> None:
        if not self.is_leader or not self._may_change_config():
            return
        config = self.config
        if message.sender in config.members:
            return
        former = [
            member
            for member in config.members
            if member.name == message.sender.name
        ]
        voters = tuple(m for m in config.voters if m not in former)
        learners = tuple(m for m in config.learners if m not in former)
        if not former:
            learners += (message.sender,)
        if not voters:
            return
        self.change_config(GroupConfig(voters, learners), now)

    def _tend_learner(
        self, member: Member, progress: _followers.Follower, now: float
    ) -> None:
        config = self.config
        if member not in config.learners or not self._may_change_config():
            return
        if progress.match < self.commit:
            return
        if 0 < self._voters_wanted <= len(config.voters):
            self._replace_silent(config, now)
            return
        learners = tuple(m for m in config.learners if m != member)
        voters = (*config.voters, member)
        self.change_config(GroupConfig(voters, learners), now)

    def _replace_silent(self, config: GroupConfig, now: float) -> None:
        """Take the vote of a voter that has been silent for long."""
        heard = self._followers.heard(now, within_s=SILENT_S)
        silent = [m for m in config.voters if m not in (self.me, *heard)]
        if not silent:
            return
        voters = tuple(m for m in config.voters if m != silent[0])
        self.change_config(GroupConfig(voters, config.learners), now)

    def _on_append(self, message: AppendRequest, now: float) -> None:
        self._stamp = message.stamp
        if message.term < self.term:
            self._reply_append(message.sender, False, 0)
            return
        self._follow(message.term, message.sender, now)
        self._heard_leader_at = self._leader_spoke_at = now
        prev = message.prev_index
        if prev < self.log.snapshot.index:
            # All up to the snapshot is committed, so it matches.
            self._reply_append(message.sender, True, self.log.snapshot.index)
            return
        if self.log.term_at(prev) != message.prev_term:
            self._reply_append(message.sender, False, self._hint(prev))
            return
        for entry in message.entries:
            if self.log.term_at(entry.index) != entry.term:
                self._store(entry)
        last = prev + len(message.entries)
        self.commit = max(self.commit, min(message.commit, last))
        self._reply_append(message.sender, True, last)

    def _hint(self, prev: int) -> int:
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
            stamp=self._stamp,
        )
        self._late(reply)

    def _on_snapshot(self, message: SnapshotChunk, now: float) -> None:
        self._stamp = 0.0
        if message.term < self.term:
            self._reply_append(message.sender, False, 0)
            return
        self._follow(message.term, message.sender, now)
        self._heard_leader_at = self._leader_spoke_at = now
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
        self.log.restart(snapshot)
        self._actions.entries = []
        self._actions.install = snapshot
        self._actions.committed = []
        self.commit = self._handed_out = snapshot.index
        self._config_index, self.config = self.log.config()

    def _early(self, message: typing.Any) -> None:
        self._actions.early.append(Send(message.to.name, message))

    def _late(self, message: typing.Any) -> None:
        self._actions.late.append(Send(message.to.name, message))


def _key(member: Member) -> str:
    return f"{member.name}/{member.disk}"
