"""An entry host: takes jobs from callers and has the holder run them."""

import enum
import logging

from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel.control import documents
from chervilwheel.control import entryjobs
from chervilwheel.control import holding
from chervilwheel.control import routing
from chervilwheel.control import runtime
from chervilwheel.control import standby
from chervilwheel.control import tokens
from chervilwheel.workers import ports
from chervilwheel.workers import work

_LOG = logging.getLogger("entry")
BEAT_S = 0.15
# Hosts that don't hold hear each fourth beat.
SELDOM_BEATS = 4
# The holder tells news each 0.15 s; this is three of them.
HOLDER_SILENCE_S = 0.5
# More lives of executors than a zone sees in a day.
MAX_REPORTS = 4_096


class Drain(enum.Enum):
    """How far a planned stop is."""

    SERVING = "serving"
    LEAVING = "leaving"


class EntryHost:
    """Route jobs, offer them to the holder, hand answers back.

    :param node: the loop and its links
    :param decoder: reads operators' documents
    :param port: carries orders to executors when this host holds them
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
        self._controls: set[ids.InstanceId] = set()
        self._me = node.cfg.id
        self._entries: set[ids.InstanceId] = set()
        self._reports: dict[
            work.ExecutorId, tuple[float, work.ExecutorReport]
        ] = {}
        self._term = 0
        self._standby = standby.Standby(me=self._me)
        self._holder_role = holding.HolderRole(
            me=self._me,
            heap=node.heap,
            links=node.links,
            port=port,
            send_not_holder=lambda link: link.send(self._news()),
            answered=lambda answer: self.jobs.take_answer(answer, self._me),
            lease_limits=node.cfg.lease_limits,
        )
        self.jobs = entryjobs.EntryJobs(
            node=node, holder_role=self._holder_role, version=self._version
        )
        self._holder_heard_at = 0.0
        self._counts: dict[str, int] = {}
        self._beats = 0
        node.metrics.read("document_version", self._version)
        for address in node.cfg.seeds:
            self._controls.add(node.know(address.host))
        links = node.links
        links.handle(messages.ControlNews, self._on_news)
        links.handle(messages.EntryBeat, self._on_entry_beat)
        links.handle(messages.ExecutorNews, self._on_executor_news)
        links.handle(messages.DocumentPush, self._on_document)
        links.handle(messages.JobAnswer, self._on_answer)
        links.handle(messages.JobCancelled, self._on_cancelled)
        links.on_lost(self._on_lost)
        self._heap.every(BEAT_S, self._beat)
        self._heap.call_later(0.0, self._beat)

    @property
    def is_ready(self) -> bool:
        """Whether new callers are welcome."""
        return self.drain is Drain.SERVING and self.routes is not None

    def waiting(self, queue: str) -> int:
        """Count the jobs of a queue that wait for their first task."""
        return self._counts.get(queue, 0)

    def _version(self) -> int:
        """Return the version of the document in force, 0 for none."""
        return self.routes.document.version if self.routes else 0

    def _beat(self) -> None:
        now = self._heap.clock.now()
        version = self._version()
        token = self._holder_role.highest_token
        holder = self.jobs.holder
        followed_holder = holder.host if holder else ids.InstanceId("")
        beat = messages.EntryBeat(self._me, version, token, followed_holder)
        receivers: set[ids.InstanceId] = set()
        self._beats += 1
        if holder is not None and not holder.is_standby:
            receivers.add(holder.host)
        else:
            receivers |= self._entries
        if holder is None or self._beats % SELDOM_BEATS == 0:
            receivers |= self._controls
        receivers.discard(self._me)
        for name in receivers:
            self._node.links.send(name, beat)
        is_silent = now - self._holder_heard_at > HOLDER_SILENCE_S
        if self._holder_role.is_active:
            self._holder_role.send_status(self._news())
        elif holder is not None and is_silent:
            self._lose_holder("silent")
        if self.jobs.holder is None:
            self._maybe_hold(now)
        self.jobs.give_up(now)

    def _on_entry_beat(
        self, link: peers.Link, beat: messages.EntryBeat
    ) -> None:
        self._holder_role.record_entry(link, followed_holder=beat.holder)
        self._holder_role.record_token(beat.token)
        self._entries.add(link.peer)
        self._standby.record_heartbeat(link.peer, self._heap.clock.now())
        if self._holder_role.is_active:
            link.send(self._news())

    def _on_executor_news(
        self, _link: peers.Link, news: messages.ExecutorNews
    ) -> None:
        now = self._heap.clock.now()
        for report in news.reports:
            known = self._reports.get(report.id)
            if known is not None and known[1].sequence > report.sequence:
                continue
            self._reports[report.id] = (now, report)
            self._holder_role.report(report)
        while len(self._reports) > MAX_REPORTS:
            del self._reports[next(iter(self._reports))]

    def _news(self) -> messages.ControlNews:
        is_active = self._holder_role.is_active
        return messages.ControlNews(
            control=self._me,
            holder=self._me if is_active else ids.InstanceId(""),
            term=self._term,
            controls=(),
            counts=self._holder_role.counts(),
            is_standby=True,
            token=self._holder_role.highest_token,
        )

    def _maybe_hold(self, now: float) -> None:
        """Hold the executors when no leader can."""
        is_able = self.is_ready and self._reports
        if not is_able or not self._standby.should_take_over(
            holder_lost_at=self.jobs.holder_lost_at, now=now
        ):
            return
        self._holder_role.begin(
            fence=tokens.Fence(self._term, tokens.side_of(self._me)),
            reports_complete_at=now,
            # They arrive on change only, so each may be alive still.
            reports=[
                (now, report)
                for _, report in self._reports.values()
                if not report.is_gone
            ],
            may_send_orders=lambda: True,
        )
        self._take_holder(entryjobs.HolderId(self._me, self._term, True))

    def _on_news(self, link: peers.Link, news: messages.ControlNews) -> None:
        now = self._heap.clock.now()
        for host in news.controls:
            self._controls.add(self._node.know(host))
        for host in news.entries:
            if host != self._me:
                self._entries.add(self._node.know(host))
        if news.has_quorum:
            self._standby.record_quorum(now)
        self._term = max(self._term, news.term)
        self._holder_role.record_token(news.token)
        if not news.holder:
            if self.jobs.holder and self.jobs.holder.host == news.control:
                self._lose_holder("resigned")
            return
        held_by = entryjobs.HolderId(news.holder, news.term, news.is_standby)
        if not self._prefers(held_by):
            return
        self._holder_heard_at = now
        self._counts = {each.queue: each.waiting for each in news.counts}
        self._take_holder(held_by)

    def _prefers(self, other: entryjobs.HolderId) -> bool:
        """Whether to go over to a holder: leaders first, newest first."""
        mine = self.jobs.holder
        if mine is None or mine == other:
            return True
        if mine.is_standby != other.is_standby:
            return mine.is_standby
        if mine.is_standby:
            return other.host <= mine.host
        return other.term >= mine.term

    def _take_holder(self, held_by: entryjobs.HolderId) -> None:
        if held_by != self.jobs.holder:
            _LOG.info(
                "entry: a holder is known",
                extra={
                    "holder": held_by.host,
                    "term": held_by.term,
                    "standby": held_by.is_standby,
                },
            )
            if held_by.host != self._me:
                self._holder_role.end("another holder took over")
        self.jobs.go_over(held_by)

    def _on_lost(self, peer: ids.InstanceId) -> None:
        if self.jobs.holder is not None and self.jobs.holder.host == peer:
            self._lose_holder("link")

    def _lose_holder(self, why: str) -> None:
        _LOG.info(
            "entry: the holder is lost",
            extra={"holder": self.jobs.holder, "why": why},
        )
        self.jobs.lose_holder()
        self._counts = {}

    def _on_answer(self, link: peers.Link, answer: messages.JobAnswer) -> None:
        self.jobs.take_answer(work.Answer(*answer), link.peer)

    def _on_cancelled(
        self, _link: peers.Link, message: messages.JobCancelled
    ) -> None:
        self.jobs.cancelled(message.number, message.is_known)

    def _on_document(
        self, _link: peers.Link, push: messages.DocumentPush
    ) -> None:
        if push.version <= self._version():
            return
        try:
            document = self._decoder.decode(push.data)
        except errors.ChervilwheelError as exc:
            _LOG.error(
                "entry: a document can't be read",
                extra={"version": push.version, "error": exc.detail},
            )
            return
        self.routes = routing.RouteTable(document=document)
        _LOG.info(
            "entry: a document is in force", extra={"version": push.version}
        )
