"""Ownership of runners that other members have released to a VM."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

HANDOVER_TTL_S = 3.0
"""Age up to which a handover is valid: less than the wait of an owner without one."""


class _Handover(msgspec.Struct, frozen=True):
    """Ownership of a runner as released by its owner at a view's generation."""

    generation: int
    received_at: float


class Handovers:
    """Handovers by runner id, the latest of each; times are in seconds.

    The reacquire delay may have to pass before a handover can be used.
    """

    def __init__(self, reacquire_delay_s: float) -> None:
        self._usable_s = HANDOVER_TTL_S + reacquire_delay_s
        self._received: dict[str, _Handover] = {}

    def clear(self) -> None:
        """Forget all handovers."""
        self._received.clear()

    def forget_until(self, generation: int) -> None:
        """Forget the handovers by views up to a generation."""
        self._received = {
            runner: handover
            for runner, handover in self._received.items()
            if handover.generation > generation
        }

    def receive(self, runners: Iterable[str], generation: int, now: float) -> None:
        """Record runners that their owner released at a view's generation."""
        for runner in runners:
            self._received[runner] = _Handover(generation, now)

    def expire(self, now: float) -> None:
        """Forget handovers that are too old to be used."""
        self._received = {
            runner: handover
            for runner, handover in self._received.items()
            if handover.received_at > now - self._usable_s
        }

    def has(self, runner: str, generation: int, now: float) -> bool:
        """Return whether there is a recent handover by this generation or before it.

        A handover by a newer view has to wait for that view, which may assign the
        runner to another member.
        """
        handover = self._received.get(runner)
        if handover is None or handover.generation > generation:
            return False
        return now - handover.received_at < self._usable_s

    def ids(self) -> list[str]:
        """Return the ids of what was handed over."""
        return list(self._received)

    def use(self, runner: str) -> float:
        """Remove the handover of a runner whose ownership was acquired by it.

        Returns when it was received.
        """
        return self._received.pop(runner).received_at

    def withdraw(self, runner: str, generation: int, now: float) -> bool:
        """Remove a handover that is passed on; return whether it is valid."""
        handover = self._received.get(runner)
        if handover is None or handover.generation > generation:
            return False
        del self._received[runner]
        return now - handover.received_at < HANDOVER_TTL_S
