"""Authenticated connections between instances, monitored by heartbeats.

Each instance opens its own link to every peer that it sends requests to.
Replies go back over the link on which the request arrived.
"""

import abc
import collections
import hmac
import logging
import secrets
import struct
import typing

from chervilwheel import addresses
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import loglimit
from chervilwheel import messages
from chervilwheel import streams
from chervilwheel import timers

_LOG = logging.getLogger("peers")
_LENGTH = struct.Struct("<I")
MAX_FRAME_BYTES = 64 * 1024 * 1024
MAX_HANDSHAKE_BYTES = 4096
MAX_UNSENT_BYTES = 64 * 1024 * 1024
MAX_QUEUED_MESSAGES = 4096
HEARTBEAT_INTERVAL_S = 0.5
RECEIVE_TIMEOUT_S = 1.6
# A host that is starting doesn't answer the first connection requests, and
# the operating system repeats them only after a second. Longer than the round
# trip between the most distant zones.
CONNECT_TIMEOUT_S = 0.25
HANDSHAKE_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.2
# A link that can't be opened is opened anew at once if a message was to be
# sent over it within this time.
RECENT_USE_S = 1.0
NONCE_BYTES = 16


class MessageLink(abc.ABC):
    """A path for messages to another instance.

    :ivar peer: that instance
    """

    peer: ids.InstanceId

    @abc.abstractmethod
    def send(self, message: typing.Any) -> None:
        """Send a message."""


class Link(MessageLink):
    """One connection between two instances.

    :param owner: the registry that this link belongs to
    :param stream: the TCP stream
    :param is_connector: whether this instance opened the connection
    :param peer: the remote instance; empty until the handshake on an
        accepted connection
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
        self.is_authenticated = False
        self.last_received_at = owner.heap.clock.now()
        self.last_sent_at = self.last_received_at
        self._owner = owner
        self._stream = stream
        self._is_connector = is_connector
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._peer_nonce = b""
        self._buffer = bytearray()
        stream.on_data = self._on_data
        stream.on_closed = lambda: owner.drop_link(self)
        if not is_connector:
            self._send(messages.Challenge(self._nonce))

    def send(self, message: typing.Any) -> None:
        """Send a message; close the link if its send buffer is full.

        A message that can't be encoded is dropped: that says nothing of the
        peer, and others may follow.
        """
        if self._stream.unsent_bytes > MAX_UNSENT_BYTES:
            _LOG.warning(
                "peers: link closed, send buffer full",
                extra={"peer": self.peer},
            )
            self._owner.drop_link(self)
            return
        self._send(message)

    @property
    def is_connected(self) -> bool:
        """Whether the connection was established."""
        return self._stream.is_open

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the network hasn't accepted yet."""
        return self._stream.unsent_bytes

    def close(self) -> None:
        """Close without calling the lost-link callbacks."""
        self._stream.close()

    def _send(self, message: typing.Any) -> None:
        if self._owner.is_cut(self.peer, "out"):
            return
        data = self._owner.encode_for(self.peer, message)
        if data is None:
            return
        self.last_sent_at = self._owner.heap.clock.now()
        self._owner.bytes_sent += len(data) + _LENGTH.size
        self._owner.messages_sent += 1
        kind = type(message).__name__
        self._owner.sent_by_kind[kind] += 1
        self._owner.bytes_by_kind[kind] += len(data) + _LENGTH.size
        self._stream.send(_LENGTH.pack(len(data)) + data)

    def _on_data(self, data: bytes) -> None:
        if self._owner.is_cut(self.peer, "in"):
            return
        self.last_received_at = self._owner.heap.clock.now()
        self._buffer += data
        self._handle_frames()

    def _handle_frames(self) -> None:
        try:
            for message in self._decode_frames():
                self._handle_message(message)
        except errors.ProtocolError as exc:
            _LOG.warning(
                "peers: link closed, protocol error",
                extra={"peer": self.peer, "error": exc.detail},
            )
            self._owner.drop_link(self)
        except Exception:
            # The messages behind it don't wait until more data arrives.
            self._owner.heap.call_later(0.0, self._handle_frames)
            raise

    def _decode_frames(self) -> typing.Iterator[typing.Any]:
        limit = (
            MAX_FRAME_BYTES if self.is_authenticated else MAX_HANDSHAKE_BYTES
        )
        while len(self._buffer) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._buffer)
            if size > limit:
                raise errors.ProtocolError("frame exceeds the size limit")
            end = _LENGTH.size + size
            if len(self._buffer) < end:
                return
            data = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            yield messages.CODEC.decode(data)

    def _handle_message(self, message: typing.Any) -> None:
        self._owner.received_by_kind[type(message).__name__] += 1
        if not self.is_authenticated:
            self._handle_handshake(message)
        elif isinstance(message, messages.Heartbeat):
            if not message.is_reply:
                self._send(message._replace(is_reply=True))
        else:
            self._owner.dispatch(self, message)

    def _handle_handshake(self, message: typing.Any) -> None:
        owner = self._owner
        if self._is_connector and isinstance(message, messages.Challenge):
            self._peer_nonce = message.nonce
            proof = owner.compute_proof(message.nonce, self._nonce, owner.name)
            self._send(messages.Hello(owner.name, self._nonce, proof))
        elif self._is_connector and isinstance(message, messages.Welcome):
            proof = owner.compute_proof(
                self._nonce, self._peer_nonce, message.instance
            )
            self._verify_proof(proof, message.proof)
            self._complete_handshake(message.instance)
        elif not self._is_connector and isinstance(message, messages.Hello):
            proof = owner.compute_proof(
                self._nonce, message.nonce, message.instance
            )
            self._verify_proof(proof, message.proof)
            own_proof = owner.compute_proof(
                message.nonce, self._nonce, owner.name
            )
            self._send(messages.Welcome(owner.name, own_proof))
            self._complete_handshake(message.instance)
        else:
            raise errors.ProtocolError(
                "unexpected message during the handshake"
            )

    @staticmethod
    def _verify_proof(expected: bytes, given: bytes) -> None:
        if not hmac.compare_digest(expected, given):
            raise errors.ProtocolError(
                "handshake proof does not match the key"
            )

    def _complete_handshake(self, peer: ids.InstanceId) -> None:
        if self.peer not in ("", peer):
            raise errors.ProtocolError(
                "connected to a different instance than expected"
            )
        self.peer = peer
        self.is_authenticated = True
        self._owner.flush_queue(self)


