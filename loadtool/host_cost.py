"""Measure the CPU time of idle hosts and of jobs by the number of hosts.

The hosts and their links are the real ones over an in-memory network, so
system calls and the event loop are not included. Executors are simulated
and not measured. Run it with ``python -m loadtool.host_cost``.
"""

import argparse
import json
import logging

from chervilwheel import addresses
from chervilwheel import ids
from chervilwheel.control import entryhost
from chervilwheel.workers import ports
from chervilwheel.workers import work
from loadtool import hostworld
from standins import workermodel

CONTROLS = 5
EXECUTORS = 175
CPU = 16_000
SERVICE = ids.ServiceId("service")
TASK = work.Room(8_000, 64)
TASKS = 4
WORK_S = 0.2
WARM_UP_S = 5.0
ANSWER_S = 0.002
POLL_S = 0.01


class Executors(ports.ExecutorPort):
    """Simulated executors, shared by all hosts.

    :param world: returns the world, for its timers
    """

    def __init__(self, *, world) -> None:
        self._world = world
        self.models: dict[work.ExecutorId, workermodel.WorkerModel] = {}

    def add(self, name: work.ExecutorId, now: float) -> None:
        """Add an executor."""
        self.models[name] = workermodel.WorkerModel(cpu=CPU, now=now)

    def start(self, order, done):
        """Start a run."""
        now = self._now()
        model = self.models[order.executor]
        verdict = model.start(
            order.task,
            order.run,
            cpu=TASK.cpu,
            work_s=WORK_S,
            deadline_ms=order.deadline_ms,
            token=order.token,
            now=now,
        )
        started = verdict is workermodel.Verdict.OK
        answer = (
            work.StartVerdict.STARTED if started else work.StartVerdict.NO_ROOM
        )
        self._later(ANSWER_S, lambda: done(answer, model.clock_ms(now)))

    def stop(self, order, done):
        """Stop a run."""
        model = self.models[order.executor]
        model.stop(order.task, order.run, token=order.token, now=self._now())
        self._later(ANSWER_S, lambda: done(True, model.clock_ms(self._now())))

    def hold(self, order, done):
        """Renew a lease and list the runs, after an end or the wait."""
        model = self.models[order.executor]
        model.renew_lease(
            deadline_ms=order.deadline_ms,
            token=order.token,
            acked_upto=order.acked_upto,
            now=self._now(),
        )
        self._wait(model, self._now() + order.wait_ms / 1000, done)

    def _wait(self, model, until, done):
        now = self._now()
        model.advance(now)
        if model.unacknowledged_ends() or now >= until:
            answer = work.HoldAnswer(
                work.HoldVerdict.HELD,
                model.clock_ms(now),
                tuple(work.RunStatus(*row) for row in model.run_rows(now)),
                tuple(
                    work.RunEnd(number, task, run, work.EndKind(kind))
                    for number, task, run, kind in model.unacknowledged_ends()
                ),
            )
            self._later(ANSWER_S, lambda: done(answer))
        else:
            self._world().heap.call_later(
                POLL_S, lambda: self._wait(model, until, done)
            )

    def _now(self) -> float:
        return self._world().clock.now()

    def _later(self, seconds, callback):
        """Run a callback of the holder, which is charged for its time."""
        world = self._world()
        world.heap.call_later(
            seconds, lambda: world.network.run_on(world.holder(), callback)
        )


class Benchmark:
    """Hosts with simulated executors.

    :param entries: number of entry hosts
    """

    def __init__(self, *, entries: int) -> None:
        self._jobs = 0
        self._answers: list[work.Answer] = []
        executors = Executors(world=lambda: self.world)
        self.world = hostworld.World(
            controls=CONTROLS, entries=entries, make_port=lambda _: executors
        )
        self.world.run(WARM_UP_S)
        if not self.world.put_document(1):
            raise RuntimeError("the document was not accepted")
        control = next(iter(self.world.controls.values()))
        for number in range(EXECUTORS):
            report = _report(number)
            executors.add(report.id, self.world.clock.now())
            control.report(report)
        self.world.run(WARM_UP_S)

    def run(self, seconds: float, jobs_per_s: float) -> dict[str, float]:
        """Run for a time; returns the cores that each role uses."""
        before = dict(self.world.network.cpu_s)
        entries = list(self.world.entries.items())
        steps = max(1, int(seconds * jobs_per_s))
        for _ in range(steps):
            if jobs_per_s:
                self._submit(*entries[self._jobs % len(entries)])
            self.world.run(seconds / steps)
        used = {
            host: (cpu_s - before.get(host, 0.0)) / seconds
            for host, cpu_s in self.world.network.cpu_s.items()
        }
        holder = self.world.holder()
        entry_cores = [used[host] for host in self.world.entries]
        control_cores = [
            used[host] for host in self.world.controls if host != holder
        ]
        return {
            "entry": sum(entry_cores) / len(entry_cores),
            "control": sum(control_cores) / len(control_cores),
            "holder": used[holder],
        }

    def _submit(self, entry_host: str, entry: entryhost.EntryHost) -> None:
        self._jobs += 1
        job = work.Job(
            id=ids.JobId(f"{self._jobs:016x}"),
            queue="q",
            service=SERVICE,
            priority=1,
            attempts=3,
            stretch=1.6,
            target_ms=60_000,
            patience_ms=60_000,
            spec="",
            steps=(work.Step(TASKS, TASK, int(WORK_S * 1000)),),
        )
        self.world.network.run_on(
            entry_host, lambda: entry.jobs.submit(job, self._answers.append)
        )

    @property
    def completed(self) -> int:
        """Number of jobs that were completed."""
        return sum(
            each.outcome is work.Outcome.COMPLETED for each in self._answers
        )


def _report(number: int) -> work.ExecutorReport:
    return work.ExecutorReport(
        id=work.ExecutorId(f"x-{number}"),
        service=SERVICE,
        address=addresses.Address("10.2.0.1", 80),
        zone=ids.ZoneId("north"),
        room=work.Room(CPU, 65_536),
        labels=(),
        is_draining=False,
        is_gone=False,
        remaining_ms=0,
        clock_ms=1,
        sequence=1,
    )


def main() -> None:
    """Print the CPU time by role for several numbers of entry hosts."""
    parser = argparse.ArgumentParser(prog="host_cost")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--jobs-per-s", type=float, default=100.0)
    opts = parser.parse_args()
    logging.disable(logging.CRITICAL)
    for entries in (7, 40, 97, 320):
        benchmark = Benchmark(entries=entries)
        idle = benchmark.run(opts.seconds, 0.0)
        busy = benchmark.run(opts.seconds, opts.jobs_per_s)
        holder_ms = (busy["holder"] - idle["holder"]) * 1000
        row = {
            "entries": entries,
            "idle_cores": _rounded(idle),
            "busy_cores": _rounded(busy),
            "holder_ms_a_job": round(holder_ms / opts.jobs_per_s, 3),
            "tasks_a_job": TASKS,
            "completed": benchmark.completed,
        }
        print(json.dumps(row), flush=True)


def _rounded(values: dict[str, float]) -> dict[str, float]:
    return {name: round(each, 4) for name, each in values.items()}


if __name__ == "__main__":
    main()
