"""Tests of the speeds that tasks need, and of the placement by them."""

import testtools

from chervilwheel import addresses
from chervilwheel import ids
from chervilwheel.workers import executors
from chervilwheel.workers import jobstate
from chervilwheel.workers import placement
from chervilwheel.workers import speedneeds
from chervilwheel.workers import speeds
from chervilwheel.workers import work

SERVICE = ids.ServiceId("service")
ROOM = work.Room(32_000, 64)
NOW = 1000.0


def executor(name, speed, *, cpu=64_000):
    return executors.Executor(
        report=work.ExecutorReport(
            id=work.ExecutorId(name),
            service=SERVICE,
            address=addresses.Address("127.0.0.1", 80),
            zone=ids.ZoneId("zone"),
            room=work.Room(cpu, 65_536),
            labels=(),
            is_draining=False,
            is_gone=False,
            remaining_ms=0,
            clock_ms=1,
            sequence=1,
        ),
        last_report_at=NOW,
        stop_s=0.05,
        is_synced=True,
        speed=speed,
    )


def job_state(estimated_ms, *, waited_ms=0):
    job = work.Job(
        id=ids.JobId("j"),
        queue="q",
        service=SERVICE,
        priority=1,
        attempts=3,
        stretch=1.6,
        target_ms=63,
        patience_ms=10_000,
        spec="",
        steps=(work.Step(1, ROOM, estimated_ms),),
        waited_ms=waited_ms,
    )
    return jobstate.JobState(job=job, entry=ids.InstanceId("e"), now=NOW)


class SpeedNeedTest(testtools.TestCase):
    def need(self, estimated_ms, *, top_speed=1.6, factor=1.0, **options):
        state = job_state(estimated_ms, **options)
        step = state.job.steps[0]
        return speedneeds.speed_need(
            state, step, NOW, factor=factor, top_speed=top_speed
        )

    def test_a_long_task_needs_a_faster_executor_than_a_short_one(self):
        self.assertGreater(self.need(760).least, 0.6)
        self.assertLess(self.need(51).least, 0.6)
        self.assertGreater(self.need(760).preferred, 1.0)
        self.assertLess(self.need(51).preferred, 0.8)

    def test_no_task_needs_more_than_there_is(self):
        need = self.need(760, top_speed=0.6)
        self.assertEqual(0.6, need.preferred)
        self.assertLess(need.least, 0.6)

    def test_a_task_waits_only_until_its_job_may_be_refused(self):
        # Guards against a refusal while an executor is free.
        limit_ms = int(0.6 * 760 + 63)
        before = self.need(760, waited_ms=limit_ms - 50)
        after = self.need(760, waited_ms=limit_ms + 1)
        self.assertGreater(before.least, 1.0)
        self.assertLess(after.least, 0.6)

    def test_a_task_that_no_executor_ends_in_time_takes_any(self):
        self.assertEqual(0.0, self.need(760, waited_ms=1_000).preferred)

    def test_an_answer_that_would_not_count_needs_a_faster_executor(self):
        waited_ms = int(3 * (1.6 * 760 + 63) - 760 / 0.8)
        need = self.need(760, waited_ms=waited_ms)
        self.assertAlmostEqual(0.8, need.least, places=2)

    def test_a_queue_that_takes_longer_needs_faster_executors(self):
        self.assertGreater(
            self.need(170, factor=1.5).least, 1.4 * self.need(170).least
        )


class SpeedNeedsTest(testtools.TestCase):
    def needs(self, *known):
        table = speeds.SpeedTable()
        table.slow = 1
        by_id = {each.id: each for each in known}
        return speedneeds.SpeedNeeds(executors_by_id=by_id, speed_table=table)

    def test_few_tasks_wait_for_few_fast_executors(self):
        # Guards against slow executors that stay idle under a backlog.
        needs = self.needs(
            *(executor(f"slow-{n}", 0.6) for n in range(9)),
            executor("fast-1", 1.6),
            executor("fast-2", 1.6),
        )
        state = job_state(760)
        step = state.job.steps[0]
        waits = [
            needs.need(state, step, delayed=delayed, now=NOW).least > 0.6
            for delayed in range(3)
        ]
        self.assertEqual([True, False, False], waits)

    def test_executors_that_start_nothing_are_not_waited_for(self):
        # Guards against a wait for executors that drain or are closed.
        stopped = executor("fast", 1.6)
        stopped.is_synced = False
        needs = self.needs(executor("slow", 0.6), stopped)
        state = job_state(760)
        need = needs.need(state, state.job.steps[0], delayed=0, now=NOW)
        self.assertLess(need.least, 0.6)


class ChoiceTest(testtools.TestCase):
    def choose(self, candidates, need):
        step = work.Step(1, ROOM, 760)
        task = work.TaskId(ids.JobId("j"), 0, 0)
        return placement.choose(candidates, task, step, need=need)

    def test_slow_executors_come_last(self):
        slow, nominal = executor("slow", 0.6), executor("nominal", 1.0)
        need = speedneeds.SpeedNeed(preferred=0.9)
        self.assertIs(nominal, self.choose([slow, nominal], need))
        self.assertIs(slow, self.choose([slow], need))

    def test_too_slow_executors_are_not_used(self):
        need = speedneeds.SpeedNeed(preferred=0.9, least=0.75)
        self.assertIsNone(self.choose([executor("slow", 0.6)], need))

    def test_the_number_of_candidates_is_bounded(self):
        # Guards against a cost that grows with the number of executors.
        examined = []

        def candidates():
            for number in range(350):
                examined.append(number)
                yield executor(f"slow-{number}", 0.6)

        for least in (0.0, 0.75):
            examined.clear()
            need = speedneeds.SpeedNeed(preferred=0.9, least=least)
            self.choose(candidates(), need)
            self.assertLessEqual(
                len(examined), placement.MAX_SLOW_CANDIDATES + 1
            )
