"""A team's policy document: quotas, weight, urgent share, queue limit."""

import dataclasses
import tomllib

from chervilwheel import _checked
from chervilwheel import errors

_opt = _checked.option


@dataclasses.dataclass(frozen=True, kw_only=True)
class TeamPolicy:
    """Limits on how a team's tasks are admitted and placed.

    Quotas apply to the whole cluster. Each zone enforces an equal part of
    them, so that it can keep admitting work during a network partition.
    """

    weight: float = _opt(
        1.0,
        doc="Weight of the team when teams compete for slots.",
        low=0.01,
        high=1000.0,
    )
    max_concurrent: int = _opt(
        0,
        doc="Maximum number of running tasks; 0 means no limit.",
        unit="tasks",
        low=0,
        high=10_000_000,
    )
    rate_per_s: float = _opt(
        0.0,
        doc="Maximum task starts per second; 0 means no limit.",
        unit="tasks/s",
        low=0.0,
        high=10_000_000.0,
    )
    urgent_share: float = _opt(
        0.5,
        doc="Share of the team's slots that urgent tasks may take first.",
        low=0.0,
        high=1.0,
    )
    queue_limit: int = _opt(
        10_000,
        doc="Maximum number of queued tasks in a zone; a job that would"
        " exceed it is rejected.",
        unit="tasks",
        low=1,
        high=10_000_000,
    )


DEFAULT = TeamPolicy()


def parse(text: str, *, source: str) -> TeamPolicy:
    """Parse a team's policy document.

    :param text: the document in TOML
    :param source: the document's path, for error messages
    :raises errors.InvalidSettings: when a key or value is wrong
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise errors.InvalidSettings(f"{source}: {exc}") from exc
    return _checked.build(TeamPolicy, table, source=source)
