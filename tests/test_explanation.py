"""A request's story out of the logs of several processes."""

import json
import pathlib
import tempfile

import testtools

from chervilwheel import errors
from chervilwheel import explanation

JOB = "84f2c5f9e010a27f"


def line(at, instance, message, **fields):
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
        place = tempfile.TemporaryDirectory()
        self.addCleanup(place.cleanup)
        self.folder = pathlib.Path(place.name)

    def write(self, name, *lines):
        path = self.folder / name
        path.write_text("\n".join(lines) + "\n")
        return path

    def messages(self, *files):
        told = explanation.explain(JOB, files)
        return [row["message"] for row in told.rows]

    def test_lines_of_several_processes_come_in_order(self):
        entry = self.write(
            "entry.log",
            line("34,010", "e1", "entry: the holder is lost", why="silent"),
            line("34,700", "e1", "entry: a job was not completed", job=JOB),
        )
        control = self.write(
            "control.log",
            line(
                "34,566",
                "c1",
                "engine: a run's lease has ended",
                task=[JOB, 0, 2],
                executor="x1",
            ),
            line(
                "34,070",
                "c1",
                "engine: a lease was not renewed",
                executor="x1",
            ),
            line(
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

    def test_what_lies_far_from_the_request_is_left_out(self):
        path = self.write(
            "a.log",
            line("10,000", "e1", "entry: the holder is lost"),
            line("34,700", "e1", "entry: a job was not completed", job=JOB),
            line("34,800", "e1", "entry: a job was not completed", job="0"),
        )
        self.assertEqual(
            ["entry: a job was not completed"], self.messages(path)
        )

    def test_a_collectors_prefix_and_other_lines_are_passed_over(self):
        path = self.write(
            "a.log",
            "  18.56 e1 " + line("34,700", "e1", "entry: ended", job=JOB),
            "Traceback (most recent call last):",
            "[1, 2]",
            '{"no": "message"}',
        )
        told = explanation.explain(JOB, [path])
        self.assertEqual((1, 3), (len(told.rows), told.unreadable))

    def test_times_across_midnight_are_near(self):
        late = line("x", "e1", "entry: the holder is lost")
        late = late.replace("2026-07-10 16:23:x", "2026-07-10 23:59:59,500")
        early = line("x", "e1", "entry: a job was not completed", job=JOB)
        early = early.replace("2026-07-10 16:23:x", "2026-07-11 00:00:00,400")
        path = self.write("a.log", late, early)
        self.assertEqual(2, len(self.messages(path)))

    def test_a_line_without_a_time_is_told_only_if_it_names_the_request(self):
        path = self.write(
            "a.log",
            line("x", "e1", "entry: the holder is lost"),
            line("x", "e1", "entry: a job was not completed", job=JOB),
        )
        self.assertEqual(
            ["entry: a job was not completed"], self.messages(path)
        )

    def test_an_unknown_request_has_no_rows(self):
        path = self.write("a.log", line("34,700", "e1", "entry: x", job="0"))
        self.assertEqual([], self.messages(path))

    def test_a_file_that_is_not_there_is_named(self):
        missing = self.folder / "missing.log"
        exc = self.assertRaises(
            errors.StorageError, explanation.explain, JOB, [missing]
        )
        self.assertIn("missing.log", exc.detail)
