"""Measure the processor time of the assignment engine a task placed.

Executors answer at once and tasks end in their order, so that only the
engine's own decisions count: ``python -m loadtool.engine_cost``.
"""

import argparse
import json
import time

from chervilwheel import addresses
from chervilwheel import ids
from chervilwheel.workers import engine
from chervilwheel.workers import leases
from chervilwheel.workers import work

SERVICE = ids.ServiceId("service")
ENTRY = ids.InstanceId("entry")
ROOM = work.Room(32_000, 65_536)
TASK = work.Room(14_000, 64)
STEP_S = 0.01


class Bench:
    """An engine, executors that obey at once, and a full queue.

    :param executors: how many
    :param waiting: tasks that wait all the time
    """

    def __init__(self, *, executors: int, waiting: int) -> None:
        self._now = 1000.0
        self._jobs = 0
        self._waiting = waiting
        self._ends: dict[work.ExecutorId, list[work.RunEnd]] = {}
        self._running: dict[work.ExecutorId, list[work.StartOrder]] = {}
        self._numbers: dict[work.ExecutorId, int] = {}
        self._engine = engine.Engine(
            token=1,
            knows_all_at=0.0,
            now=self._now,
            terms=leases.Terms(1.0, 0.05),
        )
        for number in range(executors):
            name = work.ExecutorId(f"x{number}")
            self._ends[name] = []
            self._running[name] = []
            self._numbers[name] = 0
            self._engine.report(self._report(name), self._now)

    def run(self, tasks: int) -> float:
        """Place tasks; returns milliseconds of processor a task."""
        first = self._engine.starts
        began = time.process_time()
        while self._engine.starts - first < tasks:
            self._now += STEP_S
            self._refill()
            self._end_some()
            self._engine.tick(self._now)
            self._obey()
        spent_s = time.process_time() - began
        return spent_s * 1000 / (self._engine.starts - first)

    def _report(self, name: work.ExecutorId) -> work.ExecutorReport:
        return work.ExecutorReport(
            id=name,
            service=SERVICE,
            address=addresses.Address("127.0.0.1", 80),
            zone=ids.ZoneId("zone"),
            room=ROOM,
            labels=("a", "r1"),
            is_draining=False,
            is_gone=False,
            remaining_ms=0,
            clock_ms=int(self._now * 1000),
            sequence=1,
        )

    def _refill(self) -> None:
        have = sum(len(s.pending) for s in self._engine.jobs.values())
        while have < self._waiting:
            self._jobs += 1
            step = work.Step(4, TASK, 200)
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
                steps=(step,),
            )
            self._engine.hear_entry(ENTRY, self._now)
            self._engine.offer(job, ENTRY, self._now)
            self._obey()
            have += step.count

    def _end_some(self) -> None:
        for name, orders in self._running.items():
            if orders:
                order = orders.pop(0)
                self._numbers[name] += 1
                self._ends[name].append(
                    work.RunEnd(
                        self._numbers[name],
                        order.task,
                        order.run,
                        work.EndKind.DONE,
                    )
                )

    def _obey(self) -> None:
        while actions := self._engine.take():
            for action in actions:
                clock_ms = int(self._now * 1000)
                if isinstance(action, work.StartOrder):
                    self._running[action.executor].append(action)
                    verdict = work.StartVerdict.STARTED
                    self._engine.started(action, verdict, clock_ms, self._now)
                elif isinstance(action, work.HoldOrder):
                    self._hold(action, clock_ms)

    def _hold(self, order: work.HoldOrder, clock_ms: int) -> None:
        ends = self._ends[order.executor]
        ends[:] = [each for each in ends if each.number > order.noted_upto]
        if order.wait_ms and not ends:
            # It waits for an end; the next step brings one.
            known = self._engine.executors[order.executor]
            known.is_holding = False
            known.hold_sent_at = self._now
            return
        rows = tuple(
            work.RunRow(each.task, each.run, 50)
            for each in self._running[order.executor]
        )
        answer = work.HoldAnswer(
            work.HoldVerdict.HELD, clock_ms, rows, tuple(ends)
        )
        self._engine.held(order, answer, self._now, self._now)


def main() -> None:
    """Print the cost at some sizes."""
    parser = argparse.ArgumentParser(prog="engine_cost")
    parser.add_argument("--tasks", type=int, default=5_000)
    opts = parser.parse_args()
    for executors in (24, 88, 176):
        for waiting in (50, 500):
            bench = Bench(executors=executors, waiting=waiting)
            bench.run(500)
            cost_ms = round(bench.run(opts.tasks), 4)
            row = {
                "executors": executors,
                "waiting_tasks": waiting,
                "ms_a_task": cost_ms,
            }
            print(json.dumps(row))


if __name__ == "__main__":
    main()
