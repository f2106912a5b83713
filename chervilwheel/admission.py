"""Decide early what may be taken, and refuse the rest truly."""

from chervilwheel import _runs
from chervilwheel import errors


class OpenAdmission:
    """Take everything; the baseline without a policy."""

    def check(
        self, submission: _runs.Submission, now: float
    ) -> errors.NotRun | None:
        """Refuse nothing."""
        return None
