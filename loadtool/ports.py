"""Allocate free ports to the processes of a run."""

import functools
import itertools
import socket

# Below the ephemeral range, so that no outgoing connection uses these ports.
FIRST_PORT = 10_000
LAST_PORT = 32_000
BLOCK_PORTS = 1_000
HOST = "127.0.0.1"


class PortBlock:
    """A range of ports reserved for this process.

    The process keeps the first port of the block bound, without
    listening on it, until the block is closed or the process ends. Other
    processes that use this class then can't reserve the same block.

    :raises OSError: when all blocks are in use
    """

    def __init__(self) -> None:
        self._reservation, first = self._reserve()
        self._candidates = itertools.cycle(
            range(first + 1, first + BLOCK_PORTS)
        )

    def allocate(self, count: int) -> list[int]:
        """Return ports that are free now, least recently checked first.

        :raises OSError: when the block has too few free ports
        """
        candidates = itertools.islice(self._candidates, BLOCK_PORTS - 1)
        free = list(itertools.islice(filter(_is_free, candidates), count))
        if len(free) < count:
            raise OSError("too few free ports in this block")
        return free

    def close(self) -> None:
        """Release the block."""
        self._reservation.close()

    @staticmethod
    def _reserve() -> tuple[socket.socket, int]:
        for first in range(FIRST_PORT, LAST_PORT, BLOCK_PORTS):
            reservation = socket.socket()
            try:
                reservation.bind((HOST, first))
            except OSError:
                reservation.close()
                continue
            return reservation, first
        raise OSError("all blocks of ports are in use")


@functools.cache
def block() -> PortBlock:
    """Return the port block of this process, reserved at the first call."""
    return PortBlock()


def _is_free(port: int) -> bool:
    with (
        socket.socket() as tcp,
        socket.socket(type=socket.SOCK_DGRAM) as udp,
    ):
        try:
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
        except OSError:
            return False
    return True
