"""Control hosts and entry hosts over an in-memory network in virtual time.

The hosts, their links and the messages are the real ones; streams, disks and
clocks are simulated.
"""

import collections
import contextlib
import logging
import pathlib
import shutil
import tempfile
import time
import types
import typing

from chervilwheel import addresses
from chervilwheel import clock
from chervilwheel import ids
from chervilwheel import metrics
from chervilwheel import peers
from chervilwheel import timers
from chervilwheel.control import controlhost
from chervilwheel.control import documents
from chervilwheel.control import entryhost
from chervilwheel.control import nodesettings
from chervilwheel.control import runtime
from chervilwheel.workers import ports

PEER_PORT = 7720
CONTROL_PORT = 8166
LATENCY_S = 0.001
ZONES = ("north", "south")


class SilentPort(ports.ExecutorPort):
    """Executors that answer nothing.

    :ivar polled: the executors whose lists were requested
    :ivar highest_token: the highest fencing token that was used
    """

    def __init__(self):
        self.polled = set()
        self.highest_token = 0

    def start(self, order, done):
        """Drop the order."""

    def stop(self, order, done):
        """Drop the order."""

    def hold(self, order, done):
        """Drop the order."""
        self.polled.add(order.executor)
        self.highest_token = max(self.highest_token, order.token)


class EmptyDecoder(documents.Decoder):
    """Decodes any bytes to a document without queues."""

    def decode(self, data):
        """Return a document whose version is the number in the bytes."""
        return documents.Document(int(data), (), (), documents.Bounds(), data)


class Stream:
    """One end of an in-memory connection."""

    def __init__(self, network, host):
        self.is_open = False
        self.is_closed = False
        self.on_open = self.on_data = self.on_closed = None
        self.unsent_bytes = 0
        self.other = None
        self._network = network
        self.host = self._host = host
        self._life = network.lives[host]

    def send(self, data):
        """Send data to the other end."""
        other = self.other
        if other is None or self._network.is_cut(self._host, other.host):
            return
        self._network.later(
            self._host,
            lambda: other.receive(data),
            extra_s=self._network.transmission_s(other.host, len(data)),
        )

    def receive(self, data):
        """Pass received data to the owner.

        A host that has restarted resets the connections of its former life.
        """
        if self._is_running():
            if not self.is_closed:
                self._network.run_on(self._host, lambda: self._read(data))
        elif self._host in self._network.running and self.other is not None:
            self._network.later(self._host, self.other.abort)

    def _read(self, data):
        if not self.is_closed:
            self.on_data(data)

    def _is_running(self):
        return self._network.is_running(self._host, self._life)

    def close(self):
        """Close this end; the other end is told later."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.other is not None and not self._network.is_cut(
            self._host, self.other.host
        ):
            self._network.later(self._host, self.other.abort)

    def abort(self):
        """Close and call ``on_closed``."""
        self._network.run_on(self._host, self._abort)

    def _abort(self):
        if not self.is_closed and self._is_running():
            self.close()
            if self.on_closed is not None:
                self.on_closed()


class Network:
    """Connects the streams of the hosts that run.

    :ivar lives: number of stops of each host
    :ivar cpu_s: processor time used by each host's callbacks, seconds
    :ivar cuts: pairs of hosts between which data is lost
    :ivar paused_until: when hosts that are suspended go on, seconds
    :ivar latency_s: time that a message takes, seconds
    :ivar link_rates: capacity of hosts' incoming links, bytes/s; others are
        unlimited
    """

    def __init__(self, heap):
        self.heap = heap
        self.acceptors = {}
        self.running = set()
        self.lives = collections.Counter()
        self.connects = 0
        self.cpu_s = collections.defaultdict(float)
        self.cuts = set()
        self.paused_until = {}
        self.link_rates = {}
        self.latency_s = LATENCY_S
        self._link_free_at = collections.defaultdict(float)

    def is_running(self, host, life):
        """Return whether a host runs and wasn't restarted."""
        return host in self.running and self.lives[host] == life

    def transmission_s(self, host, size):
        """Occupy a host's incoming link; return when it is received.

        :returns: seconds from now
        """
        rate = self.link_rates.get(host)
        if rate is None:
            return 0.0
        now = self.heap.clock.now()
        free_at = max(now, self._link_free_at[host]) + size / rate
        self._link_free_at[host] = free_at
        return free_at - now

    def is_cut(self, host, other):
        """Return whether data between two hosts is lost."""
        return frozenset((host, other)) in self.cuts

    def pause_s(self, host):
        """Return for how long a host is still suspended, seconds."""
        return max(0.0, self.paused_until.get(host, 0.0) - self.now())

    def now(self):
        """Return the time, seconds."""
        return self.heap.clock.now()

    def run_on(self, host, callback):
        """Run a callback of a host and charge it for the time.

        That of a suspended host runs when the host goes on.
        """
        pause_s = self.pause_s(host)
        if pause_s:
            self.heap.call_later(pause_s, lambda: self.run_on(host, callback))
            return
        began_s = time.process_time()
        callback()
        self.cpu_s[host] += time.process_time() - began_s

    def later(self, host, callback, *, extra_s=0.0):
        """Run a callback after the latency unless the host has stopped.

        What a suspended host sends leaves when it goes on.

        :param extra_s: delay beyond the latency, seconds
        """
        if host in self.running:
            delay_s = self.pause_s(host) + self.latency_s + extra_s
            self.heap.call_later(delay_s, callback)

    def connect(self, host, address):
        """Connect to an address; silent if its host has stopped."""
        self.connects += 1
        near, far = Stream(self, host), Stream(self, address.host)
        near.other, far.other = far, near
        self.later(host, lambda: self._establish(near, far, address))
        return near

    def _establish(self, near, far, address):
        if address.host not in self.running:
            return
        if self.is_cut(near.host, address.host):
            return
        if not near.is_closed:
            near.is_open = far.is_open = True
            accept = self.acceptors[address.host]
            self.run_on(address.host, lambda: accept(far))
            if near.on_open is not None:
                self.run_on(near.host, near.on_open)


