"""Leases as majorities of promises: two owners never hold one at a time."""

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
class World:
    """Voters and owners on one true clock; messages may be late or lost."""

    now: float = 0.0
    promises: dict[str, state.LeaseVoteState] = field(default_factory=dict)
    votes: dict[str, dict[str, float]] = field(default_factory=dict)
    in_flight: list[tuple[float, str, str]] = field(default_factory=list)
    fencing: dict[str, state.FencingNumber] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for vm in VMS:
            self.promises[vm] = state.LeaseVoteState(DURATION_S + MARGIN_S, 0.0)
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


def deliver(world: World, sent_at: float, owner: str, voter: str) -> None:
    """Let a voter decide on a request that was sent earlier."""
    promised = world.promises[voter].request(
        RUNNER, owner, owner, world.fencing[owner], world.now
    )
    if promised:
        known = world.votes[owner].get(voter, float("-inf"))
        world.votes[owner][voter] = max(known, sent_at)


@settings(max_examples=500, derandomize=True, deadline=None)
@given(steps)
def test_two_owners_never_hold_a_lease_at_once(
    script: list[tuple[str, int, list[str], float]],
) -> None:
    world = World()
    offset = 0
    for action, number, fates, seconds in script:
        owner = VMS[number]
        if action == "advance":
            world.now += seconds
        elif action == "claim" or owner not in world.fencing:
            offset += 1
            world.fencing[owner] = state.FencingNumber(offset)
        elif action == "ask":
            for voter, fate in zip(VMS, fates, strict=True):
                if fate == "now":
                    deliver(world, world.now, owner, voter)
                elif fate == "late":
                    world.in_flight.append((world.now, owner, voter))
        elif world.in_flight:
            deliver(world, *world.in_flight.pop(0))
        holders = [vm for vm in VMS if world.has_lease(vm)]
        assert len(holders) <= 1, holders


def test_a_fresh_voter_abstains_until_old_promises_have_run_out() -> None:
    promises = state.LeaseVoteState(DURATION_S, abstain_until=3.0)
    assert not promises.request(RUNNER, "a", "1", state.FencingNumber(1), 2.9)
    assert promises.request(RUNNER, "a", "1", state.FencingNumber(1), 3.0)


def test_release_lets_a_successor_in_at_once() -> None:
    promises = state.LeaseVoteState(DURATION_S, 0.0)
    assert promises.request(RUNNER, "a", "1", state.FencingNumber(1), 1.0)
    assert not promises.request(RUNNER, "b", "1", state.FencingNumber(2), 1.1)
    promises.release(RUNNER, "a", "1")
    assert promises.request(RUNNER, "b", "1", state.FencingNumber(2), 1.2)
    assert not promises.request(RUNNER, "a", "1", state.FencingNumber(1), 9.0)
