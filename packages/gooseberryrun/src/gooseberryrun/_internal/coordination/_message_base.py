"""Base class of the messages between entry VMs."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Immutable message, encoded as an array without field names."""
