"""Jobs, tasks and their outcomes, and how requests describe them."""

import enum
import hashlib
import json
import typing

from chervilwheel import errors
from chervilwheel import ids

MAX_TASKS = 150
MAX_DEADLINE_MS = 3_600_000
DEFAULT_DEADLINE_MS = 30_000
MAX_DEPTH = 32
MAX_PROCESSORS = 1024.0
MAX_MEMORY_MB = 16_777_216
MAX_ACCELERATORS = 64


class Urgency(enum.Enum):
    """How a team ranks a task among its own."""

    NORMAL = "normal"
    URGENT = "urgent"


class Outcome(enum.Enum):
    """What became of a task or a job."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"

    @property
    def is_final(self) -> bool:
        """Whether nothing more can change it."""
        return self is not Outcome.RUNNING


class TaskSpec(typing.NamedTuple):
    """One task as its caller declares it.

    ``payload`` is JSON text; times are milliseconds.
    """

    service: ids.ServiceId
    payload: str
    urgency: Urgency
    deadline_ms: int
    is_idempotent: bool
    processors: float
    memory_mb: int
    accelerators: int
    run_time_ms: int


class JobSpec(typing.NamedTuple):
    """A job as its caller declares it."""

    tasks: tuple[TaskSpec, ...]
    digest: str


class TaskResult(typing.NamedTuple):
    """What became of one task; ``value`` is JSON text."""

    outcome: Outcome
    value: str = "null"
    detail: str = ""


class Answer(typing.NamedTuple):
    """What a caller hears about a job."""

    job: ids.JobId
    outcome: Outcome
    detail: str
    results: tuple[TaskResult, ...]
    retry_after_s: float | None = None


def conclude(job: ids.JobId, results: typing.Sequence[TaskResult]) -> Answer:
    """Build the answer of a job whose every task has a final result.

    A job is complete when all tasks are, not run when none ever
    started, unknown when one is unknown, and failed otherwise.
    """
    outcomes = {result.outcome for result in results}
    detail = next((each.detail for each in results if each.detail), "")
    outcome = Outcome.FAILED
    if outcomes == {Outcome.COMPLETE}:
        outcome = Outcome.COMPLETE
    elif outcomes == {Outcome.NOT_RUN}:
        outcome = Outcome.NOT_RUN
    elif Outcome.UNKNOWN in outcomes:
        outcome = Outcome.UNKNOWN
    return Answer(job, outcome, detail, tuple(results))


def parse_body(body: bytes) -> dict[str, typing.Any]:
    """Decode a JSON object with a bounded depth.

    :raises errors.InvalidRequest: when it is not one
    """
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError as exc:
        raise errors.InvalidRequest("the body is not UTF-8") from exc
    if _depth(text) > MAX_DEPTH:
        raise errors.InvalidRequest("the body is nested too deeply")
    try:
        table = json.loads(text, parse_constant=_refuse_constant)
    except ValueError as exc:
        raise errors.InvalidRequest(f"the body is not JSON: {exc}") from exc
    if not isinstance(table, dict):
        raise errors.InvalidRequest("the body is not a JSON object")
    return table


def json_text(body: bytes) -> str | None:
    """Return an endpoint's answer as JSON text, None when it is not."""
    try:
        text = body.decode("utf-8")
        json.loads(text, parse_constant=_refuse_constant)
    except (ValueError, RecursionError):
        return None
    return text


def parse_job(table: dict[str, typing.Any]) -> JobSpec:
    """Check a submitted job.

    :param table: the decoded body
    :raises errors.InvalidRequest: naming the field and what is allowed
    :raises errors.RequestTooLarge: when it has too many tasks
    """
    fields = dict(table)
    tasks = fields.pop("tasks", None)
    shared = {key: fields.pop(key) for key in list(fields) if key in _SHARED}
    _refuse_rest(fields, "")
    if not isinstance(tasks, list) or not tasks:
        raise errors.InvalidRequest("tasks: a list of 1 to 150 is needed")
    if len(tasks) > MAX_TASKS:
        raise errors.RequestTooLarge(
            f"tasks: {len(tasks)} given, {MAX_TASKS} allowed"
        )
    specs = tuple(
        parse_task(task, where=f"tasks[{place}]", shared=shared)
        for place, task in enumerate(tasks)
    )
    return JobSpec(specs, digest_of(specs))


