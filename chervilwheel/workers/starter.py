"""Starts the tasks of waiting jobs on executors with enough resources."""

import typing

from chervilwheel import ids
from chervilwheel.workers import executors
from chervilwheel.workers import exposure
from chervilwheel.workers import freeindex
from chervilwheel.workers import jobstate
from chervilwheel.workers import jobtable
from chervilwheel.workers import latestarts
from chervilwheel.workers import leases
from chervilwheel.workers import losses
from chervilwheel.workers import placement
from chervilwheel.workers import risk
from chervilwheel.workers import speedneeds
from chervilwheel.workers import speeds
from chervilwheel.workers import startreports
from chervilwheel.workers import work

# A start order is void after this time, whether or not it was answered.
START_LEASE_S = 0.35
# No task is started for an entry host whose last heartbeat is older than this:
# it may have switched to a standby, which waits equally long before it takes
# runs over (control.standby.NO_QUORUM_WAIT_S).
ENTRY_HEARTBEAT_TIMEOUT_S = 0.35
# A task that may crash its executor waits this long for spare capacity; then
# an executor is kept free for it.
MAX_SPARE_WAIT_S = 1.0
# Share of the executors, rounded up, that may run such tasks or be lost with
# them.
MAX_TRIAL_SHARE = 1 / 32


