"""Simulated endpoint: runs tasks by sleeping and can inject faults."""

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import time

ANNOUNCE_INTERVAL_S = 0.5
LEASE_S = 2.5
MODES = ("ok", "fail", "black-hole", "wrong-id", "truncate", "slow")
SLOW_FACTOR = 20.0
REASON_PHRASES = {200: "OK", 500: "Internal Server Error", 503: "Unavailable"}


class Executor:
    """Serves ``POST /v1/tasks`` with a bounded number of slots.

    SIGTERM deregisters the endpoint and stops it once the running tasks have
    finished. SIGUSR1 makes every open connection hang. SIGUSR2 switches
    between normal operation and the fault mode of ``--bad-mode``.

    :param opts: the parsed command line
    """

    def __init__(self, *, opts: argparse.Namespace) -> None:
        self._opts = opts
        self._rng = random.Random(opts.seed)
        self._busy = 0
        self._mode = opts.mode
        self._shutdown_requested = asyncio.Event()
        self._event_log = open(opts.starts, "a", buffering=1)  # noqa: SIM115
        self._connections: set[asyncio.StreamWriter] = set()
        self._hung_connections: set[asyncio.StreamWriter] = set()

    async def run(self) -> None:
        """Serve tasks and announce the endpoint until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._shutdown_requested.set)
        loop.add_signal_handler(signal.SIGUSR1, self._hang_open_connections)
        loop.add_signal_handler(signal.SIGUSR2, self._toggle_fault_mode)
        server = await asyncio.start_server(
            self._serve_connection,
            self._opts.host,
            self._opts.port,
            limit=8_388_608,
        )
        async with server:
            announce_task = asyncio.create_task(self._announce_forever())
            await self._shutdown_requested.wait()
            announce_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await announce_task
            await self._send_update("leave")
            while self._busy:
                await asyncio.sleep(0.01)

    def _hang_open_connections(self) -> None:
        """Stop responding on open connections; new ones are served."""
        self._hung_connections |= self._connections

    def _toggle_fault_mode(self) -> None:
        """Switch between normal operation and the configured fault mode."""
        fault_mode = self._opts.bad_mode
        self._mode = fault_mode if self._mode == "ok" else "ok"

    async def _announce_forever(self) -> None:
        while True:
            await self._send_update("announce")
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _send_update(self, action: str) -> None:
        """Post ``announce`` or ``leave`` to one entry host that accepts it."""
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
                    self._post(entry, f"/v1/endpoints/{action}", body), 1.0
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
                raise OSError("the entry host rejected the request")
        finally:
            writer.close()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._connections) >= self._opts.connections:
            writer.close()
            return
        self._connections.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = _parse_headers(head)
                body = await reader.readexactly(
                    int(headers.get("content-length", "0"))
                )
                if writer in self._hung_connections:
                    continue
                await self._handle_task(writer, headers, body)
        self._connections.discard(writer)
        self._hung_connections.discard(writer)
        writer.close()

    async def _handle_task(
        self,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        if self._busy >= self._opts.slots:
            self._record_event(headers, "refused", body)
            self._respond(
                writer, 503, headers, b"{}", "X-Chervilwheel-Not-Started: 1"
            )
            return
        self._busy += 1
        self._record_event(headers, "started", body)
        try:
            await self._run_task(writer, headers, body)
        finally:
            self._busy -= 1

    async def _run_task(
        self,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Run a task by sleeping and respond as the current mode demands."""
        mode = self._mode
        if mode == "fail":
            self._respond(writer, 500, headers, b'{"error":"bad worker"}')
            return
        if mode == "black-hole":
            await asyncio.sleep(3600)
        payload = json.loads(body)
        run_s = self._run_time_s(payload)
        await asyncio.sleep(run_s * (SLOW_FACTOR if mode == "slow" else 1))
        result = json.dumps(
            {
                "echo": payload,
                "by": self._opts.name,
                "task": headers["x-chervilwheel-task"],
                "ran_ms": run_s * 1000,
            }
        ).encode()
        if mode == "wrong-id":
            headers = dict(headers, **{"x-chervilwheel-job": "another"})
        if writer in self._hung_connections:
            return
        self._respond(writer, 200, headers, result)
        if mode == "truncate":
            writer.close()

    def _run_time_s(self, payload: object) -> float:
        """Return the task's ``sleep_ms``, or a random time, in seconds."""
        if isinstance(payload, dict) and "sleep_ms" in payload:
            return float(payload["sleep_ms"]) / 1000
        low, high = self._opts.run_ms
        return self._rng.uniform(low, high) / 1000

    def _respond(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
        extra: str = "",
    ) -> None:
        if self._mode == "truncate":
            # Declares 64 bytes more than are sent.
            body = body + b" " * 64
        lines = [
            f"HTTP/1.1 {status} {REASON_PHRASES[status]}",
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

    def _record_event(
        self, headers: dict[str, str], event: str, body: bytes
    ) -> None:
        """Append an event of a task attempt to the file of ``--starts``."""
        payload = json.loads(body)
        mark = payload.get("mark") if isinstance(payload, dict) else None
        record = {
            "mark": mark,
            "at": time.time(),
            "what": event,
            "job": headers.get("x-chervilwheel-job"),
            "task": headers.get("x-chervilwheel-task"),
            "attempt": headers.get("x-chervilwheel-attempt"),
            "by": self._opts.name,
        }
        self._event_log.write(json.dumps(record) + "\n")


def _parse_headers(head: bytes) -> dict[str, str]:
    headers = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return headers


def parse_args(argv: list[str]) -> argparse.Namespace:
    """Parse the command line."""
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
    """Run the simulated endpoint."""
    opts = parse_args(sys.argv[1:])
    asyncio.run(Executor(opts=opts).run())


if __name__ == "__main__":
    main()
