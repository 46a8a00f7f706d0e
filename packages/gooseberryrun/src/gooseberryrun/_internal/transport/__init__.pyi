from ._caller_routes import CallerRoutes
from ._engine_client import (
    BOOT_HEADER,
    FENCING_HEADER,
    READ_BYTES,
    REPORT_TIMEOUT_S,
    HttpEngines,
    HttpEngineStream,
)
from ._exchange import JSON_CONTENT_TYPE, HttpRequest, Reply, json_answer
from ._http_client import (
    CONNECT_TIMEOUT_S,
    CONNECTIONS_PER_HOST,
    USER_TIMEOUT_MS,
    GuardFailedError,
    HttpClient,
    HttpFailure,
    describe_error,
)
from ._http_server import HttpServer
from ._operator_routes import OperatorRoutes
from ._peer_links import (
    KEEPALIVE_S,
    KEEPALIVE_TIMEOUT_S,
    MAX_QUEUED,
    RECONNECT_S,
    WATCH_S,
    PeerLinks,
)
from ._platform_client import READ_LIMIT, HttpLog, HttpVmList
from ._service_client import KEY_HEADER, HttpServices

__all__ = [
    "BOOT_HEADER",
    "CONNECTIONS_PER_HOST",
    "CONNECT_TIMEOUT_S",
    "CallerRoutes",
    "FENCING_HEADER",
    "GuardFailedError",
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
    "KEEPALIVE_S",
    "KEEPALIVE_TIMEOUT_S",
    "KEY_HEADER",
    "MAX_QUEUED",
    "OperatorRoutes",
    "PeerLinks",
    "READ_BYTES",
    "READ_LIMIT",
    "RECONNECT_S",
    "REPORT_TIMEOUT_S",
    "Reply",
    "USER_TIMEOUT_MS",
    "WATCH_S",
    "describe_error",
    "json_answer",
]
