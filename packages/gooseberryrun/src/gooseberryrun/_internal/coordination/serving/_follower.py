"""Keeps the configuration and the runners' registry up to date."""

from __future__ import annotations

from functools import partial

import eventlet
from result import Err

from gooseberryrun._internal.state.serving import (
    READERS,
    DirectoryRecord,
    Topic,
    reads_store,
)

from .._events import log_event
from .._metrics import CONFIGURATION_VERSION, STORE_CALLS
from .._ports import Inbound
from .._serving_messages import DirectoryNotice, DirectoryReply, DirectoryRequest
from .._tasks import spawn, spawn_until_done
from ._context import Context
from ._ports import StoreFault, StoreFaultKind

RETRY_S = 0.25
"""Pause after a failed read, doubled up to ``MAX_RETRY_S``."""
MAX_RETRY_S = 1.0
OUTAGE_S = 0.8
"""Time without the store after which entries may have lapsed meanwhile."""
BATCH_S = {Topic.CONFIGURATION: 0.0, Topic.RUNNERS: 0.8}
"""Pause after records came, so that later ones come together: runners write at each
heartbeat, and a leaving one has to be known within 2 s."""
PEER_LEAD_S = {Topic.CONFIGURATION: 0.6, Topic.RUNNERS: 1.0}
"""Time for the store's own word before records are fetched from a peer."""
FETCH_TIMEOUT_S = 1.0
SWEEP_S = 0.4
DUTY_CHECK_S = 0.25
"""Pause of a VM that need not read the store before it looks again."""
READER_POLL_S = 2.5
"""Longest wait of a read for others: a connection that went silent shows after it."""
SIGN_OF_LIFE_S = 1.0
"""Pause between words of a reader to those that it reads for."""


