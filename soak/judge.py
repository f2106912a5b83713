"""Rules, checked on what executors and callers have seen."""

import collections
import dataclasses
import itertools
import json
import math
import pathlib
import typing

from soak import callers

# Differences below the resolution of the record, seconds.
RESOLUTION_S = 0.001
# A host counts as disturbed until this long after a fault.
CONTACT_S = 3.0
# From a cancel's acknowledgement until nothing of the job starts.
CANCEL_S = 3.0
# The same until nothing of the job runs.
STOPPED_S = CANCEL_S + 0.05
# From the acknowledgement that an executor drains until nothing starts there.
DRAIN_S = 2.0
# From a job's submission until it is shown everywhere.
VISIBLE_S = 3.0


class Run(typing.NamedTuple):
    """A run of a task on an executor; it ends at infinity while it runs.

    :ivar end: how it ended
    """

    task: str
    number: int
    executor: str
    began_at: float
    ended_at: float
    end: str = ""

    @property
    def job(self) -> str:
        """The id of its job."""
        return self.task.partition(".")[0]

    def __str__(self) -> str:
        """Describe it."""
        return (
            f"{self.task} on {self.executor} (run {self.number}, "
            f"{self.began_at:.3f} to {self.ended_at:.3f})"
        )


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """A time in which a fault acted on a host or on one of its links.

    :ivar host: name of a host or an executor
    """

    host: str
    began_at: float
    ended_at: float
    is_of_host: bool = True


class Finding(typing.NamedTuple):
    """A broken rule."""

    rule: str
    text: str


def read_runs(path: pathlib.Path) -> list[Run]:
    """Read the executors' record."""
    rows = [json.loads(line) for line in path.read_text().splitlines()]
    ends = {tuple(row[2:5]): row for row in rows if row[1] == "end"}
    found = []
    for at, event, name, task, number, _ in rows:
        if event == "start":
            row = ends.get((name, task, number), [math.inf, ""])
            found.append(Run(task, number, name, at, row[0], row[-1]))
    return found


def _by_job(items: typing.Iterable[typing.Any]) -> dict[str, list]:
    found = collections.defaultdict(list)
    for item in items:
        found[item.job].append(item)
    return found


def is_calm(
    disturbances: typing.Iterable[Disturbance],
    began_at: float,
    ended_at: float,
    hosts: typing.Container[str] | None = None,
) -> bool:
    """Whether no fault acted in a time or shortly before.

    :param hosts: the hosts that matter, all if None
    """
    return not any(
        (hosts is None or each.host in hosts)
        and each.began_at <= ended_at
        and began_at <= each.ended_at + CONTACT_S
        for each in disturbances
    )


def check_twice(runs: typing.Iterable[Run]) -> list[Finding]:
    """TWICE: no task runs twice at the same time."""
    by_task = collections.defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    found = []
    for each in by_task.values():
        each.sort(key=lambda run: run.began_at)
        last = each[0]
        for run in each[1:]:
            overlap_s = min(last.ended_at, run.ended_at) - run.began_at
            if overlap_s > RESOLUTION_S:
                text = f"{last} and {run}: {overlap_s:.3f} s together"
                found.append(Finding("TWICE", text))
            last = max(last, run, key=lambda run: run.ended_at)
    return found


def check_refused(
    runs: typing.Iterable[Run], attempts: typing.Iterable[callers.Attempt]
) -> list[Finding]:
    """REFUSED: no task starts of a job that was refused each time."""
    statuses = collections.defaultdict(set)
    for attempt in attempts:
        if attempt.method == callers.SUBMIT:
            statuses[attempt.job].add(attempt.status)
    return [
        Finding("REFUSED", str(run))
        for run in runs
        if (seen := statuses[run.job]) and seen.issubset(callers.REFUSED)
    ]


def _recorded_until(
    runs: typing.Iterable[Run], attempts: typing.Iterable[callers.Attempt]
) -> float:
    """Return the latest time that a run or an attempt is recorded with."""
    times = [each.sent_at for each in attempts]
    for run in runs:
        times += [run.began_at, run.ended_at]
    return max(filter(math.isfinite, times), default=0.0)


def check_cancels(
    runs: typing.Collection[Run],
    attempts: typing.Collection[callers.Attempt],
    disturbances: typing.Collection[Disturbance],
) -> list[Finding]:
    """UNASKED: what is cancelled doesn't start, and doesn't run on.

    :param disturbances: those of executors excuse a run that goes on
    """
    cancelled_at: dict[str, float] = {}
    for each in attempts:
        is_settled = each.status in (callers.OK, callers.GONE)
        if each.method == callers.CANCEL and is_settled:
            at = cancelled_at.get(each.job, math.inf)
            cancelled_at[each.job] = min(at, each.ended_at)
    # A run without an end may have been stopped as the record ended.
    recorded_until = _recorded_until(runs, attempts)
    found = []
    for run in runs:
        at = cancelled_at.get(run.job, math.inf)
        if run.began_at > at + CANCEL_S:
            if _may_start(disturbances, run):
                continue
            what = f"began {run.began_at - at:.3f} s after its cancel"
        elif min(run.ended_at, recorded_until) > at + STOPPED_S and is_calm(
            disturbances, at, at + STOPPED_S
        ):
            what = f"runs {STOPPED_S} s after its cancel"
        else:
            continue
        found.append(Finding("UNASKED", f"{run} {what}"))
    return found


