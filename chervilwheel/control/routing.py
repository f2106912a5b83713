"""Find the queue that a request is for."""

import typing

from chervilwheel.control import documents


class RouteTable:
    """The queues of a document, by host and longest prefix.

    :param document: the document in force
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
        """Return the queue of a request, None when there is none."""
        name = host.partition(":")[0].lower()
        for queue in self._by_host.get(name, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


def duplicates(queues: typing.Iterable[documents.Queue]) -> list[str]:
    """Name the queues that share host and prefix with an earlier one."""
    seen = set()
    found = []
    for queue in queues:
        key = (queue.host.lower(), queue.prefix)
        if key in seen:
            found.append(queue.name)
        seen.add(key)
    return found
