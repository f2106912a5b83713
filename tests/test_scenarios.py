"""What scenarios do to a cluster, on one that only notes it."""

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


class NotedDriver:
    unanswered_requests = 0

    def __init__(self):
        self.down = set()


class NotedCluster:
    """Take the balancer's side: who is offered work at each step."""

    entries = (NODE,)

    def __init__(self, driver):
        self._driver = driver
        self.steps = []

    def _note(self, step):
        self.steps.append((step, set(self._driver.down)))

    def ask_to_stop(self, _name):
        self._note("stopping")
        return self

    def wait(self, _timeout_s):
        self._note("stopped")
        return 0

    def kill(self, _name):
        self._note("killed")

    def start_node(self, _node):
        self._note("started")

    def signal(self, _name, number):
        self._note(number.name)

    def wait_for_health(self, nodes):
        self._note("healthy " + nodes[0].name)


class ScenarioTest(testtools.TestCase):
    def _steps(self, name):
        driver = NotedDriver()
        cluster = NotedCluster(driver)
        run = scenarios.Run(cluster, driver, 0.0, random.Random(1))
        asyncio.run(scenarios.ALL[name].action(run))
        self.assertEqual(set(), driver.down)
        return cluster.steps

    def test_a_restarted_instance_is_offered_work_only_when_healthy(self):
        for name in ("rolling-restart", "kill-entry", "pause-entry"):
            self.assertEqual(
                ("healthy entry-1", {"entry-1"}), self._steps(name)[-1]
            )
