"""A task is started again while its leaving executor still runs it."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))

import cases
import deployment
import proxies

JOB = "5c0e7a21d94b36f8"
# The bound of the site: drainMs 2,000.
DRAIN_S = 2.0
# The longest work of the site: work_ms max 3,600.
WORK_MS = 3600
PATIENCE_MS = 30_000
# A packet that is lost once is sent again after the least time of TCP.
RETRANSMIT_S = 0.2
BODY = {
    "spec": f"[6800, {WORK_MS}]",
    "bestEffort": True,
    "steps": [{"count": 1, "cpu": 6800, "memMb": 64, "estimatedMs": WORK_MS}],
}


async def leave(worker, scene):
    """Leave as planned: drain, deregister, end once that is acknowledged."""
    node = await worker.drain()
    link = proxies.DelayingLink(
        listen=(f"{scene.hosts.block}.201", node[1]), target=node
    )
    await link.open()
    await asyncio.sleep(DRAIN_S + 0.2)
    if cases.HAS_TROUBLE:
        text = "the next packet to the executor is lost once"
        scene.record.add("trouble", text)
        link.delay_s = RETRANSMIT_S
    scene.record.add(worker.name, "sends deregister")
    answer = await deployment.call(
        (f"{scene.hosts.block}.201", node[1]),
        "POST",
        f"/v1/instances/{worker.id}/deregister",
        {},
    )
    scene.record.add(worker.name, f"deregister answered {answer.status}, ends")
    await worker.close()
    await link.cut()


async def play(scene):
    """Let the executor leave that runs a job's task."""
    await scene.begin()
    post = asyncio.create_task(scene.submit(0, JOB, BODY, PATIENCE_MS))
    await scene.until_started(1)
    await asyncio.sleep(0.2)
    (busy,) = [worker for worker in scene.workers if worker.runs]
    await leave(busy, scene)
    await asyncio.sleep(6.0)
    post.cancel()
    for worker in scene.workers:
        if worker.is_up:
            await worker.close()
    return scene.is_once()


if __name__ == "__main__":
    cases.run(
        __file__,
        play,
        zones={"control": ["a", "b", "c"], "entry": ["a", "b", "c"]},
        count=8,
        finds_callers=False,
    )
