"""Standby holders that executors fence off, in virtual time."""

from chervilwheel import ids
from chervilwheel.control import controlhost
from chervilwheel.control import entryhost
from chervilwheel.control import standby
from chervilwheel.control import tokens
from chervilwheel.workers import ports
from chervilwheel.workers import work
from loadtool import hostworld
from standins import workermodel
from tests import test_hosts

CALL_S = 0.002
POLL_S = 0.01
CPU = 16_000
TASK_S = 0.2
# The time in which another holder can make itself known, two checks of it and
# some calls.
FENCED_S = (
    entryhost.FENCED_WAIT_S + 2 * entryhost.HOLDER_CHECK_INTERVAL_S + 0.02
)
VERDICTS = {
    workermodel.Verdict.OK: work.StartVerdict.STARTED,
    workermodel.Verdict.FENCED: work.StartVerdict.FENCED,
    workermodel.Verdict.RUN_TOO_LOW: work.StartVerdict.RUN_TOO_LOW,
    workermodel.Verdict.TOO_LATE: work.StartVerdict.TOO_LATE,
    workermodel.Verdict.NO_ROOM: work.StartVerdict.NO_ROOM,
}


class Executors:
    """The executors that all hosts order, with their fencing tokens.

    :ivar senders: hosts whose orders were obeyed, by token
    :ivar starts: hosts that started each task, in order
    :ivar task_s: duration of the tasks that start, seconds
    :ivar twice: tasks that ran on two executors at the same time
    """

    def __init__(self):
        self.task_s = TASK_S
        self.models = {}
        self.senders = {}
        self.starts = {}
        self.twice = []

    def model(self, name, now):
        """Return the model of an executor."""
        if name not in self.models:
            self.models[name] = workermodel.WorkerModel(
                cpu=CPU, now=now, stop_s=0.05
            )
        return self.models[name]

    def obeyed(self, host, order):
        """Record an order that an executor has obeyed."""
        senders = self.senders.setdefault(order.token, [])
        if host not in senders:
            senders.append(host)

    def started(self, host, order, now):
        """Record a start, and whether the task runs elsewhere."""
        self.starts.setdefault(order.task, []).append(host)
        name = _task_name(order.task)
        for model in self.models.values():
            model.advance(now)
        running = [m for m in self.models.values() if name in m.running]
        if len(running) > 1:
            self.twice.append(order.task)


class FencingPort(ports.ExecutorPort):
    """One host's connections to the executors.

    :param heap: the timers of the host
    :param shared: the executors
    """

    def __init__(self, heap, *, shared):
        self._heap = heap
        self._shared = shared
        self.host = None

    def start(self, order, done):
        """Start a run unless the token is fenced off."""
        self._later(CALL_S / 2, lambda: self._start(order, done))

    def stop(self, order, done):
        """Stop a run unless the token is fenced off."""
        self._later(CALL_S / 2, lambda: self._stop(order, done))

    def hold(self, order, done):
        """Renew a lease unless the token is fenced off."""
        self._later(CALL_S / 2, lambda: self._hold(order, done))

    def _start(self, order, done):
        now = self._now()
        model = self._shared.model(order.executor, now)
        starts = model.starts
        verdict = model.start(
            _task_name(order.task),
            order.run,
            cpu=8_000,
            work_s=self._shared.task_s,
            deadline_ms=order.deadline_ms,
            token=order.token,
            now=now,
        )
        if model.starts > starts:
            self._shared.started(self.host, order, now)
        self._record(order, verdict)
        clock_ms = model.clock_ms(now)
        self._later(CALL_S / 2, lambda: done(VERDICTS[verdict], clock_ms))

    def _stop(self, order, done):
        now = self._now()
        model = self._shared.model(order.executor, now)
        verdict = model.stop(
            _task_name(order.task), order.run, token=order.token, now=now
        )
        self._record(order, verdict)
        is_stopped = verdict is workermodel.Verdict.OK
        clock_ms = model.clock_ms(now)
        self._later(CALL_S / 2, lambda: done(is_stopped, clock_ms))

    def _hold(self, order, done):
        now = self._now()
        model = self._shared.model(order.executor, now)
        verdict = model.renew_lease(
            deadline_ms=order.deadline_ms,
            token=order.token,
            acked_upto=order.acked_upto,
            now=now,
        )
        self._record(order, verdict)
        if verdict is workermodel.Verdict.FENCED:
            fenced = work.HoldAnswer(work.HoldVerdict.FENCED)
            self._later(CALL_S / 2, lambda: done(fenced))
            return
        self._wait(model, now + order.wait_ms / 1000, done)

    def _wait(self, model, until, done):
        now = self._now()
        model.advance(now)
        if now < until and not model.unacknowledged_ends():
            self._later(POLL_S, lambda: self._wait(model, until, done))
            return
        answer = work.HoldAnswer(
            work.HoldVerdict.HELD,
            model.clock_ms(now),
            tuple(
                work.RunStatus(_task_id(name), run, percent)
                for name, run, percent in model.run_rows(now)
            ),
            tuple(
                work.RunEnd(number, _task_id(name), run, work.EndKind(kind))
                for number, name, run, kind in model.unacknowledged_ends()
            ),
        )
        self._later(CALL_S / 2, lambda: done(answer))

    def _record(self, order, verdict):
        if verdict is not workermodel.Verdict.FENCED:
            self._shared.obeyed(self.host, order)

    def _now(self):
        return self._heap.clock.now()

    def _later(self, seconds, callback):
        self._heap.call_later(seconds, callback)


