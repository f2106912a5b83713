"""Bounds the memory that a JSON text takes while it is decoded."""

from chervilwheel import errors

# Above what a configuration of 4 MiB with short names takes. A text of
# that size that consists of empty lists takes twice as much and more.
MAX_DECODED_BYTES = 48 * 1024 * 1024
VALUE_BYTES = 64
OBJECT_BYTES = 184


def check(data: bytes) -> None:
    """Check that decoding a text takes a bounded amount of memory.

    :raises errors.InvalidRequest: if it may take too much
    """
    values = data.count(b",") + data.count(b":") + data.count(b"[")
    size = VALUE_BYTES * values + OBJECT_BYTES * data.count(b"{")
    if size > MAX_DECODED_BYTES:
        raise errors.InvalidRequest("the JSON text has too many values")
