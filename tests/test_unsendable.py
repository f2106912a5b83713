"""A message that can't be encoded costs neither its link nor others."""

import collections

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel.control import relay
from chervilwheel.workers import work
from tests import test_hosts

# No field of a message is below zero.
UNSENDABLE = messages.JobQuery(-1, ids.JobId(""))
SENDABLE = messages.JobQuery(1, ids.JobId("0000000000000001"))
NEWS = messages.JobStatus(1, work.JobStage.UNKNOWN)


class UnsendableReplyTest(test_hosts.HostsTest):
    """A fault of this host was taken for one of the peer."""

    def setUp(self):
        super().setUp()
        self.net = self.world(entries=1)
        ((self.entry, _),) = self.net.entries.items()
        self.links = self.net.nodes[self.entry].links
        self.lost = []
        self.links.on_link_lost(self.lost.append)
        self.queries = collections.Counter()
        self.leader = self.net.holder()
        self.net.nodes[self.leader].links.handle(
            messages.JobQuery,
            lambda _link, query: self.queries.update([query.number]),
        )

    def tell_entry(self, *news):
        """Send messages from the leader to the entry host."""
        role = self.net.controls[self.leader].holder_role
        link = role.entries[self.entry].link
        for message in news:
            link.send(message)
        self.net.run(0.1)

    def test_the_link_stays_if_a_reply_can_not_be_sent(self):
        def reply(link, _news):
            link.send(UNSENDABLE)
            link.send(SENDABLE)

        self.links.handle(messages.JobStatus, reply)
        self.tell_entry(NEWS)
        self.assertEqual([], self.lost)
        self.assertEqual({1: 1}, self.queries)
        self.assertEqual(1, self.links.messages_dropped)

    def test_the_link_stays_if_a_message_to_a_third_host_can_not_be_sent(self):
        def forward(_link, _news):
            for host in self.net.controls:
                self.links.send(host, UNSENDABLE)

        self.links.handle(messages.JobStatus, forward)
        self.tell_entry(NEWS)
        self.assertEqual([], self.lost)

    def test_the_link_stays_if_a_relayed_reply_can_not_be_sent(self):
        relays = relay.Relays(me=self.entry, links=self.links)
        far = ids.InstanceId("10.9.0.1")
        relays.use(far, self.leader, self.net.clock.now())

        def reply(link, _news):
            relayed = relay.RelayedLink(
                peer=far, via=link, me=self.entry, links=self.links
            )
            relayed.send(UNSENDABLE)
            relays.send(far, UNSENDABLE)
            link.send(SENDABLE)

        self.links.handle(messages.JobStatus, reply)
        self.tell_entry(NEWS)
        self.assertEqual([], self.lost)
        self.assertEqual({1: 1}, self.queries)

    def test_a_message_longer_than_peers_accept_is_not_sent(self):
        large = messages.Relayed(
            self.entry, self.leader, bytes(peers.MAX_FRAME_BYTES)
        )
        self.links.handle(
            messages.JobStatus, lambda link, _news: link.send(large)
        )
        self.tell_entry(NEWS)
        self.net.run(0.5)
        self.assertEqual([], self.lost)
        self.assertEqual(1, self.links.messages_dropped)

    def test_a_message_that_is_queued_for_a_link_is_dropped_alone(self):
        other = next(h for h in self.net.controls if h != self.leader)
        self.net.nodes[other].links.handle(
            messages.JobQuery,
            lambda _link, query: self.queries.update([query.number]),
        )
        # Its address changes, so that the link is opened anew.
        self.links.drop_link(self.links._outgoing[other].link)
        self.net.run(0.2)
        self.links.close_unused(other, unused_s=0.0)
        self.lost.clear()
        for message in (UNSENDABLE, SENDABLE):
            self.assertTrue(self.links.send(other, message))
        self.net.run(0.2)
        self.assertEqual({1: 1}, self.queries)
        self.assertEqual([], self.lost)

    def test_a_peer_that_sends_no_valid_message_still_loses_the_link(self):
        stream = self.links._outgoing[self.leader].link._stream
        stream.other.send(b"\x04\x00\x00\x00abcd")
        self.net.run(0.1)
        self.assertEqual([self.leader], self.lost)
