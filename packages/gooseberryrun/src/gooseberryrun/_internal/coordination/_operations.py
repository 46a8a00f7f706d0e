"""Execution of operator commands; any entry VM accepts them."""

from __future__ import annotations

import uuid
from collections.abc import Callable

import eventlet
from result import Err, Ok, Result

from gooseberryrun._internal.state import (
    CONFIG_STREAM,
    STREAMS,
    ChangeDecision,
    Clock,
    ConfigChange,
    KeyStatus,
    RunOutcome,
    Settings,
    validate_change,
)

from ._appender import Appender
from ._at_most_once_requests import AtMostOnceRequests
from ._commands import (
    Change,
    Command,
    CommandError,
    CommandResult,
    Row,
    Settle,
    Show,
    Stop,
    select_rows,
)
from ._crash_names import trait_name
from ._events import log_event
from ._leases import Leases
from ._membership import Membership
from ._messages import (
    Confirm,
    Confirmed,
    StatusQuery,
    StatusReply,
    StopNotice,
)
from ._owner import Owner
from ._ports import Peers
from ._replica import Replica

PEER_REPLY_TIMEOUT_S = 2.0
"""Time limit for the replies of other VMs to a command."""
REPLICATED_SECTIONS = ("config", "adapters", "rules", "services", "jobs", "unknown")
LOCAL_SECTIONS = ("loaded", "pending", "refused", "leaving", "stale", "vms", "leases")
SECTIONS = REPLICATED_SECTIONS + LOCAL_SECTIONS


