"""Tests of documents, founding, standby, tokens and the leader lease."""

import pathlib
import random
import tempfile

import testtools

from chervilwheel import addresses
from chervilwheel import batches
from chervilwheel import clock
from chervilwheel import disk
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import replica
from chervilwheel import timers
from chervilwheel.control import documents
from chervilwheel.control import enginerunner
from chervilwheel.control import founding
from chervilwheel.control import holding
from chervilwheel.control import nodesettings
from chervilwheel.control import routing
from chervilwheel.control import standby
from chervilwheel.control import tokens
from chervilwheel.workers import engine
from chervilwheel.workers import leases
from chervilwheel.workers import ports
from chervilwheel.workers import starter
from chervilwheel.workers import work

CONTROL = ids.InstanceId("10.0.1.1")
TIMING = replica.Timing(
    heartbeat_interval_s=0.1, election_timeout_s=0.5, election_stagger_s=0.25
)


def put(version, data):
    command = documents.CODEC.encode(documents.PutDocument(version, data))
    return batches.CODEC.encode(batches.Batch(1, (command,)))


class DocumentMachineTest(testtools.TestCase):
    """Only a newer version replaces the stored document."""

    def setUp(self):
        super().setUp()
        self.applied = []
        self.machine = documents.DocumentMachine(
            applied=lambda version, data: self.applied.append(version)
        )

    def test_only_newer_versions_are_applied(self):
        for version in (3, 2, 5, 5, 4):
            self.machine.apply(put(version, b"%d" % version))
        self.assertEqual([3, 5], self.applied)
        self.assertEqual(b"5", self.machine.data)

    def test_the_same_version_with_other_content_is_ignored(self):
        self.machine.apply(put(7, b"first"))
        self.machine.apply(put(7, b"second"))
        self.assertEqual(b"first", self.machine.data)

    def test_a_dump_restores_the_document(self):
        self.machine.apply(put(7, b"first"))
        other = documents.DocumentMachine(applied=lambda *_: None)
        other.load(self.machine.dump())
        self.assertEqual((7, b"first"), (other.version, other.data))


class RoutingTest(testtools.TestCase):
    """A request goes to the host's queue with the longest prefix."""

    def test_the_longest_prefix_wins(self):
        queues = tuple(
            documents.Queue(
                prefix, "a.example", prefix, ids.ServiceId("s"), 0, 1, 1, 0, 1
            )
            for prefix in ("/x/", "/x/y/", "/z/")
        )
        document = documents.Document(1, queues, (), documents.Bounds(), b"")
        table = routing.RouteTable(document=document)
        self.assertEqual("/x/y/", table.find("A.example:80", "/x/y/1").name)
        self.assertEqual("/x/", table.find("a.example", "/x/1").name)
        self.assertIsNone(table.find("b.example", "/x/1"))
        self.assertIsNone(table.find("a.example", "/other"))


