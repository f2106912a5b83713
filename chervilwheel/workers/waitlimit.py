"""Limits how long a job may wait for its first task to start.

Under overload, a job that would miss its latency objective is refused early,
so that the capacity goes to jobs that can still meet theirs. While the queue
is short, jobs may wait longer, since a late answer is better than none.
"""

import abc
import math

from chervilwheel.workers import jobstate

# The queue counts as short up to this many waiting tasks per executor.
SHORT_QUEUE_RATIO = 0.5
# Answers count until three times the objective; one of the three is left for
# the run itself.
MAX_WAIT_OBJECTIVES = 2.0


class WaitLimit(abc.ABC):
    """Tells after which time a job that hasn't started is refused."""

    @abc.abstractmethod
    def limit_s(
        self,
        state: jobstate.JobState,
        *,
        waiting_tasks: int,
        executors: int,
    ) -> float:
        """Return the time after which a job is refused.

        :param waiting_tasks: tasks of all jobs that have not started
        :param executors: number of executors that may start tasks
        :returns: seconds since its arrival
        """


class Unlimited(WaitLimit):
    """Refuses no job."""

    def limit_s(
        self,
        state: jobstate.JobState,
        *,
        waiting_tasks: int,
        executors: int,
    ) -> float:
        """Return infinity."""
        return math.inf


class SlackLimit(WaitLimit):
    """Refuses jobs once they can't meet their objective any more.

    While the queue is short, they may wait longer.
    """

    def limit_s(
        self,
        state: jobstate.JobState,
        *,
        waiting_tasks: int,
        executors: int,
    ) -> float:
        """Return the slack of the job, or more if the queue is short."""
        objectives = 1.0
        if waiting_tasks <= SHORT_QUEUE_RATIO * executors:
            objectives = MAX_WAIT_OBJECTIVES
        return objectives * state.objective_s - state.critical_path_s
