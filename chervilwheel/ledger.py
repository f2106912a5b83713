"""The ledger of one zone: submissions, start intents and results.

A deterministic state machine. Every replica applies the same commands
in the same order and reaches the same state.
"""

import dataclasses
import enum
import typing

from chervilwheel import batches
from chervilwheel import codec
from chervilwheel import ids
from chervilwheel import jobs


class Verdict(enum.Enum):
    """What the ledger says to a command."""

    OWNED = "owned"
    JOINED = "joined"
    FINISHED = "finished"
    ABSENT = "absent"
    KEY_REUSED = "key_reused"
    EXPIRED = "expired"
    FOREIGN = "foreign"
    SYNCED = "synced"
    FENCED = "fenced"
    CANCELLED = "cancelled"


class TaskRecord(typing.NamedTuple):
    """The result of one task."""

    task: int
    outcome: jobs.Outcome
    value: str
    detail: str


class ClaimCommand(typing.NamedTuple):
    """Claim a submission for a runner, or only look it up."""

    job: ids.JobId
    team: ids.TeamId
    digest: str
    tasks: str
    intents: tuple[int, ...]
    runner: ids.InstanceId
    is_lookup: bool


class IntendCommand(typing.NamedTuple):
    """Announce that tasks are about to be started under an epoch."""

    job: ids.JobId
    epoch: int
    tasks: tuple[int, ...]


class RecordCommand(typing.NamedTuple):
    """Record results under an epoch."""

    job: ids.JobId
    epoch: int
    results: tuple[TaskRecord, ...]


class AdoptCommand(typing.NamedTuple):
    """Take a submission over from the runner of an epoch."""

    job: ids.JobId
    epoch: int
    runner: ids.InstanceId


class CancelCommand(typing.NamedTuple):
    """Forbid further starts of a submission."""

    job: ids.JobId
    team: ids.TeamId


class OrphansCommand(typing.NamedTuple):
    """List unfinished submissions whose runner is not among the live."""

    live: tuple[ids.InstanceId, ...]
    limit: int


class ForgetCommand(typing.NamedTuple):
    """Forget finished submissions older than a time, milliseconds."""

    before_ms: int


class JobReply(typing.NamedTuple):
    """What the ledger knows of a submission."""

    verdict: Verdict
    job: ids.JobId
    epoch: int = 0
    runner: ids.InstanceId = ids.InstanceId("")
    results: tuple[TaskRecord, ...] = ()
    tasks: str = ""
    digest: str = ""
    team: ids.TeamId = ids.TeamId("")
    intents: tuple[int, ...] = ()


class Orphan(typing.NamedTuple):
    """An unfinished submission, its epoch and its runner."""

    job: ids.JobId
    epoch: int
    runner: ids.InstanceId


class OrphansReply(typing.NamedTuple):
    """Unfinished submissions without a live runner."""

    orphans: tuple[Orphan, ...]


class JobState(typing.NamedTuple):
    """A submission within a snapshot."""

    job: ids.JobId
    team: ids.TeamId
    digest: str
    tasks: str
    task_count: int
    runner: ids.InstanceId
    epoch: int
    intents: tuple[int, ...]
    results: tuple[TaskRecord, ...]
    created_ms: int
    is_cancelled: bool


class LedgerState(typing.NamedTuple):
    """The whole ledger, as a snapshot holds it."""

    jobs: tuple[JobState, ...]
    forgotten_ms: int
    last_wall_ms: int
    last_epoch: int


CODEC = codec.Codec(
    schema="records.capnp",
    root="Record",
    kinds=[
        ClaimCommand,
        IntendCommand,
        RecordCommand,
        AdoptCommand,
        CancelCommand,
        OrphansCommand,
        ForgetCommand,
        JobReply,
        OrphansReply,
        LedgerState,
    ],
)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Job:
    """One submission."""

    team: ids.TeamId
    digest: str
    tasks: str
    task_count: int
    runner: ids.InstanceId
    epoch: int
    intents: set[int]
    results: dict[int, TaskRecord]
    created_ms: int
    is_cancelled: bool = False

    @property
    def is_finished(self) -> bool:
        return len(self.results) >= self.task_count


Reply = JobReply | OrphansReply


