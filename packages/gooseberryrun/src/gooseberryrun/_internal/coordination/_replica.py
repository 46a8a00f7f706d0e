"""State that this VM derives by replaying the log's streams."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import eventlet
import msgspec
from result import Err

from gooseberryrun._internal.state import (
    CONFIG_STREAM,
    NO_OFFSET,
    OWNERS_STREAM,
    STREAMS,
    WORK_STREAM,
    Clock,
    ConfigChange,
    ConfigSnapshot,
    ConfigState,
    CrashCleared,
    CrashReport,
    Intent,
    JobAccepted,
    JobDone,
    JobState,
    KeyRefresh,
    LedgerState,
    LogRecord,
    Outcome,
    OwnerClaim,
    OwnerState,
    Record,
    Settings,
    decode_record,
    encode_record,
    to_refresh,
)
from gooseberryrun._internal.state.serving import Crash, CrashEvidence, CrashLimits

from ._crash_names import incarnation_number, trait_of
from ._events import log_event
from ._messages import PlainRecord, RecordsReply, RecordsRequest
from ._metrics import LOG_AGE
from ._ports import Log, LogRead, Peers
from ._waiters import Waiters

RECENT_RECORDS = 4096
"""Records of each stream kept for peers that cannot reach the log."""
LARGE_CHANGE_OPS = 64
"""Operations in a configuration change above which its record is not kept."""


@dataclass(slots=True)
class StreamPosition:
    """Position of this VM in one stream.

    ``confirmed_at`` is the monotonic time at the start of the last read from the log
    that reached the end of the stream. ``synced`` is set once the end was reached,
    here or by a peer that sent its records; ``writers`` holds the last sequence number
    of each writer, to skip appends that were repeated.
    """

    next_offset: int = 0
    confirmed_at: float = float("-inf")
    synced: bool = False
    reachable: bool = False
    writers: dict[str, int] = field(default_factory=dict)
    recent: deque[LogRecord] = field(
        default_factory=lambda: deque(maxlen=RECENT_RECORDS)
    )


class Replica:
    """State machines of all streams, and green threads that apply records to them."""

    def __init__(
        self, cfg: Settings, clock: Clock, log: Log, peers: Peers, boot: str
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._log = log
        self._peers = peers
        self._boot = boot
        self.config = ConfigState()
        self.owners = OwnerState()
        self.ledger = LedgerState()
        self.jobs = JobState()
        self.evidence = _make_evidence(cfg)
        self.waiters = Waiters(clock)
        self.config_recorded_at = clock.monotonic()
        self.positions = {stream: StreamPosition() for stream in STREAMS}
        self.on_owner_change: Callable[[str], None] = lambda runner: None
        self.choose_peer: Callable[[], str | None] = lambda: None

    def start(self) -> None:
        """Start following every stream."""
        for stream in STREAMS:
            eventlet.spawn(self._follow, stream)

    def is_ready(self) -> bool:
        """Return whether every stream was read to its end, here or by a peer."""
        return all(position.synced for position in self.positions.values())

    def log_age_s(self, stream: str) -> float:
        """Return the seconds since the last read that reached the end of the stream."""
        return self._clock.monotonic() - self.positions[stream].confirmed_at

    def is_log_reachable(self, stream: str) -> bool:
        """Return whether the last read of the stream succeeded."""
        return self.positions[stream].reachable

    def _follow(self, stream: str) -> None:
        while True:
            started_at = self._clock.monotonic()
            position = self.positions[stream]
            wait_s = self._cfg.log.poll_wait_s if position.synced else 0.0
            read = self._log.read(stream, position.next_offset, wait_s)
            if isinstance(read, Err):
                self._record_log_failure(stream, read.err_value.detail)
                self._fetch_from_peer(stream)
                eventlet.sleep(self._cfg.log.retry_interval_s)
            elif not self._apply_read(stream, read.ok_value, started_at):
                self._fetch_from_peer(stream)
                eventlet.sleep(self._cfg.log.retry_interval_s)

    def _record_log_failure(self, stream: str, detail: str) -> None:
        position = self.positions[stream]
        if position.reachable:
            log_event("log_unreachable", level="warning", stream=stream, detail=detail)
        position.reachable = False
        LOG_AGE.labels(stream=stream).set(min(self.log_age_s(stream), 1e9))

    def _apply_read(self, stream: str, read: LogRead, started_at: float) -> bool:
        """Apply a read; return False if older records are needed from a peer."""
        position = self.positions[stream]
        position.reachable = True
        if read.first > position.next_offset and not self._skip_trimmed(stream, read):
            return False
        for record in read.records:
            self.apply(stream, record)
        if position.next_offset >= read.end:
            position.confirmed_at = started_at
            position.synced = True
            LOG_AGE.labels(stream=stream).set(0)
        return True

    def _skip_trimmed(self, stream: str, read: LogRead) -> bool:
        """Skip records that expired before this VM read them.

        Configuration is restored from a snapshot in the read; returns False if there is
        none that covers the expired records.
        """
        position = self.positions[stream]
        if stream != CONFIG_STREAM:
            log_event("log_trimmed", stream=stream, first=read.first)
            position.next_offset = read.first
            return True
        for record in reversed(read.records):
            decoded = decode_record(record.data)
            if isinstance(decoded, Err):
                continue
            snapshot = decoded.ok_value
            if isinstance(snapshot, ConfigSnapshot) and snapshot.base >= read.first - 1:
                self.config.apply_snapshot(snapshot)
                position.next_offset = snapshot.base + 1
                return True
        return False

    def apply(self, stream: str, record: LogRecord) -> None:
        """Apply one record; records below the position were applied before."""
        position = self.positions[stream]
        if record.offset < position.next_offset:
            return
        position.next_offset = record.offset + 1
        self._keep_recent(position, record)
        if position.writers.get(record.writer, NO_OFFSET) >= record.seq:
            return
        position.writers[record.writer] = record.seq
        decoded = decode_record(record.data)
        if isinstance(decoded, Err):
            log_event("record_skipped", level="warning", reason=decoded.err_value)
            return
        self._apply_decoded(decoded.ok_value, record.offset)

    def _keep_recent(self, position: StreamPosition, record: LogRecord) -> None:
        """Keep a small record for peers; a large one makes them fetch a snapshot."""
        if len(record.data.get("body", {}).get("ops", ())) > LARGE_CHANGE_OPS:
            position.recent.clear()
        else:
            position.recent.append(record)

    def _apply_decoded(self, record: Record, offset: int) -> None:
        if isinstance(record, ConfigChange | ConfigSnapshot):
            self._apply_config(record, offset)
        elif isinstance(record, OwnerClaim):
            for runner in self.owners.apply_claim(record, offset):
                self.on_owner_change(runner)
                self.waiters.notify(f"runner:{runner}")
        elif isinstance(record, CrashReport):
            incarnation = incarnation_number(record.incarnation)
            crash = Crash(record.runner, incarnation, self._time_of(record), True)
            traits = [trait_of(name) for name in record.fingerprints]
            self.evidence.record_crash(traits, crash)
        elif isinstance(record, CrashCleared):
            traits = [trait_of(name) for name in record.fingerprints]
            self.evidence.record_answer(traits, self._time_of(record))
        else:
            self._apply_work(record, offset)

    def _time_of(self, record: CrashReport | CrashCleared) -> float:
        """Return the monotonic time of a record, which may be from before a restart."""
        age_s = max(0.0, self._clock.unix() - record.at)
        return self._clock.monotonic() - age_s

    def _apply_config(self, record: ConfigChange | ConfigSnapshot, offset: int) -> None:
        if isinstance(record, ConfigSnapshot):
            self.config.apply_snapshot(record)
            self.config.advance_position(offset)
            self.config_recorded_at = self._clock.monotonic()
            return
        decision = self.config.apply_change(record, offset)
        log_event(
            "config_change",
            change=record.change_id,
            accepted=decision.accepted,
            revision=decision.revision,
            reason=decision.reason,
        )
        self.waiters.notify(f"change:{record.change_id}")

    def _apply_work(
        self, record: Intent | Outcome | KeyRefresh | JobAccepted | JobDone, offset: int
    ) -> None:
        now = self._clock.monotonic()
        if isinstance(record, Intent):
            self.ledger.apply_intent(record, offset, now)
            self.waiters.notify(f"key:{record.key}")
        elif isinstance(record, Outcome):
            self.ledger.apply_outcome(record, now)
            self.waiters.notify(f"key:{record.key}")
        elif isinstance(record, KeyRefresh):
            self.ledger.apply_refresh(record, now)
        elif isinstance(record, JobAccepted):
            self.jobs.apply_accepted(record, now)
            self.waiters.notify(f"job:{record.job_id}")
        else:
            self.jobs.apply_done(record, now)
            self.waiters.notify(f"job:{record.job_id}")

    def _fetch_from_peer(self, stream: str) -> None:
        """Fetch records from a peer if the log is unreachable or has expired them."""
        vm = self.choose_peer()
        if vm is None:
            return
        position = self.positions[stream]
        deadline = self._clock.monotonic() + self._cfg.platform.timeout_s
        reply = self._peers.request_from(
            vm, RecordsRequest(stream, position.next_offset), deadline
        )
        if isinstance(reply, Err) or not isinstance(reply.ok_value, RecordsReply):
            return
        self._apply_peer_reply(reply.ok_value)

    def _apply_peer_reply(self, reply: RecordsReply) -> None:
        position = self.positions[reply.stream]
        if reply.snapshot is not None:
            self._restore(reply.stream, reply.snapshot)
        for plain in reply.records:
            if plain.offset == position.next_offset or reply.snapshot is not None:
                record = LogRecord(plain.offset, plain.writer, plain.seq, plain.data)
                self.apply(reply.stream, record)
        if reply.synced:
            position.synced = True

    def handle_records_request(self, request: RecordsRequest) -> RecordsReply:
        """Return the records that a peer lacks, or a snapshot if they are not kept."""
        position = self.positions[request.stream]
        oldest = position.recent[0].offset if position.recent else position.next_offset
        if request.next_offset < oldest:
            return RecordsReply(
                request.stream, [], position.synced, self._snapshot(request.stream)
            )
        records = [
            PlainRecord(record.offset, record.writer, record.seq, record.data)
            for record in position.recent
            if record.offset >= request.next_offset
        ]
        return RecordsReply(request.stream, records, position.synced)

    def _snapshot(self, stream: str) -> dict[str, Any]:
        position = self.positions[stream]
        records: list[tuple[int, dict[str, Any]]] = []
        if stream == CONFIG_STREAM:
            records.append((NO_OFFSET, encode_record(self.config.snapshot())))
        elif stream == OWNERS_STREAM:
            records += [
                (
                    owner.fencing.offset,
                    encode_record(OwnerClaim(owner.vm, owner.boot, "", [runner])),
                )
                for runner, owner in self.owners.items()
            ]
        elif stream == WORK_STREAM:
            records += [
                (NO_OFFSET, encode_record(to_refresh(entry))) for entry in self.ledger
            ]
            for job in self.jobs:
                records.append((NO_OFFSET, encode_record(job.accepted)))
                if job.done is not None:
                    records.append((NO_OFFSET, encode_record(job.done)))
        return {
            "next_offset": position.next_offset,
            "writers": dict(position.writers),
            "records": msgspec.to_builtins(records),
        }

    def _restore(self, stream: str, snapshot: dict[str, Any]) -> None:
        position = self.positions[stream]
        if snapshot["next_offset"] <= position.next_offset:
            return
        for offset, data in snapshot["records"]:
            decoded = decode_record(data)
            if not isinstance(decoded, Err):
                self._apply_decoded(decoded.ok_value, offset)
        position.next_offset = snapshot["next_offset"]
        position.writers.update(snapshot["writers"])
        log_event("snapshot_restored", stream=stream, next=position.next_offset)


def _make_evidence(cfg: Settings) -> CrashEvidence:
    """Return the empty record of crashes.

    Nothing waits for a crashed runner to return, since suspects go to others.
    """
    ttl_s = cfg.limits.suspect_ttl_s
    limits = CrashLimits(cfg.limits.crashes_to_refuse, ttl_s, ttl_s)
    return CrashEvidence(lambda crash: True, limits)
