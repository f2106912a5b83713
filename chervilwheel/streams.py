"""Non-blocking TCP streams on the circuits poller."""

import errno
import itertools
import logging
import socket
import typing

import circuits
from circuits.core import pollers

from chervilwheel import addresses
from chervilwheel import clock
from chervilwheel import loglimit
from chervilwheel import loopload

_LOG = logging.getLogger("streams")
READ_BYTES = 262_144
# The largest read from a client, and what all clients together may cost in
# one turn of the loop, bytes. More waits for the next turn, so that timers
# and links to other hosts are never kept waiting by clients.
CLIENT_READ_BYTES = 65_536
CLIENT_TURN_BYTES = 262_144
SEND_BYTES = 262_144
BACKLOG = 512
_EXHAUSTED_ERRNOS = (errno.EMFILE, errno.ENFILE)
_CONNECT_PENDING_ERRNOS = (errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EAGAIN)


class Stream:
    """One TCP connection that reports its events through callbacks.

    :param loop: the loop that polls the socket
    :param sock: a non-blocking socket
    :param is_open: whether the connection is established
    :param is_client: whether it is one of those whose cost a turn bounds
    :ivar on_open: called when the connection is established
    :ivar on_data: called with received data
    :ivar on_closed: called when the peer closes the connection or an error
        occurs; :meth:`close` doesn't call it
    :ivar on_sent: called when all buffered data has been sent
    """

    def __init__(
        self,
        *,
        loop: "StreamLoop",
        sock: socket.socket,
        is_open: bool,
        is_client: bool = False,
    ) -> None:
        self._loop = loop
        self.sock = sock
        self.is_open = is_open
        self.is_closed = False
        self.is_client = is_client
        self._is_paused = False
        self.on_open: typing.Callable[[], None] | None = None
        self.on_data: typing.Callable[[bytes], None] | None = None
        self.on_closed: typing.Callable[[], None] | None = None
        self.on_sent: typing.Callable[[], None] | None = None
        self._send_buffer = bytearray()

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes in the send buffer of this process."""
        return len(self._send_buffer)

    def send(self, data: bytes) -> None:
        """Send data; buffer what the socket doesn't accept at once."""
        if self.is_closed:
            return
        if self.is_open and not self._send_buffer:
            sent = self._try_send(data)
            data = data[sent:]
        if data and not self.is_closed:
            self._send_buffer += data
            self._loop.watch_writable(self)

    def close(self) -> None:
        """Close without calling ``on_closed``; has no effect if closed."""
        if self.is_closed:
            return
        self.is_closed = True
        self._loop.remove(self)
        self.sock.close()

    def handle_writable(self) -> None:
        """Finish connecting, then send from the buffer."""
        if not self.is_open:
            self._finish_connect()
            if self.is_closed:
                return
        if self._send_buffer:
            sent = self._try_send(bytes(self._send_buffer[:SEND_BYTES]))
            del self._send_buffer[:sent]
        if not self._send_buffer and not self.is_closed:
            self._loop.unwatch_writable(self)
            if self.on_sent is not None:
                self.on_sent()

    def handle_readable(self) -> int:
        """Read available data and pass it to ``on_data``.

        :returns: number of bytes read
        """
        try:
            data = self.sock.recv(
                CLIENT_READ_BYTES if self.is_client else READ_BYTES
            )
        except BlockingIOError:
            return 0
        except OSError:
            self.abort()
            return 0
        if not data:
            self.abort()
            return 0
        if self.on_data is not None:
            self.on_data(data)
        return len(data)

    def pause_reading(self) -> None:
        """Leave further data to the socket; a disconnect isn't noticed."""
        if not self.is_closed and not self._is_paused:
            self._is_paused = True
            self._loop.unwatch_readable(self)

    def resume_reading(self) -> None:
        """Read again after a pause."""
        if not self.is_closed and self._is_paused:
            self._is_paused = False
            self._loop.watch_readable(self)

    def end_sending(self) -> None:
        """Tell the peer that nothing more will be sent."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.abort()

    def abort(self) -> None:
        """Close and call ``on_closed``."""
        if self.is_closed:
            return
        self.close()
        if self.on_closed is not None:
            self.on_closed()

    def _finish_connect(self) -> None:
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.abort()
            return
        self.is_open = True
        self._loop.watch_readable(self)
        if self.on_open is not None:
            self.on_open()

    def _try_send(self, data: bytes) -> int:
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            self.abort()
            return 0


AcceptCallback = typing.Callable[[Stream], None]


class _Poller(pollers.EPoll):
    """A poller that reports when it begins and ends to wait.

    :ivar polled_at: when the last poll ended, seconds
    :ivar polls: number of polls
    """

    def __init__(
        self, *, clk: clock.Clock, load: loopload.LoopLoad | None
    ) -> None:
        super().__init__()
        self.polled_at = clk.now()
        self.polls = 0
        self._clock = clk
        self._load = load

    def _generate_events(self, event: typing.Any) -> None:
        if self._load is not None:
            self._load.poll_begins()
        super()._generate_events(event)
        self.polled_at = self._clock.now()
        self.polls += 1
        if self._load is not None:
            self._load.poll_ended()


class StreamLoop(circuits.BaseComponent):
    """Poll streams and listening sockets within the circuits loop.

    :param clk: the runtime's clock
    :param load: measures the turns of the loop, None to measure nothing
    :ivar on_exhausted: called when a connection can't be accepted or opened
        for want of descriptors
    """

    channel = "streams"

    def __init__(
        self, *, clk: clock.Clock, load: loopload.LoopLoad | None = None
    ) -> None:
        super().__init__()
        self._poller = _Poller(clk=clk, load=load).register(self)
        self._streams: dict[socket.socket, Stream] = {}
        self._listeners: dict[socket.socket, AcceptCallback] = {}
        self._client_listeners: set[socket.socket] = set()
        self._warnings = loglimit.LimitedLog(log=_LOG, clk=clk)
        # Clients with data to read, the one that has waited longest first.
        self._readable: dict[Stream, None] = {}
        self._turn = 0
        self._client_bytes = 0
        self.on_exhausted: typing.Callable[[], None] = lambda: None

    def polled_at(self) -> float:
        """Return when the last poll ended, seconds.

        All input that arrived before has been handled, or will be before
        the next poll.
        """
        return self._poller.polled_at

    def connect(self, address: addresses.Address) -> Stream:
        """Start to connect; ``on_open`` or ``on_closed`` is called later."""
        sock = self._open_socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(loop=self, sock=sock, is_open=False)
        self._streams[sock] = stream
        error_code = sock.connect_ex(tuple(address))
        if error_code in (0, *_CONNECT_PENDING_ERRNOS):
            self._poller.addWriter(self, sock)
        else:
            self.fire(circuits.Event.create("stream_connect_failed", stream))
        return stream

    def listen(
        self,
        address: addresses.Address,
        acceptor: AcceptCallback,
        *,
        is_for_clients: bool = False,
    ) -> socket.socket:
        """Accept connections on an address.

        :param is_for_clients: whether to bound what the connections cost in
            a turn of the loop
        :raises OSError: when the address can't be bound
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(tuple(address))
        sock.listen(BACKLOG)
        self._listeners[sock] = acceptor
        if is_for_clients:
            self._client_listeners.add(sock)
        self._poller.addReader(self, sock)
        return sock

    def add_client_cost(self, size: int) -> None:
        """Count work for a client in this turn, like bytes read from it."""
        self._client_bytes += size

    def watch_datagrams(
        self, sock: socket.socket, callback: typing.Callable[[], None]
    ) -> None:
        """Call back when a datagram socket is readable."""
        self._listeners[sock] = typing.cast(AcceptCallback, callback)
        self._poller.addReader(self, sock)

    def stop_listening(self, sock: socket.socket) -> None:
        """Accept what is connected, then close the listening socket."""
        acceptor = self._listeners.get(sock)
        if acceptor is not None and sock.type == socket.SOCK_STREAM:
            self._accept_all(sock, acceptor)
        self._close_listener(sock)

    def close(self) -> None:
        """Close all streams and listening sockets."""
        for stream in list(self._streams.values()):
            stream.close()
        for sock in list(self._listeners):
            self._close_listener(sock)

    def _open_socket(self) -> socket.socket:
        """Open a socket; a client gives way if there is no descriptor."""
        try:
            return socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as exc:
            if exc.errno not in _EXHAUSTED_ERRNOS:
                raise
            self.on_exhausted()
            return socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def _close_listener(self, sock: socket.socket) -> None:
        self._client_listeners.discard(sock)
        if self._listeners.pop(sock, None) is not None:
            self._poller.discard(sock)
            sock.close()

    def watch_writable(self, stream: Stream) -> None:
        """Start polling a stream for writability."""
        if not self._poller.isWriting(stream.sock):
            self._poller.addWriter(self, stream.sock)

    def unwatch_writable(self, stream: Stream) -> None:
        """Stop polling a stream for writability."""
        if self._poller.isWriting(stream.sock):
            self._poller.removeWriter(stream.sock)

    def watch_readable(self, stream: Stream) -> None:
        """Start polling a stream for received data."""
        self._poller.addReader(self, stream.sock)

    def unwatch_readable(self, stream: Stream) -> None:
        """Stop polling a stream for received data."""
        self._readable.pop(stream, None)
        self._poller.removeReader(stream.sock)

    def remove(self, stream: Stream) -> None:
        """Remove a stream and stop polling it."""
        self._streams.pop(stream.sock, None)
        self._readable.pop(stream, None)
        self._poller.discard(stream.sock)

    @circuits.handler("_read")
    def _on_read(self, sock: socket.socket) -> None:
        stream = self._streams.get(sock)
        if stream is not None and stream.is_client:
            self._readable[stream] = None
            self._read_clients()
            return
        if stream is not None:
            stream.handle_readable()
            return
        acceptor = self._listeners.get(sock)
        if acceptor is None:
            return
        if sock.type == socket.SOCK_DGRAM:
            typing.cast(typing.Callable[[], None], acceptor)()
        else:
            self._accept_all(sock, acceptor)

    def _read_clients(self) -> None:
        """Read from clients while this turn has room for them.

        The poller reports those that are left again with the next turn.
        """
        if self._turn != self._poller.polls:
            self._turn = self._poller.polls
            self._client_bytes = 0
        while self._readable and self._client_bytes < CLIENT_TURN_BYTES:
            stream = next(iter(self._readable))
            del self._readable[stream]
            self._client_bytes += stream.handle_readable()

    @circuits.handler("_write")
    def _on_write(self, sock: socket.socket) -> None:
        stream = self._streams.get(sock)
        if stream is not None:
            stream.handle_writable()

    @circuits.handler("_disconnect", "_error")
    def _on_disconnect(self, sock: socket.socket, *_: typing.Any) -> None:
        stream = self._streams.get(sock)
        if stream is not None:
            stream.abort()

    @circuits.handler("stream_connect_failed")
    def _on_connect_error(self, stream: Stream) -> None:
        stream.abort()

    def _accept_all(
        self, sock: socket.socket, acceptor: AcceptCallback
    ) -> None:
        for number in itertools.count():
            try:
                accepted, _ = sock.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                self._warnings.warning(
                    "streams: accept failed", error=str(exc)
                )
                # The first attempt; a further one fails like that even if no
                # other connection waits.
                if exc.errno in _EXHAUSTED_ERRNOS and not number:
                    self.on_exhausted()
                return
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = Stream(
                loop=self,
                sock=accepted,
                is_open=True,
                is_client=sock in self._client_listeners,
            )
            self._streams[accepted] = stream
            self._poller.addReader(self, accepted)
            acceptor(stream)
