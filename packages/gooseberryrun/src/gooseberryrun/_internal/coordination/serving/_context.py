"""What the tasks of serving share."""

from __future__ import annotations

from dataclasses import dataclass, field

from gooseberryrun._internal.state import (
    Clock,
    ServingSettings,
    SuspectState,
    Vm,
    VmKind,
)
from gooseberryrun._internal.state.serving import (
    DirectoryState,
    Member,
    OwnershipState,
    RecentAdapters,
    Runner,
    RunnerLoads,
    View,
    is_followed_from,
    reader_rank,
)

from .._ports import Peers
from .._serving_messages import CrashReport, ResidencyNotice
from ._ports import Ports

CRASHES_TO_REFUSE = 3
"""Crashes after which the content of a request is refused."""
STORE_VIEW_S = 1.3
"""Age up to which a member's word on the store counts: two rounds of gossip."""
SUSPECT_TTL_S = 120.0
"""Time for which a crash counts against the content of a request."""


@dataclass(frozen=True, slots=True)
class StoreView:
    """What a member last told: whether it reaches the store, or that it is leaving."""

    heard_at: float
    has_store: bool
    is_leaving: bool = False


@dataclass(slots=True)
class Context:
    """Settings, ports and state of one entry VM."""

    cfg: ServingSettings
    clock: Clock
    ports: Ports
    peers: Peers
    directory: DirectoryState
    ownership: OwnershipState
    loads: RunnerLoads
    suspects: SuspectState
    has_store: bool = True
    is_new: bool = True
    store_views: dict[str, StoreView] = field(default_factory=dict)
    residency: dict[str, ResidencyNotice] = field(default_factory=dict)
    far_views: dict[str, View] = field(default_factory=dict)
    guarded: dict[str, OwnershipState] = field(default_factory=dict)
    residency_at: dict[str, float] = field(default_factory=dict)
    memories: dict[str, RecentAdapters] = field(default_factory=dict)
    crashes: list[tuple[float, CrashReport]] = field(default_factory=list)

    @property
    def vm(self) -> str:
        """Return the id of this entry VM."""
        return self.cfg.vm.id

    @property
    def own_member(self) -> Member:
        """Return this entry VM as a member of the group."""
        vm = self.cfg.vm
        address = str(vm.address)
        return Member(vm.id, vm.domain, address, self.cfg.peer.port, self.is_new)

    def members(self) -> dict[str, Member]:
        """Return the members known in all domains, this VM included, by id."""
        views = [*self.far_views.values(), self.ownership.view]
        return {member.vm: member for view in views for member in view.members}

    def domains(self) -> list[str]:
        """Return the failure domains known, in order."""
        found = {*self.cfg.membership.domains, self.cfg.vm.domain, *self.far_views}
        found.update(runner.domain for runner in self.directory.all_runners())
        return sorted(found)

    def rights_to(self, runner: Runner) -> OwnershipState:
        """Return the state of the group that a runner may be dealt to this VM by."""
        return self.guarded.get(runner.domain, self.ownership)

    def owner_of(self, runner: Runner) -> Member | None:
        """Return the member that a runner is dealt to, as far as this VM knows."""
        far = self.far_views.get(runner.domain)
        if runner.domain in self.guarded or far is None:
            return self.rights_to(runner).owner_of(runner)
        return far.owner_of(runner)

    def hear_far_view(self, group: str, view: View) -> bool:
        """Take in the view of another domain's group; return whether it was news."""
        known = self.far_views.get(group)
        if group == self.cfg.vm.domain or (
            known and known.generation > view.generation
        ):
            return False
        self.far_views[group] = view
        return known is None or known.members != view.members

    def peer_ids(self) -> list[str]:
        """Return the ids of the other members."""
        return [vm for vm in self.members() if vm != self.vm]

    def near_peer_ids(self) -> list[str]:
        """Return the ids of the other members in this VM's failure domain."""
        members = self.ownership.view.members
        near = [m.vm for m in members if m.domain == self.cfg.vm.domain]
        return [vm for vm in near if vm != self.vm]

    def far_peer_ids(self) -> list[str]:
        """Return the ids of the members in other failure domains."""
        domain = self.cfg.vm.domain
        return [vm for vm, m in self.members().items() if m.domain != domain]

    def reader_rank(self) -> int:
        """Return this VM's place among those of its domain that read the store."""
        return reader_rank(self.vm, self.cfg.vm.domain, self.ownership.view.members)

    def follows(self, runner: Runner) -> bool:
        """Tell whether this VM is told what a runner holds."""
        return self._is_followed(runner, self.cfg.vm.domain)

    def _is_followed(self, runner: Runner, domain: str) -> bool:
        local_runner_count = self.directory.local_runner_count(runner.service, domain)
        return is_followed_from(runner, domain, local_runner_count)

    def followers(self, runner: Runner) -> list[str]:
        """Return the ids of the other members that are told what a runner holds."""
        members = self.members().values()
        followed_in = {
            domain: self._is_followed(runner, domain)
            for domain in {member.domain for member in members}
        }
        found = {member.vm for member in members if followed_in[member.domain]}
        return sorted(found - {self.vm})

    def former_peer_ids(self) -> list[str]:
        """Return the ids of members that left the view a short time ago."""
        former = self.ownership.former_members(self.clock.boottime())
        return [member.vm for member in former if member.vm != self.vm]

    def find_vm(self, vm: str) -> Vm | None:
        """Return where a member listens for peers."""
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

    def is_store_lost_to(self, peers: list[str], now: float) -> bool:
        """Tell whether all these members have just said that they lost the store too.

        Then none of them can take a runner over. A member that is leaving counts as
        lost: its successor takes up no runner of others without waiting.
        """
        members = self.members()
        if any(
            view.has_store and now - view.heard_at <= STORE_VIEW_S
            for vm, view in self.store_views.items()
            if vm not in members
        ):
            return False
        for peer in peers:
            view = self.store_views.get(peer)
            if view is None or view.has_store:
                return False
            if not view.is_leaving and now - view.heard_at > STORE_VIEW_S:
                return False
        return True

    def hear_residency(self, notice: ResidencyNotice) -> None:
        """Take in which adapters a runner holds; the newest owner's word counts."""
        known = self.residency.get(notice.runner)
        if known is not None and (known.born_ms, known.fencing_token) > (
            notice.born_ms,
            notice.fencing_token,
        ):
            return
        self.note_residency(notice)

    def note_residency(self, notice: ResidencyNotice) -> None:
        """Believe a notice, and remember the adapters for later loads."""
        self.residency_at[notice.runner] = self.clock.monotonic()
        self.residency[notice.runner] = notice
        memory = self.memories.setdefault(notice.runner, RecentAdapters())
        memory.record(notice.born_ms, notice.held)

    def record_crash(self, report: CrashReport) -> None:
        """Count a crash against the content of a request, once."""
        now = self.clock.monotonic()
        incarnation = str(report.born_ms)
        content = [report.content]
        if self.suspects.record_crash(report.runner, incarnation, content, now):
            self.crashes.append((now, report))


def make_context(
    cfg: ServingSettings, clock: Clock, ports: Ports, peers: Peers
) -> Context:
    """Return the context of a new process."""
    return Context(
        cfg,
        clock,
        ports,
        peers,
        DirectoryState(),
        OwnershipState(
            cfg.vm.id, cfg.vm.domain, cfg.membership, clock.boottime(), cfg.vm.domain
        ),
        RunnerLoads(),
        SuspectState(CRASHES_TO_REFUSE, SUSPECT_TTL_S),
    )
