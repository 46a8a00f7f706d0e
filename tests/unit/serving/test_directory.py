"""Configuration and registry: older records never replace newer ones."""

from __future__ import annotations

import dataclasses

from gooseberryrun._internal.state.serving import (
    AdapterVersion,
    ClientLimits,
    Configuration,
    DirectoryRecord,
    DirectoryState,
    Position,
    Route,
    RouteKind,
    Runner,
    Topic,
    WeightedService,
)
from gooseberryrun._internal.state.serving._directory_records import MAX_REMOVALS_KEPT


def route(prefix: str, *services: str) -> Route:
    targets = tuple(WeightedService(name, 1.0) for name in services or ("s",))
    return Route(
        prefix, "h.example", prefix, RouteKind.SAFE, 1.0, 0.5, 0, targets, 2, False
    )


def at(offset: int, epoch: int = 1) -> Position:
    return Position(epoch, offset)


def config(offset: int, version: int, *prefixes: str) -> DirectoryRecord:
    routes = tuple(route(prefix) for prefix in prefixes)
    configuration = Configuration(version, routes, (), ClientLimits())
    return DirectoryRecord(
        Topic.CONFIGURATION, at(offset), "config", configuration=configuration
    )


def runner(born_ms: int = 1, seq: int = 0, draining: bool = False) -> Runner:
    return Runner("r1", "s", "10.0.0.1", 1, "d", 6, draining, born_ms, seq, ())


def entry(offset: int, found: Runner | None) -> DirectoryRecord:
    return DirectoryRecord(Topic.RUNNERS, at(offset), "r1", runner=found)


def test_configuration_never_goes_back() -> None:
    state = DirectoryState()
    assert state.apply(config(4, 9, "/a/"), 0.0)
    assert not state.apply(config(3, 8, "/b/"), 1.0)
    assert state.table is not None
    assert state.table.find("h.example", "/a/x") is not None


def test_longest_prefix_wins_and_ports_and_case_do_not_matter() -> None:
    state = DirectoryState()
    state.apply(config(1, 1, "/a/", "/a/b/"), 0.0)
    assert state.table is not None
    found = state.table.find("H.example:80", "/a/b/c")
    assert found is not None
    assert found.path_prefix == "/a/b/"
    assert state.table.find("other.example", "/a/b/c") is None


def test_split_gives_each_service_its_share() -> None:
    split = Route(
        "r",
        "h",
        "/",
        RouteKind.SAFE,
        1.0,
        0.5,
        0,
        (WeightedService("big", 90), WeightedService("small", 10)),
        1,
        False,
    )
    picks = [split.pick_service(f"id-{number}") for number in range(2000)]
    assert 120 < picks.count("small") < 280


def test_unreadable_entry_names_no_runner_and_harms_no_other() -> None:
    state = DirectoryState()
    state.apply(entry(1, runner()), 0.0)
    bad = DirectoryRecord(Topic.RUNNERS, at(2), "r2", unreadable="not JSON")
    state.apply(bad, 0.0)
    assert [found.id for found in state.runners("s", 0.0)] == ["r1"]


def test_late_entry_of_an_earlier_incarnation_is_ignored() -> None:
    state = DirectoryState()
    state.apply(entry(1, runner(born_ms=2000)), 0.0)
    state.apply(entry(2, runner(born_ms=1000, draining=True)), 0.0)
    assert len(state.runners("s", 0.0)) == 1


def test_draining_and_removed_runners_get_no_new_work() -> None:
    state = DirectoryState()
    state.apply(entry(1, runner(draining=True)), 0.0)
    assert state.runners("s", 0.0) == []
    state.apply(entry(2, None), 0.0)
    assert state.runner("r1") is None


def test_entry_that_lapsed_in_an_outage_is_used_until_it_should_be_back() -> None:
    state = DirectoryState()
    state.apply(entry(1, runner()), 0.0)
    state.store_reachable_since = 10.0
    state.apply(entry(2, None), 10.5)
    assert len(state.runners("s", 11.0)) == 1
    assert state.runners("s", 12.5) == []
    assert state.expire(12.5) == ["r1"]


def test_snapshot_removes_what_it_lacks_but_nothing_newer() -> None:
    state = DirectoryState()
    state.apply(entry(1, runner()), 0.0)
    state.replace(Topic.RUNNERS, [], at(1), 0.0)
    assert len(state.runners("s", 0.0)) == 1
    state.replace(Topic.RUNNERS, [], at(7), 0.0)
    assert state.runners("s", 0.0) == []


def declared(offset: int, key: str) -> DirectoryRecord:
    version = AdapterVersion("m", key, 1)
    return DirectoryRecord(
        Topic.CONFIGURATION, at(offset), key, adapter_version=version
    )


def read_pages_with_a_gap(state: DirectoryState) -> None:
    """Read a first page, then a second one after two more records were written.

    The first of them replaces a record of the page that was read already.
    """
    pages = [config(3, 1, "/old/"), declared(9, "z")]
    state.replace(Topic.CONFIGURATION, pages, at(8), 0.0)


