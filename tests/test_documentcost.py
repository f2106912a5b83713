"""Bytes and messages that a change of a large document costs."""

import testtools

from loadtool import document_cost

CONTROLS = 3
ENTRIES = 6
ROUTES = 4_200
CHANGE_INTERVAL_S = 0.33
# Changes in quick succession may use a tenth of an entry host's link.
MAX_CHANGE_BYTES = 0.1 * document_cost.LINK_BYTES_S * CHANGE_INTERVAL_S
IN_FORCE_S = 2.0


def document(version, *, routes=ROUTES):
    return document_cost.encode_document(version, routes=routes)


def start_world(test):
    """Start hosts that are closed after a test."""
    world = document_cost.start_world(controls=CONTROLS, entries=ENTRIES)
    test.addCleanup(world.close)
    return world


class DocumentCostTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = start_world(self)

    def versions(self):
        """Return the version that each entry host has applied."""
        return {
            entry.document_version for entry in self.world.entries.values()
        }

    def cost_of(self, change, kind):
        """Return the messages and bytes of a kind sent during a change."""
        count = self.world.messages_sent(kind)
        size = self.world.bytes_sent(kind)
        change()
        return (
            self.world.messages_sent(kind) - count,
            self.world.bytes_sent(kind) - size,
        )

    def put(self, version):
        """Store a version and wait until it must be in force."""
        data = document(version)
        self.assertTrue(self.world.put_data(data, wait_s=IN_FORCE_S))

    def storm(self):
        """Store versions in quick succession."""
        for version in range(2, 12):
            self.world.put_data(document(version), wait_s=CHANGE_INTERVAL_S)

    def test_a_document_is_sent_to_each_entry_host_once(self):
        count, _ = self.cost_of(lambda: self.put(1), "DocumentPush")
        self.assertEqual({1}, self.versions())
        self.assertEqual(ENTRIES, count)

    def test_a_small_change_of_a_large_document_costs_little(self):
        self.put(1)
        _, size = self.cost_of(lambda: self.put(2), "DocumentPush")
        self.assertEqual({2}, self.versions())
        self.assertLessEqual(size / ENTRIES, MAX_CHANGE_BYTES)

    def test_a_small_change_costs_little_in_the_replicated_log(self):
        self.put(1)
        _, size = self.cost_of(lambda: self.put(2), "AppendRequest")
        self.assertLessEqual(size / CONTROLS, MAX_CHANGE_BYTES)
        _, size = self.cost_of(lambda: self.put(3), "GroupRequest")
        self.assertLessEqual(size, MAX_CHANGE_BYTES)

    def test_versions_in_quick_succession_are_in_force_in_time(self):
        self.put(1)
        self.storm()
        self.world.run(IN_FORCE_S)
        self.assertEqual({11}, self.versions())

    def test_versions_in_quick_succession_leave_the_links_to_jobs(self):
        self.put(1)
        _, size = self.cost_of(self.storm, "DocumentPush")
        self.assertLessEqual(size / ENTRIES, 10 * MAX_CHANGE_BYTES)
