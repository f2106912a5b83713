"""Tests of the time for which a standby holder may start tasks."""

import testtools

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel.control import permission

NOW = 100.0
LIMIT_S = 4.5


class StartPermissionTest(testtools.TestCase):
    def make(self, *, zones="abc", evacuation_s=5.0):
        return permission.StartPermission(
            zone=ids.ZoneId("a"), zones=zones, evacuation_s=evacuation_s
        )

    def tell(self, start, zone, *, at=NOW, now=NOW, reaches_quorum=False):
        start.record_witness(
            ids.InstanceId(f"host-{zone}"),
            ids.ZoneId(zone),
            at=at,
            reaches_quorum=reaches_quorum,
            now=now,
        )

    def test_it_expires_before_an_order_has_effect(self):
        start = self.make()
        self.assertFalse(start.may_start(NOW))
        start.renew(NOW, NOW)
        self.assertTrue(start.may_start(NOW + LIMIT_S - 0.01))
        self.assertFalse(start.may_start(NOW + LIMIT_S))

    def test_it_does_not_expire_without_evacuations(self):
        self.assertTrue(self.make(evacuation_s=0.0).may_start(NOW))

    def test_an_answer_counts_from_the_time_of_the_question(self):
        # The answer may have waited in a buffer while the host was paused.
        start = self.make()
        start.renew(NOW, NOW + 60.0)
        self.assertFalse(start.may_start(NOW + 60.0))

    def test_a_time_before_a_restart_is_not_used(self):
        start = self.make()
        start.renew(NOW + 1.0, NOW)
        self.tell(start, "b", at=NOW + 1.0)
        self.assertFalse(start.may_start(NOW + 1.1))

    def test_most_zones_without_a_leader_renew_it(self):
        start = self.make()
        self.tell(start, "b")
        self.assertTrue(start.may_start(NOW + LIMIT_S - 0.01))
        self.assertFalse(start.may_start(NOW + LIMIT_S))

    def test_half_of_the_zones_do_not_renew_it(self):
        start = self.make(zones="abcd")
        self.tell(start, "b")
        self.assertFalse(start.may_start(NOW))
        self.tell(start, "c")
        self.assertTrue(start.may_start(NOW))

    def test_the_oldest_answer_of_the_majority_counts(self):
        start = self.make(zones="abcde")
        self.tell(start, "b", at=NOW)
        self.tell(start, "c", at=NOW - 0.5)
        self.tell(start, "d", at=NOW - 0.7)
        self.assertTrue(start.may_start(NOW - 0.5 + LIMIT_S - 0.01))
        self.assertFalse(start.may_start(NOW - 0.5 + LIMIT_S))

    def test_a_witness_of_another_zone_that_reaches_a_leader_prevents_it(self):
        start = self.make()
        self.tell(start, "c", reaches_quorum=True)
        self.tell(start, "b")
        self.assertFalse(start.may_start(NOW))

    def test_a_quorum_that_this_host_reaches_prevents_it(self):
        start = self.make()
        start.record_quorum(NOW)
        self.tell(start, "b")
        self.assertFalse(start.may_start(NOW))
        after = NOW + permission.WITNESS_TIMEOUT_S + 0.01
        self.tell(start, "b", at=after, now=after)
        self.assertTrue(start.may_start(after))

    def test_old_answers_of_witnesses_do_not_count(self):
        start = self.make()
        late = NOW + permission.WITNESS_TIMEOUT_S + 0.01
        self.tell(start, "b", at=NOW, now=late)
        self.assertFalse(start.may_start(late))

    def test_hosts_of_unknown_zones_do_not_count(self):
        start = self.make()
        self.tell(start, "x")
        self.assertFalse(start.may_start(NOW))


class ChooseWitnessesTest(testtools.TestCase):
    def test_two_hosts_of_each_other_zone_are_chosen(self):
        entries = [
            messages.EntryPeer(ids.InstanceId(f"{zone}{number}"), zone)
            for number in range(5)
            for zone in ("a", "b", "c", "")
        ]
        chosen = permission.choose_witnesses(entries, ids.ZoneId("b"))
        self.assertEqual(
            ["a0", "a1", "c0", "c1"], [entry.host for entry in chosen]
        )
