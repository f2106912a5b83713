"""Membership: found from a seed, no false death, true death, healing."""

import random

import testtools

from chervilwheel import addresses
from chervilwheel import clock
from chervilwheel import ids
from chervilwheel import membership
from chervilwheel import messages

STATE = messages.MemberState


class World:
    """Views that exchange datagrams which may be lost."""

    def __init__(self, *, size, seed=1, zones=1):
        self.rng = random.Random(seed)
        self.clock = clock.ManualClock()
        self.loss = 0.0
        self.cuts = set()
        self.dead = set()
        self.views = {}
        self.falsely_dead = set()
        for number in range(size):
            self.add(f"m{number}", number, zone=f"z{number % zones}")

    def add(self, name, number, *, zone="z0", incarnation=1, boot="b1"):
        me = messages.MemberInfo(
            name=ids.InstanceId(name),
            zone=ids.ZoneId(zone),
            is_entry=True,
            host="127.0.0.1",
            port=1000 + number,
            boot=boot,
            incarnation=incarnation,
            state=STATE.ALIVE,
            is_draining=False,
        )
        self.views[name] = membership.Membership(
            me=me,
            seeds=[addresses.Address("127.0.0.1", 1000)],
            rng=random.Random(self.rng.random()),
            now=self.clock.now(),
        )

    def run(self, seconds):
        for _ in range(int(seconds / 0.05)):
            self.clock.advance(0.05)
            now = self.clock.now()
            out = []
            for name, view in self.views.items():
                if name not in self.dead:
                    out += [(name, d) for d in view.tick(now)]
            while out:
                source, datagram = out.pop(0)
                target = self._at(datagram.to)
                if target is None or self._is_lost(source, target):
                    continue
                sender = self.views[source].me
                address = addresses.Address(sender.host, sender.port)
                replies = self.views[target].receive(
                    datagram.message, address, now
                )
                out += [(target, d) for d in replies]
            self._note_false_deaths()

    def _at(self, address):
        for name, view in self.views.items():
            if view.me.port == address.port and name not in self.dead:
                return name
        return None

    def _is_lost(self, source, target):
        is_cut = (source, target) in self.cuts
        return is_cut or self.rng.random() < self.loss

    def _note_false_deaths(self):
        for name, view in self.views.items():
            if name in self.dead:
                continue
            for info in view.all():
                is_dead = info.state is STATE.DEAD
                if is_dead and info.name not in self.dead:
                    self.falsely_dead.add((name, info.name))

    def seen(self, name):
        return {info.name for info in self.views[name].live()}


class MembershipTest(testtools.TestCase):
    def test_all_find_each_other_from_one_seed(self):
        world = World(size=9, zones=3)
        world.run(5.0)
        for name in world.views:
            self.assertEqual(set(world.views), world.seen(name))

    def test_loss_of_messages_kills_nobody(self):
        for seed in range(5):
            world = World(size=7, seed=seed)
            world.run(5.0)
            world.loss = 0.1
            world.run(60.0)
            self.assertEqual(set(), world.falsely_dead)

    def test_a_dead_instance_is_out_everywhere_within_bounded_time(self):
        world = World(size=7)
        world.run(5.0)
        world.dead.add("m3")
        world.run(5.0)
        for name in set(world.views) - world.dead:
            self.assertNotIn("m3", world.seen(name))

    def test_a_restarted_instance_is_back_with_its_new_boot(self):
        world = World(size=5)
        world.run(5.0)
        world.dead.add("m2")
        world.run(5.0)
        world.dead.clear()
        world.add("m2", 2, incarnation=2, boot="b2")
        world.run(5.0)
        for view in world.views.values():
            boots = {i.name: i.boot for i in view.live()}
            self.assertEqual("b2", boots["m2"])

    def test_one_way_cut_between_two_kills_nobody(self):
        world = World(size=7)
        world.run(5.0)
        world.cuts.add(("m1", "m2"))
        world.run(20.0)
        self.assertEqual(set(), world.falsely_dead)

    def test_both_sides_of_a_healed_cut_find_each_other(self):
        world = World(size=6, zones=2)
        world.run(5.0)
        sides = [{"m0", "m2", "m4"}, {"m1", "m3", "m5"}]
        for one in sides[0]:
            for other in sides[1]:
                world.cuts |= {(one, other), (other, one)}
        world.run(10.0)
        self.assertEqual(sides[0], world.seen("m0"))
        self.assertEqual(sides[1], world.seen("m1"))
        world.cuts.clear()
        world.run(15.0)
        for name in world.views:
            self.assertEqual(set(world.views), world.seen(name))

    def test_a_farewell_is_believed_at_once(self):
        world = World(size=4)
        world.run(5.0)
        now = world.clock.now()
        for datagram in world.views["m1"].farewell():
            target = world._at(datagram.to)
            world.views[target].receive(datagram.message, datagram.to, now)
        for name in ("m0", "m2", "m3"):
            self.assertNotIn("m1", world.seen(name))

    def test_a_drain_is_told_to_all_at_once(self):
        world = World(size=6, zones=2)
        world.run(5.0)
        view = world.views["m1"]
        now = world.clock.now()
        for datagram in view.describe(state=STATE.ALIVE, is_draining=True):
            target = world._at(datagram.to)
            world.views[target].receive(datagram.message, datagram.to, now)
        for name, other in world.views.items():
            seen = {info.name: info.is_draining for info in other.live()}
            self.assertTrue(seen["m1"], name)

    def test_a_digest_heals_a_missed_piece_of_news(self):
        world = World(size=4)
        world.run(5.0)
        del world.views["m3"]._known["m1"]
        world.run(5.0)
        self.assertIn("m1", world.seen("m3"))
