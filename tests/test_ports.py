"""Ports of processes that run side by side."""

import socket

import testtools

from loadtool import ports


class PortBlockTest(testtools.TestCase):
    def _block(self):
        block = ports.PortBlock()
        self.addCleanup(block.close)
        return block

    def test_two_owners_never_give_out_the_same_port(self):
        # Neither listens yet: a probe alone would find each port free.
        blocks = [self._block() for _ in range(3)]
        given = [port for block in blocks for port in block.take(300)]
        given += [port for block in blocks for port in block.take(300)]

        self.assertEqual(len(given), len(set(given)))

    def test_a_port_in_use_is_passed_over(self):
        block = self._block()
        (first,) = block.take(1)
        taken = socket.socket()
        self.addCleanup(taken.close)
        taken.bind((ports.HOST, first + 1))

        self.assertEqual([first + 2], block.take(1))

    def test_too_many_are_refused(self):
        block = self._block()

        self.assertRaises(OSError, block.take, ports.BLOCK_PORTS)
