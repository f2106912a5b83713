"""An entry host: takes jobs from callers and has the holder run them."""

import collections
import enum
import itertools
import logging
import typing

from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel.control import documents
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
# Two elections of up to 0.9 s each.
LOST_S = 2.0
# A job that was never offered is refused when no holder comes by then.
UNOFFERED_S = 0.3
RETRY_AFTER_MS = 1_000
CANCEL_TIMEOUT_S = 1.0
# More lives of executors than a zone sees in a day.
MAX_REPORTS = 4_096

Answered = typing.Callable[[work.Answer], None]
Cancelled = typing.Callable[[bool | None], None]


class Drain(enum.Enum):
    """How far a planned stop is."""

    SERVING = "serving"
    LEAVING = "leaving"


class _HolderId(typing.NamedTuple):
    """One time that a host holds the executors."""

    host: ids.InstanceId
    term: int
    is_standby: bool


class _Job:
    """A job that callers of this host wait for."""

    def __init__(self, *, job: work.Job, now: float) -> None:
        self.job = job
        self.since = now
        self.offered_to: _HolderId | None = None
        self.offers = 0
        self.is_told = False
        self.was_standby = False
        self.waiting: dict[int, Answered] = {}


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
        self._holding = holding.Holding(
            me=self._me,
            heap=node.heap,
            links=node.links,
            port=port,
            refuse=lambda link: link.send(self._news()),
            answered=lambda answer: self._take_answer(answer, self._me),
            terms=node.cfg.terms,
        )
        self._holder: _HolderId | None = None
        self._holder_heard_at = 0.0
        self._holder_lost_at = self._heap.clock.now()
        self._counts: dict[str, int] = {}
        self._jobs: dict[ids.JobId, _Job] = {}
        self._numbers = itertools.count(1)
        self._beats = 0
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._latency = node.metrics.timing("job_ms")
        node.metrics.read_table("jobs_", lambda: self._outcomes)
        node.metrics.read("jobs_running", lambda: len(self._jobs))
        node.metrics.read(
            "document_version",
            lambda: self.routes.document.version if self.routes else 0,
        )
        self._cancels: dict[int, Cancelled] = {}
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

    @property
    def running(self) -> int:
        """Jobs without an answer."""
        return len(self._jobs)

    def submit(self, job: work.Job, answered: Answered) -> int:
        """Have a job run; the answer comes once, maybe at once.

        :returns: a number to leave with
        """
        number = next(self._numbers)
        state = self._jobs.get(job.id)
        if state is None:
            state = _Job(job=job, now=self._heap.clock.now())
            self._jobs[job.id] = state
        state.waiting[number] = answered
        if state.offered_to is None and self._holder is not None:
            self._offer(state)
        return number

    def leave(self, job: ids.JobId, number: int) -> None:
        """Stop a job whose last caller has gone."""
        state = self._jobs.get(job)
        if state is None:
            return
        state.waiting.pop(number, None)
        if state.waiting:
            return
        del self._jobs[job]
        if state.offered_to is not None and self._holder is not None:
            self._send_cancel(self._holder, 0, job)

    def cancel(self, job: ids.JobId, done: Cancelled) -> None:
        """Stop a job on a caller's wish.

        :param done: told whether it was known, None when nobody can say
        """
        if self._holder is None:
            done(None)
            return
        number = next(self._numbers)
        self._cancels[number] = done
        self._heap.call_later(
            CANCEL_TIMEOUT_S, lambda: self._cancel_done(number, None)
        )
        self._send_cancel(self._holder, number, job)

    def waiting(self, queue: str) -> int:
        """Count the jobs of a queue that wait for their first task."""
        return self._counts.get(queue, 0)

    def _send_cancel(
        self, holder: _HolderId, number: int, job: ids.JobId
    ) -> None:
        if holder.host == self._me:
            outcome = holding.outcome_of(number)
            self._cancel_done(number, self._holding.cancel(job, outcome))
            return
        cancel = messages.JobCancel(number, job)
        self._node.links.send(holder.host, cancel)

    def _beat(self) -> None:
        now = self._heap.clock.now()
        version = self.routes.document.version if self.routes else 0
        token = self._holding.highest_token
        holder = self._holder.host if self._holder else ids.InstanceId("")
        beat = messages.EntryBeat(self._me, version, token, holder)
        receivers: set[ids.InstanceId] = set()
        self._beats += 1
        if self._holder is not None and not self._holder.is_standby:
            receivers.add(self._holder.host)
        else:
            receivers |= self._entries
        if self._holder is None or self._beats % SELDOM_BEATS == 0:
            receivers |= self._controls
        receivers.discard(self._me)
        for name in receivers:
            self._node.links.send(name, beat)
        is_silent = now - self._holder_heard_at > HOLDER_SILENCE_S
        if self._holding.is_holding:
            self._holding.tell(self._news())
        elif self._holder is not None and is_silent:
            self._lose_holder("silent")
        if self._holder is None:
            self._maybe_hold(now)
        self._give_up(now)

    def _on_entry_beat(
        self, link: peers.Link, beat: messages.EntryBeat
    ) -> None:
        self._holding.hear(link, goes_by=beat.holder)
        self._holding.learn_token(beat.token)
        self._entries.add(link.peer)
        self._standby.hear(link.peer, self._heap.clock.now())
        if self._holding.is_holding:
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
            self._holding.report(report)
        while len(self._reports) > MAX_REPORTS:
            del self._reports[next(iter(self._reports))]

    def _news(self) -> messages.ControlNews:
        is_holding = self._holding.is_holding
        return messages.ControlNews(
            control=self._me,
            holder=self._me if is_holding else ids.InstanceId(""),
            term=self._term,
            controls=(),
            counts=self._holding.counts(),
            is_standby=True,
            token=self._holding.highest_token,
        )

    def _maybe_hold(self, now: float) -> None:
        """Hold the executors when no leader can."""
        is_able = self.is_ready and self._reports
        lost_at = self._holder_lost_at
        if not is_able or not self._standby.should_hold(
            lost_at=lost_at, now=now
        ):
            return
        self._holding.begin(
            fence=tokens.Fence(self._term, tokens.side_of(self._me)),
            knows_all_at=now,
            # They arrive on change only, so each may be alive still.
            reports=[
                (now, report)
                for _, report in self._reports.values()
                if not report.is_gone
            ],
            may_order=lambda: True,
        )
        self._take_holder(_HolderId(self._me, self._term, True))

    def _on_news(self, link: peers.Link, news: messages.ControlNews) -> None:
        now = self._heap.clock.now()
        for host in news.controls:
            self._controls.add(self._node.know(host))
        for host in news.entries:
            if host != self._me:
                self._entries.add(self._node.know(host))
        if news.has_quorum:
            self._standby.hear_quorum(now)
        self._term = max(self._term, news.term)
        self._holding.learn_token(news.token)
        if not news.holder:
            if self._holder and self._holder.host == news.control:
                self._lose_holder("resigned")
            return
        held_by = _HolderId(news.holder, news.term, news.is_standby)
        if not self._prefers(held_by):
            return
        self._holder_heard_at = now
        self._counts = {each.queue: each.waiting for each in news.counts}
        self._take_holder(held_by)

    def _prefers(self, other: _HolderId) -> bool:
        """Whether to go over to a holder: leaders first, newest first."""
        mine = self._holder
        if mine is None or mine == other:
            return True
        if mine.is_standby != other.is_standby:
            return mine.is_standby
        if mine.is_standby:
            return other.host <= mine.host
        return other.term >= mine.term

    def _take_holder(self, held_by: _HolderId) -> None:
        if held_by != self._holder:
            _LOG.info(
                "entry: a holder is known",
                extra={
                    "holder": held_by.host,
                    "term": held_by.term,
                    "standby": held_by.is_standby,
                },
            )
            if held_by.host != self._me:
                self._holding.end("another holds")
            self._holder = held_by
        for state in list(self._jobs.values()):
            if state.offered_to != held_by or not state.is_told:
                self._offer(state)

    def _offer(self, state: _Job) -> None:
        if self._holder is None:
            return
        former = state.offered_to
        if former not in (None, self._holder):
            state.offers += 1
            state.was_standby |= former is not None and former.is_standby
            if former is not None and former.host != self._me:
                cancel = messages.JobCancel(0, state.job.id)
                self._node.links.send(former.host, cancel)
        state.offered_to = self._holder
        state.is_told = True
        job = state.job._replace(
            offers=state.offers, is_from_standby=state.was_standby
        )
        if self._holder.host == self._me:
            self._holding.offer(job)
        else:
            self._node.links.send(self._holder.host, messages.JobOffer(job))

    def _on_lost(self, peer: ids.InstanceId) -> None:
        if self._holder is not None and self._holder.host == peer:
            self._lose_holder("link")

    def _lose_holder(self, why: str) -> None:
        _LOG.info(
            "entry: the holder is lost",
            extra={"holder": self._holder, "why": why},
        )
        self._holder = None
        self._counts = {}
        self._holder_lost_at = self._heap.clock.now()
        for state in self._jobs.values():
            state.is_told = False

    def _give_up(self, now: float) -> None:
        if self._holder is not None:
            return
        for state in list(self._jobs.values()):
            if state.offered_to is None:
                if now - state.since >= UNOFFERED_S:
                    self._end(
                        work.Answer(
                            state.job.id,
                            work.Outcome.REFUSED,
                            RETRY_AFTER_MS,
                            "no_holder",
                        )
                    )
            elif now - self._holder_lost_at >= LOST_S:
                self._end(
                    work.Answer(
                        state.job.id, work.Outcome.LOST, 0, "holder_lost"
                    )
                )

    def _on_answer(self, link: peers.Link, answer: messages.JobAnswer) -> None:
        self._take_answer(work.Answer(*answer), link.peer)

    def _take_answer(
        self, answer: work.Answer, sender: ids.InstanceId
    ) -> None:
        """Take an answer in; a former holder's counts if it is complete."""
        state = self._jobs.get(answer.job)
        if state is None:
            return
        holder = state.offered_to
        is_current = holder is not None and holder.host == sender
        if is_current or answer.outcome is work.Outcome.COMPLETED:
            self._end(answer)

    def _end(self, answer: work.Answer) -> None:
        state = self._jobs.pop(answer.job, None)
        if state is None:
            return
        if answer.outcome is work.Outcome.REFUSED and state.offers:
            # A former holder may have started some of it.
            answer = answer._replace(outcome=work.Outcome.LOST)
        waited_s = self._heap.clock.now() - state.since
        self._outcomes[answer.outcome.value] += 1
        self._latency.add(waited_s * 1000)
        if answer.outcome is not work.Outcome.COMPLETED:
            _LOG.info(
                "entry: a job was not completed",
                extra=self._describe(state, answer, waited_s),
            )
        for answered in state.waiting.values():
            answered(answer)

    def _describe(
        self, state: _Job, answer: work.Answer, waited_s: float
    ) -> dict[str, typing.Any]:
        """Gather what decided an answer, for the log."""
        return {
            "job": answer.job,
            "outcome": answer.outcome.value,
            "reason": answer.reason,
            "waited_s": round(waited_s, 3),
            "queue": state.job.queue,
            "offers": state.offers,
            "holder": state.offered_to.host if state.offered_to else "",
            "document": self.routes.document.version if self.routes else 0,
        }

    def _on_cancelled(
        self, _link: peers.Link, message: messages.JobCancelled
    ) -> None:
        self._cancel_done(message.number, message.is_known)

    def _cancel_done(self, number: int, is_known: bool | None) -> None:
        done = self._cancels.pop(number, None)
        if done is not None:
            done(is_known)

    def _on_document(
        self, _link: peers.Link, push: messages.DocumentPush
    ) -> None:
        known = self.routes.document.version if self.routes else 0
        if push.version <= known:
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
