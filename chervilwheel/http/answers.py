"""Read one HTTP answer as it arrives."""

import httptools


class AnswerReader:
    """Parse one answer.

    :param limit: largest body, bytes
    :ivar headers: by name in lower case
    """

    def __init__(self, *, limit: int) -> None:
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.is_whole = False
        self.is_broken = False
        self.keeps_alive = False
        self._parser = httptools.HttpResponseParser(self)
        self._limit = limit

    @property
    def status(self) -> int:
        """The status code."""
        return self._parser.get_status_code()

    def feed(self, data: bytes) -> None:
        """Take bytes in; bytes after a whole answer break it."""
        if self.is_whole:
            self.is_broken = True
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_broken = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header from the parser."""
        key = name.decode("latin-1").lower()
        self.headers[key] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body from the parser."""
        self.body += body
        if len(self.body) > self._limit:
            self.is_broken = True
            self.body.clear()

    def on_message_complete(self) -> None:
        """Learn from the parser that the answer is whole."""
        self.is_whole = True
        self.keeps_alive = self._parser.should_keep_alive()
