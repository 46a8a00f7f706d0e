"""State shared by the tasks of an entry VM that serves by routes."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from gooseberryrun._internal.state import (
    Clock,
    ServingSettings,
    Vm,
    VmKind,
)
from gooseberryrun._internal.state.serving import (
    LARGE_FLEET_VMS,
    Assignable,
    Crash,
    CrashEvidence,
    DirectoryState,
    FleetSize,
    HeardEnd,
    Member,
    OwnershipState,
    Position,
    ReadSchedule,
    Runner,
    RunnerLoads,
    RunnerPauses,
    RunnerReach,
    RunnerStatements,
    ServingPolicy,
    Topic,
    UsageAllocation,
    View,
    is_followed_from,
    reader_rank,
)
from gooseberryrun._internal.state.serving.accounts import ConfigurationFreshness
from gooseberryrun._internal.state.serving.admission import RefusedRequests
from gooseberryrun._internal.state.serving.placement import WeightTable

from .._ports import Peers
from ._ports import Ports
from ._residency import Residency

STATUS_FORGET_S = 60.0
"""Age from which on the status of a member is dropped."""
STORE_STATUS_TTL_S = 1.3
"""Age up to which a member's store status is used: two rounds of gossip."""


class StoreStatus(msgspec.Struct, frozen=True):
    """Last reported status of a member: whether it reaches the store.

    The member has read the registry of runners up to ``registry_end``.
    """

    received_at: float
    can_reach_store: bool
    registry_end: Position = Position()


@dataclass(slots=True)
class Context:
    """Settings, ports and state of one entry VM.

    The process began at ``started_at`` by the clock's ``boottime``. Once it is
    stopping, all responses are due at the monotonic time ``stop_deadline``.
    ``caller_addresses`` are where other VMs listen for callers, as ``HOST:PORT``.
    """

    cfg: ServingSettings
    clock: Clock
    ports: Ports
    peers: Peers
    directory: DirectoryState
    ownership: OwnershipState
    loads: RunnerLoads
    evidence: CrashEvidence
    started_at: float
    fleet_size: FleetSize = field(default_factory=FleetSize)
    statements: RunnerStatements = field(default_factory=RunnerStatements)
    brittle: RunnerStatements = field(default_factory=RunnerStatements)
    pauses: RunnerPauses = field(default_factory=RunnerPauses)
    reach: RunnerReach = field(default_factory=RunnerReach)
    caller_addresses: dict[str, str] = field(default_factory=dict)
    policy: ServingPolicy = ServingPolicy()
    can_reach_store: bool = True
    has_called_store: bool = False
    stop_deadline: float = float("inf")
    is_new: bool = True
    store_statuses: dict[str, StoreStatus] = field(default_factory=dict)
    weights: WeightTable = field(default_factory=WeightTable)
    residency: Residency = field(init=False)
    freshness: ConfigurationFreshness = field(init=False)
    schedule: ReadSchedule = field(init=False)
    heard_configuration: HeardEnd = field(default_factory=HeardEnd)
    refused: RefusedRequests = field(default_factory=RefusedRequests)
    remote_views: dict[str, View] = field(default_factory=dict)
    covered_domains: dict[str, OwnershipState] = field(default_factory=dict)
    _ranked: tuple[View, int] | None = None

    def __post_init__(self) -> None:
        """Begin without any notice of a runner's owner, or of the configuration."""
        self.residency = Residency(self.clock)
        self.freshness = ConfigurationFreshness(self.clock.boottime())
        self.schedule = ReadSchedule.within(self.cfg.bounds.configuration_ms / 1000)

    @property
    def vm(self) -> str:
        """Return the id of this entry VM."""
        return self.cfg.vm.id

    @property
    def own_member(self) -> Member:
        """Return this entry VM as a member of a group."""
        vm = self.cfg.vm
        address = str(vm.address)
        return Member(vm.id, vm.domain, address, self.cfg.peer.port, self.is_new)

    def is_switched_on(self, switch: bool | None) -> bool:
        """Return whether a switch is on; unset, it is in large fleets only."""
        if switch is not None:
            return switch
        return self.fleet_size.value(self.clock.monotonic()) > LARGE_FLEET_VMS

    def members(self) -> dict[str, Member]:
        """Return the known members of all domains, including this VM, by id."""
        views = [*self.remote_views.values(), self.ownership.view]
        return {member.vm: member for view in views for member in view.members}

    def is_member(self, vm: str) -> bool:
        """Return whether a VM is a known member, without building all of them."""
        views = (self.ownership.view, *self.remote_views.values())
        return any(member.vm == vm for view in views for member in view.members)

    def domains(self) -> list[str]:
        """Return the known failure domains, sorted."""
        found = {*self.cfg.membership.domains, self.cfg.vm.domain, *self.remote_views}
        found.update(runner.domain for runner in self.directory.all_runners())
        return sorted(found)

    def ownership_for(self, runner: Assignable) -> OwnershipState:
        """Return the ownership state of the group that can assign this VM a runner."""
        return self.covered_domains.get(runner.domain, self.ownership)

    def transferable(self, group: str, ownership: OwnershipState) -> list[Assignable]:
        """Return all that a VM may own or hand over in a group."""
        keys = ownership.known_allocations()
        allocations = [UsageAllocation(key, group) for key in keys]
        return [*self.directory.all_runners(), *allocations]

    def owner_of(self, runner: Assignable) -> Member | None:
        """Return the member that a runner is assigned to, as far as this VM knows."""
        remote = self.remote_views.get(runner.domain)
        if runner.domain in self.covered_domains or remote is None:
            return self.ownership_for(runner).owner_of(runner)
        return remote.owner_of(runner)

    def update_remote_view(self, group: str, view: View) -> bool:
        """Store another domain's view; return whether its members changed."""
        known = self.remote_views.get(group)
        if group == self.cfg.vm.domain or (
            known and known.generation > view.generation
        ):
            return False
        self.remote_views[group] = view
        return known is None or known.members != view.members

    def peer_ids(self) -> list[str]:
        """Return the ids of the other members."""
        return [vm for vm in self.members() if vm != self.vm]

    def local_peer_ids(self) -> list[str]:
        """Return the ids of the other members in this VM's failure domain."""
        members = self.ownership.view.members
        local = [m.vm for m in members if m.domain == self.cfg.vm.domain]
        return [vm for vm in local if vm != self.vm]

    def remote_peer_ids(self) -> list[str]:
        """Return the ids of the members in other failure domains."""
        domain = self.cfg.vm.domain
        return [vm for vm, m in self.members().items() if m.domain != domain]

    def reader_rank(self) -> int:
        """Return this VM's rank among those of its domain that may read the store."""
        view = self.ownership.view
        if self._ranked is None or self._ranked[0] is not view:
            rank = reader_rank(self.vm, self.cfg.vm.domain, view.members)
            self._ranked = (view, rank)
        return self._ranked[1]

    def follows(self, runner: Runner) -> bool:
        """Return whether this VM receives updates of a runner's adapters."""
        return self._is_followed(runner, self.cfg.vm.domain)

    def _is_followed(self, runner: Runner, domain: str) -> bool:
        local_runner_count = self.directory.local_runner_count(runner.service, domain)
        return is_followed_from(runner, domain, local_runner_count)

    def followers(self, runner: Runner) -> list[str]:
        """Return the ids of the other members that receive a runner's updates."""
        members = self.members().values()
        followed_in = {
            domain: self._is_followed(runner, domain)
            for domain in {member.domain for member in members}
        }
        found = {member.vm for member in members if followed_in[member.domain]}
        return sorted(found - {self.vm})

    def former_peer_ids(self) -> list[str]:
        """Return the ids of members that left the view recently."""
        former = self.ownership.former_members(self.clock.boottime())
        return [member.vm for member in former if member.vm != self.vm]

    def find_vm(self, vm: str) -> Vm | None:
        """Return the peer address of a current or former member, None if unknown."""
        former = self.ownership.former_members(self.clock.boottime())
        known = {member.vm: member for member in former} | self.members()
        member = known.get(vm)
        if member is None:
            return None
        return Vm(
            id=vm,
            kind=VmKind.ENTRY,
            domain=member.domain,
            address=member.host,
            port=0,
            peer_port=member.port,
        )

    def lacks_configuration(self) -> bool:
        """Return whether a peer has read a configuration that this VM has not yet."""
        return self.heard_configuration.is_beyond(
            self.directory.ends[Topic.CONFIGURATION], self.clock.monotonic()
        )

    def forget_gone(self) -> None:
        """Drop what is known of runners and VMs that are gone."""
        now = self.clock.monotonic()
        registered = [runner.id for runner in self.directory.all_runners()]
        self.residency.drop_unregistered(registered)
        self.weights.drop_unregistered(registered)
        self.loads.expire_owner_totals(now)
        members = self.members()
        self.caller_addresses = {
            vm: address
            for vm, address in self.caller_addresses.items()
            if vm in members
        }
        self.store_statuses = {
            vm: status
            for vm, status in self.store_statuses.items()
            if now - status.received_at <= STATUS_FORGET_S
        }

    def is_store_unreachable_for_all(self, peers: list[str], now: float) -> bool:
        """Return whether all these members recently reported the store unreachable."""
        if self.is_store_reached_by_any(peers, now):
            return False
        for peer in peers:
            status = self.store_statuses.get(peer)
            if status is None or now - status.received_at > STORE_STATUS_TTL_S:
                return False
        return True

    def is_store_reached_by_any(self, peers: list[str], now: float) -> bool:
        """Return whether one of these VMs, or one that is no member, reaches the store.

        Reports that are out of date do not count.
        """
        others = self.members().keys() - set(peers)
        return any(
            status.can_reach_store and now - status.received_at <= STORE_STATUS_TTL_S
            for vm, status in self.store_statuses.items()
            if vm not in others
        )


def make_context(
    cfg: ServingSettings, clock: Clock, ports: Ports, peers: Peers
) -> Context:
    """Return the initial context of a process."""
    directory = DirectoryState()

    def has_returned(crash: Crash) -> bool:
        runner = directory.runner(crash.runner)
        return runner is None or runner.born_ms > crash.incarnation

    return Context(
        cfg,
        clock,
        ports,
        peers,
        directory,
        OwnershipState(
            cfg.vm.id, cfg.vm.domain, cfg.membership, clock.boottime(), cfg.vm.domain
        ),
        RunnerLoads(),
        CrashEvidence(has_returned),
        clock.boottime(),
    )
