"""Baselines that the decisions about model requests are compared with."""

from __future__ import annotations

import itertools
from abc import ABC, abstractmethod

import msgspec
from gooseberryrun._internal.state.serving import (
    AdapterSlots,
    Candidate,
    Choice,
    ServingPolicy,
    choose_model_runner,
)


class RunnerChoice(ABC):
    """Chooses the runner of a request."""

    @abstractmethod
    def choose(
        self,
        candidates: list[Candidate],
        adapter: str,
        prompt_tokens: int,
        policy: ServingPolicy,
    ) -> Choice | None:
        """Return the chosen runner with its expected first event, or None."""


class ProductChoice(RunnerChoice):
    """Choice of the product."""

    def choose(
        self,
        candidates: list[Candidate],
        adapter: str,
        prompt_tokens: int,
        policy: ServingPolicy,
    ) -> Choice | None:
        """Return the runner that the product chooses."""
        return choose_model_runner(candidates, adapter, prompt_tokens, policy)


class RoundRobinChoice(RunnerChoice):
    """Every runner in turn, whatever it holds."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def choose(
        self,
        candidates: list[Candidate],
        adapter: str,
        prompt_tokens: int,
        policy: ServingPolicy,
    ) -> Choice | None:
        """Return the next runner."""
        if not candidates:
            return None
        chosen = candidates[next(self._turns) % len(candidates)]
        return choose_model_runner([chosen], adapter, prompt_tokens, policy)


class LeastRecentlyUsedSlots(AdapterSlots):
    """Slots that evict the adapter that was asked for the longest time ago."""

    _asked_at: dict[str, float] = msgspec.field(default_factory=dict)

    def record_demand(self, adapter: str, now: float) -> None:
        """Record when an adapter was asked for."""
        self._asked_at[adapter] = now

    def demand(self, adapter: str, now: float) -> float:
        """Return when an adapter was asked for last."""
        return self._asked_at.get(adapter, 0.0)
