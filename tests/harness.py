"""Simulation of two entry instances and a ledger group on one clock.

The decision logic is the production code; network, disks, endpoints and
slots are fakes. Faults can be injected at any step of a task.
"""

import collections
import json
import random

from chervilwheel import calls
from chervilwheel import groupclient
from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import keeper
from chervilwheel import keeperledger
from chervilwheel import learned
from chervilwheel import ledgers
from chervilwheel import messages
from chervilwheel import pipeline
from chervilwheel import recovery
from chervilwheel import slotsource
from chervilwheel import timers
from tests import fakes

ZONE = ids.ZoneId("z")
TEAM = ids.TeamId("team")
GROUP = f"ledger.{ZONE}"
RUN_S = 0.1
STEPS = (
    "receive",
    "admit",
    "claim",
    "place",
    "intent synced",
    "bytes out",
    "running",
    "answer in",
    "result synced",
    "answer out",
    "after",
)


class KilledError(Exception):
    """The entry instance was killed while its code was running."""


class FakeLinks:
    """Peer links from one entry instance to the keepers."""

    def __init__(self, *, entry):
        self._entry = entry
        self._handlers = {}

    def handle(self, kind, handler):
        self._handlers[kind] = handler

    def on_link_lost(self, callback):
        pass

    def send(self, peer, message):
        entry = self._entry
        entry.world.net.send(
            entry.name, peer, message, entry.world.clock.now()
        )
        return True

    def receive(self, message):
        self._handlers[type(message)](None, message)


class FakeSlots(slotsource.SlotSource):
    """Grants every request a slot on one of three endpoints, in turn."""

    def __init__(self, *, entry):
        self._entry = entry
        self._turn = 0

    def add(self, waiting):
        self._entry.report_step("place")
        names = [n for n in ("e0", "e1", "e2") if n != waiting.avoid]
        name = names[self._turn % len(names)]
        self._turn += 1
        waiting.is_done = True
        grant = slotsource.Grant(name, ("127.0.0.1", 1), ZONE, waiting.need)
        self._entry.heap.call_later(0.001, lambda: waiting.granted(grant))

    def cancel(self, waiting):
        waiting.is_done = True

    def release(self, grant, use):
        pass

    def mark_slow(self, grant):
        pass

    def free_hint(self, need):
        return self._entry.world.free_hint


class FakeCaller:
    """Simulated endpoints, which record every task start themselves."""

    def __init__(self, *, entry):
        self._entry = entry

    def close_idle(self, address):
        pass

    def start(self, call, done):
        entry = self._entry
        world = entry.world
        world.record_start(call)
        entry.report_step("bytes out")
        mode = world.endpoint_modes.get(call.endpoint, "ok")
        run_s = RUN_S * (20 if mode == "straggler" else 1)
        entry.heap.call_later(run_s / 2, lambda: entry.report_step("running"))

        def end():
            entry.report_step("answer in")
            if mode == "fail":
                outcome, body = calls.CallOutcome.FAILED, b"{}"
            else:
                outcome = calls.CallOutcome.ANSWERED
                body = json.dumps({"echo": json.loads(call.payload)}).encode()
            done(calls.CallResult(call, outcome, body))

        def time_out():
            done(calls.CallResult(call, calls.CallOutcome.TIMED_OUT))

        is_silent = mode == "silent" or world.is_silent(call)
        if is_silent or run_s >= call.timeout_s:
            entry.heap.call_later(call.timeout_s, time_out)
        else:
            entry.heap.call_later(run_s, end)


class FakeView:
    """The membership as the simulation defines it."""

    def __init__(self, *, entry):
        self._entry = entry

    @property
    def me(self):
        return self._entry.info()

    def all(self):
        return [each.info() for each in self._entry.world.entries]

    def live(self):
        return [
            info
            for info in self.all()
            if info.state is messages.MemberState.ALIVE
        ]


class Entry:
    """One entry instance: its ledger client, pipeline and recovery."""

    def __init__(self, *, name, world):
        self.name = name
        self.world = world
        self.boot = 0
        self.is_up = False
        self.paused_until = 0.0
        self.start()

    def start(self):
        """Start the instance with a new boot id."""
        self.boot += 1
        self.is_up = True
        self.heap = timers.TimerHeap(
            clk=self.world.clock, on_error=self._on_error
        )
        self.links = FakeLinks(entry=self)
        client = groupclient.GroupClient(
            links=self.links,
            heap=self.heap,
            groups={GROUP: list(self.world.nodes)},
        )
        self.runner = recovery.runner_id(self.name, str(self.boot))
        self.ledger = HookedLedger(
            entry=self,
            client=client,
            runner=self.runner,
            zone=ZONE,
            zones=[ZONE],
            heap=self.heap,
        )
        self.runs = pipeline.Pipeline(
            durable=self.ledger,
            volatile=ledgers.MemoryLedger(runner=self.runner),
            slots=FakeSlots(entry=self),
            caller=FakeCaller(entry=self),
            heap=self.heap,
            admission=self,
            times=learned.LearnedTimes(),
        )
        recovery.Recovery(
            durable_ledger=self.ledger,
            job_pipeline=self.runs,
            view=FakeView(entry=self),
            heap=self.heap,
        )

    def info(self):
        state = messages.MemberState.ALIVE
        if not self.is_up or self.is_paused:
            state = messages.MemberState.DEAD
        return messages.MemberInfo(
            name=self.name,
            zone=ZONE,
            is_entry=True,
            host="127.0.0.1",
            port=1,
            boot=str(self.boot),
            incarnation=self.boot,
            state=state,
            is_draining=False,
        )

    @property
    def is_paused(self):
        return self.world.clock.now() < self.paused_until

    def check(self, submission, now):
        """Admit everything."""
        self.report_step("admit")

    def report_step(self, step):
        """Report that a step was reached; planned faults are injected here.

        :raises KilledError: if the instance is down, or killed by a fault
        """
        if not self.is_up:
            raise KilledError
        self.world.on_step_reached(self, step)
        if not self.is_up:
            raise KilledError

    def kill(self):
        """Stop the instance immediately."""
        self.is_up = False

    def run(self):
        """Run due timers, unless the instance is down or paused."""
        if self.is_up and not self.is_paused:
            self.heap.run_due()

    def _on_error(self, exc):
        if not isinstance(exc, KilledError):
            self.world.errors.append(exc)


