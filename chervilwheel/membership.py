"""SWIM-style cluster membership and failure detection.

Each instance probes one other at a time, in shuffled order. When a probe
isn't acknowledged, other instances are asked to probe the target before it
becomes a suspect; a suspect can refute the suspicion with a higher
incarnation until it is declared dead. Membership updates are piggybacked
on the probes; a digest of the view detects updates that were lost.
"""

import random
import typing
import zlib

from chervilwheel import addresses
from chervilwheel import ids
from chervilwheel import messages

PROBE_INTERVAL_S = 0.3
ACK_TIMEOUT_S = 0.25
SUSPICION_TIMEOUT_S = 1.2
INDIRECT_PROBES = 2
LOCAL_PROBES_PER_REMOTE = 4
UPDATES_PER_DATAGRAM = 8
UPDATE_TRANSMISSIONS = 6
SYNC_INTERVAL_S = 2.0
MEMBERS_PER_SYNC_DATAGRAM = 8
RECONNECT_INTERVAL_S = 2.0
DEPARTED_RETENTION_S = 3600.0

Info = messages.MemberInfo
State = messages.MemberState
Kind = messages.GossipKind
_STATE_PRECEDENCE = {
    State.ALIVE: 0,
    State.SUSPECT: 1,
    State.DEAD: 2,
    State.LEFT: 3,
}


class Datagram(typing.NamedTuple):
    """A message and the address to send it to."""

    to: addresses.Address
    message: messages.Gossip


class _Member:
    """The latest known state of another instance."""

    __slots__ = ("info", "state_since", "transmissions_left")

    def __init__(self, *, info: Info, state_since: float) -> None:
        self.info = info
        self.state_since = state_since
        self.transmissions_left = UPDATE_TRANSMISSIONS


class _Probe:
    """A probe that has not been acknowledged yet.

    ``requester`` is set on an indirect probe: the address and the sequence
    number that its acknowledgement is forwarded with.
    """

    __slots__ = ("target", "indirect_at", "expires_at", "requester")

    def __init__(
        self,
        *,
        target: ids.InstanceId,
        indirect_at: float,
        expires_at: float,
    ) -> None:
        self.target = target
        self.indirect_at = indirect_at
        self.expires_at = expires_at
        self.requester: tuple[addresses.Address, int] | None = None


