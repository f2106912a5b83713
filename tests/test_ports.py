"""Allocation of ports to processes that run concurrently."""

import socket

import testtools

from loadtool import ports


class PortBlockTest(testtools.TestCase):
    def _block(self):
        block = ports.PortBlock()
        self.addCleanup(block.close)
        return block

    def test_different_owners_never_allocate_the_same_port(self):
        # No owner listens yet, so a probe alone would find each port free.
        blocks = [self._block() for _ in range(3)]
        allocated = [port for block in blocks for port in block.allocate(300)]
        allocated += [port for block in blocks for port in block.allocate(300)]

        self.assertEqual(len(allocated), len(set(allocated)))

    def test_a_port_in_use_is_skipped(self):
        block = self._block()
        # Other ports of the block may be in use as well, for example by
        # connections in TIME_WAIT, so only free ones are compared.
        first, second, third = block.allocate(3)
        occupied = socket.socket()
        self.addCleanup(occupied.close)
        occupied.bind((ports.HOST, second))
        allocated = [third]
        while allocated[-1] != first:
            self.assertLess(len(allocated), ports.BLOCK_PORTS)
            allocated += block.allocate(1)

        (following,) = block.allocate(1)
        self.assertNotIn(second, [*allocated, following])
        self.assertTrue(first < following <= third, following)

    def test_a_request_for_too_many_ports_is_rejected(self):
        block = self._block()

        self.assertRaises(OSError, block.allocate, ports.BLOCK_PORTS)
