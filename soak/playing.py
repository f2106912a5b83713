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

from loadtool import client
from soak import callers
from soak import executors
from soak import hosts
from soak import judge
from soak import links
from soak import schedules

_LOG = logging.getLogger("soak")
EXIT_OK, EXIT_BROKEN, EXIT_CANNOT_RUN = 0, 1, 2
START_S = 60.0
RECOVERY_S = 12.0
# Consecutive jobs that complete before a host counts as serving again.
SERVED_PROBES = 3
LEADER_S = 3.0
CLOSE_S = 5.0
POLL_S = 0.1
EXECUTOR_CPU = 16_000
CONFIG_PATH = "/v1/config/put"


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
        self._callers = callers.Callers(
            addresses={
                name: self._hosts.address(name, "front")
                for name in self._hosts.entries
            },
            seed=schedule.seed,
        )
        self._finder = executors.Callers(pids=self._hosts.pids)
        self._runs = folder / "runs.jsonl"
        self._runs.touch()
        self._attempts = folder / "attempts.jsonl"
        self._executors = [
            self._executor(number, rate)
            for number, rate in enumerate(schedule.rates)
        ]
        self._disturbances: list[judge.Disturbance] = []
        self._leaders: list[str] = []

    def _executor(self, number: int, rate: float) -> executors.Executor:
        controls = {
            self._hosts.address(name, "control"): name
            for name in self._hosts.controls
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
            _LOG.info("the load begins")
            await self._play_events()
            unserved = await self._recover()
            if failed := [task for task in background if task.done()]:
                raise hosts.CannotRunError(f"a stand-in ended: {failed}")
        finally:
            for task in background:
                task.cancel()
            await self._hosts.close()
            if background:
                await asyncio.wait(background, timeout=CLOSE_S)
        return self._result(unserved)

    async def _begin(self, end: float) -> None:
        http = client.Client()
        first = self._hosts.address(self._hosts.controls[0], "control")
        while time.monotonic() < end:
            response = await http.post(
                first, CONFIG_PATH, callers.CONFIG, timeout_s=1.0
            )
            if response.status == callers.OK:
                break
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
        leader = await self._find_leader()
        _LOG.info("%s acts on %s", event, leader)
        if leader is None or not self._hosts.is_running(leader):
            return
        self._leaders.append(leader)
        began_at = time.monotonic()
        disturbed = {leader}
        if event.kind is schedules.Kind.CUT:
            disturbed |= await self._cut(event, leader)
        elif event.kind is schedules.Kind.PAUSE:
            self._hosts.send_signal(leader, signal.SIGSTOP)
            await asyncio.sleep(event.for_s)
            self._hosts.send_signal(leader, signal.SIGCONT)
        else:
            number = signal.SIGKILL
            if event.kind is schedules.Kind.PLANNED:
                number = signal.SIGTERM
            await self._hosts.stop(leader, number)
            await asyncio.sleep(event.for_s)
            await self._hosts.start(leader)
        now = time.monotonic()
        self._disturbances += [
            judge.Disturbance(name, began_at, now) for name in disturbed
        ]

    async def _find_leader(self) -> str | None:
        end = time.monotonic() + LEADER_S
        while time.monotonic() < end:
            if leader := await self._hosts.leader():
                return leader
            await asyncio.sleep(POLL_S)
        return None

    async def _cut(self, event: schedules.Event, leader: str) -> set[str]:
        """Cut links and heal them; returns the hosts that it disturbed."""
        zones = dict(self._hosts.zones)
        for number, executor in enumerate(self._executors):
            zones[executor.name] = schedules.zone(number)
        inside = {name for name in zones if zones[name] == zones[leader]}
        if event.scope is schedules.Scope.LEADER:
            inside = {leader}
        outside = set(zones) - inside
        if event.scope is schedules.Scope.EXECUTORS:
            inside -= set(self._hosts.zones)
            outside = set(self._hosts.controls) - {leader}
        pairs = schedules.pairs(event.direction, inside, outside)
        self._finder.forget()
        self._net.cut(pairs)
        await asyncio.sleep(event.for_s)
        self._net.heal(pairs)
        _LOG.info("%s of %s healed", event.scope.value, leader)
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

    def _result(self, unserved: list[str]) -> dict[str, typing.Any]:
        runs = judge.read_runs(self._runs)
        attempts = self._callers.attempts
        rows = (json.dumps(dataclasses.asdict(each)) for each in attempts)
        self._attempts.write_text("\n".join(rows) + "\n")
        findings = [
            *judge.check_twice(runs),
            *judge.check_refused(runs, attempts),
            *judge.check_answers(attempts, self._disturbances),
            *judge.check_processes(self._hosts.unexpected_ends),
            *judge.check_recovery(unserved),
        ]
        for finding in findings:
            _LOG.error("%s: %s", *finding)
        statuses = collections.Counter(
            str(attempt.status) for attempt in attempts
        )
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
