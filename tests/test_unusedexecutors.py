"""Tests of what the next leader knows of executors that were given up."""

import testtools

from chervilwheel import messages
from chervilwheel.control import unusedexecutors
from chervilwheel.workers import leases
from chervilwheel.workers import work
from tests import test_hosts
from tests import workerworld

GONE = test_hosts.report(1)
OTHER = test_hosts.report(2)
# Executors without runs are asked every 5 s; two calls fail then.
GIVEN_UP_S = leases.IDLE_RENEWAL_S + leases.REPORT_TIMEOUT_S + 1.0
CALL_TIMEOUT_S = 0.3
# Target: a task whose runs are known isn't delayed by a crash some time ago.
MAX_RELEASE_S = 0.3


class UnusedExecutorsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.sender = unusedexecutors.UnusedExecutors()
        self.receiver = unusedexecutors.UnusedExecutors()

    def send(self, *reports, term, now=0.0):
        """Send executors that are given up; returns whether it was due."""
        keys = [report.key for report in reports]
        news = self.sender.news(keys, term, now)
        if news is not None:
            data = messages.CODEC.encode(news)
            self.receiver.receive(messages.CODEC.decode(data))
        return news is not None

    def test_a_later_report_shows_that_an_executor_may_be_used(self):
        self.send(GONE, term=1)
        self.assertTrue(self.receiver.covers(GONE, 1))
        self.assertFalse(self.receiver.covers(OTHER, 1))
        for changes in ({"sequence": 2}, {"born_ms": 1, "sequence": 0}):
            later = GONE._replace(**changes)
            self.assertFalse(self.receiver.covers(later, 1))

    def test_what_a_leader_before_the_former_one_said_does_not_count(self):
        self.send(GONE, term=1)
        self.assertFalse(self.receiver.covers(GONE, 2))

    def test_late_messages_of_an_earlier_leader_are_ignored(self):
        self.send(OTHER, term=2)
        self.receiver.receive(messages.ExecutorNews((), (GONE.key,), 1))
        self.receiver.receive(messages.ExecutorNews((GONE,)))
        self.assertTrue(self.receiver.covers(OTHER, 2))

    def test_a_message_is_sent_once_a_second_and_in_each_new_term(self):
        # Guards against a long list every 0.15 s while executors crash.
        self.assertFalse(self.send(term=0))
        self.assertTrue(self.send(GONE, term=1))
        self.assertFalse(self.send(GONE, OTHER, term=1, now=0.9))
        self.assertTrue(self.send(GONE, OTHER, term=1, now=1.0))
        self.assertTrue(self.send(GONE, OTHER, term=1, now=2.0))
        self.assertTrue(self.send(GONE, term=2, now=2.1))
        self.assertTrue(self.send(term=2, now=3.1))
        self.assertFalse(self.send(term=2, now=9.0))


