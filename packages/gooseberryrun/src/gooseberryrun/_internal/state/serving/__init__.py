"""State of serving by routes: configuration, runners, ownership, loads, decisions."""

from ._budget import RepeatBudget
from ._directory import AdapterVersion, DirectoryRecord, DirectoryState, Topic
from ._horizon import (
    READERS,
    is_in_horizon,
    reader_rank,
    reads_store,
    sees_all_runners,
)
from ._loads import RunnerLoads, RunnerView
from ._ownership import OwnershipState
from ._placement import (
    Candidate,
    Choice,
    choose_model_runner,
    choose_plain_server,
    expected_first_event_s,
    failure_share,
)
from ._places import (
    DEFAULT_TURN_S,
    AdapterMemory,
    AdapterPlaces,
    PlaceTurns,
    Plan,
    Step,
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
from ._runners import HeldModel, Runner
from ._views import Member, View
from ._waiting import LOAD_S, RELOAD_S, Wait

__all__ = [
    "DEFAULT_TURN_S",
    "LOAD_S",
    "READERS",
    "RELOAD_S",
    "AdapterMemory",
    "AdapterPlaces",
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
    "PlaceTurns",
    "Plan",
    "RepeatBudget",
    "ResponseTimes",
    "Route",
    "RouteKind",
    "RouteTable",
    "Runner",
    "RunnerLoads",
    "RunnerView",
    "Service",
    "Step",
    "Topic",
    "View",
    "Wait",
    "WeightedService",
    "choose_model_runner",
    "choose_plain_server",
    "expected_first_event_s",
    "failure_share",
    "is_in_horizon",
    "reader_rank",
    "reads_store",
    "sees_all_runners",
]
