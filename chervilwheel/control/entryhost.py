"""An entry host: accepts callers' jobs and submits them to the holder."""

import enum
import logging
import math
import typing

from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel.control import canceltable
from chervilwheel.control import deltas
from chervilwheel.control import documents
from chervilwheel.control import entryjobs
from chervilwheel.control import holding
from chervilwheel.control import relay
from chervilwheel.control import routing
from chervilwheel.control import runtime
from chervilwheel.control import scopes
from chervilwheel.control import speedtransfer
from chervilwheel.control import standby
from chervilwheel.control import startwait
from chervilwheel.control import tokens
from chervilwheel.control import usedexecutors
from chervilwheel.control import zonewatch
from chervilwheel.workers import ports
from chervilwheel.workers import takeover
from chervilwheel.workers import work

_LOG = logging.getLogger("entry")
HEARTBEAT_INTERVAL_S = 0.15
# Control hosts other than the holder receive every second heartbeat. From the
# last one a new leader knows which entry hosts were lost before its
# predecessor.
CONTROL_HEARTBEAT_RATIO = 2
# The holder sends its status every 0.15 s; this covers two of them.
HOLDER_TIMEOUT_S = 0.35
# One missed status: new jobs wait, and the other control hosts are asked
# whether they reach a quorum.
HOLDER_SUSPECT_S = 0.2
HOLDER_CHECK_INTERVAL_S = 0.05
# Control hosts answer a heartbeat within milliseconds. When none does, none
# can be the holder.
CONTROL_REPLY_TIMEOUT_S = 0.1
# Control hosts answer a heartbeat within a few milliseconds.
QUORUM_REPLY_S = 0.03
# A standby holder that all executors have fenced off waits this long for the
# status of another holder, which is sent every 0.15 s.
FENCED_WAIT_S = 0.2
# Links to entry hosts are closed this long after the last message.
ENTRY_LINK_UNUSED_S = 2.0
# A leader's counts of waiting jobs are shown for this time.
MAX_COUNTS_AGE_S = 2.0
# Above the number of executor incarnations that a zone has in a day.
MAX_REPORTS = 4_096


class Drain(enum.Enum):
    """Whether a planned stop has begun."""

    SERVING = "serving"
    LEAVING = "leaving"


