"""A replica whose disk fails for a while."""

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
    """A node that reads its disk again after it failed."""

    def start(self):
        self.world.host_class = functools.partial(
            grouphost.GroupHost, reopen=self.reopen
        )
        super().start()

    def reopen(self):
        book = journal.Journal(
            store=self.disk,
            folder=pathlib.Path("/d"),
            group="g",
            disk_id=self.disk_id,
        )
        member = replica.Replica(
            group="g",
            me=replica.Member(self.name, self.disk_id),
            restored=book.open(),
            peers=list(self.world.nodes),
            rng=random.Random(1),
            now=self.world.clock.now(),
            timing=replica.Timing(),
        )
        return member, book


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
        self.one, self.other = (
            node
            for node in self.world.nodes.values()
            if node is not self.leader
        )

    def put(self, version):
        """Put a document; returns the status of the reply, if one came."""
        command = documents.CODEC.encode(
            documents.PutDocument(version, b"%d" % version)
        )
        replies = []
        self.leader.host.request(
            messages.GroupRequest(version, "g", (command,)), replies.append
        )
        self.world.run(2.0)
        return replies[0].status if replies else None

    def test_a_full_disk_is_used_again_once_it_has_room(self):
        self.one.disk.is_full = True
        self.assertEqual(messages.STATUS.ok, self.put(1))
        self.world.run(5.0)
        self.assertTrue(self.one.host.is_halted)
        self.one.disk.is_full = False
        self.world.run(5.0)
        self.assertFalse(self.one.host.is_halted)
        # Without the other voter, this one's disk has to count again.
        self.other.crash()
        self.assertEqual(messages.STATUS.ok, self.put(2))
        self.assertEqual(2, self.one.machine.version)

    def test_what_is_read_after_a_failed_sync_is_made_durable(self):
        self.one.disk.fails_sync = True
        self.put(1)
        self.one.disk.fails_sync = False
        self.world.run(5.0)
        self.assertEqual(1, self.one.machine.version)
        commit = self.one.host.member.commit
        self.one.crash()
        self.one.start()
        self.assertGreaterEqual(self.one.host.member.log.last_index, commit)

    def test_a_leader_with_a_failed_disk_leads_no_more(self):
        self.leader.disk.fails_sync = True
        self.put(1)
        self.assertFalse(self.leader.host.is_leader)
        self.world.run(6.0)
        leaders = [n for n in (self.one, self.other) if n.host.is_leader]
        self.assertEqual(1, len(leaders))
