from . import peer_grpc, peer_pb2
from ._http_requests import (
    COMPLETION_PATHS,
    MAX_KEY_LENGTH,
    PREFIX_CHARS,
    PREFIX_HASH_DIGITS,
    bad_request,
    find_model_rule,
    hash_prefix,
    parse_completion,
    parse_json_object,
    parse_key,
    parse_service_request,
)
from ._language import VERBS, CommandSyntaxError, parse_command
from ._peer_codec import decode_message, encode_message
from ._problem import PROBLEM_CONTENT_TYPE, encode_problem, status_phrase
from ._sse import (
    DONE_EVENT,
    EventChecker,
    check_response_model,
)

__all__ = [
    "COMPLETION_PATHS",
    "DONE_EVENT",
    "EventChecker",
    "MAX_KEY_LENGTH",
    "PREFIX_CHARS",
    "PREFIX_HASH_DIGITS",
    "PROBLEM_CONTENT_TYPE",
    "CommandSyntaxError",
    "VERBS",
    "bad_request",
    "check_response_model",
    "decode_message",
    "encode_message",
    "encode_problem",
    "status_phrase",
    "find_model_rule",
    "hash_prefix",
    "parse_command",
    "parse_completion",
    "parse_json_object",
    "parse_key",
    "parse_service_request",
    "peer_grpc",
    "peer_pb2",
]
