"""Entry hosts that may know of runs under another holder."""

import typing

from chervilwheel import ids


class LostEntry(typing.NamedTuple):
    """An entry host that was lost while its callers waited for a job.

    :ivar at: when this holder gave it up, seconds
    :ivar until: when its callers have timed out and all runs under a holder
        that it has found since have ended, seconds
    """

    at: float
    until: float


class CallerHosts:
    """Which entry hosts follow this holder.

    Callers send a job again to another entry host when they have lost the
    first one. That is the only one to say that a former holder may have
    started it. Its heartbeat follows all its offers.

    :param heard_at: when each entry host of the former holder was last heard
        of, seconds
    :param resend_s: callers wait this long before they send a job again
    :param until: when all runs of the former holder have ended, seconds
    """

    def __init__(
        self,
        *,
        heard_at: typing.Mapping[ids.InstanceId, float],
        resend_s: float,
        until: float,
    ) -> None:
        self._missing = dict(heard_at)
        self._resend_s = resend_s
        self._until = until
        self._joined_at: dict[ids.InstanceId, float] = {}
        self._ended: set[ids.InstanceId] = set()

    def joined(self, entry: ids.InstanceId, now: float) -> None:
        """Record a heartbeat of an entry host that follows this holder."""
        self._missing.pop(entry, None)
        self._joined_at[entry] = now
        self._ended.discard(entry)

    def ended(self, entry: ids.InstanceId) -> None:
        """Record that an entry host ends without handing its jobs on."""
        self._missing.pop(entry, None)
        self._ended.add(entry)

    def has_ended(self, entry: ids.InstanceId) -> bool:
        """Return whether an entry host has ended as planned."""
        return entry in self._ended

    def may_hide_runs(self, now: float) -> bool:
        """Return whether a job that is new here may run already.

        Its caller may have sent it first to an entry host that was lost.
        """
        return now < self._until and any(
            now - heard_at >= self._resend_s
            for heard_at in self._missing.values()
        )

    def missing(
        self, lost: typing.Mapping[ids.InstanceId, LostEntry], now: float
    ) -> dict[ids.InstanceId, LostEntry]:
        """Return those of the lost entry hosts that may still have a job.

        :param lost: when each was lost
        """
        return {
            name: entry
            for name, entry in lost.items()
            if now < entry.until
            and self._joined_at.get(name, -1.0) <= entry.at
        }
