"""Parser of the operators' query and command language."""

from __future__ import annotations

import difflib
import functools
import importlib.resources
import json
from dataclasses import dataclass
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedInput
from result import Err, Ok, Result

from gooseberryrun._internal.coordination import (
    Change,
    Command,
    Condition,
    Settle,
    Show,
    Stop,
)
from gooseberryrun._internal.state import ConfigOp, RunOutcome

VERBS = ("show", "set", "remove", "drain", "undrain", "stop", "settle")


@dataclass(frozen=True, slots=True)
class CommandSyntaxError:
    """Syntax error in a command; ``column`` counts from 1."""

    column: int
    detail: str
    suggestion: str = ""

    def render(self, text: str) -> str:
        """Return a message that shows the command with a caret below the error."""
        mark = " " * (self.column - 1) + "^"
        lines = ["the command was not understood", text, mark, self.detail]
        if self.suggestion:
            lines.append(f"did you mean {self.suggestion!r}?")
        return "\n".join(lines)


@functools.cache
def _parser() -> Lark:
    grammar = importlib.resources.files(__package__).joinpath("language.lark")
    return Lark(
        grammar.read_text(encoding="utf-8"), parser="earley", maybe_placeholders=True
    )


def _parse_scalar(text: str) -> Any:
    """Return a boolean or a number if the text is one, else the text."""
    if text in ("true", "false"):
        return text == "true"
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text


class _ToCommand(Transformer[Token, Any]):
    """Converts the parse tree to a command; methods are named after grammar rules."""

    def word(self, items: list[Token]) -> str:
        return str(items[0])

    def quoted(self, items: list[Token]) -> str:
        return str(json.loads(items[0]))

    def condition(self, items: list[Any]) -> Condition:
        return Condition(str(items[0]), str(items[1]), items[2])

    def where(self, items: list[Condition]) -> list[Condition]:
        return items

    def sort(self, items: list[Any]) -> tuple[str, bool]:
        return str(items[0]), items[1] == "desc"

    def limit(self, items: list[Token]) -> int:
        return int(items[0])

    def show(self, items: list[Any]) -> Show:
        section, where, sort, limit = items
        column, descending = sort or ("", False)
        return Show(str(section), where or [], column, descending, limit or 0)

    def pair(self, items: list[Any]) -> tuple[str, Any]:
        return str(items[0]), _parse_scalar(items[1])

    def expect(self, items: list[Token]) -> int:
        return int(items[0])

    def _put(self, table: str, items: list[Any]) -> Change:
        key, *pairs, expected = items
        op = ConfigOp("put", table, str(key), dict(pairs))
        return Change([op], expected)

    def _remove(self, table: str, items: list[Any]) -> Change:
        return Change([ConfigOp("remove", table, str(items[0]))], items[1])

    def put_adapter(self, items: list[Any]) -> Change:
        return self._put("adapters", items)

    def remove_adapter(self, items: list[Any]) -> Change:
        return self._remove("adapters", items)

    def put_rule(self, items: list[Any]) -> Change:
        return self._put("rules", items)

    def remove_rule(self, items: list[Any]) -> Change:
        return self._remove("rules", items)

    def put_service(self, items: list[Any]) -> Change:
        return self._put("services", items)

    def remove_service(self, items: list[Any]) -> Change:
        return self._remove("services", items)

    def drain(self, items: list[Any]) -> Change:
        return self._put("drains", items)

    def undrain(self, items: list[Any]) -> Change:
        return self._remove("drains", items)

    def stop(self, items: list[Any]) -> Stop:
        return Stop(str(items[0]))

    def settle(self, items: list[Any]) -> Settle:
        return Settle(str(items[0]), RunOutcome(str(items[1])))


def parse_command(text: str) -> Result[Command, CommandSyntaxError]:
    """Parse one command; the error names the column and may suggest a word."""
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as exc:
        return Err(_to_syntax_error(exc, text))
    command: Command = _ToCommand().transform(tree)
    return Ok(command)


def _to_syntax_error(exc: UnexpectedInput, text: str) -> CommandSyntaxError:
    words = text.split()
    if not words or words[0] not in VERBS:
        verb = words[0] if words else ""
        close = difflib.get_close_matches(verb, VERBS, 1)
        detail = f"commands start with one of {', '.join(VERBS)}"
        return CommandSyntaxError(1, detail, close[0] if close else "")
    column = exc.column if isinstance(exc.column, int) and exc.column > 0 else 0
    if not column:
        return CommandSyntaxError(len(text) + 1, "the command is not complete")
    return CommandSyntaxError(column, "unexpected word or character")
