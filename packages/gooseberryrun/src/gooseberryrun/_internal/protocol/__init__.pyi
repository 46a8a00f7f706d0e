from . import peer_grpc, peer_pb2
from ._http_requests import (
    COMPLETION_PATHS,
    MAX_KEY_LENGTH,
    PREFIX_CHARS,
    PREFIX_DIGITS,
    bad_request,
    find_model_rule,
    make_prefix,
    parse_completion,
    parse_json_object,
    parse_key,
    parse_service_request,
)
from ._language import VERBS, SyntaxFault, parse_command
from ._peer_codec import decode_message, encode_message
from ._problem import PROBLEM_CONTENT_TYPE, encode_problem
from ._sse import (
    END_MARK,
    MAX_EVENT_BYTES,
    SEPARATOR,
    EventChecker,
    check_response_model,
)

__all__ = [
    "COMPLETION_PATHS",
    "END_MARK",
    "EventChecker",
    "MAX_EVENT_BYTES",
    "MAX_KEY_LENGTH",
    "PREFIX_CHARS",
    "PREFIX_DIGITS",
    "PROBLEM_CONTENT_TYPE",
    "SEPARATOR",
    "SyntaxFault",
    "VERBS",
    "bad_request",
    "check_response_model",
    "decode_message",
    "encode_message",
    "encode_problem",
    "find_model_rule",
    "make_prefix",
    "parse_command",
    "parse_completion",
    "parse_json_object",
    "parse_key",
    "parse_service_request",
    "peer_grpc",
    "peer_pb2",
]
