"""Tests of control hosts and entry hosts together, in virtual time."""

import testtools

from chervilwheel import addresses
from chervilwheel import ids
from chervilwheel.workers import work
from loadtool import hostworld

# The target: what a host costs hardly grows with the number of hosts.
MAX_GROWTH = 1.1
SECONDS = 10.0


def report(number):
    """Return the report of an executor."""
    return work.ExecutorReport(
        id=work.ExecutorId(f"x-{number}"),
        service=ids.ServiceId("service"),
        address=addresses.Address("10.2.0.1", 80),
        zone=ids.ZoneId("north"),
        room=work.Room(16_000, 65_536),
        labels=(),
        is_draining=False,
        is_gone=False,
        remaining_ms=0,
        clock_ms=1,
        sequence=1,
    )


class IdleHostsTest(testtools.TestCase):
    """Hosts without jobs exchange few messages."""

    def world(self, *, entries):
        world = hostworld.World(controls=3, entries=entries)
        self.addCleanup(world.close)
        world.run(3.0)
        self.assertTrue(world.put_document(1))
        world.run(5.0)
        return world

    def entry_rate(self, *, entries):
        """Return an idle entry host's messages a second."""
        world = self.world(entries=entries)
        host = next(iter(world.entries))
        before = world.messages(host)
        world.run(SECONDS)
        return (world.messages(host) - before) / SECONDS

    def test_entry_hosts_do_not_keep_links_with_each_other(self):
        world = self.world(entries=12)
        for host in world.entries:
            links = world.nodes[host].links
            self.assertEqual(3, links.link_count)

    def test_messages_of_an_entry_host_hardly_grow_with_their_number(self):
        few = self.entry_rate(entries=3)
        many = self.entry_rate(entries=30)
        self.assertLessEqual(many, few * MAX_GROWTH)

    def test_one_standby_is_the_holder_without_any_control_host(self):
        world = self.world(entries=12)
        for control in world.controls.values():
            control.report(report(1))
        world.run(1.0)
        for host in world.controls:
            world.stop(host)
        world.run(3.0)
        active = [
            host
            for host, entry in world.entries.items()
            if entry.jobs.holder is not None and entry.jobs.holder.host == host
        ]
        self.assertEqual(1, len(active))
        holders = {e.jobs.holder for e in world.entries.values()}
        self.assertEqual(1, len(holders))
