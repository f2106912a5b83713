"""Summarizing which jobs were lost or late from the logs of all hosts."""

import json
import pathlib
import tempfile

import testtools

from chervilwheel import lossreport

Cause = lossreport.Cause


def record(at, message, **fields):
    row = {
        "at": f"2026-07-10 16:23:{at}",
        "part": message.partition(":")[0],
        "message": message,
        **fields,
    }
    return json.dumps(row)


def not_completed(at, job, outcome, reason, **fields):
    return record(
        at,
        lossreport.NOT_COMPLETED,
        job=job,
        outcome=outcome,
        reason=reason,
        queue=fields.pop("queue", "q"),
        waited_s=fields.pop("waited_s", 0.1),
        objective_s=0.4,
    )


class LossReportTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name, *lines):
        path = self.folder / name
        path.write_text("\n".join(lines) + "\n")
        return path

    def causes(self, *lines):
        result = lossreport.report([self.write("log", *lines)])
        return {loss.job: loss.cause for loss in result.losses}

    def test_each_loss_has_one_cause(self):
        self.assertEqual(
            {
                "1": Cause.NO_HOLDER,
                "2": Cause.NEVER_FITS,
                "3": Cause.HOLDER_LOST,
                "4": Cause.TOO_LATE,
                "5": Cause.LOST,
                "6": Cause.FAILED,
                "7": Cause.CANCELLED,
                "8": Cause.LATE,
                "9": Cause.CALLER_LEFT,
            },
            self.causes(
                not_completed("1", "1", "refused", "no_holder"),
                not_completed("1", "2", "refused", "never_fits"),
                not_completed("1", "3", "lost", "holder_lost"),
                not_completed("1", "4", "lost", "too_late"),
                not_completed("1", "5", "lost", "entry_lost"),
                not_completed("1", "6", "failed", "attempts"),
                not_completed("1", "7", "cancelled", "cancelled"),
                record("1", lossreport.COMPLETED_LATE, job="8"),
                record("1", lossreport.CALLERS_LEFT, job="9"),
            ),
        )

    def test_a_refusal_is_explained_by_what_the_holder_knew(self):
        lines = [
            not_completed("2", job, "refused", "no_room")
            for job in ("free", "paused", "full", "closed", "unknown")
        ]
        self.assertEqual(
            {
                "free": Cause.FREE,
                "paused": Cause.PAUSED,
                "full": Cause.NO_ROOM,
                "closed": Cause.CLOSED_ZONE,
                "unknown": Cause.NO_ROOM,
            },
            self.causes(
                record("1", lossreport.ENGINE_REFUSED, job="free", fit=2),
                record(
                    "1",
                    lossreport.ENGINE_REFUSED,
                    job="paused",
                    fit=0,
                    paused_fit=1,
                ),
                record(
                    "1",
                    lossreport.ENGINE_REFUSED,
                    job="full",
                    fit=0,
                    paused_fit=0,
                ),
                record("1", lossreport.ZONE_REFUSED, job="closed"),
                *lines,
            ),
        )

    def test_rows_count_jobs_by_cause_and_queue_or_by_second(self):
        path = self.write(
            "log",
            not_completed("34,100", "1", "refused", "no_holder"),
            not_completed("34,900", "2", "refused", "no_holder", waited_s=0.3),
            not_completed(
                "35,000", "3", "refused", "no_holder", queue="other"
            ),
            "no record",
        )
        result = lossreport.report([path])
        self.assertEqual(1, result.unreadable)
        self.assertEqual(
            [
                ("", "refused: no holder", "q", 2, 0.2, 0.5),
                ("", "refused: no holder", "other", 1, 0.1, 0.25),
            ],
            result.rows(by_second=False),
        )
        self.assertEqual(
            [("2026-07-10 16:23:34", 2), ("2026-07-10 16:23:35", 1)],
            [(row.second, row.jobs) for row in result.rows(by_second=True)],
        )

    def test_the_plot_is_written_to_a_file(self):
        path = self.write(
            "log", not_completed("34,100", "1", "lost", "too_late")
        )
        target = self.folder / "losses.svg"
        lossreport.plot(lossreport.report([path]).losses, target)
        self.assertIn("<svg", target.read_text())
