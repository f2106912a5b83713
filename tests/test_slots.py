"""Sharing of slots: never overrun, fair, healing, without bad workers."""

import collections
import random

import testtools

from chervilwheel import addresses
from chervilwheel import clock
from chervilwheel import directory
from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import messages
from chervilwheel import outliers
from chervilwheel import slotclient
from chervilwheel import slots
from chervilwheel import slotsource
from chervilwheel import teampolicy

ZONE = ids.ZoneId("z")
SERVICE = ids.ServiceId("s")
NORMAL = jobs.Urgency.NORMAL
URGENT = jobs.Urgency.URGENT


def endpoint(name, *, count=8, version=1, busy=0):
    return directory.Endpoint(
        endpoint=ids.EndpointId(name),
        service=SERVICE,
        zone=ZONE,
        address=addresses.Address("127.0.0.1", 1),
        slots=count,
        connections=64,
        kind="executor",
        rack="",
        processors=0.0,
        memory_mb=0,
        accelerators=0,
        busy=busy,
        version=version,
        lease_s=2.0,
        is_leaving=False,
    )


class Instance:
    """One entry instance with its slot client and running tasks."""

    def __init__(self, *, name, world):
        self.name = name
        self.world = world
        self.running = []
        self.client = slotclient.SlotClient(
            zone=ZONE,
            boot=name,
            owners=lambda zone: "owner",
            offers=lambda service: {ZONE: 1},
            clk=world.clock,
            wake=lambda: None,
        )

    def ask(self, team="one", urgency=NORMAL, count=1):
        for _ in range(count):
            need = slotsource.Need(SERVICE, ids.TeamId(team), urgency)
            self.client.add(
                slotsource.Waiting(
                    need=need,
                    deadline_at=self.world.clock.now() + 60,
                    granted=self._granted,
                )
            )

    def _granted(self, grant):
        self.running.append(grant)
        self.world.started(grant)

    def finish(self, grant, use=slotsource.Use.GOOD):
        self.running.remove(grant)
        self.world.ended(grant)
        self.client.release(grant, use)


class World:
    """An allocator and a few instances; messages between them may be lost."""

    def __init__(self, *, endpoints=3, instances=3, policies=None, seed=1):
        self.rng = random.Random(seed)
        self.clock = clock.ManualClock()
        table = policies or {}
        self.allocator = slots.SlotBook(
            zone=ZONE,
            policies=lambda team: table.get(team, teampolicy.DEFAULT),
            zone_count=1,
            rng=self.rng,
        )
        self.endpoints = [endpoint(f"e{n}") for n in range(endpoints)]
        self.allocator.set_endpoints(self.endpoints, self.clock.now())
        self.used = collections.Counter()
        self.overruns = 0
        self.instances = [
            Instance(name=f"i{n}", world=self) for n in range(instances)
        ]

    def started(self, grant):
        self.used[grant.endpoint] += 1
        self.overruns += self.used[grant.endpoint] > 8

    def ended(self, grant):
        self.used[grant.endpoint] -= 1

    def exchange(self, loss=0.0):
        self.clock.advance(0.01)
        now = self.clock.now()
        for instance in self.instances:
            for _, report in instance.client.take_reports():
                if self.rng.random() >= loss:
                    self.allocator.report(instance.name, report, now)
        for name, grants in self.allocator.allocate(now).items():
            instance = next(i for i in self.instances if i.name == name)
            if self.rng.random() >= loss:
                instance.client.on_grants(grants)

    def team_usage(self):
        return collections.Counter(
            grant.need.team for i in self.instances for grant in i.running
        )


