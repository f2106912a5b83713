"""The holder's role: lease the executors and run the entry hosts' jobs.

The holder leases the executors and assigns tasks to them. The leader of the
control hosts takes this role; an entry host takes it as a standby while no
leader can. During a network partition there may be both; executors reject
the lower fencing token.
"""

import logging
import math
import typing

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel import timers
from chervilwheel.control import canceltable
from chervilwheel.control import enginerunner
from chervilwheel.control import tokens
from chervilwheel.workers import engine
from chervilwheel.workers import leases
from chervilwheel.workers import ports
from chervilwheel.workers import speeds
from chervilwheel.workers import takeover
from chervilwheel.workers import work

_LOG = logging.getLogger("holding")
# Four heartbeats of 0.15 s. The jobs of an entry host without a heartbeat
# within this time end as lost.
ENTRY_TIMEOUT_S = 0.6
# The same without a status that the entry host is known to have received: a
# host that hears nothing may still be heard. With STATUS_CHECK_S no more than
# takeover.FORMER_ORDERS_S.
STATUS_CHECK_S = 0.02
# An offer that names an older status isn't worth a start, which would be
# stopped soon.
OFFER_TIMEOUT_S = takeover.ENTRY_RELEASE_S
STATUS_TIMEOUT_S = takeover.FORMER_ORDERS_S - STATUS_CHECK_S
ENTRY_REMOVAL_S = 10.0
# Entry hosts offer a new leader their jobs within this time, or give them up.
OFFERS_COMPLETE_S = 2.0
# A given-up job that its callers go on sending is recorded again after this.
GIVEN_UP_REFRESH_S = canceltable.RETENTION_S / 2

Notify = typing.Callable[[work.Notice], None]
# Receives whether the job was known and unfinished, and the verdict.
Cancelled = typing.Callable[[bool, messages.CancelVerdict], None]
STAGES = {
    work.Outcome.COMPLETED: work.JobStage.COMPLETED,
    work.Outcome.FAILED: work.JobStage.FAILED,
    work.Outcome.CANCELLED: work.JobStage.CANCELLED,
}


class EntryLink(typing.NamedTuple):
    """The link to an entry host and what is known of the host.

    :ivar last_seen_at: time of its last message, seconds
    :ivar zone: its zone, empty until a message names it
    :ivar status_sent_at: when the latest status was sent here that it is known
        to have received, 0 if unknown, seconds
    :ivar keeps_starts: whether it takes reports of open starts
    """

    link: peers.MessageLink
    last_seen_at: float
    zone: ids.ZoneId
    status_sent_at: float = 0.0
    keeps_starts: bool = False

    def is_deaf(
        self, now: float, *, timeout_s: float = STATUS_TIMEOUT_S
    ) -> bool:
        """Return whether the host may have heard nothing for too long."""
        unheard_s = now - self.status_sent_at
        return self.status_sent_at > 0.0 and unheard_s > timeout_s

    def is_silent(self, now: float) -> bool:
        """Return whether the jobs of the host are to end."""
        silent_s = now - self.last_seen_at
        return silent_s > ENTRY_TIMEOUT_S or self.is_deaf(now)


class HolderRole:
    """Start and end the holder's role; forward jobs and answers.

    :param me: this host
    :param heap: timers
    :param links: links to the other hosts
    :param port: sends orders to executors
    :param send_not_holder: tells an entry host that this host isn't the
        holder
    :param notify: receives notices about this host's own jobs
    :param lease_limits: the executors' limits for leases
    :param resend_s: callers wait this long before they send a job again
    :ivar cancels: the cancelled jobs, which are never started here, and the
        given-up ones
    :ivar on_unsettled: receives a record of a given-up job that isn't in the
        log of the control hosts
    """

    def __init__(
        self,
        *,
        me: ids.InstanceId,
        heap: timers.TimerHeap,
        links: peers.Peers,
        port: ports.ExecutorPort,
        send_not_holder: typing.Callable[[peers.MessageLink], None],
        notify: Notify,
        lease_limits: leases.LeaseLimits,
        resend_s: float = 0.0,
    ) -> None:
        self._me = me
        self._heap = heap
        self._port = port
        self._send_not_holder = send_not_holder
        self._notify = notify
        self._lease_limits = lease_limits
        self._resend_s = resend_s
        self.cancels: canceltable.CancelStore = canceltable.KeptCancels(
            heap=heap
        )
        self.on_unsettled: typing.Callable[[ids.JobId], typing.Any] = (
            lambda _record: None
        )
        self._refused_cancels = 0
        self._runner: enginerunner.EngineRunner | None = None
        self._may_send_orders: typing.Callable[[], bool] = lambda: False
        self._knows_all_from = math.inf
        self._begun_at = 0.0
        self._highest_token = 0
        self._deaf: set[ids.InstanceId] = set()
        self.entries: dict[ids.InstanceId, EntryLink] = {}
        links.handle(messages.JobOffer, self._on_offer)
        links.handle(messages.JobCancel, self._on_cancel)
        links.handle(messages.JobQuery, self._on_query)

    @property
    def is_active(self) -> bool:
        """Whether this host is the holder."""
        return self._runner is not None

    @property
    def is_fenced_off(self) -> bool:
        """Whether the executors obey another holder instead of this host."""
        return self._runner is not None and self._runner.engine.is_fenced_off

    @property
    def highest_token(self) -> int:
        """The highest fencing token seen by this host, 0 for none."""
        if self._runner is None:
            return self._highest_token
        return max(self._highest_token, self._runner.engine.highest_token)

    def record_token(self, token: int) -> None:
        """Record a holder's token; this host's next tokens exceed it."""
        self._highest_token = max(self._highest_token, token)

    def raise_token_above(self, token: int) -> None:
        """Use a higher token than another standby that follows this one.

        Executors that it had polled would refuse all orders otherwise.
        """
        if self._runner is not None:
            self._runner.raise_token_above(token)

    def begin(
        self,
        *,
        fence: tokens.Fence,
        reports_complete_at: float,
        reports: typing.Iterable[tuple[float, work.ExecutorReport]],
        may_send_orders: typing.Callable[[], bool],
        closed_zones: frozenset[ids.ZoneId] = frozenset(),
        may_start: typing.Callable[[], bool] = lambda: True,
        speed_rows: typing.Iterable[speeds.SpeedRow] = (),
        is_unused: typing.Callable[
            [work.ExecutorReport], bool
        ] = lambda _report: False,
        former_until: float | None = None,
        known_entries: typing.Iterable[ids.InstanceId] = (),
        on_bumps_used: typing.Callable[[], None] = lambda: None,
    ) -> None:
        """Become the holder and take over the executors that have reported.

        :param fence: the parts of this holder's fencing tokens
        :param reports_complete_at: time from which ``reports`` covers all
            executors that an earlier holder may have used, seconds
        :param reports: each with its arrival time, seconds
        :param may_send_orders: whether orders may be sent now
        :param closed_zones: zones in which nothing is started
        :param may_start: whether tasks may be started now
        :param speed_rows: speeds that an earlier holder has learned
        :param is_unused: whether the leader before this one had given up the
            executor of a report
        :param former_until: when a standby's former holder has sent its last
            order, seconds; None for a leader, which it precedes
        :param known_entries: a standby's: the entry hosts that may share it
        :param on_bumps_used: called when executors fence the leader off and
            its token can't be raised any more
        """
        now = self._begun_at = self._heap.clock.now()
        fence = fence.above(self._highest_token)
        bump = fence.bump_above(self._highest_token)
        job_engine = engine.Engine(
            token=fence.token(bump),
            reports_complete_at=reports_complete_at,
            now=now,
            lease_limits=self._lease_limits,
            former_until=former_until,
            entries_heard_at=self._entries_heard_at(
                former_until=former_until,
                known_entries=known_entries,
            ),
            resend_s=self._resend_s,
            is_given_up=self._is_given_up,
            token_steps=fence.steps(bump),
        )
        job_engine.speeds.restore(speed_rows, now)
        is_leader = fence.side == tokens.LEADER_SIDE
        self._knows_all_from = (
            now + OFFERS_COMPLETE_S if is_leader else math.inf
        )
        self._may_send_orders = may_send_orders
        self._runner = enginerunner.EngineRunner(
            heap=self._heap,
            port=self._port,
            job_engine=job_engine,
            fence=fence,
            bump=bump,
            notify=self._on_notice,
            may_send_orders=may_send_orders,
            may_start=may_start,
            on_bumps_used=on_bumps_used,
        )
        self._runner.close_zones(closed_zones)
        arrived = list(reports)
        _LOG.info(
            "holding: begun",
            extra={
                "term": fence.term,
                "side": fence.side,
                "bump": bump,
                "executors": len(arrived),
                "closed": sorted(closed_zones),
                "former_leases_s": round(job_engine.former_leases_s(now), 3),
            },
        )
        for at, report in arrived:
            self._runner.report(
                report, age_s=now - at, is_unused=is_unused(report)
            )
        job_engine.shares_reports = is_leader
        self._deaf.clear()
        self._check_statuses(self._runner)

    def _entries_heard_at(
        self,
        *,
        former_until: float | None,
        known_entries: typing.Iterable[ids.InstanceId],
    ) -> dict[ids.InstanceId, float]:
        """Return when each entry host of the former holder was heard last.

        A standby hears them only while it looks for them, and takes them for
        well until it lost the former holder.
        """
        if former_until is not None:
            lost_at = former_until - takeover.FORMER_ORDERS_S
            return dict.fromkeys(known_entries, lost_at)
        return {
            name: entry_link.last_seen_at
            for name, entry_link in self.entries.items()
        }

    def end(self, why: str) -> None:
        """Stop being the holder.

        Running tasks end with their leases or pass to the next holder.
        """
        if self._runner is not None:
            self.record_token(self._runner.engine.highest_token)
            now = self._heap.clock.now()
            job_engine = self._runner.engine
            _LOG.info(
                "holding: ended",
                extra={
                    "why": why,
                    "last_order_s": round(self._runner.last_order_s(), 3),
                    "own_leases_s": round(job_engine.own_leases_s(now), 3),
                    "unanswered_starts": job_engine.unanswered_starts,
                },
            )
            self._runner.close()
            self._runner = None

    def refuse_unstarted(self, *, reason: str) -> None:
        """Refuse the jobs of which no holder has begun a run."""
        if self._runner is not None:
            self._runner.refuse_unstarted(reason=reason)

    def close_zones(self, zones: frozenset[ids.ZoneId]) -> None:
        """Start nothing in these zones from now on; open all others."""
        if self._runner is not None:
            self._runner.close_zones(zones)

    def report(
        self, report: work.ExecutorReport, *, age_s: float = 0.0
    ) -> None:
        """Process an executor's report.

        :param age_s: time since the report arrived, seconds
        """
        if self._runner is not None:
            self._runner.report(report, age_s=age_s)

    def used_silently(self, silent_s: float) -> list[work.ExecutorReport]:
        """List reports, as :meth:`engine.Engine.used_silently`."""
        if self._runner is None:
            return []
        now = self._heap.clock.now()
        return self._runner.engine.used_silently(silent_s, now)

    def used_reports(self) -> list[tuple[float, work.ExecutorReport]]:
        """List reports, as :meth:`engine.Engine.used_reports`."""
        return (
            [] if self._runner is None else self._runner.engine.used_reports()
        )

    def standby_ended(self, host: ids.InstanceId) -> None:
        """Record that a standby has told which executors it has used."""
        if self._runner is not None:
            now = self._heap.clock.now()
            self._runner.engine.standby_ended(host, now)

    def await_reports(self, *, is_waiting: bool) -> None:
        """Set, as :meth:`engine.Engine.await_reports`."""
        if self._runner is not None:
            self._runner.engine.await_reports(is_waiting=is_waiting)

    def take_unshared(self) -> list[work.ExecutorReport]:
        """Return and clear the reports that another leader may lack."""
        return (
            [] if self._runner is None else self._runner.engine.take_unshared()
        )

    def reports_shared(self, names: typing.Iterable[work.ExecutorId]) -> None:
        """Use executors that the next leader knows."""
        if self._runner is not None:
            self._runner.reports_shared(names)

    def offer(self, job: work.Job) -> None:
        """Submit a job of this host."""
        self._offer(job, self._me)

    def withdraw(self, job: ids.JobId) -> None:
        """Stop a job that this host has handed to another holder."""
        if self._runner is not None:
            self._runner.cancel(job, work.Outcome.LOST)

    def leave(self, job: ids.JobId) -> None:
        """Stop a job whose callers have left, unless others wait for it."""
        if self._runner is not None:
            self._runner.leave(job, self._me)

    def cancel(self, job: ids.JobId, done: Cancelled) -> None:
        """Cancel a job at a caller's request, for good.

        A job that isn't known here may be offered later.
        """
        if self._runner is None:
            done(False, messages.CancelVerdict.UNSETTLED)
            return
        if not self.cancels.has_room(job):
            self._refused_cancels += 1
            _LOG.warning(
                "holding: a cancel is refused, too many are kept",
                extra={"job": job},
            )
            done(False, messages.CancelVerdict.FULL)
            return
        is_known = self._runner.cancel(job, work.Outcome.CANCELLED)
        self.cancels.record(job, lambda verdict: done(is_known, verdict))

    def cancelled(self, jobs: typing.Iterable[ids.JobId]) -> None:
        """Stop jobs that another holder has cancelled."""
        if self._runner is not None:
            for job in jobs:
                self._runner.cancel(job, work.Outcome.CANCELLED)

    def stage(self, job: ids.JobId) -> work.JobStage:
        """Return how far a job is, as far as this holder can know.

        Only a leader, once its entry hosts have offered it their jobs, knows
        that a job doesn't exist; a lost one may be offered again.
        """
        if self._runner is None:
            return work.JobStage.UNKNOWN
        state = self._runner.engine.jobs.get(job)
        if state is not None and state.answer is not None:
            stage = STAGES.get(state.answer.outcome)
            if stage is not None:
                return stage
        elif state is not None:
            is_started = state.is_started
            return (
                work.JobStage.RUNNING if is_started else work.JobStage.QUEUED
            )
        if self.cancels.holds(job):
            return work.JobStage.ABSENT
        knows_all = (
            self._heap.clock.now() >= self._knows_all_from
            and self._may_send_orders()
        )
        if state is not None or not knows_all:
            return work.JobStage.UNKNOWN
        return work.JobStage.ABSENT

    def record_entry(
        self,
        link: peers.MessageLink,
        *,
        followed_holder: ids.InstanceId,
        zone: ids.ZoneId = ids.ZoneId(""),
        status_stamp: float = 0.0,
        is_offer: bool = False,
        has_ended: bool = False,
        keeps_starts: bool = False,
    ) -> None:
        """Record that an entry host is alive.

        :param followed_holder: the holder to which it submits its jobs
        :param zone: its zone, empty if the message doesn't name it
        :param status_stamp: the stamp of that holder's latest status there, 0
            if unknown
        :param is_offer: whether the message is an offer, which others may
            follow
        :param has_ended: whether it ends and has answered all its callers
        :param keeps_starts: whether it is known to keep open starts
        """
        now = self._heap.clock.now()
        status_sent_at = 0.0
        if link.peer in self.entries:
            known = self.entries[link.peer]
            zone = zone or known.zone
            status_sent_at = known.status_sent_at
            if known.link is link:
                keeps_starts |= known.keeps_starts
        if followed_holder == self._me:
            # That of a former life may be ahead of the present time.
            is_valid = 0.0 < status_stamp <= now
            status_sent_at = status_stamp if is_valid else 0.0
        self.entries[link.peer] = EntryLink(
            link, now, zone, status_sent_at, keeps_starts
        )
        # One that was long under way is of an earlier time as the holder.
        is_current = not status_stamp or status_stamp >= self._begun_at
        follows = followed_holder == self._me and not is_offer
        if self._runner is not None and follows and is_current:
            self._runner.engine.record_entry_heartbeat(link.peer, now)
        if self._runner is not None and has_ended:
            self._runner.engine.entry_ended(link.peer)

    def counts(self) -> tuple[messages.QueueCount, ...]:
        """Count the waiting jobs of each queue."""
        if self._runner is None:
            return ()
        waiting = self._runner.engine.waiting_by_queue()
        return tuple(messages.QueueCount(*item) for item in waiting.items())

    def runs_by_zone(
        self, zones: typing.Iterable[ids.ZoneId]
    ) -> dict[ids.ZoneId, int]:
        """Count the runs in each zone, as :meth:`engine.Engine.runs_by_zone`.

        :param zones: the zones to count in
        :returns: empty when not the holder
        """
        if self._runner is None:
            return {}
        return self._runner.engine.runs_by_zone(zones, self._heap.clock.now())

    def unused_executors(self) -> list[work.ReportKey]:
        """List the executors given up, empty when not the holder."""
        return [] if self._runner is None else self._runner.engine.unused

    def speed_rows(
        self, zones: typing.Collection[ids.ZoneId] | None = None
    ) -> tuple[speeds.SpeedRow, ...]:
        """Return the speeds learned that differ from the nominal one.

        :param zones: the zones whose executors to return, None for all
        """
        if self._runner is None:
            return ()
        job_engine = self._runner.engine
        return tuple(
            row
            for row in job_engine.speeds.rows()
            if zones is None
            or job_engine.executors[row.id].report.zone in zones
        )

    def metric_values(self) -> dict[str, float]:
        """Return the engine's metrics, empty when not the holder."""
        if self._runner is None:
            return {}
        job_engine = self._runner.engine
        return {
            "executors": len(job_engine.executors),
            "jobs": len(job_engine.jobs),
            "waiting": sum(job_engine.waiting_by_queue().values()),
            "starts_total": job_engine.starts,
            "refusals_total": job_engine.refusals,
            "refused_cancels_total": self._refused_cancels,
            "refusals_closed_zone_total": job_engine.closed_zone_refusals,
            "closed_executors": job_engine.count_closed(),
            "withheld_jobs_total": job_engine.withheld,
            "inherited_starts_total": job_engine.inherited_starts,
            "cold_executors": job_engine.count_cold(self._heap.clock.now()),
            "speed_slow": job_engine.speeds.slow,
            "speed_fast": job_engine.speeds.fast,
            **{
                f"released_{proof.value}_total": job_engine.releases[proof]
                for proof in takeover.Proof
            },
            **{
                f"start_verdict_{name}": count
                for name, count in job_engine.verdicts.items()
            },
        }

    def send_status(self, status: messages.ControlNews) -> None:
        """Send a status to the entry hosts."""
        if self._runner is not None:
            now = self._heap.clock.now()
            self._runner.engine.record_entry_heartbeat(self._me, now)
        for entry_link in self.entries.values():
            entry_link.link.send(status)

    def remove_silent_entries(self) -> None:
        """End the jobs of entry hosts that timed out, and remove the hosts."""
        now = self._heap.clock.now()
        for name, entry_link in list(self.entries.items()):
            silent_s = now - entry_link.last_seen_at
            if silent_s > ENTRY_REMOVAL_S:
                del self.entries[name]
            elif self._runner is not None and entry_link.is_silent(now):
                self._runner.end_entry_jobs(name)

    def _check_statuses(self, runner: enginerunner.EngineRunner) -> None:
        """End the jobs of entry hosts that have received no status for long.

        They may hand them to a standby soon.
        """
        if self._runner is not runner:
            return
        self._heap.call_later(
            STATUS_CHECK_S, lambda: self._check_statuses(runner)
        )
        now = self._heap.clock.now()
        deaf = {
            name
            for name, entry_link in self.entries.items()
            if entry_link.is_deaf(now)
        }
        for name in deaf - self._deaf:
            runner.end_entry_jobs(name)
        self._deaf = deaf

    def forward_reports(
        self, reports: typing.Sequence[work.ExecutorReport]
    ) -> None:
        """Forward executors' reports to the entry hosts."""
        message = messages.ExecutorNews(tuple(reports))
        for entry_link in self.entries.values():
            entry_link.link.send(message)

    def _on_offer(
        self, link: peers.MessageLink, message: messages.JobOffer
    ) -> None:
        self.record_entry(
            link,
            followed_holder=self._me,
            status_stamp=message.status_stamp,
            is_offer=True,
        )
        if self._runner is None:
            self._send_not_holder(link)
            return
        if self.entries[link.peer].is_deaf(
            self._heap.clock.now(), timeout_s=OFFER_TIMEOUT_S
        ):
            # It was long under way: the job may have another holder by now.
            job = message.job
            answer = work.Answer(
                job.id,
                work.Outcome.LOST,
                reason="entry_lost",
                submission=job.submission,
            )
            self._on_notice(link.peer, answer)
            return
        self._offer(message.job, link.peer)

    def _offer(self, job: work.Job, entry: ids.InstanceId) -> None:
        if self._runner is None:
            return
        known = self._runner.engine.jobs.get(job.id)
        is_completed = (
            known is not None
            and known.answer is not None
            and known.answer.outcome is work.Outcome.COMPLETED
        )
        if is_completed or not self.cancels.holds(job.id):
            self._runner.offer(job, entry)
            return
        _LOG.info(
            "holding: a cancelled job is offered again",
            extra={"job": job.id, "offers": job.offers},
        )
        self._runner.cancel(job.id, work.Outcome.CANCELLED)
        answer = work.Answer(
            job.id,
            work.Outcome.CANCELLED,
            reason="cancelled",
            submission=job.submission,
        )
        self._on_notice(entry, answer)

    def _on_cancel(
        self, link: peers.MessageLink, message: messages.JobCancel
    ) -> None:
        self.record_entry(link, followed_holder=ids.InstanceId(""))
        if self._runner is None:
            self._send_not_holder(link)
            return
        if not message.number:
            if message.has_left:
                self._runner.leave(message.job, link.peer)
            else:
                self.withdraw(message.job)
            return

        def done(is_known: bool, verdict: messages.CancelVerdict) -> None:
            is_settled = verdict is messages.CancelVerdict.SETTLED
            if not is_settled and not message.takes_verdict:
                # A former version would take any reply for settled.
                return
            link.send(messages.JobCancelled(message.number, is_known, verdict))

        self.cancel(message.job, done)

    def _on_query(
        self, link: peers.MessageLink, message: messages.JobQuery
    ) -> None:
        link.send(messages.JobStatus(message.number, self.stage(message.job)))

    def _is_given_up(self, job: ids.JobId) -> bool:
        age_s = self.cancels.age_s(canceltable.given_up_record(job))
        return age_s < canceltable.RETENTION_S

    def _on_notice(self, entry: ids.InstanceId, notice: work.Notice) -> None:
        is_answer = isinstance(notice, work.Answer)
        if is_answer and notice.reason == engine.CRASHES:
            self._record_given_up(
                notice.job, lambda: self._send_notice(entry, notice)
            )
        else:
            self._send_notice(entry, notice)

    def _record_given_up(
        self, job: ids.JobId, done: typing.Callable[[], None]
    ) -> None:
        """Record a given-up job, before its callers are answered.

        While they go on asking for it, it is recorded again from time to time.
        """
        record = canceltable.given_up_record(job)
        if self.cancels.age_s(record) < GIVEN_UP_REFRESH_S:
            done()
            return
        if not self.cancels.has_room(record):
            _LOG.warning(
                "holding: a given-up job isn't recorded, too many are kept",
                extra={"job": job},
            )
            done()
            return
        runner = self._runner

        def recorded(verdict: messages.CancelVerdict) -> None:
            if verdict is not messages.CancelVerdict.SETTLED:
                self.on_unsettled(record)
            if self._runner is runner:
                done()

        self.cancels.record(record, recorded)

    def _send_notice(self, entry: ids.InstanceId, notice: work.Notice) -> None:
        if entry == self._me:
            self._notify(notice)
            return
        entry_link = self.entries.get(entry)
        if entry_link is None:
            return
        if isinstance(notice, work.LossReport):
            entry_link.link.send(messages.JobLosses(*notice))
        elif isinstance(notice, work.StartReport):
            # A host of a former version would close the link.
            if entry_link.keeps_starts:
                entry_link.link.send(messages.JobStarts(*notice))
        else:
            entry_link.link.send(messages.JobAnswer(*notice))
