"""Incremental parser for a single HTTP response."""

import httptools


class ResponseParser:
    """Parse one HTTP response from chunks of any size.

    :param limit: maximum body size, bytes
    :ivar headers: values by lower-case name
    :ivar is_complete: whether the response is complete
    :ivar is_invalid: whether the data is invalid or exceeds the limit
    :ivar is_reusable: whether the connection may be reused
    """

    def __init__(self, *, limit: int) -> None:
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.is_complete = False
        self.is_invalid = False
        self.is_reusable = False
        self._parser = httptools.HttpResponseParser(self)
        self._max_body_bytes = limit

    @property
    def status(self) -> int:
        """The HTTP status code."""
        return self._parser.get_status_code()

    def feed(self, data: bytes) -> None:
        """Parse more data; data after the complete response is invalid."""
        if self.is_complete:
            self.is_invalid = True
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_invalid = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser."""
        key = name.decode("latin-1").lower()
        self.headers[key] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; called by the parser."""
        self.body += body
        if len(self.body) > self._max_body_bytes:
            self.is_invalid = True
            self.body.clear()

    def on_message_complete(self) -> None:
        """Mark the response as complete; called by the parser."""
        self.is_complete = True
        self.is_reusable = self._parser.should_keep_alive()