class _OutgoingLink:
    """The link to one peer and the messages queued until it is up."""

    def __init__(self, *, address: addresses.Address) -> None:
        self.address = address
        self.link: Link | None = None
        self.queued: list[typing.Any] = []
        self.reconnect_at = 0.0
        self.opened_at = 0.0
        self.used_at = 0.0


Handler = typing.Callable[[typing.Any, typing.Any], None]


class Peers:
    """All links of one instance.

    :param name: the name of this instance
    :param key: the cluster key, shared by all instances
    :param loop: the stream loop
    :param heap: timers
    :param is_cut: whether fault injection drops traffic with a peer in a
        direction (``in`` or ``out``)
    :param heartbeat_s: interval between heartbeats on a link on which other
        messages are not exchanged as often, seconds
    :param receive_timeout_s: an outgoing link that receives nothing for
        this long is closed, an incoming one after twice as long, seconds
    :ivar messages_dropped: number of messages that could not be encoded
    """

    def __init__(
        self,
        *,
        name: ids.InstanceId,
        key: bytes,
        loop: streams.StreamLoop,
        heap: timers.TimerHeap,
        is_cut: typing.Callable[[ids.InstanceId, str], bool],
        heartbeat_s: float = HEARTBEAT_INTERVAL_S,
        receive_timeout_s: float = RECEIVE_TIMEOUT_S,
    ) -> None:
        self.name = name
        self._receive_timeout_s = receive_timeout_s
        self.is_cut = is_cut
        self.messages_sent = 0
        self.messages_dropped = 0
        self.sent_by_kind: collections.Counter[str] = collections.Counter()
        self.bytes_by_kind: collections.Counter[str] = collections.Counter()
        self.received_by_kind: collections.Counter[str] = collections.Counter()
        self.heap = heap
        self.bytes_sent = 0
        self._heartbeat_s = heartbeat_s
        self._last_encoded: tuple[typing.Any, bytes] | None = None
        self._key = key
        self._loop = loop
        self._outgoing: dict[ids.InstanceId, _OutgoingLink] = {}
        self._incoming: set[Link] = set()
        self._handlers: dict[type, Handler] = {}
        self._lost_callbacks: list[
            typing.Callable[[ids.InstanceId], None]
        ] = []
        self._heartbeat_sequence = 0
        self._warnings = loglimit.LimitedLog(log=_LOG, clk=heap.clock)
        heap.call_every(heartbeat_s, self._send_heartbeats)

    def listen(self, address: addresses.Address) -> None:
        """Accept links on an address.

        :raises OSError: when the address can't be bound
        """
        self._loop.listen(address, self._accept)

    def handle(self, kind: type, handler: Handler) -> None:
        """Register the handler of a message class."""
        self._handlers[kind] = handler

    def on_link_lost(
        self, callback: typing.Callable[[ids.InstanceId], None]
    ) -> None:
        """Register a callback for when the link to a peer is lost."""
        self._lost_callbacks.append(callback)

    def set_address(
        self, peer: ids.InstanceId, address: addresses.Address
    ) -> None:
        """Add a peer or update its address."""
        outgoing = self._outgoing.get(peer)
        if outgoing is None:
            self._outgoing[peer] = _OutgoingLink(address=address)
        elif outgoing.address != address:
            outgoing.address = address
            if outgoing.link is not None:
                self.drop_link(outgoing.link)

    @property
    def link_count(self) -> int:
        """Number of connections, in both directions."""
        outgoing = sum(
            each.link is not None for each in self._outgoing.values()
        )
        return outgoing + len(self._incoming)

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that wait in the send buffers of all links."""
        opened = [each.link for each in self._outgoing.values() if each.link]
        return sum(link.unsent_bytes for link in [*opened, *self._incoming])

    def is_linked(self, peer: ids.InstanceId) -> bool:
        """Whether the link to a peer is up."""
        outgoing = self._outgoing.get(peer)
        return bool(
            outgoing and outgoing.link and outgoing.link.is_authenticated
        )

    def send(self, peer: ids.InstanceId, message: typing.Any) -> bool:
        """Send a message over the outgoing link to a peer.

        The message is queued while the link is being established.

        :returns: False when the message was neither sent nor queued
        """
        outgoing = self._outgoing.get(peer)
        if outgoing is None:
            return False
        outgoing.used_at = self.heap.clock.now()
        if outgoing.link is not None and outgoing.link.is_authenticated:
            outgoing.link.send(message)
            return True
        if outgoing.link is None:
            self._connect(peer, outgoing)
        if (
            outgoing.link is None
            or len(outgoing.queued) >= MAX_QUEUED_MESSAGES
        ):
            return False
        outgoing.queued.append(message)
        return True

    def close_unused(self, peer: ids.InstanceId, *, unused_s: float) -> None:
        """Close the outgoing link to a peer if it hasn't been used.

        The next message to the peer opens it again.

        :param unused_s: time without a message other than heartbeats, seconds
        """
        outgoing = self._outgoing.get(peer)
        if outgoing is None or outgoing.link is None:
            return
        if self.heap.clock.now() - outgoing.used_at > unused_s:
            outgoing.link.close()
            outgoing.link = None
            outgoing.queued = []

    def encode(self, message: typing.Any) -> bytes:
        """Encode a message; one that is sent to many is encoded once.

        :raises errors.EncodingError: if a value doesn't fit its field, or the
            message is longer than a peer accepts
        """
        last = self._last_encoded
        if last is None or last[0] is not message:
            data = messages.CODEC.encode(message)
            if len(data) > MAX_FRAME_BYTES:
                raise errors.EncodingError("frame exceeds the size limit")
            last = self._last_encoded = (message, data)
        return last[1]

    def can_send(self, message: typing.Any) -> bool:
        """Whether a message can be encoded."""
        try:
            self.encode(message)
        except errors.EncodingError:
            return False
        return True

    def encode_for(
        self, peer: ids.InstanceId, message: typing.Any
    ) -> bytes | None:
        """Encode a message for a peer; log and count one that can't be sent.

        :returns: None if it can't be sent
        """
        try:
            return self.encode(message)
        except errors.EncodingError as exc:
            self.messages_dropped += 1
            self._warnings.warning(
                "peers: a message can't be sent",
                peer=peer,
                kind=type(message).__name__,
                error=exc.detail,
            )
            return None

    def compute_proof(
        self, verifier_nonce: bytes, prover_nonce: bytes, name: str
    ) -> bytes:
        """Compute the handshake HMAC that proves possession of the key."""
        text = verifier_nonce + prover_nonce + name.encode()
        return hmac.digest(self._key, text, "sha256")

    def flush_queue(self, link: Link) -> None:
        """Send the messages queued for an outgoing link."""
        outgoing = self._outgoing.get(link.peer)
        if outgoing is None or outgoing.link is not link:
            return
        queued, outgoing.queued = outgoing.queued, []
        for message in queued:
            link.send(message)

    def dispatch(self, link: MessageLink, message: typing.Any) -> None:
        """Pass a message to the handler of its class."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(link, message)

    def drop_link(self, link: Link) -> None:
        """Close a link that failed or timed out.

        Messages queued for it are discarded.
        """
        link.close()
        self._incoming.discard(link)
        for peer, outgoing in self._outgoing.items():
            if outgoing.link is link:
                outgoing.link = None
                outgoing.queued = []
                outgoing.reconnect_at = (
                    self.heap.clock.now() + RECONNECT_DELAY_S
                )
                for callback in self._lost_callbacks:
                    callback(peer)
                break

    def close(self) -> None:
        """Close all links."""
        for outgoing in self._outgoing.values():
            if outgoing.link is not None:
                outgoing.link.close()
        for link in self._incoming:
            link.close()

    def _connect(self, peer: ids.InstanceId, outgoing: _OutgoingLink) -> None:
        now = self.heap.clock.now()
        if now < outgoing.reconnect_at:
            return
        stream = self._loop.connect(outgoing.address)
        outgoing.link = Link(
            owner=self, stream=stream, is_connector=True, peer=peer
        )
        outgoing.opened_at = now
        link = outgoing.link
        self.heap.call_later(
            CONNECT_TIMEOUT_S,
            lambda: self._check_connected(peer, outgoing, link),
        )

    def _check_connected(
        self, peer: ids.InstanceId, outgoing: _OutgoingLink, link: Link
    ) -> None:
        """Replace a link whose connection wasn't established in time."""
        if outgoing.link is not link or link.is_connected:
            return
        self.drop_link(link)
        if self.heap.clock.now() - outgoing.used_at < RECENT_USE_S:
            outgoing.reconnect_at = 0.0
            self._connect(peer, outgoing)

    def _accept(self, stream: streams.Stream) -> None:
        self._incoming.add(Link(owner=self, stream=stream, is_connector=False))

    def _send_heartbeats(self) -> None:
        now = self.heap.clock.now()
        self._heartbeat_sequence += 1
        for outgoing in list(self._outgoing.values()):
            link = outgoing.link
            if link is None:
                continue
            limit_s = (
                self._receive_timeout_s
                if link.is_authenticated
                else HANDSHAKE_TIMEOUT_S
            )
            if now - max(link.last_received_at, outgoing.opened_at) > limit_s:
                self.drop_link(link)
            elif link.is_authenticated and (
                now - min(link.last_received_at, link.last_sent_at)
                >= self._heartbeat_s
            ):
                link.send(messages.Heartbeat(self._heartbeat_sequence, False))
        for link in list(self._incoming):
            if now - link.last_received_at > 2 * self._receive_timeout_s:
                self.drop_link(link)
