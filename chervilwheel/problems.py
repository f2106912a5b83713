"""Errors as HTTP problem details (RFC 9457)."""

import typing

from chervilwheel import errors

CONTENT_TYPE = "application/problem+json"


class Problem(typing.NamedTuple):
    """The headers and the JSON content of an error response."""

    headers: dict[str, str]
    content: dict[str, typing.Any]


def describe(exc: errors.ChervilwheelError) -> Problem:
    """Return the headers and the content that describe an error."""
    headers = {}
    content = {
        "type": f"urn:chervilwheel:{exc.kind}",
        "title": exc.kind,
        "status": exc.status,
        "detail": exc.detail,
    }
    if exc.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(exc.retry_after_s)))
        content["retry_after_ms"] = int(exc.retry_after_s * 1000)
    if isinstance(exc, errors.MethodNotAllowed):
        headers["Allow"] = exc.allowed
    return Problem(headers, content)
