"""Fault matrix: each fault, and each pair, injected at each step of a job.

``python -m tests.matrix`` runs the single faults and writes the results to
docs/FAULTS.md.
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

FAULT_DURATION_S = 2.5
RECOVERY_S = 14.0
DAY_S = 86_400.0
HEALTHY_NETWORK = {"loss": 0.0, "duplicate": 0.0, "max_delay_s": 0.02}
PAGE = pathlib.Path(__file__).parent.parent / "docs" / "FAULTS.md"


def _leader(world):
    return world.leader() or next(iter(world.nodes.values()))


def _schedule(world, seconds, action):
    # The timers of an instance are lost when it is killed, so actions that
    # end a fault are scheduled on the cluster.
    world.scheduled.append((world.clock.now() + seconds, action))


def _kill_entry(world):
    world.entries[0].kill()


def _restart_entry(world):
    world.entries[0].kill()
    _schedule(world, 0.3, world.entries[0].start)


def _pause_entry(world):
    world.entries[0].paused_until = world.clock.now() + FAULT_DURATION_S


def _kill_keeper(world):
    node = _leader(world)
    if node.is_up:
        node.crash()
        _schedule(world, FAULT_DURATION_S, lambda: _restart_keeper(node))


def _restart_keeper(node):
    # A keeper whose disk is full fails to start and stays down.
    if not node.is_up:
        with contextlib.suppress(errors.StorageError):
            node.start()


def _lose_host_and_disk(world):
    node = _leader(world)
    if any(each.wipes for each in world.nodes.values()) or not node.is_up:
        # A second disk is lost only after the first one is restored.
        return
    node.crash()
    node.wipe()
    _schedule(world, FAULT_DURATION_S, lambda: _restart_keeper(node))


def _fill_disk(world):
    _leader(world).disk.is_full = True


def _fail_syncs(world):
    _leader(world).disk.fails_sync = True


def _isolate_entry(direction):
    def fault(world):
        name = world.entries[0].name
        world.net.isolate(name, list(world.nodes), direction=direction)
        _schedule(world, FAULT_DURATION_S, world.net.cuts.clear)

    return fault


def _isolate_leader(world):
    node = _leader(world)
    others = [name for name in world.nodes if name != node.name]
    world.net.isolate(node.name, others, direction="in")
    _schedule(world, FAULT_DURATION_S, world.net.cuts.clear)


def _silence_connections(world):
    world.silent_until = world.clock.now() + FAULT_DURATION_S


def _degrade_network(**values):
    def fault(world):
        for name, value in values.items():
            setattr(world.net, name, value)

        def restore_network():
            for name in values:
                setattr(world.net, name, HEALTHY_NETWORK[name])

        _schedule(world, FAULT_DURATION_S, restore_network)

    return fault


def _jump_wall_clock(world):
    world.clock.jump_wall(DAY_S)


def _fail_tasks(world):
    world.endpoint_modes["e0"] = "fail"


def _slow_endpoint(world):
    world.endpoint_modes["e0"] = "straggler"


def _submit_burst(world):
    for number in range(20):
        key = f"burst-{number}"
        spec = harness.job_spec(key)
        world.specs[key] = spec
        world.submit(world.entries[1], key, spec=spec)


def _cancel_job(world):
    world.cancelled.add("job")
    for entry in world.entries:
        if entry.is_up:
            with contextlib.suppress(harness.KilledError):
                entry.runs.cancel("job", harness.TEAM, lambda reply: None)


def _resubmit_elsewhere(world):
    world.submit(world.entries[1], "job", spec=world.specs["job"])


def _submit_wrong_run_time(world):
    spec = harness.job_spec("big", run_time_ms=1_000_000)
    world.specs["big"] = spec
    world.submit(world.entries[1], "big", spec=spec)


FAULTS = {
    "process killed": _kill_entry,
    "process restarted": _restart_entry,
    "host paused and back": _pause_entry,
    "keeper killed": _kill_keeper,
    "host lost with its disk": _lose_host_and_disk,
    "disk full": _fill_disk,
    "sync failing": _fail_syncs,
    "link cut both ways": _isolate_entry("both"),
    "link cut one way, in": _isolate_entry("in"),
    "link cut one way, out": _isolate_entry("out"),
    "leader hears nothing": _isolate_leader,
    "silent connection": _silence_connections,
    "loss": _degrade_network(loss=0.3),
    "delay": _degrade_network(max_delay_s=0.5),
    "duplicate": _degrade_network(duplicate=1.0),
    "reorder": _degrade_network(max_delay_s=0.1, duplicate=0.3),
    "clock jump": _jump_wall_clock,
    "bad worker": _fail_tasks,
    "straggler": _slow_endpoint,
    "burst": _submit_burst,
    "cancellation wave": _cancel_job,
    "false sizes": _submit_wrong_run_time,
    "resubmission elsewhere": _resubmit_elsewhere,
}

# Any two of these faults together disable the majority of the three disks
# permanently; the group then stops, and no job is answered as complete.
DISK_FAULTS = {"disk full", "sync failing", "host lost with its disk"}


class JobKind(enum.Enum):
    """How a job's tasks are declared and how their intents are synced."""

    INTENTS_WITH_CLAIM = "once, intents with the claim"
    SEPARATE_INTENTS = "once, intents one by one"
    IDEMPOTENT = "idempotent"


SEPARATE_INTENT_STEP = "intent synced"


