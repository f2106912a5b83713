"""Which instances there are and which of them live.

Each instance probes one other at a time, in a shuffled round; an
unanswered probe is repeated through others before the target is
suspected, and a suspect has time to refute it with a higher
incarnation. News rides on the probes; a digest finds what was missed.
"""

import random
import typing
import zlib

from chervilwheel import addresses
from chervilwheel import ids
from chervilwheel import messages

PROBE_S = 0.3
ACK_S = 0.25
SUSPECT_S = 1.2
HELPERS = 2
REMOTE_EVERY = 4
NEWS_PER_DATAGRAM = 8
NEWS_REPEATS = 6
SYNC_S = 2.0
SYNC_PER_DATAGRAM = 8
RECONNECT_S = 2.0
FORGET_S = 3600.0

Info = messages.MemberInfo
State = messages.MemberState
Kind = messages.GossipKind
_RANK = {State.ALIVE: 0, State.SUSPECT: 1, State.DEAD: 2, State.LEFT: 3}


class Datagram(typing.NamedTuple):
    """A message for an address."""

    to: addresses.Address
    message: messages.Gossip


class _Known:
    """An instance as believed now."""

    __slots__ = ("info", "since", "repeats")

    def __init__(self, *, info: Info, since: float) -> None:
        self.info = info
        self.since = since
        self.repeats = NEWS_REPEATS


class _Probe:
    """A probe that waits for its acknowledgement."""

    __slots__ = ("target", "ask_others_at", "fails_at", "for_whom")

    def __init__(
        self,
        *,
        target: ids.InstanceId,
        ask_others_at: float,
        fails_at: float,
    ) -> None:
        self.target = target
        self.ask_others_at = ask_others_at
        self.fails_at = fails_at
        self.for_whom: tuple[addresses.Address, int] | None = None


