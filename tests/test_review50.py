"""Tests of executors that the next holder doesn't know, over real hosts."""

import itertools

from chervilwheel.control import controlhost
from chervilwheel.workers import leases
from tests import test_formerholders
from tests import test_hosts

# In which a follower gets the log again. Below the 1.5 s between two reports
# of an executor.
CATCH_UP_S = 0.8
REPORT_INTERVAL_S = 1.5
# In which an entry host finds a standby that it can reach again.
FOUND_S = 0.3


class ReturningControlHostTest(test_formerholders.FormerHoldersTest):
    """A control host that was cut off follows again, and then leads."""

    def play(self, *, position):
        """Use a new executor while a follower is cut off.

        :param position: which of the two followers
        :returns: whether it leads next
        """
        world = self.start()
        leader = world.holder()
        others = [host for host in world.controls if host != leader]
        apart = others[position]
        world.cut_off(apart, [host for host in world.nodes if host != apart])
        self.shared.unreachable.update(
            (leader, executor.id) for executor in self.executors(world)
        )
        world.run(leases.IDLE_RENEWAL_S + 1.0)
        new = test_hosts.report("north-9", zone="north")
        self.shared.unreachable.update((host, new.id) for host in others)
        world.controls[leader].report(new)
        self.submit(world, max(world.entries))
        world.run(1.5)
        self.assertEqual(1, len(self.shared.starts))
        world.controls[leader].report(new._replace(sequence=2))
        world.run(0.1)
        world.network.cuts.clear()
        world.run(CATCH_UP_S)
        world.stop(leader)
        world.run(test_formerholders.RESTART_S)
        (starts,) = self.shared.starts.values()
        self.assertEqual(2, len(starts))
        return world.holder() == apart

    def test_a_leader_that_was_cut_off_knows_of_runs_on_new_executors(self):
        elected = [self.play(position=position) for position in (0, 1)]
        self.assertIn(True, elected)
        self.assertEqual([], self.shared.twice)


class FormerStandbyTest(test_formerholders.FormerHoldersTest):
    """A standby ends, as it finds one that takes precedence."""

    def test_a_task_on_an_executor_that_only_it_knew_is_not_started(self):
        world = self.start()
        first, late = sorted(world.entries)
        leader = world.holder()
        apart = max(host for host in world.controls if host != leader)
        majority = [host for host in world.controls if host != apart]
        world.cut_off(late, [*majority, first])
        world.cut_off(apart, [*majority, first])
        self.shared.unreachable.update(
            (late, executor.id) for executor in self.executors(world)
        )
        world.run(test_formerholders.STANDBY_S)
        new = test_hosts.report("south-9", zone="south")
        self.shared.unreachable.add((first, new.id))
        world.controls[apart].report(new)
        world.run(0.5)
        self.submit(world, late)
        world.run(0.5)
        self.assertEqual([[late]], list(self.shared.starts.values()))
        world.cut_off(first, majority)
        world.run(2.0)
        self.assertEqual([first, late], self.standbys(world))
        world.network.cuts.discard(frozenset((first, late)))
        world.run(FOUND_S)
        self.assertEqual(first, world.entries[late].jobs.holder.host)
        world.run(test_formerholders.RESTART_S)
        self.assertEqual([], self.shared.twice)


class ReturningZoneTest(test_formerholders.FormerHoldersTest):
    """A zone that was cut off, and had a standby, is linked again."""

    def play(self, reports, *, cut_s, run_s):
        """Use a zone's executors until its cut ends.

        :param reports: those of executors that report only during the cut
        :param cut_s: time of the cut before the jobs, seconds
        :param run_s: time of the cut after them, seconds
        """
        self.shared.task_s = run_s + test_formerholders.RESTART_S
        world = self.start()
        inside = world.hosts_of("south")
        outside = world.hosts_of("north")
        (control,) = [host for host in inside if host in world.controls]
        (entry,) = [host for host in inside if host in world.entries]
        known = [executor.report for executor in self.executors(world)]
        reports += [each for each in known if each.zone == "south"]
        others = [each for each in known if each not in reports]
        other = next(host for host in outside if host in world.controls)
        self.reach_only(inside, "south")
        self.reach_only(outside, "north")
        for host in inside:
            world.cut_off(host, outside)

        def report(seconds):
            for _ in range(int(seconds / REPORT_INTERVAL_S)):
                sequence = next(self.sequences)
                for host, rows in ((control, reports), (other, others)):
                    for each in rows:
                        again = each._replace(sequence=sequence)
                        world.controls[host].report(again)
                world.run(REPORT_INTERVAL_S)

        report(cut_s)
        self.assertEqual([entry], self.standbys(world))
        for number in range(2 * len(reports)):
            self.submit(world, entry, number + 1)
        report(run_s)
        self.assertEqual(2 * len(reports), len(self.shared.starts))
        self.shared.unreachable.clear()
        world.network.cuts.clear()
        world.run(CATCH_UP_S)
        self.assertFalse(world.entries[entry].jobs.holder.is_standby)
        self.assertEqual([], self.shared.twice)

    def setUp(self):
        super().setUp()
        self.sequences = itertools.count(2)

    def test_a_task_on_an_executor_that_is_new_in_it_is_not_started(self):
        new = test_hosts.report("south-9", zone="south")
        self.play([new], cut_s=3.0, run_s=3.0)

    def test_a_task_in_it_is_not_started_after_a_long_cut(self):
        half_s = controlhost.MAX_REPORT_AGE_S / 2
        self.play([], cut_s=half_s, run_s=half_s + 3.0)

    def test_a_task_in_it_is_not_started_after_a_short_cut(self):
        self.play([], cut_s=3.0, run_s=3.0)
