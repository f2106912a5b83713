"""What a run asks of the ledger, and a ledger without durability."""

import abc
import enum
import typing

from chervilwheel import ids
from chervilwheel import jobs


class Verdict(enum.Enum):
    """What the ledger says to a claim."""

    OWNED = "owned"
    JOINED = "joined"
    FINISHED = "finished"
    ABSENT = "absent"
    KEY_REUSED = "key_reused"
    EXPIRED = "expired"
    FOREIGN = "foreign"
    UNREACHABLE = "unreachable"


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


class ClaimReply(typing.NamedTuple):
    """What the ledger says; ``answer`` only when finished."""

    verdict: Verdict
    epoch: int = 0
    answer: jobs.Answer | None = None


class IntentVerdict(enum.Enum):
    """Whether the intended tasks may be started."""

    SYNCED = "synced"
    FENCED = "fenced"
    UNREACHABLE = "unreachable"


class Recorded(typing.NamedTuple):
    """The result of one task of a submission."""

    task: int
    result: jobs.TaskResult


ClaimDone = typing.Callable[[ClaimReply], None]
IntentDone = typing.Callable[[IntentVerdict], None]
RecordDone = typing.Callable[[bool], None]
WatchDone = typing.Callable[[ClaimReply], None]


class Ledger(abc.ABC):
    """Remembers submissions, start intents and results.

    Callbacks come once each, maybe before the method returns.
    """

    @abc.abstractmethod
    def claim(self, claim: Claim, done: ClaimDone) -> None:
        """Ask to run a submission."""

    @abc.abstractmethod
    def intend(
        self,
        job: ids.JobId,
        epoch: int,
        tasks: typing.Sequence[int],
        done: IntentDone,
    ) -> None:
        """Write down that tasks are about to be started."""

    @abc.abstractmethod
    def record(
        self,
        job: ids.JobId,
        epoch: int,
        results: typing.Sequence[Recorded],
        done: RecordDone,
    ) -> None:
        """Write down results; ``done`` tells whether they are kept."""

    @abc.abstractmethod
    def watch(self, job: ids.JobId, timeout_s: float, done: WatchDone) -> None:
        """Tell when a submission is finished, or its state at the end."""


class _Entry:
    """A submission of the memory ledger."""

    def __init__(self, *, claim: Claim) -> None:
        self.team = claim.team
        self.digest = claim.spec.digest
        self.results: list[jobs.TaskResult | None] = [
            None for _ in claim.spec.tasks
        ]
        self.watchers: list[WatchDone] = []


class MemoryLedger(Ledger):
    """A ledger that lives and dies with its process.

    It is the baseline that shows what durability costs.
    """

    def __init__(self) -> None:
        self._entries: dict[ids.JobId, _Entry] = {}

    def claim(self, claim: Claim, done: ClaimDone) -> None:
        """Claim a submission in memory."""
        entry = self._entries.get(claim.job)
        if entry is None:
            if claim.is_lookup:
                done(ClaimReply(Verdict.ABSENT))
                return
            self._entries[claim.job] = _Entry(claim=claim)
            done(ClaimReply(Verdict.OWNED, epoch=1))
        elif entry.team != claim.team:
            done(ClaimReply(Verdict.FOREIGN))
        elif entry.digest != claim.spec.digest:
            done(ClaimReply(Verdict.KEY_REUSED))
        else:
            done(self._state(claim.job, entry))

    def intend(
        self,
        job: ids.JobId,
        epoch: int,
        tasks: typing.Sequence[int],
        done: IntentDone,
    ) -> None:
        """Agree at once: nothing outlives the process anyway."""
        done(IntentVerdict.SYNCED)

    def record(
        self,
        job: ids.JobId,
        epoch: int,
        results: typing.Sequence[Recorded],
        done: RecordDone,
    ) -> None:
        """Keep results in memory."""
        entry = self._entries[job]
        for recorded in results:
            entry.results[recorded.task] = recorded.result
        done(True)
        reply = self._state(job, entry)
        if reply.verdict is Verdict.FINISHED:
            watchers, entry.watchers = entry.watchers, []
            for watcher in watchers:
                watcher(reply)

    def watch(self, job: ids.JobId, timeout_s: float, done: WatchDone) -> None:
        """Tell when a submission of this process is finished."""
        entry = self._entries.get(job)
        if entry is None:
            done(ClaimReply(Verdict.ABSENT))
            return
        reply = self._state(job, entry)
        if reply.verdict is Verdict.FINISHED:
            done(reply)
        else:
            entry.watchers.append(done)

    def _state(self, job: ids.JobId, entry: _Entry) -> ClaimReply:
        results = [each for each in entry.results if each is not None]
        if len(results) < len(entry.results):
            return ClaimReply(Verdict.JOINED, epoch=1)
        answer = jobs.conclude(job, results)
        return ClaimReply(Verdict.FINISHED, epoch=1, answer=answer)
