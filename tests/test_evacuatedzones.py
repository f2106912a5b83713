"""Evacuations over several hosts: acknowledgement, effect and failures.

Executors accept every start and list no runs, so that holders start the same
tasks again and again: a start in an evacuated zone would be noticed at once.
"""

import itertools
import logging

import testtools

from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import messages
from chervilwheel.control import controlhost
from chervilwheel.control import evacuations
from chervilwheel.control import holding
from chervilwheel.control import scopes
from loadtool import hostworld
from tests import test_hosts

ZONES = ("a", "b", "c")
EVACUATION_S = 5.0
# The limit where hosts are connected.
CONNECTED_S = 1.0
# Two statuses of the holder.
TOLD_S = 0.3


class RecordingPort(test_hosts.AnsweringPort):
    """Executors that record starts as pairs of time and zone.

    :param starts: the list, shared by the ports of all hosts
    """

    def __init__(self, heap, *, starts):
        super().__init__(heap)
        self._all_starts = starts

    def start(self, order, done):
        """Accept a run."""
        zone = order.executor.split("-")[1]
        self._all_starts.append((self._heap.clock.now(), zone))
        super().start(order, done)

    def _answer(self, callback):
        # Slower than the base class does, so that tests run in less time.
        self._heap.call_later(0.02, callback)


