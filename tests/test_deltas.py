"""Differences between versions of a document, and what is stored of them."""

import hypothesis
import testtools
from hypothesis import strategies

from chervilwheel import batches
from chervilwheel import errors
from chervilwheel.control import deltas
from chervilwheel.control import documents
from tests import test_documentcost

DOCUMENTS = strategies.lists(
    strategies.sampled_from(
        [b"{", b"}", b",", b"[", b'"name":"first route"}', b"second route}"]
    ),
    max_size=40,
).map(b"".join)


class DeltaTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(base=DOCUMENTS, data=DOCUMENTS)
    def test_a_delta_restores_the_document(self, base, data):
        encoded = deltas.encode(base, data)
        self.assertEqual(data, deltas.decode(base, encoded))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(base=strategies.binary(), data=strategies.binary())
    def test_any_bytes_can_be_documents(self, base, data):
        encoded = deltas.encode(base, data)
        self.assertEqual(data, deltas.decode(base, encoded))

    def test_a_delta_to_another_base_is_rejected(self):
        base = b'[{"name":"first route"},{"name":"second route"}]'
        encoded = deltas.encode(base, base + b"\n")
        other = base.replace(b"first", b"third")
        self.assertRaises(errors.ProtocolError, deltas.decode, other, encoded)

    def test_unreadable_bytes_are_rejected(self):
        self.assertRaises(errors.ProtocolError, deltas.decode, b"", b"\0")

    def test_moved_and_removed_records_are_copied(self):
        rows = [b'{"route number":%d}' % n for n in range(1_000)]
        base = b"[" + b",".join(rows) + b"]"
        data = b"[" + b",".join(rows[500:990] + rows[:490]) + b"]"
        self.assertLess(len(deltas.encode(base, data)), 250)


class DocumentMachineTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.applied = []
        self.machine = documents.DocumentMachine(
            applied=lambda version, _: self.applied.append(version)
        )

    def run_command(self, command):
        batch = batches.Batch(1, (documents.CODEC.encode(command),))
        (reply,) = self.machine.apply(batches.CODEC.encode(batch))
        return documents.CODEC.decode(reply)

    def change(self, version, base):
        base_data = document(base) if base else b""
        delta = deltas.encode(base_data, document(version))
        return self.run_command(
            documents.ChangeDocument(version, base, delta)
        ).version

    def test_a_change_of_the_stored_version_is_stored(self):
        self.assertEqual(1, self.change(1, 0))
        self.assertEqual(3, self.change(3, 1))
        self.assertEqual(document(3), self.machine.data)

    def test_a_change_of_another_version_has_no_effect(self):
        self.change(1, 0)
        self.change(2, 1)
        self.assertEqual(2, self.change(3, 1))
        self.assertEqual(document(2), self.machine.data)
        self.assertEqual(3, self.change(3, 0))

    def test_a_repeated_or_older_change_has_no_effect(self):
        self.change(1, 0)
        self.change(3, 1)
        self.assertEqual(3, self.change(3, 1))
        self.assertEqual(3, self.change(2, 0))
        self.assertEqual([1, 3], self.applied)

    def test_an_unreadable_change_has_no_effect(self):
        self.change(1, 0)
        command = documents.ChangeDocument(2, 1, b"no delta")
        self.assertEqual(1, self.run_command(command).version)

    def test_receivers_of_any_version_get_the_newest(self):
        for version in range(1, 100):
            self.change(version, version - 1)
        for version in (0, 1, 50, 98):
            base, steps = self.machine.deltas_since(version)
            self.assertIn(base, (0, version))
            data = document(base) if base else b""
            for delta in steps:
                data = deltas.decode(data, delta)
            self.assertEqual(document(99), data)
        self.assertEqual(98, self.machine.deltas_since(98)[0])

    def test_a_chain_of_deltas_stays_short(self):
        for version in range(1, 300):
            self.change(version, version - 1)
        size = sum(map(len, self.machine.deltas_since(1)[1]))
        self.assertLessEqual(size, documents.MAX_CHAIN_BYTES)

    def test_a_read_returns_only_data_that_the_reader_lacks(self):
        self.change(1, 0)
        self.assertEqual(b"", self.run_command(documents.ReadDocument(1)).data)
        self.assertEqual(
            document(1), self.run_command(documents.ReadDocument(0)).data
        )


def document(version):
    return test_documentcost.document(version, routes=20)


class RacingOperatorsTest(testtools.TestCase):
    def test_changes_of_the_same_version_at_two_hosts_are_acknowledged(self):
        world = test_documentcost.start_world(self)
        world.put_data(test_documentcost.document(1), wait_s=1.0)
        results = []
        first, second, _ = world.controls.values()
        first.put(test_documentcost.document(2), results.append)
        second.put(test_documentcost.document(3), results.append)
        world.run(test_documentcost.IN_FORCE_S)
        self.assertEqual([True, True], results)
        for entry in world.entries.values():
            self.assertEqual(
                test_documentcost.document(3), entry.routes.document.data
            )
