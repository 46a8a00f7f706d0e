"""Usage caps while all VMs are new."""

from __future__ import annotations

import pytest
from gooseberryrun._internal.state.serving import Member

from tests.lib.usage_fleet import RENEW_S, TICK_S, UsageFleet, bound, make_account

pytestmark = pytest.mark.usefixtures("nothing_scheduled")

LEASE_S = 4.0
RATE = 60_000.0


class NewFleet(UsageFleet):
    """VMs that all start at once, of which no store and no peer knows anything."""

    def _settle(self, groups: dict[str, list[Member]]) -> None:
        for vm in self.vms.values():
            vm.ctx.is_new = True


@pytest.mark.parametrize("seed", range(3))
def test_new_fleet_admits_requests_as_soon_as_older_leases_have_ended(
    seed: int,
) -> None:
    """Guards against VMs that refuse requests within a cap for long after a start.

    An allocator may not grant before a predecessor's lease must have ended, and is
    assigned with its second renewal or before; other VMs ask again every second.
    """
    account = make_account(RATE)
    fleet = NewFleet([account], 3, 9, seed)
    began_at = fleet.clock.now
    first: dict[str, float] = {}
    while fleet.clock.now - began_at < LEASE_S + 2 * RENEW_S:
        fleet.run(TICK_S)
        for vm in fleet.vms:
            if fleet.request(vm, tokens=1):
                first.setdefault(vm, fleet.clock.now - began_at)
    assert len(first) == len(fleet.vms)
    assert min(first.values()) >= LEASE_S
    assert account.cap is not None
    assert fleet.largest_window() <= bound(account.cap)
