"""Messages about slots of plain servers and usage of accounts."""

from __future__ import annotations

from .._message_base import Message


class SlotRequest(Message, frozen=True, array_like=True):
    """Request for a slot of a plain server.

    ``ticket`` identifies it among those of the sender. Its response is late after
    ``due_s``, and its attempt ends within ``left_s``. It does not wait if it would wait
    for more than ``max_wait_s``. ``is_early`` is set if its caller repeats it before
    the time named by a refusal.
    """

    server: str
    ticket: int
    request_id: str
    account: str
    priority: int
    due_s: float
    left_s: float
    max_wait_s: float
    is_early: bool = False


class SlotAnswer(Message, frozen=True, array_like=True):
    """Decision about a request for a slot, as a ``SlotOutcome``, or its later result.

    ``wait_s`` is the wait that the account's next request would have, ``retry_in_s``
    the time after which a refused one may come again.
    """

    outcome: str
    wait_s: float
    retry_in_s: float = 0.0


class SlotNotice(Message, frozen=True, array_like=True):
    """Result of a request that waited for a slot of a plain server."""

    server: str
    ticket: int
    answer: SlotAnswer


class SlotRelease(Message, frozen=True, array_like=True):
    """Returns a slot of a plain server, or withdraws the request for one.

    ``is_answered`` is set if the server answered, so that the time is a measure of it.
    """

    server: str
    ticket: int
    is_answered: bool


class UsageRequest(Message, frozen=True, array_like=True):
    """Request to the allocator of an account in a failure domain to grant usage.

    ``cost`` and ``demand_per_s``, the sender's own demand, are in the ``unit`` of the
    account's cap by the sender's configuration. ``unused`` are parts of earlier grants
    of this allocator, as (time on its clock, amount): the sender has not sent anything
    by them and never will.
    """

    account: str
    domain: str
    unit: str
    cost: float
    demand_per_s: float
    configuration_version: int
    unused: tuple[tuple[float, float], ...] = ()


class UsageAnswer(Message, frozen=True, array_like=True):
    """Usage granted, or the time in which the account's next request can be served.

    A VM that is not the allocator, or does not know the account's cap, says so.
    ``granted_at`` is the time of a grant on the allocator's clock.
    """

    granted: float
    retry_in_s: float
    is_allocator: bool
    granted_at: float = 0.0
