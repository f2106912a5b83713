"""The scenarios of the load tool: layouts, load shapes and faults."""

import asyncio
import dataclasses
import random
import signal
import typing

from loadtool import cluster
from loadtool import drive
from loadtool import layout

Action = typing.Callable[["RunContext"], typing.Awaitable[None]]

THREE_ZONES = ("hafnir-a", "grindavik-b", "vogar-c")


@dataclasses.dataclass
class RunContext:
    """The cluster and the load driver of a run, and what actions measure.

    ``cut_in_flight`` counts requests and shutdowns that a restart
    interrupted; ``settings_in_force_s`` is the longest time until all
    entry instances had applied a settings change.
    """

    target: cluster.Cluster
    driver: drive.Driver
    seconds: float
    rng: random.Random
    cut_in_flight: int = 0
    settings_in_force_s: float | None = None
    violations: dict[str, int] = dataclasses.field(default_factory=dict)

    async def wait_fraction(self, fraction: float) -> None:
        """Wait for a fraction of the run's duration."""
        await asyncio.sleep(self.seconds * fraction)

    async def in_thread(self, call: typing.Callable[..., typing.Any], *args):
        """Run a blocking call without blocking the load driver."""
        return await asyncio.to_thread(call, *args)

    async def wait_until_healthy(self, node: layout.Node) -> None:
        """Wait until an instance passes the load balancer's health check.

        :raises TimeoutError: when it isn't healthy before the timeout
        """
        await self.in_thread(self.target.wait_for_health, [node])


class Scenario(typing.NamedTuple):
    """A layout with a load shape and the faults to inject."""

    name: str
    description: str
    layout: layout.Layout
    shape: drive.LoadShape
    action: Action


async def _no_fault(run: RunContext) -> None:
    """Inject no fault."""


async def _kill_entry(run: RunContext) -> None:
    await run.wait_fraction(0.4)
    node = run.rng.choice(run.target.entries)
    run.driver.down.add(node.name)
    await run.in_thread(run.target.kill, node.name)
    await run.wait_fraction(0.3)
    await run.in_thread(run.target.start_node, node)
    await run.wait_until_healthy(node)
    run.driver.down.discard(node.name)


async def _kill_keeper(run: RunContext) -> None:
    await run.wait_fraction(0.3)
    node = await run.in_thread(_leader, run)
    await run.in_thread(run.target.kill, node.name)
    await run.wait_fraction(0.3)
    await run.in_thread(run.target.start_node, node)


async def _lose_disk(run: RunContext) -> None:
    await run.wait_fraction(0.2)
    first, second, _ = run.target.keepers[:3]
    await run.in_thread(run.target.kill, first.name)
    await run.in_thread(run.target.delete_data, first)
    await run.wait_fraction(0.1)
    await run.in_thread(run.target.start_node, first)
    await run.wait_fraction(0.3)
    await run.in_thread(run.target.kill, second.name)
    await run.in_thread(run.target.delete_data, second)
    await run.wait_fraction(0.1)
    await run.in_thread(run.target.start_node, second)


async def _pause_entry(run: RunContext) -> None:
    await run.wait_fraction(0.3)
    node = run.rng.choice(run.target.entries)
    run.driver.down.add(node.name)
    run.target.signal(node.name, signal.SIGSTOP)
    await run.wait_fraction(0.4)
    run.target.signal(node.name, signal.SIGCONT)
    await run.wait_until_healthy(node)
    run.driver.down.discard(node.name)


async def _rolling_restart(run: RunContext) -> None:
    fraction = 0.9 / len(run.target.entries)
    for node in run.target.entries:
        proc = run.target.request_stop(node.name)
        # Until its next health check, the balancer still sends requests.
        await asyncio.sleep(0.2)
        run.driver.down.add(node.name)
        code = await run.in_thread(proc.wait, 60)
        if code != 0:
            run.cut_in_flight += 1
        await run.in_thread(run.target.start_node, node)
        await asyncio.sleep(min(2.0, run.seconds * fraction))
        await run.wait_until_healthy(node)
        run.driver.down.discard(node.name)
    run.cut_in_flight += run.driver.unanswered_requests


