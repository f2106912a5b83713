"""The settings tree: concurrent and resent changes, audit, local copies."""

import testtools

from chervilwheel import auth
from chervilwheel import errors
from chervilwheel import messages
from chervilwheel import policies
from chervilwheel import policyview
from tests import fakes

PATH = "teams/one/policy"
ACCEPTED = policies.ChangeStatus.ACCEPTED
CONFLICT = policies.ChangeStatus.CONFLICT


def _change(change_id, base, text="weight = 1.0", path=PATH, **kwargs):
    edit = policies.Edit(path, text, kwargs.get("is_delete", False))
    return policies.ChangeCommand(change_id, "operator", base, (edit,))


class PoliciesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.tree = policies.Policies()

    def _run(self, command):
        return self.tree.run(command, 1000)

    def test_one_of_several_concurrent_changes_is_accepted(self):
        replies = [
            self._run(_change(f"c{n}", 0, f"weight = {n}.0"))
            for n in range(1, 6)
        ]
        statuses = [reply.status for reply in replies]
        self.assertEqual([ACCEPTED] + [CONFLICT] * 4, statuses)

    def test_a_resent_change_gets_the_first_reply_after_later_changes(self):
        first = self._run(_change("c1", 0))
        self._run(_change("c2", first.revision, "weight = 2.0"))
        self.assertEqual(first, self._run(_change("c1", 0)))
        conflicting = self._run(_change("c3", 0))
        self.assertEqual(CONFLICT, conflicting.status)
        self.assertEqual(conflicting, self._run(_change("c3", 0)))

    def test_a_resent_change_gets_the_first_reply_after_snapshot_restore(self):
        first = self._run(_change("c1", 0))
        restarted = policies.Policies()
        restarted.load(self.tree.dump())
        resent = restarted.run(_change("c1", 0), 2000)
        self.assertEqual(first, resent)
        self.assertEqual(self.tree.digest(), restarted.digest())

    def test_a_change_id_is_not_reused_for_another_change(self):
        self._run(_change("c1", 0))
        reply = self._run(_change("c1", 0, "weight = 9.0"))
        self.assertEqual(policies.ChangeStatus.REUSED, reply.status)

    def test_changes_of_different_teams_do_not_conflict(self):
        self._run(_change("c1", 0))
        reply = self._run(_change("c2", 0, path="teams/two/policy"))
        self.assertEqual(ACCEPTED, reply.status)

    def test_a_change_of_two_subtrees_is_refused_atomically(self):
        command = policies.ChangeCommand(
            "c1",
            "operator",
            0,
            (
                policies.Edit(PATH, "weight = 1.0", False),
                policies.Edit("teams/two/policy", "weight = 1.0", False),
            ),
        )
        reply = self._run(command)
        self.assertEqual(policies.ChangeStatus.REFUSED, reply.status)
        self.assertEqual([], self.tree.documents_since(0))

    def test_edits_of_one_subtree_get_the_same_revision(self):
        command = policies.ChangeCommand(
            "c1",
            "operator",
            0,
            (
                policies.Edit(PATH, "weight = 1.0", False),
                policies.Edit("teams/one/access", "tokens = []", False),
            ),
        )
        reply = self._run(command)
        revisions = {
            document.revision for document in self.tree.documents_since(0)
        }
        self.assertEqual({reply.revision}, revisions)

    def test_hash_chain_detects_altered_and_removed_records(self):
        for number in range(5):
            self._run(_change(f"c{number}", number))
        changes = self._run(policies.HistoryCommand("", 100)).changes
        policies.verify(changes)
        for index in range(len(changes)):
            forged = list(changes)
            forged[index] = forged[index]._replace(author="someone")
            self.assertRaises(errors.CorruptData, policies.verify, forged)
        removed = changes[:2] + changes[3:]
        self.assertRaises(errors.CorruptData, policies.verify, removed)


class PolicyViewTest(testtools.TestCase):
    def _view(self):
        tokens = auth.TokenStore(credentials=())
        store = fakes.FakeDisk(rng=None)
        return policyview.PolicyView(tokens=tokens, cache=None, store=store)

    def test_an_older_push_is_ignored(self):
        tree = policies.Policies()
        view = self._view()
        old = policyview.answer_pull(tree, messages.SettingsPull(0, b""))
        tree.run(_change("c1", 0, "weight = 4.0"), 1)
        pull = messages.SettingsPull(view.revision, view.digest())
        view.apply_push(policyview.answer_pull(tree, pull))
        self.assertEqual(4.0, view.policy("one").weight)
        self.assertFalse(view.apply_push(old))
        self.assertEqual(4.0, view.policy("one").weight)

    def test_a_digest_mismatch_at_the_same_revision_sends_the_whole_tree(self):
        tree = policies.Policies()
        tree.run(_change("c1", 0, "weight = 4.0"), 1)
        view = self._view()
        view.revision = tree.revision
        pull = messages.SettingsPull(view.revision, view.digest())
        push = policyview.answer_pull(tree, pull)
        self.assertTrue(push.is_whole)
        view.apply_push(push)
        self.assertEqual(tree.digest(), view.digest())

    def test_one_pull_catches_up_after_700_changes(self):
        tree = policies.Policies()
        for number in range(700):
            tree.run(
                _change(f"c{number}", number, f"weight = {number + 1}"), 1
            )
        view = self._view()
        pull = messages.SettingsPull(view.revision, view.digest())
        view.apply_push(policyview.answer_pull(tree, pull))
        self.assertEqual(700, view.revision)
        self.assertEqual(700.0, view.policy("one").weight)

    def test_invalid_documents_are_refused_suggesting_the_nearest_key(self):
        exc = self.assertRaises(
            errors.InvalidSettings,
            policyview.check_document,
            PATH,
            "wieght = 2.0",
        )
        self.assertIn("weight", exc.detail)
        for path, text in [
            (PATH, "weight = -1.0"),
            (PATH, "weight = true"),
            (PATH, "weight = "),
            ("teams/one/access", "tokens = ['x']"),
            ("teams/one/other", ""),
            ("somewhere", ""),
        ]:
            self.assertRaises(
                errors.InvalidSettings, policyview.check_document, path, text
            )

    def test_access_tokens_are_added_and_removed(self):
        tokens = auth.TokenStore(credentials=())
        view = policyview.PolicyView(
            tokens=tokens, cache=None, store=fakes.FakeDisk(rng=None)
        )
        digest = (
            "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"
        )
        for revision, text in (
            (1, f"tokens = ['{digest}']"),
            (2, "tokens=[]"),
        ):
            document = messages.Document(
                "teams/one/access", text, revision, False
            )
            view.apply_push(
                messages.SettingsPush(revision, False, (document,), b"")
            )
            if revision == 1:
                self.assertEqual("one", tokens.authenticate("Bearer foo").team)
        self.assertRaises(
            errors.Unauthorized, tokens.authenticate, "Bearer foo"
        )
