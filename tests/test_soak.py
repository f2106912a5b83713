"""The soak: schedules, rules, links, and one short run of real processes."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import testtools

from soak import callers
from soak import commands
from soak import judge
from soak import links
from soak import schedules

ROOT = pathlib.Path(__file__).parent.parent
TIMEOUT_S = 150.0
# Rules that hold however slow the machine is.
TIMELESS_RULES = {"TWICE", "REFUSED", "FAULT"}
TASK = "0000000000000001.0.0.0"


def cut_and_stop(at=3.0):
    """Return a schedule that cuts the leader's executors and stops it."""
    events = (
        schedules.Event(
            at=at,
            kind=schedules.Kind.CUT,
            for_s=4.0,
            scope=schedules.Scope.EXECUTORS,
        ),
        schedules.Event(at=at + 0.1, kind=schedules.Kind.PLANNED, for_s=0.5),
    )
    rates = (schedules.SLOWEST_RATE,) * schedules.EXECUTOR_COUNT
    return schedules.Schedule(seed=1, rates=rates, events=events)


class FolderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.path = self.folder / "schedule.json"


class ScheduleTest(FolderTest):
    def test_a_seed_gives_one_schedule(self):
        self.assertEqual(schedules.generate(7), schedules.generate(7))
        self.assertNotEqual(schedules.generate(7), schedules.generate(8))

    def test_every_kind_and_scope_occurs(self):
        events = [e for n in range(30) for e in schedules.generate(n).events]
        self.assertEqual(set(schedules.Kind), {e.kind for e in events})
        self.assertEqual(set(schedules.Scope), {e.scope for e in events})

    def test_a_saved_schedule_is_the_same_when_loaded(self):
        for seed in range(20):
            schedule = schedules.generate(seed)
            schedules.save(schedule, self.path)
            self.assertEqual(schedule, schedules.load(self.path))

    def test_mutants_fit_the_code_and_their_schedules_can_be_loaded(self):
        patches = sorted((ROOT / "soak" / "mutants").glob("*.patch"))
        self.assertNotEqual([], patches)
        for path in patches:
            command = ["git", "apply", "--check", str(path)]
            subprocess.run(command, cwd=ROOT, check=True)
            schedules.load(path.with_suffix(".json"))

    def load_changed(self, change):
        schedules.save(cut_and_stop(), self.path)
        value = json.loads(self.path.read_text())
        change(value)
        self.path.write_text(json.dumps(value))
        return schedules.load(self.path)

    def test_an_invalid_schedule_is_refused(self):
        changes = {
            "unknown kind": lambda v: v["events"][0].update(kind="flood"),
            "unknown scope": lambda v: v["events"][0].update(scope="moon"),
            "no scope": lambda v: v["events"][0].update(scope="none"),
            "scope of a stop": lambda v: v["events"][1].update(scope="zone"),
            "unknown field": lambda v: v["events"][0].update(of="control-a"),
            "too long": lambda v: v["events"][0].update(for_s=100),
            "before the run": lambda v: v["events"][0].update(at=-1),
            "not a number": lambda v: v["events"][0].update(at="3"),
            "not finite": lambda v: v["events"][0].update(at=float("nan")),
            "not in order": lambda v: v["events"].reverse(),
            "no events": lambda v: v["events"].clear(),
            "missing key": lambda v: v.pop("rates"),
            "few rates": lambda v: v["rates"].pop(),
            "too slow": lambda v: v["rates"].append(v["rates"].pop() - 0.01),
            "no seed": lambda v: v.update(seed=None),
        }
        for name, change in changes.items():
            with testtools.ExpectedException(
                schedules.ScheduleError, msg=name
            ):
                self.load_changed(change)

    def test_a_file_that_cannot_be_read_is_refused(self):
        for text in ("", "{", "[]", "3"):
            self.path.write_text(text)
            with testtools.ExpectedException(schedules.ScheduleError):
                schedules.load(self.path)
        self.path.unlink()
        with testtools.ExpectedException(schedules.ScheduleError):
            schedules.load(self.path)

    def test_bad_arguments_are_refused_before_anything_starts(self):
        def must_not_run(*_):
            self.fail("a run was started")

        self.patch(commands, "_run", must_not_run)
        self.patch(sys, "stderr", open(os.devnull, "w"))  # noqa: SIM115
        self.path.write_text("{}")
        for args in (
            ["--seeds", "0"],
            ["--seeds", "x"],
            ["--jobs", "0"],
            ["--schedule", str(self.path)],
            ["--schedule", str(self.folder / "missing.json")],
            ["--seeds", "2", "--save", str(self.path)],
            ["--keep", str(self.path)],
            ["--keep", str(self.path), "--schedule", str(self.path)],
        ):
            exc = self.assertRaises(SystemExit, commands.main, args)
            self.assertEqual(2, exc.code, args)

    def test_a_schedule_is_saved_without_a_run(self):
        args = ["--seed", "5", "--save", str(self.path)]
        self.assertEqual(0, commands.main(args))
        self.assertEqual(schedules.generate(5), schedules.load(self.path))


