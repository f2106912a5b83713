"""Non-blocking TCP streams on the circuits poller."""

import errno
import logging
import socket
import typing

import circuits
from circuits.core import pollers

from chervilwheel import addresses

_LOG = logging.getLogger("streams")
READ_BYTES = 262_144
BACKLOG = 512
_IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EAGAIN)


class Stream:
    """One TCP connection; callbacks tell what happens on it.

    :param loop: the loop that polls the socket
    :param sock: a non-blocking socket
    :param is_open: False while the connection is still being made
    """

    def __init__(
        self, *, loop: "StreamLoop", sock: socket.socket, is_open: bool
    ) -> None:
        self._loop = loop
        self.sock = sock
        self.is_open = is_open
        self.is_closed = False
        self.on_open: typing.Callable[[], None] | None = None
        self.on_data: typing.Callable[[bytes], None] | None = None
        self.on_closed: typing.Callable[[], None] | None = None
        self._out = bytearray()

    @property
    def unsent(self) -> int:
        """Bytes that wait in this process."""
        return len(self._out)

    def send(self, data: bytes) -> None:
        """Send now what the socket takes and keep the rest in order."""
        if self.is_closed:
            return
        if self.is_open and not self._out:
            sent = self._try_send(data)
            data = data[sent:]
        if data and not self.is_closed:
            self._out += data
            self._loop.want_write(self)

    def close(self) -> None:
        """Close without telling the owner; safe to call again."""
        if self.is_closed:
            return
        self.is_closed = True
        self._loop.forget(self)
        self.sock.close()

    def writable(self) -> None:
        """Go on with the connect or with unsent bytes."""
        if not self.is_open:
            self._finish_connect()
            if self.is_closed:
                return
        if self._out:
            sent = self._try_send(bytes(self._out))
            del self._out[:sent]
        if not self._out and not self.is_closed:
            self._loop.drop_write(self)

    def readable(self) -> None:
        """Read what is there and hand it on."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.fail()
            return
        if not data:
            self.fail()
            return
        if self.on_data is not None:
            self.on_data(data)

    def fail(self) -> None:
        """Close and tell the owner."""
        if self.is_closed:
            return
        self.close()
        if self.on_closed is not None:
            self.on_closed()

    def _finish_connect(self) -> None:
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.fail()
            return
        self.is_open = True
        self._loop.want_read(self)
        if self.on_open is not None:
            self.on_open()

    def _try_send(self, data: bytes) -> int:
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            self.fail()
            return 0


Acceptor = typing.Callable[[Stream], None]


class StreamLoop(circuits.BaseComponent):
    """Poll streams and listeners within the circuits loop."""

    channel = "streams"

    def __init__(self) -> None:
        super().__init__()
        self._poller = pollers.EPoll().register(self)
        self._streams: dict[socket.socket, Stream] = {}
        self._listeners: dict[socket.socket, Acceptor] = {}

    def connect(self, address: addresses.Address) -> Stream:
        """Begin a connection; ``on_open`` or ``on_closed`` follows."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(loop=self, sock=sock, is_open=False)
        self._streams[sock] = stream
        code = sock.connect_ex(tuple(address))
        if code in (0, *_IN_PROGRESS):
            self._poller.addWriter(self, sock)
        else:
            self.fire(circuits.Event.create("stream_refused", stream))
        return stream

    def listen(
        self, address: addresses.Address, acceptor: Acceptor
    ) -> socket.socket:
        """Accept connections on an address.

        :raises OSError: when the address can't be bound
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(tuple(address))
        sock.listen(BACKLOG)
        self._listeners[sock] = acceptor
        self._poller.addReader(self, sock)
        return sock

    def watch_reads(
        self, sock: socket.socket, reader: typing.Callable[[], None]
    ) -> None:
        """Call back when a datagram socket has something to read."""
        self._listeners[sock] = typing.cast(Acceptor, reader)
        self._poller.addReader(self, sock)

    def unlisten(self, sock: socket.socket) -> None:
        """Stop accepting and close the listening socket."""
        if self._listeners.pop(sock, None) is not None:
            self._poller.discard(sock)
            sock.close()

    def close(self) -> None:
        """Close every stream and listener."""
        for stream in list(self._streams.values()):
            stream.close()
        for sock in list(self._listeners):
            self.unlisten(sock)

    def want_write(self, stream: Stream) -> None:
        """Poll a stream for room to write."""
        if not self._poller.isWriting(stream.sock):
            self._poller.addWriter(self, stream.sock)

    def drop_write(self, stream: Stream) -> None:
        """Stop polling a stream for room to write."""
        if self._poller.isWriting(stream.sock):
            self._poller.removeWriter(stream.sock)

    def want_read(self, stream: Stream) -> None:
        """Poll a stream for bytes."""
        self._poller.addReader(self, stream.sock)

    def forget(self, stream: Stream) -> None:
        """Stop polling a stream."""
        self._streams.pop(stream.sock, None)
        self._poller.discard(stream.sock)

    @circuits.handler("_read")
    def _on_read(self, sock: socket.socket) -> None:
        stream = self._streams.get(sock)
        if stream is not None:
            stream.readable()
            return
        acceptor = self._listeners.get(sock)
        if acceptor is None:
            return
        if sock.type == socket.SOCK_DGRAM:
            typing.cast(typing.Callable[[], None], acceptor)()
        else:
            self._accept_all(sock, acceptor)

    @circuits.handler("_write")
    def _on_write(self, sock: socket.socket) -> None:
        stream = self._streams.get(sock)
        if stream is not None:
            stream.writable()

    @circuits.handler("_disconnect", "_error")
    def _on_disconnect(self, sock: socket.socket, *_: typing.Any) -> None:
        stream = self._streams.get(sock)
        if stream is not None:
            stream.fail()

    @circuits.handler("stream_refused")
    def _on_refused(self, stream: Stream) -> None:
        stream.fail()

    def _accept_all(self, sock: socket.socket, acceptor: Acceptor) -> None:
        while True:
            try:
                accepted, _ = sock.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                _LOG.warning(
                    "streams: accept failed", extra={"error": str(exc)}
                )
                return
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = Stream(loop=self, sock=accepted, is_open=True)
            self._streams[accepted] = stream
            self._poller.addReader(self, accepted)
            acceptor(stream)
