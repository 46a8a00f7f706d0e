"""Prometheus metrics of an entry VM.

Label values come from bounded sets: adapters, for example, are never labels.
"""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

PREFIX = "gooseberryrun_"
_SECONDS = (0.001, 0.005, 0.02, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 60)

REQUESTS = Counter(
    PREFIX + "requests", "Requests answered, by route and status", ["route", "status"]
)
AUTHENTICATIONS = Counter(
    PREFIX + "authentications", "Checks of requests' API keys, by outcome", ["outcome"]
)
REFUSALS = Counter(PREFIX + "refusals", "Refusals, by code", ["code"])
SERVED_SECONDS = Histogram(
    PREFIX + "served_seconds",
    "Time from a request read to the end of its answer, by kind and status class",
    ["kind", "status"],
    buckets=_SECONDS,
)
FIRST_EVENT_SECONDS = Histogram(
    PREFIX + "first_event_seconds",
    "Time from a request read to the first event of its stream",
    buckets=_SECONDS,
)
LONGEST_PAUSE_SECONDS = Histogram(
    PREFIX + "longest_pause_seconds",
    "Longest pause between two events of a stream",
    buckets=_SECONDS,
)
ORDERS = Counter(PREFIX + "orders", "Orders to runners, by outcome", ["op", "outcome"])
ORDER_SECONDS = Histogram(
    PREFIX + "order_seconds", "Time until an order was answered", buckets=_SECONDS
)
CRASH_REPORTS = Counter(
    PREFIX + "crash_reports", "Crashes blamed on a trait of requests", ["kind"]
)
RUNNER_LIMIT_CHANGES = Counter(
    PREFIX + "runner_limit_changes", "Changes of the rate limits that runners name"
)
RUNNER_PAUSES = Counter(
    PREFIX + "runner_pauses", "Refusals of runners that ask for a pause"
)
RUNNERS_LEAVING = Counter(
    PREFIX + "runners_leaving",
    "Incarnations of runners that said in a response that they leave",
)
STREAMS_TAKEN_UP = Counter(
    PREFIX + "streams_taken_up",
    "Requests that take a broken stream up, by what is known of its software version",
    ["outcome"],
)
TURNS = Counter(
    PREFIX + "turns", "Turns asked for at runners with a rate limit", ["outcome"]
)
CROSSING_SHARE = Gauge(
    PREFIX + "crossing_share",
    "Share of a service's requests that goes to another failure domain",
    ["service", "domain"],
)
CROSSINGS = Counter(
    PREFIX + "crossings",
    "Requests selected for another failure domain, and those of them that stayed",
    ["service", "outcome"],
)
RUNNER_WEIGHT_CHANGES = Counter(
    PREFIX + "runner_weight_changes",
    "Changes of the weights by which owned runners are homes of adapters",
)
PRESSURE_SECONDS = Gauge(
    PREFIX + "pressure_seconds",
    "Expected wait at the own failure domain's servers of a service",
    ["service"],
)
SLOT_WAITS = Histogram(
    PREFIX + "slot_waits_seconds",
    "Time from the request for a slot of a plain server to the decision",
    buckets=_SECONDS,
)
SLOT_DECISIONS = Counter(
    PREFIX + "slot_decisions",
    "Requests for slots of plain servers, by outcome",
    ["outcome"],
)
USAGE_DECISIONS = Counter(
    PREFIX + "usage_decisions",
    "Requests of capped accounts that asked for a usage permit",
    ["outcome"],
)
USAGE_QUESTIONS = Counter(
    PREFIX + "usage_questions", "Requests for usage to other VMs", ["outcome"]
)
STORE_CALLS = Counter(
    PREFIX + "store_calls", "Calls to the operators' store", ["call", "outcome"]
)
LEASE_LEFT = Gauge(PREFIX + "lease_left_seconds", "Time left at the last renewal")
VIEW_MEMBERS = Gauge(PREFIX + "view_members", "Entry VMs in the view in force")
RUNNERS_OWNED = Gauge(PREFIX + "runners_owned", "Model runners that this VM owns")
CONFIGURATION_VERSION = Gauge(
    PREFIX + "configuration_version", "Version of the configuration in force"
)
LOAD_STALL = Histogram(
    PREFIX + "load_stall_seconds",
    "Time requests waited for an adapter to arrive",
    buckets=_SECONDS,
)
GRANT_WAIT = Histogram(
    PREFIX + "grant_wait_seconds", "Time from grant request to grant", buckets=_SECONDS
)
BATCH_FILL = Gauge(
    PREFIX + "batch_fill_ratio", "Filled share of the batches of owned runners"
)
LOADS = Counter(PREFIX + "adapter_loads", "Load orders, by result", ["result"])
EVICTIONS = Counter(PREFIX + "adapter_evictions", "Evict orders, by result", ["result"])
TAKEOVERS = Counter(PREFIX + "takeovers", "Runners taken over, by cause", ["cause"])
RETRIES = Counter(PREFIX + "retries", "Repeated attempts, by cause", ["cause"])
RETRY_ALLOWANCE = Gauge(
    PREFIX + "retry_allowance",
    "Retries of a service that this VM may spend in a window",
    ["service"],
)
RETRIES_SPENT = Gauge(
    PREFIX + "retries_spent",
    "Retries of a service that this VM has spent in the window that ends now",
    ["service"],
)
RETRIES_DENIED = Counter(
    PREFIX + "retries_denied", "Retries that the budget did not allow", ["service"]
)
POISONED = Counter(PREFIX + "poison_verdicts", "Requests refused as crash causes")
LOG_AGE = Gauge(
    PREFIX + "log_age_seconds", "Time since the stream was read to its end", ["stream"]
)
LEASES = Gauge(PREFIX + "leases_held", "Runners with a lease in force")
STORE_PERMITS = Counter(
    PREFIX + "store_permits", "Store permits, by result", ["result"]
)
KEYS = Counter(PREFIX + "keys", "Non-idempotent requests, by outcome", ["outcome"])
JOBS = Counter(PREFIX + "jobs", "Patient jobs, by event", ["event"])
PEER_BYTES = Counter(PREFIX + "peer_bytes", "Bytes to peers", ["direction"])
PEER_MESSAGES = Counter(PREFIX + "peer_messages", "Messages to peers", ["direction"])
BUFFERED_BYTES = Gauge(
    PREFIX + "buffered_bytes", "Bytes of bodies that are held for requests"
)
BODIES_GIVEN_UP = Counter(
    PREFIX + "bodies_given_up", "Bodies given up for want of memory"
)
SLOW_CALLERS_ENDED = Counter(
    PREFIX + "slow_callers_ended",
    "Connections ended since their callers did not read, by the bound reached",
    ["why"],
)
RUNNERS_CUT_OFF = Gauge(
    PREFIX + "runners_cut_off", "1 while this VM reaches no runner and others do"
)
DETOURS = Counter(
    PREFIX + "detours", "Requests sent through another VM, by outcome", ["outcome"]
)
POLLS_LEFT = Counter(
    PREFIX + "polls_left", "Polls of the store left as hanging, by reason", ["why"]
)
INTERNAL_ERRORS = Counter(PREFIX + "internal_errors", "Bugs caught", ["task"])
LOG_LINES_DROPPED = Counter(
    PREFIX + "log_lines_dropped", "Log lines dropped for want of a reader"
)
