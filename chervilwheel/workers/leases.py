"""Renews the leases of executors under one fencing token and stops runs.

Orders are appended to a list that the engine returns. This module does not
depend on jobs; runs may continue only while the lease is renewed.
"""

import logging
import typing

from chervilwheel.workers import clockestimate
from chervilwheel.workers import executors
from chervilwheel.workers import roundtrip
from chervilwheel.workers import work

_LOG = logging.getLogger("engine")

# Shorter than the usual maximum of executors, 1 s, so that the tasks of a
# lost executor can be restarted sooner.
LEASE_S = 0.7
# An executor delays its answer to a renewal up to this time until a run ends.
# The share lets two such renewals fit into one lease.
LONG_POLL_S = 0.25
LONG_POLL_LEASE_SHARE = 0.4
# While orders go unanswered, renewals wait this long at most: one without an
# answer hides the ends of its executor until it is overdue.
SHORT_POLL_S = 0.08
# Renewals wait longer again this long after the last unanswered one.
UNANSWERED_MEMORY_S = 1.0
# Ended runs are acknowledged with the next renewal, or by an extra one after
# this time.
ACK_DELAY_S = 0.2
# Delay before a failed renewal is retried.
RENEWAL_RETRY_S = 0.15
FENCED_PAUSE_S = 1.0
# Minimum time after its wait in which a renewal is to be answered.
ANSWER_GRACE_S = 0.05
# An executor without runs is asked for its clock this often. Its clock is then
# known to 0.1 s, well below the time for which a start order is valid.
IDLE_RENEWAL_S = 5.0
# How long an executor without runs waits with its answer while its crash must
# be noticed. One that loses its power is noticed at the end of that time.
WATCH_WAIT_S = 0.25
# An executor counts as silent after three missed heartbeats.
REPORT_TIMEOUT_S = 5.0


class LeaseLimits(typing.NamedTuple):
    """Lease limits of the executors.

    :ivar max_lease_s: longest lease; executors shorten longer ones, seconds
    :ivar stop_s: maximum time that an executor takes to stop a run, seconds
    """

    max_lease_s: float
    stop_s: float

    @property
    def lease_s(self) -> float:
        """Requested lease duration, seconds."""
        return min(LEASE_S, self.max_lease_s)

    @property
    def max_lease_time_s(self) -> float:
        """Longest time that a lease lasts from the order that grants it.

        A lease ends at a time on the executor's clock. That counts from the
        lower bound of the clock, so that the uncertainty of the clock doesn't
        add to it; its drift does.
        """
        return self.lease_s / (1 - clockestimate.MAX_CLOCK_DRIFT)

    @property
    def max_run_s(self) -> float:
        """Longest time that a run lasts after its holder's last order.

        Whoever starts its task again without a sign of its end waits so long.
        """
        return self.max_lease_time_s + executors.LEASE_MARGIN_S + self.stop_s

    @property
    def long_poll_s(self) -> float:
        """Maximum time that a renewal waits for a run to end, seconds."""
        return min(LONG_POLL_S, LONG_POLL_LEASE_SHARE * self.lease_s)


class TokenSteps(typing.NamedTuple):
    """Fencing tokens above a holder's own that no other holder uses.

    :ivar step: difference from one to the next
    :ivar count: number of them
    """

    step: int = 1
    count: int = 255


