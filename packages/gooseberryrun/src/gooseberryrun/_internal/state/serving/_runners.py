"""Backend servers as the platform's registry describes them."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec


class HeldModel(msgspec.Struct, frozen=True):
    """Model loaded by a runner, with the versions of its loaded adapters by name."""

    name: str
    version: int
    adapters: dict[str, int]


@dataclass(frozen=True, slots=True)
class Runner:
    """Entry of one backend server in the registry.

    ``born_ms`` is the Unix time of its start in ms and identifies its incarnation;
    ``order_seq`` counts the orders that it has accepted since then. What runners of
    different ``software_version`` write does not fit together; it is empty if unknown.
    """

    id: str
    service: str
    host: str
    port: int
    domain: str
    slots: int
    draining: bool
    born_ms: int
    order_seq: int
    models: tuple[HeldModel, ...]
    software_version: str = ""

    def is_older_than(self, other: Runner) -> bool:
        """Return whether this entry was written before ``other``."""
        return (self.born_ms, self.order_seq) < (other.born_ms, other.order_seq)
