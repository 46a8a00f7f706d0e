"""Local copy of the configuration and of the registered runners."""

from __future__ import annotations

import dataclasses
from enum import StrEnum

import msgspec

from ._routes import Configuration, RouteTable
from ._runners import Runner

RECOVERY_WINDOW_S = 2.5
"""Time after an outage of the store in which removed entries may return."""
EXPIRY_GRACE_S = 1.8
"""Time for which a runner is still used after its entry expired in an outage: less
than the 2 s that an entry takes to return and that a removed runner keeps serving."""
MAX_TOMBSTONES = 500
"""Records of removed entries that are kept to be sent to peers."""
MAX_LEAVING = 1000
"""Runners that said that they leave and are remembered, also once removed, since an
entry may return after an outage of the store."""


class Topic(StrEnum):
    """Topics of records that every entry VM follows."""

    CONFIGURATION = "configuration"
    RUNNERS = "runners"


class AdapterVersion(msgspec.Struct, frozen=True, array_like=True):
    """Newest declared version of an adapter."""

    model: str
    adapter: str
    version: int


class DirectoryRecord(msgspec.Struct, frozen=True, array_like=True):
    """Newest record of one key.

    A record without a value removes the key; ``unreadable`` states why a value could
    not be read.
    """

    topic: Topic
    offset: int
    key: str
    configuration: Configuration | None = None
    adapter_version: AdapterVersion | None = None
    runner: Runner | None = None
    unreadable: str = ""


