"""Find submissions whose runner is lost, and finish them here."""

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
SCAN_S = 1.0
UNKNOWN_RUNNER_S = 30.0
BOOT_SEPARATOR = "#"


def runner_id(name: str, boot: str) -> ids.InstanceId:
    """Name one run of an instance."""
    return ids.InstanceId(f"{name}{BOOT_SEPARATOR}{boot}")


class Recovery:
    """Adopt what lost runners of this zone left.

    Every instance of the zone may do so at the same time: the ledger
    lets one of them win.

    :param book: the durable ledger
    :param runs: the pipeline that finishes adopted submissions
    :param view: the membership view
    :param heap: timers
    """

    def __init__(
        self,
        *,
        book: ledgers.Ledger,
        runs: pipeline.Pipeline,
        view: membership.Membership,
        heap: timers.TimerHeap,
    ) -> None:
        self._book = book
        self._runs = runs
        self._view = view
        self._heap = heap
        self._started_at = heap.clock.now()
        self._is_asking = False
        self._gone_since: dict[ids.InstanceId, float] = (
            collections.defaultdict(heap.clock.now)
        )
        self.is_stopped = False
        heap.every(SCAN_S, self._scan)

    def _scan(self) -> None:
        if self._is_asking or self.is_stopped:
            return
        self._is_asking = True
        live = [
            runner_id(info.name, info.boot)
            for info in self._view.live()
            if info.name != self._view.me.name
        ]
        self._book.orphans(live, self._on_orphans)

    def _on_orphans(self, orphans: tuple[ledger.Orphan, ...]) -> None:
        self._is_asking = False
        for orphan in orphans:
            if self._is_gone(orphan.runner):
                _LOG.info(
                    "recovery: adopting a submission",
                    extra={"job": orphan.job, "from": orphan.runner},
                )
                self._runs.adopt(orphan)

    def _is_gone(self, runner: ids.InstanceId) -> bool:
        name, _, boot = runner.partition(BOOT_SEPARATOR)
        if name == self._view.me.name:
            return True
        known = _find(self._view.all(), name)
        if known is None:
            age = self._heap.clock.now() - self._started_at
            return age > UNKNOWN_RUNNER_S
        if known.boot != boot:
            return True
        return known.state in (
            messages.MemberState.DEAD,
            messages.MemberState.LEFT,
        )


def _find(
    infos: typing.Sequence[messages.MemberInfo], name: str
) -> messages.MemberInfo | None:
    for info in infos:
        if info.name == name:
            return info
    return None
