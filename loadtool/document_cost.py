"""Measure what a change of the document costs by routes and entry hosts.

The hosts and their links are the real ones over an in-memory network, so
system calls and the event loop are not included. Times until a version is in
force are in the network's virtual time and don't include processor time. Run
it with ``python -m loadtool.document_cost``.
"""

import json
import logging
import resource
import typing

from chervilwheel.control import documents
from loadtool import hostworld

CONTROLS = 5
LINK_BYTES_S = 12.5e6 / 8
START_S = 3.0
CHANGES = 20
CHANGE_INTERVAL_S = 0.33
STEP_S = 0.01
SETTLE_S = 2.0
SIZES = ((3, 28), (350, 28), (1_400, 28), (4_200, 28), (4_200, 97))
KINDS = ("DocumentPush", "AppendRequest", "GroupRequest")


class LineDecoder(documents.Decoder):
    """Decodes documents whose first line is their version."""

    def decode(self, data: bytes) -> documents.Document:
        """Return a document without queues."""
        version = int(data.partition(b"\n")[0])
        return documents.Document(version, (), (), documents.Bounds(), data)


def encode_document(version: int, *, routes: int) -> bytes:
    """Encode a document in which each version changes one route."""
    changed = version % routes
    rows = [
        b'{"name":"r-%06d","host":"h%d.example","prefix":"/p%d/",'
        b'"kind":"once","timeout_ms":%d,"allowance_ms":60,'
        b'"priority":1,"service":"listings","attempts":4,"stretch":1.6,'
        b'"weight":1}'
        % (n, n % 37, n, 1_500 + (version if n == changed else 0))
        for n in range(routes)
    ]
    return b"%d\n[" % version + b",".join(rows) + b"]"


def start_world(*, controls: int, entries: int) -> hostworld.World:
    """Start hosts of which the entry hosts have small links."""
    world = hostworld.World(
        controls=controls, entries=entries, decoder=LineDecoder()
    )
    for host in world.entries:
        world.network.link_rates[host] = LINK_BYTES_S
    world.run(START_S)
    return world


class Benchmark:
    """Changes of one document.

    :param routes: number of routes in the document
    :param entries: number of entry hosts
    """

    def __init__(self, *, routes: int, entries: int) -> None:
        self._routes = routes
        self._entries = entries
        self._world = start_world(controls=CONTROLS, entries=entries)

    def run(self) -> dict[str, typing.Any]:
        """Store a first document and changes; return their cost."""
        try:
            return {
                "routes": self._routes,
                "entry_hosts": self._entries,
                "document_kb": round(len(self._document(1)) / 1e3, 1),
                "first": self._cost(range(1, 2), SETTLE_S),
                "change": self._cost(range(2, 2 + CHANGES), CHANGE_INTERVAL_S),
                "peak_rss_mb": resource.getrusage(
                    resource.RUSAGE_SELF
                ).ru_maxrss
                // 1024,
            }
        finally:
            self._world.close()

    def _document(self, version: int) -> bytes:
        return encode_document(version, routes=self._routes)

    def _cost(
        self, versions: range, interval_s: float
    ) -> dict[str, typing.Any]:
        """Store versions; return the cost of each in the mean."""
        world = self._world
        sent = {kind: world.bytes_sent(kind) for kind in KINDS}
        cpu_s = dict(world.network.cpu_s)
        holder = world.holder()
        slowest_s = 0.0
        for version in versions:
            started_at = world.clock.now()
            world.put_data(self._document(version), wait_s=0.0)
            slowest_s = max(slowest_s, self._wait(version))
            rest_s = started_at + interval_s - world.clock.now()
            if rest_s > 0:
                world.run(rest_s)
        count = len(versions)
        entry = next(iter(world.entries))
        used_s = {
            host: world.network.cpu_s[host] - cpu_s.get(host, 0.0)
            for host in (holder, entry)
        }
        return {
            **{
                f"{kind}_kb": round(
                    (world.bytes_sent(kind) - sent[kind]) / count / 1e3, 2
                )
                for kind in KINDS
            },
            "leader_cpu_ms": round(used_s[holder] / count * 1e3, 1),
            "entry_cpu_ms": round(used_s[entry] / count * 1e3, 1),
            "in_force_ms": round(slowest_s * 1e3),
        }

    def _wait(self, version: int) -> float:
        """Wait until all entry hosts have a version; return the seconds."""
        world = self._world
        started_at = world.clock.now()
        while world.clock.now() - started_at < SETTLE_S:
            if all(
                entry.document_version >= version
                for entry in world.entries.values()
            ):
                break
            world.run(STEP_S)
        return world.clock.now() - started_at


def main() -> None:
    """Print the costs as JSON lines."""
    logging.disable(logging.CRITICAL)
    for routes, entries in SIZES:
        row = Benchmark(routes=routes, entries=entries).run()
        print(json.dumps(row))


if __name__ == "__main__":
    main()
