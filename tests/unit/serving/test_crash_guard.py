"""Exchange of crashes and answers between many VMs."""

from __future__ import annotations

from collections import deque
from typing import Any

import pytest
from gooseberryrun._internal.coordination import PeerMessage
from gooseberryrun._internal.coordination._serving_messages import EvidenceNotice
from gooseberryrun._internal.coordination.serving._crash_guard import (
    FANOUT,
    CrashGuard,
)
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import Trait, TraitKind

from tests.lib.fleet import (
    CountingPeers,
    GroupStore,
    make_members,
    make_runners,
    make_vm,
)

PART = Trait(TraitKind.PART, "p")


class _Request:
    """What the guard needs of a request."""

    def __init__(self) -> None:
        self.traits = (PART,)
        self.is_begun = True
        self.is_answer_recorded = False
        self.metadata: Any = type("Metadata", (), {"request_id": "r1"})


class Fleet:
    """Guards of many VMs whose notices are delivered one after another."""

    def __init__(self, domains: int, vms: int) -> None:
        members = make_members(domains, vms)
        self.runners = make_runners(domains, 4)
        self.guards: dict[str, CrashGuard] = {}
        self.queue: deque[tuple[str, str, EvidenceNotice]] = deque()
        self.delivered = 0
        for member in [m for group in members.values() for m in group]:
            ctx, peers = make_vm(
                member, GroupStore(members), self.runners, ManualClock()
            )
            self.guards[member.vm] = CrashGuard(ctx)
            self._connect(member.vm, peers)

    def _connect(self, sender: str, peers: CountingPeers) -> None:
        def send_to(vm: str, message: PeerMessage) -> None:
            if isinstance(message, EvidenceNotice):
                self.queue.append((sender, vm, message))

        peers.send_to = send_to  # type: ignore[method-assign]

    def deliver(self) -> None:
        """Deliver notices until there are none."""
        while self.queue:
            sender, vm, notice = self.queue.popleft()
            self.guards[vm].handle_evidence_notice(sender, notice)
            self.delivered += 1

    def knowing(self) -> int:
        """Return the number of VMs that suspect the part."""
        return sum(
            bool(guard._evidence.crash_count(PART)) for guard in self.guards.values()
        )

    def crash(self, vm: str, runner: int) -> None:
        """Let a VM see a runner crash."""
        request: Any = _Request()
        self.guards[vm].record_crash(request, self.runners[runner], 0.0)

    def answer(self, vm: str) -> None:
        """Let a VM see an answer begin."""
        request: Any = _Request()
        self.guards[vm].record_answer(request, 0.5)


@pytest.mark.parametrize(("domains", "vms"), [(3, 9), (3, 72), (20, 440)])
def test_crash_and_answer_reach_all_vms_with_few_messages(
    domains: int, vms: int
) -> None:
    """Telling all VMs from each would take messages by the square of their number."""
    fleet = Fleet(domains, vms)
    names = list(fleet.guards)
    fleet.crash(names[0], 1)
    fleet.deliver()
    assert fleet.knowing() >= 0.99 * vms
    assert fleet.delivered <= FANOUT * vms
    fleet.answer(names[1])
    fleet.deliver()
    assert fleet.knowing() <= 0.01 * vms
    assert fleet.delivered <= 2 * FANOUT * vms


def test_reports_of_cleared_crashes_are_not_passed_on_without_end() -> None:
    fleet = Fleet(3, 9)
    names = list(fleet.guards)
    for number in range(3):
        fleet.crash(names[number], number)
    fleet.answer(names[3])
    fleet.crash(names[4], 0)
    fleet.deliver()
    delivered = fleet.delivered
    assert delivered <= 10 * FANOUT * len(names)
    everything = [guard._all() for guard in fleet.guards.values()]
    for notice in everything:
        fleet.queue.append((names[0], names[5], notice))
    fleet.deliver()
    assert fleet.delivered <= delivered + len(names)
    assert not fleet.knowing()
