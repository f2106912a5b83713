"""A job is only said to be failed or cancelled when it is, over real hosts.

Schedules play in virtual time and are checked from outside: by what callers
hear, and by the runs and the ends that executors list.
"""

import collections
import itertools
import json
import random
import types
import typing
import unittest.mock

import testtools

from chervilwheel.control import cancellog
from chervilwheel.control import controlhost
from chervilwheel.control import entryhost
from chervilwheel.workers import engine
from chervilwheel.workers import losses
from chervilwheel.workers import reconciler
from chervilwheel.workers import work
from loadtool import hostworld
from standins import workermodel
from tests import adapter
from tests import test_cancels
from tests import test_fencedstandby
from tests import test_formerholders
from tests import test_hosts
from tests import workerworld

clientapi = adapter.load("clientapi")
WORLDS = 12
SCHEDULES_PER_WORLD = 10
EXECUTORS = 6
STEPS = 16
STEP_S = 0.15
REPORT_INTERVAL_S = 0.9
CALM_S = 1.2
# The limits of the queue, by the version of the document.
ATTEMPTS = (1, 2, 3)
TASK_S = 0.4
# Requests are sent again for these, states are read and cancels sent for the
# last few of them.
RECENT_JOBS = 12
OPEN_JOBS = 3


def attempts_of(version):
    """Return a document's limit of failed runs of a task."""
    return ATTEMPTS[version % len(ATTEMPTS)]


class AttemptsDecoder(test_cancels.QueueDecoder):
    """Decodes documents that differ in the limit of their queue."""

    def decode(self, data):
        """Return a document whose version is the number in the bytes."""
        document = super().decode(data)
        (queue,) = document.queues
        limited = queue._replace(attempts=attempts_of(int(data)))
        return document._replace(queues=(limited,))


class FailingExecutors(test_fencedstandby.Executors):
    """Executors whose runs fail at times, and which crash and start again.

    :param rng: chooses which runs fail and which ends are listed again
    :ivar failure_rates: share of a job's runs that end as failed
    :ivar failed_ends: by job and task, the ends that were listed as failed,
        with the time at which each holder was told first
    :ivar done_runs: by job and task, start and holder of the completed runs
    :ivar unreachable: pairs of a host and an executor that it can't call
    :ivar verdicts: answers to starts and renewals of crashed executors
    """

    def __init__(self, rng):
        super().__init__()
        self.rng = rng
        self.task_s = TASK_S
        self.unreachable = set()
        self.failure_rates = {}
        self.failed_ends = collections.defaultdict(
            lambda: collections.defaultdict(dict)
        )
        self.done_runs = collections.defaultdict(
            lambda: collections.defaultdict(list)
        )
        self._listed = collections.defaultdict(dict)
        self.verdicts = {}
        self._hosts = {}

    def model(self, name, now):
        """Return the current incarnation of an executor."""
        if name not in self.models:
            self.models[name] = workermodel.WorkerModel(
                cpu=test_fencedstandby.CPU,
                now=now,
                stop_s=0.05,
                on_end=self._ended,
                born_ms=1 + int(now * 1000),
            )
        return self.models[name]

    def crash(self, name):
        """Crash an executor, which refuses connections then."""
        self.models[name].crash()
        self.verdicts[name] = (
            work.StartVerdict.NOT_SENT,
            work.HoldVerdict.UNKNOWN,
        )

    def start_again(self, name, now):
        """Start another incarnation under the id of a crashed one."""
        del self.verdicts[name]
        self.models[name] = self.models[name].successor(
            now=now, born_ms=1 + int(now * 1000)
        )

    def replace(self, name, other, now):
        """Start another executor at the address of a crashed one."""
        self.verdicts[name] = (
            work.StartVerdict.OTHER_LIFE,
            work.HoldVerdict.OTHER_LIFE,
        )
        self.model(other, now)

    def started(self, host, order, now):
        """Choose how a run ends."""
        super().started(host, order, now)
        name = test_fencedstandby._task_name(order.task)
        run = self.models[order.executor].running[name]
        self._hosts[id(run)] = (run, host)
        if self.rng.random() < self.failure_rates.get(order.task.job, 0.0):
            run.end_kind = "failed"
            run.ends_at = now + self.rng.uniform(0.01, self.task_s)

    def _ended(self, run, kind):
        if kind == "done":
            job, _, task = run.task.partition(".")
            _, host = self._hosts[id(run)]
            self.done_runs[job][task].append((run.started_at, host))

    def told(self, host, order, model, ended, now):
        """Record the ends that a holder is told, and tell some again.

        Those that another holder has acknowledged are forgotten.
        """
        incarnation = order.executor, model.born_ms
        known = self._listed[order.token, host, incarnation]
        for end in ended:
            known[end.number] = end
            if end.kind is work.EndKind.FAILED:
                holders = self.failed_ends[end.task.job][
                    end.task.step, end.task.index
                ].setdefault((incarnation, end.number), {})
                holders.setdefault(host, now)
        if self.rng.random() < 0.2:
            return tuple(known[number] for number in sorted(known))
        return ended


