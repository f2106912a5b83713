"""Case 14: a start order of a former leader is carried out late.

Exits with 1 if TWICE is broken, 0 if it holds, 2 if the case can't run.
"""

import json
import os
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from lib_3 import world

FOLDER = pathlib.Path(__file__).resolve().parent
EXECUTORS = 8
# The longest work of the site.
WORK_MS = 3_600
PATIENCE_S = 15.0
SETTLE_S = 5.0
# After the job was sent: the start has been given up by then.
STOP_AFTER_S = 0.6
CRASH_AFTER_S = 1.2
# Differences below the resolution of the record, seconds.
RESOLUTION_S = 0.02


def submit(deployment: world.World) -> None:
    """Hand a job of one task in and wait for its answer."""
    name, job = deployment.entries[0], world.new_id()
    deployment.record.add("sent", name, job)
    status, body = deployment.call(
        name,
        "front",
        "POST",
        f"/peek/{job}",
        world.job(count=1, cpu=2_000, work_ms=WORK_MS),
        timeout_s=PATIENCE_S,
    )
    deployment.record.add("answered", name, job, status, body.decode())


def runs(deployment: world.World) -> list[tuple[float, float, str, int, str]]:
    """Return begin, end, executor, number and task of each run."""
    found, begun = [], {}
    for line in deployment.runs.open():
        at, event, name, task, number, _ = json.loads(line)
        if event == "start":
            begun[name, task, number] = at
        elif event == "end":
            began_at = begun.pop((name, task, number), None)
            if began_at is not None:
                found.append((began_at, at, name, number, task))
    return sorted(found)


def overlaps(deployment: world.World) -> list[tuple]:
    """Return the pairs of runs of one task that were there together."""
    rows = runs(deployment)
    return [
        (task, first, second, round(min(end, other_end) - other_begin, 3))
        for index, (_, end, first, _, task) in enumerate(rows)
        for other_begin, other_end, second, _, other in rows[index + 1 :]
        if task == other and min(end, other_end) > other_begin + RESOLUTION_S
    ]


def play(deployment: world.World) -> int:
    """Play the case; return the exit code."""
    is_troubled = os.environ.get("TROUBLE") != "0"
    deployment.start_hosts()
    name = deployment.start_executors(
        "north", count=EXECUTORS, module="lib_3.lateorders"
    )
    routes = [world.route("peek", timeoutMs=60_000, targetLatencyMs=5_000)]
    if not deployment.put_config(world.config(1, routes)):
        raise world.CannotRunError("the configuration isn't accepted")
    deployment.await_ready()
    leader = deployment.leader()
    time.sleep(SETTLE_S)
    if is_troubled:
        deployment.signal(name, signal.SIGUSR1)
        time.sleep(0.1)
    caller = threading.Thread(target=submit, args=(deployment,), daemon=True)
    caller.start()
    time.sleep(STOP_AFTER_S)
    # Planned work: the leader is stopped, and another one follows.
    deployment.signal(leader, signal.SIGTERM)
    time.sleep(CRASH_AFTER_S - STOP_AFTER_S)
    if is_troubled:
        deployment.signal(name, signal.SIGUSR2)
    caller.join()
    time.sleep(1.0)
    if is_troubled and '"late order"' not in deployment.runs.read_text():
        raise world.CannotRunError("no order was carried out late")
    found = overlaps(deployment)
    for row in found:
        deployment.record.add("twice", *row)
    print(f"together: {found}")
    return int(bool(found))


if __name__ == "__main__":
    sys.exit(world.main(FOLDER, play))
