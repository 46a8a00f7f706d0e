"""Switches that follow from the number of VMs where the settings do not set them."""

from __future__ import annotations

import pytest
from gooseberryrun._internal.state.serving import LARGE_FLEET_VMS

from .test_small_parts import make_ctx


@pytest.mark.parametrize("switch", [True, False])
def test_switch_that_is_set_holds_whatever_the_number_of_vms(switch: bool) -> None:
    """Guards against an operator who cannot switch a decision on or off."""
    ctx = make_ctx(["vm-a"])
    assert ctx.is_switched_on(switch) == switch
    ctx.fleet_size.hear(10 * LARGE_FLEET_VMS, ctx.clock.monotonic())
    assert ctx.is_switched_on(switch) == switch


@pytest.mark.parametrize(
    ("vms", "expected"),
    [(0, False), (LARGE_FLEET_VMS, False), (LARGE_FLEET_VMS + 1, True)],
)
def test_switch_that_is_not_set_is_on_in_large_fleets(vms: int, expected: bool) -> None:
    """Crossing by shares was off on a deployment of 86 VMs without the contract."""
    ctx = make_ctx(["vm-a"])
    ctx.fleet_size.hear(vms, ctx.clock.monotonic())
    assert ctx.is_switched_on(None) == expected
