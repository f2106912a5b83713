"""HTTP API of an entry instance: jobs, submission ids and endpoints."""

import json
import typing

from chervilwheel import addresses
from chervilwheel import auth
from chervilwheel import clock
from chervilwheel import directory
from chervilwheel import errors
from chervilwheel import gateway
from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import ledger
from chervilwheel import pipeline
from chervilwheel import timers

KEY_HEADER = "Idempotency-Key"
MAX_WAIT_S = 3600.0
STATUS = {
    jobs.Outcome.COMPLETE: 200,
    jobs.Outcome.RUNNING: 202,
    jobs.Outcome.FAILED: 502,
    jobs.Outcome.NOT_RUN: 503,
    jobs.Outcome.UNKNOWN: 504,
}


class JobApi:
    """Create submission ids, accept jobs and requests, return answers.

    :param zone: the availability zone of this instance
    :param job_pipeline: runs, fetches and cancels submissions
    :param heap: the timer heap, for long polling
    :param cancel_on_runner: sends a cancellation to the instance that runs
        the job
    """

    def __init__(
        self,
        *,
        zone: ids.ZoneId,
        job_pipeline: pipeline.Pipeline,
        heap: timers.TimerHeap,
        cancel_on_runner: typing.Callable[[ids.InstanceId, ids.JobId], None],
    ) -> None:
        self._cancel_on_runner = cancel_on_runner
        self._zone = zone
        self._pipeline = job_pipeline
        self._heap = heap
        self._clock: clock.Clock = heap.clock

    def routes(self) -> list[gateway.Route]:
        """Return the routes for callers."""
        return [
            gateway.Route("POST", ("v1", "submissions"), self._mint),
            gateway.Route("POST", ("v1", "jobs"), self._submit),
            gateway.Route("GET", ("v1", "jobs", "*"), self._fetch),
            gateway.Route("POST", ("v1", "jobs", "*", "cancel"), self._cancel),
            gateway.Route(
                "POST",
                ("v1", "services", "*", "requests"),
                self._submit_single,
            ),
        ]

    def _mint(self, exchange: gateway.Exchange) -> None:
        job = ids.mint(zone=self._zone, wall_s=self._clock.wall())
        exchange.reply(201, {"submission": job})

    def _submit(self, exchange: gateway.Exchange) -> None:
        spec = jobs.parse_job(exchange.parse_json())
        self._run(exchange, spec, is_single=False)

    def _submit_single(self, exchange: gateway.Exchange) -> None:
        table = exchange.parse_json()
        table["service"] = exchange.path[2]
        task = jobs.parse_task(table, where="request")
        spec = jobs.JobSpec((task,), jobs.digest_of((task,)))
        self._run(exchange, spec, is_single=True)

    def _run(
        self,
        exchange: gateway.Exchange,
        spec: jobs.JobSpec,
        *,
        is_single: bool,
    ) -> None:
        if not exchange.principal.team:
            raise errors.Forbidden("only a team may submit work")
        key = exchange.headers.get(KEY_HEADER)
        needs_ledger = key is not None or not is_single
        needs_ledger |= not all(task.is_idempotent for task in spec.tasks)
        submission = pipeline.Submission(
            job=self._job_id(exchange.principal, key),
            team=exchange.principal.team,
            spec=spec,
            is_durable=needs_ledger,
            has_idempotency_key=key is not None,
        )
        wait_s = min(
            exchange.query_number("wait_ms", MAX_WAIT_S * 1000) / 1000,
            MAX_WAIT_S,
        )
        timer = self._heap.call_later(
            wait_s, lambda: _still_running(exchange, submission.job)
        )

        def done(answer: jobs.Answer) -> None:
            timer.cancel()
            reply_answer(exchange, answer)

        def on_error(exc: errors.ChervilwheelError) -> None:
            timer.cancel()
            exchange.reply_error(exc)

        self._pipeline.submit(submission, done, on_error)

    def _fetch(self, exchange: gateway.Exchange) -> None:
        job = self._job_from_path(exchange)
        wait_s = exchange.query_number("wait_ms", 0) / 1000
        self._pipeline.fetch(
            job,
            exchange.principal.team,
            min(wait_s, MAX_WAIT_S),
            lambda answer: reply_answer(exchange, answer),
            exchange.reply_error,
        )

    def _cancel(self, exchange: gateway.Exchange) -> None:
        job = self._job_from_path(exchange)

        def done(reply: ledger.JobReply | None) -> None:
            if reply is None:
                exchange.reply_error(
                    errors.OutcomeUnknown("the ledger could not be reached")
                )
            elif reply.verdict is ledger.Verdict.JOINED:
                self._cancel_on_runner(reply.runner, job)
                exchange.reply(202, {"job": job, "outcome": "running"})
            elif reply.verdict is ledger.Verdict.FINISHED:
                exchange.reply(200, {"job": job, "outcome": "finished"})
            else:
                exchange.reply_error(
                    errors.NotFound("the submission is not known")
                )

        self._pipeline.cancel(job, exchange.principal.team, done)

    def _job_from_path(self, exchange: gateway.Exchange) -> ids.JobId:
        if not exchange.principal.team:
            raise errors.Forbidden("only a team may fetch or cancel jobs")
        name = exchange.path[2]
        if name.startswith(ids.BARE_KEY_PREFIX + ":"):
            return ids.JobId(name)
        return self._job_id(exchange.principal, name)

    def _job_id(self, who: auth.Principal, key: str | None) -> ids.JobId:
        if key is None:
            return ids.mint(zone=self._zone, wall_s=self._clock.wall())
        if not ids.KEY.match(key):
            raise errors.InvalidRequest(
                f"{KEY_HEADER}: must be 1 to 128 letters, digits or . _ : -"
            )
        if ids.parse_minted(key) is not None:
            return ids.JobId(key)
        return ids.bare_key_job_id(team=who.team, key=key)


