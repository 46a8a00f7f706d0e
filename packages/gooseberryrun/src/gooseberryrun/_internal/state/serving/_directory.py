"""What an entry VM knows of the configuration and of the registered runners."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from ._routes import Configuration, RouteTable
from ._runners import Runner

REGAIN_WINDOW_S = 2.5
"""Time after the store's return in which removed entries may be back."""
LAPSE_GRACE_S = 1.8
"""How long a runner whose entry lapsed in an outage is still used: under the 2 s
that an entry takes to come back, and that a departed runner keeps serving."""
MAX_TOMBSTONES = 500
"""Removed entries that are kept for peers."""


class Topic(StrEnum):
    """Streams of records that every entry VM follows."""

    CONFIGURATION = "configuration"
    RUNNERS = "runners"


class AdapterVersion(msgspec.Struct, frozen=True, array_like=True):
    """Newest declared version of an adapter."""

    model: str
    adapter: str
    version: int


class DirectoryRecord(msgspec.Struct, frozen=True, array_like=True):
    """Newest record of one key; without a value the key was removed."""

    topic: Topic
    offset: int
    key: str
    configuration: Configuration | None = None
    adapter_version: AdapterVersion | None = None
    runner: Runner | None = None
    unreadable: str = ""


class DirectoryState:
    """Applies records in the order of their offsets; never goes back."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.configuration_at = 0.0
        self.ends = dict.fromkeys(Topic, 0)
        self.store_regained_at = float("-inf")
        self._newest: dict[Topic, dict[str, DirectoryRecord]] = {t: {} for t in Topic}
        self._versions: dict[tuple[str, str], int] = {}
        self._runners: dict[str, Runner] = {}
        self._lapse_deadlines: dict[str, float] = {}
        self._serving: dict[str, list[Runner]] = {}
        self._by_domain: dict[str, dict[str, list[Runner]]] = {}

    # Reading.

    def version_of(self, model: str, adapter: str) -> int:
        """Return the newest declared version of an adapter, 0 if none was."""
        return self._versions.get((model, adapter), 0)

    def declared_versions(self) -> dict[tuple[str, str], int]:
        """Return the newest version of each adapter that has had a new one."""
        return self._versions

    def runner(self, runner_id: str) -> Runner | None:
        """Return a registered runner, also one that drains."""
        return self._runners.get(runner_id)

    def runners(self, service: str, now: float) -> list[Runner]:
        """Return the runners of a service that may get new work."""
        if service not in self._serving:
            self._serving[service] = [
                runner
                for runner in self._runners.values()
                if runner.service == service and not runner.draining
            ]
        found = self._serving[service]
        if not self._lapse_deadlines:
            return found
        return [r for r in found if now < self._lapse_deadlines.get(r.id, float("inf"))]

    def runners_by_domain(self, service: str) -> dict[str, list[Runner]]:
        """Return the runners of a service that do not drain, by failure domain."""
        if service not in self._by_domain:
            found: dict[str, list[Runner]] = {}
            for runner in self._runners.values():
                if runner.service == service and not runner.draining:
                    found.setdefault(runner.domain, []).append(runner)
            self._by_domain[service] = found
        return self._by_domain[service]

    def local_runner_count(self, service: str, domain: str) -> int:
        """Return the number of a service's runners in a domain that do not drain."""
        return len(self.runners_by_domain(service).get(domain, []))

    def _forget_index(self) -> None:
        """Work the lists of runners out again when they are next asked for."""
        self._serving.clear()
        self._by_domain.clear()

    def is_after_outage(self, now: float) -> bool:
        """Tell whether removed entries may be back soon."""
        return now - self.store_regained_at < REGAIN_WINDOW_S

    def all_runners(self) -> list[Runner]:
        """Return every registered runner."""
        return list(self._runners.values())

    def records_since(self, topic: Topic, offset: int) -> list[DirectoryRecord]:
        """Return the newest record of each key that changed at or after ``offset``."""
        found = [r for r in self._newest[topic].values() if r.offset >= offset]
        return sorted(found, key=lambda record: record.offset)

    # Writing.

    def apply(self, record: DirectoryRecord, now: float) -> bool:
        """Take in one record; return whether it was news."""
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
        """Take in a snapshot read when the stream ended at ``end``; return the news."""
        news = [record for record in records if self.apply(record, now)]
        if topic is Topic.RUNNERS:
            present = {record.key for record in records}
            news += self._remove_missing(present, end, now)
        self.ends[topic] = max(self.ends[topic], end)
        return news

    def _remove_missing(
        self, present: set[str], end: int, now: float
    ) -> list[DirectoryRecord]:
        """Remove the runners that a snapshot no longer has."""
        removed = []
        for key, known in list(self._newest[Topic.RUNNERS].items()):
            if key in present or known.offset >= end or known.runner is None:
                continue
            gone = DirectoryRecord(Topic.RUNNERS, max(known.offset + 1, end - 1), key)
            if self.apply(gone, now):
                removed.append(gone)
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
        self._forget_index()
        if record.runner is None:
            return self._lapse(record.key, now) if known else bool(record.unreadable)
        if known is not None and record.runner.is_older_than(known):
            return False
        self._lapse_deadlines.pop(record.key, None)
        self._runners[record.key] = record.runner
        return True

    def _lapse(self, runner_id: str, now: float) -> bool:
        if self.is_after_outage(now):
            self._lapse_deadlines.setdefault(runner_id, now + LAPSE_GRACE_S)
            return True
        self._lapse_deadlines.pop(runner_id, None)
        del self._runners[runner_id]
        return True

    def expire(self, now: float) -> list[str]:
        """Remove the runners whose lapsed entries did not come back; return them."""
        late = [key for key, at in self._lapse_deadlines.items() if now >= at]
        if late:
            self._forget_index()
        for runner_id in late:
            del self._lapse_deadlines[runner_id]
            self._runners.pop(runner_id, None)
        return late

    def _drop_old_tombstones(self) -> None:
        records = self._newest[Topic.RUNNERS]
        if len(records) <= MAX_TOMBSTONES + len(self._runners):
            return
        gone = [r for r in records.values() if r.runner is None]
        for record in sorted(gone, key=lambda r: r.offset)[: len(gone) // 2]:
            del records[record.key]
