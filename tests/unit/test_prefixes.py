"""Prefix caches as rebuilt from delayed events with gaps, and placement by them."""

from __future__ import annotations

import gooseberryrun._internal.coordination as coordination
import gooseberryrun._internal.state as state
from gooseberryrun._internal.protocol import hash_prefix
from hypothesis import given
from hypothesis import strategies as st
from result import Ok, Result

from tests.lib.nodes import CFG

Step = tuple[int, bool, bool]
STEPS = st.lists(st.tuples(st.integers(0, 3), st.booleans(), st.booleans()))


@given(STEPS)
def test_no_belief_survives_a_gap_that_may_have_undone_it(steps: list[Step]) -> None:
    """After each received event the view agrees with the cache at that moment.

    A lost event may have added or removed any prefix, so state from before a gap that
    is still reported could be wrong.
    """
    cache = state.PrefixCacheView()
    actual_cache: dict[str, bool] = {}
    for seq, (number, cached, lost) in enumerate(steps, 1):
        actual_cache[f"p{number}"] = cached
        if lost:
            continue
        cache.apply_events([state.CacheEvent(seq, f"p{number}", cached)])
        for prefix, actual in actual_cache.items():
            assert cache.is_cached(prefix) in (actual, None)


def test_restarted_runner_holds_nothing() -> None:
    cache = state.PrefixCacheView()
    cache.apply_events([state.CacheEvent(5, "p", True)])
    assert cache.is_cached("p")
    cache.reset_view()
    assert cache.is_cached("p") is None
    cache.apply_events([state.CacheEvent(1, "p", True)])
    assert cache.is_cached("p")


def test_prompts_with_one_beginning_share_a_prefix() -> None:
    system = {"role": "system", "content": "Fold guides."}
    chats = [[system, {"role": "user", "content": text}] for text in ("a", "b")]
    assert hash_prefix("m@1", chats[0]) == hash_prefix("m@1", chats[1])
    assert hash_prefix("m@1", chats[0]) != hash_prefix("m@2", chats[0])
    assert hash_prefix("m@1", "x" * 300 + "a") == hash_prefix("m@1", "x" * 300 + "b")


class FixedVmList(coordination.VmList):
    """VM list of five engines in one failure domain."""

    def fetch(self) -> Result[list[state.Vm], coordination.PlatformError]:
        return Ok(
            [
                state.Vm(
                    f"engine-{n}",
                    state.VmKind.ENGINE,
                    "d",
                    f"127.0.0.{n}",
                    1,
                    slots=4,
                    batch=8,
                )
                for n in range(5)
            ]
        )


class Fixture:
    """Placement over five runners."""

    def __init__(self) -> None:
        clock = state.ManualClock(100.0)
        vms = FixedVmList()
        members = coordination.Membership(CFG, clock, vms, "boot")
        members.update_list(vms.fetch().unwrap())
        self.placement = coordination.Placement(CFG, clock, members)

    def choose(self, prefix: str) -> str:
        engine = self.placement.choose("m@1", prefix, set(), background=True)
        assert engine is not None
        return engine.id


def test_adapter_of_one_runner_is_not_moved_by_a_prefix() -> None:
    fixture = Fixture()
    first = fixture.choose("p")
    fixture.placement.record_prefix("p", "engine-x", True)
    assert fixture.choose("p") == first


def test_popular_adapter_goes_where_its_prefix_is() -> None:
    fixture = Fixture()
    first = fixture.choose("p")
    for _ in range(600):
        fixture.choose("p")
    shared = {fixture.choose("p")}
    for engine in [f"engine-{n}" for n in range(5)]:
        fixture.placement.record_prefix("q", engine, True)
        shared.add(fixture.choose("q"))
    assert len(shared) == 5
    second = min(shared - {first})
    fixture.placement.record_prefix("q", second, True)
    assert fixture.choose("q") == second
    fixture.placement.record_prefix("q", second, None)
    assert fixture.choose("q") == second
    fixture.placement.record_prefix("q", second, False)
    assert fixture.choose("q") == first


def test_full_runner_is_passed_over_for_all_its_prefix() -> None:
    fixture = Fixture()
    first = fixture.choose("p")
    for _ in range(600):
        fixture.choose("p")
    fixture.placement.record_prefix("p", first, True)
    fixture.placement.record_load(first, queued=96, running=8, batch=8)
    assert fixture.choose("p") != first


def test_copies_of_a_suspect_meet_at_one_runner_whatever_each_vm_knows() -> None:
    busy, idle = Fixture(), Fixture()
    chosen = busy.placement.choose_isolated("content", {"engine-0"})
    assert chosen is not None
    busy.placement.record_load(chosen.id, queued=80, running=8, batch=8)
    busy.placement.avoid(chosen.id)
    assert busy.placement.choose_isolated("content", {"engine-0"}) == chosen
    assert idle.placement.choose_isolated("content", {"engine-0"}) == chosen
    assert idle.placement.choose_isolated("content", {"engine-0", chosen.id}) != chosen


def test_requests_without_a_prefix_do_not_follow_each_other() -> None:
    """Background jobs have an empty prefix, which must not count as a shared one."""
    fixture = Fixture()
    first = fixture.choose("")
    for _ in range(600):
        fixture.choose("")
    for engine in [f"engine-{n}" for n in range(5)]:
        fixture.placement.record_prefix("", engine, True)
        assert fixture.choose("") == first
