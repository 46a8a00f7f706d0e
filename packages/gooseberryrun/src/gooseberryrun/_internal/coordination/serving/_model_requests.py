"""Requests to model runners, which respond with streams of events."""

from __future__ import annotations

from result import Err

from gooseberryrun._internal.state.serving import Choice, Handling, Runner, Verdict

from .._events import log_event
from .._metrics import LOAD_STALL
from ._active_request import ActiveRequest, LocalResponse, Round
from ._adapter_requirement import AdapterRequirement
from ._adapters import Adapters
from ._attempts import Attempts
from ._availability import Availability
from ._context import Context
from ._crash_guard import CrashGuard, suspect_response
from ._load_tracker import LoadTracker
from ._origins import OriginKeeper
from ._request_ports import ForwardingMetadata, RunnerResponse
from ._responses import (
    ResponseWriter,
    failure_response,
    run_rounds,
    stopping_response,
)
from ._runner_choice import RunnerChooser
from ._stream_relay import StreamProgress, StreamRelay, after_fault
from ._turns import Turns
from .accounts import UsageCaps, forwarded_account
from .crossing import Crossing

MAX_ROUNDS = 6
"""Largest number of rounds for one request; each round chooses a runner."""
URGENCY_STEP = 2
"""Difference in engine urgency between two adjacent priorities."""
MAX_URGENCY = 9
BUSY_RETRY_S = 1.0
"""Retry delay sent with a refusal for lack of capacity."""


