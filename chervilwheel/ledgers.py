"""What a run asks of the ledger, and a ledger without durability."""

import abc
import typing

from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import ledger

Verdict = ledger.Verdict


class Claim(typing.NamedTuple):
    """The wish to run a submission.

    ``intents`` are task numbers whose start is intended at once;
    ``is_lookup`` asks only whether the submission is known.
    """

    job: ids.JobId
    team: ids.TeamId
    spec: jobs.JobSpec
    intents: tuple[int, ...] = ()
    is_lookup: bool = False


Done = typing.Callable[[ledger.JobReply | None], None]
OrphansDone = typing.Callable[[tuple[ledger.Orphan, ...]], None]


class Ledger(abc.ABC):
    """Remembers submissions, start intents and results.

    Each callback comes once, maybe before the method returns; it is
    given None when the ledger could not be asked in time and nothing is
    known of the effect.
    """

    @property
    @abc.abstractmethod
    def runner(self) -> ids.InstanceId:
        """Who claims are made for: this run of this instance."""

    @abc.abstractmethod
    def claim(self, claim: Claim, done: Done) -> None:
        """Ask to run a submission."""

    @abc.abstractmethod
    def intend(
        self,
        job: ids.JobId,
        epoch: int,
        tasks: typing.Sequence[int],
        done: Done,
    ) -> None:
        """Write down that tasks are about to be started."""

    @abc.abstractmethod
    def record(
        self,
        job: ids.JobId,
        epoch: int,
        results: typing.Sequence[ledger.TaskRecord],
        done: Done,
    ) -> None:
        """Write down results."""

    @abc.abstractmethod
    def cancel(self, job: ids.JobId, team: ids.TeamId, done: Done) -> None:
        """Forbid further starts of a submission."""

    @abc.abstractmethod
    def watch(self, job: ids.JobId, timeout_s: float, done: Done) -> None:
        """Tell when a submission is finished."""

    @abc.abstractmethod
    def adopt(self, job: ids.JobId, epoch: int, done: Done) -> None:
        """Take a submission over from a lost runner."""

    @abc.abstractmethod
    def orphans(
        self, live: typing.Sequence[ids.InstanceId], done: OrphansDone
    ) -> None:
        """List submissions of this zone that no live runner has."""


class MemoryLedger(Ledger):
    """A ledger that lives and dies with its process.

    It is the baseline that shows what durability costs, and it serves
    single idempotent requests, which need no durable claim.

    :param runner: who claims are made for
    """

    def __init__(self, *, runner: ids.InstanceId) -> None:
        self._runner = runner
        self._watchers: dict[ids.JobId, list[Done]] = {}
        self._ledger = ledger.Ledger(finished=self._on_finished)

    @property
    def runner(self) -> ids.InstanceId:
        """Who claims are made for."""
        return self._runner

    def claim(self, claim: Claim, done: Done) -> None:
        """Claim a submission in memory."""
        done(self._run(claim_command(claim, self._runner)))

    def intend(
        self,
        job: ids.JobId,
        epoch: int,
        tasks: typing.Sequence[int],
        done: Done,
    ) -> None:
        """Note intents in memory."""
        done(self._run(ledger.IntendCommand(job, epoch, tuple(tasks))))

    def record(
        self,
        job: ids.JobId,
        epoch: int,
        results: typing.Sequence[ledger.TaskRecord],
        done: Done,
    ) -> None:
        """Keep results in memory."""
        done(self._run(ledger.RecordCommand(job, epoch, tuple(results))))

    def cancel(self, job: ids.JobId, team: ids.TeamId, done: Done) -> None:
        """Forbid further starts."""
        done(self._run(ledger.CancelCommand(job, team)))

    def watch(self, job: ids.JobId, timeout_s: float, done: Done) -> None:
        """Tell when a submission of this process is finished."""
        reply = self._ledger.state_of(job)
        if reply.verdict is Verdict.JOINED:
            self._watchers.setdefault(job, []).append(done)
        else:
            done(reply)

    def adopt(self, job: ids.JobId, epoch: int, done: Done) -> None:
        """Take a submission over."""
        done(self._run(ledger.AdoptCommand(job, epoch, self._runner)))

    def orphans(
        self, live: typing.Sequence[ids.InstanceId], done: OrphansDone
    ) -> None:
        """Find none: every run here is this process's own."""
        done(())

    def forget(self, job: ids.JobId) -> None:
        """Drop a submission that nobody can ask for again."""
        self._ledger.drop(job)

    def _run(self, command: typing.Any) -> ledger.JobReply:
        return self._ledger.run(command, wall_ms=0)

    def _on_finished(self, reply: ledger.JobReply) -> None:
        for watcher in self._watchers.pop(reply.job, ()):
            watcher(reply)


def claim_command(claim: Claim, runner: ids.InstanceId) -> ledger.ClaimCommand:
    """Write a claim as a ledger command."""
    tasks = "" if claim.is_lookup else jobs.dump_tasks(claim.spec.tasks)
    return ledger.ClaimCommand(
        job=claim.job,
        team=claim.team,
        digest=claim.spec.digest,
        tasks=tasks,
        intents=claim.intents,
        runner=runner,
        is_lookup=claim.is_lookup,
    )
