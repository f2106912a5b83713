"""Client of replica groups.

Batches commands, tracks the leader of each group and retries commands
whose reply is lost or that reach a member that isn't the leader.
"""

import itertools
import logging
import typing

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel import timers

_LOG = logging.getLogger("groups")
MAX_IN_FLIGHT = 1
MAX_COMMANDS = 256
REPLY_TIMEOUT_S = 0.8
RETRY_S = 0.05
SWEEP_S = 0.1

ResultCallback = typing.Callable[[bytes | None], None]


class _PendingCommand(typing.NamedTuple):
    """A command that has no result yet, and the callback for it."""

    command: bytes
    deadline: float
    done: ResultCallback


class _GroupState:
    """The assumed leader and the outstanding commands of one group."""

    def __init__(self, *, members: typing.Sequence[ids.InstanceId]) -> None:
        self.members = list(members)
        self.leader = members[0] if members else ids.InstanceId("")
        self.queue: list[_PendingCommand] = []
        self.in_flight: dict[int, tuple[float, list[_PendingCommand]]] = {}
        self.is_flush_scheduled = False


class GroupClient:
    """Send commands to the leaders of replica groups.

    Commands must be idempotent: a command is resent when its reply is
    lost, so it may be applied more than once.

    :param links: links to the other instances
    :param heap: timers
    :param groups: the members of each group
    """

    def __init__(
        self,
        *,
        links: peers.Peers,
        heap: timers.TimerHeap,
        groups: typing.Mapping[str, typing.Sequence[ids.InstanceId]],
    ) -> None:
        self._links = links
        self._heap = heap
        self._groups = {
            name: _GroupState(members=members)
            for name, members in groups.items()
        }
        self._numbers = itertools.count(1)
        links.handle(messages.GroupReply, self._on_reply)
        links.on_link_lost(self._on_lost)
        heap.call_every(SWEEP_S, self._sweep)
        self._watchers: dict[int, typing.Callable[[bytes], None]] = {}

    def execute(
        self,
        group: str,
        command: bytes,
        timeout_s: float,
        done: ResultCallback,
    ) -> None:
        """Run a command and pass its encoded result to a callback.

        :param timeout_s: timeout, seconds; when it passes without a
            result, ``done`` is called with None
        """
        state = self._groups.get(group)
        if state is None or not state.members:
            done(None)
            return
        deadline = self._heap.clock.now() + timeout_s
        state.queue.append(_PendingCommand(command, deadline, done))
        self._schedule_flush(group, state)

    def watch(
        self,
        group: str,
        job: ids.JobId,
        on_finished: typing.Callable[[bytes], None],
    ) -> int:
        """Call back with the encoded result once a submission finishes.

        :returns: the number of the watch, for :meth:`resend_watch` and
            :meth:`unwatch`
        """
        number = next(self._numbers)
        self._watchers[number] = on_finished
        self.resend_watch(group, job, number)
        return number

    def resend_watch(self, group: str, job: ids.JobId, number: int) -> None:
        """Send a watch again, since the group's leader may have changed."""
        state = self._groups.get(group)
        if state is not None:
            request = messages.WatchRequest(number, group, job)
            self._links.send(state.leader, request)

    def unwatch(self, number: int) -> None:
        """Cancel a watch."""
        self._watchers.pop(number, None)

    def _schedule_flush(self, name: str, group: _GroupState) -> None:
        if group.is_flush_scheduled or len(group.in_flight) >= MAX_IN_FLIGHT:
            return
        group.is_flush_scheduled = True
        self._heap.call_later(0.0, lambda: self._flush(name, group))

    def _flush(self, name: str, group: _GroupState) -> None:
        group.is_flush_scheduled = False
        while group.queue and len(group.in_flight) < MAX_IN_FLIGHT:
            batch = group.queue[:MAX_COMMANDS]
            del group.queue[:MAX_COMMANDS]
            self._send(name, group, batch)

    def _send(
        self, name: str, group: _GroupState, batch: list[_PendingCommand]
    ) -> None:
        number = next(self._numbers)
        expires_at = self._heap.clock.now() + REPLY_TIMEOUT_S
        group.in_flight[number] = (expires_at, batch)
        request = messages.GroupRequest(
            number, name, tuple(entry.command for entry in batch)
        )
        if not self._links.send(group.leader, request):
            self._advance_leader(group)
            self._requeue(name, group, number)

    def _on_reply(self, _: peers.Link, reply: messages.GroupReply) -> None:
        group = self._groups.get(reply.group)
        if group is None:
            return
        if reply.status == messages.STATUS.finished:
            on_finished = self._watchers.pop(reply.number, None)
            if on_finished is not None:
                on_finished(reply.results[0])
            return
        if reply.status == messages.STATUS.ok:
            self._complete(group, reply)
        elif reply.number in group.in_flight:
            if reply.leader in group.members:
                group.leader = reply.leader
            elif reply.status == messages.STATUS.not_leader:
                self._advance_leader(group)
            self._requeue(reply.group, group, reply.number)
        self._schedule_flush(reply.group, group)

    def _complete(
        self, group: _GroupState, reply: messages.GroupReply
    ) -> None:
        _, batch = group.in_flight.pop(reply.number, (0.0, []))
        group.leader = reply.leader
        for entry, result in zip(batch, reply.results, strict=False):
            entry.done(result)

    def _requeue(self, name: str, group: _GroupState, number: int) -> None:
        _, batch = group.in_flight.pop(number)
        group.queue[:0] = batch
        if not group.is_flush_scheduled:
            group.is_flush_scheduled = True
            self._heap.call_later(RETRY_S, lambda: self._flush(name, group))

    @staticmethod
    def _advance_leader(group: _GroupState) -> None:
        index = 0
        if group.leader in group.members:
            index = group.members.index(group.leader) + 1
        group.leader = group.members[index % len(group.members)]

    def _on_lost(self, peer: ids.InstanceId) -> None:
        for name, group in self._groups.items():
            if group.leader == peer:
                self._advance_leader(group)
                for number in list(group.in_flight):
                    self._requeue(name, group, number)

    def _sweep(self) -> None:
        now = self._heap.clock.now()
        for name, group in self._groups.items():
            timed_out = [
                number
                for number, (expires_at, _) in group.in_flight.items()
                if expires_at <= now
            ]
            if timed_out:
                self._advance_leader(group)
            for number in timed_out:
                self._requeue(name, group, number)
            expired = [entry for entry in group.queue if entry.deadline <= now]
            if expired:
                group.queue = [
                    entry for entry in group.queue if entry.deadline > now
                ]
            for entry in expired:
                entry.done(None)
