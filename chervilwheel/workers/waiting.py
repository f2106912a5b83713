"""The jobs that have tasks to start, in the order in which they start."""

import typing

from chervilwheel.workers import jobstate


class WaitingLine:
    """Jobs by urgency: begun ones first, then by priority and arrival."""

    def __init__(self) -> None:
        self._jobs: list[jobstate.JobState] = []
        self._members: set[int] = set()
        self._is_sorted = True

    def __iter__(self) -> typing.Iterator[jobstate.JobState]:
        return iter(self._jobs)

    def __len__(self) -> int:
        return len(self._jobs)

    def add(self, state: jobstate.JobState) -> None:
        """Put a job in line, unless it is there."""
        if id(state) not in self._members:
            self._members.add(id(state))
            self._jobs.append(state)
        self._is_sorted = False

    def ordered(self) -> list[jobstate.JobState]:
        """List the jobs that have tasks to start, most urgent first."""
        if not self._is_sorted:
            kept = [s for s in self._jobs if s.pending and not s.is_over]
            if len(kept) < len(self._jobs):
                self._members = {id(state) for state in kept}
            kept.sort(key=_urgency)
            self._jobs = kept
            self._is_sorted = True
        return self._jobs

    def changed(self) -> None:
        """Take note that a job has begun, has ended or is all started."""
        self._is_sorted = False

    def least_cpu(self) -> int:
        """Return the least room that a first task in line takes."""
        return min(
            (
                state.job.steps[state.pending[0].id.step].room.cpu
                for state in self.ordered()
                # Adoption may have taken its last one since.
                if state.pending
            ),
            default=0,
        )


def _urgency(state: jobstate.JobState) -> tuple[bool, int, float]:
    return (not state.is_started, state.job.priority, state.arrived_at)
