"""Orders to one engine: evict and load, under a permit and a fencing number."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import Counter
from result import Err, Result

from gooseberryrun._internal.state import FencingNumber, Vm, check_invariant

from ._errors import EngineError
from ._events import log_event
from ._leases import Leases
from ._metrics import EVICTIONS, LOADS
from ._ports import Engines
from ._runner_messages import OrderFinished
from ._scheduler import LoadOrder
from ._tracing import start_span


class EngineOrders:
    """Executes the owner's orders; blocks, so it runs outside the owner's task.

    ``count_pins`` returns how many grants currently use an adapter version.
    """

    def __init__(
        self,
        runner: str,
        leases: Leases,
        engines: Engines,
        count_pins: Callable[[str], int],
    ) -> None:
        self._runner = runner
        self._leases = leases
        self._engines = engines
        self._count_pins = count_pins

    def execute(
        self, engine: Vm, order: LoadOrder, fencing: FencingNumber, traceparent: str
    ) -> OrderFinished:
        """Evict the order's victim, then load; a failed step ends the order."""
        with start_span("engine.load", traceparent) as span:
            span.set_attribute("runner", self._runner)
            span.set_attribute("model", order.model)
            evicted = None
            if order.victim is not None:
                evicted = self._evict(engine, order.victim, fencing)
                if not evicted:
                    return OrderFinished(order, False, None)
            return OrderFinished(
                order, evicted, self._load(engine, order.model, fencing)
            )

    def _evict(self, engine: Vm, model: str, fencing: FencingNumber) -> bool:
        check_invariant(self._count_pins(model) == 0, "no-eviction-in-use", model)
        is_lease_valid = self._make_lease_check(fencing)
        result = self._engines.unload(engine, model, fencing, is_lease_valid)
        return self._record_result(EVICTIONS, "evict", model, result)

    def _load(self, engine: Vm, model: str, fencing: FencingNumber) -> bool:
        is_lease_valid = self._make_lease_check(fencing)
        result = self._engines.load(engine, model, fencing, is_lease_valid)
        return self._record_result(LOADS, "load", model, result)

    def _make_lease_check(self, fencing: FencingNumber) -> Callable[[], bool]:
        return lambda: self._leases.is_valid(self._runner, fencing)

    def _record_result(
        self, counter: Counter, name: str, model: str, result: Result[None, EngineError]
    ) -> bool:
        """Count and log the result of a step; return whether it succeeded."""
        if not isinstance(result, Err):
            counter.labels(result="ok").inc()
            return True
        counter.labels(result=str(result.err_value.fault)).inc()
        log_event(
            f"{name}_failed",
            level="warning",
            runner=self._runner,
            model=model,
            fault=result.err_value.fault,
            detail=result.err_value.detail,
        )
        return False
