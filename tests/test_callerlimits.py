"""The limits of the document apply to callers' requests."""

import types

import testtools

from chervilwheel import guard
from chervilwheel.control import callerlimits
from chervilwheel.control import documents
from chervilwheel.http import server


class CallerLimitsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.front = types.SimpleNamespace(
            limits=guard.Limits(header_bytes=16_384, body_bytes=1_048_576),
            timeouts=server.Timeouts(),
        )
        self.limits = callerlimits.CallerLimits(front=self.front)

    def apply(self, **bounds):
        self.limits.apply(
            documents.Document(1, (), (), documents.Bounds(**bounds), b"")
        )

    def test_the_document_lowers_the_limits(self):
        self.apply(header_bytes=4_096, body_bytes=262_144)
        self.assertEqual(guard.Limits(4_096, 262_144), self.front.limits)
        self.apply(header_bytes=8_192, body_bytes=524_288)
        self.assertEqual(guard.Limits(8_192, 524_288), self.front.limits)

    def test_the_document_does_not_raise_what_the_host_can_bear(self):
        self.apply(header_bytes=2**30, body_bytes=2**40)
        self.assertEqual(guard.Limits(16_384, 1_048_576), self.front.limits)

    def test_a_limit_of_0_is_none(self):
        self.apply(
            header_bytes=0,
            body_bytes=0,
            header_timeout_ms=0,
            idle_timeout_ms=0,
        )
        self.assertEqual(guard.Limits(16_384, 1_048_576), self.front.limits)
        self.assertEqual(server.Timeouts(), self.front.timeouts)

    def test_a_short_timeout_of_heads_leaves_bodies_their_time(self):
        self.apply(header_timeout_ms=500, idle_timeout_ms=2_000)
        self.assertEqual(
            server.Timeouts(head_s=0.5, request_s=3.0, idle_s=2.0),
            self.front.timeouts,
        )

    def test_a_long_timeout_of_heads_is_one_of_whole_requests(self):
        self.apply(header_timeout_ms=5_000)
        self.assertEqual(5.0, self.front.timeouts.request_s)