class EndpointApi:
    """Accept endpoint announcements and list the endpoints.

    :param endpoints: the endpoint directory
    :param on_announced: called with each announcement that changed the
        directory
    :param clk: the clock
    """

    def __init__(
        self,
        *,
        endpoints: directory.Directory,
        on_announced: typing.Callable[[directory.Endpoint], None],
        clk: clock.Clock,
    ) -> None:
        self._directory = endpoints
        self._on_announced = on_announced
        self._clock = clk

    def routes(self) -> list[gateway.Route]:
        """Return the routes for announcing and listing endpoints."""
        return [
            gateway.Route(
                "POST", ("v1", "endpoints", "announce"), self._announce
            ),
            gateway.Route("POST", ("v1", "endpoints", "leave"), self._leave),
            gateway.Route("GET", ("v1", "endpoints"), self._list),
        ]

    def _announce(self, exchange: gateway.Exchange) -> None:
        self._merge(exchange, is_leaving=False)

    def _leave(self, exchange: gateway.Exchange) -> None:
        self._merge(exchange, is_leaving=True)

    def _merge(self, exchange: gateway.Exchange, *, is_leaving: bool) -> None:
        auth.require_operator(exchange.principal)
        version = int(self._clock.wall() * 1_000_000)
        endpoint = _parse_endpoint(exchange.parse_json(), version, is_leaving)
        if self._directory.merge(endpoint, age_s=0.0, now=self._clock.now()):
            self._on_announced(endpoint)
        exchange.reply(200, {"version": version})

    def _list(self, exchange: gateway.Exchange) -> None:
        auth.require_operator(exchange.principal)
        now = self._clock.now()
        rows = [
            {
                "endpoint": each.endpoint,
                "service": each.service,
                "zone": each.zone,
                "address": str(each.address),
                "slots": each.slots,
                "rack": each.rack,
                "busy": each.busy,
                "is_leaving": each.is_leaving,
                "lease_left_ms": int(left_s * 1000),
            }
            for each, left_s in self._directory.all(now=now)
        ]
        exchange.reply(200, {"endpoints": rows})


