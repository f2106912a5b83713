"""Hostile bytes and documents: typed errors only, and bounded memory."""

import json

import hypothesis
import testtools

from chervilwheel import _checked
from chervilwheel import config
from chervilwheel import errors
from chervilwheel import guard
from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import journal
from chervilwheel import ledger
from chervilwheel import messages
from chervilwheel import replica
from chervilwheel import teampolicy

strategies = hypothesis.strategies
FIXED = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)
MEMBER = replica.Member(ids.InstanceId("n"), "disk")
APPEND = replica.AppendRequest(
    "group",
    MEMBER,
    MEMBER,
    3,
    4,
    5,
    6,
    tuple(
        replica.Entry(n, 1, replica.EntryKind.COMMAND, b"x" * n)
        for n in range(1, 6)
    ),
)
CLAIM = ledger.ClaimCommand("j", "t", "d", "[]", (1, 2), "r", False)
REQUEST = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabcd"
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=12), inner)
    ),
    max_leaves=12,
)
FLIPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 4000), strategies.integers(0, 255)
    ),
    max_size=6,
)


def _flip(data, flips):
    changed = bytearray(data)
    for place, value in flips:
        changed[place % len(changed)] = value
    return bytes(changed)


def _decodes_or_says_so(codec, data):
    try:
        codec.decode(data)
    except errors.ProtocolError:
        return


class CodecFuzzTest(testtools.TestCase):
    @FIXED
    @hypothesis.given(strategies.binary(max_size=400))
    def test_any_bytes(self, data):
        for codec in (messages.CODEC, ledger.CODEC):
            _decodes_or_says_so(codec, data)
            _decodes_or_says_so(codec, data + bytes(-len(data) % 8))

    @FIXED
    @hypothesis.given(FLIPS)
    def test_damaged_messages(self, flips):
        data = messages.CODEC.encode(APPEND)
        _decodes_or_says_so(messages.CODEC, _flip(data, flips))
        data = ledger.CODEC.encode(CLAIM)
        _decodes_or_says_so(ledger.CODEC, _flip(data, flips))

    def test_messages_come_back_as_they_went(self):
        data = messages.CODEC.encode(APPEND)
        self.assertEqual(APPEND, messages.CODEC.decode(data))
        data = ledger.CODEC.encode(CLAIM)
        self.assertEqual(CLAIM, ledger.CODEC.decode(data))


class GuardFuzzTest(testtools.TestCase):
    def _feed(self, data, step):
        limits = guard.Limits(header_bytes=512, body_bytes=1024)
        gate = guard.RequestGate(limits=limits)
        framed = []
        for start in range(0, len(data), step):
            framed += gate.feed(data[start : start + step])
        return framed

    @FIXED
    @hypothesis.given(strategies.binary(max_size=2000))
    def test_any_bytes(self, data):
        framed = self._feed(data, 7)
        kinds = [isinstance(each, guard.Refusal) for each in framed]
        self.assertNotIn(True, kinds[:-1])

    @FIXED
    @hypothesis.given(FLIPS, strategies.integers(1, 50))
    def test_damaged_requests_frame_alike_in_any_chunks(self, flips, step):
        data = _flip(REQUEST * 3, flips)
        whole = self._feed(data, len(data))
        parts = self._feed(data, step)
        clean = [e for e in whole if isinstance(e, guard.CleanRequest)]
        also = [e for e in parts if isinstance(e, guard.CleanRequest)]
        self.assertEqual(clean, also)


class DocumentFuzzTest(testtools.TestCase):
    @FIXED
    @hypothesis.given(JSON)
    def test_jobs(self, table):
        for body in (table, {"service": "s", "tasks": table}):
            data = json.dumps(body).encode()
            try:
                jobs.parse_job(jobs.parse_body(data))
            except errors.InvalidRequest:
                continue

    @FIXED
    @hypothesis.given(JSON)
    def test_settings(self, table):
        for kind in (config.Settings, teampolicy.TeamPolicy):
            try:
                _checked.build(kind, table, source="fuzz")
            except errors.InvalidSettings:
                continue

    @FIXED
    @hypothesis.given(strategies.binary(max_size=300), FLIPS)
    def test_data_files(self, data, flips):
        save = journal.Save(True, 1, "n/disk", APPEND.entries)
        good = journal.frame(journal._codec.encode(save))
        for content in (data, _flip(good * 3, flips), good + data):
            try:
                frames = journal.read_frames(content, name="f")
            except (errors.CorruptData, errors.ProtocolError):
                continue
            self.assertLessEqual(frames.good_bytes, len(content))
