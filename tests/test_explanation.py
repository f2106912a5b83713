"""Collecting the log records about a request from several processes."""

import json
import pathlib
import tempfile

import testtools

from chervilwheel import errors
from chervilwheel import explanation

JOB = "84f2c5f9e010a27f"


def record(at, instance, message, **fields):
    row = {
        "at": f"2026-07-10 16:23:{at}",
        "level": "INFO",
        "part": message.partition(":")[0],
        "message": message,
        "instance": instance,
        **fields,
    }
    return json.dumps(row)


class ExplanationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.folder = pathlib.Path(directory.name)

    def write(self, name, *lines):
        path = self.folder / name
        path.write_text("\n".join(lines) + "\n")
        return path

    def messages(self, *files):
        result = explanation.explain(JOB, files)
        return [row["message"] for row in result.rows]

    def test_records_of_several_processes_are_ordered_by_time(self):
        entry = self.write(
            "entry.log",
            record("34,010", "e1", "entry: the holder is lost", why="silent"),
            record("34,700", "e1", "entry: a job was not completed", job=JOB),
        )
        control = self.write(
            "control.log",
            record(
                "34,566",
                "c1",
                "engine: a run's lease has ended",
                task=[JOB, 0, 2],
                executor="x1",
            ),
            record(
                "34,070",
                "c1",
                "engine: a lease was not renewed",
                executor="x1",
            ),
            record(
                "34,071",
                "c1",
                "engine: a lease was not renewed",
                executor="x2",
            ),
        )
        self.assertEqual(
            [
                "entry: the holder is lost",
                "engine: a lease was not renewed",
                "engine: a run's lease has ended",
                "entry: a job was not completed",
            ],
            self.messages(entry, control),
        )

    def test_context_outside_the_time_window_is_excluded(self):
        path = self.write(
            "a.log",
            record("10,000", "e1", "entry: the holder is lost"),
            record("34,700", "e1", "entry: a job was not completed", job=JOB),
            record("34,800", "e1", "entry: a job was not completed", job="0"),
        )
        self.assertEqual(
            ["entry: a job was not completed"], self.messages(path)
        )

    def test_collector_prefixes_and_unparsable_lines_are_ignored(self):
        path = self.write(
            "a.log",
            "  18.56 e1 " + record("34,700", "e1", "entry: ended", job=JOB),
            "Traceback (most recent call last):",
            "[1, 2]",
            '{"no": "message"}',
        )
        result = explanation.explain(JOB, [path])
        self.assertEqual((1, 3), (len(result.rows), result.unreadable))

    def test_a_record_about_several_jobs_is_included(self):
        released = "engine: taken-over jobs released"
        path = self.write(
            "a.log",
            record("34,700", "c1", released, jobs=["0", JOB]),
            record("34,710", "c1", released, jobs=["0"]),
        )
        self.assertEqual([released], self.messages(path))

    def test_the_time_window_spans_midnight(self):
        late = record("x", "e1", "entry: the holder is lost")
        late = late.replace("2026-07-10 16:23:x", "2026-07-10 23:59:59,500")
        early = record("x", "e1", "entry: a job was not completed", job=JOB)
        early = early.replace("2026-07-10 16:23:x", "2026-07-11 00:00:00,400")
        path = self.write("a.log", late, early)
        self.assertEqual(2, len(self.messages(path)))

    def test_a_record_without_a_time_is_only_included_for_the_request(self):
        path = self.write(
            "a.log",
            record("x", "e1", "entry: the holder is lost"),
            record("x", "e1", "entry: a job was not completed", job=JOB),
        )
        self.assertEqual(
            ["entry: a job was not completed"], self.messages(path)
        )

    def test_an_unknown_request_has_no_rows(self):
        path = self.write("a.log", record("34,700", "e1", "entry: x", job="0"))
        self.assertEqual([], self.messages(path))

    def test_the_error_names_a_missing_file(self):
        missing = self.folder / "missing.log"
        exc = self.assertRaises(
            errors.StorageError, explanation.explain, JOB, [missing]
        )
        self.assertIn("missing.log", exc.detail)
