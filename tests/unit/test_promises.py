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
    promises: dict[str, state.PromiseState] = field(default_factory=dict)
    votes: dict[str, dict[str, float]] = field(default_factory=dict)
    in_flight: list[tuple[float, str, str]] = field(default_factory=list)
    fencing: dict[str, state.FencingNumber] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for vm in VMS:
            self.promises[vm] = state.PromiseState(DURATION_S + MARGIN_S, 0.0)
            self.votes[vm] = {}

    def has_lease(self, owner: str) -> bool:
        needed = len(VMS) // 2 + 1
        fresh = [at for at in self.votes[owner].values() if self.now < at + DURATION_S]
        return len(fresh) >= needed


steps = st.lists(
    st.tuples(
        st.sampled_from(["advance", "claim", "ask", "deliver", "lose"]),
        st.integers(0, 2),
        st.integers(0, 2),
        st.floats(0.0, 4.0),
    ),
    max_size=60,
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(steps)
def test_two_owners_never_hold_a_lease_at_once(
    script: list[tuple[str, int, int, float]],
) -> None:
    world = World()
    offset = 0
    for action, first, second, seconds in script:
        owner, voter = VMS[first], VMS[second]
        if action == "advance":
            world.now += seconds
        elif action == "claim":
            offset += 1
            world.fencing[owner] = state.FencingNumber(offset)
        elif action == "ask" and owner in world.fencing:
            world.in_flight.append((world.now, owner, voter))
        elif world.in_flight:
            sent_at, asker, asked = world.in_flight.pop(second % len(world.in_flight))
            if action == "deliver":
                given_promise = world.promises[asked].request(
                    RUNNER, asker, asker, world.fencing[asker], world.now
                )
                if given_promise:
                    known = world.votes[asker].get(asked, float("-inf"))
                    world.votes[asker][asked] = max(known, sent_at)
        holders = [vm for vm in VMS if world.has_lease(vm)]
        assert len(holders) <= 1, holders


def test_a_fresh_voter_abstains_until_old_promises_have_run_out() -> None:
    promises = state.PromiseState(DURATION_S, abstain_until=3.0)
    assert not promises.request(RUNNER, "a", "1", state.FencingNumber(1), 2.9)
    assert promises.request(RUNNER, "a", "1", state.FencingNumber(1), 3.0)


def test_release_lets_a_successor_in_at_once() -> None:
    promises = state.PromiseState(DURATION_S, 0.0)
    assert promises.request(RUNNER, "a", "1", state.FencingNumber(1), 1.0)
    assert not promises.request(RUNNER, "b", "1", state.FencingNumber(2), 1.1)
    promises.release(RUNNER, "a", "1")
    assert promises.request(RUNNER, "b", "1", state.FencingNumber(2), 1.2)
    assert not promises.request(RUNNER, "a", "1", state.FencingNumber(1), 9.0)
