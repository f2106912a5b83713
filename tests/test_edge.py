"""HTTP front end of a daemon process, tested over raw sockets."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import testtools

from loadtool import layout

TIMEOUT_S = 20.0
HEADERS = b"Host: x\r\nAuthorization: Bearer " + layout.TEAM_TOKEN.encode()


def _read_responses(sock, count):
    """Read up to ``count`` responses; stop early if the connection closes."""
    data = b""
    responses = []
    while len(responses) < count:
        head, separator, remaining = data.partition(b"\r\n\r\n")
        size = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                size = int(line.split(b":")[1])
        if separator and len(remaining) >= size:
            if not head.startswith(b"HTTP/1.1 100"):
                responses.append((int(head.split()[1]), remaining[:size]))
            data = remaining[size:]
            continue
        chunk = sock.recv(65_536)
        if not chunk:
            break
        data += chunk
    return responses


class EdgeTest(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls._stack = contextlib.ExitStack()
        folder = cls._stack.enter_context(tempfile.TemporaryDirectory())
        plan = layout.Layout(entries=(1,), keepers=(), executors=(0,))
        nodes = layout.create_nodes(plan, pathlib.Path(folder))
        layout.write_settings(plan, nodes)
        text = nodes[0].settings.read_text()
        text = text.replace(
            "[limits]",
            "[limits]\nrequest_timeout_s = 1.0\nbody_bytes = 65536\n"
            "header_bytes = 8192",
        )
        nodes[0].settings.write_text(text)
        host, port = nodes[0].http.split(":")
        cls.address = (host, int(port))
        args = [sys.executable, "-m", "chervilwheel.daemon"]
        cls.proc = subprocess.Popen(
            [*args, "--settings", str(nodes[0].settings)],
            stderr=subprocess.DEVNULL,
        )
        cls._stack.callback(cls.proc.wait)
        cls._stack.callback(cls.proc.kill)
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                socket.create_connection(cls.address, 1).close()
                break
            time.sleep(0.05)

    @classmethod
    def tearDownClass(cls):
        cls._stack.close()
        super().tearDownClass()

    def _open(self):
        sock = socket.create_connection(self.address, TIMEOUT_S)
        self.addCleanup(sock.close)
        return sock

    def _send(self, data, count=1):
        sock = self._open()
        sock.sendall(data)
        return _read_responses(sock, count)

    def _post(self, path, body, extra=b""):
        return (
            b"POST "
            + path
            + b" HTTP/1.1\r\n"
            + HEADERS
            + extra
            + b"\r\nContent-Length: %d\r\n\r\n" % len(body)
            + body
        )

    def _assert_is_serving(self):
        ((status, _),) = self._send(
            b"GET /v1/health HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        self.assertEqual(200, status)

    def test_pipelined_requests_get_responses_in_order(self):
        data = b"".join(
            [
                b"GET /v1/health HTTP/1.1\r\nHost: x\r\n\r\n",
                b"GET /v1/nothing HTTP/1.1\r\nHost: x\r\n\r\n",
                self._post(b"/v1/submissions", b"{}"),
            ]
        )
        statuses = [status for status, _ in self._send(data, 3)]
        self.assertEqual([200, 404, 201], statuses)

    def test_connection_serves_consecutive_requests(self):
        sock = self._open()
        for _ in range(3):
            sock.sendall(b"GET /v1/health HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertEqual(200, _read_responses(sock, 1)[0][0])

    def test_ambiguous_length_headers_are_rejected(self):
        for lines in (
            b"Content-Length: 2\r\nTransfer-Encoding: chunked",
            b"Content-Length: -5",
            b"Content-Length: 2\r\nContent-Length: 3",
            b"Transfer-Encoding: chunked, identity",
        ):
            data = (
                b"POST /v1/jobs HTTP/1.1\r\n"
                + HEADERS
                + b"\r\n"
                + lines
                + b"\r\n\r\n{}"
            )
            self.assertEqual(400, self._send(data)[0][0], lines)
            self._assert_is_serving()

    def test_oversized_head_and_body_are_rejected(self):
        sock = self._open()
        with contextlib.suppress(OSError):
            sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nA: ")
            for _ in range(3000):
                sock.sendall(b"x" * 1000)
        with contextlib.suppress(ConnectionResetError):
            self.assertEqual(431, _read_responses(sock, 1)[0][0])
        data = self._post(b"/v1/jobs", b"x" * 65_537)
        self.assertEqual(413, self._send(data)[0][0])
        self._assert_is_serving()

    def test_incomplete_request_times_out_with_408(self):
        self.assertEqual(
            408, self._send(b"POST /v1/jobs HTTP/1.1\r\nHo")[0][0]
        )
        incomplete = b"POST /v1/jobs HTTP/1.1\r\n" + HEADERS
        incomplete += b"\r\nContent-Length: 10\r\n\r\n{"
        self.assertEqual(408, self._send(incomplete)[0][0])
        self._assert_is_serving()

    def test_expect_continue_gets_a_100_response(self):
        sock = self._open()
        head = self._post(b"/v1/submissions", b"", b"\r\nExpect: 100-continue")
        sock.sendall(head.replace(b"Content-Length: 0", b"Content-Length: 2"))
        self.assertTrue(sock.recv(100).startswith(b"HTTP/1.1 100"))
        sock.sendall(b"{}")
        self.assertEqual(201, _read_responses(sock, 1)[0][0])

    def test_invalid_bodies_get_problem_details(self):
        nested = b"[" * 3000 + b"]" * 3000
        for body in (
            b"",
            b"{",
            b"\xff\xfe",
            b'{"tasks": "\x00"}',
            b'{"tasks": 5}',
            b'{"service": "s", "tasks": [{"payload": NaN}]}',
            b'{"service": 7, "tasks": [{}]}',
            b'{"service": "s", "tasks": ' + nested + b"}",
        ):
            ((status, response),) = self._send(self._post(b"/v1/jobs", body))
            self.assertEqual(400, status, body[:40])
            self.assertEqual(400, json.loads(response)["status"])
        oversized = json.dumps({"service": "s", "tasks": [{}] * 151}).encode()
        ((status, _),) = self._send(self._post(b"/v1/jobs", oversized))
        self.assertEqual(413, status)
        self._assert_is_serving()

    def test_missing_token_is_401_and_missing_permission_is_403(self):
        for path in (b"/v1/jobs", b"/v1/settings", b"/v1/drain"):
            data = b"POST " + path + b" HTTP/1.1\r\nHost: x\r\n"
            data += b"Content-Length: 2\r\n\r\n{}"
            self.assertEqual(401, self._send(data)[0][0])
        for path in (b"/v1/drain", b"/v1/endpoints/announce"):
            ((status, _),) = self._send(self._post(path, b"{}"))
            self.assertEqual(403, status)

    def test_job_for_a_service_without_endpoints_returns_503(self):
        body = b'{"service": "nobody", "tasks": [{}], "deadline_ms": 5000}'
        deadline = time.monotonic() + TIMEOUT_S
        status, response = 0, b""
        while status != 503 and time.monotonic() < deadline:
            ((status, response),) = self._send(self._post(b"/v1/jobs", body))
        self.assertEqual(503, status)
        self.assertIn("retry_after_ms", json.loads(response))

    def test_memory_stays_bounded_with_oversized_heads(self):
        def resident_mb():
            path = pathlib.Path("/proc") / str(self.proc.pid) / "statm"
            pages = int(path.read_text().split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE") / 1_048_576

        self._assert_is_serving()
        before = resident_mb()
        for _ in range(30):
            sock = self._open()
            with contextlib.suppress(OSError):
                sock.sendall(b"GET / HTTP/1.1\r\nA: " + b"x" * 1_000_000)
        self._assert_is_serving()
        self.assertLess(resident_mb() - before, 16)


class StopTest(testtools.TestCase):
    def test_sigterm_drains_and_exits_with_status_0(self):
        with tempfile.TemporaryDirectory() as folder:
            plan = layout.Layout(entries=(1,), keepers=(), executors=(0,))
            nodes = layout.create_nodes(plan, pathlib.Path(folder))
            layout.write_settings(plan, nodes)
            args = [sys.executable, "-m", "chervilwheel.daemon"]
            with subprocess.Popen(
                [*args, "--settings", str(nodes[0].settings)],
                stderr=subprocess.PIPE,
            ) as proc:
                while b"daemon: started" not in proc.stderr.readline():
                    self.assertIsNone(proc.poll())
                proc.send_signal(signal.SIGTERM)
                proc.stderr.read()
                self.assertEqual(0, proc.wait(TIMEOUT_S))
