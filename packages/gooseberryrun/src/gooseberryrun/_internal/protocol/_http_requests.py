"""Parsing and validation of callers' HTTP requests."""

from __future__ import annotations

import json
from typing import Any

from result import Err, Ok, Result

from gooseberryrun._internal.coordination import (
    CompletionRequest,
    Refusal,
    ServiceRequest,
)
from gooseberryrun._internal.state import (
    DEFAULT_JOB_DEADLINE_S,
    ConfigState,
    Rule,
    WorkClass,
    fingerprint,
    parse_model_name,
)

COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")
MAX_KEY_LENGTH = 255
PREFIX_CHARS = 256
"""Leading characters of a prompt that identify its prefix."""
PREFIX_HASH_DIGITS = 16
_DEFAULT_MODEL_RULE = Rule(WorkClass.INTERACTIVE, DEFAULT_JOB_DEADLINE_S)
_FIELDS_NOT_FINGERPRINTED = ("stream", "background", "user", "request_id")
"""Body fields that do not affect the engine's result, left out of fingerprints."""


def bad_request(detail: str, code: str = "bad_request", status: int = 400) -> Refusal:
    """Return the refusal of an invalid request."""
    return Refusal(status, code, detail)


def parse_json_object(body: bytes) -> Result[dict[str, Any], Refusal]:
    """Parse a request body, which must be a JSON object."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return Err(bad_request("the body is not valid JSON", "malformed_json"))
    if not isinstance(value, dict):
        return Err(bad_request("the body must be a JSON object", "malformed_json"))
    return Ok(value)


def parse_key(value: str) -> Result[str, Refusal]:
    """Validate the value of an ``Idempotency-Key`` header."""
    if len(value) > MAX_KEY_LENGTH or not value.isprintable():
        detail = (
            f"Idempotency-Key must have at most {MAX_KEY_LENGTH} printable characters"
        )
        return Err(bad_request(detail, "bad_key"))
    return Ok(value)


def find_model_rule(config: ConfigState, adapter: str) -> Rule:
    """Return the operators' rule for completions on an adapter, or the default."""
    return config.find_rule(f"model/{adapter}") or _DEFAULT_MODEL_RULE


def parse_completion(
    path: str, body: dict[str, Any], request_id: str, deadline: float
) -> Result[CompletionRequest, Refusal]:
    """Validate the fields of a completion request that this system reads."""
    model = body.get("model")
    if not isinstance(model, str):
        return Err(bad_request("model is missing or not a string"))
    named = parse_model_name(model)
    if isinstance(named, Err):
        return Err(bad_request(named.err_value))
    for name in ("stream", "background"):
        if not isinstance(body.get(name, False), bool):
            return Err(bad_request(f"{name} must be true or false"))
    needed = "messages" if path.endswith("chat/completions") else "prompt"
    if needed not in body:
        return Err(bad_request(f"{needed} is missing"))
    content = {key: body[key] for key in body if key not in _FIELDS_NOT_FINGERPRINTED}
    return Ok(
        CompletionRequest(
            request_id=request_id,
            path=path,
            model=model,
            body=body,
            stream=body.get("stream", False),
            work_class=WorkClass.INTERACTIVE,
            fingerprint=fingerprint(path, content),
            deadline=deadline,
            prefix=hash_prefix(model, body[needed]),
        )
    )


def hash_prefix(model: str, prompt: object) -> str:
    """Return a hash of the beginning of a prompt: its first message or characters."""
    start = prompt[:1] if isinstance(prompt, list) else str(prompt)[:PREFIX_CHARS]
    return fingerprint(model, start)[:PREFIX_HASH_DIGITS]


def parse_service_request(
    config: ConfigState,
    service: str,
    method: str,
    path: str,
    body: bytes,
    content_type: str,
    key: str,
    request_id: str,
    deadline: float,
) -> Result[ServiceRequest, Refusal]:
    """Build a service request and classify it by the operators' rules."""
    rule = config.find_rule(f"service/{service}{path.partition('?')[0]}")
    work_class = rule.work_class if rule is not None else WorkClass.INTERACTIVE
    if key:
        work_class = WorkClass.AT_MOST_ONCE
    if work_class is WorkClass.AT_MOST_ONCE and not key:
        detail = "this request needs an Idempotency-Key header"
        return Err(bad_request(detail, "key_required"))
    return Ok(
        ServiceRequest(
            request_id=request_id,
            service=service,
            method=method,
            path=path,
            body=body,
            content_type=content_type,
            key=f"{service}:{key}" if key else "",
            work_class=work_class,
            fingerprint=fingerprint(method, service, path, body.hex()),
            deadline=deadline,
        )
    )
