"""Writing again what a restored store may have lost."""

from __future__ import annotations

import random
from collections.abc import Callable

import eventlet

from gooseberryrun._internal.state.serving import READERS_PER_DOMAIN

from ._context import Context

MAX_REWRITE_DELAY_S = 2.0
"""Longest random delay, so that not all VMs write at once."""


def schedule_rewrite(ctx: Context, rewrite: Callable[[], None]) -> None:
    """Call ``rewrite`` soon if this VM reads the store for its domain."""
    if ctx.reader_rank() < READERS_PER_DOMAIN:
        delay_s = random.uniform(0.0, MAX_REWRITE_DELAY_S)
        eventlet.spawn_after(delay_s, rewrite)
