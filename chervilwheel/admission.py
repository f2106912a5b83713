"""Decide early what may be taken, and refuse the rest truly."""

import typing

from chervilwheel import _runs
from chervilwheel import directory
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import learned
from chervilwheel import messages
from chervilwheel import teampolicy

GRACE_S = 2.0
DEFAULT_RUN_MS = 100.0
LEAST_RETRY_S = 0.5
MAX_RETRY_S = 60.0
QUEUE_RETRY_S = 1.0

Policies = typing.Callable[[ids.TeamId], teampolicy.TeamPolicy]
Loads = typing.Callable[[], typing.Sequence[messages.ZoneLoad]]


class LoadAdmission:
    """Refuse what can't be placed or can't end before its deadline.

    :param known: the endpoint directory of the zone
    :param loads: what the zones' slot owners said lately
    :param times: learned run times by service and team
    :param policies: looks up a team's policy
    :param now: monotonic time at the start of the instance, seconds
    """

    def __init__(
        self,
        *,
        known: directory.Directory,
        loads: Loads,
        times: learned.LearnedTimes,
        policies: Policies,
        now: float,
    ) -> None:
        self._known = known
        self._loads = loads
        self._times = times
        self._policies = policies
        self._started_at = now
        self._offered_at: dict[ids.ServiceId, float] = {}
        self.is_draining = False

    def check(
        self, submission: _runs.Submission, now: float
    ) -> errors.NotRun | None:
        """Return why a submission may not be taken, with a retry-after."""
        if self.is_draining:
            return errors.NotRun(
                "this instance is stopping", retry_after_s=LEAST_RETRY_S
            )
        loads = self._loads()
        counts: dict[ids.ServiceId, int] = {}
        for task in submission.spec.tasks:
            counts[task.service] = counts.get(task.service, 0) + 1
        for service, count in counts.items():
            refusal = self._check_service(
                submission, service, count, loads, now
            )
            if refusal is not None:
                return refusal
        return self._check_queue(submission, loads)

    def _check_service(
        self,
        submission: _runs.Submission,
        service: ids.ServiceId,
        count: int,
        loads: typing.Sequence[messages.ZoneLoad],
        now: float,
    ) -> errors.NotRun | None:
        offers = [
            each
            for load in loads
            for each in load.services
            if each.service == service and each.slots
        ]
        local = self._known.offering(service, now=now)
        if not offers and not local:
            return self._check_grace(service, now)
        self._offered_at[service] = now
        too_big = self._check_size(submission, service, local)
        if too_big is not None or not offers:
            return too_big
        wait_s = min(self._wait_s(submission, each, count) for each in offers)
        deadline_s = min(
            task.deadline_ms / 1000
            for task in submission.spec.tasks
            if task.service == service
        )
        if wait_s <= deadline_s:
            return None
        return errors.NotRun(
            f"{service}: the queue is longer than the deadline",
            retry_after_s=min(MAX_RETRY_S, max(LEAST_RETRY_S, wait_s)),
        )

    def _check_grace(
        self, service: ids.ServiceId, now: float
    ) -> errors.NotRun | None:
        last = self._offered_at.get(service, self._started_at)
        if now - last < GRACE_S:
            return None
        return errors.NotRun(
            f"{service}: no endpoint offers it",
            retry_after_s=QUEUE_RETRY_S,
        )

    @staticmethod
    def _check_size(
        submission: _runs.Submission,
        service: ids.ServiceId,
        local: typing.Sequence[directory.Endpoint],
    ) -> errors.NotRun | None:
        sized = [each for each in local if each.processors]
        if not sized or len(sized) < len(local):
            return None
        for task in submission.spec.tasks:
            fits = task.service != service or any(
                task.processors <= each.processors
                and task.memory_mb <= each.memory_mb
                and task.accelerators <= each.accelerators
                for each in sized
            )
            if not fits:
                return errors.NotRun(
                    f"{service}: a task is bigger than any endpoint",
                    retry_after_s=MAX_RETRY_S,
                )
        return None

    def _wait_s(
        self,
        submission: _runs.Submission,
        load: messages.ServiceLoad,
        count: int,
    ) -> float:
        run_ms = self._run_ms(submission, load.service)
        ahead = max(0, load.waiting + count - load.free)
        rounds = 1.0 + ahead / load.slots
        return rounds * run_ms / 1000

    def _run_ms(
        self, submission: _runs.Submission, service: ids.ServiceId
    ) -> float:
        """Return what was learned, else what was declared, else a guess."""
        times = self._times.get((service, submission.team))
        if times is not None:
            return times.quantile_ms(0.5)
        declared = [
            task.run_time_ms
            for task in submission.spec.tasks
            if task.service == service and task.run_time_ms
        ]
        return max(declared, default=DEFAULT_RUN_MS)

    def _check_queue(
        self,
        submission: _runs.Submission,
        loads: typing.Sequence[messages.ZoneLoad],
    ) -> errors.NotRun | None:
        limit = self._policies(submission.team).queue_limit
        waiting = sum(
            each.waiting
            for load in loads
            for each in load.teams
            if each.team == submission.team
        )
        if waiting + len(submission.spec.tasks) <= limit:
            return None
        return errors.QuotaExceeded(
            f"{submission.team}: {waiting} tasks wait, {limit} may",
            retry_after_s=QUEUE_RETRY_S,
        )
