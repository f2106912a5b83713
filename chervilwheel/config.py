"""The settings file of one instance."""

import dataclasses
import pathlib
import tomllib

from chervilwheel import _checked
from chervilwheel import errors

NAME_PATTERN = r"[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?"
ADDRESS_PATTERN = r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}"
SHA256_PATTERN = r"[0-9a-f]{64}"
ROLE_ENTRY = "entry"
ROLE_KEEPER = "keeper"
SETTINGS_GROUP = "settings"
LEDGER_PREFIX = "ledger."
GROUP_PATTERN = r"settings|ledger\.[a-z0-9-]{1,64}"

_opt = _checked.option


@dataclasses.dataclass(frozen=True, kw_only=True)
class Instance:
    """The identity and the roles of this instance."""

    name: str = _opt(
        doc="Instance name, unique in the cluster.", pattern=NAME_PATTERN
    )
    zone: str = _opt(
        doc="Availability zone of the instance.", pattern=NAME_PATTERN
    )
    roles: list[str] = _opt(
        doc="Roles that the instance runs.", choices=(ROLE_ENTRY, ROLE_KEEPER)
    )
    data_folder: str = _opt(
        "", doc="Folder of durable files; required for keepers."
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listen:
    """The addresses that this instance listens on."""

    http: str = _opt(
        "",
        doc="HTTP address for callers and operators.",
        pattern=ADDRESS_PATTERN + "|",
    )
    peer: str = _opt(
        doc="Address for peer instances, TCP and UDP.", pattern=ADDRESS_PATTERN
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Keeper:
    """A keeper in the initial configuration of the cluster."""

    name: str = _opt(doc="Instance name of the keeper.", pattern=NAME_PATTERN)
    address: str = _opt(
        doc="Peer address of the keeper.", pattern=ADDRESS_PATTERN
    )
    zone: str = _opt(
        doc="Availability zone of the keeper.", pattern=NAME_PATTERN
    )
    groups: list[str] = _opt(
        doc="Replica groups in which the keeper votes: settings,"
        " ledger.<zone>.",
        pattern=GROUP_PATTERN,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cluster:
    """Cluster settings, the same for every instance."""

    zones: list[str] = _opt(
        doc="All availability zones; the same list on every instance.",
        pattern=NAME_PATTERN,
    )
    key: str = _opt(
        "", doc="Shared key with which peers authenticate each other."
    )
    key_file: str = _opt(
        "", doc="File that contains the shared key; overrides `key`."
    )
    seeds: list[str] = _opt(
        [],
        doc="Peer addresses contacted first to discover members.",
        pattern=ADDRESS_PATTERN,
    )
    keepers: list[Keeper] = _opt([], doc="The initial keepers.")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Token:
    """A bearer token, stored only as its hash."""

    sha256: str = _opt(
        doc="SHA-256 of the token, in hex.", pattern=SHA256_PATTERN
    )
    team: str = _opt(
        "", doc="Team that the token belongs to.", pattern=NAME_PATTERN + "|"
    )
    operator: bool = _opt(
        False, doc="Whether the token grants operator access."
    )
    label: str = _opt(
        "",
        doc="Name of the token's owner in the audit trail.",
        pattern=NAME_PATTERN + "|",
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Auth:
    """Tokens that are valid before any settings are replicated."""

    tokens: list[Token] = _opt(
        [], doc="Bearer tokens, identified by their hashes."
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class TeamAccess:
    """The document that lists a team's tokens."""

    tokens: list[str] = _opt(
        doc="SHA-256 of each token, in hex.", pattern=SHA256_PATTERN
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Size, time and connection limits of one instance."""

    header_bytes: int = _opt(
        16_384,
        doc="Maximum size of the request line and headers.",
        unit="bytes",
        low=1024,
        high=1_048_576,
    )
    body_bytes: int = _opt(
        4_194_304,
        doc="Maximum size of a request body.",
        unit="bytes",
        low=1024,
        high=67_108_864,
    )
    request_timeout_s: float = _opt(
        10.0,
        doc="Timeout for receiving a complete request.",
        unit="s",
        low=0.1,
        high=300.0,
    )
    idle_timeout_s: float = _opt(
        75.0,
        doc="Timeout after which an idle caller connection is closed.",
        unit="s",
        low=1.0,
        high=3600.0,
    )
    connections: int = _opt(
        2000, doc="Maximum number of caller connections.", low=1, high=100_000
    )
    connection_memory_mb: float = _opt(
        0.0,
        doc="Maximum memory of all caller connections together; 0 for a "
        "quarter of the machine's memory, 64 MB at most.",
        unit="MB",
        low=0.0,
        high=65_536.0,
    )
    answer_bytes: int = _opt(
        1_048_576,
        doc="Maximum size of one task's response.",
        unit="bytes",
        low=1024,
        high=16_777_216,
    )
    drain_timeout_s: float = _opt(
        30.0,
        doc="Maximum time that a drain waits for work in flight.",
        unit="s",
        low=0.1,
        high=3600.0,
    )
    drain_notice_s: float = _opt(
        1.0,
        doc="Time from failing the health check to rejecting new work.",
        unit="s",
        low=0.0,
        high=60.0,
    )
    retention_s: float = _opt(
        86_400.0,
        doc="Time that the ledger retains a submission.",
        unit="s",
        low=10.0,
        high=2_592_000.0,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Storage:
    """Writing of a keeper's durable files."""

    least_sync_ms: float = _opt(
        0.0,
        doc="Minimum duration of a synced write, to simulate a slow disk.",
        unit="ms",
        low=0.0,
        high=1000.0,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Slots:
    """Placement of tasks on endpoint slots."""

    placement: str = _opt(
        "pool",
        doc="pool: one instance of the zone grants the slots; the others are"
        " baselines for comparison.",
        choices=("pool", "random", "round-robin", "two-choices"),
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rehearsal:
    """Fault injection by operators."""

    enabled: bool = _opt(
        False, doc="Whether operators may cut links between instances."
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Log:
    """Log output."""

    level: str = _opt(
        "INFO",
        doc="Minimum level of the records that are written.",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """The complete settings file of one instance."""

    instance: Instance = dataclasses.field(
        metadata={"doc": "The identity and the roles of this instance."}
    )
    listen: Listen = dataclasses.field(
        metadata={"doc": "The addresses that this instance listens on."}
    )
    cluster: Cluster = dataclasses.field(
        metadata={"doc": "Cluster settings, the same for every instance."}
    )
    auth: Auth = _checked.section(
        Auth, doc="Tokens that are valid from the start."
    )
    limits: Limits = _checked.section(Limits, doc="Limits of the instance.")
    storage: Storage = _checked.section(
        Storage, doc="Writing of a keeper's durable files."
    )
    slots: Slots = _checked.section(
        Slots, doc="Placement of tasks on endpoint slots."
    )
    rehearsal: Rehearsal = _checked.section(
        Rehearsal, doc="Fault injection by operators."
    )
    log: Log = _checked.section(Log, doc="Log output.")

    def initial_voters(self, group: str) -> list[Keeper]:
        """Return the initial voters of a replica group."""
        return [
            keeper for keeper in self.cluster.keepers if group in keeper.groups
        ]

    def groups(self) -> list[str]:
        """Return the replica groups that this instance votes in."""
        for keeper in self.cluster.keepers:
            if keeper.name == self.instance.name:
                return list(keeper.groups)
        return []


def load(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    :raises errors.InvalidSettings: when a key or value is wrong
    """
    try:
        table = tomllib.loads(path.read_text("utf-8"))
    except OSError as exc:
        raise errors.InvalidSettings(f"{path}: {exc.strerror}") from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise errors.InvalidSettings(f"{path}: {exc}") from exc
    cfg = _checked.build(Settings, table, source=str(path))
    _cross_check(cfg, str(path))
    return cfg


def cluster_key(cfg: Settings) -> bytes:
    """Return the shared key with which peers authenticate each other.

    :raises errors.InvalidSettings: when the key is missing, shorter than 16
        characters or in a file that can't be read
    """
    text = cfg.cluster.key
    if cfg.cluster.key_file:
        try:
            text = pathlib.Path(cfg.cluster.key_file).read_text().strip()
        except OSError as exc:
            raise errors.InvalidSettings(
                f"cluster.key_file: {exc.strerror}"
            ) from exc
    if len(text) < 16:
        raise errors.InvalidSettings(
            "cluster.key: at least 16 characters are required"
        )
    return text.encode()


def _cross_check(cfg: Settings, source: str) -> None:
    zones = cfg.cluster.zones
    if cfg.instance.zone not in zones:
        raise errors.InvalidSettings(
            f"{source}: instance.zone: {cfg.instance.zone!r} is not in"
            f" cluster.zones"
        )
    if ROLE_KEEPER in cfg.instance.roles and not cfg.instance.data_folder:
        raise errors.InvalidSettings(
            f"{source}: instance.data_folder: required for the keeper role"
        )
    if ROLE_ENTRY in cfg.instance.roles and not cfg.listen.http:
        raise errors.InvalidSettings(
            f"{source}: listen.http: required for the entry role"
        )
    names = [keeper.name for keeper in cfg.cluster.keepers]
    if len(set(names)) != len(names):
        raise errors.InvalidSettings(
            f"{source}: cluster.keepers: duplicate name"
        )
