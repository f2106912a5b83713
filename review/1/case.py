"""After a hand-over of the lead a task is started again while it runs."""

import asyncio
import itertools
import json
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))

import cases
import deployment

# All but the last digit of the jobs' ids.
JOB = "5c0e7a21d94b36f"
JOBS = 8
# "executor's own steady clock, which may be 2% slow"
CLOCK_RATE = 0.98
# Time in which the leader uses the executors before the hand-over.
LOAD_S = 72.0
CUT_S = 4.0
# srv_cut: share (.2)
CUT_EXECUTORS = 6
# The longest work of the site: work_ms max 3,600.
WORK_MS = 3600
LOAD_WORK_MS = 200
PATIENCE_MS = 20_000


def body(count, work_ms):
    """Return a job of some equal tasks."""
    return {
        "spec": json.dumps([6800, work_ms]),
        "bestEffort": True,
        "steps": [
            {"count": count, "cpu": 6800, "memMb": 64, "estimatedMs": work_ms}
        ],
    }


async def load(scene):
    """Hand in short jobs, so that every executor is in use."""
    numbers = itertools.count(1)

    async def one(front):
        while True:
            job = f"{next(numbers):016x}"
            try:
                await deployment.call(
                    scene.hosts.front(front),
                    "POST",
                    deployment.PREFIX + job,
                    body(8, LOAD_WORK_MS),
                    timeout_s=3.0,
                )
            except OSError:
                await asyncio.sleep(1.3)

    await asyncio.gather(*(one(n % 4) for n in range(4)))


async def play(scene):
    """Stop the leader while executors don't reach its successor."""
    hosts, workers = scene.hosts, scene.workers
    for worker in workers:
        worker.rate = CLOCK_RATE
        worker.caller_of = hosts.caller_of
    await scene.begin()
    background = asyncio.create_task(load(scene))
    await asyncio.sleep(LOAD_S)
    leader = await hosts.leader()
    if leader is None:
        raise deployment.CannotRunError("no leader")
    posts = []
    for number in range(JOBS):
        posts.append(
            asyncio.create_task(
                scene.submit(
                    number % 4,
                    f"{JOB}{number}",
                    body(2, WORK_MS),
                    PATIENCE_MS,
                )
            )
        )
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.3)
    background.cancel()
    busy = [
        worker
        for worker in workers
        if any(run.task.startswith(JOB) for run in worker.runs.values())
    ]
    busy.sort(
        key=lambda worker: min(
            run.task for run in worker.runs.values() if JOB in run.task
        )
    )
    if len(busy) < CUT_EXECUTORS:
        raise deployment.CannotRunError("the jobs didn't start")
    others = [host for host in hosts.controls if host != leader]
    if cases.HAS_TROUBLE:
        # Each loses the path to one control host, so that some lose the one
        # to the next leader, whichever that is.
        for number, worker in enumerate(busy[:CUT_EXECUTORS]):
            host = others[number % 2]
            worker.no_path = {host}
            text = f"{worker.name} has no path to {hosts.name(host)}"
            scene.record.add("trouble", text)
    await asyncio.sleep(0.7)
    hosts.signal(leader, signal.SIGTERM)
    await hosts.processes[leader].wait()
    await hosts.start(leader, is_founding=False)
    await asyncio.sleep(CUT_S - 1.5)
    for worker in busy[:CUT_EXECUTORS]:
        worker.no_path = set()
    await asyncio.sleep(5.0)
    for post in posts:
        post.cancel()
    for worker in workers:
        await worker.close()
    return scene.is_once()


if __name__ == "__main__":
    cases.run(
        __file__,
        play,
        zones={"control": ["a", "b", "c"], "entry": ["a", "a", "b", "c"]},
        count=30,
        finds_callers=False,
    )
