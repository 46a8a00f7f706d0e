"""Where streams began: what is known of it, for how long and at which VMs."""

from __future__ import annotations

import math
import struct
from dataclasses import replace
from typing import Any

import eventlet
import pytest
from gooseberryrun._internal.coordination import InboundMessage, PeerMessage
from gooseberryrun._internal.coordination._serving_messages import (
    OriginAnswer,
    OriginRequest,
    OriginsNotice,
)
from gooseberryrun._internal.coordination.serving._origin_log import MAX_BATCH
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import (
    SoftwareVersions,
    StreamOrigin,
    StreamOrigins,
)
from gooseberryrun._internal.state.serving._software import (
    ENDED_VERSION_TTL_S,
    MAX_ENDED_VERSIONS,
    MAX_ORIGIN_S,
    MAX_ORIGINS,
)
from gooseberryrun_platform._origins import decode_origins, encode_origins
from result import Ok, Result

from tests.lib.fleet import GroupStore, make_vm
from tests.lib.origins import (
    NEW,
    OLD,
    WAIT_S,
    KeeperVm,
    make_keeper,
    make_keepers,
    make_request,
)

pytestmark = pytest.mark.usefixtures("nothing_scheduled")


def test_stream_goes_on_anywhere_while_one_version_serves(store: GroupStore) -> None:
    vm = make_keepers(store)[0]
    assert vm.take_up("of-another-vm") == "v1"
    assert not store.origins


def test_nothing_is_written_while_one_version_serves(store: GroupStore) -> None:
    vm = make_keepers(store)[0]
    vm.keeper.record(make_request("r1"), OLD)
    vm.flush()
    assert not store.origins
    assert not [m for _, m in vm.peers.sent if getattr(m, "origins", None)]


def test_streams_from_before_a_release_are_told_once_it_begins(
    store: GroupStore,
) -> None:
    vm, other, _ = make_keepers(store)
    vm.keeper.record(make_request("r1"), OLD)
    for each in (vm, other):
        each.register(1, NEW)
    vm.keeper.record(make_request("r2"), NEW)
    vm.flush()
    kept = [(origin.request, origin.software) for origin in store.origins]
    assert kept == [("r1", "v1"), ("r2", "v2")]
    assert other.take_up("r1") == "v1"
    assert other.take_up("r2") == "v2"


def test_keepers_are_told_and_one_vm_alone_writes(store: GroupStore) -> None:
    vm, other, _ = make_keepers(store)
    for each in (vm, other):
        each.register(1, NEW)
    vm.keeper.record(make_request("r1"), NEW)
    vm.flush()
    notices = [(to, m) for to, m in vm.peers.sent if isinstance(m, OriginsNotice)]
    assert sorted(to for to, _ in notices) == ["vm-001", "vm-002"]
    assert not any(notice.is_to_keep for _, notice in notices)
    other.keeper.handle_origins_notice("vm-000", notices[0][1])
    other.flush()
    store.is_refusing = True
    assert other.take_up("r1") == "v2"
    assert len(store.origins) == 1


def test_version_that_has_just_ended_is_not_taken_for_that_of_the_stream(
    store: GroupStore,
) -> None:
    vm = make_keepers(store)[0]
    vm.register(1, NEW)
    vm.register(2, None, OLD.id)
    assert vm.take_up("unknown") is None
    vm.clock.now += ENDED_VERSION_TTL_S + 1
    assert vm.take_up("unknown") == "v2"


def test_vm_that_starts_learns_from_the_store(store: GroupStore) -> None:
    vm = make_keepers(store)[0]
    vm.register(1, NEW)
    vm.keeper.record(make_request("r1"), OLD)
    vm.flush()
    clock = ManualClock(50.0)
    ctx, peers = make_vm(store.groups["d0"][1], store, [], clock)
    fresh = KeeperVm(make_keeper(ctx), clock, peers)
    fresh.register(0, NEW)
    # The only runner of v1 has left meanwhile.
    assert fresh.take_up("r1") == "v1"
    assert fresh.take_up("unknown") is None


