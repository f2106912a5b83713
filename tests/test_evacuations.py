"""Tests of the table of evacuated zones and of its state machine."""

import logging

import testtools

from chervilwheel import batches
from chervilwheel import ids
from chervilwheel.control import documents
from chervilwheel.control import evacuations

APPLIED = evacuations.OrderStatus.APPLIED
UNCHANGED = evacuations.OrderStatus.UNCHANGED
CONFLICT = evacuations.OrderStatus.CONFLICT


def order(zone, *, is_evacuated=True, base=0, at_ms=7):
    return evacuations.OrderZone(
        ids.ZoneId(zone), is_evacuated, base, "test", at_ms
    )


class ZoneTableTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = evacuations.ZoneTable()

    def apply(self, zone, **options):
        """Apply an order; return the status and the zone's revision."""
        self.table, reply = self.table.apply(order(zone, **options))
        return reply

    def test_each_change_increments_the_revision_by_one(self):
        self.assertEqual((APPLIED, 1), self.apply("a"))
        self.assertEqual((APPLIED, 2), self.apply("b"))
        reply = self.apply("a", is_evacuated=False, base=1)
        self.assertEqual((APPLIED, 3), reply)
        self.assertEqual({"b"}, self.table.evacuated)
        self.assertEqual(
            [(1, "a", True), (2, "b", True), (3, "a", False)],
            [each[:3] for each in self.table.audit],
        )
        self.assertEqual(
            [("a", 3, False, 7, "test"), ("b", 2, True, 7, "test")],
            list(self.table.rows),
        )

    def test_an_order_for_the_state_that_holds_changes_nothing(self):
        self.apply("a")
        before = self.table
        self.assertEqual((UNCHANGED, 1), self.apply("a", base=0))
        self.assertEqual((UNCHANGED, 1), self.apply("a", base=1))
        reply = self.apply("b", is_evacuated=False)
        self.assertEqual((UNCHANGED, 0), reply)
        self.assertEqual(before, self.table)

    def test_a_delayed_order_does_not_undo_a_later_one(self):
        self.apply("a")
        self.apply("a", is_evacuated=False, base=1)
        self.assertEqual((CONFLICT, 2), self.apply("a", base=0))
        self.assertEqual(frozenset(), self.table.evacuated)

    def test_orders_of_other_zones_do_not_conflict(self):
        self.apply("a")
        self.assertEqual((APPLIED, 2), self.apply("b", base=0))

    def test_the_audit_keeps_the_newest_changes(self):
        count = evacuations.MAX_AUDIT_ENTRIES + 10
        for number in range(count):
            self.apply("a", is_evacuated=number % 2 == 0, base=number)
        self.assertEqual(count, self.table.revision)
        revisions = [entry.revision for entry in self.table.audit]
        self.assertEqual(list(range(11, count + 1)), revisions)


class ZoneViewTest(testtools.TestCase):
    def test_an_older_state_is_not_taken_over(self):
        view = evacuations.ZoneView(part="control")
        self.assertTrue(view.update(2, ["a"], "x"))
        self.assertFalse(view.update(1, [], "x"))
        self.assertFalse(view.update(2, ["b"], "x"))
        self.assertEqual({"a"}, view.evacuated)
        self.assertTrue(view.update(3, ["b"], "x"))

    def test_each_zone_that_changed_is_logged(self):
        view = evacuations.ZoneView(part="control")
        view.update(1, ["a", "b"], "x")
        with self.assertLogs("control", logging.INFO) as logs:
            view.update(4, ["b", "c"], "y")
        self.assertEqual(
            [
                ("control: a zone is restored", "a", 4, "y"),
                ("control: a zone is evacuated", "c", 4, "y"),
            ],
            [
                (r.getMessage(), r.zone, r.revision, r.origin)
                for r in logs.records
            ],
        )


class ZonesMachineTest(testtools.TestCase):
    """The table is part of the state that hosts replicate."""

    def setUp(self):
        super().setUp()
        self.changes = []
        self.machine = self.make_machine(self.changes)

    def make_machine(self, changes):
        return documents.DocumentMachine(
            applied=lambda *_: None, zones_changed=changes.append
        )

    def run_command(self, command):
        encoded = documents.CODEC.encode(command)
        batch = batches.CODEC.encode(batches.Batch(1, (encoded,)))
        (reply,) = self.machine.apply(batch)
        return documents.CODEC.decode(reply)

    def test_orders_are_applied_and_read(self):
        self.assertEqual((APPLIED, 1), self.run_command(order("a")))
        self.assertEqual((UNCHANGED, 1), self.run_command(order("a")))
        self.assertEqual([self.machine.zones], self.changes)
        table = self.run_command(evacuations.ReadZones())
        self.assertEqual(self.machine.zones, table)
        self.assertEqual({"a"}, table.evacuated)

    def test_a_snapshot_has_the_document_and_the_table(self):
        self.run_command(documents.PutDocument(3, b"data"))
        self.run_command(order("a"))
        changes = []
        other = self.make_machine(changes)
        other.load(self.machine.dump())
        self.assertEqual((3, b"data"), (other.version, other.data))
        self.assertEqual(self.machine.zones, other.zones)
        self.assertEqual([other.zones], changes)

    def test_a_snapshot_without_orders_is_as_in_earlier_versions(self):
        self.run_command(documents.PutDocument(3, b"data"))
        self.run_command(order("a", is_evacuated=False))
        self.assertEqual(
            documents.CODEC.encode(documents.DocumentReply(3, b"data")),
            self.machine.dump(),
        )

    def test_entries_applied_again_after_a_snapshot_change_nothing(self):
        # A disk that failed is read again while the state is kept.
        snapshot = self.machine.dump()
        orders = [
            order("a"),
            order("a", is_evacuated=False, base=1),
            order("a", base=2),
            order("b"),
        ]
        for each in orders:
            self.run_command(each)
        newest = self.machine.zones
        self.machine.load(snapshot)
        for each in orders:
            self.run_command(each)
        self.assertEqual(newest, self.machine.zones)
        self.assertEqual(4, len(self.changes))
