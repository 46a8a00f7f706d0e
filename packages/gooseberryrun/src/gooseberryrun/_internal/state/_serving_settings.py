"""Settings of an entry VM in platform mode."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from ._sections import Section
from ._settings import NodeSettings


class EntrySettings(Section, frozen=True, kw_only=True):
    """Listening addresses for callers, readiness probes and metrics."""

    callers: str
    readiness: str
    metrics_port: Annotated[int, Meta(ge=1, le=65535)]
    max_connections: Annotated[int, Meta(ge=1)] = 3000


class StoreSettings(Section, frozen=True, kw_only=True):
    """The platform's store."""

    address: str
    timeout_s: Annotated[float, Meta(gt=0)] = 1.0
    poll_wait_s: Annotated[float, Meta(gt=0)] = 5.0
    parts: Annotated[int, Meta(ge=1)] = 16
    """Partitions of each of the store's topics."""


class BoundSettings(Section, frozen=True, kw_only=True):
    """What the operators were promised of the deployment."""

    configuration_ms: Annotated[int, Meta(gt=0)] = 7000
    """Time from the store's acknowledgement of a configuration until each VM that
    reaches the store has it in force."""


class MembershipSettings(Section, frozen=True, kw_only=True):
    """Membership of the group of entry VMs and the lease on owned runners."""

    lease_s: Annotated[float, Meta(gt=0)] = 4.0
    renew_interval_s: Annotated[float, Meta(gt=0)] = 0.7
    margin_s: Annotated[float, Meta(ge=0)] = 0.5
    outside_s: Annotated[float, Meta(gt=0)] = 10.0
    """Time before members of other failure domains take over a runner without an owner;
    an owner in the runner's domain may continue for that long without the store."""
    turn_ms: Annotated[int, Meta(ge=0)] = 3000
    """Delay before a VM may reacquire a runner that it released."""
    max_members: Annotated[int, Meta(ge=1)] = 96
    """Largest number of entry VMs in the group of a failure domain."""
    domains: list[str] = []
    """Failure domains to know of; those with runners are found without this list."""


class RetrySettings(Section, frozen=True, kw_only=True):
    """Retry budget over all entry VMs."""

    ratio: Annotated[float, Meta(ge=0)] = 0.2
    slack: Annotated[float, Meta(ge=0)] = 50.0
    window_s: Annotated[float, Meta(gt=0)] = 10.0


class CrossingSettings(Section, frozen=True, kw_only=True):
    """Requests that go to another failure domain because the own one is too full.

    Where it is off, a constant price decides between the own domain and others.
    """

    is_enabled: bool | None = None
    """Unless set, it is on in deployments of more than ``LARGE_FLEET_VMS``."""
    byte_cost_s: Annotated[float, Meta(ge=0, le=1e-3)] = 7e-6
    """Wait in seconds that is accepted to save a byte between failure domains; with
    the usual 4,000 bytes of a request and its response, 0.03 s for a crossing."""
    max_share: Annotated[float, Meta(ge=0, le=1)] = 0.6
    """Largest share of a service's requests that go to all other domains together."""


MIN_WEIGHT = 0.01
"""Smallest weight of an account: below it a share is too small to serve a request."""
MAX_WEIGHT = 100.0


class AdmissionSettings(Section, frozen=True, kw_only=True):
    """Fair admission where requests queue."""

    plain_slots: bool | None = None
    """Whether one VM grants the slots of each plain server to the requests of all; also
    on where the configuration has accounts, and unless set, in deployments of more than
    ``LARGE_FLEET_VMS``."""
    weights: dict[str, Annotated[float, Meta(ge=MIN_WEIGHT, le=MAX_WEIGHT)]] = {}
    """Weights of client accounts by name, 1 for those not named: accounts that wait get
    shares of the capacity by them. All VMs need the same."""
    bounds_runner_memory: bool = False
    """Whether a model runner gets no more requests than its memory holds at once, for
    runners that crash beyond it instead of preempting requests."""


class UsageSettings(Section, frozen=True, kw_only=True):
    """Bound on the usage of a client account over all entry VMs.

    In each window of ``window_s`` it is ``(1 + overage)`` times what the account's cap
    allows, plus ``slack`` tokens for a cap that counts tokens.
    """

    window_s: Annotated[float, Meta(gt=0)] = 8.0
    overage: Annotated[float, Meta(ge=0)] = 0.1
    slack: Annotated[float, Meta(ge=0)] = 17_000.0


class GracefulStopSettings(Section, frozen=True, kw_only=True):
    """Graceful shutdown."""

    grace_s: Annotated[float, Meta(gt=0)] = 8.0


class ServingSettings(NodeSettings, frozen=True, kw_only=True):
    """Every setting of an entry VM in platform mode."""

    entry: EntrySettings
    store: StoreSettings
    bounds: BoundSettings = BoundSettings()
    membership: MembershipSettings = MembershipSettings()
    repeats: RetrySettings = RetrySettings()
    crossing: CrossingSettings = CrossingSettings()
    admission: AdmissionSettings = AdmissionSettings()
    usage: UsageSettings = UsageSettings()
    stop: GracefulStopSettings = GracefulStopSettings()
