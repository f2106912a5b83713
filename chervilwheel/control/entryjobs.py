"""The jobs of an entry host's callers."""

import collections
import enum
import itertools
import logging
import math
import typing

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel.control import canceltable
from chervilwheel.control import holding
from chervilwheel.control import openstarts
from chervilwheel.control import runtime
from chervilwheel.control import usedexecutors
from chervilwheel.workers import engine
from chervilwheel.workers import jobstate
from chervilwheel.workers import work

_LOG = logging.getLogger("entry")
# Covers two elections of up to 0.9 s each.
HOLDER_LOST_TIMEOUT_S = 2.0
# Without a holder, a job that was never offered is refused when it can't meet
# its objective any more, but not before this time: a leader that stops hands
# over within less.
NEVER_OFFERED_TIMEOUT_S = 0.1
RETRY_AFTER_MS = 1_000
# A job that can't be sent to a holder can't be later either.
UNSENDABLE_RETRY_MS = 60_000
# A job whose callers have left is remembered until its runs under a holder
# that may be lost have ended.
LEFT_RETENTION_S = 2.0
CANCEL_TIMEOUT_S = 1.0
QUERY_TIMEOUT_S = 1.0
# After this time without a leader a job isn't handed on: it may have been
# cancelled there, and the cancel be forgotten soon.
CARRY_S = 0.75 * canceltable.RETENTION_S
# Longest time that an offer can state.
MAX_ELAPSED_MS = 2**32 - 1
# Cancels without an acknowledgement, for the next holder.
MAX_UNSETTLED = 10_000


class CancelResult(enum.Enum):
    """What became of a caller's cancel.

    STOPPED and GONE stand for good: the job was stopped, or doesn't exist and
    won't run. UNSETTLED means that a later attempt will tell, FULL that
    nothing was done since too many cancels are kept.
    """

    STOPPED = "stopped"
    GONE = "gone"
    UNSETTLED = "unsettled"
    FULL = "full"


Answered = typing.Callable[[work.Answer], None]
CancelCallback = typing.Callable[[CancelResult], None]
QueryCallback = typing.Callable[[work.JobStage], None]


class HolderId(typing.NamedTuple):
    """Identifies one period during which a host is the holder."""

    host: ids.InstanceId
    term: int
    is_standby: bool


class _Cancel(typing.NamedTuple):
    """A cancel on its way to a holder."""

    job: ids.JobId
    done: CancelCallback


class _Unsettled:
    """A cancel that no leader has acknowledged.

    :ivar sent_to: the holder that it was sent to, None to send it again
    """

    def __init__(self, *, expires_at: float) -> None:
        self.expires_at = expires_at
        self.sent_to: HolderId | None = None


class _JobState:
    """The state of a job and its callers' callbacks.

    :ivar is_offer_current: whether the current holder has received the job
    :ivar had_standby: whether a standby holder has received it before
    :ivar standbys: the standby holders that have received it, and when each
        was lost, seconds
    :ivar heard_at: when the holder that it was offered to last was last heard
        of before it was lost, seconds
    """

    def __init__(self, *, job: work.Job, submitted_at: float) -> None:
        self.job = job
        self.submitted_at = submitted_at
        self.offered_to: HolderId | None = None
        self.offers = 0
        self.is_offer_current = False
        self.had_standby = False
        self.standbys: dict[ids.InstanceId, float] = {}
        self.heard_at = submitted_at
        self.waiting: dict[int, Answered] = {}

    def extend(self, job: work.Job, now: float) -> bool:
        """Take over what another caller of the job allows.

        :returns: whether that is more than before
        """
        waited_ms = int((now - self.submitted_at) * 1000)
        former = self.job
        self.job = former._replace(
            patience_ms=max(former.patience_ms, waited_ms + job.patience_ms),
            attempts=max(former.attempts, job.attempts),
        )
        return self.job != former

    def continue_from(self, left: "_JobState") -> None:
        """Take over what is known of the holders of an earlier submission."""
        self.offered_to = left.offered_to
        self.offers = left.offers
        self.had_standby = left.had_standby
        self.standbys = left.standbys
        self.heard_at = left.heard_at


