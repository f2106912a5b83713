"""Authenticated links between instances, watched by heartbeats.

Each instance opens a link of its own to every peer it talks to and
answers on the link that a message came over.
"""

import hmac
import logging
import secrets
import struct
import typing

from chervilwheel import addresses
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import streams
from chervilwheel import timers

_LOG = logging.getLogger("peers")
_LENGTH = struct.Struct("<I")
MAX_FRAME_BYTES = 64 * 1024 * 1024
MAX_GREETING_BYTES = 4096
MAX_UNSENT_BYTES = 64 * 1024 * 1024
MAX_WAITING = 4096
HEARTBEAT_S = 0.5
SILENCE_S = 1.6
CONNECT_S = 1.0
RETRY_S = 0.2
NONCE_BYTES = 16


class Link:
    """One connection between two instances.

    :param owner: who holds the link
    :param stream: its bytes
    :param is_connector: whether this side opened it
    :param peer: the other side, if it is known already
    """

    def __init__(
        self,
        *,
        owner: "Peers",
        stream: streams.Stream,
        is_connector: bool,
        peer: ids.InstanceId = ids.InstanceId(""),
    ) -> None:
        self.peer = peer
        self.is_ready = False
        self.heard_at = owner.heap.clock.now()
        self._owner = owner
        self._stream = stream
        self._is_connector = is_connector
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._their_nonce = b""
        self._buffer = bytearray()
        stream.on_data = self._on_data
        stream.on_closed = lambda: owner.lost(self)
        if not is_connector:
            self._send(messages.Challenge(self._nonce))

    def send(self, message: typing.Any) -> None:
        """Send a message; it is dropped when the link is choked."""
        if self._stream.unsent > MAX_UNSENT_BYTES:
            _LOG.warning("peers: link choked", extra={"peer": self.peer})
            self._owner.lost(self)
            return
        self._send(message)

    def close(self) -> None:
        """Close without telling the owner."""
        self._stream.close()

    def _send(self, message: typing.Any) -> None:
        if self._owner.is_cut(self.peer, "out"):
            return
        data = messages.CODEC.encode(message)
        self._owner.bytes_sent += len(data) + _LENGTH.size
        self._owner.messages_sent += 1
        self._stream.send(_LENGTH.pack(len(data)) + data)

    def _on_data(self, data: bytes) -> None:
        if self._owner.is_cut(self.peer, "in"):
            return
        self.heard_at = self._owner.heap.clock.now()
        self._buffer += data
        try:
            for message in self._messages():
                self._take(message)
        except errors.ProtocolError as exc:
            _LOG.warning(
                "peers: link dropped",
                extra={"peer": self.peer, "error": exc.detail},
            )
            self._owner.lost(self)

    def _messages(self) -> typing.Iterator[typing.Any]:
        limit = MAX_FRAME_BYTES if self.is_ready else MAX_GREETING_BYTES
        while len(self._buffer) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._buffer)
            if size > limit:
                raise errors.ProtocolError("a frame is too large")
            end = _LENGTH.size + size
            if len(self._buffer) < end:
                return
            data = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            yield messages.CODEC.decode(data)

    def _take(self, message: typing.Any) -> None:
        if not self.is_ready:
            self._greet(message)
        elif isinstance(message, messages.Heartbeat):
            if not message.is_reply:
                self._send(message._replace(is_reply=True))
        else:
            self._owner.received(self, message)

    def _greet(self, message: typing.Any) -> None:
        owner = self._owner
        if self._is_connector and isinstance(message, messages.Challenge):
            self._their_nonce = message.nonce
            proof = owner.prove(message.nonce, self._nonce, owner.name)
            self._send(messages.Hello(owner.name, self._nonce, proof))
        elif self._is_connector and isinstance(message, messages.Welcome):
            proof = owner.prove(
                self._nonce, self._their_nonce, message.instance
            )
            self._check(proof, message.proof)
            self._begin(message.instance)
        elif not self._is_connector and isinstance(message, messages.Hello):
            proof = owner.prove(self._nonce, message.nonce, message.instance)
            self._check(proof, message.proof)
            answer = owner.prove(message.nonce, self._nonce, owner.name)
            self._send(messages.Welcome(owner.name, answer))
            self._begin(message.instance)
        else:
            raise errors.ProtocolError("a message before the greeting")

    @staticmethod
    def _check(expected: bytes, given: bytes) -> None:
        if not hmac.compare_digest(expected, given):
            raise errors.ProtocolError("the peer doesn't know the key")

    def _begin(self, peer: ids.InstanceId) -> None:
        if self.peer not in ("", peer):
            raise errors.ProtocolError("another instance answered")
        self.peer = peer
        self.is_ready = True
        self._owner.ready(self)


class _Outgoing:
    """The link to one peer, and what waits for it."""

    def __init__(self, *, address: addresses.Address) -> None:
        self.address = address
        self.link: Link | None = None
        self.waiting: list[typing.Any] = []
        self.retry_at = 0.0
        self.opened_at = 0.0


