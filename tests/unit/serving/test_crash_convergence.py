"""VMs agree on which crashes an answer has cleared, whichever notices they missed."""

from __future__ import annotations

from dataclasses import replace

import pytest
from gooseberryrun._internal.state.serving import Trait, TraitKind
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.lib.evidence_fleet import PART, Fleet

ROUNDS = 4
"""Rounds of gossip within which VMs agree; a round takes half a second."""
CRASHES = 3


def make_suspecting(vms: int = 72) -> tuple[Fleet, list[str]]:
    """Return a fleet in which all VMs refuse the part, and the names of its VMs."""
    fleet = Fleet(3, vms)
    names = list(fleet.guards)
    for number in range(CRASHES):
        fleet.clock.now += 5.0
        fleet.crash(names[number], number, fleet.clock.now)
        fleet.deliver()
    fleet.gossip()
    assert fleet.counts() == {CRASHES}
    return fleet, names


def answer(fleet: Fleet, vm: str) -> None:
    fleet.clock.now += 1.0
    fleet.answer(vm, fleet.clock.now)
    fleet.deliver()


@pytest.mark.parametrize("vms", [9, 72, 440])
def test_vms_that_were_cut_off_learn_that_a_part_is_cleared(vms: int) -> None:
    """They refused the part for a minute, and so never saw an answer of their own."""
    fleet, names = make_suspecting(vms)
    fleet.cut_off = set(names[::3])
    answer(fleet, names[1])
    fleet.gossip(ROUNDS)
    assert fleet.knowing() == len(fleet.cut_off)
    fleet.cut_off = set()
    fleet.gossip(ROUNDS)
    assert fleet.counts() == {0}


def test_answer_that_only_a_vm_that_was_cut_off_has_seen_clears_the_part() -> None:
    fleet, names = make_suspecting()
    fleet.cut_off = {names[0]}
    answer(fleet, names[0])
    fleet.cut_off = set()
    fleet.gossip(ROUNDS)
    assert fleet.counts() == {0}


def test_answer_is_known_long_after_it() -> None:
    """Only answers of the last minute were told to a VM that reports a crash."""
    fleet, names = make_suspecting()
    fleet.cut_off = {names[0]}
    answer(fleet, names[1])
    fleet.clock.now += 70.0
    fleet.cut_off = set()
    fleet.gossip(ROUNDS)
    assert fleet.counts() == {0}


def test_new_vm_with_old_suspicions_learns_that_they_are_cleared() -> None:
    """Peers that suspect nothing were not compared with."""
    fleet, names = make_suspecting()
    kept = fleet.guards[names[0]]._all()
    answer(fleet, names[1])
    fleet.gossip(ROUNDS)
    for name in names[40:44]:
        fleet.start(name)
        fleet.guards[name].handle_evidence_notice(names[0], kept)
    fleet.deliver()
    fleet.gossip(ROUNDS)
    assert fleet.counts() == {0}


def test_vm_of_which_peers_hear_but_that_hears_of_none_is_cleared() -> None:
    """An idle VM may be told of by few peers, and be a contact of none."""
    fleet, names = make_suspecting()
    fleet.cut_off = {names[0]}
    answer(fleet, names[1])
    fleet.cut_off = set()
    fleet.gossip_from(names[0])
    assert not fleet.knowing()


def test_vm_that_hears_of_peers_of_which_none_hears_it_is_cleared() -> None:
    fleet, names = make_suspecting()
    fleet.cut_off = {names[0]}
    answer(fleet, names[1])
    fleet.cut_off = set()
    for name in names[1:]:
        fleet.gossip_from(name)
    assert not fleet.knowing()


def test_crash_report_that_arrives_after_its_clearing_is_not_blamed() -> None:
    """Notices pass through different peers, and may overtake each other."""
    fleet, names = make_suspecting()
    late = fleet.guards[names[0]]._all()
    fleet.start(names[5])
    fleet.held[names[5]] = []
    answer(fleet, names[1])
    fleet.release(names[5])
    fleet.guards[names[5]].handle_evidence_notice(names[0], late)
    fleet.gossip(ROUNDS)
    assert fleet.counts() == {0}


def test_agreeing_vms_exchange_nothing() -> None:
    fleet, names = make_suspecting()
    fleet.gossip(ROUNDS)
    exchanges = fleet.exchanges
    fleet.gossip(ROUNDS)
    assert fleet.exchanges == exchanges
    answer(fleet, names[1])
    fleet.gossip(ROUNDS)
    exchanges = fleet.exchanges
    fleet.gossip(ROUNDS)
    assert fleet.exchanges == exchanges


@pytest.mark.parametrize("vms", [72, 440])
def test_end_of_a_partition_takes_few_exchanges(vms: int) -> None:
    """Each VM would otherwise compare with each one of the other side."""
    fleet, names = make_suspecting(vms)
    fleet.cut_off = set(names[::3])
    answer(fleet, names[1])
    fleet.gossip(ROUNDS)
    fleet.cut_off = set()
    exchanges = fleet.exchanges
    delivered = fleet.delivered
    fleet.gossip(ROUNDS)
    assert fleet.exchanges - exchanges <= 8 * vms
    assert fleet.delivered - delivered <= 8 * vms


