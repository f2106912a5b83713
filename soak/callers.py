"""Callers that hand jobs in, and again when an answer is unclear."""

import asyncio
import dataclasses
import itertools
import json
import random
import time
import typing

from loadtool import client

HOST = "a.example"
PREFIX = "/q/"
SERVICE = "service"
ROUTE = {
    "name": "r-1",
    "host": HOST,
    "pathPrefix": PREFIX,
    "timeoutMs": 60_000,
    "targetLatencyMs": 60,
    "priority": 0,
    "service": SERVICE,
    "maxAttempts": 3,
    "stretch": 1.6,
}
SERVICES = [{"name": SERVICE, "maxConnections": 64, "enforcesCapacity": True}]
CONFIG = {"version": 1, "routes": [ROUTE], "services": SERVICES, "limits": {}}
TASK_CPU = 6800
PATIENCE_S = 15.0
# Added to the time at which an answer is due.
ANSWER_SLACK_S = 2.0
RESEND_S = 1.3
MAX_ATTEMPTS = 6
LONG_CALLERS = 10
SHORT_CALLERS = 5
OK = 200
REFUSED = (429, 503)
UNCLEAR = (0, 502, 504)


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """A job handed in once.

    :ivar status: status of the answer, 0 without a whole one, None while it
        is waited for
    """

    job: str
    host: str
    sent_at: float
    patience_s: float = PATIENCE_S
    ended_at: float = 0.0
    status: int | None = None

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
    """

    def __init__(self, *, addresses: dict[str, str], seed: int) -> None:
        self.attempts: list[Attempt] = []
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
        http = client.Client()
        rng = self._rng
        while True:
            await asyncio.sleep(rng.uniform(0.02, 0.3))
            tasks, work_ms = (2, (1000, 4000)) if is_long else (4, (50, 250))
            body = _body(rng.randint(1, tasks), rng.randint(*work_ms))
            await self._submit(http, body)

    async def _submit(self, http: client.Client, body: typing.Any) -> None:
        job = f"{next(self._numbers):016x}"
        host = self._rng.choice(list(self._addresses))
        for _ in range(MAX_ATTEMPTS):
            status = await self.attempt(http, host, job, body)
            if status in REFUSED and self._rng.random() < 0.5:
                return
            if status not in (*UNCLEAR, *REFUSED):
                return
            await asyncio.sleep(RESEND_S)
            if self._rng.random() < 0.5:
                host = self._rng.choice(list(self._addresses))

    async def attempt(
        self,
        http: client.Client,
        host: str,
        job: str,
        body: typing.Any,
        patience_s: float = PATIENCE_S,
    ) -> int:
        """Hand a job in once; returns the status."""
        attempt = Attempt(
            job=job,
            host=host,
            sent_at=time.monotonic(),
            patience_s=patience_s,
        )
        self.attempts.append(attempt)
        response = await http.post(
            self._addresses[host],
            PREFIX + job,
            body,
            host=HOST,
            headers={"Request-Timeout-Ms": str(int(patience_s * 1000))},
            timeout_s=patience_s + ANSWER_SLACK_S,
        )
        attempt.status = response.status
        attempt.ended_at = time.monotonic()
        return response.status

    async def is_served(self, host: str) -> bool:
        """Whether a short job at an entry host completes."""
        job = f"{next(self._numbers):016x}"
        body = _body(1, 50)
        status = await self.attempt(client.Client(), host, job, body, 3.0)
        return status == OK


def _body(count: int, work_ms: int) -> dict[str, typing.Any]:
    step = {
        "count": count,
        "cpu": TASK_CPU,
        "memMb": 64,
        "estimatedMs": work_ms,
    }
    spec = json.dumps([TASK_CPU, work_ms])
    return {"spec": spec, "bestEffort": True, "steps": [step]}
