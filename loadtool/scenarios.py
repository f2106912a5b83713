"""What a run does besides posting jobs: layouts, loads and faults."""

import asyncio
import dataclasses
import random
import signal
import typing

from loadtool import cluster
from loadtool import drive
from loadtool import layout

Action = typing.Callable[["Run"], typing.Awaitable[None]]

THREE_ZONES = ("hafnir-a", "grindavik-b", "vogar-c")


@dataclasses.dataclass
class Run:
    """What an action works on."""

    target: cluster.Cluster
    driver: drive.Driver
    seconds: float
    rng: random.Random
    cut_in_flight: int = 0
    settings_in_force_s: float | None = None
    broken: dict[str, int] = dataclasses.field(default_factory=dict)

    async def at(self, share: float) -> None:
        """Wait until a share of the run has gone by."""
        await asyncio.sleep(self.seconds * share)

    async def in_thread(self, call: typing.Callable[..., typing.Any], *args):
        """Run a blocking call beside the load."""
        return await asyncio.to_thread(call, *args)

    async def until_healthy(self, node: layout.Node) -> None:
        """Wait for an instance's health page, as the balancer does.

        :raises TimeoutError: when it doesn't answer in good time
        """
        await self.in_thread(self.target.wait_for_health, [node])


class Scenario(typing.NamedTuple):
    """A named run."""

    name: str
    what: str
    layout: layout.Layout
    shape: drive.LoadShape
    action: Action


async def _nothing(run: Run) -> None:
    """Leave the cluster alone."""


async def _kill_entry(run: Run) -> None:
    await run.at(0.4)
    node = run.rng.choice(run.target.entries)
    run.driver.down.add(node.name)
    await run.in_thread(run.target.kill, node.name)
    await run.at(0.3)
    await run.in_thread(run.target.start_node, node)
    await run.until_healthy(node)
    run.driver.down.discard(node.name)


async def _kill_keeper(run: Run) -> None:
    await run.at(0.3)
    node = await run.in_thread(_leader, run)
    await run.in_thread(run.target.kill, node.name)
    await run.at(0.3)
    await run.in_thread(run.target.start_node, node)


async def _lose_disk(run: Run) -> None:
    await run.at(0.2)
    first, second, _ = run.target.keepers[:3]
    await run.in_thread(run.target.kill, first.name)
    await run.in_thread(run.target.wipe, first)
    await run.at(0.1)
    await run.in_thread(run.target.start_node, first)
    await run.at(0.3)
    await run.in_thread(run.target.kill, second.name)
    await run.in_thread(run.target.wipe, second)
    await run.at(0.1)
    await run.in_thread(run.target.start_node, second)


async def _pause_entry(run: Run) -> None:
    await run.at(0.3)
    node = run.rng.choice(run.target.entries)
    run.driver.down.add(node.name)
    run.target.signal(node.name, signal.SIGSTOP)
    await run.at(0.4)
    run.target.signal(node.name, signal.SIGCONT)
    await run.until_healthy(node)
    run.driver.down.discard(node.name)


async def _rolling_restart(run: Run) -> None:
    share = 0.9 / len(run.target.entries)
    for node in run.target.entries:
        proc = run.target.ask_to_stop(node.name)
        # The balancer reads the health page and looks elsewhere.
        await asyncio.sleep(0.2)
        run.driver.down.add(node.name)
        code = await run.in_thread(proc.wait, 60)
        if code != 0:
            run.cut_in_flight += 1
        await run.in_thread(run.target.start_node, node)
        await asyncio.sleep(min(2.0, run.seconds * share))
        await run.until_healthy(node)
        run.driver.down.discard(node.name)
    run.cut_in_flight += run.driver.unanswered_requests


async def _bad_worker(run: Run) -> None:
    await run.at(0.3)
    run.target.signal(run.target.executors[0], signal.SIGUSR2)


async def _silent(run: Run) -> None:
    await run.at(0.5)
    for name in run.target.executors:
        run.target.signal(name, signal.SIGUSR1)


async def _one_way_cut(run: Run) -> None:
    await run.at(0.2)
    node = await run.in_thread(_leader, run)
    others = [n.name for n in run.target.nodes if n.name != node.name]
    await run.in_thread(run.target.cut, node, others, "in")
    await run.at(0.5)
    await run.in_thread(run.target.cut, node, others, "none")


async def _cut_zone(run: Run) -> None:
    await run.at(0.25)
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
            await run.at(0.4)


async def _double_fault(run: Run) -> None:
    await asyncio.gather(_kill_entry(run), _kill_keeper(run))


async def _settings_race(run: Run) -> None:
    """Let operators race with equal revisions and resend changes."""
    path = f"teams/{layout.TEAM}/policy"
    slowest = 0.0
    for turn in range(8):
        _, table = await run.in_thread(
            run.target.call, run.target.entries[0], "GET", "/v1/settings"
        )
        base = (table or {}).get("revision", 0)
        nodes = [run.rng.choice(run.target.entries) for _ in range(3)]
        bodies = [
            {
                "change_id": f"race-{turn}-{place}",
                "base_revision": base,
                "edits": [{"path": path, "text": f"weight = {place + 1}.0"}],
            }
            for place in range(len(nodes))
        ]
        replies = await asyncio.gather(
            *(
                run.in_thread(
                    run.target.call, node, "POST", "/v1/settings", body
                )
                for node, body in zip(nodes * 2, bodies * 2, strict=True)
            )
        )
        accepted = {
            place % len(nodes)
            for place, (status, _) in enumerate(replies)
            if status == 200
        }
        if len(accepted) > 1:
            run.broken["settings_two_winners"] = 1
        slowest = max(slowest, await _in_force_s(run, base))
    run.settings_in_force_s = round(slowest, 3)