def _may_start(disturbances: typing.Iterable[Disturbance], run: Run) -> bool:
    """Whether faults of hosts excuse a start that is too late."""
    of_hosts = [each for each in disturbances if each.is_of_host]
    return not is_calm(of_hosts, run.began_at, run.began_at)


def check_drains(
    runs: typing.Iterable[Run],
    drains: typing.Mapping[str, float],
    disturbances: typing.Collection[Disturbance],
) -> list[Finding]:
    """DRAIN: nothing starts on an executor that has long been draining.

    :param drains: when that was acknowledged, by executor
    """
    return [
        Finding("DRAIN", f"{run}, draining since {drains[run.executor]:.3f}")
        for run in runs
        if run.began_at > drains.get(run.executor, math.inf) + DRAIN_S
        and not _may_start(disturbances, run)
    ]


def check_starts(
    runs: typing.Iterable[Run], jobs: typing.Mapping[str, callers.Job]
) -> list[Finding]:
    """UNASKED and ORDER: what runs was handed in, and its turn has come."""
    found = []
    for name, each in _by_job(runs).items():
        steps = jobs[name].tasks if name in jobs else []
        for run in each:
            number = int(run.task.split(".")[2])
            if number >= len(steps) or run.task not in steps[number]:
                found.append(Finding("UNASKED", f"{run} is of no job"))
                continue
            after = jobs[name].steps[number].after
            done = _count_ends(each, "done", run.began_at)
            if after is not None and not done.keys() >= set(steps[after]):
                found.append(Finding("ORDER", f"{run} before step {after}"))
    return found


def _count_ends(
    runs: typing.Iterable[Run], end: str, until: float
) -> collections.Counter[str]:
    """Count the runs of each task that have ended in one way."""
    return collections.Counter(
        run.task for run in runs if run.end == end and run.ended_at <= until
    )


def check_states(
    runs: typing.Iterable[Run],
    attempts: typing.Iterable[callers.Attempt],
    jobs: typing.Mapping[str, callers.Job],
    disturbances: typing.Collection[Disturbance],
    fewest_failures: typing.Callable[[float, float], int],
) -> list[Finding]:
    """MIXED and LOST: no answer tells a state that isn't so.

    :param fewest_failures: returns the number of failed runs of one task
        after which a job may be failed, from its submission to an answer
    """
    runs_by_job = _by_job(runs)
    found = []
    for name, each in _by_job(attempts).items():
        of_job = runs_by_job.get(name, [])
        for attempt in each:
            rule, text = "LOST", ""
            if attempt.state == "completed":
                done = _count_ends(of_job, "done", attempt.ended_at)
                tasks = itertools.chain.from_iterable(jobs[name].tasks)
                missing = set(tasks) - done.keys()
                if missing:
                    rule, text = "MIXED", f"{sorted(missing)} not done"
            elif attempt.state in ("failed", "cancelled"):
                times = each[0].sent_at, attempt.ended_at
                limit = callers.MIN_FAILURES
                if is_calm(disturbances, *times):
                    limit = fewest_failures(*times)
                text = _why_wrong(of_job, each, attempt, limit)
            elif attempt.status == callers.GONE:
                text = _why_known(of_job, each, attempt)
            if text:
                where = f"at {attempt.host} from {attempt.sent_at:.3f}"
                what = f"{attempt.method} {name} {attempt.state or 'absent'}"
                found.append(Finding(rule, f"{what} {where}: {text}"))
    return found


def _why_wrong(
    runs: list[Run],
    attempts: list[callers.Attempt],
    attempt: callers.Attempt,
    limit: int,
) -> str:
    is_cancelled = any(
        each.method == callers.CANCEL and each.sent_at <= attempt.ended_at
        for each in attempts
    )
    if attempt.state == "cancelled":
        return "" if is_cancelled else "nobody has cancelled it"
    counts = _count_ends(runs, "failed", attempt.ended_at)
    most = max(counts.values(), default=0)
    if most >= limit:
        return ""
    return f"no task has failed more than {most} times, {limit} are needed"


def _why_known(
    runs: list[Run],
    attempts: list[callers.Attempt],
    attempt: callers.Attempt,
) -> str:
    """Return why a job can't be absent, empty if it can.

    A job whose caller has left or cancelled it may be stopped at any time.
    """
    earlier = [each for each in attempts if each.sent_at <= attempt.ended_at]
    is_abandoned = any(
        each.method == callers.CANCEL
        or (each.status is None and each.ended_at)
        for each in earlier
        if each is not attempt
    )
    began_at = min(each.sent_at for each in earlier)
    if is_abandoned or began_at > attempt.sent_at - VISIBLE_S:
        return ""
    return ", ".join(
        str(run)
        for run in runs
        if run.began_at <= attempt.sent_at and run.ended_at >= attempt.ended_at
    )


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
            f"{attempt.method} {attempt.job} at {attempt.host} got no "
            f"answer from "
            f"{attempt.sent_at:.3f} to {attempt.ended_at:.3f}",
        )
        for attempt in attempts
        if attempt.status == 0
        and is_calm(
            disturbances,
            attempt.sent_at,
            attempt.ended_at,
            None if attempt.is_timed_out else (attempt.host,),
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