class SlotBookTest(testtools.TestCase):
    def test_slots_are_all_used_and_never_overrun(self):
        world = World()
        for instance in world.instances:
            instance.ask(count=20)
        for _ in range(3):
            world.exchange()
        self.assertEqual(24, sum(world.used.values()))
        self.assertEqual(0, world.overruns)

    def test_random_work_never_overruns_and_leaves_nothing_behind(self):
        for seed in range(20):
            world = World(seed=seed)
            for _ in range(200):
                instance = world.rng.choice(world.instances)
                instance.ask(count=world.rng.randint(0, 6))
                for each in list(instance.running):
                    if world.rng.random() < 0.5:
                        instance.finish(each)
                world.exchange()
            for _ in range(300):
                for instance in world.instances:
                    for each in list(instance.running):
                        instance.finish(each)
                world.exchange()
            self.assertEqual(0, world.overruns)
            self.assertEqual(0, sum(i.client.waiting for i in world.instances))
            used = self._used(world)
            self.assertEqual(0, sum(used.values()), seed)

    def _used(self, world):
        return world.allocator.slots_in_use(world.clock.now())

    def test_lost_messages_heal_and_all_tasks_get_slots(self):
        for seed in range(10):
            world = World(seed=seed)
            for instance in world.instances:
                instance.ask(count=30)
            for turn in range(1500):
                world.exchange(loss=0.2 if turn < 300 else 0.0)
                for instance in world.instances:
                    for each in list(instance.running):
                        if world.rng.random() < 0.3:
                            instance.finish(each)
            self.assertEqual(0, sum(i.client.waiting for i in world.instances))

    def test_weights_share_contended_slots(self):
        world = World(policies={"one": teampolicy.TeamPolicy(weight=3.0)})
        world.instances[0].ask(team="one", count=50)
        world.instances[1].ask(team="two", count=50)
        world.exchange()
        world.exchange()
        usage = world.team_usage()
        self.assertEqual((18, 6), (usage["one"], usage["two"]))

    def test_idle_share_is_lent_and_comes_back(self):
        world = World()
        world.instances[0].ask(team="one", count=60)
        world.exchange()
        world.exchange()
        self.assertEqual(24, world.team_usage()["one"])
        world.instances[1].ask(team="two", count=60)
        for _ in range(12):
            instance = world.instances[0]
            instance.finish(instance.running[0])
            world.exchange()
        usage = world.team_usage()
        self.assertEqual((12, 12), (usage["one"], usage["two"]))

    def test_quota_holds_over_all_instances_together(self):
        world = World(
            policies={"one": teampolicy.TeamPolicy(max_concurrent=5)}
        )
        for instance in world.instances:
            instance.ask(team="one", count=10)
        for _ in range(10):
            world.exchange()
        self.assertEqual(5, world.team_usage()["one"])

    def test_rate_quota_holds_over_time(self):
        world = World(policies={"one": teampolicy.TeamPolicy(rate_per_s=50.0)})
        started = 0
        for instance in world.instances:
            instance.ask(team="one", count=500)
        for _ in range(200):
            world.exchange()
            for instance in world.instances:
                for each in list(instance.running):
                    started += 1
                    instance.finish(each)
        self.assertLessEqual(started, 2 * 50 + 50)
        self.assertGreaterEqual(started, 80)

    def test_urgent_work_overtakes_within_its_share_only(self):
        world = World(
            policies={"one": teampolicy.TeamPolicy(urgent_share=0.25)}
        )
        world.instances[0].ask(team="one", count=100)
        world.instances[1].ask(team="one", urgency=URGENT, count=100)
        world.exchange()
        world.exchange()
        urgent = len(world.instances[1].running)
        self.assertEqual((6, 18), (urgent, 24 - urgent))

    def test_a_lost_instance_gives_its_slots_back_when_they_are_idle(self):
        world = World()
        world.instances[0].ask(count=24)
        world.exchange()
        world.exchange()
        world.allocator.remove_client("i0")
        world.instances[1].ask(count=24)
        world.exchange()
        self.assertEqual([], world.instances[1].running)
        world.instances.pop(0)
        world.clock.advance(1.1)
        idle = [endpoint(f"e{n}", version=2) for n in range(3)]
        world.allocator.set_endpoints(idle, world.clock.now())
        world.exchange()
        world.exchange()
        self.assertEqual(24, len(world.instances[0].running))

    def test_a_leaving_endpoint_gets_nothing_new(self):
        world = World()
        world.allocator.set_endpoints(world.endpoints[1:], world.clock.now())
        world.instances[0].ask(count=50)
        world.exchange()
        world.exchange()
        self.assertNotIn("e0", world.used)

    def test_an_answer_lost_on_the_way_frees_its_slot_again(self):
        world = World(endpoints=1)
        world.instances[0].ask(count=8)
        world.exchange()
        world.exchange()
        world.instances[1].ask(count=1)
        for version in range(2, 5):
            world.clock.advance(0.6)
            idle = [endpoint("e0", version=version)]
            world.allocator.set_endpoints(idle, world.clock.now())
            world.exchange()
        self.assertEqual(1, len(world.instances[1].running))


