"""Settings sections: every fault is reported, and secrets are not shown."""

from __future__ import annotations

from typing import Any

import pytest
from gooseberryrun._internal.state import ServingSettings
from gooseberryrun._internal.state._sections import SettingsError

GOOD: dict[str, Any] = {
    "vm": {"id": "v0", "domain": "d0", "address": "127.0.0.1"},
    "peer": {"port": 1, "secret": "hidden"},
    "entry": {"callers": "a:1", "readiness": "a:2", "metrics_port": 3},
    "store": {"address": "a:4"},
}


def errors_of(**changes: Any) -> list[str]:
    """Return the keys of the faults of settings in which some sections differ."""
    with pytest.raises(SettingsError) as caught:
        ServingSettings.model_validate(GOOD | changes)
    return [error.partition(":")[0] for error in caught.value.errors]


@pytest.mark.parametrize(
    ("changes", "keys"),
    [
        ({"vm": {"id": "", "domain": "d", "address": "nowhere"}}, ["id", "address"]),
        (
            {"vm": {"id": "x" * 65, "domain": 1, "address": 5}},
            ["id", "domain", "address"],
        ),
        ({"vm": {"id": "v", "address": "::1"}}, ["domain"]),
        ({"vm": "v0"}, [""]),
    ],
)
def test_every_fault_is_reported_with_its_key(
    changes: dict[str, Any], keys: list[str]
) -> None:
    """Guards against wrong settings in use, and reports of the first fault only."""
    wanted = [f"vm.{key}" if key else "vm" for key in keys]
    assert errors_of(**changes) == wanted


@pytest.mark.parametrize(
    "section",
    [
        {"port": 0, "secret": "s"},
        {"port": 70000, "secret": "s"},
        {"port": "none", "secret": "s"},
        {"port": 1, "secret": "s", "dead_after_s": 0},
        {"port": 1, "secret": "s", "colour": 1},
        {"port": 1, "secret": 5},
        {"port": 1},
    ],
)
def test_bounds_and_unknown_keys_are_checked(section: dict[str, Any]) -> None:
    assert len(errors_of(peer=section)) == 1


def test_values_and_defaults_have_their_types() -> None:
    cfg = ServingSettings.model_validate(
        GOOD | {"membership": {"lease_s": 3, "turn_ms": 2000.0, "domains": ["a", "b"]}}
    )
    assert str(cfg.vm.address) == "127.0.0.1"
    assert (cfg.membership.lease_s, cfg.membership.domains) == (3.0, ["a", "b"])
    assert isinstance(cfg.membership.lease_s, float)
    assert isinstance(cfg.membership.turn_ms, int)
    assert ServingSettings.model_validate(GOOD).membership.domains == []
    copy = cfg.model_copy({"vm": cfg.vm.model_copy({"id": "v1"})})
    assert (copy.vm.id, cfg.vm.id, copy.store) == ("v1", "v0", cfg.store)


def test_secrets_are_shown_nowhere() -> None:
    """Guards against a secret in an error, a log line or printed settings."""
    cfg = ServingSettings.model_validate(GOOD)
    assert cfg.peer.secret.get_secret_value() == "hidden"
    shown = f"{cfg} {cfg!r} {cfg.model_dump()} {cfg.peer.secret}"
    assert "hidden" not in shown
    with pytest.raises(SettingsError) as caught:
        ServingSettings.model_validate(
            GOOD | {"peer": {"port": 1, "secret": ["hidden"]}}
        )
    assert "hidden" not in str(caught.value)
