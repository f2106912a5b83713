"""Strict HTTP request framing, applied before any other parser.

Requests whose length or target other parsers could read differently are
rejected, which prevents request smuggling.
"""

import enum
import sys
import typing

import httptools

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_HEADERS = 100
# Objects of a request and of one of its headers.
REQUEST_BYTES = 1_024
HEADER_BYTES = 256
_REPLACED_HEADERS = {
    b"content-length",
    b"transfer-encoding",
    b"expect",
    b"connection",
}
_METHODS = {b"GET", b"POST", b"PUT", b"DELETE"}


class Status(enum.Enum):
    """Status codes and reason phrases for rejected requests."""

    BAD_REQUEST = (400, "Bad Request")
    TIMEOUT = (408, "Request Timeout")
    TOO_LARGE = (413, "Content Too Large")
    HEAD_TOO_LARGE = (431, "Request Header Fields Too Large")
    BUSY = (503, "Service Unavailable")


class Limits(typing.NamedTuple):
    """Size limits of one request, bytes."""

    header_bytes: int
    body_bytes: int


class NormalizedRequest(typing.NamedTuple):
    """A complete request, re-encoded with a single Content-Length."""

    data: bytes
    keep_alive: bool

    @property
    def kept_bytes(self) -> int:
        """Approximate memory of the request."""
        return REQUEST_BYTES + len(self.data)


class Rejection(typing.NamedTuple):
    """An invalid request; the connection is to be closed."""

    status: Status
    detail: str
    kept_bytes = REQUEST_BYTES


class ExpectContinue(typing.NamedTuple):
    """The client sent ``Expect: 100-continue`` and waits to send the body."""

    kept_bytes = REQUEST_BYTES


