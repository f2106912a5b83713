"""The HTTP server and client on the stream loop, over real sockets."""

import contextlib
import gc
import os
import resource
import select
import socket
import threading
import time
import weakref

import circuits
import testtools

from chervilwheel import addresses
from chervilwheel import clock
from chervilwheel import connbudget
from chervilwheel import guard
from chervilwheel import streams
from chervilwheel import timers
from chervilwheel.http import client
from chervilwheel.http import connection
from chervilwheel.http import server as http_server

HOST = "127.0.0.1"
DEADLINE_S = 10.0


class _App(circuits.BaseComponent):
    """An event loop with timers and streams."""

    def __init__(self, *, clk=None):
        super().__init__()
        self.heap = timers.TimerHeap(clk=clk or clock.SystemClock())
        self.loop = streams.StreamLoop(clk=self.heap.clock).register(self)
        timers.TimerLoop(
            heap=self.heap, polled_at=self.loop.polled_at
        ).register(self)
        # tick() polls only while the component counts as running.
        self._running = True


class HttpTest(testtools.TestCase):
    """Runs the client and the server on one event loop."""

    def setUp(self):
        super().setUp()
        self.app = _App()
        self.addCleanup(self.app.loop.close)
        self.exchanges = []
        self.budget = connbudget.ConnectionBudget(
            limits=connbudget.Limits(bytes=2**20, connections=8)
        )
        self.server = http_server.HttpServer(
            loop=self.app.loop,
            heap=self.app.heap,
            limits=guard.Limits(header_bytes=2048, body_bytes=4096),
            timeouts=http_server.Timeouts(request_s=0.3, idle_s=30.0),
            handler=self.handle,
            budget=self.budget,
        )
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.address = addresses.Address(HOST, probe.getsockname()[1])
        self.server.listen(self.address)
        self.is_response_delayed = False

    def handle(self, exchange):
        self.exchanges.append(exchange)
        if not self.is_response_delayed:
            path = exchange.request.target.encode()
            exchange.respond(
                http_server.Response(200, path + exchange.request.body)
            )

    def tick_until(self, condition):
        deadline = time.monotonic() + DEADLINE_S
        while not condition():
            self.assertLess(
                time.monotonic(), deadline, "condition not met in time"
            )
            self.app.tick(timeout=0.01)

    def send_raw(self, data, *, response_count=1):
        sock = socket.create_connection(self.address)
        self.addCleanup(sock.close)
        sock.sendall(data)
        received = bytearray()
        sock.setblocking(False)

        def is_complete():
            try:
                chunk = sock.recv(65536)
            except BlockingIOError:
                return False
            received.extend(chunk)
            return not chunk or received.count(b"HTTP/1.1") >= response_count

        self.tick_until(is_complete)
        return bytes(received)

    def call(self, data, timeout_s=5.0):
        http = client.HttpClient(
            loop=self.app.loop, heap=self.app.heap, max_per_address=4
        )
        results = []
        http.call(self.address, data, timeout_s, results.append)
        self.tick_until(lambda: results)
        return results[0]

    def test_pipelined_requests_get_responses_in_order(self):
        request = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"
        received = self.send_raw(
            request % 1 + request % 2 + request % 3, response_count=3
        )
        self.assertLess(received.index(b"/1"), received.index(b"/2"))
        self.assertLess(received.index(b"/2"), received.index(b"/3"))

    def test_request_received_byte_by_byte_is_assembled(self):
        sock = socket.create_connection(self.address)
        self.addCleanup(sock.close)
        data = b"POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
        for index in range(len(data)):
            sock.sendall(data[index : index + 1])
            self.app.tick(timeout=0.001)
        self.tick_until(lambda: self.exchanges)
        self.assertEqual(b"abc", self.exchanges[0].request.body)

    def test_invalid_requests_are_rejected_and_the_server_keeps_serving(self):
        for data, status in (
            (b"\x00\xff\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"y" * 9000, b"431"),
            (
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n",
                b"413",
            ),
            (
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n",
                b"400",
            ),
            (b"POST / HTTP/1.1\r\nHost: x\r\nContent-", b"408"),
        ):
            self.assertIn(status, self.send_raw(data).split(b"\r\n")[0])
        received = self.send_raw(b"GET /ok HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"200", received)

    def open_and_send(self, data):
        sock = socket.create_connection(self.address)
        self.addCleanup(sock.close)
        sock.sendall(data)
        sock.setblocking(False)
        return sock

    def read_to_end(self, sock):
        """Return all data until the server closes the connection."""
        received = bytearray()

        def has_ended():
            with contextlib.suppress(BlockingIOError):
                chunk = sock.recv(65536)
                received.extend(chunk)
                return not chunk
            return False

        self.tick_until(has_ended)
        return bytes(received)

    def test_a_refused_client_that_goes_on_sending_reads_why(self):
        sock = self.open_and_send(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n"
        )
        sock.send(b"x" * 9_000)
        self.tick_until(lambda: select.select([sock], [], [], 0)[0])
        sock.send(b"x" * 999)
        self.app.tick(timeout=0.01)
        received = self.read_to_end(sock)
        self.assertIn(b" 413 ", received.split(b"\r\n")[0])
        sock.close()
        self.tick_until(lambda: not len(self.budget))

    def test_a_refused_client_that_stays_is_disconnected(self):
        sock = self.open_and_send(b"not http\r\n\r\n" * 9)
        self.assertIn(b" 400 ", self.read_to_end(sock))
        self.tick_until(lambda: not len(self.budget))

    def test_an_incomplete_request_gives_way_with_a_refusal(self):
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"
        first = self.open_and_send(head)
        self.tick_until(lambda: len(self.budget) == 1)
        others = [self.open_and_send(b"GET") for _ in range(8)]
        received = self.read_to_end(first)
        self.assertIn(b" 503 ", received.split(b"\r\n")[0])
        self.assertIn(b"Retry-After: 1\r\n", received)
        # Without its head nothing is known of a request.
        others.append(self.open_and_send(b"GET"))
        received = self.read_to_end(others[0])
        self.assertIn(b" 408 ", received.split(b"\r\n")[0])

    def test_no_refusal_says_not_run_of_a_request_that_may_run(self):
        seen = []
        self.server.may_refuse = lambda *target: seen.append(target)
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"
        first = self.open_and_send(head)
        self.tick_until(lambda: len(self.budget) == 1)
        others = [self.open_and_send(b"GET") for _ in range(8)]
        self.assertEqual(b"", self.read_to_end(first))
        self.assertEqual([("POST", "/a")], seen)
        self.assertEqual(8, len(others))

    def test_a_request_beyond_those_in_progress_is_refused(self):
        self.is_response_delayed = True
        request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
        socks = [self.open_and_send(request) for _ in range(6)]
        self.tick_until(lambda: len(self.exchanges) == 6)
        last = self.open_and_send(request)
        self.tick_until(lambda: select.select([last], [], [], 0)[0])
        received = last.recv(1_000)
        self.assertIn(b" 503 ", received.split(b"\r\n")[0])
        self.assertNotIn(b"Connection: close", received)
        for exchange in self.exchanges:
            exchange.respond(http_server.Response(200))
        self.is_response_delayed = False
        last.send(request)
        self.tick_until(lambda: select.select([last], [], [], 0)[0])
        self.assertIn(b" 200 ", last.recv(1_000))
        self.assertEqual(6, len(socks))

    def test_little_is_read_behind_a_request_in_progress(self):
        self.is_response_delayed = True
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4096\r\n\r\n"
        request = head + b"x" * 4096
        sock = self.open_and_send(request)
        self.tick_until(lambda: self.exchanges)
        sent = 0
        for _ in range(50):
            with contextlib.suppress(BlockingIOError):
                sent += sock.send(request * 10)
            self.app.tick(timeout=0.001)
        held = self.budget.bytes
        self.assertLess(
            held,
            connbudget.CONNECTION_BYTES
            + streams.CLIENT_READ_BYTES
            + 2 * connection.MAX_PIPELINED_BYTES
            + 3 * 4096,
        )
        self.assertGreater(sent, 2 * held)

    def test_pipelined_requests_continue_after_a_pause(self):
        self.is_response_delayed = True
        head = b"POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 4000\r\n\r\n"
        sock = self.open_and_send(b"")
        sock.setblocking(True)
        for number in range(12):
            sock.sendall(head % number + b"x" * 4000)
        for number in range(40):
            self.tick_until(lambda n=number: len(self.exchanges) > n)
            exchange = self.exchanges[number]
            self.assertEqual(f"/{number}", exchange.request.target)
            exchange.respond(http_server.Response(200))
            sock.sendall(head % (number + 12) + b"x" * 4000)

    def test_responses_wait_for_a_client_that_does_not_read(self):
        body = b"x" * 2_000_000
        self.server.budget = connbudget.ConnectionBudget(
            limits=connbudget.Limits(bytes=2**26, connections=8)
        )

        def handle(exchange):
            self.exchanges.append(exchange)
            exchange.respond(http_server.Response(200, body))

        self.server.handler = handle
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.connect(tuple(self.address))
        sock.sendall(12 * b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        for _ in range(100):
            self.app.tick(timeout=0.001)
        self.assertLess(len(self.exchanges), 12)
        self.assertLess(self.server.budget.bytes, 2 * len(body))
        # It is served on once it reads.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_000_000)
        sock.setblocking(False)
        before = len(self.exchanges)

        def is_served():
            with contextlib.suppress(BlockingIOError):
                sock.recv(2_000_000)
            return len(self.exchanges) > before

        self.tick_until(is_served)

    def test_a_decoded_body_is_dropped(self):
        self.is_response_delayed = True
        request = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4096\r\n\r\n"
        self.open_and_send(request + b"x" * 4096)
        self.tick_until(lambda: self.exchanges)
        held = self.budget.bytes
        self.exchanges[0].release_body(100)
        self.assertEqual(b"", self.exchanges[0].request.body)
        self.assertLess(self.budget.bytes, held - 4096)

    def test_a_closed_connection_is_freed_without_a_collection(self):
        gc.disable()
        self.addCleanup(gc.enable)
        refs = []
        accept = self.server._accept

        def record(stream):
            accept(stream)
            (conn,) = self.server._conns
            refs.extend((weakref.ref(conn), weakref.ref(conn._parser)))

        self.server._accept = record
        self.server.stop_listening()
        self.server.listen(self.address)
        sock = self.open_and_send(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc"
        )
        self.tick_until(lambda: refs)
        self.app.tick(timeout=0.01)
        sock.close()
        self.tick_until(lambda: not len(self.budget))
        self.app.tick(timeout=0.01)
        self.assertEqual([None, None], [ref() for ref in refs])

    def test_a_connection_is_closed_when_descriptors_run_out(self):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        limits = (resource.RLIMIT_NOFILE, (soft, hard))
        self.addCleanup(resource.setrlimit, *limits)
        self.app.loop.on_exhausted = self.budget.free_descriptor
        for _ in range(4):
            self.open_and_send(b"")
        self.tick_until(lambda: len(self.budget) == 4)
        last = self.open_and_send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        free = os.dup(0)
        os.close(free)
        resource.setrlimit(resource.RLIMIT_NOFILE, (free, hard))
        self.tick_until(lambda: select.select([last], [], [], 0)[0])
        resource.setrlimit(*limits)
        self.assertIn(b" 200 ", last.recv(1_000))
        self.assertEqual(1, self.budget.evicted)

    def test_a_client_gives_way_to_an_outgoing_connection(self):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        limits = (resource.RLIMIT_NOFILE, (soft, hard))
        self.addCleanup(resource.setrlimit, *limits)
        self.app.loop.on_exhausted = self.budget.free_descriptor
        for _ in range(4):
            self.open_and_send(b"")
        self.tick_until(lambda: len(self.budget) == 4)
        free = os.dup(0)
        os.close(free)
        resource.setrlimit(resource.RLIMIT_NOFILE, (free, hard))
        stream = self.app.loop.connect(self.address)
        resource.setrlimit(*limits)
        self.addCleanup(stream.close)
        self.assertEqual(1, self.budget.evicted)

    def test_clients_never_keep_the_loop_for_long(self):
        turns = []
        read = []
        for _ in range(6):
            sock = self.open_and_send(b"")
            sock.setblocking(True)
            threading.Thread(
                target=sock.sendall, args=(b"x" * 2_000_000,), daemon=True
            ).start()
        self.tick_until(lambda: len(self.app.loop._streams) == 6)
        for stream in self.app.loop._streams.values():
            stream.on_data = lambda data: read.append(len(data))
        for _ in range(100):
            before = sum(read)
            self.app.tick(timeout=0.01)
            turns.append(sum(read) - before)
        most = streams.CLIENT_TURN_BYTES + streams.CLIENT_READ_BYTES
        self.assertLess(max(turns), most)
        self.assertGreater(sum(read), most)

    def test_new_limits_apply_from_the_next_request_on(self):
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n"
        sock = self.open_and_send(head)
        self.tick_until(lambda: len(self.budget) == 1)
        self.app.tick(timeout=0.01)
        self.server.limits = guard.Limits(header_bytes=2048, body_bytes=50)
        sock.send(b"x" * 100)
        self.tick_until(lambda: select.select([sock], [], [], 0)[0])
        self.assertIn(b" 200 ", sock.recv(1_000))
        sock.send(head)
        self.tick_until(lambda: select.select([sock], [], [], 0)[0])
        self.assertIn(b" 413 ", sock.recv(1_000))

    def test_client_disconnect_is_reported(self):
        self.is_response_delayed = True
        sock = socket.create_connection(self.address)
        sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.tick_until(lambda: self.exchanges)
        disconnects = []
        self.exchanges[0].on_disconnect = lambda: disconnects.append(1)
        sock.close()
        self.tick_until(lambda: disconnects)
        self.exchanges[0].respond(http_server.Response(200))

    def test_a_client_that_has_gone_is_noticed_after_one_turn(self):
        # A host that was paused reads the request and the end of its
        # connection together. Orders wait for one turn to know of both.
        self.is_response_delayed = True
        found = []

        def handle(exchange):
            self.assertFalse(exchange.has_responded)
            self.app.heap.call_later(
                0.0, lambda: found.append(exchange.has_responded)
            )

        self.handle = handle
        self.server.handler = handle
        sock = socket.create_connection(self.address)
        sock.sendall(b"POST / HTTP/1.1\r\nHost: x\r\n\r\n")
        sock.close()
        self.tick_until(lambda: found)
        self.assertEqual([True], found)

    def test_handler_exception_returns_500(self):
        self.handle = None
        self.server.handler = lambda exchange: 1 / 0
        received = self.send_raw(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"500", received)

    def test_closing_server_closes_the_connection_after_its_response(self):
        self.is_response_delayed = True
        sock = socket.create_connection(self.address)
        self.addCleanup(sock.close)
        sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.tick_until(lambda: self.exchanges)
        self.server.close_idle()
        self.assertEqual(1, self.server.busy)
        self.exchanges[0].respond(http_server.Response(200, b"late"))
        received = sock.recv(65536)
        self.assertIn(b"Connection: close", received)
        self.assertEqual(0, self.server.busy)

    def test_closing_server_answers_the_pipelined_requests_that_it_has(self):
        # The client may not know whether those without an answer have run.
        self.is_response_delayed = True
        request = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"
        sock = socket.create_connection(self.address)
        self.addCleanup(sock.close)
        sock.sendall(request % 1 + request % 2)
        self.tick_until(lambda: self.exchanges)
        self.server.close_idle()
        # While it waits for the first answer, one more arrives.
        sock.sendall(request % 3 + b"GET /4 HTTP/1.1\r\n")
        for _ in range(10):
            self.app.tick(timeout=0.01)
        for number in (1, 2, 3):
            self.tick_until(lambda n=number: len(self.exchanges) == n)
            self.assertEqual(1, self.server.busy)
            body = b"answer %d" % number
            self.exchanges[-1].respond(http_server.Response(200, body))
            self.server.close_idle()
        received = sock.recv(65536)
        self.assertEqual(3, received.count(b"HTTP/1.1 200"))
        self.assertEqual(1, received.count(b"Connection: close"))
        self.assertLess(
            received.index(b"answer 2"), received.index(b"Connection: close")
        )
        self.assertEqual(0, self.server.busy)
        self.assertEqual(3, len(self.exchanges))

    def test_call_returns_the_response(self):
        data = b"POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok"
        result = self.call(data)
        self.assertEqual((200, b"/cok"), (result.status, result.body))

    def test_timeout_after_sending_is_unknown(self):
        self.is_response_delayed = True
        result = self.call(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", 0.2)
        self.assertEqual(client.Failure.UNKNOWN, result.failure)

    def test_refused_connection_is_not_sent(self):
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.address = addresses.Address(HOST, probe.getsockname()[1])
        result = self.call(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", 0.5)
        self.assertEqual(client.Failure.NOT_SENT, result.failure)

    def test_connection_closed_before_the_response_is_unknown(self):
        with socket.socket() as listener:
            listener.bind((HOST, 0))
            listener.listen()
            self.address = addresses.Address(HOST, listener.getsockname()[1])

            def serve():
                conn, _ = listener.accept()
                conn.recv(100)
                conn.close()

            thread = threading.Thread(target=serve)
            thread.start()
            self.addCleanup(thread.join)
            result = self.call(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(client.Failure.UNKNOWN, result.failure)

    def test_a_connection_made_before_the_listener_closes_is_answered(self):
        with socket.create_connection(tuple(self.address)) as sock:
            sock.sendall(b"GET /last HTTP/1.1\r\nHost: x\r\n\r\n")
            self.server.stop_listening()
            deadline = time.monotonic() + DEADLINE_S
            while not self.exchanges and time.monotonic() < deadline:
                self.app.tick(timeout=0.01)
            sock.settimeout(DEADLINE_S)
            self.assertIn(b" 200 ", sock.recv(1000))
        self.assertRaises(
            ConnectionRefusedError,
            socket.create_connection,
            tuple(self.address),
        )


class LateLoopTest(testtools.TestCase):
    """The loop takes longer than a timeout to handle an event."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.app = _App(clk=self.clock)
        self.addCleanup(self.app.loop.close)
        self.listener = socket.create_server((HOST, 0))
        self.addCleanup(self.listener.close)
        self.address = addresses.Address(*self.listener.getsockname())
        self.http = client.HttpClient(
            loop=self.app.loop, heap=self.app.heap, max_per_address=4
        )

    def start_call(self, done):
        """Start a call; returns the server's end of its connection."""
        self.http.call(self.address, b"GET / HTTP/1.1\r\n\r\n", 0.3, done)
        sock, _ = self.listener.accept()
        self.addCleanup(sock.close)
        self.app.tick(timeout=0.0)
        self.app.tick(timeout=0.0)
        return sock

    def test_a_response_that_has_arrived_precedes_its_timeout(self):
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        results = []

        def delay_loop(result):
            second.sendall(response)
            self.clock.advance(1.0)

        first = self.start_call(delay_loop)
        second = self.start_call(results.append)
        first.sendall(response)
        deadline = time.monotonic() + DEADLINE_S
        while not results and time.monotonic() < deadline:
            self.app.tick(timeout=0.01)
        self.assertEqual([200], [result.status for result in results])
