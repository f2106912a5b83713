"""Acknowledged cancels stand, whichever hosts are cut off or restarted."""

import collections
import json
import math
import random
import types

import testtools

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel.control import canceltable
from chervilwheel.control import documents
from chervilwheel.control import entryhost
from chervilwheel.control import entryjobs
from chervilwheel.control import speedtransfer
from chervilwheel.workers import jobstate
from chervilwheel.workers import jobtable
from chervilwheel.workers import ports
from chervilwheel.workers import work
from loadtool import hostworld
from tests import adapter
from tests import test_hosts
from tests import workerworld

clientapi = adapter.load("clientapi")
JOB = "5c0e7a21d94b36f8"
WORK_S = 0.9
# Time in which a cancelled job may still have tasks started.
CANCEL_S = 3.0
CUT_S = 5.5


class QueueDecoder(documents.Decoder):
    """Decodes any bytes to a document with one queue."""

    def decode(self, data):
        """Return a document whose version is the number in the bytes."""
        queue = documents.Queue(
            name="q",
            host="jobs.example",
            prefix="/q/",
            service=ids.ServiceId("service"),
            priority=0,
            attempts=3,
            stretch=1.6,
            target_ms=60_000,
            timeout_ms=60_000,
        )
        return documents.Document(
            int(data), (queue,), (), documents.Bounds(), data
        )


class Executors:
    """Executors that run every task for its time, shared by all hosts.

    :ivar starts: time, host and task of each start
    """

    def __init__(self):
        self.starts = []
        self._ends_at = collections.defaultdict(dict)
        self._ended = collections.defaultdict(list)
        self._counts = collections.Counter()

    def start(self, order, host, now):
        """Begin a run."""
        runs = self._ends_at[order.executor]
        if order.task not in runs:
            self.starts.append((now, host, order.task))
            runs[order.task] = (order.run, now + WORK_S)

    def stop(self, order):
        """End a run."""
        run, _ = self._ends_at[order.executor].get(order.task, (0, 0))
        if run == order.run:
            self._end(order.executor, order.task, work.EndKind.STOPPED)

    def lists(self, order, now):
        """Return what runs on an executor and what has ended there."""
        runs = self._ends_at[order.executor]
        for task, (_, ends_at) in list(runs.items()):
            if ends_at <= now:
                self._end(order.executor, task, work.EndKind.DONE)
        ended = [
            end
            for end in self._ended[order.executor]
            if end.number > order.acked_upto
        ]
        self._ended[order.executor] = ended
        running = [
            work.RunStatus(
                task, run, int(100 * (1 - (ends_at - now) / WORK_S))
            )
            for task, (run, ends_at) in runs.items()
        ]
        return tuple(running), tuple(ended)

    def _end(self, executor, task, kind):
        run, _ = self._ends_at[executor].pop(task)
        self._counts[executor] += 1
        self._ended[executor].append(
            work.RunEnd(self._counts[executor], task, run, kind)
        )


class WorkingPort(ports.ExecutorPort):
    """A host's port to the shared executors."""

    def __init__(self, heap, executors):
        self._heap = heap
        self._host = heap._host
        self._executors = executors

    def start(self, order, done):
        """Begin a run."""
        self._executors.start(order, self._host, self._heap.clock.now())
        verdict = work.StartVerdict.STARTED
        self._answer(lambda: done(verdict, self._clock_ms()))

    def stop(self, order, done):
        """End a run."""
        self._executors.stop(order)
        self._answer(lambda: done(True, self._clock_ms()))

    def hold(self, order, done):
        """Return the lists."""

        def answer():
            running, ended = self._executors.lists(
                order, self._heap.clock.now()
            )
            done(
                work.HoldAnswer(
                    work.HoldVerdict.HELD, self._clock_ms(), running, ended
                )
            )

        self._heap.call_later(min(order.wait_ms / 1000, 0.02) + 0.002, answer)

    def _answer(self, callback):
        self._heap.call_later(0.002, callback)

    def _clock_ms(self):
        return int(self._heap.clock.now() * 1000)


