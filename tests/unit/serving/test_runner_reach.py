"""Whether a VM is cut off from all runners, or the runners have failed."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest
from gooseberryrun._internal.coordination.serving._reach import Reach
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import Runner, RunnerReach
from gooseberryrun._internal.state.serving._runner_reach import (
    CONTACT_TTL_S,
    MIN_MISSED,
    MIN_UNREACHED,
    PEER_TTL_S,
)

from tests.lib.fleet import GroupStore, make_members, make_runners, make_vm


class Connections:
    """Connections to runners, of which some are reached."""

    def __init__(self, reached: set[str]) -> None:
        self.reached = reached
        self.probed: list[str] = []
        self.closed = 0
        self.reach: Reach | None = None

    def probe(self, runner: Runner) -> None:
        self.probed.append(runner.id)
        assert self.reach is not None
        self.reach.record_connection(runner, runner.id in self.reached)

    def close_idle(self) -> None:
        self.closed += 1


class WatchingVm:
    """A VM that watches its connections to six runners, with one peer."""

    def __init__(self, reached: set[str], peer_reaches: bool) -> None:
        members = make_members(1, 2)
        self.clock = ManualClock(10.0)
        self.runners = make_runners(1, 6)
        store = GroupStore(members)
        self.ctx, _ = make_vm(members["d0"][0], store, self.runners, self.clock)
        self.conns = Connections(reached)
        requests: Any = self.conns
        self.ctx.ports = dataclasses.replace(self.ctx.ports, requests=requests)
        self.reach = self.conns.reach = Reach(self.ctx)
        self.changes: list[bool] = []
        self.reach.on_change = lambda: self.changes.append(self.ctx.reach.is_cut_off)
        self.peer_reaches = peer_reaches

    def miss(self, count: int) -> None:
        """Let requests fail to connect to some runners, then check."""
        for runner in self.runners[:count]:
            self.reach.record_connection(runner, is_open=False)
        self.ctx.reach.hear("vm-001", self.peer_reaches, False, self.clock.now)
        self.reach.check()


def test_vm_that_reaches_none_while_a_peer_does_is_cut_off() -> None:
    """Guards against a VM that refuses all its callers while others serve theirs."""
    vm = WatchingVm(set(), peer_reaches=True)
    vm.miss(MIN_MISSED)
    assert vm.ctx.reach.is_cut_off
    assert vm.conns.closed == 1
    vm.conns.reached = {runner.id for runner in vm.runners}
    vm.reach.check()
    assert vm.changes == [True, False]


def test_runners_that_no_vm_reaches_have_failed() -> None:
    """Guards against VMs that send each other the requests for dead runners."""
    vm = WatchingVm(set(), peer_reaches=False)
    vm.miss(6)
    assert not vm.ctx.reach.is_cut_off


@pytest.mark.parametrize("missed", [1, MIN_MISSED, MIN_UNREACHED])
def test_service_that_has_failed_is_no_cut(missed: int) -> None:
    """Guards against a hop for all requests when the servers of a service are down."""
    vm = WatchingVm({f"i-{n}" for n in range(MIN_UNREACHED, 6)}, peer_reaches=True)
    for _ in range(5):
        vm.miss(missed)
    assert vm.changes == []


def test_first_failure_tries_no_other_runner() -> None:
    """Guards against probes, which cost connections, for each runner that crashes."""
    vm = WatchingVm(set(), peer_reaches=True)
    vm.miss(MIN_MISSED - 1)
    assert vm.conns.probed == []


def test_old_connections_do_not_show_that_runners_are_reached() -> None:
    """Guards against a cut that is overlooked since connections from before live on."""
    reach = RunnerReach()
    reach.record_contact(10.0)
    assert reach.reaches_runners(10.0)
    reach.record_unreached("i-0")
    reach.record_contact(10.5)
    assert not reach.reaches_runners(10.5)
    reach.record_opened(11.0)
    assert reach.reaches_runners(11.0 + CONTACT_TTL_S)
    assert not reach.reaches_runners(11.1 + CONTACT_TTL_S)


def test_word_of_a_peer_ends() -> None:
    """Guards against hops to a VM that was frozen or cut off itself."""
    reach = RunnerReach()
    reach.hear("vm-001", True, False, 10.0)
    reach.hear("vm-002", True, False, 10.0)
    reach.hear("vm-002", False, True, 10.1)
    assert reach.peers_in_reach(9.9 + PEER_TTL_S) == ["vm-001"]
    assert reach.peers_in_reach(10.2 + PEER_TTL_S) == []


def test_idle_vm_finds_out_for_a_peer_that_misses_runners() -> None:
    """Guards against a VM that nobody helps since the others had no requests."""
    vm = WatchingVm({runner.id for runner in make_runners(1, 6)}, peer_reaches=False)
    vm.ctx.reach.hear("vm-001", False, True, vm.clock.now)
    vm.reach.check()
    assert vm.conns.probed
    assert vm.ctx.reach.reaches_runners(vm.clock.now)
    probed = len(vm.conns.probed)
    vm.ctx.reach.hear("vm-001", False, True, vm.clock.now)
    vm.reach.check()
    assert len(vm.conns.probed) == probed
