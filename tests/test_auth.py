"""Tests of token authentication and of names in the audit trail."""

import hashlib

import testtools

from chervilwheel import auth
from chervilwheel import errors


def _credential(token, principal):
    digest = hashlib.sha256(token.encode()).hexdigest()
    return auth.Credential(digest, principal)


class TokenStoreTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.tokens = auth.TokenStore(
            credentials=[
                _credential("o", auth.Principal("", True, "anna")),
                _credential("t", auth.Principal("one", False)),
            ]
        )

    def test_token_identifies_its_principal(self):
        self.assertEqual(
            "operator/anna", self.tokens.authenticate("Bearer o").name
        )
        self.assertEqual("team:one", self.tokens.authenticate("Bearer t").name)

    def test_missing_or_unknown_token_is_unauthorized(self):
        for header in (None, "", "t", "Basic t", "Bearer ", "Bearer x"):
            self.assertRaises(
                errors.Unauthorized, self.tokens.authenticate, header
            )

    def test_team_lacks_the_operator_role(self):
        team = self.tokens.authenticate("Bearer t")
        self.assertRaises(errors.Forbidden, auth.require_operator, team)
        auth.require_operator(self.tokens.authenticate("Bearer o"))