class Exchange:
    """A request of a client and its response."""

    def __init__(self, method, path, body=b""):
        self.request = types.SimpleNamespace(
            method=method,
            target=path,
            headers={"host": "jobs.example", "request-timeout-ms": "30000"},
            body=body,
        )
        self.responses = []
        self.on_disconnect = None

    def release_body(self, _kept_bytes):
        """Nothing is kept."""

    @property
    def has_responded(self):
        """Whether there is a response."""
        return bool(self.responses)

    @property
    def status(self):
        """The status of the response, 0 without one."""
        return self.responses[0].status if self.responses else 0

    @property
    def retry_after(self):
        """When to come back."""
        return dict(self.responses[0].headers).get("Retry-After", "")

    @property
    def state(self):
        """The body of the response."""
        return json.loads(self.responses[0].body)

    def respond(self, response):
        """Record the response."""
        self.responses.append(response)


class CancelTestCase(testtools.TestCase):
    """Base class: clients of hosts in virtual time."""

    def setUp(self):
        super().setUp()
        self.executors = Executors()
        self.world = hostworld.World(
            controls=3,
            entries=4,
            zones=("north",),
            decoder=QueueDecoder(),
            make_port=lambda heap: WorkingPort(heap, self.executors),
        )
        self.addCleanup(self.world.close)
        self.world.run(3.0)
        self.assertTrue(self.world.put_document(1))
        self.world.run(2.0)
        self.report_executors()
        self.world.run(2.0)
        self.hosts = list(self.world.entries)

    def report_executors(self):
        """Report the executors at every control host."""
        for control in self.world.controls.values():
            for number in range(6):
                control.report(test_hosts.report(number, zone="north"))

    def call(self, number, method, *, job=JOB, steps=0, prefix="/q/"):
        """Send a request to an entry host.

        :param steps: number of steps of the job that is handed in
        """
        body = b""
        if steps:
            step = {"count": 2, "cpu": 8000, "memMb": 64, "estimatedMs": 900}
            body = json.dumps(
                {
                    "spec": "spec",
                    "bestEffort": True,
                    "steps": [
                        step | ({"dependsOn": [n - 1]} if n else {})
                        for n in range(steps)
                    ],
                }
            ).encode()
        entry = self.world.entries[self.hosts[number]]
        exchange = Exchange(method, f"{prefix}{job}", body)
        clientapi.ClientApi(entry=entry).handle(exchange)
        return exchange

    def submit(self, number, *, steps, job=JOB):
        """Hand a job in and wait until it runs."""
        exchange = self.call(number, "POST", steps=steps, job=job)
        self.world.run(0.4)
        self.assertGreater(len(self.executors.starts), 0)
        return exchange

    def cancel(self, numbers, job=JOB):
        """Cancel a job: attempts at the hosts in turn until acknowledged.

        :returns: the time of the acknowledgement
        """
        for attempt in range(30):
            number = numbers[attempt % len(numbers)]
            exchange = self.call(number, "DELETE", job=job)
            self.world.run(0.05)
            while not exchange.has_responded:
                self.world.run(0.05)
            if exchange.status in (200, 410):
                return self.world.clock.now()
        return self.fail("not acknowledged")

    def cut_off(self, number):
        """Cut an entry host off from all other hosts."""
        host = self.hosts[number]
        others = [each for each in self.world.nodes if each != host]
        self.world.cut_off(host, others)

    def restart_entry(self, number):
        """Restart an entry host, which loses all that it knew."""
        host = self.hosts[number]
        self.world.stop(host)
        self.world.run(0.5)
        node = self.world._node(host, "entry", self.world._seeds)
        self.world.entries[host] = entryhost.EntryHost(
            node=node,
            decoder=QueueDecoder(),
            port=WorkingPort(node.heap, self.executors),
        )
        self.world.run(2.0)

    def starts_since(self, at, *, by=None):
        """List the starts after a time, of some hosts only."""
        return [
            start
            for start in self.executors.starts
            if start[0] > at and (by is None or start[1] in by)
        ]


