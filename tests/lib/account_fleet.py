"""VMs that serve requests of client accounts in manual time, with messages and ports.

The tasks of the VMs are the real ones; the codec, the backend servers and the callers
are simulated. Messages between VMs pass at once.
"""

from __future__ import annotations

from contextvars import copy_context
from dataclasses import replace
from typing import Any

from gooseberryrun._internal.coordination.serving import (
    Context,
    Headers,
    InboundRequest,
    RequestMetadata,
    ResponseMetadata,
)
from gooseberryrun._internal.coordination.serving.where._query import NoCaller
from gooseberryrun._internal.state.serving import (
    ClientLimits,
    Configuration,
    DirectoryRecord,
    Position,
    Service,
    Topic,
)
from gooseberryrun._internal.state.serving.accounts import (
    ClientAccount,
    UsageCap,
    UsageUnit,
    key_digest,
)
from prometheus_client import REGISTRY
from result import Ok, Result

from tests.lib.crossing_fleet import ENGINE, MODELS, PLAIN, ROUTES, CrossingFleet
from tests.lib.fleet import CountingPeers
from tests.lib.peer_messages import answer_requests

CAP = UsageCap(UsageUnit.REQUESTS, 6.0, 6.0, 0)
PUBLIC = "public"
ACCOUNTS = {
    "gk-free-1": ClientAccount("free", (key_digest("gk-free-1"),)),
    "gk-urgent-2": ClientAccount("urgent", (key_digest("gk-urgent-2"),), 0),
    "gk-capped-3": ClientAccount("capped", (key_digest("gk-capped-3"),), 3, CAP),
}
"""Accounts by their only key."""
KEYS = {account.name: key for key, account in ACCOUNTS.items()}


class _Response:
    """Complete response of a plain server."""

    status = 200
    headers: Headers = []
    ends_with_connection = False

    def __init__(self, request_id: str) -> None:
        self.metadata = ResponseMetadata(request_id, True, False, False, False)

    def read_all(self, _deadline: float) -> Result[bytes, Any]:
        return Ok(b"")

    def release(self) -> None:
        pass

    def close(self) -> None:
        pass


class _Codec:
    """Codec of headers named ``id`` and ``key``; counts what it decodes."""

    challenge: Headers = []

    def __init__(self) -> None:
        self.decoded = 0

    def decode_request(self, headers: Headers) -> Result[RequestMetadata, str]:
        self.decoded += 1
        known = dict(headers)
        return Ok(RequestMetadata(known["id"], 5.0, credential=known.get("key", "")))

    def encode_request(self, headers: Headers, _forwarding: Any) -> Headers:
        return headers

    def encode_refusal(self, _id: str, retry_in_s: float | None) -> Headers:
        return [] if retry_in_s is None else [("retry-after", str(retry_in_s))]


class _Requests:
    def __init__(self) -> None:
        self.sent: list[tuple[str, str]] = []

    def send(self, runner: Any, request: Any, _deadline: float) -> Result[Any, Any]:
        self.sent.append((request.request_id, runner.id))
        return Ok(_Response(request.request_id))


class _Caller(NoCaller):
    """Caller that keeps the status of the response."""

    def __init__(self) -> None:
        self.status = 0

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status

    def start(self, status: int, headers: Headers) -> None:
        self.status = status


class AccountFleet(CrossingFleet):
    """VMs of three failure domains whose configuration has accounts."""

    def __init__(self, accounts: tuple[ClientAccount, ...] | None = None) -> None:
        self.accounts = tuple(ACCOUNTS.values()) if accounts is None else accounts
        self.codec = _Codec()
        self.requests_port = _Requests()
        super().__init__(vms=6, settings={"is_enabled": False})
        codec: Any = self.codec
        requests: Any = self.requests_port
        for ctx in self.contexts.values():
            ctx.ports = replace(ctx.ports, codec=codec, requests=requests)
        self.advance(10.0)

    def _configure(self, ctx: Context) -> None:
        self.configure(ctx, self.accounts, 1)

    def configure(
        self, ctx: Context, accounts: tuple[ClientAccount, ...], version: int
    ) -> None:
        """Put accounts in force at a VM; routes are those of the fleet and public."""
        public = replace(ROUTES[0], name=PUBLIC, path_prefix=f"/{PUBLIC}")
        routes = (*ROUTES, replace(public, is_public=True))
        services = (Service(PLAIN, 6, None), Service(MODELS, 64, ENGINE))
        configuration = Configuration(
            version, routes, services, ClientLimits(), accounts or None
        )
        record = DirectoryRecord(
            Topic.CONFIGURATION, Position(0, version), "c", configuration=configuration
        )
        ctx.directory.apply(record, self.clock.monotonic())

    def _connect(self, sender: str, peers: CountingPeers) -> None:
        super()._connect(sender, peers)

        def is_linked(vm: str) -> bool:
            return not self.cut & {sender, vm}

        def handle(vm: str, inbound: Any) -> None:
            self.sent.append((sender, vm, inbound.message))
            self.vms[vm].dispatch(inbound)

        answer_requests(peers, sender, is_linked, handle)

    def advance(self, seconds: float) -> None:
        """Let time pass; leases are renewed, and the configuration is confirmed."""
        self.clock.now += seconds
        now = self.clock.boottime()
        for ctx in self.contexts.values():
            ctx.ownership.renew(ctx.ownership.view.generation, now, now)
            ctx.freshness.tick(now)
            ctx.freshness.tick(now)
            ctx.freshness.record_read(now, now)

    def request(self, vm: str, request_id: str, key: str, path: str = PLAIN) -> int:
        """Let a VM serve a request; return the status of the response."""
        return self.handle(vm, self.inbound(request_id, key, path))

    def handle(self, vm: str, request: InboundRequest) -> int:
        """Let a VM handle a request that was read; return the response's status."""
        caller = _Caller()
        # The request's id stays bound to the log lines of the context that handles it.
        copy_context().run(self.vms[vm].gateway.handle, request, caller)
        return caller.status

    def inbound(
        self, request_id: str, key: str, path: str = PLAIN, body: bytes = b""
    ) -> InboundRequest:
        """Return a request that has just been read."""
        headers = [("id", request_id)] + ([("key", key)] if key else [])
        now = self.clock.monotonic()
        return InboundRequest("GET", f"/{path}/1", "h", headers, body, now)

    def allocators(self, account: str) -> set[str]:
        """Return the VMs that allocate an account's usage in their domains."""
        ctx = next(iter(self.contexts.values()))
        serving = self.vms[ctx.vm]
        found = {
            serving.gateway._usage.order.allocator(account, domain)
            for domain in ("d0", "d1", "d2")
        }
        return {vm for vm in found if vm}


def metric_values() -> dict[tuple[str, tuple[tuple[str, str], ...]], float]:
    """Return the value of every sample of every metric."""
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for metric in REGISTRY.collect()
        if metric.name.startswith("gooseberryrun")
        for sample in metric.samples
    }