async def _degrade_endpoint(run: RunContext) -> None:
    await run.wait_fraction(0.3)
    run.target.signal(run.target.executors[0], signal.SIGUSR2)


async def _hang_connections(run: RunContext) -> None:
    await run.wait_fraction(0.5)
    for name in run.target.executors:
        run.target.signal(name, signal.SIGUSR1)


async def _one_way_cut(run: RunContext) -> None:
    await run.wait_fraction(0.2)
    node = await run.in_thread(_leader, run)
    others = [n.name for n in run.target.nodes if n.name != node.name]
    await run.in_thread(run.target.cut, node, others, "in")
    await run.wait_fraction(0.5)
    await run.in_thread(run.target.cut, node, others, "none")


async def _cut_zone(run: RunContext) -> None:
    await run.wait_fraction(0.25)
    zone = run.target.plan.zones[-1]
    inside = [n for n in run.target.nodes if n.zone == zone]
    outside = [n for n in run.target.nodes if n.zone != zone]
    for mode in ("both", "none"):
        for node in inside:
            names = [n.name for n in outside]
            await run.in_thread(run.target.cut, node, names, mode)
        for node in outside:
            names = [n.name for n in inside]
            await run.in_thread(run.target.cut, node, names, mode)
        if mode == "both":
            await run.wait_fraction(0.4)


async def _double_fault(run: RunContext) -> None:
    await asyncio.gather(_kill_entry(run), _kill_keeper(run))


async def _settings_race(run: RunContext) -> None:
    """Submit conflicting changes with one base revision, each twice."""
    path = f"teams/{layout.TEAM}/policy"
    longest_s = 0.0
    for attempt in range(8):
        _, body = await run.in_thread(
            run.target.call, run.target.entries[0], "GET", "/v1/settings"
        )
        base_revision = (body or {}).get("revision", 0)
        nodes = [run.rng.choice(run.target.entries) for _ in range(3)]
        bodies = [
            {
                "change_id": f"race-{attempt}-{index}",
                "base_revision": base_revision,
                "edits": [{"path": path, "text": f"weight = {index + 1}.0"}],
            }
            for index in range(len(nodes))
        ]
        responses = await asyncio.gather(
            *(
                run.in_thread(
                    run.target.call, node, "POST", "/v1/settings", body
                )
                for node, body in zip(nodes * 2, bodies * 2, strict=True)
            )
        )
        accepted = {
            index % len(nodes)
            for index, (status, _) in enumerate(responses)
            if status == 200
        }
        if len(accepted) > 1:
            run.violations["settings_two_winners"] = 1
        longest_s = max(
            longest_s, await _wait_until_applied(run, base_revision)
        )
    run.settings_in_force_s = round(longest_s, 3)


async def _wait_until_applied(run: RunContext, base_revision: int) -> float:
    """Wait until every entry instance has a later revision.

    :returns: the waiting time in seconds
    """
    started = asyncio.get_running_loop().time()
    waiting = list(run.target.entries)
    while waiting:
        _, body = await run.in_thread(
            run.target.call, waiting[0], "GET", "/v1/settings"
        )
        if (body or {}).get("revision", 0) > base_revision:
            waiting.pop(0)
        else:
            await asyncio.sleep(0.02)
    return asyncio.get_running_loop().time() - started


def _leader(run: RunContext) -> layout.Node:
    """Find the leader of the first zone's ledger group.

    Falls back to the first keeper while there is no leader.
    """
    group = f"ledger.{run.target.plan.zones[0]}"
    for node in run.target.keepers:
        _, body = run.target.call(node, "GET", "/v1/keeper")
        for row in (body or {}).get("groups", []):
            if row["group"] == group and row["role"] == "leader":
                return node
    return run.target.keepers[0]


_STEADY_LOAD = drive.LoadShape(rate=768.0)
_FAULT_LOAD = drive.LoadShape(
    rate=300.0, resubmit_share=0.2, deadline_ms=8_000
)
_IDEMPOTENT_LOAD = drive.LoadShape(rate=300.0, idempotent_share=1.0)
_THREE_ENTRIES = layout.Layout()
_SEVEN_ENTRIES = layout.Layout(entries=(7,))
_THREE_ZONE_LAYOUT = layout.Layout(
    zones=THREE_ZONES,
    entries=(3, 2, 2),
    keepers=(THREE_ZONES[0], *THREE_ZONES, *THREE_ZONES[1:]),
    executors=(8, 8, 8),
)

