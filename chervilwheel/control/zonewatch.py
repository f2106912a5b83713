"""What an entry host knows of evacuations, for its time as a standby."""

import typing

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import timers
from chervilwheel.control import evacuations
from chervilwheel.control import nodesettings
from chervilwheel.control import permission

Send = typing.Callable[[ids.InstanceId, messages.EntryBeat], typing.Any]


class ZoneWatch:
    """Keep the evacuated zones and the permission to start tasks.

    :param cfg: settings of this host
    :param heap: timers
    :param send: sends a heartbeat to a host
    :ivar view: the evacuated zones
    :ivar witnesses: some entry hosts of each other zone, with their zones
    """

    def __init__(
        self,
        *,
        cfg: nodesettings.NodeSettings,
        heap: timers.TimerHeap,
        send: Send,
    ) -> None:
        self.view = evacuations.ZoneView(part="entry")
        self.witnesses: dict[ids.InstanceId, ids.ZoneId] = {}
        self._heap = heap
        self._send = send
        self._zones = frozenset(map(ids.ZoneId, cfg.zones))
        self._permission = permission.StartPermission(
            zone=cfg.zone, zones=cfg.zones, evacuation_s=cfg.evacuation_s
        )
        # Clocks of other entry hosts at their latest heartbeats.
        self._stamps: dict[ids.InstanceId, float] = {}

    def closed_zones(self) -> frozenset[ids.ZoneId]:
        """Return the zones in which a standby starts nothing now."""
        return self.view.evacuated if self.may_start() else self._zones

    def may_start(self) -> bool:
        """Return whether a standby may start tasks now."""
        return self._permission.may_start(self._heap.clock.now())

    def record_status(self, status: messages.ControlNews) -> bool:
        """Process a status of a holder or a control host.

        :returns: whether the evacuated zones have changed
        """
        now = self._heap.clock.now()
        if status.has_quorum:
            self._permission.record_quorum(now)
        if status.is_current:
            self._permission.renew(status.echo, now)
        return self.view.update(
            status.zones_revision, status.evacuated, status.control
        )

    def record_heartbeat(
        self, peer: ids.InstanceId, heartbeat: messages.EntryBeat
    ) -> bool:
        """Process a heartbeat of another entry host.

        :returns: whether the evacuated zones have changed
        """
        self._stamps[peer] = heartbeat.stamp
        self._permission.record_witness(
            peer,
            heartbeat.zone,
            at=heartbeat.echo,
            reaches_quorum=heartbeat.has_leader or heartbeat.has_quorum,
            now=self._heap.clock.now(),
        )
        return self.view.update(
            heartbeat.zones_revision, heartbeat.evacuated, peer
        )

    def set_witnesses(
        self, witnesses: typing.Mapping[ids.InstanceId, ids.ZoneId]
    ) -> None:
        """Replace the witnesses of the zones that are named."""
        told = set(witnesses.values())
        kept = {
            name: zone
            for name, zone in self.witnesses.items()
            if zone not in told
        }
        self.witnesses = {**kept, **witnesses}

    def is_witness(
        self, entry: ids.InstanceId, shared: typing.Collection[ids.ZoneId]
    ) -> bool:
        """Return whether an entry host is a witness and nothing else.

        :param shared: the zones that share a standby with this host's zone
        """
        zone = self.witnesses.get(entry)
        return zone is not None and zone not in shared

    def probe_witnesses(
        self,
        heartbeat: messages.EntryBeat,
        shared: typing.Collection[ids.ZoneId],
    ) -> None:
        """Ask the witnesses whether they reach a leader.

        :param shared: the zones that share a standby with this host's zone,
            whose hosts send heartbeats anyway
        """
        if not self._permission.is_limited:
            return
        probe = heartbeat._replace(is_probe=True)
        for name in self.witnesses:
            if self.is_witness(name, shared):
                self._send(name, self.with_echo(probe, name))

    def with_echo(
        self, heartbeat: messages.EntryBeat, receiver: ids.InstanceId
    ) -> messages.EntryBeat:
        """Add the stamp of the receiver's latest heartbeat to a heartbeat."""
        stamp = self._stamps.get(receiver)
        # A message that is the same for all is encoded once.
        return heartbeat._replace(echo=stamp) if stamp else heartbeat

    def is_renewal_due(self) -> bool:
        """Return whether control hosts are to answer heartbeats."""
        return self._permission.is_renewal_due(self._heap.clock.now())
