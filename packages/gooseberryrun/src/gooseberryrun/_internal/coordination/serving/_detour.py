"""Requests of a VM that is cut off from the runners, served through another VM.

The other VM serves them like those of its own callers: it admits, sends, repeats and
counts them, and its refusals are as true here as there. They take one hop at most.
"""

from __future__ import annotations

import random
from collections import Counter

from result import Err

from gooseberryrun._internal.state.serving import RouteKind, Runner

from .._events import log_event
from .._metrics import DETOURS
from ._active_request import ActiveRequest, LocalResponse
from ._attempts import check_connected
from ._context import Context
from ._event_stream import EventBuffer
from ._request_ports import (
    AttemptFailure,
    AttemptFault,
    OutboundRequest,
    RunnerResponse,
    StoppingError,
)
from ._responses import (
    ResponseWriter,
    end_to_end,
    failure_response,
    stopping_response,
    with_length,
)

MAX_PER_VM = 32
"""Requests at a time that another VM gets from this one."""
MAX_VMS_TRIED = 2
"""VMs that a request tries if it cannot be sent."""
RETRY_S = 0.5
"""Retry delay sent where no other VM can help."""


class Detours:
    """Sends requests to VMs that reach the runners."""

    def __init__(self, ctx: Context, responses: ResponseWriter) -> None:
        self._ctx = ctx
        self._responses = responses
        self._in_flight: Counter[str] = Counter()

    def is_needed(self, active: ActiveRequest) -> bool:
        """Return whether a request has to go through another VM."""
        return self._ctx.reach.is_cut_off and not active.is_relayed

    def serve(self, active: ActiveRequest) -> None:
        """Serve a request through another VM, or refuse it."""
        relay = _Relay(self._ctx, self._responses, active)
        try:
            refusal = self._try_vms(active, relay)
        except StoppingError:
            refusal = stopping_response(active)
        if refusal is not None:
            relay.end(refusal)

    def _try_vms(self, active: ActiveRequest, relay: _Relay) -> LocalResponse | None:
        """Return the response to a request that no VM has answered, None if one has."""
        tried: set[str] = set()
        for _ in range(MAX_VMS_TRIED):
            check_connected(active)
            vm = self._choose(tried)
            if vm is None:
                break
            tried.add(vm.id)
            fault = self._try(active, vm, relay)
            if fault is None:
                return None
            if not fault.failure.is_not_run:
                active.may_have_run = True
                is_late = fault.failure is AttemptFailure.LATE
                return failure_response(active, "deadline" if is_late else "detour")
        return LocalResponse(503, "cut_off", RETRY_S)

    def _choose(self, tried: set[str]) -> Runner | None:
        """Return a VM that reaches runners, one of the own domain if possible.

        It is described as a server, whose connections are pooled like all others.
        """
        found = [vm for vm in self._vms_in_reach() if vm.id not in tried]
        own_domain = self._ctx.cfg.vm.domain
        nearest = [vm for vm in found if vm.domain == own_domain] or found
        picked = random.sample(nearest, min(2, len(nearest)))
        return min(picked, key=lambda vm: self._in_flight[vm.id], default=None)

    def _vms_in_reach(self) -> list[Runner]:
        ctx = self._ctx
        members = ctx.members()
        found = []
        for vm in ctx.reach.peers_in_reach(ctx.clock.monotonic()):
            address = ctx.caller_addresses.get(vm)
            if vm in members and address and self._in_flight[vm] < MAX_PER_VM:
                found.append(_as_server(vm, members[vm].domain, address))
        return found

    def _try(
        self, active: ActiveRequest, vm: Runner, relay: _Relay
    ) -> AttemptFault | None:
        """Send a request to a VM and relay its response; return what went wrong."""
        started_at = self._ctx.clock.monotonic()
        self._in_flight[vm.id] += 1
        relay.outcome = "interrupted"
        try:
            return relay.exchange(vm)
        finally:
            self._in_flight[vm.id] -= 1
            DETOURS.labels(outcome=relay.outcome).inc()
            log_event(
                "detour",
                request=active.metadata.request_id,
                vm=vm.id,
                took_s=self._ctx.clock.monotonic() - started_at,
                outcome=relay.outcome,
            )


class _Relay:
    """Relays one request to another VM, and its response to the caller."""

    def __init__(
        self, ctx: Context, responses: ResponseWriter, active: ActiveRequest
    ) -> None:
        self._ctx = ctx
        self._responses = responses
        self._active = active
        self._is_started = False
        self.outcome = ""

    def end(self, response: LocalResponse) -> None:
        """Answer the request, or break off a stream that has started."""
        if not self._is_started:
            self._responses.send_local(self._active, response)
            return
        self._responses.log(self._active, 0, f"cut: {response.reason}")
        self._active.caller.abort()

    def exchange(self, vm: Runner) -> AttemptFault | None:
        """Send the request once; return why there is no complete response."""
        active = self._active
        active.is_in_flight = True
        sent = self._ctx.ports.requests.send(vm, self._outbound(), active.deadline)
        active.is_in_flight = False
        if isinstance(sent, Err):
            self.outcome = sent.err_value.failure.value
            return sent.err_value
        # Whatever ends the relay now, the other VM may have had it run.
        active.may_have_run = True
        response = sent.ok_value
        self.outcome = str(response.status)
        try:
            fault = self._relay(response)
        finally:
            response.close()
        if fault is not None:
            self.outcome = f"{response.status}, then {fault.failure.value}"
        return fault

    def _outbound(self) -> OutboundRequest:
        active, request = self._active, self._active.request
        left_s = active.deadline - self._ctx.clock.monotonic()
        secret = self._ctx.cfg.peer.secret.get_secret_value()
        headers = self._ctx.ports.codec.encode_relayed(
            end_to_end(request.headers), left_s, secret
        )
        return OutboundRequest(
            request.method,
            request.target,
            with_length(headers, request),
            request.body,
            active.metadata.request_id,
            active.route.is_idempotent,
            lambda: not active.caller.has_left(),
        )

    def _relay(self, response: RunnerResponse) -> AttemptFault | None:
        active = self._active
        if active.route.kind is RouteKind.STREAM and response.status == 200:
            return self._relay_stream(response)
        body = response.read_all(active.deadline)
        if isinstance(body, Err):
            return body.err_value
        self._responses.relay(active, response, body.ok_value)
        return None

    def _relay_stream(self, response: RunnerResponse) -> AttemptFault | None:
        """Relay whole events as they arrive."""
        active = self._active
        events = EventBuffer()
        for chunk in response.body_chunks(active.deadline):
            if isinstance(chunk, Err):
                return chunk.err_value
            complete = events.feed(chunk.ok_value)
            if events.exceeds_limit:
                return _invalid("event too long")
            if complete:
                self._start(response)
                active.caller.send(complete)
        if events.remainder() or response.ends_with_connection:
            return _invalid("ended early")
        self._start(response)
        self._responses.log(active, response.status, "relayed")
        active.caller.finish()
        return None

    def _start(self, response: RunnerResponse) -> None:
        if not self._is_started:
            self._is_started = True
            headers = end_to_end(response.headers)
            self._active.caller.start(response.status, headers)


def _as_server(vm: str, domain: str, address: str) -> Runner:
    """Return a VM as a server at its callers' address, ``HOST:PORT``."""
    host, _, port = address.rpartition(":")
    return Runner(vm, "", host, int(port), domain, MAX_PER_VM, False, 0, 0, ())


def _invalid(why: str) -> AttemptFault:
    return AttemptFault(AttemptFailure.INVALID_RESPONSE, why)
