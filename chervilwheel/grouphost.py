"""Run one replica: its journal, its state machine and client requests."""

import abc
import logging
import typing

from chervilwheel import batches
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import journal
from chervilwheel import messages
from chervilwheel import replica
from chervilwheel import timers

_LOG = logging.getLogger("group")
TICK_S = 0.02
FLUSH_S = 0.25
COMPACT_BYTES = 64 * 1024 * 1024
MAX_PROPOSED = 512
# Space on a full disk is freed by an operator or a clean-up job, so
# retrying more often gains nothing.
REOPEN_S = 1.0

Respond = typing.Callable[[messages.GroupReply], None]
SendTo = typing.Callable[[ids.InstanceId, typing.Any], typing.Any]
Reopen = typing.Callable[[], tuple[replica.Replica, journal.Journal]]


class Machine(abc.ABC):
    """A state machine to which the committed entries of a log are applied."""

    @property
    @abc.abstractmethod
    def last_wall_ms(self) -> int:
        """Wall time of the last batch applied, milliseconds."""

    @abc.abstractmethod
    def apply(self, data: bytes) -> list[bytes]:
        """Apply an entry; return an encoded reply for each command."""

    @abc.abstractmethod
    def dump(self) -> bytes:
        """Encode the whole state."""

    @abc.abstractmethod
    def load(self, data: bytes) -> None:
        """Replace the state; empty bytes stand for the initial state."""


class _PendingRequest(typing.NamedTuple):
    """A request whose commands are in the log but not yet applied."""

    number: int
    count: int
    respond: Respond


class _Status(typing.NamedTuple):
    """What is logged about the replica when it changes."""

    role: str
    term: int
    leader: str
    voters: tuple[str, ...]
    learners: tuple[str, ...]


