"""Interface of serving by routes to runners that get orders."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import StrEnum

import msgspec
from result import Result

from gooseberryrun._internal.state.serving import HeldModel, Runner


class RunnerReport(msgspec.Struct, frozen=True):
    """Self-reported state of a model runner, some hundred milliseconds old.

    ``loading`` maps each adapter being loaded, as ``model/adapter``, to its version.
    ``born_ms`` identifies the incarnation, 0 if the report does not tell; so does
    ``kv_total``, the tokens of the requests that fit the runner's memory.
    """

    models: tuple[HeldModel, ...]
    loading: dict[str, int]
    is_busy: bool
    order_seq: int
    in_flight: int
    queued: int
    born_ms: int = 0
    kv_total: int = 0


class OrderOp(StrEnum):
    """Kind of an order."""

    LOAD = "load"
    UNLOAD = "unload"


class RunnerOrder(msgspec.Struct, frozen=True):
    """Order to a runner, guarded by a fencing token and the expected order count."""

    op: OrderOp
    model: str
    adapter: str
    version: int
    expected_seq: int
    fencing_token: int


class OrderOutcome(StrEnum):
    """Outcome of an order; ``UNKNOWN`` if the runner did not respond."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    UNKNOWN = "unknown"


class RunnerControl(ABC):
    """Reads reports of runners and sends them orders."""

    @abstractmethod
    def read_report(self, runner: Runner) -> Result[RunnerReport, str]:
        """Read a runner's report."""

    @abstractmethod
    def send_order(
        self, runner: Runner, order: RunnerOrder, timeout_s: float
    ) -> OrderOutcome:
        """Send an order once and wait up to ``timeout_s`` for the response."""
