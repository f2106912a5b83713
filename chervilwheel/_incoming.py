"""A snapshot that arrives in chunks."""

from chervilwheel import _replicalog
from chervilwheel import replicamessages


class IncomingSnapshot:
    """Put the chunks of one snapshot together, in order."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._source = (0, 0)

    def add(
        self, chunk: replicamessages.SnapshotChunk
    ) -> _replicalog.Snapshot | None:
        """Take a chunk in; others than the next one are passed over.

        :returns: the snapshot, once it is whole
        """
        source = (chunk.last_index, chunk.last_term)
        if chunk.offset == 0 or source != self._source:
            self._data = bytearray()
            self._source = source
        if chunk.offset != len(self._data):
            return None
        self._data += chunk.data
        if not chunk.is_last:
            return None
        data, self._data = bytes(self._data), bytearray()
        return _replicalog.Snapshot(*source, chunk.config, data)

    @property
    def size(self) -> int:
        """Bytes that have arrived."""
        return len(self._data)