class OutlierTest(testtools.TestCase):
    def _check_ejection(self, *, rounds, count):
        world = World(endpoints=6)
        failed = 0
        for _ in range(rounds):
            world.instances[0].ask(count=count)
            world.exchange()
            world.exchange()
            for each in list(world.instances[0].running):
                is_bad = each.endpoint == "e0"
                failed += is_bad
                use = slotsource.Use.BAD if is_bad else slotsource.Use.GOOD
                world.instances[0].finish(each, use)
        self.assertLessEqual(failed, 20)
        self.assertGreater(failed, 0)

    def test_an_endpoint_that_fails_everything_is_out_within_20_tasks(self):
        self._check_ejection(rounds=100, count=4)

    def test_an_ejected_endpoint_gets_nothing_even_when_slots_are_short(self):
        self._check_ejection(rounds=40, count=60)

    def test_a_shared_cause_does_not_eject_all(self):
        detector = outliers.OutlierDetector()
        names = [f"e{n}" for n in range(9)]
        for _ in range(20):
            for name in names:
                detector.record(
                    name,
                    successes=0,
                    failures=1,
                    service_endpoints=lambda: names,
                    now=0.0,
                )
        self.assertEqual(3, detector.count_ejected(names, 0.0))

    def test_trial_on_return_and_longer_ejection_after_a_bad_one(self):
        detector = outliers.OutlierDetector()
        names = [f"e{n}" for n in range(9)]

        def record(successes, failures, now):
            return detector.record(
                "e",
                successes=successes,
                failures=failures,
                service_endpoints=lambda: names,
                now=now,
            )

        self.assertTrue(record(0, 10, 0.0))
        self.assertEqual(
            outliers.EndpointState.EJECTED, detector.state("e", 1.9)
        )
        self.assertEqual(
            outliers.EndpointState.TRIAL, detector.state("e", 2.0)
        )
        self.assertTrue(record(0, 1, 2.0))
        self.assertEqual(
            outliers.EndpointState.EJECTED, detector.state("e", 5.9)
        )
        self.assertEqual(
            outliers.EndpointState.TRIAL, detector.state("e", 6.0)
        )
        record(3, 0, 6.0)
        self.assertEqual(
            outliers.EndpointState.TRUSTED, detector.state("e", 6.0)
        )


class ReportTest(testtools.TestCase):
    def test_an_owner_knows_who_has_told_all_it_holds(self):
        world = World(endpoints=1, instances=2)
        world.instances[0].ask()
        self.assertFalse(world.allocator.has_full_report("i0"))
        world.exchange()
        self.assertTrue(world.allocator.has_full_report("i0"))
        self.assertTrue(world.allocator.has_full_report("i1"))
        ((_, report),) = Instance(name="i2", world=world).client.take_reports()
        later = report._replace(sequence=5, is_full=False)
        world.allocator.report("i2", later, world.clock.now())
        self.assertFalse(world.allocator.has_full_report("i2"))

    def test_a_report_that_came_twice_counts_once(self):
        world = World(endpoints=1)
        instance = world.instances[0]
        instance.ask(count=2)
        world.exchange()
        instance.finish(instance.running[0])
        ((_, report),) = instance.client.take_reports()
        now = world.clock.now()
        world.allocator.report("i0", report, now)
        world.allocator.report("i0", report, now)
        self.assertEqual({"e0": 1}, world.allocator.slots_in_use(now))
        self.assertIsInstance(report, messages.SlotReport)