class LeaseManager:
    """Issues orders to renew leases and to stop runs.

    An executor that starts again under its id has forgotten the tokens that
    it has seen, while orders to its former incarnations may still arrive. Each
    incarnation has a higher token than those, so that it rejects them from its
    first order on.

    :param token: the fencing token of this holder
    :param token_steps: the tokens for later incarnations of an executor
    :param limits: lease limits of the executors
    :param actions: list that the orders are appended to
    :ivar are_steps_used: whether an executor needs a higher token than the
        steps allow
    :ivar round_trips: estimates the time that executors take to answer
    """

    def __init__(
        self,
        *,
        token: int,
        limits: LeaseLimits,
        actions: list[work.Action],
        token_steps: TokenSteps = TokenSteps(),
    ) -> None:
        self.token = token
        self.are_steps_used = False
        self._token_steps = token_steps
        # Restarts of each executor that was used under this token.
        self._restarts: dict[work.ExecutorId, int] = {}
        self._most_restarts = 0
        self.limits = limits
        self._actions = actions
        self.round_trips = roundtrip.RoundTripEstimator()
        self._unanswered_at = -UNANSWERED_MEMORY_S
        self._idle_renewed_at = 0.0

    @property
    def highest_token(self) -> int:
        """The highest fencing token of any executor."""
        return self.token + self._most_restarts * self._token_steps.step

    def token_of(self, executor: executors.Executor) -> int:
        """Return the fencing token of the orders to an incarnation."""
        return self.token + executor.token_offset

    def add_executor(self, executor: executors.Executor) -> None:
        """Choose the token of an incarnation, above that of former ones."""
        restarts = self._restarts.get(executor.id, -1) + 1
        if restarts > self._token_steps.count:
            self.are_steps_used = True
            restarts = self._token_steps.count
        self._restarts[executor.id] = restarts
        self._most_restarts = max(self._most_restarts, restarts)
        executor.token_offset = restarts * self._token_steps.step

    def remove_executor(self, executor: executors.Executor) -> None:
        """Forget an executor whose id isn't used again."""
        if not executor.born_ms:
            self._restarts.pop(executor.id, None)

    def renew_if_due(
        self,
        executor: executors.Executor,
        now: float,
        *,
        poll_after: float,
        is_watched: bool = False,
    ) -> None:
        """Renew a lease when it is due.

        :param poll_after: poll the lists unless they were requested after
            this time
        :param is_watched: whether a crash must be noticed soon
        """
        needs_poll = executor.renewal_sent_at <= poll_after
        if executor.is_renewing:
            if needs_poll and not executor.unreachable_since:
                self.poll(executor, now)
            return
        if needs_poll or self._is_due(executor, now, is_watched=is_watched):
            self.renew(executor, now, is_watched=is_watched)

    def _is_due(
        self, executor: executors.Executor, now: float, *, is_watched: bool
    ) -> bool:
        waited_s = now - executor.renewal_sent_at
        if executor.unreachable_since or not executor.is_synced:
            is_live = bool(executor.runs) or not _is_silent(executor, now)
            return is_live and waited_s >= RENEWAL_RETRY_S
        if executor.runs or is_watched:
            return True
        has_unsent_ack = executor.processed_upto > executor.acked_upto
        if has_unsent_ack and waited_s >= ACK_DELAY_S:
            return True
        # One a tick: a new holder polls all executors at once, and those
        # without runs would stay in step.
        if waited_s >= IDLE_RENEWAL_S and now > self._idle_renewed_at:
            self._idle_renewed_at = now
            return True
        return False

    def renew(
        self,
        executor: executors.Executor,
        now: float,
        *,
        is_watched: bool = False,
    ) -> None:
        """Renew a lease and read the lists, unless a renewal is in flight.

        :param is_watched: whether a crash must be noticed soon. It ends the
            connection on which the executor would answer later.
        """
        if executor.is_renewing or executor.is_retrying:
            return
        executor.is_renewing = True
        executor.renewal += 1
        executor.renewal_sent_at = now
        # The lease of an unreachable executor must expire, and so must that of
        # one that leaves, and the lease of runs that another holder may
        # restart: none is extended.
        deadline_ms = 0
        is_leased = executor.is_owned and not executor.report.is_gone
        if not executor.unreachable_since and is_leased:
            deadline_ms = executor.deadline_ms(now, self.limits.lease_s)
        executor.lease_deadline_ms = max(
            executor.lease_deadline_ms, deadline_ms
        )
        wait_ms = 0
        if executor.is_synced and not executor.unreachable_since:
            if executor.runs:
                wait_ms = int(self._poll_s(now) * 1000)
            elif is_watched:
                wait_ms = int(WATCH_WAIT_S * 1000)
        grace_s = max(ANSWER_GRACE_S, self.round_trips.timeout_s)
        executor.renewal_due_at = now + wait_ms / 1000 + grace_s
        executor.overdue_poll_at = 0.0
        self._add_order(executor, deadline_ms=deadline_ms, wait_ms=wait_ms)

    def _poll_s(self, now: float) -> float:
        """Return how long a renewal waits for a run to end, seconds."""
        if now - self._unanswered_at < UNANSWERED_MEMORY_S:
            return min(SHORT_POLL_S, self.limits.long_poll_s)
        return self.limits.long_poll_s

    def poll_if_overdue(
        self, executor: executors.Executor, now: float
    ) -> None:
        """Read the lists if a renewal should have been answered."""
        is_overdue = executor.is_renewing and now > executor.renewal_due_at
        if is_overdue and not executor.unreachable_since:
            self._unanswered_at = now
            executor.renewal_due_at = now + RENEWAL_RETRY_S
            executor.overdue_poll_at = now
            self.poll(executor, now)

    def poll(self, executor: executors.Executor, now: float) -> None:
        """Read the lists immediately, even while a renewal is in flight."""
        executor.renewal_sent_at = now
        self._add_order(executor, deadline_ms=0, wait_ms=0, is_poll=True)

    def _add_order(
        self,
        executor: executors.Executor,
        *,
        deadline_ms: int,
        wait_ms: int,
        is_poll: bool = False,
    ) -> None:
        self._actions.append(
            work.HoldOrder(
                executor.id,
                executor.report.address,
                deadline_ms,
                self.token_of(executor),
                executor.processed_upto,
                wait_ms,
                is_poll=is_poll,
                number=0 if is_poll else executor.renewal,
                born_ms=executor.born_ms,
            )
        )

    def held(
        self,
        executor: executors.Executor,
        order: work.HoldOrder,
        answer: work.HoldAnswer,
        sent_at: float,
        now: float,
    ) -> None:
        """Process the answer to a successful renewal."""
        executor.unreachable_since = 0.0
        executor.is_retrying = False
        if 0 < executor.overdue_poll_at <= sent_at:
            # The poll was answered, so the renewal is given up as lost.
            executor.overdue_poll_at = 0.0
            executor.is_renewing = False
            executor.renewal += 1
        if not order.wait_ms:
            self.round_trips.record(now - sent_at)
        if order.born_ms == executor.born_ms:
            executor.acked_upto = max(executor.acked_upto, order.acked_upto)
        if order.token != self.token_of(executor):
            return
        if not executor.is_synced:
            # Another holder may have extended the lease just before.
            executor.foreign_lease_until = max(
                executor.foreign_lease_until,
                now + self.limits.max_lease_time_s,
            )
        executor.is_synced = True
        executor.listed_at = max(executor.listed_at, sent_at)

    def renewal_failed(
        self,
        executor: executors.Executor,
        order: work.HoldOrder,
        answer: work.HoldAnswer,
        now: float,
    ) -> None:
        """Process a failed renewal; after the first, poll the lists at once.

        Until the poll is answered the lease isn't renewed, so that its runs
        are known to have ended no later than without the poll.
        """
        is_unanswered = answer.verdict is work.HoldVerdict.UNKNOWN
        if (
            is_unanswered
            and not executor.is_retrying
            and not executor.unreachable_since
        ):
            self._unanswered_at = now
            executor.is_retrying = True
            self.poll(executor, now)
            return
        if not executor.unreachable_since:
            executor.unreachable_since = now
            _LOG.info(
                "engine: a lease was not renewed",
                extra={
                    "executor": executor.id,
                    "runs": len(executor.runs),
                    "verdict": answer.verdict.value,
                },
            )
        executor.is_retrying = False
        executor.is_synced = False
        if answer.verdict is work.HoldVerdict.FENCED:
            if order.token < self.token_of(executor):
                # The order was sent before the token was raised.
                executor.unreachable_since = 0.0
                return
            pause_s = FENCED_PAUSE_S
            executor.is_fenced = True
        else:
            pause_s = RENEWAL_RETRY_S
        executor.unusable_until = max(executor.unusable_until, now + pause_s)

    def lapsed(
        self, executor: executors.Executor, now: float
    ) -> list[executors.Run]:
        """List the runs that must have ended where no lease is extended.

        The executor is unreachable, or leaves.
        """
        if not executor.unreachable_since and not executor.report.is_gone:
            return []
        return [
            run
            for run in executor.runs.values()
            if now
            >= executor.latest_end_at(
                max(executor.lease_deadline_ms, run.order_deadline_ms)
            )
        ]

    def stop(
        self, executor: executors.Executor, run: executors.Run, now: float
    ) -> None:
        """Issue an order to stop a run."""
        run.state = executors.RunState.STOPPING
        run.stop_sent_at = now
        self._actions.append(
            work.StopOrder(
                executor.id,
                executor.report.address,
                run.task,
                run.number,
                self.token_of(executor),
                born_ms=executor.born_ms,
            )
        )

    def raise_token(
        self,
        token: int,
        held_executors: typing.Iterable[executors.Executor],
        now: float,
    ) -> None:
        """Use a higher fencing token for all further orders.

        :param held_executors: executors that the new token is sent to
        """
        self.token = token
        self.are_steps_used = False
        self._restarts = dict.fromkeys(self._restarts, 0)
        self._most_restarts = 0
        for executor in held_executors:
            executor.token_offset = 0
            executor.is_synced = False
            if executor.is_fenced:
                executor.is_fenced = False
                executor.unreachable_since = 0.0
                executor.unusable_until = now
            self.poll(executor, now)


def is_given_up(executor: executors.Executor, now: float) -> bool:
    """Whether an executor neither reports nor answers, and runs nothing."""
    return (
        bool(executor.unreachable_since)
        and not executor.runs
        and _is_silent(executor, now)
    )


def _is_silent(executor: executors.Executor, now: float) -> bool:
    """Whether an executor has neither reported nor answered for some time.

    In a network partition the reports may reach the other side only.
    """
    heard_at = max(executor.last_report_at, executor.unreachable_since)
    return now - heard_at >= REPORT_TIMEOUT_S


def is_in_contact(executor: executors.Executor, now: float) -> bool:
    """Whether all runs of an executor are known, and it answers and reports.

    An executor without runs is hardly asked for anything, so that only its
    reports show that it can be reached.
    """
    return (
        executor.is_synced
        and not executor.unreachable_since
        and now - executor.last_report_at < REPORT_TIMEOUT_S
    )
