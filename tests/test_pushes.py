"""Which documents are sent to which entry hosts."""

import testtools

from chervilwheel import peers
from chervilwheel.control import pushes


class StubLink(peers.MessageLink):
    def __init__(self, peer):
        self.peer = peer

    def send(self, message):
        raise AssertionError("the tracker sends nothing")


class PushTrackerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.tracker = pushes.PushTracker()
        self.link = StubLink("entry")
        self.heartbeat(version=1)

    def heartbeat(self, *, version, link=None, is_receiver=True):
        self.tracker.record_heartbeat(
            link or self.link, version=version, is_receiver=is_receiver
        )

    def is_due(self, version, now=0.0):
        return self.tracker.due("entry", version, now) is not None

    def push(self, now=0.0):
        self.tracker.record_push("entry", now)

    def test_a_host_with_the_newest_version_is_sent_nothing(self):
        self.assertFalse(self.is_due(1))
        self.assertTrue(self.is_due(2))

    def test_nothing_is_sent_while_a_document_is_on_its_way(self):
        self.push()
        self.heartbeat(version=1)
        self.assertFalse(self.is_due(2, now=1.0))
        self.assertFalse(self.is_due(3, now=1.0))

    def test_the_newest_version_follows_the_acknowledgement(self):
        self.push()
        self.heartbeat(version=2)
        self.assertFalse(self.is_due(2))
        self.assertTrue(self.is_due(5))

    def test_a_new_link_does_not_wait_for_what_the_former_one_lost(self):
        self.push()
        self.heartbeat(version=1, link=StubLink("entry"))
        self.assertTrue(self.is_due(2))

    def test_a_document_without_acknowledgement_is_sent_again_whole(self):
        self.push()
        due = self.tracker.due("entry", 2, pushes.ACK_TIMEOUT_S)
        self.assertEqual(0, due.base)

    def test_the_next_document_starts_from_the_version_applied(self):
        self.assertEqual(1, self.tracker.due("entry", 2, 0.0).base)

    def test_a_host_that_follows_another_one_is_sent_nothing(self):
        self.heartbeat(version=1, is_receiver=False)
        self.assertFalse(self.is_due(2))