class DirectoryState:
    """Configuration, adapter versions and runners from the records applied so far.

    Records may arrive in any order and more than once: an older record of a key never
    replaces a newer one. ``ends`` are the offsets up to which each topic is applied.
    """

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.configuration_at = 0.0
        self.ends = dict.fromkeys(Topic, 0)
        self.store_reachable_since = float("-inf")
        self._newest: dict[Topic, dict[str, DirectoryRecord]] = {t: {} for t in Topic}
        self._versions: dict[tuple[str, str], int] = {}
        self._runners: dict[str, Runner] = {}
        self._expiry_deadlines: dict[str, float] = {}
        self._leaving: dict[str, int] = {}
        self._by_service: dict[str, list[Runner]] = {}
        self._by_domain: dict[str, dict[str, list[Runner]]] = {}

    def version_of(self, model: str, adapter: str) -> int:
        """Return the newest declared version of an adapter, 0 if none was."""
        return self._versions.get((model, adapter), 0)

    def declared_versions(self) -> dict[tuple[str, str], int]:
        """Return the newest declared version of each adapter that has one."""
        return self._versions

    def runner(self, runner_id: str) -> Runner | None:
        """Return a registered runner, draining or not."""
        return self._runners.get(runner_id)

    def runners(self, service: str, now: float) -> list[Runner]:
        """Return the runners of a service that may get new work.

        Draining runners and those whose grace period has passed are left out.
        """
        if service not in self._by_service:
            self._by_service[service] = [
                runner
                for runner in self._runners.values()
                if runner.service == service and not runner.draining
            ]
        found = self._by_service[service]
        if not self._expiry_deadlines:
            return found
        return [
            r for r in found if now < self._expiry_deadlines.get(r.id, float("inf"))
        ]

    def takes_new_work(self, runner: Runner, now: float) -> bool:
        """Return whether this incarnation of a runner may still get new work."""
        known = self._runners.get(runner.id)
        if known is None or known.draining or known.born_ms != runner.born_ms:
            return False
        return now < self._expiry_deadlines.get(runner.id, float("inf"))

    def runners_by_domain(self, service: str) -> dict[str, list[Runner]]:
        """Return the runners of a service that are not draining, by failure domain."""
        if service not in self._by_domain:
            found: dict[str, list[Runner]] = {}
            for runner in self._runners.values():
                if runner.service == service and not runner.draining:
                    found.setdefault(runner.domain, []).append(runner)
            self._by_domain[service] = found
        return self._by_domain[service]

    def local_runner_count(self, service: str, domain: str) -> int:
        """Return the number of a service's non-draining runners in a domain."""
        return len(self.runners_by_domain(service).get(domain, []))

    def _clear_index(self) -> None:
        """Drop the cached lists of runners, which are rebuilt on the next read."""
        self._by_service.clear()
        self._by_domain.clear()

    def is_after_outage(self, now: float) -> bool:
        """Return whether the store has just become reachable again."""
        return now - self.store_reachable_since < RECOVERY_WINDOW_S

    def all_runners(self) -> list[Runner]:
        """Return every registered runner."""
        return list(self._runners.values())

    def records_since(self, topic: Topic, offset: int) -> list[DirectoryRecord]:
        """Return the newest record of each key that changed at or after ``offset``."""
        found = [r for r in self._newest[topic].values() if r.offset >= offset]
        return sorted(found, key=lambda record: record.offset)

    def apply(self, record: DirectoryRecord, now: float) -> bool:
        """Apply one record; return whether it is a change or an unreadable entry."""
        known = self._newest[record.topic].get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        self._newest[record.topic][record.key] = record
        self.ends[record.topic] = max(self.ends[record.topic], record.offset + 1)
        if record.topic is Topic.CONFIGURATION:
            return self._apply_configuration(record, now)
        return self._apply_runner(record, now)

    def replace(
        self, topic: Topic, records: list[DirectoryRecord], end: int, now: float
    ) -> list[DirectoryRecord]:
        """Apply a snapshot of a topic read at offset ``end``; return the changes."""
        changed = [record for record in records if self.apply(record, now)]
        if topic is Topic.RUNNERS:
            present = {record.key for record in records}
            changed += self._remove_missing(present, end, now)
        self.ends[topic] = max(self.ends[topic], end)
        return changed

    def _remove_missing(
        self, present: set[str], end: int, now: float
    ) -> list[DirectoryRecord]:
        """Remove runners that are older than a snapshot and missing from it."""
        removed = []
        for key, known in list(self._newest[Topic.RUNNERS].items()):
            if key in present or known.offset >= end or known.runner is None:
                continue
            removal = DirectoryRecord(
                Topic.RUNNERS, max(known.offset + 1, end - 1), key
            )
            if self.apply(removal, now):
                removed.append(removal)
        return removed

    def _apply_configuration(self, record: DirectoryRecord, now: float) -> bool:
        if record.adapter_version is not None:
            declared = record.adapter_version
            key = (declared.model, declared.adapter)
            if declared.version <= self._versions.get(key, 0):
                return False
            self._versions[key] = declared.version
            return True
        configuration = record.configuration
        if configuration is None:
            return bool(record.unreadable)
        if self.table and self.table.configuration.version >= configuration.version:
            return False
        self.table = RouteTable(configuration)
        self.configuration_at = now
        return True

    def _apply_runner(self, record: DirectoryRecord, now: float) -> bool:
        known = self._runners.get(record.key)
        self._drop_old_tombstones()
        self._clear_index()
        if record.runner is None:
            return self._remove(record.key, now) if known else bool(record.unreadable)
        if known is not None and record.runner.is_older_than(known):
            return False
        self._expiry_deadlines.pop(record.key, None)
        self._runners[record.key] = self._with_leaving(record.runner)
        return True

    def record_leaving(self, runner_id: str, born_ms: int) -> bool:
        """Record that an incarnation said that it leaves; return whether that is new.

        It counts as draining whatever the registry says, until another incarnation is
        registered.
        """
        if self._leaving.get(runner_id, -1) >= born_ms:
            return False
        self._leaving.pop(runner_id, None)
        self._leaving[runner_id] = born_ms
        while len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        known = self._runners.get(runner_id)
        if known is not None:
            self._runners[runner_id] = self._with_leaving(known)
            self._clear_index()
        return True

    def stated_leaving(self) -> dict[str, int]:
        """Return the incarnations that said that they leave and are registered."""
        return {
            runner_id: born_ms
            for runner_id, born_ms in self._leaving.items()
            if self._is_registered(runner_id, born_ms)
        }

    def _is_registered(self, runner_id: str, born_ms: int) -> bool:
        """Return whether the registry has this incarnation, or an earlier one."""
        known = self._runners.get(runner_id)
        return known is not None and known.born_ms <= born_ms

    def _with_leaving(self, runner: Runner) -> Runner:
        """Return a runner as draining if it said that it leaves."""
        if runner.born_ms > self._leaving.get(runner.id, -1):
            return runner
        return dataclasses.replace(runner, draining=True)

    def _remove(self, runner_id: str, now: float) -> bool:
        """Remove a runner, after a grace period if the store was just unreachable."""
        if self.is_after_outage(now):
            self._expiry_deadlines.setdefault(runner_id, now + EXPIRY_GRACE_S)
            return True
        self._expiry_deadlines.pop(runner_id, None)
        del self._runners[runner_id]
        return True

    def expire(self, now: float) -> list[str]:
        """Remove runners whose grace period has passed; return their ids."""
        expired = [key for key, at in self._expiry_deadlines.items() if now >= at]
        if expired:
            self._clear_index()
        for runner_id in expired:
            del self._expiry_deadlines[runner_id]
            self._runners.pop(runner_id, None)
        return expired

    def _drop_old_tombstones(self) -> None:
        records = self._newest[Topic.RUNNERS]
        if len(records) <= MAX_TOMBSTONES + len(self._runners):
            return
        removed = [r for r in records.values() if r.runner is None]
        for record in sorted(removed, key=lambda r: r.offset)[: len(removed) // 2]:
            del records[record.key]
