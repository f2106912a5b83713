"""Write-ahead log of a replica: segments of frames, and a snapshot.

A frame is a length, a checksum and one record, written and synced as a
whole. An invalid frame with no valid one after it is a torn write and is
truncated. With a valid one after it, synced data is corrupt and the
journal refuses to open.
"""

import logging
import pathlib
import struct
import typing
import zlib

from chervilwheel import _replicalog
from chervilwheel import codec
from chervilwheel import disk
from chervilwheel import errors
from chervilwheel import replica

_LOG = logging.getLogger("journal")
FORMAT_VERSION = 1
SEGMENT_PREFIX = "journal-"
SNAPSHOT_NAME = "snapshot.bin"
MAX_FRAME_BYTES = 1 << 30
_FRAME_HEADER = struct.Struct("<II")
_EMPTY_SNAPSHOT = replica.Snapshot(0, 0, replica.GroupConfig(()), b"")


class Header(typing.NamedTuple):
    """The first record of each segment."""

    format_version: int
    group: str
    disk: str


class Save(typing.NamedTuple):
    """One synced write: entries, and optionally the term and vote.

    An entry replaces all earlier ones at its index and after it.
    """

    has_hard_state: bool
    term: int
    vote: str
    entries: tuple[_replicalog.Entry, ...]


class SnapshotFile(typing.NamedTuple):
    """The only record of the snapshot file."""

    index: int
    term: int
    config: _replicalog.GroupConfig
    data: bytes


class Frames(typing.NamedTuple):
    """The valid records of a file and the number of bytes they cover."""

    records: list[typing.Any]
    good_bytes: int


_codec = codec.Codec(
    schema="records.capnp",
    root="Record",
    kinds=[Header, Save, SnapshotFile],
)


def frame(data: bytes) -> bytes:
    """Prefix a record with its length and checksum."""
    return _FRAME_HEADER.pack(len(data), zlib.crc32(data)) + data


def frame_body(data: bytes) -> bytes | None:
    """Return the record of the first frame, None if it is invalid."""
    return _frame_at(data, 0)


def read_frames(data: bytes, *, name: str) -> Frames:
    """Read frames up to a torn write at the end.

    :param name: the file's name, for error messages
    :raises errors.CorruptData: when a valid frame follows an invalid one
    """
    records = []
    offset = 0
    while offset < len(data):
        body = _frame_at(data, offset)
        if body is None:
            if _has_frame_after(data, offset):
                raise errors.CorruptData(
                    f"{name}: corrupt data at byte offset {offset}"
                )
            break
        records.append(_codec.decode(body))
        offset += _FRAME_HEADER.size + len(body)
    return Frames(records, offset)


def _frame_at(data: bytes, offset: int) -> bytes | None:
    if offset + _FRAME_HEADER.size > len(data):
        return None
    size, checksum = _FRAME_HEADER.unpack_from(data, offset)
    start = offset + _FRAME_HEADER.size
    if not 0 < size <= MAX_FRAME_BYTES or start + size > len(data):
        return None
    body = data[start : start + size]
    return body if zlib.crc32(body) == checksum else None


def _has_frame_after(data: bytes, offset: int) -> bool:
    size, _ = (
        _FRAME_HEADER.unpack_from(data, offset)
        if offset + _FRAME_HEADER.size <= len(data)
        else (0, 0)
    )
    next_frame = offset + _FRAME_HEADER.size + size
    return size > 0 and _frame_at(data, next_frame) is not None


