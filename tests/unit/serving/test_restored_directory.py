"""Local copy of the store's records when the store comes back from an older copy."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from gooseberryrun._internal.state.serving import (
    AdapterVersion,
    ClientLimits,
    Configuration,
    DirectoryRecord,
    DirectoryState,
    Position,
    Runner,
    Topic,
    combine_generation,
    generation_number,
)
from gooseberryrun._internal.state.serving._leaving import DOUBT_S
from gooseberryrun._internal.state.serving._operator_records import HELD_OVER_S
from hypothesis import given
from hypothesis import strategies as st

RUNNER = Runner("r1", "s", "10.0.0.1", 1, "d", 6, False, 1, 1, ())
DRAINING = replace(RUNNER, draining=True)
LONG_AGO_S = 100.0
"""Time of a restore, long after the start."""


def config(epoch: int, offset: int, version: int) -> DirectoryRecord:
    return DirectoryRecord(
        Topic.CONFIGURATION,
        Position(epoch, offset),
        "config",
        configuration=Configuration(version, (), (), ClientLimits()),
    )


def declared(epoch: int, offset: int, version: int) -> DirectoryRecord:
    return DirectoryRecord(
        Topic.CONFIGURATION,
        Position(epoch, offset),
        "version/a1",
        adapter_version=AdapterVersion("m", "a1", version),
    )


def entry(epoch: int, offset: int, runner: Runner | None) -> DirectoryRecord:
    key = runner.id if runner else "r1"
    return DirectoryRecord(Topic.RUNNERS, Position(epoch, offset), key, runner=runner)


def read_all(
    state: DirectoryState, epoch: int, end: int, *records: DirectoryRecord, now: float
) -> None:
    """Apply a snapshot of the topic of the records."""
    topic = records[0].topic if records else Topic.RUNNERS
    state.replace(topic, list(records), Position(epoch, end), now)


def version_in_force(state: DirectoryState) -> int:
    return state.configuration_version


def test_offsets_given_out_again_are_new() -> None:
    state = DirectoryState()
    read_all(state, 1, 9, config(1, 8, 4), now=0.0)
    read_all(state, 2, 3, config(2, 2, 4), now=LONG_AGO_S)
    changes = [config(2, 3, 5)]
    end = Position(2, 4)
    assert state.receive(Topic.CONFIGURATION, changes, end, LONG_AGO_S) == changes
    assert version_in_force(state) == 5
    assert state.ends[Topic.CONFIGURATION] == Position(2, 4)


def test_configuration_that_the_store_lost_stays_in_force_for_a_time() -> None:
    state = DirectoryState()
    read_all(state, 1, 9, config(1, 8, 4), declared(1, 7, 3), now=0.0)
    read_all(state, 2, 3, config(2, 2, 2), declared(2, 1, 1), now=LONG_AGO_S)
    assert not state.settle(LONG_AGO_S + HELD_OVER_S / 2)
    assert version_in_force(state) == 4
    assert state.version_of("m", "a1") == 3
    # Nobody has written it again.
    assert len(state.settle(LONG_AGO_S + HELD_OVER_S)) == 2
    assert version_in_force(state) == 2
    assert state.version_of("m", "a1") == 1


def test_nothing_goes_back_without_a_restore() -> None:
    """A lower version may be written after a higher one; it changes nothing."""
    state = DirectoryState()
    read_all(state, 1, 2, config(1, 0, 4), declared(1, 1, 3), now=0.0)
    state.apply(config(1, 2, 2), 1.0)
    state.apply(declared(1, 3, 1), 1.0)
    assert not state.settle(HELD_OVER_S)
    assert version_in_force(state) == 4
    assert state.version_of("m", "a1") == 3


def test_configuration_is_kept_if_the_restored_store_has_none() -> None:
    state = DirectoryState()
    read_all(state, 1, 9, config(1, 8, 4), now=0.0)
    state.replace(Topic.CONFIGURATION, [], Position(2, 0), LONG_AGO_S)
    state.settle(LONG_AGO_S + HELD_OVER_S)
    assert version_in_force(state) == 4


def test_peer_that_starts_after_a_restore_gets_the_lost_configuration() -> None:
    state = DirectoryState()
    read_all(state, 1, 9, config(1, 8, 4), now=0.0)
    read_all(state, 2, 3, config(2, 2, 2), now=LONG_AGO_S)
    other = DirectoryState()
    read_all(other, 2, 3, config(2, 2, 2), now=LONG_AGO_S)
    end = other.ends[Topic.CONFIGURATION]
    records = state.records_since(Topic.CONFIGURATION, end)
    other.receive(Topic.CONFIGURATION, records, end, LONG_AGO_S)
    assert version_in_force(other) == 4


def test_runner_that_drains_stays_draining_when_the_store_forgets_it() -> None:
    state = DirectoryState()
    read_all(state, 1, 1, entry(1, 0, RUNNER), now=0.0)
    state.apply(entry(1, 5, DRAINING), 50.0)
    read_all(state, 2, 1, entry(2, 0, RUNNER), now=LONG_AGO_S)
    assert state.runners("s", LONG_AGO_S) == []
    assert state.stated_leaving() == {"r1": 1}
    reborn = replace(RUNNER, born_ms=2)
    state.apply(entry(2, 1, reborn), LONG_AGO_S)
    assert state.runners("s", LONG_AGO_S) == [reborn]


def forget_removal() -> DirectoryState:
    """Return the state after a restore that brought a removed entry back."""
    state = DirectoryState()
    read_all(state, 1, 1, entry(1, 0, RUNNER), now=0.0)
    state.apply(entry(1, 5, None), 50.0)
    assert state.runner("r1") is None
    read_all(state, 2, 3, entry(2, 0, RUNNER), now=LONG_AGO_S)
    return state


def test_entry_that_was_removed_before_a_restore_is_not_used_again() -> None:
    state = forget_removal()
    assert state.runners("s", LONG_AGO_S) == []
    assert not state.takes_new_work(RUNNER, LONG_AGO_S)


def test_entry_that_is_written_after_a_restore_is_used() -> None:
    state = forget_removal()
    state.apply(entry(2, 3, RUNNER), LONG_AGO_S)
    assert state.runners("s", LONG_AGO_S) == [RUNNER]


def test_entry_that_a_restored_store_keeps_is_used_in_the_end() -> None:
    state = forget_removal()
    state.expire(LONG_AGO_S + DOUBT_S - 0.1)
    assert state.runners("s", LONG_AGO_S + DOUBT_S) == []
    state.expire(LONG_AGO_S + DOUBT_S)
    assert state.runners("s", LONG_AGO_S + DOUBT_S) == [RUNNER]


def test_entry_that_a_restored_store_lacks_may_be_written_again() -> None:
    state = DirectoryState()
    other = replace(RUNNER, id="r2")
    read_all(state, 1, 9, entry(1, 0, RUNNER), entry(1, 8, other), now=0.0)
    read_all(state, 2, 1, entry(2, 0, RUNNER), now=LONG_AGO_S)
    assert len(state.runners("s", LONG_AGO_S)) == 2
    assert state.expire(LONG_AGO_S + 2.0) == ["r2"]


def test_late_records_of_an_earlier_epoch_change_nothing() -> None:
    state = DirectoryState()
    read_all(state, 1, 9, entry(1, 0, RUNNER), now=0.0)
    read_all(state, 2, 1, entry(2, 0, DRAINING), now=LONG_AGO_S)
    late = [entry(1, 20, RUNNER), entry(1, 21, replace(RUNNER, id="r3"))]
    assert not state.receive(Topic.RUNNERS, late, Position(1, 22), LONG_AGO_S)
    assert state.runners("s", LONG_AGO_S) == []
    assert state.ends[Topic.RUNNERS] == Position(2, 1)


def test_peer_in_a_later_epoch_tells_what_is_gone() -> None:
    state = DirectoryState()
    lost = replace(RUNNER, id="r2")
    read_all(state, 1, 9, entry(1, 0, RUNNER), entry(1, 8, lost), now=0.0)
    other = DirectoryState()
    read_all(other, 2, 1, entry(2, 0, RUNNER), now=LONG_AGO_S)
    records = other.records_since(Topic.RUNNERS, state.ends[Topic.RUNNERS])
    state.receive(Topic.RUNNERS, records, other.ends[Topic.RUNNERS], LONG_AGO_S)
    state.expire(LONG_AGO_S + 2.0)
    assert state.all_runners() == [RUNNER]
    assert state.ends == other.ends | {Topic.CONFIGURATION: Position()}


def test_generations_rise_with_the_epoch() -> None:
    assert combine_generation(2, 3) > combine_generation(1, 400)
    assert generation_number(combine_generation(2, 3), 2) == 3
    # A generation of another epoch is none that this one has given out.
    assert generation_number(combine_generation(1, 400), 2) == 0
    assert combine_generation(0, 17) == 17


class Log:
    """Topic of configurations in the store, which can go back to a copy of itself."""

    def __init__(self) -> None:
        self.epoch = 1
        self.versions = [1]

    def records(self, start: int) -> list[DirectoryRecord]:
        return [
            config(self.epoch, start + number, version)
            for number, version in enumerate(self.versions[start:])
        ]

    @property
    def end(self) -> Position:
        return Position(self.epoch, len(self.versions))

    def restore(self, records: int) -> None:
        """Go back to the first records, after which the operator writes the last."""
        newest = self.versions[-1]
        del self.versions[records:]
        self.epoch += 1
        self.versions.append(newest)


def follow(state: DirectoryState, log: Log, now: float) -> None:
    """Read what is new, and all anew if the position is of another epoch."""
    end = state.ends[Topic.CONFIGURATION]
    if end.epoch == log.epoch:
        state.receive(Topic.CONFIGURATION, log.records(end.offset), log.end, now)
        return
    newest = [log.records(0)[-1]]
    state.replace(Topic.CONFIGURATION, newest, log.end, now)


@given(st.integers(0, 2**32))
def test_all_agree_on_the_newest_configuration_whoever_reads_when(seed: int) -> None:
    """VMs read the store or one another at random moments, through several restores."""
    rng = random.Random(seed)
    log = Log()
    states = [DirectoryState() for _ in range(4)]
    for step in range(60):
        now = float(step)
        before = [version_in_force(state) for state in states]
        action = rng.randrange(5)
        state = rng.choice(states)
        if action == 0:
            log.versions.append(log.versions[-1] + 1)
        elif action == 1 and rng.random() < 0.3:
            log.restore(rng.randint(1, len(log.versions)))
        elif action == 2:
            follow(state, log, now)
        else:
            peer = rng.choice(states)
            end = state.ends[Topic.CONFIGURATION]
            records = peer.records_since(Topic.CONFIGURATION, end)
            peer_end = peer.ends[Topic.CONFIGURATION]
            if peer_end > end:
                state.receive(Topic.CONFIGURATION, records, peer_end, now)
        after = [version_in_force(state) for state in states]
        assert all(a >= b for a, b in zip(after, before, strict=True))
    for state in states:
        follow(state, log, 60.0)
        assert version_in_force(state) == log.versions[-1]


@pytest.mark.parametrize("topic", list(Topic))
def test_first_epoch_is_no_restore(topic: Topic) -> None:
    state = DirectoryState()
    state.replace(topic, [], Position(7, 0), LONG_AGO_S)
    assert not state.is_after_outage(LONG_AGO_S)