class Starter:
    """Issues start orders, most urgent jobs first.

    :param executors_by_id: all executors, by id
    :param free_index: the same executors by free CPU
    :param job_table: all jobs of this holder
    :param lease_manager: renews the leases of executors with new runs
    :param loss_tracker: reports the starts of tasks that may crash executors
    :param queue_risk: tells which queues have such tasks
    :param speed_table: speeds of the executors and run times of queues
    :param late_starts: starts that were given up
    :param start_reports: reports the starts to the entry hosts
    :param actions: list that the orders are appended to
    """

    def __init__(
        self,
        *,
        executors_by_id: typing.Mapping[work.ExecutorId, executors.Executor],
        free_index: freeindex.FreeIndex,
        job_table: jobtable.JobTable,
        lease_manager: leases.LeaseManager,
        loss_tracker: losses.LossTracker,
        queue_risk: risk.QueueRisk,
        speed_table: speeds.SpeedTable,
        late_starts: latestarts.LateStarts,
        start_reports: startreports.StartReports,
        actions: list[work.Action],
    ) -> None:
        self.starts = 0
        self._executors = executors_by_id
        self._free_index = free_index
        self._job_table = job_table
        self._leases = lease_manager
        self._losses = loss_tracker
        self._late_starts = late_starts
        self._start_reports = start_reports
        self._risk = queue_risk
        self._needs = speedneeds.SpeedNeeds(
            executors_by_id=executors_by_id, speed_table=speed_table
        )
        self._actions = actions
        self._trials = exposure.ExposedExecutors(
            executors_by_id=executors_by_id,
            runs_tasks=lambda executor: executor.runs_alone > 0,
        )
        self._exposed = exposure.ExposedExecutors(
            executors_by_id=executors_by_id,
            runs_tasks=lambda executor: executor.risky_runs > 0,
        )
        self._reservation: _Reservation | None = None
        self._heartbeats: dict[ids.InstanceId, float] = {}

    def record_heartbeat(self, entry: ids.InstanceId, now: float) -> None:
        """Record that an entry host still uses this holder."""
        self._heartbeats[entry] = now

    def place(
        self, now: float, changed: executors.Executor | None = None
    ) -> None:
        """Issue start orders for waiting tasks.

        :param changed: the only executor that may have more free resources
            than at the last call; None if any may
        """
        self._job_table.waiting.advance(now)
        self._check_reserved(now)
        if not self._job_table.waiting:
            return
        attempt = self._begin(now, changed)
        if self._reservation is not None:
            self._place_job(self._reservation.state, attempt)
        if not attempt.has_room:
            return
        for state in self._job_table.waiting.ordered():
            self._place_job(state, attempt)
            if not attempt.has_room:
                return

    def can_start(self, state: jobstate.JobState, now: float) -> bool:
        """Return whether an executor is free for a task of a waiting job."""
        steps = {task.id.step: task for task in state.pending}
        return any(
            placement.choose(
                self._free_index.candidates(
                    state.job.service, state.job.steps[number].room.cpu, now
                ),
                task.id,
                state.job.steps[number],
            )
            is not None
            for number, task in steps.items()
        )

    def place_new(self, state: jobstate.JobState, now: float) -> None:
        """Issue start orders for a job that has just begun to wait.

        A late job waits for the next call of :meth:`place`, since more
        urgent ones may arrive with it.
        """
        if state.urgency(now).urgency is not jobstate.Urgency.ON_TIME:
            return
        self._place_job(state, self._begin(now))

    def _begin(
        self, now: float, changed: executors.Executor | None = None
    ) -> "_Attempt":
        return _Attempt(
            free_index=self._free_index,
            only=changed,
            min_cpu=self._job_table.waiting.min_cpu(),
            now=now,
        )

    def _is_entry_live(self, entry: ids.InstanceId, now: float) -> bool:
        last_heartbeat_at = self._heartbeats.get(entry)
        return (
            last_heartbeat_at is not None
            and now - last_heartbeat_at < ENTRY_HEARTBEAT_TIMEOUT_S
        )

    def _place_job(
        self, state: jobstate.JobState, attempt: "_Attempt"
    ) -> None:
        if not self._is_entry_live(state.entry, attempt.now):
            return
        if self._is_refusable(state, attempt.now):
            return
        is_risky = self._risk.is_risky(state.job.queue, attempt.now)
        orders_from = len(self._actions)
        held_back = 0
        while len(state.pending) > held_back:
            task = state.pending[held_back]
            if state.job.offers and task.id in self._open_tasks(attempt):
                break
            sharing = self._sharing(task, attempt.now)
            step = state.job.steps[task.id.step]
            if sharing is losses.Sharing.SHARED:
                need = self._need(state, task.id.step, attempt)
                executor = attempt.choose(
                    task.id,
                    step,
                    state.job.service,
                    is_risky=is_risky,
                    is_confined=is_risky
                    and not self._may_expose(state.job.service, attempt),
                    need=need,
                )
                if executor is None:
                    if need.least:
                        attempt.delayed += len(state.pending)
                    break
                state.pending.remove(task)
                self._start(
                    state, task, executor, attempt.now, is_risky=is_risky
                )
                continue
            executor = None
            if sharing is losses.Sharing.ALONE:
                executor = self._choose_empty(state, task, attempt)
            if executor is None:
                held_back += 1
                continue
            state.pending.remove(task)
            self._start_alone(state, task, executor, attempt.now)
        self._start_reports.report(state.job.id, orders_from)
        self._update_queue(state)

    def _sharing(self, task: jobstate.Task, now: float) -> losses.Sharing:
        """Return with which other tasks a task may be started now."""
        if self._late_starts.holds_back(task.id):
            return losses.Sharing.NOT_YET
        return losses.sharing(task, now)

    def _need(
        self, state: jobstate.JobState, number: int, attempt: "_Attempt"
    ) -> speedneeds.SpeedNeed:
        """Return the speeds that the tasks of a step need."""
        key = (state.job.id, number)
        if key not in attempt.needs:
            attempt.needs[key] = self._needs.need(
                state,
                state.job.steps[number],
                delayed=attempt.delayed,
                now=attempt.now,
            )
        return attempt.needs[key]

    def _may_expose(self, service: ids.ServiceId, attempt: "_Attempt") -> bool:
        """Return whether risky queues may use another executor.

        They may use any while no task of another queue waits.
        """
        if attempt.do_others_wait is None:
            attempt.do_others_wait = any(
                not self._risk.is_risky(state.job.queue, attempt.now)
                for state in self._job_table.waiting.ordered()
            )
        share = 1.0
        if attempt.do_others_wait:
            share = self._risk.share(service, attempt.now)
        return self._exposed.has_place(share, attempt.now)

    def _update_queue(self, state: jobstate.JobState) -> None:
        if state.pending:
            self._job_table.waiting.add(state)
        else:
            self._job_table.waiting.remove(state)

    def _choose_empty(
        self,
        state: jobstate.JobState,
        task: jobstate.Task,
        attempt: "_Attempt",
    ) -> executors.Executor | None:
        """Return an executor without runs for a task that runs alone.

        The task waits for spare capacity at first, as it may take the
        executor away from others.
        """
        if not self._trials.has_place(MAX_TRIAL_SHARE, attempt.now):
            return None
        executor = self._take_reserved(task)
        if executor is not None:
            return executor
        step = state.job.steps[task.id.step]
        executor = attempt.choose_empty(task.id, step, state.job.service)
        if attempt.now - task.lost_at < MAX_SPARE_WAIT_S:
            is_spare = executor and self._has_spare_capacity(state.job.service)
            return executor if is_spare else None
        if executor is None and self._reservation is None:
            self._reserve(state, task, attempt.now)
        return executor

    def _has_spare_capacity(self, service: ids.ServiceId) -> bool:
        """Return whether under half of a service's CPU is in use."""
        reachable = [
            executor
            for executor in self._executors.values()
            if executor.report.service == service
            and executor.is_synced
            and not executor.is_closed
        ]
        used = sum(executor.used.cpu for executor in reachable)
        return 2 * used < sum(each.report.room.cpu for each in reachable)

    def _reserve(
        self, state: jobstate.JobState, task: jobstate.Task, now: float
    ) -> None:
        """Keep the executor with the fewest runs free for a task."""
        step = state.job.steps[task.id.step]
        candidates = [
            executor
            for executor in self._executors.values()
            if executor.report.service == state.job.service
            and executor.report.room.holds(step.room)
            and step.required_label in ("", *executor.report.labels)
            and executor.may_start(now)
        ]
        if candidates:
            executor = min(candidates, key=lambda each: len(each.runs))
            executor.is_reserved = True
            self._reservation = _Reservation(state, task, executor)

    def _take_reserved(self, task: jobstate.Task) -> executors.Executor | None:
        """Return the executor reserved for a task once it is empty."""
        if self._reservation is None or self._reservation.task is not task:
            return None
        executor = self._reservation.executor
        if executor.runs:
            return None
        self._release_reserved()
        return executor

    def _release_reserved(self) -> None:
        if self._reservation is not None:
            self._reservation.executor.is_reserved = False
            self._reservation = None

    def _check_reserved(self, now: float) -> None:
        """Release the reserved executor if it can't be used any more."""
        if self._reservation is None:
            return
        state, task, executor = self._reservation
        step = state.job.steps[task.id.step]
        executor.is_reserved = False
        is_usable = (
            task in state.pending
            and executor.may_start(now)
            and executor.report.room.holds(step.room)
        )
        executor.is_reserved = is_usable
        if not is_usable:
            self._reservation = None

    def _start_alone(
        self,
        state: jobstate.JobState,
        task: jobstate.Task,
        executor: executors.Executor,
        now: float,
    ) -> None:
        self._losses.starting_alone(state, task, executor)
        self._trials.add(executor, now)
        self._start(state, task, executor, now, is_alone=True)

    def _is_refusable(self, state: jobstate.JobState, now: float) -> bool:
        """Return whether a job is too late to be started at all."""
        if state.is_started or state.job.offers:
            return False
        return state.is_worthless(now)

    def _open_tasks(self, attempt: "_Attempt") -> set[work.TaskId]:
        """Return the tasks of which an earlier run may still be running."""
        if attempt.open_tasks is None:
            attempt.open_tasks = {
                task
                for executor in self._executors.values()
                for task in executor.runs
            }
        return attempt.open_tasks

    def _start(
        self,
        state: jobstate.JobState,
        task: jobstate.Task,
        executor: executors.Executor,
        now: float,
        *,
        is_risky: bool = False,
        is_alone: bool = False,
    ) -> None:
        step = state.job.steps[task.id.step]
        deadline_ms = executor.deadline_ms(now, START_LEASE_S)
        run = executors.Run(
            task=task.id,
            number=task.next_run,
            room=step.room,
            state=executors.RunState.STARTING,
            ordered_at=now,
            expected_s=step.estimated_ms / 1000,
            order_deadline_ms=deadline_ms,
            is_risky=is_risky,
            is_alone=is_alone,
        )
        executor.add_run(run)
        self._start_reports.ordered(executor, run)
        executor.record_cold_start(now)
        if is_risky:
            self._exposed.add(executor, now)
        self._risk.record_start(
            state.job.service,
            state.job.queue,
            step.room.cpu * run.expected_s,
            now,
        )
        executor.lease_deadline_ms = max(
            executor.lease_deadline_ms, deadline_ms
        )
        task.executor = executor.id
        state.is_started = True
        state.starts += 1
        state.open_runs += 1
        self.starts += 1
        self._actions.append(
            work.StartOrder(
                executor.id,
                executor.report.address,
                task.id,
                run.number,
                state.job.spec,
                deadline_ms,
                self._leases.token_of(executor),
                born_ms=executor.born_ms,
            )
        )
        self._leases.renew(executor, now)