class ModelRequests:
    """Serves requests that name a model or one of its adapters."""

    def __init__(
        self,
        ctx: Context,
        guard: CrashGuard,
        adapters: Adapters,
        turns: Turns,
        availability: Availability,
        attempts: Attempts,
        responses: ResponseWriter,
        origins: OriginKeeper,
        crossing: Crossing,
        usage: UsageCaps,
    ) -> None:
        self._ctx = ctx
        self._usage = usage
        self._guard = guard
        self._origins = origins
        self._adapters = adapters
        self._turns = turns
        self._attempts = attempts
        self._responses = responses
        self._availability = availability
        self.chooser = RunnerChooser(ctx, adapters, turns, availability, crossing)
        self._relay = StreamRelay(ctx, attempts, responses, self.chooser.stream_pace)

    def serve(self, active: ActiveRequest) -> None:
        """Serve a request and respond to its caller."""
        progress = StreamProgress()
        outcome = run_rounds(
            active, MAX_ROUNDS, BUSY_RETRY_S, lambda: self._try_once(active, progress)
        )
        if isinstance(outcome, LocalResponse):
            self._send_final(active, progress, outcome)

    def _send_final(
        self, active: ActiveRequest, progress: StreamProgress, response: LocalResponse
    ) -> None:
        """Send a local response, or abort a stream that has started."""
        if not progress.is_started:
            self._responses.send_local(active, response)
            return
        self._responses.log(active, 0, f"cut: {response.reason}")
        active.caller.abort()

    def _try_once(
        self, active: ActiveRequest, progress: StreamProgress
    ) -> LocalResponse | Round:
        now = self._ctx.clock.monotonic()
        if now >= active.deadline:
            return failure_response(active, "deadline")
        if active.takes_up_stream and active.required_software is None:
            refusal = self._origins.constrain(active)
            if refusal is not None:
                return refusal
            now = self._ctx.clock.monotonic()
        verdict = self._guard.judge(active, now)
        if verdict.handling.value >= Handling.PAUSED.value:
            return suspect_response(active, verdict, now)
        choice = self.chooser.choose(active, now, verdict)
        longest_wait_s = active.longest_wait_s(self._ctx.policy, now)
        if choice is None:
            return self._availability.refusal(active, "no_runner", BUSY_RETRY_S, now)
        if reason := choice.refusal(longest_wait_s):
            _log_overload(active, choice, reason)
            retry_in_s = max(BUSY_RETRY_S, choice.candidate.turn_wait_s)
            return failure_response(active, reason, retry_in_s)
        ends_at = now + choice.expected_s + choice.candidate.stream_s
        if ends_at > self._ctx.stop_deadline:
            return stopping_response(active)
        runner = choice.candidate.runner
        if not self._turns.take(active, runner):
            active.ungranted.add(runner.id)
            return Round.AGAIN
        if self._needs_owner(choice) and not self._acquire(active, choice):
            return Round.AGAIN
        return self._attempt(active, choice, progress, verdict)

    def _may_send(
        self, active: ActiveRequest, runner: Runner, chosen_by: Verdict
    ) -> bool:
        """Return whether a request may still go to a runner after a wait.

        Since the runner was chosen, it may have begun to leave or asked for a pause,
        its memory may have been filled, or a crash elsewhere may have made the request
        suspect.
        """
        now = self._ctx.clock.monotonic()
        if not self._availability.may_send(runner, now):
            return False
        if not self.chooser.fits(active, runner, now):
            return False
        verdict = self._guard.judge(active, now)
        if verdict.handling is Handling.CONFINED:
            return chosen_by.trait == verdict.trait
        return verdict.handling is Handling.FREE

    @staticmethod
    def _needs_owner(choice: Choice) -> bool:
        """Return whether the runner's owner must be asked before the attempt."""
        return not choice.candidate.has_adapter or choice.candidate.needs_grant

    def _acquire(self, active: ActiveRequest, choice: Choice) -> bool:
        """Wait until the adapter is loaded and a long prompt may start.

        Return False if the request should go elsewhere. A runner that is believed to
        hold the adapter is used also if its owner cannot be reached.
        """
        runner = choice.candidate.runner
        active.has_grant = False
        needs_grant = choice.candidate.needs_grant
        requested_at = self._ctx.clock.monotonic()
        deadline = requested_at + active.longest_wait_s(self._ctx.policy, requested_at)
        requirement = AdapterRequirement(
            active.adapter_key,
            self.chooser.wanted_version(active),
            active.request.read_at + active.route.target_latency_s,
            active.priority,
            active.metadata.request_id,
            active.missing_on == runner.id,
            active.metadata.prompt_tokens if needs_grant else 0,
            active.account_name,
            active.is_early,
        )
        acquired = self._adapters.acquire(runner, requirement, deadline)
        stalled_s = self._ctx.clock.monotonic() - requested_at
        LOAD_STALL.observe(stalled_s)
        reason = acquired.err_value.reason if isinstance(acquired, Err) else "ready"
        log_event(
            "adapter_wait",
            request=active.metadata.request_id,
            runner=runner.id,
            adapter=active.metadata.adapter,
            took_s=stalled_s,
            prefill_tokens=requirement.prefill_tokens,
            expected_s=choice.expected_s,
            outcome=reason,
        )
        active.has_grant = needs_grant and not isinstance(acquired, Err)
        if not isinstance(acquired, Err):
            return True
        if choice.candidate.has_adapter and acquired.err_value.is_owner_fault:
            return True
        refused = active.ungranted if needs_grant else active.unloadable
        refused.add(runner.id)
        return False

    def _attempt(
        self,
        active: ActiveRequest,
        choice: Choice,
        progress: StreamProgress,
        chosen_by: Verdict,
    ) -> LocalResponse | Round:
        runner = choice.candidate.runner
        adapter = active.adapter_key
        self._adapters.begin_use(runner, active)
        try:
            if not self._wait_for_turn(active, runner):
                return Round.AGAIN
            if (refusal := self._usage.renew(active)) is not None:
                return refusal
            if not self._may_send(active, runner, chosen_by):
                return Round.AGAIN
            if not self._attempts.withdraw_attempt(active):
                return failure_response(active, "repeat_budget", BUSY_RETRY_S)
            return self._send_tracked(active, choice, progress)
        finally:
            self._adapters.end_use(runner, adapter)

    def _wait_for_turn(self, active: ActiveRequest, runner: Runner) -> bool:
        """Wait for the request's turn; return whether it may go to the runner."""
        if self._turns.wait_for(active, runner):
            return True
        active.ungranted.add(runner.id)
        return False

    def _send_tracked(
        self, active: ActiveRequest, choice: Choice, progress: StreamProgress
    ) -> LocalResponse | Round:
        tracker = LoadTracker(self._ctx, self._adapters, active, choice)
        try:
            return self._send(active, choice.candidate.runner, progress, tracker)
        finally:
            tracker.end()

    def _send(
        self,
        active: ActiveRequest,
        runner: Runner,
        progress: StreamProgress,
        tracker: LoadTracker,
    ) -> LocalResponse | Round:
        if not progress.is_started:
            self._origins.record(active, runner)
        forwarding = self._forwarding(active, runner, progress)
        sent = self._attempts.send(active, runner, forwarding, active.deadline)
        if isinstance(sent, Err):
            return after_fault(active, sent.err_value)
        response = sent.ok_value
        try:
            if response.metadata.is_not_run:
                return self._after_not_run(active, runner, response)
            return self._relay.handle(active, runner, response, progress, tracker)
        finally:
            response.close()

    def _forwarding(
        self, active: ActiveRequest, runner: Runner, progress: StreamProgress
    ) -> ForwardingMetadata:
        version = 0
        if active.metadata.adapter and self.chooser.wanted_version(active):
            version = self._adapters.held(runner).get(active.adapter_key, 0)
        return ForwardingMetadata(
            runner.id,
            active.deadline - self._ctx.clock.monotonic(),
            min(MAX_URGENCY, 1 + URGENCY_STEP * active.priority),
            version,
            progress.events.last_id or active.metadata.last_event_id,
            forwarded_account(self._ctx, active),
        )

    def _after_not_run(
        self, active: ActiveRequest, runner: Runner, response: RunnerResponse
    ) -> Round:
        if response.metadata.is_misdirected:
            self._adapters.record_missing(runner, active.adapter_key)
            active.missing_on = runner.id
            active.tried.discard(runner.id)
        return Round.AGAIN


def _log_overload(active: ActiveRequest, choice: Choice, reason: str) -> None:
    """Log the figures by which a request is refused even at the best runner."""
    candidate = choice.candidate
    log_event(
        "overload",
        request=active.metadata.request_id,
        runner=candidate.runner.id,
        expected_s=choice.expected_s,
        unread_tokens=candidate.view.unread_tokens,
        in_flight=candidate.view.in_flight,
        slowness=candidate.view.slowness,
        has_adapter=candidate.has_adapter,
        idle_places=candidate.available_slots,
        waiting=candidate.waiting,
        turn_s=candidate.slot_wait_s,
        queue_s=choice.queue_s,
        account_share=choice.account_share,
        reason=reason,
    )
