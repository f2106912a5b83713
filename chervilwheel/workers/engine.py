"""Assigns tasks to leased executors, without network access or a clock.

Each holder has one engine. Callers pass messages and the current time in and
get orders and answers from :meth:`Engine.take_actions`. It is designed for a
sustained load of about 70% of the capacity, in tasks of 60 to 900 ms.
"""

import collections
import enum
import logging
import typing

from chervilwheel import ids
from chervilwheel.workers import callerhosts
from chervilwheel.workers import clockestimate
from chervilwheel.workers import executors
from chervilwheel.workers import freeindex
from chervilwheel.workers import jobstate
from chervilwheel.workers import jobtable
from chervilwheel.workers import latestarts
from chervilwheel.workers import leases
from chervilwheel.workers import losses
from chervilwheel.workers import reconciler
from chervilwheel.workers import refusal
from chervilwheel.workers import risk
from chervilwheel.workers import speeds
from chervilwheel.workers import starter
from chervilwheel.workers import startreports
from chervilwheel.workers import takeover
from chervilwheel.workers import waitlimit
from chervilwheel.workers import warmup
from chervilwheel.workers import work

_LOG = logging.getLogger("engine")

# Maximum time that a holder without a quorum may use executors whose reports
# don't arrive here.
EXECUTOR_RETENTION_S = 60.0
# Doubled with each rejection up to the maximum, since an executor that has
# shrunk is known to have only with its next report.
NO_ROOM_PAUSE_S = 0.05
MAX_NO_ROOM_PAUSE_S = 0.8
UNHEALTHY_PAUSE_S = 0.5
# An executor that has listed its runs within this time is reachable, though
# the answer to a start was lost.
RECENT_ANSWER_S = 0.5
# When ticks are further apart than this, answers may have arrived unread.
MAX_TICK_INTERVAL_S = 0.05

# Answers to a start order that say that the run has not begun.
NOTHING_STARTED = (
    work.StartVerdict.FENCED,
    work.StartVerdict.NO_ROOM,
    work.StartVerdict.TOO_LATE,
    work.StartVerdict.NOT_SENT,
)

# Reason of answers to jobs with a task under which executors were lost, or
# that one of them may still begin.
LOSSES = "executors_lost"
# The same, if the task is given up since the executors have crashed.
CRASHES = "executors_crashed"


class Departure(enum.Enum):
    """Why an executor is gone: REPLACED by another incarnation."""

    DEREGISTERED = "deregistered"
    REPLACED = "replaced"
    SILENT = "silent"


