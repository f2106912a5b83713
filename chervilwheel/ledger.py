"""The ledger of one zone: submissions, start intents and results.

The ledger is a deterministic state machine: every replica applies the same
commands in the same order and reaches the same state.
"""

import dataclasses
import enum
import typing

from chervilwheel import batches
from chervilwheel import codec
from chervilwheel import ids
from chervilwheel import jobs


class Verdict(enum.Enum):
    """The result of a ledger command."""

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
    """The recorded result of one task."""

    task: int
    outcome: jobs.Outcome
    value: str
    detail: str


class ClaimCommand(typing.NamedTuple):
    """Claim a submission for a runner, or only look it up.

    ``digest`` identifies the specification in ``tasks``; a claim of a known
    submission with another digest is refused. ``intents`` are the tasks that
    the runner starts at once.
    """

    job: ids.JobId
    team: ids.TeamId
    digest: str
    tasks: str
    intents: tuple[int, ...]
    runner: ids.InstanceId
    is_lookup: bool


class IntendCommand(typing.NamedTuple):
    """Record the intent to start tasks, under the runner's epoch."""

    job: ids.JobId
    epoch: int
    tasks: tuple[int, ...]


class RecordCommand(typing.NamedTuple):
    """Record task results, under the runner's epoch."""

    job: ids.JobId
    epoch: int
    results: tuple[TaskRecord, ...]


class AdoptCommand(typing.NamedTuple):
    """Take over a submission from the runner that has ``epoch``."""

    job: ids.JobId
    epoch: int
    runner: ids.InstanceId


class CancelCommand(typing.NamedTuple):
    """Cancel a submission, so that no further task starts."""

    job: ids.JobId
    team: ids.TeamId


class OrphansCommand(typing.NamedTuple):
    """List unfinished submissions whose runner is not in ``live``."""

    live: tuple[ids.InstanceId, ...]
    limit: int


class ForgetCommand(typing.NamedTuple):
    """Delete finished submissions older than a wall time, milliseconds."""

    before_ms: int


class JobReply(typing.NamedTuple):
    """The verdict on a command and the state of its submission."""

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
    """Unfinished submissions whose runner is not live."""

    orphans: tuple[Orphan, ...]


