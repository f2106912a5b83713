"""The processes of a scenario and their settings files."""

import hashlib
import itertools
import json
import pathlib
import typing

from loadtool import ports

TEAM_TOKEN = "team-token-for-load"
OPERATOR_TOKEN = "operator-token-for-load"
CLUSTER_KEY = "a-cluster-key-for-load-runs"
TEAM = "pricing-team"
OTHER_TEAM = "faults-team"
OTHER_TOKEN = "other-team-token-for-load"


class Layout(typing.NamedTuple):
    """The number of processes per zone, and settings of the cluster.

    ``entries`` and ``executors`` hold the number of processes in each
    zone of ``zones``; ``keepers`` holds the zone of each keeper.
    ``slots`` is the number of slots per executor, ``run_ms`` the range
    of its task run times and ``least_sync_ms`` the minimum duration of
    a disk sync.
    """

    zones: tuple[str, ...] = ("hafnir-a",)
    entries: tuple[int, ...] = (3,)
    keepers: tuple[str, ...] = ("hafnir-a", "hafnir-a", "hafnir-a")
    executors: tuple[int, ...] = (24,)
    slots: int = 8
    run_ms: tuple[float, float] = (50.0, 200.0)
    least_sync_ms: float = 0.0
    placement: str = "pool"


class Node(typing.NamedTuple):
    """A daemon with its name, zone, role, addresses and files."""

    name: str
    zone: str
    role: str
    http: str
    peer: str
    folder: pathlib.Path

    @property
    def settings(self) -> pathlib.Path:
        """Path of the settings file."""
        return self.folder / f"{self.name}.toml"

    @property
    def data(self) -> pathlib.Path:
        """Path of the data folder."""
        return self.folder / f"{self.name}.data"


def create_nodes(layout: Layout, folder: pathlib.Path) -> list[Node]:
    """Assign a name and free ports to each daemon of a layout."""
    daemons = []
    for number, zone in enumerate(layout.keepers, 1):
        daemons.append((f"keeper-{number}", zone, "keeper"))
    numbers = itertools.count(1)
    for zone, count in zip(layout.zones, layout.entries, strict=True):
        for _ in range(count):
            daemons.append((f"entry-{next(numbers)}", zone, "entry"))
    free_ports = iter(ports.block().allocate(2 * len(daemons)))
    return [
        Node(
            name=name,
            zone=zone,
            role=role,
            http=f"127.0.0.1:{next(free_ports)}",
            peer=f"127.0.0.1:{next(free_ports)}",
            folder=folder,
        )
        for name, zone, role in daemons
    ]


def write_settings(layout: Layout, nodes: typing.Sequence[Node]) -> None:
    """Write the settings file of every daemon."""
    shared = _shared_settings(layout, nodes)
    for node in nodes:
        own = {
            "instance": {
                "name": node.name,
                "zone": node.zone,
                "roles": [node.role],
                "data_folder": str(node.data),
            },
            "listen": {"http": node.http, "peer": node.peer},
        }
        node.settings.write_text(_toml(own) + shared)


def _shared_settings(layout: Layout, nodes: typing.Sequence[Node]) -> str:
    keepers = [node for node in nodes if node.role == "keeper"]
    lines = [
        "[cluster]",
        f"zones = {json.dumps(list(layout.zones))}",
        f'key = "{CLUSTER_KEY}"',
        f"seeds = {json.dumps([node.peer for node in nodes[:4]])}",
    ]
    for keeper in keepers:
        groups = ["settings"] + [
            f"ledger.{zone}"
            for zone in layout.zones
            if keeper.name in _ledger_members(zone, keepers)
        ]
        lines += [
            "[[cluster.keepers]]",
            f'name = "{keeper.name}"',
            f'address = "{keeper.peer}"',
            f'zone = "{keeper.zone}"',
            f"groups = {json.dumps(groups)}",
        ]
    for team, token in ((TEAM, TEAM_TOKEN), (OTHER_TEAM, OTHER_TOKEN)):
        lines += ["[[auth.tokens]]", f'team = "{team}"', _hash_line(token)]
    lines += ["[[auth.tokens]]", "operator = true", _hash_line(OPERATOR_TOKEN)]
    lines += [
        "[storage]",
        f"least_sync_ms = {layout.least_sync_ms}",
        "[slots]",
        f'placement = "{layout.placement}"',
        "[rehearsal]",
        "enabled = true",
        "[limits]",
        "drain_notice_s = 0.5",
        "",
    ]
    return "\n".join(lines)


def _ledger_members(zone: str, keepers: typing.Sequence[Node]) -> list[str]:
    """Choose the keepers of a zone's ledger group.

    A group of two would lose its quorum when either of them fails, so
    it gets a third member from another zone.
    """
    own = [each.name for each in keepers if each.zone == zone]
    others = [each.name for each in keepers if each.zone != zone]
    if len(own) == 2 and others:
        own.append(others[sum(map(ord, zone)) % len(others)])
    return own


def _hash_line(token: str) -> str:
    return f'sha256 = "{hashlib.sha256(token.encode()).hexdigest()}"'


def _toml(tables: dict[str, dict[str, typing.Any]]) -> str:
    lines = []
    for name, table in tables.items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {json.dumps(v)}" for key, v in table.items()]
    return "\n".join(lines) + "\n"
