"""Garbage collector setup of a long-running process."""

from __future__ import annotations

import gc


def enable_garbage_collection() -> None:
    """Enable the collector, except for the objects that exist already.

    Objects created during startup live as long as the process; scanning them in every
    full collection would delay requests by tens of milliseconds.
    """
    gc.freeze()
    gc.enable()
