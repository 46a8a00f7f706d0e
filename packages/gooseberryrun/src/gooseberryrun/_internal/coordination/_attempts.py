"""State of a completion across its attempts, and classes of engine faults."""

from __future__ import annotations

from dataclasses import dataclass, field

from gooseberryrun._internal.state import RunOutcome, Vm

from ._crashes import CRASH_PROBES
from ._errors import EngineError, EngineFault
from ._ports import EngineStream
from ._requests import CompletionRequest

RETRY_PAUSE_S = 0.05
"""Pause before the first retry; it doubles with each further one."""
MAX_RETRY_PAUSE_S = 1.0

_NEVER_RAN = (
    EngineFault.NOT_SENT,
    EngineFault.UNREACHABLE,
    EngineFault.NOT_RESIDENT,
)
FAULTS_WITHOUT_WORK = (EngineFault.NOT_SENT, EngineFault.NOT_RESIDENT)
"""Faults of attempts for which no engine did any work."""
AVOID_RUNNER_FAULTS = (
    EngineFault.NOT_SENT,
    EngineFault.UNREACHABLE,
    EngineFault.BROKEN,
)
"""Faults after which placement avoids the runner for a while."""
PROBES_BY_FAULT = {
    EngineFault.BROKEN: CRASH_PROBES,
    EngineFault.TIMEOUT: 1,
    EngineFault.LEASE_EXPIRED: 1,
}
"""Number of crash probes that are sent to a runner, by the fault of an attempt."""
_UNAVAILABLE_STATUS = 503


@dataclass(slots=True)
class CompletionRun:
    """Progress of one completion across its attempts.

    ``dispatched`` is set once an engine may have executed part of the request.
    """

    request: CompletionRequest
    attempts: int = 0
    grant_requests: int = 0
    engine_request_id: str = ""
    events_sent: int = 0
    dispatched: bool = False
    complete: bool = False
    excluded_runners: set[str] = field(default_factory=set)
    engine: Vm | None = None
    grant_id: str = ""
    incarnation: str = ""
    stream: EngineStream | None = None

    def outcome(self) -> RunOutcome:
        """Return "not run" only if no engine can have accepted an attempt."""
        return RunOutcome.UNKNOWN if self.dispatched else RunOutcome.NOT_RUN


def never_ran(error: EngineError) -> bool:
    """Return whether it is certain that an engine executed nothing of an attempt."""
    if error.fault is EngineFault.REJECTED:
        return error.status < 500 or error.status == _UNAVAILABLE_STATUS
    return error.fault in _NEVER_RAN
