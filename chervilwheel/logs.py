"""JSON logs: one line a record, each part with its own prefix."""

import collections
import logging
import os
import sys
import time
import typing

from pythonjsonlogger import json as jsonlogger

# Lines a second that pass; a decision a job at the sizes of today.
LINES_PER_S = 400
# Bytes that wait for a reader that is slow; more are dropped.
MAX_WAITING_BYTES = 262_144

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


class BoundedHandler(logging.Handler):
    """Write lines to a descriptor without ever waiting for its reader.

    Lines beyond the rate, or that the reader doesn't take, are dropped;
    how many is said in a line of its own.

    :param descriptor: an open file descriptor
    """

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._second = 0
        self._count = 0
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        try:
            line = self.format(record)
        except (TypeError, ValueError) as exc:
            line = f'{{"part": "logs", "message": "logs: {exc!r}"}}'
        if not self._may_write():
            self.dropped += 1
            return
        if self.dropped:
            count, self.dropped = self.dropped, 0
            note = '{"part": "logs", "message": "logs: lines dropped", '
            self._write(f'{note}"count": {count}}}\n'.encode())
        self._write(line.encode() + b"\n")

    def _may_write(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._count = second, 0
        self._count += 1
        return self._count <= LINES_PER_S

    def _write(self, data: bytes) -> None:
        if self._waiting_bytes + len(data) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        while self._waiting:
            first = self._waiting[0]
            try:
                sent = os.write(self._descriptor, first)
            except OSError:
                # The reader is slow or gone; what waits is bounded.
                return
            self._waiting_bytes -= sent
            if sent < len(first):
                self._waiting[0] = first[sent:]
                return
            self._waiting.popleft()


def configure(
    *, level: str, instance: str, descriptor: int | None = None
) -> None:
    """Write records of all parts as JSON lines.

    :param level: a level name of the logging module
    :param instance: the name that every record carries
    :param descriptor: where lines go without waiting for the reader;
        standard error, waiting, when there is none
    """
    stream: logging.Handler = logging.StreamHandler(sys.stderr)
    if descriptor is not None:
        stream = BoundedHandler(descriptor=descriptor)
    names: dict[str, typing.Any] = {
        "asctime": "at",
        "levelname": "level",
        "name": "part",
    }
    stream.setFormatter(
        jsonlogger.JsonFormatter(
            FIELDS, rename_fields=names, static_fields={"instance": instance}
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [stream]
    root.setLevel(level)
