"""A stand-in endpoint: runs tasks by sleeping, and can misbehave."""

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import time

ANNOUNCE_S = 0.5
LEASE_S = 2.5
MODES = ("ok", "fail", "black-hole", "wrong-id", "truncate", "slow")
SLOW_FACTOR = 20.0
REASONS = {200: "OK", 500: "Internal Server Error", 503: "Unavailable"}


class Executor:
    """Serve ``POST /v1/tasks`` with a bounded number of slots.

    :param opts: the parsed command line
    """

    def __init__(self, *, opts: argparse.Namespace) -> None:
        self._opts = opts
        self._rng = random.Random(opts.seed)
        self._busy = 0
        self._mode = opts.mode
        self._leaving = asyncio.Event()
        self._starts = open(opts.starts, "a", buffering=1)  # noqa: SIM115
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    async def run(self) -> None:
        """Serve and announce until a SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._leaving.set)
        loop.add_signal_handler(signal.SIGUSR1, self._go_silent)
        loop.add_signal_handler(signal.SIGUSR2, self._turn_bad)
        server = await asyncio.start_server(
            self._serve, self._opts.host, self._opts.port, limit=8_388_608
        )
        async with server:
            announcing = asyncio.create_task(self._announce_forever())
            await self._leaving.wait()
            announcing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await announcing
            await self._say("leave")
            while self._busy:
                await asyncio.sleep(0.01)

    def _go_silent(self) -> None:
        """Let every open connection hang; new ones work."""
        self._silent |= self._writers

    def _turn_bad(self) -> None:
        """Switch between good and the misbehaviour asked for."""
        bad = self._opts.bad_mode
        self._mode = bad if self._mode == "ok" else "ok"

    async def _announce_forever(self) -> None:
        while True:
            await self._say("announce")
            await asyncio.sleep(ANNOUNCE_S)

    async def _say(self, verb: str) -> None:
        body = json.dumps(
            {
                "endpoint": self._opts.name,
                "service": self._opts.service,
                "zone": self._opts.zone,
                "address": f"{self._opts.host}:{self._opts.port}",
                "slots": self._opts.slots,
                "connections": self._opts.connections,
                "rack": self._opts.rack,
                "kind": "executor",
                "busy": self._busy,
                "lease_ms": int(LEASE_S * 1000),
            }
        ).encode()
        entries = list(self._opts.entry)
        self._rng.shuffle(entries)
        for entry in entries:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                await asyncio.wait_for(
                    self._post(entry, f"/v1/endpoints/{verb}", body), 1.0
                )
                return

    async def _post(self, entry: str, path: str, body: bytes) -> None:
        host, port = entry.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = (
                f"POST {path} HTTP/1.1\r\nHost: {entry}\r\n"
                f"Authorization: Bearer {self._opts.token}\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()
            status = await reader.readline()
            if b" 20" not in status:
                raise OSError("the announcement was refused")
        finally:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._writers) >= self._opts.connections:
            writer.close()
            return
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = _headers(head)
                body = await reader.readexactly(
                    int(headers.get("content-length", "0"))
                )
                if writer in self._silent:
                    continue
                await self._task(writer, headers, body)
        self._writers.discard(writer)
        self._silent.discard(writer)
        writer.close()

    async def _task(
        self,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        if self._busy >= self._opts.slots:
            self._note(headers, "refused", body)
            self._answer(
                writer, 503, headers, b"{}", "X-Chervilwheel-Not-Started: 1"
            )
            return
        self._busy += 1
        self._note(headers, "started", body)
        try:
            await self._behave(writer, headers, body)
        finally:
            self._busy -= 1

    async def _behave(
        self,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        mode = self._mode
        if mode == "fail":
            self._answer(writer, 500, headers, b'{"error":"bad worker"}')
            return
        if mode == "black-hole":
            await asyncio.sleep(3600)
        payload = json.loads(body)
        run_s = self._run_time(payload)
        await asyncio.sleep(run_s * (SLOW_FACTOR if mode == "slow" else 1))
        answer = json.dumps(
            {
                "echo": payload,
                "by": self._opts.name,
                "task": headers["x-chervilwheel-task"],
                "ran_ms": run_s * 1000,
            }
        ).encode()
        if mode == "wrong-id":
            headers = dict(headers, **{"x-chervilwheel-job": "another"})
        if writer in self._silent:
            return
        self._answer(writer, 200, headers, answer)
        if mode == "truncate":
            writer.close()

    def _run_time(self, payload: object) -> float:
        if isinstance(payload, dict) and "sleep_ms" in payload:
            return float(payload["sleep_ms"]) / 1000
        low, high = self._opts.run_ms
        return self._rng.uniform(low, high) / 1000

    def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
        extra: str = "",
    ) -> None:
        if self._mode == "truncate":
            body = body + b" " * 64
        lines = [
            f"HTTP/1.1 {status} {REASONS[status]}",
            f"Content-Length: {len(body)}",
            "Content-Type: application/json",
        ]
        for name in ("job", "task", "attempt"):
            key = f"x-chervilwheel-{name}"
            lines.append(f"{key}: {headers.get(key, '')}")
        if extra:
            lines.append(extra)
        head = "\r\n".join(lines) + "\r\n\r\n"
        sent = body[:-64] if self._mode == "truncate" else body
        writer.write(head.encode() + sent)

    def _note(self, headers: dict[str, str], what: str, body: bytes) -> None:
        payload = json.loads(body)
        mark = payload.get("mark") if isinstance(payload, dict) else None
        record = {
            "mark": mark,
            "at": time.time(),
            "what": what,
            "job": headers.get("x-chervilwheel-job"),
            "task": headers.get("x-chervilwheel-task"),
            "attempt": headers.get("x-chervilwheel-attempt"),
            "by": self._opts.name,
        }
        self._starts.write(json.dumps(record) + "\n")


def _headers(head: bytes) -> dict[str, str]:
    headers = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return headers


def parse(argv: list[str]) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--service", default="pricing")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--rack", default="rack-1")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--entry", action="append", required=True)
    parser.add_argument("--token", required=True)
    parser.add_argument("--starts", required=True)
    parser.add_argument("--mode", choices=MODES, default="ok")
    parser.add_argument("--bad-mode", choices=MODES, default="fail")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--run-ms", type=float, nargs=2, default=(50.0, 200.0))
    return parser.parse_args(argv)


def main() -> None:
    """Run the stand-in."""
    opts = parse(sys.argv[1:])
    asyncio.run(Executor(opts=opts).run())


if __name__ == "__main__":
    main()
