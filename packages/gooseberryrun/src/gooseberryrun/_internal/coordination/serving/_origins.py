"""Keeps where streams began, so that they are taken up at the same software version.

While runners of several versions serve a service, each VM tells the VMs that read the
store for its domain where its streams begin, and appends it to the store in batches, so
that it is known also if all VMs are killed at once.
"""

from __future__ import annotations

import eventlet
from result import Ok

from gooseberryrun._internal.state.serving import (
    MAX_ORIGIN_S,
    READERS_PER_DOMAIN,
    Runner,
    StreamOrigin,
    StreamOrigins,
    readers,
)

from .._events import log_event
from .._metrics import STREAMS_TAKEN_UP
from .._ports import InboundMessage
from .._serving_messages import OriginAnswer, OriginRequest, OriginsNotice
from .._tasks import spawn, spawn_until_done
from ._active_request import ActiveRequest, LocalResponse
from ._context import Context
from ._origin_log import OriginLog
from ._origin_reader import OriginReader
from ._registry_check import RegistryCheck
from ._responses import failure_response
from ._rewrites import schedule_rewrite

TELL_DELAY_S = 0.02
"""Time for which origins are batched before they are sent to peers."""
ANSWER_TIMEOUT_S = 0.15
EXPIRE_INTERVAL_S = 5.0
UNKNOWN_RETRY_S = 0.3
"""Retry delay sent with a refusal to take a stream up; it may start anew then."""


