"""Settings of an entry VM: models that validate the TOML file."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal, TypeVar

from msgspec import Meta
from result import Err, Ok, Result

from ._sections import IpAddress, Secret, Section, SettingsError

SettingsT = TypeVar("SettingsT", bound="NodeSettings")


class VmSettings(Section, frozen=True, kw_only=True):
    """Identity of this entry VM."""

    id: Annotated[str, Meta(min_length=1, max_length=64)]
    domain: Annotated[str, Meta(min_length=1, max_length=64)]
    address: IpAddress


class HttpSettings(Section, frozen=True, kw_only=True):
    """HTTP interface for callers and operators."""

    port: Annotated[int, Meta(ge=1, le=65535)] = 8080
    max_body_bytes: Annotated[int, Meta(ge=1024)] = 1 << 20
    read_timeout_s: Annotated[float, Meta(gt=0)] = 10.0
    max_connections: Annotated[int, Meta(ge=1)] = 2000
    log_requests: bool = True


class PeerSettings(Section, frozen=True, kw_only=True):
    """gRPC streams between entry VMs and failure detection of peers."""

    port: Annotated[int, Meta(ge=1, le=65535)] = 7000
    secret: Secret
    heartbeat_interval_s: Annotated[float, Meta(gt=0)] = 1.0
    dead_after_s: Annotated[float, Meta(gt=0)] = 2.5
    connect_timeout_s: Annotated[float, Meta(gt=0)] = 1.0
    gossip_fanout: Annotated[int, Meta(ge=0)] = 2


class PlatformSettings(Section, frozen=True, kw_only=True):
    """Addresses of the platform's services."""

    log_url: str
    store_url: str
    vm_list_url: str
    vm_list_interval_s: Annotated[float, Meta(gt=0)] = 1.0
    timeout_s: Annotated[float, Meta(gt=0)] = 2.0


class LogSettings(Section, frozen=True, kw_only=True):
    """Reading and writing of the append-only log."""

    append_interval_s: Annotated[float, Meta(ge=0)] = 0.02
    max_batch: Annotated[int, Meta(ge=1)] = 256
    poll_wait_s: Annotated[float, Meta(gt=0)] = 2.0
    retry_interval_s: Annotated[float, Meta(gt=0)] = 0.2
    retention_s: Annotated[float, Meta(gt=0)] = 3600.0
    catch_up_interval_s: Annotated[float, Meta(gt=0)] = 1.0


class LeaseSettings(Section, frozen=True, kw_only=True):
    """Leases on the ownership of runners, and grants to use them."""

    duration_s: Annotated[float, Meta(gt=0)] = 3.0
    margin_s: Annotated[float, Meta(ge=0)] = 0.3
    grant_s: Annotated[float, Meta(gt=0)] = 15.0


class LimitSettings(Section, frozen=True, kw_only=True):
    """Deadlines, queues and retry budgets of requests."""

    request_timeout_s: Annotated[float, Meta(gt=0)] = 60.0
    grant_wait_s: Annotated[float, Meta(gt=0)] = 30.0
    queue_per_runner: Annotated[int, Meta(ge=1)] = 512
    max_attempts: Annotated[int, Meta(ge=1)] = 4
    retry_budget_ratio: Annotated[float, Meta(ge=0)] = 0.2
    retry_budget_floor: Annotated[int, Meta(ge=0)] = 10
    service_timeout_s: Annotated[float, Meta(gt=0)] = 5.0
    dispatch_window_s: Annotated[float, Meta(gt=0)] = 3.0
    outcome_wait_s: Annotated[float, Meta(gt=0)] = 10.0
    engine_stall_s: Annotated[float, Meta(gt=0)] = 10.0
    suspect_ttl_s: Annotated[float, Meta(gt=0)] = 600.0
    crashes_to_refuse: Annotated[int, Meta(ge=1)] = 2
    key_ttl_s: Annotated[float, Meta(gt=0)] = 86400.0
    concurrent_jobs: Annotated[int, Meta(ge=1)] = 128


class PolicySettings(Section, frozen=True, kw_only=True):
    """Scheduling policy of adapter loads and batches.

    ``load_stall_weight`` and ``batch_efficiency_weight`` are the only settings in which
    the deployments differ.
    """

    name: Literal["weighted", "fifo-lru"] = "weighted"
    load_stall_weight: Annotated[float, Meta(ge=0)] = 1.0
    batch_efficiency_weight: Annotated[float, Meta(ge=0)] = 1.0
    demand_half_life_s: Annotated[float, Meta(gt=0)] = 120.0
    quick_overcommit: Annotated[float, Meta(ge=0, le=1)] = 0.25
    starvation_s: Annotated[float, Meta(gt=0)] = 60.0
    prefix_bonus: Annotated[float, Meta(ge=0)] = 2.0
    store_loads_per_s: Annotated[float, Meta(gt=0)] = 2.0
    store_in_flight: Annotated[int, Meta(ge=1)] = 8
    load_timeout_s: Annotated[float, Meta(gt=0)] = 10.0


class OperatorSettings(Section, frozen=True, kw_only=True):
    """Authentication of operators."""

    token: Secret


class TraceSettings(Section, frozen=True, kw_only=True):
    """File for finished spans; an empty path disables tracing."""

    path: str = ""


class StopSettings(Section, frozen=True, kw_only=True):
    """Graceful shutdown."""

    deadline_s: Annotated[float, Meta(gt=0)] = 60.0
    balancer_removal_s: Annotated[float, Meta(ge=0)] = 2.6
    """Time by which the load balancer sends no requests to a VM that is not ready."""


class NodeSettings(Section, frozen=True, kw_only=True):
    """Settings common to both modes: the VM itself and its peers."""

    vm: VmSettings
    peer: PeerSettings


class Settings(NodeSettings, frozen=True, kw_only=True):
    """All settings of an entry VM in standalone mode."""

    platform: PlatformSettings
    operator: OperatorSettings
    http: HttpSettings = HttpSettings()
    log: LogSettings = LogSettings()
    lease: LeaseSettings = LeaseSettings()
    limits: LimitSettings = LimitSettings()
    policy: PolicySettings = PolicySettings()
    trace: TraceSettings = TraceSettings()
    stop: StopSettings = StopSettings()


def load_settings(path: Path) -> Result[Settings, list[str]]:
    """Read and validate the settings of an entry VM in standalone mode."""
    return load_settings_as(Settings, path)


def load_settings_as(
    model: type[SettingsT], path: Path
) -> Result[SettingsT, list[str]]:
    """Read a TOML file and validate it as ``model``.

    The error has one line per invalid setting, each with the path of its key.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        return Err([f"{path}: cannot be read: {exc}"])
    except tomllib.TOMLDecodeError as exc:
        return Err([f"{path}: not valid TOML: {exc}"])
    try:
        return Ok(model.model_validate(raw))
    except SettingsError as exc:
        return Err(exc.errors)