class FailingPort(test_formerholders.CutPort):
    """Calls to executors that may have crashed; some answers are lost."""

    def __init__(self, heap, *, shared):
        super().__init__(heap, shared=shared)
        self.host = heap.host

    def start(self, order, done):
        """Start a run."""
        verdict, _ = self._shared.verdicts.get(order.executor, (None, None))
        unknown = work.StartVerdict.UNKNOWN
        if verdict is not None:
            self._later(test_fencedstandby.CALL_S, lambda: done(verdict, 0))
            return
        if self._is_answer_lost():
            self._time_out(lambda: done(unknown, 0))
            done = _drop
        super().start(order, done)

    def stop(self, order, done):
        """Stop a run."""
        if order.executor in self._shared.verdicts:
            self._time_out(lambda: done(False, 0))
            return
        super().stop(order, done)

    def hold(self, order, done):
        """Renew a lease."""
        _, verdict = self._shared.verdicts.get(order.executor, (None, None))
        unknown = work.HoldAnswer(work.HoldVerdict.UNKNOWN)
        if verdict is not None:
            self._later(
                test_fencedstandby.CALL_S,
                lambda: done(work.HoldAnswer(verdict)),
            )
            return
        if self._is_answer_lost():
            self._time_out(lambda: done(unknown))
            done = _drop
        model = self._shared.model(order.executor, self._now())

        def answered(answer):
            if not model.is_up:
                answer = unknown
            if done is not _drop and answer.verdict is work.HoldVerdict.HELD:
                ended = self._shared.told(
                    self.host, order, model, answer.ended, self._now()
                )
                answer = answer._replace(ended=ended, born_ms=model.born_ms)
            done(answer)

        super().hold(order, answered)

    def _is_answer_lost(self):
        return self._shared.rng.random() < 0.03

    def _time_out(self, give_up):
        self._later(test_formerholders.CALL_TIMEOUT_S, give_up)


def _drop(*_answer):
    """Lose an answer."""


class Exchange(test_cancels.Exchange):
    """A request of a caller, which may have left.

    :param on_response: called with the response unless the caller has left
    """

    def __init__(self, *request, on_response):
        super().__init__(*request)
        self.has_left = False
        self._on_response = on_response

    def respond(self, response):
        """Record the response."""
        super().respond(response)
        if not self.has_left:
            self._on_response(response)


class _Group(typing.NamedTuple):
    """The requests for one job that wait at one host.

    :ivar opened_at: when the first of them was sent, seconds
    :ivar limit: the limit of failed runs in the host's document then
    """

    opened_at: float
    limit: int
    exchanges: list[Exchange]


