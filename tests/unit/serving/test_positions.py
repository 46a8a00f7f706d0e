"""No position of a topic claims a record that was not applied.

Guards against a VM that skips a record for good: its position had moved behind a record
that it never applied, through pages of a snapshot that are not of one moment, two reads
at once, a peer's reply, a notice, a removal, compaction or a new epoch of the store.
"""

from __future__ import annotations

import base64
import json
import struct
from dataclasses import dataclass, field
from typing import Any

from gooseberryrun._internal.coordination import InboundMessage
from gooseberryrun._internal.coordination._serving_messages import (
    DirectoryNotice,
    DirectoryReply,
    DirectoryRequest,
)
from gooseberryrun._internal.coordination.serving import (
    StoreFault,
    StoreFaultKind,
)
from gooseberryrun._internal.coordination.serving._follower import DirectoryFollower
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import Position, Topic
from gooseberryrun_platform import _store
from gooseberryrun_platform._store import PlatformStore
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result

from tests.lib.fleet import GroupStore, make_members, make_vm

PAGE_ITEMS = 2
"""Items of a page; the platform has up to 500."""
KEYS = 5
"""Keys of each topic; a snapshot has three pages."""
MAX_DEPTH = 2
"""Reads that may be in progress within one another."""
MEMBERS = 5
"""VMs of the domain: the first three read for the others."""
TOPICS = {"keyed.op": Topic.CONFIGURATION, "keyed.servers": Topic.RUNNERS}
NAMES = {topic: name for name, topic in TOPICS.items()}
LIMITS = {
    "max_header_bytes": 1000,
    "max_body_bytes": 1000,
    "header_timeout_ms": 1000,
    "idle_timeout_ms": 1000,
}


@dataclass
class TopicLog:
    """Records of a topic in one epoch; those before ``first`` are deleted."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    first: int = 0

    def newest(self) -> dict[str, int]:
        """Return the offset of the newest record of each key."""
        return {key: at for at, (key, _) in enumerate(self.records)}


class World:
    """The store's topics by epoch, two VMs, and messages that are under way."""

    def __init__(self, data: Any) -> None:
        self.data = data
        self.epoch = 1
        self.version = 0
        self.depth = 0
        self.logs = {name: {1: TopicLog()} for name in TOPICS}
        for number in range(KEYS):
            self.write_operator_record(number)
            self.write_runner(number, is_removal=False)
        members = make_members(1, MEMBERS)
        self.vms = [Vm(self, members, number) for number in (0, MEMBERS - 1)]

    def log(self, name: str) -> TopicLog:
        """Return the present records of a topic."""
        return self.logs[name][self.epoch]

    def interleave(self) -> None:
        """Let other things happen while a call is in progress."""
        for _ in range(self.data.draw(st.integers(0, 3))):
            self.act()

    def act(self) -> None:
        """Let one thing happen."""
        actions = [self.write] * 6 + [self.compact, self.restore, self.deliver_notice]
        if self.depth < MAX_DEPTH:
            actions += [self.read, self.read, self.ask_peer]
        self.data.draw(st.sampled_from(actions))()

    def write(self) -> None:
        """Append a record of the operator or of a runner, or a removal."""
        number = self.data.draw(st.integers(0, KEYS - 1))
        if self.data.draw(st.booleans()):
            self.write_operator_record(number)
        else:
            self.write_runner(number, self.data.draw(st.booleans()))

    def write_operator_record(self, number: int) -> None:
        """Append a configuration, or the version of an adapter."""
        self.version += 1
        key, value = "config", configuration(self.version)
        if number:
            key, value = f"version/m.a{number}", declaration(number, self.version)
        self.log("keyed.op").records.append((key, value))

    def write_runner(self, number: int, is_removal: bool) -> None:
        """Append the entry of a runner, or its removal."""
        self.version += 1
        value = b"" if is_removal else entry(self.version)
        self.log("keyed.servers").records.append((f"r{number}", value))

    def compact(self) -> None:
        """Delete the records that are not the newest of their key."""
        log = self.log(self.data.draw(st.sampled_from(list(TOPICS))))
        log.first = len(log.records)

    def restore(self) -> None:
        """Let the store come back from a copy that lacks the last records."""
        lost = self.data.draw(st.integers(0, 2))
        self.epoch += 1
        for name in TOPICS:
            records = self.logs[name][self.epoch - 1].records
            kept = records[: len(records) - lost]
            self.logs[name][self.epoch] = TopicLog(list(kept))

    def read(self) -> None:
        """Let a VM read a topic, while other things happen."""
        vm = self.data.draw(st.sampled_from(self.vms))
        self.read_by(vm, self.data.draw(st.sampled_from(list(Topic))))

    def read_by(self, vm: Vm, topic: Topic) -> None:
        """Let a VM read a topic, all records anew if it has to."""
        self.depth += 1
        try:
            vm.read(topic)
        finally:
            self.depth -= 1

    def ask_peer(self) -> None:
        """Let a VM get what it lacks from the other, while other things happen."""
        asking, asked = self.data.draw(st.permutations(self.vms))
        topic = self.data.draw(st.sampled_from(list(Topic)))
        request = DirectoryRequest(topic, asking.directory.ends[topic])
        replies: list[Any] = []
        inbound = InboundMessage(asking.name, request, replies.append)
        self.depth += 1
        self.interleave()
        asked.follower.peers.handle_directory_request(inbound, request)
        self.interleave()
        self.depth -= 1
        assert isinstance(replies[0], DirectoryReply)
        asking.follower.peers.apply_reply(asked.name, replies[0])

    def deliver_notice(self) -> None:
        """Deliver a notice of the first VM to the second, late or in another order."""
        sent = self.vms[0].take_notices()
        if sent:
            notice = self.data.draw(st.sampled_from(sent))
            self.vms[1].follower.notices.handle_directory_notice(
                self.vms[0].name, notice
            )

    def check(self) -> None:
        """Check that each VM has what lies before its positions.

        A record that a newer one of its key replaces may be missing.
        """
        for vm in self.vms:
            for topic, end in vm.directory.ends.items():
                if end == Position():
                    continue
                log = self.logs[NAMES[topic]][end.epoch]
                for key, offset in log.newest().items():
                    if offset >= end.offset:
                        continue
                    is_removal = not log.records[offset][1]
                    assert vm.has(topic, key, Position(end.epoch, offset), is_removal)


