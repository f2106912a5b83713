"""Measure the CPU time of the assignment engine per started task.

The simulated executors respond at once and finish their tasks in the
order of their start, so that only the engine's own work is measured. Run
it with ``python -m loadtool.engine_cost``.
"""

import argparse
import itertools
import json
import time

from chervilwheel import addresses
from chervilwheel import ids
from chervilwheel.workers import engine
from chervilwheel.workers import leases
from chervilwheel.workers import speeds
from chervilwheel.workers import work

SERVICE = ids.ServiceId("service")
ENTRY = ids.InstanceId("entry")
EXECUTOR_CAPACITY = work.Room(32_000, 65_536)
TASK_DEMAND = work.Room(14_000, 64)
TICK_S = 0.01
UNEVEN = (0.6, 1.0, 1.6)


class Benchmark:
    """An engine with simulated executors and a queue that is kept full.

    :param executors: number of executors
    :param queued_tasks: minimum number of pending tasks before each tick
    :param is_uneven: whether the executors have different speeds
    """

    def __init__(
        self, *, executors: int, queued_tasks: int, is_uneven: bool = False
    ) -> None:
        self._now = 1000.0
        self._job_count = 0
        self._queued_tasks = queued_tasks
        self._unacked_ends: dict[work.ExecutorId, list[work.RunEnd]] = {}
        self._running: dict[work.ExecutorId, list[work.StartOrder]] = {}
        self._last_end_numbers: dict[work.ExecutorId, int] = {}
        self._engine = engine.Engine(
            token=1,
            reports_complete_at=0.0,
            now=self._now,
            lease_limits=leases.LeaseLimits(1.0, 0.05),
        )
        if is_uneven:
            self._engine.speeds.restore(
                (
                    speeds.SpeedRow(
                        work.ExecutorId(f"x{number}"),
                        0,
                        speed,
                        speeds.MAX_WEIGHT,
                    )
                    for number in range(executors)
                    if (speed := UNEVEN[number % len(UNEVEN)]) != 1.0
                ),
                self._now,
            )
        for number in range(executors):
            name = work.ExecutorId(f"x{number}")
            self._unacked_ends[name] = []
            self._running[name] = []
            self._last_end_numbers[name] = 0
            self._engine.report(self._report(name), self._now)

    def run(self, tasks: int) -> float:
        """Start at least this many tasks.

        :returns: the CPU time per started task in milliseconds
        """
        starts_before = self._engine.starts
        cpu_before_s = time.process_time()
        while self._engine.starts - starts_before < tasks:
            self._now += TICK_S
            self._refill()
            self._finish_tasks()
            self._engine.tick(self._now)
            self._execute_actions()
        cpu_s = time.process_time() - cpu_before_s
        return cpu_s * 1000 / (self._engine.starts - starts_before)

    def _report(self, name: work.ExecutorId) -> work.ExecutorReport:
        return work.ExecutorReport(
            id=name,
            service=SERVICE,
            address=addresses.Address("127.0.0.1", 80),
            zone=ids.ZoneId("zone"),
            room=EXECUTOR_CAPACITY,
            labels=("a", "r1"),
            is_draining=False,
            is_gone=False,
            remaining_ms=0,
            clock_ms=int(self._now * 1000),
            sequence=1,
        )

    def _refill(self) -> None:
        """Offer jobs until enough tasks are pending."""
        pending = sum(len(s.pending) for s in self._engine.jobs.values())
        while pending < self._queued_tasks:
            self._job_count += 1
            step = work.Step(4, TASK_DEMAND, 200)
            job = work.Job(
                id=ids.JobId(f"{self._job_count:016x}"),
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
            self._engine.record_entry_heartbeat(ENTRY, self._now)
            self._engine.offer(job, ENTRY, self._now)
            self._execute_actions()
            pending += step.count

    def _finish_tasks(self) -> None:
        """Finish the oldest running task of each executor."""
        for name, orders in self._running.items():
            if orders:
                order = orders.pop(0)
                self._last_end_numbers[name] += 1
                self._unacked_ends[name].append(
                    work.RunEnd(
                        self._last_end_numbers[name],
                        order.task,
                        order.run,
                        work.EndKind.DONE,
                    )
                )

    def _execute_actions(self) -> None:
        while actions := self._engine.take_actions():
            for action in actions:
                clock_ms = int(self._now * 1000)
                if isinstance(action, work.StartOrder):
                    self._running[action.executor].append(action)
                    verdict = work.StartVerdict.STARTED
                    self._engine.started(action, verdict, clock_ms, self._now)
                elif isinstance(action, work.HoldOrder):
                    self._answer_hold(action, clock_ms)

    def _answer_hold(self, order: work.HoldOrder, clock_ms: int) -> None:
        ends = self._unacked_ends[order.executor]
        ends[:] = [each for each in ends if each.number > order.acked_upto]
        if order.wait_ms and not ends:
            # The executor would wait for a task to finish, which happens in
            # the next tick: mark it as not holding, so that the engine
            # sends the order again.
            executor = self._engine.executors[order.executor]
            executor.is_renewing = False
            executor.renewal_sent_at = self._now
            return
        rows = tuple(
            work.RunStatus(each.task, each.run, 50)
            for each in self._running[order.executor]
        )
        answer = work.HoldAnswer(
            work.HoldVerdict.HELD, clock_ms, rows, tuple(ends)
        )
        self._engine.held(order, answer, self._now, self._now)


def main() -> None:
    """Print the cost for several numbers of executors and queued tasks."""
    parser = argparse.ArgumentParser(prog="engine_cost")
    parser.add_argument("--tasks", type=int, default=5_000)
    opts = parser.parse_args()
    for executors, queued_tasks, is_uneven in itertools.product(
        (24, 88, 176, 270, 350), (50, 500, 1_000), (False, True)
    ):
        benchmark = Benchmark(
            executors=executors,
            queued_tasks=queued_tasks,
            is_uneven=is_uneven,
        )
        benchmark.run(500)
        cost_ms = round(benchmark.run(opts.tasks), 4)
        row = {
            "executors": executors,
            "uneven": is_uneven,
            "waiting_tasks": queued_tasks,
            "ms_a_task": cost_ms,
        }
        print(json.dumps(row))


if __name__ == "__main__":
    main()