class EntryHost:
    """Route jobs, submit them to the holder and return the answers.

    :param node: event loop, timers and links
    :param decoder: parses operators' documents
    :param port: sends orders to executors while this host is the holder
    :ivar on_document: called with each document that is applied
    """

    def __init__(
        self,
        *,
        node: runtime.Runtime,
        decoder: documents.Decoder,
        port: ports.ExecutorPort,
    ) -> None:
        self._node = node
        self._heap = node.heap
        self._decoder = decoder
        self.routes: routing.RouteTable | None = None
        self.drain = Drain.SERVING
        self.on_document: typing.Callable[[documents.Document], None] = (
            lambda _document: None
        )
        self._start_wait = startwait.StartWait(heap=node.heap)
        self._control_hosts: set[ids.InstanceId] = set()
        self._me = node.cfg.id
        self._entry_zones: dict[ids.InstanceId, ids.ZoneId] = {}
        self._reports: dict[
            work.ExecutorId, tuple[float, work.ExecutorReport]
        ] = {}
        self._standby_zones = scopes.StandbyZones(
            zones=node.cfg.zones,
            reports=lambda: (report for _, report in self._reports.values()),
            evacuated=lambda: self._zone_watch.view.evacuated,
        )
        self._zone_watch = zonewatch.ZoneWatch(
            cfg=node.cfg, heap=node.heap, send=node.links.send
        )
        self._term = 0
        self._standby = standby.Standby(me=self._me)
        self._speeds = speedtransfer.SpeedTransfer()
        self._used = usedexecutors.UsedExecutors()
        self._holder_role = holding.HolderRole(
            me=self._me,
            heap=node.heap,
            links=node.links,
            port=port,
            send_not_holder=lambda link: link.send(self._status()),
            notify=lambda notice: self.jobs.handle_notice(notice, self._me),
            lease_limits=node.cfg.lease_limits,
            resend_s=node.cfg.resend_s,
        )
        self._cancels = canceltable.KeptCancels(heap=node.heap)
        self._holder_role.cancels = self._cancels
        self._relays = relay.Relays(
            me=self._me, links=node.links, may_forward=self._may_forward
        )
        self.jobs = entryjobs.EntryJobs(
            node=node,
            send=self._relays.send,
            can_send=node.links.can_send,
            holder_role=self._holder_role,
            version=lambda: self.document_version,
        )
        self._holder_role.on_unsettled = self.jobs.pass_on_cancel
        self._holder_seen_at = 0.0
        self._control_seen_at = 0.0
        self._suspect_since: float | None = None
        self._fenced_since: float | None = None
        self._counts: dict[str, int] = {}
        self._counted_at = -math.inf
        self._heartbeats_sent = 0
        node.metrics.register(
            "document_version", lambda: self.document_version
        )
        node.metrics.register(
            "zones_evacuated", lambda: len(self._zone_watch.view.evacuated)
        )
        for address in node.cfg.seeds:
            self._control_hosts.add(node.add_host(address.host))
        links = node.links
        links.handle(messages.ControlNews, self._on_control_news)
        links.handle(messages.EntryNews, self._on_entry_news)
        links.handle(messages.EntryBeat, self._on_entry_beat)
        links.handle(messages.ExecutorNews, self._on_executor_news)
        links.handle(messages.UsedExecutors, self._on_used_executors)
        links.handle(messages.ExecutorSpeeds, self._on_speeds)
        links.handle(messages.DocumentPush, self._on_document)
        links.handle(messages.JobAnswer, self._on_answer)
        links.handle(messages.JobLosses, self._on_losses)
        links.handle(messages.JobStarts, self._on_starts)
        links.handle(messages.JobCancelled, self._on_cancelled)
        links.handle(messages.JobStatus, self._on_job_status)
        links.handle(messages.CancelNews, self._on_cancel_news)
        links.on_link_lost(self._on_lost)
        self._heap.call_every(HEARTBEAT_INTERVAL_S, self._send_heartbeat)
        self._heap.call_every(HOLDER_CHECK_INTERVAL_S, self._check_holder)
        self._heap.call_later(0.0, self._send_heartbeat)

    @property
    def is_ready(self) -> bool:
        """Whether this host accepts new jobs."""
        return self.drain is Drain.SERVING and self.routes is not None

    def when_routed(
        self, done: startwait.Waited, *, work_s: float = 0.0
    ) -> None:
        """Call back once this host has a document, or after a limit.

        :param work_s: estimated duration of the request's work, seconds
        """
        if self.routes is None:
            self._start_wait.add(done, work_s=work_s)
        else:
            done(0.0)

    @property
    def has_leader(self) -> bool:
        """Whether the holder is a leader, which pushes each document."""
        holder = self.jobs.holder
        return holder is not None and not holder.is_standby

    def waiting(self, queue: str) -> int | None:
        """Count a queue's jobs whose first task hasn't started.

        :returns: None if no leader has told it recently
        """
        if self._heap.clock.now() - self._counted_at > MAX_COUNTS_AGE_S:
            return None
        return self._counts.get(queue, 0)

    @property
    def document_version(self) -> int:
        """The version of the applied document, 0 for none."""
        return self.routes.document.version if self.routes else 0

    def answer_open_requests(self) -> None:
        """Answer all requests before this host ends, as far as is known."""
        self._start_wait.give_up_all()
        self.jobs.answer_all()
        if self.jobs.holder is not None:
            self._send_to([self.jobs.holder.host])

    def _send_heartbeat(self) -> None:
        now = self._heap.clock.now()
        self._heartbeats_sent += 1
        self._send_to(self._heartbeat_receivers(now))
        if self._holder_role.is_active:
            self._zone_watch.probe_witnesses(
                self._heartbeat(), self._shared_zones()
            )
            self._holder_role.remove_silent_entries()
            self._holder_role.send_status(self._status())

    def _check_holder(self) -> None:
        """Look for another holder when the current one is silent."""
        now = self._heap.clock.now()
        holder = self.jobs.holder
        if holder is not None and holder.host != self._me:
            self._check_silence(holder, now)
        self._check_fence(now)
        if self.jobs.holder is None:
            # Discovery comes first: two standbys would fence each other.
            self._should_discover(now)
            self._maybe_take_over(now)
            self.jobs.expire(now)
        self._holder_role.close_zones(self._zone_watch.closed_zones())

    def _check_silence(self, holder: entryjobs.HolderId, now: float) -> None:
        silent_s = now - self._holder_seen_at
        if silent_s <= HOLDER_SUSPECT_S:
            return
        if self._suspect_since is None:
            self._suspect_since = now
            self.jobs.is_holder_suspect = True
            self._send_to(self._control_hosts)
        is_alone = (
            not holder.is_standby
            and self._control_seen_at < self._suspect_since
            and now - self._suspect_since >= CONTROL_REPLY_TIMEOUT_S
        )
        has_no_quorum = not (holder.is_standby or self._standby.can_elect(now))
        if is_alone:
            self._clear_holder("no control host")
        elif has_no_quorum:
            self._clear_holder("no quorum")
        elif silent_s > HOLDER_TIMEOUT_S:
            self._clear_holder("silent")

    def _check_fence(self, now: float) -> None:
        """Stop being a standby holder when no executor obeys it any more.

        Another holder has the executors. Unless it can be found, callers are
        sent to other entry hosts at once.
        """
        if not self._holder_role.is_fenced_off:
            self._fenced_since = None
        elif self._fenced_since is None:
            self._fenced_since = now
            self._send_to(self._control_hosts | self._standby_peers())
        elif now - self._fenced_since >= FENCED_WAIT_S:
            self._standby.record_fenced(now)
            self._holder_role.refuse_unstarted(reason="fenced")
            self._end_role("fenced")
            self._clear_holder("fenced")
            # The hosts that followed it look for another holder.
            self._holder_role.send_status(self._status())
        self.jobs.is_fenced = self._standby.is_fenced(now)

    def _heartbeat_receivers(self, now: float) -> set[ids.InstanceId]:
        """Return the hosts that receive the next heartbeat."""
        holder = self.jobs.holder
        is_turn = self._heartbeats_sent % CONTROL_HEARTBEAT_RATIO == 0
        is_suspect = now - self._holder_seen_at > HOLDER_SUSPECT_S
        receivers: set[ids.InstanceId] = set()
        if is_turn or is_suspect or holder is None:
            receivers |= self._control_hosts
        if holder is not None and not holder.is_standby:
            receivers.add(holder.host)
            if is_turn:
                self._close_entry_links()
        elif holder is not None or self._should_discover(now):
            receivers |= self._standby_peers()
        return receivers

    def _shared_zones(self) -> frozenset[ids.ZoneId]:
        """Return the zones that share a standby with this host's zone."""
        return self._standby_zones.shared_with(self._node.cfg.zone)

    def _standby_peers(self) -> set[ids.InstanceId]:
        """Return the other entry hosts that may be this host's standby."""
        shared = self._shared_zones()
        return {
            name for name, zone in self._entry_zones.items() if zone in shared
        }

    def _send_to(self, receivers: typing.Iterable[ids.InstanceId]) -> None:
        """Send a heartbeat."""
        heartbeat = self._heartbeat()
        to_control = heartbeat._replace(
            is_probe=self._zone_watch.is_renewal_due()
        )
        for name in receivers:
            if name in self._control_hosts:
                self._node.links.send(name, to_control)
            elif name != self._me:
                self._node.links.send(
                    name, self._zone_watch.with_echo(heartbeat, name)
                )
        holder = self.jobs.holder
        if holder is not None and self._relays.is_used(holder.host):
            self._relays.send(holder.host, heartbeat)

    def _heartbeat(self) -> messages.EntryBeat:
        holder = self.jobs.holder
        now = self._heap.clock.now()
        age_s = now - self._holder_seen_at
        return messages.EntryBeat(
            self._me,
            self.document_version,
            self._holder_role.highest_token,
            holder.host if holder else ids.InstanceId(""),
            self._node.cfg.zone,
            holder is not None
            and self._may_forward(holder.host)
            and age_s <= HOLDER_SUSPECT_S,
            is_fenced=self._standby.was_fenced(now),
            zones_revision=self._zone_watch.view.revision,
            evacuated=tuple(sorted(self._zone_watch.view.evacuated)),
            stamp=now,
            has_quorum=self._standby.can_elect(now),
            keeps_cancels=True,
            cancels_known_ms=self._cancels.known_ms,
            status_stamp=self.jobs.status_stamp,
            has_ended=self.jobs.has_ended,
            keeps_starts=True,
        )

    def _on_zones_changed(self) -> None:
        self._standby_zones.reset()
        self._holder_role.close_zones(self._zone_watch.closed_zones())
        if self._holder_role.is_active:
            # More zones may share this standby now.
            now = self._heap.clock.now()
            for at, report in self._shared_reports(now):
                self._holder_role.report(report, age_s=now - at)

    def _shared_reports(
        self, now: float
    ) -> list[tuple[float, work.ExecutorReport]]:
        """List the reports in the zones that share a standby, with times.

        Entry hosts receive reports only on changes, so an old report doesn't
        mean that its executor is gone. One that has deregistered may still
        run tasks, for a time.
        """
        shared = self._shared_zones()
        return [
            (at if report.is_gone else now, report)
            for at, report in self._reports.values()
            if report.zone in shared
        ]

    def _may_forward(self, receiver: ids.InstanceId) -> bool:
        """Return whether a host is the leader that this host reaches."""
        holder = self.jobs.holder
        return (
            holder is not None
            and holder.host == receiver
            and not holder.is_standby
            and not self._relays.is_used(receiver)
        )

    def _reach_leader(
        self, leader: ids.InstanceId, via: ids.InstanceId, now: float
    ) -> None:
        """Contact the leader over an entry host that follows it."""
        self._standby.record_leader(now)
        holder = self.jobs.holder
        needs_leader = holder is None or holder.is_standby
        if needs_leader and self._relays.use(leader, via, now):
            _LOG.info(
                "entry: contacting the leader over another entry host",
                extra={"leader": leader, "via": via},
            )
            self._relays.send(leader, self._heartbeat())

    def _should_discover(self, now: float) -> bool:
        return self._standby.discover(
            holder_lost_at=self.jobs.holder_lost_at, now=now
        )

    def _on_quorum_replies(self) -> None:
        """Contact the other entry hosts unless a quorum was reported."""
        if self.jobs.holder is None and self._should_discover(
            self._heap.clock.now()
        ):
            self._send_to(self._standby_peers())

    def _close_entry_links(self) -> None:
        """Close the links to other entry hosts that no standby needs."""
        for name in self._entry_zones:
            self._node.links.close_unused(name, unused_s=ENTRY_LINK_UNUSED_S)

    def _on_entry_beat(
        self, link: peers.MessageLink, heartbeat: messages.EntryBeat
    ) -> None:
        now = self._heap.clock.now()
        if self._zone_watch.record_heartbeat(link.peer, heartbeat):
            self._on_zones_changed()
        if heartbeat.is_probe:
            # It is of a zone with another standby.
            link.send(self._zone_watch.with_echo(self._heartbeat(), link.peer))
            return
        if heartbeat.has_leader:
            self._reach_leader(heartbeat.holder, link.peer, now)
            return
        self._entry_zones[self._node.add_host(link.peer)] = heartbeat.zone
        self._learn_standby(heartbeat)
        if self._zone_watch.is_witness(link.peer, self._shared_zones()):
            return
        self._holder_role.record_entry(
            link,
            followed_holder=heartbeat.holder,
            zone=heartbeat.zone,
            status_stamp=heartbeat.status_stamp,
            has_ended=heartbeat.has_ended,
            keeps_starts=heartbeat.keeps_starts,
        )
        self._holder_role.record_token(heartbeat.token)
        if heartbeat.zone in self._shared_zones():
            self._standby.record_heartbeat(link.peer, now)
            self._standby.record_peer_fence(
                link.peer, now, is_fenced=heartbeat.is_fenced
            )
        if self._holder_role.is_active:
            if heartbeat.holder == self._me:
                self._holder_role.raise_token_above(heartbeat.token)
            link.send(self._status())
            return
        reply = self._heartbeat()
        if reply.has_leader and heartbeat.holder != reply.holder:
            link.send(self._zone_watch.with_echo(reply, link.peer))

    def _learn_standby(self, heartbeat: messages.EntryBeat) -> None:
        """Contact the standby holder that another entry host follows.

        Without control hosts nobody else names it.
        """
        holder = heartbeat.holder
        is_known = holder in self._entry_zones or holder in self._control_hosts
        if holder in ("", self._me) or is_known:
            return
        if heartbeat.zone in self._shared_zones():
            self._entry_zones[self._node.add_host(holder)] = heartbeat.zone

    def _on_executor_news(
        self, _link: peers.MessageLink, message: messages.ExecutorNews
    ) -> None:
        now = self._heap.clock.now()
        for report in message.reports:
            previous = self._reports.get(report.id)
            if previous is not None and not report.replaces(previous[1]):
                continue
            self._reports[report.id] = (now, report)
            if report.zone in self._shared_zones():
                self._holder_role.report(report)
        self._standby_zones.reset()
        while len(self._reports) > MAX_REPORTS:
            del self._reports[next(iter(self._reports))]

    def _on_used_executors(
        self, link: peers.MessageLink, message: messages.UsedExecutors
    ) -> None:
        now = self._heap.clock.now()
        for at, report in usedexecutors.read(message, now):
            known = self._reports.get(report.id)
            if known is None or report.replaces(known[1]):
                self._reports[report.id] = (at, report)
            if report.zone in self._shared_zones():
                at, report = self._reports[report.id]
                self._holder_role.report(report, age_s=now - at)
        self._holder_role.standby_ended(link.peer)
        self._standby_zones.reset()

    def _on_speeds(
        self, _link: peers.MessageLink, message: messages.ExecutorSpeeds
    ) -> None:
        self._speeds.receive(message, self._heap.clock.now())

    def _status(self) -> messages.ControlNews:
        is_active = self._holder_role.is_active
        return messages.ControlNews(
            control=self._me,
            holder=self._me if is_active else ids.InstanceId(""),
            term=self._term,
            controls=(),
            counts=self._holder_role.counts(),
            is_standby=True,
            token=self._holder_role.highest_token,
            answers_queries=True,
            stamp=self._heap.clock.now(),
        )

    def _maybe_take_over(self, now: float) -> None:
        """Become the standby holder when no leader can be the holder."""
        shared = self._shared_zones()
        reports = self._shared_reports(now)
        can_take_over = self.is_ready and any(
            not report.is_gone for _, report in reports
        )
        if not can_take_over or not self._standby.should_take_over(
            holder_lost_at=self.jobs.holder_lost_at, now=now
        ):
            return
        is_for_all = shared.issuperset(self._node.cfg.zones)
        self._holder_role.begin(
            fence=tokens.Fence(self._term, tokens.side_of(self._me)),
            # A former holder may have used executors of the other zones.
            reports_complete_at=now if is_for_all else math.inf,
            reports=reports,
            may_send_orders=lambda: True,
            closed_zones=self._zone_watch.closed_zones(),
            may_start=self._zone_watch.may_start,
            speed_rows=self._speeds.known(now),
            former_until=self._holder_seen_at + takeover.FORMER_ORDERS_S,
            known_entries=self._standby_peers(),
        )
        self._switch_holder(entryjobs.HolderId(self._me, self._term, True))
        # The jobs of the other hosts wait for it.
        self._holder_role.send_status(self._status())

    def _on_entry_news(
        self, _link: peers.MessageLink, message: messages.EntryNews
    ) -> None:
        for entry in message.entries:
            if entry.host != self._me:
                name = self._node.add_host(entry.host)
                self._entry_zones[name] = entry.zone
        self._zone_watch.set_witnesses(
            {
                self._node.add_host(entry.host): entry.zone
                for entry in message.witnesses
            }
        )

    def _on_control_news(
        self, link: peers.MessageLink, message: messages.ControlNews
    ) -> None:
        now = self._heap.clock.now()
        if not message.is_standby:
            self._control_seen_at = now
        if not isinstance(link, relay.RelayedLink):
            self._relays.stop_using(message.control)
        for host in message.controls:
            self._control_hosts.add(self._node.add_host(host))
        if self._zone_watch.record_status(message):
            self._on_zones_changed()
        if not message.is_standby:
            self._standby.record_quorum(
                message.control, now, is_reached=message.has_quorum
            )
        self._term = max(self._term, message.term)
        self._holder_role.record_token(message.token)
        if not message.holder:
            if self.jobs.holder and self.jobs.holder.host == message.control:
                self._clear_holder("resigned")
            return
        new_holder = entryjobs.HolderId(
            message.holder, message.term, message.is_standby
        )
        if not self._should_switch_to(new_holder):
            return
        self._holder_seen_at = now
        self._suspect_since = None
        self.jobs.is_holder_suspect = False
        if not message.is_standby:
            # A standby knows the jobs of its own followers only.
            self._counts = {
                each.queue: each.waiting for each in message.counts
            }
            self._counted_at = now
        self.jobs.is_holder_queryable = message.answers_queries
        self._switch_holder(new_holder, stamp=message.stamp)

    def _should_switch_to(self, other: entryjobs.HolderId) -> bool:
        """Whether to switch to another holder.

        Leaders take precedence over standbys, among leaders the newest
        term, among standbys the lowest host.
        """
        current = self.jobs.holder
        if current is None or current == other:
            return True
        if current.is_standby != other.is_standby:
            return current.is_standby
        if current.is_standby:
            return other.host <= current.host
        return other.term >= current.term

    def _switch_holder(
        self, new_holder: entryjobs.HolderId, *, stamp: float = 0.0
    ) -> None:
        """Use a holder.

        :param stamp: that of its status, 0 if unknown
        """
        if new_holder != self.jobs.holder:
            _LOG.info(
                "entry: a holder is known",
                extra={
                    "holder": new_holder.host,
                    "term": new_holder.term,
                    "standby": new_holder.is_standby,
                },
            )
            if new_holder.host != self._me:
                self._end_role("another holder took over")
                self.jobs.is_fenced = False
                # Before the jobs, which follow on the same link. A host of a
                # former version, without stamps, would close the link.
                used = self._used.news(self._heap.clock.now())
                if used is not None and stamp:
                    self._relays.send(new_holder.host, used)
            self._standby.record_holder(new_holder.host)
            if not new_holder.is_standby:
                self._standby.end_discovery()
        is_new = new_holder != self.jobs.holder
        self.jobs.set_holder(new_holder, stamp=stamp)
        if is_new and new_holder.host != self._me:
            # It tells the holder that all jobs have been offered.
            self._relays.send(new_holder.host, self._heartbeat())

    def _end_role(self, why: str) -> None:
        """Stop being a standby holder, if this host is one."""
        if self._holder_role.is_active:
            now = self._heap.clock.now()
            self._used.ended(self._holder_role.used_reports(), now)
            self._holder_role.end(why)

    def _on_lost(self, peer: ids.InstanceId) -> None:
        holder = self.jobs.holder
        if holder is not None and self._relays.next_host(holder.host) == peer:
            self._clear_holder("link")

    def _clear_holder(self, why: str) -> None:
        _LOG.info(
            "entry: the holder is lost",
            extra={"holder": self.jobs.holder, "why": why},
        )
        if self.jobs.holder is not None:
            self._relays.stop_using(self.jobs.holder.host)
        self.jobs.clear_holder()
        self._suspect_since = None
        self.jobs.is_holder_suspect = False
        self._send_to(self._control_hosts)
        self._heap.call_later(QUORUM_REPLY_S, self._on_quorum_replies)

    def _on_answer(
        self, link: peers.MessageLink, answer: messages.JobAnswer
    ) -> None:
        self.jobs.handle_notice(work.Answer(*answer), link.peer)

    def _on_losses(
        self, link: peers.MessageLink, message: messages.JobLosses
    ) -> None:
        self.jobs.handle_notice(work.LossReport(*message), link.peer)

    def _on_starts(
        self, link: peers.MessageLink, message: messages.JobStarts
    ) -> None:
        self.jobs.handle_notice(work.StartReport(*message), link.peer)

    def _on_cancelled(
        self, _link: peers.MessageLink, message: messages.JobCancelled
    ) -> None:
        self.jobs.resolve_cancel(
            message.number, message.is_known, message.verdict
        )

    def _on_job_status(
        self, _link: peers.MessageLink, message: messages.JobStatus
    ) -> None:
        self.jobs.resolve_query(message.number, message.state)

    def _on_cancel_news(
        self, _link: peers.MessageLink, message: messages.CancelNews
    ) -> None:
        self._cancels.add(message)
        self._holder_role.cancelled(message.jobs)

    def _on_document(
        self, link: peers.MessageLink, push: messages.DocumentPush
    ) -> None:
        is_newer = push.version > self.document_version
        if is_newer and push.base in (0, self.document_version):
            self._apply_document(push)
        # Acknowledges the push, so that a newer document may follow.
        link.send(self._heartbeat())

    def _apply_document(self, push: messages.DocumentPush) -> None:
        data = b""
        if push.base and self.routes is not None:
            data = self.routes.document.data
        try:
            for delta in push.deltas:
                data = deltas.decode(data, delta)
            document = self._decoder.decode(data)
        except errors.ChervilwheelError as exc:
            _LOG.error(
                "entry: invalid document",
                extra={"version": push.version, "error": exc.detail},
            )
            return
        self.routes = routing.RouteTable(document=document)
        self.on_document(document)
        _LOG.info("entry: document applied", extra={"version": push.version})
        self._start_wait.release()