class RepeatedRequestTest(CancelTestCase):
    """A request that arrives again after the acknowledgement of a cancel."""

    def test_a_repeated_request_does_not_start_a_cancelled_job(self):
        post = self.submit(0, steps=1)
        acked_at = self.cancel([0])
        self.assertEqual(200, post.status)
        self.world.run(5.0)
        again = self.call(1, "POST", steps=1)
        self.world.run(2.0)
        self.assertEqual([], self.starts_since(acked_at))
        self.assertEqual(post.responses, again.responses)

    def test_a_request_repeated_after_the_job_was_purged_starts_nothing(self):
        self.submit(0, steps=1)
        acked_at = self.cancel([1])
        self.world.run(30.0)
        self.call(2, "POST", steps=1)
        self.world.run(2.0)
        self.assertEqual([], self.starts_since(acked_at))

    def test_a_request_that_arrives_after_its_cancel_starts_nothing(self):
        acked_at = self.cancel([0])
        post = self.call(1, "POST", steps=1)
        self.world.run(2.0)
        self.assertEqual([], self.starts_since(acked_at))
        self.assertEqual(200, post.status)

    def test_a_new_leader_does_not_start_a_cancelled_job(self):
        self.submit(0, steps=1)
        acked_at = self.cancel([1])
        self.world.stop(self.world.holder())
        self.world.run(4.0)
        self.call(2, "POST", steps=1)
        self.world.run(2.0)
        self.assertEqual([], self.starts_since(acked_at))

    def test_cancels_outlive_a_rolling_restart_of_the_control_hosts(self):
        self.submit(0, steps=1)
        acked_at = self.cancel([1])
        for host in list(self.world.controls):
            self.world.stop(host)
            self.world.run(1.0)
            self.world.restart(host)
            self.report_executors()
            self.world.run(4.0)
        self.call(2, "POST", steps=1)
        self.world.run(2.0)
        self.assertEqual([], self.starts_since(acked_at))

    def test_a_standby_does_not_start_a_cancelled_job(self):
        self.submit(0, steps=1)
        acked_at = self.cancel([1])
        for host in self.world.controls:
            self.world.stop(host)
        self.world.run(3.0)
        for number in (2, 3):
            self.call(number, "POST", steps=1)
        self.world.run(2.0)
        self.assertEqual([], self.starts_since(acked_at))

    def test_an_entry_host_that_was_cut_off_learns_of_cancels(self):
        self.cut_off(0)
        self.world.run(1.0)
        self.submit(1, steps=1)
        acked_at = self.cancel([1])
        self.world.network.cuts.clear()
        self.world.run(5.0)
        for host in self.world.controls:
            self.world.stop(host)
        self.world.run(3.0)
        self.call(0, "POST", steps=1)
        self.world.run(2.0)
        self.assertEqual([], self.starts_since(acked_at))

    def test_a_restarted_entry_host_learns_of_cancels(self):
        self.submit(0, steps=1)
        acked_at = self.cancel([1])
        self.restart_entry(0)
        for host in self.world.controls:
            self.world.stop(host)
        self.world.run(3.0)
        self.call(0, "POST", steps=1)
        self.world.run(2.0)
        self.assertEqual([], self.starts_since(acked_at))


