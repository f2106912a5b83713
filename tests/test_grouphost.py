"""A group whose replicas have temporary disk failures."""

import functools
import pathlib
import random

import testtools

from chervilwheel import grouphost
from chervilwheel import journal
from chervilwheel import messages
from chervilwheel import replica
from chervilwheel.control import documents
from tests import fakes


class ReopeningNode(fakes.Node):
    """A node that reopens its journal after a disk failure."""

    def start(self):
        self.world.host_class = functools.partial(
            grouphost.GroupHost, reopen=self.reopen
        )
        super().start()

    def reopen(self):
        group_journal = journal.Journal(
            store=self.disk,
            folder=pathlib.Path("/d"),
            group="g",
            disk_id=self.disk_id,
        )
        member = replica.Replica(
            group="g",
            me=replica.Member(self.name, self.disk_id),
            restored=group_journal.open(),
            peers=list(self.world.nodes),
            rng=random.Random(1),
            now=self.world.clock.now(),
            timing=replica.Timing(),
        )
        return member, group_journal


def make_machine():
    return documents.DocumentMachine(applied=lambda *_: None)


class DiskFailureTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = fakes.World(
            seed=21, make_machine=make_machine, node_class=ReopeningNode
        )
        self.leader = self.world.wait_for_leader()
        self.world.run(1.0)
        self.follower, self.other_follower = (
            node
            for node in self.world.nodes.values()
            if node is not self.leader
        )

    def put(self, version):
        """Put a document; return the reply's status, None if none came."""
        command = documents.CODEC.encode(
            documents.PutDocument(version, b"%d" % version)
        )
        replies = []
        self.leader.host.request(
            messages.GroupRequest(version, "g", (command,)), replies.append
        )
        self.world.run(2.0)
        return replies[0].status if replies else None

    def test_replica_resumes_once_a_full_disk_has_space(self):
        self.follower.disk.is_full = True
        self.assertEqual(messages.STATUS.ok, self.put(1))
        self.world.run(5.0)
        self.assertTrue(self.follower.host.is_halted)
        self.follower.disk.is_full = False
        self.world.run(5.0)
        self.assertFalse(self.follower.host.is_halted)
        # With the other follower down, a quorum needs this disk again.
        self.other_follower.crash()
        self.assertEqual(messages.STATUS.ok, self.put(2))
        self.assertEqual(2, self.follower.machine.version)

    def test_data_read_after_a_failed_sync_is_made_durable(self):
        self.follower.disk.fails_sync = True
        self.put(1)
        self.follower.disk.fails_sync = False
        self.world.run(5.0)
        self.assertEqual(1, self.follower.machine.version)
        commit = self.follower.host.member.commit
        self.follower.crash()
        self.follower.start()
        self.assertGreaterEqual(
            self.follower.host.member.log.last_index, commit
        )

    def test_a_leader_with_a_failed_disk_is_replaced(self):
        self.leader.disk.fails_sync = True
        self.put(1)
        self.assertFalse(self.leader.host.is_leader)
        self.world.run(6.0)
        leaders = [
            n for n in (self.follower, self.other_follower) if n.host.is_leader
        ]
        self.assertEqual(1, len(leaders))
