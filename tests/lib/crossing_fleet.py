"""VMs of three failure domains that gossip with each other in manual time."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from gooseberryrun._internal.coordination import PeerMessage
from gooseberryrun._internal.coordination.serving import Context
from gooseberryrun._internal.coordination.serving._active_request import ActiveRequest
from gooseberryrun._internal.coordination.serving._request_ports import (
    InboundRequest,
    RequestMetadata,
)
from gooseberryrun._internal.coordination.serving._serving import Serving
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import (
    ClientLimits,
    Configuration,
    DirectoryRecord,
    EngineSpec,
    HeldModel,
    ModelSpec,
    Position,
    Route,
    RouteKind,
    Runner,
    Service,
    Topic,
    WeightedService,
)

from tests.lib.fleet import CountingPeers, GroupStore, make_members, make_vm

PLAIN = "plain"
MODELS = "models"
ENGINE = EngineSpec((ModelSpec("m", 1.0, 5),), 100.0, 5, 4.0)


def make_route(service: str, target_s: float, priority: int = 0) -> Route:
    """Return a route to one service."""
    weighted = (WeightedService(service, 1.0),)
    return Route(
        service, "h", f"/{service}", RouteKind.SAFE, 5.0, target_s, priority, weighted,
        3, False,
    )  # fmt: skip


ROUTES = (make_route(PLAIN, 0.3), make_route(MODELS, 1.5))


def make_servers(plain: tuple[int, ...], models: int) -> list[Runner]:
    """Return plain servers by domain, and as many model runners in each domain."""
    held = (HeldModel("m", 1, {}),)
    found = []
    for number, count in enumerate(plain):
        domain = f"d{number}"
        for n in range(count):
            found.append(
                Runner(f"p-{domain}-{n}", PLAIN, "h", 1, domain, 6, False, 1, 0, ())
            )
        for n in range(models):
            found.append(
                Runner(f"m-{domain}-{n}", MODELS, "h", 1, domain, 64, False, 1, 0, held)
            )
    return found


class CrossingFleet:
    """VMs with all tasks, whose messages are delivered at once; no task runs."""

    def __init__(
        self,
        plain: tuple[int, ...] = (1, 1, 1),
        models: int = 8,
        vms: int = 12,
        settings: dict[str, Any] | None = None,
    ) -> None:
        members = make_members(len(plain), vms)
        self.clock = ManualClock(100.0)
        self.servers = make_servers(plain, models)
        self.vms: dict[str, Serving] = {}
        self.contexts: dict[str, Context] = {}
        self.cut: set[str] = set()
        self.sent: list[tuple[str, str, PeerMessage]] = []
        for member in [m for group in members.values() for m in group]:
            store = GroupStore(members)
            ctx, peers = make_vm(member, store, self.servers, self.clock)
            switched = {"is_enabled": True, **(settings or {})}
            crossing = type(ctx.cfg.crossing).model_validate(switched)
            ctx.cfg = ctx.cfg.model_copy(update={"crossing": crossing})
            self._configure(ctx)
            self._connect(member.vm, peers)
            self.contexts[member.vm] = ctx
            self.vms[member.vm] = Serving(ctx)

    def _configure(self, ctx: Context) -> None:
        services = (Service(PLAIN, 6, None), Service(MODELS, 64, ENGINE))
        configuration = Configuration(1, ROUTES, services, ClientLimits())
        record = DirectoryRecord(
            Topic.CONFIGURATION, Position(0, 0), "c", configuration=configuration
        )
        ctx.directory.apply(record, 0.0)

    def _connect(self, sender: str, peers: CountingPeers) -> None:
        def send_to(vm: str, message: PeerMessage) -> None:
            self.sent.append((sender, vm, message))
            if not self.cut & {sender, vm}:
                inbound: Any = type("In", (), {"sender": sender, "message": message})
                self.vms[vm].dispatch(inbound)

        peers.send_to = send_to  # type: ignore[method-assign]

    def domain_of(self, vm: str) -> str:
        """Return the failure domain of a VM."""
        return self.contexts[vm].cfg.vm.domain

    def in_domain(self, domain: str) -> list[str]:
        """Return the VMs of a failure domain."""
        return [vm for vm in self.vms if self.domain_of(vm) == domain]

    def gossip(self, rounds: int) -> None:
        """Let all VMs gossip for some rounds of 0.5 s."""
        for _ in range(rounds):
            self.clock.now += 0.5
            self.sent.clear()
            for serving in self.vms.values():
                serving._gossip.send_round()

    def load(self, server: Runner, in_flight: int, unread_tokens: int = 0) -> None:
        """Let the VMs of a server's domain have requests there, for ever."""
        vms = self.in_domain(server.domain)
        now = self.clock.monotonic()
        for n in range(in_flight):
            ctx = self.contexts[vms[n % len(vms)]]
            ctx.loads.begin(server.id, unread_tokens // in_flight)
            for _ in range(6):
                ctx.loads.record_result(server.id, ok=True, now=now)

    def load_every_vm(self) -> None:
        """Let each VM have a request for ever; an idle one gossips less."""
        for ctx in self.contexts.values():
            ctx.loads.begin(self.servers[0].id, 0)

    def requests(self, service: str, count: int, adapter: str = "") -> Iterator[Any]:
        """Return new requests of a service."""
        route = next(route for route in ROUTES if route.name == service)
        model = "m" if service == MODELS else ""
        deadline = self.clock.monotonic() + 5.0
        for n in range(count):
            metadata = RequestMetadata(
                f"r{n}", 5.0, model, adapter=adapter, prompt_tokens=2400
            )
            inbound = InboundRequest("POST", "/", "h", [], b"", self.clock.monotonic())
            caller: Any = None
            yield ActiveRequest(inbound, metadata, caller, route, service, deadline)
