"""Settings of an entry VM in platform mode."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from ._settings import NodeSettings, Section


class EntrySettings(Section):
    """Listening addresses for callers, readiness probes and metrics."""

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
    """Membership of the group of entry VMs and the lease on owned runners."""

    lease_s: float = Field(default=4.0, gt=0)
    renew_interval_s: float = Field(default=0.7, gt=0)
    margin_s: float = Field(default=0.5, ge=0)
    outside_s: float = Field(default=10.0, gt=0)
    """Time before members of other failure domains take over a runner without an owner;
    an owner in the runner's domain may continue for that long without the store."""
    turn_ms: int = Field(default=3000, ge=0)
    """Delay before a VM may reacquire a runner that it released."""
    max_members: int = Field(default=96, ge=1)
    """Largest number of entry VMs in the group of a failure domain."""
    domains: list[str] = []
    """Failure domains to know of; those with runners are found without this list."""


class RetrySettings(Section):
    """Retry budget over all entry VMs."""

    ratio: float = Field(default=0.2, ge=0)
    slack: float = Field(default=50.0, ge=0)
    window_s: float = Field(default=10.0, gt=0)


class CrossingSettings(Section):
    """Requests that go to another failure domain because the own one is too full.

    Where it is off, a constant price decides between the own domain and others.
    """

    is_enabled: bool | None = None
    """Unless set, it is on in deployments of more than ``LARGE_FLEET_VMS``."""
    byte_cost_s: float = Field(default=7e-6, ge=0, le=1e-3)
    """Wait in seconds that is accepted to save a byte between failure domains; with
    the usual 4,000 bytes of a request and its response, 0.03 s for a crossing."""
    max_share: float = Field(default=0.6, ge=0, le=1)
    """Largest share of a service's requests that go to all other domains together."""


MIN_WEIGHT = 0.01
"""Smallest weight of an account: below it a share is too small to serve a request."""
MAX_WEIGHT = 100.0


class AdmissionSettings(Section):
    """Fair admission where requests queue."""

    plain_slots: bool | None = None
    """Whether one VM grants the slots of each plain server to the requests of all; also
    on where the configuration has accounts, and unless set, in deployments of more than
    ``LARGE_FLEET_VMS``."""
    weights: dict[str, Annotated[float, Field(ge=MIN_WEIGHT, le=MAX_WEIGHT)]] = Field(
        default_factory=dict
    )
    """Weights of client accounts by name, 1 for those not named: accounts that wait get
    shares of the capacity by them. All VMs need the same."""
    bounds_runner_memory: bool = False
    """Whether a model runner gets no more requests than its memory holds at once, for
    runners that crash beyond it instead of preempting requests."""


class UsageSettings(Section):
    """Bound on the usage of a client account over all entry VMs.

    In each window of ``window_s`` it is ``(1 + overage)`` times what the account's cap
    allows, plus ``slack`` tokens for a cap that counts tokens.
    """

    window_s: float = Field(default=8.0, gt=0)
    overage: float = Field(default=0.1, ge=0)
    slack: float = Field(default=17_000.0, ge=0)


class GracefulStopSettings(Section):
    """Graceful shutdown."""

    grace_s: float = Field(default=8.0, gt=0)


class ServingSettings(NodeSettings):
    """Every setting of an entry VM in platform mode."""

    entry: EntrySettings
    store: StoreSettings
    membership: MembershipSettings = MembershipSettings()
    repeats: RetrySettings = RetrySettings()
    crossing: CrossingSettings = CrossingSettings()
    admission: AdmissionSettings = AdmissionSettings()
    usage: UsageSettings = UsageSettings()
    stop: GracefulStopSettings = GracefulStopSettings()