class Loop:
    """The stream loop of one host."""

    def __init__(self, network, host):
        self._network = network
        self._host = host

    def connect(self, address):
        """Start to connect."""
        return self._network.connect(self._host, address)

    def listen(self, address, acceptor):
        """Accept connections."""
        self._network.acceptors[self._host] = acceptor


class HostHeap:
    """The timers of one host, which stop when the host does."""

    def __init__(self, network, host):
        self.clock = network.heap.clock
        self.host = self._host = host
        self._network = network
        self._life = network.lives[host]

    def call_at(self, when, callback):
        """Run a callback at a time in seconds."""
        return self._network.heap.call_at(when, self._guard(callback))

    def call_later(self, seconds, callback):
        """Run a callback after a number of seconds."""
        return self.call_at(self.clock.now() + seconds, callback)

    def call_every(self, seconds, callback):
        """Run a callback periodically."""

        def run():
            self.call_later(seconds, run)
            callback()

        self.call_later(seconds, run)

    def _guard(self, callback):
        def run():
            if self._network.is_running(self._host, self._life):
                self._network.run_on(self._host, callback)

        return run


class World:
    """Hosts of two zones that run in virtual time.

    :param controls: number of control hosts
    :param entries: number of entry hosts
    :param make_port: makes a host's port to the executors from its timers
    :param decoder: parses documents
    :param zones: names of the zones
    :param evacuation_s: time in which an evacuation has effect, seconds
    """

    def __init__(
        self,
        *,
        controls: int,
        entries: int,
        make_port: typing.Callable[[typing.Any], ports.ExecutorPort] = (
            lambda _heap: SilentPort()
        ),
        decoder: documents.Decoder | None = None,
        zones: tuple[str, ...] = ZONES,
        evacuation_s: float = 0.0,
    ) -> None:
        decoder = decoder or EmptyDecoder()
        self._decoder = decoder
        self._make_port = make_port
        self._zones = zones
        self._evacuation_s = evacuation_s
        self._stack = contextlib.ExitStack()
        self._folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.clock = clock.ManualClock()
        self.heap = timers.TimerHeap(clk=self.clock, on_error=self._fail)
        self.network = Network(self.heap)
        self.errors = []
        self.nodes = {}
        self.ports = {}
        self.controls = {}
        self.entries = {}
        self._zone_of = {}
        self._seeds = [f"10.0.0.{n + 1}" for n in range(controls)]
        for host in self._seeds:
            self._start_control(host)
        for number in range(entries):
            host = f"10.1.0.{number + 1}"
            node = self._node(host, "entry", self._seeds)
            self.ports[host] = make_port(node.heap)
            self.entries[host] = entryhost.EntryHost(
                node=node, decoder=decoder, port=self.ports[host]
            )

    def _start_control(self, host, *, is_founding=True):
        node = self._node(host, "control", self._seeds)
        node.cfg = node.cfg._replace(is_founding=is_founding)
        self.ports[host] = self._make_port(node.heap)
        self.controls[host] = controlhost.ControlHost(
            node=node, decoder=self._decoder, port=self.ports[host]
        )

    def restart(self, host, *, is_wiped=False):
        """Start a control host that was stopped, with its disk.

        :param is_wiped: whether the disk has lost its data
        """
        if is_wiped:
            shutil.rmtree(self._folder / host)
        self._start_control(host, is_founding=not is_wiped)

    def close(self):
        """Remove the data of all hosts."""
        logging.disable(logging.NOTSET)
        self._stack.close()

    def _fail(self, exc):
        self.errors.append(exc)

    def _node(self, host, role, seeds):
        folder = self._folder / host
        zone = self._zone_of.setdefault(
            host, self._zones[len(self._zone_of) % len(self._zones)]
        )
        cfg = nodesettings.NodeSettings(
            name=host,
            role=role,
            host=host,
            zone=ids.ZoneId(zone),
            zones=self._zones,
            listen={},
            seeds=tuple(
                addresses.Address(seed, CONTROL_PORT) for seed in seeds
            ),
            peer_port=PEER_PORT,
            is_founding=True,
            data_folder=str(folder) if role == "control" else "",
            disk_losses=1,
            drain_s=6.0,
            max_lease_s=1.0,
            stop_s=0.05,
            heartbeat_s=1.5,
            metrics_port=0,
            evacuation_s=self._evacuation_s,
        )
        self.network.running.add(host)
        heap = HostHeap(self.network, host)
        loop = Loop(self.network, host)
        links = peers.Peers(
            name=cfg.id,
            key=runtime.cluster_key(cfg),
            loop=loop,
            heap=heap,
            is_cut=lambda _peer, _direction: False,
            heartbeat_s=runtime.PEER_HEARTBEAT_S,
            receive_timeout_s=runtime.PEER_SILENCE_S,
        )
        links.listen(addresses.Address(host, PEER_PORT))

        def add_host(other):
            if other != host:
                links.set_address(
                    ids.InstanceId(other),
                    addresses.Address(other, PEER_PORT),
                )
            return ids.InstanceId(other)

        node = types.SimpleNamespace(
            cfg=cfg,
            heap=heap,
            links=links,
            metrics=metrics.Registry(),
            add_host=add_host,
            stop=lambda: self.stop(host),
        )
        self.nodes[host] = node
        return node

    def stop(self, host):
        """Stop a host as a loss of power does."""
        self.network.running.discard(host)
        self.network.lives[host] += 1

    def run(self, seconds):
        """Advance the time and run what is due."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            wait_s = self.heap.run_due()
            if self.errors:
                raise self.errors[0]
            left_s = end - self.clock.now()
            self.clock.advance(min(wait_s or left_s, left_s) + 1e-6)

    def hosts_of(self, zone):
        """List the hosts of a zone."""
        return [
            host for host, node in self.nodes.items() if node.cfg.zone == zone
        ]

    def cut_off(self, host, others):
        """Lose all data between a host and others from now on."""
        self.network.cuts.update(frozenset((host, each)) for each in others)

    def holder(self):
        """Return the host that is the holder, None without one."""
        hosts = {**self.controls, **self.entries}
        for name, host in hosts.items():
            role = getattr(host, "holder_role", None)
            is_running = name in self.network.running
            if role is not None and role.is_active and is_running:
                return name
        return None

    def put_document(self, version):
        """Store a document at a control host."""
        return self.put_data(b"%d" % version, wait_s=1.0)

    def put_data(self, data, *, wait_s):
        """Store a document at a control host that isn't the holder.

        :param wait_s: time to wait for its acknowledgement, seconds
        :returns: whether it was acknowledged
        """
        results = []
        holder = self.holder()
        control = next(
            control
            for name, control in self.controls.items()
            if name != holder
        )
        control.put(data, results.append)
        self.run(wait_s)
        return results == [True]

    def bytes_sent(self, kind):
        """Sum the bytes of one kind of message sent by all hosts."""
        return sum(
            node.links.bytes_by_kind[kind] for node in self.nodes.values()
        )

    def messages_sent(self, kind):
        """Count the messages of one kind sent by all hosts."""
        return sum(
            node.links.sent_by_kind[kind] for node in self.nodes.values()
        )

    def messages(self, host):
        """Count the messages that a host has sent and received."""
        links = self.nodes[host].links
        return sum(links.sent_by_kind.values()) + sum(
            links.received_by_kind.values()
        )
