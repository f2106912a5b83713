"""Small fakes of disk, network and clock for the protocol tests."""

import heapq
import itertools
import pathlib
import random

from chervilwheel import clock
from chervilwheel import disk
from chervilwheel import errors
from chervilwheel import grouphost
from chervilwheel import journal
from chervilwheel import replica
from chervilwheel import timers


class PowerLossError(Exception):
    """The node lost power in the middle of a synced write."""


class FakeDisk(disk.Disk):
    """A disk in memory that can lose what was not synced.

    :param rng: decides how much of the unsynced bytes survives a crash
    """

    def __init__(self, *, rng):
        self._rng = rng
        self.files = {}
        self.durable = {}
        self.fails_sync = False
        self.is_full = False
        self.power_loss = 0.0
        self.syncs = 0

    def names(self, folder):
        return sorted(
            path.name for path in self.files if path.parent == folder
        )

    def read(self, path):
        if path not in self.files:
            raise errors.StorageError(f"{path}: not there")
        return bytes(self.files[path])

    def append(self, path, data):
        if self.is_full:
            raise errors.StorageError(f"{path}: no space left")
        self.files.setdefault(path, bytearray()).extend(data)

    def sync(self, path):
        if self.fails_sync:
            raise errors.StorageError(f"{path}: input/output error")
        if self._rng.random() < self.power_loss:
            raise PowerLossError
        self.syncs += 1
        self.durable[path] = bytes(self.files[path])

    def replace(self, path, data):
        if self.is_full or self.fails_sync:
            raise errors.StorageError(f"{path}: no space left")
        self.files[path] = bytearray(data)
        self.durable[path] = bytes(data)

    def truncate(self, path, size):
        del self.files[path][size:]
        self.durable[path] = bytes(self.files[path])

    def remove(self, path):
        self.files.pop(path, None)
        self.durable.pop(path, None)

    def close(self):
        pass

    def crash(self):
        """Lose unsynced bytes, but for a random torn part of them."""
        for path, content in list(self.files.items()):
            kept = self.durable.get(path, b"")
            extra = bytes(content[len(kept) :])
            part = extra[: self._rng.randint(0, len(extra))]
            if part and self._rng.random() < 0.3:
                part = part[:-1] + bytes([part[-1] ^ 0x55])
            self.files[path] = bytearray(kept + part)
            if not self.files[path] and path not in self.durable:
                del self.files[path]
            else:
                self.durable[path] = bytes(self.files[path])

    def wipe(self):
        """Lose everything."""
        self.files = {}
        self.durable = {}


class Network:
    """Messages in flight, with loss, delay, reordering and cuts.

    :param rng: the source of chance
    """

    def __init__(self, *, rng):
        self.rng = rng
        self.loss = 0.0
        self.duplicate = 0.0
        self.most_delay_s = 0.02
        self.cuts = set()
        self._flying = []
        self._order = itertools.count()

    def send(self, source, target, message, now):
        """Put a message on its way."""
        copies = 1
        if self.rng.random() < self.loss:
            copies = 0
        elif self.rng.random() < self.duplicate:
            copies = 2
        for _ in range(copies):
            at = now + self.rng.uniform(0.0005, self.most_delay_s)
            item = (at, next(self._order), source, target, message)
            heapq.heappush(self._flying, item)

    def due(self, now):
        """Take the messages that arrive, but for those that are cut."""
        arrived = []
        while self._flying and self._flying[0][0] <= now:
            _, _, source, target, message = heapq.heappop(self._flying)
            if (source, target) not in self.cuts:
                arrived.append((source, target, message))
        return arrived

    def isolate(self, name, others, *, direction="both"):
        """Cut a node off, one way or both."""
        for other in others:
            if direction in ("both", "in"):
                self.cuts.add((other, name))
            if direction in ("both", "out"):
                self.cuts.add((name, other))


