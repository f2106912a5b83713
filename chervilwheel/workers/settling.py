"""Which jobs wait until their runs of a former holder are known."""

import typing

from chervilwheel.workers import executors
from chervilwheel.workers import jobstate
from chervilwheel.workers import leases

# A holder without a quorum misses its entry host's beats (0.6 s), and then
# its leases end (0.7 s).
SETTLE_S = 1.4
# A run that nobody asked for is stopped after this time, within which
# entry hosts offer their jobs anew: two beats.
ORPHAN_S = 0.3
# An order to stop that is lost is given again with the next renewal.
STOP_S = 0.3


class Settling:
    """Jobs that another holder may have begun.

    A job settles when every executor that may run some of it has listed
    what it runs, or when all leases of the other holder have ended.

    :param terms: what executors grant
    :param knows_all_at: from when on all executors are known that another
        holder may have used, seconds
    :param now: monotonic time of the first order, seconds
    """

    def __init__(
        self, *, terms: leases.Terms, knows_all_at: float, now: float
    ) -> None:
        self.look_after = 0.0
        self._states: list[jobstate.JobState] = []
        self._knows_all_at = knows_all_at
        self._settle_s = SETTLE_S + terms.stop_s
        # A holder without a quorum may have renewed them before it stopped
        # what nobody there asked for.
        self._leases_end_at = (
            now
            + terms.lease_s / (1 - executors.CLOCK_SLOWNESS)
            + executors.LEASE_MARGIN_S
            + ORPHAN_S
            + STOP_S
            + terms.stop_s
        )

    def __bool__(self) -> bool:
        return bool(self._states)

    def add(self, state: jobstate.JobState) -> None:
        """Have a job wait."""
        self._states.append(state)

    def settle(
        self, known: typing.Collection[executors.Executor], now: float
    ) -> None:
        """Let jobs start whose former runs are all known or at an end.

        :param known: all executors
        """
        settling = [s for s in self._states if not s.is_over]
        self._states = []
        if not settling:
            self.look_after = 0.0
            return
        self.look_after = max(state.settles_from for state in settling)
        live = [e for e in known if now - e.heard_at < leases.SILENT_S]
        all_since = min((e.answered_at for e in known), default=0.0)
        live_since = min((e.answered_at for e in live), default=0.0)
        knows_all = now >= self._knows_all_at
        for state in settling:
            if state.job.is_from_standby:
                since = all_since
                ends_at = state.settles_from + self._settle_s
            else:
                since, ends_at = live_since, self._leases_end_at
            is_seen = knows_all and since > state.settles_from
            if is_seen or now >= ends_at:
                state.is_settling = False
            else:
                self._states.append(state)
