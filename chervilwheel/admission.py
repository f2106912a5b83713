"""Admit submissions, or refuse those that can't run in time."""

import typing

from chervilwheel import _runs
from chervilwheel import directory
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import learned
from chervilwheel import messages
from chervilwheel import teampolicy

# A service without endpoints is refused only after this time, counted from
# when it was last offered or from the start of the instance.
NO_ENDPOINT_GRACE_S = 2.0
# Assumed when a run time is neither learned nor declared.
DEFAULT_RUN_MS = 100.0
# Limits and default of the retry-after of refusals.
MIN_RETRY_S = 0.5
MAX_RETRY_S = 60.0
DEFAULT_RETRY_S = 1.0

Policies = typing.Callable[[ids.TeamId], teampolicy.TeamPolicy]
Loads = typing.Callable[[], typing.Sequence[messages.ZoneLoad]]


class LoadAdmission:
    """Refuse submissions by resources, expected wait and team quota.

    A submission is refused if no endpoint can run one of its tasks, if a
    task would likely miss its deadline, or if the team's queue is full.

    :param known: the endpoint directory of the zone
    :param loads: returns the recent loads of all zones
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
        self._directory = known
        self._loads = loads
        self._run_times = times
        self._policies = policies
        self._started_at = now
        self._last_offered_at: dict[ids.ServiceId, float] = {}
        self.is_draining = False

    def check(
        self, submission: _runs.Submission, now: float
    ) -> errors.NotRun | None:
        """Return the reason for a refusal, None if admitted."""
        if self.is_draining:
            return errors.NotRun(
                "this instance is stopping", retry_after_s=MIN_RETRY_S
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
        return self._check_queue_limit(submission, loads)

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
        local = self._directory.live_for_service(service, now=now)
        if not offers and not local:
            return self._check_not_offered(service, now)
        self._last_offered_at[service] = now
        refusal = self._check_resources(submission, service, local)
        if refusal is not None or not offers:
            return refusal
        wait_s = min(
            self._estimate_wait_s(submission, each, count) for each in offers
        )
        deadline_s = min(
            task.deadline_ms / 1000
            for task in submission.spec.tasks
            if task.service == service
        )
        if wait_s <= deadline_s:
            return None
        return errors.NotRun(
            f"{service}: the expected queue wait exceeds the task deadline",
            retry_after_s=min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s)),
        )

    def _check_not_offered(
        self, service: ids.ServiceId, now: float
    ) -> errors.NotRun | None:
        last_offered_at = self._last_offered_at.get(service, self._started_at)
        if now - last_offered_at < NO_ENDPOINT_GRACE_S:
            return None
        return errors.NotRun(
            f"{service}: no endpoint offers this service",
            retry_after_s=DEFAULT_RETRY_S,
        )

    @staticmethod
    def _check_resources(
        submission: _runs.Submission,
        service: ids.ServiceId,
        local: typing.Sequence[directory.Endpoint],
    ) -> errors.NotRun | None:
        with_resources = [each for each in local if each.processors]
        # Endpoints that announce no resources may fit any task.
        if not with_resources or len(with_resources) < len(local):
            return None
        for task in submission.spec.tasks:
            fits = task.service != service or any(
                task.processors <= each.processors
                and task.memory_mb <= each.memory_mb
                and task.accelerators <= each.accelerators
                for each in with_resources
            )
            if not fits:
                return errors.NotRun(
                    f"{service}: no endpoint has the resources for a task",
                    retry_after_s=MAX_RETRY_S,
                )
        return None

    def _estimate_wait_s(
        self,
        submission: _runs.Submission,
        load: messages.ServiceLoad,
        count: int,
    ) -> float:
        run_ms = self._estimate_run_ms(submission, load.service)
        queued = max(0, load.waiting + count - load.free)
        rounds = 1.0 + queued / load.slots
        return rounds * run_ms / 1000

    def _estimate_run_ms(
        self, submission: _runs.Submission, service: ids.ServiceId
    ) -> float:
        """Return the learned median, the declared time or the default."""
        times = self._run_times.get((service, submission.team))
        if times is not None:
            return times.quantile_ms(0.5)
        declared = [
            task.run_time_ms
            for task in submission.spec.tasks
            if task.service == service and task.run_time_ms
        ]
        return max(declared, default=DEFAULT_RUN_MS)

    def _check_queue_limit(
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
            f"{submission.team}: {waiting} tasks wait, the limit is {limit}",
            retry_after_s=DEFAULT_RETRY_S,
        )
