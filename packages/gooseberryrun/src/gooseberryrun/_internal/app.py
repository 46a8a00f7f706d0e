"""Wiring and lifecycle of the entry VM process in standalone mode."""

from __future__ import annotations

import signal
import uuid
from pathlib import Path
from types import FrameType

import eventlet
from absl import flags, logging
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import ConsoleSpanExporter, SimpleSpanProcessor

from gooseberryrun._internal.coordination import Node, log_event
from gooseberryrun._internal.gc_setup import enable_garbage_collection
from gooseberryrun._internal.logs import make_log_formatter
from gooseberryrun._internal.state import Settings, SystemClock
from gooseberryrun._internal.transport import (
    HttpClient,
    HttpEngines,
    HttpLog,
    HttpServer,
    HttpServices,
    HttpVmList,
    PeerLinks,
)

SIGNAL_POLL_S = 0.2
EXIT_REQUESTS_ABORTED = 75
"""Exit status of a stop that had to abort unfinished requests."""


def run_standalone_server(cfg: Settings) -> int:
    """Serve until a signal or an operator requests a stop; return the exit status."""
    _start_logging()
    _start_tracing(cfg)
    clock = SystemClock()
    boot = uuid.uuid4().hex[:16]
    http_client = HttpClient(cfg)
    peers = PeerLinks(cfg, clock)
    node = Node(
        cfg,
        clock,
        boot,
        HttpLog(cfg, http_client),
        HttpVmList(cfg, http_client),
        HttpEngines(cfg, http_client),
        HttpServices(http_client),
        peers,
    )
    peers.find_vm = node.membership.get
    peers.dispatch = node.dispatch
    node.membership.poll()
    enable_garbage_collection()
    peers.start()
    node.start()
    HttpServer(cfg, node).serve()
    log_event("started", vm=cfg.vm.id, boot=boot, domain=cfg.vm.domain)
    _wait_for_stop(node)
    finished = node.drain()
    log_event("stopped", vm=cfg.vm.id, finished=finished)
    return 0 if finished else EXIT_REQUESTS_ABORTED


def _wait_for_stop(node: Node) -> None:
    requested = []

    def on_signal(number: int, _frame: FrameType | None) -> None:
        requested.append(signal.Signals(number).name)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    node.operations.request_stop = requested.append
    while not requested:
        eventlet.sleep(SIGNAL_POLL_S)
    log_event("stop_requested", by=requested[0])


def _start_logging() -> None:
    flags.FLAGS(["gooseberryrun"])
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    handler.setFormatter(make_log_formatter())


def _start_tracing(cfg: Settings) -> None:
    if not cfg.trace.path:
        return
    resource = Resource.create({"service.name": "gooseberryrun", "vm": cfg.vm.id})
    provider = TracerProvider(resource=resource)
    # The exporter keeps the file open until the process ends.
    out = Path(cfg.trace.path).open("a", encoding="utf-8")  # noqa: SIM115
    exporter = ConsoleSpanExporter(
        out=out, formatter=lambda span: span.to_json(indent=None) + "\n"
    )
    provider.add_span_processor(SimpleSpanProcessor(exporter))
    trace.set_tracer_provider(provider)
