"""Orders that arrive after their executor has started again under its id."""

import functools

import testtools

from chervilwheel.workers import engine
from chervilwheel.workers import latestarts
from chervilwheel.workers import work
from tests import workerworld

PATIENCE_MS = 60_000
# Longer than all that a holder waits for.
TASK_S = 3.0
# Time from the start of an incarnation to the late order, seconds. With a
# first heartbeat after 0.05 or 1 s and a poll within 0.15 s, it comes before,
# between and after the first heartbeat and the first answer.
ARRIVALS_S = (0.0004, 0.002, 0.01, 0.04, 0.052, 0.1, 0.2, 0.6, 1.1)
HEARTBEATS_S = (0.05, 1.0)
DOWN_S = 0.3


class LateNetwork(workerworld.Network):
    """Holds up one order until it is released.

    :param kind: the class of the order
    """

    def __init__(self, *, rng, kind=work.StartOrder):
        super().__init__(rng=rng)
        self._kind = kind
        self.held_up = None

    def is_held_up(self, order):
        """Whether to hold up this order."""
        return self.held_up is None and isinstance(order, self._kind)

    def sample_delivery(self, worker, holder=None, order=None):
        """Choose how an order is delivered, and its delay in seconds."""
        if self.is_held_up(order):
            self.held_up = order
            return "lost", 0.0
        if worker in self.unreachable_from.get(holder, self.cut):
            return "lost", 0.0
        return "ok", 0.001


class RenewalNetwork(LateNetwork):
    """Holds up the next order that renews the lease of one executor.

    :param name: the executor
    """

    def __init__(self, *, rng, name):
        super().__init__(rng=rng, kind=work.HoldOrder)
        self._name = name

    def is_held_up(self, order):
        """Whether to hold up this order."""
        return (
            super().is_held_up(order)
            and order.executor == self._name
            and order.deadline_ms > 0
        )


