"""A message that can't be encoded costs neither its link nor others."""

import collections

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel.control import entryjobs
from chervilwheel.control import relay
from chervilwheel.workers import work
from tests import test_hosts

# No field of a message is below zero.
UNSENDABLE = messages.JobQuery(-1, ids.JobId(""))
SENDABLE = messages.JobQuery(1, ids.JobId("0000000000000001"))
NEWS = messages.JobStatus(1, work.JobStage.UNKNOWN)


class MessageTest(test_hosts.HostsTest):
    """Base class of tests of the links of an entry host."""

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


class UnsendableReplyTest(MessageTest):
    """A fault of this host was taken for one of the peer."""

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


class FailingHandlerTest(MessageTest):
    """What follows a message that fails is handled at once."""

    def test_messages_behind_one_whose_handler_fails_are_handled(self):
        handled = []

        def fail_once(_link, news):
            handled.append(news.number)
            if news.number == 1:
                raise RuntimeError

        self.links.handle(messages.JobStatus, fail_once)
        frames = b""
        for number in (1, 2, 3):
            data = messages.CODEC.encode(NEWS._replace(number=number))
            frames += peers._LENGTH.pack(len(data)) + data
        # Between two heartbeats, which are more data.
        self.net.run(0.04)
        self.links._outgoing[self.leader].link._stream.other.send(frames)
        self.assertRaises(RuntimeError, self.net.run, 0.002)
        self.net.errors.clear()
        self.net.run(0.002)
        self.assertEqual([1, 2, 3], handled)
        self.assertEqual([], self.lost)


class UnsendableJobTest(test_hosts.HostsTest):
    """One job that can't be sent kept all others from the next holder."""

    def setUp(self):
        super().setUp()
        self.net = self.world(entries=1, make_port=test_hosts.AnsweringPort)
        self.report_executors(self.net, by_zone=4)
        ((_, self.entry),) = self.net.entries.items()
        self.answers = {}

    def submit(self, number, **fields):
        job = test_hosts.job()._replace(
            id=ids.JobId(f"{number:016x}"), **fields
        )
        self.entry.jobs.submit(
            job, lambda answer: self.answers.setdefault(number, answer)
        )

    def held(self):
        role = self.net.controls[self.net.holder()].holder_role
        return {int(job, 16) for job in role._runner.engine.jobs}

    def test_it_is_refused_at_once_and_says_when_to_come_back(self):
        self.submit(1, target_ms=-1)
        answer = self.answers[1]
        self.assertIs(work.Outcome.REFUSED, answer.outcome)
        self.assertEqual(entryjobs.UNSENDABLE_RETRY_MS, answer.retry_after_ms)
        self.assertEqual("unsendable", answer.reason)
        self.assertEqual(0, len(self.entry.jobs))

    def test_jobs_behind_it_reach_the_next_holder(self):
        former = self.net.holder()
        self.submit(1)
        self.submit(2)
        # It has had no offer yet, as if it had come without a holder.
        self.entry.jobs._add(
            test_hosts.job()._replace(id=ids.JobId(f"{3:016x}"), target_ms=-1)
        )
        self.submit(4)
        self.net.run(0.1)
        self.net.stop(former)
        self.net.run(4.0)
        self.assertNotEqual(former, self.net.holder())
        self.assertEqual({1, 2, 4}, self.held())
        self.assertEqual(3, len(self.entry.jobs))

    def test_one_that_a_standby_ran_before_is_lost_not_refused(self):
        self.submit(1)
        (state,) = self.entry.jobs._jobs.values()
        state.job = state.job._replace(target_ms=-1)
        self.net.stop(self.net.holder())
        self.net.run(4.0)
        self.assertIs(work.Outcome.LOST, self.answers[1].outcome)
