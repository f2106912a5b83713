"""Rules, checked on what executors and callers have seen."""

import collections
import json
import math
import pathlib
import typing

from soak import callers

# Differences below the resolution of the record, seconds.
RESOLUTION_S = 0.001
# A host counts as disturbed until this long after a fault.
CONTACT_S = 3.0


class Run(typing.NamedTuple):
    """A run of a task on an executor; it ends at infinity while it runs."""

    task: str
    number: int
    executor: str
    began_at: float
    ended_at: float


class Disturbance(typing.NamedTuple):
    """A time in which a fault acted on a host or on one of its links."""

    host: str
    began_at: float
    ended_at: float


class Finding(typing.NamedTuple):
    """A broken rule."""

    rule: str
    text: str


def read_runs(path: pathlib.Path) -> list[Run]:
    """Read the executors' record."""
    rows = [json.loads(line) for line in path.read_text().splitlines()]
    ends = {tuple(row[2:5]): row[0] for row in rows if row[1] == "end"}
    return [
        Run(task, number, name, at, ends.get((name, task, number), math.inf))
        for at, event, name, task, number, _ in rows
        if event == "start"
    ]


def check_twice(runs: typing.Iterable[Run]) -> list[Finding]:
    """TWICE: no task runs twice at the same time."""
    by_task = collections.defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    found = []
    for task, each in by_task.items():
        each.sort(key=lambda run: run.began_at)
        last = each[0]
        for run in each[1:]:
            overlap_s = min(last.ended_at, run.ended_at) - run.began_at
            if overlap_s > RESOLUTION_S:
                text = (
                    f"{task} on {last.executor} (run {last.number}, "
                    f"{last.began_at:.3f} to {last.ended_at:.3f}) and on "
                    f"{run.executor} (run {run.number}, {run.began_at:.3f} "
                    f"to {run.ended_at:.3f}): {overlap_s:.3f} s together"
                )
                found.append(Finding("TWICE", text))
            last = max(last, run, key=lambda run: run.ended_at)
    return found


def check_refused(
    runs: typing.Iterable[Run], attempts: typing.Iterable[callers.Attempt]
) -> list[Finding]:
    """REFUSED: no task starts of a job that was refused each time."""
    statuses = collections.defaultdict(set)
    for attempt in attempts:
        statuses[attempt.job].add(attempt.status)
    return [
        Finding("REFUSED", f"{run.task} ran on {run.executor}")
        for run in runs
        if (seen := statuses[run.task.partition(".")[0]])
        and seen.issubset(callers.REFUSED)
    ]


def check_answers(
    attempts: typing.Iterable[callers.Attempt],
    disturbances: typing.Sequence[Disturbance],
) -> list[Finding]:
    """LOST: a host that nothing disturbs answers each request.

    A job may last longer than its caller waits while any host is disturbed.
    """
    return [
        Finding(
            "LOST",
            f"{attempt.job} at {attempt.host} got no answer from "
            f"{attempt.sent_at:.3f} to {attempt.ended_at:.3f}",
        )
        for attempt in attempts
        if attempt.status == 0
        and not any(
            (attempt.is_timed_out or each.host == attempt.host)
            and each.began_at <= attempt.ended_at
            and attempt.sent_at <= each.ended_at + CONTACT_S
            for each in disturbances
        )
    ]


def check_processes(unexpected_ends: typing.Iterable[str]) -> list[Finding]:
    """FAULT: no process ends by itself."""
    return [Finding("FAULT", text) for text in unexpected_ends]


def check_recovery(unserved: typing.Iterable[str]) -> list[Finding]:
    """RECOVER: every entry host serves again in time.

    :param unserved: entry hosts that didn't
    """
    return [Finding("RECOVER", f"{host} doesn't serve") for host in unserved]
