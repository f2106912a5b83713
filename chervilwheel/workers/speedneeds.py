"""Derives from a job's objective how fast an executor is to be.

It answers a load of short and long jobs on executors of uneven speeds: on a
slow one, half of the long jobs are late, and nearly no short ones.
"""

import bisect
import math
import typing

from chervilwheel import ids
from chervilwheel.workers import executors
from chervilwheel.workers import jobstate
from chervilwheel.workers import speeds
from chervilwheel.workers import work

# A task prefers executors on which it ends within its objective even if it
# takes twice as long as expected, and waits for those on which it may take a
# quarter longer. The expected time is off by a factor of 1.5 in the mean.
PREFERRED_MARGIN = 2.0
WAIT_MARGIN = 1.25
# Tasks that wait for a faster executor, for each that is fast enough: where
# most of the work is in long jobs, more would leave slow executors idle.
MAX_DELAYED_SHARE = 0.5
USABLE_SPEEDS_INTERVAL_S = 0.25


class SpeedNeed(typing.NamedTuple):
    """The least speeds of an executor for a task of a job.

    :ivar preferred: slower executors come last, 0 for none
    :ivar least: slower executors aren't used, 0 for none
    """

    preferred: float = 0.0
    least: float = 0.0


ANY_SPEED = SpeedNeed()


def speed_need(
    state: jobstate.JobState,
    step: work.Step,
    now: float,
    *,
    factor: float,
    top_speed: float,
) -> SpeedNeed:
    """Return the speeds at which a task's job is answered in time.

    :param factor: mean of run times divided by estimates in its queue
    :param top_speed: a speed that enough executors have; nothing waits for
        a higher one
    """
    estimated_s = step.estimated_ms / 1000
    expected_s = estimated_s * factor
    ends_at = state.arrived_at + state.objective_s
    rest_s = state.remaining_path_s - estimated_s
    slack_s = ends_at - rest_s - now
    preferred = least = 0.0
    if slack_s * top_speed > expected_s:
        # No executor is in time otherwise, and the tightest fit decides.
        preferred = min(top_speed, PREFERRED_MARGIN * expected_s / slack_s)
    if slack_s >= estimated_s:
        # Jobs are refused from then on: until then the task may wait.
        least = WAIT_MARGIN * expected_s / slack_s
    useful_s = slack_s + (jobstate.MAX_USEFUL_OBJECTIVES - 1) * (
        state.objective_s
    )
    if useful_s > 0:
        least = max(
            least if least <= top_speed else 0.0, expected_s / useful_s
        )
    return SpeedNeed(preferred, least if least <= top_speed else 0.0)


class SpeedNeeds:
    """Tells the speeds that tasks need, compared with what there is.

    :param executors_by_id: all executors, by id
    :param speed_table: speeds of the executors and run times of queues
    """

    def __init__(
        self,
        *,
        executors_by_id: typing.Mapping[work.ExecutorId, executors.Executor],
        speed_table: speeds.SpeedTable,
    ) -> None:
        self._executors = executors_by_id
        self._table = speed_table
        self._usable: dict[ids.ServiceId, list[float]] = {}
        self._usable_at = -math.inf

    def need(
        self,
        state: jobstate.JobState,
        step: work.Step,
        *,
        delayed: int,
        now: float,
    ) -> SpeedNeed:
        """Return the speeds that a task needs.

        :param delayed: more urgent tasks that wait for a faster executor
        """
        if not self._table.is_uneven:
            return ANY_SPEED
        usable = self._usable_speeds(state.job.service, now)
        need = speed_need(
            state,
            step,
            now,
            factor=self._table.queue_factor(state.job.queue),
            top_speed=usable[-1] if usable else 1.0,
        )
        fast = len(usable) - bisect.bisect_left(usable, need.least)
        if delayed >= MAX_DELAYED_SHARE * fast:
            return need._replace(least=0.0)
        return need

    def _usable_speeds(
        self, service: ids.ServiceId, now: float
    ) -> list[float]:
        """Return the speeds of a service's executors in order.

        They may be a little old: this costs a pass over all executors.
        """
        if now - self._usable_at >= USABLE_SPEEDS_INTERVAL_S:
            self._usable_at = now
            self._usable.clear()
            for executor in self._executors.values():
                if executor.may_start(now):
                    rows = self._usable.setdefault(executor.report.service, [])
                    rows.append(executor.speed)
            for rows in self._usable.values():
                rows.sort()
        return self._usable.get(service, [])
