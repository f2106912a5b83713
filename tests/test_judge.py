"""Guards against runs that pass although a caller got no final outcome."""

import pathlib
import tempfile

import testtools

from loadtool import client
from loadtool import drive
from loadtool import judge


def _lost_count(status, *, key):
    submission = drive.Submission(
        key=key,
        job="",
        payloads=({"mark": "1/0", "sleep_ms": 1},),
        is_idempotent=False,
        is_single=True,
        started_at=0.0,
        ended_at=1.0,
        ideal_ms=1.0,
        responses=(client.Response(status, {}),),
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "starts.jsonl"
        return judge.check_run([submission], path).violations.get("lost", 0)


class LostCountTest(testtools.TestCase):
    def test_no_final_outcome_with_a_key_counts_as_lost(self):
        for status in (0, 202, 400, 409, 500):
            self.assertEqual(1, _lost_count(status, key="k"), status)

    def test_final_outcome_or_failed_request_without_a_key_is_not_lost(self):
        for status in (429, 502, 503, 504):
            self.assertEqual(0, _lost_count(status, key="k"), status)
        self.assertEqual(0, _lost_count(0, key=""))
