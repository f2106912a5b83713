"""Who may do what: bearer tokens known by their hashes."""

import hashlib
import hmac
import typing

from chervilwheel import errors
from chervilwheel import ids

BEARER = "Bearer "


class Principal(typing.NamedTuple):
    """Who sends a request: an operator, a team, or both."""

    team: ids.TeamId
    is_operator: bool
    label: str = ""

    @property
    def name(self) -> str:
        """Return a name for logs and the audit trail."""
        role = "operator" if self.is_operator else f"team:{self.team}"
        return f"{role}/{self.label}" if self.label else role


class Credential(typing.NamedTuple):
    """The hash of a token and who holds it."""

    sha256: str
    principal: Principal


class TokenBook:
    """Check bearer tokens.

    :param credentials: the tokens known from the settings file
    """

    def __init__(self, *, credentials: typing.Sequence[Credential]) -> None:
        self._fixed = tuple(credentials)
        self._replicated: tuple[Credential, ...] = ()

    def replace(self, credentials: typing.Sequence[Credential]) -> None:
        """Take over the tokens that the replicated settings hold."""
        self._replicated = tuple(credentials)

    def identify(self, header: str | None) -> Principal:
        """Tell who sends a request, in time independent of the token.

        :param header: the Authorization header
        :raises errors.Unauthorized: when the token is not known
        """
        if header is None or not header.startswith(BEARER):
            raise errors.Unauthorized("a bearer token is needed")
        token = header[len(BEARER) :].strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = None
        for credential in self._fixed + self._replicated:
            if hmac.compare_digest(credential.sha256, digest):
                found = credential.principal
        if found is None:
            raise errors.Unauthorized("the token is not known")
        return found


def require_operator(who: Principal) -> None:
    """Refuse anyone but operators.

    :raises errors.Forbidden: when the caller is a team
    """
    if not who.is_operator:
        raise errors.Forbidden("only operators may do this")
