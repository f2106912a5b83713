"""Operators that change the configuration in quick succession."""

import asyncio
import contextlib
import dataclasses
import json
import math
import random
import time
import typing

from loadtool import client
from soak import callers
from soak import judge

PUT_PATH = "/v1/config/put"
GET_PATH = "/v1/config/get"
PUT, GET, PROBE = "put", "get", "probe"
OPERATORS = 2
TIMEOUT_S = 1.0
RESEND_S = 0.2
MAX_ATTEMPTS = 40
MAX_BURST = 5
# From the acknowledgement of a version until all go by it.
APPLY_S = 2.0
CLEAR_REFUSALS = (400, 409, 412, 413, 422)
NOT_FOUND = 404


@dataclasses.dataclass(kw_only=True)
class Order:
    """A request about the configuration.

    :ivar version: the version that was sent, read, or whose own route was
        requested
    """

    kind: str
    host: str
    version: int
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    is_as_sent: bool = True


def document(version: int) -> dict[str, typing.Any]:
    """Return a version, which has a route of its own."""
    limit = callers.MIN_FAILURES + version % callers.FAILURE_LIMITS
    routes = [
        callers.ROUTE | {"maxAttempts": limit},
        callers.ROUTE
        | {"name": f"r-x{version}", "pathPrefix": _path(version)},
    ]
    return callers.CONFIG | {"version": version, "routes": routes}


def _path(version: int) -> str:
    return f"/x{version}/"


