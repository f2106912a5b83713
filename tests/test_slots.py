"""Tests of slot allocation, slot clients and outlier detection.

They guard against overcommitted, leaked and unfairly divided slots, also
when messages are lost, and against grants to failing endpoints.
"""

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
    """An entry instance with its slot client and running tasks."""

    def __init__(self, *, name, simulation):
        self.name = name
        self.simulation = simulation
        self.running = []
        self.client = slotclient.SlotClient(
            zone=ZONE,
            boot=name,
            owners=lambda zone: "owner",
            offers=lambda service: {ZONE: 1},
            clk=simulation.clock,
            wake=lambda: None,
        )

    def submit(self, team="one", urgency=NORMAL, count=1):
        for _ in range(count):
            need = slotsource.Need(SERVICE, ids.TeamId(team), urgency)
            self.client.add(
                slotsource.WaitingTask(
                    need=need,
                    deadline_at=self.simulation.clock.now() + 60,
                    granted=self._granted,
                )
            )

    def _granted(self, grant):
        self.running.append(grant)
        self.simulation.on_started(grant)

    def finish(self, grant, result=slotsource.GrantResult.GOOD):
        self.running.remove(grant)
        self.simulation.on_ended(grant)
        self.client.release(grant, result)


class Simulation:
    """An allocator and a few instances; messages between them may be lost."""

    def __init__(self, *, endpoints=3, instances=3, policies=None, seed=1):
        self.rng = random.Random(seed)
        self.clock = clock.ManualClock()
        team_policies = policies or {}
        self.allocator = slots.SlotAllocator(
            zone=ZONE,
            policies=lambda team: team_policies.get(team, teampolicy.DEFAULT),
            zone_count=1,
            rng=self.rng,
        )
        self.endpoints = [endpoint(f"e{n}") for n in range(endpoints)]
        self.allocator.set_endpoints(self.endpoints, self.clock.now())
        self.used = collections.Counter()
        self.overcommits = 0
        self.instances = [
            Instance(name=f"i{n}", simulation=self) for n in range(instances)
        ]

    def on_started(self, grant):
        self.used[grant.endpoint] += 1
        self.overcommits += self.used[grant.endpoint] > 8

    def on_ended(self, grant):
        self.used[grant.endpoint] -= 1

    def exchange_messages(self, loss_rate=0.0):
        self.clock.advance(0.01)
        now = self.clock.now()
        for instance in self.instances:
            for _, report in instance.client.take_reports():
                if self.rng.random() >= loss_rate:
                    self.allocator.on_report(instance.name, report, now)
        for name, grants in self.allocator.allocate(now).items():
            instance = next(i for i in self.instances if i.name == name)
            if self.rng.random() >= loss_rate:
                instance.client.on_grants(grants)

    def team_usage(self):
        return collections.Counter(
            grant.need.team for i in self.instances for grant in i.running
        )