async def _in_force_s(run: Run, base: int) -> float:
    """Wait until every entry instance is past a revision."""
    started = asyncio.get_running_loop().time()
    waiting = list(run.target.entries)
    while waiting:
        _, table = await run.in_thread(
            run.target.call, waiting[0], "GET", "/v1/settings"
        )
        if (table or {}).get("revision", 0) > base:
            waiting.pop(0)
        else:
            await asyncio.sleep(0.02)
    return asyncio.get_running_loop().time() - started


def _leader(run: Run) -> layout.Node:
    """Find the keeper that leads the first zone's ledger."""
    group = f"ledger.{run.target.plan.zones[0]}"
    for node in run.target.keepers:
        _, table = run.target.call(node, "GET", "/v1/keeper")
        for row in (table or {}).get("groups", []):
            if row["group"] == group and row["role"] == "leader":
                return node
    return run.target.keepers[0]


_STEADY = drive.LoadShape(rate=768.0)
_FAULTS = drive.LoadShape(rate=300.0, resubmit_share=0.2, deadline_ms=8_000)
_IDEMPOTENT = drive.LoadShape(rate=300.0, idempotent_share=1.0)
_ONE = layout.Layout()
_SEVEN = layout.Layout(entries=(7,))
_ZONES = layout.Layout(
    zones=THREE_ZONES,
    entries=(3, 2, 2),
    keepers=(THREE_ZONES[0], *THREE_ZONES, *THREE_ZONES[1:]),
    executors=(8, 8, 8),
)

ALL = {
    each.name: each
    for each in (
        Scenario("steady", "half load, no fault", _ONE, _STEADY, _nothing),
        Scenario(
            "busy",
            "80% load, no fault, 7 instances",
            _SEVEN,
            _STEADY._replace(rate=1228.0),
            _nothing,
        ),
        Scenario(
            "kill-entry",
            "an entry instance is killed and comes back",
            _ONE,
            _FAULTS,
            _kill_entry,
        ),
        Scenario(
            "kill-keeper",
            "the ledger's leader is killed and comes back",
            _ONE,
            _FAULTS,
            _kill_keeper,
        ),
        Scenario(
            "lose-disk",
            "a keeper loses its disk; after the repair a second one",
            _ONE,
            _FAULTS,
            _lose_disk,
        ),
        Scenario(
            "pause-entry",
            "an entry instance stands still and goes on",
            _ONE,
            _FAULTS,
            _pause_entry,
        ),
        Scenario(
            "rolling-restart",
            "each of 7 instances is restarted in turn",
            _SEVEN,
            _FAULTS,
            _rolling_restart,
        ),
        Scenario(
            "black-hole",
            "one endpoint accepts tasks and never answers",
            _ONE,
            _IDEMPOTENT,
            _bad_worker,
        ),
        Scenario(
            "fails-all",
            "one endpoint fails all it starts",
            _ONE,
            _IDEMPOTENT,
            _bad_worker,
        ),
        Scenario(
            "straggler",
            "one endpoint is 20 times slower",
            _ONE,
            _IDEMPOTENT,
            _bad_worker,
        ),
        Scenario(
            "silent-connections",
            "all open connections to endpoints fall silent",
            _ONE,
            _FAULTS,
            _silent,
        ),
        Scenario(
            "burst",
            "10 times the load for 2 s",
            _ONE,
            _STEADY._replace(
                rate=200.0, burst_at_s=4.0, burst_s=2.0, burst_factor=10.0
            ),
            _nothing,
        ),
        Scenario(
            "overload",
            "3 times the capacity",
            _ONE,
            _STEADY._replace(rate=4600.0, deadline_ms=2_000),
            _nothing,
        ),
        Scenario(
            "cancel-wave",
            "half of all jobs are cancelled",
            _ONE,
            _FAULTS._replace(cancel_share=0.5),
            _nothing,
        ),
        Scenario(
            "resubmit-elsewhere",
            "every job is sent twice, to any instance",
            _ONE,
            _FAULTS._replace(resubmit_share=1.0),
            _nothing,
        ),
        Scenario(
            "one-way-cut",
            "the ledger's leader hears nothing for a long time",
            _ONE,
            _FAULTS,
            _one_way_cut,
        ),
        Scenario(
            "cut-zone",
            "one of three zones is cut off and comes back",
            _ZONES,
            _FAULTS,
            _cut_zone,
        ),
        Scenario(
            "settings-race",
            "operators race with equal revisions and resend",
            _ONE,
            _FAULTS,
            _settings_race,
        ),
        Scenario(
            "double-fault",
            "an entry instance and the leader are killed together",
            _ONE,
            _FAULTS,
            _double_fault,
        ),
    )
}

BAD_MODES = {
    "black-hole": "black-hole",
    "straggler": "slow",
    "fails-all": "fail",
}
