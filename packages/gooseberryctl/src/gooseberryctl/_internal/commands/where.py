"""``where``: where an entry VM would send a request now, and why."""

from __future__ import annotations

from typing import Any

import click

from gooseberryctl._internal.base_command import BaseCommand
from gooseberryctl._internal.exceptions import RefusedError, UnreachableError
from gooseberryctl._internal.session import Session

EXIT_WOULD_BE_REFUSED = 2
OPTIONS = {
    "host": "Host of the route.",
    "path": "Path of the request.",
    "id": "Id of the request; the choice among equals depends on it.",
    "account": "Name of the client account; a key is never given here.",
    "model": "Model; without one the request is for a plain service.",
    "adapter": "Adapter of the model.",
    "prompt_tokens": "Tokens of the prompt.",
    "output_tokens": "Expected tokens of the response.",
    "wait_s": "Seconds that the caller waits.",
}
"""Options by the name of the field that is sent."""


class WhereCommand(BaseCommand):
    """Asks an entry VM for a choice; the request is not sent, nothing is reserved."""

    name = "where"
    summary = (
        "Show where an entry VM would send a request now, and why. "
        "--server names the VM's address and its metrics port. "
        "Exit codes: 0 would be sent, 2 would be refused, 1 error."
    )
    needs_server = False

    def parameters(self) -> list[click.Parameter]:
        """Return one option per field of the request."""
        options: list[click.Parameter] = [
            click.Option([f"--{name.replace('_', '-')}", name], help=text)
            for name, text in OPTIONS.items()
        ]
        text = "Id of a part of the prompt, repeatable."
        return [*options, click.Option(["--part"], multiple=True, help=text)]

    def run(self, session: Session, **arguments: Any) -> dict[str, Any]:
        """Return the explanation of the first entry VM that answers.

        Every error ends with exit code 1, since 2 stands for a refused request.
        """
        if not session.servers or not arguments["host"] or not arguments["path"]:
            raise click.ClickException("--server, --host and --path are needed")
        fields = [(n, str(arguments[n])) for n in OPTIONS if arguments[n] is not None]
        fields += [("part", part) for part in arguments["part"]]
        try:
            result = session.get("/where", fields)
        except (RefusedError, UnreachableError) as exc:
            raise click.ClickException(exc.message) from exc
        return {**result, "notes": _notes(result)}

    def exit_code(self, result: dict[str, Any]) -> int:
        """Return whether the request would be sent."""
        return 0 if result["outcome"] == "sent" else EXIT_WOULD_BE_REFUSED


def _retry(result: dict[str, Any]) -> str:
    """Return when a refused request could be served, empty if it is not known."""
    retry_in_s = result.get("retry_in_s")
    return "" if retry_in_s is None else f", again in {retry_in_s} s"


def _account_notes(result: dict[str, Any]) -> list[str]:
    """Return the state of the client account and of its cap as sentences."""
    account = result.get("account_state")
    if not account:
        return []
    notes = [f"account {account['name'] or '(none)'}: {account['authentication']}"]
    if account["is_known"]:
        notes[0] += f", priority {result.get('priority')}, weight {account['weight']}"
    cap = result.get("cap")
    if cap is None:
        return [*notes, "no usage cap"] if account["is_known"] else notes
    text = (
        f"cap of {cap['rate_per_s']} {cap['unit']} a second, burst {cap['burst']}: "
        f"{cap['outcome']}{_retry(cap)}; costs {cap['cost']}, credit {cap['credit']}"
    )
    if cap["would_ask"]:
        text += f", would ask {' then '.join(cap['would_ask'])}"
    notes.append(text)
    last = cap["last_asked"]
    if last is not None:
        notes.append(
            f"allocator asked last: {last['vm']} of {last['domain']} "
            f"{last['age_s']:.2f} s ago, {last['outcome']}{_retry(last)}"
        )
    return notes


def _notes(result: dict[str, Any]) -> list[str]:
    """Return the decision and its inputs as sentences."""
    if result["outcome"] == "sent":
        wait_s = result["expected_wait_s"]
        notes = [f"would be sent to {result['runner']}, expected wait {wait_s} s"]
    else:
        notes = [f"would be refused: {result['reason']}{_retry(result)}"]
    notes += _account_notes(result)
    if result.get("selected_for"):
        notes.append(f"selected to leave for domain {result['selected_for']}")
    for pressure in result.get("crossing", []):
        notes.append(
            f"domain {pressure['domain']}: wait {pressure['wait_s']} s, "
            f"{pressure['running']} of {pressure['slots']} slots, "
            f"{pressure['waiting']} waiting, share {pressure['share']}, "
            f"figures {pressure['age_s']:.2f} s old"
        )
    return notes
