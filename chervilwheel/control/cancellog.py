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
        is_given_up = canceltable.is_given_up_record(job)
        count = len(self._queued) + len(self._sent)
        if is_given_up:
            count = sum(
                canceltable.is_given_up_record(each)
                for each in itertools.chain(self._queued, self._sent)
            )
        return self._table.has_room(
            count + 1, self._clock_ms(), are_given_up=is_given_up
        )

    def age_s(self, job: ids.JobId) -> float:
        """Return how long a job has been in the log, seconds."""
        return self._table.age_s(job, self._clock_ms())

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
        clock_ms = max(self._clock_ms(), self._table.clock_ms + 1)
        command = documents.ReadDocument(
            0, cancelled=tuple(jobs), cancelled_at_ms=clock_ms
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


class _Receiver:
    """An entry host that takes these messages.

    :ivar known_ms: the time up to which it has said to know all
    :ivar sent_ms: the time up to which it was sent all
    """

    def __init__(self, *, link: peers.MessageLink, known_ms: int) -> None:
        self.link = link
        self.known_ms = known_ms
        self.sent_ms = known_ms


class CancelFeed:
    """Send entry hosts the cancelled jobs that they don't know.

    Control hosts have the same times for the same jobs, so that a new leader
    goes on where the former one ended.

    :param table: the jobs as applied by this host
    """

    def __init__(self, *, table: canceltable.CancelTable) -> None:
        self._table = table
        self._receivers: dict[ids.InstanceId, _Receiver] = {}

    def record_heartbeat(self, link: peers.MessageLink, known_ms: int) -> None:
        """Record what an entry host that takes these messages knows.

        :param known_ms: the time up to which it knows all
        """
        receiver = self._receivers.get(link.peer)
        if receiver is None or receiver.link is not link:
            receiver = _Receiver(link=link, known_ms=known_ms)
            self._receivers[link.peer] = receiver
        receiver.known_ms = known_ms

    def keep(self, entries: typing.Container[ids.InstanceId]) -> None:
        """Forget the other entry hosts."""
        for name in list(self._receivers):
            if name not in entries:
                del self._receivers[name]

    def restart(self) -> None:
        """Begin as the leader, with what the entry hosts said to know."""
        for receiver in self._receivers.values():
            receiver.sent_ms = receiver.known_ms

    def send_all(self) -> None:
        """Send each entry host what it lacks."""
        self.send(self._receivers)

    def send(self, entries: typing.Iterable[ids.InstanceId]) -> None:
        """Send some entry hosts what they lack, if they take it."""
        clock_ms = self._table.clock_ms
        by_time: dict[int, list[_Receiver]] = {}
        for name in entries:
            receiver = self._receivers.get(name)
            if receiver is None or receiver.sent_ms == clock_ms:
                continue
            # A later time is of another log, before all disks were replaced.
            is_of_log = receiver.sent_ms < clock_ms
            sent_ms = receiver.sent_ms if is_of_log else 0
            by_time.setdefault(sent_ms, []).append(receiver)
        for sent_ms, receivers in by_time.items():
            for news in self._news_since(sent_ms):
                for receiver in receivers:
                    receiver.link.send(news)
            for receiver in receivers:
                receiver.sent_ms = clock_ms

    def _news_since(self, sent_ms: int) -> list[messages.CancelNews]:
        jobs = self._table.since(sent_ms)
        news = [
            messages.CancelNews(tuple(jobs[start : start + MAX_NEWS]))
            for start in range(0, len(jobs), MAX_NEWS)
        ]
        if news:
            news[-1] = news[-1]._replace(clock_ms=self._table.clock_ms)
        return news
