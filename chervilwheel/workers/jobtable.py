"""All jobs of a holder: waiting, running and recently ended."""

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
    """

    def __init__(self, *, actions: list[work.Action]) -> None:
        self.jobs: dict[ids.JobId, jobstate.JobState] = {}
        self.waiting = waiting.WaitingQueue()
        self._finished: list[jobstate.JobState] = []
        self._orphan_completions: dict[work.TaskId, float] = {}
        self._actions = actions

    def add(
        self, job: work.Job, entry: ids.InstanceId, now: float
    ) -> jobstate.JobState:
        """Add a job, replacing an ended one with the same id."""
        previous = self.jobs.get(job.id)
        if previous in self._finished:
            self._finished.remove(previous)
        state = jobstate.JobState(job=job, entry=entry, now=now)
        self.jobs[job.id] = state
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
        task.next_run = run.number + 1
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
        self._orphan_completions[task] = now

    def orphan_completions(self, job: ids.JobId) -> list[work.TaskId]:
        """List the tasks of a job that were completed under another holder."""
        return [task for task in self._orphan_completions if task.job == job]

    def finish(
        self, state: jobstate.JobState, answer: work.Answer, now: float
    ) -> None:
        """Store the final answer to a job and issue it."""
        state.answer = answer
        state.ended_at = now
        state.pending = []
        self._actions.append(answer)
        self._finished.append(state)
        self.waiting.mark_changed()

    def unstarted(self) -> list[jobstate.JobState]:
        """List the waiting jobs that no holder has started tasks of."""
        return [
            state
            for state in self.waiting.ordered()
            if not (state.is_started or state.is_finished or state.job.offers)
        ]

    def purge(self, now: float) -> None:
        """Remove ended jobs and recorded completions past their retention."""
        for task, at in list(self._orphan_completions.items()):
            if now - at > RETENTION_S:
                del self._orphan_completions[task]
        kept = []
        for state in self._finished:
            is_expired = now - state.ended_at > RETENTION_S
            if is_expired and state.open_runs <= 0:
                if self.jobs.get(state.job.id) is state:
                    del self.jobs[state.job.id]
            else:
                kept.append(state)
        self._finished = kept

    def waiting_by_queue(self) -> dict[str, int]:
        """Return the number of jobs that have not started, by queue."""
        counts: dict[str, int] = {}
        for state in self._waiting_unstarted():
            name = state.job.queue
            counts[name] = counts.get(name, 0) + 1
        return counts

    def _waiting_unstarted(self) -> typing.Iterator[jobstate.JobState]:
        return (s for s in self.waiting.ordered() if not s.is_started)
