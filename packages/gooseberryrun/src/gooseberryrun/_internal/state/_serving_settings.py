"""Settings of an entry VM that serves by routes from the operators' store."""

from __future__ import annotations

from pydantic import Field

from ._settings import NodeSettings, Section


class EntrySettings(Section):
    """Addresses towards callers, the balancer and the metrics reader."""

    callers: str
    readiness: str
    metrics_port: int = Field(ge=1, le=65535)
    max_connections: int = Field(default=3000, ge=1)


class StoreSettings(Section):
    """The platform's store."""

    address: str
    timeout_s: float = Field(default=1.0, gt=0)
    poll_wait_s: float = Field(default=5.0, gt=0)
    parts: int = Field(default=16, ge=1)
    """Partitions of each of the store's topics."""


class MembershipSettings(Section):
    """Lease on shares of the runners."""

    lease_s: float = Field(default=4.0, gt=0)
    renew_interval_s: float = Field(default=0.7, gt=0)
    margin_s: float = Field(default=0.5, ge=0)
    outside_s: float = Field(default=10.0, gt=0)
    """Time for which members of other failure domains leave a runner without an owner;
    one in its own domain may go on that long without the store."""
    turn_ms: int = Field(default=3000, ge=0)
    """Time within which two owners of a runner may not take turns."""
    max_members: int = Field(default=96, ge=1)
    """Entry VMs that the group of a failure domain has room for."""
    domains: list[str] = []
    """Failure domains; those with runners are found without it."""


class RepeatSettings(Section):
    """Budget of repeated attempts, over all entry VMs."""

    ratio: float = Field(default=0.2, ge=0)
    slack: float = Field(default=50.0, ge=0)
    window_s: float = Field(default=10.0, gt=0)


class GracefulStopSettings(Section):
    """Graceful shutdown."""

    grace_s: float = Field(default=8.0, gt=0)


class ServingSettings(NodeSettings):
    """Every setting of an entry VM that serves by routes."""

    entry: EntrySettings
    store: StoreSettings
    membership: MembershipSettings = MembershipSettings()
    repeats: RepeatSettings = RepeatSettings()
    stop: GracefulStopSettings = GracefulStopSettings()