class OriginKeeper:
    """Records where streams begin, and finds out where one that is taken up began."""

    def __init__(self, ctx: Context, registry: RegistryCheck) -> None:
        self._ctx = ctx
        self._registry = registry
        self._origins = StreamOrigins()
        self._log = OriginLog(ctx, self._origins)
        self._reader = OriginReader(ctx, self._origins)
        self._untold: list[StreamOrigin] = []
        self._mixed: set[str] = set()
        self._was_cut_off = False

    def start(self) -> None:
        """Learn in a green thread what is known already, and drop what is old."""
        self._reader.start()
        spawn_until_done("origins_expiry", self._expire)

    def record(self, active: ActiveRequest, runner: Runner) -> None:
        """Record the version of the runner that a request for a stream is sent to."""
        if not active.route.resumable:
            return
        now = self._ctx.clock.monotonic()
        root = active.metadata.stream_id
        left_s = active.request.read_at + active.metadata.wait_s - now
        left_s = min(MAX_ORIGIN_S, left_s)
        origin = StreamOrigin(root, active.service, runner.software_version, left_s)
        is_mixed = self._is_mixed(active.service, now)
        self._origins.record(origin, now)
        if is_mixed or self._is_cut_off(now):
            self._tell([origin])

    def _is_cut_off(self, now: float) -> bool:
        """Return whether the store is away; tell what was recorded before.

        The VMs that are cut off together may not hear of another version.
        """
        is_cut_off = not self._ctx.can_reach_store
        if is_cut_off and not self._was_cut_off:
            self._tell(self._origins.all(now))
        self._was_cut_off = is_cut_off
        return is_cut_off

    def _is_mixed(self, service: str, now: float) -> bool:
        """Return whether several versions serve; tell what was recorded before."""
        is_mixed = self._ctx.directory.software.is_mixed(service, now)
        if is_mixed and service not in self._mixed:
            self._mixed.add(service)
            versions = sorted(self._ctx.directory.software.lately(service, now))
            log_event("software_mixed", service=service, versions=",".join(versions))
            self._tell(self._origins.of_service(service, now))
        elif not is_mixed and service in self._mixed:
            self._mixed.discard(service)
            log_event("software_uniform", service=service)
        return is_mixed

    def _keepers(self) -> list[str]:
        """Return the other VMs of this domain that keep origins, by rank."""
        ctx = self._ctx
        found = readers(ctx.cfg.vm.domain, ctx.ownership.view.members)
        return [vm for vm in found if vm != ctx.vm]

    def _tell(self, origins: list[StreamOrigin]) -> None:
        """Schedule origins to be sent to the keepers and appended to the store."""
        if origins and not self._untold:
            eventlet.spawn_after(TELL_DELAY_S, self._send_untold)
        self._untold += origins

    def _send_untold(self) -> None:
        origins, self._untold = self._untold, []
        mixed = [origin for origin in origins if origin.service in self._mixed]
        is_keeper = self._ctx.reader_rank() < READERS_PER_DOMAIN
        keepers = self._keepers()
        if is_keeper or not keepers:
            self._keep(mixed)
        for place, vm in enumerate(keepers):
            is_to_keep = bool(mixed) and not is_keeper and place == 0
            self._ctx.peers.send_to(vm, OriginsNotice(origins, is_to_keep))

    def _keep(self, origins: list[StreamOrigin]) -> None:
        """Schedule origins to be appended to the store."""
        self._log.keep(origin.request for origin in origins)

    def keep_again(self) -> None:
        """Append what the store may have lost, if this VM reads it for its domain."""
        schedule_rewrite(self._ctx, self._keep_all)

    def _keep_all(self) -> None:
        now = self._ctx.clock.monotonic()
        for service in self._mixed:
            self._keep(self._origins.of_service(service, now))

    def handle_origins_notice(self, _sender: str, notice: OriginsNotice) -> None:
        """Record where streams of another VM began."""
        self._reader.record(notice.origins)
        if notice.is_to_keep:
            self._keep(notice.origins)

    def handle_origin_request(
        self, inbound: InboundMessage, request: OriginRequest
    ) -> None:
        """Reply where a stream began, as far as this VM knows."""
        answer = self._answer(request)
        if answer.software is None and not answer.is_mixed:
            spawn("origin_answer", lambda: self._check_and_reply(inbound, request))
            return
        inbound.reply(answer)

    def _answer(self, request: OriginRequest) -> OriginAnswer:
        now = self._ctx.clock.monotonic()
        software = self._origins.software_of(request.request, request.service, now)
        return OriginAnswer(software, self._is_mixed(request.service, now))

    def _check_and_reply(self, inbound: InboundMessage, request: OriginRequest) -> None:
        """Reply with the single version that serves, if it is one for certain."""
        if not self._is_uniform(request.service):
            inbound.reply(self._answer(request))
            return
        inbound.reply(OriginAnswer(self._single_version(request.service), False))

    def constrain(self, active: ActiveRequest) -> LocalResponse | None:
        """Confine a request that takes a stream up to the version that began it.

        Returns the refusal if that version is not known. Without several versions the
        only one is the one that began it.
        """
        software = self._find(active)
        versions = self._ctx.directory.software.lately(
            active.service, self._ctx.clock.monotonic()
        )
        outcome = "unknown" if software is None else "found"
        if software is not None and software not in versions:
            outcome = "gone"
        log_event(
            "origin",
            request=active.metadata.request_id,
            resumes=active.metadata.resumes,
            service=active.service,
            software=software,
            versions=",".join(sorted(versions)),
            outcome=outcome,
        )
        STREAMS_TAKEN_UP.labels(outcome=outcome).inc()
        if software is None:
            return failure_response(active, "origin_unknown", UNKNOWN_RETRY_S)
        active.required_software = software
        return None

    def _find(self, active: ActiveRequest) -> str | None:
        """Return the version that began a stream; None if it cannot be known."""
        metadata, service = active.metadata, active.service
        root = metadata.stream_id if metadata.resumes else ""
        known = self._known(root, service)
        if known is not None:
            return known
        told = self._ask_keepers(root, service)
        if told.software is not None:
            return told.software
        if not told.is_mixed and self._is_uniform(service):
            return self._single_version(service)
        if root:
            self._reader.read()
        return self._known(root, service)

    def _single_version(self, service: str) -> str | None:
        now = self._ctx.clock.monotonic()
        return next(iter(self._ctx.directory.software.lately(service, now)), None)

    def _is_uniform(self, service: str) -> bool:
        """Return whether a single version has served a service for long, for certain.

        Silence is no evidence: a VM that is cut off hears of no release.
        """
        if not self._reader.is_informed:
            self._reader.read()
        if self._may_be_mixed(service) or not self._registry.is_current():
            return False
        return not self._may_be_mixed(service)

    def _ask_keepers(self, root: str, service: str) -> OriginAnswer:
        """Return what the keepers know together of the origin of a stream."""
        is_mixed = False
        for vm in self._keepers() if root else []:
            answer = self._ask(vm, OriginRequest(root, service))
            if answer is None:
                continue
            if answer.software is not None:
                return answer
            is_mixed = is_mixed or answer.is_mixed
        return OriginAnswer(None, is_mixed)

    def _known(self, root: str, service: str) -> str | None:
        now = self._ctx.clock.monotonic()
        return self._origins.software_of(root, service, now)

    def _may_be_mixed(self, service: str) -> bool:
        """Return whether a stream may have begun at one of several versions."""
        now = self._ctx.clock.monotonic()
        return not self._reader.is_informed or self._is_mixed(service, now)

    def _ask(self, vm: str, request: OriginRequest) -> OriginAnswer | None:
        deadline = self._ctx.clock.monotonic() + ANSWER_TIMEOUT_S
        reply = self._ctx.peers.request_from(vm, request, deadline)
        if isinstance(reply, Ok) and isinstance(reply.ok_value, OriginAnswer):
            return reply.ok_value
        log_event("origin_unanswered", peer=vm, resumes=request.request)
        return None

    def _expire(self) -> None:
        while True:
            eventlet.sleep(EXPIRE_INTERVAL_S)
            self._origins.expire(self._ctx.clock.monotonic())
