"""Commit cancelled jobs to the log and tell the entry hosts of them."""

import itertools
import typing

from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel import timers
from chervilwheel.control import canceltable
from chervilwheel.control import documents
from chervilwheel.control import groupcalls

# One command; larger ones would delay the heartbeats of the leader.
MAX_BATCH = 1_000
COMMIT_TIMEOUT_S = 0.9
# One message to an entry host.
MAX_NEWS = 4_000


class LoggedCancels(canceltable.CancelStore):
    """The cancelled jobs in the log of the control hosts.

    Those that arrive while a command is on its way are in the next one.

    :param calls: runs commands on the leader
    :param heap: timers
    :param table: the jobs as applied by this host
    """

    def __init__(
        self,
        *,
        calls: groupcalls.GroupCalls,
        heap: timers.TimerHeap,
        table: canceltable.CancelTable,
    ) -> None:
        self._calls = calls
        self._heap = heap
        self._table = table
        self._queued: dict[ids.JobId, list[canceltable.Recorded]] = {}
        self._sent: dict[ids.JobId, list[canceltable.Recorded]] = {}
        self._began_at = heap.clock.now()
        self._began_ms = 0

    def begin(self) -> None:
        """Continue the table's time, as the leader."""
        self._began_at = self._heap.clock.now()
        self._began_ms = self._table.clock_ms

    def holds(self, job: ids.JobId) -> bool:
        """Return whether a job is cancelled or about to be."""
        return job in self._table or job in self._queued or job in self._sent

    def has_room(self, job: ids.JobId) -> bool:
        """Return whether a job can be recorded."""
        if self.holds(job):
            return True
        count = len(self._queued) + len(self._sent) + 1
        return self._table.has_room(count, self._clock_ms())

    def record(self, job: ids.JobId, done: canceltable.Recorded) -> None:
        """Commit a cancelled job to the log."""
        self._queued.setdefault(job, []).append(done)
        if not self._sent:
            self._send()

    def _clock_ms(self) -> int:
        elapsed_s = self._heap.clock.now() - self._began_at
        return self._began_ms + int(elapsed_s * canceltable.MS_PER_S)

    def _send(self) -> None:
        jobs = list(itertools.islice(self._queued, MAX_BATCH))
        self._sent = {job: self._queued.pop(job) for job in jobs}
        command = documents.ReadDocument(
            0, cancelled=tuple(jobs), cancelled_at_ms=self._clock_ms()
        )
        self._calls.call(
            documents.CODEC.encode(command), COMMIT_TIMEOUT_S, self._on_reply
        )

    def _on_reply(self, reply: bytes | None) -> None:
        sent, self._sent = self._sent, {}
        if self._queued:
            self._send()
        for job, callbacks in sent.items():
            # Without a reply it may be committed nevertheless.
            verdict = messages.CancelVerdict.UNSETTLED
            if reply is not None and job in self._table:
                verdict = messages.CancelVerdict.SETTLED
            for done in callbacks:
                done(verdict)


class CancelFeed:
    """Send entry hosts the cancelled jobs that they haven't been sent.

    :param table: the jobs as applied by this host
    """

    def __init__(self, *, table: canceltable.CancelTable) -> None:
        self._table = table
        self._links: dict[ids.InstanceId, peers.MessageLink] = {}
        # How many records each was sent.
        self._sent: dict[ids.InstanceId, int] = {}

    def add(self, link: peers.MessageLink) -> None:
        """Record the link to an entry host that takes these messages."""
        if self._links.get(link.peer) is not link:
            self._links[link.peer] = link
            self._sent[link.peer] = 0

    def keep(self, entries: typing.Container[ids.InstanceId]) -> None:
        """Forget the other entry hosts."""
        for name in list(self._links):
            if name not in entries:
                del self._links[name], self._sent[name]

    def restart(self) -> None:
        """Send everything again, since another holder may have sent it."""
        self._sent = dict.fromkeys(self._links, 0)

    def send_to(self, entry: ids.InstanceId) -> None:
        """Send an entry host what it lacks."""
        if self._sent.get(entry, self._table.count) != self._table.count:
            self._send(entry, self._news_since(self._sent[entry]))

    def send(self) -> None:
        """Send each entry host what it lacks."""
        news_by_count: dict[int, list[messages.CancelNews]] = {}
        for name, count in self._sent.items():
            if count == self._table.count:
                continue
            if count not in news_by_count:
                news_by_count[count] = self._news_since(count)
            self._send(name, news_by_count[count])

    def _send(
        self, entry: ids.InstanceId, news: list[messages.CancelNews]
    ) -> None:
        for each in news:
            self._links[entry].send(each)
        self._sent[entry] = self._table.count

    def _news_since(self, count: int) -> list[messages.CancelNews]:
        jobs = self._table.since(count)
        return [
            messages.CancelNews(tuple(jobs[start : start + MAX_NEWS]))
            for start in range(0, len(jobs), MAX_NEWS)
        ]
