"""The jobs that callers of an entry host wait for."""

import collections
import itertools
import logging
import typing

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel.control import holding
from chervilwheel.control import runtime
from chervilwheel.workers import work

_LOG = logging.getLogger("entry")
# Two elections of up to 0.9 s each.
LOST_S = 2.0
# A job that was never offered is refused when no holder comes by then.
UNOFFERED_S = 0.3
RETRY_AFTER_MS = 1_000
CANCEL_TIMEOUT_S = 1.0

Answered = typing.Callable[[work.Answer], None]
Cancelled = typing.Callable[[bool | None], None]


class HolderId(typing.NamedTuple):
    """One time that a host holds the executors."""

    host: ids.InstanceId
    term: int
    is_standby: bool


class _Job:
    """A job that callers of this host wait for."""

    def __init__(self, *, job: work.Job, now: float) -> None:
        self.job = job
        self.since = now
        self.offered_to: HolderId | None = None
        self.offers = 0
        self.is_told = False
        self.was_standby = False
        self.waiting: dict[int, Answered] = {}


class EntryJobs:
    """Offer jobs to the holder and hand its answers back.

    :param node: the loop and its links
    :param holder_role: receives the jobs while this host is the holder
    :param version: tells the version of the document in force
    :ivar holder: who has the jobs, None while nobody is known to hold
    :ivar holder_lost_at: when the last holder was lost, seconds
    """

    def __init__(
        self,
        *,
        node: runtime.Runtime,
        holder_role: holding.HolderRole,
        version: typing.Callable[[], int],
    ) -> None:
        self.holder: HolderId | None = None
        self._me = node.cfg.id
        self._heap = node.heap
        self._links = node.links
        self._holder_role = holder_role
        self._version = version
        self.holder_lost_at = self._heap.clock.now()
        self._jobs: dict[ids.JobId, _Job] = {}
        self._numbers = itertools.count(1)
        self._cancels: dict[int, Cancelled] = {}
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._latency = node.metrics.timing("job_ms")
        node.metrics.read_table("jobs_", lambda: self._outcomes)
        node.metrics.read("jobs_running", lambda: len(self._jobs))

    def __len__(self) -> int:
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
        if state.offered_to is None and self.holder is not None:
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
        if state.offered_to is not None and self.holder is not None:
            self._send_cancel(self.holder, 0, job)

    def cancel(self, job: ids.JobId, done: Cancelled) -> None:
        """Stop a job on a caller's wish.

        :param done: told whether it was known, None when nobody can say
        """
        if self.holder is None:
            done(None)
            return
        number = next(self._numbers)
        self._cancels[number] = done
        self._heap.call_later(
            CANCEL_TIMEOUT_S, lambda: self.cancelled(number, None)
        )
        self._send_cancel(self.holder, number, job)

    def cancelled(self, number: int, is_known: bool | None) -> None:
        """Take in what became of a wish to stop a job."""
        done = self._cancels.pop(number, None)
        if done is not None:
            done(is_known)

    def go_over(self, holder: HolderId) -> None:
        """Offer all jobs to a holder, unless it has them."""
        self.holder = holder
        for state in list(self._jobs.values()):
            if state.offered_to != holder or not state.is_told:
                self._offer(state)

    def lose_holder(self) -> None:
        """Take note that nobody holds; the jobs wait for another."""
        self.holder = None
        self.holder_lost_at = self._heap.clock.now()
        for state in self._jobs.values():
            state.is_told = False

    def take_answer(self, answer: work.Answer, sender: ids.InstanceId) -> None:
        """Take an answer in; a former holder's counts if it is complete."""
        state = self._jobs.get(answer.job)
        if state is None:
            return
        holder = state.offered_to
        is_current = holder is not None and holder.host == sender
        if is_current or answer.outcome is work.Outcome.COMPLETED:
            self._end(answer)

    def give_up(self, now: float) -> None:
        """Answer the jobs that no holder takes in time."""
        if self.holder is not None:
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
            elif now - self.holder_lost_at >= LOST_S:
                self._end(
                    work.Answer(
                        state.job.id, work.Outcome.LOST, 0, "holder_lost"
                    )
                )

    def _send_cancel(
        self, holder: HolderId, number: int, job: ids.JobId
    ) -> None:
        if holder.host == self._me:
            outcome = holding.cancel_outcome(number)
            self.cancelled(number, self._holder_role.cancel(job, outcome))
            return
        self._links.send(holder.host, messages.JobCancel(number, job))

    def _offer(self, state: _Job) -> None:
        if self.holder is None:
            return
        former = state.offered_to
        if former not in (None, self.holder):
            state.offers += 1
            state.was_standby |= former is not None and former.is_standby
            if former is not None and former.host != self._me:
                cancel = messages.JobCancel(0, state.job.id)
                self._links.send(former.host, cancel)
        state.offered_to = self.holder
        state.is_told = True
        job = state.job._replace(
            offers=state.offers, is_from_standby=state.was_standby
        )
        if self.holder.host == self._me:
            self._holder_role.offer(job)
        else:
            self._links.send(self.holder.host, messages.JobOffer(job))

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
            "document": self._version(),
        }