class Request(typing.NamedTuple):
    """A complete, parsed request.

    :ivar headers: values by lower-case name; the last of several is kept
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    keep_alive: bool

    @property
    def kept_bytes(self) -> int:
        """Approximate memory of the request."""
        head = 2 * len(self.target) + HEADER_BYTES * len(self.headers)
        for name, value in self.headers.items():
            head += len(name) + len(value)
        return REQUEST_BYTES + head + len(self.body)


FramingResult = NormalizedRequest | Request | Rejection | ExpectContinue


class RequestNormalizer:
    """Split the byte stream of a connection into normalized requests.

    :param limits: size limits of one request; they may be replaced between
        two requests
    """

    def __init__(self, *, limits: Limits) -> None:
        self.limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._results: list[FramingResult] = []
        self._is_rejected = False
        self._reset()

    @property
    def is_partial(self) -> bool:
        """Whether a request was partly received."""
        return self._is_started

    @property
    def kept_bytes(self) -> int:
        """Approximate memory of the request that was partly received."""
        if not self._is_started:
            return 0
        # The HTTP parser and the list of headers hold a head once each.
        head = 2 * (self._first_bytes + self._head_bytes)
        if self._in_body:
            head = self._head_kept_bytes + self._trailer_bytes
        return REQUEST_BYTES + head + sys.getsizeof(self._body)

    @property
    def target(self) -> tuple[str, str] | None:
        """Method and target of the request that was partly received.

        None before its head is complete.
        """
        if not self._in_body:
            return None
        return self._method, self._url.decode("latin-1")

    def discard(self) -> None:
        """Free what was received; nothing more is parsed.

        The parser refers to this object, so that neither would be freed
        before the next garbage collection.
        """
        self._is_rejected = True
        self._parser = None
        self._results.clear()
        self._reset()

    def feed(self, data: bytes) -> list[FramingResult]:
        """Parse more data.

        :returns: the results that the data completes, in order; none follows
            a rejection
        """
        if self._is_rejected:
            return []
        if data:
            self._is_started = True
        limit = self.limits.header_bytes
        for start in range(0, len(data), limit):
            self._feed_chunk(data[start : start + limit])
            if self._is_rejected:
                break
        results = self._results
        self._results = []
        return results

    def _feed_chunk(self, data: bytes) -> None:
        self._head_bytes += len(data)
        was_in_body, received = self._in_body, len(self._body)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(Status.BAD_REQUEST, "upgrades are not offered")
        except httptools.HttpParserError as exc:
            self._reject(Status.BAD_REQUEST, f"not a valid request: {exc}")
        # A request that begins resets it.
        self._first_bytes = self._first_bytes or len(data)
        if (
            self._is_started
            and not self._in_body
            and self._head_bytes > self.limits.header_bytes
        ):
            self._reject(Status.HEAD_TOO_LARGE, "the head is too large")
        if was_in_body and self._in_body and len(self._body) == received:
            # Trailers, or extensions of a chunk: no part of the body.
            self._trailer_bytes += len(data)
            if self._trailer_bytes > self.limits.header_bytes:
                self._reject(Status.HEAD_TOO_LARGE, "the trailers are large")
        else:
            self._trailer_bytes = 0

    def on_message_begin(self) -> None:
        """Start a request; called by the parser."""
        self._reset()
        self._is_started = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the target; called by the parser."""
        self._url += url

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Store a header, but no trailer; called by the parser."""
        if self._in_body:
            return
        self._headers.append((name, value or b""))
        if len(self._headers) > MAX_HEADERS:
            self._reject(Status.HEAD_TOO_LARGE, "too many headers")

    def on_headers_complete(self) -> None:
        """Validate the request head; called by the parser."""
        self._in_body = True
        self._method = self._parser.get_method().decode("latin-1")
        self._head_kept_bytes = len(self._url) + sum(
            HEADER_BYTES + len(name) + len(value)
            for name, value in self._headers
        )
        self._check_head()
        expects = dict((n.lower(), v) for n, v in self._headers)
        if expects.get(b"expect", b"").lower() == b"100-continue":
            self._results.append(ExpectContinue())

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; called by the parser."""
        self._body += body
        if len(self._body) > self.limits.body_bytes:
            self._reject(Status.TOO_LARGE, "the body is too large")
            self._body.clear()

    def on_message_complete(self) -> None:
        """Emit the complete request; called by the parser."""
        if self._is_rejected:
            return
        keep = self._parser.should_keep_alive()
        self._results.append(NormalizedRequest(self._encode_request(), keep))
        self._reset()

    def _reset(self) -> None:
        self._is_started = False
        self._in_body = False
        self._head_bytes = 0
        # Size of the data in which the request began.
        self._first_bytes = 0
        self._head_kept_bytes = 0
        self._trailer_bytes = 0
        self._method = ""
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()

    def _check_head(self) -> None:
        names = [name.lower() for name, _ in self._headers]
        if self._parser.get_method() not in _METHODS:
            self._reject(Status.BAD_REQUEST, "the method is not offered")
        if not self._url.startswith(b"/"):
            self._reject(Status.BAD_REQUEST, "the target is not a path")
        if not all(0x20 < byte < 0x7F for byte in self._url):
            self._reject(Status.BAD_REQUEST, "the target is not ASCII")
        if b"content-length" in names and b"transfer-encoding" in names:
            self._reject(Status.BAD_REQUEST, "two ways to give the length")
        if names.count(b"content-length") > 1:
            self._reject(Status.BAD_REQUEST, "two lengths")
        if names.count(b"host") != 1:
            self._reject(Status.BAD_REQUEST, "one Host header is needed")
        if b"upgrade" in names:
            self._reject(Status.BAD_REQUEST, "upgrades are not offered")
        if any(b"\x00" in value for _, value in self._headers):
            self._reject(Status.BAD_REQUEST, "a header holds a NUL byte")
        self._check_length()

    def _check_length(self) -> None:
        for name, value in self._headers:
            if name.lower() != b"content-length":
                continue
            if not value.isdigit():
                self._reject(Status.BAD_REQUEST, "the length is no number")
            elif int(value) > self.limits.body_bytes:
                self._reject(Status.TOO_LARGE, "the body is too large")

    def _reject(self, status: Status, detail: str) -> None:
        if not self._is_rejected:
            self._is_rejected = True
            self._results.append(Rejection(status, detail))

    def _encode_request(self) -> bytes:
        lines = [self._parser.get_method() + b" " + self._url + b" HTTP/1.1"]
        for name, value in self._headers:
            if name.lower() not in _REPLACED_HEADERS:
                lines.append(name + b": " + value)
        lines.append(b"Content-Length: %d" % len(self._body))
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        return head + bytes(self._body)


class RequestParser(RequestNormalizer):
    """Split the byte stream of a connection into parsed requests."""

    def on_message_complete(self) -> None:
        """Emit the complete request; called by the parser."""
        if self._is_rejected:
            return
        request = Request(
            method=self._parser.get_method().decode("latin-1"),
            target=self._url.decode("latin-1"),
            headers={
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in self._headers
            },
            body=bytes(self._body),
            keep_alive=self._parser.should_keep_alive(),
        )
        self._results.append(request)
        self._reset()
