"""Applies the limits of the document to callers' requests."""

from chervilwheel.control import documents
from chervilwheel.http import server

MS_PER_S = 1000


class CallerLimits:
    """Sets the limits of the server for callers.

    Requests that have begun keep the limits that they began with.

    :param front: the server; its limits at the start are what this process
        can bear, which the document can only lower
    """

    def __init__(self, *, front: server.HttpServer) -> None:
        self._front = front
        self._bearable = front.limits
        self._defaults = front.timeouts

    def apply(self, document: documents.Document) -> None:
        """Apply a document; a limit of 0 is none of its own."""
        bounds = document.bounds
        most = self._bearable
        self._front.limits = most._replace(
            header_bytes=_lower(bounds.header_bytes, most.header_bytes),
            body_bytes=_lower(bounds.body_bytes, most.body_bytes),
        )
        defaults = self._defaults
        head_s = bounds.header_timeout_ms / MS_PER_S or defaults.head_s
        self._front.timeouts = server.Timeouts(
            head_s=head_s,
            request_s=max(head_s, defaults.request_s),
            idle_s=bounds.idle_timeout_ms / MS_PER_S or defaults.idle_s,
        )


def _lower(own: int, most: int) -> int:
    return min(own, most) if own else most
