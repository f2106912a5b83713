"""Bearer token authentication and the operator check.

Tokens are stored as SHA-256 hashes.
"""

import hashlib
import hmac
import typing

from chervilwheel import errors
from chervilwheel import ids

BEARER = "Bearer "


class Principal(typing.NamedTuple):
    """The sender of a request: an operator, a team, or both."""

    team: ids.TeamId
    is_operator: bool
    label: str = ""

    @property
    def name(self) -> str:
        """The name used in logs and the audit trail."""
        role = "operator" if self.is_operator else f"team:{self.team}"
        return f"{role}/{self.label}" if self.label else role


class Credential(typing.NamedTuple):
    """The SHA-256 hash of a token and the principal it belongs to."""

    sha256: str
    principal: Principal


class TokenStore:
    """Authenticate bearer tokens.

    :param credentials: the tokens of the settings file
    """

    def __init__(self, *, credentials: typing.Sequence[Credential]) -> None:
        self._configured = tuple(credentials)
        self._replicated: tuple[Credential, ...] = ()

    def replace_replicated(
        self, credentials: typing.Sequence[Credential]
    ) -> None:
        """Replace the tokens of the replicated settings."""
        self._replicated = tuple(credentials)

    def authenticate(self, header: str | None) -> Principal:
        """Return the sender of a request.

        Every known token is compared in constant time, so the duration does
        not depend on the token sent.

        :param header: the Authorization header
        :raises errors.Unauthorized: if the token is missing or unknown
        """
        if header is None or not header.startswith(BEARER):
            raise errors.Unauthorized("a bearer token is required")
        token = header[len(BEARER) :].strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = None
        for credential in self._configured + self._replicated:
            if hmac.compare_digest(credential.sha256, digest):
                found = credential.principal
        if found is None:
            raise errors.Unauthorized("unknown bearer token")
        return found


def require_operator(principal: Principal) -> None:
    """Check that the caller is an operator.

    :raises errors.Forbidden: if the caller is not an operator
    """
    if not principal.is_operator:
        raise errors.Forbidden("only operators may do this")