def reply_answer(exchange: gateway.Exchange, answer: jobs.Answer) -> None:
    """Reply with a job's answer.

    Results are included only when the job is complete. An answer that is
    final without being complete has the outcome of each task instead.
    """
    table: dict[str, typing.Any] = {
        "job": answer.job,
        "outcome": answer.outcome.value,
    }
    headers = {}
    if answer.detail:
        table["detail"] = answer.detail
    if answer.outcome is jobs.Outcome.COMPLETE:
        table["results"] = [
            json.loads(result.value) for result in answer.results
        ]
    elif answer.outcome.is_final:
        table["tasks"] = [
            {"outcome": result.outcome.value, "detail": result.detail}
            for result in answer.results
        ]
    if answer.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(answer.retry_after_s)))
        table["retry_after_ms"] = int(answer.retry_after_s * 1000)
    exchange.reply(STATUS[answer.outcome], table, headers=headers)


def _still_running(exchange: gateway.Exchange, job: ids.JobId) -> None:
    answer = jobs.Answer(job, jobs.Outcome.RUNNING, "", ())
    reply_answer(exchange, answer)


def _parse_endpoint(
    table: dict[str, typing.Any], version: int, is_leaving: bool
) -> directory.Endpoint:
    fields = _FieldReader(table)
    endpoint = directory.Endpoint(
        endpoint=ids.EndpointId(fields.name("endpoint")),
        service=ids.ServiceId(fields.name("service")),
        zone=ids.ZoneId(fields.name("zone")),
        address=addresses.parse(fields.text("address", "")),
        slots=fields.integer("slots", 1, 1, 10_000),
        connections=fields.integer("connections", 64, 1, 100_000),
        kind=fields.text("kind", "executor"),
        rack=fields.text("rack", ""),
        processors=fields.number("processors", 0.0),
        memory_mb=fields.integer("memory_mb", 0, 0, jobs.MAX_MEMORY_MB),
        accelerators=fields.integer("accelerators", 0, 0, 1024),
        busy=fields.integer("busy", 0, 0, 100_000),
        version=version,
        lease_s=fields.integer("lease_ms", 2500, 100, 60_000) / 1000,
        is_leaving=is_leaving,
    )
    fields.reject_unknown()
    return endpoint


class _FieldReader:
    """Take typed and range-checked fields from a JSON object."""

    def __init__(self, table: dict[str, typing.Any]) -> None:
        self._table = dict(table)

    def name(self, key: str) -> str:
        value = self.text(key, "")
        if not ids.NAME.match(value):
            raise errors.InvalidRequest(
                f"{key}: must be 1 to 64 characters a-z, 0-9 or -, "
                "not starting or ending with -"
            )
        return value

    def text(self, key: str, default: str) -> str:
        value = self._table.pop(key, default)
        if not isinstance(value, str) or len(value) > ids.MAX_NAME_CHARS:
            raise errors.InvalidRequest(
                f"{key}: must be a string of at most 64 characters"
            )
        return value

    def integer(self, key: str, default: int, low: int, high: int) -> int:
        value = self._table.pop(key, default)
        if type(value) is not int or not low <= value <= high:
            raise errors.InvalidRequest(
                f"{key}: must be an integer from {low} to {high}"
            )
        return value

    def number(self, key: str, default: float) -> float:
        value = self._table.pop(key, default)
        if type(value) not in (int, float) or not 0 <= value < 1e9:
            raise errors.InvalidRequest(
                f"{key}: must be a number, at least 0 and below 1e9"
            )
        return float(value)

    def reject_unknown(self) -> None:
        if self._table:
            name = sorted(self._table)[0]
            raise errors.InvalidRequest(f"{name}: unknown field")
