"""Random schedules of operations and faults for a replicated ledger.

Clients send claims, intents and results to random members while nodes
crash, lose their disks or are partitioned, and messages are lost,
delayed or duplicated. Task starts are recorded outside the protocol, as
an endpoint would see them, and checked against its guarantees.
"""

import itertools

from chervilwheel import grouphost
from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import keeper
from chervilwheel import ledger
from chervilwheel import messages
from tests import fakes

TEAM = ids.TeamId("team")
SPEC = jobs.parse_job({"service": "s", "tasks": [{}, {"idempotent": True}]})
TASKS = jobs.dump_tasks(SPEC.tasks)


class InvariantError(AssertionError):
    """The protocol violated one of its invariants."""


class History:
    """Task starts and job results as seen outside the ledger."""

    def __init__(self):
        self.starts = {}
        self.results = {}

    def start(self, job, task, runner):
        """Record the start of a non-idempotent task; it must be the first."""
        self.starts.setdefault((job, task), []).append(runner)
        if len(self.starts[job, task]) > 1:
            raise InvariantError(f"{job}/{task} was started twice")

    def record_results(self, reply):
        """Record a job's results; they must equal those returned before."""
        results = tuple(
            (each.task, each.outcome, each.value) for each in reply.results
        )
        for task, outcome, _ in results:
            was_started = (reply.job, task) in self.starts
            if outcome is jobs.Outcome.NOT_RUN and was_started:
                raise InvariantError(
                    f"{reply.job}/{task} was started but reported as not run"
                )
        if all(outcome is jobs.Outcome.NOT_RUN for _, outcome, _ in results):
            return
        before = self.results.setdefault(reply.job, results)
        if before != results:
            raise InvariantError(f"{reply.job} returned two different results")


class Runner:
    """A client of the ledger that behaves like an entry instance.

    :param name: its runner id
    :param world: the world
    :param history: record of task starts and results
    """

    def __init__(self, *, name, world, history):
        self.name = ids.InstanceId(name)
        self._world = world
        self._history = history
        self._numbers = itertools.count(1)
        self.epochs = {}
        self.abandoned = set()

    def send(self, command, done):
        """Send a command to the leader or a random member.

        The reply may be lost, so ``done`` may never be called.
        """
        rng = self._world.rng
        node = rng.choice(list(self._world.nodes.values()))
        if rng.random() < 0.8:
            node = self._world.leader() or node
        if not node.is_up:
            return
        data = ledger.CODEC.encode(command)
        request = messages.GroupRequest(next(self._numbers), "g", (data,))

        def respond(reply):
            if reply.status == messages.STATUS.ok and rng.random() > 0.1:
                done(ledger.CODEC.decode(reply.results[0]))

        node.host.request(request, respond)

    def claim(self, job):
        """Claim a job, as a first or repeated submission does."""
        command = ledger.ClaimCommand(
            job, TEAM, SPEC.digest, TASKS, (), self.name, False
        )
        self.send(command, lambda reply: self._on_claimed(job, reply))

    def adopt(self, job, epoch):
        """Take over a job from the runner that holds it."""
        command = ledger.AdoptCommand(job, epoch, self.name)
        self.send(command, lambda reply: self._on_claimed(job, reply))

    def intend(self, job):
        """Commit the intent for the non-idempotent task, then start it."""
        epoch = self.epochs.get(job)
        if epoch is None:
            return

        def done(reply):
            is_current = self.epochs.get(job) == epoch
            if reply.verdict is ledger.Verdict.SYNCED and is_current:
                started = self._history.starts.get((job, 0), [])
                if self.name not in started:
                    self._history.start(job, 0, self.name)

        self.send(ledger.IntendCommand(job, epoch, (0,)), done)

    def abandon(self, job):
        """Record that no task was run, and never start one."""
        epoch = self.epochs.get(job)
        if epoch is None or self.name in self._history.starts.get(
            (job, 0), []
        ):
            return
        self.epochs.pop(job)
        self.abandoned.add((job, epoch))
        records = tuple(
            ledger.TaskRecord(task, jobs.Outcome.NOT_RUN, "null", "")
            for task in (0, 1)
        )
        self.send(ledger.RecordCommand(job, epoch, records), self._on_recorded)

    def record(self, job):
        """Record results for a job whose task this runner has started."""
        epoch = self.epochs.get(job)
        if epoch is None:
            return
        if self.name not in self._history.starts.get((job, 0), []):
            return
        value = f'"{self.name}"'
        records = tuple(
            ledger.TaskRecord(task, jobs.Outcome.COMPLETE, value, "")
            for task in (0, 1)
        )
        self.send(ledger.RecordCommand(job, epoch, records), self._on_recorded)

    def _on_recorded(self, reply):
        if reply.verdict is ledger.Verdict.FINISHED:
            self._history.record_results(reply)

    def _on_claimed(self, job, reply):
        if reply.verdict is ledger.Verdict.FINISHED:
            self._history.record_results(reply)
            return
        # An abandoned run is never resumed, as in the pipeline.
        is_own = reply.runner == self.name and reply.epoch
        if is_own and (job, reply.epoch) not in self.abandoned:
            self.epochs[job] = reply.epoch


