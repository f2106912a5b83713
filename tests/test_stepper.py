"""Ledger invariants under random schedules, and mutants that break them."""

import os

import testtools

from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import journal
from chervilwheel import keeper
from chervilwheel import ledger
from chervilwheel import replica
from tests import fakes
from tests import stepper

FIRST_SEED = int(os.environ.get("STEPPER_FIRST", "1"))
SEEDS = int(os.environ.get("STEPPER_SEEDS", "2000"))
PARTS = 8
MUTANT_SEEDS = 1200


class UnsyncedNode(fakes.Node):
    """Mutant: votes and log entries are not synced."""

    def start(self):
        self.disk.sync = lambda path: None
        super().start()


class SameDiskNode(fakes.Node):
    """Mutant: a wiped disk keeps its identity."""

    def wipe(self):
        self.disk.wipe()


class StaleLogVoteReplica(replica.Replica):
    """Mutant: votes for a candidate whose log is behind its own."""

    def _may_grant_vote(self, message, now):
        message = message._replace(last_term=1 << 40)
        return super()._may_grant_vote(message, now)


class DoubleVoteReplica(replica.Replica):
    """Mutant: votes more than once in a term."""

    def _may_grant_vote(self, message, now):
        if not message.is_pre and message.term == self.term:
            self.vote = ""
        return super()._may_grant_vote(message, now)


class MinorityReplica(replica.Replica):
    """Mutant: one member less than a majority makes a quorum."""

    def _is_quorum(self, members):
        return len(members) * 2 >= len(self.config.voters) - 1


class UnfencedLedger(ledger.Ledger):
    """Mutant: doesn't check the epoch of an intent."""

    def _intend(self, command, wall_ms):
        job = self._jobs.get(command.job)
        if job is not None:
            command = command._replace(epoch=job.epoch)
        return super()._intend(command, wall_ms)


class StaleResultLedger(ledger.Ledger):
    """Mutant: accepts results of a stale epoch."""

    def _record(self, command, wall_ms):
        job = self._jobs.get(command.job)
        if job is not None:
            command = command._replace(epoch=job.epoch)
        return super()._record(command, wall_ms)


def _machine_of(kind):
    def make():
        machine = keeper.LedgerMachine()
        machine.ledger = kind(finished=machine._on_finished)
        return machine

    return make


def _is_detected(**options):
    make_machine = options.pop("make_machine", None)
    for seed in range(1, MUTANT_SEEDS):
        try:
            schedule = stepper.Schedule(seed=seed, **options)
            if make_machine is not None:
                schedule.world.make_machine = make_machine
                for node in schedule.world.nodes.values():
                    node.start()
            schedule.run()
        except (stepper.InvariantError, errors.ChervilwheelError):
            return True
    return False


class ScheduleTest(testtools.TestCase):
    def _run_part(self, part):
        for seed in range(FIRST_SEED + part, FIRST_SEED + SEEDS, PARTS):
            try:
                stepper.Schedule(seed=seed).run()
            except Exception as exc:
                raise AssertionError(f"seed {seed}") from exc


def _add_parts():
    for part in range(PARTS):

        def run(self, part=part):
            self._run_part(part)

        run.__name__ = f"test_invariants_hold_part_{part}"
        setattr(ScheduleTest, run.__name__, run)


_add_parts()


class TermSchedule(stepper.Schedule):
    """A schedule in which leaders begin terms of their own accord."""

    def _inject_fault(self, rng):
        super()._inject_fault(rng)
        leader = self.world.leader()
        if leader is not None and rng.random() < 0.5:
            leader.host.begin_term()


class TermTest(testtools.TestCase):
    def test_invariants_hold_though_leaders_begin_terms(self):
        for seed in range(60):
            try:
                TermSchedule(seed=seed).run()
            except Exception as exc:
                raise AssertionError(f"seed {seed}") from exc


class MutantTest(testtools.TestCase):
    """The schedule's checks detect each fault built into the protocol."""

    def test_vote_and_entries_not_synced(self):
        self.assertTrue(_is_detected(node_class=UnsyncedNode))

    def test_messages_sent_before_sync(self):
        self.assertTrue(_is_detected(host_class=stepper.LateSyncHost))

    def test_wiped_disk_keeps_its_identity(self):
        self.assertTrue(_is_detected(node_class=SameDiskNode))

    def test_vote_for_a_short_log(self):
        self.assertTrue(_is_detected(replica_class=StaleLogVoteReplica))

    def test_two_votes_in_a_term(self):
        self.assertTrue(_is_detected(replica_class=DoubleVoteReplica))

    def test_election_by_a_minority(self):
        self.assertTrue(_is_detected(replica_class=MinorityReplica))

    def test_epoch_of_an_intent_unchecked(self):
        machine = _machine_of(UnfencedLedger)
        self.assertTrue(_is_detected(make_machine=machine))

    def test_epoch_of_a_result_unchecked(self):
        machine = _machine_of(StaleResultLedger)
        self.assertTrue(_is_detected(make_machine=machine))


