"""Counting of the calls to the operators' store."""

from __future__ import annotations

from typing import Any

from result import Err, Result

from .._metrics import STORE_CALLS
from ._store_port import StoreFault


def count_store_call(call: str, result: Result[Any, StoreFault]) -> str:
    """Count a call and return its outcome: ``ok`` or the kind of the fault."""
    outcome: str = result.err_value.kind if isinstance(result, Err) else "ok"
    STORE_CALLS.labels(call=call, outcome=outcome).inc()
    return outcome
