"""Run-time checks of internal invariants."""

from __future__ import annotations


class InvariantError(AssertionError):
    """An internal invariant is violated; the process must stop."""

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(f"{name}: {detail}")
        self.name = name


def check_invariant(condition: bool, name: str, detail: str = "") -> None:
    """Raise :class:`InvariantError` unless ``condition`` holds."""
    if not condition:
        raise InvariantError(name, detail)