class ProgressTest(testtools.TestCase):
    def test_schedules_start_tasks_and_return_results(self):
        starts = results = 0
        for seed in range(1, 21):
            schedule = stepper.Schedule(seed=seed)
            schedule.run()
            starts += len(schedule.history.starts)
            results += len(schedule.history.results)
        self.assertGreater(starts, 10)
        self.assertGreater(results, 10)

    def test_second_host_lost_right_after_a_repair(self):
        world = fakes.World(seed=5, make_machine=keeper.LedgerMachine)
        world.wait_for_leader()
        history = stepper.History()
        runner = stepper.Runner(name="r0", world=world, history=history)
        job = ids.JobId("job")
        while job not in runner.epochs:
            runner.claim(job)
            world.run(0.2)
        first = next(n for n in world.nodes.values() if n != world.leader())
        first.crash()
        first.wipe()
        first.start()
        world.run(5.0)
        config = world.leader().host.member.config
        self.assertIn((first.name, first.disk_id), config.voters)
        second = next(n for n in world.nodes.values() if n != first)
        second.crash()
        second.wipe()
        world.run(5.0)
        reply = world.leader().machine.ledger.state_of(job)
        self.assertEqual(ledger.Verdict.JOINED, reply.verdict)

    def test_a_voter_that_missed_a_config_votes_for_the_new_member(self):
        # Seed 183 failed: one host is repaired while a second is
        # partitioned and misses the config, then the third loses its
        # disk. The second must vote for the repaired host all the same.
        stepper.Schedule(seed=183).run()

    def test_a_learner_votes_if_the_candidate_has_it_as_a_voter(self):
        # Seed 1844 failed: the leader loses its disk before a repaired
        # host has received the config entry that makes it a voter. That
        # host must vote although its own config lists it as a learner.
        stepper.Schedule(seed=1844).run()

    def test_a_cut_off_leader_steps_down_and_catches_up(self):
        world = fakes.World(seed=7, make_machine=keeper.LedgerMachine)
        old = world.wait_for_leader()
        others = [name for name in world.nodes if name != old.name]
        world.net.isolate(old.name, others, direction="in")
        world.run(6.0)
        self.assertFalse(old.host.member.is_leader)
        new = world.leader()
        self.assertIsNot(old, new)
        world.net.cuts.clear()
        world.run(3.0)
        self.assertEqual(
            world.leader().host.member.commit, old.host.member.commit
        )

    def test_failed_sync_halts_the_group_and_acknowledges_nothing(self):
        world = fakes.World(seed=9, make_machine=keeper.LedgerMachine)
        leader = world.wait_for_leader()
        world.run(1.0)
        for node in world.nodes.values():
            if node is not leader:
                node.disk.fails_sync = True
        history = stepper.History()
        runner = stepper.Runner(name="r0", world=world, history=history)
        for _ in range(20):
            runner.claim(ids.JobId("job"))
            world.run(0.1)
        self.assertEqual({}, runner.epochs)
        halted = [n.host.is_halted for n in world.nodes.values()]
        self.assertEqual(2, sum(halted))

    def test_compaction_and_snapshot_for_a_lagging_member(self):
        world = fakes.World(seed=11, make_machine=keeper.LedgerMachine)
        leader = world.wait_for_leader()
        lagging = next(n for n in world.nodes.values() if n != leader)
        lagging.crash()
        history = stepper.History()
        runner = stepper.Runner(name="r0", world=world, history=history)
        for number in range(30):
            runner.claim(ids.JobId(f"job-{number}"))
            world.run(0.05)
        for node in world.nodes.values():
            if node.is_up:
                snapshot = node.host.member.compact(
                    node.machine.dump(), node.host._applied_index
                )
                node.host._journal.compact(
                    snapshot,
                    node.host.member.log.entries_from(snapshot.index + 1),
                )
        lagging.start()
        world.run(5.0)
        self.assertEqual(
            len(world.leader().machine.ledger), len(lagging.machine.ledger)
        )
        self.assertGreater(lagging.host.member.log.snapshot.index, 0)


class JournalDamageTest(testtools.TestCase):
    def test_corruption_is_refused_and_a_torn_write_is_truncated(self):
        first = journal.frame(
            journal._codec.encode(journal.Save(True, 1, "a/b", ()))
        )
        second = journal.frame(
            journal._codec.encode(journal.Save(True, 2, "a/b", ()))
        )
        for cut in range(1, len(second)):
            frames = journal.read_frames(first + second[:cut], name="f")
            self.assertEqual(len(first), frames.good_bytes)
        corrupt = bytearray(first)
        corrupt[-1] ^= 1
        self.assertRaises(
            errors.CorruptData,
            journal.read_frames,
            bytes(corrupt) + second,
            name="f",
        )
