"""Messages between entry VMs that serve by routes."""

from __future__ import annotations

from ._admission_messages import (
    SlotAnswer,
    SlotNotice,
    SlotRelease,
    SlotRequest,
    UsageAnswer,
    UsageRequest,
)
from ._directory_messages import (
    DirectoryNotice,
    DirectoryReply,
    DirectoryRequest,
    OriginAnswer,
    OriginRequest,
    OriginsNotice,
    ServingGossip,
)
from ._evidence_messages import (
    AnswerReport,
    CrashReport,
    EvidenceNotice,
    EvidenceRequest,
)
from ._member_messages import (
    HandoverNotice,
    LeavingNotice,
    RenewAnswer,
    RenewRequest,
    StoreStatusAnswer,
    StoreStatusRequest,
    ViewNotice,
)
from ._runner_messages import (
    AcquireAnswer,
    AcquireRequest,
    PrefillNotice,
    ResidencyNotice,
    TurnAnswer,
    TurnRequest,
    UseNotice,
)

ServingMessage = (
    AcquireRequest
    | AcquireAnswer
    | UseNotice
    | PrefillNotice
    | ViewNotice
    | HandoverNotice
    | LeavingNotice
    | StoreStatusRequest
    | StoreStatusAnswer
    | RenewRequest
    | RenewAnswer
    | ResidencyNotice
    | ServingGossip
    | DirectoryNotice
    | DirectoryRequest
    | DirectoryReply
    | EvidenceNotice
    | EvidenceRequest
    | TurnRequest
    | TurnAnswer
    | SlotRequest
    | SlotAnswer
    | SlotNotice
    | SlotRelease
    | UsageRequest
    | UsageAnswer
    | OriginsNotice
    | OriginRequest
    | OriginAnswer
)

__all__ = [
    "AcquireAnswer",
    "AcquireRequest",
    "AnswerReport",
    "CrashReport",
    "DirectoryNotice",
    "DirectoryReply",
    "DirectoryRequest",
    "EvidenceNotice",
    "EvidenceRequest",
    "HandoverNotice",
    "LeavingNotice",
    "OriginAnswer",
    "OriginRequest",
    "OriginsNotice",
    "PrefillNotice",
    "RenewAnswer",
    "RenewRequest",
    "ResidencyNotice",
    "ServingGossip",
    "ServingMessage",
    "SlotAnswer",
    "SlotNotice",
    "SlotRelease",
    "SlotRequest",
    "StoreStatusAnswer",
    "StoreStatusRequest",
    "TurnAnswer",
    "TurnRequest",
    "UsageAnswer",
    "UsageRequest",
    "UseNotice",
    "ViewNotice",
]
