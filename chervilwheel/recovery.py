"""Recovery of submissions whose runner is lost."""

import collections
import logging
import typing

from chervilwheel import ids
from chervilwheel import ledger
from chervilwheel import ledgers
from chervilwheel import membership
from chervilwheel import messages
from chervilwheel import pipeline
from chervilwheel import timers

_LOG = logging.getLogger("recovery")
SCAN_INTERVAL_S = 1.0
UNKNOWN_RUNNER_TIMEOUT_S = 30.0
BOOT_SEPARATOR = "#"


def runner_id(name: str, boot: str) -> ids.InstanceId:
    """Identify one process run of an instance."""
    return ids.InstanceId(f"{name}{BOOT_SEPARATOR}{boot}")


class Recovery:
    """Adopts unfinished submissions of this zone's lost runners.

    Several instances of the zone may try to adopt the same submission: the
    ledger accepts the first one and thereby raises the epoch.

    :param durable_ledger: the durable ledger
    :param job_pipeline: the pipeline that runs adopted submissions to their
        end
    :param view: the membership view
    :param heap: timers
    """

    def __init__(
        self,
        *,
        durable_ledger: ledgers.Ledger,
        job_pipeline: pipeline.Pipeline,
        view: membership.Membership,
        heap: timers.TimerHeap,
    ) -> None:
        self._ledger = durable_ledger
        self._pipeline = job_pipeline
        self._membership = view
        self._heap = heap
        self._started_at = heap.clock.now()
        self._is_scanning = False
        self._gone_since: dict[ids.InstanceId, float] = (
            collections.defaultdict(heap.clock.now)
        )
        self.is_stopped = False
        heap.call_every(SCAN_INTERVAL_S, self._scan)

    def _scan(self) -> None:
        if self._is_scanning or self.is_stopped:
            return
        self._is_scanning = True
        live = [
            runner_id(info.name, info.boot)
            for info in self._membership.live()
            if info.name != self._membership.me.name
        ]
        self._ledger.orphans(live, self._on_orphans)

    def _on_orphans(self, orphans: tuple[ledger.Orphan, ...]) -> None:
        self._is_scanning = False
        for orphan in orphans:
            if self._is_lost(orphan.runner):
                _LOG.info(
                    "recovery: adopting a submission",
                    extra={"job": orphan.job, "from": orphan.runner},
                )
                self._pipeline.adopt(orphan)

    def _is_lost(self, runner: ids.InstanceId) -> bool:
        name, _, boot = runner.partition(BOOT_SEPARATOR)
        if name == self._membership.me.name:
            # The pipeline skips the submissions that it still job_pipeline.
            return True
        member = _find_member(self._membership.all(), name)
        if member is None:
            # After a start the membership view may still be incomplete.
            uptime_s = self._heap.clock.now() - self._started_at
            return uptime_s > UNKNOWN_RUNNER_TIMEOUT_S
        if member.boot != boot:
            return True
        return member.state in (
            messages.MemberState.DEAD,
            messages.MemberState.LEFT,
        )


def _find_member(
    infos: typing.Sequence[messages.MemberInfo], name: str
) -> messages.MemberInfo | None:
    for info in infos:
        if info.name == name:
            return info
    return None