Handler = typing.Callable[[Link, typing.Any], None]


class Peers:
    """All links of one instance.

    :param name: this instance
    :param key: the key all instances share
    :param loop: the stream loop
    :param heap: timers
    :param is_cut: tells whether a rehearsal drops traffic with a peer
    :param heartbeat_s: time between heartbeats on a link, seconds
    :param silence_s: a link without a word for this time is dropped
    """

    def __init__(
        self,
        *,
        name: ids.InstanceId,
        key: bytes,
        loop: streams.StreamLoop,
        heap: timers.TimerHeap,
        is_cut: typing.Callable[[ids.InstanceId, str], bool],
        heartbeat_s: float = HEARTBEAT_S,
        silence_s: float = SILENCE_S,
    ) -> None:
        self.name = name
        self._silence_s = silence_s
        self.is_cut = is_cut
        self.messages_sent = 0
        self.heap = heap
        self.bytes_sent = 0
        self._key = key
        self._loop = loop
        self._outgoing: dict[ids.InstanceId, _Outgoing] = {}
        self._incoming: set[Link] = set()
        self._handlers: dict[type, Handler] = {}
        self._on_lost: list[typing.Callable[[ids.InstanceId], None]] = []
        self._beats = 0
        heap.every(heartbeat_s, self._beat)

    def listen(self, address: addresses.Address) -> None:
        """Accept links.

        :raises OSError: when the address can't be bound
        """
        self._loop.listen(address, self._accept)

    def handle(self, kind: type, handler: Handler) -> None:
        """Name the handler of a kind of message."""
        self._handlers[kind] = handler

    def on_lost(
        self, callback: typing.Callable[[ids.InstanceId], None]
    ) -> None:
        """Call back when the link to a peer breaks."""
        self._on_lost.append(callback)

    def know(self, peer: ids.InstanceId, address: addresses.Address) -> None:
        """Learn where a peer listens."""
        known = self._outgoing.get(peer)
        if known is None:
            self._outgoing[peer] = _Outgoing(address=address)
        elif known.address != address:
            known.address = address
            if known.link is not None:
                self.lost(known.link)

    def is_linked(self, peer: ids.InstanceId) -> bool:
        """Whether the link to a peer is up."""
        known = self._outgoing.get(peer)
        return bool(known and known.link and known.link.is_ready)

    def send(self, peer: ids.InstanceId, message: typing.Any) -> bool:
        """Send a message over this instance's own link to a peer.

        :returns: False when the message was dropped at once
        """
        known = self._outgoing.get(peer)
        if known is None:
            return False
        if known.link is not None and known.link.is_ready:
            known.link.send(message)
            return True
        if known.link is None:
            self._connect(peer, known)
        if known.link is None or len(known.waiting) >= MAX_WAITING:
            return False
        known.waiting.append(message)
        return True

    def prove(self, theirs: bytes, ours: bytes, name: str) -> bytes:
        """Compute the proof that an instance knows the key."""
        text = theirs + ours + name.encode()
        return hmac.digest(self._key, text, "sha256")

    def ready(self, link: Link) -> None:
        """Send what waited for a link."""
        known = self._outgoing.get(link.peer)
        if known is None or known.link is not link:
            return
        waiting, known.waiting = known.waiting, []
        for message in waiting:
            link.send(message)

    def received(self, link: Link, message: typing.Any) -> None:
        """Hand a message to its handler."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(link, message)

    def lost(self, link: Link) -> None:
        """Drop a link that broke or fell silent."""
        link.close()
        self._incoming.discard(link)
        for peer, known in self._outgoing.items():
            if known.link is link:
                known.link = None
                known.waiting = []
                known.retry_at = self.heap.clock.now() + RETRY_S
                for callback in self._on_lost:
                    callback(peer)
                break

    def close(self) -> None:
        """Close all links."""
        for known in self._outgoing.values():
            if known.link is not None:
                known.link.close()
        for link in self._incoming:
            link.close()

    def _connect(self, peer: ids.InstanceId, known: _Outgoing) -> None:
        now = self.heap.clock.now()
        if now < known.retry_at:
            return
        stream = self._loop.connect(known.address)
        known.link = Link(
            owner=self, stream=stream, is_connector=True, peer=peer
        )
        known.opened_at = now

    def _accept(self, stream: streams.Stream) -> None:
        self._incoming.add(Link(owner=self, stream=stream, is_connector=False))

    def _beat(self) -> None:
        now = self.heap.clock.now()
        self._beats += 1
        for known in list(self._outgoing.values()):
            link = known.link
            if link is None:
                continue
            limit_s = self._silence_s if link.is_ready else CONNECT_S
            if now - max(link.heard_at, known.opened_at) > limit_s:
                self.lost(link)
            elif link.is_ready:
                link.send(messages.Heartbeat(self._beats, False))
        for link in list(self._incoming):
            if now - link.heard_at > 2 * self._silence_s:
                self.lost(link)
