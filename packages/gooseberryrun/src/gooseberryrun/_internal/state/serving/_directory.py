"""Local copy of the configuration and of the registered runners."""

from __future__ import annotations

from ._directory_records import DirectoryRecord, Topic, drop_old_removals
from ._epochs import Position
from ._leaving import LeavingRunners
from ._operator_records import OperatorRecords
from ._routes import RouteTable
from ._runner_index import RunnerIndex
from ._runners import Runner
from ._software import SoftwareVersions
from .placement import HomeRing

RECOVERY_WINDOW_S = 2.5
"""Time after an outage of the store in which removed entries may return."""
EXPIRY_GRACE_S = 1.8
"""Time for which a runner is still used after its entry expired in an outage: less
than the 2 s that an entry takes to return and that a removed runner keeps serving."""


class DirectoryState:
    """Configuration, adapter versions and runners from the records applied so far.

    Records may arrive in any order and more than once: an older record of a key never
    replaces a newer one. ``ends`` are the positions before which all records of a topic
    are applied. Only a read that covers what lies between may move one: a single record
    says nothing of those before it, and pages of a snapshot hold records from after the
    position at which the first one was read.
    """

    def __init__(self) -> None:
        self.ends = dict.fromkeys(Topic, Position())
        self.store_reachable_since = float("-inf")
        self._newest: dict[Topic, dict[str, DirectoryRecord]] = {t: {} for t in Topic}
        self._removals_since = Position()
        self._operator = OperatorRecords()
        self._runners = RunnerIndex()
        self._expiry_deadlines: dict[str, float] = {}
        self._leaving = LeavingRunners()
        self._copied_until = Position()

    @property
    def table(self) -> RouteTable | None:
        """Return the routes of the configuration in force, None without one."""
        return self._operator.table

    @property
    def configuration_at(self) -> float:
        """Return when the configuration in force was applied."""
        return self._operator.configuration_at

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in force, 0 without one."""
        return self._operator.configuration_version

    def version_of(self, model: str, adapter: str) -> int:
        """Return the newest declared version of an adapter, 0 if none was."""
        return self._operator.versions.get((model, adapter), 0)

    def declared_versions(self) -> dict[tuple[str, str], int]:
        """Return the newest declared version of each adapter that has one."""
        return self._operator.versions

    @property
    def software(self) -> SoftwareVersions:
        """Return the versions of the runners' software by service."""
        return self._runners.software

    def runner(self, runner_id: str) -> Runner | None:
        """Return a registered runner, draining or not."""
        return self._runners.get(runner_id)

    def runners(self, service: str, now: float) -> list[Runner]:
        """Return the runners of a service that may get new work.

        Draining runners and those whose grace period has passed are left out.
        """
        found = self._runners.of_service(service)
        if not self._expiry_deadlines:
            return found
        deadlines = self._expiry_deadlines
        return [r for r in found if now < deadlines.get(r.id, float("inf"))]

    def takes_new_work(self, runner: Runner, now: float) -> bool:
        """Return whether this incarnation of a runner may still get new work."""
        known = self._runners.get(runner.id)
        if known is None or known.draining or known.born_ms != runner.born_ms:
            return False
        return now < self._expiry_deadlines.get(runner.id, float("inf"))

    def runners_by_domain(self, service: str) -> dict[str, list[Runner]]:
        """Return the runners of a service that are not draining, by failure domain."""
        return self._runners.by_domain(service)

    def local_runner_count(self, service: str, domain: str) -> int:
        """Return the number of a service's non-draining runners in a domain."""
        ring = self.rings(service).get(domain)
        return len(ring) if ring is not None else 0

    def rings(self, service: str) -> dict[str, HomeRing]:
        """Return the non-draining runners of a service in a ring for each domain."""
        return self._runners.rings(service)

    def is_after_outage(self, now: float) -> bool:
        """Return whether the store has just become reachable again."""
        return now - self.store_reachable_since < RECOVERY_WINDOW_S

    def all_runners(self) -> list[Runner]:
        """Return every registered runner."""
        return self._runners.all()

    def records_since(self, topic: Topic, start: Position) -> list[DirectoryRecord]:
        """Return the newest record of each key that changed at or after ``start``.

        A configuration that the store has lost and that is still in force is returned
        as well.
        """
        found = [r for r in self._newest[topic].values() if r.position >= start]
        held_over = self._operator.held_over(self.ends[topic].epoch)
        if topic is Topic.CONFIGURATION and held_over and held_over not in found:
            found.append(held_over)
        return sorted(found, key=lambda record: record.position)

    def has_removals_since(self, topic: Topic, start: Position) -> bool:
        """Return whether ``records_since`` returns all removals from ``start`` on.

        A snapshot tells nothing of the runners that were removed before it.
        """
        return topic is not Topic.RUNNERS or start >= self._removals_since

    def accepts_held_over(self, now: float) -> bool:
        """Return whether a configuration that the store lost may be put in force."""
        return self._operator.accepts_earlier_epochs(now)

    def apply(self, record: DirectoryRecord, now: float) -> bool:
        """Apply one record; return whether it is a change or an unreadable entry.

        The end of the topic stays where it is.
        """
        topic = record.topic
        if record.position.epoch < self.ends[topic].epoch:
            return self._apply_earlier_epoch(record, now)
        known = self._newest[topic].get(record.key)
        if known is not None and known.position >= record.position:
            return False
        if known is None and not self.has_removals_since(topic, record.position):
            # A read that ended late: the runner was removed before a later snapshot.
            return False
        self._newest[topic][record.key] = record
        if topic is Topic.CONFIGURATION:
            return self._operator.apply(record, now)
        return self._apply_runner(record, known, now)

    def _apply_earlier_epoch(self, record: DirectoryRecord, now: float) -> bool:
        """Apply a record that the store may have lost, unless it is a runner's."""
        if record.topic is Topic.RUNNERS or not self.accepts_held_over(now):
            return False
        return self._operator.apply(record, now)

    def receive(
        self, topic: Topic, records: list[DirectoryRecord], end: Position, now: float
    ) -> list[DirectoryRecord]:
        """Apply all records from this VM's end up to ``end``; return the changes.

        They were read from the store, or a peer has them. There may be others from
        after ``end``. Those of a later epoch are all that the peer knows of it.
        """
        if end.epoch > self.ends[topic].epoch:
            return self.replace(topic, records, end, now)
        return self._apply_all(topic, records, end, now)

    def _apply_all(
        self, topic: Topic, records: list[DirectoryRecord], end: Position, now: float
    ) -> list[DirectoryRecord]:
        changed = [record for record in records if self.apply(record, now)]
        self.ends[topic] = max(self.ends[topic], end)
        return changed

    def replace(
        self, topic: Topic, records: list[DirectoryRecord], end: Position, now: float
    ) -> list[DirectoryRecord]:
        """Apply a snapshot of a topic; return the changes.

        ``end`` is the position of its first page; later pages may hold newer records.
        """
        if end.epoch > self.ends[topic].epoch:
            self._begin_epoch(topic, end, now)
        changed = self._apply_all(topic, records, end, now)
        if topic is Topic.RUNNERS:
            present = {record.key for record in records if record.runner is not None}
            changed += self._remove_missing(present, end, now)
            self._removals_since = max(self._removals_since, end)
        return changed

    def _begin_epoch(self, topic: Topic, end: Position, now: float) -> None:
        """Begin a new epoch, of which the records up to ``end`` may be copies.

        What is in force stays so until the store's writers had time to write again what
        the copy lacks.
        """
        is_first = self.ends[topic] == Position()
        self.ends[topic] = Position(end.epoch, 0)
        if topic is Topic.CONFIGURATION:
            self._operator.begin_epoch(now)
            return
        self._copied_until = end
        if not is_first:
            self.store_reachable_since = now

    def _remove_missing(
        self, present: set[str], end: Position, now: float
    ) -> list[DirectoryRecord]:
        """Remove runners that are older than a snapshot and missing from it."""
        last = Position(end.epoch, end.offset - 1)
        removed = []
        for key, known in list(self._newest[Topic.RUNNERS].items()):
            if key in present or known.position >= end or known.runner is None:
                continue
            position = max(known.position.next(), last)
            removal = DirectoryRecord(Topic.RUNNERS, position, key)
            if self.apply(removal, now):
                removed.append(removal)
        return removed

    def settle(self, now: float) -> list[DirectoryRecord]:
        """Put in force what a restored store holds if nothing newer was written.

        Returns the records that replace newer ones.
        """
        newest = self._newest[Topic.CONFIGURATION].values()
        return self._operator.settle(newest, self.ends[Topic.CONFIGURATION].epoch, now)

    def _apply_runner(
        self, record: DirectoryRecord, known_record: DirectoryRecord | None, now: float
    ) -> bool:
        known = self._runners.get(record.key)
        known_since = drop_old_removals(self._newest[Topic.RUNNERS], len(self._runners))
        self._removals_since = max(self._removals_since, known_since)
        if record.runner is None:
            if known is None:
                return bool(record.unreadable)
            return self._remove(known, record.position, now)
        if known is not None and record.runner.is_older_than(known):
            return False
        self._keep_leaving(record, known_record)
        self._leaving.check_entry(
            record.runner, record.position, self._copied_until, now
        )
        self._expiry_deadlines.pop(record.key, None)
        self._runners.put(self._leaving.with_state(record.runner), now)
        return True

    def _keep_leaving(
        self, record: DirectoryRecord, known: DirectoryRecord | None
    ) -> None:
        """Record that a runner leaves if only a restored store has forgotten it."""
        if known is None or known.runner is None or not known.runner.draining:
            return
        if known.position.epoch < record.position.epoch:
            self._leaving.record_leaving(record.key, known.runner.born_ms)

    def record_restart(self, runner_id: str, born_ms: int, now: float) -> bool:
        """Record an incarnation that the registry does not have; return if it is new.

        It may run any software until its entry is read.
        """
        return self._runners.record_restart(runner_id, born_ms, now)

    def record_leaving(self, runner_id: str, born_ms: int) -> bool:
        """Record that an incarnation said that it leaves; return whether that is new.

        It counts as draining whatever the registry says, until another incarnation is
        registered.
        """
        if not self._leaving.record_leaving(runner_id, born_ms):
            return False
        self._update_state(runner_id)
        return True

    def _update_state(self, runner_id: str) -> None:
        """Derive anew from the newest entry whether a runner counts as draining."""
        record = self._newest[Topic.RUNNERS].get(runner_id)
        known = self._runners.get(runner_id)
        if known is None:
            return
        newest = record.runner if record else None
        entry = newest if newest and newest.born_ms == known.born_ms else known
        self._runners.update(self._leaving.with_state(entry))

    def stated_leaving(self) -> dict[str, int]:
        """Return the incarnations that said that they leave and are registered."""
        return {
            runner_id: born_ms
            for runner_id, born_ms in self._leaving.stated().items()
            if self._is_registered(runner_id, born_ms)
        }

    def _is_registered(self, runner_id: str, born_ms: int) -> bool:
        """Return whether the registry has this incarnation, or an earlier one."""
        known = self._runners.get(runner_id)
        return known is not None and known.born_ms <= born_ms

    def _remove(self, runner: Runner, position: Position, now: float) -> bool:
        """Remove a runner, after a grace period if the store was just unreachable."""
        self._leaving.record_removal(runner, position)
        if self.is_after_outage(now):
            self._expiry_deadlines.setdefault(runner.id, now + EXPIRY_GRACE_S)
            return True
        self._expiry_deadlines.pop(runner.id, None)
        self._runners.remove(runner.id, now)
        return True

    def expire(self, now: float) -> list[str]:
        """Remove runners whose grace period has passed; return their ids."""
        for runner_id in self._leaving.end_doubts(now):
            self._update_state(runner_id)
        expired = [key for key, at in self._expiry_deadlines.items() if now >= at]
        for runner_id in expired:
            del self._expiry_deadlines[runner_id]
            self._runners.remove(runner_id, now)
        return expired
