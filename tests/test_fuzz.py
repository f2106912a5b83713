"""Fuzz tests: malformed input raises only the package's own errors."""

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
DETERMINISTIC = hypothesis.settings(
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
MUTATIONS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 4000), strategies.integers(0, 255)
    ),
    max_size=6,
)


def _mutate(data, mutations):
    changed = bytearray(data)
    for index, value in mutations:
        changed[index % len(changed)] = value
    return bytes(changed)


def _assert_decodes_or_raises_protocol_error(codec, data):
    try:
        codec.decode(data)
    except errors.ProtocolError:
        return


class CodecFuzzTest(testtools.TestCase):
    @DETERMINISTIC
    @hypothesis.given(strategies.binary(max_size=400))
    def test_any_bytes(self, data):
        for codec in (messages.CODEC, ledger.CODEC):
            _assert_decodes_or_raises_protocol_error(codec, data)
            _assert_decodes_or_raises_protocol_error(
                codec, data + bytes(-len(data) % 8)
            )

    @DETERMINISTIC
    @hypothesis.given(MUTATIONS)
    def test_damaged_messages(self, mutations):
        data = messages.CODEC.encode(APPEND)
        _assert_decodes_or_raises_protocol_error(
            messages.CODEC, _mutate(data, mutations)
        )
        data = ledger.CODEC.encode(CLAIM)
        _assert_decodes_or_raises_protocol_error(
            ledger.CODEC, _mutate(data, mutations)
        )

    def test_messages_round_trip(self):
        data = messages.CODEC.encode(APPEND)
        self.assertEqual(APPEND, messages.CODEC.decode(data))
        data = ledger.CODEC.encode(CLAIM)
        self.assertEqual(CLAIM, ledger.CODEC.decode(data))


class GuardFuzzTest(testtools.TestCase):
    def _feed(self, data, step):
        limits = guard.Limits(header_bytes=512, body_bytes=1024)
        normalizer = guard.RequestNormalizer(limits=limits)
        results = []
        for start in range(0, len(data), step):
            results += normalizer.feed(data[start : start + step])
        return results

    @DETERMINISTIC
    @hypothesis.given(strategies.binary(max_size=2000))
    def test_any_bytes(self, data):
        results = self._feed(data, 7)
        kinds = [isinstance(result, guard.Rejection) for result in results]
        self.assertNotIn(True, kinds[:-1])

    @DETERMINISTIC
    @hypothesis.given(MUTATIONS, strategies.integers(1, 50))
    def test_damaged_requests_are_framed_alike_for_any_chunk_size(
        self, mutations, step
    ):
        data = _mutate(REQUEST * 3, mutations)
        whole = self._feed(data, len(data))
        chunked = self._feed(data, step)
        expected = [
            result
            for result in whole
            if isinstance(result, guard.NormalizedRequest)
        ]
        actual = [
            result
            for result in chunked
            if isinstance(result, guard.NormalizedRequest)
        ]
        self.assertEqual(expected, actual)


class DocumentFuzzTest(testtools.TestCase):
    @DETERMINISTIC
    @hypothesis.given(JSON)
    def test_jobs(self, table):
        for body in (table, {"service": "s", "tasks": table}):
            data = json.dumps(body).encode()
            try:
                jobs.parse_job(jobs.parse_body(data))
            except errors.InvalidRequest:
                continue

    @DETERMINISTIC
    @hypothesis.given(JSON)
    def test_settings(self, table):
        for kind in (config.Settings, teampolicy.TeamPolicy):
            try:
                _checked.build(kind, table, source="fuzz")
            except errors.InvalidSettings:
                continue

    @DETERMINISTIC
    @hypothesis.given(strategies.binary(max_size=300), MUTATIONS)
    def test_data_files(self, data, mutations):
        record = journal.Save(True, 1, "n/disk", APPEND.entries)
        valid = journal.frame(journal._codec.encode(record))
        for content in (data, _mutate(valid * 3, mutations), valid + data):
            try:
                frames = journal.read_frames(content, name="f")
            except (errors.CorruptData, errors.ProtocolError):
                continue
            self.assertLessEqual(frames.good_bytes, len(content))
