"""Find the queue of a request."""

import typing

from chervilwheel.control import documents


class RouteTable:
    """Looks up queues by host and longest path prefix.

    :param document: the document that defines the queues
    """

    def __init__(self, *, document: documents.Document) -> None:
        self.document = document
        self._by_host: dict[str, list[documents.Queue]] = {}
        for queue in document.queues:
            host = queue.host.lower()
            self._by_host.setdefault(host, []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: -len(queue.prefix))

    def find(self, host: str, path: str) -> documents.Queue | None:
        """Return the queue of a request, or None."""
        name = host.partition(":")[0].lower()
        for queue in self._by_host.get(name, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


def duplicates(queues: typing.Iterable[documents.Queue]) -> list[str]:
    """Name the queues whose host and prefix an earlier queue also has."""
    seen = set()
    found = []
    for queue in queues:
        key = (queue.host.lower(), queue.prefix)
        if key in seen:
            found.append(queue.name)
        seen.add(key)
    return found