class Membership:
    """One instance's view of the cluster members.

    :param me: description of this instance
    :param seeds: addresses to contact first
    :param rng: random number generator
    :param now: monotonic time, seconds
    """

    def __init__(
        self,
        *,
        me: Info,
        seeds: typing.Sequence[addresses.Address],
        rng: random.Random,
        now: float,
    ) -> None:
        self.me = me
        self.revision = 0
        self._address = addresses.Address(me.host, me.port)
        self._seeds = [each for each in seeds if each != self._address]
        self._rng = rng
        self._members: dict[ids.InstanceId, _Member] = {}
        self._probe_order: list[ids.InstanceId] = []
        self._probes: dict[int, _Probe] = {}
        self._sequence = 0
        self._probe_at = now
        self._sync_at = now
        self._outgoing: list[Datagram] = []
        self._turn = 0

    def live(self, *, zone: ids.ZoneId | None = None) -> list[Info]:
        """List the live instances, including this one and suspects."""
        infos = [self.me] if self.me.state is State.ALIVE else []
        infos += [
            member.info
            for member in self._members.values()
            if member.info.state in (State.ALIVE, State.SUSPECT)
        ]
        return [info for info in infos if zone in (None, info.zone)]

    def all(self) -> list[Info]:
        """List all known instances, including dead ones."""
        return [self.me, *(member.info for member in self._members.values())]

    def is_live(self, name: ids.InstanceId) -> bool:
        """Return whether an instance is considered alive."""
        return any(info.name == name for info in self.live())

    def tick(self, now: float) -> list[Datagram]:
        """Run the probes, timeouts and syncs that are due.

        :returns: datagrams to send
        """
        self._check_probes(now)
        self._check_suspects(now)
        if now >= self._probe_at:
            self._probe_at = now + PROBE_INTERVAL_S
            self._probe_next(now)
            self._ping_suspects()
        if now >= self._sync_at:
            self._sync_at = now + SYNC_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            self._start_sync()
        return self._drain_outgoing()

    def receive(
        self, message: messages.Gossip, source: addresses.Address, now: float
    ) -> list[Datagram]:
        """Process a received datagram.

        :returns: datagrams to send
        """
        self._merge(message.sender, now)
        for info in message.updates:
            self._merge(info, now)
        if message.kind is Kind.PING:
            self._send(source, Kind.ACK, message.sequence, message.target)
            if message.digest != self.digest():
                self._send_view(source)
        elif message.kind is Kind.ACK:
            self._on_ack(message)
        elif message.kind is Kind.PING_REQUEST:
            self._probe_on_request(message, source, now)
        return self._drain_outgoing()

    def suspect(self, name: ids.InstanceId, now: float) -> list[Datagram]:
        """Probe an instance immediately because a connection to it broke."""
        member = self._members.get(name)
        if member is not None and member.info.state is State.ALIVE:
            self._probe(member.info, now)
        return self._drain_outgoing()

    def announce_state(
        self, *, state: State, is_draining: bool
    ) -> list[Datagram]:
        """Change this instance's state and announce it to all live members.

        :returns: datagrams to send
        """
        recipients = self.live()
        self.me = self.me._replace(
            state=state,
            is_draining=is_draining,
            incarnation=self.me.incarnation + 1,
        )
        self.revision += 1
        for info in recipients:
            if info.name != self.me.name:
                address = addresses.Address(info.host, info.port)
                self._send(address, Kind.SYNC, 0, info.name)
        return self._drain_outgoing()

    def announce_leave(self) -> list[Datagram]:
        """Announce to all live members that this instance leaves."""
        return self.announce_state(state=State.LEFT, is_draining=True)

    def digest(self) -> int:
        """Return a checksum of the whole view."""
        rows = sorted(
            f"{info.name} {info.incarnation} {info.state.value}"
            for info in self.all()
        )
        return zlib.crc32("\n".join(rows).encode())

    def _probe_next(self, now: float) -> None:
        for _ in range(len(self._members) + 1):
            if not self._probe_order:
                self._probe_order = self._new_probe_order()
                if not self._probe_order:
                    return
            name = self._probe_order.pop()
            member = self._members.get(name)
            if member is not None and _is_probeable(member.info):
                self._probe(member.info, now)
                return

    def _new_probe_order(self) -> list[ids.InstanceId]:
        """Shuffle the members of this zone and a sample from other zones."""
        candidates = [
            member.info
            for member in self._members.values()
            if _is_probeable(member.info)
        ]
        local = [each.name for each in candidates if each.zone == self.me.zone]
        remote = [
            each.name for each in candidates if each.zone != self.me.zone
        ]
        count = max(1, len(local) // LOCAL_PROBES_PER_REMOTE) if remote else 0
        names = local + self._rng.sample(remote, min(count, len(remote)))
        if not local:
            names = remote
        self._rng.shuffle(names)
        return names

    def _probe(self, info: Info, now: float) -> int:
        self._sequence += 1
        self._probes[self._sequence] = _Probe(
            target=info.name,
            indirect_at=now + ACK_TIMEOUT_S,
            expires_at=now + 3 * ACK_TIMEOUT_S,
        )
        address = addresses.Address(info.host, info.port)
        self._send(address, Kind.PING, self._sequence, info.name)
        return self._sequence

    def _probe_on_request(
        self,
        message: messages.Gossip,
        source: addresses.Address,
        now: float,
    ) -> None:
        member = self._members.get(message.target)
        if member is not None:
            sequence = self._probe(member.info, now)
            self._probes[sequence].requester = (source, message.sequence)

    def _on_ack(self, message: messages.Gossip) -> None:
        probe = self._probes.pop(message.sequence, None)
        if probe is not None and probe.requester is not None:
            address, sequence = probe.requester
            self._send(address, Kind.ACK, sequence, probe.target)

    def _check_probes(self, now: float) -> None:
        for sequence, probe in list(self._probes.items()):
            if now >= probe.expires_at:
                del self._probes[sequence]
                if probe.requester is None:
                    self._set_state(probe.target, State.SUSPECT, now)
            elif now >= probe.indirect_at and probe.requester is None:
                probe.indirect_at = float("inf")
                self._send_ping_requests(sequence, probe.target)

    def _send_ping_requests(
        self, sequence: int, target: ids.InstanceId
    ) -> None:
        others = [
            member.info
            for member in self._members.values()
            if member.info.state is State.ALIVE and member.info.name != target
        ]
        relays = self._rng.sample(others, min(INDIRECT_PROBES, len(others)))
        for info in relays:
            address = addresses.Address(info.host, info.port)
            self._send(address, Kind.PING_REQUEST, sequence, target)

    def _check_suspects(self, now: float) -> None:
        for name, member in list(self._members.items()):
            age = now - member.state_since
            if (
                member.info.state is State.SUSPECT
                and age >= SUSPICION_TIMEOUT_S
            ):
                self._set_state(name, State.DEAD, now)
            elif age >= DEPARTED_RETENTION_S and not _is_probeable(
                member.info
            ):
                del self._members[name]
                self.revision += 1

    def _ping_suspects(self) -> None:
        # A suspect that is alive refutes the suspicion as soon as it
        # receives it, so each suspect is sent its own state.
        for member in self._members.values():
            if member.info.state is State.SUSPECT:
                to = addresses.Address(member.info.host, member.info.port)
                name = member.info.name
                message = self._new_message(Kind.PING, 0, name, (member.info,))
                self._outgoing.append(Datagram(to, message))

    def _set_state(
        self, name: ids.InstanceId, state: State, now: float
    ) -> None:
        member = self._members.get(name)
        if (
            member is None
            or _STATE_PRECEDENCE[member.info.state] >= _STATE_PRECEDENCE[state]
        ):
            return
        self._store(member.info._replace(state=state), now)

    def _start_sync(self) -> None:
        """Compare views with a random member, possibly a dead one or a seed.

        Dead members and seeds are included so that the two sides of a
        healed partition rediscover each other.
        """
        addresses_to_try = [
            addresses.Address(member.info.host, member.info.port)
            for member in self._members.values()
            if member.info.state is not State.LEFT
        ]
        dead_addresses = [
            addresses.Address(member.info.host, member.info.port)
            for member in self._members.values()
            if member.info.state is State.DEAD
        ]
        addresses_to_try += self._seeds
        targets = (
            {self._rng.choice(addresses_to_try)} if addresses_to_try else set()
        )
        if dead_addresses:
            targets.add(self._rng.choice(dead_addresses))
        if self._seeds and not self._members:
            targets.update(self._seeds)
        for address in targets:
            self._send(address, Kind.PING, 0, ids.InstanceId(""))

    def _merge(self, info: Info, now: float) -> None:
        if info.name == self.me.name:
            self._refute(info)
            return
        member = self._members.get(info.name)
        if member is None:
            self._store(info, now)
            return
        current = (
            member.info.incarnation,
            _STATE_PRECEDENCE[member.info.state],
        )
        received = (info.incarnation, _STATE_PRECEDENCE[info.state])
        if received > current:
            self._store(info, now)

    def _refute(self, info: Info) -> None:
        is_same_boot = info.boot == self.me.boot
        if info.incarnation < self.me.incarnation:
            return
        if is_same_boot and info.state is self.me.state:
            return
        self.me = self.me._replace(incarnation=info.incarnation + 1)
        self.revision += 1

    def _store(self, info: Info, now: float) -> None:
        self._members[info.name] = _Member(info=info, state_since=now)
        self.revision += 1

    def _next_updates(self) -> tuple[Info, ...]:
        pending = [
            member
            for member in self._members.values()
            if member.transmissions_left > 0
        ]
        pending.sort(key=lambda member: -member.transmissions_left)
        selected = pending[:UPDATES_PER_DATAGRAM]
        for member in selected:
            member.transmissions_left -= 1
        return tuple(member.info for member in selected)

    def _send_view(self, to: addresses.Address) -> None:
        infos = [member.info for member in self._members.values()]
        for start in range(0, len(infos), MEMBERS_PER_SYNC_DATAGRAM):
            part = tuple(infos[start : start + MEMBERS_PER_SYNC_DATAGRAM])
            message = self._new_message(Kind.SYNC, 0, ids.InstanceId(""), part)
            self._outgoing.append(Datagram(to, message))
        if not infos:
            message = self._new_message(Kind.SYNC, 0, ids.InstanceId(""), ())
            self._outgoing.append(Datagram(to, message))

    def _send(
        self,
        to: addresses.Address,
        kind: Kind,
        sequence: int,
        target: ids.InstanceId,
    ) -> None:
        message = self._new_message(
            kind, sequence, target, self._next_updates()
        )
        self._outgoing.append(Datagram(to, message))

    def _new_message(
        self,
        kind: Kind,
        sequence: int,
        target: ids.InstanceId,
        updates: tuple[Info, ...],
    ) -> messages.Gossip:
        return messages.Gossip(
            kind, sequence, target, self.me, self.digest(), updates
        )

    def _drain_outgoing(self) -> list[Datagram]:
        out, self._outgoing = self._outgoing, []
        return out


def _is_probeable(info: Info) -> bool:
    return info.state in (State.ALIVE, State.SUSPECT)
