"""Records of the topics that every entry VM follows."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from ._epochs import Position
from ._routes import Configuration
from ._runners import Runner

MAX_REMOVALS_KEPT = 500
"""Removed entries that are kept to be sent to peers."""


class Topic(StrEnum):
    """Topics of records that every entry VM follows."""

    CONFIGURATION = "configuration"
    RUNNERS = "runners"


class AdapterVersion(msgspec.Struct, frozen=True, array_like=True):
    """Newest declared version of an adapter."""

    model: str
    adapter: str
    version: int


class DirectoryRecord(msgspec.Struct, frozen=True, array_like=True):
    """Newest record of one key.

    A record without a value removes the key; ``unreadable`` states why a value could
    not be read.
    """

    topic: Topic
    position: Position
    key: str
    configuration: Configuration | None = None
    adapter_version: AdapterVersion | None = None
    runner: Runner | None = None
    unreadable: str = ""


def drop_old_removals(records: dict[str, DirectoryRecord], entries: int) -> Position:
    """Drop the older half of the removals among records if there are too many.

    ``entries`` is the number of the other records. Returns the position from which on
    no removal was dropped.
    """
    if len(records) <= MAX_REMOVALS_KEPT + entries:
        return Position()
    removed = [record for record in records.values() if record.runner is None]
    dropped = sorted(removed, key=lambda r: r.position)[: len(removed) // 2]
    for record in dropped:
        del records[record.key]
    return dropped[-1].position.next() if dropped else Position()