class JobState(typing.NamedTuple):
    """A submission as stored in a snapshot."""

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
    """The whole ledger as stored in a snapshot."""

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
    """The state of one submission."""

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
    """Applies commands to the submissions of one zone.

    :param finished: called with the reply when a submission finishes
    """

    def __init__(
        self, *, finished: typing.Callable[[JobReply], None] | None = None
    ) -> None:
        self._finished = finished
        self._jobs: dict[ids.JobId, _Job] = {}
        self._unfinished: dict[ids.InstanceId, set[ids.JobId]] = {}
        self._forgotten_ms = 0
        # Epochs are unique over all submissions, so that a stale message
        # never matches a submission that was refused and claimed again.
        self._last_epoch = 0
        self.last_wall_ms = 0

    def __len__(self) -> int:
        return len(self._jobs)

    def apply(self, data: bytes) -> list[bytes]:
        """Apply the batch of one log entry.

        :returns: one encoded reply per command
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
        """Return the state of a submission without changing it."""
        existing = self._jobs.get(job)
        if existing is None:
            return JobReply(Verdict.ABSENT, job)
        return self._reply(job, existing)

    def delete_finished(self, job: ids.JobId) -> None:
        """Delete a submission if it is finished."""
        existing = self._jobs.get(job)
        if existing is not None and existing.is_finished:
            del self._jobs[job]

    def dump(self) -> bytes:
        """Encode the whole state for a snapshot."""
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
        """Replace the state with an encoded one; empty data clears it."""
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
        for stored in state.jobs:
            job = _Job(
                team=stored.team,
                digest=stored.digest,
                tasks=stored.tasks,
                task_count=stored.task_count,
                runner=stored.runner,
                epoch=stored.epoch,
                intents=set(stored.intents),
                results={record.task: record for record in stored.results},
                created_ms=stored.created_ms,
                is_cancelled=stored.is_cancelled,
            )
            self._jobs[stored.job] = job
            if not job.is_finished:
                self._add_unfinished(stored.job, job)

    def _add_unfinished(self, name: ids.JobId, job: _Job) -> None:
        self._unfinished.setdefault(job.runner, set()).add(name)

    def _remove_unfinished(self, name: ids.JobId, job: _Job) -> None:
        owned = self._unfinished.get(job.runner, set())
        owned.discard(name)
        if not owned:
            self._unfinished.pop(job.runner, None)

    def _claim(self, command: ClaimCommand, wall_ms: int) -> JobReply:
        existing = self._jobs.get(command.job)
        if existing is not None:
            if existing.team != command.team:
                return JobReply(Verdict.FOREIGN, command.job)
            if command.digest and existing.digest != command.digest:
                return JobReply(Verdict.KEY_REUSED, command.job)
            return self._reply(command.job, existing)
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
        self._add_unfinished(command.job, job)
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
            # A complete result is valid from any runner; every other
            # outcome only from the runner that has the current epoch.
            is_valid = is_current or record.outcome is jobs.Outcome.COMPLETE
            if is_valid and record.task < job.task_count:
                job.results.setdefault(record.task, record)
        return self._finish_if_complete(command.job, job, is_current)

    def _finish_if_complete(
        self, name: ids.JobId, job: _Job, is_current: bool
    ) -> JobReply:
        """Finish a submission that has all its results.

        :param is_current: whether the command had the current epoch
        """
        if job.is_finished:
            self._remove_unfinished(name, job)
            if self._has_not_run(job):
                del self._jobs[name]
            # Only the results are needed once the submission is finished.
            job.tasks = ""
            reply = self._reply(name, job)
            if self._finished is not None:
                self._finished(reply)
            return reply
        verdict = Verdict.SYNCED if is_current else Verdict.FENCED
        return JobReply(verdict, name, epoch=job.epoch)

    @staticmethod
    def _has_not_run(job: _Job) -> bool:
        # No task was started, so the id may be claimed again.
        outcomes = {record.outcome for record in job.results.values()}
        return outcomes == {jobs.Outcome.NOT_RUN} and not job.is_cancelled

    def _adopt(self, command: AdoptCommand, _wall_ms: int) -> JobReply:
        job = self._jobs.get(command.job)
        if job is None:
            return JobReply(Verdict.ABSENT, command.job)
        if job.is_finished or job.epoch != command.epoch:
            return self._reply(command.job, job)
        self._remove_unfinished(command.job, job)
        job.runner = command.runner
        job.epoch = self._next_epoch()
        self._add_unfinished(command.job, job)
        for task, spec in enumerate(jobs.load_tasks(job.tasks)):
            was_intended = task in job.intents and task not in job.results
            if was_intended and not spec.is_idempotent:
                job.results[task] = TaskRecord(
                    task,
                    jobs.Outcome.UNKNOWN,
                    "null",
                    # Part of the replicated state: replicas of different
                    # versions must produce the same text.
                    "its runner was lost after the start was intended",
                )
        if job.is_finished:
            return self._finish_if_complete(command.job, job, True)
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
        expired = [
            name
            for name, job in self._jobs.items()
            if job.is_finished
            and _newest_timestamp_ms(name, job) < command.before_ms
        ]
        for name in expired:
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


def _newest_timestamp_ms(name: ids.JobId, job: _Job) -> int:
    # The clock of the caller that minted the id may run ahead. The
    # submission is only deleted once new claims of ids with its mint time
    # are refused as expired.
    minted = ids.parse_minted(name)
    if minted is None:
        return job.created_ms
    return max(job.created_ms, minted.minted_ms)
