"""Jobs that were given up are not started by the holders that follow."""

import itertools

import testtools

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel.control import canceltable
from chervilwheel.control import holding
from chervilwheel.workers import engine
from chervilwheel.workers import jobtable
from chervilwheel.workers import work
from tests import test_hosts

RESTART_S = 0.4
# The first of two crashes is found by the end of a lease.
GIVEN_UP_S = 8.0
ELECTION_S = 5.0
RECORD = canceltable.given_up_record(test_hosts.job().id)


class RestartingPort(test_hosts.CrashingPort):
    """Executors that crash under a run and start again under another id.

    :param crashed: when each crashed, shared by the ports of all hosts
    """

    def start(self, order, done):
        """Accept a run and crash."""
        if order.executor in self._crashed:
            super().start(order, done)
            return
        test_hosts.AnsweringPort.start(self, order, done)
        now = self._heap.clock.now()
        self._heap.call_later(
            0.01, lambda: self._crashed.setdefault(order.executor, now)
        )

    def hold(self, order, done):
        """Answer by the other executor once it has started."""
        crashed_at = self._crashed.get(order.executor)
        now = self._heap.clock.now()
        if crashed_at is None or now < crashed_at + RESTART_S:
            super().hold(order, done)
            return
        other = work.HoldAnswer(work.HoldVerdict.OTHER_LIFE)
        self._answer(lambda: done(other))


class GivenUpTest(test_hosts.HostsTest):
    """Base class: a job whose task crashes each executor."""

    def setUp(self):
        super().setUp()
        self.crashed = {}
        self.hosts = self.world(
            entries=4,
            zones=("north",),
            make_port=lambda heap: RestartingPort(heap, crashed=self.crashed),
        )
        self.report_executors(12)

    def report_executors(self, count):
        """Report executors that haven't crashed at every control host."""
        for number in range(count):
            report = test_hosts.report(number)
            for control in self.hosts.controls.values():
                if report.id not in self.crashed:
                    control.report(report)
        self.hosts.run(1.0)

    def submit(self, number=0, job=None, answers=None):
        """Submit the job at an entry host; returns the list of answers."""
        answers = [] if answers is None else answers
        entry = list(self.hosts.entries.values())[number]
        entry.jobs.submit(job or test_hosts.job(), answers.append)
        return answers

    def give_up(self, number=0, job=None):
        """Submit the job and wait until it is given up."""
        answers = self.submit(number, job)
        self.hosts.run(GIVEN_UP_S)
        self.check(answers)
        self.assertEqual(2, len(self.crashed))

    def cancel(self, job):
        """Cancel an unknown job."""
        results = []
        entry = next(iter(self.hosts.entries.values()))
        entry.jobs.cancel(ids.JobId(job), results.append)
        self.hosts.run(1.0)
        self.assertEqual(["gone"], [each.value for each in results])

    def check(self, answers):
        self.assertEqual(
            [(work.Outcome.LOST, engine.CRASHES)],
            [(each.outcome, each.reason) for each in answers],
        )

    def check_not_started(self, number):
        """Submit the job at an entry host, which answers without a start."""
        crashed = len(self.crashed)
        answers = self.submit(number)
        self.hosts.run(2.0)
        self.check(answers)
        self.assertEqual(crashed, len(self.crashed))

    def lose_leader(self):
        """Stop the leader and wait for the next one; returns the former."""
        former = self.hosts.holder()
        self.hosts.stop(former)
        self.hosts.run(ELECTION_S)
        self.assertNotIn(self.hosts.holder(), (None, former))
        return former

    def lose_control(self):
        """Stop all control hosts, so that an entry host holds."""
        for host in list(self.hosts.controls):
            self.hosts.stop(host)
        self.hosts.run(3.0)
        self.assertEqual(1, len(self.standbys(self.hosts)))

    def restore_control(self):
        """Start all control hosts again."""
        for host in list(self.hosts.controls):
            self.hosts.restart(host)
        self.report_executors(12)
        self.hosts.run(ELECTION_S)
        self.assertIsNotNone(self.hosts.holder())

    def use_former_version(self, host):
        """Let a control host know nothing of given-up jobs."""
        role = self.hosts.controls[host].holder_role
        role._is_given_up = lambda _job: False
        role._record_given_up = lambda _job, done: done()


class NextHolderTest(GivenUpTest):
    """The job is sent again, also at other entry hosts."""

    def test_a_leader_that_has_forgotten_the_job_does_not_start_it(self):
        self.give_up()
        self.hosts.run(jobtable.RETENTION_S + 5.0)
        for number in range(4):
            self.check_not_started(number)

    def test_the_next_leaders_do_not_start_it(self):
        self.give_up()
        former = self.lose_leader()
        self.check_not_started(1)
        self.hosts.restart(former)
        self.hosts.run(2.0)
        self.lose_leader()
        self.check_not_started(2)

    def test_a_rolling_restart_of_the_control_hosts_does_not_start_it(self):
        self.give_up()
        for host in list(self.hosts.controls):
            self.hosts.stop(host)
            self.hosts.run(1.0)
            self.hosts.restart(host)
            self.report_executors(12)
            self.hosts.run(3.0)
        self.check_not_started(3)

    def test_a_standby_does_not_start_it(self):
        self.give_up()
        self.lose_control()
        for number in range(4):
            self.check_not_started(number)

    def test_a_leader_after_the_standby_that_gave_it_up_does_not_start_it(
        self,
    ):
        self.lose_control()
        self.give_up(3)
        self.restore_control()
        self.check_not_started(1)

    def test_it_is_recorded_before_its_caller_is_answered(self):
        known = []

        def answered(_answer):
            leader = self.hosts.controls[self.hosts.holder()]
            known.append(RECORD in leader.machine.cancels)
            known.append(
                any(
                    e._cancels.holds(RECORD)
                    for e in self.hosts.entries.values()
                )
            )

        entry = next(iter(self.hosts.entries.values()))
        entry.jobs.submit(test_hosts.job(), answered)
        self.hosts.run(GIVEN_UP_S)
        self.assertEqual([True, True], known)

    def test_a_leader_lost_before_the_record_leaves_the_caller_to_the_next(
        self,
    ):
        answers = self.submit()
        leader = self.hosts.controls[self.hosts.holder()]
        leader.holder_role.cancels.record = lambda _job, _done: None
        self.hosts.run(GIVEN_UP_S)
        self.assertEqual([], answers)
        self.lose_leader()
        self.hosts.run(GIVEN_UP_S)
        self.check(answers)
        # The next holder starts it once more, which it knows to be the third.
        self.assertLessEqual(len(self.crashed), 3)
        self.check_not_started(2)


class RetentionTest(GivenUpTest):
    """How long and how many given-up jobs are kept."""

    def test_a_job_sent_again_and_again_is_kept_for_the_next_leader(self):
        self.give_up()
        for number in range(30):
            self.check_not_started(number % 4)
            self.hosts.run(1.0)
        # The next leader's time goes on from this record.
        self.cancel("0000000000000003")
        self.report_executors(12)
        self.lose_leader()
        self.check_not_started(0)

    def test_a_job_sent_again_and_again_takes_few_records(self):
        records = []
        role = self.hosts.controls[self.hosts.holder()].holder_role
        record = role.cancels.record

        def count(job, done):
            records.append(job)
            record(job, done)

        role.cancels.record = count
        self.give_up()
        for number in range(30):
            self.check_not_started(number % 4)
        limit = 1 + 60.0 / holding.GIVEN_UP_REFRESH_S
        self.assertLessEqual(len(records), limit)

    def test_it_is_started_anew_once_nobody_has_sent_it_for_a_minute(self):
        self.give_up()
        self.hosts.run(canceltable.RETENTION_S + 1.0)
        self.report_executors(12)
        self.submit(1)
        self.hosts.run(GIVEN_UP_S)
        self.assertEqual(4, len(self.crashed))

    def test_too_many_given_up_jobs_are_answered_and_refuse_no_cancel(self):
        self.patch(canceltable, "MAX_GIVEN_UP", 1)
        self.patch(canceltable, "MAX_CANCELS", 1)
        self.give_up()
        other = test_hosts.job()._replace(id=ids.JobId("0000000000000002"))
        answers = self.submit(1, other)
        self.hosts.run(GIVEN_UP_S)
        self.check(answers)
        self.cancel("0000000000000003")
        leader = self.hosts.controls[self.hosts.holder()]
        self.assertEqual(2, len(leader.machine.cancels))
        self.assertEqual(1, leader.machine.cancels.given_up_count)


