"""Run one scenario and write its report."""

import asyncio
import pathlib
import random
import typing

from loadtool import cluster
from loadtool import drive
from loadtool import judge
from loadtool import report
from loadtool import scenarios


class Options(typing.NamedTuple):
    """What a run may override; empty values keep the scenario's own."""

    seed: int
    seconds: float
    placement: str = ""
    least_sync_ms: float = 0.0
    rate: float = 0.0


def run(
    scenario: scenarios.Scenario, opts: Options, folder: pathlib.Path
) -> dict[str, typing.Any]:
    """Run a scenario.

    :param folder: an empty folder for settings, data and logs
    :returns: the report
    """
    plan = scenario.layout
    if opts.placement:
        plan = plan._replace(placement=opts.placement)
    if opts.least_sync_ms:
        plan = plan._replace(least_sync_ms=opts.least_sync_ms)
    shape = scenario.shape
    if opts.rate:
        shape = shape._replace(rate=opts.rate)
    target = cluster.Cluster(plan=plan, folder=folder, seed=opts.seed)
    target.bad_mode = scenarios.BAD_MODES.get(scenario.name, "fail")
    with target:
        before = target.usage()
        driver = drive.Driver(
            target=target,
            shape=shape,
            seconds=opts.seconds,
            seed=opts.seed,
        )
        state = scenarios.Run(
            target, driver, opts.seconds, random.Random(opts.seed)
        )
        asyncio.run(_drive(driver, scenario, state))
        after = target.usage()
        counters = target.metrics()
    verdict = judge.check_run(driver.submissions, target.starts_file)
    return _report(
        scenario, opts, verdict, state, before, after, counters, target
    )


async def _drive(
    driver: drive.Driver,
    scenario: scenarios.Scenario,
    state: scenarios.Run,
) -> None:
    await asyncio.gather(driver.run(), scenario.action(state))


def _report(
    scenario: scenarios.Scenario,
    opts: Options,
    verdict: judge.Verdict,
    state: scenarios.Run,
    before: dict[str, cluster.Usage],
    after: dict[str, cluster.Usage],
    counters: dict[str, float],
    target: cluster.Cluster,
) -> dict[str, typing.Any]:
    tasks = max(1, verdict.tasks)
    cpu_s = sum(
        use.cpu_s - before[name].cpu_s if name in before else use.cpu_s
        for name, use in after.items()
    )
    by_role: dict[str, float] = {}
    cpu_by_role: dict[str, float] = {}
    for node in target.nodes:
        use = after.get(node.name, cluster.Usage(0.0, 0.0))
        used = use.cpu_s - before.get(node.name, use).cpu_s
        by_role[node.role] = max(by_role.get(node.role, 0.0), use.rss_mb)
        cpu_by_role[node.role] = cpu_by_role.get(node.role, 0.0) + used
    wasted = (
        verdict.refusals
        + verdict.extra_starts
        + counters.get("chervilwheel_slots_unused_grants", 0.0)
    )
    messages = counters.get("chervilwheel_peer_messages_sent", 0.0)
    over = verdict.over_ideal_ms
    table = verdict._asdict()
    del table["over_ideal_ms"]
    return {
        "scenario": scenario.name,
        "seed": opts.seed,
        "seconds": opts.seconds,
        "placement": opts.placement or target.plan.placement,
        **table,
        "cut_in_flight": state.cut_in_flight,
        "broken_off": state.driver.unanswered_requests,
        "over_ideal_ms": {
            "p50": report.quantile(over, 0.5),
            "p99": report.quantile(over, 0.99),
            "p999": report.quantile(over, 0.999),
        },
        "messages_per_task": round((messages + 2 * verdict.starts) / tasks, 3),
        "wasted_per_task": round(wasted / tasks, 4),
        "settings_in_force_s": state.settings_in_force_s,
        "cpu_ms_per_task": round(cpu_s * 1000 / tasks, 3),
        "cpu_ms_per_task_by_role": {
            role: round(used * 1000 / tasks, 3)
            for role, used in cpu_by_role.items()
        },
        "rss_mb": {role: round(mb, 1) for role, mb in by_role.items()},
        "broken": {**verdict.violations, **state.broken},
    }
