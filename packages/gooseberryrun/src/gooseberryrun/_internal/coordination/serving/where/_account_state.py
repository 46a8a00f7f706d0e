"""State of a client account and of its usage cap, as ``where`` shows them."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from gooseberryrun._internal.state.serving.accounts import ClientAccount
from gooseberryrun._internal.state.serving.admission import weight_of

from ..accounts import Authentication, CapForecast


def describe_account(
    checked: Authentication, weights: Mapping[str, float]
) -> dict[str, Any] | None:
    """Return the state of an account, None if the configuration has no accounts.

    An unknown name is not repeated, since it may be a key that was given by mistake.
    """
    if checked.outcome is None:
        return None
    account: ClientAccount | None = checked.account
    return {
        "name": account.name if account else None,
        "is_known": account is not None,
        "authentication": str(checked.outcome),
        "priority": account.priority if account else None,
        "weight": weight_of(weights, account.name) if account else None,
    }


def describe_cap(forecast: CapForecast, now: float) -> dict[str, Any]:
    """Return the state of a cap, and what it would make of the request."""
    last = forecast.last_question
    found: dict[str, Any] = {
        "unit": str(forecast.cap.unit),
        "rate_per_s": forecast.cap.rate_per_s,
        "burst": forecast.cap.burst,
        "cost": forecast.cost,
        "credit": round(forecast.credit, 3),
        "outcome": forecast.outcome,
        "would_ask": list(forecast.asks),
        "retry_in_s": _seconds(forecast.retry_in_s),
        "last_asked": None,
    }
    if last is not None:
        found["last_asked"] = {
            "vm": last.vm,
            "domain": last.domain,
            "outcome": last.outcome,
            "age_s": round(now - last.asked_at, 3),
            "retry_in_s": _seconds(last.retry_at - now) if last.retry_at else None,
        }
    return found


def _seconds(left_s: float | None) -> float | None:
    """Return a time that is left, None if it is not known or without end."""
    if left_s is None or math.isinf(left_s):
        return None
    return round(max(0.0, left_s), 4)