class FormerVersionTest(GivenUpTest):
    """Hosts of the former version keep the records without using them."""

    def test_the_record_outlives_a_leader_of_the_former_version(self):
        self.give_up()
        first = self.hosts.holder()
        for host in self.hosts.controls:
            if host != first:
                self.use_former_version(host)
        self.lose_leader()
        # As the version of this one is replaced, too.
        self.hosts.restart(first)
        self.hosts.run(3.0)
        while self.hosts.holder() != first:
            former = self.lose_leader()
            self.hosts.restart(former)
            self.hosts.run(3.0)
        self.check_not_started(1)

    def test_a_standby_tells_the_next_version_by_way_of_the_former_one(self):
        self.lose_control()
        self.give_up(3)
        for host in list(self.hosts.controls):
            self.hosts.restart(host)
            self.use_former_version(host)
        self.report_executors(12)
        self.hosts.run(ELECTION_S)
        former = self.hosts.holder()
        for host in list(self.hosts.controls):
            if host != former:
                self.hosts.stop(host)
                self.hosts.run(1.0)
                self.hosts.restart(host)
                self.hosts.run(2.0)
        self.report_executors(12)
        self.lose_leader()
        self.check_not_started(1)

    def test_the_record_does_not_cancel_a_job_that_runs(self):
        news = messages.CancelNews((RECORD,), 7)
        entry = next(iter(self.hosts.entries.values()))
        answers = self.submit(1)
        entry._on_cancel_news(None, news)
        self.assertFalse(entry._cancels.holds(test_hosts.job().id))
        self.hosts.run(GIVEN_UP_S)
        self.check(answers)


class TableTest(testtools.TestCase):
    """Given-up jobs beside cancelled ones."""

    def table(self):
        table = canceltable.CancelTable()
        jobs = [ids.JobId(f"{number:016x}") for number in range(4)]
        table.record(jobs[:2], 1_000)
        table.record(map(canceltable.given_up_record, jobs[2:]), 2_000)
        return table, jobs

    def test_a_given_up_job_is_not_a_cancelled_one(self):
        table, jobs = self.table()
        restored = canceltable.CancelTable()
        restored.load(table.dump())
        for each in (table, restored):
            self.assertEqual(
                [True, True, False, False], [job in each for job in jobs]
            )
            self.assertEqual(2, each.given_up_count)
            age_s = each.age_s(canceltable.given_up_record(jobs[3]), 5_000)
            self.assertEqual(3.0, age_s)

    def test_each_kind_has_its_own_room(self):
        self.patch(canceltable, "MAX_GIVEN_UP", 3)
        self.patch(canceltable, "MAX_CANCELS", 4)
        table, _ = self.table()
        for count, are_given_up in itertools.product(range(4), (False, True)):
            self.assertEqual(
                count <= (1 if are_given_up else 2),
                table.has_room(count, 3_000, are_given_up=are_given_up),
            )
        # The two cancelled ones are past their retention.
        self.assertTrue(table.has_room(4, 61_500))
        self.assertFalse(table.has_room(2, 61_500, are_given_up=True))

    def test_forgotten_ones_are_not_counted(self):
        table, jobs = self.table()
        table.record([jobs[0]], 62_500)
        self.assertEqual((1, 0), (len(table), table.given_up_count))
