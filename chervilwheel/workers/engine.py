"""Assign tasks to leased executors: decisions only, no network, no clock.

The engine of one holder. Messages and time go in; orders and answers
come out of :meth:`Engine.take`. It answers a standing load of about 70%
of the room, in tasks of 60 to 900 ms.
"""

import logging

from chervilwheel import ids
from chervilwheel.workers import executors
from chervilwheel.workers import health
from chervilwheel.workers import jobstate
from chervilwheel.workers import patience
from chervilwheel.workers import placement
from chervilwheel.workers import waiting
from chervilwheel.workers import work

_LOG = logging.getLogger("engine")

# Shorter than the platform's bound of 1 s, so that the tasks of a lost
# executor may start elsewhere sooner; renewed at least each HOLD_WAIT_S.
LEASE_S = 0.7
HOLD_WAIT_S = 0.25
# An order to start is void after this time, answered or not.
START_LEASE_S = 0.35
# Ends are noted with the next renewal, or after this time without one.
NOTE_DELAY_S = 0.2
# A renewal that failed is tried again after this time.
HOLD_RETRY_S = 0.15
# A run whose share of work doesn't move for this time stands still.
STILL_S = 0.4
STOP_RETRY_S = 0.15
# A job that another holder may have begun waits for a renewal at every
# executor, or for this time: that holder misses the entry host's beats
# (0.6 s), and its leases end (0.7 s).
SETTLE_S = 1.4
# A run that nobody asked for is stopped after this time, within which
# entry hosts offer their jobs anew: two beats.
ORPHAN_S = 0.3
# An order to stop that is lost is given again with the next renewal.
STOP_S = 0.3
# Nothing starts for an entry host that has not been heard for this time:
# by then it may have gone over to a holder without a quorum, which takes
# its runs over 0.35 s after a cut at the earliest; a lease that such a
# holder prolongs would have ended 0.45 s after the cut.
ENTRY_QUIET_S = 0.4
# Executors end a run within this time unless the settings say otherwise.
RUN_STOP_S = 0.05
# Full answers are remembered for callers that ask again.
REMEMBER_S = 10.0
# Three heartbeats without a word.
SILENT_S = 5.0
# As long a holder without a quorum may hold what is not heard here.
FORGET_S = 60.0
NO_ROOM_PAUSE_S = 0.05
# Larger executors come with a change of the deployment at the earliest.
NEVER_FITS_RETRY_MS = 60_000
UNHEALTHY_PAUSE_S = 0.5
FENCED_PAUSE_S = 1.0


