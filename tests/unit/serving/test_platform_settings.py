"""Switches that follow from the contracts of the platform."""

from __future__ import annotations

from typing import Any

import pytest
from gooseberryrun_platform._settings import PlatformSettings

REQUIRED: dict[str, Any] = {
    "vm": {"id": "v0", "domain": "d0", "address": "127.0.0.1"},
    "peer": {"port": 1, "secret": "s"},
    "entry": {"callers": "a:1", "readiness": "a:2", "metrics_port": 3},
    "store": {"address": "a:4"},
}


@pytest.mark.parametrize("contracts", [{}, {"base": True, "quota": True}])
def test_deployment_without_the_contract_is_served_as_before(
    contracts: dict[str, bool],
) -> None:
    """Guards against new decisions on deployments that did not ask for them."""
    cfg = PlatformSettings.model_validate(REQUIRED | {"contracts": contracts})
    assert not cfg.crossing.is_enabled
    assert not cfg.admission.plain_slots


def test_contract_switches_the_new_decisions_on() -> None:
    raw = REQUIRED | {"contracts": {"pressure": True}}
    cfg = PlatformSettings.model_validate(raw)
    assert cfg.crossing.is_enabled
    assert cfg.admission.plain_slots


def test_switch_in_the_file_goes_before_the_contract() -> None:
    """Guards against an operator who cannot switch a decision off."""
    raw = REQUIRED | {"contracts": {"pressure": True}}
    cfg = PlatformSettings.model_validate(raw | {"crossing": {"is_enabled": False}})
    assert not cfg.crossing.is_enabled
    assert cfg.admission.plain_slots
