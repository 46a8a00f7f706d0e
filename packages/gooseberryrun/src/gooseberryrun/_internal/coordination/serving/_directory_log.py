"""Log lines of the store's records that change what this VM believes."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import DirectoryRecord, Position, Topic
from gooseberryrun._internal.state.serving.accounts import find_shared_keys

from .._events import log_event
from .._metrics import CONFIGURATION_VERSION
from ._store_port import StoreFault


def describe_position(position: Position) -> str:
    """Return a position as ``EPOCH:OFFSET``."""
    return f"{position.epoch}:{position.offset}"


class DirectoryLog:
    """Logs applied records, except heartbeats that change nothing worth a line."""

    def __init__(self) -> None:
        self._last_logged: dict[str, tuple[object, ...]] = {}

    def log_applied(self, applied: list[DirectoryRecord], source: str) -> None:
        """Log records that were applied, with the store or the peer they came from."""
        for record in applied:
            _record_configuration(record)
            if self._is_heartbeat(record):
                continue
            log_event(
                "record_applied",
                topic=record.topic,
                key=record.key,
                position=describe_position(record.position),
                source=source,
                says=_describe(record),
            )

    def log_ignored(
        self, read: list[DirectoryRecord], applied: list[DirectoryRecord], end: Position
    ) -> None:
        """Log the configurations that were read from the store and not applied.

        ``end`` is the position up to which records had been applied before.
        """
        for record in read:
            if record.configuration is not None and record not in applied:
                log_event(
                    "record_ignored",
                    topic=record.topic,
                    key=record.key,
                    position=describe_position(record.position),
                    end=describe_position(end),
                    says=_describe(record),
                )

    def log_rejected(self, topic: Topic, start: Position, fault: StoreFault) -> None:
        """Log that the store does not have the records from a position on."""
        log_event(
            "records_expired",
            topic=topic,
            position=describe_position(start),
            kind=fault.kind,
            detail=fault.detail,
        )

    def log_settled(self, records: list[DirectoryRecord]) -> None:
        """Log records of a restored store that replace newer ones that it lost."""
        for record in records:
            _record_configuration(record)
            log_event(
                "record_rolled_back",
                level="warning",
                key=record.key,
                position=describe_position(record.position),
                says=_describe(record),
            )

    def _is_heartbeat(self, record: DirectoryRecord) -> bool:
        """Return whether only a runner's adapters and order count have changed.

        Every heartbeat of a runner does that, and the owner logs its orders anyway.
        """
        runner = record.runner
        if runner is None:
            self._last_logged.pop(record.key, None)
            return False
        endpoint = (runner.service, runner.host, runner.port, runner.domain)
        models = tuple(model.name for model in runner.models)
        logged_fields = (*endpoint, runner.draining, runner.born_ms, models)
        is_known = self._last_logged.get(record.key) == logged_fields
        self._last_logged[record.key] = logged_fields
        return is_known


def _record_configuration(record: DirectoryRecord) -> None:
    """Record a configuration that was put in force; log its shared API keys."""
    configuration = record.configuration
    if configuration is None:
        return
    CONFIGURATION_VERSION.set(configuration.version)
    shared = find_shared_keys(configuration.accounts or ())
    if shared:
        log_event(
            "account_key_shared",
            level="warning",
            version=configuration.version,
            count=len(shared),
            accounts="; ".join(f"{owner}, {other}" for owner, other in shared),
        )


def _describe(record: DirectoryRecord) -> str:
    """Return a short description of a record for the log."""
    if record.unreadable:
        return f"unreadable:{record.unreadable}"
    if record.configuration is not None:
        return f"configuration:{record.configuration.version}"
    if record.adapter_version is not None:
        return f"adapter_version:{record.adapter_version.version}"
    if record.runner is not None:
        return "draining" if record.runner.draining else "serving"
    return "removed"
