"""Bounds of the processor time that the input of one connection takes from others.

Parsing costs about the same for each piece of a message, however short it is. A message
in short pieces without end must neither keep the event loop from its next turn nor,
turn by turn, use up the processor for as long as it lasts.
"""

from __future__ import annotations

import eventlet

from gooseberryrun._internal.state import Clock

PIECES_PER_TURN = 32
"""Pieces that are parsed before control returns to the event loop."""
READS_PER_TURN = 16
"""Reads of a socket before control returns to the event loop: one that always has bytes
never blocks, and would starve other green threads and timeouts."""
SHORT_PIECE_BYTES = 1024
"""Length below which a piece counts as short."""
FREE_PIECES = 1024
"""Short pieces of a message that are parsed without a delay."""
STREAM_PIECES_PER_S = 500
"""Rate of short pieces at which a stream of events is never delayed."""
SHARED_PIECES_PER_S = 2000
"""Rate of further short pieces, of all connections of the process together."""


class SharedPieces:
    """Times at which the connections of a process may parse further short pieces."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._free_at = float("-inf")

    def delay_s(self, pieces: int) -> float:
        """Take a share for pieces; return the seconds until it has passed."""
        now = self._clock.monotonic()
        self._free_at = max(now, self._free_at) + pieces / SHARED_PIECES_PER_S
        return self._free_at - now


class InputWork:
    """Work that one connection's input has cost since its last turn."""

    def __init__(self, shared: SharedPieces, clock: Clock) -> None:
        self._shared = shared
        self._clock = clock
        self._reads = 0
        self._pieces = 0
        self._overdrawn = 0
        self.begin_message()

    def begin_message(self) -> None:
        """Begin another message, with all of its free pieces."""
        self._free_pieces = float(FREE_PIECES)
        self._pieces_per_s = 0.0
        self._refilled_at = self._clock.monotonic()

    def allow_stream(self) -> None:
        """Allow further free pieces as time passes, since the message is a stream."""
        self._pieces_per_s = STREAM_PIECES_PER_S
        self._refilled_at = self._clock.monotonic()

    def count_read(self) -> None:
        """Count a read; let others run after some of them."""
        self._reads += 1
        if self._reads >= READS_PER_TURN:
            self._end_turn()

    def count_piece(self, size: int) -> None:
        """Count a parsed piece of ``size`` bytes; let others run after some of them."""
        self._pieces += 1
        if size < SHORT_PIECE_BYTES:
            self._take_free_piece()
        if self._pieces >= PIECES_PER_TURN:
            self._end_turn()

    def is_turn_over_next(self) -> bool:
        """Return whether control returns to the event loop at the next piece."""
        return self._pieces + 1 >= PIECES_PER_TURN

    def _take_free_piece(self) -> None:
        if self._free_pieces >= 1.0:
            self._free_pieces -= 1.0
        else:
            self._overdrawn += 1

    def _end_turn(self) -> None:
        overdrawn, self._overdrawn = self._overdrawn, 0
        self._reads = self._pieces = 0
        eventlet.sleep(self._shared.delay_s(overdrawn) if overdrawn else 0.0)
        self._refill()

    def _refill(self) -> None:
        now = self._clock.monotonic()
        earned = self._pieces_per_s * (now - self._refilled_at)
        self._free_pieces = min(FREE_PIECES, self._free_pieces + earned)
        self._refilled_at = now