class FoundingTest(testtools.TestCase):
    """A disk founds a group at the first start only, and joins afterwards."""

    def setUp(self):
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = pathlib.Path(temporary.name) / "data"
        self.store = disk.FileDisk()
        self.addCleanup(self.store.close)

    def identify(self, **options):
        options.setdefault("is_founding", True)
        options.setdefault("me", "10.0.0.1")
        options.setdefault("seeds", ["10.0.0.1", "10.0.0.2", "10.0.0.3"])
        return founding.load_or_create_identity(
            self.folder, self.store, **options
        )

    def open(self, identity):
        return founding.open_replica(
            folder=self.folder,
            store=self.store,
            identity=identity,
            group="document",
            me=ids.InstanceId("10.0.0.1"),
        )

    def test_the_seeds_of_the_first_start_are_the_voters(self):
        _, restored, member = self.open(self.identify())
        voters = restored.snapshot.config.voters
        self.assertEqual(3, len(voters))
        self.assertIn(member, voters)

    def test_a_later_start_ignores_changed_seeds(self):
        first = self.identify()
        second = self.identify(is_founding=False, seeds=["10.0.0.9"])
        self.assertEqual(first, second)

    def test_an_empty_disk_at_a_later_start_has_no_founders(self):
        _, restored, member = self.open(self.identify(is_founding=False))
        self.assertEqual((), restored.snapshot.config.voters)
        self.assertNotEqual("founding", member.disk)

    def test_a_host_outside_the_seeds_has_no_founders(self):
        identity = self.identify(me="10.0.0.4")
        self.assertEqual((), identity.founders)

    def test_a_damaged_journal_gives_the_disk_a_new_identity(self):
        identity = self.identify()
        group_journal, restored, member = self.open(identity)
        for term in (1, 2, 3):
            group_journal.save(replica.Actions(hard_state=(term, "vote")))
        (path,) = (self.folder / "document").glob("journal-*")
        data = bytearray(path.read_bytes())
        data[len(data) // 2] ^= 0xFF
        path.write_bytes(bytes(data))
        self.store.close()
        _, restored, other = self.open(identity)
        self.assertNotEqual(member.disk, other.disk)
        self.assertEqual(0, restored.term)


class NodeSettingsTest(testtools.TestCase):
    """Invalid settings are rejected with the key in the error."""

    VALID = """
name = "edge-1"
role = "entry"
host = "10.0.0.1"
zone = "north"
zones = ["north"]
seeds = ["10.0.0.2:80"]
peer_port = 7720
[listen]
front = "10.0.0.1:81"
"""

    def load(self, text):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as stream:
            stream.write(text)
            stream.flush()
            return nodesettings.load(pathlib.Path(stream.name))

    def test_valid_settings_load(self):
        cfg = self.load(self.VALID)
        self.assertEqual(81, cfg.listen["front"].port)
        self.assertFalse(cfg.is_founding)
        self.assertEqual(0.0, cfg.evacuation_s)

    def test_the_bound_of_evacuations_is_in_milliseconds(self):
        cfg = self.load("evacuation_ms = 5000" + self.VALID)
        self.assertEqual(5.0, cfg.evacuation_s)

    def test_the_limits_of_connections_follow_from_the_machine(self):
        text = "memory_mb = 160\nmax_descriptors = 1638\n"
        limits = self.load(text + self.VALID).connection_limits
        self.assertEqual(40 * 1024 * 1024, limits.bytes)
        self.assertEqual(819, limits.connections)
        limits = self.load("memory_mb = 8000\n" + self.VALID)
        self.assertEqual(64 * 1024 * 1024, limits.connection_limits.bytes)
        limits = self.load(self.VALID).connection_limits
        self.assertGreater(limits.bytes, 0)
        self.assertGreater(limits.connections, 0)

    def test_the_limits_of_connections_can_be_set(self):
        text = "connection_memory_mb = 2.5\nmax_connections = 7\n"
        limits = self.load(text + self.VALID).connection_limits
        self.assertEqual((int(2.5 * 1024 * 1024), 7), limits)
        for key in ("max_connections", "max_descriptors", "memory_mb"):
            for value in ("-1", '"5"', "true"):
                self.assertRaises(
                    errors.InvalidSettings,
                    self.load,
                    f"{key} = {value}\n" + self.VALID,
                )

    def test_the_operator_token_is_empty_by_default(self):
        self.assertEqual("", self.load(self.VALID).operator_token)
        text = 'operator_token = "secret+/="\n' + self.VALID
        self.assertEqual("secret+/=", self.load(text).operator_token)

    def test_errors_do_not_show_an_invalid_operator_token(self):
        for value in ('"12345 67"', "1234567", '"12345\u00e4"'):
            exc = self.assertRaises(
                errors.InvalidSettings,
                self.load,
                f"operator_token = {value}\n" + self.VALID,
            )
            self.assertIn("operator_token", exc.detail)
            self.assertNotIn("12345", exc.detail)

    def test_invalid_settings_name_the_key(self):
        for old, new, key in (
            ("7720", '"x"', "peer_port"),
            ('name = "edge-1"', "", "name"),
            ('"10.0.0.2:80"', '"nowhere"', "nowhere"),
            ("7720", "true", "peer_port"),
        ):
            exc = self.assertRaises(
                errors.InvalidSettings,
                self.load,
                self.VALID.replace(old, new, 1),
            )
            self.assertIn(key, exc.detail)


class StandbyTest(testtools.TestCase):
    """One of the reachable entry hosts takes over."""

    def setUp(self):
        super().setUp()
        self.first = standby.Standby(me=ids.InstanceId("10.0.0.1"))
        self.second = standby.Standby(me=ids.InstanceId("10.0.0.2"))

    def test_only_the_lowest_reachable_host_takes_over(self):
        self.first.record_heartbeat(ids.InstanceId("10.0.0.2"), 10.3)
        self.second.record_heartbeat(ids.InstanceId("10.0.0.1"), 10.3)
        self.assertTrue(
            self.first.should_take_over(holder_lost_at=10.0, now=10.5)
        )
        self.assertFalse(
            self.second.should_take_over(holder_lost_at=10.0, now=10.5)
        )

    def test_the_second_takes_over_when_the_first_is_silent(self):
        self.second.record_heartbeat(ids.InstanceId("10.0.0.1"), 10.0)
        self.assertTrue(
            self.second.should_take_over(holder_lost_at=10.0, now=11.0)
        )

    def test_a_standby_waits_while_an_election_can_succeed(self):
        for heartbeat in range(5):
            now = 10.0 + 0.15 * heartbeat
            self.record_quorum(now)
            self.assertFalse(
                self.first.should_take_over(
                    holder_lost_at=10.0, now=now + 0.14
                )
            )
        self.record_quorum(10.8)
        self.assertTrue(
            self.first.should_take_over(holder_lost_at=10.0, now=10.9)
        )

    def test_a_leader_stops_starting_tasks_before_a_standby_takes_over(self):
        self.assertLessEqual(
            starter.ENTRY_HEARTBEAT_TIMEOUT_S, standby.NO_QUORUM_WAIT_S
        )

    def test_a_standby_does_not_wait_for_an_election_without_a_quorum(self):
        self.record_quorum(10.0)
        self.assertTrue(
            self.first.should_take_over(holder_lost_at=10.0, now=10.4)
        )

    def test_a_control_host_without_a_quorum_any_more_is_believed(self):
        self.record_quorum(10.3)
        self.first.record_quorum(CONTROL, 10.35, is_reached=False)
        self.assertTrue(
            self.first.should_take_over(holder_lost_at=10.0, now=10.4)
        )

    def record_quorum(self, now):
        self.first.record_quorum(CONTROL, now, is_reached=True)


class FenceTest(testtools.TestCase):
    """Holders never share a token, and tokens fit into a JSON number."""

    def test_no_two_holders_share_a_token(self):
        seen = set()
        sides = [0] + [tokens.side_of(f"10.{z}.0.7") for z in range(4)]
        for term in (1, 2, 2**21 - 1):
            for side in sides:
                for bump in (0, 1, tokens.MAX_BUMP):
                    token = tokens.Fence(term, side).token(bump)
                    self.assertLess(token, 2**53)
                    seen.add(token)
        self.assertEqual(3 * 5 * 3, len(seen))

    def test_a_newer_leader_has_a_higher_token_than_an_older_standby(self):
        standby_token = tokens.Fence(4, tokens.side_of("10.1.0.2")).token(0)
        self.assertGreater(tokens.Fence(5, 0).token(0), standby_token)
        self.assertGreater(tokens.Fence(4, 0).token(1), standby_token)

    def test_a_standby_without_bumps_left_exceeds_any_token(self):
        side = tokens.side_of("10.1.0.2")
        for other in (0, side, tokens.side_of("10.1.0.9")):
            token = tokens.Fence(4, other).token(tokens.MAX_BUMP)
            fence = tokens.Fence(2, side).above(token)
            self.assertEqual(side, fence.side)
            self.assertGreater(fence.token(fence.bump_above(token)), token)

    def test_a_leader_keeps_its_term(self):
        token = tokens.Fence(4, tokens.side_of("10.1.0.2")).token(
            tokens.MAX_BUMP
        )
        self.assertEqual(4, tokens.Fence(4, 0).above(token).term)
        new = tokens.Fence(5, 0)
        self.assertGreater(new.token(new.bump_above(token)), token)


class LeaderLeaseTest(testtools.TestCase):
    """The leader lease ends before another leader can be elected."""

    def setUp(self):
        super().setUp()
        self.members = tuple(
            replica.Member(ids.InstanceId(name), "disk") for name in "abc"
        )
        first = replica.Snapshot(0, 0, replica.GroupConfig(self.members), b"")
        self.replicas = {
            member.name: replica.Replica(
                group="g",
                me=member,
                restored=replica.Restored(0, "", first, ()),
                peers=(),
                rng=random.Random(ord(member.name)),
                now=100.0,
                timing=TIMING,
            )
            for member in self.members
        }
        self.leader = self.replicas["a"]
        self.now = 102.0
        self.leader.tick(self.now)
        self.deliver()

    def deliver(self, hold_back=()):
        held_back = []
        for _ in range(12):
            for name, each in self.replicas.items():
                actions = each.take_actions()
                if actions.needs_sync:
                    each.on_synced(self.now)
                for send in (*actions.before_sync, *actions.after_sync):
                    if name in hold_back:
                        held_back.append(send)
                    else:
                        target = self.replicas[send.to]
                        target.receive(send.message, self.now)
        return held_back

    def test_the_lease_starts_when_the_heartbeat_is_sent(self):
        self.assertTrue(self.leader.is_leader)
        self.now += 0.1
        self.leader.tick(self.now)
        self.deliver()
        until = self.leader.lease_expires_at()
        self.assertGreater(until, self.now + 0.4)
        self.assertLessEqual(until, self.now + 0.5)

    def test_replies_read_after_a_suspension_do_not_extend_the_lease(self):
        self.now += 0.1
        self.leader.tick(self.now)
        sent_at = self.now
        held_back = self.deliver(hold_back=("b", "c"))
        self.now += 5.0
        for send in held_back:
            if send.to == "a":
                self.leader.receive(send.message, self.now)
        self.assertLess(self.leader.lease_expires_at(), sent_at + 0.5)

    def test_a_quorum_is_reported_while_an_election_can_succeed(self):
        follower = self.replicas["b"]
        self.now += 0.1
        self.leader.tick(self.now)
        self.deliver()
        for each in (self.leader, follower):
            self.assertTrue(each.is_quorum_reachable(self.now + 0.9))
            self.assertFalse(each.is_quorum_reachable(self.now + 1.1))

    def test_a_restarted_voter_reports_no_quorum_at_first(self):
        first = replica.Snapshot(0, 0, replica.GroupConfig(self.members), b"")
        restarted = replica.Replica(
            group="g",
            me=self.members[1],
            restored=replica.Restored(3, "", first, ()),
            peers=(),
            rng=random.Random(1),
            now=self.now,
            timing=TIMING,
        )
        self.assertFalse(restarted.is_quorum_reachable(self.now + 0.1))

    def test_a_candidate_with_a_reply_of_another_voter_reports_a_quorum(self):
        candidate = self.replicas["b"]
        self.now += 1.1
        candidate.tick(self.now)
        self.deliver(hold_back=("a",))
        self.assertTrue(candidate.is_quorum_reachable(self.now + 0.9))

    def test_members_are_current_while_a_leader_contacts_them(self):
        follower = self.replicas["b"]
        self.now += 0.1
        self.leader.tick(self.now)
        self.deliver()
        limit_s = replica.CURRENT_HEARTBEATS * TIMING.heartbeat_interval_s
        for each in (self.leader, follower):
            self.assertTrue(each.is_current(self.now + limit_s - 0.01))
        self.assertFalse(follower.is_current(self.now + limit_s + 0.01))
        expires_at = self.leader.lease_expires_at()
        self.assertFalse(self.leader.is_current(expires_at))

    def test_a_follower_without_all_committed_entries_is_not_current(self):
        follower = self.replicas["c"]
        self.leader.propose([b"x"], self.now)
        self.deliver(hold_back=("c",))
        self.now += 1.0
        heartbeat = replica.AppendRequest(
            group="g",
            to=follower.me,
            sender=self.leader.me,
            term=self.leader.term,
            prev_index=1,
            prev_term=self.leader.term,
            commit=self.leader.commit + 1,
            entries=(),
            stamp=self.now,
        )
        follower.receive(heartbeat, self.now)
        self.assertFalse(follower.is_current(self.now))

    def test_a_leader_that_resigns_has_no_lease(self):
        self.leader.resign(self.now)
        self.assertEqual(0.0, self.leader.lease_expires_at())

    def test_a_leader_that_begins_a_term_is_elected_without_a_wait(self):
        term = self.leader.term
        self.leader.begin_term(self.now)
        self.assertEqual(0.0, self.leader.lease_expires_at())
        self.deliver()
        self.assertTrue(self.leader.is_leader)
        self.assertEqual(term + 1, self.leader.term)

    def test_a_leader_without_a_quorum_does_not_begin_a_term(self):
        self.leader.begin_term(self.now)
        self.deliver(hold_back=("b", "c"))
        self.assertFalse(self.leader.is_leader)
        self.assertEqual(0.0, self.leader.lease_expires_at())


class RecordingPort(ports.ExecutorPort):
    """Record the tokens of orders and never answer."""

    def __init__(self):
        self.tokens = set()

    def start(self, order, done):
        self.tokens.add(order.token)

    def stop(self, order, done):
        self.tokens.add(order.token)

    def hold(self, order, done):
        self.tokens.add(order.token)


class UnconnectedLinks:
    """Links without any connection."""

    def handle(self, kind, handler):
        pass


class ClosedZoneTest(testtools.TestCase):
    """A start is checked again when it is sent to its executor."""

    def setUp(self):
        super().setUp()
        self.clk = clock.ManualClock()
        self.heap = timers.TimerHeap(clk=self.clk, on_error=self.fail)
        self.port = StartRecordingPort()
        self.may_start = True
        job_engine = engine.Engine(
            token=1,
            reports_complete_at=0.0,
            now=self.clk.now(),
            lease_limits=leases.LeaseLimits(1.0, 0.05),
        )
        self.verdicts = []
        self.patch(
            job_engine,
            "started",
            lambda _order, verdict, *_: self.verdicts.append(verdict),
        )
        self.runner = enginerunner.EngineRunner(
            heap=self.heap,
            port=self.port,
            job_engine=job_engine,
            fence=tokens.Fence(1, tokens.LEADER_SIDE),
            bump=0,
            notify=self.fail,
            may_send_orders=lambda: True,
            may_start=lambda: self.may_start,
        )
        for zone in ("north", "south"):
            job_engine.report(self.report(zone), self.clk.now())
        job_engine.take_actions()

    def report(self, zone):
        return work.ExecutorReport(
            id=work.ExecutorId(zone),
            service=ids.ServiceId("s"),
            address=addresses.Address("10.0.0.9", 80),
            zone=ids.ZoneId(zone),
            room=work.Room(),
            labels=(),
            is_draining=False,
            is_gone=False,
            remaining_ms=0,
            clock_ms=1,
            sequence=1,
        )

    def start(self, zone):
        """Send a start that the engine has ordered."""
        self.runner._start(
            work.StartOrder(
                executor=work.ExecutorId(zone),
                address=addresses.Address("10.0.0.9", 80),
                task=work.TaskId(ids.JobId("1"), 0, 0),
                run=1,
                spec="",
                deadline_ms=1,
                token=1,
            )
        )
        self.clk.advance(enginerunner.TICK_S)
        self.heap.run_due()

    def test_a_start_in_a_closed_zone_is_not_sent(self):
        self.runner.close_zones(frozenset({ids.ZoneId("north")}))
        self.start("north")
        self.assertEqual([], self.port.started)
        self.assertEqual([work.StartVerdict.NOT_SENT], self.verdicts)
        self.start("south")
        self.assertEqual(["south"], self.port.started)

    def test_a_start_without_permission_is_not_sent(self):
        self.may_start = False
        self.start("south")
        self.assertEqual([], self.port.started)
        self.assertEqual([work.StartVerdict.NOT_SENT], self.verdicts)

    def test_executors_that_report_later_are_closed(self):
        self.runner.close_zones(frozenset({ids.ZoneId("north")}))
        late = self.report("north")._replace(id=work.ExecutorId("late"))
        self.runner.engine.report(late, self.clk.now())
        closed = {
            name
            for name, each in self.runner.engine.executors.items()
            if each.is_closed
        }
        self.assertEqual({"north", "late"}, closed)


class StartRecordingPort(RecordingPort):
    """Record the executors of start orders."""

    def __init__(self):
        super().__init__()
        self.started = []

    def start(self, order, done):
        self.started.append(order.executor)


class HolderRoleTokenTest(testtools.TestCase):
    """A new holder's token exceeds every token that its host has seen."""

    def test_a_standby_takes_over_after_a_leader_raised_its_token(self):
        clk = clock.ManualClock()
        heap = timers.TimerHeap(clk=clk, on_error=self.fail)
        port = RecordingPort()
        role = holding.HolderRole(
            me=ids.InstanceId("10.1.0.2"),
            heap=heap,
            links=UnconnectedLinks(),
            port=port,
            send_not_holder=self.fail,
            notify=self.fail,
            lease_limits=leases.LeaseLimits(1.0, 0.05),
        )
        raised = tokens.Fence(1, tokens.LEADER_SIDE).token(3)
        role.record_token(raised)
        report = work.ExecutorReport(
            id=work.ExecutorId("e"),
            service=ids.ServiceId("s"),
            address=addresses.Address("10.0.0.9", 80),
            zone=ids.ZoneId("north"),
            room=work.Room(),
            labels=(),
            is_draining=False,
            is_gone=False,
            remaining_ms=0,
            clock_ms=1,
            sequence=1,
        )
        role.begin(
            fence=tokens.Fence(1, tokens.side_of("10.1.0.2")),
            reports_complete_at=0.0,
            reports=[(clk.now(), report)],
            may_send_orders=lambda: True,
        )
        clk.advance(0.3)
        heap.run_due()
        self.assertEqual({role.highest_token}, port.tokens)
        self.assertGreater(role.highest_token, raised)
        role.end("another holder took over")
        ended_token = role.highest_token
        role.begin(
            fence=tokens.Fence(1, tokens.side_of("10.1.0.2")),
            reports_complete_at=0.0,
            reports=[],
            may_send_orders=lambda: True,
        )
        self.assertGreater(role.highest_token, ended_token)
