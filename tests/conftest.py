"""Pass over just the tests that KNOWN-RED.txt lists, and print them."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red():
    """Map the listed test ids to what was seen."""
    rows = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            test, _, rest = line.partition("|")
            rows[test.strip()] = rest.strip()
    return rows


def pytest_collection_modifyitems(items):
    """Mark the listed tests as expected failures."""
    rows = known_red()
    for item in items:
        if item.nodeid in rows:
            reason = "known red: " + rows[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason=reason))
