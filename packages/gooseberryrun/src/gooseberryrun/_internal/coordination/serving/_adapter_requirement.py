"""What a request needs of an adapter at a runner."""

from __future__ import annotations

import msgspec


class AdapterRequirement(msgspec.Struct, frozen=True):
    """Adapter, by its key, and the lowest version of it that a request needs.

    The first event is late after ``target_deadline``. ``prefill_tokens`` is the length
    of a prompt that needs a grant to start, otherwise 0.
    """

    adapter: str
    version: int
    target_deadline: float
    priority: int
    request_id: str
    is_missing: bool
    prefill_tokens: int = 0
    account: str = ""
    is_early: bool = False
