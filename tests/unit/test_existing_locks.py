"""Locks from before eventlet's patches, tested in a process of its own."""

from __future__ import annotations

import subprocess
import sys

import pytest

PROGRAM = """
import functools
import gc
import logging
import threading

NATIVE = type(threading.RLock())

class Holder:
    pass

class Slotted:
    __slots__ = ("__dict__",)

holder, slotted = Holder(), Slotted()
holder.lock = slotted.lock = listed = threading.RLock()
locks = [listed]
nested = {"a": [{"b": threading.RLock()}]}
early = functools.cached_property(len)
held = threading.RLock()
held.acquire()
del listed

import gooseberryrun.__main__

assert not isinstance(holder.lock, NATIVE)
assert holder.lock is slotted.lock is locks[0]
assert not isinstance(nested["a"][0]["b"], NATIVE)
assert not isinstance(logging._lock, NATIVE)
assert not isinstance(logging.lastResort.lock, NATIVE)
held.release()

# Modules that are imported later create others, which were not there to be converted.
def is_later(lock):
    holders = gc.get_referrers(lock)
    return any(isinstance(holder, functools.cached_property) for holder in holders)

gc.collect()
kept = [lock for lock in gc.get_objects() if type(lock) is NATIVE]
assert all(map(is_later, kept)), kept
assert not isinstance(early.lock, NATIVE)

import eventlet
from eventlet.timeout import Timeout

order = []

def use(name):
    with holder.lock:
        order.append(name)
        eventlet.sleep(0.01)
        order.append(name)

with Timeout(5):
    for thread in [eventlet.spawn(use, name) for name in "ab"]:
        thread.wait()
print("".join(order))
"""


@pytest.mark.parametrize("options", [[], ["-X", "dev"]])
def test_locks_from_before_the_patches_exclude_green_threads(
    options: list[str],
) -> None:
    """Guards against two green threads in a section that a lock protects.

    A native reentrant lock belongs to the operating system's thread, which all green
    threads share.
    """
    command = [sys.executable, *options, "-W", "ignore", "-c", PROGRAM]
    run = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert run.stdout.strip() == "aabb", run.stderr
