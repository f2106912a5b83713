"""The keeper role: replicas of the ledger groups and the settings group."""

import logging
import pathlib
import random
import typing

from chervilwheel import addresses
from chervilwheel import config
from chervilwheel import disk
from chervilwheel import diskidentity
from chervilwheel import grouphost
from chervilwheel import ids
from chervilwheel import journal
from chervilwheel import ledger
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel import policies
from chervilwheel import policyview
from chervilwheel import replica
from chervilwheel import timers

_LOG = logging.getLogger("keeper")
FORGET_INTERVAL_S = 60.0
RESIGN_RETRY_S = 0.1

# The link of a watch request and its request number.
WatcherKey = tuple[typing.Any, int]
FinishedCallback = typing.Callable[[bytes], None]


class LedgerMachine(grouphost.Machine):
    """A zone's ledger as a replicated state machine.

    Watchers are local to this replica and not part of the replicated state.
    """

    def __init__(self) -> None:
        self.ledger = ledger.Ledger(finished=self._on_finished)
        self._watchers: dict[
            ids.JobId, dict[WatcherKey, FinishedCallback]
        ] = {}

    @property
    def last_wall_ms(self) -> int:
        """Wall time of the last applied batch, milliseconds."""
        return self.ledger.last_wall_ms

    def apply(self, data: bytes) -> list[bytes]:
        """Apply a log entry and return one encoded reply per command."""
        return self.ledger.apply(data)

    def dump(self) -> bytes:
        """Encode the ledger for a snapshot."""
        return self.ledger.dump()

    def load(self, data: bytes) -> None:
        """Replace the ledger with the one in a snapshot."""
        self.ledger.load(data)

    def watch(
        self,
        job: ids.JobId,
        watcher: WatcherKey,
        on_finished: FinishedCallback,
    ) -> None:
        """Call ``on_finished`` with the reply once a submission is finished.

        :param watcher: identifies the watch request; a repeated request
            replaces the earlier callback
        """
        reply = self.ledger.state_of(job)
        if reply.verdict is ledger.Verdict.FINISHED:
            on_finished(ledger.CODEC.encode(reply))
        else:
            self._watchers.setdefault(job, {})[watcher] = on_finished

    def drop_watchers(self) -> None:
        """Remove all watchers; clients repeat the watch at the new leader."""
        self._watchers = {}

    def _on_finished(self, reply: ledger.JobReply) -> None:
        watchers = self._watchers.pop(reply.job, None)
        if watchers:
            data = ledger.CODEC.encode(reply)
            for on_finished in watchers.values():
                on_finished(data)