class FullTableTest(CancelTestCase):
    """Cancels are refused, not forgotten, when too many are kept."""

    def test_a_full_table_refuses_a_cancel_and_the_job_runs_on(self):
        self.patch(canceltable, "MAX_CANCELS", 2)
        kept = [f"{number:016x}" for number in range(2)]
        for job in kept:
            self.cancel([0], job=job)
        post = self.submit(0, steps=1)
        delete = self.call(1, "DELETE")
        self.world.run(0.5)
        self.assertEqual((503, "1"), (delete.status, delete.retry_after))
        self.world.run(2.0)
        self.assertEqual({"state": "completed"}, post.state)
        acked_at = self.world.clock.now()
        for job in kept:
            self.cancel([2], job=job)
            self.call(1, "POST", job=job, steps=1)
        self.world.run(2.0)
        self.assertEqual([], self.starts_since(acked_at))

    def test_a_full_table_has_room_again_after_the_retention(self):
        self.patch(canceltable, "MAX_CANCELS", 1)
        self.cancel([0], job=JOB[::-1])
        self.world.run(canceltable.RETENTION_S + 1.0)
        self.cancel([1])

    def test_a_host_without_a_leader_refuses_what_it_cannot_keep(self):
        self.patch(entryjobs, "MAX_UNSETTLED", 1)
        self.cut_off(0)
        self.world.run(1.0)
        jobs = [self.call(0, "DELETE", job=job) for job in (JOB, JOB[::-1])]
        self.assertEqual([503, 503], [each.status for each in jobs])
        self.submit(1, steps=16)
        self.world.network.cuts.clear()
        self.world.run(5.0)
        self.assertEqual([], self.starts_since(self.world.clock.now() - 1.0))

    def test_steady_cancels_take_few_messages_to_the_entry_hosts(self):
        before = self.world.messages_sent("CancelNews")
        for number in range(100):
            self.call(number % 4, "DELETE", job=f"{number:016x}")
            self.world.run(0.01)
        self.world.run(0.5)
        # Each cancel to those that may hold next, and one each 0.15 s to all.
        limit = speedtransfer.STANDBY_CANDIDATES * 100 + 4 * 1.5 / 0.15
        sent = self.world.messages_sent("CancelNews") - before
        self.assertLessEqual(sent, limit)
        for entry in self.world.entries.values():
            self.assertEqual(100, len(entry._cancels))

    def test_a_new_leader_sends_only_what_the_entry_hosts_lack(self):
        for number in range(200):
            self.call(number % 4, "DELETE", job=f"{number:016x}")
        self.world.run(1.0)
        self.world.stop(self.world.holder())
        before = self.world.messages_sent("CancelNews")
        self.world.run(4.0)
        self.assertEqual(before, self.world.messages_sent("CancelNews"))
        self.cancel([0])
        self.world.run(0.5)
        for entry in self.world.entries.values():
            self.assertEqual(201, len(entry._cancels))

    def test_a_wave_of_cancels_takes_few_commands(self):
        control = self.world.controls[self.world.holder()]
        before = control.member.commit
        calls = [
            self.call(number % 4, "DELETE", job=f"{number:016x}")
            for number in range(2_500)
        ]
        self.world.run(1.0)
        self.assertEqual({410}, {each.status for each in calls})
        self.assertLessEqual(control.member.commit - before, 10)


class CancelTableTest(testtools.TestCase):
    """The table forgets nothing before its retention."""

    def record(self, table, *jobs, at_s):
        table.record(map(ids.JobId, jobs), int(at_s * 1000))

    def test_jobs_are_kept_for_the_retention(self):
        table = canceltable.CancelTable()
        self.record(table, "a", at_s=1.0)
        self.record(table, "b", at_s=1.0 + canceltable.RETENTION_S)
        self.assertIn("a", table)
        self.record(table, "c", at_s=1.1 + canceltable.RETENTION_S)
        self.assertNotIn("a", table)
        self.assertIn("b", table)

    def test_the_time_of_a_leader_that_is_behind_forgets_nothing_early(self):
        table = canceltable.CancelTable()
        self.record(table, "a", at_s=100.0)
        self.record(table, "b", at_s=1.0)
        self.record(table, "c", at_s=99.0 + canceltable.RETENTION_S)
        self.assertIn("b", table)

    def test_a_dump_restores_the_table(self):
        table = canceltable.CancelTable()
        self.record(table, "a", "b", at_s=1.0)
        self.record(table, "c", "a", at_s=2.0)
        restored = canceltable.CancelTable()
        self.record(restored, "d", at_s=1.5)
        restored.load(table.dump())
        self.assertEqual(["b", "d", "c", "a"], restored.since(0))
        self.assertEqual(table.clock_ms, restored.clock_ms)

    def test_an_empty_dump_changes_nothing(self):
        table = canceltable.CancelTable()
        table.load(table.dump())
        table.load(b"")
        self.assertEqual(0, len(table))

    def test_news_are_what_was_recorded_since(self):
        table = canceltable.CancelTable()
        self.record(table, "a", "b", at_s=1.0)
        known_ms = table.clock_ms
        self.assertEqual([], table.since(known_ms))
        self.record(table, "a", "c", at_s=2.0)
        self.assertEqual(["a", "c"], table.since(known_ms))

    def test_news_have_jobs_recorded_at_the_time_of_others(self):
        table = canceltable.CancelTable()
        self.record(table, "a", at_s=2.0)
        known_ms = table.clock_ms
        self.record(table, "b", at_s=2.0)
        self.record(table, "c", at_s=1.0)
        self.assertEqual(["b", "c"], table.since(known_ms))

    def test_a_command_that_is_applied_again_changes_nothing(self):
        table = canceltable.CancelTable()
        self.record(table, "a", at_s=1.0)
        self.record(table, "b", at_s=2.0)
        state = table.dump()
        self.record(table, "a", at_s=1.0)
        self.record(table, "b", at_s=2.0)
        self.assertEqual(state, table.dump())


