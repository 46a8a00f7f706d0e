"""Description of a request that is to be explained."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from .._request_ports import Caller, Headers


@dataclass(frozen=True, slots=True)
class WhereQuery:
    """Request to explain; ``parts`` are the ids of its prompt's parts.

    ``account`` names the client account whose key it carries; a key is not accepted.
    Without ``has_token_count`` the request states no token counts.
    """

    host: str
    path: str
    request_id: str = "where"
    account: str = ""
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: Sequence[str] = ()
    wait_s: float = 60.0
    has_token_count: bool = False


class NoCaller(Caller):
    """Caller of a request that is not served."""

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        pass

    def start(self, status: int, headers: Headers) -> None:
        pass

    def send(self, data: bytes) -> None:
        pass

    def finish(self) -> None:
        pass

    def abort(self) -> None:
        pass

    def continue_after_disconnect(self) -> None:
        pass

    def end_after_disconnect(self) -> None:
        pass

    def has_left(self) -> bool:
        return False


def parse_query(fields: Mapping[str, Sequence[str]]) -> Result[WhereQuery, str]:
    """Return the request that the fields of a query string describe."""
    unknown = fields.keys() - _FIELDS
    if unknown:
        return Err(f"unknown fields: {', '.join(sorted(unknown))}")
    texts = {name: fields[name][-1] for name in fields}
    if not texts.get("host") or not texts.get("path", "").startswith("/"):
        return Err("host and path are needed")
    try:
        return Ok(
            WhereQuery(
                texts["host"],
                texts["path"],
                texts.get("id", "where"),
                texts.get("account", ""),
                texts.get("model", ""),
                texts.get("adapter", ""),
                _count(texts.get("prompt_tokens", "0")),
                _count(texts.get("output_tokens", "0")),
                tuple(fields.get("part", ())),
                _count(texts.get("wait_s", "60")),
                not fields.keys().isdisjoint(_TOKEN_COUNTS),
            )
        )
    except ValueError as exc:
        return Err(str(exc))


def _count(text: str) -> int:
    """Return a whole number that is not negative; raises `ValueError`."""
    number = int(text)
    if number < 0:
        raise ValueError(f"{text} is negative")
    return number


_TOKEN_COUNTS = ("prompt_tokens", "output_tokens")
_FIELDS = {
    "host",
    "path",
    "id",
    "account",
    "model",
    "adapter",
    "prompt_tokens",
    "output_tokens",
    "part",
    "wait_s",
}
