"""A control host: a voter of the log, and maybe the holder."""

import logging
import pathlib
import random
import typing

from chervilwheel import disk
from chervilwheel import grouphost
from chervilwheel import ids
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel import replica
from chervilwheel.control import documents
from chervilwheel.control import founding
from chervilwheel.control import groupcalls
from chervilwheel.control import holder
from chervilwheel.control import nodesettings
from chervilwheel.control import runtime
from chervilwheel.control import tokens
from chervilwheel.workers import engine
from chervilwheel.workers import ports
from chervilwheel.workers import work

_LOG = logging.getLogger("control")
# Four heartbeats fit into an election; a sync takes some 10 ms.
TIMING = replica.Timing(heartbeat_s=0.12, election_s=0.6)
WATCH_S = 0.03
NEWS_S = 0.25
# An entry host is lost after this time without a beat: three of them.
ENTRY_SILENCE_S = 0.8
ENTRY_FORGET_S = 10.0
# Reports older than this say nothing of an executor.
REPORT_AGE_S = 6.0
# The operator waits a second for an answer.
GIVE_UP_S = 0.9
COMPACT_BYTES = 2 * 1024 * 1024
STOP_LINGER_S = 1.0


class _EntryLink(typing.NamedTuple):
    """The link to an entry host, and when it spoke last."""

    link: peers.Link
    heard_at: float


