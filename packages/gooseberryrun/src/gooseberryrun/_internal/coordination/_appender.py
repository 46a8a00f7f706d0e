"""Group commit: appends to the log in batches, one in flight for each stream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import eventlet
from eventlet.event import Event
from eventlet.queue import LightQueue
from result import Err, Ok, Result

from gooseberryrun._internal.state import (
    CONFIG_STREAM,
    OWNERS_STREAM,
    WORK_STREAM,
    Clock,
    ConfigChange,
    ConfigSnapshot,
    OwnerClaim,
    Record,
    Settings,
    encode_record,
)

from ._errors import LogError
from ._ports import Log


@dataclass(slots=True)
class _PendingAppend:
    """Record in a queue; ``sent`` if an append of it may have taken effect."""

    seq: int
    data: dict[str, Any]
    deadline: float
    done: Event
    sent: bool = False


class Appender:
    """Appends records of this VM to the log.

    A failed append is retried with the same sequence numbers, so that readers can skip
    the repeats.
    """

    def __init__(self, cfg: Settings, clock: Clock, log: Log, boot: str) -> None:
        self._cfg = cfg
        self._clock = clock
        self._log = log
        self._boot = boot
        self._next_seq = 0
        self._queues: dict[str, LightQueue] = {}
        for stream in (CONFIG_STREAM, OWNERS_STREAM, WORK_STREAM):
            self._queues[stream] = LightQueue()

    def start(self) -> None:
        """Start one writer for each stream."""
        for stream, queue in self._queues.items():
            eventlet.spawn(self._write, stream, queue)

    def append(self, record: Record, deadline: float) -> Result[int, LogError]:
        """Append a record and return its offset once it is durable.

        The error states whether the append may still have taken effect.
        """
        entry = _PendingAppend(self._next_seq, encode_record(record), deadline, Event())
        self._next_seq += 1
        self._queues[_stream_of(record)].put_nowait(entry)
        result: Result[int, LogError] = entry.done.wait()
        return result

    def _write(self, stream: str, queue: LightQueue) -> None:
        batch: list[_PendingAppend] = []
        while True:
            batch = self._fail_expired(batch)
            if not batch:
                batch.append(queue.get())
            while not queue.empty() and len(batch) < self._cfg.log.max_batch:
                batch.append(queue.get_nowait())
            batch = self._fail_expired(batch)
            if batch and self._append_batch(stream, batch):
                batch = []
                eventlet.sleep(self._cfg.log.append_interval_s)
            elif batch:
                eventlet.sleep(self._cfg.log.retry_interval_s)

    def _append_batch(self, stream: str, batch: list[_PendingAppend]) -> bool:
        appended = self._log.append(
            stream, self._boot, [(entry.seq, entry.data) for entry in batch]
        )
        if isinstance(appended, Err):
            for entry in batch:
                entry.sent = entry.sent or appended.err_value.sent
            return False
        for index, entry in enumerate(batch):
            entry.done.send(Ok(appended.ok_value + index))
        return True

    def _fail_expired(self, batch: list[_PendingAppend]) -> list[_PendingAppend]:
        now = self._clock.monotonic()
        kept = []
        for entry in batch:
            if now < entry.deadline:
                kept.append(entry)
            else:
                entry.done.send(
                    Err(LogError(entry.sent, "the log did not respond in time"))
                )
        return kept


def _stream_of(record: Record) -> str:
    if isinstance(record, ConfigChange | ConfigSnapshot):
        return CONFIG_STREAM
    if isinstance(record, OwnerClaim):
        return OWNERS_STREAM
    return WORK_STREAM