class Schedule:
    """Random requests and faults over one set of hosts.

    :param seed: seed of all choices
    :ivar problems: what callers were told without cause
    :ivar heard: how often each state was told
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.problems = []
        self.heard = collections.Counter()
        self.shared = FailingExecutors(self.rng)
        self.world = hostworld.World(
            controls=3,
            entries=3,
            zones=("north",),
            decoder=AttemptsDecoder(),
            make_port=lambda heap: FailingPort(heap, shared=self.shared),
        )
        self._numbers = itertools.count(1)
        self._reports = itertools.count(1)
        self._reported_at = 0.0
        self._addresses = {}
        self._version = 1
        self._jobs = {}
        self._limits = collections.defaultdict(list)
        self._cancelled = set()
        self._acked_at = {}
        self._failed_at = collections.defaultdict(list)
        # The requests that wait, by host, its life and the job.
        self._groups = {}
        self._cut = None
        self._stopped = None
        self._actions = {
            self.hand_in: 25,
            self.send_again: 30,
            self.cancel: 10,
            self.read: 20,
            self.leave: 6,
            self.cut: 7,
            self.stop: 7,
            self.start: 6,
            self.crash: 8,
            self.cut_executor: 4,
            self.change_document: 3,
        }
        self.world.run(2.0)
        self.world.put_document(self._version)
        for number in range(EXECUTORS):
            report = test_hosts.report(number, zone="north")
            self._add_executor(report.id, report.address)
        self._report()
        self.world.run(0.5)

    def play(self):
        """Play one schedule; most faults are over at its end."""
        for _ in range(STEPS):
            (action,) = self.rng.choices(
                list(self._actions), list(self._actions.values())
            )
            action()
            self._run(STEP_S)
        if self.rng.random() < 0.6:
            self._end_cut()
            self.shared.unreachable.clear()
            self.start()
        self._run(CALM_S)

    def hand_in(self):
        """Hand a new job in, some of whose runs fail."""
        job = f"{next(self._numbers):016x}"
        step = {"count": 2, "cpu": 8000, "estimatedMs": int(TASK_S * 1000)}
        steps = [step, step | {"dependsOn": [0]}][: self.rng.randint(1, 2)]
        self._jobs[job] = json.dumps(
            {"spec": "spec", "bestEffort": True, "steps": steps}
        ).encode()
        self.shared.failure_rates[job] = self.rng.choice((0.0, 0.4, 1.0))
        self._submit(job)

    def send_again(self):
        """Send the request of a job again."""
        for job in self._recent(RECENT_JOBS):
            self._submit(job)

    def cancel(self):
        """Cancel a job; its reply may be lost."""
        for job, host in itertools.product(
            self._recent(OPEN_JOBS), self._host()
        ):
            self._cancelled.add(job)
            is_lost = self.rng.random() < 0.5
            self._call(
                host,
                "DELETE",
                job,
                lambda response, job=job, is_lost=is_lost: self._on_cancelled(
                    job, response, is_lost
                ),
            )

    def read(self):
        """Read the state of a job."""
        for job, host in itertools.product(
            self._recent(OPEN_JOBS), self._host()
        ):
            self._call(
                host,
                "GET",
                job,
                lambda response, job=job: self._on_state(job, response, None),
            )

    def leave(self):
        """Let a caller leave."""
        groups = [
            (key, group)
            for key, group in self._groups.items()
            if self.world.network.is_running(*key[:2])
        ]
        if groups:
            key, group = self.rng.choice(groups)
            number = self.rng.randrange(len(group.exchanges))
            exchange = group.exchanges.pop(number)
            if not group.exchanges:
                del self._groups[key]
            exchange.has_left = True
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()

    def cut(self):
        """Cut a host off from all others, or end the cut."""
        if self._cut is not None:
            self._end_cut()
            return
        self._cut = self._any_host()
        others = [each for each in self.world.nodes if each != self._cut]
        self.world.cut_off(self._cut, others)

    def stop(self):
        """Stop a host."""
        if self._stopped is None:
            self._stopped = self._any_host()
            self.world.stop(self._stopped)

    def start(self):
        """Start the host that was stopped."""
        host, self._stopped = self._stopped, None
        if host in self.world.controls:
            self.world.restart(host)
            self._report()
        elif host is not None:
            node = self.world._node(host, "entry", self.world._seeds)
            self.world.ports[host] = FailingPort(node.heap, shared=self.shared)
            self.world.entries[host] = entryhost.EntryHost(
                node=node,
                decoder=AttemptsDecoder(),
                port=self.world.ports[host],
            )

    def crash(self):
        """Crash an executor; it or another one starts at its address."""
        names = self._live_executors()
        busy = [name for name in names if self.shared.models[name].running]
        name = self.rng.choice(busy or names)
        self.shared.crash(name)
        now = self.world.clock.now()
        restart_at = now + self.rng.uniform(0.1, 0.6)
        self.world.heap.call_at(restart_at, lambda: self._restart(name))

    def cut_executor(self):
        """Let some hosts reach an executor no more, or all hosts again."""
        if self.shared.unreachable:
            self.shared.unreachable.clear()
            return
        name = self.rng.choice(self._live_executors())
        for host in self.world.nodes:
            if self.rng.random() < 0.7:
                self.shared.unreachable.add((host, name))

    def change_document(self):
        """Store a document with another limit."""
        controls = self._running(self.world.controls)
        self._version += 1
        self.world.controls[self.rng.choice(controls)].put(
            b"%d" % self._version, _drop
        )

    def _restart(self, name):
        now = self.world.clock.now()
        if self.rng.random() < 0.5:
            self.shared.start_again(name, now)
        else:
            other = work.ExecutorId(f"{name}-{next(self._numbers)}")
            self.shared.replace(name, other, now)
            self._addresses[other] = self._addresses.pop(name)
        self._report()

    def _add_executor(self, name, address):
        self._addresses[name] = address
        self.shared.model(name, self.world.clock.now())

    def _live_executors(self):
        names = [
            name for name in self._addresses if self.shared.models[name].is_up
        ]
        return names or list(self._addresses)

    def _run(self, seconds):
        if self.world.clock.now() - self._reported_at >= REPORT_INTERVAL_S:
            self._report()
        self.world.run(seconds)

    def _report(self):
        """Report the executors at the control hosts that run."""
        now = self._reported_at = self.world.clock.now()
        sequence = next(self._reports)
        for name, address in self._addresses.items():
            model = self.shared.models[name]
            if not model.is_up:
                continue
            report = test_hosts.report(0, zone="north")._replace(
                id=name,
                address=address,
                room=work.Room(test_fencedstandby.CPU, 65_536),
                clock_ms=model.clock_ms(now),
                born_ms=model.born_ms,
                sequence=sequence,
            )
            for host in self._running(self.world.controls):
                self.world.controls[host].report(report)

    def _end_cut(self):
        self.world.network.cuts.clear()
        self._cut = None

    def _running(self, hosts):
        return [host for host in hosts if host in self.world.network.running]

    def _any_host(self):
        """Choose a host, the holder more often than others."""
        return self.rng.choice(
            [*self.world.nodes, *filter(None, [self.world.holder()] * 3)]
        )

    def _host(self):
        return [self.rng.choice(self._running(self.world.entries))]

    def _recent(self, count):
        jobs = list(self._jobs)[-count:]
        return [self.rng.choice(jobs)] if jobs else []

    def _call(self, host, method, job, on_response):
        body = self._jobs[job] if method == "POST" else b""
        exchange = Exchange(method, f"/q/{job}", body, on_response=on_response)
        api = clientapi.ClientApi(entry=self.world.entries[host])
        api.handle(exchange)
        return exchange

    def _submit(self, job):
        (host,) = self._host()
        now = self.world.clock.now()
        routes = self.world.entries[host].routes
        queue = routes and routes.find("jobs.example", "/q/")
        limit = queue.attempts if queue else 0
        self._limits[job].append(limit)
        key = (host, self.world.network.lives[host], job)
        group = self._groups.get(key, _Group(now, limit, []))

        def on_response(response):
            self._groups.pop(key, None)
            self._on_state(job, response, group)

        exchange = self._call(host, "POST", job, on_response)
        if not exchange.has_responded:
            group.exchanges.append(exchange)
            self._groups[key] = group

    def _on_cancelled(self, job, response, is_lost):
        if response.status in (200, 410) and not is_lost:
            self._acked_at.setdefault(job, self.world.clock.now())

    def _on_state(self, job, response, group):
        """Check what a caller is told.

        :param group: the requests that it is among, None for a read
        """
        if response.status != 200:
            self.heard[response.status] += 1
            return
        state = json.loads(response.body)["state"]
        self.heard[state] += 1
        now = self.world.clock.now()
        if state == "failed" and not self._has_failed(job, group):
            self.problems.append((now, job, "failed without its failed ends"))
        if state == "failed" and group is not None:
            self._failed_at[job].append(now)
        if state == "cancelled" and job not in self._cancelled:
            self.problems.append((now, job, "cancelled by nobody"))
        if state == "completed" and self._has_run_after_cancel(job):
            self.problems.append((now, job, "completed after its cancel"))

    def _has_failed(self, job, group):
        """Return whether a task has failed as often as its limit allows.

        If the job was answered as failed before this submission, its holder
        must have been told of as many further ends since.
        """
        limit, former = min(self._limits[job]), []
        if group is not None:
            limit = group.limit
            former = [
                at for at in self._failed_at[job] if at < group.opened_at
            ]
        for ends in self.shared.failed_ends[job].values():
            if len(ends) >= limit and not former:
                return True
            for host in self.world.nodes:
                times = [told[host] for told in ends.values() if host in told]
                before = sum(at <= max(former, default=0.0) for at in times)
                needed = limit if before < limit else before + limit
                if len(times) >= needed:
                    return True
        return False

    def _has_run_after_cancel(self, job):
        """Return whether a task was only done by runs after the cancel.

        A standby that was cut off before may not know of it.
        """
        if job not in self._acked_at:
            return False
        until = self._acked_at[job] + test_cancels.CANCEL_S
        return any(
            all(
                started_at > until and host in self.world.controls
                for started_at, host in runs
            )
            for runs in self.shared.done_runs[job].values()
        )


def _seeded_elections(seed):
    """Let control hosts draw the times of their elections from a seed."""
    rng = random.Random(seed)
    return unittest.mock.patch.object(
        controlhost,
        "random",
        types.SimpleNamespace(
            Random=lambda: random.Random(rng.getrandbits(32))
        ),
    )


class FailedAnswersTest(testtools.TestCase):
    """Random schedules of requests, cancels, failing runs and faults."""

    def play(self, worlds, schedules, *, until_problem=False):
        """Play schedules; return the problems and what callers heard."""
        problems, heard = [], collections.Counter()
        for seed in worlds:
            with _seeded_elections(seed):
                schedule = Schedule(seed)
                self.addCleanup(schedule.world.close)
                for number in range(schedules):
                    schedule.play()
                    problems.extend(
                        (seed, number, *each) for each in schedule.problems
                    )
                    schedule.problems.clear()
                    if until_problem and problems:
                        return problems, heard
            heard += schedule.heard
        return problems, heard

    def find(self):
        """Return the first problems, those of a fault that was put in."""
        problems, _ = self.play(
            range(WORLDS), SCHEDULES_PER_WORLD, until_problem=True
        )
        return {problem for *_, problem in problems}

    def test_no_job_is_said_to_be_failed_or_cancelled_without_cause(self):
        problems, heard = self.play(range(WORLDS), SCHEDULES_PER_WORLD)
        self.assertEqual([], problems)
        for state in ("completed", "failed", "cancelled"):
            self.assertGreater(heard[state], 50, heard)

    def test_a_failed_end_that_is_counted_twice_is_found(self):
        process_end = reconciler.RunReconciler._process_end

        def count_twice(self, executor, end, now):
            state = self._job_table.jobs.get(end.task.job)
            if end.kind is work.EndKind.FAILED and state is not None:
                state.find_task(end.task).failures += 1
            process_end(self, executor, end, now)

        with unittest.mock.patch.object(
            reconciler.RunReconciler, "_process_end", count_twice
        ):
            self.assertEqual({"failed without its failed ends"}, self.find())

    def test_a_job_that_is_failed_after_a_crash_is_found(self):
        lost = losses.LossTracker.lost

        def count_loss(self, executor, run, now):
            lost(self, executor, run, now)
            state = self._job_table.jobs.get(run.task.job)
            if state is not None:
                state.find_task(run.task).failures += 1

        with unittest.mock.patch.object(
            losses.LossTracker, "lost", count_loss
        ):
            self.assertEqual({"failed without its failed ends"}, self.find())

    def test_a_cancelled_job_that_is_answered_as_failed_is_found(self):
        respond = clientapi._response

        def call_failed(answer):
            if answer.outcome is work.Outcome.CANCELLED:
                answer = answer._replace(outcome=work.Outcome.FAILED)
            return respond(answer)

        with unittest.mock.patch.object(clientapi, "_response", call_failed):
            self.assertEqual({"failed without its failed ends"}, self.find())

    def test_an_unserved_job_that_is_answered_as_cancelled_is_found(self):
        respond = clientapi._response

        def call_cancelled(answer):
            if answer.outcome in (work.Outcome.LOST, work.Outcome.REFUSED):
                answer = answer._replace(outcome=work.Outcome.CANCELLED)
            return respond(answer)

        with unittest.mock.patch.object(
            clientapi, "_response", call_cancelled
        ):
            self.assertEqual({"cancelled by nobody"}, self.find())

    def test_a_cancelled_job_that_is_started_again_is_found(self):
        with (
            unittest.mock.patch.object(
                cancellog.LoggedCancels, "holds", lambda _self, _job: False
            ),
            unittest.mock.patch.object(
                engine,
                "_is_final",
                lambda answer: answer.outcome is work.Outcome.COMPLETED,
            ),
        ):
            self.assertEqual({"completed after its cancel"}, self.find())


class LimitTest(testtools.TestCase):
    """All runs of a job fail, which is offered with several limits."""

    def setUp(self):
        super().setUp()
        self.failed = collections.Counter()
        self.world = workerworld.World(worker_options={"on_end": self._ended})
        for model in self.world.workers.values():
            model.is_failing = True
        self.world.run(0.5)

    def _ended(self, run, kind):
        self.failed[run.task.partition(".")[0]] += kind == "failed"

    def submit(self, attempts):
        """Submit a job of one task and wait until it runs."""
        job = self.world.submit(
            tasks=1, work_s=0.5, attempts=attempts, target_ms=60_000
        )
        self.world.run(0.02)
        self.assertEqual(1, self.world.engine.starts)
        return job

    def offer(self, job, **changes):
        """Offer a job by another entry host."""
        self.world.engine.offer(
            self.world.jobs[job]._replace(**changes),
            workerworld.FAR_ENTRY,
            self.world.now,
        )

    def check(self, job, *, failed_ends):
        """Check after how many failed ends a job is answered as failed."""
        self.world.run(10.0)
        self.assertIs(work.Outcome.FAILED, self.world.outcome(job))
        self.assertEqual(failed_ends, self.failed[job])

    def test_a_caller_is_not_told_of_a_failure_by_the_limit_of_another(self):
        job = self.submit(attempts=1)
        self.offer(job, attempts=3)
        self.check(job, failed_ends=3)

    def test_a_lower_limit_that_is_offered_later_does_not_fail_a_job(self):
        job = self.submit(attempts=3)
        self.offer(job, attempts=1)
        self.check(job, failed_ends=3)

    def test_a_lower_limit_from_another_holder_does_not_fail_a_job(self):
        job = self.submit(attempts=3)
        self.offer(job, attempts=1, offers=1)
        self.check(job, failed_ends=3)

    def test_a_higher_limit_from_another_holder_holds(self):
        job = self.submit(attempts=1)
        self.offer(job, attempts=3, offers=1)
        self.check(job, failed_ends=3)

    def test_failed_ends_at_a_former_holder_do_not_fail_a_job_early(self):
        """The next holder counts anew, so there may be more failed ends."""
        job = self.submit(attempts=2)
        while not self.failed[job]:
            self.world.run(0.01)
        self.world.switch_holder()
        self.check(job, failed_ends=3)
