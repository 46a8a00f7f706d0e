"""Records of the topics that every entry VM follows."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from ._epochs import Position
from ._routes import Configuration
from ._runners import Runner


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
