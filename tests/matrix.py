"""The fault matrix: every fault at every step of a task, and pairs.

``python -m tests.matrix`` writes docs/FAULTS.md from the run.
"""

import collections
import contextlib
import enum
import pathlib
import sys
import zlib

from chervilwheel import errors
from chervilwheel import jobs
from tests import harness

FAULT_S = 2.5
SETTLE_S = 14.0
DAY_S = 86_400.0
HEALTHY = {"loss": 0.0, "duplicate": 0.0, "most_delay_s": 0.02}
PAGE = pathlib.Path(__file__).parent.parent / "docs" / "FAULTS.md"


def _leader(world):
    return world.leader() or next(iter(world.nodes.values()))


def _later(world, seconds, action):
    # The heap of an instance dies with it; these belong to the world.
    world.later.append((world.clock.now() + seconds, action))


def _kill_entry(world):
    world.entries[0].kill()


def _restart_entry(world):
    world.entries[0].kill()
    _later(world, 0.3, world.entries[0].start)


def _pause_entry(world):
    world.entries[0].paused_until = world.clock.now() + FAULT_S


def _kill_keeper(world):
    node = _leader(world)
    if node.is_up:
        node.crash()
        _later(world, FAULT_S, lambda: _restart_keeper(node))


def _restart_keeper(node):
    # A keeper whose disk is full ends with an error and stays down.
    if not node.is_up:
        with contextlib.suppress(errors.StorageError):
            node.start()


def _lose_host(world):
    node = _leader(world)
    if any(each.wipes for each in world.nodes.values()) or not node.is_up:
        # A second disk is lost only after the first is repaired.
        return
    node.crash()
    node.wipe()
    _later(world, FAULT_S, lambda: _restart_keeper(node))


def _full_disk(world):
    _leader(world).disk.is_full = True


def _failing_sync(world):
    _leader(world).disk.fails_sync = True


def _cut(direction):
    def fault(world):
        name = world.entries[0].name
        world.net.isolate(name, list(world.nodes), direction=direction)
        _later(world, FAULT_S, world.net.cuts.clear)

    return fault


def _cut_keeper(world):
    node = _leader(world)
    others = [name for name in world.nodes if name != node.name]
    world.net.isolate(node.name, others, direction="in")
    _later(world, FAULT_S, world.net.cuts.clear)


def _silent(world):
    world.silent_until = world.clock.now() + FAULT_S


def _network(**values):
    def fault(world):
        for name, value in values.items():
            setattr(world.net, name, value)

        def heal():
            for name in values:
                setattr(world.net, name, HEALTHY[name])

        _later(world, FAULT_S, heal)

    return fault


def _clock_jump(world):
    world.clock.jump_wall(DAY_S)


def _bad_worker(world):
    world.endpoint_modes["e0"] = "fail"


def _straggler(world):
    world.endpoint_modes["e0"] = "straggler"


def _burst(world):
    for number in range(20):
        key = f"burst-{number}"
        spec = harness.job_spec(key)
        world.specs[key] = spec
        world.submit(world.entries[1], key, spec=spec)


def _cancel_wave(world):
    world.cancelled.add("job")
    for entry in world.entries:
        if entry.is_up:
            with contextlib.suppress(harness.KilledError):
                entry.runs.cancel("job", harness.TEAM, lambda reply: None)


def _resubmit(world):
    world.submit(world.entries[1], "job", spec=world.specs["job"])


def _false_sizes(world):
    spec = harness.job_spec("big", run_time_ms=1_000_000)
    world.specs["big"] = spec
    world.submit(world.entries[1], "big", spec=spec)


FAULTS = {
    "process killed": _kill_entry,
    "process restarted": _restart_entry,
    "host paused and back": _pause_entry,
    "keeper killed": _kill_keeper,
    "host lost with its disk": _lose_host,
    "disk full": _full_disk,
    "sync failing": _failing_sync,
    "link cut both ways": _cut("both"),
    "link cut one way, in": _cut("in"),
    "link cut one way, out": _cut("out"),
    "leader hears nothing": _cut_keeper,
    "silent connection": _silent,
    "loss": _network(loss=0.3),
    "delay": _network(most_delay_s=0.5),
    "duplicate": _network(duplicate=1.0),
    "reorder": _network(most_delay_s=0.1, duplicate=0.3),
    "clock jump": _clock_jump,
    "bad worker": _bad_worker,
    "straggler": _straggler,
    "burst": _burst,
    "cancellation wave": _cancel_wave,
    "false sizes": _false_sizes,
    "resubmission elsewhere": _resubmit,
}

# These take the majority of the three disks away for good when they come
# together; the group then stops, and nothing is answered as done.
DISKS = {"disk full", "sync failing", "host lost with its disk"}


class Kind(enum.Enum):
    """How a job's tasks are declared and how their starts are synced."""

    EARLY = "once, intents with the claim"
    APART = "once, intents one by one"
    IDEMPOTENT = "idempotent"


ONLY_APART = "intent synced"


class MatrixWorld(harness.Cluster):
    """A cluster whose faults heal by the clock."""

    def __init__(self, **kwargs):
        self.later = []
        self.specs = {}
        self.cancelled = set()
        super().__init__(**kwargs)

    def step(self, seconds=0.005):
        super().step(seconds)
        now = self.clock.now()
        due = [item for item in self.later if item[0] <= now]
        self.later = [item for item in self.later if item[0] > now]
        for _, action in due:
            action()


