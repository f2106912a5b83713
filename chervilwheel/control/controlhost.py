"""A control host: a replica of the document's log and potential holder."""

import heapq
import logging
import pathlib
import random
import typing

from chervilwheel import disk
from chervilwheel import errors
from chervilwheel import grouphost
from chervilwheel import ids
from chervilwheel import journal
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel import replica
from chervilwheel.control import cancellog
from chervilwheel.control import deltas
from chervilwheel.control import documents
from chervilwheel.control import evacuations
from chervilwheel.control import founding
from chervilwheel.control import groupcalls
from chervilwheel.control import holding
from chervilwheel.control import nodesettings
from chervilwheel.control import operatorport
from chervilwheel.control import permission
from chervilwheel.control import pushes
from chervilwheel.control import relay
from chervilwheel.control import reportquorum
from chervilwheel.control import runtime
from chervilwheel.control import scopes
from chervilwheel.control import speedtransfer
from chervilwheel.control import tokens
from chervilwheel.control import unusedexecutors
from chervilwheel.control import usedexecutors
from chervilwheel.control import zoneorders
from chervilwheel.workers import ports
from chervilwheel.workers import work

_LOG = logging.getLogger("control")
# The election timeout covers four heartbeats; an election takes two round
# trips and two disk syncs, each of about 10 ms.
TIMING = replica.Timing(
    heartbeat_interval_s=0.05, election_timeout_s=0.2, election_stagger_s=0.06
)
LEADERSHIP_POLL_S = 0.03
STATUS_INTERVAL_S = 0.15
# Many entry hosts join at the same time.
ENTRY_NEWS_INTERVAL_S = 0.3
INTRODUCED_ENTRIES = 4
# A leader begins a new term on its own no sooner than this after another.
MIN_TERM_S = 1.0
# A standby holder, which has no quorum, may hold an executor for this long.
MAX_REPORT_AGE_S = 60.0
# The leader renews the reports of executors that answer orders, but whose
# reports don't arrive, so that the next leader knows them.
RENEWAL_INTERVAL_S = MAX_REPORT_AGE_S / 3
# Below the 1 s that the operator's client waits for an answer.
OPERATOR_TIMEOUT_S = 0.9
# An executor that leaves ends with the acknowledgement. Before, its runs can
# be stopped, and their tasks start again once it has listed the ends; later
# only when the leases have lapsed. Time for that beside the stop itself.
DEREGISTRATION_LIST_S = 0.1
# Executors wait a second for the acknowledgement.
MAX_DEREGISTRATION_ACK_S = 0.5
# A restart replays what is not compacted; a change takes some 500 bytes.
COMPACT_BYTES = 128 * 1024
LEADERSHIP_TRANSFER_S = 1.0
# A host that polled its leadership longer ago was paused, and reads what was
# sent to it before. It takes the leader's messages for recent again once the
# old ones are read.
MAX_POLL_GAP_S = 0.3
RESUMED_S = 0.5


