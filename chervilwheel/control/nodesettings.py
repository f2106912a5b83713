"""Settings of a control host or an entry host, read from a TOML file."""

import pathlib
import tomllib
import typing

from chervilwheel import addresses
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel.workers import leases

_MISSING = object()


class NodeSettings(typing.NamedTuple):
    """What a process is told at its start.

    :ivar host: its own IP address, which also names it
    :ivar listen: addresses by what is served there
    :ivar seeds: addresses of some control hosts
    :ivar peer_port: port of the links between hosts, on every host
    :ivar is_founding: whether the whole system starts for the first time
    :ivar data_folder: where synced files live, empty without a disk
    :ivar disk_losses: disks that may be lost at the same time
    :ivar drain_s: time from a request to stop until the end, seconds
    :ivar max_lease_s: a lease lasts so long at most, seconds
    :ivar stop_s: an executor takes at most so long to end a run, seconds
    :ivar heartbeat_s: time between two reports of an executor, seconds
    :ivar metrics_port: where metrics are served as text, 0 for nowhere
    """

    name: str
    role: str
    host: str
    zone: ids.ZoneId
    zones: tuple[str, ...]
    listen: dict[str, addresses.Address]
    seeds: tuple[addresses.Address, ...]
    peer_port: int
    is_founding: bool
    data_folder: str
    disk_losses: int
    drain_s: float
    max_lease_s: float
    stop_s: float
    heartbeat_s: float
    metrics_port: int

    @property
    def lease_limits(self) -> leases.Terms:
        """What executors grant a holder."""
        return leases.Terms(self.max_lease_s, self.stop_s)

    @property
    def id(self) -> ids.InstanceId:
        """The name of this process on links."""
        return ids.InstanceId(self.host)


def load(path: pathlib.Path) -> NodeSettings:
    """Read and check a settings file.

    :raises errors.InvalidSettings: naming the file and the key
    """
    try:
        table = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        raise errors.InvalidSettings(f"{path}: {exc}") from exc
    reader = _Reader(path, table)
    try:
        listen = {
            name: addresses.parse(str(text))
            for name, text in reader.get("listen", dict, {}).items()
        }
        seeds = tuple(
            addresses.parse(str(text))
            for text in reader.get("seeds", list, [])
        )
    except errors.InvalidRequest as exc:
        raise errors.InvalidSettings(f"{path}: {exc.detail}") from exc
    return NodeSettings(
        name=reader.get("name", str),
        role=reader.get("role", str),
        host=reader.get("host", str),
        zone=ids.ZoneId(reader.get("zone", str)),
        zones=tuple(map(str, reader.get("zones", list, []))),
        listen=listen,
        seeds=seeds,
        peer_port=reader.get("peer_port", int),
        is_founding=reader.get("founding", bool, False),
        data_folder=reader.get("data_folder", str, ""),
        disk_losses=reader.get("disk_losses", int, 1),
        drain_s=reader.number("drain_s", 6.0),
        max_lease_s=reader.number("hold_most_ms", 1000.0) / 1000,
        stop_s=reader.number("stop_ms", 50.0) / 1000,
        heartbeat_s=reader.number("heartbeat_ms", 1500.0) / 1000,
        metrics_port=reader.get("metrics_port", int, 0),
    )


class _Reader:
    """Reads typed values of a table."""

    def __init__(self, path: pathlib.Path, table: dict) -> None:
        self._path = path
        self._table = table

    def get(
        self, key: str, kind: type, default: typing.Any = _MISSING
    ) -> typing.Any:
        value = self._table.get(key, default)
        is_fake_int = kind is int and isinstance(value, bool)
        if value is _MISSING or not isinstance(value, kind) or is_fake_int:
            seen = "nothing" if value is _MISSING else repr(value)
            raise errors.InvalidSettings(
                f"{self._path}: {key}: {seen} where a {kind.__name__} "
                "is needed"
            )
        return value

    def number(self, key: str, default: float) -> float:
        value = self._table.get(key, default)
        is_number = isinstance(value, int | float)
        if not is_number or isinstance(value, bool) or value < 0:
            raise errors.InvalidSettings(
                f"{self._path}: {key}: {value!r} where a number is needed"
            )
        return float(value)