class Operations:
    """Executes operators' queries and commands."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        membership: Membership,
        replica: Replica,
        appender: Appender,
        leases: Leases,
        owner: Owner,
        at_most_once_requests: AtMostOnceRequests,
        peers: Peers,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._replica = replica
        self._appender = appender
        self._leases = leases
        self._owner = owner
        self._at_most_once_requests = at_most_once_requests
        self._peers = peers
        self.request_stop: Callable[[str], None] = lambda by: None

    def execute(
        self, command: Command, operator: str
    ) -> Result[CommandResult, CommandError]:
        """Execute one command."""
        if isinstance(command, Show):
            return self._show(command)
        log_event("operator_command", operator=operator, kind=type(command).__name__)
        if isinstance(command, Change):
            return self._change(command, operator)
        if isinstance(command, Stop):
            return self._stop(command, operator)
        return self._settle(command, operator)

    # Queries of the operator view.

    def _show(self, show: Show) -> Result[CommandResult, CommandError]:
        if show.section not in SECTIONS:
            known = ", ".join(SECTIONS)
            detail = f"unknown section {show.section!r}; sections are {known}"
            return Err(CommandError("unknown_section", detail))
        rows = self.local_rows(show.section)
        missing: list[str] = []
        if show.section in LOCAL_SECTIONS:
            remote, missing = self._remote_rows(show.section)
            rows += remote
        age_s = max(0.0, self._replica.log_age_s(CONFIG_STREAM))
        return Ok(
            CommandResult(
                select_rows(show, rows),
                missing,
                min(age_s, 1e9),
                self._replica.config.revision,
            )
        )

    def _remote_rows(self, section: str) -> tuple[list[Row], list[str]]:
        """Return the rows of all other entry VMs, and the VMs that did not reply."""
        others = self._membership.other_entry_vms()
        deadline = self._clock.monotonic() + PEER_REPLY_TIMEOUT_S
        pool = eventlet.GreenPool()
        replies = pool.imap(
            lambda vm: (
                vm,
                self._peers.request_from(vm, StatusQuery(section), deadline),
            ),
            others,
        )
        rows: list[Row] = []
        missing = []
        for vm, reply in replies:
            if isinstance(reply, Err) or not isinstance(reply.ok_value, StatusReply):
                missing.append(vm)
            else:
                rows += reply.ok_value.rows
        return rows, missing

    def handle_status_query(self, query: StatusQuery) -> StatusReply:
        """Return this VM's rows of a section to a peer."""
        return StatusReply(self._cfg.vm.id, self.local_rows(query.section))

    def local_rows(self, section: str) -> list[Row]:
        """Return this VM's rows of a section."""
        sections = {
            "config": self._config_rows,
            "adapters": lambda: self._table_rows("adapters"),
            "rules": lambda: self._table_rows("rules"),
            "services": lambda: self._table_rows("services"),
            "jobs": self._job_rows,
            "unknown": self._unknown_rows,
            "loaded": self._loaded_rows,
            "pending": self._pending_rows,
            "refused": self._refused_rows,
            "leaving": self._leaving_rows,
            "stale": self._stale_rows,
            "vms": self._vm_rows,
            "leases": self._lease_rows,
        }
        make_rows = sections.get(section)
        return make_rows() if make_rows is not None else []

    def _config_rows(self) -> list[Row]:
        config = self._replica.config
        return [
            {"table": table, "entries": len(rows), "revision": config.revision}
            for table, rows in config.tables.items()
        ]

    def _table_rows(self, table: str) -> list[Row]:
        rows = self._replica.config.tables[table]
        return [{"key": key, **value} for key, value in sorted(rows.items())]

    def _job_rows(self) -> list[Row]:
        return [
            {
                "job": job.accepted.job_id,
                "model": job.accepted.request.get("model", ""),
                "state": "done" if job.done else "open",
                "executor": job.done.by if job.done else job.accepted.executor,
                "left_s": round(job.accepted.deadline_at - self._clock.unix(), 1),
            }
            for job in self._replica.jobs
        ]

    def _unknown_rows(self) -> list[Row]:
        return [
            {
                "key": entry.key,
                "service": entry.service,
                "path": entry.path,
                "holder": entry.holder,
                "intent": entry.intent,
            }
            for entry in self._replica.ledger.unsettled()
            if entry.status is KeyStatus.UNKNOWN
        ]

    def _loaded_rows(self) -> list[Row]:
        return [
            {
                "runner": task.runner,
                "owner": self._cfg.vm.id,
                "model": model,
                "in_use": task.scheduler.pins(model),
            }
            for task in self._owner.tasks()
            for model in task.scheduler.resident()
        ]

    def _pending_rows(self) -> list[Row]:
        return [
            {
                "runner": task.runner,
                "owner": self._cfg.vm.id,
                "model": model,
                "waiting": len(queue),
            }
            for task in self._owner.tasks()
            for model, queue in task.scheduler.queues()
        ]

    def _refused_rows(self) -> list[Row]:
        now = self._clock.monotonic()
        return [
            {"vm": self._cfg.vm.id, "fingerprint": trait_name(trait)}
            for trait in self._replica.evidence.refused(now)
        ]

    def _leaving_rows(self) -> list[Row]:
        return [
            {"vm": vm_id, "seen_by": self._cfg.vm.id}
            for vm_id in self._membership.leaving_ids()
        ]

    def _stale_rows(self) -> list[Row]:
        return [
            {
                "vm": self._cfg.vm.id,
                "stream": stream,
                "next": self._replica.positions[stream].next_offset,
                "age_s": round(min(self._replica.log_age_s(stream), 1e9), 2),
            }
            for stream in STREAMS
        ]

    def _vm_rows(self) -> list[Row]:
        return [
            {
                "seen_by": self._cfg.vm.id,
                "vm": vm.id,
                "kind": str(vm.kind),
                "domain": vm.domain,
                "state": "leaving" if self._membership.is_leaving(vm) else "live",
            }
            for vm in self._membership.all()
        ]

    def _lease_rows(self) -> list[Row]:
        now = self._clock.monotonic()
        return [
            {
                "runner": runner,
                "owner": self._cfg.vm.id,
                "fencing": str(fencing),
                "left_s": round(max(-1.0, self._leases.deadline(runner) - now), 2),
            }
            for runner, fencing in self._leases.owned().items()
        ]

    # Commands that change state.

    def _change(
        self, command: Change, operator: str
    ) -> Result[CommandResult, CommandError]:
        """Append a change and return once the log has returned it."""
        change_id = uuid.uuid4().hex
        change = ConfigChange(change_id, operator, command.ops, command.expected)
        valid = validate_change(change)
        if isinstance(valid, Err):
            return Err(CommandError("invalid_change", valid.err_value))
        deadline = self._clock.monotonic() + 2 * self._cfg.platform.timeout_s
        appended = self._appender.append(change, deadline)
        if isinstance(appended, Err) and not appended.err_value.sent:
            return Err(CommandError("log_unavailable", appended.err_value.detail))
        change_decision = self._replica.waiters.wait(
            f"change:{change_id}",
            lambda: self._replica.config.change_decision(change_id),
            deadline,
        )
        if change_decision is None:
            detail = (
                "the log did not return the change in time; it may still take effect"
            )
            return Err(CommandError("not_read_back", detail, RunOutcome.UNKNOWN))
        if not change_decision.accepted:
            return Err(CommandError("change_rejected", change_decision.reason))
        return Ok(self._confirm(change_decision))

    def _confirm(self, change_decision: ChangeDecision) -> CommandResult:
        """Return the revision in force on each entry VM, and the VMs without it."""
        others = self._membership.other_entry_vms()
        deadline = self._clock.monotonic() + PEER_REPLY_TIMEOUT_S
        pool = eventlet.GreenPool()
        replies = pool.imap(
            lambda vm: (vm, self._confirm_at(vm, change_decision.revision, deadline)),
            others,
        )
        rows: list[Row] = [
            {"vm": self._cfg.vm.id, "revision": change_decision.revision, "age_s": 0.0}
        ]
        missing = []
        for vm, confirmed in replies:
            if confirmed is None:
                missing.append(vm)
            else:
                age_s = round(confirmed.age_s, 2)
                rows.append({"vm": vm, "revision": confirmed.revision, "age_s": age_s})
        return CommandResult(rows, missing, 0.0, change_decision.revision)

    def _confirm_at(self, vm: str, revision: int, deadline: float) -> Confirmed | None:
        while self._clock.monotonic() < deadline:
            reply = self._peers.request_from(vm, Confirm(revision), deadline)
            if isinstance(reply, Err) or not isinstance(reply.ok_value, Confirmed):
                return None
            if reply.ok_value.revision >= revision:
                return reply.ok_value
            eventlet.sleep(0.05)
        return None

    def handle_confirm(self, _request: Confirm) -> Confirmed:
        """Return the revision in force on this VM to a peer."""
        age_s = min(self._replica.log_age_s(CONFIG_STREAM), 1e9)
        return Confirmed(self._cfg.vm.id, self._replica.config.revision, age_s)

    def _stop(
        self, command: Stop, operator: str
    ) -> Result[CommandResult, CommandError]:
        if command.vm not in self._membership.entry_vms():
            detail = f"{command.vm!r} is not an entry VM; use drain for backend servers"
            return Err(CommandError("unknown_vm", detail))
        if command.vm == self._cfg.vm.id:
            self.request_stop(operator)
            return Ok(CommandResult([{"vm": command.vm, "state": "stopping"}]))
        deadline = self._clock.monotonic() + PEER_REPLY_TIMEOUT_S
        reply = self._peers.request_from(command.vm, StopNotice(operator), deadline)
        if isinstance(reply, Err):
            detail = f"{command.vm} did not reply"
            return Err(CommandError("vm_unreachable", detail, RunOutcome.UNKNOWN))
        return Ok(CommandResult([{"vm": command.vm, "state": "stopping"}]))

    def _settle(
        self, command: Settle, operator: str
    ) -> Result[CommandResult, CommandError]:
        deadline = self._clock.monotonic() + self._cfg.platform.timeout_s
        settled = self._at_most_once_requests.settle_by_operator(
            command.key, command.outcome, operator, deadline
        )
        if isinstance(settled, Err):
            return Err(CommandError("not_settled", settled.err_value))
        entry = settled.ok_value
        return Ok(CommandResult([{"key": entry.key, "outcome": str(entry.status)}]))
