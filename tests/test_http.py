"""The HTTP server and client on the stream loop, over real sockets."""

import socket
import threading
import time

import circuits
import testtools

from chervilwheel import addresses
from chervilwheel import clock
from chervilwheel import guard
from chervilwheel import streams
from chervilwheel import timers
from chervilwheel.http import client
from chervilwheel.http import server

HOST = "127.0.0.1"
DEADLINE_S = 10.0


class _App(circuits.BaseComponent):
    """A loop with timers and streams."""

    def __init__(self):
        super().__init__()
        self.heap = timers.TimerHeap(clk=clock.SystemClock())
        self.loop = streams.StreamLoop().register(self)
        timers.TimerLoop(heap=self.heap).register(self)
        # Polls in each tick, as if it ran by itself.
        self._running = True


class HttpTest(testtools.TestCase):
    """One loop that serves itself."""

    def setUp(self):
        super().setUp()
        self.app = _App()
        self.addCleanup(self.app.loop.close)
        self.exchanges = []
        self.front = server.HttpServer(
            loop=self.app.loop,
            heap=self.app.heap,
            limits=guard.Limits(header_bytes=2048, body_bytes=4096),
            timeouts=server.Timeouts(request_s=0.3, idle_s=30.0),
            handler=self.handle,
        )
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.address = addresses.Address(HOST, probe.getsockname()[1])
        self.front.listen(self.address)
        self.hold = False

    def handle(self, exchange):
        self.exchanges.append(exchange)
        if not self.hold:
            path = exchange.request.target.encode()
            exchange.answer(server.Response(200, path + exchange.request.body))

    def turn_until(self, condition):
        until = time.monotonic() + DEADLINE_S
        while not condition():
            self.assertLess(time.monotonic(), until, "nothing happened")
            self.app.tick(timeout=0.01)

    def raw(self, data, *, answers=1):
        sock = socket.create_connection(self.address)
        self.addCleanup(sock.close)
        sock.sendall(data)
        got = bytearray()
        sock.setblocking(False)

        def is_done():
            try:
                piece = sock.recv(65536)
            except BlockingIOError:
                return False
            got.extend(piece)
            return not piece or got.count(b"HTTP/1.1") >= answers

        self.turn_until(is_done)
        return bytes(got)

    def call(self, data, timeout_s=5.0):
        caller = client.HttpClient(
            loop=self.app.loop, heap=self.app.heap, per_address=4
        )
        answers = []
        caller.call(self.address, data, timeout_s, answers.append)
        self.turn_until(lambda: answers)
        return answers[0]

    def test_pipelined_requests_are_answered_in_order(self):
        one = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"
        got = self.raw(one % 1 + one % 2 + one % 3, answers=3)
        self.assertLess(got.index(b"/1"), got.index(b"/2"))
        self.assertLess(got.index(b"/2"), got.index(b"/3"))

    def test_a_request_in_pieces_is_answered_whole(self):
        sock = socket.create_connection(self.address)
        self.addCleanup(sock.close)
        data = b"POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
        for place in range(len(data)):
            sock.sendall(data[place : place + 1])
            self.app.tick(timeout=0.001)
        self.turn_until(lambda: self.exchanges)
        self.assertEqual(b"abc", self.exchanges[0].request.body)

    def test_wrong_bytes_are_refused_and_the_server_goes_on(self):
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
            self.assertIn(status, self.raw(data).split(b"\r\n")[0])
        got = self.raw(b"GET /ok HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"200", got)

    def test_a_caller_that_leaves_is_noticed(self):
        self.hold = True
        sock = socket.create_connection(self.address)
        sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.turn_until(lambda: self.exchanges)
        gone = []
        self.exchanges[0].on_gone = lambda: gone.append(1)
        sock.close()
        self.turn_until(lambda: gone)
        self.exchanges[0].answer(server.Response(200))

    def test_a_handler_that_fails_is_answered_500(self):
        self.handle = None
        self.front.handler = lambda exchange: 1 / 0
        got = self.raw(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"500", got)

    def test_an_idle_server_closes_after_its_last_answer(self):
        self.hold = True
        sock = socket.create_connection(self.address)
        self.addCleanup(sock.close)
        sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.turn_until(lambda: self.exchanges)
        self.front.close_idle()
        self.assertEqual(1, self.front.busy)
        self.exchanges[0].answer(server.Response(200, b"late"))
        got = sock.recv(65536)
        self.assertIn(b"Connection: close", got)
        self.assertEqual(0, self.front.busy)

    def test_a_call_gets_its_answer(self):
        data = b"POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok"
        answer = self.call(data)
        self.assertEqual((200, b"/cok"), (answer.status, answer.body))

    def test_a_call_without_an_answer_may_have_run(self):
        self.hold = True
        answer = self.call(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", 0.2)
        self.assertEqual(client.Failure.UNKNOWN, answer.failure)

    def test_a_call_that_found_no_server_was_not_sent(self):
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.address = addresses.Address(HOST, probe.getsockname()[1])
        answer = self.call(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", 0.5)
        self.assertEqual(client.Failure.NOT_SENT, answer.failure)

    def test_a_connection_broken_off_before_its_answer_may_have_run(self):
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
            answer = self.call(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(client.Failure.UNKNOWN, answer.failure)
