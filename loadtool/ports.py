"""Ports for the processes of a run."""

import functools
import itertools
import socket

# Below the range that outgoing connections take theirs from.
FIRST_PORT = 10_000
LAST_PORT = 32_000
BLOCK_PORTS = 1_000
HOST = "127.0.0.1"


class PortBlock:
    """A range of ports that no other process of this kind gives out.

    A process owns a block for as long as it lives: it keeps the first
    port of the block bound, and nobody listens there.

    :raises OSError: when every block has an owner
    """

    def __init__(self) -> None:
        self._owned, first = self._own()
        self._turns = itertools.cycle(range(first + 1, first + BLOCK_PORTS))

    def take(self, count: int) -> list[int]:
        """Return ports that are free now; earlier ones come last.

        :raises OSError: when too few are free
        """
        looked_at = itertools.islice(self._turns, BLOCK_PORTS - 1)
        free = list(itertools.islice(filter(_is_free, looked_at), count))
        if len(free) < count:
            raise OSError("too few free ports")
        return free

    def close(self) -> None:
        """Give the block back."""
        self._owned.close()

    @staticmethod
    def _own() -> tuple[socket.socket, int]:
        for first in range(FIRST_PORT, LAST_PORT, BLOCK_PORTS):
            owned = socket.socket()
            try:
                owned.bind((HOST, first))
            except OSError:
                owned.close()
                continue
            return owned, first
        raise OSError("every block of ports has an owner")


@functools.cache
def block() -> PortBlock:
    """Return the block of this process."""
    return PortBlock()


def _is_free(port: int) -> bool:
    with (
        socket.socket() as sock,
        socket.socket(type=socket.SOCK_DGRAM) as datagrams,
    ):
        try:
            sock.bind((HOST, port))
            datagrams.bind((HOST, port))
        except OSError:
            return False
    return True
