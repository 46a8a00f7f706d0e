"""State and decisions of platform mode: routes, runners, ownership and placement."""

from ._adapter_slots import (
    DEFAULT_SLOT_WAIT_S,
    AdapterSlots,
    Plan,
    RecentAdapters,
    SlotWaitEstimator,
    Step,
)
from ._budget import RetryAllowance, ServiceRetryBudget
from ._crash_evidence import (
    MAX_PARTS,
    RECENT_ANSWER_S,
    CrashEvidence,
)
from ._crash_traits import (
    CRASHES_TO_REFUSE,
    Crash,
    CrashLimits,
    Handling,
    StoredCrash,
    Suspicion,
    Trait,
    TraitKind,
    Verdict,
)
from ._directory import DirectoryState
from ._directory_records import AdapterVersion, DirectoryRecord, Topic
from ._distribution import (
    READERS_PER_DOMAIN,
    follows_all_domains,
    is_followed_from,
    reader_rank,
    readers,
    reads_store,
)
from ._epochs import Position, combine_generation, generation_number
from ._fleet_size import FleetSize, estimate_vms
from ._loads import RunnerLoads, RunnerView
from ._ownership import OwnershipState
from ._pauses import RunnerPauses
from ._placement import (
    Candidate,
    Choice,
    choose_model_runner,
    choose_plain_server,
    expected_first_event_s,
    failure_rate,
)
from ._policy import ServingPolicy
from ._prefill import PrefillAdmission, PrefillLoad, PrefillPace
from ._read_pacing import ReadPacing
from ._response_times import ResponseTimes
from ._routes import (
    ClientLimits,
    Configuration,
    EngineSpec,
    ModelSpec,
    Route,
    RouteKind,
    RouteTable,
    Service,
    WeightedService,
)
from ._runner_queue import RunnerQueue, Waiter, adapter_key, is_base_model
from ._runners import HeldModel, Runner
from ._software import (
    MAX_ORIGIN_S,
    MAX_ORIGINS,
    SoftwareVersions,
    StreamOrigin,
    StreamOrigins,
    is_undeclared,
)
from ._statements import RateLimit, RunnerStatement, RunnerStatements
from ._stream_timing import StreamPace, StreamTiming
from ._turns import (
    MAX_TURN_WAIT_S,
    ExpectedTurns,
    Permit,
    Turn,
    TurnSchedules,
)
from ._views import FORMER_MEMBER_TTL_S, Member, View
from ._waiting import EXPECTED_LOAD_S, EXPECTED_RELOAD_S, SlotWait

__all__ = [
    "CRASHES_TO_REFUSE",
    "FORMER_MEMBER_TTL_S",
    "MAX_ORIGINS",
    "MAX_ORIGIN_S",
    "MAX_PARTS",
    "MAX_TURN_WAIT_S",
    "ExpectedTurns",
    "Permit",
    "Position",
    "ReadPacing",
    "SoftwareVersions",
    "StreamOrigin",
    "StreamOrigins",
    "readers",
    "combine_generation",
    "generation_number",
    "Turn",
    "TurnSchedules",
    "RECENT_ANSWER_S",
    "Crash",
    "CrashEvidence",
    "CrashLimits",
    "FleetSize",
    "Handling",
    "StoredCrash",
    "Suspicion",
    "Trait",
    "TraitKind",
    "Verdict",
    "DEFAULT_SLOT_WAIT_S",
    "EXPECTED_LOAD_S",
    "READERS_PER_DOMAIN",
    "EXPECTED_RELOAD_S",
    "RateLimit",
    "RecentAdapters",
    "AdapterSlots",
    "AdapterVersion",
    "Candidate",
    "Choice",
    "ClientLimits",
    "Configuration",
    "DirectoryRecord",
    "DirectoryState",
    "EngineSpec",
    "HeldModel",
    "Member",
    "ModelSpec",
    "OwnershipState",
    "ServingPolicy",
    "SlotWaitEstimator",
    "Plan",
    "PrefillAdmission",
    "PrefillLoad",
    "PrefillPace",
    "ServiceRetryBudget",
    "ResponseTimes",
    "Route",
    "RouteKind",
    "RouteTable",
    "Runner",
    "RetryAllowance",
    "RunnerLoads",
    "RunnerPauses",
    "RunnerQueue",
    "RunnerStatement",
    "RunnerStatements",
    "RunnerView",
    "Service",
    "Step",
    "StreamPace",
    "StreamTiming",
    "Topic",
    "View",
    "Waiter",
    "SlotWait",
    "WeightedService",
    "adapter_key",
    "choose_model_runner",
    "choose_plain_server",
    "expected_first_event_s",
    "failure_rate",
    "is_base_model",
    "is_undeclared",
    "estimate_vms",
    "is_followed_from",
    "reader_rank",
    "reads_store",
    "follows_all_domains",
]
