"""Guards against a process that ends because a port of its VM is still in use.

Seen in runs of review/3 beside other load: the peer port, chosen while it was free, had
become the port of another program's connection when the process tried to bind it. The
process ended with EADDRINUSE, was never ready and served nothing.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

import eventlet
import pytest
from gooseberryrun._internal.state import ServingSettings, SystemClock
from gooseberryrun._internal.transport import PeerLinks, _listening
from gooseberryrun._internal.transport.serving import ProbeServer

HOST = "127.0.0.1"
RELEASED_AFTER_S = 0.25
LIMIT_S = 10.0


@pytest.fixture(name="used")
def _used_port() -> socket.socket:
    """Return a listening socket; its port is in use until it is closed."""
    sock = socket.socket()
    sock.bind((HOST, 0))
    sock.listen()
    return sock


def start_peers(port: int) -> None:
    cfg = ServingSettings.model_validate(
        {
            "vm": {"id": "v0", "domain": "d0", "address": HOST},
            "peer": {"port": port, "secret": "s"},
            "entry": {
                "callers": f"{HOST}:1",
                "readiness": f"{HOST}:2",
                "metrics_port": 3,
            },
            "store": {"address": f"{HOST}:4"},
        }
    )
    PeerLinks(cfg, SystemClock()).start()


def start_probes(port: int) -> None:
    ProbeServer(SystemClock(), "/ready", lambda: True).serve(HOST, port)


@pytest.mark.parametrize("start", [start_peers, start_probes])
def test_port_that_is_released_soon_delays_the_start(
    used: socket.socket, start: Callable[[int], None]
) -> None:
    port = used.getsockname()[1]
    eventlet.spawn_after(RELEASED_AFTER_S, used.close)
    with eventlet.Timeout(LIMIT_S):
        start(port)
    eventlet.sleep(0)
    socket.create_connection((HOST, port), timeout=1.0).close()


def test_port_that_stays_in_use_ends_the_start(
    used: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that waits for ever instead of being replaced."""
    monkeypatch.setattr(_listening, "BIND_TIMEOUT_S", 0.2)
    with eventlet.Timeout(LIMIT_S), pytest.raises(OSError, match="in use") as raised:
        start_probes(used.getsockname()[1])
    assert raised.value.errno == errno.EADDRINUSE
    used.close()
