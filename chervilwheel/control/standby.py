"""Decide which entry host holds the executors while no leader can.

It answers the loss of all control hosts at once, and a zone that is cut
off from the majority of them.
"""

from chervilwheel import ids

# Entry hosts need two beats of 0.15 s to hear of each other.
WAIT_S = 0.35
# An election takes up to 0.9 s; taking over is then a matter of 10 ms.
ELECTION_WAIT_S = 1.2
# Control hosts tell each 0.15 s whether they hear a quorum.
QUORUM_SILENCE_S = 0.25
# Longer than the beats to hosts that don't hold.
SILENCE_S = 0.8


class Standby:
    """Pick the first of the entry hosts that hear each other.

    :param me: this host
    """

    def __init__(self, *, me: ids.InstanceId) -> None:
        self._me = me
        self._heard: dict[ids.InstanceId, float] = {}
        self._quorum_at = -ELECTION_WAIT_S

    def hear(self, entry: ids.InstanceId, now: float) -> None:
        """Take note of another entry host's beat."""
        self._heard[entry] = now

    def hear_quorum(self, now: float) -> None:
        """Take note that a control host reaches a quorum of voters."""
        self._quorum_at = now

    def reachable(self, now: float) -> list[ids.InstanceId]:
        """List the entry hosts that are heard, this one among them."""
        heard = [
            name for name, at in self._heard.items() if now - at < SILENCE_S
        ]
        return sorted([*heard, self._me])

    def should_hold(self, *, lost_at: float, now: float) -> bool:
        """Tell whether to hold.

        :param lost_at: since when no leader holds, seconds
        """
        is_electing = now - self._quorum_at < QUORUM_SILENCE_S
        wait_s = ELECTION_WAIT_S if is_electing else WAIT_S
        if now - lost_at < wait_s:
            return False
        return self.reachable(now)[0] == self._me
