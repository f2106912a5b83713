"""Tests of job validation and of the outcome of a whole job."""

import testtools

from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import jobs

TASK = {"service": "pricing", "payload": {"a": 1}}
Outcome = jobs.Outcome
INVALID_JOBS = [
    {},
    {"tasks": []},
    {"tasks": {}},
    {"tasks": [1]},
    {"tasks": [{"payload": 1}]},
    {"tasks": [{**TASK, "service": "Bad Name"}]},
    {"tasks": [{**TASK, "deadline_ms": 0}]},
    {"tasks": [{**TASK, "deadline_ms": True}]},
    {"tasks": [{**TASK, "idempotent": "yes"}]},
    {"tasks": [{**TASK, "urgency": "now"}]},
    {"tasks": [{**TASK, "processors": -1}]},
    {"tasks": [{**TASK, "extra": 1}]},
    {"tasks": [TASK], "extra": 1},
]


class ParseTest(testtools.TestCase):
    def test_invalid_jobs_are_rejected(self):
        for decoded in INVALID_JOBS:
            self.assertRaises(errors.InvalidRequest, jobs.parse_job, decoded)

    def test_150_tasks_are_accepted_and_151_rejected(self):
        jobs.parse_job({"tasks": [TASK] * 150})
        self.assertRaises(
            errors.RequestTooLarge, jobs.parse_job, {"tasks": [TASK] * 151}
        )

    def test_bodies_other_than_json_objects_are_rejected(self):
        for body in (
            b"",
            b"[1]",
            b"\xff",
            b"{",
            b"NaN",
            b'{"a":NaN}',
            b"[" * 5000,
            b'{"a":' * 100 + b"1" + b"}" * 100,
        ):
            self.assertRaises(errors.InvalidRequest, jobs.parse_body, body)

    def test_digest_depends_on_the_payload_but_not_on_key_order(self):
        one = jobs.parse_job(
            {"tasks": [{**TASK, "payload": {"a": 1, "b": 2}}]}
        )
        two = jobs.parse_job(
            {"tasks": [{**TASK, "payload": {"b": 2, "a": 1}}]}
        )
        other = jobs.parse_job({"tasks": [TASK]})
        self.assertEqual(one.digest, two.digest)
        self.assertNotEqual(one.digest, other.digest)

    def test_tasks_survive_a_serialization_round_trip(self):
        spec = jobs.parse_job({"tasks": [TASK, {**TASK, "urgency": "urgent"}]})
        self.assertEqual(
            spec.tasks, jobs.load_tasks(jobs.dump_tasks(spec.tasks))
        )


class CombineResultsTest(testtools.TestCase):
    def test_job_is_complete_only_if_all_tasks_are(self):
        cases = [
            ([Outcome.COMPLETE, Outcome.COMPLETE], Outcome.COMPLETE),
            ([Outcome.COMPLETE, Outcome.FAILED], Outcome.FAILED),
            ([Outcome.COMPLETE, Outcome.NOT_RUN], Outcome.FAILED),
            ([Outcome.NOT_RUN, Outcome.NOT_RUN], Outcome.NOT_RUN),
            ([Outcome.COMPLETE, Outcome.UNKNOWN], Outcome.UNKNOWN),
            ([Outcome.FAILED, Outcome.UNKNOWN], Outcome.UNKNOWN),
            ([Outcome.NOT_RUN, Outcome.UNKNOWN], Outcome.UNKNOWN),
        ]
        for outcomes, expected in cases:
            results = [jobs.TaskResult(each) for each in outcomes]
            answer = jobs.combine_results(ids.JobId("j"), results)
            self.assertEqual(expected, answer.outcome)
