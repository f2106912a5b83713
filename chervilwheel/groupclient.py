"""Ask replica groups: batching, finding the leader, retrying."""

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

Done = typing.Callable[[bytes | None], None]


class _Ask(typing.NamedTuple):
    """One command and who waits for its result."""

    command: bytes
    give_up_at: float
    done: Done


class _Group:
    """What the client knows of one group."""

    def __init__(self, *, members: typing.Sequence[ids.InstanceId]) -> None:
        self.members = list(members)
        self.leader = members[0] if members else ids.InstanceId("")
        self.waiting: list[_Ask] = []
        self.in_flight: dict[int, tuple[float, list[_Ask]]] = {}
        self.is_flush_due = False


class GroupClient:
    """Send commands to the leaders of replica groups.

    Every command must be safe to apply twice: it is sent again when an
    answer is lost.

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
            name: _Group(members=members) for name, members in groups.items()
        }
        self._numbers = itertools.count(1)
        links.handle(messages.GroupReply, self._on_reply)
        links.on_lost(self._on_lost)
        heap.every(SWEEP_S, self._sweep)
        self._watchers: dict[int, typing.Callable[[bytes], None]] = {}

    def ask(
        self, group: str, command: bytes, give_up_s: float, done: Done
    ) -> None:
        """Run a command.

        :param give_up_s: time after which ``done`` is given None, seconds
        """
        known = self._groups.get(group)
        if known is None or not known.members:
            done(None)
            return
        give_up_at = self._heap.clock.now() + give_up_s
        known.waiting.append(_Ask(command, give_up_at, done))
        self._flush_soon(group, known)

    def watch(
        self,
        group: str,
        job: ids.JobId,
        told: typing.Callable[[bytes], None],
    ) -> int:
        """Ask to be told when a submission finishes.

        :returns: a number to ask again with or to stop watching
        """
        number = next(self._numbers)
        self._watchers[number] = told
        self.rewatch(group, job, number)
        return number

    def rewatch(self, group: str, job: ids.JobId, number: int) -> None:
        """Ask again, since the one asked may lead no more."""
        known = self._groups.get(group)
        if known is not None:
            request = messages.WatchRequest(number, group, job)
            self._links.send(known.leader, request)

    def unwatch(self, number: int) -> None:
        """Stop being told."""
        self._watchers.pop(number, None)

    def _flush_soon(self, name: str, group: _Group) -> None:
        if group.is_flush_due or len(group.in_flight) >= MAX_IN_FLIGHT:
            return
        group.is_flush_due = True
        self._heap.call_later(0.0, lambda: self._flush(name, group))

    def _flush(self, name: str, group: _Group) -> None:
        group.is_flush_due = False
        while group.waiting and len(group.in_flight) < MAX_IN_FLIGHT:
            asks = group.waiting[:MAX_COMMANDS]
            del group.waiting[:MAX_COMMANDS]
            self._send(name, group, asks)

    def _send(self, name: str, group: _Group, asks: list[_Ask]) -> None:
        number = next(self._numbers)
        expires_at = self._heap.clock.now() + REPLY_TIMEOUT_S
        group.in_flight[number] = (expires_at, asks)
        request = messages.GroupRequest(
            number, name, tuple(ask.command for ask in asks)
        )
        if not self._links.send(group.leader, request):
            self._try_next(group)
            self._put_back(name, group, number)

    def _on_reply(self, _: peers.Link, reply: messages.GroupReply) -> None:
        group = self._groups.get(reply.group)
        if group is None:
            return
        if reply.status == messages.STATUS.finished:
            told = self._watchers.pop(reply.number, None)
            if told is not None:
                told(reply.results[0])
            return
        if reply.status == messages.STATUS.ok:
            self._finish(group, reply)
        elif reply.number in group.in_flight:
            if reply.leader in group.members:
                group.leader = reply.leader
            elif reply.status == messages.STATUS.not_leader:
                self._try_next(group)
            self._put_back(reply.group, group, reply.number)
        self._flush_soon(reply.group, group)

    def _finish(self, group: _Group, reply: messages.GroupReply) -> None:
        _, asks = group.in_flight.pop(reply.number, (0.0, []))
        group.leader = reply.leader
        for ask, result in zip(asks, reply.results, strict=False):
            ask.done(result)

    def _put_back(self, name: str, group: _Group, number: int) -> None:
        _, asks = group.in_flight.pop(number)
        group.waiting[:0] = asks
        if not group.is_flush_due:
            group.is_flush_due = True
            self._heap.call_later(RETRY_S, lambda: self._flush(name, group))

    @staticmethod
    def _try_next(group: _Group) -> None:
        place = 0
        if group.leader in group.members:
            place = group.members.index(group.leader) + 1
        group.leader = group.members[place % len(group.members)]

    def _on_lost(self, peer: ids.InstanceId) -> None:
        for name, group in self._groups.items():
            if group.leader == peer:
                self._try_next(group)
                for number in list(group.in_flight):
                    self._put_back(name, group, number)

    def _sweep(self) -> None:
        now = self._heap.clock.now()
        for name, group in self._groups.items():
            late = [
                number
                for number, (expires_at, _) in group.in_flight.items()
                if expires_at <= now
            ]
            if late:
                self._try_next(group)
            for number in late:
                self._put_back(name, group, number)
            given_up = [a for a in group.waiting if a.give_up_at <= now]
            if given_up:
                group.waiting = [
                    a for a in group.waiting if a.give_up_at > now
                ]
            for ask in given_up:
                ask.done(None)
