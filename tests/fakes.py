"""In-memory disk and network, and replicas on a simulated clock."""

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
    """An in-memory disk that loses unsynced data in a crash.

    :param rng: chooses how many unsynced bytes survive a crash
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
            raise errors.StorageError(f"{path}: no such file")
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
        """Drop unsynced bytes, but for a random prefix.

        The last byte of that prefix may be corrupted, as by a torn write.
        """
        for path, content in list(self.files.items()):
            kept = self.durable.get(path, b"")
            unsynced = bytes(content[len(kept) :])
            surviving = unsynced[: self._rng.randint(0, len(unsynced))]
            if surviving and self._rng.random() < 0.3:
                surviving = surviving[:-1] + bytes([surviving[-1] ^ 0x55])
            self.files[path] = bytearray(kept + surviving)
            if not self.files[path] and path not in self.durable:
                del self.files[path]
            else:
                self.durable[path] = bytes(self.files[path])

    def wipe(self):
        """Delete all files, synced or not."""
        self.files = {}
        self.durable = {}


class Network:
    """Simulated network with loss, delay, duplicates and partitions.

    Random delays also reorder messages.

    :param rng: random generator of all network faults
    """

    def __init__(self, *, rng):
        self.rng = rng
        self.loss = 0.0
        self.duplicate = 0.0
        self.max_delay_s = 0.02
        self.cuts = set()
        self._in_flight = []
        self._sequence = itertools.count()

    def send(self, source, target, message, now):
        """Schedule the delivery of a message, or lose or duplicate it."""
        copies = 1
        if self.rng.random() < self.loss:
            copies = 0
        elif self.rng.random() < self.duplicate:
            copies = 2
        for _ in range(copies):
            at = now + self.rng.uniform(0.0005, self.max_delay_s)
            item = (at, next(self._sequence), source, target, message)
            heapq.heappush(self._in_flight, item)

    def due(self, now):
        """Return the messages due for delivery, without those on cut links."""
        arrived = []
        while self._in_flight and self._in_flight[0][0] <= now:
            _, _, source, target, message = heapq.heappop(self._in_flight)
            if (source, target) not in self.cuts:
                arrived.append((source, target, message))
        return arrived

    def isolate(self, name, others, *, direction="both"):
        """Partition a node from others, in one or both directions."""
        for other in others:
            if direction in ("both", "in"):
                self.cuts.add((other, name))
            if direction in ("both", "out"):
                self.cuts.add((name, other))


class Node:
    """One replica with its disk, state machine and group host.

    :param name: the replica's name
    :param world: the simulation it belongs to
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
        """Start the replica from the contents of its disk."""
        self.heap = timers.TimerHeap(
            clk=self.world.clock, on_error=self._on_error
        )
        group_journal = journal.Journal(
            store=self.disk,
            folder=pathlib.Path("/d"),
            group="g",
            disk_id=self.disk_id,
        )
        restored = group_journal.open()
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
            group_journal=group_journal,
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
            # The group host is still being constructed: drop the message.
            return
        self.world.send(self, to, message)

    def run(self):
        """Run due timers; a simulated power loss crashes the node."""
        heap = self.heap
        heap.run_due()

    def crash(self):
        """Stop immediately, losing unsynced data."""
        self.host = None
        self.disk.power_loss = 0.0
        self.disk.crash()

    def wipe(self):
        """Replace the disk by an empty one; the node restarts as a learner."""
        self.disk.wipe()
        self.wipes += 1
        self.disk_id = f"fresh-{self.wipes}"


class World:
    """A replica group on one simulated clock.

    :param seed: seed of the simulation's random generator
    :param make_machine: creates the state machine of a node
    :param size: number of initial voters of the group
    :param replica_class: the replica implementation
    :param host_class: the group host implementation
    :param node_class: the node implementation
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

    def send(self, node, to, message):
        """Send a replica's message over the network."""
        self.net.send(node.name, to, message, self.clock.now())

    def step(self, seconds=0.005):
        """Advance the clock, deliver due messages and run due timers."""
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
        """Run the simulation for a number of seconds."""
        for _ in range(int(seconds / step)):
            self.step(step)

    def leader(self):
        """Return the leader with the highest term, None if there is none."""
        leaders = [
            node
            for node in self.nodes.values()
            if node.is_up and node.host.member.is_leader
        ]
        if not leaders:
            return None
        return max(leaders, key=lambda node: node.host.member.term)

    def wait_for_leader(self, limit_s=20.0):
        """Step until the group has a leader.

        :returns: the leader
        :raises AssertionError: if there is none within ``limit_s``
        """
        for _ in range(int(limit_s / 0.005)):
            if self.leader() is not None:
                return self.leader()
            self.step()
        raise AssertionError("no leader elected in time")