class ControlHost(operatorport.ZoneControl):
    """Replicate the document and receive executors' reports.

    While it leads the group, this host is also the holder.

    :param node: event loop, timers and links
    :param decoder: parses operators' documents
    :param port: sends orders to executors
    """

    def __init__(
        self,
        *,
        node: runtime.Runtime,
        decoder: documents.Decoder,
        port: ports.ExecutorPort,
    ) -> None:
        self._node = node
        self._cfg = node.cfg
        self._heap = node.heap
        self._decoder = decoder
        self._reports: dict[
            work.ExecutorId, tuple[float, work.ExecutorReport]
        ] = {}
        self._standby_zones = scopes.StandbyZones(
            zones=node.cfg.zones,
            reports=lambda: (report for _, report in self._reports.values()),
            evacuated=lambda: self._zone_view.evacuated,
        )
        self._zone_view = evacuations.ZoneView(part="control")
        # Services of the document of the version in the second field.
        self._services: frozenset[ids.ServiceId] = frozenset()
        self._services_version = 0
        self._pushes = pushes.PushTracker()
        self._speeds = speedtransfer.SpeedTransfer()
        # Executors and when their first reports were sent to the others.
        self._sharing: dict[work.ExecutorId, float] = {}
        self._renewed_at = self._heap.clock.now()
        self._unused = unusedexecutors.UnusedExecutors()
        self._report_quorum = reportquorum.ReportQuorum(me=node.cfg.id)
        self._started_at = self._heap.clock.now()
        self._is_stopping = False
        self._had_quorum = False
        self._is_push_due = False
        self._is_entry_news_due = False
        self._polled_at = self._resumed_at = self._started_at
        self._term_begun_at = self._started_at - MIN_TERM_S
        self.holder_role = holding.HolderRole(
            me=node.cfg.id,
            heap=node.heap,
            links=node.links,
            port=port,
            send_not_holder=lambda link: link.send(self._status()),
            notify=lambda _notice: None,
            lease_limits=node.cfg.lease_limits,
            resend_s=node.cfg.resend_s,
        )
        self._relays = relay.Relays(me=node.cfg.id, links=node.links)
        self.machine = documents.DocumentMachine(
            applied=self._on_document,
            zones_changed=self._on_zones,
            cancelled=self._on_jobs_cancelled,
        )
        self._cancel_feed = cancellog.CancelFeed(table=self.machine.cancels)
        self._group = self._open_group(node.cfg)
        self._calls = groupcalls.GroupCalls(
            host=self._group, links=node.links, heap=self._heap
        )
        self._cancels = cancellog.LoggedCancels(
            calls=self._calls, heap=self._heap, table=self.machine.cancels
        )
        self.holder_role.cancels = self._cancels
        self._zone_orders = zoneorders.ZoneOrders(
            calls=self._calls,
            heap=self._heap,
            zones=node.cfg.zones,
            table=lambda: self.machine.zones,
            timeout_s=OPERATOR_TIMEOUT_S,
        )
        self._register_handlers()
        self._add_metrics()
        self._group.on_leadership = self._check_leadership
        self._heap.call_every(LEADERSHIP_POLL_S, self._check_leadership)
        self._heap.call_every(STATUS_INTERVAL_S, self._send_status)
        self._heap.call_every(ENTRY_NEWS_INTERVAL_S, self._send_entry_news)
        self._heap.call_every(speedtransfer.SEND_INTERVAL_S, self._send_speeds)

    @property
    def member(self) -> replica.Replica:
        """This host's replica."""
        return self._group.member

    @property
    def holder(self) -> ids.InstanceId:
        """The holder as far as known here, empty if unknown."""
        if self.holder_role.is_active:
            return self._cfg.id
        leader = self.member.leader
        if leader is None or leader.name == self._cfg.id:
            return ids.InstanceId("")
        return leader.name

    def runs_by_zone(self) -> dict[ids.ZoneId, int]:
        """Count the runs in each zone of the settings.

        :returns: without zones whose runs aren't known, empty when this host
            isn't the holder
        """
        return self.holder_role.runs_by_zone(
            ids.ZoneId(zone) for zone in self._cfg.zones
        )

    def check_report(self, report: work.ExecutorReport) -> None:
        """Check that an executor's report fits this deployment.

        :raises errors.InvalidRequest: if the settings don't name its zone or
            neither the document nor a former one names its service
        """
        if self._cfg.zones and report.zone not in self._cfg.zones:
            raise errors.InvalidRequest("zone: not in the settings")
        if report.service not in self._services:
            self._read_services()
        is_unknown = self._services and report.service not in self._services
        if is_unknown and not self._may_be_removed(report):
            raise errors.InvalidRequest("service: not in the configuration")

    def _may_be_removed(self, report: work.ExecutorReport) -> bool:
        """Return whether a former document may have named a report's service.

        The jobs of that document go on there. A host that has just started
        doesn't know the executor; it may leave nevertheless.
        """
        _, known = self._reports.get(report.id, (0.0, None))
        if known is None:
            return report.is_draining
        return known.service == report.service

    def _read_services(self) -> None:
        """Read the services of the document unless they are known.

        Only an unknown service leads here: to decode a document of thousands
        of queues takes tens of milliseconds.
        """
        if self._services_version == self.machine.version:
            return
        self._services_version = self.machine.version
        try:
            document = self._decoder.decode(self.machine.data)
        except errors.InvalidSettings:
            return
        self._services = frozenset(each.name for each in document.services)

    def report(self, report: work.ExecutorReport) -> None:
        """Process an executor's report and forward it to control hosts."""
        self._store_report(report)
        for name in self._control_hosts():
            if name != self._cfg.id:
                message = messages.ExecutorNews((report,))
                self._node.links.send(name, message)

    def deregister(
        self,
        executor: work.ExecutorId,
        done: typing.Callable[[], None],
        *,
        born_ms: int = 0,
    ) -> None:
        """Process the deregistration of an executor, if it is known.

        It is meant for the incarnation that is known now, unless it is
        known to be of a former one.

        :param done: called when its runs have had time to be stopped
        :param born_ms: start of the incarnation that leaves, 0 if unknown
        """
        ack_s = min(
            MAX_DEREGISTRATION_ACK_S, self._cfg.stop_s + DEREGISTRATION_LIST_S
        )
        self._heap.call_later(ack_s, done)
        at, known = self._reports.get(executor, (0.0, None))
        if known is None or known.is_gone:
            return
        if 0 < born_ms < known.born_ms:
            return
        elapsed_ms = (self._heap.clock.now() - at) * 1000
        self.report(
            known._replace(
                is_draining=True,
                is_gone=True,
                remaining_ms=0,
                clock_ms=known.clock_ms + int(elapsed_ms),
                sequence=work.LAST_SEQUENCE,
            )
        )

    def put(self, data: bytes, done: typing.Callable[[bool], None]) -> None:
        """Store a document.

        :param done: receives True once this version or a newer one is
            committed, False after a timeout
        :raises errors.InvalidSettings: when it is not valid
        """
        document = self._decoder.decode(data)

        def stored(is_committed: bool) -> None:
            _LOG.info(
                "control: document write finished",
                extra={
                    "version": document.version,
                    "committed": is_committed,
                },
            )
            done(is_committed)

        if document.version <= self.machine.version:
            # Applied versions are committed.
            stored(True)
            return
        deadline = self._heap.clock.now() + OPERATOR_TIMEOUT_S
        self._store(document, self.machine.version, deadline, stored)

    def _store(
        self,
        document: documents.Document,
        base: int,
        deadline: float,
        done: typing.Callable[[bool], None],
    ) -> None:
        """Commit a document as a difference to a version.

        :param base: the version that this host has applied, 0 to store the
            whole document
        """
        base_data = self.machine.data if base else b""
        command = documents.CODEC.encode(
            documents.ChangeDocument(
                document.version,
                base,
                deltas.encode(base_data, document.data),
            )
        )

        def answered(reply: bytes | None) -> None:
            if reply is None:
                done(False)
            elif documents.CODEC.decode(reply).version >= document.version:
                done(True)
            else:
                # Another version was committed since.
                self._store(document, 0, deadline, done)

        self._calls.call(command, deadline - self._heap.clock.now(), answered)

    def read(
        self, done: typing.Callable[[documents.DocumentReply | None], None]
    ) -> None:
        """Read the newest document.

        :param done: receives the document, None after a timeout
        """
        known = self.machine.version
        command = documents.CODEC.encode(documents.ReadDocument(known))

        def answered(reply: bytes | None) -> None:
            if reply is None:
                done(None)
                return
            document = documents.CODEC.decode(reply)
            if document.version == known:
                document = documents.DocumentReply(
                    self.machine.version, self.machine.data
                )
            done(document)

        self._calls.call(command, OPERATOR_TIMEOUT_S, answered)

    @property
    def zones(self) -> evacuations.ZoneTable:
        """The evacuations as applied by this host."""
        return self.machine.zones

    def order_zone(
        self,
        zone: ids.ZoneId,
        *,
        is_evacuated: bool,
        origin: str,
        done: zoneorders.Done,
        is_abandoned: zoneorders.IsAbandoned = lambda: False,
    ) -> None:
        """Evacuate or restore a zone.

        :param origin: where the order came from, for the audit
        :param done: receives True once the order is committed, False after a
            timeout
        :param is_abandoned: whether the client has disconnected
        :raises errors.InvalidRequest: when the zone is unknown
        """
        self._zone_orders.order(
            zone,
            is_evacuated=is_evacuated,
            origin=origin,
            done=done,
            is_abandoned=is_abandoned,
        )

    def read_zones(
        self, done: typing.Callable[[evacuations.ZoneTable | None], None]
    ) -> None:
        """Read the evacuations from a quorum.

        :param done: receives the table, None after a timeout
        """
        self._zone_orders.read(done)

    def stop(self) -> None:
        """Transfer leadership, then stop; a second call stops at once."""
        if self._is_stopping:
            self._node.stop()
            return
        self._is_stopping = True
        self._group.resign()
        self._heap.call_later(LEADERSHIP_TRANSFER_S, self._node.stop)

    def _open_group(
        self, cfg: nodesettings.NodeSettings
    ) -> grouphost.GroupHost:
        store = disk.FileDisk()

        def reopen() -> tuple[replica.Replica, journal.Journal]:
            store.close()
            return self._open_replica(cfg, store)

        member, replica_journal = self._open_replica(cfg, store)
        return grouphost.GroupHost(
            group=documents.GROUP,
            member=member,
            group_journal=replica_journal,
            machine=self.machine,
            heap=self._heap,
            send=self._node.links.send,
            compact_bytes=COMPACT_BYTES,
            reopen=reopen,
        )

    def _open_replica(
        self, cfg: nodesettings.NodeSettings, store: disk.Disk
    ) -> tuple[replica.Replica, journal.Journal]:
        folder = pathlib.Path(cfg.data_folder)
        seeds = [address.host for address in cfg.seeds]
        identity = founding.load_or_create_identity(
            folder,
            store,
            is_founding=cfg.is_founding,
            me=cfg.host,
            seeds=seeds,
        )
        replica_journal, restored, me = founding.open_replica(
            folder=folder,
            store=store,
            identity=identity,
            group=documents.GROUP,
            me=cfg.id,
        )
        for host in seeds:
            self._node.add_host(host)
        member = replica.Replica(
            group=documents.GROUP,
            me=me,
            restored=restored,
            peers=[ids.InstanceId(host) for host in seeds],
            rng=random.Random(),
            now=self._heap.clock.now(),
            timing=TIMING,
            target_voters=2 * cfg.disk_losses + 1,
        )
        return member, replica_journal

    def _register_handlers(self) -> None:
        links = self._node.links
        for kind in messages.REPLICA_KINDS:
            links.handle(kind, self._on_replica_message)
        links.handle(messages.ExecutorNews, self._on_executor_news)
        links.handle(messages.UsedExecutors, self._on_used_executors)
        links.handle(messages.ReportAnswer, self._on_report_answer)
        links.handle(messages.EntryBeat, self._on_entry_beat)
        links.handle(messages.ExecutorSpeeds, self._on_speeds)

    def _add_metrics(self) -> None:
        registry = self._node.metrics
        registry.register("is_holder", lambda: self.holder_role.is_active)
        registry.register("term", lambda: self.member.term)
        registry.register("commit", lambda: self.member.commit)
        registry.register("voters", lambda: len(self.member.config.voters))
        registry.register("learners", lambda: len(self.member.config.learners))
        registry.register("executors", lambda: len(self._reports))
        registry.register("document_version", lambda: self.machine.version)
        registry.register(
            "zones_evacuated", lambda: len(self._zone_view.evacuated)
        )
        registry.register(
            "zone_orders_total", lambda: self._zone_orders.orders
        )
        registry.register("syncs", lambda: self._group.syncs)
        registry.register("is_disk_failed", lambda: self._group.is_halted)
        registry.register("cancels", lambda: len(self.machine.cancels))
        registry.register(
            "given_up_jobs", lambda: self.machine.cancels.given_up_count
        )
        registry.register_table("holder_", self.holder_role.metric_values)

    def _control_hosts(self) -> list[ids.InstanceId]:
        names = {member.name for member in self.member.config.members}
        names.update(ids.InstanceId(a.host) for a in self._cfg.seeds)
        names.add(self._cfg.id)
        return sorted(names)

    def _on_replica_message(
        self, link: peers.MessageLink, message: typing.Any
    ) -> None:
        self._node.add_host(link.peer)
        self._group.receive(message)

    def _on_executor_news(
        self, link: peers.MessageLink, message: messages.ExecutorNews
    ) -> None:
        first = tuple(
            report for report in message.reports if self._store_report(report)
        )
        self._unused.receive(message)
        self._pass_on(first, link.peer)
        if message.query.term:
            self._answer_query(link, message.query)

    def _pass_on(
        self, first: tuple[work.ExecutorReport, ...], sender: ids.InstanceId
    ) -> None:
        """Send first reports to the other control hosts.

        Their sender may have no link to one that leads later.
        """
        for name in self._control_hosts() if first else ():
            if name not in (self._cfg.id, sender):
                self._node.links.send(name, messages.ExecutorNews(first))

    def _on_used_executors(
        self, link: peers.MessageLink, message: messages.UsedExecutors
    ) -> None:
        """Store the reports of executors that a standby has used."""
        self._store_reports(message, link.peer)
        self.holder_role.standby_ended(link.peer)

    def _store_reports(
        self,
        message: messages.UsedExecutors | messages.ReportAnswer,
        sender: ids.InstanceId,
    ) -> None:
        """Store the reports of executors that another holder has used.

        The engine gets all: it may have dropped one that is known here.
        """
        now = self._heap.clock.now()
        first = []
        for at, report in usedexecutors.read(message, now):
            if self._store_report(report, age_s=now - at):
                first.append(report)
            else:
                known_at, known = self._reports[report.id]
                self.holder_role.report(known, age_s=now - known_at)
        self._pass_on(tuple(first), sender)

    def _answer_query(
        self, link: peers.MessageLink, query: messages.ReportQuery
    ) -> None:
        now = self._heap.clock.now()
        link.send(
            reportquorum.answer(
                query,
                self._reports.values(),
                now,
                is_complete=now >= self._reports_complete_at,
            )
        )

    def _on_report_answer(
        self, link: peers.MessageLink, message: messages.ReportAnswer
    ) -> None:
        self._store_reports(message, link.peer)
        self._report_quorum.record(link.peer, message)
        if self.holder_role.is_active:
            self._await_reports()

    @property
    def _reports_complete_at(self) -> float:
        """When all executors have reported to this host or another one."""
        return self._started_at + 2 * self._cfg.heartbeat_s

    def _await_reports(self) -> None:
        """Ask for the reports that a quorum has, until they are here.

        Hosts of a former version don't answer.
        """
        voters = {voter.name for voter in self.member.config.voters}
        is_waiting = not self._report_quorum.is_complete(voters)
        self.holder_role.await_reports(is_waiting=is_waiting)
        if not is_waiting:
            return
        known = (report for _, report in self._reports.values())
        query = self._report_quorum.query(known, self._heap.clock.now())
        for name in voters - {self._cfg.id} if query is not None else ():
            self._node.links.send(name, query)

    def _store_report(
        self, report: work.ExecutorReport, *, age_s: float = 0.0
    ) -> bool:
        """Store a report unless a newer one is known.

        :param age_s: time since its executor was last heard of, seconds
        :returns: whether an executor may be used from this report on
        """
        previous = self._reports.get(report.id)
        if previous is not None and not report.replaces(previous[1]):
            return False
        is_first = previous is None or (
            self._unused.is_listed(previous[1])
            and not self._unused.is_listed(report)
        )
        has_changed = previous is None or _stable_fields(
            previous[1]
        ) != _stable_fields(report)
        if has_changed:
            self.holder_role.forward_reports([report])
            _LOG.info(
                "control: executor report changed",
                extra={
                    "executor": report.id,
                    "draining": report.is_draining,
                    "gone": report.is_gone,
                },
            )
        at = self._heap.clock.now() - age_s
        if previous is not None:
            at = max(at, previous[0])
        self._reports[report.id] = (at, report)
        if previous is None or previous[1].is_gone != report.is_gone:
            self._standby_zones.reset()
            self._is_entry_news_due = True
        self.holder_role.report(report, age_s=age_s)
        return is_first

    def _on_entry_beat(
        self, link: peers.MessageLink, message: messages.EntryBeat
    ) -> None:
        previous = self.holder_role.entries.get(link.peer)
        self.holder_role.record_entry(
            link,
            followed_holder=message.holder,
            zone=message.zone,
            status_stamp=message.status_stamp,
            has_ended=message.has_ended,
            keeps_starts=message.keeps_starts,
        )
        self._update_zones(
            message.zones_revision, message.evacuated, link.peer
        )
        self.holder_role.record_token(message.token)
        self._pushes.record_heartbeat(
            link,
            version=message.document_version,
            is_receiver=self._is_sender_for(message.holder),
        )
        self._push(link.peer)
        if message.keeps_cancels:
            self._cancel_feed.record_heartbeat(link, message.cancels_known_ms)
            if self.holder_role.is_active:
                self._cancel_feed.send([link.peer])
        is_new = previous is None or previous.link is not link
        if is_new:
            reports = tuple(each for _, each in self._reports.values())
            link.send(messages.ExecutorNews(reports))
            self._introduce(link, message.zone)
        # The holder sends its status periodically, the same to all.
        is_periodic = self.holder_role.is_active and not message.is_probe
        if is_new or not is_periodic:
            link.send(self._status()._replace(echo=message.stamp))
        if is_new or previous.zone != message.zone:
            self._is_entry_news_due = True

    def _introduce(self, link: peers.MessageLink, zone: ids.ZoneId) -> None:
        """Tell a new entry host of a few that share its standby.

        They would not find each other if all control hosts were lost before
        the next news.
        """
        shared = self._standby_zones.shared_with(zone)
        known = (
            messages.EntryPeer(name, entry_link.zone)
            for name, entry_link in self.holder_role.entries.items()
            if name != link.peer and entry_link.zone in shared
        )
        # Standbys are chosen by the lowest name.
        first = heapq.nsmallest(INTRODUCED_ENTRIES, known)
        link.send(messages.EntryNews(tuple(first), ()))

    def _send_entry_news(self) -> None:
        """Tell the entry hosts which ones share a standby, after a change."""
        if not self._is_entry_news_due:
            return
        self._is_entry_news_due = False
        entries = self.holder_role.entries
        known = [
            messages.EntryPeer(name, entry_link.zone)
            for name, entry_link in entries.items()
        ]
        for zone in {entry_link.zone for entry_link in entries.values()}:
            shared = self._standby_zones.shared_with(zone)
            news = messages.EntryNews(
                tuple(entry for entry in known if entry.zone in shared),
                permission.choose_witnesses(known, zone),
            )
            for entry_link in entries.values():
                if entry_link.zone == zone:
                    entry_link.link.send(news)

    def _on_speeds(
        self, _link: peers.MessageLink, message: messages.ExecutorSpeeds
    ) -> None:
        self._speeds.receive(message, self._heap.clock.now())

    def _send_speeds(self) -> None:
        """Send the learned speeds to hosts that may be the holder next."""
        if not self.holder_role.is_active:
            return
        rows = self.holder_role.speed_rows()
        if not self._speeds.is_due(rows, self._heap.clock.now()):
            return
        for name in self._control_hosts():
            if name != self._cfg.id:
                self._node.links.send(name, messages.ExecutorSpeeds(rows))
        zones = [ids.ZoneId(zone) for zone in self._cfg.zones]
        for shared in {self._standby_zones.shared_with(z) for z in zones}:
            message = messages.ExecutorSpeeds(
                self.holder_role.speed_rows(shared)
            )
            for entry_link in speedtransfer.standby_candidates(
                self.holder_role.entries, shared
            ):
                entry_link.link.send(message)

    def _on_document(self, version: int, data: bytes) -> None:
        _LOG.info("control: document applied", extra={"v": version})
        # A replica that catches up may apply many documents in a row; only
        # the last one is pushed.
        if not self._is_push_due:
            self._is_push_due = True
            self._heap.call_later(0.0, self._push_all)

    def _on_jobs_cancelled(self) -> None:
        """Tell the entry hosts that may hold next, before any caller.

        The others are told with the next status.
        """
        if self.holder_role.is_active:
            entries = self.holder_role.entries
            candidates = speedtransfer.standby_candidates(
                entries, {each.zone for each in entries.values()}
            )
            self._cancel_feed.send(each.link.peer for each in candidates)

    def _on_zones(self, table: evacuations.ZoneTable) -> None:
        newest = table.audit[-1].origin if table.audit else ""
        self._update_zones(table.revision, table.evacuated, newest)

    def _update_zones(
        self,
        revision: int,
        evacuated: typing.Iterable[ids.ZoneId],
        origin: str,
    ) -> None:
        """Take over the evacuated zones if they are newer.

        This host's orders end and the entry hosts are told before the order
        is acknowledged.
        """
        if not self._zone_view.update(revision, evacuated, origin):
            return
        self._standby_zones.reset()
        self._is_entry_news_due = True
        if self.holder_role.is_active:
            self.holder_role.close_zones(self._zone_view.evacuated)
            self.holder_role.send_status(self._status())

    def _is_sender_for(self, holder: ids.InstanceId) -> bool:
        """Whether this host sends documents to followers of a holder.

        A leader does so itself. Other entry hosts have no leader, or one
        that they have no path to.
        """
        return holder == self._cfg.id or holder not in self._control_hosts()

    def _push_all(self) -> None:
        self._is_push_due = False
        for entry in self._pushes.receivers():
            if entry in self.holder_role.entries:
                self._push(entry)
            else:
                self._pushes.remove(entry)

    def _push(self, entry: ids.InstanceId) -> None:
        """Send an entry host the newest document if it is due."""
        now = self._heap.clock.now()
        version = self.machine.version
        receiver = self._pushes.due(entry, version, now)
        if receiver is None:
            return
        self._pushes.record_push(entry, now)
        receiver.link.send(
            messages.DocumentPush(
                version, *self.machine.deltas_since(receiver.base)
            )
        )

    def _status(self) -> messages.ControlNews:
        holder_name = ids.InstanceId("")
        if self.holder_role.is_active:
            holder_name = self._cfg.id
        return messages.ControlNews(
            control=self._cfg.id,
            holder=holder_name,
            term=self.member.term,
            controls=tuple(self._control_hosts()),
            counts=self.holder_role.counts(),
            has_quorum=self._has_quorum(),
            token=self.holder_role.highest_token,
            zones_revision=self._zone_view.revision,
            evacuated=tuple(sorted(self._zone_view.evacuated)),
            is_current=self._is_current(),
            answers_queries=True,
            stamp=self._heap.clock.now(),
        )

    def _is_current(self) -> bool:
        """Whether this host knows all orders that were acknowledged."""
        now = self._heap.clock.now()
        return (
            not self._group.is_halted
            and self.member.is_current(now)
            and now - self._polled_at < MAX_POLL_GAP_S
            and now - self._resumed_at >= RESUMED_S
        )

    def _has_quorum(self) -> bool:
        """Whether a leader exists or can be elected soon."""
        voters = self.member.config.voters
        linked = sum(
            voter.name == self._cfg.id
            or self._node.links.is_linked(voter.name)
            for voter in voters
        )
        return (
            not self._group.is_halted
            and linked * 2 > len(voters)
            and self.member.is_quorum_reachable(self._heap.clock.now())
        )

    def _send_status(self) -> None:
        self._remove_old_reports()
        known = len(self.holder_role.entries)
        self.holder_role.remove_silent_entries()
        self._cancel_feed.keep(self.holder_role.entries)
        self._is_entry_news_due |= len(self.holder_role.entries) != known
        if self.holder_role.is_active:
            self._cancel_feed.send_all()
            self.holder_role.send_status(self._status())
            self._send_unused()
            self._await_reports()
            self._renew_reports()

    def _renew_reports(self) -> None:
        now = self._heap.clock.now()
        if now - self._renewed_at < RENEWAL_INTERVAL_S:
            return
        self._renewed_at = now
        reports = tuple(self.holder_role.used_silently(RENEWAL_INTERVAL_S))
        for report in reports:
            _, known = self._reports.get(report.id, (0.0, report))
            if report.replaces(known):
                self._reports[report.id] = (now, report)
        for name in self._control_hosts() if reports else ():
            if name != self._cfg.id:
                self._node.links.send(name, messages.ExecutorNews(reports))

    def _send_unused(self) -> None:
        """Tell the other control hosts of executors that are given up."""
        news = self._unused.news(
            self.holder_role.unused_executors(),
            self.member.term,
            self._heap.clock.now(),
        )
        for name in self._control_hosts() if news is not None else ():
            if name != self._cfg.id:
                self._node.links.send(name, news)

    def _remove_old_reports(self) -> None:
        now = self._heap.clock.now()
        for name, (at, _) in list(self._reports.items()):
            if now - at > MAX_REPORT_AGE_S:
                del self._reports[name]
                self._standby_zones.reset()
                self._is_entry_news_due = True

    def _may_send_orders(self) -> bool:
        return self._heap.clock.now() < self.member.lease_expires_at()

    def _check_leadership(self) -> None:
        """Become the holder or stop being it when leadership changes."""
        now = self._heap.clock.now()
        if now - self._polled_at >= MAX_POLL_GAP_S:
            self._resumed_at = now
        self._polled_at = now
        for name in self._control_hosts():
            self._node.add_host(name)
        self._check_quorum()
        if not self.holder_role.is_active:
            # A committed order may not be applied yet.
            is_ready = self._group.is_leader and self._may_send_orders()
            if is_ready and self._group.has_applied_own_term:
                self._become_holder()
        elif not self._group.is_leader:
            self.holder_role.end("leadership lost")
        else:
            self._share_reports()

    def _share_reports(self) -> None:
        """Use new executors once a quorum has their first reports.

        Else the next leader may not know of the runs there. The messages of
        the replica follow the reports on the same links.
        """
        now = self._heap.clock.now()
        acked_at = self.member.quorum_acked_at()
        shared = [n for n, at in self._sharing.items() if at < acked_at]
        for name in shared:
            del self._sharing[name]
        if shared:
            self.holder_role.reports_shared(shared)
        reports = tuple(self.holder_role.take_unshared())
        if not reports:
            return
        self._sharing.update((report.id, now) for report in reports)
        for name in self._control_hosts():
            if name != self._cfg.id:
                self._node.links.send(name, messages.ExecutorNews(reports))

    def _check_quorum(self) -> None:
        """Tell the entry hosts when the quorum is lost.

        In a zone that is cut off they wait for it to choose a standby.
        """
        had_quorum, self._had_quorum = self._had_quorum, self._has_quorum()
        if had_quorum and not self._had_quorum:
            self.holder_role.send_status(self._status())

    def _become_holder(self) -> None:
        self._cancels.begin()
        self._cancel_feed.restart()
        self._cancel_feed.send_all()
        live = [
            (at, report)
            for at, report in self._reports.values()
            # One that has deregistered may still run tasks for a time.
            if not report.is_gone
            or self._heap.clock.now() - at < work.DEPARTURE_RETENTION_S
        ]
        former_term = self._group.former_term
        self._sharing.clear()
        self.holder_role.begin(
            fence=tokens.Fence(self.member.term, tokens.LEADER_SIDE),
            reports_complete_at=self._reports_complete_at,
            reports=live,
            may_send_orders=self._may_send_orders,
            closed_zones=self._zone_view.evacuated,
            speed_rows=self._speeds.known(self._heap.clock.now()),
            is_unused=lambda report: self._unused.covers(report, former_term),
            on_bumps_used=self._begin_term,
        )
        self._report_quorum.begin(self.member.term)
        self._send_status()

    def _begin_term(self) -> None:
        """Begin a new term, whose tokens exceed those of a standby."""
        now = self._heap.clock.now()
        if now - self._term_begun_at < MIN_TERM_S:
            return
        self._term_begun_at = now
        self.holder_role.end("fencing tokens used up")
        self._group.begin_term()


def _stable_fields(report: work.ExecutorReport) -> work.ExecutorReport:
    """Reset the fields that change with every report.

    Of the cold time, only whether there is any counts as a change.
    """
    return report._replace(
        clock_ms=0,
        sequence=0,
        remaining_ms=0,
        cold_ms=int(report.cold_ms > 0),
    )