def test_vm_that_could_not_read_the_store_refuses_what_it_does_not_know(
    store: GroupStore,
) -> None:
    store.is_refusing = True
    clock = ManualClock(50.0)
    ctx, peers = make_vm(store.groups["d0"][0], store, [], clock)
    fresh = KeeperVm(make_keeper(ctx), clock, peers)
    fresh.register(0, OLD)
    assert fresh.take_up("r1") is None
    store.is_refusing = False
    assert fresh.take_up("r1") == "v1"


def test_word_of_a_peer_counts_though_this_vm_knows_one_version(
    store: GroupStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The peer has read of a release that this VM has not read of yet."""
    vm = make_keepers(store)[0]
    answers: list[Result[PeerMessage, Any]] = [Ok(OriginAnswer("v2", True))] * 2
    monkeypatch.setattr(vm.peers, "request_from", lambda *args: answers.pop())
    assert vm.take_up("r1") == "v2"
    answers[:] = [Ok(OriginAnswer(None, True)), Ok(OriginAnswer(None, False))]
    assert vm.take_up("r2") is None


def test_peer_is_answered_from_memory(store: GroupStore) -> None:
    vm = make_keepers(store)[0]
    vm.keeper.record(make_request("r1"), OLD)
    replies: list[PeerMessage] = []
    for root in ("r1", "r2"):
        message = OriginRequest(root, "s")
        inbound = InboundMessage("vm-001", message, replies.append)
        vm.keeper.handle_origin_request(inbound, message)
    assert replies == [OriginAnswer("v1", False)]
    eventlet.sleep(0.01)
    assert replies[1:] == [OriginAnswer("v1", False)]


def test_caller_that_resumes_again_names_the_first_request(store: GroupStore) -> None:
    vm = make_keepers(store)[0]
    vm.register(1, NEW)
    vm.keeper.record(make_request("r1"), NEW)
    again = make_request("r2", resumes="r1")
    assert vm.keeper.constrain(again) is None
    vm.keeper.record(again, NEW)
    assert vm.take_up("r1") == "v2"


def test_request_that_names_another_but_no_event_begins_a_stream_of_its_own(
    store: GroupStore,
) -> None:
    vm = make_keepers(store)[0]
    vm.register(1, NEW)
    vm.keeper.record(make_request("r1"), OLD)
    active = make_request("r2", resumes="r1")
    active.metadata = replace(active.metadata, last_event_id="")
    vm.keeper.record(active, NEW)
    assert (vm.take_up("r1"), vm.take_up("r2")) == ("v1", "v2")


def test_long_ids_are_cut(store: GroupStore) -> None:
    """An id may be as long as all headers together."""
    vm = make_keepers(store)[0]
    vm.register(1, NEW)
    vm.keeper.record(make_request("x" * 16_000), NEW)
    assert max(len(key) for key in vm.keeper._origins._kept) <= 128
    assert vm.take_up("x" * 16_000) == "v2"


def test_caller_without_a_deadline_is_kept_as_well(store: GroupStore) -> None:
    """JSON has no infinity: the store's record of it could not be read."""
    vm = make_keepers(store)[0]
    vm.register(1, NEW)
    active = make_request("r1")
    active.metadata = replace(active.metadata, wait_s=math.inf)
    vm.keeper.record(active, NEW)
    vm.flush()
    data = struct.pack(">QQ", 1, 0) + encode_origins(store.origins)
    assert decode_origins(data) == (store.origins, 1)


def test_unreadable_store_costs_one_read_each(store: GroupStore) -> None:
    vm = make_keepers(store)[0]
    vm.register(1, NEW)
    store.calls.clear()
    store.is_refusing = True
    for number in range(5):
        assert vm.take_up(f"garbage-{number}") is None
    assert store.calls["read_origins"] == 5


def test_origins_that_the_store_refused_are_appended_again(store: GroupStore) -> None:
    """The store was away when a release began, and all VMs were killed after it."""
    vm = make_keepers(store)[0]
    vm.register(1, NEW)
    store.is_refusing = True
    for root in ("r1", "r2"):
        vm.keeper.record(make_request(root), NEW)
        vm.flush()
    assert vm.take_up("r1") == "v2"
    assert not store.origins
    store.is_refusing = False
    vm.flush()
    assert [origin.request for origin in store.origins] == ["r1", "r2"]
    vm.flush()
    assert len(store.origins) == 2


def test_refused_origins_end_with_their_callers(store: GroupStore) -> None:
    vm = make_keepers(store)[0]
    vm.register(1, NEW)
    store.is_refusing = True
    vm.keeper.record(make_request("r1"), NEW)
    vm.flush()
    vm.clock.now += WAIT_S + 1
    store.is_refusing = False
    store.calls.clear()
    vm.flush()
    assert not store.origins
    assert not store.calls["append_origins"]


def test_streams_of_a_busy_vm_are_appended_in_several_calls(store: GroupStore) -> None:
    """All that ran when a release began went into one call, which has a bound."""
    vm = make_keepers(store)[0]
    for number in range(2 * MAX_BATCH + 1):
        vm.keeper.record(make_request(f"r{number}"), OLD)
    vm.register(1, NEW)
    vm.keeper.record(make_request("last"), NEW)
    for _ in range(3):
        vm.flush()
    assert len(store.origins) == 2 * MAX_BATCH + 2
    assert store.calls["append_origins"] == 3


def test_origins_that_a_restored_store_has_lost_are_appended_again(
    store: GroupStore,
) -> None:
    """The store came back from an older copy, and all VMs were killed after it."""
    vm = make_keepers(store)[0]
    vm.register(1, NEW)
    vm.keeper.record(make_request("r1"), OLD)
    vm.flush()
    store.origins.clear()
    vm.keeper._keep_all()
    vm.flush()
    assert [origin.request for origin in store.origins] == ["r1"]


def test_origins_are_bounded_in_number_and_age() -> None:
    origins = StreamOrigins()
    for number in range(MAX_ORIGINS + 5):
        origins.record(StreamOrigin(f"r{number}", "s", "v1", 1e9), 0.0)
    assert len(origins._kept) == MAX_ORIGINS
    assert origins.software_of("r4", "s", 0.0) is None
    assert origins.software_of("r5", "s", MAX_ORIGIN_S) == "v1"
    assert origins.software_of("r5", "other", 0.0) is None
    origins.expire(MAX_ORIGIN_S + 1)
    assert not origins._kept


def test_ended_versions_are_bounded() -> None:
    versions = SoftwareVersions()
    for number in range(MAX_ENDED_VERSIONS + 5):
        versions.record_seen("s", f"v{number}", 1.0)
    assert len(versions.lately("s", 1.0)) == MAX_ENDED_VERSIONS


def test_runner_that_restarts_at_another_version_counts_as_both() -> None:
    versions = SoftwareVersions()
    versions.replace(None, OLD, 0.0)
    reborn = replace(OLD, born_ms=2, software_version="v2")
    versions.replace(OLD, reborn, 5.0)
    assert versions.lately("s", 5.0) == {"v1", "v2"}
    assert versions.is_mixed("s", 5.0)
    assert not versions.is_mixed("s", 5.0 + ENDED_VERSION_TTL_S + 1)


def test_runner_that_restarted_counts_as_a_version_of_its_own(
    store: GroupStore,
) -> None:
    """Its entry is late, and it may run any software."""
    vm = make_keepers(store)[0]
    directory = vm.keeper._ctx.directory
    vm.keeper.record(make_request("r1"), OLD)
    assert directory.record_restart(OLD.id, 2, vm.clock.now)
    assert not directory.record_restart(OLD.id, 2, vm.clock.now)
    restarted = directory.runner(OLD.id)
    assert restarted is not None
    assert restarted.born_ms == 2
    assert not directory.takes_new_work(OLD, vm.clock.now)
    vm.keeper.record(make_request("r2"), restarted)
    assert vm.take_up("r1") == "v1"
    assert vm.take_up("r2") == restarted.software_version != "v1"
    assert vm.take_up("unknown") is None
    vm.register(2, replace(OLD, born_ms=2, software_version="v1"))
    assert directory.software.lately("s", vm.clock.now) == {"v1"}
    assert vm.take_up("r1") == "v1"


def test_late_entry_of_an_earlier_incarnation_is_ignored(store: GroupStore) -> None:
    vm = make_keepers(store)[0]
    directory = vm.keeper._ctx.directory
    directory.record_restart(OLD.id, 2, vm.clock.now)
    vm.register(3, replace(OLD, order_seq=9))
    known = directory.runner(OLD.id)
    assert known is not None
    assert known.born_ms == 2
    assert not directory.record_restart("never-was", 2, vm.clock.now)
