"""Entry hosts that drain while connections arrive, in virtual time."""

import json

from chervilwheel import addresses
from chervilwheel import connbudget
from chervilwheel import guard
from chervilwheel.control import entrydrain
from chervilwheel.http import server
from loadtool import hostworld
from tests import adapter
from tests import test_fencedstandby
from tests import test_hosts

clientapi = adapter.load("clientapi")
wireconfig = adapter.load("wireconfig")

LIMITS = guard.Limits(header_bytes=16_384, body_bytes=1_048_576)
FRONT = addresses.Address("10.1.0.1", 80)
# An entry host that gets connections all the time ends this long after it was
# asked to.
ENDS_S = 6.0 - entrydrain.SHUTDOWN_RESERVE_S
# Time in which a task is started and its end answered, with the last answers.
START_S = 0.1 + 0.2
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "pathPrefix": "/q/",
            "timeoutMs": 30000,
            "targetLatencyMs": 20000,
            "priority": 0,
            "service": "service",
            "maxAttempts": 3,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "service", "maxConnections": 64}],
    "limits": {},
}


class Connection:
    """A client's connection, which carries one request.

    :ivar answer: what the server has sent
    :ivar is_closed: whether the server has closed it
    """

    unsent_bytes = 0

    def __init__(self, heap):
        self.answer = b""
        self.is_closed = False
        self.sent_at = heap.clock.now()
        self.on_data = self.on_closed = self.on_sent = None

    def resume_reading(self):
        """Reading is never paused."""

    @property
    def status(self):
        """Status of the whole response, 0 without one."""
        return int(self.answer.split()[1]) if self.answer else 0

    def send(self, data):
        """Receive what the server sends."""
        self.answer += data

    def close(self):
        """Record that the server has closed the connection."""
        self.is_closed = True


class Front:
    """A host's HTTP server for callers, on connections in memory."""

    def __init__(self, world, host):
        node = world.nodes[host]
        self.is_listening = True
        self._heap = world.heap
        self._network = world.network
        self._host = host
        self._api = clientapi.ClientApi(entry=world.entries[host])
        self.server = server.HttpServer(
            loop=self,
            heap=node.heap,
            limits=LIMITS,
            timeouts=server.Timeouts(),
            handler=self._api.handle,
            budget=connbudget.ConnectionBudget(
                limits=connbudget.Limits(bytes=2**24, connections=1_000)
            ),
        )
        self.server.listen(FRONT)
        self.drain = entrydrain.EntryDrain(
            node=node, entry=world.entries[host], front=self.server
        )

    def listen(self, _address, acceptor, *, is_for_clients):
        """Accept connections."""
        assert is_for_clients
        self._acceptor = acceptor
        return self

    def add_client_cost(self, _size):
        """Each request has a turn of its own."""

    def stop_listening(self, _listener):
        """Refuse connections."""
        self.is_listening = False

    def request(self, data):
        """Send a request; return its connection, None if it is refused."""
        is_running = self._host in self._network.running
        if not (is_running and self.is_listening):
            return None
        conn = Connection(self._heap)
        self._acceptor(conn)
        conn.on_data(data)
        return conn


class EntryDrainTest(test_hosts.HostsTest):
    """A planned stop leaves no request without an answer."""

    def setUp(self):
        super().setUp()
        self.executors = test_fencedstandby.Executors()
        self.sent = 0

    def start(self, *, entries):
        """Start hosts of one zone; return them and their servers."""
        world = hostworld.World(
            controls=3,
            entries=entries,
            zones=("north",),
            decoder=wireconfig.ConfigDecoder(),
            make_port=lambda heap: test_fencedstandby.FencingPort(
                heap, shared=self.executors
            ),
        )
        self.addCleanup(world.close)
        for host, port in world.ports.items():
            port.host = host
        world.run(3.0)
        data = json.dumps(CONFIG).encode()
        self.assertTrue(world.put_data(data, wait_s=1.0))
        control = next(iter(world.controls.values()))
        for number in range(30):
            control.report(test_hosts.report(f"north-{number}"))
        world.run(2.0)
        return world, [Front(world, host) for host in world.entries]

    def send(self, front, *, work_ms):
        """Send a new job; return its connection, None if it is refused."""
        self.sent += 1
        return self.post(front, self.sent, work_ms=work_ms)

    def post(self, front, number, *, work_ms):
        """Send a job; return its connection, None if it is refused."""
        step = {
            "count": 1,
            "cpu": 8_000,
            "memMb": 64,
            "estimatedMs": work_ms,
        }
        body = json.dumps({"spec": "", "bestEffort": True, "steps": [step]})
        head = (
            f"POST /q/{number:016x} HTTP/1.1\r\nHost: a.example\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return front.request((head + body).encode())

    def test_a_zone_that_is_rolled_leaves_no_request_without_an_answer(self):
        self.executors.task_s = 0.9
        world, fronts = self.start(entries=4)
        conns = []
        begun_at = {}
        for tick in range(120):
            if tick % 10 == 0 and tick < 40:
                begun_at[fronts[tick // 10]] = world.clock.now()
                fronts[tick // 10].drain.begin()
            # The platform goes on to send connections to all of them.
            conns.extend(
                (front, self.send(front, work_ms=900)) for front in fronts
            )
            world.run(0.1)
        self.assertEqual(
            [], [h for h in world.entries if h in world.network.running]
        )
        for front, conn in conns:
            if conn is None:
                continue
            left_s = begun_at[front] + ENDS_S - conn.sent_at
            is_in_time = left_s > 0.9 + START_S
            self.assertIn(conn.status, (200,) if is_in_time else (200, 503))

    def test_a_job_that_would_outlast_the_drain_is_refused_at_once(self):
        self.executors.task_s = 3.6
        world, (front, *_) = self.start(entries=2)
        front.drain.begin()
        world.run(1.0)
        early = self.send(front, work_ms=3_600)
        world.run(2.0)
        late = self.send(front, work_ms=3_600)
        self.assertEqual(503, late.status)
        self.assertIn(b"Retry-After", late.answer)
        self.assertIn(b"Connection: close", late.answer)
        world.run(2.5)
        self.assertEqual(200, early.status)

    def test_a_job_that_lasts_longer_than_estimated_goes_on_elsewhere(self):
        self.executors.task_s = 4.0
        world, (front, other) = self.start(entries=2)
        front.drain.begin()
        world.run(2.0)
        conn = self.send(front, work_ms=1_000)
        while front._host in world.network.running:
            world.run(0.05)
        self.assertEqual(502, conn.status)
        again = self.post(other, self.sent, work_ms=1_000)
        world.run(3.0)
        self.assertEqual(200, again.status)
        (starts,) = self.executors.starts.values()
        self.assertEqual(1, len(starts))

    def test_a_job_that_was_never_offered_is_refused_at_the_end(self):
        world, (front, *_) = self.start(entries=1)
        for host in world.controls:
            world.stop(host)
        world.run(0.3)
        front.drain.begin()
        world.run(1.0)
        conn = self.send(front, work_ms=200)
        world.run(6.0)
        self.assertEqual(503, conn.status)
