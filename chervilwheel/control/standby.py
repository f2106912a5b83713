"""Choose the entry host that takes over the executors without a leader.

This covers the loss of all control hosts at once, and a zone that a
network partition separates from the majority of them.
"""

from chervilwheel import ids

# Covers two heartbeats of 0.15 s, which entry hosts need to discover each
# other.
NO_QUORUM_WAIT_S = 0.35
# An election takes 0.2 to 0.4 s, twice as long if the first one fails.
ELECTION_WAIT_S = 0.8
# A new leader usually begins within this time of the loss of the former one.
DISCOVERY_WAIT_S = 0.15
# Control hosts report every 0.15 s whether they can reach a quorum.
QUORUM_TIMEOUT_S = 0.25
# Longer than the interval of heartbeats to hosts that aren't the holder.
HEARTBEAT_TIMEOUT_S = 0.8
# A standby that executors have fenced off tries again after this time, since
# the other holder, which it can't reach, may have ended. Doubled each time:
# another holder that goes on loses its runs by it.
FENCED_RETRY_S = 20.0
MAX_FENCED_RETRY_S = 640.0
# Two heartbeats to an entry host that reaches a leader, which it answers.
LEADER_TIMEOUT_S = 0.35


class Standby:
    """Select the reachable entry host with the lowest name as standby.

    :param me: this host
    """

    def __init__(self, *, me: ids.InstanceId) -> None:
        self._me = me
        self._heartbeat_at: dict[ids.InstanceId, float] = {}
        # Control hosts that reported a quorum, unless they report none since.
        self._quorum_seen_at: dict[ids.InstanceId, float] = {}
        self._leader_seen_at = -ELECTION_WAIT_S
        self._discovering_since: float | None = None
        self._fenced_until = 0.0
        self._fenced_retry_s = FENCED_RETRY_S
        self._fenced_peers: dict[ids.InstanceId, float] = {}
        self._followed: ids.InstanceId | None = None

    def record_heartbeat(self, entry: ids.InstanceId, now: float) -> None:
        """Record a heartbeat of another entry host."""
        self._heartbeat_at[entry] = now

    def record_fenced(self, now: float) -> None:
        """Record that executors obey a holder that this host can't reach."""
        self._fenced_until = now + self._fenced_retry_s
        self._fenced_retry_s = min(
            MAX_FENCED_RETRY_S, 2 * self._fenced_retry_s
        )

    def record_peer_fence(
        self, entry: ids.InstanceId, now: float, *, is_fenced: bool
    ) -> None:
        """Record whether another entry host was fenced off by executors."""
        if is_fenced:
            self._fenced_peers[entry] = now
        else:
            self._fenced_peers.pop(entry, None)

    def record_holder(self, holder: ids.InstanceId) -> None:
        """Record the holder that this host uses now."""
        self._followed = holder
        if holder == self._me:
            return
        self._fenced_until = 0.0
        self._fenced_retry_s = FENCED_RETRY_S
        self._fenced_peers.clear()

    def was_fenced(self, now: float) -> bool:
        """Whether executors have fenced this host off recently."""
        return now < self._fenced_until

    def is_fenced(self, now: float) -> bool:
        """Whether another holder has the executors of the last one here.

        That may be another entry host. A host that has followed another
        holder since may take over: it knows that this one is lost.
        """
        return self.was_fenced(now) or (
            self._followed is not None
            and self._is_peer_fenced(self._followed, now)
        )

    def _is_peer_fenced(self, entry: ids.InstanceId, now: float) -> bool:
        fenced_at = self._fenced_peers.get(entry)
        return fenced_at is not None and now - fenced_at < HEARTBEAT_TIMEOUT_S

    def record_quorum(
        self, control: ids.InstanceId, now: float, *, is_reached: bool
    ) -> None:
        """Record whether a control host reaches a quorum of voters."""
        if is_reached:
            self._quorum_seen_at[control] = now
        else:
            self._quorum_seen_at.pop(control, None)

    def record_leader(self, now: float) -> None:
        """Record that another entry host reaches a leader."""
        self._leader_seen_at = now

    def reachable(self, now: float) -> list[ids.InstanceId]:
        """List the reachable entry hosts in order, including this one.

        Those that executors have fenced off don't take over.
        """
        alive = [
            name
            for name, at in self._heartbeat_at.items()
            if now - at < HEARTBEAT_TIMEOUT_S
            and not self._is_peer_fenced(name, now)
        ]
        return sorted([*alive, self._me])

    def can_elect(self, now: float) -> bool:
        """Whether a control host has reported a quorum recently."""
        return any(
            now - at < QUORUM_TIMEOUT_S for at in self._quorum_seen_at.values()
        )

    def discover(self, *, holder_lost_at: float, now: float) -> bool:
        """Whether to exchange heartbeats with the other entry hosts.

        They do so only when a standby may be needed: the heartbeats of all
        to all grow with the square of their number.

        :param holder_lost_at: time when the last holder was lost, seconds
        """
        waited_s = now - holder_lost_at
        if self.can_elect(now) and waited_s < DISCOVERY_WAIT_S:
            self._discovering_since = None
        elif self._discovering_since is None:
            self._discovering_since = now
        return self._discovering_since is not None

    def end_discovery(self) -> None:
        """Record that a leader is the holder."""
        self._discovering_since = None

    def should_take_over(self, *, holder_lost_at: float, now: float) -> bool:
        """Whether this host is to take over the executors.

        While an election can succeed, the standby waits longer.

        :param holder_lost_at: time when the last holder was lost, seconds
        """
        wait_s = ELECTION_WAIT_S if self.can_elect(now) else NO_QUORUM_WAIT_S
        if now - holder_lost_at < wait_s:
            return False
        if self.is_fenced(now):
            return False
        if now - self._leader_seen_at < LEADER_TIMEOUT_S:
            # Two holders of the same executors would only fence each other.
            return False
        since = self._discovering_since
        if since is not None and now - since < NO_QUORUM_WAIT_S:
            return False
        return self.reachable(now)[0] == self._me