class SeveralCallersTest(CancelTestCase):
    """Requests for one job at several entry hosts."""

    def test_each_caller_is_answered_when_the_job_is_completed(self):
        first = self.submit(0, steps=2)
        later = [self.call(number, "POST", steps=2) for number in (1, 2, 1)]
        self.world.run(4.0)
        states = [each.state["state"] for each in (first, *later)]
        self.assertEqual(["completed"] * 4, states)
        self.assertEqual(4, len(self.executors.starts))

    def test_each_caller_is_answered_when_the_job_is_cancelled(self):
        first = self.submit(0, steps=8)
        later = self.call(1, "POST", steps=8)
        self.world.run(0.1)
        self.cancel([2])
        self.assertEqual([200, 200], [first.status, later.status])

    def test_a_caller_that_leaves_does_not_end_the_job_of_others(self):
        for stays, leaves in ((0, 1), (1, 0)):
            job = f"{stays:016x}"
            calls = [
                self.call(number, "POST", job=job, steps=2)
                for number in range(2)
            ]
            self.world.run(0.5)
            calls[leaves].on_disconnect()
            self.world.run(3.0)
            self.assertEqual({"state": "completed"}, calls[stays].state)

    def test_a_job_ends_when_all_its_callers_have_left(self):
        calls = [self.call(n, "POST", steps=4) for n in range(2)]
        self.world.run(0.5)
        for each in calls:
            each.on_disconnect()
        self.world.run(1.0)
        self.assertEqual([], self.starts_since(self.world.clock.now() - 0.9))
        self.assertEqual(2, len(self.executors.starts))

    def test_a_job_that_its_callers_have_left_keeps_little(self):
        call = self.submit(0, steps=4)
        jobs = self.world.entries[self.hosts[0]].jobs
        (state,) = jobs._jobs.values()
        kept = state.job.kept_bytes
        call.on_disconnect()
        (_, left) = next(iter(jobs._left.values()))
        self.assertLess(left.job.kept_bytes, kept)
        self.assertEqual((), left.job.steps)


class CancelledAnswerTest(CancelTestCase):
    """Requests for a job of which no task has failed, and a cancel of it."""

    def test_an_open_request_for_a_cancelled_job_is_not_told_it_failed(self):
        first = self.submit(0, steps=8)
        later = self.call(1, "POST", steps=8)
        self.world.run(0.1)
        self.cancel([2])
        for each in (first, later):
            self.assertEqual(
                (200, {"state": "cancelled"}), (each.status, each.state)
            )

    def test_a_request_after_an_unheard_cancel_is_not_told_it_failed(self):
        # The engine answers at first, the cancels when it has forgotten it.
        self.submit(0, steps=8)
        self.call(1, "DELETE")
        for number in range(4):
            again = self.call(number, "POST", steps=8)
            self.world.run(4.0)
            self.assertEqual(
                (200, {"state": "cancelled"}), (again.status, again.state)
            )
        self.world.run(jobtable.RETENTION_S + 1.0)
        last = self.call(3, "POST", steps=8)
        self.world.run(1.0)
        self.assertEqual(
            (200, {"state": "cancelled"}), (last.status, last.state)
        )


