"""The exception tree, and the one map from errors to HTTP statuses."""

import typing


class ChervilwheelError(Exception):
    """Any error that this package raises on purpose.

    :param detail: what was wrong, where, and what to do
    :param retry_after_s: seconds after which a caller may try again
    """

    status: typing.ClassVar[int] = 500
    kind: typing.ClassVar[str] = "internal"

    def __init__(
        self, detail: str, *, retry_after_s: float | None = None
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.retry_after_s = retry_after_s


class InvalidSettings(ChervilwheelError):
    """A settings file or document has a wrong key or value."""

    status = 422
    kind = "invalid-settings"


class InvalidRequest(ChervilwheelError):
    """A request breaks the rules of the interface."""

    status = 400
    kind = "invalid-request"


class RequestTooLarge(InvalidRequest):
    """A request body or job exceeds its bound."""

    status = 413
    kind = "too-large"


class KeyReused(InvalidRequest):
    """An idempotency key came again with another body."""

    status = 422
    kind = "key-reused"


class Unauthorized(ChervilwheelError):
    """The bearer token is missing or unknown."""

    status = 401
    kind = "unauthorized"


class Forbidden(ChervilwheelError):
    """The caller may not do this."""

    status = 403
    kind = "forbidden"


class NotFound(ChervilwheelError):
    """Nothing stands under this name."""

    status = 404
    kind = "not-found"


class Expired(ChervilwheelError):
    """The submission id is older than the ledger's memory."""

    status = 410
    kind = "expired"


class NotRun(ChervilwheelError):
    """Proven: nothing of the request was started."""

    status = 503
    kind = "not-run"


class QuotaExceeded(NotRun):
    """The team has used up its quota; nothing was started."""

    status = 429
    kind = "quota"


class OutcomeUnknown(ChervilwheelError):
    """The request may or may not have taken effect."""

    status = 504
    kind = "outcome-unknown"


class Conflict(ChervilwheelError):
    """A change is based on a revision that is no longer the newest."""

    status = 409
    kind = "conflict"


class NotLeader(ChervilwheelError):
    """This replica does not lead its group now.

    :param leader: the replica believed to lead, or an empty string
    """

    status = 503
    kind = "not-leader"

    def __init__(self, detail: str, *, leader: str = "") -> None:
        super().__init__(detail)
        self.leader = leader


class StorageError(ChervilwheelError):
    """A file could not be written, synced or read back."""

    kind = "storage"


class CorruptData(StorageError):
    """A file holds bytes that its checksum does not cover."""

    kind = "corrupt-data"


class ProtocolError(ChervilwheelError):
    """A peer or an endpoint broke its protocol."""

    status = 502
    kind = "protocol"
