"""Hold executors under one fencing token: renew, look, stop.

Orders are put into a list that the owner hands out. Nothing here knows of
jobs; that a lease is renewed decides whether runs may go on.
"""

import logging
import typing

from chervilwheel.workers import executors
from chervilwheel.workers import work

_LOG = logging.getLogger("engine")

# Shorter than the bound of executors that is usual, 1 s, so that the tasks
# of a lost executor may start elsewhere sooner.
LEASE_S = 0.7
# A renewal waits for ends this long, and two that wait fit into a lease.
HOLD_WAIT_S = 0.25
HOLD_WAIT_SHARE = 0.4
# Ends are noted with the next renewal, or after this time without one.
NOTE_DELAY_S = 0.2
# A renewal that failed is tried again after this time.
HOLD_RETRY_S = 0.15
FENCED_PAUSE_S = 1.0
# Three heartbeats without a word.
SILENT_S = 5.0


class Terms(typing.NamedTuple):
    """What executors grant.

    :ivar hold_most_s: they cut longer leases to this time, seconds
    :ivar stop_s: time that they take at most to end a run, seconds
    """

    hold_most_s: float
    stop_s: float

    @property
    def lease_s(self) -> float:
        """The lease that is asked for, seconds."""
        return min(LEASE_S, self.hold_most_s)

    @property
    def wait_s(self) -> float:
        """Time that a renewal waits for ends, seconds."""
        return min(HOLD_WAIT_S, HOLD_WAIT_SHARE * self.lease_s)


class Leases:
    """Order renewals and stops.

    :param token: the fencing token of this holder
    :param terms: what executors grant
    :param actions: takes the orders
    """

    def __init__(
        self, *, token: int, terms: Terms, actions: list[work.Action]
    ) -> None:
        self.token = token
        self.terms = terms
        self._actions = actions

    def tend(
        self, known: executors.Executor, now: float, *, look_after: float
    ) -> None:
        """Renew a lease when it is due.

        :param look_after: a renewal or look sent later than this is wanted
        """
        needs_look = known.hold_sent_at <= look_after
        if known.is_holding:
            if needs_look and not known.silent_since:
                self.look(known, now)
            return
        if needs_look or self._is_due(known, now):
            self.hold(known, now)

    def _is_due(self, known: executors.Executor, now: float) -> bool:
        waited_s = now - known.hold_sent_at
        if known.silent_since or not known.is_synced:
            is_live = bool(known.runs) or now - known.heard_at < SILENT_S
            return is_live and waited_s >= HOLD_RETRY_S
        if known.runs:
            return True
        is_unsaid = known.noted_upto > known.told_upto
        return is_unsaid and waited_s >= NOTE_DELAY_S

    def hold(self, known: executors.Executor, now: float) -> None:
        """Renew a lease and read the lists, unless a renewal is out."""
        if known.is_holding:
            return
        known.is_holding = True
        known.hold_sent_at = now
        # While it is silent its lease must come to an end, and so must the
        # leases of runs that another holder may start again.
        deadline_ms = 0
        if not known.silent_since and known.is_owned:
            deadline_ms = known.deadline_ms(now, self.terms.lease_s)
        known.lease_deadline_ms = max(known.lease_deadline_ms, deadline_ms)
        wait_ms = int(self.terms.wait_s * 1000)
        if not known.runs or not known.is_synced or known.silent_since:
            wait_ms = 0
        self._order(known, deadline_ms=deadline_ms, wait_ms=wait_ms)

    def look(self, known: executors.Executor, now: float) -> None:
        """Read the lists at once, beside a renewal that waits for ends."""
        known.hold_sent_at = now
        self._order(known, deadline_ms=0, wait_ms=0, is_look=True)

    def _order(
        self,
        known: executors.Executor,
        *,
        deadline_ms: int,
        wait_ms: int,
        is_look: bool = False,
    ) -> None:
        self._actions.append(
            work.HoldOrder(
                known.id,
                known.report.address,
                deadline_ms,
                self.token,
                known.noted_upto,
                wait_ms,
                is_look=is_look,
            )
        )

    def held(
        self,
        known: executors.Executor,
        order: work.HoldOrder,
        answer: work.HoldAnswer,
        sent_at: float,
        now: float,
    ) -> None:
        """Learn that a renewal was answered with the lists."""
        known.silent_since = 0.0
        known.learn_clock(answer.clock_ms, now)
        known.told_upto = max(known.told_upto, order.noted_upto)
        if order.token != self.token:
            return
        if not known.is_synced:
            # Another holder may have prolonged the lease just before.
            deadline_ms = known.deadline_ms(now, self.terms.lease_s)
            known.lease_deadline_ms = max(known.lease_deadline_ms, deadline_ms)
        known.is_synced = True
        known.answered_at = max(known.answered_at, sent_at)

    def not_held(
        self,
        known: executors.Executor,
        order: work.HoldOrder,
        answer: work.HoldAnswer,
        now: float,
    ) -> None:
        """Learn that a renewal failed."""
        if not known.silent_since:
            known.silent_since = now
            _LOG.info(
                "engine: a lease was not renewed",
                extra={
                    "executor": known.id,
                    "runs": len(known.runs),
                    "verdict": answer.verdict.value,
                },
            )
        known.is_synced = False
        if answer.verdict is work.HoldVerdict.FENCED:
            if order.token < self.token:
                # It was given under a token that is raised since.
                known.silent_since = 0.0
                return
            pause_s = FENCED_PAUSE_S
            known.is_fenced = True
        else:
            pause_s = HOLD_RETRY_S
        known.unusable_until = max(known.unusable_until, now + pause_s)

    def lapsed(
        self, known: executors.Executor, now: float
    ) -> list[executors.Run]:
        """List the runs of a silent executor that are over for certain."""
        if not known.silent_since:
            return []
        return [
            run
            for run in known.runs.values()
            if now
            >= known.over_at(
                max(known.lease_deadline_ms, run.order_deadline_ms)
            )
        ]

    def stop(
        self, known: executors.Executor, run: executors.Run, now: float
    ) -> None:
        """Order the end of a run."""
        run.state = executors.RunState.STOPPING
        run.stop_sent_at = now
        self._actions.append(
            work.StopOrder(
                known.id,
                known.report.address,
                run.task,
                run.number,
                self.token,
            )
        )

    def raise_token(
        self,
        token: int,
        held: typing.Iterable[executors.Executor],
        now: float,
    ) -> None:
        """Give orders under a higher token from now on.

        :param held: the executors that have to learn of it
        """
        self.token = token
        for known in held:
            known.is_synced = False
            if known.is_fenced:
                known.is_fenced = False
                known.silent_since = 0.0
                known.unusable_until = now
            self.look(known, now)