class OtherBodyTest(CancelTestCase):
    """Two requests with one id and different tasks are one job."""

    def test_a_job_back_from_another_holder_keeps_its_tasks(self):
        first = self.submit(0, steps=3)
        self.cut_off(1)
        self.world.run(2.0)
        self.call(1, "POST", steps=1)
        self.world.run(0.2)
        self.world.network.cuts.clear()
        self.world.run(8.0)
        self.assertEqual({"state": "completed"}, first.state)


class RepeatedOfferTest(testtools.TestCase):
    """A refused job doesn't run because one of its offers is repeated."""

    def test_the_offers_of_all_entry_hosts_are_known_when_repeated(self):
        north, south = ids.InstanceId("north"), ids.InstanceId("south")
        first = test_hosts.job()._replace(submission=7)
        second = first._replace(submission=9)
        state = jobstate.JobState(job=first, entry=north, now=0.0)
        state.add_offer(second, south, 0.0)
        self.assertEqual([north, south], state.answered)
        state.answer = work.Answer(first.id, work.Outcome.REFUSED)
        for job, entry in ((first, north), (second, south)):
            self.assertTrue(state.is_repeated_by(job, entry))
            state.add_offer(job, entry, 0.0)
            self.assertEqual([entry], state.answered)
        self.assertFalse(state.is_repeated_by(second, north))


class CutOffTest(CancelTestCase):
    """An entry host is cut off; clients cancel at it and at others."""

    def test_a_cancelled_job_does_not_come_back_after_a_cut(self):
        self.submit(0, steps=16)
        self.cut_off(0)
        self.world.run(0.25)
        acked_at = self.cancel([0, 1, 2])
        self.world.run(CUT_S)
        self.world.network.cuts.clear()
        self.world.run(9.0)
        late = self.starts_since(acked_at + CANCEL_S, by=self.world.controls)
        self.assertEqual([], late)

    def test_a_host_that_is_cut_off_does_not_acknowledge_a_cancel(self):
        self.cut_off(0)
        self.world.run(2.0)
        self.submit(1, steps=8)
        acked_at = self.cancel([0, 1, 2])
        self.world.run(CANCEL_S)
        self.assertEqual([], self.starts_since(acked_at + CANCEL_S))
        self.world.run(9.0)
        self.assertEqual([], self.starts_since(acked_at + CANCEL_S))

    def test_a_former_entry_host_is_not_told_of_an_unsettled_cancel(self):
        for host in self.world.controls:
            self.world.stop(host)
        self.world.run(3.0)
        standby, follower = self.hosts[0], self.hosts[1]
        self.assertEqual(
            standby, self.world.entries[follower].jobs.holder.host
        )
        for takes_verdict in (False, True):
            cancel = messages.JobCancel(
                1, ids.JobId(JOB), takes_verdict=takes_verdict
            )
            self.world.nodes[follower].links.send(standby, cancel)
            self.world.run(0.1)
            replies = self.world.messages_sent("JobCancelled")
            self.assertEqual(int(takes_verdict), replies)

    def test_a_cancel_sent_to_a_cut_off_host_reaches_the_next_leader(self):
        self.cut_off(0)
        self.world.run(2.0)
        self.submit(1, steps=16)
        delete = self.call(0, "DELETE")
        self.world.run(1.5)
        self.assertEqual((503, "1"), (delete.status, delete.retry_after))
        self.world.network.cuts.clear()
        self.world.run(4.0)
        self.assertEqual([], self.starts_since(self.world.clock.now() - 1.0))
        self.assertEqual(410, self._status(1, "DELETE"))

    def test_a_job_is_not_handed_on_after_its_cancel_may_be_forgotten(self):
        post = self.submit(0, steps=100)
        self.cut_off(0)
        self.world.run(0.25)
        acked_at = self.cancel([1])
        self.world.run(70.0)
        # The retention ends with the next cancel.
        self.cancel([1], job=JOB[::-1])
        self.world.network.cuts.clear()
        self.world.run(9.0)
        late = self.starts_since(acked_at + CANCEL_S, by=self.world.controls)
        self.assertEqual([], late)
        self.assertEqual(502, post.status)

    def test_a_host_without_a_holder_does_not_say_that_a_job_is_gone(self):
        self.submit(1, steps=8)
        self.cut_off(0)
        self.world.run(3.0)
        for method in ("GET", "DELETE"):
            self.assertEqual(503, self._status(0, method))

    def _status(self, number, method):
        exchange = self.call(number, method)
        self.world.run(1.5)
        return exchange.status


