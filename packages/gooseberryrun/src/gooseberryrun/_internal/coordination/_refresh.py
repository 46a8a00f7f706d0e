"""Appends records that are still needed again, before the log expires them."""

from __future__ import annotations

from gooseberryrun._internal.state import (
    CONFIG_STREAM,
    OWNERS_STREAM,
    Clock,
    ConfigSnapshot,
    KeyStatus,
    OwnerClaim,
    Record,
    Settings,
    to_refresh,
)

from ._appender import Appender
from ._events import log_event
from ._leases import Leases
from ._membership import Membership
from ._replica import Replica
from ._tasks import spawn

REFRESH_AGE_RATIO = 1 / 3
"""Age of a record, as a fraction of the retention, at which it is appended again."""
JOB_RESULT_RETENTION_S = 3600.0
"""Time for which the result of a finished job can be fetched."""

_SETTLED = (KeyStatus.RAN, KeyStatus.NOT_RUN)


class RecordRefresher:
    """Keeps every stream complete although the log expires old records."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        membership: Membership,
        replica: Replica,
        appender: Appender,
        leases: Leases,
        boot: str,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._replica = replica
        self._appender = appender
        self._leases = leases
        self._boot = boot
        self._claimed_at = clock.monotonic()
        self._pending: set[str] = set()

    def sweep(self) -> None:
        """Append this VM's share of the records that are due for a refresh."""
        limit = self._clock.monotonic() - self._cfg.log.retention_s * REFRESH_AGE_RATIO
        if (
            self._replica.config_recorded_at < limit
            and self._membership.is_responsible_for(CONFIG_STREAM)
        ):
            self._append("config", self._config_snapshot())
        self._refresh_keys(limit)
        self._refresh_jobs(limit)
        owned = sorted(self._leases.owned())
        if self._claimed_at < limit and owned:
            self._claimed_at = self._clock.monotonic()
            self._append(OWNERS_STREAM, self._claim(owned))

    def _refresh_keys(self, limit: float) -> None:
        drop_before = self._clock.unix() - self._cfg.limits.key_ttl_s
        for entry in self._replica.ledger.recorded_before(limit):
            if entry.at < drop_before and entry.status in _SETTLED:
                self._replica.ledger.drop(entry.key)
            elif self._membership.is_responsible_for(entry.key):
                self._append(f"key:{entry.key}", to_refresh(entry))

    def _refresh_jobs(self, limit: float) -> None:
        drop_before = self._clock.unix() - JOB_RESULT_RETENTION_S
        for job in self._replica.jobs.recorded_before(limit):
            job_id = job.accepted.job_id
            if job.done is not None and job.done.at < drop_before:
                self._replica.jobs.drop(job_id)
            elif self._membership.is_responsible_for(job_id):
                self._append(f"job:{job_id}", job.accepted)
                if job.done is not None:
                    self._append(f"done:{job_id}", job.done)

    def _config_snapshot(self) -> ConfigSnapshot:
        state = self._replica.config
        state.advance_position(self._replica.positions[CONFIG_STREAM].next_offset - 1)
        return state.snapshot()

    def _claim(self, runners: list[str]) -> OwnerClaim:
        return OwnerClaim(self._cfg.vm.id, self._boot, self._cfg.vm.domain, runners)

    def _append(self, name: str, record: Record) -> None:
        if name in self._pending:
            return
        self._pending.add(name)
        spawn("refresh", lambda: self._append_now(name, record))

    def _append_now(self, name: str, record: Record) -> None:
        deadline = self._clock.monotonic() + self._cfg.platform.timeout_s
        try:
            self._appender.append(record, deadline)
            log_event("refreshed", level="debug", what=name)
        finally:
            self._pending.discard(name)
