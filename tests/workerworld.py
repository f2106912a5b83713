"""Engines over modelled workers on a network with faults, time paused.

What runs where is noted apart from the engines, so that a task that runs
twice at the same time is seen.
"""

import heapq
import itertools
import random

from chervilwheel import addresses
from chervilwheel import ids
from chervilwheel.workers import engine
from chervilwheel.workers import leases
from chervilwheel.workers import work
from standins import workermodel

SERVICE = ids.ServiceId("service")
ENTRY = ids.InstanceId("entry")
FAR_ENTRY = ids.InstanceId("far-entry")
CPU = 32_000
REPORT_S = 1.5
TICK_S = 0.02
# An entry host is lost to a holder after four beats of 0.15 s, looked at
# once in a beat.
SILENCE_S = 0.75
# Leaves room for the tokens of holders without a quorum.
TERM_STEP = 10
CALL_TIMEOUT_S = 0.3
VERDICTS = {
    workermodel.Verdict.OK: work.StartVerdict.STARTED,
    workermodel.Verdict.FENCED: work.StartVerdict.FENCED,
    workermodel.Verdict.RUN_TOO_LOW: work.StartVerdict.RUN_TOO_LOW,
    workermodel.Verdict.TOO_LATE: work.StartVerdict.TOO_LATE,
    workermodel.Verdict.NO_ROOM: work.StartVerdict.NO_ROOM,
}
KINDS = {
    "done": work.EndKind.DONE,
    "failed": work.EndKind.FAILED,
    "stopped": work.EndKind.STOPPED,
    "lapsed": work.EndKind.LAPSED,
}
# A worker that stops a run may take so long (the platform's bound).
STOP_S = 0.05


class InvariantError(AssertionError):
    """A promise did not hold."""


class Network:
    """What happens to messages between holders and workers."""

    def __init__(self, *, rng):
        self.rng = rng
        self.lost_share = 0.0
        self.late_share = 0.0
        self.cut = set()
        # The workers that a second holder can't reach, by engine.
        self.far_cut = {}

    def fate(self, worker, decider=None):
        """Return ('ok' | 'lost' | 'late', delay) of an order."""
        if worker in self.far_cut.get(decider, self.cut):
            return "lost", 0.0
        draw = self.rng.random()
        if draw < self.late_share:
            return "late", self.rng.uniform(2.0, 12.0)
        if draw < self.late_share + self.lost_share:
            return "unanswered", 0.001
        return "ok", self.rng.uniform(0.0002, 0.002)