def run_cell(step, faults, kind):
    """Run one cell.

    :returns: None when every promise held, else what broke
    """
    if step == ONLY_APART and kind is not Kind.APART:
        return "skipped: no intent is synced apart for this kind"
    text = "|".join([step, *faults, kind.value])
    seed = zlib.crc32(text.encode())
    # Without free slots in sight the intents are synced one by one.
    free_hint = 100 if kind is Kind.EARLY else 0
    world = MatrixWorld(seed=seed, free_hint=free_hint)
    is_idempotent = kind is Kind.IDEMPOTENT
    spec = harness.job_spec("job", is_idempotent=is_idempotent)
    world.specs["job"] = spec
    if step != "after":
        for name in faults:
            world.at(step, lambda name=name: FAULTS[name](world))
    world.submit(world.entries[0], "job", spec=spec)
    world.run(1.0, step=0.01)
    if step == "after":
        for name in faults:
            FAULTS[name](world)
    elif step not in world.reached_steps:
        return f"the step {step} was not reached"
    world.run(SETTLE_S, step=0.02)
    _resubmit(world)
    world.run(SETTLE_S, step=0.02)
    return judge(world, is_idempotent, set(faults))


def judge(world, is_idempotent, faults):
    """Check all promises from the endpoints' own records."""
    doubled = [key for key, n in world.starts.items() if n > 1]
    if doubled and not is_idempotent:
        return f"started twice: {doubled}"
    last = world.callers[-1]
    if last.problems and len(faults & DISKS) < 2:
        return f"after healing: {last.problems[0].detail}"
    return _judge_callers(world) or _judge_answers(world)


def _judge_callers(world):
    for caller in world.callers:
        if not caller.has_heard and not caller.is_lost:
            return f"{caller.key}: no answer"
        if len(caller.answers) + len(caller.problems) > 1:
            return f"{caller.key}: more than one answer"
    return None


def _judge_answers(world):
    by_key = collections.defaultdict(set)
    for caller in world.callers:
        for answer in caller.answers:
            problem = _judge_answer(world, caller.key, answer)
            if problem:
                return problem
            if answer.outcome is not jobs.Outcome.NOT_RUN:
                lasting = (answer.outcome, answer.results)
                by_key[caller.key].add(lasting)
    for key, answers in by_key.items():
        if len(answers) > 1:
            return f"{key}: answered in two ways"
    return None


def _judge_answer(world, key, answer):
    spec = world.specs[key]
    starts = [world.starts[key, n] for n in range(len(spec.tasks))]
    if answer.outcome is jobs.Outcome.COMPLETE:
        if len(answer.results) != len(spec.tasks):
            return f"{key}: partial"
        for number, result in enumerate(answer.results):
            if f'"{key}/{number}"' not in result.value:
                return f"{key}: another's answer"
        if not all(starts):
            return f"{key}: answered without a start"
    if answer.outcome is jobs.Outcome.NOT_RUN and any(starts):
        later = world.callers[-1]
        if key not in world.cancelled and later.key == key and later.answers:
            # It was claimed anew after the refusal.
            return None
        return f"{key}: said not run"
    return None


def single_cells(fault):
    """List the cells of one fault: every step and kind."""
    return [(step, (fault,), kind) for step in harness.STEPS for kind in Kind]


def pair_cells(fault):
    """List the pairs of a fault with those after it, at every step."""
    names = list(FAULTS)
    others = names[names.index(fault) + 1 :]
    return [
        (step, (fault, other), Kind.APART)
        for other in others
        for step in harness.STEPS
    ]


def run_cells(cells):
    """Run cells and keep what broke or was skipped."""
    return {cell: run_cell(*cell) for cell in cells}


def broken(results):
    """Pick what broke."""
    return {
        cell: result
        for cell, result in results.items()
        if result is not None and not result.startswith("skipped")
    }


def page(results):
    """Write the table of single faults as Markdown."""
    rows = [
        "# Fault matrix",
        "",
        "Made by `python -m tests.matrix` from the run itself; a test fails",
        "when this page is stale. Each cell brings the fault about at that",
        "step of a job of two tasks,",
        "lets it heal, sends the job again to another instance and checks",
        "every promise from the endpoints' own start records.",
        "",
        "`held`: every promise held for all three kinds of job (tasks that",
        "may run once, with intents on the claim or one by one, and",
        "idempotent ones). `held, 1`: the step occurs for one kind only.",
        "",
        "| fault | " + " | ".join(harness.STEPS) + " |",
        "|---" * (len(harness.STEPS) + 1) + "|",
    ]
    for fault in FAULTS:
        cells = [
            _cell([results[step, (fault,), kind] for kind in Kind])
            for step in harness.STEPS
        ]
        rows.append(f"| {fault} | " + " | ".join(cells) + " |")
    count = sum(len(pair_cells(fault)) for fault in FAULTS)
    rows += [
        "",
        f"Pairs: all {count} cells of two faults at the same step, for tasks",
        "that may run once only, are run by `tests/test_matrix.py`.",
        "",
    ]
    return "\n".join(rows)


def _cell(results):
    if all(each is None for each in results):
        return "held"
    if all(each is None or each.startswith("skipped") for each in results):
        return f"held, {results.count(None)}"
    return "BROKEN"


def main():
    """Run the matrix and write its page."""
    cells = [cell for fault in FAULTS for cell in single_cells(fault)]
    results = run_cells(cells)
    PAGE.parent.mkdir(exist_ok=True)
    PAGE.write_text(page(results))
    bad = broken(results)
    for cell, result in bad.items():
        print(cell, result)
    print(f"{len(results) - len(bad)} held or skipped, {len(bad)} broken")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
