"""Tests of the simulated workers' record of runs."""

import argparse
import asyncio
import json
import pathlib
import tempfile

import testtools

from standins import workers

TASK = "0000000000000001.0.0.0"


class RunRecordTest(testtools.TestCase):
    """The record has each end at the time at which the run ended."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "runs.jsonl"
        self.now = 1000.0
        self.patch(workers.time, "monotonic", lambda: self.now)
        opts = argparse.Namespace(port=1, cpu=16_000, runs=str(self.path))
        self.worker = workers.Worker(opts=opts, number=1)

    def hold(self, acked_upto):
        body = {"fencingToken": 1, "ackedUpto": acked_upto}
        _, lists = asyncio.run(self.worker._handle_hold(body))
        return lists["ended"]

    def test_an_end_that_is_acknowledged_at_once_is_recorded(self):
        body = {
            "task": TASK,
            "run": 1,
            "spec": "[8000, 5000]",
            "deadlineMs": 500,
            "fencingToken": 1,
        }
        asyncio.run(self.worker._handle_start(body))
        self.now += 2.0
        ((number, *_),) = self.hold(0)
        self.assertEqual([], self.hold(number))
        start, end = map(json.loads, self.path.read_text().splitlines())
        self.assertEqual(["start", TASK, 1], [start[1], *start[3:5]])
        self.assertEqual(["end", TASK, 1, "lapsed"], [end[1], *end[3:]])
        self.assertLessEqual(end[0], 1000.5 + workers.STOP_S)
