"""Sequential orders to one incarnation of a runner."""

from __future__ import annotations

from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import ResponseTimes, Runner

from .._events import log_event
from .._metrics import ORDER_SECONDS, ORDERS
from ._context import Context
from ._control_port import OrderOp, OrderOutcome, RunnerOrder, RunnerReport
from ._statements import record_restart

REPORT_LAG_S = 0.25
"""Largest age of a runner's report."""
ENTRY_WAIT_S = 1.0
"""Time for which a runner that has restarted gets no orders, since its entry in the
registry tells more than its report."""
MAX_UNANSWERED = 2
"""Consecutive unanswered orders after which the report is read again."""


class RunnerOrders:
    """Sends orders guarded by the lease, the incarnation and the expected order count.

    The count is unknown at first and after an unexpected outcome; no order is sent
    until a recent enough report contains it.
    """

    def __init__(self, ctx: Context, runner: Runner) -> None:
        self._ctx = ctx
        self._runner = runner
        self._seq: int | None = None
        self._unanswered = 0
        self._response_times = ResponseTimes()
        self._min_report_at = float("-inf")
        self._restart_seen_at: float | None = None

    @property
    def is_seq_known(self) -> bool:
        """Return whether the order count is known, so that orders may be sent."""
        return self._seq is not None

    @property
    def has_unanswered(self) -> bool:
        """Return whether the last order got no response."""
        return self._unanswered > 0

    def fencing_token(self) -> int | None:
        """Return the token for an order sent now, None if this VM may not order."""
        now = self._ctx.clock.boottime()
        return self._ctx.ownership_for(self._runner).fencing_token(self._runner, now)

    def clear_seq(self) -> None:
        """Require a report before the next order."""
        self._seq = None

    def invalidate_seq(self) -> None:
        """Require a report that is later than every order sent so far."""
        self._seq = None
        self._min_report_at = self._ctx.clock.monotonic() + REPORT_LAG_S

    def read_report(self) -> Result[RunnerReport, str] | None:
        """Read the report; None while it may not reflect every order sent."""
        if self._ctx.clock.monotonic() < self._min_report_at:
            return None
        read = self._ctx.ports.control.read_report(self._runner)
        if isinstance(read, Ok) and self._is_restarted(read.ok_value):
            self._handle_restart(read.ok_value.born_ms)
            read = Err("restarted")
        if isinstance(read, Ok):
            self._seq = read.ok_value.order_seq
        else:
            log_event("report_unread", runner=self._runner.id, why=read.err_value)
        return read

    def _is_restarted(self, report: RunnerReport) -> bool:
        """Return whether a report is of a later incarnation; both may tell no start."""
        return 0 < self._runner.born_ms < report.born_ms

    def _handle_restart(self, born_ms: int) -> None:
        """Wait for the entry of a runner that has restarted, then do without it."""
        now = self._ctx.clock.monotonic()
        self._seq = None
        if self._restart_seen_at is None:
            self._restart_seen_at = now
        if now - self._restart_seen_at < ENTRY_WAIT_S:
            return
        record_restart(self._ctx, self._runner.id, born_ms, "report")

    def repeat_load(self, adapter: str, version: int, token: int) -> OrderOutcome:
        """Repeat the order of a load in progress, which leaves the count unchanged."""
        seq = self._seq
        outcome = self.send_order(OrderOp.LOAD, adapter, version, token)
        if outcome is OrderOutcome.ACCEPTED:
            self._seq = seq
        return outcome

    def send_order(
        self, op: OrderOp, adapter: str, version: int, token: int
    ) -> OrderOutcome:
        """Send an order for an adapter, given by its key."""
        if self.fencing_token() != token or self._seq is None:
            return OrderOutcome.REJECTED
        model, _, name = adapter.partition("/")
        order = RunnerOrder(op, model, name, version, self._seq, token)
        outcome, took_s = self._transmit(order)
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
        self._update_seq(op, outcome)
        return outcome

    def _transmit(self, order: RunnerOrder) -> tuple[OrderOutcome, float]:
        """Transmit an order; return its outcome and the seconds it took."""
        requested_at = self._ctx.clock.monotonic()
        self._ctx.ownership_for(self._runner).record_order(self._runner)
        outcome = self._ctx.ports.control.send_order(
            self._runner, order, self._response_times.timeout_s
        )
        took_s = self._ctx.clock.monotonic() - requested_at
        ORDERS.labels(op=order.op, outcome=outcome).inc()
        if outcome is not OrderOutcome.UNKNOWN:
            self._response_times.record(took_s)
            ORDER_SECONDS.observe(took_s)
        return outcome, took_s

    def _update_seq(self, op: OrderOp, outcome: OrderOutcome) -> None:
        """Update the expected order count; unknown after an unexpected outcome."""
        if self._seq is None:
            return
        if outcome is OrderOutcome.UNKNOWN and self._unanswered < MAX_UNANSWERED:
            # The order may still be executed, but not after another one, since each
            # contains the count that it expects.
            self._unanswered += 1
            return
        self._unanswered = 0
        if outcome is OrderOutcome.ACCEPTED:
            self._seq += 1
        elif outcome is not OrderOutcome.HOLDS:
            self.invalidate_seq()
        elif op is OrderOp.UNLOAD:
            self._seq += 1
