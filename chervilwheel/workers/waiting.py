"""The queue of jobs with pending tasks, in start order."""

import bisect
import heapq
import itertools
import math
import typing

from chervilwheel.workers import jobstate

# Stale rows are removed when they outnumber the current ones by this.
MAX_STALE_ROWS = 64

_HeapRow = tuple[float, int, jobstate.JobState]
_Key = tuple[jobstate.Urgency, bool, int, float, int]


class WaitingQueue:
    """Jobs in start order: by urgency, started ones first, by priority.

    Jobs that are late go after those that can still meet their objectives,
    else a backlog would make all that follow late too. Jobs that are being
    taken over from another holder are kept apart, since they may not start
    tasks yet.
    """

    def __init__(self) -> None:
        self._rows: list[tuple[_Key, jobstate.JobState]] = []
        self._keys: dict[jobstate.JobState, _Key] = {}
        self._taking_over: dict[jobstate.JobState, None] = {}
        self._changes: list[_HeapRow] = []
        self._now = -math.inf
        self._needs: list[_HeapRow] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Return the number of jobs that may start tasks."""
        return len(self._keys)

    def add(self, state: jobstate.JobState) -> None:
        """Add a job with pending tasks, or update its place in the order."""
        if state.is_taking_over:
            self._keys.pop(state, None)
            self._taking_over[state] = None
            return
        self._taking_over.pop(state, None)
        urgency, until = state.urgency(self._now)
        is_unstarted = not state.is_started
        former = self._keys.get(state)
        if former is not None and former[:2] == (urgency, is_unstarted):
            return
        number = next(self._sequence)
        key = (
            urgency,
            is_unstarted,
            state.job.priority,
            state.arrived_at,
            number,
        )
        self._keys[state] = key
        bisect.insort(self._rows, (key, state))
        if until < math.inf:
            heapq.heappush(self._changes, (until, number, state))
        if former is None:
            heapq.heappush(self._needs, (state.min_cpu, number, state))
        self._remove_stale_rows()

    def advance(self, now: float) -> None:
        """Update the order for the time that has passed."""
        self._now = max(self._now, now)
        while self._changes and self._changes[0][0] < self._now:
            state = heapq.heappop(self._changes)[2]
            if state in self._keys:
                self.add(state)

    def remove(self, state: jobstate.JobState) -> None:
        """Remove a job that has ended or has no pending tasks."""
        self._keys.pop(state, None)
        self._taking_over.pop(state, None)

    def ordered(self) -> typing.Iterator[jobstate.JobState]:
        """Iterate over the jobs that may start tasks, most urgent first.

        Jobs that are added meanwhile are not included.
        """
        for key, state in list(self._rows):
            if self._keys.get(state) == key:
                yield state

    def all_jobs(self) -> typing.Iterator[jobstate.JobState]:
        """Iterate over all jobs, with those that are being taken over."""
        return itertools.chain(self.ordered(), list(self._taking_over))

    def min_cpu(self) -> int:
        """Return a lower bound of the CPU need of any pending task."""
        while self._needs and self._needs[0][2] not in self._keys:
            heapq.heappop(self._needs)
        return int(self._needs[0][0]) if self._needs else 0

    def _remove_stale_rows(self) -> None:
        if len(self._rows) > 2 * len(self._keys) + MAX_STALE_ROWS:
            self._rows = [
                row for row in self._rows if self._keys.get(row[1]) == row[0]
            ]
        self._needs = self._current(self._needs)
        self._changes = self._current(self._changes)

    def _current(self, heap: list[_HeapRow]) -> list[_HeapRow]:
        """Return a heap without the jobs that have left the queue."""
        if len(heap) <= 2 * len(self._keys) + MAX_STALE_ROWS:
            return heap
        rows = [row for row in heap if row[2] in self._keys]
        heapq.heapify(rows)
        return rows
