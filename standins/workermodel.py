"""A model of a worker that runs tasks under leases, driven by time.

It keeps the run protocol: fencing tokens, leases on its own clock, lists
of ends until they are taken note of. It can stand still, fail, be slow.
"""

import dataclasses
import enum
import math

MAX_LISTED = 500


class Verdict(enum.Enum):
    """What it answers to an order."""

    OK = "ok"
    FENCE = "fence"
    OLD = "old"
    LATE = "late"
    ROOM = "room"


@dataclasses.dataclass
class Running:
    """A run that takes room."""

    task: str
    run: int
    cpu: int
    work_s: float
    started_at: float
    ends_at: float
    ends_how: str


class WorkerModel:
    """One life of a worker.

    :param cpu: its room, thousandths of a core
    :param clock_rate: speed of its own clock against true time
    :param speed: speed of its processors
    :param stop_s: time that ending a run takes, seconds
    :param hold_most_s: longer leases are cut to this time, seconds
    :param now: true time, seconds
    """

    def __init__(
        self,
        *,
        cpu: int,
        now: float,
        clock_rate: float = 1.0,
        speed: float = 1.0,
        stop_s: float = 0.0,
        hold_most_s: float = 1.0,
    ) -> None:
        self.cpu = cpu
        self.speed = speed
        self.stop_s = stop_s
        self.hold_most_s = hold_most_s
        self.token = 0
        self.lease_ms = 0
        self.running: dict[str, Running] = {}
        self.ended: list[tuple[int, str, int, str]] = []
        self.is_hanging = False
        self.is_failing = False
        self.is_draining = False
        self.is_up = True
        self.starts = 0
        self.rejected = 0
        self._highest: dict[str, int] = {}
        self._number = 0
        self._clock_rate = clock_rate
        self._born_at = now

    def clock_ms(self, now: float) -> int:
        """Read its own clock."""
        return int((now - self._born_at) * 1000 * self._clock_rate) + 1

    @property
    def used(self) -> int:
        """Room that runs take."""
        return sum(run.cpu for run in self.running.values())

    def start(
        self,
        task: str,
        run: int,
        *,
        cpu: int,
        work_s: float,
        deadline_ms: int,
        token: int,
        now: float,
    ) -> Verdict:
        """Take an order to start.

        :param work_s: time that the task needs on a plain worker
        """
        self.advance(now)
        if token < self.token:
            return Verdict.FENCE
        self.token = token
        if deadline_ms <= self.clock_ms(now):
            return Verdict.LATE
        self._lease(deadline_ms, now)
        present = self.running.get(task)
        if present is not None and present.run == run:
            return Verdict.OK
        if run <= self._highest.get(task, 0) or present is not None:
            return Verdict.OLD
        if self.used + cpu > self.cpu:
            self.rejected += 1
            return Verdict.ROOM
        ends_at = now + work_s / self.speed
        how = "done"
        if self.is_failing:
            ends_at, how = now + work_s / 10, "failed"
        if self.is_hanging:
            ends_at = math.inf
        self.running[task] = Running(task, run, cpu, work_s, now, ends_at, how)
        self.starts += 1
        return Verdict.OK

    def stop(self, task: str, run: int, *, token: int, now: float) -> Verdict:
        """Take an order to stop."""
        self.advance(now)
        if token < self.token:
            return Verdict.FENCE
        self.token = token
        self._highest[task] = max(self._highest.get(task, 0), run)
        present = self.running.get(task)
        if present is not None and present.run == run:
            self._cut_short(present, now, "stopped")
            self.advance(now)
        return Verdict.OK

    def hold(
        self, *, deadline_ms: int, token: int, noted_upto: int, now: float
    ) -> Verdict:
        """Renew the lease; the lists are read from the fields."""
        self.advance(now)
        if token < self.token:
            return Verdict.FENCE
        self.token = token
        if deadline_ms > self.clock_ms(now):
            self._lease(deadline_ms, now)
        self.ended = [row for row in self.ended if row[0] > noted_upto]
        return Verdict.OK

    def _lease(self, deadline_ms: int, now: float) -> None:
        most_ms = self.clock_ms(now) + int(self.hold_most_s * 1000)
        self.lease_ms = max(self.lease_ms, min(deadline_ms, most_ms))

    def rows(self, now: float) -> list[tuple[str, int, int]]:
        """List what runs, with the percent of its work done."""
        rows = []
        for run in self.running.values():
            share = 0.0
            if run.ends_at != math.inf:
                whole_s = max(run.ends_at - run.started_at, 1e-6)
                share = (now - run.started_at) / whole_s
            rows.append((run.task, run.run, int(100 * min(1.0, share))))
        return rows

    def listed(self) -> list[tuple[int, str, int, str]]:
        """List ends that are not taken note of."""
        return self.ended[:MAX_LISTED]

    def next_end(self) -> float:
        """Tell when the next run ends by itself, infinity when none."""
        return min(
            (run.ends_at for run in self.running.values()), default=math.inf
        )

    def advance(self, now: float) -> None:
        """End what has ended by a time."""
        lapses_at = self._born_at + self.lease_ms / 1000 / self._clock_rate
        for run in sorted(self.running.values(), key=lambda r: r.ends_at):
            if now > lapses_at:
                self._cut_short(run, lapses_at, "lapsed")
            if run.ends_at <= now:
                self._end(run, run.ends_how)

    def crash(self) -> None:
        """End this life with all that runs."""
        self.is_up = False
        self.running.clear()

    def _cut_short(self, run: Running, at: float, how: str) -> None:
        """Begin to end a run; it may still end by itself meanwhile."""
        if run.ends_at > at + self.stop_s:
            run.ends_at, run.ends_how = at + self.stop_s, how

    def _end(self, run: Running, how: str) -> None:
        self._number += 1
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.run)
        del self.running[run.task]
        self.ended.append((self._number, run.task, run.run, how))
