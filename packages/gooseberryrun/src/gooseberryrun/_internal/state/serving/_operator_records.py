"""Configuration and adapter versions in force."""

from __future__ import annotations

from collections.abc import Iterable

from ._directory_records import DirectoryRecord
from ._routes import RouteTable

HELD_OVER_S = 60.0
"""Time for which what a restored store has lost stays in force unless the operator
writes it again."""


class OperatorRecords:
    """Configuration and adapter versions in force, none of which goes back.

    Made for a store that comes back from an older copy: until the operator has written
    the lost records again, it holds older ones. What is never written again is replaced
    by what the store holds, ``HELD_OVER_S`` after the epoch began.
    """

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.configuration_at = 0.0
        self.versions: dict[tuple[str, str], int] = {}
        self._version_epochs: dict[tuple[str, str], int] = {}
        self._in_force: DirectoryRecord | None = None
        self._hold_deadline: float | None = None

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in force, 0 without one."""
        return self.table.configuration.version if self.table else 0

    def begin_epoch(self, now: float) -> None:
        """Keep what is in force for a time, whatever the restored store holds."""
        self._hold_deadline = now + HELD_OVER_S

    def accepts_earlier_epochs(self, now: float) -> bool:
        """Return whether records that the store may have lost are put in force."""
        return self._hold_deadline is not None and now < self._hold_deadline

    def held_over(self, epoch: int) -> DirectoryRecord | None:
        """Return the configuration in force if it is from before an epoch."""
        record = self._in_force
        if record is None or record.position.epoch >= epoch:
            return None
        return record

    def apply(self, record: DirectoryRecord, now: float) -> bool:
        """Apply a record; return whether it is a change or an unreadable entry."""
        if record.adapter_version is not None:
            return self._apply_version(record)
        if record.configuration is None:
            return bool(record.unreadable)
        if self.table is None or (
            record.configuration.version > self.configuration_version
        ):
            self._put_in_force(record, now)
            return True
        if record.configuration.version == self.configuration_version:
            self._in_force = record
        return False

    def _apply_version(self, record: DirectoryRecord) -> bool:
        declared = record.adapter_version
        if declared is None:
            return False
        key = (declared.model, declared.adapter)
        known = self.versions.get(key, 0)
        if declared.version >= known:
            self.versions[key] = declared.version
            self._version_epochs[key] = record.position.epoch
        return declared.version > known

    def _put_in_force(self, record: DirectoryRecord, now: float) -> None:
        if record.configuration is not None:
            self.table = RouteTable(record.configuration)
            self.configuration_at = now
            self._in_force = record

    def settle(
        self, records: Iterable[DirectoryRecord], epoch: int, now: float
    ) -> list[DirectoryRecord]:
        """Put the store's records in force once the time to write others has passed.

        ``records`` are the newest ones; those of the present ``epoch`` replace what is
        in force since an earlier one. Returns those that replace newer ones.
        """
        if self._hold_deadline is None or now < self._hold_deadline:
            return []
        self._hold_deadline = None
        current = [record for record in records if record.position.epoch == epoch]
        self._drop_lost_versions(epoch)
        changed = [record for record in current if self._apply_version(record)]
        if self.held_over(epoch) is not None:
            found = [record for record in current if record.configuration is not None]
            for record in found:
                self._put_in_force(record, now)
            changed += found
        return changed

    def _drop_lost_versions(self, epoch: int) -> None:
        """Forget the versions that nobody has declared in this epoch."""
        for key, declared_in in list(self._version_epochs.items()):
            if declared_in < epoch:
                del self.versions[key], self._version_epochs[key]