class JobStateTest(CancelTestCase):
    """A leader tells how far a job is; others say that they don't know."""

    def state(self, number):
        """Read the state of the job at an entry host."""
        exchange = self.call(number, "GET")
        self.world.run(0.2)
        (response,) = exchange.responses
        body = json.loads(response.body or b"{}")
        return response.status, body.get("state")

    def test_the_state_of_a_job_is_told_at_every_host(self):
        self.assertEqual((410, None), self.state(2))
        self.submit(0, steps=2)
        for number in range(4):
            self.assertEqual((200, "running"), self.state(number))
        self.world.run(3.0)
        self.assertEqual((200, "completed"), self.state(1))

    def test_a_cancelled_job_is_told_as_cancelled_and_then_as_gone(self):
        self.submit(0, steps=2)
        self.cancel([1])
        self.assertEqual((200, "cancelled"), self.state(2))
        self.world.run(20.0)
        self.assertEqual((410, None), self.state(2))

    def test_a_cancel_of_an_unknown_job_shows_no_job(self):
        self.cancel([0])
        self.assertEqual((410, None), self.state(1))

    def test_a_new_leader_does_not_know_at_once_that_a_job_is_gone(self):
        former = self.world.holder()
        self.world.stop(former)
        while self.world.holder() in (None, former):
            self.world.run(0.02)
        self.world.run(0.5)
        self.assertEqual((503, None), self.state(1))
        self.world.run(3.0)
        self.assertEqual((410, None), self.state(1))


class AbsenceTest(CancelTestCase):
    """A host without a leader doesn't say that something is absent."""

    def status(self, number, **options):
        """Send a GET to an entry host; return the status."""
        return self.call(number, "GET", **options).status

    def test_an_unknown_queue_is_absent_only_by_word_of_a_leader(self):
        self.assertEqual(404, self.status(0, prefix="/other/"))
        self.cut_off(0)
        self.world.run(3.0)
        self.assertEqual(503, self.status(0, prefix="/other/"))
        self.assertEqual(404, self.status(1, prefix="/other/"))

    def test_jobs_that_wait_elsewhere_are_not_counted_as_none(self):
        self.assertEqual(200, self.status(0, job=""))
        self.cut_off(0)
        self.world.run(1.0)
        self.assertEqual(200, self.status(0, job=""))
        self.world.run(3.0)
        self.assertEqual(503, self.status(0, job=""))
        self.assertEqual(200, self.status(1, job=""))

    def test_a_zone_that_may_be_evacuated_is_not_shown_as_confirmed(self):
        host = next(iter(self.world.controls))
        control = self.world.controls[host]
        others = [each for each in self.world.controls if each != host]
        self.world.cut_off(host, others)
        self.world.run(2.0)
        tables = []
        control.read_zones(tables.append)
        documents_read = []
        control.read(documents_read.append)
        self.world.run(2.0)
        self.assertEqual([None], tables)
        self.assertEqual([None], documents_read)