class Membership:
    """One instance's view of all instances.

    :param me: this instance as it describes itself
    :param seeds: addresses to ask first
    :param rng: the source of chance
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
        self._known: dict[ids.InstanceId, _Known] = {}
        self._round: list[ids.InstanceId] = []
        self._probes: dict[int, _Probe] = {}
        self._sequence = 0
        self._probe_at = now
        self._sync_at = now
        self._out: list[Datagram] = []
        self._turn = 0

    def live(self, *, zone: ids.ZoneId | None = None) -> list[Info]:
        """List living instances, this one among them, suspects too."""
        infos = [self.me] if self.me.state is State.ALIVE else []
        infos += [
            known.info
            for known in self._known.values()
            if known.info.state in (State.ALIVE, State.SUSPECT)
        ]
        return [info for info in infos if zone in (None, info.zone)]

    def all(self) -> list[Info]:
        """List all instances that are remembered."""
        return [self.me, *(known.info for known in self._known.values())]

    def is_live(self, name: ids.InstanceId) -> bool:
        """Whether an instance is believed to live."""
        return any(info.name == name for info in self.live())

    def tick(self, now: float) -> list[Datagram]:
        """Do what is due.

        :returns: datagrams to send
        """
        self._check_probes(now)
        self._check_suspects(now)
        if now >= self._probe_at:
            self._probe_at = now + PROBE_S
            self._probe_next(now)
            self._tell_suspects()
        if now >= self._sync_at:
            self._sync_at = now + SYNC_S * self._rng.uniform(0.8, 1.2)
            self._ask_anyone()
        return self._take()

    def receive(
        self, message: messages.Gossip, source: addresses.Address, now: float
    ) -> list[Datagram]:
        """Take in a datagram.

        :returns: datagrams to send
        """
        self._merge(message.sender, now)
        for info in message.updates:
            self._merge(info, now)
        if message.kind is Kind.PING:
            self._send(source, Kind.ACK, message.sequence, message.target)
            if message.digest != self.digest():
                self._send_all(source)
        elif message.kind is Kind.ACK:
            self._on_ack(message)
        elif message.kind is Kind.PING_REQUEST:
            self._probe_for(message, source, now)
        return self._take()

    def suspect(self, name: ids.InstanceId, now: float) -> list[Datagram]:
        """Probe an instance at once, since a link to it broke."""
        known = self._known.get(name)
        if known is not None and known.info.state is State.ALIVE:
            self._probe(known.info, now)
        return self._take()

    def describe(self, *, state: State, is_draining: bool) -> list[Datagram]:
        """Change how this instance describes itself and tell everyone.

        :returns: datagrams to send
        """
        told = self.live()
        self.me = self.me._replace(
            state=state,
            is_draining=is_draining,
            incarnation=self.me.incarnation + 1,
        )
        self.revision += 1
        for info in told:
            if info.name != self.me.name:
                address = addresses.Address(info.host, info.port)
                self._send(address, Kind.SYNC, 0, info.name)
        return self._take()

    def farewell(self) -> list[Datagram]:
        """Tell everyone that this instance leaves."""
        return self.describe(state=State.LEFT, is_draining=True)

    def digest(self) -> int:
        """Sum up the whole view in one number."""
        rows = sorted(
            f"{info.name} {info.incarnation} {info.state.value}"
            for info in self.all()
        )
        return zlib.crc32("\n".join(rows).encode())

    def _probe_next(self, now: float) -> None:
        for _ in range(len(self._known) + 1):
            if not self._round:
                self._round = self._new_round()
                if not self._round:
                    return
            name = self._round.pop()
            known = self._known.get(name)
            if known is not None and _is_probed(known.info):
                self._probe(known.info, now)
                return

    def _new_round(self) -> list[ids.InstanceId]:
        """Shuffle the own zone, with some of the others mixed in."""
        probed = [
            known.info
            for known in self._known.values()
            if _is_probed(known.info)
        ]
        near = [each.name for each in probed if each.zone == self.me.zone]
        far = [each.name for each in probed if each.zone != self.me.zone]
        count = max(1, len(near) // REMOTE_EVERY) if far else 0
        names = near + self._rng.sample(far, min(count, len(far)))
        if not near:
            names = far
        self._rng.shuffle(names)
        return names

    def _probe(self, info: Info, now: float) -> int:
        self._sequence += 1
        self._probes[self._sequence] = _Probe(
            target=info.name,
            ask_others_at=now + ACK_S,
            fails_at=now + 3 * ACK_S,
        )
        address = addresses.Address(info.host, info.port)
        self._send(address, Kind.PING, self._sequence, info.name)
        return self._sequence

    def _probe_for(
        self,
        message: messages.Gossip,
        source: addresses.Address,
        now: float,
    ) -> None:
        known = self._known.get(message.target)
        if known is not None:
            number = self._probe(known.info, now)
            self._probes[number].for_whom = (source, message.sequence)

    def _on_ack(self, message: messages.Gossip) -> None:
        probe = self._probes.pop(message.sequence, None)
        if probe is not None and probe.for_whom is not None:
            address, sequence = probe.for_whom
            self._send(address, Kind.ACK, sequence, probe.target)

    def _check_probes(self, now: float) -> None:
        for number, probe in list(self._probes.items()):
            if now >= probe.fails_at:
                del self._probes[number]
                if probe.for_whom is None:
                    self._mark(probe.target, State.SUSPECT, now)
            elif now >= probe.ask_others_at and probe.for_whom is None:
                probe.ask_others_at = float("inf")
                self._ask_helpers(number, probe.target)

    def _ask_helpers(self, number: int, target: ids.InstanceId) -> None:
        others = [
            known.info
            for known in self._known.values()
            if known.info.state is State.ALIVE and known.info.name != target
        ]
        helpers = self._rng.sample(others, min(HELPERS, len(others)))
        for info in helpers:
            address = addresses.Address(info.host, info.port)
            self._send(address, Kind.PING_REQUEST, number, target)

    def _check_suspects(self, now: float) -> None:
        for name, known in list(self._known.items()):
            age = now - known.since
            if known.info.state is State.SUSPECT and age >= SUSPECT_S:
                self._mark(name, State.DEAD, now)
            elif age >= FORGET_S and not _is_probed(known.info):
                del self._known[name]
                self.revision += 1

    def _tell_suspects(self) -> None:
        # A suspect that lives refutes at once what it hears of itself.
        for known in self._known.values():
            if known.info.state is State.SUSPECT:
                to = addresses.Address(known.info.host, known.info.port)
                name = known.info.name
                message = self._gossip(Kind.PING, 0, name, (known.info,))
                self._out.append(Datagram(to, message))

    def _mark(self, name: ids.InstanceId, state: State, now: float) -> None:
        known = self._known.get(name)
        if known is None or _RANK[known.info.state] >= _RANK[state]:
            return
        self._set(known.info._replace(state=state), now)

    def _ask_anyone(self) -> None:
        """Exchange views with anyone, the dead and the seeds included.

        So the sides of a healed partition find each other.
        """
        places = [
            addresses.Address(known.info.host, known.info.port)
            for known in self._known.values()
            if known.info.state is not State.LEFT
        ]
        lost = [
            addresses.Address(known.info.host, known.info.port)
            for known in self._known.values()
            if known.info.state is State.DEAD
        ]
        places += self._seeds
        chosen = {self._rng.choice(places)} if places else set()
        if lost:
            chosen.add(self._rng.choice(lost))
        if self._seeds and not self._known:
            chosen.update(self._seeds)
        for address in chosen:
            self._send(address, Kind.PING, 0, ids.InstanceId(""))

    def _merge(self, info: Info, now: float) -> None:
        if info.name == self.me.name:
            self._refute(info)
            return
        known = self._known.get(info.name)
        if known is None:
            self._set(info, now)
            return
        mine = (known.info.incarnation, _RANK[known.info.state])
        theirs = (info.incarnation, _RANK[info.state])
        if theirs > mine:
            self._set(info, now)

    def _refute(self, info: Info) -> None:
        is_mine = info.boot == self.me.boot
        if info.incarnation < self.me.incarnation:
            return
        if is_mine and info.state is self.me.state:
            return
        self.me = self.me._replace(incarnation=info.incarnation + 1)
        self.revision += 1

    def _set(self, info: Info, now: float) -> None:
        self._known[info.name] = _Known(info=info, since=now)
        self.revision += 1

    def _news(self) -> tuple[Info, ...]:
        fresh = [k for k in self._known.values() if k.repeats > 0]
        fresh.sort(key=lambda known: -known.repeats)
        picked = fresh[:NEWS_PER_DATAGRAM]
        for known in picked:
            known.repeats -= 1
        return tuple(known.info for known in picked)

    def _send_all(self, to: addresses.Address) -> None:
        infos = [known.info for known in self._known.values()]
        for start in range(0, len(infos), SYNC_PER_DATAGRAM):
            part = tuple(infos[start : start + SYNC_PER_DATAGRAM])
            message = self._gossip(Kind.SYNC, 0, ids.InstanceId(""), part)
            self._out.append(Datagram(to, message))
        if not infos:
            message = self._gossip(Kind.SYNC, 0, ids.InstanceId(""), ())
            self._out.append(Datagram(to, message))

    def _send(
        self,
        to: addresses.Address,
        kind: Kind,
        sequence: int,
        target: ids.InstanceId,
    ) -> None:
        message = self._gossip(kind, sequence, target, self._news())
        self._out.append(Datagram(to, message))

    def _gossip(
        self,
        kind: Kind,
        sequence: int,
        target: ids.InstanceId,
        updates: tuple[Info, ...],
    ) -> messages.Gossip:
        return messages.Gossip(
            kind, sequence, target, self.me, self.digest(), updates
        )

    def _take(self) -> list[Datagram]:
        out, self._out = self._out, []
        return out


def _is_probed(info: Info) -> bool:
    return info.state in (State.ALIVE, State.SUSPECT)
