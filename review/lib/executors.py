"""Stand-in executors that follow the pages' run protocol."""

import asyncio
import contextlib
import itertools
import json
import time

import deployment

MAX_LISTED_ENDS = 500
HOLD_MAX_MS = 1000
STOP_S = 0.02
TICK_S = 0.005


class Run:
    """A run on an executor."""

    def __init__(self, *, task, number, cpu, began_at, work_s):
        self.task = task
        self.number = number
        self.cpu = cpu
        self.began_at = began_at
        self.work_s = work_s
        self.stops_at = None
        self.ended_at = None


class Executor:
    """One executor with its heartbeats.

    A task's spec is a JSON list: processors and run time in milliseconds.

    :param address: where it listens
    :param controls: addresses of the nodes that take its heartbeats
    :param rate: rate of its steady clock
    :param on_start: called with the executor, the run and the other end of
        the connection
    """

    _numbers = itertools.count(1)

    def __init__(
        self,
        *,
        address,
        zone,
        controls,
        record,
        cpu=16_000,
        labels=("a", "r1-1"),
        guards=True,
        rate=1.0,
        on_start=lambda executor, run, peer: None,
    ):
        number = next(self._numbers)
        self.id = f"i-{number:08x}"
        self.name = f"executor-{number}"
        self.address = address
        self.zone = zone
        self.cpu = cpu
        self.labels = list(labels)
        self.guards = guards
        self.rate = rate
        self.state = "ready"
        self.is_up = False
        self.token = 0
        self.lease_until = 0.0
        self.runs = {}
        self.history = []
        self.highest = {}
        self.ended = []
        self.is_cut = False
        # Hosts that it has no path to and from.
        self.no_path = set()
        self.caller_of = lambda peer: None
        self._callers = {}
        self._controls = list(controls)
        self._record = record
        self._on_start = on_start
        self._born_at = time.monotonic()
        self._sequence = 0
        self._end_number = 0
        self._changed = asyncio.Event()
        self._tasks = []
        self._server = None
        self._writers = set()

    def clock_ms(self):
        """Return its steady clock."""
        elapsed_s = (time.monotonic() - self._born_at) * self.rate
        return int(elapsed_s * 1000) + 1

    async def start(self):
        """Listen and send heartbeats."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.is_up = True
        self._tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._beat()),
        ]

    async def close(self):
        """End: everything that runs terminates."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for run in list(self.runs.values()):
            self._end(run, "gone with its executor")
        self._record.add(self.name, "has ended")

    # Heartbeats.

    def report(self):
        """Return the body of a heartbeat."""
        self._sequence += 1
        body = {
            "service": deployment.SERVICE,
            "address": "{}:{}".format(*self.address),
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 32768, "gpu": 0},
            "labels": self.labels,
            "clockMs": self.clock_ms(),
            "sequence": self._sequence,
        }
        if self.state == "draining":
            body["remainingMs"] = 2000
        return body

    async def beat(self):
        """Send one heartbeat; returns the node that acknowledged it."""
        for _ in range(len(self._controls)):
            node = self._controls[0]
            if node[0] in self.no_path:
                self._controls.append(self._controls.pop(0))
                continue
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                answer = await deployment.call(
                    node,
                    "POST",
                    f"/v1/instances/{self.id}/heartbeat",
                    self.report(),
                    timeout_s=1.0,
                )
                if 200 <= answer.status < 300:
                    return node
            self._controls.append(self._controls.pop(0))
        return None

    async def _beat(self):
        while True:
            if not self.is_cut:
                await self.beat()
            await asyncio.sleep(deployment.HEARTBEAT_MS / 1000)

    async def drain(self):
        """Report that it drains, until that is acknowledged."""
        self.state = "draining"
        while True:
            node = await self.beat()
            if node is not None:
                self._record.add(self.name, "draining is acknowledged")
                return node
            await asyncio.sleep(0.2)

    # Runs.

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            self.advance()

    def advance(self):
        """End what has to end by now."""
        now = time.monotonic()
        for run in list(self.runs.values()):
            if run.stops_at is not None and now >= run.stops_at:
                self._end(run, "stopped")
            elif now - run.began_at >= run.work_s:
                self._end(run, "done")
            elif now >= self.lease_until:
                self._end(run, "lapsed")

    def _end(self, run, how):
        del self.runs[run.task]
        run.ended_at = time.monotonic()
        if how == "lapsed":
            run.ended_at = min(run.ended_at, self.lease_until)
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self._end_number += 1
        self.ended.append([self._end_number, run.task, run.number, how, ""])
        self._record.add(self.name, f"end   {run.task} run {run.number} {how}")
        self._changed.set()
        self._changed = asyncio.Event()

    def _extend(self, deadline_ms):
        limit = min(deadline_ms, self.clock_ms() + HOLD_MAX_MS)
        self.lease_until = max(
            self.lease_until, self._born_at + limit / 1000 / self.rate
        )

    def _start(self, body, peer):
        self.advance()
        if body["fencingToken"] < self.token:
            return 409, {"reason": "fence"}
        self.token = body["fencingToken"]
        if body["deadlineMs"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(body["deadlineMs"])
        task, number = body["task"], body["run"]
        active = self.runs.get(task)
        if active is not None and active.number == number:
            return 200, {}
        if active is not None or number <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        cpu, work_ms = json.loads(body["spec"])[:2]
        used = sum(run.cpu for run in self.runs.values())
        if self.guards and used + cpu > self.cpu:
            return 409, {"reason": "room"}
        run = Run(
            task=task,
            number=number,
            cpu=cpu,
            began_at=time.monotonic(),
            work_s=work_ms / 1000,
        )
        self.runs[task] = run
        self.history.append(run)
        self._record.add(
            self.name, f"start {task} run {number}, token {self.token}"
        )
        self._on_start(self, run, peer)
        return 200, {}

    def _stop(self, body):
        self.advance()
        if body["fencingToken"] < self.token:
            return 409, {"reason": "fence"}
        self.token = body["fencingToken"]
        task, number = body["task"], body["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number == number and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
        return 200, {}

    async def _hold(self, body):
        self.advance()
        if body["fencingToken"] < self.token:
            return 409, {"reason": "fence"}
        self.token = body["fencingToken"]
        acked = body["ackedUpto"]
        self.ended = [row for row in self.ended if row[0] > acked]
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.ended and time.monotonic() < until:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait(), until - time.monotonic()
                )
        self.advance()
        now = time.monotonic()
        running = [
            [
                run.task,
                run.number,
                "",
                min(99, int(100 * (now - run.began_at) / run.work_s)),
                0,
            ]
            for run in self.runs.values()
        ]
        ended = [row for row in self.ended if row[0] > acked]
        return 200, {"running": running, "ended": ended[:MAX_LISTED_ENDS]}

    # HTTP.

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        peer = writer.get_extra_info("peername")[:2]
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                data = await reader.readexactly(size)
                while await self._has_no_path(peer):
                    await asyncio.sleep(0.05)
                status, value = await self._answer(
                    method, path, headers, data, peer
                )
                while self.is_cut or await self._has_no_path(peer):
                    await asyncio.sleep(0.05)
                body = json.dumps({"clockMs": self.clock_ms(), **value})
                writer.write(
                    f"HTTP/1.1 {status} -\r\n"
                    f"Content-Length: {len(body)}\r\n"
                    "Content-Type: application/json\r\n\r\n"
                    f"{body}".encode()
                )
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _has_no_path(self, peer):
        if not self.no_path:
            return False
        if peer not in self._callers:
            # In a thread, since it takes some milliseconds.
            self._callers[peer] = await asyncio.to_thread(self.caller_of, peer)
        return self._callers[peer] in self.no_path

    async def _answer(self, method, path, headers, data, peer):
        while self.is_cut:
            await asyncio.sleep(0.05)
        expected = headers.get("expected-instance")
        if expected is not None and expected != self.id:
            return 421, {}
        if method == "GET":
            return (200, {}) if path == "/health" else (404, {})
        body = json.loads(data)
        if path == "/v1/run-start":
            return self._start(body, peer)
        if path == "/v1/run-stop":
            return self._stop(body)
        if path == "/v1/hold":
            return await self._hold(body)
        return 404, {}
