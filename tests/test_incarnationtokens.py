"""Fencing tokens of executors that start again under their ids."""

import testtools

from chervilwheel import addresses
from chervilwheel import clock
from chervilwheel import ids
from chervilwheel import timers
from chervilwheel.control import enginerunner
from chervilwheel.control import tokens
from chervilwheel.workers import engine
from chervilwheel.workers import leases
from chervilwheel.workers import work
from tests import test_control

NAME = work.ExecutorId("e")
LEADER = tokens.Fence(7, tokens.LEADER_SIDE)
STANDBY = tokens.Fence(7, tokens.side_of("10.1.0.2"))


class TokenStepsTest(testtools.TestCase):
    """No two holders ever use the same token for any incarnation."""

    def all_tokens(self, fence, bump):
        first, (step, count) = fence.token(bump), fence.steps(bump)
        return {first + number * step for number in range(count + 1)}

    def test_no_other_holder_has_a_token_of_an_incarnation(self):
        fences = [
            tokens.Fence(term, side)
            for term in (6, 7)
            for side in (tokens.LEADER_SIDE, *range(1, 2**16 + 300, 331))
        ]
        seen = {}
        for fence in fences:
            for bump in (0, 1, 2, tokens.MAX_BUMP):
                for token in self.all_tokens(fence, bump):
                    self.assertIs(fence, seen.setdefault(token, fence))
                    self.assertLess(token, 2**53)

    def test_the_next_bump_and_the_next_term_are_above_all_of_a_leader(self):
        highest = max(self.all_tokens(LEADER, 3))
        self.assertGreater(LEADER.token(4), highest)
        self.assertGreater(
            tokens.Fence(8, tokens.LEADER_SIDE).token(3), highest
        )

    def test_a_new_holder_is_above_all_that_were_recorded(self):
        for former in (LEADER, STANDBY):
            for token in self.all_tokens(former, 3):
                for fence in (tokens.Fence(8, 0), STANDBY):
                    new = fence.above(token)
                    self.assertGreater(new.token(new.bump_above(token)), token)


class HoldingPort(test_control.RecordingPort):
    """Keeps the callbacks of renewals, by their order."""

    def __init__(self):
        super().__init__()
        self.holds = []

    def hold(self, order, done):
        super().hold(order, done)
        self.holds.append((order, done))


class RunnerTest(testtools.TestCase):
    """A holder raises its own token only if a present one is fenced off."""

    def runner(self, fence):
        self.clk = clock.ManualClock()
        self.heap = timers.TimerHeap(clk=self.clk, on_error=self.fail)
        self.port = HoldingPort()
        job_engine = engine.Engine(
            token=fence.token(0),
            reports_complete_at=0.0,
            now=self.clk.now(),
            lease_limits=leases.LeaseLimits(1.0, 0.05),
            token_steps=fence.steps(0),
        )
        self.bumps_used = 0
        return enginerunner.EngineRunner(
            heap=self.heap,
            port=self.port,
            job_engine=job_engine,
            fence=fence,
            bump=0,
            notify=self.fail,
            may_send_orders=lambda: True,
        )

    def restart(self, runner, born_ms):
        """Report an incarnation; returns the order that is sent to it."""
        runner.report(
            work.ExecutorReport(
                id=NAME,
                service=ids.ServiceId("s"),
                address=addresses.Address("10.0.0.9", 80),
                zone=ids.ZoneId("north"),
                room=work.Room(1_000, 1_000),
                labels=(),
                is_draining=False,
                is_gone=False,
                remaining_ms=0,
                clock_ms=1,
                sequence=1,
                born_ms=born_ms,
            )
        )
        return self.port.holds[-1]

    def test_each_incarnation_has_a_higher_token(self):
        for fence in (LEADER, STANDBY):
            runner = self.runner(fence)
            sent = [self.restart(runner, born)[0].token for born in (5, 6, 7)]
            self.assertEqual(sorted(set(sent)), sent)
            self.assertEqual(fence.token(0), runner.engine.token)
            self.assertEqual(sent[-1], runner.engine.highest_token)

    def test_it_is_higher_after_the_executor_was_forgotten(self):
        runner = self.runner(LEADER)
        first, done = self.restart(runner, 5)
        executor = runner.engine.executors[NAME]
        gone = executor.report._replace(
            is_gone=True, sequence=work.LAST_SEQUENCE
        )
        runner.report(gone)
        done(work.HoldAnswer(work.HoldVerdict.HELD, 1, born_ms=5))
        self.assertNotIn(NAME, runner.engine.executors)
        later, _ = self.restart(runner, 6)
        self.assertGreater(later.token, first.token)

    def test_an_order_to_a_former_incarnation_raises_nothing(self):
        runner = self.runner(LEADER)
        _, done = self.restart(runner, 5)
        self.restart(runner, 6)
        done(work.HoldAnswer(work.HoldVerdict.FENCED))
        self.assertEqual(LEADER.token(0), runner.engine.token)

    def test_a_present_order_that_is_fenced_off_raises_the_token_of_all(self):
        runner = self.runner(LEADER)
        self.restart(runner, 5)
        order, done = self.restart(runner, 6)
        done(work.HoldAnswer(work.HoldVerdict.FENCED))
        self.assertEqual(LEADER.token(1), runner.engine.token)
        self.assertGreater(runner.engine.token, order.token)
        self.assertEqual(runner.engine.token, runner.engine.highest_token)

    def test_a_leader_without_steps_left_uses_its_next_bump(self):
        runner = self.runner(LEADER)
        count = LEADER.steps(0).count
        sent = [
            self.restart(runner, born)[0].token for born in range(1, count + 2)
        ]
        self.assertEqual(count + 1, len(set(sent)))
        self.assertEqual(LEADER.token(0), runner.engine.token)
        self.restart(runner, count + 2)
        self.clk.advance(enginerunner.TICK_S)
        self.heap.run_due()
        self.assertEqual(LEADER.token(1), runner.engine.token)
        self.assertGreater(self.port.holds[-1][0].token, max(sent))
