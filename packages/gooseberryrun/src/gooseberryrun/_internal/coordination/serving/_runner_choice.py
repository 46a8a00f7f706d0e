"""Choice of a runner for a request, by what this VM knows of the runners now."""

from __future__ import annotations

import dataclasses

from gooseberryrun._internal.state import rank_nodes
from gooseberryrun._internal.state.serving import (
    Candidate,
    Choice,
    Handling,
    PrefillLoad,
    Runner,
    StreamPace,
    Verdict,
    choose_model_runner,
    fits_memory,
    follows_all_domains,
)
from gooseberryrun._internal.state.serving.placement import speed_factor

from ._active_request import ActiveRequest
from ._adapters import Adapters
from ._availability import Availability
from ._context import Context
from ._eligible_runners import EligibleRunners
from ._turns import Turns
from .crossing import Crossing, Departure

SPARE_MARGIN = 3
"""Requests by which a runner has to be the busiest to be spared suspect requests."""


class RunnerChooser:
    """Collects the runners that could serve a request, and chooses one."""

    def __init__(
        self,
        ctx: Context,
        adapters: Adapters,
        turns: Turns,
        availability: Availability,
        crossing: Crossing,
    ) -> None:
        self._ctx = ctx
        self._adapters = adapters
        self._turns = turns
        self._availability = availability
        self._crossing = crossing
        self._eligible = EligibleRunners(ctx)
        self.stream_pace = StreamPace()

    def wanted_version(self, active: ActiveRequest) -> int:
        """Return the newest declared version of the request's adapter, or 0."""
        return self._ctx.directory.version_of(
            active.metadata.model, active.metadata.adapter
        )

    def choose(
        self, active: ActiveRequest, now: float, verdict: Verdict
    ) -> Choice | None:
        """Return the best runner that was not tried yet, None if there is none."""
        departure = None
        if verdict.handling is Handling.FREE and self._follows_in_part(active):
            departure = self._crossing.select(active)
        candidates = self.candidates(active, now, verdict, departure)
        tokens = active.metadata.prompt_tokens
        choice = choose_model_runner(
            candidates, active.adapter_key, tokens, self._ctx.policy
        )
        if departure is None or choice is None:
            return choice
        if choice.candidate.runner.domain != departure.domain:
            self._crossing.record_stay(active, departure)
        return choice

    def find_departure(
        self, active: ActiveRequest, now: float, verdict: Verdict
    ) -> Departure | None:
        """Return the domain that a request would be selected for, None to stay."""
        if verdict.handling is Handling.FREE and self._follows_in_part(active):
            return self._crossing.find_departure(active)
        return None

    def candidates(
        self,
        active: ActiveRequest,
        now: float,
        verdict: Verdict,
        departure: Departure | None,
    ) -> list[Candidate]:
        """Return the runners that may get a request now."""
        adapter = active.adapter_key
        service, request_id = active.service, active.metadata.request_id
        runners = self._eligible.find(service, adapter, request_id, now)
        if departure is not None:
            # A request without an adapter has no homes: its id spreads such requests.
            key = adapter if active.metadata.adapter else request_id
            known = {runner.id for runner in runners}
            homes = self._eligible.homes(service, departure.domain, key)
            runners = runners + [home for home in homes if home.id not in known]
        if verdict.handling is Handling.CONFINED:
            confined_to = self.confined_runner(active, verdict, now)
            runners = [confined_to] if confined_to else []
        candidates = []
        for runner in runners:
            if self._may_serve(active, runner, now) and self.fits(active, runner, now):
                candidates.append(self._candidate(active, runner, adapter, now))
        if departure is not None:
            candidates = with_departure(candidates, departure)
        return candidates

    def _follows_in_part(self, active: ActiveRequest) -> bool:
        """Return whether this VM does not follow the runners of other domains."""
        domain = self._ctx.cfg.vm.domain
        local = self._ctx.directory.local_runner_count(active.service, domain)
        return not follows_all_domains(local)

    def confined_runner(
        self, active: ActiveRequest, verdict: Verdict, now: float
    ) -> Runner | None:
        """Return the only runner that a suspect request may go to.

        All VMs agree on it by a ranking, but for the busiest runner, which is spared.
        """
        loads = self._ctx.loads
        runners = {
            runner.id: runner
            for runner in self._ctx.directory.runners(active.service, now)
            if not self._ctx.pauses.is_down(runner.id, now)
            and self._adapters.can_acquire(runner)
        }
        if not runners or verdict.trait is None:
            return None
        ranking = rank_nodes(verdict.trait.key, runners)
        busy = {key: loads.total(key, now).in_flight for key in ranking}
        most_elsewhere = max((busy[key] for key in ranking[1:]), default=0)
        if len(ranking) > 1 and busy[ranking[0]] > most_elsewhere + SPARE_MARGIN:
            return runners[ranking[1]]
        return runners[ranking[0]]

    def fits(self, active: ActiveRequest, runner: Runner, now: float) -> bool:
        """Return whether a runner's memory has room for a request."""
        if not self._ctx.cfg.admission.bounds_runner_memory:
            return True
        kv_total = self._adapters.kv_total(runner)
        held_tokens = self._ctx.loads.total(runner.id, now).held_tokens
        return fits_memory(kv_total, held_tokens, active.held_tokens)

    def _may_serve(self, active: ActiveRequest, runner: Runner, now: float) -> bool:
        """Return whether a runner has the model and may get the request now."""
        required = active.required_software
        if required is not None and runner.software_version != required:
            return False
        if not self._availability.may_serve(active, runner, now):
            return False
        return any(model.name == active.metadata.model for model in runner.models)

    def _candidate(
        self, active: ActiveRequest, runner: Runner, adapter: str, now: float
    ) -> Candidate:
        has_adapter = not active.metadata.adapter
        if active.metadata.adapter:
            held = self._adapters.held(runner).get(adapter, -1)
            has_adapter = held >= self.wanted_version(active)
        queue = self._adapters.queue(runner)
        prefill = self._adapters.prefill_load(runner)
        max_pause_s = self._max_pause_s(active)
        tokens = active.metadata.prompt_tokens
        weight = self._ctx.weights.steps(runner.id, runner.born_ms)
        stream_s = active.metadata.output_tokens * self.stream_pace.token_s
        return Candidate(
            runner=runner,
            view=self._ctx.loads.total(runner.id, now),
            is_local=runner.domain == self._ctx.cfg.vm.domain,
            has_adapter=has_adapter,
            can_load=self._can_load(active, runner),
            held_recently=self._adapters.recently_held(runner, adapter),
            available_slots=queue.idle,
            waiting=queue.waiting,
            slot_wait_s=queue.mean_slot_wait_s,
            prefill=prefill,
            needs_grant=self._ctx.policy.admits_prompts
            and prefill.pace.needs_grant(tokens, max_pause_s),
            breaks_streams=prefill.pace.breaks_streams(tokens, max_pause_s),
            stream_s=stream_s / speed_factor(weight),
            turn_wait_s=self._turns.expected_wait_s(runner, now),
            weight=weight,
            account_share=self._adapters.account_share(
                runner, active.priority, active.account_name
            ),
        )

    def _can_load(self, active: ActiveRequest, runner: Runner) -> bool:
        return runner.id not in active.unloadable and self._adapters.can_acquire(runner)

    def _max_pause_s(self, active: ActiveRequest) -> float:
        table = self._ctx.directory.table
        return table.max_pause_s(active.service) if table else 0.0


def with_departure(
    candidates: list[Candidate], departure: Departure
) -> list[Candidate]:
    """Return the candidates with what is known of the domain that a request leaves for.

    A runner there without a recent answer of its owner is expected to be as busy as its
    domain, and to hold an adapter that the own domain holds: that is a popular one.
    """
    is_popular = any(c.has_adapter and c.is_local for c in candidates)
    found = []
    for candidate in candidates:
        if candidate.runner.domain != departure.domain:
            found.append(candidate)
            continue
        changed = dataclasses.replace(candidate, crossing_cost=departure.price_s)
        if candidate.prefill == PrefillLoad():
            changed = dataclasses.replace(
                changed,
                prefill=PrefillLoad(running_s=departure.wait_s),
                held_recently=is_popular or candidate.held_recently,
            )
        found.append(changed)
    return found
