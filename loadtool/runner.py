"""Run one scenario and build its report."""

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
    """Options of a run; empty or zero values keep those of the scenario."""

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
        context = scenarios.RunContext(
            target, driver, opts.seconds, random.Random(opts.seed)
        )
        asyncio.run(_run_load(driver, scenario, context))
        after = target.usage()
        counters = target.metrics()
    verdict = judge.check_run(driver.submissions, target.starts_file)
    return _build_report(
        scenario, opts, verdict, context, before, after, counters, target
    )


async def _run_load(
    driver: drive.Driver,
    scenario: scenarios.Scenario,
    context: scenarios.RunContext,
) -> None:
    await asyncio.gather(driver.run(), scenario.action(context))


def _build_report(
    scenario: scenarios.Scenario,
    opts: Options,
    verdict: judge.Verdict,
    context: scenarios.RunContext,
    before: dict[str, cluster.Usage],
    after: dict[str, cluster.Usage],
    counters: dict[str, float],
    target: cluster.Cluster,
) -> dict[str, typing.Any]:
    tasks = max(1, verdict.tasks)
    cpu_s = sum(
        usage.cpu_s - before[name].cpu_s if name in before else usage.cpu_s
        for name, usage in after.items()
    )
    rss_mb_by_role: dict[str, float] = {}
    cpu_s_by_role: dict[str, float] = {}
    for node in target.nodes:
        usage = after.get(node.name, cluster.Usage(0.0, 0.0))
        used_s = usage.cpu_s - before.get(node.name, usage).cpu_s
        rss_mb_by_role[node.role] = max(
            rss_mb_by_role.get(node.role, 0.0), usage.rss_mb
        )
        cpu_s_by_role[node.role] = cpu_s_by_role.get(node.role, 0.0) + used_s
    wasted_work = (
        verdict.refusals
        + verdict.extra_starts
        + counters.get("chervilwheel_slots_unused_grants", 0.0)
    )
    messages_sent = counters.get("chervilwheel_peer_messages_sent", 0.0)
    over_ideal_ms = verdict.over_ideal_ms
    counts = verdict._asdict()
    del counts["over_ideal_ms"]
    return {
        "scenario": scenario.name,
        "seed": opts.seed,
        "seconds": opts.seconds,
        "placement": opts.placement or target.plan.placement,
        **counts,
        "cut_in_flight": context.cut_in_flight,
        "broken_off": context.driver.unanswered_requests,
        "over_ideal_ms": {
            "p50": report.quantile(over_ideal_ms, 0.5),
            "p99": report.quantile(over_ideal_ms, 0.99),
            "p999": report.quantile(over_ideal_ms, 0.999),
        },
        "messages_per_task": round(
            (messages_sent + 2 * verdict.starts) / tasks, 3
        ),
        "wasted_per_task": round(wasted_work / tasks, 4),
        "settings_in_force_s": context.settings_in_force_s,
        "cpu_ms_per_task": round(cpu_s * 1000 / tasks, 3),
        "cpu_ms_per_task_by_role": {
            role: round(used_s * 1000 / tasks, 3)
            for role, used_s in cpu_s_by_role.items()
        },
        "rss_mb": {role: round(mb, 1) for role, mb in rss_mb_by_role.items()},
        "broken": {**verdict.violations, **context.violations},
    }
