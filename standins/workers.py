"""Stand-in workers: serve the run protocol over HTTP in one process.

Each worker has a port of its own, reports to the control hosts, and notes
every run with its begin and end in a file, one JSON object a line.
"""

import argparse
import asyncio
import contextlib
import json
import time

from standins import workermodel

REPORT_S = 0.3
POLL_S = 0.005
# Ending a run takes so long, as long as the platform allows.
STOP_S = 0.05
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict"}


class Worker:
    """One worker behind one port.

    :param opts: the parsed command line
    :param number: its number, which names it and gives its port
    """

    def __init__(self, *, opts: argparse.Namespace, number: int) -> None:
        self.port = opts.port + number
        self._opts = opts
        self._name = f"w-{number}"
        self._sequence = 0
        self._model = workermodel.WorkerModel(
            cpu=opts.cpu, now=time.monotonic(), stop_s=STOP_S
        )
        self._noted: set[tuple[str, int]] = set()
        self._file = open(opts.runs, "a", buffering=1)  # noqa: SIM115

    async def run(self) -> None:
        """Serve and report for good."""
        server = await asyncio.start_server(
            self._serve, self._opts.host, self.port
        )
        async with server:
            await asyncio.gather(self._report_forever(), self._watch())

    async def _watch(self) -> None:
        while True:
            self._model.advance(time.monotonic())
            for _, task, run, how in self._model.ended:
                self._note("end", task, run, how)
            await asyncio.sleep(POLL_S)

    def _note(self, what: str, task: str, run: int, how: str = "") -> None:
        key = (what, task, run)
        if key in self._noted:
            return
        self._noted.add(key)
        row = [time.monotonic(), what, self._name, task, run, how]
        self._file.write(json.dumps(row) + "\n")

    async def _report_forever(self) -> None:
        while True:
            self._sequence += 1
            body = json.dumps(
                {
                    "service": self._opts.service,
                    "address": f"{self._opts.host}:{self.port}",
                    "zone": self._opts.zone,
                    "state": "ready",
                    "capacity": {"cpu": self._opts.cpu, "memMb": 65536},
                    "labels": ["a", "r1"],
                    "clockMs": self._model.clock_ms(time.monotonic()),
                    "sequence": self._sequence,
                }
            ).encode()
            for control in self._opts.control:
                with contextlib.suppress(OSError, asyncio.TimeoutError):
                    await asyncio.wait_for(self._post(control, body), 0.5)
                    break
            await asyncio.sleep(REPORT_S)

    async def _post(self, address: str, body: bytes) -> None:
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            path = f"/v1/instances/{self._name}/heartbeat"
            head = (
                f"POST {path} HTTP/1.1\r\nHost: {address}\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            status = await reader.readline()
            if b" 200" not in status:
                raise OSError("the report was refused")
        finally:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                size = 0
                for line in head.split("\r\n"):
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        size = int(value)
                body = json.loads(await reader.readexactly(size))
                path = head.split(" ")[1]
                status, answer = await self._answer(path, body)
                data = json.dumps(answer).encode()
                head = (
                    f"HTTP/1.1 {status} {REASONS[status]}\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        writer.close()

    async def _answer(self, path: str, body: dict) -> tuple[int, dict]:
        calls = {
            "/v1/run-start": self._start,
            "/v1/run-stop": self._stop,
            "/v1/hold": self._hold,
        }
        if path not in calls:
            return 404, {}
        verdict, lists = await calls[path](body)
        answer = {"clockMs": self._model.clock_ms(time.monotonic()), **lists}
        if verdict is workermodel.Verdict.OK:
            return 200, answer
        return 409, {**answer, "reason": verdict.value}

    async def _start(self, body: dict) -> tuple[workermodel.Verdict, dict]:
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
            self._note("start", body["task"], body["run"])
        return verdict, {}

    async def _stop(self, body: dict) -> tuple[workermodel.Verdict, dict]:
        verdict = self._model.stop(
            body["task"],
            body["run"],
            token=body["fencingToken"],
            now=time.monotonic(),
        )
        return verdict, {}

    async def _hold(self, body: dict) -> tuple[workermodel.Verdict, dict]:
        now = time.monotonic()
        verdict = self._model.hold(
            deadline_ms=body.get("deadlineMs", 0),
            token=body["fencingToken"],
            noted_upto=body["ackedUpto"],
            now=now,
        )
        if verdict is not workermodel.Verdict.OK:
            return verdict, {}
        until = now + body.get("waitMs", 0) / 1000
        while time.monotonic() < until and not self._model.listed():
            await asyncio.sleep(POLL_S)
            self._model.advance(time.monotonic())
        rows = self._model.rows(time.monotonic())
        return verdict, {
            "running": [[task, run, "", pct] for task, run, pct in rows],
            "ended": [[*row, ""] for row in self._model.listed()],
        }


async def serve(opts: argparse.Namespace) -> None:
    """Run all workers."""
    workers = [Worker(opts=opts, number=n) for n in range(opts.count)]
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