class _Collector(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


class ZonesTest(testtools.TestCase):
    """Base class: three zones with a control host each, under load."""

    def start_world(
        self, *, entries=3, evacuation_s=EVACUATION_S, by_zone=1, **options
    ):
        self.starts = []
        self.world = hostworld.World(
            controls=3,
            entries=entries,
            make_port=lambda heap: RecordingPort(heap, starts=self.starts),
            zones=ZONES,
            evacuation_s=evacuation_s,
            **options,
        )
        self.addCleanup(self.world.close)
        self.world.run(2.0)
        self.assertTrue(self.world.put_document(1))
        control = next(iter(self.world.controls.values()))
        for zone, number in itertools.product(ZONES, range(by_zone)):
            control.report(test_hosts.report(f"{zone}-{number}", zone=zone))
        numbers = itertools.count(1)
        for entry in self.world.entries.values():
            for _ in range(2):
                job = test_hosts.job()._replace(id=f"{next(numbers):016x}")
                entry.jobs.submit(job, lambda _answer: None)
        self.world.run(1.0)

    def host_in(self, zone, hosts):
        return next(
            host for host in hosts if self.world.nodes[host].cfg.zone == zone
        )

    def leader(self):
        return self.world.controls[self.world.holder()]

    def follower(self):
        holder = self.world.holder()
        return next(
            control
            for host, control in self.world.controls.items()
            if host != holder and host in self.world.network.running
        )

    def order(self, zone, *, is_evacuated=True, control=None, wait_s=1.0):
        """Give an order; return when it was acknowledged, None if it wasn't.

        Once it is acknowledged, the time isn't advanced any more.
        """
        control = control or self.follower()
        results = []
        control.order_zone(
            zone, is_evacuated=is_evacuated, origin="test", done=results.append
        )
        end = self.world.clock.now() + wait_s
        while not results and self.world.clock.now() < end:
            self.world.run(0.001)
        return self.world.clock.now() if results == [True] else None

    def zones_started(self, *, since, until=float("inf")):
        return {zone for at, zone in self.starts if since <= at < until}

    def last_start(self, zone):
        return max(at for at, each in self.starts if each == zone)

    def views(self):
        """Return the evacuated zones as each running host knows them."""
        views = {
            **{h: c._zone_view for h, c in self.world.controls.items()},
            **{h: e._zone_watch.view for h, e in self.world.entries.items()},
        }
        return {views[host].evacuated for host in self.world.network.running}

    def isolate(self, zone):
        """Cut a zone off from the others."""
        inside = self.world.hosts_of(zone)
        outside = [host for host in self.world.nodes if host not in inside]
        for host in inside:
            self.world.cut_off(host, outside)


class OrderTest(ZonesTest):
    def test_an_order_is_acknowledged_in_time_and_has_effect(self):
        self.start_world()
        begun_at = self.world.clock.now()
        acked_at = self.order("b")
        self.assertLess(acked_at - begun_at, 1.0)
        # Sent at once, not with the next status.
        self.world.run(4 * hostworld.LATENCY_S)
        entries = self.world.entries.values()
        for entry in entries:
            self.assertEqual({"b"}, entry._zone_watch.view.evacuated)
        self.world.run(TOLD_S)
        self.assertEqual({frozenset({"b"})}, self.views())
        self.world.run(1.0)
        self.assertLessEqual(self.last_start("b"), acked_at + CONNECTED_S)
        recent = self.zones_started(since=self.world.clock.now() - 0.5)
        self.assertEqual({"a", "c"}, recent)

    def test_a_restored_zone_is_used_again(self):
        self.start_world()
        self.assertIsNotNone(self.order("b"))
        self.world.run(1.0)
        restored_at = self.order("b", is_evacuated=False)
        self.world.run(1.0)
        self.assertEqual({frozenset()}, self.views())
        self.assertIn("b", self.zones_started(since=restored_at))

    def test_all_zones_but_one_are_evacuated(self):
        self.start_world()
        self.order("a")
        acked_at = self.order("c")
        self.world.run(2.0)
        since = acked_at + CONNECTED_S
        self.assertEqual({"b"}, self.zones_started(since=since))

    def test_an_unknown_zone_is_an_error(self):
        self.start_world()
        self.assertRaises(errors.InvalidRequest, self.order, "d")

    def test_an_order_that_was_abandoned_is_not_begun(self):
        # A host that was paused reads requests whose clients have gone.
        self.start_world()
        results = []
        closed = []
        self.follower().order_zone(
            "b",
            is_evacuated=True,
            origin="test",
            done=results.append,
            is_abandoned=lambda: bool(closed),
        )
        closed.append(True)
        self.world.run(1.0)
        self.assertEqual([False], results)
        self.assertEqual(0, self.follower().zones.revision)

    def test_an_order_is_retried_after_a_conflict(self):
        # This host has not applied the latest order yet.
        self.start_world()
        control = self.follower()
        for is_evacuated in (True, False):
            self.order("b", is_evacuated=is_evacuated)
            self.world.run(0.5)
        control._zone_orders._table = evacuations.ZoneTable
        self.assertIsNotNone(self.order("b", control=control))
        self.world.run(0.5)
        self.assertEqual({frozenset({"b"})}, self.views())
        self.assertEqual(3, control.zones.revision)

    def test_orders_of_two_operators_have_one_result(self):
        self.start_world()
        results = []
        for control, is_evacuated in zip(
            self.world.controls.values(), (True, False, True), strict=True
        ):
            control.order_zone(
                "b",
                is_evacuated=is_evacuated,
                origin="test",
                done=results.append,
            )
        self.world.run(1.0)
        self.assertEqual([True] * 3, results)
        self.assertEqual(1, len(self.views()))
        tables = {control.zones for control in self.world.controls.values()}
        self.assertEqual(1, len(tables))

    def test_the_table_is_read_from_a_quorum(self):
        self.start_world()
        control = self.follower()
        self.order("b")
        tables = []
        control.read_zones(tables.append)
        self.world.run(1.0)
        (table,) = tables
        self.assertEqual({"b"}, table.evacuated)
        for host in self.world.controls:
            if host != control._cfg.id:
                self.world.stop(host)
        control.read_zones(tables.append)
        self.world.run(1.0)
        self.assertEqual([None], tables[1:])

    def test_each_host_logs_a_change_once(self):
        self.start_world()
        collector = _Collector()
        for name in ("control", "entry"):
            logger = logging.getLogger(name)
            self.addCleanup(logger.setLevel, logger.level)
            logger.setLevel(logging.INFO)
            logger.addHandler(collector)
            self.addCleanup(logger.removeHandler, collector)
        self.order("b")
        self.world.run(1.0)
        texts = [record.getMessage() for record in collector.records]
        self.assertEqual(3, texts.count("control: a zone is evacuated"))
        self.assertEqual(3, texts.count("entry: a zone is evacuated"))


class FailureTest(ZonesTest):
    def test_nothing_is_acknowledged_without_a_majority(self):
        self.start_world()
        leader = self.world.holder()
        for host in self.world.controls:
            if host != leader:
                self.world.stop(host)
        control = self.world.controls[leader]
        self.assertIsNone(self.order("b", control=control))
        self.assertEqual(0, control.zones.revision)

    def test_the_receiving_host_fails_and_the_order_is_resent(self):
        self.start_world()
        results = []
        receiver = self.follower()
        receiver.order_zone(
            "b", is_evacuated=True, origin="test", done=results.append
        )
        self.world.run(0.002)
        self.world.stop(receiver._cfg.id)
        self.assertEqual([], results)
        self.world.run(0.5)
        self.assertIsNotNone(self.order("b"))
        self.assertEqual(1, self.leader().zones.revision)

    def test_the_leader_fails_right_after_the_acknowledgement(self):
        self.start_world()
        former = self.world.holder()
        acked_at = self.order("b", control=self.leader())
        self.world.stop(former)
        self.world.run(4.0)
        self.assertNotIn(self.world.holder(), (None, former))
        self.assertLessEqual(self.last_start("b"), acked_at + CONNECTED_S)
        recent = self.zones_started(since=self.world.clock.now() - 0.5)
        self.assertEqual({"a", "c"}, recent)

    def test_power_is_lost_right_after_the_acknowledgement(self):
        self.start_world()
        acked_at = self.order("b")
        controls = list(self.world.controls)
        for host in controls:
            self.world.stop(host)
        self.world.run(0.2)
        for host in controls:
            self.world.restart(host)
        control = next(iter(self.world.controls.values()))
        for zone in ZONES:
            control.report(test_hosts.report(f"{zone}-0", zone=zone))
        self.world.run(5.0)
        self.assertIsNotNone(self.world.holder())
        self.assertEqual({frozenset({"b"})}, self.views())
        self.assertLessEqual(self.last_start("b"), acked_at + EVACUATION_S)
        recent = self.zones_started(since=self.world.clock.now() - 0.5)
        self.assertEqual({"a", "c"}, recent)

    def test_a_follower_that_missed_the_order_learns_it(self):
        self.start_world()
        away = self.follower()
        host = away._cfg.id
        self.world.stop(host)
        self.assertIsNotNone(self.order("b"))
        self.world.restart(host)
        self.world.run(2.0)
        self.assertEqual(self.leader().zones, self.world.controls[host].zones)

    def test_a_follower_gets_the_order_with_a_snapshot(self):
        self.patch(controlhost, "COMPACT_BYTES", 2_000)
        self.start_world()
        host = self.follower()._cfg.id
        self.world.stop(host)
        self.assertIsNotNone(self.order("b"))
        for version in range(2, 12):
            self.leader().put(b"%d" % version, lambda _is_stored: None)
            self.world.run(0.1)
        log = self.leader().member.log
        self.assertGreater(log.snapshot.index, 5)
        self.world.restart(host)
        self.world.run(2.0)
        self.assertEqual({"b"}, self.world.controls[host].zones.evacuated)

    def test_a_host_whose_disk_was_wiped_learns_the_order(self):
        self.start_world()
        host = self.follower()._cfg.id
        self.assertIsNotNone(self.order("b"))
        self.world.stop(host)
        self.world.restart(host, is_wiped=True)
        self.assertEqual(0, self.world.controls[host].zones.revision)
        self.world.run(3.0)
        self.assertEqual({"b"}, self.world.controls[host].zones.evacuated)

    def test_a_new_leader_waits_until_it_has_applied_the_log(self):
        self.start_world()
        leader = self.leader()
        group = leader._group
        self.assertTrue(group.has_applied_own_term)
        leader.holder_role.end("test")
        # It has committed the entry of its term, but not applied it.
        group._applied_index -= 1
        while group.has_applied_own_term:
            group._applied_index -= 1
        self.world.run(0.2)
        self.assertFalse(leader.holder_role.is_active)

    def test_a_host_that_was_paused_is_not_current_at_first(self):
        # It reads messages of a leader that may have been deposed since.
        self.start_world()
        control = self.follower()
        self.assertTrue(control._is_current())
        self.world.clock.advance(10.0)
        control.member._current_at = self.world.clock.now()
        self.assertFalse(control._is_current())
        control._check_leadership()
        control.member._current_at = self.world.clock.now()
        self.assertFalse(control._is_current())
        self.world.run(3.0)
        self.assertTrue(self.follower()._is_current())


class StandbyTest(ZonesTest):
    """Evacuations that a standby holder may have missed."""

    def test_a_loss_of_all_control_hosts_stops_nothing(self):
        self.start_world()
        for host in self.world.controls:
            self.world.stop(host)
        self.world.run(10.0)
        recent = self.zones_started(since=self.world.clock.now() - 0.5)
        self.assertEqual(set(ZONES), recent)

    def test_a_standby_knows_the_zones_that_were_evacuated_before(self):
        self.start_world()
        acked_at = self.order("b")
        self.world.run(0.2)
        for host in self.world.controls:
            self.world.stop(host)
        self.world.run(4.0)
        since = acked_at + CONNECTED_S
        self.assertEqual({"a", "c"}, self.zones_started(since=since))

    def test_an_order_for_a_zone_that_is_cut_off(self):
        self.start_world()
        zone = self.zone_of_follower()
        self.isolate(zone)
        self.world.run(2.5)
        cut_zone_starts = len(self.starts)
        acked_at = self.order(zone, control=self.leader())
        self.assertIsNotNone(acked_at)
        self.world.run(8.0)
        # It goes on at first, since it can't know of the order.
        self.assertGreater(len(self.starts), cut_zone_starts)
        self.assertLessEqual(self.last_start(zone), acked_at + EVACUATION_S)

    def test_an_order_at_the_moment_of_the_cut(self):
        self.start_world()
        zone = self.zone_of_follower()
        self.isolate(zone)
        acked_at = self.order(zone, control=self.leader())
        self.world.run(8.0)
        self.assertLessEqual(self.last_start(zone), acked_at + EVACUATION_S)

    def test_a_zone_alone_serves_for_a_while_and_then_starts_nothing(self):
        self.start_world()
        zone = self.zone_of_follower()
        host = self.host_in(zone, self.world.entries)
        cut_at = self.world.clock.now()
        self.isolate(zone)
        self.world.run(8.0)
        holder = self.world.entries[host].jobs.holder
        self.assertEqual(host, holder.host)
        standby = self.world.entries[host]._holder_role
        # It keeps its role, so that runs end by themselves.
        self.assertTrue(standby.is_active)
        executors = standby._runner.engine.executors.values()
        self.assertTrue(all(executor.is_closed for executor in executors))
        port = self.world.ports[host]
        self.assertGreater(max(port.starts), cut_at + 3.0)
        self.assertLess(max(port.starts), cut_at + EVACUATION_S)

    def test_the_permission_is_unlimited_without_evacuations(self):
        self.start_world(evacuation_s=0.0)
        zone = self.zone_of_follower()
        host = self.host_in(zone, self.world.entries)
        self.isolate(zone)
        self.world.run(8.0)
        recent = self.world.clock.now() - 0.5
        self.assertGreater(max(self.world.ports[host].starts), recent)

    def test_followers_of_the_leader_renew_the_permission(self):
        # It reaches neither the leader nor another entry host.
        self.start_world()
        zone = self.zone_of_follower()
        host = self.host_in(zone, self.world.entries)
        self.world.cut_off(host, [self.world.holder(), *self.world.entries])
        self.world.run(7.0)
        recent = self.world.clock.now() - 0.5
        self.assertGreater(max(self.world.ports[host].starts), recent)
        acked_at = self.order(zone, control=self.leader())
        self.world.run(2.0)
        self.assertLessEqual(self.last_start(zone), acked_at + CONNECTED_S)

    def test_the_status_of_the_holder_renews_the_permission(self):
        # The leader is the only control host that it reaches.
        self.start_world()
        zone = self.zone_of_follower()
        host = self.host_in(zone, self.world.entries)
        leader = self.world.holder()
        followers = [each for each in self.world.controls if each != leader]
        self.world.cut_off(host, followers)
        self.world.run(EVACUATION_S)
        cut_at = self.world.clock.now()
        self.world.cut_off(host, self.world.nodes)
        self.world.run(EVACUATION_S)
        self.assertGreater(max(self.world.ports[host].starts), cut_at + 3.0)

    def test_a_zone_starts_again_once_the_cut_has_healed(self):
        self.start_world()
        zone = self.zone_of_follower()
        self.isolate(zone)
        self.world.run(8.0)
        self.world.network.cuts.clear()
        self.world.run(4.0)
        recent = self.zones_started(since=self.world.clock.now() - 0.5)
        self.assertEqual(set(ZONES), recent)

    def test_an_order_while_another_zone_is_cut_off(self):
        self.start_world()
        cut_zone = self.zone_of_follower()
        zone = next(each for each in ZONES if each != cut_zone)
        self.isolate(cut_zone)
        self.world.run(1.0)
        acked_at = self.order(zone, control=self.leader())
        self.assertIsNotNone(acked_at)
        # The standby of the zone that is cut off reaches all executors here.
        self.world.run(8.0)
        self.assertLessEqual(self.last_start(zone), acked_at + EVACUATION_S)

    def test_an_order_reaches_hosts_cut_off_from_the_control_hosts(self):
        # The other entry hosts tell it.
        self.start_world(entries=4)
        alone = next(iter(self.world.entries))
        self.world.cut_off(alone, self.world.controls)
        self.world.run(2.0)
        acked_at = self.order("b")
        self.world.run(2.0)
        self.assertEqual({frozenset({"b"})}, self.views())
        self.assertLessEqual(self.last_start("b"), acked_at + CONNECTED_S)

    def zone_of_follower(self):
        """Return a zone without the leader."""
        return self.world.nodes[self.follower()._cfg.id].cfg.zone

    def test_entry_hosts_tell_each_other(self):
        self.start_world()
        alone = next(iter(self.world.entries))
        self.world.cut_off(alone, self.world.nodes)
        self.assertIsNotNone(self.order("b"))
        self.world.run(0.1)
        for host in self.world.controls:
            self.world.stop(host)
        self.world.network.cuts.clear()
        self.world.run(2.0)
        self.assertEqual({frozenset({"b"})}, self.views())

    def test_entry_hosts_tell_the_leader(self):
        self.start_world()
        leader = self.leader()
        beat = messages.EntryBeat(
            ids.InstanceId("10.1.0.99"), 1, zones_revision=7, evacuated=("c",)
        )
        leader._on_entry_beat(SilentLink(), beat)
        told_at = self.world.clock.now()
        self.world.run(1.0)
        self.assertEqual({"a", "b"}, self.zones_started(since=told_at))
        self.assertEqual({frozenset({"c"})}, self.views())


class SilentLink:
    """A link to an entry host that receives nothing."""

    peer = ids.InstanceId("10.1.0.99")

    def send(self, message):
        pass


class WitnessTest(ZonesTest):
    """Standbys of large zones ask hosts of the other zones."""

    def start_world(self, **options):
        self.patch(scopes, "MIN_POOL_EXECUTORS", 2)
        super().start_world(by_zone=2, **options)

    def stop_controls(self):
        for host in self.world.controls:
            self.world.stop(host)

    def test_a_loss_of_all_control_hosts_stops_no_zone(self):
        self.start_world(entries=6)
        self.stop_controls()
        self.world.run(10.0)
        holders = {
            entry.jobs.holder.host for entry in self.world.entries.values()
        }
        self.assertEqual(3, len(holders))
        recent = self.zones_started(since=self.world.clock.now() - 0.5)
        self.assertEqual(set(ZONES), recent)

    def test_the_number_of_witnesses_does_not_grow_with_the_hosts(self):
        self.start_world(entries=12)
        for entry in self.world.entries.values():
            self.assertEqual(4, len(entry._zone_watch.witnesses))
        self.stop_controls()
        self.world.run(2.5)
        probes = self.world.messages_sent("EntryBeat")
        self.world.run(1.0)
        rate = self.world.messages_sent("EntryBeat") - probes
        # 12 hosts that tell 3 others of their zone and 3 control hosts, and
        # 3 standbys that ask 4 witnesses, which answer.
        heartbeats = 1 / 0.15
        self.assertLess(rate, heartbeats * (12 * 6 + 3 * 4 * 2) * 1.1)

    def test_a_witness_is_replaced(self):
        self.patch(holding, "ENTRY_REMOVAL_S", 1.0)
        self.start_world(entries=9)
        entry_host = self.host_in("a", self.world.entries)
        witness, other = [
            host
            for host, zone in self.world.entries[
                entry_host
            ]._zone_watch.witnesses.items()
            if zone == "b"
        ]
        self.world.stop(witness)
        self.world.run(2.0)
        witnesses = self.world.entries[entry_host]._zone_watch.witnesses
        self.assertNotIn(witness, witnesses)
        self.assertIn(other, witnesses)
        self.assertEqual(4, len(witnesses))

    def test_a_witness_that_reaches_a_quorum_does_not_renew(self):
        # Entry hosts of one zone lose the control hosts, and reach hosts of
        # other zones that are told of a quorum.
        self.start_world(entries=6)
        entry = next(iter(self.world.entries.values()))
        now = self.world.clock.now()
        start = entry._zone_watch._permission
        start._renewed_at = start._quorum_seen_at = 0.0
        zones = iter([zone for zone in ZONES if zone != entry._node.cfg.zone])
        beat = messages.EntryBeat(
            ids.InstanceId("10.1.0.99"),
            1,
            zone=next(zones),
            echo=now,
            has_quorum=True,
        )
        entry._on_entry_beat(SilentLink(), beat)
        self.assertFalse(start.may_start(now))
        entry._on_entry_beat(SilentLink(), beat._replace(has_quorum=False))
        self.assertTrue(start.may_start(now))

    def test_an_evacuated_zone_shares_the_standby_of_an_open_one(self):
        self.start_world(entries=6)
        acked_at = self.order("b")
        self.world.run(0.5)
        self.stop_controls()
        self.world.run(6.0)
        holders = {
            self.world.nodes[host].cfg.zone: entry.jobs.holder.host
            for host, entry in self.world.entries.items()
        }
        self.assertEqual(holders["a"], holders["b"])
        self.assertNotEqual(holders["a"], holders["c"])
        since = acked_at + CONNECTED_S
        self.assertEqual({"a", "c"}, self.zones_started(since=since))

    def test_a_standby_takes_over_the_executors_of_an_evacuated_zone(self):
        # It may still be the one that renews the leases of runs there.
        self.start_world(entries=6)
        self.stop_controls()
        self.world.run(3.0)
        entry = self.world.entries[self.host_in("a", self.world.entries)]
        beat = messages.EntryBeat(
            ids.InstanceId("10.1.0.99"), 1, zones_revision=1, evacuated=("b",)
        )
        entry._on_entry_beat(SilentLink(), beat)
        self.world.run(3.0)
        holder = self.world.entries[entry.jobs.holder.host]
        engine = holder._holder_role._runner.engine
        zones = {each.report.zone for each in engine.executors.values()}
        self.assertEqual({"a", "b"}, zones)