@pytest.mark.parametrize("lost", ["lost_requests", "lost_replies", "lost_notices"])
def test_exchange_that_failed_is_repeated(lost: str) -> None:
    """It counted as made, so it was not repeated until one of the VMs learned more."""
    fleet, names = make_suspecting(3)
    fleet.cut_off = {names[0]}
    answer(fleet, names[1])
    fleet.cut_off = set()
    setattr(fleet, lost, 2)
    fleet.gossip_from(names[0])
    assert fleet.knowing() == 1
    fleet.gossip_from(names[0])
    assert fleet.counts() == {0}


def test_clearing_that_is_read_late_clears_no_later_crash() -> None:
    """A VM that stood still took the answer for as late as it read it.

    The first crash after the answer is excused.
    """
    fleet, names = make_suspecting()
    still = names[5]
    fleet.held[still] = []
    answer(fleet, names[1])
    for number in range(2):
        fleet.clock.now += 5.0
        fleet.crash(names[number], CRASHES + number, fleet.clock.now)
        fleet.deliver()
    fleet.clock.now += 2.0
    fleet.release(still, is_last_first=True)
    fleet.gossip(ROUNDS)
    assert fleet.counts() == {1}


def test_crashes_that_are_read_together_count_as_those_read_in_time() -> None:
    """Crashes within a second count once, so the time of reading would lose some."""
    fleet = Fleet(3, 72)
    names = list(fleet.guards)
    still = names[5]
    fleet.held[still] = []
    for number in range(CRASHES):
        fleet.clock.now += 5.0
        fleet.crash(names[number], number, fleet.clock.now)
        fleet.deliver()
    fleet.release(still)
    fleet.gossip(ROUNDS)
    assert fleet.counts() == {CRASHES}


def test_answer_between_crashes_lowers_the_count_of_all_vms() -> None:
    """An answer was told only if it cleared all crashes, so counts stayed apart."""
    fleet, names = make_suspecting()
    fleet.answer(names[40], fleet.clock.now - 7.0)
    fleet.deliver()
    fleet.gossip(ROUNDS)
    assert fleet.counts() == {fleet.evidence(names[40]).crash_count(PART)}
    assert fleet.counts() != {CRASHES}


def test_recent_answer_that_excuses_a_crash_is_known_to_all() -> None:
    """VMs that missed the notice counted one crash more, and refused a crash sooner."""
    fleet = Fleet(3, 72)
    names = list(fleet.guards)
    fleet.answer(names[1], 0.0)
    fleet.cut_off = set(names[::3])
    for number in range(CRASHES):
        fleet.clock.now += 5.0
        fleet.crash(names[0], number, fleet.clock.now)
        fleet.deliver()
    fleet.cut_off = set()
    fleet.gossip(2 * ROUNDS)
    assert fleet.counts() == {CRASHES - 1}


OTHER = Trait(TraitKind.PART, "q")
VMS = 6
steps = st.lists(
    st.one_of(
        st.tuples(st.just("crash"), st.integers(0, VMS - 1), st.integers(0, 7)),
        st.tuples(st.just("answer"), st.integers(0, VMS - 1), st.integers(0, 2)),
        st.tuples(st.just("cut"), st.integers(0, VMS - 1), st.integers(0, VMS - 1)),
        st.tuples(st.just("hold"), st.integers(0, VMS - 1), st.just(0)),
        st.tuples(st.just("release"), st.integers(0, VMS - 1), st.integers(0, 1)),
        st.tuples(st.just("restart"), st.integers(0, VMS - 1), st.just(0)),
        st.tuples(st.just("lose"), st.integers(0, 4), st.integers(0, 2)),
        st.tuples(st.just("gossip"), st.just(0), st.just(0)),
    ),
    max_size=40,
)
TRAITS = [(PART,), (OTHER,), (PART, OTHER)]


def take_step(fleet: Fleet, names: list[str], step: tuple[str, int, int]) -> None:
    """Let one thing happen; a runner that crashed before crashes again as a new one."""
    kind, number, other = step
    fleet.clock.now += 0.7
    if kind == "crash":
        runner = fleet.runners[other]
        fleet.runners[other] = replace(runner, born_ms=runner.born_ms + 1)
        fleet.crash(names[number], other, fleet.clock.now, TRAITS[other % 3])
    elif kind == "answer":
        fleet.answer(names[number], fleet.clock.now, TRAITS[other])
    elif kind == "cut":
        fleet.cut_off = {names[number], names[other]}
    elif kind == "hold":
        fleet.held.setdefault(names[number], [])
    elif kind == "release" and names[number] in fleet.held:
        fleet.release(names[number], is_last_first=bool(other))
    elif kind == "restart":
        fleet.start(names[number])
    elif kind == "lose":
        fleet.lost_notices = number
        fleet.lost_requests = fleet.lost_replies = other
    elif kind == "gossip":
        fleet.gossip()
    fleet.deliver()


@settings(max_examples=300)
@given(steps)
def test_vms_agree_after_any_history(history: list[tuple[str, int, int]]) -> None:
    """Partitions, restarts, late and lost messages, in any order."""
    fleet = Fleet(3, VMS)
    names = list(fleet.guards)
    for step in history:
        take_step(fleet, names, step)
    fleet.cut_off = set()
    fleet.lost_notices = fleet.lost_requests = fleet.lost_replies = 0
    for name in list(fleet.held):
        fleet.release(name)
    fleet.gossip(2 * ROUNDS)
    assert len(fleet.counts(PART)) == 1
    assert len(fleet.counts(OTHER)) == 1
    assert len({fleet.evidence(name).digest() for name in names}) == 1
