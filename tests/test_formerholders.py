"""Tests of tasks that a former holder may still run, over real hosts."""

from chervilwheel import ids
from chervilwheel.workers import leases
from chervilwheel.workers import work
from loadtool import hostworld
from tests import test_fencedstandby
from tests import test_hosts

CALL_TIMEOUT_S = 0.3
# Tasks outlast all that a holder waits for.
TASK_S = 6.0
# A standby has counted the leases of its own former holder by then, and given
# executors up that it can't reach.
STANDBY_S = 2 * leases.REPORT_TIMEOUT_S
# In which a job that is handed on starts again at the latest.
RESTART_S = 3.0


class CutPort(test_fencedstandby.FencingPort):
    """Calls to executors that a host can't reach time out."""

    def start(self, order, done):
        """Start a run."""
        unknown = work.StartVerdict.UNKNOWN
        if not self._is_cut(order, lambda: done(unknown, 0)):
            super().start(order, done)

    def stop(self, order, done):
        """Stop a run."""
        if not self._is_cut(order, lambda: done(False, 0)):
            super().stop(order, done)

    def hold(self, order, done):
        """Renew a lease."""
        unknown = work.HoldAnswer(work.HoldVerdict.UNKNOWN)
        if not self._is_cut(order, lambda: done(unknown)):
            super().hold(order, done)

    def _is_cut(self, order, give_up):
        is_cut = (self.host, order.executor) in self._shared.unreachable
        if is_cut:
            self._later(CALL_TIMEOUT_S, give_up)
        return is_cut


class FormerHoldersTest(test_hosts.HostsTest):
    """Two sides of a cut, which reach an executor or more each."""

    def setUp(self):
        super().setUp()
        self.shared = test_fencedstandby.Executors()
        self.shared.task_s = TASK_S
        self.shared.unreachable = set()
        self.addCleanup(self.check_runs)

    def check_runs(self):
        """Check that no task ran on two executors at the same time."""
        self.assertEqual([], self.shared.twice)

    def start(self, *, entries=2, by_zone=2):
        """Start hosts and executors."""
        world = self.world(
            entries=entries,
            make_port=lambda heap: CutPort(heap, shared=self.shared),
        )
        for host, port in world.ports.items():
            port.host = host
        self.report_executors(world, by_zone=by_zone)
        return world

    def reach_only(self, hosts, zone, *, by_zone=2):
        """Let hosts reach the executors of one zone only."""
        for other in hostworld.ZONES:
            if other != zone:
                self.shared.unreachable.update(
                    (host, work.ExecutorId(f"x-{other}-{number}"))
                    for host in hosts
                    for number in range(by_zone)
                )

    def submit(self, world, host, number=1):
        """Submit a job of one task; return its answers."""
        answers = []
        job = test_hosts.job()._replace(id=ids.JobId(f"{number:016x}"))
        world.entries[host].jobs.submit(job, answers.append)
        return answers


class LateFollowerTest(FormerHoldersTest):
    """An entry host is cut off from its leader beside an old standby."""

    def start_standby(self):
        """Start a standby that is cut off; return the world and both hosts."""
        world = self.start()
        first, late = sorted(world.entries)
        world.cut_off(first, [*world.controls, late])
        return world, first, late

    def play(self, world, first, late, *, offset_s=0.0):
        """Hand a job from a leader that goes on to the standby.

        :param offset_s: when the entry host is cut off, seconds
        """
        world.run(STANDBY_S)
        self.assertEqual([first], self.standbys(world))
        self.submit(world, late)
        world.run(0.5 + offset_s)
        self.assertEqual(1, len(self.shared.starts))
        world.network.cuts.discard(frozenset((first, late)))
        world.cut_off(late, world.controls)
        world.run(RESTART_S)
        self.assertEqual(first, world.entries[late].jobs.holder.host)
        (starts,) = self.shared.starts.values()
        self.assertEqual(2, len(starts))
        self.assertEqual([], self.shared.twice)

    def test_a_task_of_a_leader_that_goes_on_is_not_started_beside_it(self):
        for step in range(5):
            self.shared.starts.clear()
            self.shared.models.clear()
            self.shared.unreachable.clear()
            world, first, late = self.start_standby()
            self.reach_only([first], "north")
            self.reach_only([*world.controls, late], "south")
            self.play(world, first, late, offset_s=0.03 * step)

    def test_a_task_on_an_executor_that_the_standby_lacks_is_not_started(
        self,
    ):
        world, first, late = self.start_standby()
        leader = world.controls[world.holder()]
        self.shared.unreachable.update(
            (host, executor)
            for host in (*world.controls, late)
            for executor in leader.holder_role._runner.engine.executors
        )
        world.run(1.0)
        leader.report(test_hosts.report("south-9", zone="south"))
        self.shared.unreachable.add((first, work.ExecutorId("x-south-9")))
        self.play(world, first, late)
