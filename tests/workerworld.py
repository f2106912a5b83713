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
from chervilwheel.workers import work
from standins import workermodel

SERVICE = ids.ServiceId("service")
ENTRY = ids.InstanceId("entry")
CPU = 32_000
REPORT_S = 1.5
TICK_S = 0.02
CALL_TIMEOUT_S = 0.3
VERDICTS = {
    workermodel.Verdict.OK: work.StartVerdict.STARTED,
    workermodel.Verdict.FENCE: work.StartVerdict.FENCED,
    workermodel.Verdict.OLD: work.StartVerdict.RUN_TOO_LOW,
    workermodel.Verdict.LATE: work.StartVerdict.TOO_LATE,
    workermodel.Verdict.ROOM: work.StartVerdict.NO_ROOM,
}
KINDS = {
    "done": work.EndKind.DONE,
    "failed": work.EndKind.FAILED,
    "stopped": work.EndKind.STOPPED,
    "lapsed": work.EndKind.LAPSED,
}


class InvariantError(AssertionError):
    """A promise did not hold."""


class Network:
    """What happens to messages between holders and workers."""

    def __init__(self, *, rng):
        self.rng = rng
        self.lost_share = 0.0
        self.late_share = 0.0
        self.cut = set()

    def fate(self, worker):
        """Return ('ok' | 'lost' | 'late', delay) of an order."""
        if worker in self.cut:
            return "lost", 0.0
        draw = self.rng.random()
        if draw < self.late_share:
            return "late", self.rng.uniform(2.0, 12.0)
        if draw < self.late_share + self.lost_share:
            return "unanswered", 0.001
        return "ok", self.rng.uniform(0.0002, 0.002)


class World:
    """Workers, one engine at a time, and an entry host.

    :param seed: the schedule's seed
    :param workers: how many
    :param engine_kind: the class of the engines
    :param cpu: room of a worker, thousandths of a core
    """

    def __init__(
        self, *, seed=1, workers=6, engine_kind=engine.Engine, cpu=CPU
    ):
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.net = Network(rng=self.rng)
        self.answers = {}
        self.jobs = {}
        self.works = {}
        self.arrived = {}
        self.workers = {}
        self.engine = None
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
        self._term += 1
        self.engine = self._engine_kind(
            token=self._term,
            now=self.now,
            knows_all_at=self.now + (0.0 if knows_all else 3.0),
        )
        for name in list(self.workers):
            if self.workers[name].is_up:
                # Other control hosts passed its reports on before.
                self._tell(name, self.engine, is_known=True)
        for job_id, job in list(self.jobs.items()):
            if job_id not in self.answers:
                job = job._replace(offers=job.offers + 1)
                self.jobs[job_id] = job
                self.engine.offer(job, ENTRY, self.now)
        self._pump(self.engine)

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
    ):
        """Hand a job in; returns its id."""
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
        self.engine.offer(job, ENTRY, self.now)
        self._pump(self.engine)
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
        self.engine.tick(self.now)
        self._pump(self.engine)
        self.at(TICK_S, self._tick)

    def _report(self, name):
        model = self.workers[name]
        if not model.is_up:
            return
        self._tell(name, self.engine)
        self.at(REPORT_S, lambda: self._report(name))

    def _tell(self, name, decider, *, is_known=False):
        model = self.workers[name]
        if name in self.net.cut and not is_known:
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
            if decider is self.engine and action.job not in self.answers:
                self.answers[action.job] = (self.now, action)
            return
        if decider is not self.engine:
            return
        fate, delay = self.net.fate(action.executor)
        if isinstance(action, work.StartOrder):
            self._send_start(decider, action, fate, delay)
        elif isinstance(action, work.HoldOrder):
            self._send_hold(decider, action, fate, delay)
        elif fate != "lost":
            self.at(delay, lambda: self._do_stop(action))

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
            if decider is self.engine:
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
        when = model.next_end()
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
            if decider is self.engine:
                decider.held(order, answer, sent_at, self.now)
                self._pump(decider)

        def arrive():
            model = self.workers[order.executor]
            if not model.is_up:
                return
            verdict = model.hold(
                deadline_ms=order.deadline_ms,
                token=order.token,
                noted_upto=order.noted_upto,
                now=self.now,
            )
            if verdict is workermodel.Verdict.FENCE:
                fenced = work.HoldAnswer(work.HoldVerdict.FENCED)
                self.at(delay, lambda: answered(fenced))
                return
            wait(model, self.now + order.wait_ms / 1000)

        def wait(model, until):
            model.advance(self.now)
            if not model.is_up:
                return
            if model.listed() or self.now >= until:
                answer = self._lists(model)
                if fate == "ok":
                    self.at(delay, lambda: answered(answer))
                return
            pause = min(until, model.next_end()) - self.now
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
                for name, run, percent in model.rows(self.now)
            ),
            tuple(
                work.RunEnd(number, _task(name), run, KINDS[how])
                for number, name, run, how in model.listed()
            ),
        )


def _name(task):
    return f"{task.job}.{task.step}.{task.index}"


def _task(name):
    job, step, index = name.split(".")
    return work.TaskId(ids.JobId(job), int(step), int(index))
