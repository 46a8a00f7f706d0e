"""At-most-once execution of non-idempotent requests.

A VM appends an intent to the log before it sends a request and an outcome after it.
The first intent of a free key in log order is in force: only the VM that appended it,
the holder, sends the request. All other VMs wait for the outcome.
"""

from __future__ import annotations

from result import Err, Ok, Result

from gooseberryrun._internal.state import (
    NO_OFFSET,
    Clock,
    Intent,
    KeyStatus,
    LedgerEntry,
    Outcome,
    RunOutcome,
    Settings,
    check_invariant,
)

from ._appender import Appender
from ._errors import Refusal
from ._events import log_event
from ._membership import Membership
from ._messages import OutcomeQuery, OutcomeReply
from ._metrics import KEYS
from ._ports import Peers, ServiceCall, ServiceResponse, Services
from ._replica import Replica
from ._requests import Response, ServiceRequest
from ._tasks import spawn
from ._tracing import start_span

OUTCOME_APPEND_TIMEOUT_S = 300.0
"""Time for which the holder retries the append of an outcome."""
SETTLE_GRACE_S = 1.0
"""Time after the dispatch window before the key of a dead holder is taken over."""
OUTCOME_POLL_S = 0.2
"""Interval at which a VM that waits for an outcome queries the holder."""


def refuse_unknown(detail: str) -> Refusal:
    """Return the refusal for a request that may or may not have run."""
    text = f"{detail}; repeat the request with the same Idempotency-Key"
    return Refusal(409, "outcome_unknown", text, RunOutcome.UNKNOWN, 2.0)