class Journal:
    """The files of one replica.

    :param store: the disk
    :param folder: the replica's own folder
    :param group: its group
    :param disk_id: the identity of the disk
    """

    def __init__(
        self,
        *,
        store: disk.Disk,
        folder: pathlib.Path,
        group: str,
        disk_id: str,
    ) -> None:
        self._store = store
        self._folder = folder
        self._header = Header(FORMAT_VERSION, group, disk_id)
        self._segment = 0
        self._hard_state = (0, "")
        self.bytes_since_snapshot = 0
        self.is_failed = False

    def open(self) -> replica.Restored:
        """Read the replica's state, truncating a torn write at the end.

        :raises errors.CorruptData: when synced data is corrupt
        :raises errors.StorageError: when the disk fails
        """
        names = self._store.names(self._folder)
        snapshot = self._read_snapshot(names)
        segments = sorted(n for n in names if n.startswith(SEGMENT_PREFIX))
        entries: list[_replicalog.Entry] = []
        for name in segments:
            is_last = name == segments[-1]
            self._replay(name, entries, is_last=is_last)
        if segments:
            self._segment = _segment_number(segments[-1])
        else:
            self._start_segment([])
        kept = _after_snapshot(entries, snapshot)
        return replica.Restored(*self._hard_state, snapshot, tuple(kept))

    def save(self, actions: replica.Actions) -> None:
        """Make a replica's actions durable.

        :raises errors.StorageError: when the disk fails; the journal
            then rejects all further saves, since it is unknown what is
            durable
        """
        if self.is_failed:
            raise errors.StorageError(
                "the journal is unusable after an earlier failure"
            )
        if actions.hard_state is not None:
            self._hard_state = actions.hard_state
        try:
            if actions.install is not None:
                self._restart(actions.install, actions.entries)
            else:
                self._append(actions.entries)
        except errors.StorageError:
            self.is_failed = True
            raise

    def compact(
        self,
        snapshot: replica.Snapshot,
        entries: typing.Sequence[_replicalog.Entry],
    ) -> None:
        """Keep only a snapshot and the entries after it."""
        try:
            self._restart(snapshot, entries)
        except errors.StorageError:
            self.is_failed = True
            raise

    def _append(self, entries: typing.Sequence[_replicalog.Entry]) -> None:
        save = Save(True, *self._hard_state, tuple(entries))
        data = frame(_codec.encode(save))
        path = self._path(self._segment)
        self._store.append(path, data)
        self._store.sync(path)
        self.bytes_since_snapshot += len(data)

    def _restart(
        self,
        snapshot: replica.Snapshot,
        entries: typing.Sequence[_replicalog.Entry],
    ) -> None:
        record = SnapshotFile(*snapshot)
        data = frame(_codec.encode(record))
        self._store.replace(self._folder / SNAPSHOT_NAME, data)
        previous_segment = self._segment
        self._start_segment(entries)
        for number in range(previous_segment, 0, -1):
            path = self._path(number)
            if path.name not in self._store.names(self._folder):
                break
            self._store.remove(path)

    def _start_segment(
        self, entries: typing.Sequence[_replicalog.Entry]
    ) -> None:
        self._segment += 1
        self.bytes_since_snapshot = 0
        save = Save(True, *self._hard_state, tuple(entries))
        data = frame(_codec.encode(self._header))
        data += frame(_codec.encode(save))
        path = self._path(self._segment)
        self._store.append(path, data)
        self._store.sync(path)

    def _read_snapshot(self, names: list[str]) -> replica.Snapshot:
        if SNAPSHOT_NAME not in names:
            return _EMPTY_SNAPSHOT
        data = self._store.read(self._folder / SNAPSHOT_NAME)
        frames = read_frames(data, name=SNAPSHOT_NAME)
        if len(frames.records) != 1:
            raise errors.CorruptData(f"{SNAPSHOT_NAME}: corrupt snapshot")
        return replica.Snapshot(*frames.records[0])

    def _replay(
        self, name: str, entries: list[_replicalog.Entry], *, is_last: bool
    ) -> None:
        path = self._folder / name
        data = self._store.read(path)
        frames = read_frames(data, name=name)
        if frames.good_bytes < len(data):
            if not is_last:
                raise errors.CorruptData(
                    f"{name}: corrupt data at the end of an older segment"
                )
            _LOG.warning(
                "journal: truncated a torn write",
                extra={
                    "file": name,
                    "bytes": len(data) - frames.good_bytes,
                },
            )
            self._store.truncate(path, frames.good_bytes)
        for record in frames.records:
            self._apply(record, entries, name)
        if not frames.records:
            self._store.append(path, frame(_codec.encode(self._header)))
        self.bytes_since_snapshot += frames.good_bytes

    def _apply(
        self,
        record: typing.Any,
        entries: list[_replicalog.Entry],
        name: str,
    ) -> None:
        if isinstance(record, Header):
            if record != self._header:
                raise errors.CorruptData(
                    f"{name}: header is {record}, expected {self._header}"
                )
        elif isinstance(record, Save):
            if record.has_hard_state:
                self._hard_state = (record.term, record.vote)
            for entry in record.entries:
                while entries and entries[-1].index >= entry.index:
                    entries.pop()
                entries.append(entry)

    def _path(self, number: int) -> pathlib.Path:
        return self._folder / f"{SEGMENT_PREFIX}{number:08d}.log"


def _segment_number(name: str) -> int:
    return int(name[len(SEGMENT_PREFIX) :].partition(".")[0])


def _after_snapshot(
    entries: list[_replicalog.Entry], snapshot: replica.Snapshot
) -> list[_replicalog.Entry]:
    for entry in entries:
        is_at_snapshot = entry.index == snapshot.index
        if is_at_snapshot and entry.term != snapshot.term:
            return []
    kept = [entry for entry in entries if entry.index > snapshot.index]
    if kept and kept[0].index != snapshot.index + 1:
        raise errors.CorruptData(
            "the entries are not contiguous with the snapshot"
        )
    return kept
