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
    AdapterMemory,
    DirectoryState,
    Holder,
    Owner,
    OwnershipState,
    RunnerLoads,
    share_of,
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
    owners: dict[int, Owner] = field(default_factory=dict)
    owners_generation: int = 0
    has_store: bool = True
    store_views: dict[str, StoreView] = field(default_factory=dict)
    residency: dict[str, ResidencyNotice] = field(default_factory=dict)
    memories: dict[str, AdapterMemory] = field(default_factory=dict)
    crashes: list[tuple[float, CrashReport]] = field(default_factory=list)

    @property
    def vm(self) -> str:
        """Return the id of this entry VM."""
        return self.cfg.vm.id

    def owner_of(self, runner_id: str) -> Owner | None:
        """Return the member that holds a runner's share."""
        return self.owners.get(share_of(runner_id))

    def holders(self) -> dict[int, Holder]:
        """Return the last known holder of each share."""
        generation = self.owners_generation
        return {
            share: Holder(owner.vm, generation) for share, owner in self.owners.items()
        }

    def members(self) -> dict[str, Owner]:
        """Return the members known, this VM included, by id."""
        return {owner.vm: owner for owner in self.owners.values()}

    def peer_ids(self) -> list[str]:
        """Return the ids of the other members."""
        return [vm for vm in self.members() if vm != self.vm]

    def find_vm(self, vm: str) -> Vm | None:
        """Return where a member listens for peers."""
        owner = self.members().get(vm)
        if owner is None:
            return None
        return Vm(
            id=vm,
            kind=VmKind.ENTRY,
            domain="",
            address=owner.host,
            port=0,
            peer_port=owner.port,
        )

    def is_store_lost_to_all(self, now: float) -> bool:
        """Tell whether every other member has just said that it lost the store too.

        Then no share can change hands. A member that is leaving counts as lost: its
        successor takes up no share of others without waiting.
        """
        for peer in self.peer_ids():
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
        self.residency[notice.runner] = notice
        memory = self.memories.setdefault(notice.runner, AdapterMemory())
        memory.note(notice.born_ms, notice.held)

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
    membership = cfg.membership
    return Context(
        cfg,
        clock,
        ports,
        peers,
        DirectoryState(),
        OwnershipState(
            membership.lease_s, membership.margin_s, membership.turn_ms / 1000
        ),
        RunnerLoads(),
        SuspectState(CRASHES_TO_REFUSE, SUSPECT_TTL_S),
    )
