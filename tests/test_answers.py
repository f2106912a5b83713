"""Parsing of HTTP responses: chunked input, size limit, invalid data."""

import testtools

from chervilwheel.http import answers

HEAD = b"HTTP/1.1 200 OK\r\nX-Name: a\r\nContent-Length: 3\r\n\r\n"


class AnswerReaderTest(testtools.TestCase):
    def _feed(self, *chunks, limit=100):
        parser = answers.ResponseParser(limit=limit)
        for chunk in chunks:
            parser.feed(chunk)
        return parser

    def test_response_in_chunks_is_complete_at_its_last_byte(self):
        data = HEAD + b"abc"
        chunks = [data[index : index + 1] for index in range(len(data))]
        self.assertFalse(self._feed(*chunks[:-1]).is_complete)
        parser = self._feed(*chunks)
        self.assertTrue(parser.is_complete)
        self.assertTrue(parser.is_reusable)
        self.assertEqual((200, b"abc"), (parser.status, bytes(parser.body)))
        self.assertEqual("a", parser.headers["x-name"])

    def test_connection_close_disables_keep_alive(self):
        head = HEAD.replace(b"X-Name: a", b"Connection: close")
        self.assertFalse(self._feed(head + b"abc").is_reusable)

    def test_invalid_response_is_detected(self):
        for data in (b"\x00\xff\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n"):
            self.assertTrue(self._feed(data).is_invalid)

    def test_oversized_body_is_invalid_and_discarded(self):
        parser = self._feed(HEAD + b"abc", limit=2)
        self.assertTrue(parser.is_invalid)
        self.assertEqual(b"", bytes(parser.body))

    def test_data_after_the_response_is_invalid(self):
        parser = self._feed(HEAD + b"abc", b"more")
        self.assertTrue(parser.is_invalid)
