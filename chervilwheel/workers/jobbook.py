"""All jobs of a holder: those in line, those that run, those that ended."""

import typing

from chervilwheel import ids
from chervilwheel.workers import executors
from chervilwheel.workers import jobstate
from chervilwheel.workers import waiting
from chervilwheel.workers import work

# Full answers are remembered for callers that ask again.
REMEMBER_S = 10.0


class JobBook:
    """Remember jobs by id, and ends of tasks of jobs not offered yet.

    :param actions: takes the answers
    """

    def __init__(self, *, actions: list[work.Action]) -> None:
        self.jobs: dict[ids.JobId, jobstate.JobState] = {}
        self.waiting = waiting.WaitingLine()
        self._over: list[jobstate.JobState] = []
        self._found_done: dict[work.TaskId, float] = {}
        self._actions = actions

    def add(
        self, job: work.Job, entry: ids.InstanceId, now: float
    ) -> jobstate.JobState:
        """Begin a job, in the place of an ended one under its id."""
        former = self.jobs.get(job.id)
        if former in self._over:
            self._over.remove(former)
        state = jobstate.JobState(job=job, entry=entry, now=now)
        self.jobs[job.id] = state
        return state

    def again(self, run: executors.Run) -> None:
        """Make the task of a run that is no more pending again."""
        state = self.jobs.get(run.task.job)
        if state is None or run.is_orphan:
            return
        state.unsettled -= 1
        task = state.find(run.task)
        if state.is_over or task is None or task.is_done:
            return
        task.executor = None
        task.next_run = run.number + 1
        if task not in state.pending:
            state.pending.insert(0, task)
        self.waiting.add(state)

    def task_done(
        self, state: jobstate.JobState, task_id: work.TaskId
    ) -> bool:
        """Take note that a task is done.

        :returns: whether its job is complete by that
        """
        task = state.find(task_id)
        if task is None or state.is_over:
            return False
        state.is_started = True
        state.done(task)
        if state.pending:
            self.waiting.add(state)
        return state.is_complete

    def found_done(self, task: work.TaskId, now: float) -> None:
        """Take note of a task that another holder saw through."""
        self._found_done[task] = now

    def done_before(self, job: ids.JobId) -> list[work.TaskId]:
        """List the tasks of a job that another holder saw through."""
        return [task for task in self._found_done if task.job == job]

    def finish(
        self, state: jobstate.JobState, answer: work.Answer, now: float
    ) -> None:
        """Give a job its answer."""
        state.answer = answer
        state.ended_at = now
        state.pending = []
        self._actions.append(answer)
        self._over.append(state)
        self.waiting.changed()

    def fresh(self) -> list[jobstate.JobState]:
        """List the jobs in line of which nothing has started anywhere."""
        return [
            state
            for state in self.waiting.ordered()
            if not (state.is_started or state.is_over or state.job.offers)
        ]

    def forget(self, now: float) -> None:
        """Drop what nobody asks for any more."""
        for task, at in list(self._found_done.items()):
            if now - at > REMEMBER_S:
                del self._found_done[task]
        kept = []
        for state in self._over:
            is_old = now - state.ended_at > REMEMBER_S
            if is_old and state.unsettled <= 0:
                if self.jobs.get(state.job.id) is state:
                    del self.jobs[state.job.id]
            else:
                kept.append(state)
        self._over = kept

    def waiting_by_queue(self) -> dict[str, int]:
        """Count the jobs of each queue that have not started."""
        counts: dict[str, int] = {}
        for state in self._in_line():
            name = state.job.queue
            counts[name] = counts.get(name, 0) + 1
        return counts

    def _in_line(self) -> typing.Iterator[jobstate.JobState]:
        return (s for s in self.waiting.ordered() if not s.is_started)