class EntryJobs:
    """Submit jobs to the holder and return its answers.

    :param node: event loop, timers and links
    :param send: sends a message to the holder
    :param can_send: whether a message can be encoded
    :param holder_role: receives the jobs while this host is the holder
    :param version: returns the version of the applied document
    :ivar holder: the current holder, None while there is none
    :ivar status_stamp: the stamp of its latest status, 0 if unknown
    :ivar is_holder_queryable: whether it answers queries
    :ivar is_holder_suspect: whether the holder may be lost, so that jobs
        wait that it hasn't received
    :ivar is_fenced: whether executors obey a holder that this host can't
        reach, so that new jobs are refused without a holder
    :ivar ends_at: when this host stops answering jobs, seconds
    :ivar has_ended: whether it has answered all jobs before it ends
    :ivar holder_lost_at: when the last holder was lost, seconds
    """

    def __init__(
        self,
        *,
        node: runtime.Runtime,
        send: typing.Callable[[ids.InstanceId, typing.Any], None],
        can_send: typing.Callable[[typing.Any], bool],
        holder_role: holding.HolderRole,
        version: typing.Callable[[], int],
    ) -> None:
        self.holder: HolderId | None = None
        self.status_stamp = 0.0
        self.is_holder_suspect = False
        self._me = node.cfg.id
        self._heap = node.heap
        self._send = send
        self._can_send = can_send
        self._holder_role = holder_role
        self._version = version
        self.holder_lost_at = self._heap.clock.now()
        self._jobs: dict[ids.JobId, _JobState] = {}
        # Jobs whose callers have left, oldest first, and when they did.
        self._left: dict[ids.JobId, tuple[float, _JobState]] = {}
        # Differs from the numbers before a restart.
        self._numbers = itertools.count(int(self._heap.clock.now() * 1000) + 1)
        self.is_holder_queryable = False
        self._leader_seen_at = self.holder_lost_at
        self._holder_seen_at = self.holder_lost_at
        self._open_starts = openstarts.OpenStarts()
        self._pending_cancels: dict[int, _Cancel] = {}
        self._unsettled: dict[ids.JobId, _Unsettled] = {}
        self._queries: dict[int, QueryCallback] = {}
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._latency = node.metrics.create_histogram("job_ms")
        node.metrics.register_table("jobs_", lambda: self._outcomes)
        node.metrics.register("jobs_running", lambda: len(self._jobs))
        self.is_fenced = False
        self.ends_at = math.inf
        self.has_ended = False

    def __len__(self) -> int:
        return len(self._jobs)

    def submit(self, job: work.Job, answered: Answered) -> int:
        """Submit a job.

        :param job: its ``waited_ms`` is the time since its request arrived
        :param answered: called once, possibly before this method returns
        :returns: a number that identifies this caller of the job
        """
        number = next(self._numbers)
        state = self._jobs.get(job.id)
        is_due = state is None or state.offered_to is None
        if state is None:
            state = self._add(job._replace(submission=number))
        elif state.extend(job, self._heap.clock.now()):
            # The holder is told, unless it is told later anyway.
            is_due |= state.is_offer_current
        state.waiting[number] = answered
        expected_at = self._heap.clock.now() + job.critical_path_s
        if state.offered_to is None and expected_at >= self.ends_at:
            self._answer_draining(state)
        elif self.holder is None and self.is_fenced:
            self.expire(self._heap.clock.now())
        elif is_due and not self.is_holder_suspect:
            self._offer(state)
        return number

    def _add(self, job: work.Job) -> _JobState:
        """Add a job, which may have been here until its callers left."""
        now = self._heap.clock.now()
        state = _JobState(job=job, submitted_at=now - job.waited_ms / 1000)
        self._forget_left()
        _, left = self._left.pop(job.id, (0.0, None))
        if left is not None:
            state.continue_from(left)
        self._jobs[job.id] = state
        return state

    def _forget_left(self) -> None:
        oldest = self._heap.clock.now() - LEFT_RETENTION_S
        expired = itertools.takewhile(
            lambda job: self._left[job][0] < oldest, self._left
        )
        for job in list(expired):
            del self._left[job]

    def is_known(self, job: ids.JobId) -> bool:
        """Whether a job is open here, or was until its callers left."""
        return job in self._jobs or job in self._left

    def remove_caller(self, job: ids.JobId, number: int) -> None:
        """Remove a job's caller; cancel the job if it was the last one."""
        state = self._jobs.get(job)
        if state is None:
            return
        state.waiting.pop(number, None)
        if state.waiting:
            return
        del self._jobs[job]
        waited_s = self._heap.clock.now() - state.submitted_at
        _LOG.info(
            "entry: the callers of a job have left",
            extra=self._describe(state, waited_s),
        )
        if state.offered_to is None:
            return
        self._forget_left()
        self._left.pop(job, None)
        # Its callers don't count for it any more, so that it has to be small.
        state.job = state.job._replace(spec="", steps=())
        self._left[job] = (self._heap.clock.now(), state)
        if self.holder is None:
            return
        if self.holder.host == self._me:
            self._holder_role.leave(job)
        else:
            message = messages.JobCancel(0, job, has_left=True)
            self._send(self.holder.host, message)

    def cancel(self, job: ids.JobId, done: CancelCallback) -> None:
        """Cancel a job at a caller's request.

        Until a leader has acknowledged it, each new holder is sent the cancel
        before any job.
        """
        if not self.pass_on_cancel(job):
            done(CancelResult.FULL)
            return
        if self.holder is not None:
            self._send_cancel(self.holder, job, done)
            return
        state = self._jobs.get(job)
        if state is not None and state.offered_to is None:
            self._end(
                work.Answer(job, work.Outcome.CANCELLED, reason="cancelled")
            )
        done(CancelResult.UNSETTLED)

    def pass_on_cancel(self, job: ids.JobId) -> bool:
        """Keep a cancel for the next leader; return whether it fits."""
        if job not in self._unsettled and not self._has_room():
            return False
        expires_at = self._heap.clock.now() + canceltable.RETENTION_S
        self._unsettled[job] = _Unsettled(expires_at=expires_at)
        return True

    def resolve_cancel(
        self, number: int, is_known: bool, verdict: messages.CancelVerdict
    ) -> None:
        """Process the reply to a cancel, unless it timed out."""
        cancel = self._pending_cancels.pop(number, None)
        if cancel is None:
            return
        if verdict is not messages.CancelVerdict.UNSETTLED:
            self._unsettled.pop(cancel.job, None)
        elif self.holder is not None and not self.holder.is_standby:
            self._repeat_cancel(cancel.job)
        results = {
            messages.CancelVerdict.SETTLED: (
                CancelResult.STOPPED if is_known else CancelResult.GONE
            ),
            messages.CancelVerdict.UNSETTLED: CancelResult.UNSETTLED,
            messages.CancelVerdict.FULL: CancelResult.FULL,
        }
        cancel.done(results[verdict])

    def query(self, job: ids.JobId, done: QueryCallback) -> None:
        """Ask the holder how far a job is; UNKNOWN without an answer."""
        if self.holder is not None and self.holder.host == self._me:
            done(self._holder_role.stage(job))
            return
        if self.holder is None or not self.is_holder_queryable:
            done(work.JobStage.UNKNOWN)
            return
        number = next(self._numbers)
        self._queries[number] = done
        self._heap.call_later(
            QUERY_TIMEOUT_S,
            lambda: self.resolve_query(number, work.JobStage.UNKNOWN),
        )
        self._send(self.holder.host, messages.JobQuery(number, job))

    def resolve_query(self, number: int, stage: work.JobStage) -> None:
        """Process the reply to a query, unless it timed out."""
        done = self._queries.pop(number, None)
        if done is not None:
            done(stage)

    def set_holder(self, holder: HolderId, *, stamp: float = 0.0) -> None:
        """Set the holder and offer it the jobs that it hasn't received.

        :param stamp: that of the holder's status, 0 if unknown
        """
        now = self._heap.clock.now()
        if holder != self.holder:
            self._holder_lost()
        self.holder = holder
        self.status_stamp = stamp
        self._holder_seen_at = now
        for job in list(self._unsettled):
            if now >= self._unsettled[job].expires_at:
                del self._unsettled[job]
            elif self._unsettled[job].sent_to != holder:
                self._send_cancel(holder, job, lambda _result: None)
        for state in list(self._jobs.values()):
            if state.offered_to == holder and state.is_offer_current:
                continue
            known_at = max(state.submitted_at, self._leader_seen_at)
            if not holder.is_standby and now - known_at > CARRY_S:
                self._end(
                    work.Answer(
                        state.job.id, work.Outcome.LOST, 0, "carried_too_long"
                    )
                )
            else:
                self._offer(state)
        if not holder.is_standby:
            self._leader_seen_at = now

    def clear_holder(self) -> None:
        """Record that there is no holder; the jobs wait for the next one."""
        self._holder_lost()
        self.holder = None
        self.status_stamp = 0.0
        self.holder_lost_at = self._heap.clock.now()
        for unsettled in self._unsettled.values():
            unsettled.sent_to = None

    def _holder_lost(self) -> None:
        now = self._heap.clock.now()
        heard_at = self._holder_seen_at
        if self.holder is not None and self.holder.host == self._me:
            # It sends no status to itself, and may order runs until now.
            heard_at = now
        left = (state for _, state in self._left.values())
        for state in itertools.chain(self._jobs.values(), left):
            if state.is_offer_current:
                state.is_offer_current = False
                state.heard_at = heard_at
                if self.holder is not None and self.holder.is_standby:
                    state.standbys[self.holder.host] = now

    def handle_notice(
        self, notice: work.Notice, sender: ids.InstanceId
    ) -> None:
        """Process an answer, or a report for the next holder of the job.

        A notice of a former holder, or for a submission whose callers have
        left, is ignored unless the job is completed or it is about starts.
        """
        if isinstance(notice, work.StartReport):
            self._record_starts(notice, sender)
            return
        state = self._jobs.get(notice.job)
        if state is None:
            return
        holder = state.offered_to
        is_current = holder is not None and holder.host == sender
        if isinstance(notice, work.LossReport):
            if is_current:
                state.job = state.job._replace(losses=notice.losses)
        elif notice.outcome is work.Outcome.COMPLETED or (
            is_current and notice.submission in (0, state.job.submission)
        ):
            self._end(notice)

    def _record_starts(
        self, report: work.StartReport, sender: ids.InstanceId
    ) -> None:
        """Keep a job's open starts, and pass on those of a former holder."""
        self._open_starts.record(report, self._heap.clock.now())
        state = self._jobs.get(report.job)
        is_late = (
            bool(report.opened)
            and state is not None
            and state.is_offer_current
            and state.offered_to is not None
            and state.offered_to.host != sender
        )
        if is_late:
            self._offer(state)

    def expire(self, now: float) -> None:
        """Answer the jobs that have waited too long for a holder."""
        if self.holder is not None:
            return
        for state in list(self._jobs.values()):
            if state.offered_to is None:
                slack_s = state.job.objective_s - state.job.critical_path_s
                timeout_s = max(NEVER_OFFERED_TIMEOUT_S, slack_s)
                if self.is_fenced or now - state.submitted_at >= timeout_s:
                    self._end(
                        work.Answer(
                            state.job.id,
                            work.Outcome.REFUSED,
                            RETRY_AFTER_MS,
                            "fenced" if self.is_fenced else "no_holder",
                        )
                    )
            elif now - self.holder_lost_at >= HOLDER_LOST_TIMEOUT_S:
                self._end(
                    work.Answer(
                        state.job.id, work.Outcome.LOST, 0, "holder_lost"
                    )
                )

    def _has_room(self) -> bool:
        """Return whether another cancel can be kept."""
        if len(self._unsettled) >= MAX_UNSETTLED:
            now = self._heap.clock.now()
            self._unsettled = {
                job: unsettled
                for job, unsettled in self._unsettled.items()
                if unsettled.expires_at > now
            }
        return len(self._unsettled) < MAX_UNSETTLED

    def _send_cancel(
        self, holder: HolderId, job: ids.JobId, done: CancelCallback
    ) -> None:
        number = next(self._numbers)
        self._pending_cancels[number] = _Cancel(job, done)
        self._unsettled[job].sent_to = holder
        self._heap.call_later(
            CANCEL_TIMEOUT_S, lambda: self._time_cancel_out(number)
        )
        if holder.host == self._me:
            self._holder_role.cancel(
                job,
                lambda is_known, verdict: self.resolve_cancel(
                    number, is_known, verdict
                ),
            )
            return
        self._send(
            holder.host, messages.JobCancel(number, job, takes_verdict=True)
        )

    def _time_cancel_out(self, number: int) -> None:
        cancel = self._pending_cancels.pop(number, None)
        if cancel is not None:
            self._repeat_cancel(cancel.job)
            cancel.done(CancelResult.UNSETTLED)

    def _repeat_cancel(self, job: ids.JobId) -> None:
        """Send a cancel again with the next status of the holder."""
        if job in self._unsettled:
            self._unsettled[job].sent_to = None

    def _withdraw(self, host: ids.InstanceId, job: ids.JobId) -> None:
        """Have a holder stop a job that is handed to another one."""
        if host == self._me:
            self._holder_role.withdraw(job)
        else:
            self._send(host, messages.JobCancel(0, job))

    def _offer(self, state: _JobState) -> None:
        if self.holder is None:
            return
        former = state.offered_to
        if former not in (None, self.holder):
            state.offers += 1
            state.had_standby |= former is not None and former.is_standby
            if former is not None and former.host != self._me:
                self._withdraw(former.host, state.job.id)
        state.offered_to = self.holder
        state.is_offer_current = True
        now = self._heap.clock.now()
        job = state.job._replace(
            offers=state.offers,
            is_from_standby=state.had_standby,
            waited_ms=_elapsed_ms(state.submitted_at, now),
            former_silent_ms=_elapsed_ms(state.heard_at, now),
            former_standbys=tuple(
                host
                for host, lost_at in state.standbys.items()
                if now - lost_at < usedexecutors.KEEP_S
            ),
            starts=self._open_starts.of_job(state.job.id, now),
        )
        if self.holder.host == self._me:
            self._holder_role.offer(job)
        else:
            offer = messages.JobOffer(job, self.status_stamp)
            if self._can_send(offer):
                self._send(self.holder.host, offer)
            else:
                self._end_unsendable(state)

    def _end_unsendable(self, state: _JobState) -> None:
        """Answer a job that only this host could run, as a standby."""
        self._end(
            work.Answer(
                state.job.id,
                work.Outcome.REFUSED,
                UNSENDABLE_RETRY_MS,
                "unsendable",
            )
        )

    def _end(self, answer: work.Answer) -> None:
        state = self._jobs.pop(answer.job, None)
        if state is None:
            return
        if answer.outcome is work.Outcome.REFUSED and state.offers:
            # A former holder may have started some of the job's tasks.
            answer = answer._replace(outcome=work.Outcome.LOST)
        if answer.reason == engine.LOSSES:
            # A holder of the former version calls such a job failed.
            answer = answer._replace(outcome=work.Outcome.LOST)
        if answer.outcome in jobstate.FINAL_OUTCOMES:
            self._open_starts.forget(answer.job)
        waited_s = self._heap.clock.now() - state.submitted_at
        self._outcomes[answer.outcome.value] += 1
        self._latency.record(waited_s * 1000)
        outcome = {"outcome": answer.outcome.value, "reason": answer.reason}
        if answer.outcome is not work.Outcome.COMPLETED:
            _LOG.info(
                "entry: a job was not completed",
                extra=self._describe(state, waited_s) | outcome,
            )
        elif waited_s > state.job.objective_s:
            _LOG.info(
                "entry: a job was completed late",
                extra=self._describe(state, waited_s),
            )
        for answered in state.waiting.values():
            answered(answer)

    def answer_all(self) -> None:
        """Answer all jobs, cancels and queries before this host ends.

        Jobs go on at another host's holder, where a repeated request finds
        them.
        """
        self.has_ended = True
        for state in list(self._jobs.values()):
            if self.holder is not None and self.holder.host == self._me:
                self._holder_role.withdraw(state.job.id)
            self._answer_draining(state)
        for number in list(self._pending_cancels):
            self._time_cancel_out(number)
        for number in list(self._queries):
            self.resolve_query(number, work.JobStage.UNKNOWN)

    def _answer_draining(self, state: _JobState) -> None:
        outcome = work.Outcome.LOST
        if state.offered_to is None:
            outcome = work.Outcome.REFUSED
        self._end(
            work.Answer(state.job.id, outcome, RETRY_AFTER_MS, "draining")
        )

    def _describe(
        self, state: _JobState, waited_s: float
    ) -> dict[str, typing.Any]:
        """Return the log fields that explain an answer."""
        return {
            "job": state.job.id,
            "waited_s": round(waited_s, 3),
            "objective_s": round(state.job.objective_s, 3),
            "queue": state.job.queue,
            "attempts": state.job.attempts,
            "offers": state.offers,
            "holder": state.offered_to.host if state.offered_to else "",
            "document": self._version(),
        }


def _elapsed_ms(since: float, now: float) -> int:
    """Return the time between two times in seconds, milliseconds."""
    return min(int((now - since) * 1000), MAX_ELAPSED_MS)
