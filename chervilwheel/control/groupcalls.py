"""Run commands on the leader of the group, local or remote."""

import itertools
import logging
import typing

from chervilwheel import grouphost
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel import timers

_LOG = logging.getLogger("control")
RETRY_S = 0.04
# A command that the leader doesn't answer within this time is sent again.
REPLY_TIMEOUT_S = 0.4

ResultCallback = typing.Callable[[bytes | None], None]


class _Call:
    """A command and the callback for its result."""

    def __init__(
        self, *, command: bytes, deadline: float, done: ResultCallback
    ):
        self.command = command
        self.deadline = deadline
        self.done = done
        self.is_done = False


class GroupCalls:
    """Send commands to the leader that the local replica knows.

    Commands are retried and may be applied twice, so each must be
    idempotent.

    :param host: runs the local replica
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
        self._pending: dict[int, _Call] = {}
        links.handle(messages.GroupRequest, self._on_request)
        links.handle(messages.GroupReply, self._on_reply_message)

    def call(
        self, command: bytes, timeout_s: float, done: ResultCallback
    ) -> None:
        """Run a command.

        :param timeout_s: time after which ``done`` receives None, seconds
        :param done: receives the encoded result
        """
        deadline = self._heap.clock.now() + timeout_s
        call = _Call(command=command, deadline=deadline, done=done)
        self._heap.call_at(deadline, lambda: self._complete(call, None))
        self._send(call)

    def _send(self, call: _Call) -> None:
        if call.is_done:
            return
        number = next(self._numbers)
        request = messages.GroupRequest(
            number, self._host.group, (call.command,)
        )
        member = self._host.member
        if member.is_leader:
            self._pending[number] = call
            self._host.request(request, self._on_reply)
            return
        leader = member.leader
        if leader is not None and self._links.send(leader.name, request):
            self._pending[number] = call
            self._heap.call_later(REPLY_TIMEOUT_S, lambda: self._retry(number))
        else:
            self._heap.call_later(RETRY_S, lambda: self._send(call))

    def _retry(self, number: int) -> None:
        call = self._pending.pop(number, None)
        if call is not None:
            self._send(call)

    def _on_request(
        self, link: peers.Link, request: messages.GroupRequest
    ) -> None:
        if request.group == self._host.group:
            self._host.request(request, link.send)

    def _on_reply_message(
        self, _link: peers.Link, reply: messages.GroupReply
    ) -> None:
        self._on_reply(reply)

    def _on_reply(self, reply: messages.GroupReply) -> None:
        call = self._pending.pop(reply.number, None)
        if call is None:
            return
        if reply.status == messages.STATUS.ok and reply.results:
            self._complete(call, reply.results[0])
        else:
            self._heap.call_later(RETRY_S, lambda: self._send(call))

    def _complete(self, call: _Call, result: bytes | None) -> None:
        if not call.is_done:
            call.is_done = True
            call.done(result)
