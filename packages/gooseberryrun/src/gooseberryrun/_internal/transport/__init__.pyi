from ._bounded_response import BoundedResponse
from ._caller_routes import CallerRoutes
from ._engine_client import (
    BOOT_HEADER,
    FENCING_HEADER,
    READ_CHUNK_BYTES,
    REPORT_TIMEOUT_S,
    HttpEngines,
    HttpEngineStream,
)
from ._exchange import JSON_CONTENT_TYPE, HttpRequest, RouteResult, json_response
from ._http_client import (
    CONNECT_TIMEOUT_S,
    MAX_IDLE_CONNECTIONS_PER_HOST,
    USER_TIMEOUT_MS,
    HttpClient,
    HttpFailure,
    SendCheckFailedError,
    describe_error,
)
from ._http_server import HttpServer
from ._operator_routes import OperatorRoutes
from ._peer_links import (
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_TIMEOUT_S,
    MAX_QUEUED_MESSAGES,
    MIN_CHECK_INTERVAL_S,
    RECONNECT_DELAY_S,
    PeerLinks,
)
from ._platform_client import MAX_READ_RECORDS, HttpLog, HttpVmList
from ._service_client import KEY_HEADER, HttpServices

__all__ = [
    "BoundedResponse",
    "BOOT_HEADER",
    "CONNECT_TIMEOUT_S",
    "CallerRoutes",
    "FENCING_HEADER",
    "SendCheckFailedError",
    "HttpClient",
    "HttpEngineStream",
    "HttpEngines",
    "HttpFailure",
    "HttpLog",
    "HttpRequest",
    "HttpServer",
    "HttpServices",
    "HttpVmList",
    "JSON_CONTENT_TYPE",
    "KEEPALIVE_INTERVAL_S",
    "KEEPALIVE_TIMEOUT_S",
    "KEY_HEADER",
    "MIN_CHECK_INTERVAL_S",
    "MAX_IDLE_CONNECTIONS_PER_HOST",
    "MAX_QUEUED_MESSAGES",
    "MAX_READ_RECORDS",
    "OperatorRoutes",
    "PeerLinks",
    "READ_CHUNK_BYTES",
    "RECONNECT_DELAY_S",
    "REPORT_TIMEOUT_S",
    "RouteResult",
    "USER_TIMEOUT_MS",
    "describe_error",
    "json_response",
]
