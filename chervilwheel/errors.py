"""Exception hierarchy, with the HTTP status and error code of each."""

import typing


class ChervilwheelError(Exception):
    """Base class of the package's own exceptions.

    :param detail: what is wrong, where, and how to correct it
    :param retry_after_s: seconds after which the caller may retry
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
    """A settings file or document has an invalid key or value."""

    status = 422
    kind = "invalid-settings"


class InvalidRequest(ChervilwheelError):
    """A request does not conform to the API."""

    status = 400
    kind = "invalid-request"


class RequestTooLarge(InvalidRequest):
    """A request body or job exceeds its size limit."""

    status = 413
    kind = "too-large"


class KeyReused(InvalidRequest):
    """An idempotency key was reused with a different body."""

    status = 422
    kind = "key-reused"


class Unauthorized(ChervilwheelError):
    """The bearer token is missing or unknown."""

    status = 401
    kind = "unauthorized"


class Forbidden(ChervilwheelError):
    """The caller is not permitted to perform the operation."""

    status = 403
    kind = "forbidden"


class NotFound(ChervilwheelError):
    """No object with this name exists."""

    status = 404
    kind = "not-found"


class MethodNotAllowed(ChervilwheelError):
    """The resource does not support the method.

    :param allowed: the method that it supports
    """

    status = 405
    kind = "method-not-allowed"

    def __init__(self, allowed: str) -> None:
        super().__init__(f"only {allowed} is offered")
        self.allowed = allowed


class Expired(ChervilwheelError):
    """The submission id is older than the ledger's retention period."""

    status = 410
    kind = "expired"


class NotRun(ChervilwheelError):
    """It is certain that no part of the request was started."""

    status = 503
    kind = "not-run"


class QuotaExceeded(NotRun):
    """The team has exhausted its quota; nothing was started."""

    status = 429
    kind = "quota"


class NotDurable(ChervilwheelError):
    """A change is not known to be durable; it may still take effect."""

    status = 503
    kind = "not-durable"


class OutcomeUnknown(ChervilwheelError):
    """The request may or may not have taken effect."""

    status = 504
    kind = "outcome-unknown"


class Conflict(ChervilwheelError):
    """A change is based on a revision that is not the latest one."""

    status = 409
    kind = "conflict"


class NotLeader(ChervilwheelError):
    """This replica is not the leader of its group.

    :param leader: the presumed leader, empty if unknown
    """

    status = 503
    kind = "not-leader"

    def __init__(self, detail: str, *, leader: str = "") -> None:
        super().__init__(detail)
        self.leader = leader


class StorageError(ChervilwheelError):
    """A file could not be written, synced or read."""

    kind = "storage"


class CorruptData(StorageError):
    """The content of a file fails its integrity checks."""

    kind = "corrupt-data"


class ProtocolError(ChervilwheelError):
    """A peer or an endpoint violated the protocol."""

    status = 502
    kind = "protocol"


class EncodingError(ChervilwheelError):
    """A message can't be encoded, which is a fault of this instance."""

    kind = "encoding"
