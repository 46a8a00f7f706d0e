"""Usage caps under any sequence of kills, partitions, freezes and joins."""

from __future__ import annotations

from collections.abc import Iterator
from unittest import mock

import pytest
from gooseberryrun._internal.state.serving import usage_allocation
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.lib.usage_fleet import Load, UsageFleet, bound, make_account

DOMAINS = 3
VMS = 12
VM = st.integers(0, VMS - 1).map(lambda number: f"vm-{number:03}")
DOMAIN = st.integers(0, DOMAINS - 1).map(lambda number: f"d{number}")


@pytest.fixture(autouse=True)
def _nothing_scheduled() -> Iterator[None]:
    with mock.patch("eventlet.spawn_after", lambda *args: None):
        yield


class FleetStates(RuleBasedStateMachine):
    """VMs that fail in any order while all callers want more than the cap."""

    @initialize(
        rate_per_s=st.sampled_from([600.0, 4_200.0, 60_000.0]),
        wait_s=st.sampled_from([0.2, 1.5]),
        lost=st.sampled_from([0.0, 0.2]),
    )
    def start(self, rate_per_s: float, wait_s: float, lost: float) -> None:
        self.account = make_account(rate_per_s)
        self.fleet = UsageFleet([self.account], DOMAINS, VMS)
        self.fleet.max_wait_s = wait_s
        self.fleet.lost_answers = lost
        self.load = Load(4 * rate_per_s, dict.fromkeys(self.fleet.vms, 1.0))
        self.fleet.run(3.0, self.load)

    @rule(seconds=st.sampled_from([0.3, 1.0, 3.0, 6.0]))
    def go_on(self, seconds: float) -> None:
        self.fleet.run(seconds, self.load)

    @rule(domain=DOMAIN, is_planned=st.booleans())
    def end_allocator(self, domain: str, is_planned: bool) -> None:
        if allocator := self.fleet.find_allocator("a", domain):
            self._end(allocator, is_planned)
        self.fleet.run(0.3, self.load)

    @rule(vm=VM, is_planned=st.booleans())
    def end(self, vm: str, is_planned: bool) -> None:
        self._end(vm, is_planned)

    def _end(self, vm: str, is_planned: bool) -> None:
        target = self.fleet.vms[vm]
        if target.is_alive and not target.is_frozen and is_planned:
            self.fleet.stop(vm)
        else:
            self.fleet.kill(vm)

    @rule(vm=VM)
    def join(self, vm: str) -> None:
        self.fleet.vms[vm].is_frozen = False
        self.fleet.vms[vm].start()
        self.fleet.run(0.3, self.load)

    @rule(vm=VM, is_frozen=st.booleans())
    def freeze(self, vm: str, is_frozen: bool) -> None:
        self.fleet.freeze(vm, is_frozen)
        self.fleet.run(0.3, self.load)

    @rule(domain=DOMAIN)
    def freeze_allocator(self, domain: str) -> None:
        if allocator := self.fleet.find_allocator("a", domain):
            self.fleet.freeze(allocator)
        self.fleet.run(1.0, self.load)

    @rule()
    def thaw_all(self) -> None:
        for vm in self.fleet.vms:
            self.fleet.freeze(vm, False)
        self.fleet.run(0.3, self.load)

    @rule(vm=VM, side=st.integers(0, 2))
    def cut_off_vm(self, vm: str, side: int) -> None:
        self.fleet.isolate([vm], side)

    @rule(domain=DOMAIN, side=st.integers(0, 2), has_store=st.booleans())
    def cut_off_domain(self, domain: str, side: int, has_store: bool) -> None:
        vms = self.fleet.domain_vms(domain)
        self.fleet.isolate(vms, side)
        for vm in vms:
            self.fleet.vms[vm].store.is_reachable = has_store
        self.fleet.run(1.0, self.load)

    @rule(vm=VM, has_store=st.booleans())
    def cut_off_store(self, vm: str, has_store: bool) -> None:
        self.fleet.vms[vm].store.is_reachable = has_store

    @invariant()
    def there_is_one_allocator_at_most(self) -> None:
        for domain in self.fleet.domains:
            allocation = usage_allocation("a", domain)
            now = self.fleet.clock.now
            granting = [
                vm
                for vm, state in self.fleet.vms.items()
                if state.is_alive
                and not state.is_frozen
                and state.ctx.ownership_for(allocation).fencing_token(allocation, now)
                is not None
            ]
            assert len(granting) <= 1, granting

    @invariant()
    def bound_holds(self) -> None:
        assert self.account.cap is not None
        assert self.fleet.largest_window() <= bound(self.account.cap)


class TestFleetStates(FleetStates.TestCase):  # type: ignore[valid-type, misc]
    """The state machine, always with the same examples."""

    settings = settings(
        derandomize=True,
        deadline=None,
        max_examples=60,
        stateful_step_count=25,
        suppress_health_check=list(HealthCheck),
    )
