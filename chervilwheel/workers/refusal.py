"""Refuses jobs that no executor can run, or not in time.

While a zone is closed, jobs that the open executors can't serve in time are
refused as soon as that is known, the lowest priority first.
"""

import collections
import logging
import typing

from chervilwheel import ids
from chervilwheel.workers import capacity
from chervilwheel.workers import executors
from chervilwheel.workers import jobstate
from chervilwheel.workers import jobtable
from chervilwheel.workers import placement
from chervilwheel.workers import starter
from chervilwheel.workers import waitlimit
from chervilwheel.workers import warmup
from chervilwheel.workers import work

_LOG = logging.getLogger("engine")

# The longest tasks that are running now have ended by then.
NO_ROOM_RETRY_MS = 1_000
# Larger executors can only appear when the deployment changes.
NEVER_FITS_RETRY_MS = 60_000
MIN_RETRY_MS = 100
# Executors are given this long to list their runs to a new holder, before
# jobs are refused for want of room.
FIRST_LISTS_S = 0.3
# A job that has been accepted for longer than this share of its objective is
# not refused because of jobs that have arrived since: its caller learns too
# late of it to go elsewhere.
MAX_REFUSAL_OBJECTIVES = 0.1
# Share of the slack of a job that its expected wait may take; the rest is for
# errors of the estimates and for more urgent jobs that arrive in a burst. In
# trials on 12 loads, 97% of the accepted jobs of the highest priority were in
# time and 94% on the worst load; with 1.3 and 0.5 these were 93% and 86%, for
# 2% more value.
MAX_WAIT_SHARE_HIGHEST = 0.7
MAX_WAIT_SHARE = 0.3
HIGHEST_PRIORITY = 0


class Finish(typing.Protocol):
    """Answers a job."""

    def __call__(
        self,
        state: jobstate.JobState,
        outcome: work.Outcome,
        now: float,
        reason: str = "",
        retry_after_ms: int = 0,
    ) -> None:
        """Answer a job and stop its remaining runs."""


class _Sizes(typing.NamedTuple):
    service: ids.ServiceId
    label: str
    is_closed: bool


