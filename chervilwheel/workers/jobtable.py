"""All jobs of a holder: waiting, running and recently ended."""

import itertools
import typing

from chervilwheel import ids
from chervilwheel.workers import executors
from chervilwheel.workers import jobstate
from chervilwheel.workers import waiting
from chervilwheel.workers import work

# Answers are kept this long for callers that send the same job again.
RETENTION_S = 10.0


class JobTable:
    """Jobs by id, and completed tasks of jobs that were not offered yet.

    :param actions: list that the answers are appended to
    :ivar active: the jobs without an answer, oldest first
    """

    def __init__(self, *, actions: list[work.Action]) -> None:
        self.jobs: dict[ids.JobId, jobstate.JobState] = {}
        self.waiting = waiting.WaitingQueue()
        self.active: dict[jobstate.JobState, None] = {}
        self._finished: dict[jobstate.JobState, None] = {}
        self._orphan_completions: dict[
            ids.JobId, dict[work.TaskId, float]
        ] = {}
        self._actions = actions

    def add(
        self, job: work.Job, entry: ids.InstanceId, now: float
    ) -> jobstate.JobState:
        """Add a job, replacing an ended one with the same id."""
        previous = self.jobs.get(job.id)
        if previous is not None:
            self._finished.pop(previous, None)
        state = jobstate.JobState(job=job, entry=entry, now=now)
        if previous is not None:
            state.lost_entries = dict(previous.lost_entries)
            state.lost_entries.pop(entry, None)
        self.jobs[job.id] = state
        self.active[state] = None
        return state

    def requeue(self, run: executors.Run) -> None:
        """Make the task of a run that has ended or was lost pending again."""
        state = self.jobs.get(run.task.job)
        if state is None or run.is_orphan:
            return
        state.open_runs -= 1
        task = state.find_task(run.task)
        if state.is_finished or task is None or task.is_done:
            return
        task.executor = None
        task.next_run = max(task.next_run, run.number + 1)
        if task not in state.pending:
            state.pending.insert(0, task)
        self.waiting.add(state)

    def complete_task(
        self, state: jobstate.JobState, task_id: work.TaskId
    ) -> bool:
        """Mark a task as completed.

        :returns: whether this completes its job
        """
        task = state.find_task(task_id)
        if task is None or state.is_finished:
            return False
        state.is_started = True
        state.done(task)
        if state.pending:
            self.waiting.add(state)
        return state.is_complete

    def record_orphan_completion(self, task: work.TaskId, now: float) -> None:
        """Record a task completed under another holder."""
        tasks = self._orphan_completions.pop(task.job, {})
        tasks[task] = now
        self._orphan_completions[task.job] = tasks

    def orphan_completions(self, job: ids.JobId) -> list[work.TaskId]:
        """List the tasks of a job that were completed under another holder."""
        return list(self._orphan_completions.get(job, ()))

    def finish(
        self, state: jobstate.JobState, answer: work.Answer, now: float
    ) -> None:
        """Store the final answer to a job and issue it."""
        state.answer = answer
        state.ended_at = now
        state.pending = []
        self._actions.append(answer)
        self.active.pop(state, None)
        self._finished[state] = None
        self.waiting.remove(state)

    def keep(self, state: jobstate.JobState, now: float) -> None:
        """Keep the answer to an ended job for another retention time."""
        state.ended_at = now
        # These are in the order of their times.
        self._finished.pop(state, None)
        self._finished[state] = None

    def unstarted(self) -> list[jobstate.JobState]:
        """List the waiting jobs that no holder has started tasks of."""
        return [
            state
            for state in self.waiting.ordered()
            if not (state.is_started or state.is_finished or state.job.offers)
        ]

    def purge(self, now: float) -> None:
        """Remove ended jobs and recorded completions past their retention."""
        # Both are in the order of their times, so the first recent one ends
        # the search.
        expired_tasks = itertools.takewhile(
            lambda job: (
                now - max(self._orphan_completions[job].values()) > RETENTION_S
            ),
            self._orphan_completions,
        )
        for job in list(expired_tasks):
            del self._orphan_completions[job]
        expired_jobs = itertools.takewhile(
            lambda state: now - state.ended_at > RETENTION_S, self._finished
        )
        for state in list(expired_jobs):
            if state.open_runs <= 0:
                del self._finished[state]
                if self.jobs.get(state.job.id) is state:
                    del self.jobs[state.job.id]

    def waiting_by_queue(self) -> dict[str, int]:
        """Return the number of jobs that have not started, by queue."""
        counts: dict[str, int] = {}
        for state in self._waiting_unstarted():
            name = state.job.queue
            counts[name] = counts.get(name, 0) + 1
        return counts

    def _waiting_unstarted(self) -> typing.Iterator[jobstate.JobState]:
        return (s for s in self.waiting.all_jobs() if not s.is_started)
