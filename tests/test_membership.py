"""Tests of membership: discovery, failure detection and partition healing."""

import random

import testtools

from chervilwheel import addresses
from chervilwheel import clock
from chervilwheel import ids
from chervilwheel import membership
from chervilwheel import messages

STATE = messages.MemberState


class Cluster:
    """Simulated membership views joined by a lossy network."""

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
                target = self._name_at(datagram.to)
                if target is None or self._is_lost(source, target):
                    continue
                sender = self.views[source].me
                address = addresses.Address(sender.host, sender.port)
                replies = self.views[target].receive(
                    datagram.message, address, now
                )
                out += [(target, d) for d in replies]
            self._record_false_deaths()

    def _name_at(self, address):
        for name, view in self.views.items():
            if view.me.port == address.port and name not in self.dead:
                return name
        return None

    def _is_lost(self, source, target):
        is_cut = (source, target) in self.cuts
        return is_cut or self.rng.random() < self.loss

    def _record_false_deaths(self):
        for name, view in self.views.items():
            if name in self.dead:
                continue
            for info in view.all():
                is_dead = info.state is STATE.DEAD
                if is_dead and info.name not in self.dead:
                    self.falsely_dead.add((name, info.name))

    def live_names(self, name):
        return {info.name for info in self.views[name].live()}


class MembershipTest(testtools.TestCase):
    def test_all_members_are_discovered_from_one_seed(self):
        cluster = Cluster(size=9, zones=3)
        cluster.run(5.0)
        for name in cluster.views:
            self.assertEqual(set(cluster.views), cluster.live_names(name))

    def test_message_loss_causes_no_false_death(self):
        for seed in range(5):
            cluster = Cluster(size=7, seed=seed)
            cluster.run(5.0)
            cluster.loss = 0.1
            cluster.run(60.0)
            self.assertEqual(set(), cluster.falsely_dead)

    def test_dead_instance_is_removed_everywhere_within_5_s(self):
        cluster = Cluster(size=7)
        cluster.run(5.0)
        cluster.dead.add("m3")
        cluster.run(5.0)
        for name in set(cluster.views) - cluster.dead:
            self.assertNotIn("m3", cluster.live_names(name))

    def test_restarted_instance_rejoins_with_its_new_boot(self):
        cluster = Cluster(size=5)
        cluster.run(5.0)
        cluster.dead.add("m2")
        cluster.run(5.0)
        cluster.dead.clear()
        cluster.add("m2", 2, incarnation=2, boot="b2")
        cluster.run(5.0)
        for view in cluster.views.values():
            boots = {i.name: i.boot for i in view.live()}
            self.assertEqual("b2", boots["m2"])

    def test_one_way_partition_causes_no_false_death(self):
        cluster = Cluster(size=7)
        cluster.run(5.0)
        cluster.cuts.add(("m1", "m2"))
        cluster.run(20.0)
        self.assertEqual(set(), cluster.falsely_dead)

    def test_healed_partition_rediscovers_all_members(self):
        cluster = Cluster(size=6, zones=2)
        cluster.run(5.0)
        sides = [{"m0", "m2", "m4"}, {"m1", "m3", "m5"}]
        for one in sides[0]:
            for other in sides[1]:
                cluster.cuts |= {(one, other), (other, one)}
        cluster.run(10.0)
        self.assertEqual(sides[0], cluster.live_names("m0"))
        self.assertEqual(sides[1], cluster.live_names("m1"))
        cluster.cuts.clear()
        cluster.run(15.0)
        for name in cluster.views:
            self.assertEqual(set(cluster.views), cluster.live_names(name))

    def test_announced_leave_takes_effect_immediately(self):
        cluster = Cluster(size=4)
        cluster.run(5.0)
        now = cluster.clock.now()
        for datagram in cluster.views["m1"].announce_leave():
            target = cluster._name_at(datagram.to)
            cluster.views[target].receive(datagram.message, datagram.to, now)
        for name in ("m0", "m2", "m3"):
            self.assertNotIn("m1", cluster.live_names(name))

    def test_drain_is_announced_to_all_members_immediately(self):
        cluster = Cluster(size=6, zones=2)
        cluster.run(5.0)
        view = cluster.views["m1"]
        now = cluster.clock.now()
        for datagram in view.announce_state(
            state=STATE.ALIVE, is_draining=True
        ):
            target = cluster._name_at(datagram.to)
            cluster.views[target].receive(datagram.message, datagram.to, now)
        for name, other in cluster.views.items():
            draining = {info.name: info.is_draining for info in other.live()}
            self.assertTrue(draining["m1"], name)

    def test_digest_mismatch_restores_a_missing_member(self):
        cluster = Cluster(size=4)
        cluster.run(5.0)
        del cluster.views["m3"]._members["m1"]
        cluster.run(5.0)
        self.assertIn("m1", cluster.live_names("m3"))