class Refuser:
    """Refuses jobs that aren't worth waiting for.

    :param executors_by_id: all executors, by id
    :param job_table: all jobs of this holder
    :param job_starter: tells which jobs could start
    :param finish: answers a job
    :param wait_limit: how long jobs may wait
    :param reports_complete_at: time from which on reports have been received
        from all executors that another holder may have used, seconds
    :param now: monotonic time, seconds
    :ivar refusals: number of jobs refused for want of room
    :ivar closed_zone_refusals: how many of them because zones are closed
    """

    def __init__(
        self,
        *,
        executors_by_id: typing.Mapping[work.ExecutorId, executors.Executor],
        job_table: jobtable.JobTable,
        job_starter: starter.Starter,
        finish: Finish,
        wait_limit: waitlimit.WaitLimit,
        reports_complete_at: float,
        now: float,
    ) -> None:
        self.refusals = 0
        self.closed_zone_refusals = 0
        self._executors = executors_by_id
        self._job_table = job_table
        self._starter = job_starter
        self._finish = finish
        self._reports_complete_at = reports_complete_at
        self._began_at = now
        # Distinct sizes of executors, empty after a change.
        self._rooms: dict[_Sizes, set[work.Room]] = {}
        self._all_rooms: dict[ids.ServiceId, set[work.Room]] | None = None
        self._has_closed = False
        self._active_until = now
        self._wait_limit = wait_limit
        self._rates = capacity.ArrivalRates()
        self._outlooks: dict[ids.ServiceId, capacity.Outlook | None] = {}

    def executors_changed(self) -> None:
        """Note that the sizes of the executors have changed."""
        self._all_rooms = None
        self._rooms.clear()

    def zones_changed(self, now: float, *, has_closed: bool) -> None:
        """Refuse what can't be served after zones were closed or opened.

        :param has_closed: whether any zone is closed
        """
        if self._has_closed and not has_closed:
            self._active_until = now + warmup.ASSUMED_COLD_S
        self._has_closed = has_closed
        self.executors_changed()
        for state in self._job_table.unstarted():
            self._refuse_closed(state, now)
        self._refuse_excess(now, is_any_age=True)

    def refuse_hopeless(self, state: jobstate.JobState, now: float) -> bool:
        """Refuse a job that no executor can run; return whether it was."""
        if self._never_fits(state.job, now):
            self._finish(
                state,
                work.Outcome.REFUSED,
                now,
                reason="never_fits",
                retry_after_ms=NEVER_FITS_RETRY_MS,
            )
            return True
        return self._refuse_closed(state, now)

    def _never_fits(self, job: work.Job, now: float) -> bool:
        """Return whether some task is too large for every executor."""
        if job.offers or now < self._reports_complete_at:
            return False
        if self._all_rooms is None:
            self._all_rooms = {}
            for executor in self._executors.values():
                rooms = self._all_rooms.setdefault(
                    executor.report.service, set()
                )
                rooms.add(executor.largest_room)
        rooms = self._all_rooms.get(job.service, ())
        return bool(rooms) and not all(
            any(room.holds(step.room) for room in rooms) for step in job.steps
        )

    def _refuse_closed(self, state: jobstate.JobState, now: float) -> bool:
        """Refuse a job with a task that only fits closed executors."""
        is_refused = (
            self._has_closed
            and not state.job.offers
            and now >= self._reports_complete_at
            and any(
                self._is_held(state.job.service, step, is_closed=True)
                and not self._is_held(state.job.service, step, is_closed=False)
                for step in state.job.steps
            )
        )
        if is_refused:
            self._refuse_for_zones(state, NO_ROOM_RETRY_MS, now)
        return is_refused

    def _is_held(
        self, service: ids.ServiceId, step: work.Step, *, is_closed: bool
    ) -> bool:
        """Return whether a closed or an open executor holds a task."""
        key = _Sizes(service, step.required_label, is_closed)
        rooms = self._rooms.get(key)
        if rooms is None:
            rooms = self._rooms[key] = {
                executor.largest_room
                for executor in self._executors.values()
                if executor.report.service == service
                and executor.is_closed == is_closed
                and key.label in ("", *executor.report.labels)
            }
        return any(room.holds(step.room) for room in rooms)

    def _refuse_for_zones(
        self, state: jobstate.JobState, retry_after_ms: int, now: float
    ) -> None:
        self.refusals += 1
        self.closed_zone_refusals += 1
        _LOG.info(
            "engine: a job is refused while a zone is closed",
            extra={
                "job": state.job.id,
                "priority": state.job.priority,
                "waited_s": round(now - state.arrived_at, 3),
                "retry_after_ms": retry_after_ms,
            },
        )
        self._finish(
            state,
            work.Outcome.REFUSED,
            now,
            reason="no_room",
            retry_after_ms=retry_after_ms,
        )

    def admit(self, state: jobstate.JobState, now: float) -> None:
        """Refuse a new job that the open executors can't serve in time."""
        self._rates.record(state.job, now)
        if not self._is_limited(now):
            return
        outlook = self._outlook(state.job.service, now)
        if outlook is None or not outlook.fits(state.job):
            return
        wait_s = 0.0 if state.is_started else outlook.wait_s(state, now)
        if _is_in_time(state, wait_s, now) or not self._refuse_waiting(
            state, wait_s, now
        ):
            outlook.add_new(state)

    def _refuse_waiting(
        self, state: jobstate.JobState, wait_s: float, now: float
    ) -> bool:
        """Refuse a job unless it could start; return whether it was."""
        if state.is_started or self._starter.can_start(state, now):
            return False
        retry_after_ms = max(MIN_RETRY_MS, int(wait_s * 1000))
        self._refuse_for_zones(state, retry_after_ms, now)
        return True

    def _is_limited(self, now: float) -> bool:
        """Return whether jobs are refused by priority."""
        if not self._has_closed and now >= self._active_until:
            return False
        return not self._is_room_unknown(now)

    def _outlook(
        self, service: ids.ServiceId, now: float
    ) -> capacity.Outlook | None:
        """Return the forecast of a service, None without open executors."""
        if service not in self._outlooks:
            self._outlooks[service] = self._make_outlook(service, now)
        return self._outlooks[service]

    def _make_outlook(
        self, service: ids.ServiceId, now: float
    ) -> capacity.Outlook | None:
        usable = [
            executor
            for executor in self._executors.values()
            if executor.report.service == service and _is_open(executor)
        ]
        rooms = collections.Counter(each.report.room for each in usable)
        open_capacity = capacity.OpenCapacity(rooms)
        cpu = sum(e.report.room.cpu * e.cold.share(now) for e in usable)
        if not cpu:
            return None
        forecast = capacity.Forecast(cpu=cpu)
        asked = taken = 0.0
        for executor in usable:
            for run in executor.runs.values():
                need = min(open_capacity.need(run.room), run.room.cpu * 2.0)
                asked += run.room.cpu
                taken += need
                remaining_s = capacity.remaining_s(
                    ordered_at=run.ordered_at,
                    expected_s=run.expected_s,
                    now=now,
                )
                forecast.add_run(need, remaining_s)
        forecast.settle()
        packing = taken / asked if asked else 1.0
        return capacity.Outlook(
            capacity=open_capacity,
            forecast=forecast,
            work_above=lambda priority: (
                packing * self._rates.above(service, priority, now)
            ),
            now=now,
        )

    def _refuse_excess(self, now: float, *, is_any_age: bool = False) -> None:
        """Refuse the waiting jobs that can't be served in time.

        :param is_any_age: whether this includes jobs accepted long ago
        """
        self._outlooks.clear()
        if not self._is_limited(now):
            return
        unstarted = []
        for state in self._job_table.waiting.ordered():
            if not (state.is_started or state.job.offers):
                unstarted.append(state)
                continue
            outlook = self._outlook(state.job.service, now)
            if outlook is not None and outlook.fits(state.job):
                outlook.add_started(state)
        unstarted.sort(key=lambda each: (each.job.priority, each.arrived_at))
        excess = []
        for state in unstarted:
            outlook = self._outlook(state.job.service, now)
            if outlook is None or not outlook.fits(state.job):
                continue
            age_s = now - state.arrived_at
            is_refusable = (
                is_any_age
                or age_s <= MAX_REFUSAL_OBJECTIVES * state.objective_s
            )
            wait_s = outlook.wait_s(state, now) if is_refusable else 0.0
            if is_refusable and not _is_in_time(state, wait_s, now):
                excess.append((state, wait_s))
            else:
                outlook.add_waiting(state)
        for state, wait_s in reversed(excess):
            self._refuse_waiting(state, wait_s, now)

    def refuse_overdue(self, now: float) -> None:
        """Refuse the jobs that have waited for too long."""
        self._refuse_excess(now)
        unstarted = self._job_table.unstarted()
        waiting_tasks = sum(len(state.pending) for state in unstarted)
        may_start = [e for e in self._executors.values() if e.may_start(now)]
        usable = len(may_start)
        is_room_unknown = self._is_room_unknown(now)
        # The jobs that can't be in time have been refused on arrival then.
        # A caller gets more from a late answer than from a late refusal.
        is_limited = self._is_limited(now)
        for state in unstarted:
            limit_s = self._wait_limit.limit_s(
                state,
                waiting_tasks=0 if is_limited else waiting_tasks,
                executors=usable,
            )
            if is_room_unknown and not state.is_worthless(now):
                continue
            if now - state.arrived_at >= limit_s:
                self.refusals += 1
                _LOG.info(
                    "engine: a job is refused",
                    extra={
                        "job": state.job.id,
                        "waited_s": round(now - state.arrived_at, 3),
                        "limit_s": round(limit_s, 3),
                        "waiting_tasks": waiting_tasks,
                        "fit": placement.count_places(may_start, state.job),
                        "paused_fit": placement.count_places(
                            self._paused(now), state.job
                        ),
                        "usable": usable,
                        "executors": len(self._executors),
                    },
                )
                self._finish(
                    state,
                    work.Outcome.REFUSED,
                    now,
                    reason="no_room",
                    retry_after_ms=NO_ROOM_RETRY_MS,
                )

    def _paused(self, now: float) -> list[executors.Executor]:
        """List the executors that only don't get new runs for the moment."""
        return [
            executor
            for executor in self._executors.values()
            if _is_open(executor) and not executor.may_start(now)
        ]

    def _is_room_unknown(self, now: float) -> bool:
        """Return whether most executors haven't answered a new holder yet."""
        if now - self._began_at >= FIRST_LISTS_S:
            return False
        opened = [e for e in self._executors.values() if not e.is_closed]
        usable = sum(executor.may_start(now) for executor in opened)
        return usable < len(opened) / 2


def _is_open(executor: executors.Executor) -> bool:
    """Return whether an executor is counted as capacity."""
    return (
        not executor.is_closed
        and not executor.report.is_draining
        and not executor.unreachable_since
    )


def _is_in_time(state: jobstate.JobState, wait_s: float, now: float) -> bool:
    """Return whether a job that starts after a wait meets its objective."""
    slack_s = state.objective_s - state.critical_path_s
    share = MAX_WAIT_SHARE
    if state.job.priority == HIGHEST_PRIORITY:
        share = MAX_WAIT_SHARE_HIGHEST
    return now + wait_s <= state.arrived_at + share * slack_s
