"""Settings replication under random fault schedules."""

import itertools

import testtools

from chervilwheel import auth
from chervilwheel import messages
from chervilwheel import policies
from chervilwheel import policyview
from tests import fakes
from tests import stepper

SEEDS = 300
MUTANT_SEEDS = 100
PATH = "teams/one/policy"
ACCEPTED = policies.ChangeStatus.ACCEPTED


class SettingsSchedule(stepper.Schedule):
    """Concurrent and resent changes, with readers that pull at random.

    Each reader pulls from any live keeper, whether it is up to date or not.
    """

    def __init__(self, *, seed, make_machine=policies.Policies):
        super().__init__(seed=seed, make_machine=make_machine)
        self.numbers = itertools.count(1)
        self.commands = {}
        self.replies = {}
        self.readers = [self._reader() for _ in range(3)]

    @staticmethod
    def _reader():
        tokens = auth.TokenStore(credentials=())
        store = fakes.FakeDisk(rng=None)
        return policyview.PolicyView(tokens=tokens, cache=None, store=store)

    def _act(self, rng):
        reader = rng.choice(self.readers)
        if rng.random() < 0.5:
            self._pull(reader, rng)
        elif self.commands and rng.random() < 0.3:
            self._send(self.commands[rng.choice(list(self.commands))], rng)
        else:
            number = next(self.numbers)
            edit = policies.Edit(PATH, f"weight = {number}.0", False)
            command = policies.ChangeCommand(
                f"c{number}", "operator", reader.revision, (edit,)
            )
            self.commands[command.change_id] = command
            self._send(command, rng)

    def _pull(self, reader, rng):
        node = rng.choice(list(self.world.nodes.values()))
        if not node.is_up:
            return
        before = reader.revision
        pull = messages.SettingsPull(before, reader.digest())
        reader.apply_push(policyview.answer_pull(node.machine, pull))
        if reader.revision < before:
            raise stepper.InvariantError("the revision of a reader decreased")

    def _send(self, command, rng):
        node = self.world.leader() or rng.choice(
            list(self.world.nodes.values())
        )
        if not node.is_up:
            return
        data = policies.CODEC.encode(command)
        request = messages.GroupRequest(next(self.numbers), "g", (data,))

        def respond(reply):
            if reply.status == messages.STATUS.ok and rng.random() > 0.2:
                self._on_reply(
                    command, policies.CODEC.decode(reply.results[0])
                )

        node.host.request(request, respond)

    def _on_reply(self, command, reply):
        first = self.replies.setdefault(command.change_id, reply)
        if first != reply:
            raise stepper.InvariantError(
                "a resent change got a different reply"
            )

    def _read_all(self):
        tree = self.world.leader().machine
        changes = tree.run(policies.HistoryCommand("", 10_000), 1).changes
        policies.verify(changes)
        accepted = {}
        for change in changes:
            if change.status is ACCEPTED:
                if change.change_id in accepted:
                    raise stepper.InvariantError("a change was accepted twice")
                accepted[change.change_id] = change.revision
        self._check_replies(accepted)
        self._check_conflicts(accepted)
        for reader in self.readers:
            pull = messages.SettingsPull(reader.revision, reader.digest())
            reader.apply_push(policyview.answer_pull(tree, pull))
            if reader.digest() != tree.digest():
                raise stepper.InvariantError("a reader did not catch up")

    def _check_replies(self, accepted):
        for change_id, reply in self.replies.items():
            is_audited = accepted.get(change_id) == reply.revision
            if reply.status is ACCEPTED and not is_audited:
                raise stepper.InvariantError("an accepted change was lost")

    def _check_conflicts(self, accepted):
        revisions = sorted(accepted.values())
        if len(set(revisions)) < len(revisions):
            raise stepper.InvariantError(
                "two accepted changes have the same revision"
            )
        for change_id, revision in accepted.items():
            base = self.commands[change_id].base_revision
            if any(base < other < revision for other in revisions):
                raise stepper.InvariantError(
                    "a change with an outdated base was accepted"
                )


class LostAnswers(policies.Policies):
    """A mutant: the replies to earlier change ids are not stored."""

    def _change(self, command, wall_ms):
        self._answered.clear()
        return super()._change(command, wall_ms)


class LastWriterWins(policies.Policies):
    """A mutant: the base revision is not checked for conflicts."""

    def _subtree_revision(self, subtree):
        return 0


class SettingsScheduleTest(testtools.TestCase):
    def test_invariants_hold_under_every_seed(self):
        accepted = 0
        for seed in range(1, SEEDS + 1):
            schedule = SettingsSchedule(seed=seed)
            try:
                schedule.run()
            except Exception as exc:
                raise AssertionError(f"seed {seed}") from exc
            accepted += sum(
                reply.status is ACCEPTED for reply in schedule.replies.values()
            )
        self.assertGreater(accepted, SEEDS)

    def test_mutants_are_detected(self):
        for mutant in (LostAnswers, LastWriterWins):
            self.assertTrue(self._is_detected(mutant), mutant.__name__)

    def _is_detected(self, mutant):
        for seed in range(1, MUTANT_SEEDS):
            try:
                SettingsSchedule(seed=seed, make_machine=mutant).run()
            except stepper.InvariantError:
                return True
        return False
