"""Callers of the load tool."""

import asyncio
import pathlib

import testtools

from loadtool import client
from loadtool import drive
from loadtool import layout


def node(name):
    return layout.Node(name, "zone", "entry", name, "peer", pathlib.Path())


class NotedClient:
    """Answer nothing at the instances that are down."""

    def __init__(self, down):
        self.down = down
        self.sends = []

    async def post(self, address, path, table, **options):
        self.sends.append(address)
        return client.Reply(0 if address in self.down else 200, {})


class Target:
    entries = (node("e1"), node("e2"), node("e3"))


class ResendTest(testtools.TestCase):
    def _send(self, seed, down, key="key"):
        driver = drive.Driver(
            target=Target(), shape=drive.Shape(rate=1.0), seconds=1, seed=seed
        )
        self.patch(drive, "RESEND_S", 0.0)
        noted = driver._client = NotedClient(down)
        reply = asyncio.run(driver._post(key, ({},), False, True, 0.0, 0))
        return reply.status, noted.sends

    def test_what_got_no_answer_is_sent_elsewhere(self):
        for seed in range(40):
            status, sends = self._send(seed, {"e1", "e2"})
            self.assertEqual(200, status)
            self.assertEqual(len(sends), len(set(sends)))

    def test_what_has_no_key_and_may_not_run_twice_is_sent_once(self):
        statuses = set()
        for seed in range(40):
            status, sends = self._send(seed, {"e1", "e2"}, key=None)
            statuses.add(status)
            self.assertEqual(1, len(sends))
        self.assertEqual({0, 200}, statuses)

    def test_all_silent_instances_are_tried_again(self):
        status, sends = self._send(1, {"e1", "e2", "e3"})
        self.assertEqual(0, status)
        self.assertEqual(drive.MOST_SENDS, len(sends))