def test_configuration_written_between_two_pages_is_read() -> None:
    """Guards against review/3: it was never read, and nothing but a restart helped.

    The newest record of the second page moved the end past what the first page lacks.
    """
    state = DirectoryState()
    read_pages_with_a_gap(state)
    assert state.ends[Topic.CONFIGURATION] == at(8)
    changes = [config(8, 2, "/new/"), declared(9, "z")]
    state.receive(Topic.CONFIGURATION, changes, at(10), 0.0)
    assert state.configuration_version == 2
    assert state.ends[Topic.CONFIGURATION] == at(10)


def test_peer_does_not_take_over_the_gap_of_another() -> None:
    state, other = DirectoryState(), DirectoryState()
    read_pages_with_a_gap(state)
    end = state.ends[Topic.CONFIGURATION]
    records = state.records_since(Topic.CONFIGURATION, Position())
    other.receive(Topic.CONFIGURATION, records, end, 0.0)
    assert other.ends[Topic.CONFIGURATION] == at(8)
    assert other.version_of("m", "z") == 1


def test_what_happens_to_a_runner_between_two_pages_is_read() -> None:
    """It drains or is removed after the page with its entry was read."""
    for change in (runner(draining=True), None):
        state = DirectoryState()
        late = dataclasses.replace(runner(), id="z")
        pages = [
            entry(3, runner()),
            DirectoryRecord(Topic.RUNNERS, at(9), "z", runner=late),
        ]
        state.replace(Topic.RUNNERS, pages, at(8), 0.0)
        start = state.ends[Topic.RUNNERS]
        written = [entry(8, change), pages[1]]
        changes = [record for record in written if record.position >= start]
        state.receive(Topic.RUNNERS, changes, at(10), 0.0)
        known = state.runner("r1")
        assert known is None or known.draining


def test_peers_get_what_they_lack_with_removals() -> None:
    state = DirectoryState()
    state.apply(entry(1, runner()), 0.0)
    state.apply(entry(5, None), 0.0)
    other = DirectoryState()
    other.apply(entry(1, runner()), 0.0)
    records = state.records_since(Topic.RUNNERS, other.ends[Topic.RUNNERS])
    other.receive(Topic.RUNNERS, records, state.ends[Topic.RUNNERS], 0.0)
    assert other.runners("s", 0.0) == []
    assert other.ends == state.ends


def test_newest_declared_version_counts_in_any_order() -> None:
    state = DirectoryState()
    for offset, version in ((1, 2), (2, 4), (3, 3)):
        declared = AdapterVersion("m", "a1", version)
        state.apply(
            DirectoryRecord(
                Topic.CONFIGURATION, at(offset), f"v{offset}", adapter_version=declared
            ),
            0.0,
        )
    assert state.version_of("m", "a1") == 4


def test_removal_that_a_peer_never_knew_is_not_skipped() -> None:
    """Guards against a runner that stays registered for good after its removal.

    A VM that started from a snapshot after the removal has no record of it. Its reply
    moved the position of a VM that still had the runner behind the removal.
    """
    behind = DirectoryState()
    behind.replace(Topic.RUNNERS, [entry(0, runner())], at(1), 0.0)
    started_later = DirectoryState()
    started_later.replace(Topic.RUNNERS, [], at(2), 0.0)
    start = behind.ends[Topic.RUNNERS]
    assert not started_later.has_removals_since(Topic.RUNNERS, start)
    everything = started_later.records_since(Topic.RUNNERS, Position())
    behind.replace(Topic.RUNNERS, everything, started_later.ends[Topic.RUNNERS], 1.0)
    assert behind.runner("r1") is None
    assert not behind.has_removals_since(Topic.RUNNERS, start)


def test_removals_that_were_dropped_count_as_unknown() -> None:
    """Guards against the same skip after so many removals that old ones are dropped."""
    state = DirectoryState()
    for number in range(MAX_REMOVALS_KEPT + 2):
        removal = DirectoryRecord(Topic.RUNNERS, at(number), f"gone-{number}")
        state.receive(Topic.RUNNERS, [removal], at(number + 1), 0.0)
    assert not state.has_removals_since(Topic.RUNNERS, at(1))
    assert state.has_removals_since(Topic.RUNNERS, at(MAX_REMOVALS_KEPT))


def test_read_that_ends_after_a_later_snapshot_brings_no_removed_runner_back() -> None:
    """Guards against a removed runner that returns for good with an older read.

    The later of two snapshots was read first and does not name the runner; its position
    is behind the removal, which is therefore not read any more.
    """
    state = DirectoryState()
    state.replace(Topic.RUNNERS, [], at(2), 0.0)
    state.replace(Topic.RUNNERS, [entry(0, runner())], at(1), 0.0)
    assert state.runner("r1") is None
    state.receive(Topic.RUNNERS, [entry(0, runner())], at(1), 0.0)
    assert state.runner("r1") is None
    state.receive(Topic.RUNNERS, [entry(2, runner())], at(3), 0.0)
    assert state.runner("r1") is not None