class AtMostOnceRequests:
    """Runs each non-idempotent request at most once, identified by its key."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        membership: Membership,
        replica: Replica,
        appender: Appender,
        services: Services,
        peers: Peers,
        boot: str,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._replica = replica
        self._appender = appender
        self._services = services
        self._peers = peers
        self._boot = boot
        self._dispatched: set[int] = set()
        self._abandoned: dict[str, float] = {}
        self._in_flight: set[str] = set()
        self._outcomes: dict[str, Outcome] = {}

    def run(self, request: ServiceRequest) -> Result[Response, Refusal]:
        """Run a request unless its key has run; return the recorded response."""
        deadline = min(
            request.deadline, self._clock.monotonic() + self._cfg.limits.outcome_wait_s
        )
        result = self._run_until(request, deadline)
        outcome = result.err_value.outcome if isinstance(result, Err) else "ran"
        KEYS.labels(outcome=str(outcome)).inc()
        return result

    def _run_until(
        self, request: ServiceRequest, deadline: float
    ) -> Result[Response, Refusal]:
        while True:
            entry = self._replica.ledger.get(request.key)
            if entry is not None and entry.fingerprint != request.fingerprint:
                detail = "this Idempotency-Key was used with another request"
                return Err(Refusal(422, "key_reused", detail, RunOutcome.UNKNOWN))
            if entry is not None and entry.status is KeyStatus.RAN:
                return Ok(_to_response(entry))
            if entry is None or entry.status is KeyStatus.NOT_RUN:
                result = self._try_claim(request, entry, deadline)
            else:
                result = self._wait_for_outcome(request, entry, deadline)
            if result is not None:
                return result

    # Execution at the holder.

    def _try_claim(
        self, request: ServiceRequest, entry: LedgerEntry | None, deadline: float
    ) -> Result[Response, Refusal] | None:
        """Append an intent and dispatch; return None if another intent is in force."""
        before = entry.intent if entry is not None else NO_OFFSET
        window = self._clock.monotonic() + self._cfg.limits.dispatch_window_s
        claimed = self._append_intent(request, NO_OFFSET, before, min(window, deadline))
        if isinstance(claimed, Err):
            return claimed
        intent = claimed.ok_value
        if intent is None:
            return None
        return self._dispatch(request, intent, window, deadline)

    def _append_intent(
        self, request: ServiceRequest, takes_over: int, before: int, deadline: float
    ) -> Result[int | None, Refusal]:
        """Append an intent and wait until it was read from the log.

        Returns its offset if it is in force, None if the intent of another VM is.
        """
        intent = Intent(
            key=request.key,
            fingerprint=request.fingerprint,
            service=request.service,
            path=request.path,
            holder=self._cfg.vm.id,
            boot=self._boot,
            at=self._clock.unix(),
            takes_over=takes_over,
        )
        with start_span("log.append"):
            appended = self._appender.append(intent, deadline)
        if isinstance(appended, Err):
            return Err(self._abandon(request.key, appended.err_value.sent))

        def read_back() -> LedgerEntry | None:
            entry = self._replica.ledger.get(request.key)
            return entry if entry is not None and entry.intent > before else None

        entry = self._replica.waiters.wait(f"key:{request.key}", read_back, deadline)
        if entry is None:
            return Err(self._abandon(request.key, sent=True))
        is_own = entry.boot == self._boot and entry.intent not in self._dispatched
        return Ok(entry.intent if is_own else None)

    def _abandon(self, key: str, sent: bool) -> Refusal:
        """Give up an intent whose append was not confirmed in time.

        Only this boot could dispatch it and it never will, so the outcome "not run"
        is correct. If the intent appears in the log later, :meth:`sweep` frees its key.
        """
        if sent:
            self._abandoned[key] = self._clock.monotonic()
        detail = "the platform's log did not record the request in time"
        return Refusal(503, "log_unavailable", detail, RunOutcome.NOT_RUN, 1.0)

    def _dispatch(
        self, request: ServiceRequest, intent: int, window: float, deadline: float
    ) -> Result[Response, Refusal]:
        check_invariant(intent not in self._dispatched, "at-most-once", request.key)
        self._dispatched.add(intent)
        self._in_flight.add(request.key)
        try:
            outcome = self._call(request, intent, window, deadline)
        finally:
            self._in_flight.discard(request.key)
        self._record(outcome)
        return _to_result(outcome)

    def _call(
        self, request: ServiceRequest, intent: int, window: float, deadline: float
    ) -> Outcome:
        """Send the request to one server; try the next only if nothing was sent."""

        def send_check() -> bool:
            entry = self._replica.ledger.get(request.key)
            in_force = entry is not None and entry.intent == intent
            return in_force and self._clock.monotonic() < window

        servers = self._membership.services(request.service)
        for server in servers:
            with start_span("service.call") as span:
                span.set_attribute("server", server.id)
                limit = self._clock.monotonic() + self._cfg.limits.service_timeout_s
                call = _to_call(request, min(limit, deadline), intent)
                called = self._services.call(server, call, send_check)
            if not isinstance(called, Err):
                return _to_outcome(request.key, intent, called.ok_value, self._boot)
            log_event(
                "service_call_failed",
                level="warning",
                key=request.key,
                server=server.id,
                sent=called.err_value.sent,
                detail=called.err_value.detail,
            )
            if called.err_value.sent:
                return self._resolve_lost_response(request.key, request.service, intent)
        return Outcome(request.key, intent, str(RunOutcome.NOT_RUN), by=self._boot)

    def _resolve_lost_response(self, key: str, service: str, intent: int) -> Outcome:
        """Look the outcome up at the service if it supports that, else "unknown".

        A missing key proves "not run" only with fencing: without it, the request may
        still arrive.
        """
        options = self._replica.config.tables["services"].get(service, {})
        unknown = Outcome(key, intent, str(RunOutcome.UNKNOWN), by=self._boot)
        if not options.get("lookup"):
            return unknown
        fencing = intent + 1 if options.get("fencing") else None
        found = self._look_up(key, service, fencing)
        if isinstance(found, Err):
            return unknown
        if found.ok_value is not None:
            return _to_outcome(key, intent, found.ok_value, self._boot)
        if fencing is not None:
            return Outcome(key, intent, str(RunOutcome.NOT_RUN), by=self._boot)
        return unknown

    def _look_up(
        self, key: str, service: str, fencing: int | None
    ) -> Result[ServiceResponse | None, None]:
        """Look a key up at each server that may have run the request.

        Returns an error if no server has the key and some server did not respond.
        """
        is_incomplete = False
        for server in self._membership.services(service):
            deadline = self._clock.monotonic() + self._cfg.limits.service_timeout_s
            found = self._services.lookup(server, key, fencing, deadline)
            if isinstance(found, Err):
                is_incomplete = True
            elif found.ok_value is not None:
                return Ok(found.ok_value)
        return Err(None) if is_incomplete else Ok(None)

    def _record(self, outcome: Outcome) -> None:
        """Append the outcome in the background; wait for it at most one log timeout."""
        self._outcomes[outcome.key] = outcome
        spawn("record-outcome", lambda: self._append_outcome(outcome))
        limit = self._clock.monotonic() + self._cfg.platform.timeout_s
        self._replica.waiters.wait(
            f"key:{outcome.key}", lambda: self._is_settled(outcome), limit
        )

    def _append_outcome(self, outcome: Outcome) -> None:
        deadline = self._clock.monotonic() + OUTCOME_APPEND_TIMEOUT_S
        self._appender.append(outcome, deadline)

    def _is_settled(self, outcome: Outcome) -> bool | None:
        entry = self._replica.ledger.get(outcome.key)
        if entry is None or entry.status is KeyStatus.OPEN:
            return None
        self._outcomes.pop(outcome.key, None)
        return True

    # Waiting for the outcome of another holder.

    def _wait_for_outcome(
        self, request: ServiceRequest, entry: LedgerEntry, deadline: float
    ) -> Result[Response, Refusal] | None:
        """Wait until the entry of the key changes; None means that it did."""

        def changed() -> bool | None:
            current = self._replica.ledger.get(request.key)
            return None if current == entry else True

        while self._clock.monotonic() < deadline:
            self._settle_if_orphaned(entry)
            step = min(deadline, self._clock.monotonic() + OUTCOME_POLL_S)
            if self._replica.waiters.wait(f"key:{request.key}", changed, step):
                return None
            if entry.status is KeyStatus.UNKNOWN:
                break
            answered = self._query_holder(entry)
            if answered is not None:
                return answered
        return Err(refuse_unknown("the outcome of the request is not known yet"))

    def _query_holder(self, entry: LedgerEntry) -> Result[Response, Refusal] | None:
        """Query the holder for an outcome that is not in the log yet."""
        if entry.boot == self._boot:
            outcome = self._outcomes.get(entry.key)
            return _to_result(outcome) if outcome is not None else None
        deadline = self._clock.monotonic() + self._cfg.peer.connect_timeout_s
        reply = self._peers.request_from(
            entry.holder, OutcomeQuery(entry.key), deadline
        )
        if isinstance(reply, Err) or not isinstance(reply.ok_value, OutcomeReply):
            return None
        peer_outcome = reply.ok_value
        if peer_outcome.outcome != RunOutcome.RAN:
            return None
        outcome = Outcome(
            peer_outcome.key,
            entry.intent,
            peer_outcome.outcome,
            peer_outcome.status,
            peer_outcome.body,
            peer_outcome.content_type,
        )
        return _to_result(outcome)

    def handle_outcome_query(self, query: OutcomeQuery) -> OutcomeReply:
        """Return the outcome of a key to a peer; empty if this VM has none."""
        outcome = self._outcomes.get(query.key)
        if outcome is None:
            return OutcomeReply(query.key)
        return OutcomeReply(
            outcome.key,
            outcome.outcome,
            outcome.status,
            outcome.body,
            outcome.content_type,
        )

    # Settling keys without an outcome.

    def sweep(self) -> None:
        """Settle the abandoned intents of this boot and the keys of dead holders."""
        now = self._clock.monotonic()
        for entry in self._replica.ledger.unsettled():
            if entry.status is KeyStatus.OPEN and entry.boot == self._boot:
                self._settle_abandoned(entry)
            elif self._membership.is_responsible_for(entry.key):
                self._settle_if_orphaned(entry)
        limit_s = self._cfg.limits.key_ttl_s
        self._abandoned = {
            key: at for key, at in self._abandoned.items() if now - at < limit_s
        }

    def _settle_abandoned(self, entry: LedgerEntry) -> None:
        if entry.intent in self._dispatched or entry.key not in self._abandoned:
            return
        self._dispatched.add(entry.intent)
        log_event("intent_abandoned", key=entry.key, intent=entry.intent)
        self._record_later(
            Outcome(entry.key, entry.intent, str(RunOutcome.NOT_RUN), by=self._boot)
        )

    def _record_later(self, outcome: Outcome) -> None:
        spawn("record-outcome", lambda: self._append_outcome(outcome))

    def _settle_if_orphaned(self, entry: LedgerEntry) -> None:
        """Settle a key whose holder is dead, unless this VM is already doing so."""
        if entry.key in self._in_flight or not self._is_orphaned(entry):
            return
        self._in_flight.add(entry.key)
        spawn("settle", lambda: self._settle(entry))

    def _is_orphaned(self, entry: LedgerEntry) -> bool:
        if entry.status is KeyStatus.UNKNOWN:
            return self._can_look_up(entry.service)
        if entry.boot == self._boot:
            return False
        age_s = self._clock.monotonic() - entry.read_at
        if age_s < self._cfg.limits.dispatch_window_s + SETTLE_GRACE_S:
            return False
        is_holder_dead = self._membership.has_boot_ended(entry.holder, entry.boot)
        is_overdue = age_s > 2 * self._cfg.limits.outcome_wait_s
        return is_holder_dead or is_overdue

    def _can_look_up(self, service: str) -> bool:
        options = self._replica.config.tables["services"].get(service, {})
        return bool(options.get("lookup"))

    def _settle(self, entry: LedgerEntry) -> None:
        try:
            outcome = self._resolve_lost_response(
                entry.key, entry.service, entry.intent
            )
            if outcome.outcome == entry.status:
                return
            log_event(
                "key_settled", key=entry.key, outcome=outcome.outcome, was=entry.status
            )
            deadline = self._clock.monotonic() + self._cfg.platform.timeout_s
            self._appender.append(outcome, deadline)
        finally:
            self._in_flight.discard(entry.key)

    def settle_by_operator(
        self, key: str, outcome: RunOutcome, operator: str, deadline: float
    ) -> Result[LedgerEntry, str]:
        """Record the outcome that an operator found for a request marked unknown."""
        entry = self._replica.ledger.get(key)
        if entry is None:
            return Err(f"no request with key {key!r}")
        if entry.status is not KeyStatus.UNKNOWN:
            return Err(f"key {key!r} is {entry.status}, not unknown")
        record = Outcome(key, entry.intent, str(outcome), by=f"operator:{operator}")
        appended = self._appender.append(record, deadline)
        if isinstance(appended, Err):
            return Err(appended.err_value.detail)

        def settled() -> LedgerEntry | None:
            current = self._replica.ledger.get(key)
            changed = current is not None and current.status is not KeyStatus.UNKNOWN
            return current if changed else None

        current = self._replica.waiters.wait(f"key:{key}", settled, deadline)
        return (
            Ok(current)
            if current is not None
            else Err("the log did not return the outcome in time")
        )


def _to_call(request: ServiceRequest, deadline: float, intent: int) -> ServiceCall:
    return ServiceCall(
        service=request.service,
        method=request.method,
        path=request.path,
        body=request.body,
        content_type=request.content_type,
        deadline=deadline,
        key=request.key,
        fencing=intent,
    )


def _to_outcome(key: str, intent: int, response: ServiceResponse, by: str) -> Outcome:
    return Outcome(
        key=key,
        intent=intent,
        outcome=str(RunOutcome.RAN),
        status=response.status,
        body=response.body.decode("utf-8", "surrogateescape"),
        content_type=response.content_type,
        by=by,
    )


def _to_response(entry: LedgerEntry | Outcome) -> Response:
    status = entry.http_status if isinstance(entry, LedgerEntry) else entry.status
    body = entry.body.encode("utf-8", "surrogateescape")
    return Response(status or 200, entry.content_type or "text/plain", iter([body]))


def _to_result(outcome: Outcome) -> Result[Response, Refusal]:
    if outcome.outcome == RunOutcome.RAN:
        return Ok(_to_response(outcome))
    if outcome.outcome == RunOutcome.NOT_RUN:
        detail = "no server of the service could be reached"
        return Err(Refusal(503, "service_unreachable", detail, RunOutcome.NOT_RUN, 1.0))
    return Err(refuse_unknown("the service's response was lost"))
