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


class Target(enum.Enum):
    """What a fault acts on."""

    LEADER = "leader"
    ENTRY = "entry"
    EXECUTORS = "executors"


class Kind(enum.Enum):
    """What happens to the target.

    WIPE is a crash after which the host starts without its disk. Executors
    LEAVE after they drained, answer LATE, DEFER orders that they don't
    answer, or let a share of their runs FAIL.
    """

    CRASH = "crash"
    CUT = "cut"
    PAUSE = "pause"
    PLANNED = "planned"
    WIPE = "wipe"
    LEAVE = "leave"
    LATE = "late"
    DEFER = "defer"
    FAIL = "fail"


class Scope(enum.Enum):
    """Which links of the target are cut.

    ZONE separates the leader's zone from all others, LEADER its host alone,
    EXECUTORS the executors of its zone from all other control hosts, and HOST
    an entry host alone.
    """

    NONE = "none"
    ZONE = "zone"
    LEADER = "leader"
    EXECUTORS = "executors"
    HOST = "host"


HOST_KINDS = (Kind.CRASH, Kind.CUT, Kind.PAUSE, Kind.PLANNED)
EXECUTOR_KINDS = (Kind.CRASH, Kind.LEAVE, Kind.LATE, Kind.DEFER, Kind.FAIL)
KINDS = {
    Target.LEADER: (*HOST_KINDS, Kind.WIPE),
    Target.ENTRY: HOST_KINDS,
    Target.EXECUTORS: EXECUTOR_KINDS,
}
# Number of places for ``index``, and the most targets.
PLACES = {
    Target.LEADER: (1, 1),
    Target.ENTRY: (len(ZONES), 1),
    Target.EXECUTORS: (EXECUTOR_COUNT, EXECUTOR_COUNT),
}
# Only a cut has a scope, and needs one.
SCOPES = {
    (Target.LEADER, Kind.CUT): (Scope.ZONE, Scope.LEADER, Scope.EXECUTORS),
    (Target.ENTRY, Kind.CUT): (Scope.HOST,),
}


class Direction(enum.Enum):
    """Which way the cut links lose their messages."""

    BOTH = "both"
    INWARD = "inward"
    OUTWARD = "outward"


# Shortest and longest duration of a fault, seconds. What was stopped, has
# crashed or has left stays away for the duration.
DURATIONS_S = {
    Kind.CRASH: (0.1, 4.0),
    Kind.CUT: (0.5, 6.0),
    Kind.PAUSE: (0.3, 3.0),
    Kind.PLANNED: (0.1, 2.0),
    Kind.WIPE: (0.1, 4.0),
    Kind.LEAVE: (0.1, 4.0),
    Kind.LATE: (0.5, 6.0),
    Kind.DEFER: (0.5, 6.0),
    Kind.FAIL: (0.5, 6.0),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """A fault of one host, or of executors.

    :ivar at: time since the load began, seconds
    :ivar for_s: duration, seconds
    :ivar target: the leader is whichever host leads when the fault begins
    :ivar index: the entry host, or the first of the executors
    :ivar count: number of executors
    """

    at: float
    kind: Kind
    for_s: float
    scope: Scope = Scope.NONE
    direction: Direction = Direction.BOTH
    target: Target = Target.LEADER
    index: int = 0
    count: int = 1

    def __post_init__(self) -> None:
        """Check the values.

        :raises ScheduleError: if one is invalid
        """
        places, most = PLACES[self.target]
        shortest, longest = DURATIONS_S[self.kind]
        scopes = SCOPES.get((self.target, self.kind), (Scope.NONE,))
        names = [each.value for each in scopes]
        needs = {
            "at within the run": 0 <= self.at <= MAX_DURATION_S,
            f"a kind for {self.target.value}": self.kind in KINDS[self.target],
            f"for_s from {shortest}": self.for_s >= shortest,
            f"for_s up to {longest}": self.for_s <= longest,
            f"a scope of {names}": self.scope in scopes,
            f"index below {places}": 0 <= self.index < places,
            f"count from 1 to {most}": 1 <= self.count <= most,
        }
        for text, is_met in needs.items():
            if not is_met:
                raise ScheduleError(f"event at {self.at}: {text} is needed")

    @property
    def executors(self) -> list[int]:
        """Indexes of the executors that a fault of executors acts on."""
        numbers = range(self.index, self.index + self.count)
        return [number % EXECUTOR_COUNT for number in numbers]


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
        if sum(event.kind is Kind.WIPE for event in self.events) > 1:
            raise ScheduleError("events: at most one disk may be lost")


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
            kind = rng.choice((Kind.PLANNED, Kind.PLANNED, *HOST_KINDS))
            events.append(_random_event(rng, at, kind))
        else:
            events.append(_random_event(rng, at, rng.choice(HOST_KINDS)))
        # Alone, overlapping with another, or two in a row.
        gap_s = rng.choice((0.0, rng.uniform(0.05, 1), rng.uniform(1, 3)))
        if gap_s:
            at += gap_s
            events.append(_random_event(rng, at, rng.choice(HOST_KINDS)))
        at += rng.uniform(6, 16)
    # The leaders' faults of a seed don't depend on the others.
    events += _others(random.Random(f"{seed} others"), events[-1].at)
    events.sort(key=lambda event: event.at)
    return Schedule(seed=seed, rates=rates, events=tuple(events))


def _others(rng: random.Random, until: float) -> list[Event]:
    """Return faults of entry hosts and executors, and perhaps a lost disk."""
    targets = [Target.ENTRY] * rng.randint(1, 3)
    targets += [Target.EXECUTORS] * rng.randint(3, 7)
    events = []
    for target in targets:
        kind = rng.choice(KINDS[target])
        is_cut = kind is Kind.CUT
        is_entry = target is Target.ENTRY
        event = _random_event(
            rng,
            rng.uniform(2, until),
            kind,
            scope=Scope.HOST if is_cut else None,
            target=target,
            index=rng.randrange(len(ZONES) if is_entry else EXECUTOR_COUNT),
            count=1 if is_entry else rng.choice((1, 2, 4, 8)),
        )
        events.append(event)
    if rng.random() < 0.4:
        at = rng.uniform(5, until)
        events.append(_random_event(rng, at, Kind.WIPE))
    return events


def _random_event(
    rng: random.Random,
    at: float,
    kind: Kind,
    scope: Scope | None = None,
    **fields: typing.Any,
) -> Event:
    direction = Direction.BOTH
    if kind is Kind.CUT:
        scope = scope or rng.choice(SCOPES[Target.LEADER, kind])
        direction = rng.choice((Direction.BOTH, *Direction))
    return Event(
        at=round(at, 3),
        kind=kind,
        for_s=round(rng.uniform(*DURATIONS_S[kind]), 3),
        scope=scope or Scope.NONE,
        direction=direction,
        **fields,
    )


def save(schedule: Schedule, path: pathlib.Path) -> None:
    """Write a schedule to a file."""
    value = dataclasses.asdict(schedule)
    for row in value["events"]:
        for name in ("kind", "scope", "direction", "target"):
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
        target=Target(row.get("target", "leader")),
        index=_number(row.get("index", 0), int),
        count=_number(row.get("count", 1), int),
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
