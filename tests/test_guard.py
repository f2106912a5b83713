"""Request framing: ambiguous and oversized requests are rejected."""

import testtools

from chervilwheel import guard

LIMITS = guard.Limits(header_bytes=2048, body_bytes=4096)
VALID_REQUEST = (
    b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"
)
INVALID_REQUESTS = [
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
    normalizer = guard.RequestNormalizer(limits=LIMITS)
    results = []
    for start in range(0, len(data), step or len(data)):
        results += normalizer.feed(data[start : start + (step or len(data))])
    return results


class RequestNormalizerTest(testtools.TestCase):
    def test_invalid_requests_are_rejected_for_any_chunk_size(self):
        for name, data in INVALID_REQUESTS:
            for step in (None, 1, 7):
                results = _feed(data, step=step)
                types = [type(result) for result in results]
                self.assertEqual([guard.Rejection], types, (name, step))

    def test_pipelined_requests_are_emitted_in_order(self):
        second = VALID_REQUEST.replace(b"jobs", b"two")
        for step in (None, 1, 5):
            results = _feed(VALID_REQUEST + second, step=step)
            self.assertEqual(2, len(results))
            self.assertIn(b"/v1/jobs", results[0].data)
            self.assertIn(b"/v1/two", results[1].data)

    def test_chunked_body_is_reencoded_with_a_content_length(self):
        data = (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked"
            b"\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        )
        (request,) = _feed(data)
        self.assertTrue(request.data.endswith(b"\r\n\r\nabc"))
        self.assertIn(b"Content-Length: 3", request.data)
        self.assertNotIn(b"hunked", request.data)

    def test_oversized_head_is_rejected_before_it_is_complete(self):
        normalizer = guard.RequestNormalizer(limits=LIMITS)
        results = normalizer.feed(b"GET / HTTP/1.1\r\nHost: x\r\nA: ")
        for _ in range(200):
            results += normalizer.feed(b"x" * 1000)
            if results:
                break
        self.assertEqual(guard.Status.HEAD_TOO_LARGE, results[0].status)

    def test_oversized_body_is_rejected_by_content_length_and_by_size(self):
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n"
        self.assertEqual(guard.Status.TOO_LARGE, _feed(head)[0].status)
        chunk = b"1000\r\n" + b"x" * 4096 + b"\r\n"
        data = (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked"
            b"\r\n\r\n" + chunk + chunk
        )
        self.assertEqual(guard.Status.TOO_LARGE, _feed(data)[0].status)

    def test_expect_header_emits_expect_continue(self):
        head = (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        results = _feed(head)
        self.assertEqual([guard.ExpectContinue()], results)

    def test_incomplete_request_is_partial(self):
        normalizer = guard.RequestNormalizer(limits=LIMITS)
        self.assertEqual([], normalizer.feed(VALID_REQUEST[:20]))
        self.assertTrue(normalizer.is_partial)
        normalizer.feed(VALID_REQUEST[20:])
        self.assertFalse(normalizer.is_partial)

    def test_trailers_are_bounded_and_change_no_header(self):
        head = (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n2\r\n{}\r\n0\r\n"
        )
        parser = guard.RequestParser(limits=LIMITS)
        (request,) = parser.feed(head + b"Host: y\r\nB: c\r\n\r\n")
        self.assertEqual("x", request.headers["host"])
        self.assertNotIn("b", request.headers)
        self.assertEqual(b"{}", request.body)
        for trailer in (b"A: " + b"x" * 9_000, b"A: b\r\n" * 2_000):
            parser = guard.RequestParser(limits=LIMITS)
            (rejection,) = parser.feed(head + trailer)
            self.assertEqual(guard.Status.HEAD_TOO_LARGE, rejection.status)

    def test_extensions_of_a_chunk_are_bounded(self):
        head = (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n2;"
        )
        parser = guard.RequestParser(limits=LIMITS)
        (rejection,) = parser.feed(head + b"x" * 9_000)
        self.assertEqual(guard.Status.HEAD_TOO_LARGE, rejection.status)

    def test_small_chunks_up_to_the_limit_of_a_body_are_accepted(self):
        head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
        data = head + b"\r\n" + b"1\r\nx\r\n" * 4_096 + b"0\r\n\r\n"
        for size in (1, 7, 2_048, len(data)):
            parser = guard.RequestParser(limits=LIMITS)
            results = []
            for start in range(0, len(data), size):
                results += parser.feed(data[start : start + size])
            self.assertEqual([b"x" * 4_096], [r.body for r in results])

    def test_the_first_part_of_a_head_is_counted(self):
        for size in (1, 100, 1_500):
            parser = guard.RequestParser(limits=LIMITS)
            data = b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"y" * 1_500
            for start in range(0, len(data), size):
                parser.feed(data[start : start + size])
            most = guard.REQUEST_BYTES + 4 * len(data)
            self.assertGreater(parser.kept_bytes, 2 * len(data))
            self.assertLess(parser.kept_bytes, most)

    def test_what_a_partial_request_holds_is_counted(self):
        parser = guard.RequestParser(limits=LIMITS)
        self.assertEqual(0, parser.kept_bytes)
        parser.feed(b"POST / HTTP/1.1\r\nHost: x\r\nA: " + b"y" * 1_000)
        self.assertGreater(parser.kept_bytes, 1_000)
        parser.feed(b"\r\nContent-Length: 4000\r\n\r\n" + b"z" * 3_000)
        self.assertGreater(parser.kept_bytes, 4_000)
        self.assertEqual(("POST", "/"), parser.target)
        parser.discard()
        self.assertEqual(0, parser.kept_bytes)
        self.assertEqual([], parser.feed(b"z" * 1_000))
