"""Chooses an executor for a task: the tightest fit, then the fastest."""

import typing

from chervilwheel import ids
from chervilwheel.workers import executors
from chervilwheel.workers import work

# Upper bound of the protocol: outside the rack of its data, a task takes at
# most twice as long.
REMOTE_DATA_COST = 2.0


def choose(
    candidates: typing.Iterable[executors.Executor],
    task: work.TaskId,
    step: work.Step,
    service: ids.ServiceId,
) -> executors.Executor | None:
    """Return the best executor for a task, or None if none fits.

    :param candidates: executors that may start runs
    """
    best = None
    best_cost = 0.0
    needed = step.room
    for executor in candidates:
        report = executor.report
        if report.service != service:
            continue
        free = executor.free
        if not free.holds(needed):
            continue
        if step.required_label and step.required_label not in report.labels:
            continue
        if step.most_together:
            count = executors.count_step_runs(executor.runs.values(), task)
            if count >= step.most_together:
                continue
        cost = (free.cpu - needed.cpu) / max(1, needed.cpu) / executor.speed
        if step.preferred_rack and step.preferred_rack not in report.labels:
            cost += REMOTE_DATA_COST * 10
        if best is None or cost < best_cost:
            best, best_cost = executor, cost
    return best


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
