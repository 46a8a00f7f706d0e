"""Orders to one incarnation of a runner, one after another."""

from __future__ import annotations

from result import Ok, Result

from gooseberryrun._internal.state.serving import ResponseTimes, Runner

from .._events import log_event
from .._metrics import ORDER_SECONDS, ORDERS
from ._context import Context
from ._ports import OrderOp, OrderOutcome, RunnerOrder, RunnerReport

REPORT_LAG_S = 0.25
"""Age that a runner's report may have."""
MAX_UNANSWERED = 2
"""Orders without an answer in a row after which the report is asked."""


class RunnerOrders:
    """Gives orders guarded by the lease, the incarnation and the expected order count.

    The count is unknown at first and after anything unexpected; then no order is given
    until a report that is new enough tells it.
    """

    def __init__(self, ctx: Context, runner: Runner) -> None:
        self._ctx = ctx
        self._runner = runner
        self._seq: int | None = None
        self._unanswered = 0
        self._times = ResponseTimes()
        self._report_at = float("-inf")

    @property
    def is_count_known(self) -> bool:
        """Tell whether orders may be given."""
        return self._seq is not None

    @property
    def is_unanswered(self) -> bool:
        """Tell whether the last order got no answer."""
        return self._unanswered > 0

    def fencing_token(self) -> int | None:
        """Return the token for an order given now, None if this VM may give none."""
        now = self._ctx.clock.boottime()
        return self._ctx.rights_to(self._runner).fencing_token(self._runner, now)

    def forget_count(self) -> None:
        """Read the report before the next order."""
        self._seq = None

    def lose_count(self) -> None:
        """Stop giving orders until a later report tells the order count again."""
        self._seq = None
        self._report_at = self._ctx.clock.monotonic() + REPORT_LAG_S

    def read_report(self) -> Result[RunnerReport, str] | None:
        """Read the report; None while it may not tell of every order given."""
        if self._ctx.clock.monotonic() < self._report_at:
            return None
        read = self._ctx.ports.control.read_report(self._runner)
        if isinstance(read, Ok):
            self._seq = read.ok_value.order_seq
        else:
            log_event("report_unread", runner=self._runner.id, why=read.err_value)
        return read

    def repeat_load(self, adapter: str, version: int, token: int) -> OrderOutcome:
        """Order a load again that may be under way: it changes no count."""
        seq = self._seq
        outcome = self.give(OrderOp.LOAD, adapter, version, token)
        if outcome is OrderOutcome.ACCEPTED:
            self._seq = seq
        return outcome

    def give(self, op: OrderOp, adapter: str, version: int, token: int) -> OrderOutcome:
        """Give an order for an adapter, by its key among all models."""
        if self.fencing_token() != token or self._seq is None:
            return OrderOutcome.REJECTED
        model, _, name = adapter.partition("/")
        order = RunnerOrder(op, model, name, version, self._seq, token)
        outcome, took_s = self._send(order)
        log_event(
            "order",
            runner=self._runner.id,
            op=op,
            adapter=adapter,
            version=version,
            seq=self._seq,
            fencing_token=token,
            outcome=outcome,
            took_s=took_s,
        )
        self._count(op, outcome)
        return outcome

    def _send(self, order: RunnerOrder) -> tuple[OrderOutcome, float]:
        """Send an order; return what came of it and the seconds it took."""
        asked_at = self._ctx.clock.monotonic()
        outcome = self._ctx.ports.control.give_order(
            self._runner, order, self._times.timeout_s
        )
        took_s = self._ctx.clock.monotonic() - asked_at
        ORDERS.labels(op=order.op, outcome=outcome).inc()
        if outcome is not OrderOutcome.UNKNOWN:
            self._times.record(took_s)
            ORDER_SECONDS.observe(took_s)
        return outcome, took_s

    def _count(self, op: OrderOp, outcome: OrderOutcome) -> None:
        """Follow the runner's order count; unknown after anything unexpected."""
        if self._seq is None:
            return
        if outcome is OrderOutcome.UNKNOWN and self._unanswered < MAX_UNANSWERED:
            # It may still be carried out, but not after another one: each names the
            # count that it expects.
            self._unanswered += 1
            return
        self._unanswered = 0
        if outcome is OrderOutcome.ACCEPTED:
            self._seq += 1
        elif outcome is not OrderOutcome.HOLDS:
            self.lose_count()
        elif op is OrderOp.UNLOAD:
            self._seq += 1
