"""Relays the responses of model runners, which are streams of events, to callers."""

from __future__ import annotations

import msgspec
from result import Err

from gooseberryrun._internal.state.serving import Runner, StreamPace

from .._events import log_event
from ._active_request import ActiveRequest, LocalResponse, Round
from ._attempts import Attempts
from ._context import Context
from ._event_stream import EventBuffer
from ._load_tracker import LoadTracker
from ._request_ports import AttemptFailure, AttemptFault, RunnerResponse
from ._responses import ResponseWriter, end_to_end, failure_response, is_valid_response

MIN_UNREAD_S = 0.5
"""Time of waits for a caller from which on they may explain a broken stream; a runner
cuts a response off that stays unread for some seconds."""


class StreamProgress(msgspec.Struct):
    """Part of the stream that the caller has received.

    ``unread_s`` is the time for which nothing was read from the runner of the present
    attempt, since the caller did not read what had come before.
    """

    events: EventBuffer = msgspec.field(default_factory=EventBuffer)
    is_started: bool = False
    unread_s: float = 0.0


class StreamRelay:
    """Passes whole events on as they arrive, over several attempts of one request."""

    def __init__(
        self,
        ctx: Context,
        attempts: Attempts,
        responses: ResponseWriter,
        stream_pace: StreamPace,
    ) -> None:
        self._ctx = ctx
        self._attempts = attempts
        self._responses = responses
        self._stream_pace = stream_pace

    def handle(
        self,
        active: ActiveRequest,
        runner: Runner,
        response: RunnerResponse,
        progress: StreamProgress,
        tracker: LoadTracker,
    ) -> LocalResponse | Round:
        """Relay a response to the caller; return what to do if it fails."""
        if not is_valid_response(response):
            fault = AttemptFault(AttemptFailure.INVALID_RESPONSE, "unsigned or encoded")
            return self._fail(active, runner, progress, fault)
        if response.status != 200:
            return self._handle_failure(active, runner, response, progress)
        return self._relay(active, runner, response, progress, tracker)

    def _handle_failure(
        self,
        active: ActiveRequest,
        runner: Runner,
        response: RunnerResponse,
        progress: StreamProgress,
    ) -> LocalResponse | Round:
        body = response.read_all(active.deadline)
        if isinstance(body, Err):
            return self._fail(active, runner, progress, body.err_value)
        is_failure = response.status >= 500
        now = self._ctx.clock.monotonic()
        self._ctx.loads.record_result(runner.id, ok=not is_failure, now=now)
        if is_failure and active.may_retry and self._attempts.has_retry_budget(active):
            return Round.AGAIN
        if progress.is_started:
            return failure_response(active, "runner_failed")
        self._responses.relay(active, response, body.ok_value)
        return Round.DONE

    def _relay(
        self,
        active: ActiveRequest,
        runner: Runner,
        response: RunnerResponse,
        progress: StreamProgress,
        tracker: LoadTracker,
    ) -> LocalResponse | Round:
        progress.unread_s = 0.0
        for chunk in response.body_chunks(active.deadline):
            if isinstance(chunk, Err):
                return self._fail(active, runner, progress, chunk.err_value)
            events = progress.events.feed(chunk.ok_value)
            if progress.events.exceeds_limit:
                fault = AttemptFault(AttemptFailure.INVALID_RESPONSE, "event too long")
                return self._fail(active, runner, progress, fault)
            if events:
                tracker.mark_prompt_read()
                active.required_software = runner.software_version
                self._send_events(active, response, progress, events)
        broken_end = _broken_end(active, response, progress)
        if broken_end is not None:
            return self._fail(active, runner, progress, broken_end)
        self._finish(active, runner, response, progress, tracker)
        return Round.DONE

    def _fail(
        self,
        active: ActiveRequest,
        runner: Runner,
        progress: StreamProgress,
        fault: AttemptFault,
    ) -> LocalResponse | Round:
        """Record an invalid response; return what to do after it."""
        progress.events.discard_partial()
        if progress.unread_s >= MIN_UNREAD_S:
            return self._fail_slow_caller(active, runner, progress, fault)
        self._attempts.record_invalid_response(active, runner, fault)
        return after_fault(active, fault)

    def _fail_slow_caller(
        self,
        active: ActiveRequest,
        runner: Runner,
        progress: StreamProgress,
        fault: AttemptFault,
    ) -> LocalResponse:
        """End a stream that its caller read so slowly that it broke off.

        The runner is not at fault. Another one would have to read the prompt again for
        a caller that does not read.
        """
        log_event(
            "unread_cut",
            request=active.metadata.request_id,
            runner=runner.id,
            unread_s=progress.unread_s,
            failure=fault.failure.value,
        )
        return failure_response(active, "caller_slow")

    def _send_events(
        self,
        active: ActiveRequest,
        response: RunnerResponse,
        progress: StreamProgress,
        events: bytes,
    ) -> None:
        if not progress.is_started:
            progress.is_started = True
            active.caller.start(response.status, end_to_end(response.headers))
        active.timing.record_event(self._ctx.clock.monotonic())
        self._attempts.record_events(active)
        sending_at = self._ctx.clock.monotonic()
        active.caller.send(events)
        progress.unread_s += self._ctx.clock.monotonic() - sending_at

    def _finish(
        self,
        active: ActiveRequest,
        runner: Runner,
        response: RunnerResponse,
        progress: StreamProgress,
        tracker: LoadTracker,
    ) -> None:
        self._attempts.record_success(active, runner)
        if progress.unread_s < MIN_UNREAD_S:
            tokens = active.metadata.output_tokens
            self._stream_pace.record(active.timing, tokens)
            if active.attempts == 1 and not active.takes_up_stream:
                tracker.record_stream(active.timing, tokens)
        if not progress.is_started:
            self._send_events(active, response, progress, b"")
        self._responses.log(active, response.status, "relayed")
        active.caller.finish()


def after_fault(active: ActiveRequest, fault: AttemptFault) -> LocalResponse | Round:
    """Return what to do after a failed attempt: try another runner, or give up."""
    if fault.failure.is_not_run or active.may_retry:
        return Round.AGAIN
    is_late = fault.failure is AttemptFailure.LATE
    return failure_response(active, "deadline" if is_late else "runner_failed")


def _broken_end(
    active: ActiveRequest, response: RunnerResponse, progress: StreamProgress
) -> AttemptFault | None:
    """Return how a body that has ended was broken off, None if it is whole.

    Its framing tells where it ends, not whether the stream does: a whole stream has
    events and ends after one of them. One that goes on after the last event has none,
    which only a framed body can tell from a close.
    """
    has_events = active.answered_at is not None
    is_continued = bool(progress.events.last_id or active.metadata.last_event_id)
    may_be_empty = is_continued and not response.ends_with_connection
    if progress.events.remainder():
        why = "ended within an event"
    elif not has_events and not may_be_empty:
        why = "ended without an event"
    else:
        return None
    is_closed = response.ends_with_connection
    failure = AttemptFailure.SENT if is_closed else AttemptFailure.INVALID_RESPONSE
    return AttemptFault(failure, why)
