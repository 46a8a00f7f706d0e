"""Stand-ins that tests of the serving layer rely on."""

from __future__ import annotations

import socket

import pytest
from gooseberry_fakes.platform_runner import PlatformRunner, serve_runner

from tests.lib.platform_site import wait_for


def test_ended_server_refuses_connections_and_polls_no_more() -> None:
    """Its thread used up a core, for all later tests of the same worker too."""
    server = serve_runner(PlatformRunner("i-1", "s"))
    server.end()
    wait_for(lambda: not server.serving.is_alive(), "end of the serving thread")
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", server.server_address[1]))
