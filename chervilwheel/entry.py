"""The entry role: accepts jobs and dispatches their tasks to endpoints."""

import contextlib
import random
import typing

from chervilwheel import addresses
from chervilwheel import admission
from chervilwheel import api
from chervilwheel import calls
from chervilwheel import config
from chervilwheel import directory
from chervilwheel import gateway
from chervilwheel import groupclient
from chervilwheel import ids
from chervilwheel import keeperledger
from chervilwheel import learned
from chervilwheel import ledgers
from chervilwheel import membership
from chervilwheel import messages
from chervilwheel import metrics
from chervilwheel import peers
from chervilwheel import pipeline
from chervilwheel import recovery
from chervilwheel import slots
from chervilwheel import slotsource
from chervilwheel import streams
from chervilwheel import timers
from chervilwheel import zoneowner

STAGES = ("claim", "slot", "intent", "record")


class Entry:
    """The components of an entry instance that serve callers.

    :param cfg: the instance's settings
    :param boot: id of this start of the instance
    :param view: the membership view
    :param links: connections to the other instances
    :param client: sends requests to the replica groups
    :param loop: the stream loop
    :param heap: the timer heap
    :param policies: looks up a team's policy
    :param registry: the instance's metrics
    :param stack: exit stack that closes the components' resources
    """

    def __init__(
        self,
        *,
        cfg: config.Settings,
        boot: str,
        view: membership.Membership,
        links: peers.Peers,
        client: groupclient.GroupClient,
        loop: streams.StreamLoop,
        heap: timers.TimerHeap,
        policies: slots.Policies,
        registry: metrics.Registry,
        stack: contextlib.ExitStack,
    ) -> None:
        self._cfg = cfg
        self._links = links
        self._heap = heap
        zone = ids.ZoneId(cfg.instance.zone)
        self.endpoints = directory.Directory()
        self.zone_slots = zoneowner.ZoneSlots(
            me=ids.InstanceId(cfg.instance.name),
            zone=zone,
            boot=boot,
            zones=[ids.ZoneId(each) for each in cfg.cluster.zones],
            view=view,
            known=self.endpoints,
            links=links,
            heap=heap,
            policies=policies,
        )
        caller = calls.EndpointClient(
            loop=loop, heap=heap, answer_bytes=cfg.limits.answer_bytes
        )
        stack.callback(caller.close)
        times = learned.LearnedTimes()
        self.admission = admission.LoadAdmission(
            known=self.endpoints,
            loads=self.zone_slots.loads,
            times=times,
            policies=policies,
            now=heap.clock.now(),
        )
        runner = recovery.runner_id(cfg.instance.name, boot)
        durable = self._make_ledger(runner, zone, client)
        self.runs = pipeline.Pipeline(
            durable=durable,
            volatile=ledgers.MemoryLedger(runner=runner),
            slots=self._make_slot_source(),
            caller=caller,
            heap=heap,
            admission=self.admission,
            times=times,
        )
        self.recovery = recovery.Recovery(
            durable_ledger=durable,
            job_pipeline=self.runs,
            view=view,
            heap=heap,
        )
        links.handle(messages.CancelJob, self._on_cancel_job)
        self._add_metrics(registry)

    def routes(self) -> list[gateway.Route]:
        """Return the HTTP routes for callers and endpoints."""
        job_api = api.JobApi(
            zone=ids.ZoneId(self._cfg.instance.zone),
            job_pipeline=self.runs,
            heap=self._heap,
            cancel_on_runner=self._cancel_on_runner,
        )
        endpoint_api = api.EndpointApi(
            endpoints=self.endpoints,
            on_announced=self._on_announced,
            clk=self._heap.clock,
        )
        return job_api.routes() + endpoint_api.routes()

    def _make_ledger(
        self,
        runner: ids.InstanceId,
        zone: ids.ZoneId,
        client: groupclient.GroupClient,
    ) -> ledgers.Ledger:
        if not self._cfg.cluster.keepers:
            return ledgers.MemoryLedger(runner=runner)
        return keeperledger.KeeperLedger(
            client=client,
            runner=runner,
            zone=zone,
            zones=[ids.ZoneId(each) for each in self._cfg.cluster.zones],
            heap=self._heap,
        )

    def _make_slot_source(self) -> slotsource.SlotSource:
        choosers: dict[str, typing.Callable[[], slotsource.Chooser]] = {
            "random": lambda: slotsource.RandomChooser(rng=random.Random()),
            "round-robin": slotsource.RoundRobinChooser,
            "two-choices": lambda: slotsource.TwoChoicesChooser(
                rng=random.Random()
            ),
        }
        placement = self._cfg.slots.placement
        if placement not in choosers:
            return self.zone_slots.client
        source = slotsource.UncoordinatedSlots(
            known=self.endpoints,
            chooser=choosers[placement](),
            clk=self._heap.clock,
        )
        self._heap.call_every(zoneowner.REFRESH_INTERVAL_S, source.serve)
        return source

    def _on_announced(self, endpoint: directory.Endpoint) -> None:
        self.zone_slots.on_announcement(endpoint)

    def _cancel_on_runner(
        self, runner: ids.InstanceId, job: ids.JobId
    ) -> None:
        instance = runner.partition(recovery.BOOT_SEPARATOR)[0]
        self._links.send(ids.InstanceId(instance), messages.CancelJob(job))

    def _on_cancel_job(
        self, _: peers.Link, message: messages.CancelJob
    ) -> None:
        self.runs.cancel_local(message.job)

    def _add_metrics(self, registry: metrics.Registry) -> None:
        latency = registry.create_histogram("latency_ms")
        overhead = registry.create_histogram("overhead_ms")

        def on_answered(latency_ms: float, overhead_ms: float) -> None:
            latency.record(latency_ms)
            overhead.record(overhead_ms)

        stages = {
            name: registry.create_histogram(f"stage_{name}_ms")
            for name in STAGES
        }
        self.runs.on_answered = on_answered
        self.runs.on_stage = lambda stage, seconds: stages[stage].record(
            seconds * 1000
        )
        registry.register("jobs_running", lambda: self.runs.running)
        registry.register_table("jobs_", lambda: self.runs.counts)
        client = self.zone_slots.client
        registry.register("slots_waiting", lambda: client.waiting)
        registry.register("slots_unused_grants", lambda: client.unused)


def register_keepers(
    cfg: config.Settings, links: peers.Peers
) -> dict[str, list[ids.InstanceId]]:
    """Register the initial keepers' addresses with the peer links.

    :returns: the keepers of each replica group
    """
    groups: dict[str, list[ids.InstanceId]] = {}
    for each in cfg.cluster.keepers:
        name = ids.InstanceId(each.name)
        links.set_address(name, addresses.parse(each.address))
        for group in each.groups:
            groups.setdefault(group, []).append(name)
    return groups
