"""Callers that send a body slowly, stop in the middle of it or do not speak HTTP."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from gooseberry_fakes.cluster import Cluster
from gooseberry_fakes.topology import ENTRY_PORT

from tests.lib.clusters import run_cluster

ONE_DOMAIN: dict[str, Any] = {"domains": ("dakar",), "engines": (1,), "services": (1,)}
HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n"


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    """Run a deployment in which a request body must arrive within a second."""
    path: Path = tmp_path_factory.mktemp("senders")
    with run_cluster(path, {"http": {"read_timeout_s": 1.0}}, **ONE_DOMAIN) as running:
        yield running


def exchange(cluster: Cluster, data: bytes, end: bool = False) -> bytes:
    """Send raw bytes and return all received bytes."""
    address = (cluster.vms["dakar-1"]["address"], ENTRY_PORT)
    with socket.create_connection(address, timeout=20) as sock:
        sock.sendall(data)
        if end:
            sock.shutdown(socket.SHUT_WR)
        received = b""
        while block := sock.recv(65536):
            received += block
    return received


def test_a_slow_sender_gets_a_clear_error(cluster: Cluster) -> None:
    received = exchange(cluster, HEAD + b'{"model"')
    assert received.startswith(b"HTTP/1.1 408")
    assert b"urn:gooseberryrun:slow_sender" in received
    assert b'"outcome": "not_run"' in received


def test_a_body_that_stops_short_is_refused(cluster: Cluster) -> None:
    received = exchange(cluster, HEAD + b'{"model"', end=True)
    assert received.startswith(b"HTTP/1.1 400")
    assert b"Traceback" not in received


@pytest.mark.parametrize("garbage", [b"\x16\x03\x01\x02\x00\x01", b"GET\r\n\r\n"])
def test_what_is_not_http_harms_nobody(cluster: Cluster, garbage: bytes) -> None:
    assert b"Traceback" not in exchange(cluster, garbage + b"\r\n\r\n", end=True)
    assert cluster.complete("dakar-1", "a1@1", "after garbage").status == 200
