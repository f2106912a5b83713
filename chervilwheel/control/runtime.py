"""The event loop of a control host or an entry host and its services."""

import contextlib
import gc
import hashlib
import logging
import signal
import typing

import circuits

from chervilwheel import addresses
from chervilwheel import clock
from chervilwheel import guard
from chervilwheel import ids
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
METRICS_LIMITS = guard.Limits(header_bytes=8_192, body_bytes=1_024)
# Most objects are short-lived, and full collections would only traverse
# long-lived ones, so the thresholds make them rare.
GC_THRESHOLDS = (50_000, 50, 100)


class Runtime(circuits.BaseComponent):
    """The event loop with its streams, timers, links and signals.

    :param cfg: settings of this process
    """

    channel = "runtime"

    def __init__(self, *, cfg: nodesettings.NodeSettings) -> None:
        super().__init__()
        self.cfg = cfg
        self.heap = timers.TimerHeap(clk=clock.SystemClock())
        self.loop = streams.StreamLoop().register(self)
        timers.TimerLoop(heap=self.heap).register(self)
        self.links = peers.Peers(
            name=cfg.id,
            key=cluster_key(cfg),
            loop=self.loop,
            heap=self.heap,
            is_cut=lambda _peer, _direction: False,
            heartbeat_s=PEER_HEARTBEAT_S,
            receive_timeout_s=PEER_SILENCE_S,
        )
        self.metrics = metrics.Registry()
        self.metrics.register("peer_bytes_sent", lambda: self.links.bytes_sent)
        self.on_stop: typing.Callable[[], None] = self.stop
        self.on_reload: typing.Callable[[], None] = lambda: None
        self._signals: list[int] = []
        self._stack = contextlib.ExitStack()
        self._stack.callback(self.loop.close)
        self._stack.callback(self.links.close)
        signal.signal(signal.SIGHUP, self._on_signal)
        self.heap.call_every(SIGNAL_POLL_S, self._process_signals)

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

    def _serve_metrics(self) -> None:
        def answer(exchange: server.Exchange) -> None:
            body = self.metrics.render().encode()
            exchange.respond(
                server.Response(200, body, content_type="text/plain")
            )

        front = server.HttpServer(
            loop=self.loop,
            heap=self.heap,
            limits=METRICS_LIMITS,
            timeouts=server.Timeouts(),
            handler=answer,
        )
        address = addresses.Address(self.cfg.host, self.cfg.metrics_port)
        front.listen(address)

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


def cluster_key(cfg: nodesettings.NodeSettings) -> bytes:
    """Derive the key of links from the zones, a setting that hosts share."""
    text = "\x00".join(sorted(cfg.zones))
    return hashlib.sha256(text.encode()).digest()
