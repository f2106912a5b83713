"""Tests of the transfer of learned speeds to the next holder."""

import testtools

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel.control import holding
from chervilwheel.control import speedtransfer
from chervilwheel.workers import speeds
from tests import test_hosts

SLOW = speeds.SpeedRow("x-north-0", 0, 0.6, 60.0)
FAST = speeds.SpeedRow("x-south-0", 0, 1.6, 60.0)


class SpeedTransferTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.transfer = speedtransfer.SpeedTransfer()

    def test_a_table_is_sent_after_a_change_only(self):
        # Guards against a message to each host every second.
        changed = SLOW._replace(speed=0.75)
        self.assertFalse(self.transfer.is_due((), 0.0))
        self.assertTrue(self.transfer.is_due((SLOW,), 1.0))
        noise = SLOW._replace(speed=0.62, weight=55.0)
        self.assertFalse(self.transfer.is_due((noise,), 2.0))
        self.assertTrue(self.transfer.is_due((changed,), 3.0))
        self.assertTrue(self.transfer.is_due((changed, FAST), 4.0))
        self.assertTrue(self.transfer.is_due((), 5.0))
        self.assertFalse(self.transfer.is_due((), 100.0))

    def test_an_unchanged_table_is_sent_again_before_it_is_too_old(self):
        self.transfer.is_due((SLOW,), 0.0)
        self.assertTrue(self.transfer.is_due((SLOW,), speedtransfer.REFRESH_S))
        self.assertLess(speedtransfer.REFRESH_S, speedtransfer.MAX_AGE_S)

    def test_an_old_table_is_dropped(self):
        self.transfer.receive(messages.ExecutorSpeeds((SLOW,)), 0.0)
        self.assertEqual((SLOW,), self.transfer.known(59.0))
        self.assertEqual((), self.transfer.known(61.0))

    def test_a_table_is_bounded_and_replaces_the_earlier_one(self):
        rows = tuple(SLOW._replace(id=f"x-{n}") for n in range(1_000))
        self.transfer.receive(messages.ExecutorSpeeds(rows), 0.0)
        self.assertEqual(speeds.MAX_ROWS, len(self.transfer.known(0.0)))
        self.transfer.receive(messages.ExecutorSpeeds((FAST,)), 1.0)
        self.assertEqual((FAST,), self.transfer.known(1.0))

    def test_it_is_encoded(self):
        message = messages.ExecutorSpeeds((SLOW, FAST))
        data = messages.CODEC.encode(message)
        self.assertEqual(message, messages.CODEC.decode(data))

    def test_few_entry_hosts_of_each_zone_receive_it(self):
        # Guards against a load that grows with the number of hosts.
        entries = {
            ids.InstanceId(f"{zone}-{number:03}"): holding.EntryLink(
                f"{zone}-{number:03}", 0.0, ids.ZoneId(zone)
            )
            for zone in ("north", "south")
            for number in range(300)
        }
        found = speedtransfer.standby_candidates(entries, {"north", "south"})
        self.assertEqual(2 * speedtransfer.STANDBY_CANDIDATES, len(found))
        self.assertEqual("north-000", found[0].link)


class HostsTest(test_hosts.HostsTest):
    def role(self, world):
        """Return the role of the leader that is running."""
        (role,) = (
            control.holder_role
            for host, control in world.controls.items()
            if host in world.network.running and control.holder_role.is_active
        )
        return role

    def learn(self, world):
        """Let the holder learn that an executor of each zone is uneven."""
        table = self.role(world)._runner.engine.speeds
        now = world.clock.now()
        table.restore((SLOW, FAST), now)
        for row in (SLOW, FAST):
            table.add_executor(row.id, row.life, now)

    def world_with_speeds(self):
        world = self.world(entries=4)
        self.report_executors(world, by_zone=1)
        self.learn(world)
        world.run(1.5)
        return world

    def names(self, role):
        return {row.id for row in role.speed_rows()}

    def test_the_next_leader_begins_with_the_speeds(self):
        world = self.world_with_speeds()
        former = world.holder()
        world.stop(former)
        world.run(5.0)
        role = self.role(world)
        self.assertEqual({SLOW.id, FAST.id}, self.names(role))
        metrics = role.metric_values()
        self.assertEqual(1, metrics["speed_slow"])
        self.assertEqual(1, metrics["speed_fast"])

    def test_a_standby_begins_with_the_speeds(self):
        world = self.world_with_speeds()
        for host in world.controls:
            world.stop(host)
        world.run(3.0)
        (host,) = self.standbys(world)
        role = world.entries[host]._holder_role
        self.assertEqual({SLOW.id, FAST.id}, self.names(role))

    def test_a_lost_or_old_table_delays_no_holder(self):
        for wait_s in (0.0, 70.0):
            world = self.world(entries=2)
            self.report_executors(world, by_zone=1)
            former = world.holder()
            for host, control in world.controls.items():
                if wait_s and host != former:
                    control._on_speeds(
                        None, messages.ExecutorSpeeds((SLOW, FAST))
                    )
            world.run(wait_s)
            self.report_executors(world, by_zone=1)
            world.stop(former)
            world.run(3.0)
            self.assertEqual(set(), self.names(self.role(world)))
