"""Tasks and ports of entry VMs that serve by routes."""

from ._active_request import ActiveRequest, LocalResponse
from ._context import Context, StoreStatus, make_context
from ._control_port import (
    OrderOp,
    OrderOutcome,
    RunnerControl,
    RunnerOrder,
    RunnerReport,
)
from ._event_stream import EventBuffer
from ._ports import Ports
from ._request_ports import (
    AttemptFailure,
    AttemptFault,
    Caller,
    CallerDisconnectedError,
    CheckedHead,
    EarlyRefusal,
    ForwardingMetadata,
    HeaderCodec,
    Headers,
    InboundRequest,
    OutboundRequest,
    PromptPart,
    RequestHandler,
    RequestInterruptedError,
    RequestMetadata,
    ResponseMetadata,
    RunnerRequests,
    RunnerResponse,
    StoppingError,
)
from ._responses import end_to_end
from ._serving import Serving
from ._store_port import ControlStore, Origins, Records, StoreFault, StoreFaultKind
from .where import parse_query

__all__ = [
    "ActiveRequest",
    "ResponseMetadata",
    "AttemptFailure",
    "AttemptFault",
    "Caller",
    "CallerDisconnectedError",
    "RequestInterruptedError",
    "StoppingError",
    "Context",
    "ControlStore",
    "CheckedHead",
    "EarlyRefusal",
    "EventBuffer",
    "ForwardingMetadata",
    "HeaderCodec",
    "Headers",
    "InboundRequest",
    "Origins",
    "OrderOp",
    "OrderOutcome",
    "OutboundRequest",
    "LocalResponse",
    "Ports",
    "PromptPart",
    "Records",
    "RequestMetadata",
    "RequestHandler",
    "RunnerResponse",
    "RunnerControl",
    "RunnerOrder",
    "RunnerReport",
    "RunnerRequests",
    "Serving",
    "StoreFault",
    "StoreStatus",
    "StoreFaultKind",
    "end_to_end",
    "make_context",
    "parse_query",
]
