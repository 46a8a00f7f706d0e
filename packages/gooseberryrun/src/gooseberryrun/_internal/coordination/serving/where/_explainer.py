"""Explanation of where a request would be sent now, without sending it.

It uses the functions that choose. It reserves nothing, and counts and logs nothing.
"""

from __future__ import annotations

import math
from typing import Any

from gooseberryrun._internal.state.serving import (
    Candidate,
    Handling,
    Route,
    Verdict,
    choose_model_runner,
    choose_plain_server,
    model_runner_cost_s,
    plain_server_cost,
    rank_candidates,
)
from gooseberryrun._internal.state.serving.accounts import ClientAccount
from gooseberryrun._internal.state.serving.placement import speed_factor

from .._active_request import ActiveRequest, make_active_request
from .._context import Context
from .._plain_requests import PlainRequests
from .._request_ports import InboundRequest, PromptPart, RequestMetadata
from .._runner_choice import RunnerChooser
from ..accounts import Authenticator, CapForecaster
from ..admission import PlainSlots
from ..crossing import Crossing, Departure
from ._account_state import describe_account, describe_cap
from ._query import NoCaller, WhereQuery

MAX_CANDIDATES = 20
"""Candidates that are shown, the cheapest first."""


class WhereExplainer:
    """Explains the choice that a request would meet."""

    def __init__(
        self,
        ctx: Context,
        chooser: RunnerChooser,
        plain: PlainRequests,
        crossing: Crossing,
        slots: PlainSlots,
        caps: CapForecaster,
    ) -> None:
        self._ctx = ctx
        self._chooser = chooser
        self._plain = plain
        self._crossing = crossing
        self._slots = slots
        self._caps = caps
        self._authenticator = Authenticator(ctx)

    def explain(self, query: WhereQuery) -> dict[str, Any]:
        """Return the decision, its candidates with their costs, and its inputs."""
        table = self._ctx.directory.table
        found: dict[str, Any] = {
            "vm": self._ctx.vm,
            "domain": self._ctx.cfg.vm.domain,
            "request": query.request_id,
            "account": None,
            "account_state": None,
            "cap": None,
            "configuration": self._ctx.directory.configuration_version,
            "rows": [],
            "crossing": [],
        }
        if table is None:
            return found | _refused("no_configuration")
        route = table.find(query.host, query.path)
        checked = self._authenticator.explain(table, route, query.account)
        if checked.account is not None:
            found["account"] = checked.account.name
        found["account_state"] = describe_account(
            checked, self._ctx.cfg.admission.weights
        )
        if checked.refusal is not None:
            refusal = checked.refusal
            return found | _refused(refusal.reason, refusal.retry_in_s)
        if route is None:
            return found | _refused("no_route")
        active = self._make_active(query, route, checked.account)
        found |= {
            "route": route.name,
            "service": active.service,
            "priority": active.priority,
            "crossing": self._crossing.describe(active.service),
        }
        forecast = self._caps.forecast(active)
        if forecast is not None:
            found["cap"] = describe_cap(forecast, self._ctx.clock.boottime())
            if forecast.is_refused:
                return found | _refused("usage_cap", found["cap"]["retry_in_s"])
        now = self._ctx.clock.monotonic()
        verdict = self._ctx.evidence.verdict(active.traits, now)
        if verdict.handling.value >= Handling.PAUSED.value:
            return found | _refused(f"suspect_{verdict.handling.name.lower()}")
        if query.model:
            return found | self._explain_model(active, verdict, now)
        return found | self._explain_plain(active, now)

    def _make_active(
        self, query: WhereQuery, route: Route, account: ClientAccount | None
    ) -> ActiveRequest:
        now = self._ctx.clock.monotonic()
        metadata = RequestMetadata(
            query.request_id,
            query.wait_s,
            query.model,
            query.adapter,
            query.prompt_tokens,
            query.output_tokens,
            tuple(PromptPart(part, 0) for part in query.parts),
            has_token_count=query.has_token_count,
        )
        inbound = InboundRequest("GET", query.path, query.host, [], b"", now)
        caller = NoCaller()
        return make_active_request(self._ctx, inbound, metadata, caller, route, account)

    def _explain_model(
        self, active: ActiveRequest, verdict: Verdict, now: float
    ) -> dict[str, Any]:
        departure = self._chooser.find_departure(active, now, verdict)
        candidates = self._chooser.candidates(active, now, verdict, departure)
        tokens = active.metadata.prompt_tokens
        policy = self._ctx.policy
        key = active.adapter_key
        choice = choose_model_runner(candidates, key, tokens, policy)
        ranking = rank_candidates(candidates, key)
        is_held = any(candidate.has_adapter for candidate in candidates)
        rows = []
        for candidate in candidates:
            rank = ranking[candidate.runner.id]
            cost, expected_s = model_runner_cost_s(
                candidate, rank, is_held, tokens, policy
            )
            is_chosen = choice is not None and choice.candidate is candidate
            row = self._row(candidate, cost, is_chosen)
            rows.append(row | self._model_row(candidate, expected_s))
        result = {"rows": _cheapest(rows)} | _leaving(departure)
        if choice is None:
            return result | _refused("no_runner")
        longest_wait_s = active.longest_wait_s(policy, now)
        result["longest_wait_s"] = round(longest_wait_s, 4)
        if reason := choice.refusal(longest_wait_s):
            return result | _refused(reason)
        return result | _sent(choice.candidate, choice.expected_s)

    def _explain_plain(self, active: ActiveRequest, now: float) -> dict[str, Any]:
        departure = self._crossing.find_departure(active)
        candidates = self._plain.candidates(active, departure, now)
        choice = choose_plain_server(candidates, active.metadata.request_id)
        rows = [
            self._row(
                candidate,
                plain_server_cost(candidate),
                choice is not None and choice.candidate is candidate,
            )
            for candidate in candidates
        ]
        if self._slots.is_enabled():
            for row, candidate in zip(rows, candidates, strict=True):
                row |= self._slots.describe(active, candidate.runner)
        result = {"rows": _cheapest(rows)} | _leaving(departure)
        if choice is None:
            return result | _refused("no_server")
        return result | _sent(choice.candidate, choice.candidate.turn_wait_s)

    def _row(
        self, candidate: Candidate, cost: float, is_chosen: bool
    ) -> dict[str, Any]:
        runner = candidate.runner
        return {
            "chosen": "*" if is_chosen else "",
            "runner": runner.id,
            "domain": runner.domain,
            "cost": round(cost, 4),
            "in_flight": candidate.view.in_flight,
            "slots": runner.slots,
            "turn_wait_s": round(candidate.turn_wait_s, 4),
        }

    def _model_row(self, candidate: Candidate, expected_s: float) -> dict[str, Any]:
        age_s = self._ctx.residency.age_s(candidate.runner.id)
        owner = self._ctx.owner_of(candidate.runner)
        needs_owner = not candidate.has_adapter or candidate.needs_grant
        prefill = candidate.prefill
        return {
            "expected_s": round(expected_s, 4),
            "has_adapter": candidate.has_adapter,
            "can_load": candidate.can_load,
            "weight": speed_factor(candidate.weight),
            "idle_places": candidate.available_slots,
            "waiting": candidate.waiting,
            "prompts_s": round(prefill.running_s + prefill.waiting_s, 4),
            "age_s": round(age_s, 3) if math.isfinite(age_s) else None,
            "asks_owner": owner.vm if needs_owner and owner is not None else "",
        }


def _cheapest(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    ordered = sorted(rows, key=lambda row: (not row["chosen"], row["cost"]))
    return ordered[:MAX_CANDIDATES]


def _leaving(departure: Departure | None) -> dict[str, Any]:
    return {"selected_for": departure.domain if departure else None}


def _refused(reason: str, retry_in_s: float | None = None) -> dict[str, Any]:
    return {"outcome": "refused", "reason": reason, "retry_in_s": retry_in_s}


def _sent(candidate: Candidate, expected_s: float) -> dict[str, Any]:
    return {
        "outcome": "sent",
        "runner": candidate.runner.id,
        "expected_wait_s": round(expected_s, 4),
    }