class SlotAllocatorTest(testtools.TestCase):
    def test_all_slots_are_used_without_overcommit(self):
        simulation = Simulation()
        for instance in simulation.instances:
            instance.submit(count=20)
        for _ in range(3):
            simulation.exchange_messages()
        self.assertEqual(24, sum(simulation.used.values()))
        self.assertEqual(0, simulation.overcommits)

    def test_random_load_never_overcommits_or_leaks_slots(self):
        for seed in range(20):
            simulation = Simulation(seed=seed)
            for _ in range(200):
                instance = simulation.rng.choice(simulation.instances)
                instance.submit(count=simulation.rng.randint(0, 6))
                for grant in list(instance.running):
                    if simulation.rng.random() < 0.5:
                        instance.finish(grant)
                simulation.exchange_messages()
            for _ in range(300):
                for instance in simulation.instances:
                    for grant in list(instance.running):
                        instance.finish(grant)
                simulation.exchange_messages()
            self.assertEqual(0, simulation.overcommits)
            self.assertEqual(
                0, sum(i.client.waiting for i in simulation.instances)
            )
            used = self._slots_in_use(simulation)
            self.assertEqual(0, sum(used.values()), seed)

    def _slots_in_use(self, simulation):
        return simulation.allocator.slots_in_use(simulation.clock.now())

    def test_all_tasks_get_slots_despite_lost_messages(self):
        for seed in range(10):
            simulation = Simulation(seed=seed)
            for instance in simulation.instances:
                instance.submit(count=30)
            for step in range(1500):
                simulation.exchange_messages(
                    loss_rate=0.2 if step < 300 else 0.0
                )
                for instance in simulation.instances:
                    for grant in list(instance.running):
                        if simulation.rng.random() < 0.3:
                            instance.finish(grant)
            self.assertEqual(
                0, sum(i.client.waiting for i in simulation.instances)
            )

    def test_contended_slots_are_divided_by_weight(self):
        simulation = Simulation(
            policies={"one": teampolicy.TeamPolicy(weight=3.0)}
        )
        simulation.instances[0].submit(team="one", count=50)
        simulation.instances[1].submit(team="two", count=50)
        simulation.exchange_messages()
        simulation.exchange_messages()
        usage = simulation.team_usage()
        self.assertEqual((18, 6), (usage["one"], usage["two"]))

    def test_unused_share_is_lent_and_reclaimed(self):
        simulation = Simulation()
        simulation.instances[0].submit(team="one", count=60)
        simulation.exchange_messages()
        simulation.exchange_messages()
        self.assertEqual(24, simulation.team_usage()["one"])
        simulation.instances[1].submit(team="two", count=60)
        for _ in range(12):
            instance = simulation.instances[0]
            instance.finish(instance.running[0])
            simulation.exchange_messages()
        usage = simulation.team_usage()
        self.assertEqual((12, 12), (usage["one"], usage["two"]))

    def test_concurrency_quota_spans_all_instances(self):
        simulation = Simulation(
            policies={"one": teampolicy.TeamPolicy(max_concurrent=5)}
        )
        for instance in simulation.instances:
            instance.submit(team="one", count=10)
        for _ in range(10):
            simulation.exchange_messages()
        self.assertEqual(5, simulation.team_usage()["one"])

    def test_rate_quota_limits_starts_over_time(self):
        simulation = Simulation(
            policies={"one": teampolicy.TeamPolicy(rate_per_s=50.0)}
        )
        start_count = 0
        for instance in simulation.instances:
            instance.submit(team="one", count=500)
        for _ in range(200):
            simulation.exchange_messages()
            for instance in simulation.instances:
                for grant in list(instance.running):
                    start_count += 1
                    instance.finish(grant)
        self.assertLessEqual(start_count, 2 * 50 + 50)
        self.assertGreaterEqual(start_count, 80)

    def test_urgent_tasks_get_no_more_than_their_share(self):
        simulation = Simulation(
            policies={"one": teampolicy.TeamPolicy(urgent_share=0.25)}
        )
        simulation.instances[0].submit(team="one", count=100)
        simulation.instances[1].submit(team="one", urgency=URGENT, count=100)
        simulation.exchange_messages()
        simulation.exchange_messages()
        urgent = len(simulation.instances[1].running)
        self.assertEqual((6, 18), (urgent, 24 - urgent))

    def test_slots_of_a_lost_instance_are_reused_once_idle(self):
        simulation = Simulation()
        simulation.instances[0].submit(count=24)
        simulation.exchange_messages()
        simulation.exchange_messages()
        simulation.allocator.remove_client("i0")
        simulation.instances[1].submit(count=24)
        simulation.exchange_messages()
        self.assertEqual([], simulation.instances[1].running)
        simulation.instances.pop(0)
        simulation.clock.advance(1.1)
        idle_endpoints = [endpoint(f"e{n}", version=2) for n in range(3)]
        simulation.allocator.set_endpoints(
            idle_endpoints, simulation.clock.now()
        )
        simulation.exchange_messages()
        simulation.exchange_messages()
        self.assertEqual(24, len(simulation.instances[0].running))

    def test_a_leaving_endpoint_gets_no_grants(self):
        simulation = Simulation()
        simulation.allocator.set_endpoints(
            simulation.endpoints[1:], simulation.clock.now()
        )
        simulation.instances[0].submit(count=50)
        simulation.exchange_messages()
        simulation.exchange_messages()
        self.assertNotIn("e0", simulation.used)

    def test_a_slot_whose_answer_was_lost_is_freed(self):
        simulation = Simulation(endpoints=1)
        simulation.instances[0].submit(count=8)
        simulation.exchange_messages()
        simulation.exchange_messages()
        simulation.instances[1].submit(count=1)
        for version in range(2, 5):
            simulation.clock.advance(0.6)
            idle_endpoints = [endpoint("e0", version=version)]
            simulation.allocator.set_endpoints(
                idle_endpoints, simulation.clock.now()
            )
            simulation.exchange_messages()
        self.assertEqual(1, len(simulation.instances[1].running))


class OutlierDetectorTest(testtools.TestCase):
    def _check_ejection(self, *, rounds, count):
        simulation = Simulation(endpoints=6)
        failures = 0
        for _ in range(rounds):
            simulation.instances[0].submit(count=count)
            simulation.exchange_messages()
            simulation.exchange_messages()
            for grant in list(simulation.instances[0].running):
                is_failing = grant.endpoint == "e0"
                failures += is_failing
                result = (
                    slotsource.GrantResult.BAD
                    if is_failing
                    else slotsource.GrantResult.GOOD
                )
                simulation.instances[0].finish(grant, result)
        self.assertLessEqual(failures, 20)
        self.assertGreater(failures, 0)

    def test_a_failing_endpoint_is_ejected_within_20_tasks(self):
        self._check_ejection(rounds=100, count=4)

    def test_an_ejected_endpoint_gets_no_grants_under_contention(self):
        self._check_ejection(rounds=40, count=60)

    def test_a_common_failure_ejects_only_a_share(self):
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

    def test_a_failed_trial_doubles_the_ejection_time(self):
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


class SlotReportTest(testtools.TestCase):
    def test_a_full_report_is_required_at_first_and_after_a_gap(self):
        simulation = Simulation(endpoints=1, instances=2)
        simulation.instances[0].submit()
        self.assertFalse(simulation.allocator.has_full_report("i0"))
        simulation.exchange_messages()
        self.assertTrue(simulation.allocator.has_full_report("i0"))
        self.assertTrue(simulation.allocator.has_full_report("i1"))
        ((_, report),) = Instance(
            name="i2", simulation=simulation
        ).client.take_reports()
        report_after_gap = report._replace(sequence=5, is_full=False)
        simulation.allocator.on_report(
            "i2", report_after_gap, simulation.clock.now()
        )
        self.assertFalse(simulation.allocator.has_full_report("i2"))

    def test_a_duplicate_report_is_ignored(self):
        simulation = Simulation(endpoints=1)
        instance = simulation.instances[0]
        instance.submit(count=2)
        simulation.exchange_messages()
        instance.finish(instance.running[0])
        ((_, report),) = instance.client.take_reports()
        now = simulation.clock.now()
        simulation.allocator.on_report("i0", report, now)
        simulation.allocator.on_report("i0", report, now)
        self.assertEqual({"e0": 1}, simulation.allocator.slots_in_use(now))
        self.assertIsInstance(report, messages.SlotReport)
