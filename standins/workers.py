"""Simulated workers that serve the run protocol over HTTP in one process.

Each worker listens on its own port, sends heartbeats to the control hosts
and appends the start and the end of every run to a file, one JSON array a
line. SIGUSR1 restarts all workers under their ids.
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import signal
import time

from standins import workermodel

HEARTBEAT_INTERVAL_S = 0.3
HEARTBEAT_TIMEOUT_S = 0.5
POLL_INTERVAL_S = 0.005
# Time it takes to terminate a run: the maximum that the platform allows.
STOP_S = 0.05
REASON_PHRASES = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    421: "Misdirected Request",
}


class Worker:
    """One simulated worker and its HTTP server.

    :param opts: the parsed command line
    :param number: index of the worker: its name and its offset from the
        first port
    :param clock_rate: rate of its clock relative to true time
    """

    def __init__(
        self,
        *,
        opts: argparse.Namespace,
        number: int,
        clock_rate: float = 1.0,
    ) -> None:
        self.port = opts.port + number
        self.name = f"w-{number}"
        self.instance = self.name
        self.heartbeat_s = HEARTBEAT_INTERVAL_S
        self._opts = opts
        self._sequence = 0
        self._model = workermodel.WorkerModel(
            cpu=opts.cpu,
            now=time.monotonic(),
            clock_rate=clock_rate,
            stop_s=STOP_S,
            on_end=self._record_end,
            born_ms=int(time.time() * 1000),
        )
        self._recorded_starts: set[tuple[str, int]] = set()
        self._incarnations = itertools.count(2)
        self._writers: set[asyncio.StreamWriter] = set()
        self._life: asyncio.Task[None] | None = None
        self._begun = asyncio.Event()
        self._begun.set()
        self._event_log = open(opts.runs, "a", buffering=1)  # noqa: SIM115

    @property
    def is_up(self) -> bool:
        """Whether it serves requests, or is about to."""
        return self._begun.is_set()

    async def run(self) -> None:
        """Live until cancelled, as one incarnation after the other.

        :raises OSError: if the address is in use
        """
        while True:
            await self._begun.wait()
            self._life = asyncio.create_task(self._live())
            try:
                await asyncio.wait({self._life})
            finally:
                self._life.cancel()
            if not self._life.cancelled():
                await self._life

    async def _live(self) -> None:
        server = await asyncio.start_server(
            self._serve_connection, self._opts.host, self.port
        )
        async with server:
            await asyncio.gather(
                self._send_heartbeats(), self._advance_forever()
            )

    def restart(self) -> None:
        """Start again under the same id, without the runs and counts."""
        self._model.crash()
        self._model = self._model.successor(
            now=time.monotonic(), born_ms=int(time.time() * 1000)
        )
        self._sequence = 0

    def end(self) -> None:
        """End with all runs and connections, until it begins again."""
        now = time.monotonic()
        self._model.advance(now)
        for run in self._model.running.values():
            self._append(now, "end", run.task, run.run, "lost")
        self._model.crash()
        self._begun.clear()
        for writer in self._writers:
            writer.transport.abort()
        if self._life is not None:
            self._life.cancel()

    def begin_again(self) -> None:
        """Begin as another incarnation at the same address."""
        self.restart()
        self.instance = f"{self.name}-{next(self._incarnations)}"
        self._begun.set()

    async def _advance_forever(self) -> None:
        while True:
            self._model.advance(time.monotonic())
            await asyncio.sleep(POLL_INTERVAL_S)

    def _record_start(self, task: str, run: int) -> None:
        """Append a start to the file of ``--runs``, once for each run."""
        if (task, run) not in self._recorded_starts:
            self._recorded_starts.add((task, run))
            at = self._model.running[task].started_at
            self._append(at, "start", task, run, "")

    def _record_end(self, run: workermodel.ActiveRun, end_kind: str) -> None:
        """Append an end to the file of ``--runs``."""
        self._append(run.ends_at, "end", run.task, run.run, end_kind)

    def _append(
        self, at: float, event: str, task: str, run: int, end_kind: str
    ) -> None:
        row = [at, event, self.instance, task, run, end_kind]
        self._event_log.write(json.dumps(row) + "\n")

    async def _send_heartbeats(self) -> None:
        while True:
            self._sequence += 1
            body = json.dumps(
                {
                    "service": self._opts.service,
                    "address": f"{self._opts.host}:{self.port}",
                    "zone": self._opts.zone,
                    "state": "draining"
                    if self._model.is_draining
                    else "ready",
                    "capacity": {"cpu": self._opts.cpu, "memMb": 65536},
                    "labels": ["a", "r1"],
                    "clockMs": self._model.clock_ms(time.monotonic()),
                    "sequence": self._sequence,
                    "born": self._model.born_ms,
                }
            ).encode()
            for control in self._opts.control:
                with contextlib.suppress(OSError, asyncio.TimeoutError):
                    async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                        await self._post(control, body)
                        self._on_acknowledged()
                    break
            await asyncio.sleep(self.heartbeat_s)

    def _on_acknowledged(self) -> None:
        """Note that a heartbeat was acknowledged."""

    async def _post(
        self, address: str, body: bytes, action: str = "heartbeat"
    ) -> None:
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            path = f"/v1/instances/{self.instance}/{action}"
            head = (
                f"POST {path} HTTP/1.1\r\nHost: {address}\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            status = await reader.readline()
            if b" 200" not in status:
                raise OSError("the control host rejected the heartbeat")
        finally:
            writer.close()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = writer.get_extra_info("peername")
        self._writers.add(writer)
        with contextlib.ExitStack() as stack:
            stack.enter_context(
                contextlib.suppress(OSError, asyncio.IncompleteReadError)
            )
            stack.callback(self._writers.discard, writer)
            stack.enter_context(contextlib.closing(writer))
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = (line.partition(":") for line in head.split("\r\n"))
                headers = {
                    name.lower(): value.strip() for name, _, value in lines
                }
                size = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(size))
                path = head.split(" ")[1]
                await self._on_request(peer)
                status, response = await self._answer(
                    path, body, headers.get("expected-instance")
                )
                await self._on_response(peer)
                data = json.dumps(response).encode()
                head = (
                    f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()

    async def _on_request(self, peer: tuple[str, int]) -> None:
        """Hold up a request before it is handled."""

    async def _on_response(self, peer: tuple[str, int]) -> None:
        """Hold up a response before it is sent."""

    async def _answer(
        self, path: str, body: dict, instance: str | None
    ) -> tuple[int, dict]:
        """Answer a request.

        :param instance: the incarnation that it is meant for
        :raises OSError: if it has ended
        """
        if not self.is_up:
            raise OSError("the worker has ended")
        if instance not in (None, self.instance):
            clock_ms = self._model.clock_ms(time.monotonic())
            return 421, {"clockMs": clock_ms}
        return await self._handle_request(path, body)

    async def _handle_request(self, path: str, body: dict) -> tuple[int, dict]:
        handlers = {
            "/v1/run-start": self._handle_start,
            "/v1/run-stop": self._handle_stop,
            "/v1/hold": self._handle_hold,
        }
        if path not in handlers:
            return 404, {}
        verdict, fields = await handlers[path](body)
        response = {
            "clockMs": self._model.clock_ms(time.monotonic()),
            **fields,
        }
        if verdict is workermodel.Verdict.OK:
            return 200, response
        return 409, {**response, "reason": verdict.value}

    async def _handle_start(
        self, body: dict
    ) -> tuple[workermodel.Verdict, dict]:
        cpu, work_ms = json.loads(body["spec"])
        verdict = self._model.start(
            body["task"],
            body["run"],
            cpu=cpu,
            work_s=work_ms / 1000,
            deadline_ms=body["deadlineMs"],
            token=body["fencingToken"],
            now=time.monotonic(),
        )
        if verdict is workermodel.Verdict.OK:
            self._record_start(body["task"], body["run"])
        return verdict, {}

    async def _handle_stop(
        self, body: dict
    ) -> tuple[workermodel.Verdict, dict]:
        verdict = self._model.stop(
            body["task"],
            body["run"],
            token=body["fencingToken"],
            now=time.monotonic(),
        )
        return verdict, {}

    async def _handle_hold(
        self, body: dict
    ) -> tuple[workermodel.Verdict, dict]:
        now = time.monotonic()
        verdict = self._model.renew_lease(
            deadline_ms=body.get("deadlineMs", 0),
            token=body["fencingToken"],
            acked_upto=body["ackedUpto"],
            now=now,
        )
        if verdict is not workermodel.Verdict.OK:
            return verdict, {}
        wait_until = now + body.get("waitMs", 0) / 1000
        while (
            time.monotonic() < wait_until
            and not self._model.unacknowledged_ends()
        ):
            await asyncio.sleep(POLL_INTERVAL_S)
            self._model.advance(time.monotonic())
        rows = self._model.run_rows(time.monotonic())
        return verdict, {
            "born": self._model.born_ms,
            "running": [[task, run, "", pct] for task, run, pct in rows],
            "ended": [[*row, ""] for row in self._model.unacknowledged_ends()],
        }


async def serve(opts: argparse.Namespace) -> None:
    """Run all workers until cancelled."""
    workers = [Worker(opts=opts, number=n) for n in range(opts.count)]
    loop = asyncio.get_running_loop()

    def restart_all() -> None:
        for worker in workers:
            worker.restart()

    loop.add_signal_handler(signal.SIGUSR1, restart_all)
    await asyncio.gather(*(worker.run() for worker in workers))


def main() -> None:
    """Run workers from the command line."""
    parser = argparse.ArgumentParser(prog="workers")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--count", type=int, default=4)
    parser.add_argument("--cpu", type=int, default=32_000)
    parser.add_argument("--service", default="service")
    parser.add_argument("--zone", default="north")
    parser.add_argument("--control", action="append", default=[])
    parser.add_argument("--runs", required=True)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
