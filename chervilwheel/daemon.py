"""Build the components of one instance and run it."""

import argparse
import contextlib
import gc
import logging
import pathlib
import random
import secrets
import sys
import typing

import circuits
from circuits.web import servers

from chervilwheel import addresses
from chervilwheel import auth
from chervilwheel import clock
from chervilwheel import config
from chervilwheel import connbudget
from chervilwheel import disk
from chervilwheel import drain
from chervilwheel import edge
from chervilwheel import entry
from chervilwheel import errors
from chervilwheel import gateway
from chervilwheel import gossip
from chervilwheel import groupclient
from chervilwheel import grouphost
from chervilwheel import guard
from chervilwheel import ids
from chervilwheel import keeper
from chervilwheel import logs
from chervilwheel import membership
from chervilwheel import messages
from chervilwheel import metrics
from chervilwheel import operatorapi
from chervilwheel import peers
from chervilwheel import policies
from chervilwheel import policyview
from chervilwheel import rehearsal
from chervilwheel import settingsapi
from chervilwheel import streams
from chervilwheel import timers

_LOG = logging.getLogger("daemon")
EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_IMMEDIATE = 3
KEEPER_DRAIN_S = 3.0
GC_THRESHOLDS = (20_000, 20, 50)


class Daemon(circuits.BaseComponent):
    """One instance: its components, signal handling and shutdown.

    :param cfg: the validated settings
    :param clk: the clock
    """

    def __init__(self, *, cfg: config.Settings, clk: clock.Clock) -> None:
        super().__init__()
        self._cfg = cfg
        self._stack = contextlib.ExitStack()
        self._boot = secrets.token_hex(4)
        self._name = ids.InstanceId(cfg.instance.name)
        self._peer_address = addresses.parse(cfg.listen.peer)
        self._registry = metrics.Registry()
        self._cuts = rehearsal.Rehearsal(enabled=cfg.rehearsal.enabled)
        self._heap = timers.TimerHeap(clk=clk)
        self._loop = streams.StreamLoop(clk=clk).register(self)
        timers.TimerLoop(
            heap=self._heap, polled_at=self._loop.polled_at
        ).register(self)
        self._stack.callback(self._loop.close)
        self._links = self._open_links()
        self._view = self._open_view()
        self._gossip = self._open_gossip()
        groups = entry.register_keepers(cfg, self._links)
        self._client = groupclient.GroupClient(
            links=self._links, heap=self._heap, groups=groups
        )
        self._tokens = auth.TokenStore(credentials=_credentials(cfg))
        self._policies = self._open_policies(groups)
        self._keeper = self._open_keeper()
        self._entry = self._open_entry()
        self._drain = self._make_drain()
        self._edge = self._open_http()
        self._add_metrics()

    def _open_links(self) -> peers.Peers:
        links = peers.Peers(
            name=self._name,
            key=config.cluster_key(self._cfg),
            loop=self._loop,
            heap=self._heap,
            is_cut=self._cuts.is_cut,
        )
        self._stack.callback(links.close)
        links.listen(self._peer_address)
        return links

    def _open_view(self) -> membership.Membership:
        clk = self._heap.clock
        me = messages.MemberInfo(
            name=self._name,
            zone=ids.ZoneId(self._cfg.instance.zone),
            is_entry=config.ROLE_ENTRY in self._cfg.instance.roles,
            host=self._peer_address.host,
            port=self._peer_address.port,
            boot=self._boot,
            incarnation=int(clk.wall() * 1000),
            state=messages.MemberState.ALIVE,
            is_draining=False,
        )
        return membership.Membership(
            me=me,
            seeds=[addresses.parse(s) for s in self._cfg.cluster.seeds],
            rng=random.Random(),
            now=clk.now(),
        )

    def _open_gossip(self) -> gossip.GossipSocket:
        gossip_socket = gossip.GossipSocket(
            view=self._view,
            address=self._peer_address,
            key=config.cluster_key(self._cfg),
            loop=self._loop,
            heap=self._heap,
            on_change=self._on_members_changed,
            is_cut=self._cuts.is_cut,
        )
        self._links.on_link_lost(gossip_socket.suspect)
        return gossip_socket

    def _open_policies(
        self, groups: dict[str, list[ids.InstanceId]]
    ) -> policyview.PolicyView:
        folder = self._cfg.instance.data_folder
        is_keeper = config.ROLE_KEEPER in self._cfg.instance.roles
        cache = None
        if folder and not is_keeper:
            cache = pathlib.Path(folder) / policyview.CACHE_NAME
        store = disk.FileDisk()
        self._stack.callback(store.close)
        view = policyview.PolicyView(
            tokens=self._tokens, cache=cache, store=store
        )
        policyview.PolicyPuller(
            view=view,
            keepers=_sort_by_zone_distance(self._cfg, groups),
            links=self._links,
            heap=self._heap,
        )
        return view

    def _open_keeper(self) -> keeper.Keeper | None:
        if config.ROLE_KEEPER not in self._cfg.instance.roles:
            return None
        least_sync_s = self._cfg.storage.least_sync_ms / 1000
        store = disk.FileDisk(least_sync_s=least_sync_s)
        self._stack.callback(store.close)
        return keeper.Keeper(
            cfg=self._cfg,
            links=self._links,
            heap=self._heap,
            store=store,
            make_machine=_make_state_machine,
        )

    def _open_entry(self) -> entry.Entry | None:
        if config.ROLE_ENTRY not in self._cfg.instance.roles:
            return None
        return entry.Entry(
            cfg=self._cfg,
            boot=self._boot,
            view=self._view,
            links=self._links,
            client=self._client,
            loop=self._loop,
            heap=self._heap,
            policies=self._policies.policy,
            registry=self._registry,
            stack=self._stack,
        )

    def _make_drain(self) -> drain.Drain:
        limits = self._cfg.limits
        return drain.Drain(
            heap=self._heap,
            notice_s=limits.drain_notice_s if self._entry else 0.0,
            timeout_s=limits.drain_timeout_s
            if self._entry
            else KEEPER_DRAIN_S,
            on_notice=self._on_notice,
            on_refuse=self._on_refuse,
            in_flight=self._in_flight,
            on_stopped=self._on_stopped,
        )

    def _open_http(self) -> edge.Edge | None:
        if not self._cfg.listen.http:
            return None
        routes = operatorapi.OperatorApi(
            registry=self._registry,
            view=self._view,
            shutdown=self._drain,
            link_cuts=self._cuts,
            keeper_role=self._keeper,
        ).routes()
        if self._entry is not None:
            routes += self._entry.routes()
        routes += settingsapi.SettingsApi(
            view=self._policies, client=self._client
        ).routes()
        router = gateway.Router(routes=routes, tokens=self._tokens)
        limits = self._cfg.limits
        http_edge = edge.Edge(
            limits=guard.Limits(limits.header_bytes, limits.body_bytes),
            request_timeout_s=limits.request_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            budget=self._open_budget(),
            clk=self._heap.clock,
        ).register(self)
        self._heap.call_every(
            edge.TIMEOUT_CHECK_INTERVAL_S, http_edge.check_timeouts
        )
        gateway.Gateway(router=router).register(self)
        address = addresses.parse(self._cfg.listen.http)
        servers.BaseServer(tuple(address), display_banner=False).register(self)
        return http_edge

    def _open_budget(self) -> connbudget.ConnectionBudget:
        budget = connbudget.ConnectionBudget(
            limits=connbudget.default_limits(
                kept_mb=self._cfg.limits.connection_memory_mb,
                connections=self._cfg.limits.connections,
            )
        )
        registry = self._registry
        registry.register("connections", lambda: len(budget))
        registry.register("connection_bytes", lambda: budget.bytes)
        registry.register("connections_evicted", lambda: budget.evicted)
        registry.register("connections_refused", lambda: budget.refused)
        return budget

    def _add_metrics(self) -> None:
        links, gossip_socket = self._links, self._gossip
        self._registry.register("peer_bytes_sent", lambda: links.bytes_sent)
        self._registry.register(
            "peer_messages_sent", lambda: links.messages_sent
        )
        self._registry.register(
            "gossip_bytes_sent", lambda: gossip_socket.bytes_sent
        )
        if self._keeper is not None:
            hosts = self._keeper.hosts.values()
            sync = self._registry.create_histogram("sync_ms")
            for host in hosts:
                host.on_sync = lambda seconds: sync.record(seconds * 1000)
            self._registry.register(
                "keeper_syncs", lambda: sum(h.syncs for h in hosts)
            )
            self._registry.register(
                "keeper_commands", lambda: sum(h.commands for h in hosts)
            )

    def _on_members_changed(self) -> None:
        for info in self._view.live():
            if info.name != self._name:
                address = addresses.Address(info.host, info.port)
                self._links.set_address(info.name, address)
        if self._entry is not None:
            self._entry.zone_slots.on_members_changed()

    def _on_notice(self) -> None:
        self._gossip.announce_draining()
        if self._keeper is not None:
            self._keeper.resign()

    def _on_refuse(self) -> None:
        if self._entry is not None:
            self._entry.admission.is_draining = True
            self._entry.recovery.is_stopped = True
        if self._edge is not None:
            self._edge.is_closing = True

    def _in_flight(self) -> int:
        count = 0
        if self._entry is not None:
            count += self._entry.runs.running
        if self._edge is not None:
            count += self._edge.busy
        if self._keeper is not None:
            count += self._keeper.transferable_leaderships
        return count

    def _on_stopped(self) -> None:
        self._gossip.announce_leave()
        self.stop()

    @circuits.handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        # SIGTERM drains the instance only from here on.
        _LOG.info("daemon: started", extra={"boot": self._boot})

    @circuits.handler("exception", channel="*", priority=100)
    def _on_exception(
        self, _kind: type, exc: BaseException, trace: list[str], **_: object
    ) -> None:
        _LOG.error(
            "daemon: a handler failed",
            extra={"error": repr(exc), "trace": "".join(trace)},
        )

    @circuits.handler("signal", channel="*", priority=100)
    def _on_signal(
        self, event: typing.Any, number: int, _frame: typing.Any
    ) -> None:
        event.stop()
        if self._drain.is_healthy:
            self._drain.begin()
        else:
            _LOG.warning("daemon: signal while draining, stopping immediately")
            self.stop(EXIT_IMMEDIATE)

    def close(self) -> None:
        """Close the instance's sockets and files."""
        self._stack.close()


