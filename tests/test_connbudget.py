"""The account of client connections: who gives way, and who never does."""

import random

import testtools

from chervilwheel import connbudget

KIB = 1024
MIB = 1024 * KIB
Phase = connbudget.Phase


class Client:
    """A connection that gives way as a server's connections do."""

    def __init__(self, budget, name):
        self.name = name
        self.budget = budget
        self.refusals = 0
        self.is_closed = False
        self.holding = budget.open(self.give_way)

    def update(self, size, phase=Phase.RECEIVING):
        self.budget.update(self.holding, size, phase)

    def give_way(self):
        is_idle = self.holding.phase is Phase.IDLE
        if is_idle or self.holding.phase is Phase.CLOSING:
            self.close()
        else:
            self.refusals += 1
            self.update(0, Phase.CLOSING)

    def close(self):
        self.is_closed = True
        self.budget.close(self.holding)

    @property
    def is_gone(self):
        return self.is_closed or self.refusals > 0


class ConnectionBudgetTest(testtools.TestCase):
    def create(self, *, size=4 * MIB, connections=100):
        limits = connbudget.Limits(bytes=size, connections=connections)
        return connbudget.ConnectionBudget(limits=limits)

    def clients(self, budget, count):
        return [Client(budget, number) for number in range(count)]

    def test_the_oldest_of_the_large_requests_gives_way(self):
        budget = self.create()
        large = self.clients(budget, 8)
        for client in large[:6]:
            client.update(600 * KIB)
        small = Client(budget, "small")
        small.update(KIB)
        large[6].update(600 * KIB)
        self.assertEqual([0], [c.name for c in large if c.is_gone])
        large[7].update(600 * KIB)
        self.assertEqual([0, 1], [c.name for c in large if c.is_gone])
        self.assertFalse(small.is_gone)
        self.assertFalse(budget.is_full)

    def test_a_caller_that_sends_little_stays_though_it_is_the_oldest(self):
        budget = self.create()
        small = Client(budget, "small")
        small.update(KIB)
        for client in self.clients(budget, 50):
            client.update(200 * KIB)
            self.assertFalse(small.is_gone)

    def test_a_request_in_progress_never_gives_way(self):
        budget = self.create(connections=20)
        served = self.clients(budget, 3)
        for client in served:
            self.assertTrue(budget.begin_request(client.holding, MIB // 2))
        for client in self.clients(budget, 200):
            client.update(MIB)
        self.assertFalse(any(client.is_gone for client in served))

    def test_requests_in_progress_leave_room_for_others(self):
        budget = self.create()
        begun = [
            budget.begin_request(client.holding, 200 * KIB)
            for client in self.clients(budget, 30)
        ]
        share = connbudget.SERVING_SHARE * budget.limits.bytes
        size = 200 * KIB + connbudget.CONNECTION_BYTES
        self.assertEqual(int(share / size), sum(begun))
        self.assertEqual(30 - sum(begun), budget.refused)

    def test_idle_connections_give_way_to_new_ones(self):
        budget = self.create(connections=16)
        served = Client(budget, "served")
        budget.begin_request(served.holding, KIB)
        served.update(0, Phase.IDLE)
        idle = self.clients(budget, 40)
        self.assertEqual(16, len(budget))
        self.assertFalse(served.is_gone)
        self.assertTrue(all(client.is_gone for client in idle[:25]))
        self.assertFalse(any(client.is_gone for client in idle[25:]))

    def test_refused_clients_keep_their_connections_for_a_while(self):
        budget = self.create(connections=32)
        clients = []
        for number in range(200):
            clients.append(Client(budget, number))
            clients[-1].update(KIB)
            self.assertLessEqual(len(budget), 32 + 2)
        open_refused = [c for c in clients if c.refusals and not c.is_closed]
        self.assertEqual(2, len(open_refused))

    def test_with_all_requests_in_progress_a_new_connection_is_accepted(self):
        budget = self.create(connections=16)
        clients = self.clients(budget, 16)
        begun = [budget.begin_request(c.holding, 0) for c in clients]
        self.assertEqual(12, sum(begun))
        newcomer = Client(budget, "new")
        self.assertFalse(newcomer.is_gone)
        self.assertEqual(1, sum(client.is_gone for client in clients))

    def test_a_large_request_lets_many_small_ones_give_way(self):
        budget = self.create(size=64 * MIB, connections=10_000)
        for client in self.clients(budget, 2_000):
            client.update(16 * KIB - 1)
        large = Client(budget, "large")
        large.update(60 * MIB)
        self.assertTrue(large.is_gone)
        self.assertFalse(budget.is_full)

    def test_the_account_matches_any_sequence_of_events(self):
        rng = random.Random(62)
        budget = self.create(size=MIB, connections=24)
        clients = []
        for number in range(20_000):
            clients = [c for c in clients if not c.is_closed]
            client = rng.choice(clients) if clients else None
            event = rng.randrange(8)
            if client is None or event == 0:
                clients.append(Client(budget, number))
            elif event == 1:
                client.close()
            elif client.holding.phase is Phase.CLOSING:
                continue
            elif event in (2, 3):
                budget.begin_request(client.holding, rng.randrange(50_000))
            elif event == 4:
                client.update(0, Phase.IDLE)
            else:
                client.update(rng.randrange(200_000))
            held = [c.holding for c in clients if not c.is_closed]
            self.assertEqual(len(held), len(budget))
            self.assertEqual(sum(h.bytes for h in held), budget.bytes)
            self.assertLessEqual(len(budget), 24 + 1)
            self.assertFalse(budget.is_full and self.evictable(held))

    def evictable(self, holdings):
        return [h for h in holdings if h.phase is not Phase.SERVING]
