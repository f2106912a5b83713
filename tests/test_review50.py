"""Tests of executors that the next holder doesn't know, over real hosts."""

from chervilwheel.workers import leases
from tests import test_formerholders
from tests import test_hosts

# In which a follower gets the log again. Below the 1.5 s between two reports
# of an executor.
CATCH_UP_S = 0.8
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
