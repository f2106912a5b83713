"""Tests of admission: which submissions are refused, and why."""

import testtools

from chervilwheel import _runs
from chervilwheel import admission
from chervilwheel import directory
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import learned
from chervilwheel import messages
from chervilwheel import teampolicy
from tests import test_slots

SERVICE = "s"


def _submission(tasks=1, **fields):
    spec = jobs.parse_job(
        {"service": SERVICE, "tasks": [{}] * tasks, **fields}
    )
    return _runs.Submission(ids.JobId("j"), "one", spec, True, False)


class AdmissionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.known = directory.Directory()
        self.loads = []
        self.times = learned.LearnedTimes()
        self.policy = teampolicy.DEFAULT
        self.admission = admission.LoadAdmission(
            known=self.known,
            loads=lambda: self.loads,
            times=self.times,
            policies=lambda team: self.policy,
            now=0.0,
        )

    def _set_load(self, *, slots=10, free=10, waiting=0, team_waiting=0):
        self.loads = [
            messages.ZoneLoad(
                "z",
                (messages.ServiceLoad(SERVICE, slots, free, waiting),),
                (messages.TeamLoad("one", team_waiting, False),),
            )
        ]

    def _check(self, submission, now=100.0):
        return self.admission.check(submission, now)

    def test_a_submission_with_free_slots_is_admitted(self):
        self._set_load()
        self.assertIsNone(self._check(_submission(tasks=10)))

    def test_a_service_without_endpoints_is_refused_after_a_grace_period(self):
        self.assertIsNone(self._check(_submission(), now=1.0))
        refusal = self._check(_submission(), now=3.0)
        self.assertIsInstance(refusal, errors.NotRun)
        self.assertGreater(refusal.retry_after_s, 0)
        self._set_load()
        self.assertIsNone(self._check(_submission(), now=4.0))
        self.loads = []
        self.assertIsNone(self._check(_submission(), now=5.0))
        self.assertIsNotNone(self._check(_submission(), now=7.0))

    def test_an_expected_wait_beyond_the_deadline_is_refused(self):
        self._set_load(free=0, waiting=1000)
        refusal = self._check(_submission(deadline_ms=2000))
        self.assertIsInstance(refusal, errors.NotRun)
        self.assertGreater(refusal.retry_after_s, 2.0)
        self.assertIsNone(self._check(_submission(deadline_ms=20_000)))

    def test_learned_run_times_override_declared_ones_ten_times_off(self):
        self._set_load(free=0, waiting=100)
        declared_long = _submission(deadline_ms=2000, run_time_ms=1000)
        self.assertIsNotNone(self._check(declared_long))
        for _ in range(30):
            self.times.add((SERVICE, "one"), 100.0)
        self.assertIsNone(self._check(declared_long))
        declared_short = _submission(deadline_ms=2000, run_time_ms=10)
        for _ in range(600):
            self.times.add((SERVICE, "one"), 1000.0)
        self.assertIsNotNone(self._check(declared_short))

    def test_a_task_beyond_the_resources_of_endpoints_is_refused(self):
        self._set_load()
        small = test_slots.endpoint("e")._replace(
            processors=8.0, memory_mb=1000, accelerators=0, lease_s=3.0
        )
        self.known.merge(small, age_s=0.0, now=100.0)
        for fields in (
            {"processors": 9},
            {"memory_mb": 2000},
            {"accelerators": 1},
        ):
            refusal = self._check(_submission(**fields))
            self.assertIsInstance(refusal, errors.NotRun)
        self.assertIsNone(self._check(_submission(processors=8)))

    def test_a_full_team_queue_exceeds_the_quota(self):
        self.policy = teampolicy.TeamPolicy(queue_limit=50)
        self._set_load(team_waiting=45)
        self.assertIsNone(self._check(_submission(tasks=5)))
        refusal = self._check(_submission(tasks=6))
        self.assertIsInstance(refusal, errors.QuotaExceeded)

    def test_a_draining_instance_refuses(self):
        self._set_load()
        self.admission.is_draining = True
        self.assertIsInstance(self._check(_submission()), errors.NotRun)
