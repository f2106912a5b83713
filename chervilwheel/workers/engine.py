"""Assign tasks to leased executors: decisions only, no network, no clock.

The engine of one holder. Messages and time go in; orders and answers
come out of :meth:`Engine.take`. It answers a standing load of about 70%
of the room, in tasks of 60 to 900 ms.
"""

import logging
import typing

from chervilwheel import ids
from chervilwheel.workers import executors
from chervilwheel.workers import jobbook
from chervilwheel.workers import jobstate
from chervilwheel.workers import leases
from chervilwheel.workers import patience
from chervilwheel.workers import runlists
from chervilwheel.workers import settling
from chervilwheel.workers import starter
from chervilwheel.workers import work

_LOG = logging.getLogger("engine")

# As long a holder without a quorum may hold what is not heard here.
FORGET_S = 60.0
NO_ROOM_PAUSE_S = 0.05
# By then the longest tasks that have the room now have ended.
NO_ROOM_RETRY_MS = 1_000
# Larger executors come with a change of the deployment at the earliest.
NEVER_FITS_RETRY_MS = 60_000
UNHEALTHY_PAUSE_S = 0.5


class Engine:
    """Hold executors and run jobs on them.

    :param token: the fencing token of this holder
    :param knows_all_at: from when on the reports handed in cover all
        executors that another holder may have used, seconds
    :param now: monotonic time, seconds
    :param terms: what executors grant
    """

    def __init__(
        self,
        *,
        token: int,
        knows_all_at: float,
        now: float,
        terms: leases.Terms,
    ) -> None:
        self.executors: dict[work.ExecutorId, executors.Executor] = {}
        self.refusals = 0
        self._terms = terms
        self._knows_all_at = knows_all_at
        self._actions: list[work.Action] = []
        self._book = jobbook.JobBook(actions=self._actions)
        self._leases = leases.Leases(
            token=token, terms=terms, actions=self._actions
        )
        self._starter = starter.Starter(
            known=self.executors,
            book=self._book,
            held=self._leases,
            actions=self._actions,
        )
        self._lists = runlists.RunLists(
            known=self.executors,
            book=self._book,
            held=self._leases,
            finish=self._finish,
        )
        self._settling = settling.Settling(
            terms=terms, knows_all_at=knows_all_at, now=now
        )

    @property
    def starts(self) -> int:
        """Orders to start so far."""
        return self._starter.starts

    @property
    def token(self) -> int:
        """The fencing token of its orders."""
        return self._leases.token

    @property
    def jobs(self) -> typing.Mapping[ids.JobId, jobstate.JobState]:
        """The jobs that it knows, ended ones for a while."""
        return self._book.jobs

    def take(self) -> list[work.Action]:
        """Hand out what has to be done, once."""
        actions = list(self._actions)
        self._actions.clear()
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
                report=report, heard_at=now - age_s, stop_s=self._terms.stop_s
            )
            self.executors[report.id] = known
            self._lists.begin(known)
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
        self._starter.hear_entry(entry, now)

    def offer(self, job: work.Job, entry: ids.InstanceId, now: float) -> None:
        """Take a job in, or attach to the one under its id."""
        self.hear_entry(entry, now)
        known = self._book.jobs.get(job.id)
        if known is not None:
            known.entry = entry
            if not known.is_over:
                if job.offers > known.job.offers:
                    known.settle_again(job, now)
                    self._settling.add(known)
                    self._lists.adopt(known, now)
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
        state = self._book.add(job, entry, now)
        if self._never_fits(job, now):
            self._finish(
                state,
                work.Outcome.REFUSED,
                now,
                reason="never_fits",
                retry_after_ms=NEVER_FITS_RETRY_MS,
            )
            return
        self._book.waiting.add(state)
        if state.is_settling:
            self._settling.add(state)
            self._lists.adopt(state, now)
            self._settling.settle(self.executors.values(), now)
        self._starter.place(now)

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
        known = self._book.jobs.get(job)
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
        self._starter.place(now)
        return True

    def lose_entry(self, entry: ids.InstanceId, now: float) -> None:
        """Stop the jobs of an entry host that is silent."""
        for state in list(self._book.jobs.values()):
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
            known.unusable_until = now + leases.HOLD_RETRY_S
            self._leases.hold(known, now)
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
            work.StartVerdict.FENCED: leases.HOLD_RETRY_S,
            work.StartVerdict.NOT_SENT: leases.HOLD_RETRY_S,
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
        self._book.again(run)
        self._starter.place(now)

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
            self._leases.not_held(known, order, answer, now)
            return
        self._leases.held(known, order, answer, sent_at, now)
        self._lists.compare(known, answer, sent_at, now)
        was_settling = bool(self._settling)
        self._settling.settle(self.executors.values(), now)
        self._starter.place(now, None if was_settling else known)
        self._tend(known, now)

    def _lose(self, known: executors.Executor, now: float) -> None:
        """Forget an executor whose life is over, with all its runs."""
        known.is_gone = True
        self.executors.pop(known.id, None)
        self._lists.end(known)
        _LOG.info(
            "engine: an executor is gone",
            extra={"executor": known.id, "runs": len(known.runs)},
        )
        for run in list(known.runs.values()):
            known.drop(run.task)
            self._book.again(run)
        self._starter.place(now)

    def _finish(
        self,
        state: jobstate.JobState,
        outcome: work.Outcome,
        now: float,
        reason: str = "",
        retry_after_ms: int = 0,
    ) -> None:
        """Answer a job and stop what runs of it."""
        answer = work.Answer(state.job.id, outcome, retry_after_ms, reason)
        self._book.finish(state, answer, now)
        for row in state.tasks:
            for task in row:
                known = self.executors.get(task.executor or "")
                run = known.runs.get(task.id) if known else None
                if known is None or run is None:
                    continue
                if run.state is not executors.RunState.STOPPING:
                    self._leases.stop(known, run, now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._settling.settle(self.executors.values(), now)
        for known in list(self.executors.values()):
            self._lists.stop_orphans(known, now)
            self._tend(known, now)
        self._refuse_late(now)
        self._starter.place(now)
        self._book.forget(now)

    def _tend(self, known: executors.Executor, now: float) -> None:
        """Drop what has lapsed, and renew a lease when it is due."""
        if known.silent_since:
            self._drop_lapsed(known, now)
        if not known.runs and now - known.heard_at > FORGET_S:
            self._lose(known, now)
            return
        self._leases.tend(known, now, look_after=self._settling.look_after)

    def _drop_lapsed(self, known: executors.Executor, now: float) -> None:
        """Drop the runs of a silent executor whose leases have ended."""
        for run in self._leases.lapsed(known, now):
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
            self._book.again(run)

    def raise_token(self, token: int, now: float) -> None:
        """Give orders under a higher token from now on."""
        self._leases.raise_token(token, self.executors.values(), now)

    def _refuse_late(self, now: float) -> None:
        fresh = self._book.fresh()
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
                    retry_after_ms=NO_ROOM_RETRY_MS,
                )

    def waiting_by_queue(self) -> dict[str, int]:
        """Count the jobs of each queue that have not started."""
        return self._book.waiting_by_queue()
