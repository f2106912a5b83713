"""Callers that hand jobs in, cancel them, and read how far they are."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import math
import random
import time
import typing

from loadtool import client

HOST = "a.example"
PREFIX = "/q/"
SERVICE = "service"
# Versions of the configuration differ in the limit of failed runs.
MIN_FAILURES = 2
FAILURE_LIMITS = 3
ROUTE = {
    "name": "r-1",
    "host": HOST,
    "pathPrefix": PREFIX,
    "timeoutMs": 60_000,
    "targetLatencyMs": 60,
    "priority": 0,
    "service": SERVICE,
    "maxAttempts": MIN_FAILURES,
    "stretch": 1.6,
}
SERVICES = [{"name": SERVICE, "maxConnections": 64, "enforcesCapacity": True}]
CONFIG = {"version": 1, "routes": [ROUTE], "services": SERVICES, "limits": {}}
TASK_CPU = 6800
PATIENCE_S = 15.0
# For reads and cancels, which don't wait for the job.
SHORT_PATIENCE_S = 5.0
# Added to the time at which an answer is due.
ANSWER_SLACK_S = 2.0
RESEND_S = 1.3
MAX_ATTEMPTS = 6
LONG_CALLERS = 10
SHORT_CALLERS = 5
OK = 200
GONE = 410
REFUSED = (429, 503)
UNCLEAR = (0, 502, 504)
SUBMIT, CANCEL, READ = "POST", "DELETE", "GET"


class Step(typing.NamedTuple):
    """Tasks of a job that begin once an earlier step has ended."""

    count: int
    after: int | None = None


@dataclasses.dataclass(kw_only=True)
class Job:
    """What a caller hands in.

    :ivar failure_share: share of the runs of its tasks that fail
    """

    id: str
    steps: tuple[Step, ...]
    work_ms: int
    failure_share: float = 0.0

    @property
    def tasks(self) -> list[list[str]]:
        """Names of the tasks of each step."""
        return [
            [f"{self.id}.0.{number}.{index}" for index in range(step.count)]
            for number, step in enumerate(self.steps)
        ]

    def body(self) -> bytes:
        """Return the body of the request."""
        steps = [
            {
                "count": step.count,
                "cpu": TASK_CPU,
                "memMb": 64,
                "estimatedMs": self.work_ms,
                "dependsOn": [] if step.after is None else [step.after],
            }
            for step in self.steps
        ]
        spec = json.dumps([TASK_CPU, self.work_ms, self.failure_share])
        value = {"spec": spec, "bestEffort": True, "steps": steps}
        return json.dumps(value).encode()


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """A request about a job.

    :ivar status: status of the answer, 0 without a whole one, None while it
        is waited for or if the caller left
    :ivar state: state of the job that the answer tells
    """

    job: str
    host: str
    sent_at: float
    method: str = SUBMIT
    patience_s: float = PATIENCE_S
    ended_at: float = 0.0
    status: int | None = None
    state: str = ""

    @property
    def is_timed_out(self) -> bool:
        """Whether the caller gave up before the connection ended."""
        waited_s = self.ended_at - self.sent_at
        return self.status == 0 and waited_s >= self.patience_s


class Callers:
    """Hands jobs in at all entry hosts over connections that stay open.

    :param addresses: address of each entry host
    :param seed: seed of the jobs
    :ivar attempts: all attempts, in the order in which they were made
    :ivar jobs: all jobs by their ids
    """

    def __init__(self, *, addresses: dict[str, str], seed: int) -> None:
        self.attempts: list[Attempt] = []
        self.jobs: dict[str, Job] = {}
        self._addresses = addresses
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Hand jobs in until cancelled."""
        async with asyncio.TaskGroup() as group:
            for number in range(LONG_CALLERS + SHORT_CALLERS):
                is_long = number < LONG_CALLERS
                group.create_task(self._call_forever(is_long))

    async def _call_forever(self, is_long: bool) -> None:
        rng = self._rng
        with contextlib.closing(client.Client()) as http:
            async with asyncio.TaskGroup() as group:
                while True:
                    await asyncio.sleep(rng.uniform(0.02, 0.3))
                    job = self._job(is_long)
                    length_s = job.work_ms * len(job.steps) / 1000
                    if rng.random() < 0.2:
                        group.create_task(self._cancel(job, length_s))
                    elif rng.random() < 0.5:
                        group.create_task(self._read_often(job, length_s))
                    await self._submit(http, job, length_s)

    def _job(self, is_long: bool) -> Job:
        rng = self._rng
        tasks, work_ms = (2, (1000, 4000)) if is_long else (4, (50, 250))
        count = 1 if rng.random() < 0.7 else rng.randint(2, 3)
        steps = tuple(
            Step(rng.randint(1, tasks), number - 1 if number else None)
            for number in range(count)
        )
        failure_share = rng.choice((0.0,) * 8 + (0.4, 1.0))
        return self._add(steps, rng.randint(*work_ms), failure_share)

    def _add(
        self, steps: tuple[Step, ...], work_ms: int, failure_share: float = 0.0
    ) -> Job:
        job = Job(
            id=f"{next(self._numbers):016x}",
            steps=steps,
            work_ms=work_ms,
            failure_share=failure_share,
        )
        self.jobs[job.id] = job
        return job

    def _host(self) -> str:
        return self._rng.choice(list(self._addresses))

    async def _submit(
        self, http: client.Client, job: Job, length_s: float
    ) -> None:
        rng = self._rng
        host = self._host()
        if rng.random() < 0.1:
            leave_s = rng.uniform(0.005, length_s)
            await self.send(http, host, job, leave_s=leave_s)
            if rng.random() < 0.5:
                return
        for _ in range(MAX_ATTEMPTS):
            attempt = await self.send(http, host, job)
            if attempt.status in REFUSED and rng.random() < 0.5:
                return
            if attempt.status not in (*UNCLEAR, *REFUSED):
                break
            await asyncio.sleep(RESEND_S)
            if rng.random() < 0.5:
                host = self._host()
        if rng.random() < 0.1:
            await asyncio.sleep(rng.uniform(0, RESEND_S))
            await self.send(http, self._host(), job)

    async def _cancel(self, job: Job, length_s: float) -> None:
        """Cancel a job at any host, and perhaps hand it in again."""
        rng = self._rng
        await asyncio.sleep(rng.uniform(0, 1.3 * length_s))
        with contextlib.closing(client.Client()) as http:
            for _ in range(MAX_ATTEMPTS):
                leave_s = 0.005 if rng.random() < 0.2 else None
                attempt = await self.send(
                    http, self._host(), job, method=CANCEL, leave_s=leave_s
                )
                if attempt.status in (OK, GONE):
                    break
                await asyncio.sleep(rng.choice((0, RESEND_S)))
            for _ in range(rng.choice((0, 1, 2))):
                await asyncio.sleep(rng.uniform(0, 8))
                method = rng.choice((SUBMIT, SUBMIT, CANCEL, READ))
                await self.send(http, self._host(), job, method=method)

    async def _read_often(self, job: Job, length_s: float) -> None:
        with contextlib.closing(client.Client()) as http:
            for _ in range(self._rng.randint(1, 12)):
                await asyncio.sleep(self._rng.uniform(0, length_s / 4))
                await self.send(http, self._host(), job, method=READ)

    async def send(
        self,
        http: client.Client,
        host: str,
        job: Job,
        *,
        method: str = SUBMIT,
        patience_s: float | None = None,
        leave_s: float | None = None,
    ) -> Attempt:
        """Send one request.

        :param leave_s: when the caller leaves, if it doesn't wait
        """
        if patience_s is None:
            patience_s = PATIENCE_S if method == SUBMIT else SHORT_PATIENCE_S
        attempt = Attempt(
            job=job.id,
            host=host,
            sent_at=time.monotonic(),
            method=method,
            patience_s=patience_s,
        )
        self.attempts.append(attempt)
        response = await http.send(
            method,
            self._addresses[host],
            PREFIX + job.id,
            job.body() if method == SUBMIT else b"",
            host=HOST,
            lines=[f"Request-Timeout-Ms: {int(patience_s * 1000)}"],
            timeout_s=leave_s or patience_s + ANSWER_SLACK_S,
        )
        attempt.ended_at = time.monotonic()
        attempt.state = response.body.get("state", "")
        waited_s = attempt.ended_at - attempt.sent_at
        if response.status or waited_s < (leave_s or math.inf):
            attempt.status = response.status
        return attempt

    async def is_served(self, host: str) -> bool:
        """Whether a short job at an entry host completes."""
        job = self._add((Step(1),), work_ms=50)
        with contextlib.closing(client.Client()) as http:
            attempt = await self.send(http, host, job, patience_s=3.0)
        return attempt.status == OK