def _make_state_machine(group: str) -> grouphost.Machine:
    if group == config.SETTINGS_GROUP:
        return policies.Policies()
    return keeper.LedgerMachine()


def _sort_by_zone_distance(
    cfg: config.Settings, groups: dict[str, list[ids.InstanceId]]
) -> list[ids.InstanceId]:
    zones = {each.name: each.zone for each in cfg.cluster.keepers}
    keepers = list(groups.get(config.SETTINGS_GROUP, ()))
    random.shuffle(keepers)
    keepers.sort(key=lambda name: zones[name] != cfg.instance.zone)
    return keepers


def _credentials(cfg: config.Settings) -> list[auth.Credential]:
    return [
        auth.Credential(
            token.sha256,
            auth.Principal(
                ids.TeamId(token.team), token.operator, token.label
            ),
        )
        for token in cfg.auth.tokens
    ]


def main() -> None:
    """Command-line entry point of the daemon."""
    parser = argparse.ArgumentParser(prog="chervilwheeld")
    parser.add_argument("--settings", type=pathlib.Path, required=True)
    opts = parser.parse_args()
    try:
        cfg = config.load(opts.settings)
        logs.configure(level=cfg.log.level, instance=cfg.instance.name)
        daemon = Daemon(cfg=cfg, clk=clock.SystemClock())
    except (errors.ChervilwheelError, OSError) as exc:
        print(f"chervilwheeld: {exc}", file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS) from exc
    # Most objects of a request are short-lived and not part of reference
    # cycles; frequent collections would only traverse the long-lived objects
    # of the ledger.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        daemon.run()
    finally:
        daemon.close()
    _LOG.info("daemon: ended")


if __name__ == "__main__":
    main()
