"""Check the guarantees of a run against the executors' start records."""

import collections
import json
import pathlib
import typing

from loadtool import drive

FINAL_OUTCOMES = {"complete", "failed", "not_run", "outcome_unknown"}
OUTCOME_BY_STATUS = {
    200: "complete",
    202: "running",
    502: "failed",
    503: "not_run",
    504: "outcome_unknown",
}


class Verdict(typing.NamedTuple):
    """Counts of a run.

    Each of these is a violated guarantee and must be 0:

    - ``lost``: responses without a final outcome, and jobs reported as
      complete of which a task was never started
    - ``doubled``: tasks that aren't idempotent and were started twice
    - ``partial``: responses of complete jobs with missing results
    - ``crossed``: responses with a result of another task
    - ``false_not_run``: jobs reported as not run that were started
    - ``unlike``: jobs reported as complete to one caller and as failed
      to another

    ``over_ideal_ms`` holds the latency above the longest task's run
    time, in ascending order, of jobs sent once and completed.
    """

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
    def violations(self) -> dict[str, int]:
        """The violated guarantees with their counts."""
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


class StartCounts(typing.NamedTuple):
    """Task starts and refusals that the stand-in executors recorded.

    ``by_mark`` counts the starts of each task by the ``mark`` in its
    payload.
    """

    by_mark: dict[str, int]
    starts: int
    refusals: int


def read_starts(path: pathlib.Path) -> StartCounts:
    """Read the stand-in executors' start records, one JSON object a line."""
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
    return StartCounts(dict(by_mark), starts, refusals)


def check_run(
    submissions: typing.Sequence[drive.Submission], path: pathlib.Path
) -> Verdict:
    """Compare the responses to callers with the recorded task starts.

    :param path: the file of start records
    """
    starts = read_starts(path)
    counts: collections.Counter[str] = collections.Counter()
    over_ideal = []
    for each in submissions:
        _check_submission(each, starts, counts)
        first = each.responses[0]
        if len(each.responses) == 1 and first.status == 200:
            elapsed_ms = (each.ended_at - each.started_at) * 1000
            over_ideal.append(elapsed_ms - each.ideal_ms)
    tasks = sum(len(each.payloads) for each in submissions)
    return Verdict(
        jobs=len(submissions),
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


def _check_submission(
    submission: drive.Submission,
    starts: StartCounts,
    counts: collections.Counter[str],
) -> None:
    marks = [payload["mark"] for payload in submission.payloads]
    started = [starts.by_mark.get(mark, 0) for mark in marks]
    if not submission.is_idempotent:
        counts["doubled"] += sum(n > 1 for n in started)
    outcomes = []
    for response in submission.responses:
        outcome = _outcome(response.status, response.body)
        outcomes.append(outcome)
        if outcome == "complete":
            _check_results(submission, response.body, started, counts)
    counts[outcomes[0]] += 1
    # A caller with an idempotency key can retry, so it must receive a final
    # outcome. Without a key, a failed connection is no violation.
    allowed = (
        FINAL_OUTCOMES if submission.key else FINAL_OUTCOMES | {"unreachable"}
    )
    counts["lost"] += sum(outcome not in allowed for outcome in outcomes)
    if all(outcome == "not_run" for outcome in outcomes) and any(started):
        counts["false_not_run"] += 1
    final = {outcome for outcome in outcomes if outcome in FINAL_OUTCOMES}
    if {"complete", "failed"} <= final:
        counts["unlike"] += 1


def _outcome(status: int, body: dict[str, typing.Any]) -> str:
    if status == 0:
        return "unreachable"
    if status in (429, 503):
        return "not_run"
    return str(
        body.get("outcome") or OUTCOME_BY_STATUS.get(status, f"http_{status}")
    )


def _check_results(
    submission: drive.Submission,
    body: dict[str, typing.Any],
    started: list[int],
    counts: collections.Counter[str],
) -> None:
    results = body.get("results")
    if not isinstance(results, list) or len(results) != len(
        submission.payloads
    ):
        counts["partial"] += 1
        return
    for payload, result in zip(submission.payloads, results, strict=True):
        if not isinstance(result, dict) or result.get("echo") != payload:
            counts["crossed"] += 1
            return
    if not all(started):
        counts["lost"] += 1
