"""Base of the messages between entry VMs."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Frozen data class that travels as an array, without the names of its fields."""
