"""Messages about runners: their adapters, prompts and turns."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import (
    PrefillLoad,
    RateLimit,
    RunnerView,
    Turn,
)
from gooseberryrun._internal.state.serving.placement import RunnerWeight

from .._message_base import Message


class AcquireRequest(Message, frozen=True, array_like=True):
    """Request to the owner of a runner to make an adapter ready there.

    ``adapter`` is ``model/adapter``; version 0 accepts any. The first event is late
    after ``target_s``. ``is_missing`` is set if the runner has just responded that it
    lacks the adapter. With ``prefill_tokens``, the request also asks for a grant to
    start a long prompt, which a PrefillNotice returns. ``account`` is empty without
    accounts.
    """

    runner: str
    adapter: str
    version: int
    left_s: float
    target_s: float
    priority: int
    request_id: str
    is_missing: bool
    prefill_tokens: int = 0
    account: str = ""


class PrefillNotice(Message, frozen=True, array_like=True):
    """Returns the grant of a long prompt, or withdraws the request for one.

    ``took_s`` is the time from the attempt to its first event, negative without one.
    """

    runner: str
    request_id: str
    took_s: float


class UseNotice(Message, frozen=True, array_like=True):
    """Number of the sender's requests that currently use an adapter of a runner.

    ``step_s`` is the mean time between two tokens of a stream that has just ended,
    0 if none has.
    """

    runner: str
    adapter: str
    count: int
    step_s: float = 0.0


class ResidencyNotice(Message, frozen=True, array_like=True):
    """Adapters that a runner holds according to its owner, with versions.

    ``idle`` slots can take another adapter at once, and ``waiting`` adapters wait for
    one; each of them has to wait ``mean_slot_wait_s`` longer than the one before.
    ``prefill`` is the load of prompts as of the sending of the notice. The owner has no
    entry of an incarnation that ``is_undeclared``. ``kv_total`` are the tokens that fit
    the runner's memory, 0 if it does not tell. ``weight`` is the runner's speed, None
    as long as that of the median runner is assumed.
    """

    runner: str
    born_ms: int
    fencing_token: int
    held: dict[str, int]
    idle: int
    waiting: int
    mean_slot_wait_s: float
    prefill: PrefillLoad = PrefillLoad()
    is_undeclared: bool = False
    kv_total: int = 0
    weight: RunnerWeight | None = None


class AcquireAnswer(Message, frozen=True, array_like=True):
    """Reply of the owner: the version held, or the reason why there is none.

    ``residency`` and ``load`` are the runner's current state, for VMs that do not
    receive its updates; a VM that does not own the runner omits them.
    """

    version: int
    reason: str = ""
    retry_in_s: float = 0.0
    residency: ResidencyNotice | None = None
    load: RunnerView | None = None


class TurnRequest(Message, frozen=True, array_like=True):
    """Request for a turn at a runner that limits its requests.

    The turn has to come within ``max_wait_s``. ``limit`` is the limit that the sender
    knows, as the runner stated it ``age_s`` ago.
    """

    runner: str
    request_id: str
    max_wait_s: float
    limit: RateLimit
    age_s: float


class TurnAnswer(Message, frozen=True, array_like=True):
    """Turn granted or refused, and the newest limit known to the VM that grants."""

    turn: Turn
    limit: RateLimit
    age_s: float
