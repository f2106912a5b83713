"""Bytes and messages that a change of a large document costs."""

import testtools

from chervilwheel.control import documents
from loadtool import hostworld

CONTROLS = 3
ENTRIES = 6
ROUTES = 4_200
LINK_BYTES_S = 12.5e6 / 8
CHANGE_INTERVAL_S = 0.33
# Changes in quick succession may use a tenth of an entry host's link.
MAX_CHANGE_BYTES = 0.1 * LINK_BYTES_S * CHANGE_INTERVAL_S
IN_FORCE_S = 2.0


class LineDecoder(documents.Decoder):
    """Decodes documents whose first line is their version."""

    def decode(self, data):
        version = int(data.partition(b"\n")[0])
        return documents.Document(version, (), (), documents.Bounds(), data)


def document(version, *, routes=ROUTES):
    """Encode a document in which each version changes one route."""
    rows = [
        b'{"name":"r-%06d","host":"h%d.example","pathPrefix":"/p%d/",'
        b'"type":"unsafe","timeoutMs":%d,"targetLatencyMs":60,'
        b'"priority":1,"service":"listings","maxAttempts":4,"stretch":1.6}'
        % (n, n % 37, n, 1_500 + (version if n == version % routes else 0))
        for n in range(routes)
    ]
    return b"%d\n[" % version + b",".join(rows) + b"]"


def start_world(test):
    """Start hosts of which the entry hosts have small links."""
    world = hostworld.World(
        controls=CONTROLS, entries=ENTRIES, decoder=LineDecoder()
    )
    test.addCleanup(world.close)
    for host in world.entries:
        world.network.link_rates[host] = LINK_BYTES_S
    world.run(3.0)
    return world


class DocumentCostTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = start_world(self)

    def versions(self):
        """Return the version that each entry host has applied."""
        return {entry._version() for entry in self.world.entries.values()}

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