class HookedLedger(keeperledger.KeeperLedger):
    """The durable ledger, reporting the steps that it reaches."""

    def __init__(self, *, entry, **kwargs):
        super().__init__(**kwargs)
        self._entry = entry

    def claim(self, claim, done):
        self._entry.report_step("claim")
        super().claim(claim, done)

    def intend(self, job, epoch, tasks, done):
        def on_reply(reply):
            self._entry.report_step("intent synced")
            done(reply)

        super().intend(job, epoch, tasks, on_reply)

    def record(self, job, epoch, results, done):
        def on_reply(reply):
            self._entry.report_step("result synced")
            done(reply)

        super().record(job, epoch, results, on_reply)


class Caller:
    """A caller that sent one submission, with the replies it received."""

    def __init__(self, *, key, entry):
        self.key = key
        self.entry = entry
        self.boot = entry.boot
        self.answers = []
        self.errors = []

    @property
    def is_disconnected(self):
        return not self.entry.is_up or self.entry.boot != self.boot

    @property
    def has_reply(self):
        return bool(self.answers or self.errors)


class Cluster(fakes.World):
    """Three keepers and two entry instances on one simulated clock."""

    def __init__(self, *, seed, free_hint=100):
        super().__init__(seed=seed, make_machine=keeper.LedgerMachine)
        self.free_hint = free_hint
        self.starts = collections.Counter()
        self.endpoint_modes = {}
        self.silent_until = 0.0
        self.hooks = {}
        self.reached_steps = set()
        self.callers = []
        self.entries = []
        for name in ("i0", "i1"):
            self.entries.append(Entry(name=name, world=self))
        self.wait_for_leader()
        self.run(0.5)

    def record_start(self, call):
        self.starts[call.job, call.task] += 1

    def is_silent(self, call):
        return self.clock.now() < self.silent_until

    def on_step_reached(self, entry, step):
        """Record a step of the first instance; inject its faults once."""
        if entry is not self.entries[0]:
            return
        self.reached_steps.add(step)
        for hook in self.hooks.pop(step, []):
            hook()

    def inject_at(self, step, hook):
        """Plan a fault for the next time a step is reached."""
        self.hooks.setdefault(step, []).append(hook)

    def submit(self, entry, key, *, spec):
        """Send a submission to an entry instance.

        :returns: the caller, which collects the replies
        """
        caller = Caller(key=key, entry=entry)
        self.callers.append(caller)
        submission = pipeline.Submission(
            ids.JobId(key), TEAM, spec, True, True
        )

        def done(answer):
            entry.report_step("answer out")
            caller.answers.append(answer)

        try:
            entry.report_step("receive")
            entry.runs.submit(submission, done, caller.errors.append)
        except KilledError:
            pass
        return caller

    def send(self, node, to, message):
        self.net.send(node.name, to, message, self.clock.now())

    def step(self, seconds=0.005):
        """Advance the clock, deliver due messages, run all instances."""
        self.clock.advance(seconds)
        now = self.clock.now()
        for source, target, message in self.net.due(now):
            self._deliver(source, target, message)
        for node in self.nodes.values():
            if node.is_up:
                node.run()
        for entry in self.entries:
            entry.run()
        if self.errors:
            raise self.errors[0]

    def _deliver(self, source, target, message):
        entry = next((e for e in self.entries if e.name == target), None)
        if entry is not None:
            if entry.is_up:
                if entry.is_paused:
                    # Data for a paused process stays in the socket buffer.
                    later = entry.paused_until
                    self.net.send(source, target, message, later)
                    return
                try:
                    entry.links.receive(message)
                except KilledError:
                    return
            return
        node = self.nodes[target]
        if not node.is_up:
            return
        if isinstance(message, messages.GroupRequest):
            node.host.request(
                message._replace(group="g"), self._respond(node, source)
            )
        elif isinstance(message, messages.WatchRequest):
            self._watch(node, source, message)
        else:
            node.host.receive(message)

    def _respond(self, node, target):
        def respond(reply):
            reply = reply._replace(group=GROUP)
            self.net.send(node.name, target, reply, self.clock.now())

        return respond

    def _watch(self, node, target, message):
        if not node.host.member.is_leader:
            return

        def send_state(data):
            reply = messages.GroupReply(
                message.number,
                GROUP,
                messages.STATUS.finished,
                node.name,
                (data,),
            )
            self.net.send(node.name, target, reply, self.clock.now())

        node.machine.watch(message.job, (target, message.number), send_state)


def job_spec(mark, *, is_idempotent=False, tasks=2, run_time_ms=0):
    """Return the spec of a job whose payloads contain a mark."""
    return jobs.parse_job(
        {
            "service": "s",
            "deadline_ms": 6000,
            "idempotent": is_idempotent,
            "run_time_ms": run_time_ms,
            "tasks": [{"payload": f"{mark}/{n}"} for n in range(tasks)],
        }
    )


def seeded(text):
    """Return a random generator seeded with a text."""
    return random.Random(text)
