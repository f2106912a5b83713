"""Decide how long a job may wait for its first task to start.

It answers overload: a job that would end too late gives its room to one
that ends in time, and hears so early. Under a light load a short queue is
worth waiting in, since a late answer still is an answer.
"""

from chervilwheel.workers import jobstate

# Waiting tasks for each executor up to which the queue counts as short.
SHORT_QUEUE = 0.5
# Answers count until three objectives; leave one for the run itself.
LATE_OBJECTIVES = 2.0


def wait_limit_s(
    state: jobstate.JobState, *, waiting_tasks: int, executors: int
) -> float:
    """Return the time after which a job that hasn't started is refused.

    :param waiting_tasks: tasks of all jobs that have not started
    :param executors: how many may take tasks
    :returns: seconds from its arrival
    """
    if waiting_tasks <= SHORT_QUEUE * executors:
        return LATE_OBJECTIVES * state.objective_s - state.longest_s
    return state.objective_s - state.longest_s
