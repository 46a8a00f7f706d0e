"""Leases as majorities of votes: no two owners hold one lease at the same time."""

from __future__ import annotations

from dataclasses import dataclass, field

import gooseberryrun._internal.state as state
from hypothesis import given, settings
from hypothesis import strategies as st

DURATION_S = 3.0
MARGIN_S = 0.3
VMS = ("a", "b", "c")
RUNNER = "r"


@dataclass
class Simulation:
    """Voters and owners on one shared clock; messages may be delayed or lost."""

    now: float = 0.0
    voters: dict[str, state.LeaseVoteState] = field(default_factory=dict)
    votes: dict[str, dict[str, float]] = field(default_factory=dict)
    in_flight: list[tuple[float, str, str]] = field(default_factory=list)
    fencing: dict[str, state.FencingNumber] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for vm in VMS:
            self.voters[vm] = state.LeaseVoteState(DURATION_S + MARGIN_S, 0.0)
            self.votes[vm] = {}

    def has_lease(self, owner: str) -> bool:
        needed = len(VMS) // 2 + 1
        fresh = [at for at in self.votes[owner].values() if self.now < at + DURATION_S]
        return len(fresh) >= needed


steps = st.lists(
    st.tuples(
        st.sampled_from(["advance", "claim", "ask", "ask", "late"]),
        st.integers(0, 2),
        st.lists(
            st.sampled_from(["now", "now", "late", "lost"]), min_size=3, max_size=3
        ),
        st.sampled_from([0.1, 0.5, 1.0, 2.9, 3.1, 3.4]),
    ),
    max_size=40,
)


def deliver(simulation: Simulation, sent_at: float, owner: str, voter: str) -> None:
    """Deliver a vote request sent at ``sent_at``; a vote counts from that time."""
    granted = simulation.voters[voter].request(
        RUNNER, owner, owner, simulation.fencing[owner], simulation.now
    )
    if granted:
        known = simulation.votes[owner].get(voter, float("-inf"))
        simulation.votes[owner][voter] = max(known, sent_at)


@settings(max_examples=500, derandomize=True, deadline=None)
@given(steps)
def test_two_owners_never_hold_a_lease_at_once(
    script: list[tuple[str, int, list[str], float]],
) -> None:
    simulation = Simulation()
    offset = 0
    for action, number, deliveries, seconds in script:
        owner = VMS[number]
        if action == "advance":
            simulation.now += seconds
        elif action == "claim" or owner not in simulation.fencing:
            offset += 1
            simulation.fencing[owner] = state.FencingNumber(offset)
        elif action == "ask":
            for voter, delivery in zip(VMS, deliveries, strict=True):
                if delivery == "now":
                    deliver(simulation, simulation.now, owner, voter)
                elif delivery == "late":
                    simulation.in_flight.append((simulation.now, owner, voter))
        elif simulation.in_flight:
            deliver(simulation, *simulation.in_flight.pop(0))
        holders = [vm for vm in VMS if simulation.has_lease(vm)]
        assert len(holders) <= 1, holders


def test_a_fresh_voter_abstains_until_old_promises_have_run_out() -> None:
    voter = state.LeaseVoteState(DURATION_S, abstain_until=3.0)
    assert not voter.request(RUNNER, "a", "1", state.FencingNumber(1), 2.9)
    assert voter.request(RUNNER, "a", "1", state.FencingNumber(1), 3.0)


def test_release_lets_a_successor_in_at_once() -> None:
    voter = state.LeaseVoteState(DURATION_S, 0.0)
    assert voter.request(RUNNER, "a", "1", state.FencingNumber(1), 1.0)
    assert not voter.request(RUNNER, "b", "1", state.FencingNumber(2), 1.1)
    voter.release(RUNNER, "a", "1")
    assert voter.request(RUNNER, "b", "1", state.FencingNumber(2), 1.2)
    assert not voter.request(RUNNER, "a", "1", state.FencingNumber(1), 9.0)
