"""Checking of submitted jobs and the rule that concludes them."""

import testtools

from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import jobs

TASK = {"service": "pricing", "payload": {"a": 1}}
O = jobs.Outcome  # noqa: E741
BAD_JOBS = [
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
    def test_wrong_jobs_are_refused(self):
        for table in BAD_JOBS:
            self.assertRaises(errors.InvalidRequest, jobs.parse_job, table)

    def test_151_tasks_are_too_many_and_150_are_not(self):
        jobs.parse_job({"tasks": [TASK] * 150})
        self.assertRaises(
            errors.RequestTooLarge, jobs.parse_job, {"tasks": [TASK] * 151}
        )

    def test_bodies_that_are_no_json_object_are_refused(self):
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

    def test_digest_tells_bodies_apart_but_not_key_order(self):
        one = jobs.parse_job(
            {"tasks": [{**TASK, "payload": {"a": 1, "b": 2}}]}
        )
        two = jobs.parse_job(
            {"tasks": [{**TASK, "payload": {"b": 2, "a": 1}}]}
        )
        other = jobs.parse_job({"tasks": [TASK]})
        self.assertEqual(one.digest, two.digest)
        self.assertNotEqual(one.digest, other.digest)

    def test_tasks_survive_being_written_down(self):
        spec = jobs.parse_job({"tasks": [TASK, {**TASK, "urgency": "urgent"}]})
        self.assertEqual(
            spec.tasks, jobs.load_tasks(jobs.dump_tasks(spec.tasks))
        )


class ConcludeTest(testtools.TestCase):
    def test_answer_is_never_partial(self):
        cases = [
            ([O.COMPLETE, O.COMPLETE], O.COMPLETE),
            ([O.COMPLETE, O.FAILED], O.FAILED),
            ([O.COMPLETE, O.NOT_RUN], O.FAILED),
            ([O.NOT_RUN, O.NOT_RUN], O.NOT_RUN),
            ([O.COMPLETE, O.UNKNOWN], O.UNKNOWN),
            ([O.FAILED, O.UNKNOWN], O.UNKNOWN),
            ([O.NOT_RUN, O.UNKNOWN], O.UNKNOWN),
        ]
        for outcomes, expected in cases:
            results = [jobs.TaskResult(each) for each in outcomes]
            answer = jobs.conclude(ids.JobId("j"), results)
            self.assertEqual(expected, answer.outcome)
