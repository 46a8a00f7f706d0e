"""VMs that keep where streams began, whose clock and peers a test moves by hand."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from gooseberryrun._internal.coordination.serving import (
    ActiveRequest,
    Context,
    InboundRequest,
    RequestMetadata,
)
from gooseberryrun._internal.coordination.serving._follower import DirectoryFollower
from gooseberryrun._internal.coordination.serving._origins import OriginKeeper
from gooseberryrun._internal.coordination.serving._registry_check import RegistryCheck
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import (
    DirectoryRecord,
    Position,
    Runner,
    Topic,
)

from tests.lib.fleet import GroupStore, make_stream_route, make_vm

OLD = Runner("i-1", "s", "h", 1, "d0", 64, False, 1, 0, (), "v1")
NEW = replace(OLD, id="i-2", software_version="v2")
ROUTE = make_stream_route(priority=0, max_attempts=2, is_resumable=True)
WAIT_S = 15.0


def make_request(request_id: str, resumes: str = "") -> ActiveRequest:
    """Return a request for a stream; it takes up the one that ``resumes`` names."""
    nobody: Any = None
    metadata = RequestMetadata(
        request_id, WAIT_S, last_event_id="4" if resumes else "", resumes=resumes
    )
    inbound = InboundRequest("POST", "/", "h", [], b"", 10.0)
    return ActiveRequest(inbound, metadata, nobody, ROUTE, "s", 25.0)


@dataclass
class KeeperVm:
    """Keeper of origins of one VM, with its clock and peers."""

    keeper: OriginKeeper
    clock: ManualClock
    peers: Any

    def register(self, offset: int, runner: Runner | None, key: str = "") -> None:
        """Let the VM read that a runner is registered, or that ``key`` is not."""
        key = runner.id if runner else key
        position = Position(0, offset)
        record = DirectoryRecord(Topic.RUNNERS, position, key, runner=runner)
        self.keeper._ctx.directory.apply(record, self.clock.now)

    def flush(self) -> None:
        """Send and append what is scheduled."""
        self.keeper._send_untold()
        self.keeper._log.append()

    def take_up(self, root: str) -> str | None:
        """Take a stream up; return the version that it is confined to."""
        active = make_request("again", root)
        refusal = self.keeper.constrain(active)
        assert (refusal is None) is (active.required_software is not None)
        assert refusal is None or refusal.status == 503
        return active.required_software


def make_keeper(ctx: Context) -> OriginKeeper:
    """Return the keeper of a VM that reads the registry when it has to."""
    registry = RegistryCheck(ctx, DirectoryFollower(ctx).read_registry)
    return OriginKeeper(ctx, registry)


def make_keepers(store: GroupStore, count: int = 3) -> list[KeeperVm]:
    """Return VMs of one domain that have read the store and know a runner of v1."""
    vms = []
    for member in store.groups["d0"][:count]:
        clock = ManualClock(10.0)
        ctx, peers = make_vm(member, store, [], clock)
        vms.append(KeeperVm(make_keeper(ctx), clock, peers))
        vms[-1].register(0, OLD)
        assert vms[-1].keeper._reader.read()
    return vms