def run(began_at, ended_at, *, number=1, executor="w-1", task=TASK):
    return judge.Run(task, number, executor, began_at, ended_at)


def attempt(status, sent_at=10.0, ended_at=11.0, host="entry-a", job=1):
    return callers.Attempt(
        job=f"{job:016x}",
        host=host,
        sent_at=sent_at,
        ended_at=ended_at,
        status=status,
    )


def rules(found):
    return [finding.rule for finding in found]


class JudgeTest(FolderTest):
    def test_two_runs_at_the_same_time_are_found(self):
        for runs in (
            [run(1, 3), run(2, 4, number=2, executor="w-2")],
            [run(1, 9), run(2, 3, number=2), run(4, 5, number=3)],
            [run(1, float("inf")), run(8, 9, number=2)],
            [run(1, 2.002), run(2, 4, number=2)],
        ):
            self.assertIn("TWICE", rules(judge.check_twice(runs)), runs)

    def test_runs_after_each_other_or_of_other_tasks_are_allowed(self):
        other = "0000000000000001.0.0.1"
        for runs in (
            [run(1, 2), run(2, 3, number=2, executor="w-2")],
            [run(1, 3), run(2, 4, task=other)],
        ):
            self.assertEqual([], judge.check_twice(runs))

    def test_a_run_without_an_end_is_still_running(self):
        rows = [
            [1.0, "start", "w-1", TASK, 1, ""],
            [2.0, "start", "w-2", TASK, 2, ""],
            [3.0, "end", "w-2", TASK, 2, "done"],
        ]
        path = self.folder / "runs.jsonl"
        path.write_text("".join(json.dumps(row) + "\n" for row in rows))
        runs = judge.read_runs(path)
        self.assertEqual(
            [run(1, float("inf")), run(2, 3, number=2, executor="w-2")], runs
        )
        self.assertEqual(["TWICE"], rules(judge.check_twice(runs)))

    def test_a_start_after_nothing_but_refusals_is_found(self):
        runs = [run(1, 2)]
        refused = [attempt(503), attempt(429)]
        found = judge.check_refused(runs, refused)
        self.assertEqual(["REFUSED"], rules(found))
        for status in (200, 0, 502, 504, None):
            attempts = [*refused, attempt(status)]
            self.assertEqual([], judge.check_refused(runs, attempts))
        self.assertEqual([], judge.check_refused(runs, [attempt(503, job=2)]))

    def test_a_missing_answer_of_an_undisturbed_host_is_found(self):
        missing = [attempt(0)]
        calm = [
            judge.Disturbance("entry-b", 9, 12),
            judge.Disturbance("entry-a", 1, 6.9),
            judge.Disturbance("entry-a", 11.1, 12),
        ]
        self.assertEqual(["LOST"], rules(judge.check_answers(missing, calm)))
        for times in ((9, 10.5), (1, 7.1), (10.9, 12), (10.2, 10.3)):
            disturbed = [judge.Disturbance("entry-a", *times)]
            self.assertEqual([], judge.check_answers(missing, disturbed))
        answered = [attempt(200), attempt(503), attempt(None)]
        self.assertEqual([], judge.check_answers(answered, []))

    def test_a_caller_that_gave_up_is_found_unless_a_fault_acted(self):
        gave_up = [attempt(0, ended_at=10 + callers.PATIENCE_S)]
        self.assertEqual(["LOST"], rules(judge.check_answers(gave_up, [])))
        other = [judge.Disturbance("entry-b", 9, 12)]
        self.assertEqual([], judge.check_answers(gave_up, other))

    def test_ends_and_unserved_hosts_are_found(self):
        self.assertEqual(["FAULT"], rules(judge.check_processes(["x"])))
        self.assertEqual(["RECOVER"], rules(judge.check_recovery(["entry-a"])))


