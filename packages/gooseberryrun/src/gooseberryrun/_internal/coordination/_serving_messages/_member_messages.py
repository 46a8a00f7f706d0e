"""Messages about the members of a group and their leases."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import (
    Member,
    Position,
    View,
)

from .._message_base import Message


class ViewNotice(Message, frozen=True, array_like=True):
    """Forwarded view of a failure domain's group, as read from the store."""

    group: str
    view: View


class HandoverNotice(Message, frozen=True, array_like=True):
    """Transfers ownership of runners according to the view of a generation.

    The sender sends no more orders to them. The member to which that view assigns a
    runner may send orders once the view is in force there. All runners belong to the
    failure domain of the group.
    """

    group: str
    runners: list[str]
    generation: int


class LeavingNotice(Message, frozen=True, array_like=True):
    """The sender is leaving its domain's group or has just left it.

    ``asked_at`` is the time of the recipient's last question that a sender without the
    store answers with this notice; it last renewed ``renewal_age_s`` ago.
    """

    asked_at: float | None = None
    renewal_age_s: float = 0.0


class StoreStatusRequest(Message, frozen=True, array_like=True):
    """Question of a VM without the store whether the recipient reaches it.

    ``asked_at`` is seconds on the sender's clock, which the answer repeats.
    """

    asked_at: float


class StoreStatusAnswer(Message, frozen=True, array_like=True):
    """Whether the sender reaches the store, as of after ``asked_at``.

    It has read the registry of runners up to ``registry_end``.
    """

    asked_at: float
    can_reach_store: bool
    registry_end: Position = Position()


class RenewRequest(Message, frozen=True, array_like=True):
    """Request to a member to renew for the sender, which cannot reach the store."""

    group: str
    member: Member
    generation: int


class RenewAnswer(Message, frozen=True, array_like=True):
    """Generation that the store returned for a relayed renewal, -1 if it failed."""

    generation: int
