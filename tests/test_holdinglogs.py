"""The logs of two holders show why a task was started again, and when."""

import itertools
import logging

from chervilwheel.workers import leases
from chervilwheel.workers import work
from tests import test_hosts

LIMITS = leases.LeaseLimits(1.0, 0.05)
RELEASED = "engine: taken-over jobs released"


class ZonePort(test_hosts.AnsweringPort):
    """Executors whose runs don't end, and which not all hosts can reach.

    :param runs: the runs of each executor, shared by the ports of all hosts
    :param cut: pairs of a host's port and an executor without a path
    """

    def __init__(self, heap, *, runs, cut):
        super().__init__(heap)
        self._runs = runs
        self._cut = cut

    def start(self, order, done):
        """Accept a run."""
        self._runs.setdefault(order.executor, []).append(
            work.RunStatus(order.task, order.run, 1)
        )
        super().start(order, done)

    def hold(self, order, done):
        """List the runs."""
        if (self, order.executor) in self._cut:
            return
        answer = work.HoldAnswer(
            work.HoldVerdict.HELD,
            self._clock_ms(),
            tuple(self._runs.get(order.executor, ())),
        )
        self._answer(lambda: done(answer))


class LossOfLeaderTest(test_hosts.HostsTest):
    """The leader is cut off from the other hosts while a task runs."""

    def lose_leader(self, *, is_executor_cut):
        """Return the log records from the cut until the job is released.

        :param is_executor_cut: whether the task's executor is cut off, too
        """
        self.runs, self.cut = {}, set()
        world = self.world(
            entries=2,
            make_port=lambda heap: ZonePort(
                heap, runs=self.runs, cut=self.cut
            ),
        )
        self.report_executors(world, by_zone=4)
        entry = next(iter(world.entries.values()))
        step = work.Step(1, work.Room(8_000, 64), 5_000)
        job = test_hosts.job()._replace(steps=(step,))
        entry.jobs.submit(job, lambda _answer: None)
        world.run(1.0)
        ((self.executor, _),) = self.runs.items()
        former = world.holder()
        others = set(world.nodes) - {former}
        if is_executor_cut:
            self.cut.update(
                (world.ports[host], self.executor) for host in others
            )
        with self.assertLogs(level=logging.INFO) as logs:
            world.network.cuts.update(
                frozenset(pair) for pair in itertools.product([former], others)
            )
            world.run(2.0)
        (self.role,) = [
            control.holder_role
            for host, control in world.controls.items()
            if control.holder_role.is_active and host != former
        ]
        return {record.getMessage(): record for record in logs.records}

    def test_both_holders_log_the_end_of_the_former_ones_leases(self):
        records = self.lose_leader(is_executor_cut=True)
        ended, begun = records["holding: ended"], records["holding: begun"]
        self.assertEqual("leadership lost", ended.why)
        self.assertEqual(0, ended.unanswered_starts)
        self.assertBetween(0.0, ended.last_order_s, leases.LEASE_S)
        # The last renewal was some time before the end.
        self.assertBetween(0.3, ended.own_leases_s, LIMITS.max_run_s)
        self.assertEqual(round(LIMITS.max_run_s, 3), begun.former_leases_s)

    def test_a_release_after_the_leases_names_who_has_not_listed(self):
        records = self.lose_leader(is_executor_cut=True)
        released = records[RELEASED]
        self.assertEqual("leases", released.proof)
        self.assertEqual(1, released.count)
        self.assertEqual([test_hosts.job().id], released.jobs)
        self.assertEqual([self.executor], released.unlisted)
        self.assertEqual(1, released.unlisted_count)
        self.assertBetween(
            LIMITS.max_run_s, released.after_s, LIMITS.max_run_s + 0.05
        )
        metrics = self.role.metric_values()
        self.assertEqual(1, metrics["released_leases_total"])
        self.assertEqual(0, metrics["released_lists_total"])

    def test_a_release_by_the_lists_is_told_apart(self):
        records = self.lose_leader(is_executor_cut=False)
        released = records[RELEASED]
        self.assertEqual("lists", released.proof)
        self.assertEqual([], released.unlisted)
        self.assertLess(released.after_s, LIMITS.max_run_s)

    def assertBetween(self, low, value, high):  # noqa: N802
        self.assertLessEqual(low, value)
        self.assertLessEqual(value, high)
