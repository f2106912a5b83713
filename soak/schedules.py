"""Fault schedules: generated from a seed, saved and loaded as JSON."""

import dataclasses
import enum
import itertools
import json
import math
import pathlib
import random
import typing

ZONES = ("a", "b", "c", "d")
EXECUTORS_PER_ZONE = 6
EXECUTOR_COUNT = len(ZONES) * EXECUTORS_PER_ZONE
SLOWEST_RATE = 0.98
MAX_DURATION_S = 600.0


class ScheduleError(Exception):
    """A schedule is invalid."""


class Kind(enum.Enum):
    """What happens to the leader."""

    CRASH = "crash"
    CUT = "cut"
    PAUSE = "pause"
    PLANNED = "planned"


class Scope(enum.Enum):
    """Which links of the leader are cut.

    ZONE separates its zone from all others, LEADER its host alone, and
    EXECUTORS the executors of its zone from all other control hosts.
    """

    NONE = "none"
    ZONE = "zone"
    LEADER = "leader"
    EXECUTORS = "executors"


class Direction(enum.Enum):
    """Which way the cut links lose their messages."""

    BOTH = "both"
    INWARD = "inward"
    OUTWARD = "outward"


# Shortest and longest duration of a fault, seconds. A process that was
# stopped or has crashed stays away for the duration.
DURATIONS_S = {
    Kind.CRASH: (0.1, 4.0),
    Kind.CUT: (0.5, 6.0),
    Kind.PAUSE: (0.3, 3.0),
    Kind.PLANNED: (0.1, 2.0),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """A fault of whichever host leads when it begins.

    :ivar at: time since the load began, seconds
    :ivar for_s: duration, seconds
    """

    at: float
    kind: Kind
    for_s: float
    scope: Scope = Scope.NONE
    direction: Direction = Direction.BOTH

    def __post_init__(self) -> None:
        """Check the values.

        :raises ScheduleError: if one is invalid
        """
        shortest, longest = DURATIONS_S[self.kind]
        if not 0 <= self.at <= MAX_DURATION_S:
            raise ScheduleError(f"event at {self.at}: outside the run")
        if not shortest <= self.for_s <= longest:
            raise ScheduleError(
                f"event at {self.at}: for_s of {self.kind.value} must be "
                f"between {shortest} and {longest}"
            )
        if (self.kind is Kind.CUT) == (self.scope is Scope.NONE):
            raise ScheduleError(
                f"event at {self.at}: only a cut has a scope, and needs one"
            )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Schedule:
    """Everything that is decided before a run.

    :ivar rates: rate of each executor's clock
    """

    seed: int
    rates: tuple[float, ...]
    events: tuple[Event, ...]

    def __post_init__(self) -> None:
        """Check the values.

        :raises ScheduleError: if one is invalid
        """
        if len(self.rates) != EXECUTOR_COUNT:
            raise ScheduleError(f"rates: {EXECUTOR_COUNT} are needed")
        if not all(SLOWEST_RATE <= rate <= 1 for rate in self.rates):
            raise ScheduleError(f"rates: between {SLOWEST_RATE} and 1")
        if not self.events:
            raise ScheduleError("events: at least one is needed")
        times = [event.at for event in self.events]
        if times != sorted(times):
            raise ScheduleError("events: must be in order of time")

    @property
    def ends_at(self) -> float:
        """When the last fault is over, seconds since the load began."""
        return max(event.at + event.for_s for event in self.events)


def generate(seed: int) -> Schedule:
    """Return the schedule of a seed."""
    rng = random.Random(seed)
    # The slowest clocks make the largest errors in estimates of them.
    rates = tuple(
        rng.choice((SLOWEST_RATE, round(rng.uniform(SLOWEST_RATE, 1), 4)))
        for _ in range(EXECUTOR_COUNT)
    )
    events: list[Event] = []
    at = rng.uniform(5, 25)
    for _ in range(rng.randint(3, 4)):
        # Runs that a successor can't reach are at risk, above all if it
        # follows soon.
        if rng.random() < 0.5:
            events.append(_random_event(rng, at, Kind.CUT, Scope.EXECUTORS))
            at += rng.uniform(0.05, 0.5)
            kind = rng.choice((Kind.PLANNED, Kind.PLANNED, *Kind))
            events.append(_random_event(rng, at, kind))
        else:
            events.append(_random_event(rng, at, rng.choice(list(Kind))))
        # Alone, overlapping with another, or two in a row.
        gap_s = rng.choice((0.0, rng.uniform(0.05, 1), rng.uniform(1, 3)))
        if gap_s:
            at += gap_s
            events.append(_random_event(rng, at, rng.choice(list(Kind))))
        at += rng.uniform(6, 16)
    return Schedule(seed=seed, rates=rates, events=tuple(events))


def _random_event(
    rng: random.Random, at: float, kind: Kind, scope: Scope | None = None
) -> Event:
    direction = Direction.BOTH
    if kind is Kind.CUT:
        scope = scope or rng.choice(
            (Scope.ZONE, Scope.LEADER, Scope.EXECUTORS)
        )
        direction = rng.choice((Direction.BOTH, *Direction))
    return Event(
        at=round(at, 3),
        kind=kind,
        for_s=round(rng.uniform(*DURATIONS_S[kind]), 3),
        scope=scope or Scope.NONE,
        direction=direction,
    )


def save(schedule: Schedule, path: pathlib.Path) -> None:
    """Write a schedule to a file."""
    value = dataclasses.asdict(schedule)
    for row in value["events"]:
        for name in ("kind", "scope", "direction"):
            row[name] = row[name].value
    path.write_text(json.dumps(value, indent=1) + "\n")


def load(path: pathlib.Path) -> Schedule:
    """Read a schedule from a file.

    :raises ScheduleError: if it can't be read or is invalid
    """
    try:
        value = json.loads(path.read_text())
    except (OSError, ValueError) as exc:
        raise ScheduleError(f"{path}: {exc}") from exc
    try:
        return Schedule(
            seed=_number(value["seed"], int),
            rates=tuple(_number(rate) for rate in value["rates"]),
            events=tuple(_event(row) for row in value["events"]),
        )
    except ScheduleError as exc:
        raise ScheduleError(f"{path}: {exc}") from exc
    except (KeyError, TypeError, ValueError) as exc:
        raise ScheduleError(f"{path}: {exc!r}") from exc


def _event(row: dict[str, typing.Any]) -> Event:
    known = {field.name for field in dataclasses.fields(Event)}
    if unknown := sorted(row.keys() - known):
        raise ScheduleError(f"unknown fields of an event: {unknown}")
    return Event(
        at=_number(row["at"]),
        kind=Kind(row["kind"]),
        for_s=_number(row["for_s"]),
        scope=Scope(row.get("scope", "none")),
        direction=Direction(row.get("direction", "both")),
    )


def _number(value: typing.Any, kind: type = float) -> typing.Any:
    if isinstance(value, bool) or not isinstance(value, (int, kind)):
        raise ScheduleError(f"{value!r} is not a number")
    if not math.isfinite(value):
        raise ScheduleError(f"{value!r} is not finite")
    return kind(value)


def zone(number: int) -> str:
    """Return the zone of an executor by its index."""
    return ZONES[number % len(ZONES)]


def pairs(
    direction: Direction,
    inside: typing.Collection[str],
    outside: typing.Collection[str],
) -> list[tuple[str, str]]:
    """List the directed links that a cut closes.

    :param inside: what is cut off
    :param outside: what it is cut off from
    """
    found = []
    if direction is not Direction.OUTWARD:
        found += itertools.product(outside, inside)
    if direction is not Direction.INWARD:
        found += itertools.product(inside, outside)
    return found