class Vm:
    """A VM's follower, driven by hand."""

    def __init__(self, world: World, members: Any, number: int) -> None:
        own = members["d0"][number]
        group_store = GroupStore(members)
        self.name = own.vm
        ctx, self.peers = make_vm(own, group_store, [], ManualClock(10.0))
        store: Any = ModelStore(world, ctx.cfg)
        ctx.ports.store.read_snapshot = store.read_snapshot  # type: ignore[method-assign]
        ctx.ports.store.read_changes = store.read_changes  # type: ignore[method-assign]
        self.directory = ctx.directory
        self.follower = DirectoryFollower(ctx)
        self._needs_snapshot = dict.fromkeys(Topic, True)

    def read(self, topic: Topic) -> bool:
        """Read a topic; return whether that succeeded."""
        needs_snapshot = self._needs_snapshot[topic]
        read = self.follower._read(topic, needs_snapshot, 0.0)
        if isinstance(read, Ok):
            self._needs_snapshot[topic] = False
            return True
        assert read.err_value.kind in (
            StoreFaultKind.EXPIRED,
            StoreFaultKind.OTHER_EPOCH,
        )
        self._needs_snapshot[topic] = True
        return False

    def take_notices(self) -> list[DirectoryNotice]:
        """Return the notices sent so far."""
        return [m for _, m in self.peers.sent if isinstance(m, DirectoryNotice)]

    def has(self, topic: Topic, key: str, at: Position, is_removal: bool) -> bool:
        """Return whether the record of a key, or a newer one, is applied."""
        known = self.directory._newest[topic].get(key)
        if is_removal and (known is None or known.runner is None):
            # A snapshot names no removals and repeats none of an earlier epoch.
            return topic is Topic.RUNNERS
        return known is not None and known.position >= at


class ModelStore(PlatformStore):
    """The platform's store with records in memory; other things happen in its calls."""

    def __init__(self, world: World, cfg: Any) -> None:
        super().__init__(cfg)
        self._world = world

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: Any = None,
        timeout_s: float | None = None,
    ) -> Result[Any, StoreFault]:
        self._world.interleave()
        reply = self._reply(path, query)
        self._world.interleave()
        return reply

    def _reply(self, path: str, query: dict[str, str]) -> Result[Any, StoreFault]:
        world = self._world
        log = world.log(query["topic"])
        if path == "/v1/log-newest":
            return Ok(_store._Reply(world.epoch, page(log, query.get("after", ""))))
        start = int(query["from"])
        if start < log.first or start > len(log.records):
            return Err(StoreFault(StoreFaultKind.EXPIRED, "deleted", log.first))
        data = struct.pack(">QQ", len(log.records), log.first)
        for key, value in log.records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            data += struct.pack(">I", len(content)) + content
        return Ok(_store._Reply(world.epoch, data))


def page(log: TopicLog, after: str) -> bytes:
    """Return a page of the newest records by key; dropped keys are missing."""
    newest = log.newest()
    keys = sorted(k for k, at in newest.items() if k > after and log.records[at][1])
    items = [
        {
            "key": key,
            "value": base64.b64encode(log.records[newest[key]][1]).decode(),
            "offset": newest[key],
        }
        for key in keys[:PAGE_ITEMS]
    ]
    has_more = len(keys) > PAGE_ITEMS
    reply = {"items": items, "has_more": has_more, "end": len(log.records)}
    return json.dumps(reply).encode()


def configuration(version: int) -> bytes:
    value = {"version": version, "routes": [], "services": [], "limits": LIMITS}
    return json.dumps(value).encode()


def declaration(number: int, version: int) -> bytes:
    return json.dumps(
        {"model": "m", "adapter": f"a{number}", "version": version}
    ).encode()


def entry(seq: int) -> bytes:
    value = {"service": "s", "address": "10.0.0.1:1", "zone": "d0", "slots": 1}
    return json.dumps(value | {"state": "ready", "seq": seq, "born": 1}).encode()


@given(st.data())
@settings(
    derandomize=True,
    max_examples=80,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.explicit, Phase.generate),
)
def test_no_position_claims_a_record_that_was_not_applied(data: Any) -> None:
    world = World(data)
    for _ in range(data.draw(st.integers(3, 12))):
        world.act()
        world.check()


@given(st.data())
@settings(
    derandomize=True,
    max_examples=50,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.explicit, Phase.generate),
)
def test_later_reads_bring_all_records(data: Any) -> None:
    world = World(data)
    for _ in range(data.draw(st.integers(3, 10))):
        world.act()
    world.depth = MAX_DEPTH
    world.interleave = lambda: None  # type: ignore[method-assign]
    for vm in world.vms:
        for topic in Topic:
            for _ in range(3):
                vm.read(topic)
            assert vm.directory.ends[topic].epoch == world.epoch
            assert vm.directory.ends[topic].offset >= len(
                world.log(NAMES[topic]).records
            )
    world.check()
