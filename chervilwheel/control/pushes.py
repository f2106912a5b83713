"""Which entry hosts are sent the document, and when.

A document may take longer on its way than entry hosts wait between their
heartbeats. So each entry host is sent one document at a time; the next one
follows its acknowledgement and is the newest by then.
"""

import typing

from chervilwheel import ids
from chervilwheel import peers

# A link that loses data is closed sooner; this covers relays and documents
# that an entry host couldn't read.
ACK_TIMEOUT_S = 1.5


class _Push(typing.NamedTuple):
    """A document on its way to an entry host.

    :ivar applied: the version that the entry host had applied before
    """

    link: peers.MessageLink
    applied: int
    sent_at: float


class Receiver(typing.NamedTuple):
    """An entry host that relies on this host for documents.

    :ivar base: the version that it has applied, 0 if it has none or must be
        sent a whole document
    """

    link: peers.MessageLink
    base: int


class PushTracker:
    """Track the documents that entry hosts have and are being sent."""

    def __init__(self) -> None:
        self._receivers: dict[ids.InstanceId, Receiver] = {}
        self._pushes: dict[ids.InstanceId, _Push] = {}

    def record_heartbeat(
        self, link: peers.MessageLink, *, version: int, is_receiver: bool
    ) -> None:
        """Record which document an entry host has applied.

        :param is_receiver: whether it relies on this host for documents
        """
        entry = link.peer
        push = self._pushes.get(entry)
        if push is not None and (
            push.link is not link or push.applied != version
        ):
            del self._pushes[entry]
        if is_receiver:
            self._receivers[entry] = Receiver(link, version)
        else:
            self._receivers.pop(entry, None)

    def remove(self, entry: ids.InstanceId) -> None:
        """Forget an entry host."""
        self._receivers.pop(entry, None)
        self._pushes.pop(entry, None)

    def receivers(self) -> list[ids.InstanceId]:
        """List the entry hosts that rely on this host."""
        return list(self._receivers)

    def due(
        self, entry: ids.InstanceId, version: int, now: float
    ) -> Receiver | None:
        """Return an entry host if a version should be sent to it now.

        :param version: the newest version
        :param now: monotonic time, seconds
        """
        receiver = self._receivers.get(entry)
        if receiver is None or receiver.base >= version:
            return None
        push = self._pushes.get(entry)
        if push is None:
            return receiver
        if now - push.sent_at < ACK_TIMEOUT_S:
            return None
        return receiver._replace(base=0)

    def record_push(self, entry: ids.InstanceId, now: float) -> None:
        """Record that a document was sent to an entry host."""
        receiver = self._receivers[entry]
        self._pushes[entry] = _Push(receiver.link, receiver.base, now)
