"""Post jobs at a steady rate and keep every answer."""

import asyncio
import random
import time
import typing

from loadtool import client
from loadtool import cluster
from loadtool import layout

TICK_S = 0.002
MOST_SENDS = 5
RESEND_S = 0.2


class Shape(typing.NamedTuple):
    """What the load looks like.

    ``rate`` is task starts a second over all entry instances; a job has
    1 to ``most_tasks`` tasks; times are milliseconds.
    """

    rate: float
    most_tasks: int = 8
    run_ms: tuple[float, float] = (50.0, 200.0)
    deadline_ms: int = 20_000
    idempotent_share: float = 0.5
    single_share: float = 0.2
    resubmit_share: float = 0.0
    bare_key_share: float = 0.2
    cancel_share: float = 0.0
    burst_at_s: float = -1.0
    burst_factor: float = 1.0
    burst_s: float = 0.0


class Sent(typing.NamedTuple):
    """One submission and what its caller heard.

    ``answers`` holds each caller's status and body: one for each time
    the submission was sent.
    """

    key: str
    job: str
    payloads: tuple[dict[str, typing.Any], ...]
    is_idempotent: bool
    is_single: bool
    began_at: float
    ended_at: float
    ideal_ms: float
    answers: tuple[client.Reply, ...]


class Driver:
    """Run the callers of one load.

    :param target: the cluster
    :param shape: the load
    :param seconds: how long jobs are posted
    :param seed: seed of all choices
    """

    def __init__(
        self,
        *,
        target: cluster.Cluster,
        shape: Shape,
        seconds: float,
        seed: int,
    ) -> None:
        self._target = target
        self._shape = shape
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._client = client.Client()
        self._number = 0
        self.broken_off = 0
        self.sent: list[Sent] = []
        self.down: set[str] = set()
        self.began_at = 0.0

    async def run(self) -> list[Sent]:
        """Post jobs until the time is over, then wait for all answers."""
        pending: set[asyncio.Task[None]] = set()
        self.began_at = time.monotonic()
        due = 0.0
        while (now := time.monotonic() - self.began_at) < self._seconds:
            while due <= now:
                tasks = self._rng.randint(1, self._shape.most_tasks)
                task = asyncio.create_task(self._one(tasks))
                pending.add(task)
                task.add_done_callback(pending.discard)
                due += self._gap(tasks, due)
            await asyncio.sleep(TICK_S)
        if pending:
            await asyncio.wait(pending)
        self._client.close()
        return self.sent

    def _gap(self, tasks: int, at: float) -> float:
        shape = self._shape
        rate = shape.rate
        end = shape.burst_at_s + shape.burst_s
        if shape.burst_at_s <= at < end:
            rate *= shape.burst_factor
        return self._rng.expovariate(1.0) * tasks / rate

    async def _one(self, count: int) -> None:
        shape = self._shape
        rng = self._rng
        self._number += 1
        number = self._number
        is_single = rng.random() < shape.single_share
        is_idempotent = rng.random() < shape.idempotent_share
        payloads = tuple(
            {
                "sleep_ms": round(rng.uniform(*shape.run_ms), 1),
                "mark": f"{number}/{place}",
            }
            for place in range(1 if is_single else count)
        )
        key = await self._key(number, is_single and is_idempotent)
        sends = 2 if key and rng.random() < shape.resubmit_share else 1
        gap_s = rng.uniform(0.0, 0.3)
        began_at = time.time()
        started = time.monotonic()
        calls = [
            self._post(
                key, payloads, is_idempotent, is_single, send * gap_s, send
            )
            for send in range(sends)
        ]
        if key and rng.random() < shape.cancel_share:
            calls.append(self._cancel(key))
        replies = await asyncio.gather(*calls)
        elapsed = time.monotonic() - started
        answers = tuple(replies[:sends])
        self.sent.append(
            Sent(
                key=key or "",
                job=str(answers[0].table.get("job", "")),
                payloads=payloads,
                is_idempotent=is_idempotent,
                is_single=is_single,
                began_at=began_at,
                ended_at=began_at + elapsed,
                ideal_ms=max(p["sleep_ms"] for p in payloads),
                answers=answers,
            )
        )

    async def _key(self, number: int, may_lack: bool) -> str | None:
        if may_lack and self._rng.random() < 0.5:
            return None
        if self._rng.random() < self._shape.bare_key_share:
            return f"bare-{number}-{self._rng.randrange(1 << 30)}"
        reply = await self._client.post(
            self._pick().http,
            "/v1/submissions",
            {},
            token=layout.TEAM_TOKEN,
            timeout_s=3.0,
        )
        key = reply.table.get("submission")
        return str(key) if key else f"bare-{number}"

    async def _post(
        self,
        key: str | None,
        payloads: tuple[dict[str, typing.Any], ...],
        is_idempotent: bool,
        is_single: bool,
        delay_s: float,
        send: int,
    ) -> client.Reply:
        if delay_s:
            await asyncio.sleep(delay_s)
        shape = self._shape
        table: dict[str, typing.Any] = {
            "deadline_ms": shape.deadline_ms,
            "idempotent": is_idempotent,
        }
        if is_single:
            path = f"/v1/services/{cluster.SERVICE}/requests"
            table["payload"] = payloads[0]
        else:
            path = "/v1/jobs"
            table["service"] = cluster.SERVICE
            table["tasks"] = [{"payload": each} for each in payloads]
        reply = client.Reply(0, {})
        silent: set[str] = set()
        for _ in range(MOST_SENDS):
            node = self._pick(avoid=silent)
            reply = await self._client.post(
                node.http,
                path,
                table,
                token=layout.TEAM_TOKEN,
                key=key,
                timeout_s=shape.deadline_ms / 1000 + 10.0,
            )
            self.broken_off += not reply.status
            may_resend = key is not None or is_idempotent
            if reply.status or not may_resend:
                break
            # As a caller would: the same key again, elsewhere.
            silent.add(node.name)
            await asyncio.sleep(RESEND_S)
        return reply

    async def _cancel(self, key: str) -> client.Reply:
        await asyncio.sleep(self._rng.uniform(0.0, 0.1))
        return await self._client.post(
            self._pick().http,
            f"/v1/jobs/{key}/cancel",
            {},
            token=layout.TEAM_TOKEN,
            timeout_s=10.0,
        )

    def _pick(self, *, avoid: typing.Collection[str] = ()) -> layout.Node:
        """Choose an entry instance as the balancer would.

        :param avoid: names of instances that didn't answer this caller
        """
        up = [n for n in self._target.entries if n.name not in self.down]
        nodes = [n for n in up if n.name not in avoid]
        return self._rng.choice(nodes or up or self._target.entries)
