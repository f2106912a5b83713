"""A snapshot that arrives in chunks."""

from chervilwheel import _replicalog
from chervilwheel import replicamessages


class IncomingSnapshot:
    """Assemble one snapshot from its chunks, in order."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._snapshot_id = (0, 0)

    def add(
        self, chunk: replicamessages.SnapshotChunk
    ) -> _replicalog.Snapshot | None:
        """Append the next chunk; chunks out of order are ignored.

        :returns: the snapshot once its last chunk has arrived, else None
        """
        snapshot_id = (chunk.last_index, chunk.last_term)
        if chunk.offset == 0 or snapshot_id != self._snapshot_id:
            self._data = bytearray()
            self._snapshot_id = snapshot_id
        if chunk.offset != len(self._data):
            return None
        self._data += chunk.data
        if not chunk.is_last:
            return None
        data, self._data = bytes(self._data), bytearray()
        return _replicalog.Snapshot(*snapshot_id, chunk.config, data)

    @property
    def size(self) -> int:
        """Number of bytes received so far."""
        return len(self._data)