class _Reservation(typing.NamedTuple):
    """An executor that is kept free for a task that runs alone."""

    state: jobstate.JobState
    task: jobstate.Task
    executor: executors.Executor


class _Attempt:
    """One pass over waiting jobs, during which no resources become free.

    :param free_index: all executors
    :param only: the only executor to consider, None for all
    :param min_cpu: lower bound of the CPU need of the waiting tasks
    :param now: monotonic time, seconds
    :ivar has_room: whether some executor may have room for a waiting task
    :ivar open_tasks: tasks with an unfinished run, None until they are needed
    :ivar delayed: tasks passed over that wait for a faster executor
    :ivar needs: the speeds that tasks need, by job and step
    :ivar do_others_wait: whether jobs of queues wait that aren't risky, None
        until it is needed
    """

    def __init__(
        self,
        *,
        free_index: freeindex.FreeIndex,
        only: executors.Executor | None,
        min_cpu: int,
        now: float,
    ) -> None:
        self.now = now
        self.delayed = 0
        self.needs: dict[tuple[ids.JobId, int], speedneeds.SpeedNeed] = {}
        self.open_tasks: set[work.TaskId] | None = None
        self.do_others_wait: bool | None = None
        self._free_index = free_index
        self._only = only
        self._min_cpu = min_cpu
        self.has_room = self._has_room()
        # Least room and speed that no executor has.
        self._rejected: dict[ids.ServiceId, list[tuple[work.Room, float]]] = {}

    def choose(
        self,
        task: work.TaskId,
        step: work.Step,
        service: ids.ServiceId,
        *,
        is_risky: bool,
        is_confined: bool,
        need: speedneeds.SpeedNeed,
    ) -> executors.Executor | None:
        """Return the best executor for a task, or None if none fits.

        :param is_risky: whether the task is of a risky queue
        :param is_confined: whether only executors with such tasks may be used
        """
        for too_large, too_fast in self._rejected.get(service, ()):
            if step.room.holds(too_large) and need.least >= too_fast:
                return None
        candidates = self._candidates(service, step.room.cpu)
        if is_confined:
            candidates = (each for each in candidates if each.risky_runs)
        executor = placement.choose(
            candidates, task, step, is_risky=is_risky, need=need
        )
        if executor is None:
            self.has_room = self._has_room()
            if not (step.required_label or step.most_together or is_confined):
                self._rejected.setdefault(service, []).append(
                    (step.room, need.least)
                )
        return executor

    def choose_empty(
        self, task: work.TaskId, step: work.Step, service: ids.ServiceId
    ) -> executors.Executor | None:
        """Return the smallest executor without runs that holds a task."""
        return placement.choose(
            (
                executor
                for executor in self._candidates(service, step.room.cpu)
                if not executor.runs
            ),
            task,
            step,
        )

    def _candidates(
        self, service: ids.ServiceId, cpu: int
    ) -> typing.Iterable[executors.Executor]:
        if self._only is None:
            return self._free_index.candidates(service, cpu, self.now)
        is_candidate = self._only.report.service == service
        return (self._only,) if is_candidate and self._has_only(cpu) else ()

    def _has_room(self) -> bool:
        if self._only is None:
            return self._free_index.has_room(self._min_cpu, self.now)
        return self._has_only(self._min_cpu)

    def _has_only(self, cpu: int) -> bool:
        """Return whether the only executor may start a task of a size."""
        only = self._only
        return (
            only is not None
            and only.free.cpu >= cpu
            and only.may_start(self.now)
        )
