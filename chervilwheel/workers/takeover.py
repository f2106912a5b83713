"""Delays taken-over jobs until their runs under other holders are known."""

import collections
import enum
import logging
import typing

from chervilwheel import ids
from chervilwheel.workers import callerhosts
from chervilwheel.workers import executors
from chervilwheel.workers import jobstate
from chervilwheel.workers import leases

_LOG = logging.getLogger("engine")

# A holder checks every 0.15 s whether an entry host was silent for 0.6 s, and
# drops it (control.holding); the leases that it granted then expire.
ENTRY_RELEASE_S = 0.75
# A cut begins up to one interval after the last status that has arrived. A
# leader beyond it uses the runs of an entry host's jobs until it drops it.
FORMER_ORDERS_S = 0.15 + ENTRY_RELEASE_S
# Entry hosts that are cut off together have received the same last status.
MAX_STATUS_LAG_S = 0.2
# A host that has followed a holder isn't a standby within this time.
STANDBY_PAUSE_S = 0.35
# An orphaned run that no job has adopted is stopped after this time. Entry
# hosts offer their jobs again within it: it is two heartbeats long.
ORPHAN_TIMEOUT_S = 0.3
# A round of polls covers all jobs that were offered before it. The next one
# begins when all used executors have answered, or after a call's timeout.
POLL_ROUND_TIMEOUT_S = 0.3
# Executors answer a poll within milliseconds; one that hasn't answered by then
# is probably unreachable.
FIRST_ANSWERS_S = 0.15
# Names in one log line; the line has their total number, too.
MAX_LOGGED_JOBS = 50
MAX_LOGGED_EXECUTORS = 10


def leases_end(
    limits: leases.LeaseLimits, now: float, former_until: float | None
) -> float:
    """Return when all runs of the holder before this one have ended, seconds.

    No other holder extends the lease of an executor with runs that it doesn't
    know.

    :param former_until: as for :class:`Takeovers`
    """
    return max(now, former_until or now) + limits.max_run_s


class Proof(enum.Enum):
    """Why a taken-over job may start: what shows where its runs are."""

    LISTS = "lists"
    LEASES = "leases"


