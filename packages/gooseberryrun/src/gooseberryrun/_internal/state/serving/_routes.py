"""Configuration of routes and services, and the lookup of a route."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from .._hashing import hash_score
from .accounts import AccountTable, ClientAccount


class RouteKind(StrEnum):
    """Which requests of a route may be retried."""

    SAFE = "safe"
    """Requests may run more than once."""
    UNSAFE = "unsafe"
    """Requests run at most once."""
    STREAM = "stream"
    """Responses are server-sent events; requests run at most once unless resumable."""


class WeightedService(msgspec.Struct, frozen=True):
    """Service that gets a weighted share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rule that maps a host and a path prefix to services.

    Times are in seconds; ``priority`` 0 is the highest. A stream with a pause of more
    than ``max_pause_s`` between two events is late; 0 stands for no such bound. A
    public route serves requests without an API key as well.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    resumable: bool
    max_pause_s: float = 0.0
    is_public: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may be sent again although it may have run."""
        return self.kind is RouteKind.SAFE or self.resumable

    def pick_service(self, request_id: str) -> str:
        """Return the service for a request, always the same one for the same id."""
        total = sum(target.weight for target in self.services)
        if total <= 0:
            return self.services[0].service
        point = hash_score(request_id, self.name) / 2**64 * total
        for target in self.services:
            point -= target.weight
            if point < 0:
                return target.service
        return self.services[-1].service


class ModelSpec(msgspec.Struct, frozen=True):
    """Model that runners of a service can hold; sizes in MB."""

    name: str
    size_mb: float
    adapters: int


class EngineSpec(msgspec.Struct, frozen=True):
    """Models and limits of a service's model runners; memory in MB."""

    models: tuple[ModelSpec, ...]
    memory_mb: float
    max_adapters: int
    loads_per_s: float

    def find_model(self, name: str) -> ModelSpec | None:
        """Return the model with this name, None if there is none."""
        return next((model for model in self.models if model.name == name), None)


class Service(msgspec.Struct, frozen=True):
    """Group of backend servers that run the same software."""

    name: str
    max_conns: int
    engine: EngineSpec | None


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits on the size of client requests and on the time to send them."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 1 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operators' configuration, applied atomically.

    Where ``accounts`` is None, requests need no API key. Where it is empty, they need
    one and nobody has any.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: ClientLimits
    accounts: tuple[ClientAccount, ...] | None = None


class RouteTable:
    """Routes of one configuration by host, services by name and accounts by key."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.services = {service.name: service for service in configuration.services}
        accounts = configuration.accounts
        self.accounts = None if accounts is None else AccountTable(accounts)
        self._by_host: dict[str, list[Route]] = {}
        self._max_pauses: dict[str, float] = {}
        for route in configuration.routes:
            self._add_max_pause(route)
        by_prefix_length = sorted(
            configuration.routes, key=lambda route: -len(route.path_prefix)
        )
        for route in by_prefix_length:
            self._by_host.setdefault(_host_key(route.host), []).append(route)

    def _add_max_pause(self, route: Route) -> None:
        if not route.max_pause_s:
            return
        for target in route.services:
            known = self._max_pauses.get(target.service, route.max_pause_s)
            self._max_pauses[target.service] = min(known, route.max_pause_s)

    def max_pause_s(self, service: str) -> float:
        """Return the shortest ``max_pause_s`` of a service's routes, 0 without any."""
        return self._max_pauses.get(service, 0.0)

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of ``path``, None if none."""
        for route in self._by_host.get(_host_key(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def _host_key(host: str) -> str:
    """Return the host in lower case without its port."""
    return host.strip().lower().partition(":")[0]