class Engine:
    """Leases executors and runs jobs on them.

    :param token: the fencing token of this holder
    :param token_steps: the tokens for later incarnations of an executor
    :param reports_complete_at: time from which on reports have been received
        from all executors that another holder may have used, seconds
    :param now: monotonic time, seconds
    :param lease_limits: lease limits of the executors
    :param former_until: when a standby's former holder has sent its last
        order, seconds; None for a leader, which it precedes
    :param entries_heard_at: when each entry host that used the former holder
        was last heard of, seconds
    :param resend_s: callers wait this long before they send a job again
    :param is_given_up: whether any holder has given a job up
    :ivar withheld: number of jobs that are new here and waited nevertheless,
        since another holder might have started them
    :ivar shares_reports: whether an executor is used only once
        :meth:`reports_shared` tells that its first report is known elsewhere
    """

    def __init__(
        self,
        *,
        token: int,
        reports_complete_at: float,
        now: float,
        lease_limits: leases.LeaseLimits,
        former_until: float | None = None,
        entries_heard_at: typing.Mapping[ids.InstanceId, float] | None = None,
        resend_s: float = 0.0,
        is_given_up: typing.Callable[[ids.JobId], bool] = lambda _job: False,
        token_steps: leases.TokenSteps = leases.TokenSteps(),
    ) -> None:
        self.executors: dict[work.ExecutorId, executors.Executor] = {}
        self.shares_reports = False
        self._ticked_at = now
        self._fences_checked_at = now - leases.FENCED_PAUSE_S
        self.verdicts: collections.Counter[str] = collections.Counter()
        self.withheld = 0
        self._limits = lease_limits
        self._is_given_up = is_given_up
        self._reports_complete_at = reports_complete_at
        self._unshared: dict[work.ExecutorId, work.ExecutorReport] = {}
        self._actions: list[work.Action] = []
        self._job_table = jobtable.JobTable(actions=self._actions)
        self._free_index = freeindex.FreeIndex()
        self._leases = leases.LeaseManager(
            token=token,
            limits=lease_limits,
            actions=self._actions,
            token_steps=token_steps,
        )
        self._losses = losses.LossTracker(
            job_table=self._job_table, actions=self._actions
        )
        self._risk = risk.QueueRisk()
        self._late_starts = latestarts.LateStarts(
            executors_by_id=self.executors, job_table=self._job_table
        )
        self._start_reports = startreports.StartReports(
            executors_by_id=self.executors,
            job_table=self._job_table,
            late_starts=self._late_starts,
            actions=self._actions,
        )
        self.speeds = speeds.SpeedTable()
        self._starter = starter.Starter(
            executors_by_id=self.executors,
            free_index=self._free_index,
            job_table=self._job_table,
            lease_manager=self._leases,
            loss_tracker=self._losses,
            queue_risk=self._risk,
            speed_table=self.speeds,
            late_starts=self._late_starts,
            start_reports=self._start_reports,
            actions=self._actions,
        )
        self._reconciler = reconciler.RunReconciler(
            executors_by_id=self.executors,
            job_table=self._job_table,
            lease_manager=self._leases,
            speed_table=self.speeds,
            late_starts=self._late_starts,
            finish=self._finish,
        )
        self._refuser = refusal.Refuser(
            executors_by_id=self.executors,
            job_table=self._job_table,
            job_starter=self._starter,
            finish=self._finish,
            wait_limit=waitlimit.SlackLimit(),
            reports_complete_at=reports_complete_at,
            now=now,
        )
        # Runs of executors that are gone, until their orders are answered.
        self._departed_starts: dict[
            tuple[work.ExecutorId, work.TaskId, int],
            tuple[executors.Executor, executors.Run],
        ] = {}
        self._closed_zones: frozenset[ids.ZoneId] = frozenset()
        self._cold_rates: dict[ids.ServiceId, warmup.ColdRate] = {}
        self._former_until = former_until
        self._caller_hosts = callerhosts.CallerHosts(
            heard_at=entries_heard_at or {},
            resend_s=resend_s,
            until=takeover.leases_end(lease_limits, now, former_until),
        )
        self._takeovers = takeover.Takeovers(
            limits=lease_limits,
            reports_complete_at=reports_complete_at,
            now=now,
            former_until=former_until,
            caller_hosts=self._caller_hosts,
        )

    @property
    def starts(self) -> int:
        """Number of start orders issued so far."""
        return self._starter.starts

    @property
    def releases(self) -> typing.Mapping[takeover.Proof, int]:
        """Number of taken-over jobs released so far, by the proof."""
        return self._takeovers.releases

    def former_leases_s(self, now: float) -> float:
        """Return how long runs of the former holder may last, seconds."""
        return self._takeovers.leases_end_at - now

    def own_leases_s(self, now: float) -> float:
        """Return how long runs may last if this holder ends, seconds."""
        ends = [
            executor.latest_end_at(executor.lease_deadline_ms)
            for executor in self.executors.values()
            if executor.runs
        ]
        return max(ends, default=now) - now

    @property
    def unanswered_starts(self) -> int:
        """Number of start orders whose result isn't known."""
        unknown = (executors.RunState.STARTING, executors.RunState.UNSURE)
        return sum(
            run.state in unknown
            for executor in self.executors.values()
            for run in executor.runs.values()
        )

    @property
    def inherited_starts(self) -> int:
        """Number of start orders of earlier holders that might be late."""
        return self._late_starts.inherited

    @property
    def refusals(self) -> int:
        """Number of jobs refused for want of room."""
        return self._refuser.refusals

    @property
    def closed_zone_refusals(self) -> int:
        """Number of jobs refused because zones are closed."""
        return self._refuser.closed_zone_refusals

    @property
    def token(self) -> int:
        """The current fencing token."""
        return self._leases.token

    @property
    def highest_token(self) -> int:
        """The highest fencing token that an executor may have seen."""
        return self._leases.highest_token

    @property
    def needs_token(self) -> bool:
        """Whether an executor has started again too often for the token."""
        return self._leases.are_steps_used

    def is_token_of(self, token: int, name: work.ExecutorId) -> bool:
        """Return whether orders to an executor have a fencing token now."""
        executor = self.executors.get(name)
        return executor is not None and token == self._leases.token_of(
            executor
        )

    @property
    def is_fenced_off(self) -> bool:
        """Whether executors obey another holder, and none obeys this one."""
        is_fenced = False
        for executor in self.executors.values():
            if executor.is_synced:
                return False
            is_fenced |= executor.is_fenced
        return is_fenced

    @property
    def jobs(self) -> typing.Mapping[ids.JobId, jobstate.JobState]:
        """Current jobs and recently ended ones, by id."""
        return self._job_table.jobs

    @property
    def unused(self) -> list[work.ReportKey]:
        """The last reports of executors that aren't used before the next."""
        return [
            executor.report.key
            for executor in self.executors.values()
            if executor.is_unused
        ]

    def take_actions(self) -> list[work.Action]:
        """Return and clear the pending orders and answers."""
        actions = list(self._actions)
        self._actions.clear()
        return actions

    def report(
        self,
        report: work.ExecutorReport,
        now: float,
        *,
        age_s: float = 0.0,
        is_unused: bool = False,
    ) -> None:
        """Process the status report of an executor.

        :param age_s: time since a control host received it, seconds
        :param is_unused: whether the leader before this one had given the
            executor up and not used it since this report
        """
        executor = self.executors.get(report.id)
        is_first = executor is None or (
            executor.is_unused and report.key > executor.report.key
        )
        if executor is None:
            if report.is_gone and age_s > work.DEPARTURE_RETENTION_S:
                return
            executor = executors.Executor(
                report=report,
                last_report_at=now - age_s,
                stop_s=self._limits.stop_s,
                on_free_changed=self._free_index.update,
                is_closed=report.zone in self._closed_zones,
                cold_rate=self._cold_rate(report.service),
                is_unused=is_unused,
            )
            self.executors[report.id] = executor
            self._free_index.update(executor)
            self._refuser.executors_changed()
            self._leases.add_executor(executor)
            self._reconciler.add_executor(executor)
            self._add_speed(executor, now)
        elif not executor.accepts(report):
            return
        elif report.born_ms > executor.born_ms:
            executor = self._replace_incarnation(
                executor, report, report.born_ms, report.clock_ms, now
            )
        if is_first and self.shares_reports:
            executor.is_unshared = True
            self._unshared[report.id] = report
        if report.is_gone:
            self._deregister(executor, report, now, age_s=age_s)
            return
        if report.is_draining and not executor.report.is_draining:
            executor.draining_since = now
        executor.is_closed = report.zone in self._closed_zones
        if report.room != executor.report.room or executor.is_report_due:
            self._refuser.executors_changed()
        executor.update_report(report)
        executor.update_cold(now - age_s)
        executor.last_report_at = max(executor.last_report_at, now - age_s)
        executor.clock.record_report(report.clock_ms, now, age_s=age_s)
        self._maintain(executor, now)

    def used_silently(
        self, silent_s: float, now: float
    ) -> list[work.ExecutorReport]:
        """Return the last reports of executors used without later ones.

        :param silent_s: time since the last one, seconds
        """
        return [
            executor.report
            for executor in self.executors.values()
            if now - executor.last_report_at >= silent_s
            and (executor.runs or executor.is_synced)
            and not (executor.is_unused or executor.report.is_gone)
        ]

    def used_reports(self) -> list[tuple[float, work.ExecutorReport]]:
        """Return the reports of executors that may have runs.

        :returns: each with when its executor was last heard of, seconds
        """
        return [
            (
                executor.last_report_at
                if executor.report.is_gone
                else max(executor.last_report_at, executor.listed_at),
                executor.report,
            )
            for executor in self.executors.values()
            if executor.runs or executor.is_synced or executor.report.is_gone
        ]

    def standby_ended(self, host: ids.InstanceId, now: float) -> None:
        """Record that a standby's reports, as used here, have arrived."""
        self._takeovers.standby_ended(host, now)

    def await_reports(self, *, is_waiting: bool) -> None:
        """Set whether other hosts may have reports that are lacking here."""
        self._takeovers.awaits_reports = is_waiting

    def take_unshared(self) -> list[work.ExecutorReport]:
        """Return and clear the reports that another holder may lack."""
        reports = list(self._unshared.values())
        self._unshared.clear()
        return reports

    def reports_shared(
        self, names: typing.Iterable[work.ExecutorId], now: float
    ) -> None:
        """Use executors that the next holder knows."""
        for name in names:
            if name in self.executors and name not in self._unshared:
                self.executors[name].is_unshared = False
        self._starter.place(now)

    def _deregister(
        self,
        executor: executors.Executor,
        report: work.ExecutorReport,
        now: float,
        *,
        age_s: float,
    ) -> None:
        """Stop the runs of an executor that leaves.

        It runs them until it has the acknowledgement, which may be lost, so
        that their tasks wait for a proof that they have ended. The report's
        clock is an estimate and isn't used.
        """
        if not executor.report.is_gone:
            _LOG.info(
                "engine: an executor leaves",
                extra={"executor": executor.id, "runs": len(executor.runs)},
            )
        executor.update_report(report)
        executor.last_report_at = now - age_s
        self._takeovers.executor_left(now - age_s + work.DEPARTURE_RETENTION_S)
        self._refuser.executors_changed()
        for run in executor.runs.values():
            if run.state is not executors.RunState.STOPPING:
                self._leases.stop(executor, run, now)
        self._maintain(executor, now)

    def close_zones(
        self, zones: typing.Collection[ids.ZoneId], now: float
    ) -> None:
        """Start nothing in some zones, until a call without them.

        Runs there end by themselves.
        """
        self._closed_zones = frozenset(zones)
        for executor in self.executors.values():
            is_closed = executor.report.zone in self._closed_zones
            if executor.is_closed and not is_closed:
                executor.cold = warmup.reopened(now)
            executor.is_closed = is_closed
        self._refuser.zones_changed(now, has_closed=bool(zones))
        self._starter.place(now)

    def _learn_cold_rate(self, job: work.Job) -> None:
        """Store what is configured for cold executors of a job's service."""
        rate = warmup.ColdRate(job.cold_start_s, job.cold_per_s)
        if rate == self._cold_rate(job.service):
            return
        self._cold_rates[job.service] = rate
        for executor in self.executors.values():
            if executor.report.service == job.service:
                executor.cold_rate = rate

    def _cold_rate(self, service: ids.ServiceId) -> warmup.ColdRate:
        return self._cold_rates.get(service, warmup.ColdRate())

    def record_entry_heartbeat(
        self, entry: ids.InstanceId, now: float
    ) -> None:
        """Record a heartbeat of an entry host that follows this holder.

        It comes after the offers of all its jobs.
        """
        self._starter.record_heartbeat(entry, now)
        self._caller_hosts.joined(entry, now)

    def offer(self, job: work.Job, entry: ids.InstanceId, now: float) -> None:
        """Accept a job, or attach to the existing one with its id."""
        self._starter.record_heartbeat(entry, now)
        existing = self._job_table.jobs.get(job.id)
        if existing is not None:
            is_repeated = existing.is_repeated_by(job, entry)
            existing.add_offer(job, entry, now)
            self._inherit_starts(existing, job.starts, now)
            if not existing.is_finished:
                if existing.needs_takeover(job):
                    existing.restart_takeover(job, now)
                    self._losses.offered(existing, now)
                    self._takeovers.add(existing)
                    self._job_table.waiting.add(existing)
                    self._reconciler.adopt(existing, now)
                return
            if existing.answer and _is_final(existing.answer):
                # Its caller goes on sending it until it gets a clear answer.
                self._job_table.keep(existing, now)
                self._actions.append(existing.answer)
                return
            if is_repeated and existing.answer:
                # Its refusal is on the way; it must not run after that.
                self._actions.append(existing.answer)
                return
            if existing.open_runs:
                self._actions.append(
                    work.Answer(job.id, work.Outcome.LOST, reason="unsettled")
                )
                return
        if self._is_given_up(job.id):
            _LOG.info(
                "engine: a given-up job is offered again",
                extra={"job": job.id, "offers": job.offers},
            )
            state = self._job_table.add(job, entry, now)
            self._finish(state, work.Outcome.LOST, now, reason=CRASHES)
            return
        job = self._after_earlier_runs(job, existing, now)
        self._learn_cold_rate(job)
        state = self._job_table.add(job, entry, now)
        self._losses.offered(state, now)
        self._inherit_starts(state, job.starts, now)
        if self._refuser.refuse_hopeless(state, now):
            return
        self._job_table.waiting.add(state)
        if state.is_taking_over:
            # Released by the next tick: each check costs time that grows with
            # the numbers of executors and jobs.
            self._takeovers.add(state)
            self._reconciler.adopt(state, now)
        else:
            self._starter.place_new(state, now)
            self._refuser.admit(state, now)

    def _inherit_starts(
        self,
        state: jobstate.JobState,
        starts: typing.Sequence[work.OpenStart],
        now: float,
    ) -> None:
        """Reckon with the orders that a job has had from earlier holders.

        :param starts: those that its entry host knows of
        """
        self._late_starts.inherit(state.job.id, starts, now)
        self._start_reports.offered(state.job.id, starts, now)
        for name in {start.executor for start in starts}:
            executor = self.executors.get(name)
            if executor is not None and executor.unreachable_since:
                self._stop_beside_late_starts(executor, now)

    def _after_earlier_runs(
        self,
        job: work.Job,
        existing: jobstate.JobState | None,
        now: float,
    ) -> work.Job:
        """Return a job that waits for its earlier runs, if it may have any.

        :param existing: the ended job with its id, if there is one
        """
        if existing is not None and (
            existing.is_started or existing.is_taking_over
        ):
            heard_at = existing.heard_at
            if job.offers:
                heard_at = max(heard_at, now - job.former_silent_ms / 1000)
            job = job._replace(
                offers=job.offers + existing.job.offers + 1,
                former_silent_ms=int((now - heard_at) * 1000),
            )
        if existing is not None:
            job = job._replace(losses=(*job.losses, *existing.losses))
        if job.offers:
            return job
        if self._reconciler.has_orphans(job.id):
            # Another entry host had offered it to a former holder.
            return job._replace(offers=1)
        lost = existing.lost_entries if existing is not None else {}
        if self._caller_hosts.may_hide_runs(now) or self._caller_hosts.missing(
            lost, now
        ):
            silent_s = self._takeovers.former_silent_s(now)
            job = job._replace(offers=1, former_silent_ms=int(silent_s * 1000))
            self.withheld += 1
        return job

    def cancel(
        self,
        job: ids.JobId,
        now: float,
        outcome: work.Outcome = work.Outcome.CANCELLED,
    ) -> bool:
        """Stop a job.

        :param outcome: LOST when no caller requested it
        :returns: whether the job exists and had not ended
        """
        state = self._job_table.jobs.get(job)
        if state is None or state.is_finished:
            return False
        _LOG.info(
            "engine: a job is cancelled",
            extra={
                "job": job,
                "started": state.is_started,
                "outcome": outcome.value,
            },
        )
        self._finish(state, outcome, now, reason="cancelled")
        self._starter.place(now)
        return True

    def leave(self, job: ids.JobId, entry: ids.InstanceId, now: float) -> None:
        """Stop a job whose callers have left, unless others wait for it."""
        state = self._job_table.jobs.get(job)
        if state is None or state.is_finished or state.remove_entry(entry):
            return
        self.cancel(job, now, work.Outcome.LOST)

    def entry_ended(self, entry: ids.InstanceId) -> None:
        """Record that an entry host ends and has answered all its callers.

        Jobs that it shares with others go on for these.
        """
        self._caller_hosts.ended(entry)
        for state in self._job_table.active:
            if entry in state.answered:
                state.remove_entry(entry)

    def end_entry_jobs(self, entry: ids.InstanceId, now: float) -> None:
        """Stop the jobs of an entry host whose heartbeats have stopped.

        It may have handed them to another holder, so that they don't go on
        for another entry host either.
        """
        has_ended = self._caller_hosts.has_ended(entry)
        for state in list(self._job_table.active):
            if entry not in state.answered:
                continue
            if has_ended and state.remove_entry(entry):
                continue
            if not has_ended:
                state.lose_entry(entry, now, max_run_s=self._limits.max_run_s)
            # LOST, since the host may return and offer the job again.
            self._finish(state, work.Outcome.LOST, now, reason="entry_lost")

    def started(
        self,
        order: work.StartOrder,
        verdict: work.StartVerdict,
        clock_ms: int,
        now: float,
    ) -> None:
        """Process the answer to a start order."""
        self.verdicts[verdict.value] += 1
        self._answer_departed_start(order, verdict, now)
        executor = self.executors.get(order.executor)
        if executor is None:
            return
        is_current = order.born_ms == executor.born_ms
        run = executor.runs.get(order.task)
        if run is None or run.number != order.run:
            return
        if clock_ms and is_current:
            self._record_clock(executor, clock_ms, run.ordered_at, now)
        if clock_ms:
            self._leases.round_trips.record(now - run.ordered_at)
        if verdict is work.StartVerdict.STARTED:
            run.confirm(now)
            executor.rejections = 0
            return
        if verdict is work.StartVerdict.UNKNOWN:
            if run.state is executors.RunState.STARTING:
                run.state = executors.RunState.UNSURE
            if now - executor.listed_at > RECENT_ANSWER_S:
                executor.unusable_until = now + leases.RENEWAL_RETRY_S
            self._leases.poll(executor, now)
            return
        if is_current:
            self._start_refused(executor, run, verdict, now)
            return
        # It says nothing about the current incarnation.
        executor.remove_run(run.task)
        self._job_table.requeue(run)
        self._starter.place(now)

    def _answer_departed_start(
        self, order: work.StartOrder, verdict: work.StartVerdict, now: float
    ) -> None:
        """Requeue the run of an executor that is gone, maybe as lost."""
        key = (order.executor, order.task, order.run)
        executor, run = self._departed_starts.pop(key, (None, None))
        if executor is None or run is None:
            return
        if verdict is work.StartVerdict.STARTED:
            run.confirm(now)
        if verdict in (work.StartVerdict.STARTED, work.StartVerdict.UNKNOWN):
            self._losses.lost(executor, run, now)
            self._give_up_crashing(self._losses.replaced(executor), now)
        self._job_table.requeue(run)
        self._starter.place(now)

    def _start_refused(
        self,
        executor: executors.Executor,
        run: executors.Run,
        verdict: work.StartVerdict,
        now: float,
    ) -> None:
        no_room_pause_s = min(
            MAX_NO_ROOM_PAUSE_S, NO_ROOM_PAUSE_S * 2**executor.rejections
        )
        executor.rejections += verdict is work.StartVerdict.NO_ROOM
        pauses = {
            work.StartVerdict.NO_ROOM: no_room_pause_s,
            work.StartVerdict.UNHEALTHY: UNHEALTHY_PAUSE_S,
            work.StartVerdict.FENCED: leases.RENEWAL_RETRY_S,
            work.StartVerdict.NOT_SENT: leases.RENEWAL_RETRY_S,
        }
        pause_s = pauses.get(verdict, 0.0)
        executor.unusable_until = max(executor.unusable_until, now + pause_s)
        if verdict is work.StartVerdict.OTHER_LIFE:
            # Its run never began, so it wasn't lost with the executor.
            executor.remove_run(run.task)
            self._job_table.requeue(run)
            self._remove_executor(executor, now, why=Departure.REPLACED)
            return
        if verdict is work.StartVerdict.FENCED:
            executor.is_synced = False
            executor.is_fenced = True
        _LOG.info(
            "engine: a start was refused",
            extra={
                "task": run.task,
                "executor": executor.id,
                "verdict": verdict.value,
            },
        )
        executor.remove_run(run.task)
        state = self._job_table.jobs.get(run.task.job)
        if state is not None and verdict in NOTHING_STARTED:
            state.refused_starts += 1
        self._job_table.requeue(run)
        self._starter.place(now)

    def held(
        self,
        order: work.HoldOrder,
        answer: work.HoldAnswer,
        sent_at: float,
        now: float,
    ) -> None:
        """Process the answer to a lease renewal."""
        executor = self.executors.get(order.executor)
        if executor is None:
            return
        is_superseded = not order.is_poll and order.number < executor.renewal
        if not order.is_poll and not is_superseded:
            executor.is_renewing = False
        executor = self._find_incarnation(executor, answer, sent_at, now)
        is_current = order.born_ms == executor.born_ms
        if not is_current and answer.born_ms != executor.born_ms:
            return
        if is_current and 0 < answer.born_ms < executor.born_ms:
            answer = work.HoldAnswer(work.HoldVerdict.UNKNOWN)
        if answer.verdict is work.HoldVerdict.OTHER_LIFE:
            self._remove_executor(executor, now, why=Departure.REPLACED)
            return
        has_answered_since = executor.listed_at >= sent_at
        if answer.verdict is work.HoldVerdict.UNKNOWN and (
            is_superseded or has_answered_since
        ):
            return
        if answer.verdict is not work.HoldVerdict.HELD:
            was_reachable = not executor.unreachable_since
            self._leases.renewal_failed(executor, order, answer, now)
            if was_reachable and executor.unreachable_since:
                self._executor_unreachable(executor, now)
            return
        self._give_up_crashing(self._losses.answered(executor, sent_at), now)
        self._record_clock(executor, answer.clock_ms, sent_at, now)
        self._leases.held(executor, order, answer, sent_at, now)
        for run in self._reconciler.reconcile(executor, answer, sent_at, now):
            former = typing.cast(executors.Executor, run.former)
            self._losses.lost(former, run, now)
            self._give_up_crashing(self._losses.replaced(former), now)
        self._starter.place(now, executor)
        self._maintain(executor, now)

    def _find_incarnation(
        self,
        executor: executors.Executor,
        answer: work.HoldAnswer,
        sent_at: float,
        now: float,
    ) -> executors.Executor:
        """Return the incarnation known after an answer, maybe a later one."""
        if answer.born_ms <= executor.born_ms:
            return executor
        oldest_ms = (
            executor.clock.lower_ms(sent_at) - clockestimate.MAX_READING_AGE_MS
        )
        if not executor.born_ms and answer.clock_ms >= oldest_ms:
            # Its clock has gone on; only its reports lacked the start time.
            executor.born_ms = answer.born_ms
            return executor
        return self._replace_incarnation(
            executor, executor.report, answer.born_ms, answer.clock_ms, now
        )

    def _add_speed(self, executor: executors.Executor, now: float) -> None:
        executor.speed = self.speeds.add_executor(
            executor.id, executor.born_ms, now
        )

    def _replace_incarnation(
        self,
        former: executors.Executor,
        report: work.ExecutorReport,
        born_ms: int,
        clock_ms: int,
        now: float,
    ) -> executors.Executor:
        """Replace an executor that has started again under its id.

        The runs of the former incarnation are kept until the lists of the
        later one show which of them it has.

        :param report: the latest report, maybe of the former incarnation
        """
        executor = executors.Executor(
            report=report,
            last_report_at=former.last_report_at,
            stop_s=self._limits.stop_s,
            on_free_changed=self._free_index.update,
            renewal=former.renewal + 1,
            born_ms=born_ms,
            is_report_due=report.born_ms != born_ms,
            is_closed=report.zone in self._closed_zones,
            cold_rate=former.cold_rate,
            is_unused=former.is_unused and report is former.report,
            is_unshared=former.is_unshared,
        )
        executor.clock.record_report(clock_ms, now)
        self._reset_lease(executor, now)
        former.is_gone = True
        former.on_free_changed = lambda _: None
        self.executors[former.id] = executor
        self._free_index.update(executor)
        self._refuser.executors_changed()
        self._leases.add_executor(executor)
        self._reconciler.add_executor(executor)
        self._add_speed(executor, now)
        _LOG.info(
            "engine: an executor has started again",
            extra={
                "executor": former.id,
                "born_ms": born_ms,
                "token": self._leases.token_of(executor),
                "runs": len(former.runs),
            },
        )
        if not former.unreachable_since:
            self._executor_unreachable(former, now)
            former.unreachable_since = now
        for run in list(former.runs.values()):
            former.remove_run(run.task)
            run.inherit(former, now)
            executor.add_run(run)
        self._give_up_crashing(self._losses.replaced(former), now)
        return executor

    def _record_clock(
        self,
        executor: executors.Executor,
        clock_ms: int,
        sent_at: float,
        now: float,
    ) -> None:
        """Use the clock reading of an answer.

        :param sent_at: when the order was sent, seconds
        """
        if not executor.clock.record_answer(
            clock_ms, sent_at=sent_at, now=now
        ):
            self._reset_lease(executor, now)

    def _reset_lease(self, executor: executors.Executor, now: float) -> None:
        """Reckon with the longest lease, on a clock that has begun anew.

        Orders to the former incarnation may have extended it.
        """
        longest_s = self._limits.max_lease_s + starter.START_LEASE_S
        executor.lease_deadline_ms = 0
        executor.foreign_lease_until = now + longest_s / (
            1 - clockestimate.MAX_CLOCK_DRIFT
        )

    def _executor_unreachable(
        self, executor: executors.Executor, now: float
    ) -> None:
        executor.lost_together = len(executor.runs)
        if not executor.report.is_draining and not executor.is_fenced:
            queues = losses.queues_of_early_runs(executor, self.jobs, now)
            self._risk.record_loss(queues, now)
        self._stop_beside_late_starts(executor, now)

    def _stop_beside_late_starts(
        self, lost: executors.Executor, now: float
    ) -> None:
        """Stop runs of tasks that a lost executor may begin when it is back.

        They start again once it rejects the order that it had before.
        """
        for task in self._late_starts.tasks_of(lost):
            state = self._job_table.jobs.get(task.job)
            found = state.find_task(task) if state is not None else None
            name = found.executor if found is not None else None
            other = self.executors.get(name or "")
            run = other.runs.get(task) if other is not None else None
            if other is None or run is None or name == lost.id:
                continue
            if run.state is executors.RunState.STOPPING:
                continue
            _LOG.info(
                "engine: a run is stopped, since a lost executor may begin it",
                extra={
                    "task": task,
                    "run": run.number,
                    "executor": other.id,
                    "lost": lost.id,
                },
            )
            self._leases.stop(other, run, now)

    def _give_up_crashing(
        self, states: typing.Iterable[jobstate.JobState], now: float
    ) -> None:
        """End jobs with a task that may crash its executors.

        They are lost rather than failed: a run may have ended, or may never
        have begun, when its executor crashed.
        """
        for state in states:
            if not state.is_finished:
                self._finish(state, work.Outcome.LOST, now, reason=CRASHES)

    def stopped(
        self, order: work.StopOrder, clock_ms: int, now: float
    ) -> None:
        """Process an executor's answer that it has stopped a run."""
        executor = self.executors.get(order.executor)
        if executor is None or order.born_ms != executor.born_ms:
            return
        if clock_ms:
            executor.clock.record_report(clock_ms, now)
        run = executor.runs.get(order.task)
        if run is not None and run.number == order.run:
            run.blocked_at = now
            if not run.confirmed_at:
                self._leases.poll(executor, now)

    def _remove_executor(
        self, executor: executors.Executor, now: float, *, why: "Departure"
    ) -> None:
        """Remove an executor that has ended, and requeue its runs."""
        if executor.report.is_gone:
            # It left as planned, also if a successor's answer shows that.
            why = Departure.DEREGISTERED
        executor.is_gone = True
        executor.on_free_changed = self._free_index.remove
        self._free_index.remove(executor)
        self.executors.pop(executor.id, None)
        self._refuser.executors_changed()
        self._leases.remove_executor(executor)
        self._reconciler.remove_executor(executor)
        self.speeds.remove_executor(executor.id)
        _LOG.info(
            "engine: an executor is gone",
            extra={
                "executor": executor.id,
                "why": why.value,
                "runs": len(executor.runs),
            },
        )
        if not executor.unreachable_since:
            executor.lost_together = len(executor.runs)
        for run in list(executor.runs.values()):
            executor.remove_run(run.task)
            if why is Departure.REPLACED:
                if run.state is executors.RunState.STARTING:
                    # The other incarnation may reject the order too.
                    key = (executor.id, run.task, run.number)
                    self._departed_starts[key] = (executor, run)
                    continue
                self._losses.lost(executor, run, now)
            self._job_table.requeue(run)
        if why is Departure.REPLACED:
            self._late_starts.remove_executor(executor)
            self._give_up_crashing(self._losses.replaced(executor), now)
        self._starter.place(now)

    def _finish(
        self,
        state: jobstate.JobState,
        outcome: work.Outcome,
        now: float,
        reason: str = "",
        retry_after_ms: int = 0,
    ) -> None:
        """Answer a job and stop its remaining runs."""
        answer = work.Answer(state.job.id, outcome, retry_after_ms, reason)
        if outcome in (work.Outcome.FAILED, work.Outcome.LOST):
            _log_unsuccessful(state, answer)
        self._job_table.finish(state, answer, now)
        for row in state.tasks:
            for task in row:
                executor = self.executors.get(task.executor or "")
                run = executor.runs.get(task.id) if executor else None
                if executor is None or run is None:
                    continue
                if run.state is not executors.RunState.STOPPING:
                    self._leases.stop(executor, run, now)

    def tick(self, now: float) -> None:
        """Perform all periodic work that is due."""
        for state in self._takeovers.release_ready(
            self.executors.values(), now
        ):
            self._job_table.waiting.add(state)
        is_prompt = now - self._ticked_at <= MAX_TICK_INTERVAL_S
        self._ticked_at = now
        for executor in list(self.executors.values()):
            self._reconciler.stop_orphans(executor, now)
            if is_prompt:
                self._reconciler.probe_starts(executor, now)
                self._leases.poll_if_overdue(executor, now)
            self._maintain(executor, now)
        self._give_up_taken_over(now)
        if self._former_until is not None:
            self._end_timed_out(now)
        # Late jobs get room that is free rather than a refusal.
        self._starter.place(now)
        self._refuser.refuse_overdue(now)
        for state in self._losses.overdue(now):
            self._finish(state, work.Outcome.LOST, now, reason=LOSSES)
        for state in self._late_starts.overdue(now):
            self._finish(state, work.Outcome.LOST, now, reason=LOSSES)
        self._late_starts.purge(now)
        self._start_reports.report_settled(now)
        self._job_table.purge(now)
        self._losses.purge()

    def _maintain(self, executor: executors.Executor, now: float) -> None:
        """Drop expired runs or the executor, and renew its lease when due."""
        if executor.unreachable_since or executor.report.is_gone:
            self._drop_expired_runs(executor, now)
        if _has_left(executor, now):
            self._remove_executor(executor, now, why=Departure.DEREGISTERED)
            return
        has_runs = any(run.former is None for run in executor.runs.values())
        if (
            now - executor.last_report_at > EXECUTOR_RETENTION_S
            and not has_runs
            and (not executor.runs or executor.unreachable_since)
        ):
            self._remove_executor(executor, now, why=Departure.SILENT)
            return
        are_runs_known = (
            executor.listed_at > 0.0 or now >= self._takeovers.leases_end_at
        )
        if are_runs_known and leases.is_given_up(executor, now):
            executor.is_unused = True
        self._leases.renew_if_due(
            executor,
            now,
            poll_after=self._takeovers.poll_after,
            is_watched=self._late_starts.is_watched(executor),
        )

    def _drop_expired_runs(
        self, executor: executors.Executor, now: float
    ) -> None:
        """Requeue the runs of an unreachable executor that have expired."""
        silent_since = executor.unreachable_since or executor.last_report_at
        for run in self._leases.lapsed(executor, now):
            _LOG.info(
                "engine: a run's lease has ended",
                extra={
                    "task": run.task,
                    "run": run.number,
                    "executor": executor.id,
                    "silent_s": round(now - silent_since, 3),
                    "confirmed": bool(run.confirmed_at),
                    "ran_s": round(silent_since - run.ordered_at, 3),
                    "lease_ms": executor.lease_deadline_ms,
                    "order_ms": run.order_deadline_ms,
                    "clock_ms": int(executor.clock.lower_ms(now)),
                    "clock_age_s": round(executor.clock.age_s(now), 3),
                },
            )
            executor.remove_run(run.task)
            self._late_starts.add(executor, run)
            self._losses.lost(run.former or executor, run, now)
            self._job_table.requeue(run)

    def raise_token(self, token: int, now: float) -> None:
        """Use a higher fencing token for all further orders."""
        self._leases.raise_token(token, self.executors.values(), now)

    def check_fences(self, now: float) -> None:
        """Find out which executors still obey the fencing token.

        Those without runs aren't asked for anything otherwise.
        """
        if now - self._fences_checked_at < leases.FENCED_PAUSE_S:
            return
        self._fences_checked_at = now
        for executor in self.executors.values():
            if executor.is_synced:
                self._leases.poll(executor, now)

    def refuse_unstarted(self, now: float, *, reason: str) -> None:
        """Refuse the jobs of which no holder has begun a run."""
        unstarted = [s for s in self._job_table.active if s.has_never_run]
        for state in unstarted:
            self._finish(
                state,
                work.Outcome.REFUSED,
                now,
                reason=reason,
                retry_after_ms=refusal.NO_ROOM_RETRY_MS,
            )

    def _give_up_taken_over(self, now: float) -> None:
        """Answer the taken-over jobs without a run that will be too late."""
        for state in self._job_table.waiting.all_jobs():
            if not state.job.offers or state.is_started:
                continue
            start_at = now
            if state.is_taking_over:
                start_at = self._takeovers.expected_release(state, now)
            if state.is_worthless(start_at):
                self._finish(state, work.Outcome.LOST, now, reason="too_late")

    def _end_timed_out(self, now: float) -> None:
        """End the jobs of a standby whose callers have timed out.

        They may send them again to an entry host that follows a leader.
        """
        for state in list(self._job_table.active):
            if now >= state.callers_end_at:
                self._finish(
                    state, work.Outcome.LOST, now, reason="caller_timeout"
                )

    def count_closed(self) -> int:
        """Return the number of executors in closed zones."""
        return sum(each.is_closed for each in self.executors.values())

    def count_cold(self, now: float) -> int:
        """Return the number of executors that are cold."""
        return sum(each.cold.is_cold(now) for each in self.executors.values())

    def waiting_by_queue(self) -> dict[str, int]:
        """Return the number of jobs that have not started, by queue."""
        return self._job_table.waiting_by_queue()

    def runs_by_zone(
        self, zones: typing.Iterable[ids.ZoneId], now: float
    ) -> dict[ids.ZoneId, int]:
        """Count the runs that have not ended, by zone.

        A zone is left out while it may have runs that aren't known here: one
        of its executors doesn't answer or report, or an earlier holder may
        have used executors that haven't reported yet.

        :param zones: the zones to count in
        """
        if now < self._reports_complete_at:
            return {}
        counts = dict.fromkeys(zones, 0)
        for executor in self.executors.values():
            zone = executor.report.zone
            if zone not in counts:
                continue
            if leases.is_in_contact(executor, now):
                counts[zone] += len(executor.runs)
            else:
                del counts[zone]
        return counts


