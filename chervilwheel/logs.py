"""JSON logs: one line per record, prefixed with the component's name."""

import collections
import logging
import os
import sys
import time
import typing

from pythonjsonlogger import json as jsonlogger

# Maximum lines written per second; allows one decision line per job at the
# current load.
LINES_PER_S = 400
# Maximum bytes buffered for a slow reader; further lines are dropped.
MAX_BUFFERED_BYTES = 262_144

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


class BoundedHandler(logging.Handler):
    """Write lines to a file descriptor without blocking on its reader.

    Lines above the rate limit, or beyond the buffer of a slow reader, are
    dropped; a separate line reports how many.

    :param descriptor: an open file descriptor
    """

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._window = 0
        self._window_count = 0
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        if not self._is_within_rate():
            self.dropped += 1
            return
        try:
            line = self.format(record)
        except (TypeError, ValueError) as exc:
            line = f'{{"part": "logs", "message": "logs: {exc!r}"}}'
        if self.dropped:
            count, self.dropped = self.dropped, 0
            prefix = '{"part": "logs", "message": "logs: lines dropped", '
            self._write(f'{prefix}"count": {count}}}\n'.encode())
        self._write(line.encode() + b"\n")

    def _is_within_rate(self) -> bool:
        second = int(time.monotonic())
        if second != self._window:
            self._window, self._window_count = second, 0
        self._window_count += 1
        return self._window_count <= LINES_PER_S

    def _write(self, data: bytes) -> None:
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        while self._buffer:
            first = self._buffer[0]
            try:
                sent = os.write(self._descriptor, first)
            except OSError:
                # The reader is slow or has closed; the buffer is bounded.
                return
            self._buffered_bytes -= sent
            if sent < len(first):
                self._buffer[0] = first[sent:]
                return
            self._buffer.popleft()


def configure(
    *, level: str, instance: str, descriptor: int | None = None
) -> None:
    """Configure the root logger to write JSON lines.

    :param level: a level name of the logging module
    :param instance: the instance name added to every record
    :param descriptor: file descriptor for non-blocking writes; without it,
        lines go to standard error with blocking writes
    """
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    if descriptor is not None:
        handler = BoundedHandler(descriptor=descriptor)
    renamed_fields: dict[str, typing.Any] = {
        "asctime": "at",
        "levelname": "level",
        "name": "part",
    }
    handler.setFormatter(
        jsonlogger.JsonFormatter(
            FIELDS,
            rename_fields=renamed_fields,
            static_fields={"instance": instance},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
