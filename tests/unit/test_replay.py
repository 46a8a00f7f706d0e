"""Replay is deterministic, revisions only grow, and a key has at most one holder."""

from __future__ import annotations

from typing import Any

import gooseberryrun._internal.state as state
from gooseberryrun._internal.state import Intent, Outcome
from hypothesis import given, settings
from hypothesis import strategies as st

KEYS = ("k1", "k2")
VMS = ("a", "b", "c")


def make_intent(key: str, vm: str, takes_over: int = -1) -> Intent:
    return Intent(key, "fp", "orders", "/b", vm, vm, 0.0, takes_over)


records = st.one_of(
    st.builds(
        make_intent,
        st.sampled_from(KEYS),
        st.sampled_from(VMS),
        st.integers(-1, 10),
    ),
    st.builds(
        Outcome,
        key=st.sampled_from(KEYS),
        intent=st.integers(0, 20),
        outcome=st.sampled_from(["ran", "not_run", "unknown"]),
    ),
)


def apply(ledger: state.LedgerState, record: Any, offset: int) -> None:
    if isinstance(record, Intent):
        ledger.apply_intent(record, offset, float(offset))
    else:
        ledger.apply_outcome(record, float(offset))


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(records, max_size=40))
def test_ran_is_final_and_the_holder_changes_only_when_allowed(
    script: list[Any],
) -> None:
    ledger = state.LedgerState()
    for offset, record in enumerate(script):
        before = {key: ledger.get(key) for key in KEYS}
        apply(ledger, record, offset)
        for key in KEYS:
            old, new = before[key], ledger.get(key)
            if old is None or new is None:
                continue
            if old.status is state.KeyStatus.RAN:
                assert new.status is state.KeyStatus.RAN
                assert new.intent == old.intent
            if new.intent != old.intent:
                assert isinstance(record, Intent)
                freed = old.status is state.KeyStatus.NOT_RUN
                assert freed or record.takes_over == old.intent
    unsettled = {entry.key for entry in ledger.unsettled()}
    for key in KEYS:
        entry = ledger.get(key)
        is_open = entry is not None and entry.status in (
            state.KeyStatus.OPEN,
            state.KeyStatus.UNKNOWN,
        )
        assert (key in unsettled) is is_open


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(records, max_size=30), st.integers(0, 30))
def test_a_ledger_rebuilt_from_refreshes_agrees(script: list[Any], cut: int) -> None:
    """A reader that starts from refresh records ends in the same state."""
    whole, fresh = state.LedgerState(), state.LedgerState()
    for offset, record in enumerate(script[:cut]):
        apply(whole, record, offset)
    for entry in whole:
        fresh.apply_refresh(state.to_refresh(entry), 0.0)
    for offset, record in enumerate(script[cut:], cut):
        apply(whole, record, offset)
        apply(fresh, record, offset)
    for key in KEYS:
        one, other = whole.get(key), fresh.get(key)
        assert (one is None) is (other is None)
        if one is not None and other is not None:
            assert (one.status, one.intent) == (other.status, other.intent)


changes = st.builds(
    state.ConfigChange,
    change_id=st.uuids().map(str),
    author=st.just("op"),
    ops=st.lists(
        st.builds(
            state.ConfigOp,
            op=st.sampled_from(["put", "remove", "bad"]),
            table=st.sampled_from(["adapters", "rules", "nowhere"]),
            key=st.sampled_from(["a@1", "b@2", "no-version", ""]),
            value=st.sampled_from([{}, {"class": "once"}, {"class": "never"}]),
        ),
        max_size=3,
    ),
    expected=st.one_of(st.none(), st.integers(-1, 10)),
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(changes, max_size=20), st.integers(0, 20))
def test_configuration_is_the_same_from_records_and_from_a_snapshot(
    script: list[state.ConfigChange], cut: int
) -> None:
    whole, joined = state.ConfigState(), state.ConfigState()
    revision = whole.revision
    for offset, change in enumerate(script):
        if offset == cut:
            joined.apply_snapshot(whole.snapshot())
        whole.apply_change(change, offset)
        assert whole.revision >= revision
        revision = whole.revision
        if offset >= cut:
            joined.apply_change(change, offset)
    if cut < len(script):
        assert joined.tables == whole.tables
        assert joined.revision == whole.revision


def test_first_result_of_a_job_wins_and_an_open_job_is_kept() -> None:
    jobs = state.JobState()
    accepted = state.JobAccepted("j", "/p", {}, "a", "1", "d", 0.0, 9.0)
    jobs.apply_accepted(accepted, 1.0)
    jobs.apply_accepted(accepted, 2.0)
    assert len(jobs.open_jobs()) == 1
    assert jobs.apply_done(state.JobDone("j", 200, "first", "a", 3.0), 3.0)
    assert not jobs.apply_done(state.JobDone("j", 200, "second", "b", 4.0), 4.0)
    job = jobs.get("j")
    assert job is not None and job.done is not None and job.done.body == "first"
    assert jobs.open_jobs() == []
