"""Settings of an entry VM: models that validate the TOML file."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Literal, TypeVar

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    IPvAnyAddress,
    SecretStr,
    ValidationError,
)
from result import Err, Ok, Result

SettingsT = TypeVar("SettingsT", bound="NodeSettings")


class Section(BaseModel):
    """Base class of the settings sections; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class VmSettings(Section):
    """Identity of this entry VM."""

    id: str = Field(min_length=1, max_length=64)
    domain: str = Field(min_length=1, max_length=64)
    address: IPvAnyAddress


class HttpSettings(Section):
    """HTTP interface for callers and operators."""

    port: int = Field(default=8080, ge=1, le=65535)
    max_body_bytes: int = Field(default=1 << 20, ge=1024)
    read_timeout_s: float = Field(default=10.0, gt=0)
    max_connections: int = Field(default=2000, ge=1)
    log_requests: bool = True


class PeerSettings(Section):
    """gRPC streams between entry VMs and failure detection of peers."""

    port: int = Field(default=7000, ge=1, le=65535)
    secret: SecretStr
    heartbeat_interval_s: float = Field(default=1.0, gt=0)
    dead_after_s: float = Field(default=2.5, gt=0)
    connect_timeout_s: float = Field(default=1.0, gt=0)
    gossip_fanout: int = Field(default=2, ge=0)


class PlatformSettings(Section):
    """Addresses of the platform's services."""

    log_url: str
    store_url: str
    vm_list_url: str
    vm_list_interval_s: float = Field(default=1.0, gt=0)
    timeout_s: float = Field(default=2.0, gt=0)


class LogSettings(Section):
    """Reading and writing of the append-only log."""

    append_interval_s: float = Field(default=0.02, ge=0)
    max_batch: int = Field(default=256, ge=1)
    poll_wait_s: float = Field(default=2.0, gt=0)
    retry_interval_s: float = Field(default=0.2, gt=0)
    retention_s: float = Field(default=3600.0, gt=0)
    catch_up_interval_s: float = Field(default=1.0, gt=0)


class LeaseSettings(Section):
    """Leases on the ownership of runners, and grants to use them."""

    duration_s: float = Field(default=3.0, gt=0)
    margin_s: float = Field(default=0.3, ge=0)
    grant_s: float = Field(default=15.0, gt=0)


class LimitSettings(Section):
    """Deadlines, queues and retry budgets of requests."""

    request_timeout_s: float = Field(default=60.0, gt=0)
    grant_wait_s: float = Field(default=30.0, gt=0)
    queue_per_runner: int = Field(default=512, ge=1)
    max_attempts: int = Field(default=4, ge=1)
    retry_budget_ratio: float = Field(default=0.2, ge=0)
    retry_budget_floor: int = Field(default=10, ge=0)
    service_timeout_s: float = Field(default=5.0, gt=0)
    dispatch_window_s: float = Field(default=3.0, gt=0)
    outcome_wait_s: float = Field(default=10.0, gt=0)
    engine_stall_s: float = Field(default=10.0, gt=0)
    suspect_ttl_s: float = Field(default=600.0, gt=0)
    crashes_to_refuse: int = Field(default=2, ge=1)
    key_ttl_s: float = Field(default=86400.0, gt=0)
    concurrent_jobs: int = Field(default=128, ge=1)


class PolicySettings(Section):
    """Scheduling policy of adapter loads and batches.

    ``load_stall_weight`` and ``batch_efficiency_weight`` are the only settings in which
    the deployments differ.
    """

    name: Literal["weighted", "fifo-lru"] = "weighted"
    load_stall_weight: float = Field(default=1.0, ge=0)
    batch_efficiency_weight: float = Field(default=1.0, ge=0)
    demand_half_life_s: float = Field(default=120.0, gt=0)
    quick_overcommit: float = Field(default=0.25, ge=0, le=1)
    starvation_s: float = Field(default=60.0, gt=0)
    prefix_bonus: float = Field(default=2.0, ge=0)
    store_loads_per_s: float = Field(default=2.0, gt=0)
    store_in_flight: int = Field(default=8, ge=1)
    load_timeout_s: float = Field(default=10.0, gt=0)


class OperatorSettings(Section):
    """Authentication of operators."""

    token: SecretStr


class TraceSettings(Section):
    """File for finished spans; an empty path disables tracing."""

    path: str = ""


class StopSettings(Section):
    """Graceful shutdown."""

    deadline_s: float = Field(default=60.0, gt=0)
    balancer_removal_s: float = Field(default=2.6, ge=0)
    """Time by which the load balancer sends no requests to a VM that is not ready."""


class NodeSettings(Section):
    """Settings common to both modes: the VM itself and its peers."""

    vm: VmSettings
    peer: PeerSettings


class Settings(NodeSettings):
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
    except ValidationError as exc:
        return Err([_describe_error(error) for error in exc.errors()])


def _describe_error(error: object) -> str:
    if not isinstance(error, dict):
        return str(error)
    key = ".".join(str(part) for part in error["loc"])
    if error["type"] == "extra_forbidden":
        return f"{key}: unknown setting"
    return f"{key}: {error['msg']}"
