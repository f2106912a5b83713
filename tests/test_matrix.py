"""Run the fault matrix; its page must show what the run shows."""

import testtools

from tests import matrix


class SingleFaultTest(testtools.TestCase):
    """Every fault at every step, a test for each fault."""


class PairOfFaultsTest(testtools.TestCase):
    """Every pair of faults at every step, a test for each first fault."""


def _add_tests():
    for fault in matrix.FAULTS:
        name = "test_" + fault.replace(" ", "_").replace(",", "")

        def single(self, fault=fault):
            results = matrix.run_cells(matrix.single_cells(fault))
            self.assertEqual({}, matrix.broken(results))
            row = next(
                line
                for line in matrix.PAGE.read_text().splitlines()
                if line.startswith(f"| {fault} |")
            )
            table = dict.fromkeys(
                cell for f in matrix.FAULTS for cell in matrix.single_cells(f)
            )
            table.update(results)
            self.assertIn(row, matrix.page(table).splitlines())

        def pairs(self, fault=fault):
            results = matrix.run_cells(matrix.pair_cells(fault))
            self.assertEqual({}, matrix.broken(results))

        setattr(SingleFaultTest, name, single)
        if matrix.pair_cells(fault):
            setattr(PairOfFaultsTest, name, pairs)


_add_tests()


class PageTest(testtools.TestCase):
    def test_the_page_has_exactly_the_rows_of_the_table(self):
        cells = [
            cell
            for fault in matrix.FAULTS
            for cell in matrix.single_cells(fault)
        ]
        expected = matrix.page(dict.fromkeys(cells)).splitlines()
        actual = matrix.PAGE.read_text().splitlines()
        self.assertEqual(len(expected), len(actual))
        for one, other in zip(expected, actual, strict=True):
            is_row = one.startswith("| ") and not one.startswith("| fault")
            if not is_row:
                self.assertEqual(one, other)
