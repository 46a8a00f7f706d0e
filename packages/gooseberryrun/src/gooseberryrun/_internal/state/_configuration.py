"""Replicated configuration: adapters, rules, services and drains."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from ._invariants import check_invariant
from ._names import WorkClass, parse_model_name
from ._records import NO_OFFSET, ConfigChange, ConfigOp, ConfigSnapshot

TABLES = ("adapters", "rules", "services", "drains")
MAX_REMEMBERED_CHANGES = 1024
"""Verdicts kept for writers that wait for their change to be read back."""

Tables = dict[str, dict[str, dict[str, Any]]]


@dataclass(frozen=True, slots=True)
class ChangeDecision:
    """Decision on a change, the same on every VM that replays the stream."""

    accepted: bool
    revision: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Rule:
    """Treatment of the requests that match a prefix.

    ``deadline_s`` is the time a patient job may take, counted from acceptance.
    """

    work_class: WorkClass
    deadline_s: float


DEFAULT_JOB_DEADLINE_S = 3600.0
_EMPTY: dict[str, Any] = {}
"""Shared by the many adapters without options."""


def validate_op(op: ConfigOp) -> Result[None, str]:
    """Check one operation without regard to the current state."""
    if op.table not in TABLES:
        return Err(f"unknown table {op.table!r}; tables are {', '.join(TABLES)}")
    if not op.key or not op.key.isprintable():
        return Err(f"{op.table}: empty or unprintable key")
    if op.op == "remove":
        return Ok(None)
    if op.op != "put":
        return Err(f"unknown operation {op.op!r}; operations are put, remove")
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
            return Err(f"service {op.key!r}: {name} is not a known true/false option")
    return Ok(None)


def validate_change(change: ConfigChange) -> Result[None, str]:
    """Check a change before it is appended; replay applies the same check."""
    if not change.ops:
        return Err("a change needs at least one operation")
    for op in change.ops:
        change_decision = validate_op(op)
        if isinstance(change_decision, Err):
            return change_decision
    return Ok(None)


class ConfigState:
    """Configuration as of one offset of the log; it never goes back.

    ``revision`` is the offset of the last accepted change.
    """

    def __init__(self) -> None:
        self.revision = NO_OFFSET
        self.position = NO_OFFSET
        self.tables: Tables = {table: {} for table in TABLES}
        self._verdicts: dict[str, ChangeDecision] = {}

    def apply_change(self, change: ConfigChange, offset: int) -> ChangeDecision:
        """Decide and apply the change at ``offset``; repeats get the first verdict."""
        check_invariant(
            offset > self.position, "config-monotonic", f"{offset}<={self.position}"
        )
        self.position = offset
        if change.change_id in self._verdicts:
            return self._verdicts[change.change_id]
        change_decision = self._decide(change, offset)
        if change_decision.accepted:
            self._apply_ops(change.ops)
            self.revision = offset
        self._remember(change.change_id, change_decision)
        return change_decision

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

    def _remember(self, change_id: str, change_decision: ChangeDecision) -> None:
        self._verdicts[change_id] = change_decision
        if len(self._verdicts) > MAX_REMEMBERED_CHANGES:
            del self._verdicts[next(iter(self._verdicts))]

    def apply_snapshot(self, snapshot: ConfigSnapshot) -> bool:
        """Adopt a snapshot that is newer than this state."""
        if snapshot.base <= self.position:
            return False
        check_invariant(snapshot.revision >= self.revision, "config-never-reverts")
        self.position = snapshot.base
        self.revision = snapshot.revision
        self.tables = {table: dict(snapshot.tables.get(table, {})) for table in TABLES}
        return True

    def advance_position(self, offset: int) -> None:
        """Note that every record up to ``offset`` is reflected in this state."""
        self.position = max(self.position, offset)

    def snapshot(self) -> ConfigSnapshot:
        """Return the whole state as of the last record that was applied."""
        return ConfigSnapshot(self.position, self.revision, self.tables)

    def change_decision(self, change_id: str) -> ChangeDecision | None:
        """Return the verdict on a change that has been replayed."""
        return self._verdicts.get(change_id)

    def has_model(self, model: str) -> bool:
        """Tell whether the adapter version is configured."""
        return model in self.tables["adapters"]

    def find_rule(self, target: str) -> Rule | None:
        """Return the rule with the longest prefix of ``target``, if any.

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
