"""Load that one request puts on its runner, from the attempt to the end."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import (
    Choice,
    StreamTiming,
    expected_first_event_s,
)

from ._active_request import ActiveRequest
from ._adapters import WITHDRAWN_S, Adapters
from ._context import Context

MIN_SLOWNESS_SAMPLE_S = 0.03
"""Shortest expected time for which the observed time is a slowness sample."""


class LoadTracker:
    """Counts a request's load on a runner: its prompt until read, itself until done."""

    def __init__(
        self, ctx: Context, adapters: Adapters, active: ActiveRequest, choice: Choice
    ) -> None:
        self._ctx = ctx
        self._adapters = adapters
        self._active = active
        self._runner = choice.candidate.runner
        self._tokens = active.metadata.prompt_tokens
        self._expected_s = expected_first_event_s(
            choice.candidate, self._tokens, ctx.policy
        )
        self._slowness = choice.candidate.view.slowness
        self._sent_at = ctx.clock.monotonic()
        self._is_prompt_unread = True
        self._held_tokens = active.held_tokens
        ctx.loads.begin(self._runner.id, self._tokens, self._held_tokens)

    def mark_prompt_read(self) -> None:
        """Record that the prompt was read, and how slow the runner was."""
        if not self._is_prompt_unread:
            return
        self._is_prompt_unread = False
        now = self._ctx.clock.monotonic()
        self._ctx.loads.record_first_event(self._runner.id, self._tokens)
        self._return_grant(now - self._sent_at)
        nominal_s = self._expected_s / max(self._slowness, 0.1)
        if nominal_s >= MIN_SLOWNESS_SAMPLE_S:
            ratio = (now - self._sent_at) / nominal_s
            self._ctx.loads.record_slowness(self._runner.id, ratio, now)

    def record_stream(self, timing: StreamTiming, tokens: int) -> None:
        """Record the step time of a whole stream that its caller read in time."""
        step_s = timing.step_s(tokens)
        if step_s:
            self._adapters.record_steps(self._runner, self._active.adapter_key, step_s)

    def end(self) -> None:
        """Remove the request from the runner's load."""
        if self._is_prompt_unread:
            self._is_prompt_unread = False
            self._ctx.loads.record_first_event(self._runner.id, self._tokens)
            self._return_grant(WITHDRAWN_S)
        self._ctx.loads.end(self._runner.id, self._held_tokens)

    def _return_grant(self, took_s: float) -> None:
        if self._active.has_grant:
            self._active.has_grant = False
            request_id = self._active.metadata.request_id
            self._adapters.end_prefill(self._runner, request_id, took_s)
