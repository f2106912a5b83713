"""How much of the log a control host replays after a restart."""

import functools

import testtools

from chervilwheel import grouphost
from chervilwheel import messages
from chervilwheel.control import controlhost
from chervilwheel.control import deltas
from chervilwheel.control import documents
from tests import fakes
from tests import test_documentcost

ROUTES = 20
CHANGES = 1_000
# A restart replays less than a day's changes.
MAX_REPLAYED = 500


class CompactionTest(testtools.TestCase):
    def test_a_restart_after_many_changes_replays_few(self):
        world = fakes.World(
            seed=3,
            make_machine=lambda: documents.DocumentMachine(
                applied=lambda *_: None
            ),
            host_class=functools.partial(
                grouphost.GroupHost, compact_bytes=controlhost.COMPACT_BYTES
            ),
        )
        leader = world.wait_for_leader()
        data = b""
        for version in range(1, CHANGES + 1):
            base = data
            data = test_documentcost.document(version, routes=ROUTES)
            command = documents.ChangeDocument(
                version, version - 1, deltas.encode(base, data)
            )
            leader.host.request(
                messages.GroupRequest(
                    version, "g", (documents.CODEC.encode(command),)
                ),
                lambda _reply: None,
            )
            world.run(0.05)
        self.assertEqual(CHANGES, leader.machine.version)
        leader.crash()
        leader.start()
        log = leader.host.member.log
        self.assertLessEqual(log.last_index - log.snapshot.index, MAX_REPLAYED)
