"""Leases counted from the promises of voters, on a clock that a test moves."""

from __future__ import annotations

from typing import Any

import gooseberryrun._internal.coordination as coordination
import gooseberryrun._internal.state as state
from result import Err, Result

from tests.lib.nodes import CFG, ENTRY_VMS

RUNNER = "engine-1"
FENCING = state.FencingNumber(7)


class SilentLog(coordination.Log):
    """Log that never answers."""

    def append(
        self, stream: str, writer: str, records: list[tuple[int, dict[str, Any]]]
    ) -> Result[int, coordination.LogError]:
        return Err(coordination.LogError(False))

    def read(
        self, stream: str, start: int, wait_s: float
    ) -> Result[coordination.LogRead, coordination.LogError]:
        return Err(coordination.LogError(False))


class SilentVmList(coordination.VmList):
    """List that never answers."""

    def fetch(self) -> Result[list[state.Vm], coordination.PlatformError]:
        return Err(coordination.PlatformError())


class RecordingPeers(coordination.Peers):
    """Peers that keep what was told."""

    def __init__(self) -> None:
        self.told: list[tuple[str, coordination.PeerMessage]] = []

    def send_to(self, vm: str, message: coordination.PeerMessage) -> None:
        self.told.append((vm, message))

    def ask(
        self, vm: str, message: coordination.PeerMessage, deadline: float
    ) -> Result[coordination.PeerMessage, coordination.PeerError]:
        return Err(coordination.PeerError(vm))


class Fixture:
    """Leases of VM ``a`` in a domain of three entry VMs."""

    def __init__(self) -> None:
        self.clock = state.ManualClock(100.0)
        self.peers = RecordingPeers()
        members = coordination.Membership(CFG, self.clock, SilentVmList(), "boot-a")
        members.take_list(ENTRY_VMS)
        log = SilentLog()
        replica = coordination.Replica(CFG, self.clock, log, self.peers, "boot-a")
        appender = coordination.Appender(CFG, self.clock, log, "boot-a")
        self.leases = coordination.Leases(
            CFG, self.clock, members, replica, appender, self.peers, "boot-a"
        )
        self.clock.now += 10.0
        ownership = state.Ownership("a", "boot-a", FENCING)
        self.leases.learn_owner(RUNNER, ownership)

    def beat(self) -> coordination.Heartbeat:
        """Send heartbeats and return the last one."""
        self.leases.tick()
        beats = [m for _, m in self.peers.told if isinstance(m, coordination.Heartbeat)]
        return beats[-1]

    def acknowledge(self, seq: int, refused: list[str] | None = None) -> None:
        """Let voter ``b`` answer a heartbeat."""
        ack = coordination.HeartbeatAck("b", "boot-b", seq, refused or [], [])
        self.leases.take_ack(ack)


def test_a_majority_is_needed() -> None:
    world = Fixture()
    beat = world.beat()
    assert not world.leases.is_valid(RUNNER)
    world.acknowledge(beat.seq)
    assert world.leases.is_valid(RUNNER, FENCING)
    assert not world.leases.is_valid(RUNNER, state.FencingNumber(6))


def test_a_refusal_is_no_promise() -> None:
    world = Fixture()
    world.acknowledge(world.beat().seq, refused=[RUNNER])
    assert not world.leases.is_valid(RUNNER)


def test_a_lease_lapses_without_new_promises() -> None:
    world = Fixture()
    world.acknowledge(world.beat().seq)
    world.clock.now += CFG.lease.duration_s - 0.1
    assert world.leases.is_valid(RUNNER)
    world.clock.now += 0.2
    assert not world.leases.is_valid(RUNNER)


def test_a_late_answer_counts_from_the_time_of_the_question() -> None:
    """A VM that was frozen reads old answers when it wakes; they give no lease."""
    world = Fixture()
    beat = world.beat()
    world.clock.now += CFG.lease.duration_s + 0.1
    world.acknowledge(beat.seq)
    world.leases.tick()
    assert not world.leases.is_valid(RUNNER)


def test_a_higher_number_ends_ownership_at_once() -> None:
    world = Fixture()
    world.acknowledge(world.beat().seq)
    higher = state.Ownership("b", "boot-b", state.FencingNumber(8))
    world.leases.learn_owner(RUNNER, higher)
    assert not world.leases.is_valid(RUNNER)
    assert world.leases.owned() == {}
    released = [
        m for _, m in world.peers.told if isinstance(m, coordination.LeaseRelease)
    ]
    assert released
