"""A short soak of client accounts, whose sequence of actions follows from its seed."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.lib.account_soak import run_soak

SECONDS = 20.0


@pytest.mark.parametrize("seed", [1])
def test_rules_of_accounts_hold_while_keys_and_loads_change(
    tmp_path: Path, seed: int
) -> None:
    """Guards the rules in combination: each alone has tests of its own.

    No key reaches a server or a log, the account's name is always set, caps are kept
    over all VMs, keys change within 3 s, and the other accounts are served.
    """
    assert run_soak(tmp_path, seed, SECONDS) == []
