"""Chooses an executor for a task: the rack of its data, the tightest fit."""

import typing

from chervilwheel.workers import executors
from chervilwheel.workers import speedneeds
from chervilwheel.workers import work

# Bounds the cost of a start when only slow executors have room.
MAX_SLOW_CANDIDATES = 32


def choose(
    candidates: typing.Iterable[executors.Executor],
    task: work.TaskId,
    step: work.Step,
    *,
    is_risky: bool = False,
    need: speedneeds.SpeedNeed = speedneeds.ANY_SPEED,
) -> executors.Executor | None:
    """Return the best executor for a task, or None if none fits.

    :param candidates: executors of the service that may start runs, the one
        with the least free CPU first
    :param is_risky: whether the task is of a queue whose tasks may crash
        executors
    :param need: speeds at which its job is answered in time
    """
    best = None
    best_rank = (True, True, True)
    passed = 0
    for executor in candidates:
        labels = executor.report.labels
        if not executor.free.holds(step.room):
            continue
        if step.required_label and step.required_label not in labels:
            continue
        if step.most_together:
            count = executors.count_step_runs(executor.runs.values(), task)
            if count >= step.most_together:
                continue
        is_far = step.preferred_rack not in ("", *labels)
        is_slow = executor.speed < need.preferred
        passed += is_slow
        if passed > MAX_SLOW_CANDIDATES:
            break
        if executor.speed < need.least:
            continue
        rank = (_mixes_risks(executor, is_risky), is_slow, is_far)
        if rank == (False, False, False):
            return executor
        if best is None or rank < best_rank:
            best, best_rank = executor, rank
    return best


def _mixes_risks(executor: executors.Executor, is_risky: bool) -> bool:
    """Return whether a crash would hit tasks of other queues."""
    if is_risky:
        return len(executor.runs) > executor.risky_runs
    return executor.risky_runs > 0


def count_places(
    candidates: typing.Iterable[executors.Executor], job: work.Job
) -> int:
    """Count the executors with free resources for a task of the first step.

    :param candidates: executors that may start runs
    """
    return sum(
        executor.report.service == job.service
        and executor.free.holds(job.steps[0].room)
        for executor in candidates
    )
