"""Logging does not block on a slow reader, and its volume is bounded."""

import json
import logging
import os

import testtools

from chervilwheel import logs


class BoundedHandlerTest(testtools.TestCase):
    """Tests of the handler writing to a pipe."""

    def setUp(self):
        super().setUp()
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.handler = logs.BoundedHandler(descriptor=writer)
        self.handler.setFormatter(logging.Formatter('{"m": "%(message)s"}'))

    def log(self, text):
        self.handler.handle(
            logging.LogRecord("part", 20, "", 0, text, (), None)
        )

    def test_stalled_reader_does_not_block_logging(self):
        self.patch(logs, "LINES_PER_S", 10**9)
        for _ in range(3000):
            self.log("x" * 1000)
        self.assertGreater(self.handler.dropped, 0)

    def test_a_line_above_the_rate_is_not_formatted(self):
        self.patch(logs, "LINES_PER_S", 0)
        self.handler.format = self.fail
        self.log("dropped")
        self.assertEqual(1, self.handler.dropped)

    def test_dropped_lines_are_reported_in_a_line(self):
        self.patch(logs, "LINES_PER_S", 1)
        self.handler._window = -1
        self.log("first")
        self.handler.dropped = 7
        self.handler._window = -1
        self.log("second")
        lines = os.read(self.reader, 65536).decode().splitlines()
        self.assertEqual(7, json.loads(lines[1])["count"])
