"""The order of faults and load balancer changes in scenarios.

Guards against requests to an entry instance that has restarted but isn't
healthy yet: the driver must exclude it until its health check passes.
"""

import asyncio
import pathlib
import random

import testtools

from loadtool import layout
from loadtool import scenarios

NODE = layout.Node(
    "entry-1",
    "hafnir-a",
    "entry",
    "127.0.0.1:1",
    "127.0.0.1:2",
    pathlib.Path(),
)


class FakeDriver:
    unanswered_requests = 0

    def __init__(self):
        self.down = set()


class RecordingCluster:
    """Records each step with the instances that are excluded at it."""

    entries = (NODE,)

    def __init__(self, driver):
        self._driver = driver
        self.steps = []

    def _record(self, step):
        self.steps.append((step, set(self._driver.down)))

    def request_stop(self, _name):
        self._record("stopping")
        return self

    def wait(self, _timeout_s):
        self._record("stopped")
        return 0

    def kill(self, _name):
        self._record("killed")

    def start_node(self, _node):
        self._record("started")

    def signal(self, _name, number):
        self._record(number.name)

    def wait_for_health(self, nodes):
        self._record("healthy " + nodes[0].name)


class ScenarioTest(testtools.TestCase):
    def _steps(self, name):
        driver = FakeDriver()
        cluster = RecordingCluster(driver)
        run = scenarios.RunContext(cluster, driver, 0.0, random.Random(1))
        asyncio.run(scenarios.ALL[name].action(run))
        self.assertEqual(set(), driver.down)
        return cluster.steps

    def test_restarted_instance_gets_requests_only_when_healthy(self):
        for name in ("rolling-restart", "kill-entry", "pause-entry"):
            self.assertEqual(
                ("healthy entry-1", {"entry-1"}), self._steps(name)[-1]
            )
