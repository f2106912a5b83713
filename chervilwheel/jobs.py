"""Jobs, tasks and their outcomes, and the parsing of job requests."""

import enum
import hashlib
import json
import typing

from chervilwheel import errors
from chervilwheel import ids

MAX_TASKS = 150
MAX_DEADLINE_MS = 3_600_000
DEFAULT_DEADLINE_MS = 30_000
MAX_JSON_DEPTH = 32
MAX_PROCESSORS = 1024.0
MAX_MEMORY_MB = 16_777_216
MAX_ACCELERATORS = 64


class Urgency(enum.Enum):
    """Priority of a task among the tasks of its team."""

    NORMAL = "normal"
    URGENT = "urgent"


class Outcome(enum.Enum):
    """Outcome of a task or a job."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"

    @property
    def is_final(self) -> bool:
        """Return whether the outcome can no longer change."""
        return self is not Outcome.RUNNING


class TaskSpec(typing.NamedTuple):
    """A task as declared by its caller.

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
    """A job as declared by its caller."""

    tasks: tuple[TaskSpec, ...]
    digest: str


class TaskResult(typing.NamedTuple):
    """Outcome of one task; ``value`` is JSON text."""

    outcome: Outcome
    value: str = "null"
    detail: str = ""


class Answer(typing.NamedTuple):
    """The answer that a caller gets about a job."""

    job: ids.JobId
    outcome: Outcome
    detail: str
    results: tuple[TaskResult, ...]
    retry_after_s: float | None = None


def combine_results(
    job: ids.JobId, results: typing.Sequence[TaskResult]
) -> Answer:
    """Build the answer of a job from the final results of its tasks.

    A job is complete when all its tasks are, not run when none was ever
    started, unknown when any task is unknown, and failed otherwise.
    """
    outcomes = {result.outcome for result in results}
    detail = next((result.detail for result in results if result.detail), "")
    outcome = Outcome.FAILED
    if outcomes == {Outcome.COMPLETE}:
        outcome = Outcome.COMPLETE
    elif outcomes == {Outcome.NOT_RUN}:
        outcome = Outcome.NOT_RUN
    elif Outcome.UNKNOWN in outcomes:
        outcome = Outcome.UNKNOWN
    return Answer(job, outcome, detail, tuple(results))


def parse_body(body: bytes) -> dict[str, typing.Any]:
    """Decode a JSON object of limited nesting depth.

    :raises errors.InvalidRequest: when the body is anything else
    """
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError as exc:
        raise errors.InvalidRequest("the body is not UTF-8") from exc
    if _nesting_depth(text) > MAX_JSON_DEPTH:
        raise errors.InvalidRequest("the body is nested too deeply")
    try:
        decoded = json.loads(text, parse_constant=_reject_constant)
    except ValueError as exc:
        raise errors.InvalidRequest(f"the body is not JSON: {exc}") from exc
    if not isinstance(decoded, dict):
        raise errors.InvalidRequest("the body is not a JSON object")
    return decoded


def json_text(body: bytes) -> str | None:
    """Return an endpoint's answer as JSON text, or None if it isn't JSON."""
    try:
        text = body.decode("utf-8")
        json.loads(text, parse_constant=_reject_constant)
    except (ValueError, RecursionError):
        return None
    return text


def parse_job(decoded: dict[str, typing.Any]) -> JobSpec:
    """Validate a submitted job.

    :param decoded: the decoded body
    :raises errors.InvalidRequest: names the field and the allowed values
    :raises errors.RequestTooLarge: when it has too many tasks
    """
    fields = dict(decoded)
    tasks = fields.pop("tasks", None)
    shared = {
        key: fields.pop(key) for key in list(fields) if key in _SHARED_FIELDS
    }
    _reject_unknown_fields(fields, "")
    if not isinstance(tasks, list) or not tasks:
        raise errors.InvalidRequest("tasks: a list of 1 to 150 is needed")
    if len(tasks) > MAX_TASKS:
        raise errors.RequestTooLarge(
            f"tasks: {len(tasks)} given, {MAX_TASKS} allowed"
        )
    specs = tuple(
        parse_task(task, where=f"tasks[{index}]", shared=shared)
        for index, task in enumerate(tasks)
    )
    return JobSpec(specs, digest_of(specs))


def parse_task(
    decoded: typing.Any,
    *,
    where: str,
    shared: typing.Mapping[str, typing.Any] | None = None,
) -> TaskSpec:
    """Validate one task.

    :param where: path of the task in the request, for error messages
    :param shared: defaults from the job for fields that a task omits
    """
    if not isinstance(decoded, dict):
        raise errors.InvalidRequest(f"{where}: an object is needed")
    fields = dict(shared or {})
    fields.update(decoded)
    spec = TaskSpec(
        service=ids.ServiceId(_name(fields, "service", where)),
        payload=_canonical_json(fields.pop("payload", None)),
        urgency=_urgency(fields, where),
        deadline_ms=_integer(
            fields, "deadline_ms", DEFAULT_DEADLINE_MS, 1, MAX_DEADLINE_MS
        ),
        is_idempotent=_boolean(fields, "idempotent", False),
        processors=_number(fields, "processors", 1.0, 0.0, MAX_PROCESSORS),
        memory_mb=_integer(fields, "memory_mb", 0, 0, MAX_MEMORY_MB),
        accelerators=_integer(fields, "accelerators", 0, 0, MAX_ACCELERATORS),
        run_time_ms=_integer(fields, "run_time_ms", 0, 0, MAX_DEADLINE_MS),
    )
    _reject_unknown_fields(fields, where)
    return spec


def digest_of(specs: typing.Sequence[TaskSpec]) -> str:
    """Hash the tasks of a job, to detect a reused idempotency key."""
    return hashlib.sha256(dump_tasks(specs).encode()).hexdigest()[:32]


def dump_tasks(specs: typing.Sequence[TaskSpec]) -> str:
    """Serialize tasks as JSON text for the ledger."""
    rows = [[*spec[:2], spec.urgency.value, *spec[3:]] for spec in specs]
    return json.dumps(rows, separators=(",", ":"))


def load_tasks(text: str) -> tuple[TaskSpec, ...]:
    """Parse the output of :func:`dump_tasks`."""
    return tuple(
        TaskSpec(row[0], row[1], Urgency(row[2]), *row[3:])
        for row in json.loads(text)
    )


_SHARED_FIELDS = {
    "service",
    "urgency",
    "deadline_ms",
    "idempotent",
    "processors",
    "memory_mb",
    "accelerators",
    "run_time_ms",
}


def _canonical_json(payload: typing.Any) -> str:
    return json.dumps(payload, separators=(",", ":"), sort_keys=True)


def _nesting_depth(text: str) -> int:
    max_depth = depth = 0
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
            max_depth = max(max_depth, depth)
        elif char in "]}":
            depth -= 1
    return max_depth


def _reject_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is not allowed")


def _reject_unknown_fields(fields: dict[str, typing.Any], where: str) -> None:
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


def _boolean(fields: dict[str, typing.Any], key: str, default: bool) -> bool:
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
