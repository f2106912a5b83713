"""What operators declare for a team: quotas, weight, urgency, queues."""

import dataclasses
import tomllib

from chervilwheel import _checked
from chervilwheel import errors

_opt = _checked.option


@dataclasses.dataclass(frozen=True, kw_only=True)
class TeamPolicy:
    """How a team's work is admitted and placed.

    Quotas hold for all instances together; each zone enforces an equal
    part, so that it can go on when it is cut off.
    """

    weight: float = _opt(
        1.0,
        doc="Share of contended slots, against other teams.",
        low=0.01,
        high=1000.0,
    )
    max_concurrent: int = _opt(
        0,
        doc="Tasks running at once; 0 means no limit.",
        unit="tasks",
        low=0,
        high=10_000_000,
    )
    rate_per_s: float = _opt(
        0.0,
        doc="Task starts a second; 0 means no limit.",
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
        doc="Tasks waiting in a zone before new jobs are refused.",
        unit="tasks",
        low=1,
        high=10_000_000,
    )


DEFAULT = TeamPolicy()


def parse(text: str, *, source: str) -> TeamPolicy:
    """Read a team's policy document.

    :param text: TOML
    :param source: its path, for messages
    :raises errors.InvalidSettings: when a key or value is wrong
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise errors.InvalidSettings(f"{source}: {exc}") from exc
    return _checked.build(TeamPolicy, table, source=source)