class MatrixCluster(harness.Cluster):
    """A cluster that ends injected faults at scheduled times."""

    def __init__(self, **kwargs):
        self.scheduled = []
        self.specs = {}
        self.cancelled = set()
        super().__init__(**kwargs)

    def step(self, seconds=0.005):
        super().step(seconds)
        now = self.clock.now()
        due = [item for item in self.scheduled if item[0] <= now]
        self.scheduled = [item for item in self.scheduled if item[0] > now]
        for _, action in due:
            action()


def run_cell(step, faults, kind):
    """Run one cell: faults injected at one step of one kind of job.

    :returns: None when every guarantee held, else the violation
    """
    if step == SEPARATE_INTENT_STEP and kind is not JobKind.SEPARATE_INTENTS:
        return "skipped: this kind of job has no separately synced intent"
    seed_text = "|".join([step, *faults, kind.value])
    seed = zlib.crc32(seed_text.encode())
    # With a free-slot hint of 0 the intents are synced one by one.
    free_hint = 100 if kind is JobKind.INTENTS_WITH_CLAIM else 0
    world = MatrixCluster(seed=seed, free_hint=free_hint)
    is_idempotent = kind is JobKind.IDEMPOTENT
    spec = harness.job_spec("job", is_idempotent=is_idempotent)
    world.specs["job"] = spec
    if step != "after":
        for name in faults:
            world.inject_at(step, lambda name=name: FAULTS[name](world))
    world.submit(world.entries[0], "job", spec=spec)
    world.run(1.0, step=0.01)
    if step == "after":
        for name in faults:
            FAULTS[name](world)
    elif step not in world.reached_steps:
        return f"the step {step} was not reached"
    world.run(RECOVERY_S, step=0.02)
    _resubmit_elsewhere(world)
    world.run(RECOVERY_S, step=0.02)
    return check_guarantees(world, is_idempotent, set(faults))


def check_guarantees(world, is_idempotent, faults):
    """Check all guarantees against the starts that the endpoints recorded."""
    started_twice = [key for key, n in world.starts.items() if n > 1]
    if started_twice and not is_idempotent:
        return f"started twice: {started_twice}"
    last_caller = world.callers[-1]
    if last_caller.errors and len(faults & DISK_FAULTS) < 2:
        return f"after the faults ended: {last_caller.errors[0].detail}"
    return _check_callers(world) or _check_answers(world)


def _check_callers(world):
    for caller in world.callers:
        if not caller.has_reply and not caller.is_disconnected:
            return f"{caller.key}: no answer"
        if len(caller.answers) + len(caller.errors) > 1:
            return f"{caller.key}: more than one answer"
    return None


def _check_answers(world):
    by_key = collections.defaultdict(set)
    for caller in world.callers:
        for answer in caller.answers:
            problem = _check_answer(world, caller.key, answer)
            if problem:
                return problem
            if answer.outcome is not jobs.Outcome.NOT_RUN:
                final_answer = (answer.outcome, answer.results)
                by_key[caller.key].add(final_answer)
    for key, answers in by_key.items():
        if len(answers) > 1:
            return f"{key}: conflicting answers"
    return None


def _check_answer(world, key, answer):
    spec = world.specs[key]
    starts = [world.starts[key, n] for n in range(len(spec.tasks))]
    if answer.outcome is jobs.Outcome.COMPLETE:
        if len(answer.results) != len(spec.tasks):
            return f"{key}: complete with missing results"
        for number, result in enumerate(answer.results):
            if f'"{key}/{number}"' not in result.value:
                return f"{key}: result of another task"
        if not all(starts):
            return f"{key}: complete without a start"
    if answer.outcome is jobs.Outcome.NOT_RUN and any(starts):
        last_caller = world.callers[-1]
        if (
            key not in world.cancelled
            and last_caller.key == key
            and last_caller.answers
        ):
            # The job was refused, then claimed and started by a resubmission.
            return None
        return f"{key}: started but answered as not run"
    return None


def single_cells(fault):
    """List the cells of one fault, for each step and kind of job."""
    return [
        (step, (fault,), kind) for step in harness.STEPS for kind in JobKind
    ]


def pair_cells(fault):
    """List the cells that pair a fault with each fault listed after it."""
    names = list(FAULTS)
    others = names[names.index(fault) + 1 :]
    return [
        (step, (fault, other), JobKind.SEPARATE_INTENTS)
        for other in others
        for step in harness.STEPS
    ]


def run_cells(cells):
    """Run cells and map each one to its result."""
    return {cell: run_cell(*cell) for cell in cells}


def broken(results):
    """Return the results of the cells that violated a guarantee."""
    return {
        cell: result
        for cell, result in results.items()
        if result is not None and not result.startswith("skipped")
    }


def render_page(results):
    """Render the table of single faults as Markdown."""
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
            _cell_text([results[step, (fault,), kind] for kind in JobKind])
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


def _cell_text(results):
    if all(each is None for each in results):
        return "held"
    if all(each is None or each.startswith("skipped") for each in results):
        return f"held, {results.count(None)}"
    return "BROKEN"


def main():
    """Run the matrix of single faults and write the results page."""
    cells = [cell for fault in FAULTS for cell in single_cells(fault)]
    results = run_cells(cells)
    PAGE.parent.mkdir(exist_ok=True)
    PAGE.write_text(render_page(results))
    failed = broken(results)
    for cell, result in failed.items():
        print(cell, result)
    print(
        f"{len(results) - len(failed)} held or skipped, {len(failed)} broken"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
