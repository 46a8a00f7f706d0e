"""Bounds of what a VM holds for callers and runners that read slowly."""

from __future__ import annotations

import gc
import socket
import sys

import eventlet
import pytest
from eventlet.greenio import GreenSocket
from gooseberryrun._internal.coordination.serving import OutboundRequest
from gooseberryrun._internal.state import SystemClock
from gooseberryrun._internal.state.serving import RunnerLoads, fits_memory
from gooseberryrun._internal.transport.serving import InputBounds, _slow_readers
from gooseberryrun._internal.transport.serving._body_buffers import BodyBuffers
from gooseberryrun._internal.transport.serving._input_work import InputWork
from gooseberryrun._internal.transport.serving._output import (
    SEND_BUFFER_BYTES,
    limit_send_buffer,
    send_now,
    total_size,
)
from gooseberryrun._internal.transport.serving._runner_connection import (
    RunnerConnection,
)
from gooseberryrun._internal.transport.serving._slow_readers import (
    SlowReader,
    SlowReaders,
)

LIMIT = 1000


@pytest.fixture(autouse=True)
def _small_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_slow_readers, "MAX_WAITING_BYTES", LIMIT)


def test_caller_that_waits_longest_yields() -> None:
    """Guards against slow callers that take all the memory for bodies."""
    buffers = BodyBuffers()
    readers = SlowReaders(buffers)
    ended: list[int] = []
    waiting = []
    for number in range(5):
        reader = SlowReader(300, False, lambda n=number: ended.append(n))  # type: ignore[misc]
        readers.begin(reader)
        waiting.append(reader)
        assert readers.waiting_bytes <= LIMIT
        assert buffers.held_bytes == readers.waiting_bytes
    assert ended == [0, 1]
    assert [reader.is_ended for reader in waiting] == [True, True] + [False] * 3
    for reader in waiting * 2:
        readers.finish(reader)
    assert (readers.waiting_bytes, buffers.held_bytes) == (0, 0)


def test_body_that_is_buffered_is_not_counted_twice() -> None:
    buffers = BodyBuffers()
    body = buffers.open()
    body.append(b"x" * 300)
    readers = SlowReaders(buffers)
    reader = SlowReader(300, True, lambda: None)
    readers.begin(reader)
    assert buffers.held_bytes == 300
    readers.finish(reader)
    body.release()
    assert buffers.held_bytes == 0


def make_pair() -> tuple[socket.socket, GreenSocket]:
    """Return two ends of a connection; nothing is read at the first one."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sending = socket.create_connection(listener.getsockname())
    reading, _ = listener.accept()
    listener.close()
    return reading, GreenSocket(sending)


def test_system_holds_little_for_a_reader_that_stops() -> None:
    """Its own choice was up to 4 MB for each of them."""
    reading, sending = make_pair()
    limit_send_buffer(sending)
    data = b"x" * (8 << 20)
    left = send_now(sending, [b"head", data])
    assert len(data) - total_size(left) < 6 * SEND_BUFFER_BYTES
    assert left[-1].obj is data
    reading.close()


def test_body_for_a_runner_that_does_not_read_is_freed_with_the_connection() -> None:
    """The green thread that sent the rest went on waiting, and kept the body."""
    clock = SystemClock()
    reading, sending = make_pair()
    conn = RunnerConnection(sending, InputWork(InputBounds(clock).pieces, clock))
    body = bytes(16 << 20)
    references = sys.getrefcount(body)
    headers = [("host", "h"), ("content-length", str(len(body)))]
    conn.send(OutboundRequest("POST", "/", headers, body, "r1", False))
    eventlet.sleep(0.05)
    assert conn._is_writing
    assert sys.getrefcount(body) > references, "the body was copied"
    conn.close()
    eventlet.sleep(0.05)
    gc.collect()
    assert sys.getrefcount(body) == references
    reading.close()


def test_memory_of_a_runner_limits_what_it_is_sent() -> None:
    """A runner crashes if the requests that it holds exceed its memory."""
    assert fits_memory(0, 10**9, 10**6)
    assert fits_memory(10000, 0, 10000)
    assert not fits_memory(10000, 0, 10001)
    assert fits_memory(90000, 78500, 2500)
    assert not fits_memory(90000, 78501, 2500)
    assert fits_memory(20000, 10000, 2500)
    assert not fits_memory(20000, 10001, 2500)


def test_tokens_sent_by_all_vms_are_added_up() -> None:
    loads, peer = RunnerLoads(), RunnerLoads()
    loads.begin("r1", 2400, 2500)
    peer.begin("r1", 2400, 2600)
    loads.receive("vm-b", peer.own_views(1.0), 1.0)
    assert loads.total("r1", 1.0).held_tokens == 5100
    loads.record_first_event("r1", 2400)
    assert loads.total("r1", 1.0).held_tokens == 5100
    loads.end("r1", 2500)
    assert loads.total("r1", 1.0).held_tokens == 2600
