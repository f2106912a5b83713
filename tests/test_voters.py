"""Which replicas vote after control hosts have been lost and replaced."""

import functools
import os

import testtools

from chervilwheel import messages
from chervilwheel import replica
from chervilwheel.control import controlhost
from chervilwheel.control import documents
from tests import fakes
from tests import stepper

VOTERS = 3
# A new host counts as working this long after its start.
CATCH_UP_S = 4.0
FIRST_SEED = int(os.environ.get("VOTERS_FIRST", "1"))
SEEDS = int(os.environ.get("VOTERS_SEEDS", "120"))
SUCCESSOR_DELAY_S = 1.0


class ControlNode(fakes.Node):
    """A replica with the timing of a control host.

    :ivar seeds: the nodes that it is told of, all of them if empty
    """

    seeds = ()

    def start(self):
        self.world.replica_class = functools.partial(
            _ControlReplica, target_voters=VOTERS, seeds=self.seeds
        )
        super().start()


class _ControlReplica(replica.Replica):
    def __init__(self, *, seeds, **options):
        options["timing"] = controlhost.TIMING
        options["peers"] = seeds or options["peers"]
        super().__init__(**options)


def make_machine():
    return documents.DocumentMachine(applied=lambda *_: None)


class SuccessorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = fakes.World(
            seed=7, make_machine=make_machine, node_class=ControlNode
        )
        self.world.wait_for_leader()
        self.world.run(1.0)

    def leader(self):
        return self.world.wait_for_leader(limit_s=5.0)

    def follower(self):
        """Return a voter that is up and doesn't lead."""
        voters = {
            each.name for each in self.leader().host.member.config.voters
        }
        return next(
            node
            for node in self.world.nodes.values()
            if node.is_up and node is not self.leader() and node.name in voters
        )

    def add(self, name):
        """Start a new node with an empty disk."""
        node = ControlNode(name=name, world=self.world)
        node.wipe()
        node.disk_id = f"disk-{name}"
        self.world.nodes[name] = node
        node.start()
        return node

    def replace(self, node, name):
        """Lose a node for good; a new one starts a second later."""
        node.crash()
        self.world.run(SUCCESSOR_DELAY_S)
        return self.add(name)

    def put(self, version):
        """Store a document; return the reply's status, None if none came."""
        command = documents.CODEC.encode(
            documents.PutDocument(version, b"%d" % version)
        )
        replies = []
        self.leader().host.request(
            messages.GroupRequest(version, "g", (command,)), replies.append
        )
        self.world.run(2.0)
        return replies[0].status if replies else None

    def voters(self):
        return {each.name for each in self.leader().host.member.config.voters}

    def test_a_successor_votes_before_the_next_disk_is_lost(self):
        for number in range(3):
            lost = self.follower()
            successor = self.replace(lost, f"successor-{number}")
            self.world.run(CATCH_UP_S)
            self.assertIn(successor.name, self.voters())
            self.assertNotIn(lost.name, self.voters())
            wiped = self.follower()
            wiped.crash()
            wiped.wipe()
            self.assertEqual(messages.STATUS.ok, self.put(number + 1))
            wiped.start()
            self.world.run(CATCH_UP_S)

    def test_a_successor_votes_in_time_though_the_leader_restarts(self):
        successor = self.replace(self.follower(), "successor")
        leader = self.leader()
        self.world.run(0.5)
        leader.crash()
        self.world.run(0.5)
        leader.start()
        self.world.run(CATCH_UP_S)
        self.assertIn(successor.name, self.voters())

    def test_a_voter_that_was_replaced_while_away_joins_again(self):
        away = self.follower()
        successor = self.replace(away, "successor")
        self.world.run(2 * CATCH_UP_S + 2.0)
        self.assertNotIn(away.name, self.voters())
        away.start()
        self.world.run(CATCH_UP_S)
        self.assertEqual(messages.STATUS.ok, self.put(1))
        self.assertEqual(1, away.machine.version)
        successor.crash()
        self.world.run(CATCH_UP_S)
        self.assertIn(away.name, self.voters())

    def test_a_new_host_joins_though_no_host_it_knows_leads(self):
        node = ControlNode(name="new", world=self.world)
        node.disk_id = "disk-new"
        node.seeds = (self.follower().name,)
        self.world.nodes["new"] = node
        node.start()
        self.world.run(CATCH_UP_S)
        self.assertEqual(messages.STATUS.ok, self.put(1))
        self.assertEqual(1, node.machine.version)

    def test_a_former_voter_joins_though_no_voter_it_knows_leads(self):
        away = self.follower()
        away.crash()
        known = {each.name for each in self.leader().host.member.config.voters}
        for name in sorted(known - {away.name}):
            successor = self.add(f"after-{name}")
            self.world.run(CATCH_UP_S)
            if name == self.leader().name:
                continue
            self.world.nodes[name].crash()
            self.world.run(CATCH_UP_S)
            self.assertIn(successor.name, self.voters())
        self.leader().host.resign()
        self.world.run(1.0)
        self.assertNotIn(self.leader().name, known)
        away.start()
        self.world.run(CATCH_UP_S)
        self.assertEqual(messages.STATUS.ok, self.put(1))
        self.assertEqual(1, away.machine.version)

    def test_a_voter_that_is_away_for_a_moment_keeps_its_vote(self):
        self.add("spare")
        self.world.run(2.0)
        away = self.follower()
        away.crash()
        self.world.run(1.0)
        away.start()
        self.world.run(CATCH_UP_S)
        self.assertIn(away.name, self.voters())


