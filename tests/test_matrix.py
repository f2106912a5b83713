"""Run the fault matrix and compare its results with docs/FAULTS.md."""

import testtools

from tests import matrix


class SingleFaultTest(testtools.TestCase):
    """Each fault at each step; one test per fault."""


class PairOfFaultsTest(testtools.TestCase):
    """Each pair of faults at each step; one test per first fault."""


def _add_tests():
    for fault in matrix.FAULTS:
        name = "test_" + fault.replace(" ", "_").replace(",", "")

        def run_single_faults(self, fault=fault):
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
            self.assertIn(row, matrix.render_page(table).splitlines())

        def run_pairs(self, fault=fault):
            results = matrix.run_cells(matrix.pair_cells(fault))
            self.assertEqual({}, matrix.broken(results))

        setattr(SingleFaultTest, name, run_single_faults)
        if matrix.pair_cells(fault):
            setattr(PairOfFaultsTest, name, run_pairs)


_add_tests()


class PageTest(testtools.TestCase):
    def test_page_matches_the_rendered_page_except_results(self):
        cells = [
            cell
            for fault in matrix.FAULTS
            for cell in matrix.single_cells(fault)
        ]
        expected = matrix.render_page(dict.fromkeys(cells)).splitlines()
        actual = matrix.PAGE.read_text().splitlines()
        self.assertEqual(len(expected), len(actual))
        for one, other in zip(expected, actual, strict=True):
            is_row = one.startswith("| ") and not one.startswith("| fault")
            if not is_row:
                self.assertEqual(one, other)
