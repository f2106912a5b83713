"""Frame HTTP requests strictly before the web library sees them."""

import enum
import typing

import httptools

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_HEADERS = 100
_DROPPED = {b"content-length", b"transfer-encoding", b"expect", b"connection"}
_METHODS = {b"GET", b"POST", b"PUT", b"DELETE"}


class Status(enum.Enum):
    """The client errors that framing can find."""

    BAD_REQUEST = (400, "Bad Request")
    TIMEOUT = (408, "Request Timeout")
    TOO_LARGE = (413, "Content Too Large")
    HEAD_TOO_LARGE = (431, "Request Header Fields Too Large")
    BUSY = (503, "Service Unavailable")


class Limits(typing.NamedTuple):
    """Bounds of one request, bytes."""

    header_bytes: int
    body_bytes: int


class CleanRequest(typing.NamedTuple):
    """A whole request, rewritten with one unambiguous length."""

    data: bytes
    keep_alive: bool


class Refusal(typing.NamedTuple):
    """A request that breaks the rules; the connection is closed."""

    status: Status
    detail: str


class Continue(typing.NamedTuple):
    """The caller waits for leave to send its body."""


class Request(typing.NamedTuple):
    """A whole request, in parts.

    :ivar headers: values by name in lower case; the last one counts
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    keep_alive: bool


Framed = CleanRequest | Request | Refusal | Continue


class RequestGate:
    """Cut the bytes of one connection into whole requests.

    :param limits: bounds of one request
    """

    def __init__(self, *, limits: Limits) -> None:
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._framed: list[Framed] = []
        self._refused = False
        self._reset()

    @property
    def is_partial(self) -> bool:
        """Whether a request has begun and not ended."""
        return self._begun

    def feed(self, data: bytes) -> list[Framed]:
        """Take bytes as they came.

        :returns: what they completed, in order; nothing follows a refusal
        """
        if self._refused:
            return []
        if data:
            self._begun = True
        limit = self._limits.header_bytes
        for start in range(0, len(data), limit):
            self._feed_some(data[start : start + limit])
            if self._refused:
                break
        framed = self._framed
        self._framed = []
        return framed

    def _feed_some(self, data: bytes) -> None:
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(Status.BAD_REQUEST, "upgrades are not offered")
        except httptools.HttpParserError as exc:
            self._refuse(Status.BAD_REQUEST, f"not a valid request: {exc}")
        if (
            self._begun
            and not self._in_body
            and self._head_bytes > self._limits.header_bytes
        ):
            self._refuse(Status.HEAD_TOO_LARGE, "the head is too large")

    def on_message_begin(self) -> None:
        """Begin a request; called by the parser."""
        self._reset()
        self._begun = True

    def on_url(self, url: bytes) -> None:
        """Take a part of the target; called by the parser."""
        self._url += url

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Take a header; called by the parser."""
        self._headers.append((name, value or b""))
        if len(self._headers) > MAX_HEADERS:
            self._refuse(Status.HEAD_TOO_LARGE, "too many headers")

    def on_headers_complete(self) -> None:
        """Check the head; called by the parser."""
        self._in_body = True
        self._check_head()
        expects = dict((n.lower(), v) for n, v in self._headers)
        if expects.get(b"expect", b"").lower() == b"100-continue":
            self._framed.append(Continue())

    def on_body(self, body: bytes) -> None:
        """Take a part of the body; called by the parser."""
        self._body += body
        if len(self._body) > self._limits.body_bytes:
            self._refuse(Status.TOO_LARGE, "the body is too large")
            self._body.clear()

    def on_message_complete(self) -> None:
        """Hand on a whole request; called by the parser."""
        if self._refused:
            return
        keep = self._parser.should_keep_alive()
        self._framed.append(CleanRequest(self._rewrite(), keep))
        self._reset()

    def _reset(self) -> None:
        self._begun = False
        self._in_body = False
        self._head_bytes = 0
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()

    def _check_head(self) -> None:
        names = [name.lower() for name, _ in self._headers]
        if self._parser.get_method() not in _METHODS:
            self._refuse(Status.BAD_REQUEST, "the method is not offered")
        if not self._url.startswith(b"/"):
            self._refuse(Status.BAD_REQUEST, "the target is not a path")
        if not all(0x20 < byte < 0x7F for byte in self._url):
            self._refuse(Status.BAD_REQUEST, "the target is not ASCII")
        if b"content-length" in names and b"transfer-encoding" in names:
            self._refuse(Status.BAD_REQUEST, "two ways to give the length")
        if names.count(b"content-length") > 1:
            self._refuse(Status.BAD_REQUEST, "two lengths")
        if names.count(b"host") != 1:
            self._refuse(Status.BAD_REQUEST, "one Host header is needed")
        if b"upgrade" in names:
            self._refuse(Status.BAD_REQUEST, "upgrades are not offered")
        if any(b"\x00" in value for _, value in self._headers):
            self._refuse(Status.BAD_REQUEST, "a header holds a NUL byte")
        self._check_length()

    def _check_length(self) -> None:
        for name, value in self._headers:
            if name.lower() != b"content-length":
                continue
            if not value.isdigit():
                self._refuse(Status.BAD_REQUEST, "the length is no number")
            elif int(value) > self._limits.body_bytes:
                self._refuse(Status.TOO_LARGE, "the body is too large")

    def _refuse(self, status: Status, detail: str) -> None:
        if not self._refused:
            self._refused = True
            self._framed.append(Refusal(status, detail))

    def _rewrite(self) -> bytes:
        lines = [self._parser.get_method() + b" " + self._url + b" HTTP/1.1"]
        for name, value in self._headers:
            if name.lower() not in _DROPPED:
                lines.append(name + b": " + value)
        lines.append(b"Content-Length: %d" % len(self._body))
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        return head + bytes(self._body)


class RequestReader(RequestGate):
    """Cut the bytes of one connection into requests in parts."""

    def on_message_complete(self) -> None:
        """Hand on a whole request; called by the parser."""
        if self._refused:
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
        self._framed.append(request)
        self._reset()
