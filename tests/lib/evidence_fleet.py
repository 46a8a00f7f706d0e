"""Crash guards of many VMs with the messages between them, without sockets."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

import eventlet
from gooseberryrun._internal.coordination import PeerError, PeerMessage
from gooseberryrun._internal.coordination._serving_messages import (
    EvidenceNotice,
    EvidenceRequest,
)
from gooseberryrun._internal.coordination.serving._crash_guard import CrashGuard
from gooseberryrun._internal.coordination.serving._gossip import FANOUT
from gooseberryrun._internal.state import Clock, ManualClock
from gooseberryrun._internal.state.serving import (
    CrashEvidence,
    Suspicion,
    Trait,
    TraitKind,
)
from result import Err, Ok, Result

from tests.lib.fleet import (
    REFUSED,
    CountingPeers,
    GroupStore,
    make_members,
    make_runners,
    make_vm,
)

PART = Trait(TraitKind.PART, "p")
SWITCHES_PER_EXCHANGE = 4
"""Switches of green threads within which those of one round of gossip end."""


class KeepingStore(GroupStore):
    """Store that keeps suspicions; ``is_refusing`` makes all calls fail."""

    def __init__(self, members: dict[str, Any]) -> None:
        super().__init__(members)
        self.suspicions: dict[Trait, Suspicion] = {}

    def read_suspicions(self) -> Result[list[Suspicion], Any]:
        self.calls["read_suspicions"] += 1
        return Err(REFUSED) if self.is_refusing else Ok([*self.suspicions.values()])

    def write_suspicions(self, suspicions: list[Suspicion]) -> Result[None, Any]:
        self.calls["write_suspicions"] += 1
        if self.is_refusing:
            return Err(REFUSED)
        for suspicion in suspicions:
            self.suspicions.pop(suspicion.trait, None)
            if suspicion.crashes:
                self.suspicions[suspicion.trait] = suspicion
        return Ok(None)


class _Request:
    """What the guard needs of a request."""

    def __init__(self, traits: tuple[Trait, ...]) -> None:
        self.traits = traits
        self.is_begun = True
        self.is_answer_recorded = False
        self.metadata: Any = type("Metadata", (), {"request_id": "r1"})


class _Inbound:
    """Request between VMs; keeps the reply."""

    def __init__(self, sender: str) -> None:
        self.sender = sender
        self.answer: Any = None

    def reply(self, message: PeerMessage) -> None:
        self.answer = message


class Fleet:
    """Guards of many VMs whose notices are delivered one after another.

    VMs in ``cut_off`` reach only each other; ``held`` keep what they get until
    ``release``. ``lost_requests``, ``lost_replies`` and ``lost_notices`` are the
    numbers of the next ones that get lost. The VMs go by ``clock`` if it is given.
    """

    def __init__(self, domains: int, vms: int, clock: Clock | None = None) -> None:
        self.clock = ManualClock()
        self._vm_clock = clock or self.clock
        self._members = make_members(domains, vms)
        self.store = KeepingStore(self._members)
        self.runners = make_runners(domains, 8)
        self.guards: dict[str, CrashGuard] = {}
        self.queue: deque[tuple[str, str, EvidenceNotice]] = deque()
        self.held: dict[str, list[tuple[str, EvidenceNotice]]] = {}
        self.cut_off: set[str] = set()
        self.lost_requests = 0
        self.lost_replies = 0
        self.lost_notices = 0
        self.delivered = 0
        self.exchanges = 0
        for member in [m for group in self._members.values() for m in group]:
            self.start(member.vm)

    def start(self, vm: str) -> None:
        """Start or restart a VM, which knows nothing."""
        member = next(m for g in self._members.values() for m in g if m.vm == vm)
        ctx, peers = make_vm(member, self.store, self.runners, self._vm_clock)
        self.guards[vm] = CrashGuard(ctx)
        self._connect(vm, peers)

    def _connect(self, sender: str, peers: CountingPeers) -> None:
        def send_to(vm: str, message: PeerMessage) -> None:
            if self.lost_notices:
                self.lost_notices -= 1
            elif isinstance(message, EvidenceNotice) and self._is_linked(sender, vm):
                self.queue.append((sender, vm, message))

        def request_from(
            vm: str, message: PeerMessage, deadline: float
        ) -> Result[PeerMessage, PeerError]:
            if not self._is_linked(sender, vm) or not isinstance(
                message, EvidenceRequest
            ):
                return Err(PeerError(vm, "silent"))
            if self.lost_requests:
                self.lost_requests -= 1
                return Err(PeerError(vm, "silent"))
            self.exchanges += 1
            inbound: Any = _Inbound(sender)
            self.guards[vm].handle_evidence_request(inbound, message)
            if self.lost_replies:
                self.lost_replies -= 1
                return Err(PeerError(vm, "silent"))
            return Ok(inbound.answer)

        peers.send_to = send_to  # type: ignore[method-assign]
        peers.request_from = request_from  # type: ignore[method-assign]

    def _is_linked(self, one: str, other: str) -> bool:
        return (one in self.cut_off) == (other in self.cut_off)

    def deliver(self) -> None:
        """Deliver notices until there are none."""
        while self.queue:
            sender, vm, notice = self.queue.popleft()
            if vm in self.held:
                self.held[vm].append((sender, notice))
                continue
            self.guards[vm].handle_evidence_notice(sender, notice)
            self.delivered += 1

    def release(self, vm: str, *, is_last_first: bool = False) -> None:
        """Let a VM read what it was sent while it stood still."""
        held = self.held.pop(vm)
        for sender, notice in reversed(held) if is_last_first else held:
            self.guards[vm].handle_evidence_notice(sender, notice)
        self.deliver()

    def gossip(self, rounds: int = 1) -> None:
        """Let each VM tell some peers its digest, and these compare it."""
        for _ in range(rounds):
            for vm in self.guards:
                self.gossip_from(vm)

    def gossip_from(self, vm: str) -> None:
        """Let one VM tell some peers its digest, and these compare it."""
        others = [other for other in self.guards if other != vm]
        for other in random.sample(others, min(FANOUT, len(others))):
            if self._is_linked(vm, other):
                digest = self.evidence(vm).digest()
                self.guards[other].compare(vm, digest)
        for _ in range(SWITCHES_PER_EXCHANGE):
            eventlet.sleep(0)
        self.deliver()

    def evidence(self, vm: str) -> CrashEvidence:
        """Return what a VM knows."""
        return self.guards[vm]._evidence

    def counts(self, trait: Trait = PART) -> set[int]:
        """Return how many crashes the VMs blame on a trait."""
        return {self.evidence(vm).crash_count(trait) for vm in self.guards}

    def knowing(self) -> int:
        """Return the number of VMs that suspect the part."""
        return sum(bool(self.evidence(vm).crash_count(PART)) for vm in self.guards)

    def crash(
        self, vm: str, runner: int, at: float = 0.0, traits: tuple[Trait, ...] = (PART,)
    ) -> None:
        """Let a VM see a runner crash."""
        request: Any = _Request(traits)
        self.guards[vm].record_crash(request, self.runners[runner], at)

    def answer(
        self, vm: str, at: float = 0.5, traits: tuple[Trait, ...] = (PART,)
    ) -> None:
        """Let a VM see an answer begin."""
        request: Any = _Request(traits)
        self.guards[vm].record_answer(request, at)