class Ledger:
    """Apply commands to the submissions of one zone.

    :param finished: called with a submission's reply when it finishes
    """

    def __init__(
        self, *, finished: typing.Callable[[JobReply], None] | None = None
    ) -> None:
        self._finished = finished
        self._jobs: dict[ids.JobId, _Job] = {}
        self._unfinished: dict[ids.InstanceId, set[ids.JobId]] = {}
        self._forgotten_ms = 0
        # Epochs count over all submissions, so that a stale message never
        # matches a submission that was refused and claimed anew.
        self._last_epoch = 0
        self.last_wall_ms = 0

    def __len__(self) -> int:
        return len(self._jobs)

    def apply(self, data: bytes) -> list[bytes]:
        """Apply the batch of one log entry.

        :returns: an encoded reply for each command
        """
        batch = batches.CODEC.decode(data)
        self.last_wall_ms = max(self.last_wall_ms, batch.wall_ms)
        replies = []
        for command in batch.commands:
            reply = self.run(CODEC.decode(command), wall_ms=batch.wall_ms)
            replies.append(CODEC.encode(reply))
        return replies

    def run(self, command: typing.Any, *, wall_ms: int) -> Reply:
        """Apply one command.

        :param wall_ms: the leader's wall time, milliseconds
        """
        handlers: dict[type, typing.Callable[..., Reply]] = {
            ClaimCommand: self._claim,
            IntendCommand: self._intend,
            RecordCommand: self._record,
            AdoptCommand: self._adopt,
            CancelCommand: self._cancel,
            OrphansCommand: self._orphans,
            ForgetCommand: self._forget,
        }
        return handlers[type(command)](command, wall_ms)

    def state_of(self, job: ids.JobId) -> JobReply:
        """Tell what is known of a submission, without changing it."""
        known = self._jobs.get(job)
        if known is None:
            return JobReply(Verdict.ABSENT, job)
        return self._reply(job, known)

    def drop(self, job: ids.JobId) -> None:
        """Forget a finished submission at once."""
        known = self._jobs.get(job)
        if known is not None and known.is_finished:
            del self._jobs[job]

    def dump(self) -> bytes:
        """Encode the whole state."""
        states = tuple(
            JobState(
                job=name,
                team=job.team,
                digest=job.digest,
                tasks=job.tasks,
                task_count=job.task_count,
                runner=job.runner,
                epoch=job.epoch,
                intents=tuple(sorted(job.intents)),
                results=tuple(job.results.values()),
                created_ms=job.created_ms,
                is_cancelled=job.is_cancelled,
            )
            for name, job in self._jobs.items()
        )
        return CODEC.encode(
            LedgerState(
                states,
                self._forgotten_ms,
                self.last_wall_ms,
                self._last_epoch,
            )
        )

    def load(self, data: bytes) -> None:
        """Take over an encoded state."""
        self._jobs = {}
        self._unfinished = {}
        self._forgotten_ms = 0
        self._last_epoch = 0
        self.last_wall_ms = 0
        if not data:
            return
        state = CODEC.decode(data)
        self._forgotten_ms = state.forgotten_ms
        self.last_wall_ms = state.last_wall_ms
        self._last_epoch = state.last_epoch
        for each in state.jobs:
            job = _Job(
                team=each.team,
                digest=each.digest,
                tasks=each.tasks,
                task_count=each.task_count,
                runner=each.runner,
                epoch=each.epoch,
                intents=set(each.intents),
                results={record.task: record for record in each.results},
                created_ms=each.created_ms,
                is_cancelled=each.is_cancelled,
            )
            self._jobs[each.job] = job
            if not job.is_finished:
                self._own(each.job, job)

    def _own(self, name: ids.JobId, job: _Job) -> None:
        self._unfinished.setdefault(job.runner, set()).add(name)

    def _disown(self, name: ids.JobId, job: _Job) -> None:
        owned = self._unfinished.get(job.runner, set())
        owned.discard(name)
        if not owned:
            self._unfinished.pop(job.runner, None)

    def _claim(self, command: ClaimCommand, wall_ms: int) -> JobReply:
        known = self._jobs.get(command.job)
        if known is not None:
            if known.team != command.team:
                return JobReply(Verdict.FOREIGN, command.job)
            if command.digest and known.digest != command.digest:
                return JobReply(Verdict.KEY_REUSED, command.job)
            return self._reply(command.job, known)
        minted = ids.parse_minted(command.job)
        if minted is not None and minted.minted_ms < self._forgotten_ms:
            return JobReply(Verdict.EXPIRED, command.job)
        if command.is_lookup:
            return JobReply(Verdict.ABSENT, command.job)
        job = _Job(
            team=command.team,
            digest=command.digest,
            tasks=command.tasks,
            task_count=len(jobs.load_tasks(command.tasks)),
            runner=command.runner,
            epoch=self._next_epoch(),
            intents=set(command.intents),
            results={},
            created_ms=wall_ms,
        )
        self._jobs[command.job] = job
        self._own(command.job, job)
        return JobReply(
            Verdict.OWNED,
            command.job,
            epoch=job.epoch,
            runner=command.runner,
        )

    def _next_epoch(self) -> int:
        self._last_epoch += 1
        return self._last_epoch

    def _intend(self, command: IntendCommand, _wall_ms: int) -> JobReply:
        job = self._jobs.get(command.job)
        if job is None or job.epoch != command.epoch or job.is_finished:
            return JobReply(Verdict.FENCED, command.job)
        if job.is_cancelled:
            return JobReply(Verdict.CANCELLED, command.job)
        if any(task in job.results for task in command.tasks):
            return JobReply(Verdict.FENCED, command.job)
        job.intents.update(command.tasks)
        return JobReply(Verdict.SYNCED, command.job, epoch=job.epoch)

    def _record(self, command: RecordCommand, _wall_ms: int) -> JobReply:
        job = self._jobs.get(command.job)
        if job is None:
            return JobReply(Verdict.FENCED, command.job)
        if job.is_finished:
            return self._reply(command.job, job)
        is_current = job.epoch == command.epoch
        for record in command.results:
            # A complete result is true whoever brings it; every other
            # one only from the present runner.
            is_true = is_current or record.outcome is jobs.Outcome.COMPLETE
            if is_true and record.task < job.task_count:
                job.results.setdefault(record.task, record)
        return self._settle(command.job, job, is_current)

    def _settle(
        self, name: ids.JobId, job: _Job, is_current: bool
    ) -> JobReply:
        if job.is_finished:
            self._disown(name, job)
            if self._never_ran(job):
                del self._jobs[name]
            # The specification is of no more use; the answer is.
            job.tasks = ""
            reply = self._reply(name, job)
            if self._finished is not None:
                self._finished(reply)
            return reply
        verdict = Verdict.SYNCED if is_current else Verdict.FENCED
        return JobReply(verdict, name, epoch=job.epoch)

    @staticmethod
    def _never_ran(job: _Job) -> bool:
        # Such a submission may be claimed anew under its id.
        outcomes = {record.outcome for record in job.results.values()}
        return outcomes == {jobs.Outcome.NOT_RUN} and not job.is_cancelled

    def _adopt(self, command: AdoptCommand, _wall_ms: int) -> JobReply:
        job = self._jobs.get(command.job)
        if job is None:
            return JobReply(Verdict.ABSENT, command.job)
        if job.is_finished or job.epoch != command.epoch:
            return self._reply(command.job, job)
        self._disown(command.job, job)
        job.runner = command.runner
        job.epoch = self._next_epoch()
        self._own(command.job, job)
        for task, spec in enumerate(jobs.load_tasks(job.tasks)):
            was_intended = task in job.intents and task not in job.results
            if was_intended and not spec.is_idempotent:
                job.results[task] = TaskRecord(
                    task,
                    jobs.Outcome.UNKNOWN,
                    "null",
                    "its runner was lost after the start was intended",
                )
        if job.is_finished:
            return self._settle(command.job, job, True)
        return self._reply(command.job, job)._replace(
            verdict=Verdict.OWNED, tasks=job.tasks
        )

    def _cancel(self, command: CancelCommand, _wall_ms: int) -> JobReply:
        job = self._jobs.get(command.job)
        if job is None:
            return JobReply(Verdict.ABSENT, command.job)
        if job.team != command.team:
            return JobReply(Verdict.FOREIGN, command.job)
        job.is_cancelled = True
        return self._reply(command.job, job)

    def _orphans(self, command: OrphansCommand, _wall_ms: int) -> OrphansReply:
        live = set(command.live)
        orphans = [
            Orphan(name, self._jobs[name].epoch, runner)
            for runner, owned in self._unfinished.items()
            if runner not in live
            for name in sorted(owned)
        ]
        return OrphansReply(tuple(orphans[: command.limit]))

    def _forget(self, command: ForgetCommand, _wall_ms: int) -> JobReply:
        self._forgotten_ms = max(self._forgotten_ms, command.before_ms)
        old = [
            name
            for name, job in self._jobs.items()
            if job.is_finished and _age_ms(name, job) < command.before_ms
        ]
        for name in old:
            del self._jobs[name]
        return JobReply(Verdict.SYNCED, ids.JobId(""))

    def _reply(self, name: ids.JobId, job: _Job) -> JobReply:
        verdict = Verdict.FINISHED if job.is_finished else Verdict.JOINED
        results = tuple(job.results[task] for task in sorted(job.results))
        return JobReply(
            verdict=verdict,
            job=name,
            epoch=job.epoch,
            runner=job.runner,
            results=results,
            digest=job.digest,
            team=job.team,
            intents=tuple(sorted(job.intents)),
        )


def _age_ms(name: ids.JobId, job: _Job) -> int:
    # A caller's clock may run ahead: an id is only forgotten once ids
    # of its own time are refused.
    minted = ids.parse_minted(name)
    if minted is None:
        return job.created_ms
    return max(job.created_ms, minted.minted_ms)
