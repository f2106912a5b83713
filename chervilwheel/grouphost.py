"""Drive one replica: its journal, its state machine, its callers."""

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
TICK_S = 0.05
FLUSH_S = 0.25
COMPACT_BYTES = 64 * 1024 * 1024
MAX_PROPOSED = 512
# A disk that was full gets room by hand or by a clean-up, not sooner.
REOPEN_S = 1.0

Respond = typing.Callable[[messages.GroupReply], None]
SendTo = typing.Callable[[ids.InstanceId, typing.Any], typing.Any]
Reopen = typing.Callable[[], tuple[replica.Replica, journal.Journal]]


class Machine(abc.ABC):
    """A state machine that a replica's log drives."""

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
        """Take over an encoded state; empty bytes mean the first state."""


class _Pending(typing.NamedTuple):
    """A request whose commands wait in the log."""

    number: int
    count: int
    respond: Respond


class GroupHost:
    """Run one replica of one group.

    :param group: the group's name
    :param member: the replica, with its disk restored
    :param book: its journal, opened
    :param machine: its state machine, still empty
    :param heap: timers
    :param send: sends a message to an instance
    :param compact_bytes: the journal is cut short at this size
    :param reopen: reads the disk again after it failed and raises
        :class:`errors.StorageError` while it still fails; without it a
        replica whose disk failed stays halted
    """

    def __init__(
        self,
        *,
        group: str,
        member: replica.Replica,
        book: journal.Journal,
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
        self._book = book
        self._machine = machine
        self._heap = heap
        self._send = send
        self._applied = member.log.snapshot.index
        self._arrived: list[tuple[messages.GroupRequest, Respond]] = []
        self._pending: dict[int, tuple[int, list[_Pending]]] = {}
        self._is_pump_due = False
        self._deferred: list[replica.Entry] = []
        self._flushed_at = heap.clock.now()
        self._time_base = (0, heap.clock.now())
        machine.load(member.log.snapshot.data)
        heap.every(TICK_S, self._tick)
        self._pump_soon()

    @property
    def is_leader(self) -> bool:
        """Whether its replica leads, and its disk works."""
        return not self.is_halted and self.member.is_leader

    def request(
        self, request: messages.GroupRequest, respond: Respond
    ) -> None:
        """Take commands; the reply comes when they are applied."""
        if not self.is_leader:
            respond(self._refusal(request.number))
            return
        self._arrived.append((request, respond))
        self._pump_soon()

    def receive(self, message: replica.Message) -> None:
        """Take a message of the group in."""
        if self.is_halted:
            return
        try:
            self.member.receive(message, self._heap.clock.now())
        except errors.ChervilwheelError as exc:
            self._halt(exc)
            return
        self._pump_soon()

    def resign(self) -> None:
        """Hand leadership on, before a planned stop."""
        self.member.resign(self._heap.clock.now())
        self._pump_soon()

    def _tick(self) -> None:
        if self.is_halted:
            return
        self.member.tick(self._heap.clock.now())
        if not self.member.is_leader:
            self._fail_pending()
        try:
            self._flush_deferred()
        except errors.ChervilwheelError as exc:
            self._halt(exc)
        self._pump()

    def _pump_soon(self) -> None:
        if not self._is_pump_due:
            self._is_pump_due = True
            self._heap.call_later(0.0, self._pump)

    def _pump(self) -> None:
        self._is_pump_due = False
        if self.is_halted:
            return
        try:
            if self._arrived:
                self._propose_arrived()
            while self._step():
                pass
            self._compact_if_large()
        except errors.ChervilwheelError as exc:
            self._halt(exc)

    def _propose_arrived(self) -> None:
        arrived, self._arrived = self._arrived, []
        if not self.member.is_leader:
            for request, respond in arrived:
                respond(self._refusal(request.number))
            return
        commands: list[bytes] = []
        waiting: list[_Pending] = []
        for request, respond in arrived:
            commands.extend(request.commands)
            waiting.append(
                _Pending(request.number, len(request.commands), respond)
            )
        batch = batches.Batch(self._logical_ms(), tuple(commands))
        data = batches.CODEC.encode(batch)
        now = self._heap.clock.now()
        index = self.member.propose([data], now)
        self._pending[index] = (self.member.term, waiting)

    def _logical_ms(self) -> int:
        # Time in the log advances with the monotonic clock only, so
        # that a jump of the wall clock never ages what is remembered.
        now = self._heap.clock.now()
        base_ms, since = self._time_base
        applied_ms = self._machine.last_wall_ms
        if not base_ms:
            base_ms = applied_ms or int(self._heap.clock.wall() * 1000)
            since = now
        logical_ms = max(base_ms + int((now - since) * 1000), applied_ms)
        self._time_base = (logical_ms, now)
        return logical_ms

    def _step(self) -> bool:
        actions = self.member.take()
        if actions.is_empty:
            return False
        for send in actions.early:
            self._send(send.to, send.message)
        if self._may_defer(actions):
            self._deferred.extend(actions.entries)
        elif actions.needs_sync:
            self._save(actions)
        for send in actions.late:
            self._send(send.to, send.message)
        if actions.install is not None:
            self._machine.load(actions.install.data)
            self._applied = actions.install.index
        for entry in actions.committed:
            self._apply(entry)
        return True

    def _may_defer(self, actions: replica.Actions) -> bool:
        """Whether the followers' disks are enough for these entries.

        A leader counts itself only when its own disk is synced, so it
        may leave that for later while the others are a quorum.
        """
        only_entries = (
            actions.entries
            and actions.hard_state is None
            and actions.install is None
            and not actions.late
        )
        now = self._heap.clock.now()
        return bool(only_entries) and self.member.others_are_quorum(now)

    def _take_deferred(self, actions: replica.Actions) -> list[replica.Entry]:
        """Return deferred entries that the new ones don't replace."""
        deferred, self._deferred = self._deferred, []
        if actions.install is not None:
            return []
        if not actions.entries:
            return deferred
        first = actions.entries[0].index
        return [entry for entry in deferred if entry.index < first]

    def _flush_deferred(self) -> None:
        """Sync what was deferred: now and then, or when others lag."""
        if not self._deferred:
            return
        now = self._heap.clock.now()
        lags = self.member.commit < self._deferred[-1].index
        if lags or now - self._flushed_at >= FLUSH_S:
            self._flushed_at = now
            self._save(replica.Actions())

    def _save(self, actions: replica.Actions) -> None:
        before = self._heap.clock.now()
        actions.entries = self._take_deferred(actions) + actions.entries
        self._book.save(actions)
        self.syncs += 1
        self.on_sync(self._heap.clock.now() - before)
        self.member.synced(self._heap.clock.now())

    def _apply(self, entry: replica.Entry) -> None:
        self._applied = entry.index
        term, waiting = self._pending.pop(entry.index, (0, []))
        results: list[bytes] = []
        if entry.kind is replica.EntryKind.COMMAND:
            results = self._machine.apply(entry.data)
            self.commands += len(results)
        is_ours = term == entry.term
        for pending in waiting:
            mine = tuple(results[: pending.count]) if is_ours else ()
            del results[: pending.count]
            status = messages.STATUS.ok if is_ours else messages.STATUS.unknown
            pending.respond(self._reply(pending.number, status, mine))

    def _fail_pending(self) -> None:
        pending, self._pending = self._pending, {}
        for _, waiting in pending.values():
            for each in waiting:
                each.respond(
                    self._reply(each.number, messages.STATUS.unknown, ())
                )

    def _compact_if_large(self) -> None:
        if self._book.bytes_since_snapshot < self._compact_bytes:
            return
        self._deferred = []
        snapshot = self.member.compact(self._machine.dump(), self._applied)
        entries = self.member.log.since(snapshot.index + 1)
        self._book.compact(snapshot, entries)

    def _halt(self, exc: errors.ChervilwheelError) -> None:
        self.is_halted = True
        self.halt_reason = exc.detail
        _LOG.error(
            "group: halted",
            extra={"group": self.group, "error": exc.detail},
        )
        self._fail_pending()
        for request, respond in self._arrived:
            respond(self._refusal(request.number))
        self._arrived = []
        if self._reopen is not None:
            self._heap.call_later(REOPEN_S, self._try_reopen)

    def _try_reopen(self) -> None:
        """Go on from what the disk holds, as after a restart.

        What was written just before the failure can be read and yet not
        be durable, so all that is read is written anew.
        """
        if self._reopen is None:
            return
        try:
            member, book = self._reopen()
            snapshot = member.log.snapshot
            book.compact(snapshot, member.log.since(snapshot.index + 1))
        except errors.ChervilwheelError as exc:
            _LOG.warning(
                "group: the disk still fails",
                extra={"group": self.group, "error": exc.detail},
            )
            self._heap.call_later(REOPEN_S, self._try_reopen)
            return
        self.member = member
        self._book = book
        self._machine.load(snapshot.data)
        self._applied = snapshot.index
        self._deferred = []
        self.is_halted = False
        self.halt_reason = ""
        _LOG.info(
            "group: reopened",
            extra={"group": self.group, "last": member.log.last_index},
        )
        self._pump_soon()

    def _refusal(self, number: int) -> messages.GroupReply:
        leader = self.member.leader
        known = leader is not None and leader != self.member.me
        name = leader.name if known and leader else ids.InstanceId("")
        return messages.GroupReply(
            number, self.group, messages.STATUS.not_leader, name, ()
        )

    def _reply(
        self, number: int, status: str, results: tuple[bytes, ...]
    ) -> messages.GroupReply:
        leader = self.member.me.name
        return messages.GroupReply(number, self.group, status, leader, results)