class Node:
    """One replica with its disk, machine and host.

    :param name: its name
    :param world: the world it lives in
    """

    def __init__(self, *, name, world):
        self.name = name
        self.world = world
        self.disk = FakeDisk(rng=world.rng)
        self.disk_id = "founding"
        self.wipes = 0
        self.host = None
        self.machine = None
        self.heap = None

    @property
    def is_up(self):
        return self.host is not None

    def start(self):
        """Start from what the disk holds."""
        self.heap = timers.TimerHeap(
            clk=self.world.clock, on_error=self._on_error
        )
        book = journal.Journal(
            store=self.disk,
            folder=pathlib.Path("/d"),
            group="g",
            disk_id=self.disk_id,
        )
        restored = book.open()
        if self.disk_id == "founding" and not restored.snapshot.index:
            voters = tuple(
                replica.Member(name, "founding")
                for name in self.world.founders
            )
            first = replica.Snapshot(0, 0, replica.GroupConfig(voters), b"")
            restored = restored._replace(snapshot=first)
        self.machine = self.world.make_machine()
        member = self.world.replica_class(
            group="g",
            me=replica.Member(self.name, self.disk_id),
            restored=restored,
            peers=list(self.world.nodes),
            rng=random.Random(self.world.rng.random()),
            now=self.world.clock.now(),
            timing=replica.Timing(),
        )
        self.host = self.world.host_class(
            group="g",
            member=member,
            book=book,
            machine=self.machine,
            heap=self.heap,
            send=self._send,
        )

    def _on_error(self, exc):
        if isinstance(exc, PowerLossError):
            self.crash()
        else:
            self.world.errors.append(exc)

    def _send(self, to, message):
        if self.host is None:
            # Still opening: the driver of the world sends nothing yet.
            return
        self.world.sent(self, to, message)

    def run(self):
        """Run what is due; a crash on the way ends it."""
        heap = self.heap
        heap.run_due()

    def crash(self):
        """Stop at once, losing what was not synced."""
        self.host = None
        self.disk.power_loss = 0.0
        self.disk.crash()

    def wipe(self):
        """Lose the disk; the node starts anew as a learner."""
        self.disk.wipe()
        self.wipes += 1
        self.disk_id = f"fresh-{self.wipes}"


class World:
    """A few nodes on one paused clock.

    :param seed: seed of all chance
    :param make_machine: makes the state machine of a node
    :param size: how many nodes found the group
    """

    def __init__(
        self,
        *,
        seed,
        make_machine,
        size=3,
        replica_class=replica.Replica,
        host_class=grouphost.GroupHost,
        node_class=Node,
    ):
        self.rng = random.Random(seed)
        self.clock = clock.ManualClock()
        self.net = Network(rng=self.rng)
        self.make_machine = make_machine
        self.replica_class = replica_class
        self.host_class = host_class
        self.founders = [f"n{number}" for number in range(size)]
        self.nodes = {}
        self.errors = []
        for name in self.founders:
            self.nodes[name] = node_class(name=name, world=self)
        for node in self.nodes.values():
            node.start()
        self.observers = []

    def sent(self, node, to, message):
        """Carry a replica's message."""
        self.net.send(node.name, to, message, self.clock.now())

    def step(self, seconds=0.005):
        """Advance the clock and deliver what is due."""
        self.clock.advance(seconds)
        now = self.clock.now()
        for _, target, message in self.net.due(now):
            node = self.nodes[target]
            if node.is_up:
                node.host.receive(message)
        for node in self.nodes.values():
            if node.is_up:
                node.run()
        for observe in self.observers:
            observe()
        if self.errors:
            raise self.errors[0]

    def run(self, seconds, step=0.005):
        """Step for a time."""
        for _ in range(int(seconds / step)):
            self.step(step)

    def leader(self):
        """Return the leader of the highest term, None if there is none."""
        leaders = [
            node
            for node in self.nodes.values()
            if node.is_up and node.host.member.is_leader
        ]
        if not leaders:
            return None
        return max(leaders, key=lambda node: node.host.member.term)

    def wait_for_leader(self, limit_s=20.0):
        """Step until someone leads."""
        for _ in range(int(limit_s / 0.005)):
            if self.leader() is not None:
                return self.leader()
            self.step()
        raise AssertionError("no leader")
