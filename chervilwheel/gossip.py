"""Carry membership datagrams over UDP, authenticated by the key."""

import hmac
import logging
import socket
import typing

from chervilwheel import addresses
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import membership
from chervilwheel import messages
from chervilwheel import streams
from chervilwheel import timers

_LOG = logging.getLogger("gossip")
TICK_S = 0.1
MAC_BYTES = 16
MAX_DATAGRAM_BYTES = 65_507


class GossipSocket:
    """Drive a membership view over a datagram socket.

    :param view: the membership view
    :param address: where to listen
    :param key: the key all instances share
    :param loop: the stream loop
    :param heap: timers
    :param changed: called when the view has changed
    :param is_cut: tells whether a rehearsal drops traffic with a peer
    """

    def __init__(
        self,
        *,
        view: membership.Membership,
        address: addresses.Address,
        key: bytes,
        loop: streams.StreamLoop,
        heap: timers.TimerHeap,
        changed: typing.Callable[[], None],
        is_cut: typing.Callable[[ids.InstanceId, str], bool],
    ) -> None:
        self._view = view
        self._key = key
        self._heap = heap
        self._changed = changed
        self._is_cut = is_cut
        self._revision = -1
        self.bytes_sent = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(tuple(address))
        loop.watch_reads(self._sock, self._on_readable)
        heap.every(TICK_S, self._tick)

    def suspect(self, name: ids.InstanceId) -> None:
        """Probe an instance at once."""
        self._send(self._view.suspect(name, self._heap.clock.now()))

    def farewell(self) -> None:
        """Tell everyone that this instance leaves."""
        self._send(self._view.farewell())

    def say_draining(self) -> None:
        """Tell everyone that this instance takes no more work."""
        alive = messages.MemberState.ALIVE
        self._send(self._view.describe(state=alive, is_draining=True))
        self._note_change()

    def _tick(self) -> None:
        self._send(self._view.tick(self._heap.clock.now()))
        self._note_change()

    def _on_readable(self) -> None:
        while True:
            try:
                data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, OSError):
                break
            self._take(data, addresses.Address(*source))
        self._note_change()

    def _take(self, data: bytes, source: addresses.Address) -> None:
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            _LOG.warning(
                "gossip: a datagram without proof", extra={"from": str(source)}
            )
            return
        try:
            message = messages.CODEC.decode(body)
        except errors.ProtocolError:
            return
        if not isinstance(message, messages.Gossip):
            return
        if self._is_cut(message.sender.name, "in"):
            return
        # Answers go to the address that the peer listens on.
        source = addresses.Address(message.sender.host, message.sender.port)
        now = self._heap.clock.now()
        self._send(self._view.receive(message, source, now))

    def _send(self, datagrams: list[membership.Datagram]) -> None:
        for datagram in datagrams:
            if self._is_cut_address(datagram.to):
                continue
            body = messages.CODEC.encode(datagram.message)
            data = self._mac(body) + body
            self.bytes_sent += len(data)
            try:
                self._sock.sendto(data, tuple(datagram.to))
            except OSError as exc:
                _LOG.debug("gossip: not sent", extra={"error": str(exc)})

    def _is_cut_address(self, to: addresses.Address) -> bool:
        for info in self._view.all():
            if (info.host, info.port) == tuple(to):
                return self._is_cut(info.name, "out")
        return False

    def _note_change(self) -> None:
        if self._view.revision != self._revision:
            self._revision = self._view.revision
            self._changed()

    def _mac(self, body: bytes) -> bytes:
        return hmac.digest(self._key, body, "sha256")[:MAC_BYTES]