class LinksTest(testtools.TestCase):
    def test_overlapping_cuts_heal_one_by_one(self):
        net = links.Links()
        net.cut([("a", "b")])
        net.cut([("a", "b"), ("b", "a")])
        net.heal([("a", "b")])
        self.assertTrue(net.is_cut("a", "b"))
        net.heal([("a", "b"), ("b", "a")])
        self.assertFalse(net.is_cut("a", "b"))
        self.assertFalse(net.has_cuts)

    def test_a_cut_direction_holds_messages_up_until_it_heals(self):
        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        async def exchange(pair):
            net = links.Links()
            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            relay = links.Relay(
                links=net,
                pair=("a", "b"),
                listen=("127.0.0.1", 0),
                target=server.sockets[0].getsockname(),
            )
            await relay.open()
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(b"1")
            self.assertEqual(b"1", await reader.read(1))
            net.cut([pair])
            writer.write(b"2")
            answer = asyncio.create_task(reader.read(1))
            done, _ = await asyncio.wait([answer], timeout=0.1)
            self.assertEqual(set(), done)
            net.heal([pair])
            self.assertEqual(b"2", await answer)
            writer.close()
            relay.close()
            server.close()
            handlers = asyncio.all_tasks() - {asyncio.current_task()}
            await asyncio.wait(handlers)

        for pair in (("a", "b"), ("b", "a")):
            asyncio.run(exchange(pair))


class RunTest(FolderTest):
    def start(self, *args):
        command = [sys.executable, "-m", *map(str, args)]
        env = {**os.environ, "TMPDIR": str(self.folder)}
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=env,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.terminate)
        return process

    def pids(self):
        """List the processes with settings in the folder of the test."""
        found = []
        for path in pathlib.Path("/proc").glob("[0-9]*/environ"):
            try:
                if str(self.folder).encode() in path.read_bytes():
                    found.append(int(path.parent.name))
            except OSError:
                continue
        return found

    def test_a_planned_stop_of_a_leader_whose_executors_are_cut_off(self):
        schedules.save(cut_and_stop(), self.path)
        process = self.start("soak.playing", self.path, self.folder)
        output, _ = process.communicate(timeout=TIMEOUT_S)
        result = json.loads((self.folder / "result.json").read_text())
        self.assertGreater(result["runs"], 0)
        broken = [
            finding
            for finding in result["findings"]
            if finding["rule"] in TIMELESS_RULES
        ]
        self.assertEqual([], broken, output)
        self.assertEqual([], self.pids())

    def test_an_interrupted_soak_ends_its_processes(self):
        process = self.start("soak", "--seed", 1)
        end = time.monotonic() + TIMEOUT_S
        while len(self.pids()) < 6:
            self.assertLess(time.monotonic(), end)
            time.sleep(0.1)
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=TIMEOUT_S)
        self.assertEqual(2, process.returncode, output)
        self.assertEqual([], self.pids())
