"""Run commands on the leader of the group, wherever it is."""

import itertools
import logging
import typing

from chervilwheel import grouphost
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel import timers

_LOG = logging.getLogger("control")
RETRY_S = 0.04
# A leader that doesn't answer for this time is asked again.
REPLY_TIMEOUT_S = 0.4

Done = typing.Callable[[bytes | None], None]


class _Ask:
    """One command and who waits for its result."""

    def __init__(self, *, command: bytes, give_up_at: float, done: Done):
        self.command = command
        self.give_up_at = give_up_at
        self.done = done
        self.is_over = False


class GroupCalls:
    """Send commands to the leader that the local replica knows.

    Every command must be safe to apply twice.

    :param host: the local replica's driver
    :param links: links to the other hosts
    :param heap: timers
    """

    def __init__(
        self,
        *,
        host: grouphost.GroupHost,
        links: peers.Peers,
        heap: timers.TimerHeap,
    ) -> None:
        self._host = host
        self._links = links
        self._heap = heap
        self._numbers = itertools.count(1)
        self._asks: dict[int, _Ask] = {}
        links.handle(messages.GroupRequest, self._on_request)
        links.handle(messages.GroupReply, self._on_reply_from)

    def ask(self, command: bytes, give_up_s: float, done: Done) -> None:
        """Run a command.

        :param give_up_s: time after which ``done`` is given None, seconds
        """
        give_up_at = self._heap.clock.now() + give_up_s
        ask = _Ask(command=command, give_up_at=give_up_at, done=done)
        self._heap.call_at(give_up_at, lambda: self._end(ask, None))
        self._send(ask)

    def _send(self, ask: _Ask) -> None:
        if ask.is_over:
            return
        number = next(self._numbers)
        request = messages.GroupRequest(
            number, self._host.group, (ask.command,)
        )
        member = self._host.member
        if member.is_leader:
            self._asks[number] = ask
            self._host.request(request, self._on_reply)
            return
        leader = member.leader
        if leader is not None and self._links.send(leader.name, request):
            self._asks[number] = ask
            self._heap.call_later(REPLY_TIMEOUT_S, lambda: self._retry(number))
        else:
            self._heap.call_later(RETRY_S, lambda: self._send(ask))

    def _retry(self, number: int) -> None:
        ask = self._asks.pop(number, None)
        if ask is not None:
            self._send(ask)

    def _on_request(
        self, link: peers.Link, request: messages.GroupRequest
    ) -> None:
        if request.group == self._host.group:
            self._host.request(request, link.send)

    def _on_reply_from(
        self, _link: peers.Link, reply: messages.GroupReply
    ) -> None:
        self._on_reply(reply)

    def _on_reply(self, reply: messages.GroupReply) -> None:
        ask = self._asks.pop(reply.number, None)
        if ask is None:
            return
        if reply.status == messages.STATUS.ok and reply.results:
            self._end(ask, reply.results[0])
        else:
            self._heap.call_later(RETRY_S, lambda: self._send(ask))

    def _end(self, ask: _Ask, result: bytes | None) -> None:
        if not ask.is_over:
            ask.is_over = True
            ask.done(result)