def _has_left(executor: executors.Executor, now: float) -> bool:
    """Return whether an executor has deregistered and runs nothing.

    What a former holder ordered there is known once it has listed its runs.
    """
    if not executor.report.is_gone or executor.runs:
        return False
    left_s = now - executor.last_report_at
    return executor.listed_at > 0.0 or left_s > work.DEPARTURE_RETENTION_S


def _log_unsuccessful(state: jobstate.JobState, answer: work.Answer) -> None:
    """Log what was counted for a job that ends without being completed."""
    tasks = [task for row in state.tasks for task in row]
    _LOG.info(
        "engine: a job has ended without success",
        extra={
            "job": state.job.id,
            "outcome": answer.outcome.value,
            "reason": answer.reason,
            "failures": max((task.failures for task in tasks), default=0),
            "attempts": state.job.attempts,
            "losses": max((len(task.losses) for task in tasks), default=0),
            "crashes": max(
                (sum(e.is_crash for e in task.losses) for task in tasks),
                default=0,
            ),
        },
    )


def _is_final(answer: work.Answer) -> bool:
    """Return whether a repeated submission gets the same answer again."""
    if answer.outcome in (work.Outcome.COMPLETED, work.Outcome.CANCELLED):
        return True
    return answer.reason == CRASHES