class ReplacementSchedule:
    """Replicas that crash, lose disks, are cut off and are replaced.

    A disk is lost or a replica replaced for good only while every voter is
    up, connected and up to date, as the group tolerates one loss at a time.

    :param seed: seed of the random number generator
    """

    def __init__(self, *, seed):
        self.world = fakes.World(
            seed=seed, make_machine=make_machine, node_class=ControlNode
        )
        self.checker = stepper.LogChecker(world=self.world)
        self.world.observers.append(self.checker.check)
        self.gone = set()
        self.versions = 0
        self.acknowledged = 0

    def run(self, rounds=25):
        """Run random faults, then heal and check the group."""
        rng = self.world.rng
        self.world.net.max_delay_s = rng.choice([0.005, 0.02])
        if rng.random() < 0.5:
            self._add("spare")
        self.world.run(2.0, step=0.02)
        for _ in range(rounds):
            self._inject_fault(rng)
            self._put()
            self.world.run(rng.choice([0.1, 0.6, 3.0]), step=0.02)
        self._heal()

    def _inject_fault(self, rng):
        world = self.world
        node = rng.choice(self._present())
        chance = rng.random()
        if chance < 0.15 and node.is_up:
            node.crash()
        elif chance < 0.25 and self._is_whole():
            if node.is_up:
                node.crash()
            node.wipe()
            node.disk_id = f"{node.name}-{node.wipes}"
        elif chance < 0.35 and self._is_whole():
            self._replace(node)
        elif chance < 0.45:
            others = [name for name in world.nodes if name != node.name]
            world.net.isolate(node.name, others)
        elif chance < 0.75:
            world.net.cuts.clear()
            self._start_all()

    def _present(self):
        """List the nodes that haven't been replaced."""
        return [
            node
            for name, node in self.world.nodes.items()
            if name not in self.gone
        ]

    def _start_all(self):
        for node in self._present():
            if not node.is_up:
                node.start()

    def _is_whole(self):
        """Return whether the group may lose a disk."""
        leader = self.world.leader()
        if leader is None or self.world.net.cuts:
            return False
        member = leader.host.member
        voters = {each.name: each.disk for each in member.config.voters}
        return len(voters) == VOTERS and all(
            self.world.nodes[name].is_up
            and self.world.nodes[name].disk_id == disk
            and self.world.nodes[name].host.member.commit >= member.commit - 1
            for name, disk in voters.items()
        )

    def _replace(self, node):
        if node.is_up:
            node.crash()
        self.gone.add(node.name)
        self._add(f"{node.name}x")

    def _add(self, name):
        """Start a node with an empty disk."""
        node = ControlNode(name=name, world=self.world)
        node.disk_id = f"disk-{name}"
        self.world.nodes[name] = node
        node.start()

    def _put(self):
        leader = self.world.leader()
        if leader is None:
            return
        self.versions += 1
        version = self.versions
        command = documents.CODEC.encode(
            documents.PutDocument(version, b"%d" % version)
        )

        def answered(reply):
            if reply.status == messages.STATUS.ok:
                self.acknowledged = max(self.acknowledged, version)

        leader.host.request(
            messages.GroupRequest(version, "g", (command,)), answered
        )

    def _heal(self):
        world = self.world
        world.net.cuts.clear()
        self._start_all()
        world.run(3 * CATCH_UP_S, step=0.02)
        leader = world.leader()
        if leader is None:
            raise stepper.InvariantError("no leader after healing")
        if leader.machine.version < self.acknowledged:
            raise stepper.InvariantError("an acknowledged version is lost")
        voters = {each.name for each in leader.host.member.config.voters}
        if len(voters) != VOTERS or voters & self.gone:
            raise stepper.InvariantError(f"voters are {sorted(voters)}")
        for node in self._present():
            if node.machine.version != leader.machine.version:
                raise stepper.InvariantError(f"{node.name} follows no leader")


class ReplacementScheduleTest(testtools.TestCase):
    def test_a_group_survives_replacements_and_single_losses(self):
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            try:
                ReplacementSchedule(seed=seed).run()
            except Exception as exc:
                raise AssertionError(f"seed {seed}") from exc