class EngineCancelTest(testtools.TestCase):
    """An engine answers a job again that it has cancelled."""

    def test_a_cancelled_job_offered_again_is_answered_without_a_start(self):
        world = workerworld.World(workers=1)
        job = world.submit(tasks=2, work_s=5.0)
        world.run(0.2)
        world.cancel(job)
        world.run(0.3)
        starts = world.engine.starts
        world.repeat_offer(job, submission=7)
        world.run(1.0)
        self.assertEqual(starts, world.engine.starts)
        self.assertEqual(work.Outcome.CANCELLED, world.outcome(job))


class ScheduleTest(CancelTestCase):
    """Random requests and cancels beside cuts, stops and restarts."""

    SEEDS = range(8)
    SECONDS = 40.0
    STEP_S = 0.25

    def setUp(self):
        super().setUp()
        self.rng = random.Random(0)
        self.steps = {}
        self.cancels = []
        self.acked_at = {}
        self.heals_at = 0.0
        self.stopped = None
        self.actions = {
            self.hand_in: 25,
            self.cancel_one: 25,
            self.repeat: 25,
            self.cut: 10,
            self.stop_control: 5,
            self.restart_one: 2,
            self.start_control: 8,
        }

    def hand_in(self):
        """Hand a new job in."""
        job = f"{self.rng.getrandbits(64):016x}"
        self.steps[job] = self.rng.randint(1, 4)
        self.call(self.number(), "POST", job=job, steps=self.steps[job])

    def cancel_one(self):
        """Cancel one of the last jobs."""
        for job in self.recent(4):
            exchange = self.call(self.number(), "DELETE", job=job)
            self.cancels.append((job, exchange))

    def repeat(self):
        """Send the request of one of the last jobs again."""
        for job in self.recent(8):
            self.call(self.number(), "POST", job=job, steps=self.steps[job])

    def cut(self):
        """Cut a host off from all others, one at a time."""
        if self.is_calm():
            now = self.world.clock.now()
            self.heals_at = now + self.rng.uniform(1.0, 6.0)
            host = self.rng.choice(list(self.world.nodes))
            others = [each for each in self.world.nodes if each != host]
            self.world.cut_off(host, others)

    def stop_control(self):
        """Stop a control host."""
        if self.is_calm():
            self.stopped = self.rng.choice(list(self.world.controls))
            self.world.stop(self.stopped)

    def start_control(self):
        """Start the control host that was stopped."""
        if self.stopped is not None:
            self.world.restart(self.stopped)
            self.report_executors()
            self.stopped = None

    def restart_one(self):
        """Restart an entry host."""
        self.restart_entry(self.number())

    def number(self):
        """Choose an entry host."""
        return self.rng.randrange(len(self.hosts))

    def recent(self, count):
        """Choose one of the last jobs, if there is one."""
        jobs = list(self.steps)[-count:]
        return [self.rng.choice(jobs)] if jobs else []

    def is_calm(self):
        """Return whether no host is cut off or stopped."""
        is_cut = self.world.clock.now() < self.heals_at
        return self.stopped is None and not is_cut

    def play(self, seed):
        """Play a schedule."""
        self.rng.seed(seed)
        end = self.world.clock.now() + self.SECONDS
        while self.world.clock.now() < end:
            (action,) = self.rng.choices(
                list(self.actions), list(self.actions.values())
            )
            action()
            self.world.run(self.STEP_S)
            now = self.world.clock.now()
            if now > self.heals_at:
                self.world.network.cuts.clear()
            for job, exchange in self.cancels:
                if exchange.status in (200, 410):
                    self.acked_at.setdefault(job, now)
        self.world.network.cuts.clear()
        self.start_control()
        self.world.run(CANCEL_S + 2.0)

    def test_no_control_host_starts_a_job_after_its_cancel(self):
        for seed in self.SEEDS:
            before = len(self.acked_at)
            self.play(seed)
            self.assertGreater(len(self.acked_at), before + 5)
            late = [
                (seed, at - self.acked_at[task.job], host, task)
                for at, host, task in self.executors.starts
                if host in self.world.controls
                and at > self.acked_at.get(task.job, math.inf) + CANCEL_S
            ]
            self.assertEqual([], late)
