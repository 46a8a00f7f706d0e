"""Choice of a runner for a request, by what this VM knows of the runners now."""

from __future__ import annotations

from gooseberryrun._internal.state import rank_nodes
from gooseberryrun._internal.state.serving import (
    Candidate,
    Choice,
    Handling,
    Runner,
    StreamPace,
    Verdict,
    choose_model_runner,
    fits_memory,
)

from ._active_request import ActiveRequest
from ._adapters import Adapters
from ._availability import Availability
from ._context import Context
from ._turns import Turns

HOME_RUNNERS = 2
"""Runners of an adapter's home domain that are candidates in all other domains."""
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
    ) -> None:
        self._ctx = ctx
        self._adapters = adapters
        self._turns = turns
        self._availability = availability
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
        adapter = active.adapter_key
        eligible = self._eligible(active, adapter, now)
        if verdict.handling is Handling.CONFINED:
            confined_to = self.confined_runner(active, verdict, now)
            eligible = [confined_to] if confined_to else []
        candidates = []
        for runner in eligible:
            if self._may_serve(active, runner, now) and self.fits(active, runner, now):
                candidates.append(self._candidate(active, runner, adapter, now))
        tokens = active.metadata.prompt_tokens
        return choose_model_runner(candidates, adapter, tokens, self._ctx.policy)

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
        kv_total = self._adapters.kv_total(runner)
        if not kv_total:
            return True
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

    def _eligible(
        self, active: ActiveRequest, adapter: str, now: float
    ) -> list[Runner]:
        """Return the runners that this VM follows, and an adapter's home runners.

        All domains agree on the home runners, so that loads of a rare adapter are
        shared between domains.
        """
        runners = self._ctx.directory.runners(active.service, now)
        found = [runner for runner in runners if self._ctx.follows(runner)]
        if len(found) == len(runners):
            return found
        by_domain = self._ctx.directory.runners_by_domain(active.service)
        home = by_domain[rank_nodes(adapter, by_domain)[0]]
        ranking = rank_nodes(adapter, [runner.id for runner in home])
        homes = set(ranking[:HOME_RUNNERS])
        known = {runner.id for runner in found}
        return found + [r for r in home if r.id in homes and r.id not in known]

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
            stream_s=active.metadata.output_tokens * self.stream_pace.token_s,
            turn_wait_s=self._turns.expected_wait_s(runner, now),
        )

    def _can_load(self, active: ActiveRequest, runner: Runner) -> bool:
        return runner.id not in active.unloadable and self._adapters.can_acquire(runner)

    def _max_pause_s(self, active: ActiveRequest) -> float:
        table = self._ctx.directory.table
        return table.max_pause_s(active.service) if table else 0.0
