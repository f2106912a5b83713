"""Membership gossip over UDP, authenticated with a shared key."""

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
    """Exchange a membership view with other instances over UDP.

    :param view: the membership view
    :param address: address to listen on
    :param key: secret shared by all instances
    :param loop: event loop that watches the socket
    :param heap: timers
    :param on_change: called after the view has on_change
    :param is_cut: whether a fault rehearsal drops a peer's traffic, given the
        peer and the direction, "in" or "out"
    """

    def __init__(
        self,
        *,
        view: membership.Membership,
        address: addresses.Address,
        key: bytes,
        loop: streams.StreamLoop,
        heap: timers.TimerHeap,
        on_change: typing.Callable[[], None],
        is_cut: typing.Callable[[ids.InstanceId, str], bool],
    ) -> None:
        self._view = view
        self._key = key
        self._heap = heap
        self._on_change = on_change
        self._is_cut = is_cut
        self._seen_revision = -1
        self.bytes_sent = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(tuple(address))
        loop.watch_datagrams(self._sock, self._on_readable)
        heap.call_every(TICK_S, self._tick)

    def suspect(self, name: ids.InstanceId) -> None:
        """Probe an instance immediately."""
        self._send(self._view.suspect(name, self._heap.clock.now()))

    def announce_leave(self) -> None:
        """Announce to all live members that this instance leaves."""
        self._send(self._view.announce_leave())

    def announce_draining(self) -> None:
        """Announce to all live members that this instance is draining."""
        alive = messages.MemberState.ALIVE
        self._send(self._view.announce_state(state=alive, is_draining=True))
        self._notify_if_changed()

    def _tick(self) -> None:
        self._send(self._view.tick(self._heap.clock.now()))
        self._notify_if_changed()

    def _on_readable(self) -> None:
        while True:
            try:
                data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, OSError):
                break
            self._receive(data, addresses.Address(*source))
        self._notify_if_changed()

    def _receive(self, data: bytes, source: addresses.Address) -> None:
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            _LOG.warning(
                "gossip: dropped a datagram with an invalid MAC",
                extra={"from": str(source)},
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
        # Replies go to the address that the peer listens on.
        source = addresses.Address(message.sender.host, message.sender.port)
        now = self._heap.clock.now()
        self._send(self._view.receive(message, source, now))

    def _send(self, datagrams: list[membership.Datagram]) -> None:
        for datagram in datagrams:
            if self._is_address_cut(datagram.to):
                continue
            body = messages.CODEC.encode(datagram.message)
            data = self._mac(body) + body
            self.bytes_sent += len(data)
            try:
                self._sock.sendto(data, tuple(datagram.to))
            except OSError as exc:
                _LOG.debug("gossip: sending failed", extra={"error": str(exc)})

    def _is_address_cut(self, to: addresses.Address) -> bool:
        for info in self._view.all():
            if (info.host, info.port) == tuple(to):
                return self._is_cut(info.name, "out")
        return False

    def _notify_if_changed(self) -> None:
        if self._view.revision != self._seen_revision:
            self._seen_revision = self._view.revision
            self._on_change()

    def _mac(self, body: bytes) -> bytes:
        return hmac.digest(self._key, body, "sha256")[:MAC_BYTES]
