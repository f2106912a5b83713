"""Wire one instance together and run it."""

import argparse
import contextlib
import logging
import pathlib
import random
import secrets
import signal
import sys
import typing

import circuits
from circuits.web import servers

from chervilwheel import addresses
from chervilwheel import admission
from chervilwheel import api
from chervilwheel import auth
from chervilwheel import calls
from chervilwheel import clock
from chervilwheel import config
from chervilwheel import directory
from chervilwheel import disk
from chervilwheel import edge
from chervilwheel import errors
from chervilwheel import gateway
from chervilwheel import groupclient
from chervilwheel import grouphost
from chervilwheel import guard
from chervilwheel import ids
from chervilwheel import keeper
from chervilwheel import keeperledger
from chervilwheel import ledgers
from chervilwheel import logs
from chervilwheel import peers
from chervilwheel import pipeline
from chervilwheel import slotsource
from chervilwheel import streams
from chervilwheel import timers

_LOG = logging.getLogger("daemon")
EXIT_OK = 0
EXIT_SETTINGS = 2


class Daemon(circuits.Component):
    """One instance.

    :param cfg: its checked settings
    :param clk: the clock
    """

    def __init__(self, *, cfg: config.Settings, clk: clock.Clock) -> None:
        super().__init__()
        self._cfg = cfg
        self._stack = contextlib.ExitStack()
        self.heap = timers.TimerHeap(clk=clk)
        self.loop = streams.StreamLoop().register(self)
        timers.TimerLoop(heap=self.heap).register(self)
        self._stack.callback(self.loop.close)
        self.boot = secrets.token_hex(4)
        self.links = peers.Peers(
            name=ids.InstanceId(cfg.instance.name),
            key=config.cluster_key(cfg),
            loop=self.loop,
            heap=self.heap,
        )
        self._stack.callback(self.links.close)
        self.links.listen(addresses.parse(cfg.listen.peer))
        if config.ROLE_KEEPER in cfg.instance.roles:
            self._add_keeper()
        if config.ROLE_ENTRY in cfg.instance.roles:
            self._add_entry()

    def _add_keeper(self) -> None:
        limits = self._cfg.storage
        store = disk.FileDisk(least_sync_s=limits.least_sync_ms / 1000)
        self._stack.callback(store.close)
        self.keeper = keeper.Keeper(
            cfg=self._cfg,
            links=self.links,
            heap=self.heap,
            store=store,
            machines=_machine,
        )

    def _add_entry(self) -> None:
        cfg = self._cfg
        clk = self.heap.clock
        zone = ids.ZoneId(cfg.instance.zone)
        known = directory.Directory()
        caller = calls.Caller(
            loop=self.loop,
            heap=self.heap,
            answer_bytes=cfg.limits.answer_bytes,
        )
        self._stack.callback(caller.close)
        slots = slotsource.UncoordinatedSlots(
            known=known,
            chooser=slotsource.TwoChoicesChooser(rng=random.Random()),
            clk=clk,
        )
        runner = ids.InstanceId(f"{cfg.instance.name}#{self.boot}")
        runs = pipeline.Pipeline(
            durable=self._ledger(runner, zone),
            volatile=ledgers.MemoryLedger(runner=runner),
            slots=slots,
            caller=caller,
            heap=self.heap,
            admission=admission.OpenAdmission(),
        )
        tokens = auth.TokenBook(credentials=_credentials(cfg))
        job_api = api.JobApi(zone=zone, runner=runs, heap=self.heap)
        endpoint_api = api.EndpointApi(
            known=known, announced=lambda _: slots.serve(), clk=clk
        )
        routes = job_api.routes() + endpoint_api.routes()
        router = gateway.Router(routes=routes, tokens=tokens)
        self._add_web(router)

    def _ledger(
        self, runner: ids.InstanceId, zone: ids.ZoneId
    ) -> ledgers.Ledger:
        cfg = self._cfg
        if not cfg.cluster.keepers:
            return ledgers.MemoryLedger(runner=runner)
        groups: dict[str, list[ids.InstanceId]] = {}
        for each in cfg.cluster.keepers:
            name = ids.InstanceId(each.name)
            self.links.know(name, addresses.parse(each.address))
            for group in each.groups:
                groups.setdefault(group, []).append(name)
        client = groupclient.GroupClient(
            links=self.links, heap=self.heap, groups=groups
        )
        return keeperledger.KeeperLedger(
            client=client,
            runner=runner,
            zone=zone,
            zones=[ids.ZoneId(each) for each in cfg.cluster.zones],
            heap=self.heap,
        )

    def _add_web(self, router: gateway.Router) -> None:
        limits = self._cfg.limits
        guarded = edge.Edge(
            limits=guard.Limits(limits.header_bytes, limits.body_bytes),
            request_timeout_s=limits.request_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            connections=limits.connections,
            clk=self.heap.clock,
        )
        guarded.register(self)
        self.heap.every(edge.SWEEP_S, guarded.sweep)
        gateway.Gateway(router=router).register(self)
        address = addresses.parse(self._cfg.listen.http)
        servers.BaseServer(tuple(address)).register(self)

    @circuits.handler("signal", channel="*")
    def _on_signal(
        self, event: typing.Any, number: int, _frame: typing.Any
    ) -> None:
        event.stop()
        if number in (signal.SIGTERM, signal.SIGINT):
            raise SystemExit(EXIT_OK)

    def close(self) -> None:
        """Close all that this instance holds."""
        self._stack.close()


def _machine(group: str) -> grouphost.Machine:
    return keeper.LedgerMachine()


def _credentials(cfg: config.Settings) -> list[auth.Credential]:
    return [
        auth.Credential(
            token.sha256,
            auth.Principal(ids.TeamId(token.team), token.operator),
        )
        for token in cfg.auth.tokens
    ]


def main() -> None:
    """Run the daemon from its command line."""
    parser = argparse.ArgumentParser(prog="chervilwheeld")
    parser.add_argument("--settings", type=pathlib.Path, required=True)
    opts = parser.parse_args()
    try:
        cfg = config.load(opts.settings)
        logs.configure(level=cfg.log.level, instance=cfg.instance.name)
        daemon = Daemon(cfg=cfg, clk=clock.SystemClock())
    except errors.ChervilwheelError as exc:
        print(f"chervilwheeld: {exc.detail}", file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS) from exc
    _LOG.info("daemon: started", extra={"zone": cfg.instance.zone})
    try:
        daemon.run()
    finally:
        daemon.close()


if __name__ == "__main__":
    main()
