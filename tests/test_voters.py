"""Which replicas vote after control hosts have been lost and replaced."""

import functools

import testtools

from chervilwheel import messages
from chervilwheel import replica
from chervilwheel.control import controlhost
from chervilwheel.control import documents
from tests import fakes

VOTERS = 3
# A new host counts as working this long after its start.
CATCH_UP_S = 4.0
SUCCESSOR_DELAY_S = 1.0


class ControlNode(fakes.Node):
    """A replica with the timing of a control host."""

    def start(self):
        self.world.replica_class = functools.partial(
            _ControlReplica, target_voters=VOTERS
        )
        super().start()


class _ControlReplica(replica.Replica):
    def __init__(self, **options):
        super().__init__(**{**options, "timing": controlhost.TIMING})


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

    def test_a_voter_that_is_away_for_a_moment_keeps_its_vote(self):
        self.add("spare")
        self.world.run(2.0)
        away = self.follower()
        away.crash()
        self.world.run(1.0)
        away.start()
        self.world.run(CATCH_UP_S)
        self.assertIn(away.name, self.voters())
