"""Plays one schedule: ``python -m soak.playing SCHEDULE FOLDER``."""

import argparse
import asyncio
import collections
import dataclasses
import json
import logging
import pathlib
import signal
import sys
import time
import typing

from soak import callers
from soak import executors
from soak import hosts
from soak import judge
from soak import links
from soak import operators
from soak import schedules

_LOG = logging.getLogger("soak")
EXIT_OK, EXIT_BROKEN, EXIT_CANNOT_RUN = 0, 1, 2
START_S = 60.0
RECOVERY_S = 12.0
# The load goes on so long beyond the last fault's effects.
QUIET_S = 5.0
# Consecutive jobs that complete before a host counts as serving again.
SERVED_PROBES = 3
LEADER_S = 3.0
CLOSE_S = 5.0
POLL_S = 0.1
EXECUTOR_CPU = 16_000


class Play:
    """A deployment, its load, and the faults of a schedule.

    :param schedule: what happens
    :param folder: folder for settings, data, logs and records
    """

    def __init__(
        self, *, schedule: schedules.Schedule, folder: pathlib.Path
    ) -> None:
        self._schedule = schedule
        self._net = links.Links()
        self._hosts = hosts.Hosts(folder=folder, net=self._net)
        fronts = self._hosts.addresses(self._hosts.entries, "front")
        self._control_addresses = self._hosts.addresses(
            self._hosts.controls, "control"
        )
        self._callers = callers.Callers(addresses=fronts, seed=schedule.seed)
        self._operators = operators.Operators(
            controls=self._control_addresses,
            entries=fronts,
            seed=schedule.seed,
        )
        self._finder = executors.Callers(pids=self._hosts.pids)
        self._runs = folder / "runs.jsonl"
        self._runs.touch()
        self._folder = folder
        self._executors = [
            self._executor(number, rate)
            for number, rate in enumerate(schedule.rates)
        ]
        self._disturbances: list[judge.Disturbance] = []
        self._leaders: list[str] = []

    def _executor(self, number: int, rate: float) -> executors.Executor:
        controls = {
            address: name for name, address in self._control_addresses.items()
        }
        # Each begins with another control host.
        order = collections.deque(controls)
        order.rotate(-(number // len(schedules.ZONES)))
        opts = argparse.Namespace(
            host=f"{hosts.EXECUTOR_PREFIX}.{number + 1}",
            port=self._hosts.ports["executor"] - number,
            cpu=EXECUTOR_CPU,
            service=callers.SERVICE,
            zone=schedules.zone(number),
            control=list(order),
            runs=str(self._runs),
        )
        executor = executors.Executor(
            opts=opts,
            number=number,
            clock_rate=rate,
            controls=controls,
            net=self._net,
            callers=self._finder,
        )
        executor.heartbeat_s = hosts.HEARTBEAT_MS / 1000
        return executor

    async def run(self) -> dict[str, typing.Any]:
        """Play the schedule and check the rules.

        :raises CannotRunError: if the deployment doesn't start
        """
        background = []
        try:
            await self._hosts.start_all()
            background = [
                asyncio.create_task(executor.run())
                for executor in self._executors
            ]
            await self._begin(time.monotonic() + START_S)
            background.append(asyncio.create_task(self._callers.run()))
            background.append(asyncio.create_task(self._operators.run()))
            _LOG.info("the load begins")
            await self._play_events()
            unserved = await self._recover()
            await asyncio.sleep(QUIET_S)
            end = time.monotonic() + judge.CONTACT_S
            is_read_back = await self._operators.read_back(end)
            if failed := [task for task in background if task.done()]:
                raise hosts.CannotRunError(f"a stand-in ended: {failed}")
        finally:
            for task in background:
                task.cancel()
            await self._hosts.close()
            if background:
                await asyncio.wait(background, timeout=CLOSE_S)
        return self._result(unserved, is_read_back)

    async def _begin(self, end: float) -> None:
        while time.monotonic() < end and not await self._operators.begin():
            await asyncio.sleep(POLL_S)
        for name in self._hosts.entries:
            while not await self._callers.is_served(name):
                if time.monotonic() > end or self._hosts.unexpected_ends:
                    raise hosts.CannotRunError(f"{name} doesn't get ready")
                await asyncio.sleep(POLL_S)
        self._callers.attempts.clear()

    async def _play_events(self) -> None:
        began_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for event in self._schedule.events:
                delay_s = began_at + event.at - time.monotonic()
                await asyncio.sleep(max(0.0, delay_s))
                group.create_task(self._play(event))

    async def _play(self, event: schedules.Event) -> None:
        began_at = time.monotonic()
        if event.target is schedules.Target.EXECUTORS:
            names = await self._disturb_executors(event)
        else:
            names = await self._disturb_host(event)
        is_of_host = event.target is not schedules.Target.EXECUTORS
        now = time.monotonic()
        self._disturbances += [
            judge.Disturbance(name, began_at, now, is_of_host)
            for name in names
        ]

    async def _disturb_executors(self, event: schedules.Event) -> list[str]:
        targets = [self._executors[number] for number in event.executors]
        _LOG.info("%s begins", event)
        await asyncio.gather(
            *(target.suffer(event.kind, event.for_s) for target in targets)
        )
        return [target.name for target in targets]

    async def _disturb_host(self, event: schedules.Event) -> set[str]:
        """Let a fault act; returns what it disturbed."""
        host: str | None = self._hosts.entries[event.index]
        if event.target is schedules.Target.LEADER:
            host = await self._find_leader()
        _LOG.info("%s acts on %s", event, host)
        if host is None or not self._hosts.is_running(host):
            return set()
        if event.target is schedules.Target.LEADER:
            self._leaders.append(host)
        if event.kind is schedules.Kind.CUT:
            return await self._cut(event, host)
        if event.kind is schedules.Kind.PAUSE:
            self._hosts.send_signal(host, signal.SIGSTOP)
            await asyncio.sleep(event.for_s)
            self._hosts.send_signal(host, signal.SIGCONT)
            return {host}
        number = signal.SIGKILL
        if event.kind is schedules.Kind.PLANNED:
            number = signal.SIGTERM
        await self._hosts.stop(host, number)
        if event.kind is schedules.Kind.WIPE:
            self._hosts.wipe(host)
        await asyncio.sleep(event.for_s)
        await self._hosts.start(host)
        return {host}

    async def _find_leader(self) -> str | None:
        end = time.monotonic() + LEADER_S
        while time.monotonic() < end:
            if leader := await self._hosts.leader():
                return leader
            await asyncio.sleep(POLL_S)
        return None

    async def _cut(self, event: schedules.Event, host: str) -> set[str]:
        """Cut links and heal them; returns what it disturbed."""
        zones = dict(self._hosts.zones)
        for number, executor in enumerate(self._executors):
            zones[executor.name] = schedules.zone(number)
        inside = {name for name in zones if zones[name] == zones[host]}
        if event.scope in (schedules.Scope.LEADER, schedules.Scope.HOST):
            inside = {host}
        outside = set(zones) - inside
        if event.scope is schedules.Scope.EXECUTORS:
            inside -= set(self._hosts.zones)
            outside = set(self._hosts.controls) - {host}
        pairs = schedules.pairs(event.direction, inside, outside)
        self._finder.forget()
        self._net.cut(pairs)
        await asyncio.sleep(event.for_s)
        self._net.heal(pairs)
        _LOG.info("%s of %s healed", event.scope.value, host)
        if event.scope is schedules.Scope.HOST:
            return inside
        return {name for pair in pairs for name in pair}

    async def _recover(self) -> list[str]:
        """Return the entry hosts that don't serve in time."""
        _LOG.info("the faults are over")
        end = time.monotonic() + RECOVERY_S
        served = await asyncio.gather(
            *(self._wait_served(name, end) for name in self._hosts.entries)
        )
        names = zip(self._hosts.entries, served, strict=True)
        return [name for name, is_served in names if not is_served]

    async def _wait_served(self, name: str, end: float) -> bool:
        successes = 0
        while successes < SERVED_PROBES:
            is_served = await self._callers.is_served(name)
            successes = successes + 1 if is_served else 0
            if time.monotonic() > end:
                return successes > 0
            await asyncio.sleep(POLL_S)
        _LOG.info("%s serves again", name)
        return True

    def _result(
        self, unserved: list[str], is_read_back: bool
    ) -> dict[str, typing.Any]:
        runs = judge.read_runs(self._runs)
        attempts, jobs = self._callers.attempts, self._callers.jobs
        orders = self._operators.orders
        disturbances = self._disturbances
        drains: dict[str, float] = {}
        for executor in self._executors:
            drains |= executor.drains
        for name, rows in (
            ("attempts", attempts),
            ("jobs", jobs.values()),
            ("orders", orders),
            ("disturbances", disturbances),
        ):
            lines = [json.dumps(dataclasses.asdict(row)) for row in rows]
            path = self._folder / f"{name}.jsonl"
            path.write_text("\n".join(lines) + "\n")
        versions = operators.Versions(orders)
        findings = [
            *judge.check_twice(runs),
            *judge.check_refused(runs, attempts),
            *judge.check_cancels(runs, attempts, disturbances),
            *judge.check_starts(runs, jobs),
            *judge.check_drains(runs, drains, disturbances),
            *judge.check_states(
                runs, attempts, jobs, disturbances, versions.fewest_failures
            ),
            *judge.check_answers(attempts, disturbances),
            *operators.check_config(
                orders, disturbances, self._hosts.controls, is_read_back
            ),
            *judge.check_processes(self._hosts.unexpected_ends),
            *judge.check_recovery(unserved),
        ]
        for finding in findings:
            _LOG.error("%s: %s", *finding)
        statuses = collections.Counter(
            f"{attempt.method} {attempt.status} {attempt.state}".strip()
            for attempt in attempts
        )
        statuses.update(f"{order.kind} {order.status}" for order in orders)
        runs_by_task = collections.Counter(run.task for run in runs)
        return {
            "seed": self._schedule.seed,
            "leaders": self._leaders,
            "jobs": len({attempt.job for attempt in attempts}),
            "statuses": dict(sorted(statuses.items())),
            "runs": len(runs),
            "restarted": sum(count > 1 for count in runs_by_task.values()),
            "findings": [finding._asdict() for finding in findings],
        }


async def _main(schedule: schedules.Schedule, folder: pathlib.Path) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    result = await Play(schedule=schedule, folder=folder).run()
    (folder / "result.json").write_text(json.dumps(result, indent=1) + "\n")
    return EXIT_BROKEN if result["findings"] else EXIT_OK


def main() -> int:
    """Play the schedule of a file; returns the exit code."""
    path, folder = map(pathlib.Path, sys.argv[1:])
    logging.basicConfig(
        filename=folder / "record.txt",
        format="%(asctime)s %(message)s",
        level=logging.INFO,
    )
    _LOG.info("monotonic time %.3f", time.monotonic())
    try:
        return asyncio.run(_main(schedules.load(path), folder))
    except (Exception, asyncio.CancelledError) as exc:
        _LOG.exception("couldn't run")
        print(f"soak: {exc!r}", file=sys.stderr)
    return EXIT_CANNOT_RUN


if __name__ == "__main__":
    sys.exit(main())