class World:
    """Workers, an engine, an entry host; a second of both in a cut.

    :param seed: the schedule's seed
    :param workers: how many
    :param engine_kind: the class of the engines
    :param cpu: room of a worker, thousandths of a core
    :param hold_most_s: workers cut longer leases to this time
    """

    def __init__(
        self,
        *,
        seed=1,
        workers=6,
        engine_kind=engine.Engine,
        cpu=CPU,
        hold_most_s=1.0,
    ):
        self.hold_most_s = hold_most_s
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.net = Network(rng=self.rng)
        self.answers = {}
        self.jobs = {}
        self.entry_of = {}
        self.works = {}
        self.arrived = {}
        self.workers = {}
        self.engine = None
        self.far = None
        self.entries = {}
        self.heard = {}
        self._engine_kind = engine_kind
        self._heap = []
        self._order = itertools.count()
        self._term = 0
        self._cpu = cpu
        self._sequences = itertools.count(1)
        self._names = itertools.count(1)
        for _ in range(workers):
            self.add_worker()
        self.switch_holder()
        self._tick()

    def add_worker(self, **options):
        """Start a worker's life."""
        name = work.ExecutorId(f"x{next(self._names)}")
        options.setdefault("cpu", self._cpu)
        options.setdefault("clock_rate", self.rng.uniform(0.98, 1.0))
        options.setdefault("stop_s", self.rng.uniform(0.0, STOP_S))
        options.setdefault("max_lease_s", self.hold_most_s)
        model = workermodel.WorkerModel(now=self.now - 5.0, **options)
        self.workers[name] = model
        self.at(self.rng.uniform(0, 0.1), lambda: self._report(name))
        return name

    def at(self, delay, callback):
        """Run a callback after a time."""
        heapq.heappush(
            self._heap, (self.now + delay, next(self._order), callback)
        )

    def run(self, seconds):
        """Let time pass."""
        until = self.now + seconds
        while self._heap and self._heap[0][0] <= until:
            when, _, callback = heapq.heappop(self._heap)
            self.now = max(self.now, when)
            callback()
            self.check()
        self.now = until

    def switch_holder(self, *, knows_all=False):
        """Put a new engine with a higher token in the place of the old."""
        self._term += TERM_STEP
        self.engine = self._engine_kind(
            token=self._term,
            now=self.now,
            knows_all_at=self.now + (0.0 if knows_all else 3.0),
            terms=leases.Terms(self.hold_most_s, STOP_S),
        )
        self._tell_all(self.engine)
        for job_id in self.jobs:
            if job_id not in self.answers:
                self._offer_again(job_id, self.engine)
        self._pump(self.engine)

    def cut_off(self, names, *, wait_s):
        """Cut some workers and an entry host off.

        :param names: the workers on the far side
        :param wait_s: time until a second holder begins there
        """
        self.net.cut = set(names)
        self.entries[FAR_ENTRY] = None
        self.at(wait_s, lambda: self._begin_far(names))

    def _begin_far(self, names):
        if not self.net.cut:
            return
        self.far = self._engine_kind(
            token=self._term + 1,
            now=self.now,
            knows_all_at=self.now,
            terms=leases.Terms(self.hold_most_s, STOP_S),
        )
        self.net.far_cut[self.far] = set(self.workers) - set(names)
        self.entries[FAR_ENTRY] = self.far
        self._tell_all(self.far)
        self._move_far_jobs(self.far)

    def heal(self):
        """Join both sides; the engine with the higher claim goes on."""
        former, self.far = self.far, None
        self.net.cut = set()
        self.entries[FAR_ENTRY] = self.engine
        if former is not None:
            self.net.far_cut.clear()
            self._term += 2
            self.engine.raise_token(self._term, self.now)
        self._move_far_jobs(self.engine, is_from_standby=True)

    def _move_far_jobs(self, decider, *, is_from_standby=False):
        for job_id, entry in self.entry_of.items():
            if entry == FAR_ENTRY and job_id not in self.answers:
                self._offer_again(
                    job_id, decider, is_from_standby=is_from_standby
                )
        self._pump(decider)

    def _offer_again(self, job_id, decider, *, is_from_standby=False):
        job = self.jobs[job_id]
        job = job._replace(
            offers=job.offers + 1,
            is_from_standby=job.is_from_standby or is_from_standby,
        )
        self.jobs[job_id] = job
        decider.offer(job, self.entry_of[job_id], self.now)

    def _tell_all(self, decider):
        for name in list(self.workers):
            if self.workers[name].is_up:
                # Other control hosts passed its reports on before.
                self._tell(name, decider, is_known=True)

    def submit(
        self,
        *,
        tasks=2,
        work_s=0.2,
        cpu=14_000,
        priority=1,
        estimated_s=None,
        attempts=3,
        target_ms=60,
        steps=None,
        entry=ENTRY,
    ):
        """Hand a job in; returns its id, None when nobody takes it."""
        decider = self.entries.get(entry, self.engine)
        if decider is None:
            return None
        job_id = ids.JobId(f"{len(self.jobs):016x}")
        guess_ms = int((estimated_s or work_s) * 1000)
        if steps is None:
            steps = (work.Step(tasks, work.Room(cpu, 64), guess_ms),)
        job = work.Job(
            id=job_id,
            queue=f"q{priority}",
            service=SERVICE,
            priority=priority,
            attempts=attempts,
            stretch=1.6,
            target_ms=target_ms,
            patience_ms=1500,
            spec="spec",
            steps=steps,
        )
        self.jobs[job_id] = job
        self.works[job_id] = work_s
        self.arrived[job_id] = self.now
        self.entry_of[job_id] = entry
        decider.offer(job, entry, self.now)
        self._pump(decider)
        return job_id

    def cancel(self, job_id):
        """Stop a job."""
        self.engine.cancel(job_id, self.now)
        self._pump(self.engine)

    def outcome(self, job_id):
        """Return the outcome of a job, None while there is none."""
        answer = self.answers.get(job_id)
        return answer[1].outcome if answer else None

    def latency(self, job_id):
        """Return the time to a job's answer, seconds."""
        return self.answers[job_id][0] - self.arrived[job_id]

    def check(self):
        """Check that no task runs twice at the same time, room is kept."""
        seen = {}
        for name, model in self.workers.items():
            if not model.is_up:
                continue
            model.advance(self.now)
            if model.used > model.cpu:
                raise InvariantError(f"{name} is over its room")
            for task in model.running:
                if task in seen:
                    raise InvariantError(
                        f"{task} runs on {seen[task]} and {name}"
                    )
                seen[task] = name

    def _tick(self):
        self._beat()
        for decider in (self.engine, self.far):
            if decider is not None:
                decider.tick(self.now)
                self._pump(decider)
        self.at(TICK_S, self._tick)

    def _beat(self):
        """Have entry hosts beat; a holder loses those that are silent."""
        for entry in (ENTRY, FAR_ENTRY):
            decider = self.entries.get(entry, self.engine)
            if decider is not None:
                decider.hear_entry(entry, self.now)
                self.heard[entry, decider] = self.now
            for (name, other), at in list(self.heard.items()):
                is_live = other in (self.engine, self.far)
                if name == entry and self.now - at > SILENCE_S and is_live:
                    del self.heard[name, other]
                    other.lose_entry(name, self.now)
                    self._pump(other)

    def _report(self, name):
        model = self.workers[name]
        if not model.is_up:
            return
        for decider in (self.engine, self.far):
            if decider is not None:
                self._tell(name, decider)
        self.at(REPORT_S, lambda: self._report(name))

    def _tell(self, name, decider, *, is_known=False):
        model = self.workers[name]
        cut = self.net.far_cut.get(decider, self.net.cut)
        if name in cut and not is_known:
            return
        report = work.ExecutorReport(
            id=name,
            service=SERVICE,
            address=addresses.Address("10.0.0.1", 80),
            zone=ids.ZoneId("zone"),
            room=work.Room(model.cpu, 65_536),
            labels=("a", "r1"),
            is_draining=model.is_draining,
            is_gone=False,
            remaining_ms=0,
            clock_ms=model.clock_ms(self.now),
            sequence=next(self._sequences),
        )
        decider.report(report, self.now)
        self._pump(decider)

    def drain(self, name):
        """Have a worker say that it leaves."""
        self.workers[name].is_draining = True
        self._tell(name, self.engine)

    def _pump(self, decider):
        while True:
            actions = decider.take()
            if not actions:
                return
            for action in actions:
                self._carry_out(decider, action)

    def _carry_out(self, decider, action):
        if isinstance(action, work.Answer):
            follows = self.entries.get(
                self.entry_of.get(action.job), self.engine
            )
            if decider is follows and action.job not in self.answers:
                self.answers[action.job] = (self.now, action)
            return
        if not self._is_live(decider):
            return
        fate, delay = self.net.fate(action.executor, decider)
        if isinstance(action, work.StartOrder):
            self._send_start(decider, action, fate, delay)
        elif isinstance(action, work.HoldOrder):
            self._send_hold(decider, action, fate, delay)
        elif fate != "lost":
            self.at(delay, lambda: self._do_stop(action))

    def _is_live(self, decider):
        return decider is self.engine or decider is self.far

    def _send_start(self, decider, order, fate, delay):
        heard = []

        def arrive():
            if not self.workers[order.executor].is_up:
                return
            verdict, clock_ms = self._do_start(order)
            if fate == "ok":
                self.at(delay, lambda: answered(verdict, clock_ms))

        def answered(verdict, clock_ms):
            if heard:
                return
            heard.append(verdict)
            if self._is_live(decider):
                decider.started(order, verdict, clock_ms, self.now)
                self._pump(decider)

        if fate != "lost":
            self.at(delay, arrive)
        unknown = work.StartVerdict.UNKNOWN
        self.at(CALL_TIMEOUT_S, lambda: answered(unknown, 0))

    def _do_start(self, order):
        model = self.workers[order.executor]
        job = self.jobs[order.task.job]
        verdict = model.start(
            _name(order.task),
            order.run,
            cpu=job.steps[order.task.step].room.cpu,
            work_s=self.works[order.task.job],
            deadline_ms=order.deadline_ms,
            token=order.token,
            now=self.now,
        )
        self._watch_end(model)
        return VERDICTS[verdict], model.clock_ms(self.now)

    def _watch_end(self, model):
        when = model.next_end_at()
        if when < self.now + 100:
            self.at(when - self.now, lambda: None)

    def _do_stop(self, order):
        model = self.workers[order.executor]
        if model.is_up:
            model.stop(
                _name(order.task),
                order.run,
                token=order.token,
                now=self.now,
            )

    def _send_hold(self, decider, order, fate, delay):  # noqa: C901
        sent_at = self.now
        heard = []

        def answered(answer):
            if heard:
                return
            heard.append(answer)
            if self._is_live(decider):
                decider.held(order, answer, sent_at, self.now)
                self._pump(decider)

        def arrive():
            model = self.workers[order.executor]
            if not model.is_up:
                return
            verdict = model.renew_lease(
                deadline_ms=order.deadline_ms,
                token=order.token,
                acked_upto=order.noted_upto,
                now=self.now,
            )
            if verdict is workermodel.Verdict.FENCED:
                fenced = work.HoldAnswer(work.HoldVerdict.FENCED)
                self.at(delay, lambda: answered(fenced))
                return
            wait(model, self.now + order.wait_ms / 1000)

        def wait(model, until):
            model.advance(self.now)
            if not model.is_up:
                return
            if model.unacknowledged_ends() or self.now >= until:
                answer = self._lists(model)
                if fate == "ok":
                    self.at(delay, lambda: answered(answer))
                return
            pause = min(until, model.next_end_at()) - self.now
            self.at(max(0.001, min(0.01, pause)), lambda: wait(model, until))

        if fate in ("ok", "unanswered"):
            self.at(delay, arrive)
        silent = work.HoldAnswer(work.HoldVerdict.UNKNOWN)
        timeout_s = CALL_TIMEOUT_S + order.wait_ms / 1000
        self.at(timeout_s, lambda: answered(silent))

    def _lists(self, model):
        return work.HoldAnswer(
            work.HoldVerdict.HELD,
            model.clock_ms(self.now),
            tuple(
                work.RunRow(_task(name), run, percent)
                for name, run, percent in model.run_rows(self.now)
            ),
            tuple(
                work.RunEnd(number, _task(name), run, KINDS[how])
                for number, name, run, how in model.unacknowledged_ends()
            ),
        )


def _name(task):
    return f"{task.job}.{task.step}.{task.index}"


def _task(name):
    job, step, index = name.split(".")
    return work.TaskId(ids.JobId(job), int(step), int(index))
