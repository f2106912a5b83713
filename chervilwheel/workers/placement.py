"""Choose an executor for a task: the tightest fit, then the fastest."""

import typing

from chervilwheel import ids
from chervilwheel.workers import executors
from chervilwheel.workers import work

# A rack without the data doubles the work at worst (protocol bound).
FAR_COST = 2.0


def choose(
    candidates: typing.Iterable[executors.Executor],
    task: work.TaskId,
    step: work.Step,
    service: ids.ServiceId,
) -> executors.Executor | None:
    """Return the executor that is best for a task, None when none fits.

    :param candidates: executors that may start runs
    """
    best = None
    best_cost = 0.0
    need = step.room
    for each in candidates:
        report = each.report
        if report.service != service:
            continue
        free = each.free
        if not free.holds(need):
            continue
        if step.required_label and step.required_label not in report.labels:
            continue
        if step.most_together:
            count = executors.together(each.runs.values(), task)
            if count >= step.most_together:
                continue
        cost = (free.cpu - need.cpu) / max(1, need.cpu) / each.speed
        if step.preferred_rack and step.preferred_rack not in report.labels:
            cost += FAR_COST * 10
        if best is None or cost < best_cost:
            best, best_cost = each, cost
    return best
