"""State and decisions of platform mode: routes, runners, ownership and placement."""

from ._adapter_slots import (
    DEFAULT_SLOT_WAIT_S,
    AdapterSlots,
    Plan,
    RecentAdapters,
    SlotWaitEstimator,
    Step,
)
from ._brittle import PAUSE_JITTER, pause_after_refusal_s
from ._budget import RetryAllowance, ServiceRetryBudget
from ._crash_evidence import (
    MAX_PARTS,
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
from ._fleet_size import LARGE_FLEET_VMS, FleetSize, estimate_vms
from ._gossip_fanout import (
    ACTIVE_HOLD_S,
    IDLE_CONTACTS,
    IDLE_FANOUT,
    GossipActivity,
    idle_contacts,
)
from ._heard_end import HeardEnd
from ._loads import RunnerLoads, RunnerView, fits_memory
from ._outage_reports import (
    REPORT_TTL_S,
    TAKEOVER_DELAY_S,
    Departure,
    OutageReports,
)
from ._ownership import OwnershipState
from ._pauses import RunnerPauses
from ._placement import (
    Candidate,
    Choice,
    choose_model_runner,
    choose_plain_server,
    expected_first_event_s,
    failure_rate,
    model_runner_cost_s,
    plain_server_cost,
    rank_candidates,
)
from ._policy import ServingPolicy
from ._prefill import PrefillAdmission, PrefillLoad, PrefillPace
from ._read_pacing import ReadPacing
from ._read_schedule import ReadSchedule
from ._recorded_views import (
    MAX_EARLIER_VIEWS,
    RecordedView,
    RecordedViews,
    ViewRecords,
)
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
from ._runner_reach import RunnerReach
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
from ._views import (
    FORMER_MEMBER_TTL_S,
    Assignable,
    Member,
    UsageAllocation,
    View,
    make_view,
    usage_allocation,
)
from ._waiting import EXPECTED_LOAD_S, EXPECTED_RELOAD_S, SlotWait

__all__ = [
    "LARGE_FLEET_VMS",
    "CRASHES_TO_REFUSE",
    "DEFAULT_SLOT_WAIT_S",
    "EXPECTED_LOAD_S",
    "EXPECTED_RELOAD_S",
    "FORMER_MEMBER_TTL_S",
    "MAX_EARLIER_VIEWS",
    "MAX_ORIGINS",
    "MAX_ORIGIN_S",
    "MAX_PARTS",
    "MAX_TURN_WAIT_S",
    "PAUSE_JITTER",
    "READERS_PER_DOMAIN",
    "ACTIVE_HOLD_S",
    "IDLE_CONTACTS",
    "IDLE_FANOUT",
    "GossipActivity",
    "idle_contacts",
    "REPORT_TTL_S",
    "TAKEOVER_DELAY_S",
    "AdapterSlots",
    "AdapterVersion",
    "Assignable",
    "Candidate",
    "Choice",
    "ClientLimits",
    "Configuration",
    "Crash",
    "CrashEvidence",
    "CrashLimits",
    "Departure",
    "DirectoryRecord",
    "DirectoryState",
    "EngineSpec",
    "ExpectedTurns",
    "FleetSize",
    "Handling",
    "HeldModel",
    "HeardEnd",
    "Member",
    "ModelSpec",
    "OutageReports",
    "OwnershipState",
    "Permit",
    "Plan",
    "Position",
    "PrefillAdmission",
    "PrefillLoad",
    "PrefillPace",
    "RateLimit",
    "ReadPacing",
    "ReadSchedule",
    "RecordedView",
    "RecordedViews",
    "RecentAdapters",
    "ResponseTimes",
    "RetryAllowance",
    "Route",
    "RouteKind",
    "RouteTable",
    "Runner",
    "RunnerLoads",
    "RunnerPauses",
    "RunnerReach",
    "RunnerQueue",
    "RunnerStatement",
    "RunnerStatements",
    "RunnerView",
    "Service",
    "ServiceRetryBudget",
    "ServingPolicy",
    "SlotWait",
    "SlotWaitEstimator",
    "SoftwareVersions",
    "Step",
    "StoredCrash",
    "StreamOrigin",
    "StreamOrigins",
    "StreamPace",
    "StreamTiming",
    "Suspicion",
    "Topic",
    "Trait",
    "TraitKind",
    "Turn",
    "TurnSchedules",
    "UsageAllocation",
    "Verdict",
    "View",
    "ViewRecords",
    "Waiter",
    "WeightedService",
    "adapter_key",
    "choose_model_runner",
    "choose_plain_server",
    "combine_generation",
    "estimate_vms",
    "expected_first_event_s",
    "failure_rate",
    "fits_memory",
    "follows_all_domains",
    "generation_number",
    "is_base_model",
    "is_followed_from",
    "model_runner_cost_s",
    "plain_server_cost",
    "is_undeclared",
    "make_view",
    "rank_candidates",
    "pause_after_refusal_s",
    "reader_rank",
    "readers",
    "reads_store",
    "usage_allocation",
]