def _task_name(task):
    return f"{task.job}.{task.step}.{task.index}"


def _task_id(name):
    job, step, index = name.split(".")
    return work.TaskId(ids.JobId(job), int(step), int(index))


class FencedStandbyTest(test_hosts.HostsTest):
    """Entry hosts that don't know each other, without any control host."""

    def setUp(self):
        super().setUp()
        self.shared = Executors()
        self.addCleanup(self.check_orders)
        self.jobs = 0

    def check_orders(self):
        """Check that no task ran twice and no two hosts shared a token."""
        self.assertEqual([], self.shared.twice)
        shared = [each for each in self.shared.senders.values() if each[1:]]
        self.assertEqual([], shared)

    def start(self, *, entries=2):
        """Start hosts and executors; the entry hosts don't know each other."""
        world = self.world(
            entries=entries,
            make_port=lambda heap: FencingPort(heap, shared=self.shared),
        )
        for host, port in world.ports.items():
            port.host = host
        self.report_executors(world, by_zone=2)
        return world

    def lose_controls(self, world):
        """Stop all control hosts."""
        for host in world.controls:
            world.stop(host)

    def forget_each_other(self, world):
        """Let the entry hosts know none of the others."""
        for entry in world.entries.values():
            entry._entry_zones.clear()

    def submit(self, world, host, **changes):
        """Submit a new job; return its answers."""
        self.jobs += 1
        answers = []
        job = test_hosts.job()._replace(
            id=ids.JobId(f"{self.jobs:016x}"), **changes
        )
        world.entries[host].jobs.submit(job, answers.append)
        return answers

    def outcomes(self, answers):
        """Return the outcomes of answers."""
        return [answer.outcome for answer in answers]

    def start_two_standbys(self):
        """Start two standbys; return the world, the fenced and the other."""
        world = self.start()
        self.lose_controls(world)
        self.forget_each_other(world)
        world.run(2.0)
        fenced, other = sorted(world.entries)
        return world, fenced, other

    def test_a_fenced_standby_refuses_jobs_at_once(self):
        world, fenced, other = self.start_two_standbys()
        refused = self.submit(world, fenced)
        served = self.submit(world, other)
        world.run(FENCED_S)
        self.assertEqual([work.Outcome.REFUSED], self.outcomes(refused))
        self.assertGreater(refused[0].retry_after_ms, 0)
        later = self.submit(world, fenced)
        self.assertEqual([work.Outcome.REFUSED], self.outcomes(later))
        world.run(1.0)
        self.assertEqual([work.Outcome.COMPLETED], self.outcomes(served))

    def test_jobs_of_a_standby_that_becomes_fenced_are_answered(self):
        # The second is cut off from the control hosts later than the first.
        world = self.start()
        fenced, other = sorted(world.entries)
        world.cut_off(fenced, [*world.controls, other])
        self.forget_each_other(world)
        world.run(2.0)
        self.assertEqual([fenced], self.standbys(world))
        first = self.submit(world, fenced)
        world.run(1.0)
        self.assertEqual([work.Outcome.COMPLETED], self.outcomes(first))
        started = [self.submit(world, fenced) for _ in range(8)]
        world.run(0.05)
        waiting = [self.submit(world, fenced) for _ in range(4)]
        self.lose_controls(world)
        world.run(5.0)
        for answers in (*started, *waiting):
            self.assertEqual(1, len(answers))
        later = self.submit(world, fenced)
        world.run(FENCED_S)
        self.assertEqual([work.Outcome.REFUSED], self.outcomes(later))

    def test_hosts_that_follow_a_fenced_standby_refuse_jobs_at_once(self):
        world = self.start(entries=3)
        fenced, other, follower = sorted(world.entries)
        self.lose_controls(world)
        world.cut_off(other, [fenced, follower])
        world.run(2.0)
        holder = world.entries[follower].jobs.holder
        self.assertEqual(fenced, holder.host)
        refused = self.submit(world, follower)
        world.run(FENCED_S)
        self.assertEqual([work.Outcome.REFUSED], self.outcomes(refused))
        world.run(2.0)
        later = self.submit(world, follower)
        self.assertEqual([work.Outcome.REFUSED], self.outcomes(later))
        served = self.submit(world, other)
        world.run(1.0)
        self.assertEqual([work.Outcome.COMPLETED], self.outcomes(served))

    def test_a_fenced_standby_serves_once_the_other_has_ended(self):
        world, fenced, other = self.start_two_standbys()
        self.submit(world, fenced)
        world.run(1.0)
        world.stop(other)
        world.run(standby.FENCED_RETRY_S + 1.0)
        served = self.submit(world, fenced)
        world.run(1.0)
        self.assertEqual([work.Outcome.COMPLETED], self.outcomes(served))

    def test_a_fenced_standby_serves_again_with_a_leader(self):
        world = self.start()
        fenced, other = sorted(world.entries)
        world.cut_off(fenced, [*world.controls, other])
        self.forget_each_other(world)
        world.run(2.0)
        for host in (other, fenced):
            self.submit(world, host)
            world.run(1.0)
        refused = self.submit(world, fenced)
        self.assertEqual([work.Outcome.REFUSED], self.outcomes(refused))
        world.network.cuts.clear()
        world.run(2.0)
        served = self.submit(world, fenced)
        world.run(1.0)
        self.assertEqual([work.Outcome.COMPLETED], self.outcomes(served))

    def test_a_fenced_standby_does_not_hold_up_hosts_that_had_a_leader(self):
        world = self.start()
        fenced, other = sorted(world.entries)
        world.cut_off(fenced, [*world.controls, other])
        world.run(2.0)
        for host in (other, fenced):
            self.submit(world, host)
            world.run(1.0)
        refused = self.submit(world, fenced)
        self.assertEqual([work.Outcome.REFUSED], self.outcomes(refused))
        self.lose_controls(world)
        world.network.cuts.clear()
        world.run(3.0)
        for host in (fenced, other):
            served = self.submit(world, host)
            world.run(1.0)
            self.assertEqual([work.Outcome.COMPLETED], self.outcomes(served))

    def test_standbys_find_each_other_over_a_host_that_knows_both(self):
        world = self.start(entries=3)
        first, second, both = sorted(world.entries)
        self.lose_controls(world)
        for host in (first, second):
            world.entries[host]._entry_zones.clear()
        world.run(4.0)
        self.assertEqual([first], self.standbys(world))
        for host in (first, second, both):
            served = self.submit(world, host)
            world.run(1.0)
            self.assertEqual([work.Outcome.COMPLETED], self.outcomes(served))

    def test_hosts_that_started_just_before_the_core_was_lost_meet(self):
        world = hostworld.World(controls=3, entries=2)
        self.addCleanup(world.close)
        world.run(controlhost.ENTRY_NEWS_INTERVAL_S / 2)
        self.lose_controls(world)
        world.run(2.0)
        first, second = sorted(world.entries)
        links = world.nodes[first].links, world.nodes[second].links
        self.assertTrue(links[0].is_linked(second))
        self.assertTrue(links[1].is_linked(first))

    def test_a_leader_without_bumps_left_overtakes_a_standby(self):
        world = self.start()
        alone, other = sorted(world.entries)
        term = world.controls[world.holder()].member.term
        last = tokens.Fence(term, tokens.LEADER_SIDE).token(tokens.MAX_BUMP)
        world.entries[alone]._holder_role.record_token(last)
        world.cut_off(alone, [*world.controls, other])
        self.forget_each_other(world)
        world.run(2.0)
        self.assertEqual([alone], self.standbys(world))
        self.submit(world, other)
        world.run(3.0)
        for _ in range(3):
            served = self.submit(world, other)
            world.run(1.0)
            self.assertEqual([work.Outcome.COMPLETED], self.outcomes(served))

    def test_a_standby_without_bumps_left_overtakes_another(self):
        world = self.start()
        first = min(world.entries)
        term = world.controls[world.holder()].member.term
        gone = tokens.Fence(term, tokens.side_of("10.1.0.9"))
        last = gone.token(tokens.MAX_BUMP)
        self.lose_controls(world)
        for model in self.shared.models.values():
            model.token = last
        for entry in world.entries.values():
            entry._holder_role.record_token(last)
        world.run(2.0)
        self.assertEqual([first], self.standbys(world))
        served = self.submit(world, first)
        world.run(1.0)
        self.assertEqual([work.Outcome.COMPLETED], self.outcomes(served))

    def test_callers_that_try_both_standbys_in_turn_are_served(self):
        world, *hosts = self.start_two_standbys()
        callers = [
            Caller(world, hosts, ids.JobId(f"{number:016x}"))
            for number in range(200)
        ]
        for caller in callers:
            caller.submit()
            world.run(0.25)
        world.run(10.0)
        for caller in callers:
            self.assertIs(work.Outcome.COMPLETED, caller.outcomes[-1])

    def test_a_job_sent_to_the_other_standby_meanwhile_runs_once(self):
        self.shared.task_s = 2.0
        world = self.start()
        fenced, other = sorted(world.entries)
        world.cut_off(fenced, [*world.controls, other])
        self.forget_each_other(world)
        world.run(2.0)
        jobs = [ids.JobId(f"{number:016x}") for number in range(4)]
        first = [Caller(world, [fenced, other], each) for each in jobs]
        for caller in first:
            caller.submit()
        world.run(0.3)
        self.lose_controls(world)
        while not world.entries[other]._holder_role.is_active:
            world.run(0.01)
        second = [Caller(world, [other], each) for each in jobs]
        for caller in second:
            caller.submit()
        world.run(10.0)
        for caller in (*first, *second):
            self.assertIs(work.Outcome.COMPLETED, caller.outcomes[-1])


class Caller:
    """Sends a job to hosts in turn until it is completed."""

    def __init__(self, world, hosts, job):
        self.outcomes = []
        self._world = world
        self._hosts = hosts
        self._job = job

    def submit(self):
        """Send the job to the next host."""
        host = self._hosts[len(self.outcomes) % len(self._hosts)]
        job = test_hosts.job()._replace(id=self._job)
        self._world.entries[host].jobs.submit(job, self._on_answer)

    def _on_answer(self, answer):
        self.outcomes.append(answer.outcome)
        if answer.outcome is not work.Outcome.COMPLETED:
            self._world.heap.call_later(0.5, self.submit)
