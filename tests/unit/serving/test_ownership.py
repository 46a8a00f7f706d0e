"""Owners of runners: one at a time, whatever the store does with the shares."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import (
    Assignment,
    Holder,
    OwnershipState,
    share_of,
)

TTL_S = 4.0
MARGIN_S = 0.5
TURN_S = 3.0
RUNNER = "i-1"
SHARE = share_of(RUNNER)


def make_state() -> OwnershipState:
    return OwnershipState(TTL_S, MARGIN_S, TURN_S)


def holding(generation: int, *shares: int) -> Assignment:
    return Assignment(generation, frozenset(shares))


def test_new_owner_waits_for_a_lease_that_it_cannot_see_the_end_of() -> None:
    state = make_state()
    state.renew(holding(5, SHARE), {}, 10.0, 10.0)
    assert state.fencing_token(RUNNER, 10.1) is None
    state.renew(holding(5, SHARE), {}, 13.0, 13.0)
    assert state.fencing_token(RUNNER, 13.9) is None
    assert state.fencing_token(RUNNER, 14.1) == 5


def test_word_of_the_earlier_owner_ends_the_wait() -> None:
    state = make_state()
    earlier = {SHARE: Holder("vm-a", 4)}
    state.renew(holding(5, SHARE), earlier, 10.0, 10.0)
    state.hear_release(Holder("vm-b", 5), [SHARE], 10.1)
    assert state.fencing_token(RUNNER, 10.2) is None
    state.hear_release(Holder("vm-a", 4), [SHARE], 10.3)
    assert state.fencing_token(RUNNER, 10.4) == 5


def test_word_from_an_earlier_holding_does_not_count() -> None:
    state = make_state()
    state.hear_release(Holder("vm-a", 3), [SHARE], 9.0)
    state.renew(holding(5, SHARE), {SHARE: Holder("vm-a", 4)}, 10.0, 10.0)
    assert state.fencing_token(RUNNER, 10.1) is None


def test_share_taken_back_soon_waits_so_that_owners_do_not_take_turns() -> None:
    state = make_state()
    state.resume({SHARE}, 0.0)
    state.renew(holding(5, SHARE), {}, 1.0, 1.0)
    assert state.renew(holding(6), {}, 2.0, 2.0) == frozenset({SHARE})
    state.hear_release(Holder("vm-b", 7), [SHARE], 3.0)
    state.renew(holding(7, SHARE), {SHARE: Holder("vm-b", 6)}, 3.1, 3.1)
    assert state.fencing_token(RUNNER, 4.9) is None
    assert state.fencing_token(RUNNER, 5.1) == 7


def test_no_orders_after_the_lease_even_if_the_vm_was_suspended() -> None:
    state = make_state()
    state.resume({SHARE}, 0.0)
    state.renew(holding(5, SHARE), {}, 1.0, 1.0)
    assert state.fencing_token(RUNNER, 4.4) == 5
    assert state.fencing_token(RUNNER, 4.6) is None


def test_owner_whose_lease_ran_out_starts_again_as_a_new_one() -> None:
    state = make_state()
    state.resume({SHARE}, 0.0)
    state.renew(holding(5, SHARE), {}, 1.0, 1.0)
    state.renew(holding(9, SHARE), {SHARE: Holder("vm-b", 8)}, 20.0, 20.0)
    assert state.fencing_token(RUNNER, 20.1) is None


def test_replaced_process_takes_up_its_shares_at_once() -> None:
    state = make_state()
    state.resume({SHARE}, 0.0)
    state.renew(holding(5, SHARE), {SHARE: Holder("vm-self", 5)}, 0.1, 0.1)
    assert state.fencing_token(RUNNER, 0.2) == 5


def test_replaced_process_orders_nothing_before_it_knows_the_generation() -> None:
    """Replays crashing-requests: orders with token 0 while the store was slow."""
    state = make_state()
    state.resume({SHARE}, 0.0)
    assert state.fencing_token(RUNNER, 0.1) is None
    state.renew(holding(36, SHARE), {}, 0.2, 0.2)
    assert state.fencing_token(RUNNER, 0.3) == 36


def test_outage_without_any_change_leaves_the_shares_with_their_owner() -> None:
    state = make_state()
    state.resume({SHARE}, 0.0)
    state.renew(holding(5, SHARE), {}, 1.0, 1.0)
    assert state.fencing_token(RUNNER, 8.0) is None
    state.renew(holding(5, SHARE), {}, 9.0, 9.0)
    assert state.fencing_token(RUNNER, 9.1) == 5


def test_lease_is_extended_only_while_it_is_unbroken() -> None:
    """Replays trouble-3: the store was away from every VM for 8 s."""
    state = make_state()
    state.resume({SHARE}, 0.0)
    state.renew(holding(5, SHARE), {}, 1.0, 1.0)
    for step in range(30):
        now = 4.0 + step * 0.2
        state.extend(now, now + 0.6)
    assert state.fencing_token(RUNNER, 10.0) == 5
    assert state.fencing_token(RUNNER, 10.9) is None
    state.extend(11.0, 11.6)
    assert state.fencing_token(RUNNER, 11.1) is None


def test_token_stays_the_same_while_a_share_is_held() -> None:
    """Replays cuts-and-clocks, seed 555079413649: an order that was held up came late.

    The group had changed meanwhile, so its token was lower than its successor's.
    """
    state = make_state()
    state.resume({SHARE}, 0.0)
    state.renew(holding(76, SHARE), {}, 1.0, 1.0)
    state.renew(holding(77, SHARE), {}, 2.0, 2.0)
    assert state.fencing_token(RUNNER, 2.1) == 76


def test_token_of_a_later_holding_is_higher_and_never_goes_down() -> None:
    state = make_state()
    state.resume({SHARE}, 0.0)
    state.renew(holding(8, SHARE), {}, 1.0, 1.0)
    state.renew(holding(7, SHARE), {}, 2.0, 2.0)
    assert state.fencing_token(RUNNER, 2.1) == 8
    state.renew(holding(9), {}, 3.0, 3.0)
    state.hear_release(Holder("vm-b", 10), [SHARE], 6.0)
    state.renew(holding(11, SHARE), {SHARE: Holder("vm-b", 10)}, 6.1, 6.1)
    assert state.fencing_token(RUNNER, 6.2) == 11