class GroupHost:
    """Run one replica of one group.

    Saves the replica's actions to the journal, sends its messages, and
    applies committed entries to the state machine.

    :param group: the group's name
    :param member: the replica, restored from its disk
    :param group_journal: its journal, opened
    :param machine: its state machine, still empty
    :param heap: timers
    :param send: sends a message to an instance
    :param compact_bytes: size at which the journal is compacted
    :param reopen: reads the disk again after a failure and raises
        :class:`errors.StorageError` while it still fails; without it a
        replica stays halted after a disk failure
    :ivar on_leadership: called when the replica begins or stops to lead with
        all committed entries applied
    """

    def __init__(
        self,
        *,
        group: str,
        member: replica.Replica,
        group_journal: journal.Journal,
        machine: Machine,
        heap: timers.TimerHeap,
        send: SendTo,
        compact_bytes: int = COMPACT_BYTES,
        reopen: Reopen | None = None,
    ) -> None:
        self._compact_bytes = compact_bytes
        self._reopen = reopen
        self.group = group
        self.member = member
        self.is_halted = False
        self.halt_reason = ""
        self.syncs = 0
        self.on_sync: typing.Callable[[float], None] = lambda seconds: None
        self.commands = 0
        self.on_leadership: typing.Callable[[], None] = lambda: None
        self._is_serving = False
        self._journal = group_journal
        self._machine = machine
        self._heap = heap
        self._send = send
        self._applied_index = member.log.snapshot.index
        self._request_queue: list[tuple[messages.GroupRequest, Respond]] = []
        self._proposed: dict[int, tuple[int, list[_PendingRequest]]] = {}
        self._is_pump_scheduled = False
        self._deferred: list[replica.Entry] = []
        self._flushed_at = heap.clock.now()
        self._log_time_base = (0, heap.clock.now())
        self._logged_status: _Status | None = None
        machine.load(member.log.snapshot.data)
        heap.call_every(TICK_S, self._tick)
        self._schedule_pump()

    @property
    def is_leader(self) -> bool:
        """Whether the replica is the leader and is not halted."""
        return not self.is_halted and self.member.is_leader

    @property
    def has_applied_own_term(self) -> bool:
        """Whether an entry of the replica's term was applied.

        On a leader, so were all entries committed in earlier terms.
        """
        member = self.member
        return member.log.term_at(self._applied_index) == member.term

    @property
    def former_term(self) -> int:
        """Term of the last entry before the replica's term, 0 if unknown."""
        member = self.member
        index = self._applied_index
        while member.log.term_at(index) == member.term:
            index -= 1
        return member.log.term_at(index) or 0

    def request(
        self, request: messages.GroupRequest, respond: Respond
    ) -> None:
        """Queue commands; the reply is sent once they are applied."""
        if not self.is_leader:
            respond(self._not_leader_reply(request.number))
            return
        self._request_queue.append((request, respond))
        self._schedule_pump()

    def receive(self, message: replica.Message) -> None:
        """Process a message from another member of the group."""
        if self.is_halted:
            return
        try:
            self.member.receive(message, self._heap.clock.now())
        except errors.ChervilwheelError as exc:
            self._halt(exc)
            return
        self._schedule_pump()

    def resign(self) -> None:
        """Transfer leadership to another member, before a planned stop."""
        self.member.resign(self._heap.clock.now())
        self._schedule_pump()

    def begin_term(self) -> None:
        """Begin a new term as the leader."""
        self.member.begin_term(self._heap.clock.now())
        self._schedule_pump()

    def _tick(self) -> None:
        if self.is_halted:
            return
        self.member.tick(self._heap.clock.now())
        if not self.member.is_leader:
            self._fail_proposed()
        try:
            self._flush_deferred()
        except errors.ChervilwheelError as exc:
            self._halt(exc)
        self._pump()

    def _schedule_pump(self) -> None:
        if not self._is_pump_scheduled:
            self._is_pump_scheduled = True
            self._heap.call_later(0.0, self._pump)

    def _pump(self) -> None:
        self._is_pump_scheduled = False
        if self.is_halted:
            return
        try:
            if self._request_queue:
                self._propose_queued()
            while self._step():
                pass
            self._log_status()
            self._notify_leadership()
            self._compact_if_large()
        except errors.ChervilwheelError as exc:
            self._halt(exc)

    def _propose_queued(self) -> None:
        queued, self._request_queue = self._request_queue, []
        if not self.member.is_leader:
            for request, respond in queued:
                respond(self._not_leader_reply(request.number))
            return
        commands: list[bytes] = []
        waiting: list[_PendingRequest] = []
        for request, respond in queued:
            commands.extend(request.commands)
            waiting.append(
                _PendingRequest(request.number, len(request.commands), respond)
            )
        batch = batches.Batch(self._log_time_ms(), tuple(commands))
        data = batches.CODEC.encode(batch)
        now = self._heap.clock.now()
        index = self.member.propose([data], now)
        self._proposed[index] = (self.member.term, waiting)

    def _log_time_ms(self) -> int:
        # Time in the log advances with the monotonic clock only: a jump
        # of the wall clock must not make retained records expire early.
        now = self._heap.clock.now()
        base_ms, since = self._log_time_base
        applied_ms = self._machine.last_wall_ms
        if not base_ms:
            base_ms = applied_ms or int(self._heap.clock.wall() * 1000)
            since = now
        log_time_ms = max(base_ms + int((now - since) * 1000), applied_ms)
        self._log_time_base = (log_time_ms, now)
        return log_time_ms

    def _step(self) -> bool:
        actions = self.member.take_actions()
        if actions.is_empty:
            return False
        for send in actions.before_sync:
            self._send(send.to, send.message)
        if self._may_defer(actions):
            self._deferred.extend(actions.entries)
        elif actions.needs_sync:
            self._save(actions)
        for send in actions.after_sync:
            self._send(send.to, send.message)
        if actions.install is not None:
            self._machine.load(actions.install.data)
            self._applied_index = actions.install.index
        for entry in actions.committed:
            self._apply(entry)
        return True

    def _notify_leadership(self) -> None:
        is_serving = self.is_leader and self.has_applied_own_term
        if is_serving != self._is_serving:
            self._is_serving = is_serving
            self.on_leadership()

    def _log_status(self) -> None:
        """Log the role, term and members of the replica after a change."""
        member = self.member
        if member.role in (
            replica.Role.PRE_CANDIDATE,
            replica.Role.CANDIDATE,
        ):
            return
        status = _Status(
            member.role.value,
            member.term,
            member.leader.name if member.leader else "",
            tuple(each.name for each in member.config.voters),
            tuple(each.name for each in member.config.learners),
        )
        if status == self._logged_status:
            return
        self._logged_status = status
        _LOG.info(
            "group: status changed",
            extra={
                "group": self.group,
                **status._asdict(),
                "commit": member.commit,
                "last": member.log.last_index,
            },
        )

    def _may_defer(self, actions: replica.Actions) -> bool:
        """Whether the local sync of these entries may be deferred.

        The leader counts towards the quorum only up to what is synced on
        its own disk, so it may sync later while the other voters that
        reply form a quorum without it.
        """
        only_entries = (
            actions.entries
            and actions.hard_state is None
            and actions.install is None
            and not actions.after_sync
        )
        now = self._heap.clock.now()
        return bool(only_entries) and self.member.has_quorum_without_self(now)

    def _take_deferred(self, actions: replica.Actions) -> list[replica.Entry]:
        """Remove the deferred entries; return those not being overwritten."""
        deferred, self._deferred = self._deferred, []
        if actions.install is not None:
            return []
        if not actions.entries:
            return deferred
        first = actions.entries[0].index
        return [entry for entry in deferred if entry.index < first]

    def _flush_deferred(self) -> None:
        """Sync deferred entries after FLUSH_S, or if they aren't committed."""
        if not self._deferred:
            return
        now = self._heap.clock.now()
        is_uncommitted = self.member.commit < self._deferred[-1].index
        if is_uncommitted or now - self._flushed_at >= FLUSH_S:
            self._flushed_at = now
            self._save(replica.Actions())

    def _save(self, actions: replica.Actions) -> None:
        before = self._heap.clock.now()
        actions.entries = self._take_deferred(actions) + actions.entries
        self._journal.save(actions)
        self.syncs += 1
        self.on_sync(self._heap.clock.now() - before)
        self.member.on_synced(self._heap.clock.now())

    def _apply(self, entry: replica.Entry) -> None:
        self._applied_index = entry.index
        term, waiting = self._proposed.pop(entry.index, (0, []))
        results: list[bytes] = []
        if entry.kind is replica.EntryKind.COMMAND:
            results = self._machine.apply(entry.data)
            self.commands += len(results)
        is_own_term = term == entry.term
        for pending in waiting:
            own_results = (
                tuple(results[: pending.count]) if is_own_term else ()
            )
            del results[: pending.count]
            status = (
                messages.STATUS.ok if is_own_term else messages.STATUS.unknown
            )
            pending.respond(self._reply(pending.number, status, own_results))

    def _fail_proposed(self) -> None:
        pending, self._proposed = self._proposed, {}
        for _, waiting in pending.values():
            for each in waiting:
                each.respond(
                    self._reply(each.number, messages.STATUS.unknown, ())
                )

    def _compact_if_large(self) -> None:
        if self._journal.bytes_since_snapshot < self._compact_bytes:
            return
        self._deferred = []
        snapshot = self.member.compact(
            self._machine.dump(), self._applied_index
        )
        entries = self.member.log.entries_from(snapshot.index + 1)
        self._journal.compact(snapshot, entries)

    def _halt(self, exc: errors.ChervilwheelError) -> None:
        self.is_halted = True
        self.halt_reason = exc.detail
        _LOG.error(
            "group: halted",
            extra={"group": self.group, "error": exc.detail},
        )
        self._fail_proposed()
        for request, respond in self._request_queue:
            respond(self._not_leader_reply(request.number))
        self._request_queue = []
        if self._reopen is not None:
            self._heap.call_later(REOPEN_S, self._try_reopen)

    def _try_reopen(self) -> None:
        """Resume from the contents of the disk, as after a restart.

        Data written just before the failure may be readable without
        being durable, so everything read is written and synced again.
        """
        if self._reopen is None:
            return
        try:
            member, group_journal = self._reopen()
            snapshot = member.log.snapshot
            group_journal.compact(
                snapshot, member.log.entries_from(snapshot.index + 1)
            )
        except errors.ChervilwheelError as exc:
            _LOG.warning(
                "group: the disk still fails",
                extra={"group": self.group, "error": exc.detail},
            )
            self._heap.call_later(REOPEN_S, self._try_reopen)
            return
        self.member = member
        self._journal = group_journal
        self._machine.load(snapshot.data)
        self._applied_index = snapshot.index
        self._deferred = []
        self.is_halted = False
        self.halt_reason = ""
        _LOG.info(
            "group: reopened",
            extra={"group": self.group, "last": member.log.last_index},
        )
        self._schedule_pump()

    def _not_leader_reply(self, number: int) -> messages.GroupReply:
        leader = self.member.leader
        is_known = leader is not None and leader != self.member.me
        name = leader.name if is_known and leader else ids.InstanceId("")
        return messages.GroupReply(
            number, self.group, messages.STATUS.not_leader, name, ()
        )

    def _reply(
        self, number: int, status: str, results: tuple[bytes, ...]
    ) -> messages.GroupReply:
        leader = self.member.me.name
        return messages.GroupReply(number, self.group, status, leader, results)