def parse_task(
    table: typing.Any,
    *,
    where: str,
    shared: typing.Mapping[str, typing.Any] | None = None,
) -> TaskSpec:
    """Check one task.

    :param where: its place, for messages
    :param shared: values of the job that a task may leave out
    """
    if not isinstance(table, dict):
        raise errors.InvalidRequest(f"{where}: an object is needed")
    fields = dict(shared or {})
    fields.update(table)
    spec = TaskSpec(
        service=ids.ServiceId(_name(fields, "service", where)),
        payload=_canonical(fields.pop("payload", None)),
        urgency=_urgency(fields, where),
        deadline_ms=_integer(
            fields, "deadline_ms", DEFAULT_DEADLINE_MS, 1, MAX_DEADLINE_MS
        ),
        is_idempotent=_flag(fields, "idempotent", False),
        processors=_number(fields, "processors", 1.0, 0.0, MAX_PROCESSORS),
        memory_mb=_integer(fields, "memory_mb", 0, 0, MAX_MEMORY_MB),
        accelerators=_integer(fields, "accelerators", 0, 0, MAX_ACCELERATORS),
        run_time_ms=_integer(fields, "run_time_ms", 0, 0, MAX_DEADLINE_MS),
    )
    _refuse_rest(fields, where)
    return spec


def digest_of(specs: typing.Sequence[TaskSpec]) -> str:
    """Hash what a job asks for, to tell a reused key."""
    return hashlib.sha256(dump_tasks(specs).encode()).hexdigest()[:32]


def dump_tasks(specs: typing.Sequence[TaskSpec]) -> str:
    """Write tasks as JSON text, for the ledger."""
    plain = [[*spec[:2], spec.urgency.value, *spec[3:]] for spec in specs]
    return json.dumps(plain, separators=(",", ":"))


def load_tasks(text: str) -> tuple[TaskSpec, ...]:
    """Read what :func:`dump_tasks` wrote."""
    return tuple(
        TaskSpec(row[0], row[1], Urgency(row[2]), *row[3:])
        for row in json.loads(text)
    )


_SHARED = {
    "service",
    "urgency",
    "deadline_ms",
    "idempotent",
    "processors",
    "memory_mb",
    "accelerators",
    "run_time_ms",
}


def _canonical(payload: typing.Any) -> str:
    return json.dumps(payload, separators=(",", ":"), sort_keys=True)


def _depth(text: str) -> int:
    deepest = depth = 0
    is_string = is_escaped = False
    for char in text:
        if is_string:
            if is_escaped:
                is_escaped = False
            elif char == "\\":
                is_escaped = True
            elif char == '"':
                is_string = False
        elif char == '"':
            is_string = True
        elif char in "[{":
            depth += 1
            deepest = max(deepest, depth)
        elif char in "]}":
            depth -= 1
    return deepest


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is not allowed")


def _refuse_rest(fields: dict[str, typing.Any], where: str) -> None:
    if fields:
        name = sorted(fields)[0]
        prefix = f"{where}." if where else ""
        raise errors.InvalidRequest(f"{prefix}{name}: unknown field")


def _name(fields: dict[str, typing.Any], key: str, where: str) -> str:
    value = fields.pop(key, None)
    if not isinstance(value, str) or not ids.NAME.match(value):
        raise errors.InvalidRequest(
            f"{where}.{key}: a name of a-z, 0-9 and - is needed"
        )
    return value


def _urgency(fields: dict[str, typing.Any], where: str) -> Urgency:
    value = fields.pop("urgency", Urgency.NORMAL.value)
    try:
        return Urgency(value)
    except ValueError as exc:
        raise errors.InvalidRequest(
            f"{where}.urgency: normal or urgent is needed"
        ) from exc


def _flag(fields: dict[str, typing.Any], key: str, default: bool) -> bool:
    value = fields.pop(key, default)
    if not isinstance(value, bool):
        raise errors.InvalidRequest(f"{key}: true or false is needed")
    return value


def _integer(
    fields: dict[str, typing.Any],
    key: str,
    default: int,
    low: int,
    high: int,
) -> int:
    value = fields.pop(key, default)
    if type(value) is not int or not low <= value <= high:
        raise errors.InvalidRequest(
            f"{key}: an integer from {low} to {high} is needed"
        )
    return value


def _number(
    fields: dict[str, typing.Any],
    key: str,
    default: float,
    low: float,
    high: float,
) -> float:
    value = fields.pop(key, default)
    if type(value) not in (int, float) or not low <= value <= high:
        raise errors.InvalidRequest(
            f"{key}: a number from {low} to {high} is needed"
        )
    return float(value)
