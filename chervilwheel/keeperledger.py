"""Client of the durable ledger that the keepers replicate."""

import typing

from chervilwheel import config
from chervilwheel import groupclient
from chervilwheel import ids
from chervilwheel import ledger
from chervilwheel import ledgers
from chervilwheel import timers

CLAIM_TIMEOUT_S = 4.0
INTEND_TIMEOUT_S = 4.0
RECORD_TIMEOUT_S = 30.0
ORPHANS_TIMEOUT_S = 2.0
ORPHANS_LIMIT = 100
REWATCH_INTERVAL_S = 0.5


class KeeperLedger(ledgers.Ledger):
    """Sends each command to the ledger of the submission's home zone.

    :param client: sends commands to the replica groups
    :param runner: this process run of this instance
    :param zone: the zone of this instance
    :param zones: every availability zone
    :param heap: timers
    """

    def __init__(
        self,
        *,
        client: groupclient.GroupClient,
        runner: ids.InstanceId,
        zone: ids.ZoneId,
        zones: typing.Sequence[ids.ZoneId],
        heap: timers.TimerHeap,
    ) -> None:
        self._client = client
        self._runner = runner
        self._zone = zone
        self._zones = tuple(zones)
        self._heap = heap

    @property
    def runner(self) -> ids.InstanceId:
        """The runner that claims are made for."""
        return self._runner

    def claim(self, claim: ledgers.Claim, done: ledgers.ReplyCallback) -> None:
        """Claim a submission in its home zone."""

        def on_reply(reply: ledger.JobReply | None) -> None:
            # A resent claim that was already applied is answered JOINED
            # with this runner as the owner.
            is_own_claim = (
                reply is not None
                and reply.verdict is ledger.Verdict.JOINED
                and reply.runner == self._runner
            )
            if reply is not None and is_own_claim and not claim.is_lookup:
                reply = reply._replace(verdict=ledger.Verdict.OWNED)
            done(reply)

        command = ledgers.claim_command(claim, self._runner)
        self._send(claim.job, command, CLAIM_TIMEOUT_S, on_reply)

    def intend(
        self,
        job: ids.JobId,
        epoch: int,
        tasks: typing.Sequence[int],
        done: ledgers.ReplyCallback,
    ) -> None:
        """Record start intents durably."""
        command = ledger.IntendCommand(job, epoch, tuple(tasks))
        self._send(job, command, INTEND_TIMEOUT_S, done)

    def record(
        self,
        job: ids.JobId,
        epoch: int,
        results: typing.Sequence[ledger.TaskRecord],
        done: ledgers.ReplyCallback,
    ) -> None:
        """Record results durably."""
        command = ledger.RecordCommand(job, epoch, tuple(results))
        self._send(job, command, RECORD_TIMEOUT_S, done)

    def cancel(
        self, job: ids.JobId, team: ids.TeamId, done: ledgers.ReplyCallback
    ) -> None:
        """Cancel a submission, so that no further task starts."""
        command = ledger.CancelCommand(job, team)
        self._send(job, command, CLAIM_TIMEOUT_S, done)

    def adopt(
        self, job: ids.JobId, epoch: int, done: ledgers.ReplyCallback
    ) -> None:
        """Take over a submission, fencing off the runner of the epoch."""
        command = ledger.AdoptCommand(job, epoch, self._runner)
        self._send(job, command, CLAIM_TIMEOUT_S, done)

    def orphans(
        self,
        live: typing.Sequence[ids.InstanceId],
        done: ledgers.OrphansCallback,
    ) -> None:
        """List the zone's unfinished submissions without a live runner."""
        command = ledger.OrphansCommand(tuple(live), ORPHANS_LIMIT)
        self._client.execute(
            config.LEDGER_PREFIX + self._zone,
            ledger.CODEC.encode(command),
            ORPHANS_TIMEOUT_S,
            lambda data: done(
                ledger.CODEC.decode(data).orphans if data else ()
            ),
        )

    def watch(
        self, job: ids.JobId, timeout_s: float, done: ledgers.ReplyCallback
    ) -> None:
        """Call ``done`` when a submission is finished.

        At the timeout ``done`` is given None. The request is repeated at
        an interval, since a new leader doesn't have the watchers of the
        former one.
        """
        group = self._ledger_group(job)
        if group is None:
            done(None)
            return
        deadline = self._heap.clock.now() + timeout_s
        is_finished = False

        def on_finished(data: bytes) -> None:
            nonlocal is_finished
            is_finished = True
            done(ledger.CODEC.decode(data))

        number = self._client.watch(group, job, on_finished)

        def rewatch() -> None:
            if is_finished:
                return
            if self._heap.clock.now() >= deadline:
                self._client.unwatch(number)
                done(None)
                return
            self._client.resend_watch(group, job, number)
            self._heap.call_later(REWATCH_INTERVAL_S, rewatch)

        self._heap.call_later(REWATCH_INTERVAL_S, rewatch)

    def _ledger_group(self, job: ids.JobId) -> str | None:
        home_zone = ids.home_zone(job, zones=self._zones)
        return None if home_zone is None else config.LEDGER_PREFIX + home_zone

    def _send(
        self,
        job: ids.JobId,
        command: typing.Any,
        timeout_s: float,
        done: ledgers.ReplyCallback,
    ) -> None:
        group = self._ledger_group(job)
        if group is None:
            done(None)
            return
        self._client.execute(
            group,
            ledger.CODEC.encode(command),
            timeout_s,
            lambda data: done(ledger.CODEC.decode(data) if data else None),
        )
