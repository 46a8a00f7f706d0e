"""Weights and limits of the decisions about requests to model runners."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServingPolicy:
    """Weights and limits that decisions get whole; costs are in seconds.

    Tests and trials switch single mechanisms off; operators do not set them.
    """

    rank_cost_s: float = 0.3
    """Cost per rank in an adapter's ranking of runners, so that repeated loads go to
    the same runner, which still caches the adapter in its memory."""
    remote_cost_s: float = 0.03
    """Cost of a runner in another failure domain."""
    failure_cost_s: float = 2.0
    """Cost of a runner all of whose recent attempts failed."""
    overflow_cost_s: float = 0.05
    """Cost of each request beyond a runner's batch size."""
    copy_cost_s: float = 0.0
    """Cost of loading an adapter that another runner holds."""
    max_wait_share: float = 0.6
    """Share of the time left that may pass before the first event; a request expected
    to wait longer is refused at once."""
    max_wait_per_target: float = 2.2
    """Longest expected wait as a multiple of the route's target latency: under
    overload, most requests are served in time with short queues, none with long ones.
    """
    max_turn_wait_per_target: float = 0.5
    """Longest wait for a turn at a runner that limits its requests, as a multiple of
    the route's target latency: the runner takes no more for it that they wait longer.
    """
    pause_cost_s: float = 0.15
    """Cost of each stream that has to pause for too long."""
    admits_prompts: bool = True
    """Whether long prompts start only when the owner of their runner admits them."""
    knows_recent: bool = True
    """Whether a runner that held an adapter recently is preferred for its reload."""
    late_wait_last: bool = True
    """Whether requests that will be late anyhow wait behind those in time."""
    learns_slot_waits: bool = True
    """Whether the expected wait for a slot follows the waits at the runner."""
    follows_slowness: bool = True
    """Whether the observed slowness of a runner scales its expected prefill time."""
