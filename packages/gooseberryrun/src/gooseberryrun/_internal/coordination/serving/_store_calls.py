"""Counting of the calls to the operators' store, and what one tells of others."""

from __future__ import annotations

import functools
from typing import Any

from prometheus_client import Counter
from result import Err, Result

from .._events import log_event
from .._metrics import STORE_CALLS
from ._store_port import ControlStore, StoreFault, StoreFaultKind


def count_store_call(call: str, result: Result[Any, StoreFault]) -> str:
    """Count a call and return its outcome: ``ok`` or the kind of the fault."""
    outcome: str = result.err_value.kind if isinstance(result, Err) else "ok"
    count_outcome(call, outcome)
    return outcome


def count_outcome(call: str, outcome: str) -> None:
    """Count a call with a known outcome."""
    _counter(call, outcome).inc()


@functools.cache
def _counter(call: str, outcome: str) -> Counter:
    """Return the metric of one call and outcome; few of each exist."""
    return STORE_CALLS.labels(call=call, outcome=outcome)


def check_for_silence(store: ControlStore, call: str, fault: StoreFault) -> None:
    """Leave all connections from before a call that got no response in time.

    Connections may go silent together. A read that waits for records would notice only
    when its own time is over.
    """
    if fault.kind is StoreFaultKind.TIMED_OUT:
        interrupted = store.interrupt_reads()
        log_event("store_silent", call=call, interrupted_reads=interrupted)
