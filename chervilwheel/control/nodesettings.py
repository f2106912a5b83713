"""Settings of a control host or an entry host, loaded from TOML."""

import pathlib
import re
import tomllib
import typing

from chervilwheel import addresses
from chervilwheel import connbudget
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel.workers import leases

_MISSING = object()
# Refusals name the same time in Retry-After.
DEFAULT_RESEND_S = 1.0
# What can be sent in an Authorization header without being changed.
_TOKEN = re.compile(r"[!-~]*")


class NodeSettings(typing.NamedTuple):
    """The settings of a process.

    :ivar host: the IP address of this host, also its name
    :ivar listen: addresses to listen on, by the name of the service
    :ivar seeds: addresses of some control hosts
    :ivar peer_port: port for links between hosts, the same on every host
    :ivar is_founding: whether this is the first start of the whole system
    :ivar data_folder: folder for synced files, empty without a disk
    :ivar disk_losses: number of simultaneous disk losses to tolerate
    :ivar drain_s: maximum time from a stop request to exit, seconds
    :ivar max_lease_s: maximum duration of a lease, seconds
    :ivar stop_s: maximum time for an executor to end a run, seconds
    :ivar resend_s: minimum time after which callers that have got no answer
        send a job again, seconds
    :ivar heartbeat_s: interval of an executor's reports, seconds
    :ivar evacuation_s: time after its acknowledgement by which an evacuation
        has effect, seconds; 0 where evacuations aren't used
    :ivar metrics_port: port that serves metrics as text, and operators'
        requests on control hosts, 0 for none
    :ivar memory_mb: memory that this process may use
    :ivar max_descriptors: number of descriptors that it may have open
    :ivar connection_memory_mb: memory of all client connections together
    :ivar max_connections: number of client connections
    :ivar operator_token: bearer token of operators' orders, empty to accept
        none
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
    memory_mb: float = 0.0
    max_descriptors: int = 0
    connection_memory_mb: float = 0.0
    max_connections: int = 0
    evacuation_s: float = 0.0
    resend_s: float = DEFAULT_RESEND_S
    operator_token: str = ""

    @property
    def lease_limits(self) -> leases.LeaseLimits:
        """The executors' limits for leases."""
        return leases.LeaseLimits(self.max_lease_s, self.stop_s)

    @property
    def connection_limits(self) -> connbudget.Limits:
        """What client connections may hold together."""
        return connbudget.default_limits(
            memory_mb=self.memory_mb,
            descriptors=self.max_descriptors,
            kept_mb=self.connection_memory_mb,
            connections=self.max_connections,
        )

    @property
    def id(self) -> ids.InstanceId:
        """The name of this process on links."""
        return ids.InstanceId(self.host)


def load(path: pathlib.Path) -> NodeSettings:
    """Load and validate a settings file.

    :raises errors.InvalidSettings: with the file and the key
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
        resend_s=reader.number("resend_ms", 1000 * DEFAULT_RESEND_S) / 1000,
        evacuation_s=reader.number("evacuation_ms", 0.0) / 1000,
        memory_mb=reader.number("memory_mb", 0.0),
        max_descriptors=reader.natural("max_descriptors"),
        connection_memory_mb=reader.number("connection_memory_mb", 0.0),
        max_connections=reader.natural("max_connections"),
        operator_token=reader.token("operator_token"),
    )


class _Reader:
    """Reads values of a TOML table and checks their types."""

    def __init__(self, path: pathlib.Path, table: dict) -> None:
        self._path = path
        self._table = table

    def get(
        self, key: str, kind: type, default: typing.Any = _MISSING
    ) -> typing.Any:
        value = self._table.get(key, default)
        is_bool_for_int = kind is int and isinstance(value, bool)
        if value is _MISSING or not isinstance(value, kind) or is_bool_for_int:
            found = "nothing" if value is _MISSING else repr(value)
            raise errors.InvalidSettings(
                f"{self._path}: {key}: got {found}, a value of type "
                f"{kind.__name__} is required"
            )
        return value

    def token(self, key: str) -> str:
        """Return a bearer token, empty if missing; errors don't show it."""
        value = self._table.get(key, "")
        if not isinstance(value, str) or not _TOKEN.fullmatch(value):
            raise errors.InvalidSettings(
                f"{self._path}: {key}: a string of ASCII characters without "
                "spaces is required"
            )
        return value

    def natural(self, key: str) -> int:
        """Return a number that may be 0, which is the default."""
        value = self.get(key, int, 0)
        if value < 0:
            raise errors.InvalidSettings(
                f"{self._path}: {key}: got {value}, a non-negative number is "
                "required"
            )
        return value

    def number(self, key: str, default: float) -> float:
        value = self._table.get(key, default)
        is_number = isinstance(value, int | float)
        if not is_number or isinstance(value, bool) or value < 0:
            raise errors.InvalidSettings(
                f"{self._path}: {key}: got {value!r}, a non-negative number "
                "is required"
            )
        return float(value)
