"""Numbers of the store that stay in order when it comes back from an older copy.

Such a store begins a new epoch, in which it gives out offsets and generations again
that it had given out before.
"""

from __future__ import annotations

import msgspec

GENERATIONS_PER_EPOCH = 10**9


class Position(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Offset in a topic, in one epoch of the store; later epochs come after all."""

    epoch: int = 0
    offset: int = 0

    def next(self) -> Position:
        """Return the position of the next record."""
        return Position(self.epoch, self.offset + 1)


def combine_generation(epoch: int, number: int) -> int:
    """Return a generation that is higher than all generations of earlier epochs."""
    return epoch * GENERATIONS_PER_EPOCH + number


def generation_number(generation: int, epoch: int) -> int:
    """Return the store's own number of a generation, 0 if it is of another epoch."""
    own_epoch, number = divmod(generation, GENERATIONS_PER_EPOCH)
    return number if own_epoch == epoch else 0


def store_epoch(generation: int) -> int:
    """Return the epoch of the store in which a generation was given out."""
    return generation // GENERATIONS_PER_EPOCH