ALL = {
    each.name: each
    for each in (
        Scenario(
            "steady",
            "half the capacity, no fault",
            _THREE_ENTRIES,
            _STEADY_LOAD,
            _no_fault,
        ),
        Scenario(
            "busy",
            "80% of the capacity, no fault, 7 entry instances",
            _SEVEN_ENTRIES,
            _STEADY_LOAD._replace(rate=1228.0),
            _no_fault,
        ),
        Scenario(
            "kill-entry",
            "an entry instance is killed and restarted",
            _THREE_ENTRIES,
            _FAULT_LOAD,
            _kill_entry,
        ),
        Scenario(
            "kill-keeper",
            "the ledger's leader is killed and restarted",
            _THREE_ENTRIES,
            _FAULT_LOAD,
            _kill_keeper,
        ),
        Scenario(
            "lose-disk",
            "a keeper loses its disk; after its recovery, a second one",
            _THREE_ENTRIES,
            _FAULT_LOAD,
            _lose_disk,
        ),
        Scenario(
            "pause-entry",
            "an entry instance is suspended and resumed",
            _THREE_ENTRIES,
            _FAULT_LOAD,
            _pause_entry,
        ),
        Scenario(
            "rolling-restart",
            "each of 7 entry instances is restarted in turn",
            _SEVEN_ENTRIES,
            _FAULT_LOAD,
            _rolling_restart,
        ),
        Scenario(
            "black-hole",
            "one endpoint accepts tasks and never responds",
            _THREE_ENTRIES,
            _IDEMPOTENT_LOAD,
            _degrade_endpoint,
        ),
        Scenario(
            "fails-all",
            "one endpoint fails every task",
            _THREE_ENTRIES,
            _IDEMPOTENT_LOAD,
            _degrade_endpoint,
        ),
        Scenario(
            "straggler",
            "one endpoint is 20 times slower",
            _THREE_ENTRIES,
            _IDEMPOTENT_LOAD,
            _degrade_endpoint,
        ),
        Scenario(
            "silent-connections",
            "all open connections to endpoints stop responding",
            _THREE_ENTRIES,
            _FAULT_LOAD,
            _hang_connections,
        ),
        Scenario(
            "burst",
            "10 times the load for 2 s, no fault",
            _THREE_ENTRIES,
            _STEADY_LOAD._replace(
                rate=200.0, burst_at_s=4.0, burst_s=2.0, burst_factor=10.0
            ),
            _no_fault,
        ),
        Scenario(
            "overload",
            "3 times the capacity, no fault",
            _THREE_ENTRIES,
            _STEADY_LOAD._replace(rate=4600.0, deadline_ms=2_000),
            _no_fault,
        ),
        Scenario(
            "cancel-wave",
            "half of all jobs are cancelled",
            _THREE_ENTRIES,
            _FAULT_LOAD._replace(cancel_share=0.5),
            _no_fault,
        ),
        Scenario(
            "resubmit-elsewhere",
            "every job is submitted twice, to any entry instance",
            _THREE_ENTRIES,
            _FAULT_LOAD._replace(resubmit_share=1.0),
            _no_fault,
        ),
        Scenario(
            "one-way-cut",
            "the ledger's leader receives no messages from its peers",
            _THREE_ENTRIES,
            _FAULT_LOAD,
            _one_way_cut,
        ),
        Scenario(
            "cut-zone",
            "one of three zones is partitioned and reconnected",
            _THREE_ZONE_LAYOUT,
            _FAULT_LOAD,
            _cut_zone,
        ),
        Scenario(
            "settings-race",
            "operators submit conflicting settings changes, each twice",
            _THREE_ENTRIES,
            _FAULT_LOAD,
            _settings_race,
        ),
        Scenario(
            "double-fault",
            "an entry instance and the ledger's leader are killed in one run",
            _THREE_ENTRIES,
            _FAULT_LOAD,
            _double_fault,
        ),
    )
}

BAD_MODES = {
    "black-hole": "black-hole",
    "straggler": "slow",
    "fails-all": "fail",
}
