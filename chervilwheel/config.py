"""The settings file of one instance."""

import dataclasses
import pathlib
import tomllib

from chervilwheel import _checked
from chervilwheel import errors

NAME = r"[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?"
ADDRESS = r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}"
SHA256 = r"[0-9a-f]{64}"
ROLE_ENTRY = "entry"
ROLE_KEEPER = "keeper"
SETTINGS_GROUP = "settings"
LEDGER_PREFIX = "ledger."
GROUP = r"settings|ledger\.[a-z0-9-]{1,64}"

_opt = _checked.option


@dataclasses.dataclass(frozen=True, kw_only=True)
class Instance:
    """Who this instance is."""

    name: str = _opt(doc="Name, unique in the cluster.", pattern=NAME)
    zone: str = _opt(doc="Availability zone it stands in.", pattern=NAME)
    roles: list[str] = _opt(
        doc="What it does.", choices=(ROLE_ENTRY, ROLE_KEEPER)
    )
    data_folder: str = _opt("", doc="Folder of durable files; for keepers.")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listen:
    """Where this instance listens."""

    http: str = _opt(
        "", doc="Address for callers and operators.", pattern=ADDRESS + "|"
    )
    peer: str = _opt(
        doc="Address for other instances, TCP and UDP.", pattern=ADDRESS
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Keeper:
    """A keeper of the cluster at its founding."""

    name: str = _opt(doc="Its instance name.", pattern=NAME)
    address: str = _opt(doc="Its peer address.", pattern=ADDRESS)
    zone: str = _opt(doc="Its availability zone.", pattern=NAME)
    groups: list[str] = _opt(
        doc="Replica groups it votes in: settings, ledger.<zone>.",
        pattern=GROUP,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cluster:
    """What all instances share."""

    zones: list[str] = _opt(
        doc="Every availability zone, the same list everywhere.",
        pattern=NAME,
    )
    key: str = _opt("", doc="Key that peers prove to each other.")
    key_file: str = _opt("", doc="File holding that key.")
    seeds: list[str] = _opt(
        [], doc="Peer addresses asked first for members.", pattern=ADDRESS
    )
    keepers: list[Keeper] = _opt([], doc="The founding keepers.")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Token:
    """A bearer token known by its hash only."""

    sha256: str = _opt(doc="SHA-256 of the token, hex.", pattern=SHA256)
    team: str = _opt("", doc="The team that holds it.", pattern=NAME + "|")
    operator: bool = _opt(False, doc="Whether it is an operator's.")
    label: str = _opt(
        "", doc="Whose it is, for the audit trail.", pattern=NAME + "|"
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Auth:
    """Tokens known before any settings are replicated."""

    tokens: list[Token] = _opt([], doc="Bearer tokens by hash.")


@dataclasses.dataclass(frozen=True, kw_only=True)
class TeamAccess:
    """The document that lists a team's tokens."""

    tokens: list[str] = _opt(doc="SHA-256 of tokens, hex.", pattern=SHA256)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Bounds of one instance."""

    header_bytes: int = _opt(
        16_384,
        doc="Largest request head.",
        unit="bytes",
        low=1024,
        high=1_048_576,
    )
    body_bytes: int = _opt(
        4_194_304,
        doc="Largest request body.",
        unit="bytes",
        low=1024,
        high=67_108_864,
    )
    request_timeout_s: float = _opt(
        10.0,
        doc="Time a caller has to send a whole request.",
        unit="s",
        low=0.1,
        high=300.0,
    )
    idle_timeout_s: float = _opt(
        75.0,
        doc="Time an idle caller connection stays open.",
        unit="s",
        low=1.0,
        high=3600.0,
    )
    connections: int = _opt(
        2000, doc="Caller connections at most.", low=1, high=100_000
    )
    answer_bytes: int = _opt(
        1_048_576,
        doc="Largest answer of one task.",
        unit="bytes",
        low=1024,
        high=16_777_216,
    )
    drain_timeout_s: float = _opt(
        30.0,
        doc="Time that a drain waits for work in flight.",
        unit="s",
        low=0.1,
        high=3600.0,
    )
    drain_notice_s: float = _opt(
        1.0,
        doc="Time between failing the health page and refusing work.",
        unit="s",
        low=0.0,
        high=60.0,
    )
    retention_s: float = _opt(
        86_400.0,
        doc="Time that the ledger remembers a submission.",
        unit="s",
        low=10.0,
        high=2_592_000.0,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Storage:
    """How a keeper's files are written."""

    least_sync_ms: float = _opt(
        0.0,
        doc="A synced write takes at least so long; for rehearsals.",
        unit="ms",
        low=0.0,
        high=1000.0,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Slots:
    """How endpoints' slots are chosen."""

    placement: str = _opt(
        "pool",
        doc="pool: shared by the zone's owner; the others are baselines.",
        choices=("pool", "random", "round-robin", "two-choices"),
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rehearsal:
    """Faults that operators may bring about."""

    enabled: bool = _opt(False, doc="Whether links may be cut on demand.")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Log:
    """How records are written."""

    level: str = _opt(
        "INFO",
        doc="Least level written.",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """The whole settings file of one instance."""

    instance: Instance = dataclasses.field(
        metadata={"doc": "Who this instance is."}
    )
    listen: Listen = dataclasses.field(
        metadata={"doc": "Where this instance listens."}
    )
    cluster: Cluster = dataclasses.field(
        metadata={"doc": "What all instances share."}
    )
    auth: Auth = _checked.section(Auth, doc="Tokens known at start.")
    limits: Limits = _checked.section(Limits, doc="Bounds.")
    storage: Storage = _checked.section(Storage, doc="A keeper's files.")
    slots: Slots = _checked.section(Slots, doc="Choice of endpoints.")
    rehearsal: Rehearsal = _checked.section(Rehearsal, doc="Rehearsed faults.")
    log: Log = _checked.section(Log, doc="Logs.")

    def founders(self, group: str) -> list[Keeper]:
        """List the keepers that a replica group was founded with."""
        return [
            keeper for keeper in self.cluster.keepers if group in keeper.groups
        ]

    def groups(self) -> list[str]:
        """List the replica groups that this instance takes part in."""
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
    """Return the key that peers share.

    :raises errors.InvalidSettings: when no key is set or it is short
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
            "cluster.key: at least 16 characters are needed"
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
            f"{source}: instance.data_folder: a keeper needs a data folder"
        )
    if ROLE_ENTRY in cfg.instance.roles and not cfg.listen.http:
        raise errors.InvalidSettings(
            f"{source}: listen.http: an entry instance needs an address"
        )
    names = [keeper.name for keeper in cfg.cluster.keepers]
    if len(set(names)) != len(names):
        raise errors.InvalidSettings(
            f"{source}: cluster.keepers: a name stands twice"
        )
