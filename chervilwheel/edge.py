"""Guard the web server: whole requests only, one at a time."""

import collections
import json
import logging
import socket
import typing

import circuits
from circuits.net import events as net_events

from chervilwheel import clock
from chervilwheel import guard

_LOG = logging.getLogger("edge")
SWEEP_S = 0.25
MAX_WAITING = 64


class _Checked(net_events.read):
    """Bytes that passed the guard."""

    name = "read"


class _Caller:
    """What is known of one caller connection."""

    def __init__(self, *, gate: guard.RequestGate, now: float) -> None:
        self.gate = gate
        self.waiting: collections.deque[guard.CleanRequest] = (
            collections.deque()
        )
        self.is_busy = False
        self.closes = False
        self.refusal: guard.Refusal | None = None
        self.since = now


class Edge(circuits.BaseComponent):
    """Stand between the listening socket and the web library.

    :param limits: bounds of one request
    :param request_timeout_s: time to send a whole request, seconds
    :param idle_timeout_s: time an idle connection stays, seconds
    :param connections: caller connections at most
    :param clk: the clock
    """

    channel = "web"

    def __init__(
        self,
        *,
        limits: guard.Limits,
        request_timeout_s: float,
        idle_timeout_s: float,
        connections: int,
        clk: clock.Clock,
    ) -> None:
        super().__init__()
        self._limits = limits
        self._request_timeout_s = request_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._max = connections
        self._clock = clk
        self._callers: dict[socket.socket, _Caller] = {}
        self.last_answer = False

    @property
    def busy(self) -> int:
        """Requests that wait for their answer."""
        return sum(
            caller.is_busy + len(caller.waiting)
            for caller in self._callers.values()
        )

    @circuits.handler("connect", priority=100)
    def _on_connect(self, sock: socket.socket, *_: typing.Any) -> None:
        if len(self._callers) >= self._max:
            refusal = guard.Refusal(guard.Status.BUSY, "too many callers")
            self._send_refusal(sock, refusal)
            return
        gate = guard.RequestGate(limits=self._limits)
        self._callers[sock] = _Caller(gate=gate, now=self._clock.now())

    @circuits.handler("disconnect", priority=100)
    def _on_disconnect(self, sock: socket.socket, *_: typing.Any) -> None:
        self._callers.pop(sock, None)

    @circuits.handler("read", priority=100)
    def _on_read(
        self, event: typing.Any, sock: socket.socket, data: bytes
    ) -> None:
        if isinstance(event, _Checked):
            return
        event.stop()
        caller = self._callers.get(sock)
        if caller is None or caller.refusal is not None:
            return
        if not caller.gate.is_partial:
            caller.since = self._clock.now()
        for framed in caller.gate.feed(data):
            self._take(sock, caller, framed)
        if len(caller.waiting) > MAX_WAITING:
            caller.refusal = guard.Refusal(
                guard.Status.BAD_REQUEST, "too many requests wait"
            )
        self._next(sock, caller)

    def _take(
        self, sock: socket.socket, caller: _Caller, framed: guard.Framed
    ) -> None:
        if isinstance(framed, guard.CleanRequest):
            caller.waiting.append(framed)
        elif isinstance(framed, guard.Refusal):
            caller.refusal = framed
        elif not caller.is_busy and not caller.waiting:
            self.fire(net_events.write(sock, guard.CONTINUE))

    def _next(self, sock: socket.socket, caller: _Caller) -> None:
        if caller.is_busy:
            return
        if caller.waiting:
            req = caller.waiting.popleft()
            caller.is_busy = True
            caller.closes = not req.keep_alive
            self.fire(_Checked(sock, req.data))
        elif caller.refusal is not None:
            self._callers.pop(sock, None)
            self._send_refusal(sock, caller.refusal)

    @circuits.handler("response_complete", channel="*")
    def _on_response_complete(self, event: typing.Any, *_: typing.Any) -> None:
        res = event.args[0].args[0]
        sock = res.request.sock
        caller = self._callers.get(sock)
        if caller is None:
            return
        caller.is_busy = False
        caller.since = self._clock.now()
        if caller.closes or (self.last_answer and not caller.waiting):
            self._callers.pop(sock, None)
            self.fire(net_events.close(sock))
            return
        self._next(sock, caller)

    def sweep(self) -> None:
        """Close connections that took too long."""
        now = self._clock.now()
        for sock, caller in list(self._callers.items()):
            if caller.is_busy or caller.waiting:
                continue
            age = now - caller.since
            if caller.gate.is_partial and age > self._request_timeout_s:
                caller.refusal = guard.Refusal(
                    guard.Status.TIMEOUT, "the request came too slowly"
                )
                self._next(sock, caller)
            elif age > self._idle_timeout_s:
                self._callers.pop(sock, None)
                self.fire(net_events.close(sock))

    def _send_refusal(
        self, sock: socket.socket, refusal: guard.Refusal
    ) -> None:
        code, phrase = refusal.status.value
        body = json.dumps(
            {
                "type": "about:blank",
                "title": phrase,
                "status": code,
                "detail": refusal.detail,
            }
        ).encode()
        head = (
            f"HTTP/1.1 {code} {phrase}\r\n"
            "Content-Type: application/problem+json\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.fire(net_events.write(sock, head.encode() + body))
        self.fire(net_events.close(sock))