class Keeper:
    """Runs the replicas that this instance hosts.

    :param cfg: the instance's settings
    :param links: links to the other instances
    :param heap: timers
    :param store: the disk that holds the data folder
    :param make_machine: creates the state machine of the named group
    """

    def __init__(
        self,
        *,
        cfg: config.Settings,
        links: peers.Peers,
        heap: timers.TimerHeap,
        store: disk.Disk,
        make_machine: typing.Callable[[str], grouphost.Machine],
    ) -> None:
        self._cfg = cfg
        self._links = links
        self._heap = heap
        self._store = store
        self.hosts: dict[str, grouphost.GroupHost] = {}
        self.machines: dict[str, grouphost.Machine] = {}
        folder = pathlib.Path(cfg.instance.data_folder)
        disk_id = diskidentity.disk_identity(folder, store)
        self.local_member = replica.Member(
            ids.InstanceId(cfg.instance.name), disk_id
        )
        for keeper in cfg.cluster.keepers:
            links.set_address(
                ids.InstanceId(keeper.name), addresses.parse(keeper.address)
            )
        for group in cfg.groups():
            self.machines[group] = make_machine(group)
            self.hosts[group] = self._open(group, folder)
        for kind in messages.REPLICA_KINDS:
            links.handle(kind, self._on_replica_message)
        links.handle(messages.GroupRequest, self._on_request)
        links.handle(messages.WatchRequest, self._on_watch)
        links.handle(messages.SettingsPull, self._on_pull)
        heap.call_every(FORGET_INTERVAL_S, self._forget_expired)

    @property
    def transferable_leaderships(self) -> int:
        """Number of led groups that have another voter to take over."""
        return sum(
            host.member.is_leader and len(host.member.config.voters) > 1
            for host in self.hosts.values()
        )

    def resign(self) -> None:
        """Transfer leadership of all groups, retrying while any is left."""
        for host in self.hosts.values():
            host.resign()
        if self.transferable_leaderships:
            self._heap.call_later(RESIGN_RETRY_S, self.resign)

    def _open(self, group: str, folder: pathlib.Path) -> grouphost.GroupHost:
        group_journal = journal.Journal(
            store=self._store,
            folder=folder / group,
            group=group,
            disk_id=self.local_member.disk,
        )
        restored = group_journal.open()
        founders = self._cfg.initial_voters(group)
        if (
            self.local_member.disk == diskidentity.FOUNDING_DISK
            and not restored.snapshot.index
        ):
            restored = restored._replace(snapshot=_initial_snapshot(founders))
        peer_names = [ids.InstanceId(founder.name) for founder in founders]
        home_zone = group.removeprefix(config.LEDGER_PREFIX)
        is_remote_ledger = (
            group.startswith(config.LEDGER_PREFIX)
            and self._cfg.instance.zone != home_zone
        )
        member = replica.Replica(
            group=group,
            me=self.local_member,
            restored=restored,
            peers=peer_names,
            rng=random.Random(),
            now=self._heap.clock.now(),
            timing=replica.Timing(),
            is_low_priority=is_remote_ledger,
        )
        return grouphost.GroupHost(
            group=group,
            member=member,
            group_journal=group_journal,
            machine=self.machines[group],
            heap=self._heap,
            send=self._links.send,
        )

    def _on_replica_message(
        self, link: peers.Link, message: typing.Any
    ) -> None:
        host = self.hosts.get(message.group)
        if host is not None:
            host.receive(message)

    def _on_request(
        self, link: peers.Link, message: messages.GroupRequest
    ) -> None:
        host = self.hosts.get(message.group)
        if host is not None:
            host.request(message, link.send)

    def _on_watch(
        self, link: peers.Link, message: messages.WatchRequest
    ) -> None:
        host = self.hosts.get(message.group)
        machine = self.machines.get(message.group)
        if host is None or not isinstance(machine, LedgerMachine):
            return
        if not host.member.is_leader:
            return

        def on_finished(data: bytes) -> None:
            link.send(
                messages.GroupReply(
                    message.number,
                    message.group,
                    messages.STATUS.finished,
                    self.local_member.name,
                    (data,),
                )
            )

        machine.watch(message.job, (link, message.number), on_finished)

    def _on_pull(
        self, link: peers.Link, message: messages.SettingsPull
    ) -> None:
        settings_tree = self.machines.get(config.SETTINGS_GROUP)
        if isinstance(settings_tree, policies.Policies):
            link.send(policyview.answer_pull(settings_tree, message))

    def _forget_expired(self) -> None:
        retention_ms = int(self._cfg.limits.retention_s * 1000)
        for group, host in self.hosts.items():
            machine = self.machines[group]
            if not isinstance(machine, LedgerMachine):
                continue
            if not host.member.is_leader:
                machine.drop_watchers()
                continue
            before_ms = max(0, machine.last_wall_ms - retention_ms)
            command = ledger.CODEC.encode(ledger.ForgetCommand(before_ms))
            request = messages.GroupRequest(0, group, (command,))
            host.request(request, lambda _: None)


def _initial_snapshot(
    founders: typing.Sequence[config.Keeper],
) -> replica.Snapshot:
    voters = tuple(
        replica.Member(
            ids.InstanceId(founder.name), diskidentity.FOUNDING_DISK
        )
        for founder in founders
    )
    return replica.Snapshot(0, 0, replica.GroupConfig(voters), b"")
