"""HTTP routes for operators: commands and configuration changes.

They require the operator token.
"""

from __future__ import annotations

import hmac
from dataclasses import asdict
from typing import Any

import msgspec
from result import Err, Ok, Result

from gooseberryrun._internal.coordination import (
    Change,
    Command,
    CommandError,
    Node,
    Refusal,
)
from gooseberryrun._internal.protocol import (
    bad_request,
    parse_command,
    parse_json_object,
)
from gooseberryrun._internal.state import ConfigOp, Settings

from ._exchange import HttpRequest, RouteResult, json_response


class OperatorRoutes:
    """Validates operators' requests and executes them."""

    def __init__(self, cfg: Settings, node: Node) -> None:
        self._cfg = cfg
        self._node = node

    def handle(self, request: HttpRequest) -> RouteResult:
        """Check the operator token, then execute the command or change in the body."""
        given = request.headers.get("authorization", "").removeprefix("Bearer ")
        token = self._cfg.operator.token.get_secret_value()
        if not hmac.compare_digest(given.encode(), token.encode()):
            return Err(Refusal(401, "wrong_token", "the operator token is wrong"))
        body = request.read_body()
        if isinstance(body, Err):
            return body
        parsed = parse_json_object(body.ok_value)
        if isinstance(parsed, Err):
            return parsed
        operator = str(parsed.ok_value.get("operator", "operator"))
        command = self._parse_command_request(request.path, parsed.ok_value)
        if isinstance(command, Err):
            return command
        executed = self._node.operations.execute(command.ok_value, operator)
        if isinstance(executed, Err):
            return Err(_to_refusal(executed.err_value))
        return Ok(json_response(200, asdict(executed.ok_value)))

    def _parse_command_request(
        self, path: str, body: dict[str, Any]
    ) -> Result[Command, Refusal]:
        if path == "/operator/v1/command":
            text = str(body.get("command", ""))
            parsed = parse_command(text)
            if isinstance(parsed, Err):
                detail = parsed.err_value.render(text)
                return Err(bad_request(detail, "bad_command"))
            return Ok(parsed.ok_value)
        if path == "/operator/v1/apply":
            try:
                ops = msgspec.convert(body.get("ops"), list[ConfigOp])
                expected = msgspec.convert(body.get("expected"), int | None)
            except msgspec.ValidationError as exc:
                return Err(bad_request(f"ops: {exc}", "bad_change"))
            return Ok(Change(ops, expected))
        return Err(Refusal(404, "no_such_path", "there is no such path"))


_STATUS_BY_ERROR_CODE = {
    "change_rejected": 409,
    "not_settled": 409,
    "log_unavailable": 503,
    "not_read_back": 504,
    "vm_unreachable": 504,
}


def _to_refusal(error: CommandError) -> Refusal:
    status = _STATUS_BY_ERROR_CODE.get(error.code, 400)
    return Refusal(status, error.code, error.detail, error.outcome)
