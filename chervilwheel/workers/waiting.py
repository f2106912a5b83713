"""The queue of jobs with pending tasks, in start order."""

import typing

from chervilwheel.workers import jobstate


class WaitingQueue:
    """Jobs by urgency: started ones first, then by priority and arrival."""

    def __init__(self) -> None:
        self._jobs: list[jobstate.JobState] = []
        self._members: set[int] = set()
        self._is_sorted = True

    def __iter__(self) -> typing.Iterator[jobstate.JobState]:
        return iter(self._jobs)

    def __len__(self) -> int:
        return len(self._jobs)

    def add(self, state: jobstate.JobState) -> None:
        """Add a job unless it is already queued."""
        if id(state) not in self._members:
            self._members.add(id(state))
            self._jobs.append(state)
        self._is_sorted = False

    def ordered(self) -> list[jobstate.JobState]:
        """Return the jobs with pending tasks, most urgent first."""
        if not self._is_sorted:
            kept = [s for s in self._jobs if s.pending and not s.is_finished]
            if len(kept) < len(self._jobs):
                self._members = {id(state) for state in kept}
            kept.sort(key=_urgency)
            self._jobs = kept
            self._is_sorted = True
        return self._jobs

    def mark_changed(self) -> None:
        """Mark the order stale: a job started, ended or has none pending."""
        self._is_sorted = False

    def min_cpu(self) -> int:
        """Return the smallest CPU need of any job's first pending task."""
        return min(
            (
                state.job.steps[state.pending[0].id.step].room.cpu
                for state in self.ordered()
                # Adopting runs may have emptied the pending list since then.
                if state.pending
            ),
            default=0,
        )


def _urgency(state: jobstate.JobState) -> tuple[bool, int, float]:
    return (not state.is_started, state.job.priority, state.arrived_at)