class Engine:
    """Hold executors and run jobs on them.

    :param token: the fencing token of this holder
    :param knows_all_at: from when on the reports handed in cover all
        executors that another holder may have used, seconds
    :param now: monotonic time, seconds
    :param stop_s: time that an executor takes at most to end a run, seconds
    """

    def __init__(
        self,
        *,
        token: int,
        knows_all_at: float,
        now: float,
        stop_s: float = RUN_STOP_S,
    ) -> None:
        self.token = token
        self._stop_s = stop_s
        # The leases that a former leader gave end by then.
        # A holder without a quorum may have renewed them before it stopped
        # what nobody there asked for.
        self._leases_end_at = (
            now
            + LEASE_S * 1.02
            + executors.LEASE_MARGIN_S
            + ORPHAN_S
            + STOP_S
            + stop_s
        )
        self.executors: dict[work.ExecutorId, executors.Executor] = {}
        self.jobs: dict[ids.JobId, jobstate.JobState] = {}
        self._health: dict[work.ExecutorId, health.Health] = {}
        self._waiting = waiting.WaitingLine()
        self._settling: list[jobstate.JobState] = []
        self._over: list[jobstate.JobState] = []
        self._actions: list[work.Action] = []
        self._knows_all_at = knows_all_at
        self._found_done: dict[work.TaskId, float] = {}
        self._entries: dict[ids.InstanceId, float] = {}
        self._look_after = 0.0
        self.starts = 0
        self.refusals = 0

    def take(self) -> list[work.Action]:
        """Hand out what has to be done, once."""
        actions, self._actions = self._actions, []
        return actions

    def report(
        self, report: work.ExecutorReport, now: float, *, age_s: float = 0.0
    ) -> None:
        """Take in what an executor says of itself.

        :param age_s: time since it arrived at a control host, seconds
        """
        known = self.executors.get(report.id)
        if known is None:
            if report.is_gone:
                return
            known = executors.Executor(
                report=report, heard_at=now - age_s, stop_s=self._stop_s
            )
            self.executors[report.id] = known
            self._health[report.id] = health.Health()
        elif report.is_gone:
            self._lose(known, now)
            return
        elif report.sequence < known.report.sequence:
            return
        if report.is_draining and not known.report.is_draining:
            known.draining_since = now
        known.take_report(report)
        known.heard_at = max(known.heard_at, now - age_s)
        known.learn_clock(report.clock_ms, now)
        self._tend(known, now)

    def hear_entry(self, entry: ids.InstanceId, now: float) -> None:
        """Take note that an entry host still goes by this holder."""
        self._entries[entry] = now

    def offer(self, job: work.Job, entry: ids.InstanceId, now: float) -> None:
        """Take a job in, or attach to the one under its id."""
        self.hear_entry(entry, now)
        known = self.jobs.get(job.id)
        if known is not None:
            known.entry = entry
            if not known.is_over:
                if job.offers > known.job.offers:
                    known.settle_again(job, now)
                    self._settling.append(known)
                    self._adopt(known, now)
                return
            if known.answer and known.answer.outcome is work.Outcome.COMPLETED:
                self._actions.append(known.answer)
                return
            if known.unsettled:
                self._actions.append(
                    work.Answer(job.id, work.Outcome.LOST, reason="unsettled")
                )
                return
            if known.is_started:
                job = job._replace(offers=job.offers + known.job.offers + 1)
            if known in self._over:
                self._over.remove(known)
        state = jobstate.JobState(job=job, entry=entry, now=now)
        self.jobs[job.id] = state
        if self._never_fits(job, now):
            self._finish(
                state,
                work.Outcome.REFUSED,
                now,
                reason="never_fits",
                retry_after_ms=NEVER_FITS_RETRY_MS,
            )
            return
        self._waiting.add(state)
        if state.is_settling:
            self._settling.append(state)
            self._adopt(state, now)
            self._settle(now)
        self._place(now)

    def _never_fits(self, job: work.Job, now: float) -> bool:
        """Whether no executor could take some task, were it empty."""
        if job.offers or now < self._knows_all_at:
            return False
        rooms = [
            each.report.room
            for each in self.executors.values()
            if each.report.service == job.service
        ]
        return bool(rooms) and not all(
            any(room.holds(step.room) for room in rooms) for step in job.steps
        )

    def cancel(
        self,
        job: ids.JobId,
        now: float,
        outcome: work.Outcome = work.Outcome.CANCELLED,
    ) -> bool:
        """Stop a job.

        :param outcome: LOST when no caller asked for it
        :returns: whether it was known and had not ended
        """
        known = self.jobs.get(job)
        if known is None or known.is_over:
            return False
        _LOG.info(
            "engine: a job is cancelled",
            extra={
                "job": job,
                "started": known.is_started,
                "outcome": outcome.value,
            },
        )
        self._finish(known, outcome, now, reason="cancelled")
        self._place(now)
        return True

    def lose_entry(self, entry: ids.InstanceId, now: float) -> None:
        """Stop the jobs of an entry host that is silent."""
        for state in list(self.jobs.values()):
            if state.entry == entry and not state.is_over:
                # It may hear of this and of its jobs again.
                self._finish(
                    state, work.Outcome.LOST, now, reason="entry_lost"
                )

    def started(
        self,
        order: work.StartOrder,
        verdict: work.StartVerdict,
        clock_ms: int,
        now: float,
    ) -> None:
        """Learn what an executor answered to an order to start."""
        known = self.executors.get(order.executor)
        if known is None:
            return
        if clock_ms:
            known.learn_clock(clock_ms, now)
        run = known.runs.get(order.task)
        if run is None or run.number != order.run:
            return
        if verdict is work.StartVerdict.STARTED:
            run.confirmed_at = now
            run.percent_at = now
            if run.state is not executors.RunState.STOPPING:
                run.state = executors.RunState.RUNNING
            return
        if verdict is work.StartVerdict.UNKNOWN:
            if run.state is executors.RunState.STARTING:
                run.state = executors.RunState.UNSURE
            known.unusable_until = now + HOLD_RETRY_S
            self._hold(known, now)
            return
        self._not_started(known, run, verdict, now)

    def _not_started(
        self,
        known: executors.Executor,
        run: executors.Run,
        verdict: work.StartVerdict,
        now: float,
    ) -> None:
        pauses = {
            work.StartVerdict.NO_ROOM: NO_ROOM_PAUSE_S,
            work.StartVerdict.UNHEALTHY: UNHEALTHY_PAUSE_S,
            work.StartVerdict.FENCED: HOLD_RETRY_S,
            work.StartVerdict.NOT_SENT: HOLD_RETRY_S,
        }
        pause_s = pauses.get(verdict, 0.0)
        known.unusable_until = max(known.unusable_until, now + pause_s)
        if verdict is work.StartVerdict.OTHER_LIFE:
            self._lose(known, now)
            return
        if verdict is work.StartVerdict.FENCED:
            known.is_synced = False
            known.is_fenced = True
        _LOG.info(
            "engine: a start was refused",
            extra={
                "task": run.task,
                "executor": known.id,
                "verdict": verdict.value,
            },
        )
        known.drop(run.task)
        self._again(run, now)
        self._place(now)

    def held(
        self,
        order: work.HoldOrder,
        answer: work.HoldAnswer,
        sent_at: float,
        now: float,
    ) -> None:
        """Learn what an executor answered to a renewal of its lease."""
        known = self.executors.get(order.executor)
        if known is None:
            return
        if not order.is_look:
            known.is_holding = False
        if answer.verdict is work.HoldVerdict.OTHER_LIFE:
            self._lose(known, now)
            return
        if answer.verdict is not work.HoldVerdict.HELD:
            self._not_held(known, order, answer, now)
            return
        known.silent_since = 0.0
        known.learn_clock(answer.clock_ms, now)
        known.told_upto = max(known.told_upto, order.noted_upto)
        if order.token == self.token:
            if not known.is_synced:
                # Another holder may have prolonged the lease just before.
                deadline_ms = known.deadline_ms(now, LEASE_S)
                known.lease_deadline_ms = max(
                    known.lease_deadline_ms, deadline_ms
                )
            known.is_synced = True
            known.answered_at = max(known.answered_at, sent_at)
        self._compare(known, answer, sent_at, now)
        was_settling = bool(self._settling)
        self._settle(now)
        self._place(now, None if was_settling else known)
        self._tend(known, now)

    def _not_held(
        self,
        known: executors.Executor,
        order: work.HoldOrder,
        answer: work.HoldAnswer,
        now: float,
    ) -> None:
        if not known.silent_since:
            known.silent_since = now
            _LOG.info(
                "engine: a lease was not renewed",
                extra={
                    "executor": known.id,
                    "runs": len(known.runs),
                    "verdict": answer.verdict.value,
                },
            )
        known.is_synced = False
        if answer.verdict is work.HoldVerdict.FENCED:
            if order.token < self.token:
                # It was given under a token that is raised since.
                known.silent_since = 0.0
                return
            pause_s = FENCED_PAUSE_S
            known.is_fenced = True
        else:
            pause_s = HOLD_RETRY_S
        known.unusable_until = max(known.unusable_until, now + pause_s)

    def _compare(
        self,
        known: executors.Executor,
        answer: work.HoldAnswer,
        sent_at: float,
        now: float,
    ) -> None:
        for end in answer.ended:
            if end.number <= known.noted_upto:
                continue
            known.noted_upto = end.number
            self._ended(known, end, now)
        rows = {row.task: row for row in answer.running}
        for row in answer.running:
            if row.task not in known.runs:
                self._found(known, row, now)
        for run in list(known.runs.values()):
            row = rows.get(run.task)
            if row is not None and row.run == run.number:
                self._seen(known, run, row, now)
            elif run.state is executors.RunState.UNSURE:
                if answer.clock_ms > run.order_deadline_ms:
                    known.drop(run.task)
                    self._again(run, now)
            elif run.confirmed_at and run.confirmed_at < sent_at:
                # Listed neither as running nor as ended: it is no more.
                known.drop(run.task)
                self._again(run, now)

    def _found(
        self, known: executors.Executor, row: work.RunRow, now: float
    ) -> None:
        """Take note of a run that another holder has ordered."""
        run = executors.Run(
            task=row.task,
            number=row.run,
            # What it takes isn't known; nothing else starts beside it.
            room=known.report.room,
            state=executors.RunState.RUNNING,
            ordered_at=now,
            expected_s=0.0,
            confirmed_at=now,
            percent=row.percent,
            percent_at=now,
            is_orphan=True,
        )
        known.add(run)
        state = self.jobs.get(row.task.job)
        if state is not None and state.is_settling:
            self._adopt_run(state, known, run)

    def _seen(
        self,
        known: executors.Executor,
        run: executors.Run,
        row: work.RunRow,
        now: float,
    ) -> None:
        if not run.confirmed_at:
            run.confirmed_at = now
            run.percent_at = now
        if run.state in (
            executors.RunState.STARTING,
            executors.RunState.UNSURE,
        ):
            run.state = executors.RunState.RUNNING
        if row.percent != run.percent:
            run.percent = row.percent
            run.percent_at = now
        is_still = now - run.percent_at > STILL_S
        if run.state is executors.RunState.STOPPING:
            if now - run.stop_sent_at > STOP_RETRY_S:
                self._stop(known, run, now)
        elif is_still and run.percent < 100:
            _LOG.info(
                "engine: a run stands still",
                extra={
                    "task": run.task,
                    "executor": known.id,
                    "percent": run.percent,
                },
            )
            self._blame(known, now, weight=health.MAX_FAILURES)
            self._stop(known, run, now)

    def _ended(
        self, known: executors.Executor, end: work.RunEnd, now: float
    ) -> None:
        run = known.runs.get(end.task)
        if run is None or run.number != end.run:
            self._found_end(end, now)
            return
        known.drop(end.task)
        if run.is_orphan:
            self._found_end(end, now)
            return
        state = self.jobs.get(end.task.job)
        if end.kind is work.EndKind.DONE:
            self._health[known.id].succeeded()
            if state is not None:
                state.unsettled -= 1
                self._task_done(state, end.task, now)
            return
        _LOG.info(
            "engine: a run ended and its task is not done",
            extra={
                "task": end.task,
                "run": run.number,
                "executor": known.id,
                "how": end.kind.value,
                "ran_s": round(now - run.ordered_at, 3),
            },
        )
        if end.kind is work.EndKind.FAILED:
            self._blame(known, now)
        self._again(run, now)
        task = state.find(end.task) if state is not None else None
        if state is None or state.is_over or task is None:
            return
        if end.kind is work.EndKind.FAILED:
            task.failures += 1
            if task.failures >= state.job.attempts:
                self._finish(
                    state, work.Outcome.FAILED, now, reason="attempts"
                )

    def _found_end(self, end: work.RunEnd, now: float) -> None:
        """Take note of the end of a run that another holder ordered."""
        if end.kind is not work.EndKind.DONE:
            return
        self._found_done[end.task] = now
        state = self.jobs.get(end.task.job)
        if state is not None and state.is_settling:
            self._task_done(state, end.task, now)

    def _blame(
        self, known: executors.Executor, now: float, *, weight: int = 1
    ) -> None:
        verdict = self._health[known.id].failed(weight=weight)
        if verdict.pause_s:
            until = now + verdict.pause_s
            known.unusable_until = max(known.unusable_until, until)
            _LOG.info(
                "engine: an executor is left out",
                extra={"executor": known.id, "pause_s": verdict.pause_s},
            )

    def _lose(self, known: executors.Executor, now: float) -> None:
        """Forget an executor whose life is over, with all its runs."""
        known.is_gone = True
        self.executors.pop(known.id, None)
        self._health.pop(known.id, None)
        _LOG.info(
            "engine: an executor is gone",
            extra={"executor": known.id, "runs": len(known.runs)},
        )
        for run in list(known.runs.values()):
            known.drop(run.task)
            self._again(run, now)
        self._place(now)

    def _again(self, run: executors.Run, now: float) -> None:
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
        self._waiting.add(state)

    def _stop(
        self, known: executors.Executor, run: executors.Run, now: float
    ) -> None:
        run.state = executors.RunState.STOPPING
        run.stop_sent_at = now
        self._actions.append(
            work.StopOrder(
                known.id,
                known.report.address,
                run.task,
                run.number,
                self.token,
            )
        )

    def _adopt(self, state: jobstate.JobState, now: float) -> None:
        for known in self.executors.values():
            for run in list(known.runs.values()):
                if run.task.job == state.job.id and run.is_orphan:
                    self._adopt_run(state, known, run)
        for task in [t for t in self._found_done if t.job == state.job.id]:
            self._task_done(state, task, now)

    def _adopt_run(
        self,
        state: jobstate.JobState,
        known: executors.Executor,
        run: executors.Run,
    ) -> None:
        task = state.find(run.task)
        if task is None or task.executor is not None or task.is_done:
            return
        known.drop(run.task)
        run.is_orphan = False
        run.room = state.job.steps[run.task.step].room
        known.add(run)
        state.unsettled += 1
        state.is_started = True
        task.executor = known.id
        task.next_run = run.number + 1
        if task in state.pending:
            state.pending.remove(task)

    def _task_done(
        self, state: jobstate.JobState, task_id: work.TaskId, now: float
    ) -> None:
        task = state.find(task_id)
        if task is None or state.is_over:
            return
        state.is_started = True
        state.done(task)
        if state.pending:
            self._waiting.add(state)
        if state.is_complete:
            self._finish(state, work.Outcome.COMPLETED, now)

    def _finish(
        self,
        state: jobstate.JobState,
        outcome: work.Outcome,
        now: float,
        *,
        reason: str = "",
        retry_after_ms: int = 0,
    ) -> None:
        state.answer = work.Answer(
            state.job.id, outcome, retry_after_ms, reason
        )
        state.ended_at = now
        state.pending = []
        self._actions.append(state.answer)
        self._over.append(state)
        self._waiting.changed()
        for row in state.tasks:
            for task in row:
                known = self.executors.get(task.executor or "")
                run = known.runs.get(task.id) if known else None
                if known is None or run is None:
                    continue
                if run.state is not executors.RunState.STOPPING:
                    self._stop(known, run, now)

    def _place(
        self, now: float, changed: executors.Executor | None = None
    ) -> None:
        """Order starts for waiting tasks.

        :param changed: the one executor that may have more room than at
            the last call; None for any
        """
        if not self._waiting:
            return
        among = self.executors.values() if changed is None else (changed,)
        usable = [each for each in among if each.may_start(now)]
        least_cpu = self._waiting.least_cpu()
        for state in list(self._waiting.ordered()):
            usable = [each for each in usable if each.free.cpu >= least_cpu]
            if not usable:
                return
            if not state.is_settling and self._is_heard(state.entry, now):
                self._place_job(state, usable, now)

    def _is_heard(self, entry: ids.InstanceId, now: float) -> bool:
        heard_at = self._entries.get(entry)
        return heard_at is not None and now - heard_at < ENTRY_QUIET_S

    def _place_job(
        self,
        state: jobstate.JobState,
        usable: list[executors.Executor],
        now: float,
    ) -> None:
        while state.pending:
            task = state.pending[0]
            if state.job.offers and self._runs_somewhere(task.id):
                return
            step = state.job.steps[task.id.step]
            known = placement.choose(usable, task.id, step, state.job.service)
            if known is None:
                return
            state.pending.pop(0)
            self._waiting.changed()
            self._start(state, task, step, known, now)

    def _runs_somewhere(self, task: work.TaskId) -> bool:
        """Whether a run of a task that is to be stopped isn't over yet."""
        return any(task in each.runs for each in self.executors.values())

    def _start(
        self,
        state: jobstate.JobState,
        task: jobstate.Task,
        step: work.Step,
        known: executors.Executor,
        now: float,
    ) -> None:
        deadline_ms = known.deadline_ms(now, START_LEASE_S)
        run = executors.Run(
            task=task.id,
            number=task.next_run,
            room=step.room,
            state=executors.RunState.STARTING,
            ordered_at=now,
            expected_s=step.estimated_ms / 1000,
            order_deadline_ms=deadline_ms,
        )
        known.add(run)
        known.lease_deadline_ms = max(known.lease_deadline_ms, deadline_ms)
        task.executor = known.id
        state.is_started = True
        state.unsettled += 1
        self.starts += 1
        self._actions.append(
            work.StartOrder(
                known.id,
                known.report.address,
                task.id,
                run.number,
                state.job.spec,
                deadline_ms,
                self.token,
            )
        )
        self._hold(known, now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._settle(now)
        for known in list(self.executors.values()):
            self._stop_orphans(known, now)
            self._tend(known, now)
        self._refuse_late(now)
        self._place(now)
        self._forget(now)

    def _settle(self, now: float) -> None:
        """Let jobs start whose former runs are all known or at an end."""
        settling = [s for s in self._settling if not s.is_over]
        if not settling:
            self._settling = []
            self._look_after = 0.0
            return
        self._look_after = max(state.settles_from for state in settling)
        known = self.executors.values()
        live = [e for e in known if now - e.heard_at < SILENT_S]
        all_since = min((e.answered_at for e in known), default=0.0)
        live_since = min((e.answered_at for e in live), default=0.0)
        knows_all = now >= self._knows_all_at
        for state in settling:
            if state.job.is_from_standby:
                settle_s = SETTLE_S + self._stop_s
                since, ends_at = all_since, state.settles_from + settle_s
            else:
                since, ends_at = live_since, self._leases_end_at
            is_seen = knows_all and since > state.settles_from
            if is_seen or now >= ends_at:
                state.is_settling = False
        self._settling = [s for s in settling if s.is_settling]

    def _stop_orphans(self, known: executors.Executor, now: float) -> None:
        for run in list(known.runs.values()):
            is_due = run.is_orphan and now - run.ordered_at >= ORPHAN_S
            if is_due and run.state is not executors.RunState.STOPPING:
                self._stop(known, run, now)

    def _tend(self, known: executors.Executor, now: float) -> None:
        """Renew a lease when it is due, and drop what has lapsed."""
        if known.silent_since:
            self._drop_lapsed(known, now)
        if not known.runs and now - known.heard_at > FORGET_S:
            self._lose(known, now)
            return
        if known.is_holding:
            if self._needs_look(known) and not known.silent_since:
                self._look(known, now)
            return
        waited_s = now - known.hold_sent_at
        if known.silent_since or not known.is_synced:
            is_live = bool(known.runs) or now - known.heard_at < SILENT_S
            is_due = is_live and waited_s >= HOLD_RETRY_S
        elif known.runs:
            is_due = True
        else:
            is_unsaid = known.noted_upto > known.told_upto
            is_due = is_unsaid and waited_s >= NOTE_DELAY_S
        if is_due or self._needs_look(known):
            self._hold(known, now)

    def _needs_look(self, known: executors.Executor) -> bool:
        """Whether a job that settles waits for this executor."""
        return known.hold_sent_at <= self._look_after

    def _drop_lapsed(self, known: executors.Executor, now: float) -> None:
        """Drop the runs of a silent executor whose leases have ended."""
        for run in list(known.runs.values()):
            deadline_ms = max(known.lease_deadline_ms, run.order_deadline_ms)
            if now >= known.over_at(deadline_ms):
                _LOG.info(
                    "engine: a run's lease has ended",
                    extra={
                        "task": run.task,
                        "run": run.number,
                        "executor": known.id,
                        "silent_s": round(now - known.silent_since, 3),
                        "lease_ms": known.lease_deadline_ms,
                        "order_ms": run.order_deadline_ms,
                        "clock_ms": known.clock_ms,
                        "clock_age_s": round(now - known.clock_at, 3),
                    },
                )
                known.drop(run.task)
                self._again(run, now)

    def _hold(self, known: executors.Executor, now: float) -> None:
        if known.is_holding:
            return
        known.is_holding = True
        known.hold_sent_at = now
        # While it is silent its lease must come to an end, and so must the
        # leases of runs that another holder may start again.
        deadline_ms = 0
        if not known.silent_since and known.is_owned:
            deadline_ms = known.deadline_ms(now, LEASE_S)
        known.lease_deadline_ms = max(known.lease_deadline_ms, deadline_ms)
        wait_ms = int(HOLD_WAIT_S * 1000)
        if not known.runs or not known.is_synced or known.silent_since:
            wait_ms = 0
        self._actions.append(
            work.HoldOrder(
                known.id,
                known.report.address,
                deadline_ms,
                self.token,
                known.noted_upto,
                wait_ms,
            )
        )

    def _look(self, known: executors.Executor, now: float) -> None:
        """Read the lists at once, beside a renewal that waits for ends."""
        known.hold_sent_at = now
        self._actions.append(
            work.HoldOrder(
                known.id,
                known.report.address,
                0,
                self.token,
                known.noted_upto,
                0,
                is_look=True,
            )
        )

    def raise_token(self, token: int, now: float) -> None:
        """Give orders under a higher token from now on."""
        self.token = token
        for known in self.executors.values():
            known.is_synced = False
            if known.is_fenced:
                known.is_fenced = False
                known.silent_since = 0.0
                known.unusable_until = now
            self._look(known, now)

    def _refuse_late(self, now: float) -> None:
        fresh = [
            state
            for state in self._waiting.ordered()
            if not (state.is_started or state.is_over or state.job.offers)
        ]
        waiting_tasks = sum(len(state.pending) for state in fresh)
        usable = sum(e.may_start(now) for e in self.executors.values())
        for state in fresh:
            waits_s = patience.wait_limit_s(
                state, waiting_tasks=waiting_tasks, executors=usable
            )
            if now - state.arrived_at >= waits_s:
                self.refusals += 1
                _LOG.info(
                    "engine: a job is refused",
                    extra={
                        "job": state.job.id,
                        "waited_s": round(now - state.arrived_at, 3),
                        "limit_s": round(waits_s, 3),
                        "waiting_tasks": waiting_tasks,
                        "usable": usable,
                        "executors": len(self.executors),
                    },
                )
                self._finish(
                    state,
                    work.Outcome.REFUSED,
                    now,
                    reason="no_room",
                    retry_after_ms=1000,
                )

    def _forget(self, now: float) -> None:
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
        for state in self._waiting.ordered():
            if not state.is_started:
                name = state.job.queue
                counts[name] = counts.get(name, 0) + 1
        return counts
