"""The load tool's judge: a caller without an outcome is a broken promise."""

import pathlib
import tempfile

import testtools

from loadtool import client
from loadtool import drive
from loadtool import judge


def _lost(status, *, key):
    sent = drive.Sent(
        key=key,
        job="",
        payloads=({"mark": "1/0", "sleep_ms": 1},),
        is_idempotent=False,
        is_single=True,
        began_at=0.0,
        ended_at=1.0,
        ideal_ms=1.0,
        answers=(client.Reply(status, {}),),
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "starts.jsonl"
        return judge.judge([sent], path).broken.get("lost", 0)


class JudgeTest(testtools.TestCase):
    def test_no_outcome_under_a_key_counts_as_lost(self):
        for status in (0, 202, 400, 409, 500):
            self.assertEqual(1, _lost(status, key="k"), status)

    def test_an_outcome_or_a_broken_call_without_a_key_does_not(self):
        for status in (429, 502, 503, 504):
            self.assertEqual(0, _lost(status, key="k"), status)
        self.assertEqual(0, _lost(0, key=""))
