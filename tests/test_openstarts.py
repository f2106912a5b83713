"""Starts without an answer reach the next holder over the entry host."""

import testtools

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel.control import openstarts
from chervilwheel.workers import latestarts
from chervilwheel.workers import work
from tests import test_hosts

JOB = ids.JobId("0000000000000001")
START = work.OpenStart(0, 2, work.ExecutorId("x-1"), 17)
OTHER = START._replace(run=33)
BORN_MS = 1_000


class OpenStartsTest(testtools.TestCase):
    """The entry host's record."""

    def setUp(self):
        super().setUp()
        self.starts = openstarts.OpenStarts()

    def test_a_start_counts_until_it_is_settled(self):
        self.starts.record(work.StartReport(JOB, (START, OTHER)), 10.0)
        self.starts.record(work.StartReport(JOB, (), (START,)), 10.5)
        (left,) = self.starts.of_job(JOB, 11.0)
        self.assertEqual(OTHER._replace(age_ms=1_000), left)
        self.starts.record(work.StartReport(JOB, (), (OTHER,)), 11.0)
        self.assertEqual(0, len(self.starts))

    def test_its_age_goes_on_whoever_reports_it(self):
        self.starts.record(work.StartReport(JOB, (START,)), 10.0)
        self.starts.record(
            work.StartReport(JOB, (START._replace(age_ms=4_000),)), 14.0
        )
        (start,) = self.starts.of_job(JOB, 15.0)
        self.assertEqual(5_000, start.age_ms)

    def test_one_that_is_too_old_is_forgotten(self):
        self.starts.record(work.StartReport(JOB, (START,)), 10.0)
        later = 10.0 + latestarts.MAX_ORDER_DELAY_S + 0.1
        self.assertEqual((), self.starts.of_job(JOB, later))
        other = ids.JobId("0000000000000002")
        self.starts.record(work.StartReport(other, (START,)), later)
        self.assertEqual(1, len(self.starts))


class DeafPort(test_hosts.AnsweringPort):
    """Executors of which one carries out no start and answers none.

    :param orders: the start orders sent to it, shared by all hosts
    """

    def __init__(self, heap, *, orders):
        super().__init__(heap)
        self._orders = orders

    def start(self, order, done):
        """Lose the order."""
        self._orders.append(order)

    def hold(self, order, done):
        """Accept a renewal."""
        answer = work.HoldAnswer(
            work.HoldVerdict.HELD, self._clock_ms(), born_ms=order.born_ms
        )
        self._answer(lambda: done(answer))


class HandedOnStartTest(test_hosts.HostsTest):
    """Real hosts, whose executors leave start orders unanswered."""

    def setUp(self):
        super().setUp()
        self.orders = []
        self.net = self.world(
            entries=2,
            make_port=lambda heap: DeafPort(heap, orders=self.orders),
        )
        control = next(iter(self.net.controls.values()))
        for number in range(2):
            report = test_hosts.report(number)._replace(born_ms=BORN_MS)
            control.report(report)
        self.net.run(1.0)
        self.answers = []
        self.entry = next(iter(self.net.entries))
        self.jobs = self.net.entries[self.entry].jobs

    def submit(self):
        self.jobs.submit(test_hosts.job(), self.answers.append)

    def inherited(self):
        role = self.net.controls[self.net.holder()].holder_role
        return role.metric_values()["inherited_starts_total"]

    def test_the_next_leader_learns_of_a_start_of_a_killed_one(self):
        self.submit()
        self.net.run(0.005)
        self.assertEqual(1, len(self.orders))
        former = self.net.holder()
        self.net.stop(former)
        self.net.run(4.0)
        self.assertNotEqual(former, self.net.holder())
        self.assertEqual(1, self.inherited())

    def test_the_one_after_that_learns_of_it_too(self):
        self.submit()
        self.net.run(0.005)
        former = self.net.holder()
        self.net.stop(former)
        self.net.run(2.0)
        self.net.restart(former)
        self.net.run(2.0)
        second = self.net.holder()
        self.net.stop(second)
        self.net.run(2.5)
        self.assertNotEqual(second, self.net.holder())
        starts = self.jobs._open_starts.of_job(JOB, self.net.clock.now())
        self.assertIn(
            (self.orders[0].executor, self.orders[0].run),
            {(start.executor, start.run) for start in starts},
        )
        self.assertLessEqual(1, self.inherited())

    def test_a_late_report_of_a_former_leader_reaches_the_present_one(self):
        self.submit()
        self.net.run(0.1)
        before = self.inherited()
        former = ids.InstanceId("10.0.0.9")
        report = work.StartReport(JOB, (START._replace(index=0),))
        self.jobs.handle_notice(report, former)
        self.net.run(0.1)
        self.assertEqual(before + 1, self.inherited())

    def test_an_entry_host_of_a_former_version_is_not_told(self):
        leader = self.net.holder()
        role = self.net.controls[leader].holder_role
        link = role.entries[self.entry].link
        role.entries[self.entry] = role.entries[self.entry]._replace(
            keeps_starts=False
        )
        sent = []
        link.send = sent.append
        role._send_notice(self.entry, work.StartReport(JOB, (START,)))
        self.assertEqual([], sent)
        role.entries[self.entry] = role.entries[self.entry]._replace(
            keeps_starts=True
        )
        role._send_notice(self.entry, work.StartReport(JOB, (START,)))
        self.assertEqual([messages.JobStarts(JOB, (START,), ())], sent)

    def test_one_that_is_back_with_a_former_version_is_not_told(self):
        leader = self.net.holder()
        role = self.net.controls[leader].holder_role
        self.assertTrue(role.entries[self.entry].keeps_starts)
        link = test_hosts.hostworld.types.SimpleNamespace(peer=self.entry)
        role.record_entry(link, followed_holder=leader)
        self.assertFalse(role.entries[self.entry].keeps_starts)

    def test_executors_whose_ids_are_used_once_cost_no_message(self):
        control = next(iter(self.net.controls.values()))
        for number in range(2):
            control.deregister(
                work.ExecutorId(f"x-{number}"), lambda: None, born_ms=BORN_MS
            )
        control.report(test_hosts.report(7))
        self.net.run(1.0)
        self.submit()
        self.net.run(0.5)
        self.assertEqual({"x-7"}, {order.executor for order in self.orders})
        leader = self.net.nodes[self.net.holder()].links
        self.assertEqual(0, leader.sent_by_kind["JobStarts"])