class LateOrderTest(testtools.TestCase):
    """The world checks at each event that no task runs twice."""

    def world(self, **options):
        world = workerworld.World(
            reports_born=True, **{"workers": 3, **options}
        )
        world.run(4.0)
        return world

    def submit_late(self, world, *, work_s=TASK_S, patience_ms=PATIENCE_MS):
        """Submit a job whose start is held up; returns it and the order."""
        world.net = LateNetwork(rng=world.rng)
        job = world.submit(
            tasks=1,
            work_s=work_s,
            patience_ms=patience_ms,
            target_ms=PATIENCE_MS,
        )
        return job, world.net.held_up

    def arrive(self, world, order):
        """Deliver an order that was held up to the present incarnation."""
        model = world.workers[order.executor]
        self.assertNotEqual(order.born_ms, model.born_ms)
        starts = model.starts
        if isinstance(order, work.StartOrder):
            world._deliver_start(order)
        else:
            model.renew_lease(
                deadline_ms=order.deadline_ms,
                token=order.token,
                acked_upto=order.acked_upto,
                now=world.now,
            )
        world.check()
        return model.starts > starts

    def restart(self, world, order, *, arrival_s, heartbeat_s, down_s=DOWN_S):
        """Start an executor again, and deliver the order after that."""
        world.restart_under_id(
            order.executor, down_s=down_s, report_s=heartbeat_s
        )
        world.at(down_s + arrival_s, lambda: self.arrive(world, order))

    def schedules(self):
        for arrival_s in ARRIVALS_S:
            for heartbeat_s in HEARTBEATS_S:
                yield {"arrival_s": arrival_s, "heartbeat_s": heartbeat_s}

    def check_once(self, play):
        """Play all schedules; list those in which a task runs twice."""
        broken = []
        for schedule in self.schedules():
            try:
                world, job = play(**schedule)
                world.run(15.0)
            except workerworld.InvariantError as exc:
                broken.append((schedule, str(exc)))
                continue
            self.assertIs(work.Outcome.COMPLETED, world.outcome(job))
        self.assertEqual([], broken)

    def test_a_start_without_an_answer_when_its_executor_crashes(self):
        def play(**schedule):
            world = self.world()
            job, order = self.submit_late(world)
            world.run(0.01)
            self.restart(world, order, **schedule)
            return world, job

        self.check_once(play)

    def test_a_start_without_an_answer_at_a_crash_that_is_seen_late(self):
        # Its task may start elsewhere once the leases have ended.
        def play(**schedule):
            world = self.world()
            job, order = self.submit_late(world)
            world.run(0.01)
            self.restart(world, order, down_s=2.0, **schedule)
            return world, job

        self.check_once(play)

    def test_a_start_carried_out_late_is_the_only_one_of_its_task(self):
        # It arrives before the first order to the new incarnation.
        for work_s in (0.02, TASK_S):
            world = self.world()
            job, order = self.submit_late(world, work_s=work_s)
            world.run(0.01)
            self.restart(
                world, order, down_s=2.0, arrival_s=0.0004, heartbeat_s=0.05
            )
            world.run(8.0)
            self.assertIs(work.Outcome.COMPLETED, world.outcome(job))
            self.assertEqual(1, world.starts_of[order.task])

    def test_a_list_that_was_overtaken_shows_no_late_start(self):
        # It lists a later run of the task, which has ended since.
        world = self.world(workers=1)
        job, order = self.submit_late(world, work_s=0.5)
        world.run(0.6)
        executor = world.engine.executors[order.executor]
        self.assertEqual(order.run + 1, executor.runs[order.task].number)
        answer = world._hold_answer(world.workers[order.executor])
        self.assertEqual(1, len(answer.running))
        sent_at = world.now
        while job not in world.answers and world.now < sent_at + 2.0:
            world.run(0.005)
        self.assertIs(work.Outcome.COMPLETED, world.outcome(job))
        hold = work.HoldOrder(
            executor=executor.id,
            address=executor.report.address,
            deadline_ms=0,
            token=order.token,
            acked_upto=0,
            wait_ms=0,
            is_poll=True,
            born_ms=executor.born_ms,
        )
        with self.assertNoLogs("engine"):
            world.engine.held(hold, answer, sent_at, world.now)

    def test_the_caller_is_answered_while_the_executor_is_away(self):
        # The start may still arrive, so that the task isn't begun elsewhere.
        world = self.world()
        job, order = self.submit_late(world, work_s=0.2, patience_ms=1_500)
        world.run(0.01)
        world.restart_under_id(order.executor, down_s=10.0)
        world.run(4.0)
        at, answer = world.answers[job]
        self.assertIs(work.Outcome.LOST, answer.outcome)
        self.assertEqual(engine.LOSSES, answer.reason)
        self.assertAlmostEqual(1.3, at - world.submitted_at[job], delta=0.05)
        self.assertEqual(0, sum(world.starts_of.values()))

    def test_a_start_older_than_any_late_order_holds_nothing_back(self):
        world = self.world()
        job, order = self.submit_late(world, work_s=0.2)
        world.run(0.01)
        world.restart_under_id(order.executor, down_s=60.0)
        world.run(latestarts.MAX_ORDER_DELAY_S - 0.1)
        self.assertIsNone(world.outcome(job))
        world.run(2.0)
        self.assertIs(work.Outcome.COMPLETED, world.outcome(job))

    def test_without_a_start_time_an_executor_has_a_new_id(self):
        # Its former incarnation's orders name another one.
        world = workerworld.World(workers=3)
        world.run(4.0)
        job, order = self.submit_late(world, work_s=0.2, patience_ms=1_500)
        world.run(0.01)
        world.crash(order.executor, restart_s=10.0)
        world.run(1.4)
        self.assertIs(work.Outcome.COMPLETED, world.outcome(job))

    def test_a_start_that_was_given_up_while_its_task_runs_elsewhere(self):
        def play(**schedule):
            world = self.world()
            job, order = self.submit_late(world)
            world.drain(order.executor)
            world.run(0.6)
            self.assertEqual(1, sum(world.starts_of.values()))
            self.restart(world, order, **schedule)
            return world, job

        self.check_once(play)

    def test_a_start_that_was_given_up_while_its_task_runs_there(self):
        # The next run is lost in the crash.
        def play(**schedule):
            world = self.world()
            busy = world.submit(tasks=5, work_s=0.5, patience_ms=PATIENCE_MS)
            world.run(0.02)
            job, order = self.submit_late(world)
            world.run(0.6)
            self.assertIn(busy, world.answers)
            self.restart(world, order, **schedule)
            return world, job

        self.check_once(play)

    def test_a_start_that_arrives_after_new_orders(self):
        def play(**schedule):
            world = self.world()
            job, order = self.submit_late(world)
            world.drain(order.executor)
            world.run(0.6)
            self.restart(world, order, **schedule)
            # All executors get new tasks as soon as they may have some.
            for _ in range(3):
                world.submit(tasks=2, work_s=0.3, patience_ms=PATIENCE_MS)
            return world, job

        self.check_once(play)

    def test_a_start_that_arrives_after_a_second_restart(self):
        def play(arrival_s, heartbeat_s):
            world = self.world()
            job, order = self.submit_late(world)
            world.drain(order.executor)
            world.run(0.6)
            world.restart_under_id(
                order.executor, down_s=DOWN_S, report_s=0.05
            )
            world.run(0.8)
            self.restart(
                world, order, arrival_s=arrival_s, heartbeat_s=heartbeat_s
            )
            return world, job

        self.check_once(play)

    def test_a_start_of_a_former_submission_of_its_job(self):
        # The job is given up and sent again under its id.
        def play(**schedule):
            world = self.world()
            job, order = self.submit_late(world)
            world.run(0.01)
            world.cancel(job, work.Outcome.LOST)
            world.run(0.4)
            self.restart(world, order, **schedule)
            world.run(0.1)
            del world.answers[job]
            world.repeat_offer(job, submission=2)
            return world, job

        self.check_once(play)

    def test_a_start_given_up_that_arrives_after_a_restart_in_no_time(self):
        # The crash is noticed only after the start has arrived.
        def play(**schedule):
            world = self.world()
            job, order = self.submit_late(world)
            world.drain(order.executor)
            world.run(0.6)
            self.restart(world, order, down_s=0.05, **schedule)
            return world, job

        self.check_once(play)

    def test_a_start_given_up_that_arrives_at_once_where_stops_are_slow(self):
        # The run elsewhere is stopped as soon as the crash is noticed.
        def play(**schedule):
            world = self.world(worker_options={"stop_s": workerworld.STOP_S})
            job, order = self.submit_late(world)
            world.drain(order.executor)
            world.run(0.6)
            self.restart(world, order, down_s=0.05, **schedule)
            return world, job

        self.check_once(play)

    def test_the_crash_of_a_watched_executor_is_noticed_at_once(self):
        # It ends the connection of the call that the executor answers late.
        for offset_s in (0.0, 0.05, 0.1, 0.15, 0.2):
            world = self.world()
            _, order = self.submit_late(world)
            world.drain(order.executor)
            world.run(0.6 + offset_s)
            executor = world.engine.executors[order.executor]
            self.assertEqual({}, executor.runs)
            renewal = executor.renewal
            world.run(1.0)
            self.assertThat(
                executor.renewal - renewal, testtools.matchers.LessThan(6)
            )
            world.restart_under_id(order.executor, down_s=0.5)
            world.run(0.015)
            self.assertNotEqual(0.0, executor.unreachable_since, offset_s)

    def test_a_start_of_a_former_leader(self):
        # The next one doesn't know of the order.
        def play(**schedule):
            world = self.world()
            job, order = self.submit_late(world)
            world.run(0.01)
            self.restart(world, order, down_s=2.0, **schedule)
            world.run(0.05)
            world.switch_holder(knows_all=True)
            return world, job

        self.check_once(play)

    def test_a_start_of_a_former_leader_that_was_given_up(self):
        def play(**schedule):
            world = self.world()
            job, order = self.submit_late(world)
            world.drain(order.executor)
            world.run(0.6)
            world.switch_holder(knows_all=True)
            world.run(0.6)
            self.restart(world, order, **schedule)
            return world, job

        self.check_once(play)

    def test_a_start_of_a_leader_that_ends_as_it_sends_it(self):
        # No time passes in which it could have found out about the answer.
        def play(**schedule):
            world = self.world()
            job, order = self.submit_late(world)
            world.switch_holder(knows_all=True)
            self.restart(world, order, down_s=2.0, **schedule)
            return world, job

        self.check_once(play)

    def test_a_start_of_the_leader_before_the_former_one(self):
        # It was given up by its own leader or by the next one.
        for given_up_s in (0.0, 0.6):

            def play(given_up_s=given_up_s, **schedule):
                world = self.world()
                job, order = self.submit_late(world)
                world.drain(order.executor)
                world.run(given_up_s)
                world.switch_holder(knows_all=True)
                world.run(0.6)
                world.switch_holder(knows_all=True)
                world.run(0.6)
                self.restart(world, order, **schedule)
                return world, job

            self.check_once(play)

    def test_a_start_of_a_former_leader_of_a_job_that_is_sent_again(self):
        # Its caller had no answer that stands; the entry host knows the start.
        def play(**schedule):
            world = self.world()
            job, order = self.submit_late(world)
            world.run(0.01)
            world.cancel(job, work.Outcome.LOST)
            world.run(0.4)
            world.switch_holder(knows_all=True)
            self.restart(world, order, **schedule)
            world.run(0.1)
            del world.answers[job]
            world.repeat_offer(job, submission=2)
            return world, job

        self.check_once(play)

    def test_a_start_of_a_former_leader_that_the_next_one_finds_running(self):
        # It was carried out late, before the next leader's first list.
        world = self.world()
        job, order = self.submit_late(world)
        world.drain(order.executor)
        world._deliver_start(order)
        world.switch_holder(knows_all=True)
        world.run(8.0)
        self.assertIs(work.Outcome.COMPLETED, world.outcome(job))
        self.assertEqual(1, world.starts_of[order.task])
        self.assertEqual((), world.open_starts.of_job(job, world.now))

    def test_a_start_that_was_answered_holds_nothing_back_at_the_next(self):
        # Only starts without an answer can be late.
        world = self.world()
        job = world.submit(
            tasks=1,
            work_s=TASK_S,
            patience_ms=PATIENCE_MS,
            target_ms=PATIENCE_MS,
        )
        world.run(0.1)
        (task,) = world.starts_of
        (name,) = (n for n, m in world.workers.items() if m.running)
        self.assertEqual((), world.open_starts.of_job(job, world.now))
        world.switch_holder(knows_all=True)
        world.restart_under_id(name, down_s=60.0)
        world.run(2.0)
        self.assertEqual(2, world.starts_of[task])

    def test_an_answered_start_is_forgotten_by_the_entry_host(self):
        world = self.world()
        jobs = [
            world.submit(tasks=3, work_s=work_s, patience_ms=PATIENCE_MS)
            for work_s in (0.02, 0.5)
        ]
        world.run(0.2)
        self.assertIs(work.Outcome.COMPLETED, world.outcome(jobs[0]))
        self.assertEqual((), world.open_starts.of_job(jobs[1], world.now))

    def test_a_start_of_a_standby(self):
        # The executor crashes during the cut and is back after it.
        def play(**schedule):
            world = self.world(workers=4)
            names = list(world.workers)
            world.cut_off(names[:2], wait_s=0.5)
            world.run(3.0)
            world.net = LateNetwork(rng=world.rng)
            world.net.cut = set(names[:2])
            world.net.unreachable_from = {world.standby: set(names[2:])}
            job = world.submit(
                tasks=1,
                work_s=TASK_S,
                patience_ms=PATIENCE_MS,
                target_ms=PATIENCE_MS,
                entry=workerworld.FAR_ENTRY,
            )
            order = world.net.held_up
            self.assertIn(order.executor, names[:2])
            world.run(0.01)
            self.restart(world, order, down_s=2.0, **schedule)
            world.run(0.3)
            world.heal()
            return world, job

        self.check_once(play)

    def test_a_renewal_does_not_make_runs_outlast_their_lease(self):
        # After the restart the executor is cut off while it runs a task.
        def play(arrival_s, heartbeat_s):
            world = self.world(workers=2)
            first = world.submit(
                tasks=2, cpu=20_000, work_s=1.0, patience_ms=PATIENCE_MS
            )
            world.run(0.1)
            (name, *_) = world.workers
            world.net = RenewalNetwork(rng=world.rng, name=name)
            world.run(0.5)
            order = world.net.held_up
            world.restart_under_id(name, down_s=0.05, report_s=heartbeat_s)
            world.run(1.5)
            self.assertIn(first, world.answers)
            job = world.submit(
                tasks=2,
                cpu=20_000,
                work_s=TASK_S,
                patience_ms=PATIENCE_MS,
                target_ms=PATIENCE_MS,
            )
            world.run(0.2)
            self.assertEqual(1, len(world.workers[name].running))
            world.net.cut.add(name)
            # While the lease lasts.
            world.at(min(arrival_s, 0.5), lambda: self.arrive(world, order))
            world.run(0.5)
            for other in list(world.workers):
                if other != name:
                    world.add_worker()
            world.run(4.0)
            world.net.cut.clear()
            return world, job

        self.check_once(play)

    def test_a_renewal_does_not_make_an_end_be_forgotten(self):
        # It acknowledges ends by the numbers of the former incarnation.
        started_again = []
        for offset_ms in range(24):
            world = self.world(workers=1)
            for _ in range(10):
                world.submit(tasks=1, work_s=0.06, patience_ms=PATIENCE_MS)
                world.run(0.1)
            (name,) = world.workers
            world.net = RenewalNetwork(rng=world.rng, name=name)
            world.submit(tasks=1, work_s=0.06, patience_ms=PATIENCE_MS)
            world.run(0.5)
            order = world.net.held_up
            self.assertGreater(order.acked_upto, 5)
            world.restart_under_id(name, down_s=0.05, report_s=0.05)
            world.run(0.5)
            job = world.submit(tasks=1, work_s=0.1, patience_ms=PATIENCE_MS)
            world.at(
                0.09 + offset_ms / 1000,
                functools.partial(self.arrive, world, order),
            )
            world.run(3.0)
            self.assertIs(work.Outcome.COMPLETED, world.outcome(job))
            (task,) = [t for t in world.starts_of if t.job == job]
            if world.starts_of[task] > 1:
                started_again.append(offset_ms)
        self.assertEqual([], started_again)
