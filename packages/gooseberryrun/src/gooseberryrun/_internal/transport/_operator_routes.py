"""Routes of operators: commands and changes of configuration, behind a token."""

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

from ._exchange import HttpRequest, Reply, json_answer


class OperatorRoutes:
    """Checks operators' requests and carries them out."""

    def __init__(self, cfg: Settings, node: Node) -> None:
        self._cfg = cfg
        self._node = node

    def operate(self, request: HttpRequest) -> Reply:
        """Check the token, then carry out what the body asks for."""
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
        command = self._parse_operation(request.path, parsed.ok_value)
        if isinstance(command, Err):
            return command
        done = self._node.operations.execute(command.ok_value, operator)
        if isinstance(done, Err):
            return Err(_to_refusal(done.err_value))
        return Ok(json_answer(200, asdict(done.ok_value)))

    def _parse_operation(
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


_COMMAND_STATUS = {
    "change_rejected": 409,
    "not_settled": 409,
    "log_unavailable": 503,
    "not_read_back": 504,
    "vm_unreachable": 504,
}


def _to_refusal(error: CommandError) -> Refusal:
    status = _COMMAND_STATUS.get(error.code, 400)
    return Refusal(status, error.code, error.detail, error.outcome)
