"""Short load-tool runs with real processes, checked for guarantees only."""

import pathlib
import tempfile

import testtools

from loadtool import layout
from loadtool import runner
from loadtool import scenarios

SMALL = layout.Layout(entries=(3,), executors=(4,))
RATE = 60.0
SECONDS = 4.0


class ProcessesTest(testtools.TestCase):
    def _run(self, name):
        scenario = scenarios.ALL[name]
        shape = scenario.shape._replace(rate=RATE)
        scenario = scenario._replace(layout=SMALL, shape=shape)
        options = runner.Options(seed=1, seconds=SECONDS)
        with tempfile.TemporaryDirectory() as folder:
            report = runner.run(scenario, options, pathlib.Path(folder))
        self.assertEqual({}, report["broken"])
        self.assertGreater(report["answered"], 0)
        return report

    def test_steady_load(self):
        report = self._run("steady")
        self.assertEqual(0, report["extra_starts"])

    def test_entry_instance_killed(self):
        self._run("kill-entry")

    def test_ledger_leader_killed(self):
        self._run("kill-keeper")

    def test_submissions_resent_to_other_instances(self):
        self._run("resubmit-elsewhere")

    def test_concurrent_settings_changes(self):
        self._run("settings-race")

    def test_rolling_restart_interrupts_no_request(self):
        report = self._run("rolling-restart")
        self.assertEqual(0, report["cut_in_flight"])
        self.assertEqual(0, report["unreachable"])
