"""An entry host: takes jobs from callers and has the holder run them."""

import enum
import itertools
import logging
import typing

from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel.control import documents
from chervilwheel.control import routing
from chervilwheel.control import runtime
from chervilwheel.workers import work

_LOG = logging.getLogger("entry")
BEAT_S = 0.25
# The holder tells news each 0.25 s; this is three of them.
HOLDER_SILENCE_S = 0.8
# An election takes up to 1.3 s, taking over the executors 0.7 s more.
LOST_S = 2.0
# A job that was never offered is refused when no holder comes by then.
UNOFFERED_S = 0.3
RETRY_AFTER_MS = 1_000
CANCEL_TIMEOUT_S = 1.0

Answered = typing.Callable[[work.Answer], None]
Cancelled = typing.Callable[[bool | None], None]


class Drain(enum.Enum):
    """How far a planned stop is."""

    SERVING = "serving"
    LEAVING = "leaving"


class _Job:
    """A job that callers of this host wait for."""

    def __init__(self, *, job: work.Job, now: float) -> None:
        self.job = job
        self.since = now
        self.offered_to: tuple[ids.InstanceId, int] | None = None
        self.offers = 0
        self.is_told = False
        self.waiting: dict[int, Answered] = {}


class EntryHost:
    """Route jobs, offer them to the holder, hand answers back.

    :param node: the loop and its links
    :param decoder: reads operators' documents
    """

    def __init__(
        self, *, node: runtime.Runtime, decoder: documents.Decoder
    ) -> None:
        self._node = node
        self._heap = node.heap
        self._decoder = decoder
        self.routes: routing.RouteTable | None = None
        self.drain = Drain.SERVING
        self._controls: set[ids.InstanceId] = set()
        self._holder: tuple[ids.InstanceId, int] | None = None
        self._holder_heard_at = 0.0
        self._holder_lost_at = self._heap.clock.now()
        self._counts: dict[str, int] = {}
        self._jobs: dict[ids.JobId, _Job] = {}
        self._numbers = itertools.count(1)
        self._cancels: dict[int, Cancelled] = {}
        for address in node.cfg.seeds:
            self._controls.add(node.know(address.host))
        links = node.links
        links.handle(messages.ControlNews, self._on_news)
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
            cancel = messages.JobCancel(0, job)
            self._node.links.send(self._holder[0], cancel)

    def cancel(self, job: ids.JobId, done: Cancelled) -> None:
        """Stop a job on a caller's wish.

        :param done: told whether it was known, None when nobody can say
        """
        if self._holder is None:
            done(None)
            return
        number = next(self._numbers)
        self._cancels[number] = done
        cancel = messages.JobCancel(number, job)
        self._node.links.send(self._holder[0], cancel)
        self._heap.call_later(
            CANCEL_TIMEOUT_S, lambda: self._cancel_done(number, None)
        )

    def waiting(self, queue: str) -> int:
        """Count the jobs of a queue that wait for their first task."""
        return self._counts.get(queue, 0)

    def _beat(self) -> None:
        version = self.routes.document.version if self.routes else 0
        beat = messages.EntryBeat(self._node.cfg.id, version)
        for name in self._controls:
            self._node.links.send(name, beat)
        now = self._heap.clock.now()
        is_silent = now - self._holder_heard_at > HOLDER_SILENCE_S
        if self._holder is not None and is_silent:
            self._lose_holder("silent")
        self._give_up(now)

    def _on_news(self, link: peers.Link, news: messages.ControlNews) -> None:
        for host in news.controls:
            self._controls.add(self._node.know(host))
        if not news.holder:
            if self._holder and self._holder[0] == news.control:
                self._lose_holder("resigned")
            return
        now = self._heap.clock.now()
        held_by = (news.holder, news.term)
        if self._holder is not None and news.term < self._holder[1]:
            return
        self._holder_heard_at = now
        self._counts = {each.queue: each.waiting for each in news.counts}
        if held_by != self._holder:
            _LOG.info(
                "entry: a holder is known",
                extra={"holder": news.holder, "term": news.term},
            )
            self._holder = held_by
        for state in list(self._jobs.values()):
            if state.offered_to != held_by or not state.is_told:
                self._offer(state)

    def _offer(self, state: _Job) -> None:
        if self._holder is None:
            return
        if state.offered_to not in (None, self._holder):
            state.offers += 1
        state.offered_to = self._holder
        state.is_told = True
        job = state.job._replace(offers=state.offers)
        self._node.links.send(self._holder[0], messages.JobOffer(job))

    def _on_lost(self, peer: ids.InstanceId) -> None:
        if self._holder is not None and self._holder[0] == peer:
            self._lose_holder("link")

    def _lose_holder(self, why: str) -> None:
        _LOG.info(
            "entry: the holder is lost",
            extra={"holder": self._holder, "why": why},
        )
        self._holder = None
        self._counts = {}
        now = self._heap.clock.now()
        self._holder_lost_at = now
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

    def _on_answer(
        self, _link: peers.Link, answer: messages.JobAnswer
    ) -> None:
        self._end(work.Answer(*answer))

    def _end(self, answer: work.Answer) -> None:
        state = self._jobs.pop(answer.job, None)
        if state is None:
            return
        outcome = answer.outcome
        if outcome is work.Outcome.REFUSED and state.offers:
            # A former holder may have started some of it.
            answer = answer._replace(outcome=work.Outcome.LOST)
        if outcome is not work.Outcome.COMPLETED:
            _LOG.info(
                "entry: a job was not completed",
                extra={
                    "job": answer.job,
                    "outcome": answer.outcome.value,
                    "reason": answer.reason,
                    "waited_s": round(self._heap.clock.now() - state.since, 3),
                },
            )
        for answered in state.waiting.values():
            answered(answer)

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
