"""Simulated worker that runs tasks under leases; callers pass the time in.

It follows the run protocol: it checks fencing tokens, keeps leases on its
own clock and lists ended runs until they are acknowledged. Its runs can be
made to hang, fail or take longer.
"""

import dataclasses
import enum
import math
import typing

MAX_LISTED_ENDS = 500


class Verdict(enum.Enum):
    """The worker's response to a request."""

    OK = "ok"
    FENCED = "fence"
    RUN_TOO_LOW = "old"
    TOO_LATE = "late"
    NO_ROOM = "room"


@dataclasses.dataclass
class ActiveRun:
    """A run that occupies capacity."""

    task: str
    run: int
    cpu: int
    work_s: float
    started_at: float
    ends_at: float
    end_kind: str


EndCallback = typing.Callable[[ActiveRun, str], None]


class WorkerModel:
    """One incarnation of a worker, from its start to its crash.

    :param cpu: capacity in thousandths of a core
    :param clock_rate: rate of the worker's clock relative to true time
    :param speed: processor speed relative to a standard worker
    :param stop_s: time it takes to terminate a run, seconds
    :param max_lease_s: maximum lease duration; longer requests are capped
    :param now: true time, seconds
    :param guards: whether it rejects what exceeds its capacity
    :param on_end: called with each run that ends, at its time ``ends_at``
    :param born_ms: wall time of its start in milliseconds, 0 if it doesn't
        report it
    """

    def __init__(
        self,
        *,
        cpu: int,
        now: float,
        clock_rate: float = 1.0,
        speed: float = 1.0,
        stop_s: float = 0.0,
        max_lease_s: float = 1.0,
        guards: bool = True,
        on_end: EndCallback | None = None,
        born_ms: int = 0,
    ) -> None:
        self.born_ms = born_ms
        self.cpu = cpu
        self.speed = speed
        self.stop_s = stop_s
        self.max_lease_s = max_lease_s
        self.guards = guards
        self.token = 0
        self.lease_expires_ms = 0
        self.running: dict[str, ActiveRun] = {}
        self.ended: list[tuple[int, str, int, str]] = []
        self.is_hanging = False
        self.is_failing = False
        self.is_draining = False
        self.is_up = True
        self.starts = 0
        self.rejected_starts = 0
        self._on_end = on_end
        self._highest_run: dict[str, int] = {}
        self._last_end_number = 0
        self._clock_rate = clock_rate
        self._started_at = now
        self._capacities = [(now, cpu)]

    def clock_ms(self, now: float) -> int:
        """Return the worker's own clock, milliseconds since its start."""
        return int((now - self._started_at) * 1000 * self._clock_rate) + 1

    def resize(self, cpu: int, now: float) -> None:
        """Change the capacity; what runs goes on."""
        self._capacities.append((now, cpu))
        self.cpu = cpu

    def largest_cpu(self, since: float) -> int:
        """Return the largest capacity since a time."""
        later = [cpu for at, cpu in self._capacities if at > since]
        earlier = [cpu for at, cpu in self._capacities if at <= since]
        return max([*later, *earlier[-1:]])

    @property
    def used_cpu(self) -> int:
        """Capacity occupied by runs, thousandths of a core."""
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
        """Handle a request to start a run.

        :param work_s: run time on a worker of speed 1, seconds
        :param deadline_ms: lease expiry on the worker's clock
        """
        self.advance(now)
        if token < self.token:
            return Verdict.FENCED
        self.token = token
        if deadline_ms <= self.clock_ms(now):
            return Verdict.TOO_LATE
        self._extend_lease(deadline_ms, now)
        active = self.running.get(task)
        if active is not None and active.run == run:
            return Verdict.OK
        if run <= self._highest_run.get(task, 0) or active is not None:
            return Verdict.RUN_TOO_LOW
        if self.guards and self.used_cpu + cpu > self.cpu:
            self.rejected_starts += 1
            return Verdict.NO_ROOM
        ends_at = now + work_s / self.speed
        end_kind = "done"
        if self.is_failing:
            ends_at, end_kind = now + work_s / 10, "failed"
        if self.is_hanging:
            ends_at = math.inf
        self.running[task] = ActiveRun(
            task, run, cpu, work_s, now, ends_at, end_kind
        )
        self.starts += 1
        return Verdict.OK

    def stop(self, task: str, run: int, *, token: int, now: float) -> Verdict:
        """Stop a run; the task then needs a higher run number to start."""
        self.advance(now)
        if token < self.token:
            return Verdict.FENCED
        self.token = token
        self._highest_run[task] = max(self._highest_run.get(task, 0), run)
        active = self.running.get(task)
        if active is not None and active.run == run:
            self._terminate(active, now, "stopped")
            self.advance(now)
        return Verdict.OK

    def renew_lease(
        self, *, deadline_ms: int, token: int, acked_upto: int, now: float
    ) -> Verdict:
        """Renew the lease and drop acknowledged ends.

        The caller reads the runs and ends from this object.
        """
        self.advance(now)
        if token < self.token:
            return Verdict.FENCED
        self.token = token
        if deadline_ms > self.clock_ms(now):
            self._extend_lease(deadline_ms, now)
        self.ended = [row for row in self.ended if row[0] > acked_upto]
        return Verdict.OK

    def _extend_lease(self, deadline_ms: int, now: float) -> None:
        limit_ms = self.clock_ms(now) + int(self.max_lease_s * 1000)
        self.lease_expires_ms = max(
            self.lease_expires_ms, min(deadline_ms, limit_ms)
        )

    def run_rows(self, now: float) -> list[tuple[str, int, int]]:
        """List the active runs: task, run number, percent completed."""
        rows = []
        for run in self.running.values():
            share = 0.0
            if run.ends_at != math.inf:
                total_s = max(run.ends_at - run.started_at, 1e-6)
                share = (now - run.started_at) / total_s
            rows.append((run.task, run.run, int(100 * min(1.0, share))))
        return rows

    def unacknowledged_ends(self) -> list[tuple[int, str, int, str]]:
        """List the oldest unacknowledged ends, up to MAX_LISTED_ENDS."""
        return self.ended[:MAX_LISTED_ENDS]

    def next_end_at(self) -> float:
        """Return when the next run ends; infinity without one."""
        return min(
            (run.ends_at for run in self.running.values()), default=math.inf
        )

    def advance(self, now: float) -> None:
        """End the runs that are due by ``now``, and all after lease expiry."""
        expires_at = (
            self._started_at + self.lease_expires_ms / 1000 / self._clock_rate
        )
        for run in sorted(self.running.values(), key=lambda r: r.ends_at):
            if now > expires_at:
                self._terminate(run, expires_at, "lapsed")
            if run.ends_at <= now:
                self._finish(run, run.end_kind)

    def successor(self, *, now: float, born_ms: int) -> "WorkerModel":
        """Return the incarnation after a restart under the same id.

        It knows nothing of before: no run, no token, no numbers of ends, and
        its clock starts again.
        """
        return WorkerModel(
            cpu=self.cpu,
            now=now,
            clock_rate=self._clock_rate,
            speed=self.speed,
            stop_s=self.stop_s,
            max_lease_s=self.max_lease_s,
            guards=self.guards,
            on_end=self._on_end,
            born_ms=born_ms,
        )

    def crash(self) -> None:
        """Stop the worker and drop its runs without listing their ends."""
        self.is_up = False
        self.running.clear()

    def _terminate(self, run: ActiveRun, at: float, end_kind: str) -> None:
        """Start to terminate a run, which may complete before ``stop_s``."""
        if run.ends_at > at + self.stop_s:
            run.ends_at, run.end_kind = at + self.stop_s, end_kind

    def _finish(self, run: ActiveRun, end_kind: str) -> None:
        self._last_end_number += 1
        self._highest_run[run.task] = max(
            self._highest_run.get(run.task, 0), run.run
        )
        del self.running[run.task]
        self.ended.append((self._last_end_number, run.task, run.run, end_kind))
        if self._on_end is not None:
            self._on_end(run, end_kind)
