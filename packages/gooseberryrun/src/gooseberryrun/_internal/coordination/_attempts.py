"""Attempts of one request: their progress and what their failures mean."""

from __future__ import annotations

from dataclasses import dataclass, field

from gooseberryrun._internal.state import RunOutcome, Vm

from ._crashes import CRASH_PROBES
from ._errors import EngineError, EngineFault
from ._ports import EngineStream
from ._requests import CompletionRequest

RETRY_PAUSE_S = 0.05
"""First pause before a repeated attempt; doubles with each one."""
MAX_RETRY_PAUSE_S = 1.0
_NEVER_RAN = (
    EngineFault.NOT_SENT,
    EngineFault.UNREACHABLE,
    EngineFault.NOT_RESIDENT,
)
NO_WORK = (EngineFault.NOT_SENT, EngineFault.NOT_RESIDENT)
"""Faults of attempts that cost no engine any work."""
AVOIDED = (EngineFault.NOT_SENT, EngineFault.UNREACHABLE, EngineFault.BROKEN)
"""Faults after which a runner is passed over for a while."""
PROBES_BY_FAULT = {
    EngineFault.BROKEN: CRASH_PROBES,
    EngineFault.TIMEOUT: 1,
    EngineFault.LEASE_LAPSED: 1,
}
"""How often a runner is asked whether it crashed, by the fault of an attempt."""
_UNAVAILABLE_STATUS = 503


@dataclass(slots=True)
class CompletionRun:
    """Progress of one request over its attempts."""

    request: CompletionRequest
    attempts: int = 0
    grant_requests: int = 0
    engine_request_id: str = ""
    events_sent: int = 0
    dispatched: bool = False
    complete: bool = False
    exclude: set[str] = field(default_factory=set)
    engine: Vm | None = None
    grant_id: str = ""
    incarnation: str = ""
    stream: EngineStream | None = None

    def outcome(self) -> RunOutcome:
        """Say "not run" only if no attempt reached an engine that accepted it."""
        return RunOutcome.UNKNOWN if self.dispatched else RunOutcome.NOT_RUN


def never_ran(error: EngineError) -> bool:
    """Tell whether an engine surely executed nothing of a failed attempt."""
    if error.fault is EngineFault.REJECTED:
        return error.status < 500 or error.status == _UNAVAILABLE_STATUS
    return error.fault in _NEVER_RAN