class Takeovers:
    """Jobs that another holder may have started.

    A job may start tasks once every executor that may run some of them has
    listed its runs, or once all leases of the other holder have expired.

    :param limits: lease limits of the executors
    :param reports_complete_at: time from which on all executors that another
        holder may have used are known, seconds
    :param now: monotonic time of the first order, seconds
    :param former_until: when a standby's former holder has sent its last
        order, seconds; None for a leader, which it precedes
    :param caller_hosts: the entry hosts that follow this holder
    :ivar awaits_reports: whether other hosts may have reports of executors
        that the former holder has used
    :ivar poll_after: the lists requested before this time are too old
    :ivar leases_end_at: when all runs of the former holder have ended, seconds
    :ivar releases: number of jobs released by each proof
    """

    def __init__(
        self,
        *,
        limits: leases.LeaseLimits,
        reports_complete_at: float,
        now: float,
        former_until: float | None,
        caller_hosts: callerhosts.CallerHosts,
    ) -> None:
        self.awaits_reports = False
        self.poll_after = 0.0
        self.releases: collections.Counter[Proof] = collections.Counter()
        self._round_at = 0.0
        self._jobs: list[jobstate.JobState] = []
        # When standbys have ended and told the executors that they used.
        self._standbys_ended: dict[ids.InstanceId, float] = {}
        # Until then executors that have left may be used by another holder.
        self._departures_end_at = 0.0
        self._reports_complete_at = reports_complete_at
        self._began_at = now
        self._former_until = former_until
        self._caller_hosts = caller_hosts
        self._max_run_s = limits.max_run_s
        self._standby_timeout_s = ENTRY_RELEASE_S + limits.max_run_s
        self.leases_end_at = leases_end(limits, now, former_until)

    def former_silent_s(self, now: float) -> float:
        """Return the time since a standby's former holder was heard of.

        :returns: seconds, 0 for a leader
        """
        if self._former_until is None:
            return 0.0
        return now - (self._former_until - FORMER_ORDERS_S)

    def __bool__(self) -> bool:
        return bool(self._jobs)

    def add(self, state: jobstate.JobState) -> None:
        """Delay a job until its earlier runs are known."""
        self._jobs.append(state)

    def executor_left(self, used_until: float) -> None:
        """Reckon with runs of another holder on an executor that isn't listed.

        :param used_until: when it has ended at the latest, seconds
        """
        self._departures_end_at = max(self._departures_end_at, used_until)

    def standby_ended(self, host: ids.InstanceId, now: float) -> None:
        """Record that a standby has ended, whose executors are known now."""
        self._standbys_ended[host] = now

    def release_ready(
        self, all_executors: typing.Collection[executors.Executor], now: float
    ) -> list[jobstate.JobState]:
        """Let jobs start whose earlier runs are all known or have ended.

        :returns: these jobs
        """
        waiting = [state for state in self._jobs if not state.is_finished]
        self._jobs = []
        if not waiting:
            self.poll_after = 0.0
            return []
        all_listed_since = min(
            (executor.listed_at for executor in all_executors), default=0.0
        )
        # A silent executor may have answered orders of the former holder.
        used_listed_since = min(
            (e.listed_at for e in all_executors if not e.is_unused),
            default=0.0,
        )
        is_round_complete = used_listed_since > self.poll_after
        if is_round_complete or now - self._round_at >= POLL_ROUND_TIMEOUT_S:
            self._round_at = now
            self.poll_after = max(self._runs_until(state) for state in waiting)
        is_inventory_complete = (
            now >= self._reports_complete_at and not self.awaits_reports
        )
        released = []
        by_proof: dict[Proof, list[jobstate.JobState]] = {}
        for state in waiting:
            listed_since = used_listed_since
            if state.job.is_from_standby:
                listed_since = all_listed_since
            self._update_lost_entries(state, now)
            if self._may_lack_runs(state):
                listed_since = 0.0
            ends_at = self._leases_end(state)
            are_runs_known = (
                is_inventory_complete
                and listed_since > self._runs_until(state)
            )
            if are_runs_known or now >= ends_at:
                state.is_taking_over = False
                released.append(state)
                proof = Proof.LISTS if are_runs_known else Proof.LEASES
                by_proof.setdefault(proof, []).append(state)
            else:
                self._jobs.append(state)
        for proof, states in by_proof.items():
            self._log_release(proof, states, all_executors, now)
        return released

    def _log_release(
        self,
        proof: Proof,
        states: typing.Sequence[jobstate.JobState],
        all_executors: typing.Iterable[executors.Executor],
        now: float,
    ) -> None:
        self.releases[proof] += len(states)
        offered_at = max(state.takeover_from for state in states)
        unlisted = [
            executor.id
            for executor in all_executors
            if executor.listed_at <= offered_at
        ]
        _LOG.info(
            "engine: taken-over jobs released",
            extra={
                "proof": proof.value,
                "after_s": round(now - self._began_at, 3),
                "waited_s": round(now - offered_at, 3),
                "jobs": [state.job.id for state in states[:MAX_LOGGED_JOBS]],
                "count": len(states),
                "unlisted": unlisted[:MAX_LOGGED_EXECUTORS],
                "unlisted_count": len(unlisted),
            },
        )

    def expected_release(self, state: jobstate.JobState, now: float) -> float:
        """Return when a delayed job may start tasks, as far as known."""
        waited_s = now - max(state.takeover_from, self._began_at)
        if waited_s < FIRST_ANSWERS_S:
            return now
        return max(now, self._leases_end(state))

    def _leases_end(self, state: jobstate.JobState) -> float:
        """Return when all earlier runs of a job have ended."""
        ends_at = self.leases_end_at
        if state.job.is_from_standby:
            ends_at = state.takeover_from + self._standby_timeout_s
        if self._former_until is not None:
            former_until = state.heard_at + FORMER_ORDERS_S
            ends_at = max(ends_at, former_until + self._max_run_s)
        lost = state.lost_entries.values()
        return max([ends_at, *(entry.until for entry in lost)])

    def _update_lost_entries(
        self, state: jobstate.JobState, now: float
    ) -> None:
        """Drop the lost entry hosts that follow this holder again.

        They have offered the jobs that they still have.
        """
        if state.lost_entries:
            state.lost_entries = self._caller_hosts.missing(
                state.lost_entries, now
            )

    def _runs_until(self, state: jobstate.JobState) -> float:
        """Return when another holder may have ordered its last known run."""
        ended_at = [
            self._standbys_ended.get(host, 0.0)
            for host in state.job.former_standbys
        ]
        return max([state.takeover_from, *ended_at])

    def _have_standbys_ended(self, state: jobstate.JobState) -> bool:
        """Return whether all executors that its standbys used are known.

        A standby that has ended holds none before it has been without a
        holder for some time.
        """
        since = state.takeover_from - STANDBY_PAUSE_S
        return all(
            self._standbys_ended.get(host, 0.0) > since
            for host in state.job.former_standbys
        )

    def _may_lack_runs(self, state: jobstate.JobState) -> bool:
        """Return whether a job may run where no list is requested."""
        if state.lost_entries or self._may_lack_executors(state):
            return True
        return state.job.is_from_standby and (
            state.takeover_from < self._departures_end_at
            or not self._have_standbys_ended(state)
        )

    def _may_lack_executors(self, state: jobstate.JobState) -> bool:
        """Return whether a former holder may use executors not known here.

        A job's entry host has been in touch with it for longer than this
        standby, which isn't told of the executors that it has found since.
        """
        if self._former_until is None:
            return False
        heard_at = self._former_until - FORMER_ORDERS_S
        return state.heard_at > heard_at + MAX_STATUS_LAG_S
