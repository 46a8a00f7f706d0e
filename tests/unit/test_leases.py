"""Lease validity as derived from the promises of voters, on a manual clock."""

from __future__ import annotations

from typing import Any

import gooseberryrun._internal.coordination as coordination
import gooseberryrun._internal.state as state
from result import Err, Result

from tests.lib.nodes import CFG, ENTRY_VMS

RUNNER = "engine-1"
FENCING = state.FencingNumber(7)


class UnreachableLog(coordination.Log):
    """Log whose calls all fail."""

    def append(
        self, stream: str, writer: str, records: list[tuple[int, dict[str, Any]]]
    ) -> Result[int, coordination.LogError]:
        return Err(coordination.LogError(False))

    def read(
        self, stream: str, start: int, wait_s: float
    ) -> Result[coordination.LogRead, coordination.LogError]:
        return Err(coordination.LogError(False))


class UnreachableVmList(coordination.VmList):
    """VM list whose reads all fail."""

    def fetch(self) -> Result[list[state.Vm], coordination.PlatformError]:
        return Err(coordination.PlatformError())


class RecordingPeers(coordination.Peers):
    """Peers that record the messages sent to them."""

    def __init__(self) -> None:
        self.sent_messages: list[tuple[str, coordination.PeerMessage]] = []

    def send_to(self, vm: str, message: coordination.PeerMessage) -> None:
        self.sent_messages.append((vm, message))

    def request_from(
        self, vm: str, message: coordination.PeerMessage, deadline: float
    ) -> Result[coordination.PeerMessage, coordination.PeerError]:
        return Err(coordination.PeerError(vm))


class Fixture:
    """Leases of VM ``a`` in a domain of three entry VMs."""

    def __init__(self) -> None:
        self.clock = state.ManualClock(100.0)
        self.peers = RecordingPeers()
        members = coordination.Membership(
            CFG, self.clock, UnreachableVmList(), "boot-a"
        )
        members.update_list(ENTRY_VMS)
        log = UnreachableLog()
        replica = coordination.Replica(CFG, self.clock, log, self.peers, "boot-a")
        appender = coordination.Appender(CFG, self.clock, log, "boot-a")
        self.leases = coordination.Leases(
            CFG, self.clock, members, replica, appender, self.peers, "boot-a"
        )
        self.clock.now += 10.0
        ownership = state.Ownership("a", "boot-a", FENCING)
        self.leases.record_owner(RUNNER, ownership)

    def send_heartbeats(self) -> coordination.Heartbeat:
        """Send heartbeats and return the last one."""
        self.leases.tick()
        heartbeats = [
            m
            for _, m in self.peers.sent_messages
            if isinstance(m, coordination.Heartbeat)
        ]
        return heartbeats[-1]

    def acknowledge(self, seq: int, refused: list[str] | None = None) -> None:
        """Acknowledge a heartbeat as voter ``b``."""
        ack = coordination.HeartbeatAck("b", "boot-b", seq, refused or [], [])
        self.leases.handle_ack(ack)


def test_a_majority_is_needed() -> None:
    fixture = Fixture()
    heartbeat = fixture.send_heartbeats()
    assert not fixture.leases.is_valid(RUNNER)
    fixture.acknowledge(heartbeat.seq)
    assert fixture.leases.is_valid(RUNNER, FENCING)
    assert not fixture.leases.is_valid(RUNNER, state.FencingNumber(6))


def test_a_refusal_is_no_promise() -> None:
    fixture = Fixture()
    fixture.acknowledge(fixture.send_heartbeats().seq, refused=[RUNNER])
    assert not fixture.leases.is_valid(RUNNER)


def test_a_lease_lapses_without_new_promises() -> None:
    fixture = Fixture()
    fixture.acknowledge(fixture.send_heartbeats().seq)
    fixture.clock.now += CFG.lease.duration_s - 0.1
    assert fixture.leases.is_valid(RUNNER)
    fixture.clock.now += 0.2
    assert not fixture.leases.is_valid(RUNNER)


def test_a_late_answer_counts_from_the_time_of_the_question() -> None:
    """A VM that was paused past its lease reads old acknowledgements on resuming."""
    fixture = Fixture()
    heartbeat = fixture.send_heartbeats()
    fixture.clock.now += CFG.lease.duration_s + 0.1
    fixture.acknowledge(heartbeat.seq)
    fixture.leases.tick()
    assert not fixture.leases.is_valid(RUNNER)


def test_a_higher_number_ends_ownership_at_once() -> None:
    fixture = Fixture()
    fixture.acknowledge(fixture.send_heartbeats().seq)
    higher = state.Ownership("b", "boot-b", state.FencingNumber(8))
    fixture.leases.record_owner(RUNNER, higher)
    assert not fixture.leases.is_valid(RUNNER)
    assert fixture.leases.owned() == {}
    released = [
        m
        for _, m in fixture.peers.sent_messages
        if isinstance(m, coordination.LeaseRelease)
    ]
    assert released
