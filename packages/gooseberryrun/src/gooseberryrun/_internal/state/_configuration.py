"""Replicated configuration: adapters, rules, services and drains."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from ._invariants import check_invariant
from ._names import WorkClass, parse_model_name
from ._records import NO_OFFSET, ConfigChange, ConfigOp, ConfigSnapshot

TABLES = ("adapters", "rules", "services", "drains")
MAX_STORED_DECISIONS = 1024
"""Decisions kept for writers that wait until their change is read back."""

Tables = dict[str, dict[str, dict[str, Any]]]


@dataclass(frozen=True, slots=True)
class ChangeDecision:
    """Decision on a change, the same on every VM that replays the stream.

    ``reason`` states why a change was rejected.
    """

    accepted: bool
    revision: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Rule:
    """How requests whose target matches a prefix are handled.

    ``deadline_s`` is the time a background job may take, counted from acceptance.
    """

    work_class: WorkClass
    deadline_s: float


DEFAULT_JOB_DEADLINE_S = 3600.0
_EMPTY: dict[str, Any] = {}
"""One dict shared by all adapters without options, to save memory."""


def validate_op(op: ConfigOp) -> Result[None, str]:
    """Validate one operation by itself, independently of the current state."""
    if op.table not in TABLES:
        return Err(f"unknown table {op.table!r}; expected one of {', '.join(TABLES)}")
    if not op.key or not op.key.isprintable():
        return Err(f"{op.table}: the key is empty or has unprintable characters")
    if op.op == "remove":
        return Ok(None)
    if op.op != "put":
        return Err(f"unknown operation {op.op!r}; expected put or remove")
    return _validate_value(op)


def _validate_value(op: ConfigOp) -> Result[None, str]:
    if op.table == "adapters":
        return parse_model_name(op.key).map(lambda _: None)
    if op.table == "rules":
        return _validate_rule(op)
    if op.table == "services":
        return _validate_service(op)
    return Ok(None)


def _validate_rule(op: ConfigOp) -> Result[None, str]:
    known = [str(work_class) for work_class in WorkClass]
    if op.value.get("class") not in known:
        return Err(f"rule {op.key!r}: class must be one of {', '.join(known)}")
    deadline_s = op.value.get("deadline_s", DEFAULT_JOB_DEADLINE_S)
    if not isinstance(deadline_s, int | float) or deadline_s <= 0:
        return Err(f"rule {op.key!r}: deadline_s must be a positive number")
    return Ok(None)


def _validate_service(op: ConfigOp) -> Result[None, str]:
    for name, value in op.value.items():
        if name not in ("lookup", "fencing") or not isinstance(value, bool):
            return Err(f"service {op.key!r}: {name} is not a known boolean option")
    return Ok(None)


def validate_change(change: ConfigChange) -> Result[None, str]:
    """Validate a change before it is appended; replay repeats the validation."""
    if not change.ops:
        return Err("a change must have at least one operation")
    for op in change.ops:
        validated = validate_op(op)
        if isinstance(validated, Err):
            return validated
    return Ok(None)


class ConfigState:
    """Configuration as of one offset of the config stream; it never reverts.

    ``revision`` is the offset of the last accepted change, ``position`` that of the
    last record reflected in the state.
    """

    def __init__(self) -> None:
        self.revision = NO_OFFSET
        self.position = NO_OFFSET
        self.tables: Tables = {table: {} for table in TABLES}
        self._decisions: dict[str, ChangeDecision] = {}

    def apply_change(self, change: ConfigChange, offset: int) -> ChangeDecision:
        """Accept or reject the change at ``offset``; repeats get the first decision."""
        check_invariant(
            offset > self.position, "config-monotonic", f"{offset}<={self.position}"
        )
        self.position = offset
        if change.change_id in self._decisions:
            return self._decisions[change.change_id]
        decision = self._decide(change, offset)
        if decision.accepted:
            self._apply_ops(change.ops)
            self.revision = offset
        self._record_decision(change.change_id, decision)
        return decision

    def _decide(self, change: ConfigChange, offset: int) -> ChangeDecision:
        valid = validate_change(change)
        if isinstance(valid, Err):
            return ChangeDecision(False, self.revision, valid.err_value)
        if change.expected is not None and change.expected != self.revision:
            reason = f"expected revision {change.expected}, found {self.revision}"
            return ChangeDecision(False, self.revision, reason)
        return ChangeDecision(True, offset)

    def _apply_ops(self, ops: list[ConfigOp]) -> None:
        for op in ops:
            if op.op == "put":
                self.tables[op.table][op.key] = op.value or _EMPTY
            else:
                self.tables[op.table].pop(op.key, None)

    def _record_decision(self, change_id: str, decision: ChangeDecision) -> None:
        self._decisions[change_id] = decision
        if len(self._decisions) > MAX_STORED_DECISIONS:
            del self._decisions[next(iter(self._decisions))]

    def apply_snapshot(self, snapshot: ConfigSnapshot) -> bool:
        """Replace the state by a newer snapshot; return False if it is not newer."""
        if snapshot.base <= self.position:
            return False
        check_invariant(snapshot.revision >= self.revision, "config-never-reverts")
        self.position = snapshot.base
        self.revision = snapshot.revision
        self.tables = {table: dict(snapshot.tables.get(table, {})) for table in TABLES}
        return True

    def advance_position(self, offset: int) -> None:
        """Record that this state reflects every record up to ``offset``."""
        self.position = max(self.position, offset)

    def snapshot(self) -> ConfigSnapshot:
        """Return the complete state as of the last applied record."""
        return ConfigSnapshot(self.position, self.revision, self.tables)

    def change_decision(self, change_id: str) -> ChangeDecision | None:
        """Return the decision on a replayed change, None if it is unknown."""
        return self._decisions.get(change_id)

    def has_model(self, model: str) -> bool:
        """Return whether the adapter version is configured."""
        return model in self.tables["adapters"]

    def find_rule(self, target: str) -> Rule | None:
        """Return the rule whose key is the longest path prefix of ``target``, if any.

        Targets are ``model/<adapter>`` and ``service/<name>/<path>``.
        """
        rules = self.tables["rules"]
        key = target
        while key:
            if key in rules:
                return _to_rule(rules[key])
            key = key.rpartition("/")[0]
        return None


def _to_rule(value: dict[str, Any]) -> Rule:
    deadline_s = float(value.get("deadline_s", DEFAULT_JOB_DEADLINE_S))
    return Rule(WorkClass(value["class"]), deadline_s)
