"""Values from outside that no reader expects: none of them stops the reading task."""

from __future__ import annotations

import json
import struct
from typing import Any

import pytest
from gooseberryrun._internal.coordination.serving import Records
from gooseberryrun._internal.protocol import decode_message
from gooseberryrun.serving import Position, Topic
from gooseberryrun_platform._entries import decode_config_record, decode_runner_record
from gooseberryrun_platform._headers import PlatformHeaders
from gooseberryrun_platform._members import to_member
from gooseberryrun_platform._origins import decode_origins
from gooseberryrun_platform._records import decode_records
from gooseberryrun_platform._suspicions import decode_suspicion
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

ENTRY: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:8080",
    "zone": "z",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "seq": 1,
    "born": 1_700_000_000_000,
    "models": [{"name": "m", "version": 1, "adapters": ["a1@2"]}],
}
DEEP = b"[" * 100_000
HUGE = 10**400
START = Position(1, 0)


def nested(data: bytes) -> bytes:
    """Return an entry with a deeply nested value."""
    text = json.dumps(ENTRY).encode()
    return text[:-1] + b', "extra": ' + data + b"}"


def entry(**fields: Any) -> bytes:
    return json.dumps(ENTRY | fields).encode()


@pytest.mark.parametrize(
    "value",
    [
        nested(DEEP),
        nested(b"[" * 100_000 + b"]" * 100_000),
        nested(b'{"a":' * 100_000),
        DEEP,
        entry(slots=HUGE),
        entry(slots=-1),
        entry(seq=HUGE),
        entry(born=HUGE),
        entry(born=-1),
        entry(address="10.0.0.1:0"),
        entry(address="10.0.0.1:70000"),
        entry(address="10.0.0.1:-1"),
        entry(address="10.0.0.1:\u00b2"),
        entry(address="10.0.0.1:" + "9" * 5000),
        entry(address=":80"),
        entry(address="nowhere.example:80"),
        entry(address="10.0.0.1"),
        entry(models=[{"name": "m", "version": HUGE, "adapters": []}]),
        entry(models=[{"name": "m", "version": 1, "adapters": ["a@" + "9" * 5000]}]),
        entry(models=[{"name": "m", "version": 1, "adapters": ["a@\u00b2"]}]),
        entry(models=[{"name": "m", "version": 1, "adapters": ["a@-3"]}]),
        b"\xff" * 100,
    ],
)
def test_odd_entry_names_no_runner(value: bytes) -> None:
    """The task that follows the list ended at it, started anew and met it again."""
    record = decode_runner_record(START, "i-1", value)
    assert record.unreadable
    assert record.runner is None


def test_entry_beside_an_odd_one_is_read() -> None:
    data = struct.pack(">QQ", 2, 0)
    for key, value in ((b"i-1", nested(DEEP)), (b"i-2", entry())):
        content = bytes([len(key)]) + key + value
        data += struct.pack(">I", len(content)) + content
    read = decode_records(Topic.RUNNERS, START, data)
    assert isinstance(read, Ok)
    records: Records = read.ok_value
    assert [record.runner is not None for record in records.records] == [False, True]
    assert records.end == Position(1, 2)


@pytest.mark.parametrize("key", ["config", "version/m.a1", "other"])
@pytest.mark.parametrize("value", [DEEP, b'{"a":' * 100_000, b"\xff", b"9" * 9000])
def test_odd_record_of_the_operator_changes_nothing(key: str, value: bytes) -> None:
    record = decode_config_record(START, key, value)
    assert record.unreadable
    assert record.configuration is None
    assert record.adapter_version is None


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("X-Gooseberryrun-Token-Count", "\u00b2,1"),
        ("X-Gooseberryrun-Token-Count", "9" * 5000 + ",1"),
        ("X-Gooseberryrun-Token-Count", "-1,1"),
        ("X-Gooseberryrun-Prompt-Prefix", "ab:\u00b2"),
        ("X-Gooseberryrun-Prompt-Prefix", "ab:" + "9" * 5000),
        ("X-Gooseberryrun-Deadline-Ms", "nan"),
        ("X-Gooseberryrun-Deadline-Ms", "\u00b2"),
    ],
)
def test_odd_numbers_of_a_caller_are_refused(name: str, value: str) -> None:
    """``isdigit`` is true of digits that ``int`` does not read."""
    decoded = PlatformHeaders().decode_request(
        [("X-Gooseberryrun-Request-Id", "r1"), (name, value)]
    )
    assert isinstance(decoded, Err)


@pytest.mark.parametrize(
    "name", ["", "vm", "vm@h:\u00b2/d#1", "vm@h:" + "9" * 5000 + "/d#1", "vm@h:0/d#1"]
)
def test_odd_member_is_left_out(name: str) -> None:
    assert to_member(name, 1) is None


def test_odd_records_of_our_own_topics_are_left_out() -> None:
    assert decode_suspicion("W" * 100_000) is None
    data = struct.pack(">QQ", 1, 0) + struct.pack(">I", len(DEEP)) + DEEP
    assert decode_origins(data) == ([], 1)


def test_odd_message_of_a_peer_is_refused() -> None:
    for kind in ("ServingGossip", "DirectoryReply", "EvidenceNotice", "nothing"):
        assert isinstance(decode_message(kind, b"\x91" * 100_000), Err)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(list(ENTRY)), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(st.dictionaries(st.sampled_from(list(ENTRY)), json_values, max_size=4))
def test_entry_is_readable_or_unreadable_whatever_it_holds(
    fields: dict[str, Any],
) -> None:
    record = decode_runner_record(START, "i-1", json.dumps(ENTRY | fields).encode())
    assert bool(record.unreadable) is (record.runner is None)
    if record.runner is not None:
        assert 0 < record.runner.port < 65536
