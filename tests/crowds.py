"""Crowds of clients that send what no ordinary client sends.

A crowd opens all its connections, sends through each as far as the server
reads, and keeps open what the server doesn't close.
"""

import selectors
import socket
import time
import typing

# Without any progress for this time the crowd has sent what it can.
STALLED_S = 3.0
SEND_BYTES = 65_536


def request(
    target: str, headers: str, *, method: str = "POST", host: str = "a.example"
) -> bytes:
    """Return the head of a request."""
    first = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
    return f"{first}{headers}\r\n".encode()


def announced(target: str, size: int, *, missing: int = 1) -> bytes:
    """Return a request whose body ends some bytes short of its length."""
    head = request(target, f"Content-Length: {size}\r\n")
    return head + b"x" * (size - missing)


def chunked(target: str, size: int, chunk: int) -> bytes:
    """Return a chunked request that ends before its last, empty chunk."""
    head = request(target, "Transfer-Encoding: chunked\r\n")
    row = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)
    return head + row * (size // chunk)


class Crowd:
    """Connections to one address.

    :param address: where to connect
    :param receive_bytes: size of the clients' receive buffers, 0 for that of
        the system
    """

    def __init__(
        self, *, address: tuple[str, int], receive_bytes: int = 0
    ) -> None:
        self._address = address
        self._receive_bytes = receive_bytes
        self._socks: list[socket.socket] = []

    def send(self, data: bytes, *, count: int, piece: int = 0) -> None:
        """Send the data on a number of new connections.

        :param piece: send so many bytes on each connection in turn, 0 for as
            much as it takes
        """
        unsent = {}
        with selectors.DefaultSelector() as selector:
            for _ in range(count):
                sock = self._connect()
                if sock is not None:
                    unsent[sock] = 0
                    selector.register(sock, selectors.EVENT_WRITE)
            progress_at = time.monotonic()
            while unsent and time.monotonic() - progress_at < STALLED_S:
                for key, _ in selector.select(0.1):
                    sock = typing.cast(socket.socket, key.fileobj)
                    start = unsent[sock]
                    size = piece or SEND_BYTES
                    sent = _try_send(sock, data[start : start + size])
                    if sent:
                        progress_at = time.monotonic()
                    unsent[sock] = start + max(0, sent)
                    if sent < 0 or unsent[sock] == len(data):
                        selector.unregister(sock)
                        del unsent[sock]

    def wait_for_responses(self) -> None:
        """Wait until each connection has data to read, or is closed."""
        with selectors.DefaultSelector() as selector:
            for sock in self._socks:
                selector.register(sock, selectors.EVENT_READ)
            while selector.get_map() and (found := selector.select(STALLED_S)):
                for key, _ in found:
                    selector.unregister(key.fileobj)

    def close(self) -> None:
        """Close all connections."""
        for sock in self._socks:
            sock.close()

    def _connect(self) -> socket.socket | None:
        sock = socket.socket()
        if self._receive_bytes:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes
            )
        sock.settimeout(STALLED_S)
        try:
            sock.connect(self._address)
        except OSError:
            sock.close()
            return None
        sock.setblocking(False)
        self._socks.append(sock)
        return sock


def _try_send(sock: socket.socket, data: bytes) -> int:
    """Return how many bytes were sent, -1 if the connection is closed."""
    try:
        return sock.send(data)
    except BlockingIOError:
        return 0
    except OSError:
        return -1
