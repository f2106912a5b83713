"""Differences between versions of a document.

A document is split into chunks at a byte that ends the records of common
text formats, so that chunks of unchanged records stay the same when others
are added, changed or removed. Any bytes are valid; documents without that
byte are one chunk.
"""

import typing
import zlib

from chervilwheel import codec
from chervilwheel import errors

CHUNK_END = b"}"
# Shorter chunks take fewer bytes themselves than a reference to them.
MIN_COPY_BYTES = 16


class Splice(typing.NamedTuple):
    """Part of a document: bytes of its base, followed by new bytes.

    :ivar start: offset of the copied bytes in the base
    :ivar size: number of copied bytes
    :ivar inserted: the new bytes
    """

    start: int
    size: int
    inserted: bytes


class Delta(typing.NamedTuple):
    """A document as a difference to another one.

    :ivar checksum: CRC-32 of the document
    """

    splices: tuple[Splice, ...]
    checksum: int


_CODEC = codec.Codec(schema="records.capnp", root="Record", kinds=[Delta])


def encode(base: bytes, data: bytes) -> bytes:
    """Encode a document as a compressed difference to another one.

    :param base: the other document; empty bytes for a self-contained result
    """
    delta = Delta(tuple(_splices(base, data)), zlib.crc32(data))
    return zlib.compress(_CODEC.encode(delta))


def decode(base: bytes, encoded: bytes) -> bytes:
    """Return a document from a base and the difference to it.

    :raises errors.ProtocolError: when the difference is not readable or is
        to another base
    """
    try:
        delta = _CODEC.decode(zlib.decompress(encoded))
    except zlib.error as exc:
        raise errors.ProtocolError("not a compressed document") from exc
    parts = []
    for splice in delta.splices:
        parts.append(base[splice.start : splice.start + splice.size])
        parts.append(splice.inserted)
    data = b"".join(parts)
    if zlib.crc32(data) != delta.checksum:
        raise errors.ProtocolError("the delta is to another base document")
    return data


def _splices(base: bytes, data: bytes) -> list[Splice]:
    offsets: dict[bytes, int] = {}
    offset = 0
    for chunk in _chunks(base):
        offsets.setdefault(chunk, offset)
        offset += len(chunk)
    splices: list[Splice] = []
    start = size = 0
    inserted: list[bytes] = []
    for chunk in _chunks(data):
        follows = not inserted and base.startswith(chunk, start + size)
        if size and follows:
            size += len(chunk)
            continue
        found = offsets.get(chunk)
        if found is None or len(chunk) < MIN_COPY_BYTES:
            inserted.append(chunk)
            continue
        if size or inserted:
            splices.append(Splice(start, size, b"".join(inserted)))
        start, size, inserted = found, len(chunk), []
    splices.append(Splice(start, size, b"".join(inserted)))
    return splices


def _chunks(data: bytes) -> list[bytes]:
    *ended, rest = data.split(CHUNK_END)
    chunks = [part + CHUNK_END for part in ended]
    if rest:
        chunks.append(rest)
    return chunks
