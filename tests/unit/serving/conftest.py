"""Fixtures of the tests of serving by routes."""

from __future__ import annotations

import pytest

from tests.lib.fleet import GroupStore, make_members


@pytest.fixture
def nothing_scheduled(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let nothing run later by itself; a test runs what is scheduled by hand."""
    monkeypatch.setattr("eventlet.spawn_after", lambda *args: None)


@pytest.fixture(name="log")
def _log(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Return the log lines of the test, which are added as they are written."""
    lines: list[str] = []
    monkeypatch.setattr("absl.logging.log", lambda _, __, text: lines.append(text))
    return lines


@pytest.fixture(name="store")
def _store() -> GroupStore:
    """Return the store of a domain with three VMs."""
    return GroupStore(make_members(1, 3))
