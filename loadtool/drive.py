"""Submit jobs with random arrivals and record every response."""

import asyncio
import random
import time
import typing

from loadtool import client
from loadtool import cluster
from loadtool import layout

TICK_S = 0.002
MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.2


class LoadShape(typing.NamedTuple):
    """The arrival rate and the mix of jobs.

    ``rate`` is the number of task starts per second over all entry
    instances. A job has 1 to ``max_tasks`` tasks. ``client_key_share``
    is the share of keys that the caller makes up instead of requesting
    one from an entry instance. From ``burst_at_s`` on, the rate is
    multiplied by ``burst_factor`` for ``burst_s`` seconds; a negative
    ``burst_at_s`` means no burst.
    """

    rate: float
    max_tasks: int = 8
    run_ms: tuple[float, float] = (50.0, 200.0)
    deadline_ms: int = 20_000
    idempotent_share: float = 0.5
    single_share: float = 0.2
    resubmit_share: float = 0.0
    client_key_share: float = 0.2
    cancel_share: float = 0.0
    burst_at_s: float = -1.0
    burst_factor: float = 1.0
    burst_s: float = 0.0


class Submission(typing.NamedTuple):
    """One submission and the responses to it.

    ``responses`` has one entry for each time the submission was sent on
    purpose; retries after a failed request aren't counted. ``ideal_ms``
    is the run time of the longest task.
    """

    key: str
    job: str
    payloads: tuple[dict[str, typing.Any], ...]
    is_idempotent: bool
    is_single: bool
    started_at: float
    ended_at: float
    ideal_ms: float
    responses: tuple[client.Response, ...]


class Driver:
    """Generate the load of one run.

    :param target: the cluster under test
    :param shape: the arrival rate and the mix of jobs
    :param seconds: how long new jobs are submitted
    :param seed: seed of the random number generator
    """

    def __init__(
        self,
        *,
        target: cluster.Cluster,
        shape: LoadShape,
        seconds: float,
        seed: int,
    ) -> None:
        self._target = target
        self._shape = shape
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._client = client.Client()
        self._number = 0
        self.unanswered_requests = 0
        self.submissions: list[Submission] = []
        # Names of the entry instances that get no new requests.
        self.down: set[str] = set()
        self.started_at = 0.0

    async def run(self) -> list[Submission]:
        """Submit jobs for the set time, then wait for all responses."""
        pending: set[asyncio.Task[None]] = set()
        self.started_at = time.monotonic()
        next_at = 0.0
        while (now := time.monotonic() - self.started_at) < self._seconds:
            while next_at <= now:
                tasks = self._rng.randint(1, self._shape.max_tasks)
                task = asyncio.create_task(self._submit(tasks))
                pending.add(task)
                task.add_done_callback(pending.discard)
                next_at += self._arrival_delay(tasks, next_at)
            await asyncio.sleep(TICK_S)
        if pending:
            await asyncio.wait(pending)
        self._client.close()
        return self.submissions

    def _arrival_delay(self, tasks: int, elapsed_s: float) -> float:
        """Draw the time until the next job of a Poisson process.

        It grows with the tasks of this job, so that the rate of tasks
        doesn't depend on the size of jobs.
        """
        shape = self._shape
        rate = shape.rate
        end = shape.burst_at_s + shape.burst_s
        if shape.burst_at_s <= elapsed_s < end:
            rate *= shape.burst_factor
        return self._rng.expovariate(1.0) * tasks / rate

    async def _submit(self, count: int) -> None:
        """Submit one job, perhaps twice or with a cancellation.

        :param count: number of tasks, unless it's a single-task request
        """
        shape = self._shape
        rng = self._rng
        self._number += 1
        number = self._number
        is_single = rng.random() < shape.single_share
        is_idempotent = rng.random() < shape.idempotent_share
        payloads = tuple(
            {
                "sleep_ms": round(rng.uniform(*shape.run_ms), 1),
                "mark": f"{number}/{index}",
            }
            for index in range(1 if is_single else count)
        )
        key = await self._create_key(number, is_single and is_idempotent)
        copies = 2 if key and rng.random() < shape.resubmit_share else 1
        delay_s = rng.uniform(0.0, 0.3)
        started_at = time.time()
        started = time.monotonic()
        calls = [
            self._post(
                key, payloads, is_idempotent, is_single, copy * delay_s, copy
            )
            for copy in range(copies)
        ]
        if key and rng.random() < shape.cancel_share:
            calls.append(self._cancel(key))
        results = await asyncio.gather(*calls)
        elapsed = time.monotonic() - started
        responses = tuple(results[:copies])
        self.submissions.append(
            Submission(
                key=key or "",
                job=str(responses[0].body.get("job", "")),
                payloads=payloads,
                is_idempotent=is_idempotent,
                is_single=is_single,
                started_at=started_at,
                ended_at=started_at + elapsed,
                ideal_ms=max(p["sleep_ms"] for p in payloads),
                responses=responses,
            )
        )

    async def _create_key(self, number: int, is_optional: bool) -> str | None:
        """Return an idempotency key, or None where it may be left out."""
        if is_optional and self._rng.random() < 0.5:
            return None
        if self._rng.random() < self._shape.client_key_share:
            return f"bare-{number}-{self._rng.randrange(1 << 30)}"
        response = await self._client.post(
            self._choose_entry().http,
            "/v1/submissions",
            {},
            token=layout.TEAM_TOKEN,
            timeout_s=3.0,
        )
        key = response.body.get("submission")
        return str(key) if key else f"bare-{number}"

    async def _post(
        self,
        key: str | None,
        payloads: tuple[dict[str, typing.Any], ...],
        is_idempotent: bool,
        is_single: bool,
        delay_s: float,
        copy: int,
    ) -> client.Response:
        """Send a submission; retry on other instances where that is safe."""
        if delay_s:
            await asyncio.sleep(delay_s)
        shape = self._shape
        body: dict[str, typing.Any] = {
            "deadline_ms": shape.deadline_ms,
            "idempotent": is_idempotent,
        }
        if is_single:
            path = f"/v1/services/{cluster.SERVICE}/requests"
            body["payload"] = payloads[0]
        else:
            path = "/v1/jobs"
            body["service"] = cluster.SERVICE
            body["tasks"] = [{"payload": each} for each in payloads]
        response = client.Response(0, {})
        unresponsive: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            node = self._choose_entry(avoid=unresponsive)
            response = await self._client.post(
                node.http,
                path,
                body,
                token=layout.TEAM_TOKEN,
                key=key,
                timeout_s=shape.deadline_ms / 1000 + 10.0,
            )
            self.unanswered_requests += not response.status
            may_retry = key is not None or is_idempotent
            if response.status or not may_retry:
                break
            # Callers retry with the same key on another instance.
            unresponsive.add(node.name)
            await asyncio.sleep(RETRY_DELAY_S)
        return response

    async def _cancel(self, key: str) -> client.Response:
        await asyncio.sleep(self._rng.uniform(0.0, 0.1))
        return await self._client.post(
            self._choose_entry().http,
            f"/v1/jobs/{key}/cancel",
            {},
            token=layout.TEAM_TOKEN,
            timeout_s=10.0,
        )

    def _choose_entry(
        self, *, avoid: typing.Collection[str] = ()
    ) -> layout.Node:
        """Choose an entry instance at random, as a load balancer would.

        :param avoid: names of instances that didn't respond to this caller
        """
        up = [n for n in self._target.entries if n.name not in self.down]
        nodes = [n for n in up if n.name not in avoid]
        return self._rng.choice(nodes or up or self._target.entries)