class GivenUpTest(testtools.TestCase):
    """An engine uses an executor that it has given up after a report only."""

    def setUp(self):
        super().setUp()
        self.world = workerworld.World(workers=1)
        self.world.run(4.0)
        self.name = next(iter(self.world.workers))
        self.world.net.cut.add(self.name)

    def is_used(self):
        executor = self.world.engine.executors[self.name]
        return executor.may_start(self.world.now)

    def test_a_failed_call_is_not_enough_while_reports_go_elsewhere(self):
        self.world.net.cut.clear()
        self.world._send_report = lambda *_args, **_options: None
        self.world.run(leases.REPORT_TIMEOUT_S + 1.0)
        self.world.submit(tasks=1, work_s=0.1)
        self.world.net.cut.add(self.name)
        self.world.run(2.0)
        self.assertEqual([], self.world.engine.unused)
        self.world.net.cut.clear()
        self.world.run(0.5)
        job = self.world.submit(tasks=1, work_s=0.1)
        self.world.run(1.0)
        self.assertIs(work.Outcome.COMPLETED, self.world.outcome(job))

    def test_it_is_used_after_its_next_report(self):
        self.world.run(GIVEN_UP_S)
        (key,) = self.world.engine.unused
        self.assertEqual(self.name, key.id)
        self.world.net.cut.clear()
        self.world.run(workerworld.REPORT_INTERVAL_S + 0.2)
        self.assertEqual([], self.world.engine.unused)
        self.assertTrue(self.is_used())

    def test_an_answer_or_its_last_report_again_is_not_enough(self):
        self.world.run(GIVEN_UP_S)
        engine = self.world.engine
        executor = engine.executors[self.name]
        for _ in range(3):
            engine.report(executor.report, self.world.now, age_s=GIVEN_UP_S)
            executor.is_synced = True
            self.world.run(0.1)
            self.assertFalse(self.is_used())
        self.assertEqual([executor.report.key], engine.unused)

    def test_one_with_a_run_that_may_go_on_is_not_given_up(self):
        self.world.net.cut.clear()
        self.world.submit(tasks=1, work_s=60.0, patience_ms=60_000)
        self.world.run(0.3)
        self.world.net.cut.add(self.name)
        executor = self.world.engine.executors[self.name]
        while executor.runs:
            self.assertEqual([], self.world.engine.unused)
            self.world.run(0.02)

    def test_a_new_holder_gives_none_up_before_the_leases_end(self):
        self.world.run(leases.REPORT_TIMEOUT_S + 1.0)
        self.world.switch_holder(knows_all=True)
        self.world.run(leases.LEASE_S)
        self.assertEqual([], self.world.engine.unused)


class CrashedPort(test_hosts.LeavingPort):
    """Executors whose runs don't end; calls to some of them time out."""

    def hold(self, order, done):
        """List the runs."""
        super().hold(order, done)
        if order.executor in self._unreachable:
            unknown = work.HoldAnswer(work.HoldVerdict.UNKNOWN)
            self._heap.call_later(CALL_TIMEOUT_S, lambda: done(unknown))


class TakeOverTest(test_hosts.HostsTest):
    """A leader is lost some time after an executor has crashed."""

    def release_s(self, *, crashed_s, is_told=True):
        """Return how long the next leader delays a task, seconds.

        :param crashed_s: time between the two losses
        :param is_told: whether the control hosts tell of executors given up
        """
        unreachable = set()
        world = self.world(
            entries=2,
            make_port=lambda heap: CrashedPort(
                heap, runs={}, unreachable=unreachable
            ),
        )
        if not is_told:
            for control in world.controls.values():
                control._unused.receive = lambda _message: None
        self.report_executors(world, by_zone=4)
        step = work.Step(1, work.Room(8_000, 64), 60_000)
        job = test_hosts.job()._replace(steps=(step,))
        entry = next(iter(world.entries.values()))
        entry.jobs.submit(job, lambda _answer: None)
        world.run(0.3)
        unreachable.add(work.ExecutorId("x-north-0"))
        world.run(crashed_s)
        world.stop(world.holder())
        role = self.next_role(world)
        began_at = world.clock.now()
        jobs = role._runner.engine.jobs
        while job.id not in jobs or jobs[job.id].is_taking_over:
            world.run(0.01)
        return world.clock.now() - began_at

    def next_role(self, world):
        """Return the role of the next leader once it has begun."""
        while True:
            world.run(0.01)
            for host, control in world.controls.items():
                is_running = host in world.network.running
                if is_running and control.holder_role.is_active:
                    return control.holder_role

    def test_an_executor_given_up_does_not_delay_it(self):
        release_s = self.release_s(crashed_s=GIVEN_UP_S)
        self.assertLess(release_s, MAX_RELEASE_S)

    def test_one_that_nobody_knows_to_be_given_up_delays_it(self):
        # Guards against tasks that run twice: it may have runs.
        release_s = self.release_s(crashed_s=GIVEN_UP_S, is_told=False)
        self.assertGreater(release_s, leases.LEASE_S)
