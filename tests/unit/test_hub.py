"""The eventlet hub, tested in a subprocess because a thread can have only one hub."""

from __future__ import annotations

import subprocess
import sys

import pytest

PROLOGUE = """
import warnings
warnings.simplefilter("ignore")
import asyncio
import eventlet
import eventlet.hubs
from eventlet.asyncio import spawn_for_awaitable
from gooseberryrun._hub import Hub
eventlet.hubs.use_hub(Hub)
loop = eventlet.hubs.get_hub().loop
"""
TIMERS = """
seen = []
def note(name, seconds):
    eventlet.sleep(seconds)
    seen.append(name)
for name, seconds in [("c", 0.06), ("a", 0.02), ("b", 0.04)]:
    eventlet.spawn(note, name, seconds)
eventlet.sleep(0.1)
assert seen == ["a", "b", "c"], seen
"""
TIMEOUTS = """
with eventlet.Timeout(0.02, False):
    eventlet.sleep(5)
    raise AssertionError("the timeout did not fire")
"""
AWAITABLES = """
async def answer():
    await asyncio.sleep(0.01)
    return 42
assert spawn_for_awaitable(answer()).wait() == 42
"""
SOCKETS = """
listener = eventlet.listen(("127.0.0.1", 0))
def serve():
    conn, _ = listener.accept()
    while data := conn.recv(100):
        conn.sendall(data)
eventlet.spawn(serve)
conn = eventlet.connect(listener.getsockname())
for _ in range(50):
    conn.sendall(b"x")
    assert conn.recv(10) == b"x"
"""
FEW_ITERATIONS = """
turns = 0
run_once = loop._run_once
def counted():
    global turns
    turns += 1
    run_once()
loop._run_once = counted
for _ in range(50):
    eventlet.sleep(0.001)
assert turns <= 3 * 50, turns
"""


@pytest.mark.parametrize(
    "body", [TIMERS, TIMEOUTS, AWAITABLES, SOCKETS, FEW_ITERATIONS]
)
def test_hub_runs_green_threads(body: str) -> None:
    command = [sys.executable, "-c", PROLOGUE + body]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr
