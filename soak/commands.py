"""The command line of the soak."""

import argparse
import asyncio
import collections
import contextlib
import json
import pathlib
import shutil
import signal
import sys
import tempfile
import typing

from rich import console
from rich import table

from soak import playing
from soak import schedules

RESULT_FILE = "result.json"
SCHEDULE_FILE = "schedule.json"


def main(argv: list[str] | None = None) -> int:
    """Run the command.

    :returns: the exit code: 0, 1 when a rule was broken, 2 when a run
        couldn't take place
    """
    opts, plan = _parse(argv)
    if opts.save is not None:
        schedules.save(plan[0], opts.save)
        return playing.EXIT_OK
    results: list[dict[str, typing.Any]] = []
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        is_complete = asyncio.run(
            _run(opts, plan, pathlib.Path(folder), results)
        )
    _print(results)
    if any(result["findings"] for result in results):
        return playing.EXIT_BROKEN
    return playing.EXIT_OK if is_complete else playing.EXIT_CANNOT_RUN


def _parse(
    argv: list[str] | None,
) -> tuple[argparse.Namespace, list[schedules.Schedule]]:
    parser = argparse.ArgumentParser(
        prog="chervilwheel-soak", description="Play seeded fault schedules."
    )
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument(
        "--jobs", type=int, default=1, help="how many run side by side"
    )
    parser.add_argument(
        "--schedule", type=pathlib.Path, help="play a saved schedule"
    )
    parser.add_argument(
        "--save", type=pathlib.Path, help="write the schedule, play nothing"
    )
    parser.add_argument(
        "--keep",
        type=pathlib.Path,
        help="folder for schedule, records and logs of each failed run",
    )
    opts = parser.parse_args(argv)
    if opts.seeds < 1 or opts.jobs < 1:
        parser.error("--seeds and --jobs must be at least 1")
    if opts.seeds > 1 and (opts.schedule or opts.save):
        parser.error("--schedule and --save are for one run")
    try:
        if opts.keep is not None:
            opts.keep.mkdir(parents=True, exist_ok=True)
        if opts.schedule is not None:
            return opts, [schedules.load(opts.schedule)]
    except (schedules.ScheduleError, OSError) as exc:
        parser.error(str(exc))
    seeds = range(opts.seed, opts.seed + opts.seeds)
    return opts, [schedules.generate(seed) for seed in seeds]


async def _run(
    opts: argparse.Namespace,
    plan: list[schedules.Schedule],
    folder: pathlib.Path,
    results: list[dict[str, typing.Any]],
) -> bool:
    """Play all schedules; returns whether each run took place."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    slots = asyncio.Semaphore(opts.jobs)

    async def play(schedule: schedules.Schedule) -> bool:
        async with slots:
            own = folder / f"seed-{schedule.seed}"
            own.mkdir()
            code = await _play(schedule, own)
        with contextlib.suppress(OSError, ValueError):
            results.append(json.loads((own / RESULT_FILE).read_text()))
        if code != playing.EXIT_OK and opts.keep is not None:
            target = opts.keep / own.name
            shutil.copytree(own, target, dirs_exist_ok=True)
        shutil.rmtree(own)
        return code in (playing.EXIT_OK, playing.EXIT_BROKEN)

    try:
        return all(await asyncio.gather(*map(play, plan)))
    except asyncio.CancelledError:
        return False


async def _play(schedule: schedules.Schedule, folder: pathlib.Path) -> int:
    path = folder / SCHEDULE_FILE
    schedules.save(schedule, path)
    # The process ends its hosts when it is told to, and only then itself.
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "soak.playing",
        str(path),
        str(folder),
        start_new_session=True,
    )
    try:
        code = await process.wait()
    except asyncio.CancelledError:
        process.terminate()
        await process.wait()
        raise
    print(f"seed {schedule.seed}: exit code {code}", file=sys.stderr)
    return code


def _print(results: list[dict[str, typing.Any]]) -> None:
    output = console.Console()
    names = ("seed", "jobs", "runs", "restarted")
    rows = table.Table(*names, "broken")
    for result in sorted(results, key=lambda result: result["seed"]):
        broken = collections.Counter(
            finding["rule"] for finding in result["findings"]
        )
        cells = [*(result[name] for name in names), dict(broken) or ""]
        rows.add_row(*map(str, cells))
    output.print(rows)
    counters = [collections.Counter(each["statuses"]) for each in results]
    statuses = sum(counters, collections.Counter())
    output.print("answers:", dict(sorted(statuses.items())))
    failed = [result for result in results if result["findings"]]
    for result in failed:
        for finding in result["findings"]:
            text = f"{finding['rule']}: {finding['text']}"
            output.print(f"seed {result['seed']}: {text}", soft_wrap=True)
    output.print(f"{len(results)} runs, {len(failed)} with a broken rule")


if __name__ == "__main__":
    sys.exit(main())
