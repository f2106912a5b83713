"""The durable ledger, asked over links to the keepers."""

import typing

from chervilwheel import config
from chervilwheel import groupclient
from chervilwheel import ids
from chervilwheel import ledger
from chervilwheel import ledgers
from chervilwheel import timers

CLAIM_GIVE_UP_S = 4.0
INTEND_GIVE_UP_S = 4.0
RECORD_GIVE_UP_S = 30.0
ORPHANS_GIVE_UP_S = 2.0
ORPHANS_LIMIT = 100
REWATCH_S = 0.5


class KeeperLedger(ledgers.Ledger):
    """Ask the ledger of a submission's home zone.

    :param client: asks the replica groups
    :param runner: this run of this instance
    :param zone: the zone this instance stands in
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
        """Who claims are made for."""
        return self._runner

    def claim(self, claim: ledgers.Claim, done: ledgers.Done) -> None:
        """Claim a submission in its home zone."""

        def interpret(reply: ledger.JobReply | None) -> None:
            # A claim that was sent twice finds itself.
            is_mine = (
                reply is not None
                and reply.verdict is ledger.Verdict.JOINED
                and reply.runner == self._runner
            )
            if reply is not None and is_mine and not claim.is_lookup:
                reply = reply._replace(verdict=ledger.Verdict.OWNED)
            done(reply)

        command = ledgers.claim_command(claim, self._runner)
        self._ask(claim.job, command, CLAIM_GIVE_UP_S, interpret)

    def intend(
        self,
        job: ids.JobId,
        epoch: int,
        tasks: typing.Sequence[int],
        done: ledgers.Done,
    ) -> None:
        """Sync start intents."""
        command = ledger.IntendCommand(job, epoch, tuple(tasks))
        self._ask(job, command, INTEND_GIVE_UP_S, done)

    def record(
        self,
        job: ids.JobId,
        epoch: int,
        results: typing.Sequence[ledger.TaskRecord],
        done: ledgers.Done,
    ) -> None:
        """Sync results."""
        command = ledger.RecordCommand(job, epoch, tuple(results))
        self._ask(job, command, RECORD_GIVE_UP_S, done)

    def cancel(
        self, job: ids.JobId, team: ids.TeamId, done: ledgers.Done
    ) -> None:
        """Forbid further starts."""
        command = ledger.CancelCommand(job, team)
        self._ask(job, command, CLAIM_GIVE_UP_S, done)

    def adopt(self, job: ids.JobId, epoch: int, done: ledgers.Done) -> None:
        """Take a submission over."""
        command = ledger.AdoptCommand(job, epoch, self._runner)
        self._ask(job, command, CLAIM_GIVE_UP_S, done)

    def orphans(
        self,
        live: typing.Sequence[ids.InstanceId],
        done: ledgers.OrphansDone,
    ) -> None:
        """List the zone's submissions that no live runner has."""
        command = ledger.OrphansCommand(tuple(live), ORPHANS_LIMIT)
        self._client.ask(
            config.LEDGER_PREFIX + self._zone,
            ledger.CODEC.encode(command),
            ORPHANS_GIVE_UP_S,
            lambda data: done(
                ledger.CODEC.decode(data).orphans if data else ()
            ),
        )

    def watch(
        self, job: ids.JobId, timeout_s: float, done: ledgers.Done
    ) -> None:
        """Tell when a submission is finished, or None at the timeout."""
        group = self._group(job)
        if group is None:
            done(None)
            return
        ends_at = self._heap.clock.now() + timeout_s
        is_over = False

        def told(data: bytes) -> None:
            nonlocal is_over
            is_over = True
            done(ledger.CODEC.decode(data))

        number = self._client.watch(group, job, told)

        def again() -> None:
            if is_over:
                return
            if self._heap.clock.now() >= ends_at:
                self._client.unwatch(number)
                done(None)
                return
            self._client.rewatch(group, job, number)
            self._heap.call_later(REWATCH_S, again)

        self._heap.call_later(REWATCH_S, again)

    def _group(self, job: ids.JobId) -> str | None:
        home = ids.home_zone(job, zones=self._zones)
        return None if home is None else config.LEDGER_PREFIX + home

    def _ask(
        self,
        job: ids.JobId,
        command: typing.Any,
        give_up_s: float,
        done: ledgers.Done,
    ) -> None:
        group = self._group(job)
        if group is None:
            done(None)
            return
        self._client.ask(
            group,
            ledger.CODEC.encode(command),
            give_up_s,
            lambda data: done(ledger.CODEC.decode(data) if data else None),
        )
