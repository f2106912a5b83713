"""Judge a run from the stand-ins' own start records."""

import collections
import json
import pathlib
import typing

from loadtool import drive

FINAL = {"complete", "failed", "not_run", "outcome_unknown"}
STATUS = {
    200: "complete",
    202: "running",
    502: "failed",
    503: "not_run",
    504: "outcome_unknown",
}


class Verdict(typing.NamedTuple):
    """Counts of a run; all of the promises must be 0."""

    jobs: int
    tasks: int
    answered: int
    failed: int
    not_run: int
    outcome_unknown: int
    unreachable: int
    lost: int
    doubled: int
    partial: int
    crossed: int
    false_not_run: int
    unlike: int
    starts: int
    refusals: int
    extra_starts: int
    over_ideal_ms: tuple[float, ...]

    @property
    def broken(self) -> dict[str, int]:
        """The promises that did not hold."""
        names = (
            "lost",
            "doubled",
            "partial",
            "crossed",
            "false_not_run",
            "unlike",
        )
        table = self._asdict()
        return {name: table[name] for name in names if table[name]}


class Starts(typing.NamedTuple):
    """What the stand-ins noted, by mark of the task's payload."""

    by_mark: dict[str, int]
    starts: int
    refusals: int


def read_starts(path: pathlib.Path) -> Starts:
    """Read the stand-ins' records."""
    by_mark: collections.Counter[str] = collections.Counter()
    starts = refusals = 0
    if path.exists():
        for line in path.read_text().splitlines():
            try:
                record = json.loads(line)
            except ValueError:
                continue
            if record["what"] == "started":
                starts += 1
                by_mark[record["mark"]] += 1
            else:
                refusals += 1
    return Starts(dict(by_mark), starts, refusals)


def judge(sent: typing.Sequence[drive.Sent], path: pathlib.Path) -> Verdict:
    """Compare what callers heard with what was started."""
    starts = read_starts(path)
    counts: collections.Counter[str] = collections.Counter()
    over_ideal = []
    for each in sent:
        _judge_one(each, starts, counts)
        first = each.answers[0]
        if len(each.answers) == 1 and first.status == 200:
            took_ms = (each.ended_at - each.began_at) * 1000
            over_ideal.append(took_ms - each.ideal_ms)
    tasks = sum(len(each.payloads) for each in sent)
    return Verdict(
        jobs=len(sent),
        tasks=tasks,
        answered=counts["complete"],
        failed=counts["failed"],
        not_run=counts["not_run"],
        outcome_unknown=counts["outcome_unknown"],
        unreachable=counts["unreachable"],
        lost=counts["lost"],
        doubled=counts["doubled"],
        partial=counts["partial"],
        crossed=counts["crossed"],
        false_not_run=counts["false_not_run"],
        unlike=counts["unlike"],
        starts=starts.starts,
        refusals=starts.refusals,
        extra_starts=sum(n - 1 for n in starts.by_mark.values()),
        over_ideal_ms=tuple(sorted(over_ideal)),
    )


def _judge_one(
    each: drive.Sent,
    starts: Starts,
    counts: collections.Counter[str],
) -> None:
    marks = [payload["mark"] for payload in each.payloads]
    started = [starts.by_mark.get(mark, 0) for mark in marks]
    if not each.is_idempotent:
        counts["doubled"] += sum(n > 1 for n in started)
    outcomes = []
    for reply in each.answers:
        outcome = _outcome(reply.status, reply.table)
        outcomes.append(outcome)
        if outcome == "complete":
            _judge_results(each, reply.table, started, counts)
    counts[outcomes[0]] += 1
    # Whoever can send again under a key must hear an outcome in the end.
    known = FINAL if each.key else FINAL | {"unreachable"}
    counts["lost"] += sum(outcome not in known for outcome in outcomes)
    if all(outcome == "not_run" for outcome in outcomes) and any(started):
        counts["false_not_run"] += 1
    said = {outcome for outcome in outcomes if outcome in FINAL}
    if {"complete", "failed"} <= said:
        counts["unlike"] += 1


def _outcome(status: int, table: dict[str, typing.Any]) -> str:
    if status == 0:
        return "unreachable"
    if status in (429, 503):
        return "not_run"
    return str(table.get("outcome") or STATUS.get(status, f"http_{status}"))


def _judge_results(
    each: drive.Sent,
    table: dict[str, typing.Any],
    started: list[int],
    counts: collections.Counter[str],
) -> None:
    results = table.get("results")
    if not isinstance(results, list) or len(results) != len(each.payloads):
        counts["partial"] += 1
        return
    for payload, result in zip(each.payloads, results, strict=True):
        if not isinstance(result, dict) or result.get("echo") != payload:
            counts["crossed"] += 1
            return
    if not all(started):
        counts["lost"] += 1