class LogChecker:
    """Check for one leader per term and identical committed entries.

    :param world: the world
    """

    def __init__(self, *, world):
        self._world = world
        self._committed = {}
        self._leaders = {}

    def check(self):
        """Check every running member."""
        for node in self._world.nodes.values():
            if not node.is_up:
                continue
            host = node.host
            if host.is_halted and not node.disk.fails_sync:
                raise InvariantError(host.halt_reason)
            member = host.member
            if member.is_leader:
                known = self._leaders.setdefault(member.term, member.me)
                if known != member.me:
                    raise InvariantError(f"two leaders in term {member.term}")
            first = max(1, member.log.snapshot.index + 1, member.commit - 5)
            for entry in member.log.entries_between(first, member.commit):
                seen = (entry.term, entry.kind, entry.data)
                if self._committed.setdefault(entry.index, seen) != seen:
                    raise InvariantError(
                        f"committed entry {entry.index} changed"
                    )


class Schedule:
    """One random schedule.

    :param seed: seed of the random number generator
    :param options: classes that replace the protocol's own, for mutants
    """

    def __init__(self, *, seed, make_machine=keeper.LedgerMachine, **options):
        self.world = fakes.World(
            seed=seed, make_machine=make_machine, **options
        )
        self.history = History()
        self.checker = LogChecker(world=self.world)
        self.world.observers.append(self.checker.check)
        self.runners = [
            Runner(name=f"r{n}", world=self.world, history=self.history)
            for n in range(3)
        ]
        self.jobs = [ids.JobId(f"job-{n}") for n in range(4)]

    def run(self, rounds=40):
        """Run random actions and faults, then heal and check the results."""
        rng = self.world.rng
        self.world.net.loss = rng.choice([0.0, 0.02, 0.1])
        self.world.net.duplicate = rng.choice([0.0, 0.05])
        self.world.net.max_delay_s = rng.choice([0.005, 0.02, 0.2])
        self.world.run(rng.choice([0.5, 2.5]), step=0.02)
        for _ in range(rounds):
            self._inject_fault(rng)
            for _ in range(rng.randint(3, 8)):
                self._act(rng)
            self.world.run(rng.choice([0.02, 0.1, 0.6]), step=0.02)
        self._heal()
        self._read_all()

    def _act(self, rng):
        runner = rng.choice(self.runners)
        job = rng.choice(self.jobs)
        action = rng.choice(
            [runner.claim, runner.intend, runner.record, runner.record]
        )
        chance = rng.random()
        if chance < 0.06:
            runner.abandon(job)
        elif chance < 0.12:
            epochs = [each.epochs.get(job, 0) for each in self.runners]
            runner.adopt(job, max(epochs))
        else:
            action(job)

    def _inject_fault(self, rng):
        world = self.world
        chance = rng.random()
        node = rng.choice(list(world.nodes.values()))
        others = [name for name in world.nodes if name != node.name]
        if chance < 0.05 and node.is_up:
            node.crash()
        elif chance < 0.10 and node.is_up:
            node.disk.power_loss = 0.3
        elif chance < 0.13 and self._may_wipe(node):
            if node.is_up:
                node.crash()
            node.wipe()
        elif chance < 0.35:
            for each in world.nodes.values():
                if not each.is_up:
                    each.start()
        elif chance < 0.45:
            direction = rng.choice(["both", "in", "out"])
            world.net.isolate(node.name, others, direction=direction)
        elif chance < 0.60:
            world.net.cuts.clear()

    def _may_wipe(self, node):
        """Whether the group is at full strength and may lose a disk.

        True if every node is a voter with its current disk and the config
        is committed: the protocol only tolerates the loss of a minority.
        """
        leader = self.world.leader()
        if leader is None:
            return False
        config = leader.host.member.config
        voters = [(m.name, m.disk) for m in config.voters]
        current = [(n.name, n.disk_id) for n in self.world.nodes.values()]
        committed = leader.host.member._config_index
        return sorted(voters) == sorted(current) and (
            committed <= leader.host.member.commit
        )

    def _heal(self):
        world = self.world
        world.net.cuts.clear()
        world.net.loss = world.net.duplicate = 0.0
        world.net.max_delay_s = 0.005
        for node in world.nodes.values():
            node.disk.power_loss = 0.0
        for node in world.nodes.values():
            if not node.is_up:
                node.start()
        world.run(8.0, step=0.02)
        if world.leader() is None:
            raise InvariantError("no leader after healing")

    def _read_all(self):
        """Check the result of every job in the healed group's leader."""
        for job in self.jobs:
            leader = self.world.leader()
            machine = leader.machine
            reply = machine.ledger.state_of(job)
            if reply.verdict is ledger.Verdict.FINISHED:
                self.history.record_results(reply)
        self.world.run(1.0, step=0.02)


class LateSyncHost(grouphost.GroupHost):
    """Mutant: sends the messages of ``after_sync`` too early."""

    def _step(self):
        actions = self.member.take_actions()
        if actions.is_empty:
            return False
        for send in actions.before_sync + actions.after_sync:
            self._send(send.to, send.message)
        if actions.needs_sync:
            self._journal.save(actions)
            self.member.on_synced(self._heap.clock.now())
        if actions.install is not None:
            self._machine.load(actions.install.data)
        for entry in actions.committed:
            self._apply(entry)
        return True
