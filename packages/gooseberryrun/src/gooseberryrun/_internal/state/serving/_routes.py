"""Configuration of routes and services, and the choice of a route."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .._hashing import hash_score


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    SAFE = "safe"
    """Requests may run more than once."""
    UNSAFE = "unsafe"
    """Requests run at most once."""
    STREAM = "stream"
    """Answers are server-sent events; requests run at most once unless resumable."""


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Service that gets a share of a route's requests, by weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rule that maps a host and a path prefix to services.

    Times are in seconds; ``priority`` 0 is the highest.
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

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run again after it may have run."""
        return self.kind is RouteKind.SAFE or self.resumable

    def pick_service(self, request_id: str) -> str:
        """Return the service for a request; the same one for the same id."""
        total = sum(target.weight for target in self.services)
        if total <= 0:
            return self.services[0].service
        point = hash_score(request_id, self.name) / 2**64 * total
        for target in self.services:
            point -= target.weight
            if point < 0:
                return target.service
        return self.services[-1].service


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """Model that runners of a service can hold; sizes in MB."""

    name: str
    size_mb: float
    adapters: int


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What the model runners of a service have room for."""

    models: tuple[ModelSpec, ...]
    memory_mb: float
    max_adapters: int
    loads_per_s: float

    def find_model(self, name: str) -> ModelSpec | None:
        """Return the model with this name."""
        return next((model for model in self.models if model.name == name), None)


@dataclass(frozen=True, slots=True)
class Service:
    """Group of backend servers that run the same software."""

    name: str
    max_conns: int
    engine: EngineSpec | None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on what a client may send and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 1 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration, in force as a whole."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: ClientLimits


class RouteTable:
    """Index over the routes of one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.services = {service.name: service for service in configuration.services}
        self._by_host: dict[str, list[Route]] = {}
        longest_first = sorted(
            configuration.routes, key=lambda route: -len(route.path_prefix)
        )
        for route in longest_first:
            self._by_host.setdefault(_host_key(route.host), []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of ``path``."""
        for route in self._by_host.get(_host_key(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def _host_key(host: str) -> str:
    """Return the host without its port, in lower case."""
    return host.strip().lower().partition(":")[0]