class DirectoryFollower:
    """Follows both topics, through the store or, without it, through peers."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._lost_at: dict[Topic, float] = {}
        self._fetching: set[Topic] = set()
        self._heard_at: dict[Topic, float] = {}
        self._read_at: dict[Topic, float] = {}
        self._is_reading = dict.fromkeys(Topic, True)
        self._announced: dict[Topic, int] = {}
        self._logged: dict[str, tuple[object, ...]] = {}

    def start(self) -> None:
        """Follow each topic in a green thread of its own."""
        for topic in Topic:
            spawn_until_done(f"follow_{topic}", partial(self._follow, topic))
        spawn_until_done("directory_sweep", self._sweep)
        spawn_until_done("directory_signs", self._tell_signs_of_life)

    def is_ready(self) -> bool:
        """Tell whether a configuration is known."""
        return self._ctx.directory.table is not None

    # Reading from the store.

    def _follow(self, topic: Topic) -> None:
        needs_snapshot = True
        pause_s = RETRY_S
        while True:
            if not needs_snapshot and not self._is_due(topic):
                eventlet.sleep(DUTY_CHECK_S)
                continue
            fault = self._read(topic, needs_snapshot)
            if fault is None:
                self._note_regained(topic)
                needs_snapshot = False
                pause_s = RETRY_S
                continue
            if fault.kind is StoreFaultKind.EXPIRED:
                log_event("records_expired", topic=topic, detail=fault.detail)
                needs_snapshot = True
                continue
            self._note_lost(topic, fault)
            eventlet.sleep(pause_s)
            pause_s = min(MAX_RETRY_S, pause_s * 2)

    def _is_due(self, topic: Topic) -> bool:
        """Tell whether this VM reads the store itself, and log when that changes."""
        heard_at = self._heard_at.get(topic, float("-inf"))
        # Counts suspension: what was heard before it may be out of date.
        now = self._ctx.clock.boottime()
        rank = self._ctx.reader_rank()
        is_announced = self._announced.get(topic, 0) > self._ctx.directory.ends[topic]
        is_due = is_announced or reads_store(rank, heard_at, now)
        if is_due is not self._is_reading[topic]:
            self._is_reading[topic] = is_due
            age_s = now - heard_at
            log_event(
                "reading", topic=topic, is_due=is_due, rank=rank, heard_age_s=age_s
            )
        return is_due

    def _serves_others(self) -> bool:
        return self._ctx.reader_rank() < READERS <= len(self._ctx.near_peer_ids())

    def _poll_s(self) -> float:
        wait_s = self._ctx.cfg.store.poll_wait_s
        return min(READER_POLL_S, wait_s) if self._serves_others() else wait_s

    def _tell_signs_of_life(self) -> None:
        """Tell those that this VM reads for that the reading goes on."""
        while True:
            eventlet.sleep(SIGN_OF_LIFE_S)
            now = self._ctx.clock.monotonic()
            for topic, read_at in self._read_at.items():
                if topic not in self._lost_at and now - read_at <= 2 * READER_POLL_S:
                    self._tell(topic, self._ctx.directory.ends[topic], [])

    def _tell(self, topic: Topic, start: int, records: list[DirectoryRecord]) -> None:
        """Pass on what was read to those of this domain that need not read it.

        A whole configuration is only announced, and each VM reads it: sent to every VM
        of a domain, a long one fills the link of a small VM for seconds.
        """
        if not self._serves_others():
            return
        if any(record.configuration is not None for record in records):
            start, records = self._ctx.directory.ends[topic], []
        directory = self._ctx.directory
        is_after_outage = directory.is_after_outage(self._ctx.clock.monotonic())
        notice = DirectoryNotice(
            topic, start, directory.ends[topic], records, is_after_outage
        )
        self._ctx.peers.send_to_all(self._ctx.near_peer_ids(), notice)

    def hear_notice(self, peer: str, notice: DirectoryNotice) -> None:
        """Take in what a reader of this domain has read."""
        ctx = self._ctx
        now = ctx.clock.monotonic()
        self._heard_at[notice.topic] = ctx.clock.boottime()
        if notice.topic in self._lost_at and not self._is_reading[notice.topic]:
            self._note_regained(notice.topic)
        if notice.is_after_outage and not ctx.directory.is_after_outage(now):
            ctx.directory.regained_at = now
        if notice.start > ctx.directory.ends[notice.topic]:
            self._announced[notice.topic] = notice.end
            return
        news = DirectoryReply(notice.topic, notice.end, notice.records)
        self._take_reply(peer, news)

    def _read(self, topic: Topic, needs_snapshot: bool) -> StoreFault | None:
        directory = self._ctx.directory
        store = self._ctx.ports.store
        if needs_snapshot:
            read = store.read_snapshot(topic)
        else:
            read = store.read_changes(topic, directory.ends[topic], self._poll_s())
        outcome = read.err_value.kind if isinstance(read, Err) else "ok"
        STORE_CALLS.labels(call=f"read_{topic}", outcome=outcome).inc()
        if isinstance(read, Err):
            return read.err_value
        self._note_regained(topic)
        records = read.ok_value
        now = self._ctx.clock.monotonic()
        self._read_at[topic] = now
        start = directory.ends[topic]
        if needs_snapshot:
            news = directory.replace(topic, records.records, records.end, now)
        else:
            news = [r for r in records.records if directory.apply(r, now)]
            directory.ends[topic] = max(directory.ends[topic], records.end)
        self._log_news(news, "store")
        if records.records and not needs_snapshot:
            self._tell(topic, start, records.records)
        if records.records:
            eventlet.sleep(BATCH_S[topic])
        return None

    def _note_lost(self, topic: Topic, fault: StoreFault) -> None:
        if topic in self._lost_at:
            return
        self._lost_at[topic] = self._ctx.clock.monotonic()
        log_event(
            "store_lost",
            level="warning",
            topic=topic,
            kind=fault.kind,
            why=fault.detail,
        )

    def _note_regained(self, topic: Topic) -> None:
        lost_at = self._lost_at.pop(topic, None)
        if lost_at is None:
            return
        now = self._ctx.clock.monotonic()
        if now - lost_at >= OUTAGE_S:
            self._ctx.directory.regained_at = now
        log_event("store_regained", topic=topic, lost_s=now - lost_at)

    # Reading from peers.

    def hear_ends(self, peer: str, ends: dict[Topic, int]) -> None:
        """Fetch what a peer has read beyond this VM."""
        for topic, end in ends.items():
            if end > self._ctx.directory.ends[topic] and topic not in self._fetching:
                self._fetching.add(topic)
                spawn("peer_read", partial(self._fetch, peer, topic, end))

    def _fetch(self, peer: str, topic: Topic, end: int) -> None:
        try:
            if topic not in self._lost_at:
                eventlet.sleep(PEER_LEAD_S[topic])
            known_end = self._ctx.directory.ends[topic]
            if known_end >= end:
                return
            deadline = self._ctx.clock.monotonic() + FETCH_TIMEOUT_S
            question = DirectoryRequest(topic, known_end)
            answer = self._ctx.peers.ask(peer, question, deadline)
            if isinstance(answer, Err):
                log_event("peer_read_failed", peer=peer, why=answer.err_value.detail)
                return
            if isinstance(answer.ok_value, DirectoryReply):
                self._take_reply(peer, answer.ok_value)
        finally:
            self._fetching.discard(topic)

    def _take_reply(self, peer: str, reply: DirectoryReply) -> None:
        directory = self._ctx.directory
        now = self._ctx.clock.monotonic()
        news = [record for record in reply.records if directory.apply(record, now)]
        directory.ends[reply.topic] = max(directory.ends[reply.topic], reply.end)
        self._log_news(news, f"peer:{peer}")

    def answer(self, inbound: Inbound, question: DirectoryRequest) -> None:
        """Give a peer the records that it lacks."""
        directory = self._ctx.directory
        records = directory.records_since(question.topic, question.offset)
        end = directory.ends[question.topic]
        inbound.reply(DirectoryReply(question.topic, end, records))

    # Beliefs.

    def _sweep(self) -> None:
        while True:
            eventlet.sleep(SWEEP_S)
            now = self._ctx.clock.monotonic()
            for runner in self._ctx.directory.expire(now):
                log_event("runner_gone", runner=runner, why="entry did not come back")

    def _log_news(self, news: list[DirectoryRecord], source: str) -> None:
        for record in news:
            if record.configuration is not None:
                CONFIGURATION_VERSION.set(record.configuration.version)
            if self._is_routine(record):
                continue
            log_event(
                "record_applied",
                topic=record.topic,
                key=record.key,
                offset=record.offset,
                source=source,
                says=_describe(record),
            )

    def _is_routine(self, record: DirectoryRecord) -> bool:
        """Tell whether only a runner's adapters and order count have changed.

        Each runner says so with every heartbeat; the owner's orders are logged.
        """
        runner = record.runner
        if runner is None:
            self._logged.pop(record.key, None)
            return False
        place = (runner.service, runner.host, runner.port, runner.domain)
        models = tuple(model.name for model in runner.models)
        said = (*place, runner.draining, runner.born_ms, models)
        is_known = self._logged.get(record.key) == said
        self._logged[record.key] = said
        return is_known


def _describe(record: DirectoryRecord) -> str:
    """Return what a record changes, in a few words."""
    if record.unreadable:
        return f"unreadable:{record.unreadable}"
    if record.configuration is not None:
        return f"configuration:{record.configuration.version}"
    if record.adapter_version is not None:
        return f"adapter_version:{record.adapter_version.version}"
    if record.runner is not None:
        return "draining" if record.runner.draining else "serving"
    return "removed"