class Operators:
    """Sends versions to the control hosts, and reads them.

    :param controls: address of each control host
    :param entries: address of each entry host
    :param seed: seed of the changes
    :ivar orders: all requests
    """

    def __init__(
        self, *, controls: dict[str, str], entries: dict[str, str], seed: int
    ) -> None:
        self.orders: list[Order] = []
        self._controls = controls
        self._entries = entries
        self._rng = random.Random(f"{seed} operators")
        self._version = 0

    async def begin(self) -> bool:
        """Send the first version once; returns whether it was accepted."""
        self._version = 1
        first = next(iter(self._controls))
        with contextlib.closing(client.Client()) as http:
            order = await self._put(http, first, 1)
        return order.status == callers.OK

    async def run(self) -> None:
        """Send changes and reads until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(OPERATORS):
                group.create_task(self._operate())
            group.create_task(self._read_often())

    async def _operate(self) -> None:
        rng = self._rng
        while True:
            await asyncio.sleep(rng.uniform(0.5, 4))
            async with asyncio.TaskGroup() as group:
                for _ in range(rng.randint(1, MAX_BURST)):
                    self._version += rng.randint(1, 3)
                    group.create_task(self._change(self._version))
                    await asyncio.sleep(rng.choice((0, 0.02, 0.3)))

    async def _change(self, version: int) -> None:
        with contextlib.closing(client.Client()) as http:
            for _ in range(MAX_ATTEMPTS):
                host = self._rng.choice(list(self._controls))
                order = await self._put(http, host, version)
                if order.status in (callers.OK, *CLEAR_REFUSALS):
                    break
                await asyncio.sleep(RESEND_S)

    async def _put(
        self, http: client.Client, host: str, version: int
    ) -> Order:
        body = json.dumps(document(version)).encode()
        order = Order(kind=PUT, host=host, version=version)
        await self._send(http, order, PUT_PATH, body)
        return order

    async def _read_often(self) -> None:
        rng = self._rng
        with contextlib.closing(client.Client()) as http:
            while True:
                await asyncio.sleep(rng.uniform(0, 0.3))
                if rng.random() < 0.5:
                    await self.read(http, rng.choice(list(self._controls)))
                    continue
                earliest = max(1, self._version - 2 * MAX_BURST)
                version = rng.choice(
                    (self._version, rng.randint(earliest, self._version))
                )
                host = rng.choice(list(self._entries))
                order = Order(kind=PROBE, host=host, version=version)
                await self._send(http, order, _path(version))

    async def read(self, http: client.Client, host: str) -> bool:
        """Read the configuration; returns whether it came."""
        order = Order(kind=GET, host=host, version=0)
        response = await self._send(http, order, GET_PATH)
        if order.status != callers.OK:
            return False
        order.version = response.body.get("version", 0)
        order.is_as_sent = response.body == document(order.version)
        return True

    async def _send(
        self, http: client.Client, order: Order, path: str, body: bytes = b""
    ) -> client.Response:
        order.sent_at = time.monotonic()
        self.orders.append(order)
        response = await http.send(
            "POST" if body else "GET",
            (self._controls | self._entries)[order.host],
            path,
            body,
            host=callers.HOST,
            timeout_s=TIMEOUT_S,
        )
        order.ended_at, order.status = time.monotonic(), response.status
        return response

    async def read_back(self, end: float) -> bool:
        """Read at all control hosts until it comes or time is up."""
        with contextlib.closing(client.Client()) as http:
            while time.monotonic() < end:
                for host in self._controls:
                    if await self.read(http, host):
                        return True
                await asyncio.sleep(RESEND_S)
        return False


class Versions:
    """Which versions may be in force at a time.

    :param orders: all requests
    """

    def __init__(self, orders: typing.Iterable[Order]) -> None:
        puts = [order for order in orders if order.kind == PUT]
        self._acknowledged = [
            (order.ended_at, order.version)
            for order in puts
            if order.status == callers.OK
        ]
        self._sent_at: dict[int, float] = {}
        for order in puts:
            at = self._sent_at.get(order.version, math.inf)
            self._sent_at[order.version] = min(at, order.sent_at)

    def oldest(self, at: float) -> int:
        """Return the oldest version that may be in force at a time."""
        found = [
            version
            for acknowledged_at, version in self._acknowledged
            if acknowledged_at < at - APPLY_S
        ]
        return max(found, default=0)

    def newest(self, at: float) -> int:
        """Return the newest version sent before a time."""
        found = [each for each, sent in self._sent_at.items() if sent <= at]
        return max(found, default=0)

    def fewest_failures(self, began_at: float, ended_at: float) -> int:
        """Return the least limit of failed runs that may hold in a time."""
        oldest = self.oldest(began_at)
        limits = [
            document(version)["routes"][0]["maxAttempts"]
            for version, sent_at in self._sent_at.items()
            if version >= oldest and sent_at <= ended_at
        ]
        return min(limits, default=callers.MIN_FAILURES)


def check_config(
    orders: typing.Collection[Order],
    disturbances: typing.Collection[judge.Disturbance],
    controls: typing.Collection[str],
    is_read_back: bool,
) -> list[judge.Finding]:
    """CONFIG: what is acknowledged stays in force, and is never refused.

    :param is_read_back: whether it could be read after the last fault
    """
    versions = Versions(orders)
    found = []
    for order in orders:
        near = {order.host, *controls}
        is_calm = judge.is_calm(
            disturbances, order.sent_at, order.ended_at, near
        )
        if text := _why_broken(order, versions, is_calm):
            where = f"{order.kind} at {order.host}, {order.sent_at:.3f}"
            text = f"{where}: version {order.version} {text}"
            found.append(judge.Finding("CONFIG", text))
    if not is_read_back:
        found.append(judge.Finding("CONFIG", "can't be read back"))
    return found


def _why_broken(order: Order, versions: Versions, is_calm: bool) -> str:
    oldest = versions.oldest(order.sent_at)
    newest = versions.newest(order.ended_at)
    is_ok = order.status == callers.OK
    if order.kind == PUT and order.status in CLEAR_REFUSALS:
        return f"was refused with {order.status}"
    if order.kind == GET and is_ok:
        if not oldest <= order.version <= newest:
            return f"is outside {oldest} to {newest}"
        return "" if order.is_as_sent else "isn't what was sent"
    if order.kind == PROBE and is_calm:
        if is_ok and order.version < oldest:
            return f"is obeyed after {oldest}"
        if order.status == NOT_FOUND and order.version == oldest == newest:
            return "isn't obeyed"
    return ""
