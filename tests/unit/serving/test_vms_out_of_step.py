"""Streams that are taken up at a VM that has not heard of a release."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import eventlet
import pytest
from gooseberryrun._internal.coordination import InboundMessage, PeerError, PeerMessage
from gooseberryrun._internal.coordination.serving import StoreStatus
from gooseberryrun._internal.state.serving import (
    DirectoryRecord,
    Position,
    Topic,
)
from gooseberryrun._internal.state.serving._software import ENDED_VERSION_TTL_S
from result import Err, Ok, Result

from tests.lib.fleet import GroupStore, make_members
from tests.lib.origins import (
    NEW,
    OLD,
    KeeperVm,
    make_keepers,
    make_request,
)

pytestmark = pytest.mark.usefixtures("nothing_scheduled")


def cut_off(vm: KeeperVm) -> None:
    """Let a VM reach neither the store nor its peers."""
    store = GroupStore(make_members(1, 3))
    store.is_refusing = True
    vm.keeper._ctx.ports = replace(vm.keeper._ctx.ports, store=store)  # type: ignore[arg-type]
    vm.keeper._ctx.can_reach_store = False


def connect(asking: KeeperVm, asked: KeeperVm) -> None:
    """Let one VM reach another."""

    def request_from(
        vm: str, message: PeerMessage, deadline: float
    ) -> Result[PeerMessage, PeerError]:
        if vm != asked.keeper._ctx.vm:
            return Err(PeerError(vm, "silent"))
        replies: list[PeerMessage] = []
        inbound = InboundMessage(asking.keeper._ctx.vm, message, replies.append)
        found: Any = message
        asked.keeper.handle_origin_request(inbound, found)
        eventlet.sleep(0.01)
        return Ok(replies[0])

    asking.peers.request_from = request_from


def release(store: GroupStore) -> None:
    """Register a runner of another version."""
    position = Position(0, 1)
    store.registry.append(DirectoryRecord(Topic.RUNNERS, position, NEW.id, runner=NEW))


def test_vm_cut_off_from_all_joins_no_stream_of_a_version_it_has_not_heard_of(
    store: GroupStore,
) -> None:
    """The stream began at the new version; the VM knows only the old one."""
    vm = make_keepers(store)[0]
    cut_off(vm)
    assert vm.take_up("of-another-vm") is None


def test_vm_that_has_just_returned_reads_of_the_release_first(
    store: GroupStore,
) -> None:
    """It stood still over the release, and its peers do not answer in time."""
    vm = make_keepers(store)[0]
    vm.clock.now += 4.0
    release(store)
    assert vm.take_up("of-another-vm") is None
    assert vm.take_up("of-another-vm") is None
    calls = store.calls["read_changes"]
    assert vm.take_up("of-another-vm") is None
    assert store.calls["read_changes"] == calls


def test_word_of_a_peer_that_is_out_of_step_as_well_is_no_evidence(
    store: GroupStore,
) -> None:
    asking, asked = make_keepers(store, 2)
    cut_off(asking)
    cut_off(asked)
    connect(asking, asked)
    assert asking.take_up("of-another-vm") is None


def test_vm_without_the_store_believes_a_peer_that_has_read_it(
    store: GroupStore,
) -> None:
    asking, asked = make_keepers(store, 2)
    cut_off(asking)
    connect(asking, asked)
    assert asking.take_up("of-another-vm") == "v1"
    release(store)
    asked.clock.now += 1.0
    assert asking.take_up("of-another-vm") is None


def test_streams_of_a_domain_that_is_cut_off_for_long_go_on_in_it(
    store: GroupStore,
) -> None:
    vms = make_keepers(store)
    vms[0].keeper.record(make_request("before"), OLD)
    for vm in vms:
        cut_off(vm)
    vms[0].keeper.record(make_request("after"), OLD)
    vms[0].flush()
    for _, message in vms[0].peers.sent:
        vms[1].keeper.handle_origins_notice("vm-000", message)
    assert vms[0].take_up("before") == vms[0].take_up("after") == "v1"
    assert vms[1].take_up("before") == vms[1].take_up("after") == "v1"
    assert not store.origins


def test_streams_go_on_while_the_store_is_away_from_all(store: GroupStore) -> None:
    """No VM can have read of a release; but one that has read more may have."""
    vm = make_keepers(store)[0]
    cut_off(vm)
    ctx = vm.keeper._ctx
    now = vm.clock.now
    for peer in ctx.peer_ids():
        ctx.store_statuses[peer] = StoreStatus(now, can_reach_store=False)
    assert vm.take_up("of-another-vm") == "v1"
    ahead = StoreStatus(now, can_reach_store=False, registry_end=Position(0, 99))
    ctx.store_statuses[ctx.peer_ids()[0]] = ahead
    assert vm.take_up("of-another-vm") is None


def test_take_ups_at_a_vm_in_step_cost_few_reads(store: GroupStore) -> None:
    vm = make_keepers(store)[0]
    for number in range(50):
        assert vm.take_up(f"r{number}") == "v1"
    assert store.calls["read_changes"] == 1


def test_vm_that_missed_a_whole_release_believes_a_peer_that_knows_the_new_version(
    store: GroupStore,
) -> None:
    """The old version has ended so long ago that the peer does not know it."""
    asking, asked = make_keepers(store, 2)
    cut_off(asking)
    connect(asking, asked)
    asked.register(1, NEW)
    asked.register(2, None, OLD.id)
    asked.clock.now += ENDED_VERSION_TTL_S + 1.0
    assert asking.take_up("of-another-vm") == "v2"
