"""HTTP answers in pieces, too large, or not HTTP at all."""

import testtools

from chervilwheel.http import answers

HEAD = b"HTTP/1.1 200 OK\r\nX-Name: a\r\nContent-Length: 3\r\n\r\n"


class AnswerReaderTest(testtools.TestCase):
    def _read(self, *pieces, limit=100):
        reader = answers.AnswerReader(limit=limit)
        for piece in pieces:
            reader.feed(piece)
        return reader

    def test_an_answer_in_pieces_is_whole_at_its_last_byte(self):
        data = HEAD + b"abc"
        pieces = [data[n : n + 1] for n in range(len(data))]
        self.assertFalse(self._read(*pieces[:-1]).is_whole)
        reader = self._read(*pieces)
        self.assertTrue(reader.is_whole)
        self.assertTrue(reader.keeps_alive)
        self.assertEqual((200, b"abc"), (reader.status, bytes(reader.body)))
        self.assertEqual("a", reader.headers["x-name"])

    def test_a_server_that_closes_does_not_keep_alive(self):
        head = HEAD.replace(b"X-Name: a", b"Connection: close")
        self.assertFalse(self._read(head + b"abc").keeps_alive)

    def test_what_is_no_answer_is_broken(self):
        for data in (b"\x00\xff\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n"):
            self.assertTrue(self._read(data).is_broken)

    def test_a_body_beyond_the_limit_is_broken_and_not_kept(self):
        reader = self._read(HEAD + b"abc", limit=2)
        self.assertTrue(reader.is_broken)
        self.assertEqual(b"", bytes(reader.body))

    def test_bytes_after_the_answer_break_it(self):
        reader = self._read(HEAD + b"abc", b"more")
        self.assertTrue(reader.is_broken)
