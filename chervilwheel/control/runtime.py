"""The event loop of a control host or an entry host and its services."""

import collections
import contextlib
import gc
import hashlib
import logging
import signal
import time
import typing

import circuits

from chervilwheel import addresses
from chervilwheel import clock
from chervilwheel import connbudget
from chervilwheel import errors
from chervilwheel import guard
from chervilwheel import ids
from chervilwheel import loopload
from chervilwheel import metrics
from chervilwheel import peers
from chervilwheel import streams
from chervilwheel import timers
from chervilwheel.control import nodesettings
from chervilwheel.http import server

_LOG = logging.getLogger("runtime")
# A link without a message for three heartbeats is replaced.
PEER_HEARTBEAT_S = 0.3
PEER_SILENCE_S = 0.9
SIGNAL_POLL_S = 0.1
LOAD_INTERVAL_S = 5.0
METRICS_PATH = "/metrics"
METRICS_LIMITS = guard.Limits(header_bytes=8_192, body_bytes=1_024)
# Most objects are short-lived, and full collections would only traverse
# long-lived ones, so the thresholds make them rare.
GC_THRESHOLDS = (50_000, 50, 100)


class Runtime(circuits.BaseComponent):
    """The event loop with its streams, timers, links and signals.

    :param cfg: settings of this process
    :ivar connections: bounds what client connections hold together
    :ivar on_operator_request: handles the requests on the metrics port that
        are not for the metrics
    """

    channel = "runtime"

    def __init__(self, *, cfg: nodesettings.NodeSettings) -> None:
        super().__init__()
        self.cfg = cfg
        self.heap = timers.TimerHeap(clk=clock.SystemClock())
        self.metrics = metrics.Registry()
        self._load = loopload.LoopLoad(
            clk=self.heap.clock,
            histogram=self.metrics.create_histogram("loop_turn_ms"),
        )
        self.loop = streams.StreamLoop(
            clk=self.heap.clock, load=self._load
        ).register(self)
        self.connections = connbudget.ConnectionBudget(
            limits=cfg.connection_limits
        )
        self.loop.on_exhausted = self.connections.free_descriptor
        timers.TimerLoop(
            heap=self.heap, polled_at=self.loop.polled_at
        ).register(self)
        self.links = peers.Peers(
            name=cfg.id,
            key=cluster_key(cfg),
            loop=self.loop,
            heap=self.heap,
            is_cut=lambda _peer, _direction: False,
            heartbeat_s=PEER_HEARTBEAT_S,
            receive_timeout_s=PEER_SILENCE_S,
        )
        self._register_metrics()
        self.on_stop: typing.Callable[[], None] = self.stop
        self.on_reload: typing.Callable[[], None] = lambda: None
        self.on_operator_request: server.Handler = _respond_not_found
        self._signals: list[int] = []
        self._last_sent: collections.Counter[str] = collections.Counter()
        self._last_received: collections.Counter[str] = collections.Counter()
        self._last_sent_bytes: collections.Counter[str] = collections.Counter()
        self._stack = contextlib.ExitStack()
        self._stack.callback(self.loop.close)
        self._stack.callback(self.links.close)
        signal.signal(signal.SIGHUP, self._on_signal)
        self.heap.call_every(SIGNAL_POLL_S, self._process_signals)
        self.heap.call_every(LOAD_INTERVAL_S, self._log_load)

    def add_host(self, host: str) -> ids.InstanceId:
        """Add a host by its IP address to the peers and return its name."""
        name = ids.InstanceId(host)
        if host != self.cfg.host:
            address = addresses.Address(host, self.cfg.peer_port)
            self.links.set_address(name, address)
        return name

    def serve(self) -> None:
        """Listen for links and run the loop until it is stopped."""
        if self.cfg.metrics_port:
            self._serve_metrics()
        own = addresses.Address(self.cfg.host, self.cfg.peer_port)
        self.links.listen(own)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        _LOG.info("runtime: started", extra={"role": self.cfg.role})
        with self._stack:
            self.run()
        _LOG.info("runtime: ended")

    def _register_metrics(self) -> None:
        links = self.links
        self.metrics.register("peer_bytes_sent", lambda: links.bytes_sent)
        self.metrics.register("peer_unsent_bytes", lambda: links.unsent_bytes)
        self.metrics.register(
            "peer_messages_dropped", lambda: links.messages_dropped
        )
        self.metrics.register("peer_links", lambda: links.link_count)
        self.metrics.register_table("peer_sent_", lambda: links.sent_by_kind)
        self.metrics.register_table(
            "peer_bytes_sent_", lambda: links.bytes_by_kind
        )
        self.metrics.register_table(
            "peer_received_", lambda: links.received_by_kind
        )
        self.metrics.register("cpu_s", time.process_time)
        held = self.connections
        self.metrics.register("connections", lambda: len(held))
        self.metrics.register("connection_bytes", lambda: held.bytes)
        self.metrics.register("connections_evicted", lambda: held.evicted)
        self.metrics.register("connections_refused", lambda: held.refused)

    def _log_load(self) -> None:
        load = self._load.report()
        sent = collections.Counter(self.links.sent_by_kind)
        received = collections.Counter(self.links.received_by_kind)
        sent_bytes = collections.Counter(self.links.bytes_by_kind)
        _LOG.info(
            "runtime: load",
            extra={
                "turns": load.turns,
                "busy_s": round(load.busy_s, 3),
                "longest_turn_ms": round(load.longest_turn_s * 1000, 1),
                "cpu_s": round(load.cpu_s, 3),
                "links": self.links.link_count,
                "sent": dict(sent - self._last_sent),
                "received": dict(received - self._last_received),
                "sent_bytes": dict(sent_bytes - self._last_sent_bytes),
                "unsent_bytes": self.links.unsent_bytes,
            },
        )
        self._last_sent, self._last_received = sent, received
        self._last_sent_bytes = sent_bytes

    def _serve_metrics(self) -> None:
        front = server.HttpServer(
            loop=self.loop,
            heap=self.heap,
            limits=METRICS_LIMITS,
            timeouts=server.Timeouts(),
            handler=self._handle_request,
            budget=self.connections,
        )
        address = addresses.Address(self.cfg.host, self.cfg.metrics_port)
        front.listen(address)

    def _handle_request(self, exchange: server.Exchange) -> None:
        request = exchange.request
        if request.target.partition("?")[0] != METRICS_PATH:
            self.on_operator_request(exchange)
        elif request.method != "GET":
            exchange.respond(
                server.error_response(errors.MethodNotAllowed("GET"))
            )
        else:
            body = self.metrics.render().encode()
            exchange.respond(
                server.Response(200, body, content_type="text/plain")
            )

    def _on_signal(self, number: int, _frame: typing.Any) -> None:
        self._signals.append(number)

    def _process_signals(self) -> None:
        received, self._signals = self._signals, []
        for number in received:
            _LOG.info("runtime: signal received", extra={"number": number})
            if number == signal.SIGHUP:
                self.on_reload()
            else:
                self.on_stop()

    @circuits.handler("signal", channel="*", priority=100)
    def _on_stop_signal(
        self, event: typing.Any, number: int, frame: typing.Any
    ) -> None:
        # The default handler of circuits would end the process at once.
        event.stop()
        self._on_signal(number, frame)

    @circuits.handler("exception", channel="*", priority=100)
    def _on_exception(
        self, _kind: type, exc: BaseException, trace: list[str], **_: object
    ) -> None:
        _LOG.error(
            "runtime: event handler failed",
            extra={"error": repr(exc), "trace": "".join(trace)},
        )


def _respond_not_found(exchange: server.Exchange) -> None:
    exchange.respond(
        server.error_response(errors.NotFound("no such resource"))
    )


def cluster_key(cfg: nodesettings.NodeSettings) -> bytes:
    """Derive the key of links from the zones, a setting that hosts share."""
    text = "\x00".join(sorted(cfg.zones))
    return hashlib.sha256(text.encode()).digest()