class ControlHost:
    """Keep the document, hear executors, and hold them when leading.

    :param node: the loop and its links
    :param decoder: reads operators' documents
    :param port: carries orders to executors
    """

    def __init__(
        self,
        *,
        node: runtime.Runtime,
        decoder: documents.Decoder,
        port: ports.ExecutorPort,
    ) -> None:
        self._node = node
        self._cfg = node.cfg
        self._heap = node.heap
        self._decoder = decoder
        self._port = port
        self._reports: dict[
            work.ExecutorId, tuple[float, work.ExecutorReport]
        ] = {}
        self._entries: dict[ids.InstanceId, _EntryLink] = {}
        self._started_at = self._heap.clock.now()
        self._is_stopping = False
        self.holder: holder.Holder | None = None
        self.machine = documents.DocumentMachine(applied=self._on_document)
        self._group = self._open_group(node.cfg)
        self._calls = groupcalls.GroupCalls(
            host=self._group, links=node.links, heap=self._heap
        )
        self._listen()
        self._heap.every(WATCH_S, self._watch)
        self._heap.every(NEWS_S, self._tell_entries)

    @property
    def member(self) -> replica.Replica:
        """This host's replica."""
        return self._group.member

    def report(self, report: work.ExecutorReport) -> None:
        """Take in what an executor says of itself, and pass it on."""
        self._take_report(report)
        for name in self._controls():
            if name != self._cfg.id:
                news = messages.ExecutorNews(report)
                self._node.links.send(name, news)

    def put(self, data: bytes, done: typing.Callable[[bool], None]) -> None:
        """Store a document; told whether it is committed, or overtaken.

        :raises errors.InvalidSettings: when it is not valid
        """
        document = self._decoder.decode(data)
        command = documents.CODEC.encode(
            documents.PutDocument(document.version, data)
        )

        def answered(reply: bytes | None) -> None:
            _LOG.info(
                "control: a document was put",
                extra={
                    "version": document.version,
                    "committed": reply is not None,
                },
            )
            done(reply is not None)

        self._calls.ask(command, GIVE_UP_S, answered)

    def read(
        self, done: typing.Callable[[documents.DocumentReply | None], None]
    ) -> None:
        """Read the newest document; None when it can't be known."""
        command = documents.CODEC.encode(documents.ReadDocument())

        def answered(reply: bytes | None) -> None:
            if reply is None:
                done(None)
            else:
                done(documents.CODEC.decode(reply))

        self._calls.ask(command, GIVE_UP_S, answered)

    def stop(self) -> None:
        """Hand leadership on, then end."""
        if self._is_stopping:
            self._node.stop()
            return
        self._is_stopping = True
        self._group.resign()
        self._heap.call_later(STOP_LINGER_S, self._node.stop)

    def _open_group(
        self, cfg: nodesettings.NodeSettings
    ) -> grouphost.GroupHost:
        folder = pathlib.Path(cfg.data_folder)
        store = disk.FileDisk()
        seeds = [address.host for address in cfg.seeds]
        identity = founding.identify(
            folder,
            store,
            is_founding=cfg.is_founding,
            me=cfg.host,
            seeds=seeds,
        )
        book, restored, me = founding.open_replica(
            folder=folder,
            store=store,
            identity=identity,
            group=documents.GROUP,
            me=cfg.id,
        )
        for host in seeds:
            self._node.know(host)
        member = replica.Replica(
            group=documents.GROUP,
            me=me,
            restored=restored,
            peers=[ids.InstanceId(host) for host in seeds],
            rng=random.Random(),
            now=self._heap.clock.now(),
            timing=TIMING,
            voters_wanted=2 * cfg.disk_losses + 1,
        )
        return grouphost.GroupHost(
            group=documents.GROUP,
            member=member,
            book=book,
            machine=self.machine,
            heap=self._heap,
            send=self._node.links.send,
            compact_bytes=COMPACT_BYTES,
        )

    def _listen(self) -> None:
        links = self._node.links
        for kind in messages.REPLICA_KINDS:
            links.handle(kind, self._on_replica_message)
        links.handle(messages.ExecutorNews, self._on_executor_news)
        links.handle(messages.EntryBeat, self._on_entry_beat)
        links.handle(messages.JobOffer, self._on_offer)
        links.handle(messages.JobCancel, self._on_cancel)

    def _controls(self) -> list[ids.InstanceId]:
        names = {member.name for member in self.member.config.members}
        names.update(ids.InstanceId(a.host) for a in self._cfg.seeds)
        names.add(self._cfg.id)
        return sorted(names)

    def _on_replica_message(
        self, link: peers.Link, message: typing.Any
    ) -> None:
        self._node.know(link.peer)
        self._group.receive(message)

    def _on_executor_news(
        self, _link: peers.Link, message: messages.ExecutorNews
    ) -> None:
        self._take_report(message.report)

    def _take_report(self, report: work.ExecutorReport) -> None:
        known = self._reports.get(report.id)
        if known is not None and known[1].sequence > report.sequence:
            return
        if known is None or known[1].is_draining != report.is_draining:
            _LOG.info(
                "control: an executor reported",
                extra={
                    "executor": report.id,
                    "draining": report.is_draining,
                    "gone": report.is_gone,
                },
            )
        self._reports[report.id] = (self._heap.clock.now(), report)
        if self.holder is not None:
            self.holder.report(report)

    def _on_entry_beat(
        self, link: peers.Link, message: messages.EntryBeat
    ) -> None:
        self._hear(link)
        if message.document_version < self.machine.version:
            self._push(link)
        link.send(self._news())

    def _hear(self, link: peers.Link) -> None:
        now = self._heap.clock.now()
        self._entries[link.peer] = _EntryLink(link, now)

    def _on_offer(self, link: peers.Link, message: messages.JobOffer) -> None:
        self._hear(link)
        if self.holder is None:
            link.send(self._news())
            return
        self.holder.offer(message.job, link.peer)

    def _on_cancel(
        self, link: peers.Link, message: messages.JobCancel
    ) -> None:
        self._hear(link)
        if self.holder is None:
            link.send(self._news())
            return
        is_known = self.holder.cancel(message.job)
        link.send(messages.JobCancelled(message.number, is_known))

    def _on_answer(self, entry: ids.InstanceId, answer: work.Answer) -> None:
        known = self._entries.get(entry)
        if known is not None:
            known.link.send(messages.JobAnswer(*answer))

    def _on_document(self, version: int, data: bytes) -> None:
        _LOG.info("control: a document is in force", extra={"v": version})
        for known in self._entries.values():
            known.link.send(messages.DocumentPush(version, data))

    def _push(self, link: peers.Link) -> None:
        push = messages.DocumentPush(self.machine.version, self.machine.data)
        link.send(push)

    def _news(self) -> messages.ControlNews:
        holder_name = ids.InstanceId("")
        counts: tuple[messages.QueueCount, ...] = ()
        if self.holder is not None:
            holder_name = self._cfg.id
            waiting = self.holder.engine.waiting_by_queue()
            counts = tuple(
                messages.QueueCount(*item) for item in waiting.items()
            )
        return messages.ControlNews(
            self._cfg.id,
            holder_name,
            self.member.term,
            tuple(self._controls()),
            counts,
        )

    def _tell_entries(self) -> None:
        news = self._news()
        now = self._heap.clock.now()
        for name, known in list(self._entries.items()):
            silent_s = now - known.heard_at
            if silent_s > ENTRY_FORGET_S:
                del self._entries[name]
            elif self.holder is not None:
                if silent_s > ENTRY_SILENCE_S:
                    self.holder.lose_entry(name)
                known.link.send(news)

    def _may_order(self) -> bool:
        return self._heap.clock.now() < self.member.leads_until()

    def _watch(self) -> None:
        """Begin or end holding, as leadership goes."""
        for name in self._controls():
            self._node.know(name)
        if self.holder is None:
            if self.member.is_leader and self._may_order():
                self._begin_holding()
        elif not self.member.is_leader:
            _LOG.info("control: holds no more")
            self.holder.close()
            self.holder = None

    def _begin_holding(self) -> None:
        now = self._heap.clock.now()
        token = tokens.token(bump=0, term=self.member.term, side=0)
        is_table_whole = now - self._started_at > 2 * self._cfg.heartbeat_s
        decider = engine.Engine(token=token, now=now, knows_all=is_table_whole)
        self.holder = holder.Holder(
            heap=self._heap,
            port=self._port,
            decider=decider,
            answered=self._on_answer,
            may_order=self._may_order,
        )
        _LOG.info(
            "control: holds the executors",
            extra={"token": token, "executors": len(self._reports)},
        )
        for at, report in list(self._reports.values()):
            if now - at < REPORT_AGE_S and not report.is_gone:
                self.holder.report(report)
        self._tell_entries()
