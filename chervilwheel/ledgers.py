"""The ledger interface, and an implementation without durability."""

import abc
import typing

from chervilwheel import ids
from chervilwheel import jobs
from chervilwheel import ledger

Verdict = ledger.Verdict


class Claim(typing.NamedTuple):
    """A request to run a submission.

    ``intents`` are the numbers of the tasks to start at once; with
    ``is_lookup`` the submission is only looked up, not claimed.
    """

    job: ids.JobId
    team: ids.TeamId
    spec: jobs.JobSpec
    intents: tuple[int, ...] = ()
    is_lookup: bool = False


ReplyCallback = typing.Callable[[ledger.JobReply | None], None]
OrphansCallback = typing.Callable[[tuple[ledger.Orphan, ...]], None]


class Ledger(abc.ABC):
    """Records submissions, start intents and results.

    Each callback is called once, possibly before the method returns. It
    is given None when the ledger did not answer before the timeout; the
    command may or may not have been applied then.
    """

    @property
    @abc.abstractmethod
    def runner(self) -> ids.InstanceId:
        """The runner that claims are made for: this process run."""

    @abc.abstractmethod
    def claim(self, claim: Claim, done: ReplyCallback) -> None:
        """Claim a submission, or look it up."""

    @abc.abstractmethod
    def intend(
        self,
        job: ids.JobId,
        epoch: int,
        tasks: typing.Sequence[int],
        done: ReplyCallback,
    ) -> None:
        """Record the intent to start tasks."""

    @abc.abstractmethod
    def record(
        self,
        job: ids.JobId,
        epoch: int,
        results: typing.Sequence[ledger.TaskRecord],
        done: ReplyCallback,
    ) -> None:
        """Record task results."""

    @abc.abstractmethod
    def cancel(
        self, job: ids.JobId, team: ids.TeamId, done: ReplyCallback
    ) -> None:
        """Cancel a submission, so that no further task starts."""

    @abc.abstractmethod
    def watch(
        self, job: ids.JobId, timeout_s: float, done: ReplyCallback
    ) -> None:
        """Call ``done`` when a submission is finished."""

    @abc.abstractmethod
    def adopt(self, job: ids.JobId, epoch: int, done: ReplyCallback) -> None:
        """Take over a submission from a lost runner."""

    @abc.abstractmethod
    def orphans(
        self, live: typing.Sequence[ids.InstanceId], done: OrphansCallback
    ) -> None:
        """List the zone's unfinished submissions without a live runner."""


class MemoryLedger(Ledger):
    """A ledger in memory, lost when the process ends.

    It is the baseline for measuring the cost of durability, and it serves
    single idempotent requests, which need no durable claim.

    :param runner: the runner that claims are made for
    """

    def __init__(self, *, runner: ids.InstanceId) -> None:
        self._runner = runner
        self._watchers: dict[ids.JobId, list[ReplyCallback]] = {}
        self._ledger = ledger.Ledger(finished=self._on_finished)

    @property
    def runner(self) -> ids.InstanceId:
        """The runner that claims are made for."""
        return self._runner

    def claim(self, claim: Claim, done: ReplyCallback) -> None:
        """Claim a submission in memory."""
        done(self._run(claim_command(claim, self._runner)))

    def intend(
        self,
        job: ids.JobId,
        epoch: int,
        tasks: typing.Sequence[int],
        done: ReplyCallback,
    ) -> None:
        """Record intents in memory."""
        done(self._run(ledger.IntendCommand(job, epoch, tuple(tasks))))

    def record(
        self,
        job: ids.JobId,
        epoch: int,
        results: typing.Sequence[ledger.TaskRecord],
        done: ReplyCallback,
    ) -> None:
        """Record results in memory."""
        done(self._run(ledger.RecordCommand(job, epoch, tuple(results))))

    def cancel(
        self, job: ids.JobId, team: ids.TeamId, done: ReplyCallback
    ) -> None:
        """Cancel a submission, so that no further task starts."""
        done(self._run(ledger.CancelCommand(job, team)))

    def watch(
        self, job: ids.JobId, timeout_s: float, done: ReplyCallback
    ) -> None:
        """Call ``done`` when a submission of this process is finished."""
        reply = self._ledger.state_of(job)
        if reply.verdict is Verdict.JOINED:
            self._watchers.setdefault(job, []).append(done)
        else:
            done(reply)

    def adopt(self, job: ids.JobId, epoch: int, done: ReplyCallback) -> None:
        """Take over a submission."""
        done(self._run(ledger.AdoptCommand(job, epoch, self._runner)))

    def orphans(
        self, live: typing.Sequence[ids.InstanceId], done: OrphansCallback
    ) -> None:
        """Return none, since all submissions belong to this process."""
        done(())

    def delete_finished(self, job: ids.JobId) -> None:
        """Delete a finished submission that can't be looked up again."""
        self._ledger.delete_finished(job)

    def _run(self, command: typing.Any) -> ledger.JobReply:
        return self._ledger.run(command, wall_ms=0)

    def _on_finished(self, reply: ledger.JobReply) -> None:
        for done in self._watchers.pop(reply.job, ()):
            done(reply)


def claim_command(claim: Claim, runner: ids.InstanceId) -> ledger.ClaimCommand:
    """Build the ledger command of a claim."""
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
