"""Serve entry hosts while this host holds the executors."""

import logging
import typing

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel import timers
from chervilwheel.control import holder
from chervilwheel.control import tokens
from chervilwheel.workers import engine
from chervilwheel.workers import leases
from chervilwheel.workers import ports
from chervilwheel.workers import work

_LOG = logging.getLogger("holding")
# An entry host is lost after this time without a beat: four of them.
ENTRY_SILENCE_S = 0.6
ENTRY_FORGET_S = 10.0

Answered = typing.Callable[[work.Answer], None]


def outcome_of(number: int) -> work.Outcome:
    """Tell what a job that is stopped comes to.

    :param number: of the request to stop it; 0 when its callers left or
        its entry host went over to another holder
    """
    return work.Outcome.CANCELLED if number else work.Outcome.LOST


class EntryLink(typing.NamedTuple):
    """The link to an entry host, and when it spoke last."""

    link: peers.Link
    heard_at: float


class Holding:
    """Begin and end holding, and hand jobs and answers through.

    :param me: this host
    :param heap: timers
    :param links: links to the other hosts
    :param port: carries orders to executors
    :param refuse: tells an entry host that this host doesn't hold
    :param answered: takes answers to jobs of this host itself
    :param terms: what executors grant
    """

    def __init__(
        self,
        *,
        me: ids.InstanceId,
        heap: timers.TimerHeap,
        links: peers.Peers,
        port: ports.ExecutorPort,
        refuse: typing.Callable[[peers.Link], None],
        answered: Answered,
        terms: leases.Terms,
    ) -> None:
        self._me = me
        self._heap = heap
        self._port = port
        self._refuse = refuse
        self._answered = answered
        self._terms = terms
        self._holder: holder.Holder | None = None
        self._highest_token = 0
        self.entries: dict[ids.InstanceId, EntryLink] = {}
        links.handle(messages.JobOffer, self._on_offer)
        links.handle(messages.JobCancel, self._on_cancel)

    @property
    def is_holding(self) -> bool:
        """Whether this host holds the executors."""
        return self._holder is not None

    @property
    def highest_token(self) -> int:
        """The highest fencing token that is known here, 0 for none."""
        held = self._holder.engine.token if self._holder is not None else 0
        return max(self._highest_token, held)

    def learn_token(self, token: int) -> None:
        """Take note of a holder's token; later ones here go beyond it."""
        self._highest_token = max(self._highest_token, token)

    def begin(
        self,
        *,
        fence: tokens.Fence,
        knows_all_at: float,
        reports: typing.Iterable[tuple[float, work.ExecutorReport]],
        may_order: typing.Callable[[], bool],
    ) -> None:
        """Take over the executors that have reported.

        :param reports: each with its time of arrival, seconds
        """
        now = self._heap.clock.now()
        bump = fence.bump_above(self._highest_token)
        decider = engine.Engine(
            token=fence.token(bump),
            knows_all_at=knows_all_at,
            now=now,
            terms=self._terms,
        )
        self._holder = holder.Holder(
            heap=self._heap,
            port=self._port,
            decider=decider,
            fence=fence,
            bump=bump,
            answered=self._on_answer,
            may_order=may_order,
        )
        known = list(reports)
        _LOG.info(
            "holding: begun",
            extra={
                "term": fence.term,
                "side": fence.side,
                "bump": bump,
                "executors": len(known),
            },
        )
        for at, report in known:
            self._holder.report(report, age_s=now - at)

    def end(self, why: str) -> None:
        """Give no more orders; what runs lapses or is taken over."""
        if self._holder is not None:
            self.learn_token(self._holder.engine.token)
            _LOG.info("holding: ended", extra={"why": why})
            self._holder.close()
            self._holder = None

    def report(self, report: work.ExecutorReport) -> None:
        """Take in what an executor says of itself."""
        if self._holder is not None:
            self._holder.report(report)

    def offer(self, job: work.Job) -> None:
        """Take in a job of this host itself."""
        if self._holder is not None:
            self._holder.offer(job, self._me)

    def cancel(self, job: ids.JobId, outcome: work.Outcome) -> bool:
        """Stop a job of this host itself."""
        return self._holder is not None and self._holder.cancel(job, outcome)

    def hear(self, link: peers.Link, *, goes_by: ids.InstanceId) -> None:
        """Take note that an entry host is there.

        :param goes_by: the holder that it hands its jobs to
        """
        now = self._heap.clock.now()
        self.entries[link.peer] = EntryLink(link, now)
        if self._holder is not None and goes_by == self._me:
            self._holder.engine.hear_entry(link.peer, now)

    def counts(self) -> tuple[messages.QueueCount, ...]:
        """Count the waiting jobs of each queue."""
        if self._holder is None:
            return ()
        waiting = self._holder.engine.waiting_by_queue()
        return tuple(messages.QueueCount(*item) for item in waiting.items())

    def figures(self) -> dict[str, float]:
        """Count what the engine has done, for metrics."""
        if self._holder is None:
            return {}
        decider = self._holder.engine
        return {
            "executors": len(decider.executors),
            "jobs": len(decider.jobs),
            "waiting": sum(decider.waiting_by_queue().values()),
            "starts_total": decider.starts,
            "refusals_total": decider.refusals,
        }

    def tell(self, news: messages.ControlNews) -> None:
        """Send news to the entry hosts, and drop those that are silent."""
        now = self._heap.clock.now()
        if self._holder is not None:
            self._holder.engine.hear_entry(self._me, now)
        for name, known in list(self.entries.items()):
            silent_s = now - known.heard_at
            if silent_s > ENTRY_FORGET_S:
                del self.entries[name]
                continue
            if self._holder is not None and silent_s > ENTRY_SILENCE_S:
                self._holder.lose_entry(name)
            known.link.send(news)

    def tell_reports(
        self, reports: typing.Sequence[work.ExecutorReport]
    ) -> None:
        """Pass on to entry hosts what executors said."""
        news = messages.ExecutorNews(tuple(reports))
        for known in self.entries.values():
            known.link.send(news)

    def _on_offer(self, link: peers.Link, message: messages.JobOffer) -> None:
        self.hear(link, goes_by=self._me)
        if self._holder is None:
            self._refuse(link)
        else:
            self._holder.offer(message.job, link.peer)

    def _on_cancel(
        self, link: peers.Link, message: messages.JobCancel
    ) -> None:
        self.hear(link, goes_by=ids.InstanceId(""))
        if self._holder is None:
            self._refuse(link)
            return
        is_known = self._holder.cancel(message.job, outcome_of(message.number))
        link.send(messages.JobCancelled(message.number, is_known))

    def _on_answer(self, entry: ids.InstanceId, answer: work.Answer) -> None:
        if entry == self._me:
            self._answered(answer)
            return
        known = self.entries.get(entry)
        if known is not None:
            known.link.send(messages.JobAnswer(*answer))
