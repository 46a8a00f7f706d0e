"""Slots of one plain server: order, deadlines and bounds, in virtual time."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from gooseberryrun._internal.state.serving.admission import (
    Claim,
    ExpectedSlotWaits,
    FairShares,
    SlotClaim,
    SlotOutcome,
    SlotQueue,
    SlotSearch,
    choose_displaced,
    due_in_s,
)
from gooseberryrun._internal.state.serving.admission._slot_queue import (
    MAX_RETRY_S,
    MAX_WAITING,
)
from gooseberryrun._internal.state.serving.admission._slot_search import MAX_ASKS
from hypothesis import given
from hypothesis import strategies as st

SLOTS = 6
LIMIT = 8
DUE_S = 5.0


def claim(
    ticket: int,
    now: float = 0.0,
    account: str = "",
    priority: int = 1,
    due_s: float = DUE_S,
    max_wait_s: float = float("inf"),
) -> SlotClaim:
    """Return a claim made at ``now``."""
    return SlotClaim(
        "vm",
        ticket,
        f"r{ticket}",
        account,
        priority,
        now + due_s,
        now + 2 * due_s,
        max_wait_s,
    )


def full_queue() -> SlotQueue:
    """Return a queue without any free slot, with tickets from 1000 on in use."""
    queue = SlotQueue(SLOTS)
    for ticket in range(1000, 1000 + LIMIT):
        assert queue.ask(claim(ticket, account="x"), 0.0).outcome is SlotOutcome.GRANTED
    return queue


def serve(queue: SlotQueue, count: int, now: float = 1.0) -> list[SlotClaim]:
    """End grants one after another; return the claims that get their slots."""
    found: list[SlotClaim] = []
    for _ in range(count):
        vm, ticket = next(iter(queue._grants))
        queue.release(vm, ticket, is_answered=False, now=now)
        found += queue.advance(now).granted
    return found


def test_no_more_slots_are_granted_than_the_server_has_and_a_few() -> None:
    queue = full_queue()
    assert queue.ask(claim(1), 0.0).outcome is SlotOutcome.WAITING
    assert (queue.in_use, queue.waiting) == (LIMIT, 1)
    assert [c.ticket for c in serve(queue, 1)] == [1]


def test_accounts_with_waiting_requests_take_turns() -> None:
    """Guards against an account that gets slots for having more requests."""
    queue = full_queue()
    for ticket in range(20):
        queue.ask(claim(ticket, account="many"), 0.0)
    for ticket in range(20, 25):
        queue.ask(claim(ticket, account="few"), 0.0)
    first = Counter(c.account for c in serve(queue, 10))
    assert first["few"] == 5


def test_urgent_requests_go_first_whatever_their_account_has_had() -> None:
    queue = full_queue()
    queue.ask(claim(1, account="a"), 0.0)
    for ticket in range(2, 6):
        queue.ask(claim(ticket, account="x", priority=0), 0.0)
    assert [c.ticket for c in serve(queue, 5)] == [2, 3, 4, 5, 1]


def test_request_of_one_account_are_served_in_the_order_of_arrival() -> None:
    queue = full_queue()
    for ticket in range(10):
        queue.ask(claim(ticket), 0.0)
    assert [c.ticket for c in serve(queue, 10)] == list(range(10))


def test_withdrawn_requests_cost_their_account_nothing() -> None:
    queue = full_queue()
    for ticket in range(10):
        queue.ask(claim(ticket, account="a"), 0.0)
    for ticket in range(9):
        queue.release("vm", ticket, is_answered=False, now=0.1)
    queue.ask(claim(20, account="b"), 0.2)
    queue.ask(claim(21, account="b"), 0.2)
    assert [c.ticket for c in serve(queue, 3)] == [9, 20, 21]


def test_request_that_would_be_late_is_refused_at_once_with_a_time() -> None:
    queue = full_queue()
    for ticket in range(10):
        queue.ask(claim(ticket), 0.0)
    decision = queue.ask(claim(20, due_s=0.12), 0.0)
    assert decision.outcome is SlotOutcome.REFUSED
    assert decision.wait_s <= decision.retry_in_s <= MAX_RETRY_S


def test_refused_requests_are_told_different_times() -> None:
    """Guards against refused requests that all return at once."""
    queue = full_queue()
    for ticket in range(10):
        queue.ask(claim(ticket), 0.0)
    times = [queue.ask(claim(20 + n, due_s=0.12), 0.0).retry_in_s for n in range(1000)]
    steps = [
        after - before for before, after in zip(times[:50], times[1:51], strict=True)
    ]
    assert min(steps) >= queue.interval_s
    assert max(times) <= MAX_RETRY_S


def test_request_that_waits_in_vain_is_ended_at_its_deadline() -> None:
    queue = full_queue()
    queue.ask(claim(1, due_s=0.2), 0.0)
    change_at = queue.next_change_at()
    assert change_at is not None and change_at < 0.2
    changes = queue.advance(change_at)
    assert [c.ticket for c in changes.expired] == [1]
    assert queue.next_change_at() is None


def test_slots_of_a_vm_that_is_gone_are_granted_again() -> None:
    """Guards against slots that a killed VM keeps for ever."""
    queue = SlotQueue(SLOTS)
    for ticket in range(LIMIT):
        queue.ask(claim(ticket, due_s=0.5), 0.0)
    queue.ask(claim(20), 0.0)
    assert queue.next_change_at() == 1.0
    assert [c.ticket for c in queue.advance(1.0).granted] == [20]


def test_request_that_is_late_anyhow_waits_behind_those_in_time() -> None:
    queue = full_queue()
    overdue = SlotClaim("vm", 3, "r3", "", 1, 0.01, 5.0)
    assert queue.ask(overdue, 0.0).outcome is SlotOutcome.WAITING
    queue.ask(claim(4), 0.0)
    assert [c.ticket for c in serve(queue, 2)] == [4, 3]


def test_request_with_a_longest_wait_is_not_queued_beyond_it() -> None:
    queue = full_queue()
    for ticket in range(10):
        queue.ask(claim(ticket), 0.0)
    decision = queue.ask(claim(20, max_wait_s=0.02), 0.0)
    assert decision.outcome is SlotOutcome.BUSY
    assert (queue.waiting, decision.retry_in_s) == (10, 0.0)


def test_full_queue_makes_room_for_an_account_with_fewer_requests() -> None:
    queue = full_queue()
    for ticket in range(MAX_WAITING):
        assert queue.ask(claim(ticket, account="many"), 0.0).displaced == ()
    again = queue.ask(claim(100, account="many"), 0.0)
    assert again.outcome is SlotOutcome.REFUSED
    decision = queue.ask(claim(101, account="few"), 0.0)
    assert decision.outcome is SlotOutcome.WAITING
    assert [c.ticket for c in decision.displaced] == [MAX_WAITING - 1]
    assert queue.waiting == MAX_WAITING


def test_requests_that_others_overtook_are_told_at_once() -> None:
    """Guards against requests that wait until they are late, and only then go on."""
    queue = full_queue()
    for ticket in range(8):
        queue.ask(claim(ticket, account="many", due_s=0.15), 0.0)
    found: list[SlotClaim] = []
    for ticket in range(20, 30):
        found += queue.ask(claim(ticket, account=f"a{ticket}"), 0.0).displaced
    assert found and all(c.account == "many" for c in found)


def test_wait_follows_the_time_that_the_server_takes() -> None:
    """Guards against a queue that keeps more requests than a slow server bears."""
    queue = SlotQueue(SLOTS)
    now = 0.0
    for ticket in range(200):
        queue.ask(claim(ticket, now), now)
        now += 0.3
        queue.release("vm", ticket, is_answered=True, now=now)
    assert queue.interval_s == pytest.approx(0.3 / SLOTS, rel=0.01)


def test_longer_requests_count_more_than_shorter_ones() -> None:
    """Guards against shares that are counted in requests instead of slot time."""
    queue = SlotQueue(1)
    rng = random.Random(3)
    work_s = {"long": 0.09, "short": 0.03}
    used = dict.fromkeys(work_s, 0.0)
    ends: list[tuple[int, str]] = []
    now = 0.0
    ticket = 0
    waiting: Counter[str] = Counter()
    while now < 60.0:
        for account in work_s:
            while waiting[account] < 4:
                ticket += 1
                waiting[account] += 1
                decision = queue.ask(claim(ticket, now, account), now)
                if decision.outcome is SlotOutcome.GRANTED:
                    waiting[account] -= 1
                    ends.append((ticket, account))
        # The server works on one request at a time, in the order of the grants.
        done, name = ends.pop(0)
        took_s = work_s[name] * rng.uniform(0.9, 1.1)
        now += took_s
        used[name] += took_s
        queue.release("vm", done, is_answered=True, now=now)
        for granted in queue.advance(now).granted:
            waiting[granted.account] -= 1
            ends.append((granted.ticket, granted.account))
    share = used["long"] / sum(used.values())
    assert 0.4 <= share <= 0.6


@given(st.integers(0, 10_000))
def test_invariants_hold_in_any_sequence(seed: int) -> None:
    """Guards against lost or doubled claims, idle slots and overtaking."""
    rng = random.Random(seed)
    queue = SlotQueue(rng.randint(1, 4))
    held: set[int] = set()
    waiting: dict[int, SlotClaim] = {}
    now = 0.0
    for ticket in range(150):
        now += rng.expovariate(20.0)
        changes = queue.advance(now)
        for granted in changes.granted:
            urgency = min((c.priority for c in waiting.values()), default=9)
            assert granted.priority <= urgency or changes.expired
            del waiting[granted.ticket]
            held.add(granted.ticket)
        for expired in changes.expired:
            del waiting[expired.ticket]
        held &= {ticket for _, ticket in queue._grants}
        new = claim(
            ticket,
            now,
            account=rng.choice("abc"),
            priority=rng.randint(0, 2),
            due_s=rng.choice([0.1, 0.5, 3.0]),
        )
        decision = queue.ask(new, now)
        if decision.outcome is SlotOutcome.GRANTED:
            held.add(ticket)
        elif decision.outcome is SlotOutcome.WAITING:
            waiting[ticket] = new
        for displaced in decision.displaced:
            del waiting[displaced.ticket]
        assert len(held) == queue.in_use <= queue.limit
        assert len(waiting) == queue.waiting <= MAX_WAITING
        assert queue.in_use == queue.limit or not waiting
        if held and rng.random() < 0.5:
            done = rng.choice(sorted(held))
            held.discard(done)
            queue.release("vm", done, rng.random() < 0.8, now)


def test_shares_of_gone_accounts_are_dropped() -> None:
    """Guards against memory that grows with all accounts ever seen."""
    shares = FairShares(2.0)
    for number in range(5000):
        shares.charge(number % 3, f"account-{number}", 1.0)
        shares.charge(number % 3, "busy", 1.0)
    assert all(len(c.finishes) < 100 for c in shares._classes.values())
    for number in range(1000):
        shares.charge(number, "a", 1.0)
    assert len(shares._classes) <= 16


def test_order_of_one_account_is_its_own_order() -> None:
    """Guards against another order where a deployment has no accounts."""
    rng = random.Random(1)
    claims = [
        Claim("", rng.randint(0, 2), rng.random() < 0.3, 5.0, rng.uniform(0, 9))
        for _ in range(40)
    ]
    ranks = FairShares(2.0).ranks(claims)
    by_rank = sorted(range(40), key=lambda n: ranks[n])
    own = sorted(
        range(40),
        key=lambda n: (claims[n].priority, claims[n].is_late, claims[n].order),
    )
    assert by_rank == own


def test_less_urgent_claim_makes_way_and_a_more_urgent_one_never() -> None:
    shares = FairShares(0.0)
    claims = [Claim("a", 1, False, 1.0, n) for n in range(3)]
    claims.append(Claim("b", 2, False, 1.0, 9))
    ranks = shares.ranks(claims)
    assert choose_displaced(claims, ranks, Claim("a", 1, False, 1.0, 10)) == 3
    assert (
        choose_displaced(claims[:3], ranks[:3], Claim("b", 2, False, 1.0, 10)) is None
    )
    assert choose_displaced(claims[:3], ranks[:3], Claim("b", 1, False, 1.0, 10)) == 2


def test_search_asks_a_bounded_number_of_times_and_waits_in_the_end() -> None:
    search = SlotSearch()
    waits = []
    while not search.is_spent:
        waits.append(search.begin(f"s{search.asks}", 30, 0.2))
    assert len(waits) == MAX_ASKS
    assert waits[0] == pytest.approx(0.02) and waits[-1] == float("inf")
    assert SlotSearch().begin("s", 1, 0.2) == float("inf")


def test_response_is_due_before_its_target_or_the_end() -> None:
    assert due_in_s(0.05, 0.2, 1.0) == pytest.approx(0.12)
    assert due_in_s(0.05, 0.0, 1.0) == 1.0
    assert due_in_s(0.0, 5.0, 1.0) == 1.0


def test_expected_wait_passes_and_is_kept_by_account() -> None:
    waits = ExpectedSlotWaits()
    waits.record("s", "a", 0.2, 1.0)
    assert waits.wait_s("s", "a", 1.1) == pytest.approx(0.1)
    assert waits.wait_s("s", "b", 1.1) == 0.0
    waits.record("s", "a", 0.0, 1.1)
    assert waits.wait_s("s", "a", 1.1) == 0.0
    for number in range(1000):
        waits.record(f"s{number}", "a", 0.01, 2.0 + number)
    assert len(waits._free_at) <= 2
