"""Framing of requests: nothing ambiguous or oversized gets through."""

import testtools

from chervilwheel import guard

LIMITS = guard.Limits(header_bytes=2048, body_bytes=4096)
GOOD = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"
REFUSED = [
    (
        "two lengths",
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
        b"Content-Length: 3\r\n\r\nab",
    ),
    (
        "length and chunked",
        b"POST / HTTP/1.1\r\nHost: x\r\n"
        b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
    (
        "negative length",
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
    ),
    ("no host", b"GET / HTTP/1.1\r\n\r\n"),
    ("two hosts", b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"),
    ("not http", b"\x16\x03\x01\x02\x00\x01"),
    ("bad method", b"TRACE / HTTP/1.1\r\nHost: x\r\n\r\n"),
    ("nul in header", b"GET / HTTP/1.1\r\nHost: x\r\nA: b\x00c\r\n\r\n"),
    ("target not ascii", b"GET /\xff HTTP/1.1\r\nHost: x\r\n\r\n"),
    (
        "upgrade",
        b"GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n"
        b"Upgrade: websocket\r\n\r\n",
    ),
    (
        "bad chunk",
        b"POST / HTTP/1.1\r\nHost: x\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
    ),
]


def _feed(data, *, step=None):
    gate = guard.RequestGate(limits=LIMITS)
    framed = []
    for start in range(0, len(data), step or len(data)):
        framed += gate.feed(data[start : start + (step or len(data))])
    return framed


class RequestGateTest(testtools.TestCase):
    def test_ambiguous_requests_are_refused_in_any_chunking(self):
        for name, data in REFUSED:
            for step in (None, 1, 7):
                framed = _feed(data, step=step)
                kinds = [type(each) for each in framed]
                self.assertEqual([guard.Refusal], kinds, (name, step))

    def test_pipelined_requests_come_out_in_order(self):
        second = GOOD.replace(b"jobs", b"two")
        for step in (None, 1, 5):
            framed = _feed(GOOD + second, step=step)
            self.assertEqual(2, len(framed))
            self.assertIn(b"/v1/jobs", framed[0].data)
            self.assertIn(b"/v1/two", framed[1].data)

    def test_chunked_body_is_rewritten_with_a_length(self):
        data = (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked"
            b"\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        )
        (framed,) = _feed(data)
        self.assertTrue(framed.data.endswith(b"\r\n\r\nabc"))
        self.assertIn(b"Content-Length: 3", framed.data)
        self.assertNotIn(b"hunked", framed.data)

    def test_oversize_head_is_refused_before_it_ends(self):
        gate = guard.RequestGate(limits=LIMITS)
        framed = gate.feed(b"GET / HTTP/1.1\r\nHost: x\r\nA: ")
        for _ in range(200):
            framed += gate.feed(b"x" * 1000)
            if framed:
                break
        self.assertEqual(guard.Status.HEAD_TOO_LARGE, framed[0].status)

    def test_oversize_body_is_refused_by_its_length_and_by_its_bytes(self):
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n"
        self.assertEqual(guard.Status.TOO_LARGE, _feed(head)[0].status)
        chunk = b"1000\r\n" + b"x" * 4096 + b"\r\n"
        data = (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked"
            b"\r\n\r\n" + chunk + chunk
        )
        self.assertEqual(guard.Status.TOO_LARGE, _feed(data)[0].status)

    def test_expect_asks_for_the_body_first(self):
        head = (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        framed = _feed(head)
        self.assertEqual([guard.Continue()], framed)

    def test_half_a_request_is_seen_as_partial(self):
        gate = guard.RequestGate(limits=LIMITS)
        self.assertEqual([], gate.feed(GOOD[:20]))
        self.assertTrue(gate.is_partial)
        gate.feed(GOOD[20:])
        self.assertFalse(gate.is_partial)
