"""Decoding and encoding of the platform's headers and store records."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import pytest
from gooseberryrun._internal.coordination.serving import end_to_end
from gooseberryrun.serving import ForwardingMetadata, Position, RouteKind
from gooseberryrun_platform._entries import decode_config_record, decode_runner_record
from gooseberryrun_platform._headers import PlatformHeaders
from result import Err, Ok

ROOT = Path(__file__).parents[3]
ID = ("X-Gooseberryrun-Request-Id", "9c41")
CODEC = PlatformHeaders()


def test_request_headers_are_decoded() -> None:
    decoded = CODEC.decode_request(
        [
            ID,
            ("X-Gooseberryrun-Deadline-Ms", "2500"),
            ("X-Gooseberryrun-Model", "m0/a3"),
            ("X-Gooseberryrun-Token-Count", "1460,80"),
            ("X-Gooseberryrun-Prompt-Prefix", "5c1e:800,91bd:410"),
        ]
    )
    assert isinstance(decoded, Ok)
    metadata = decoded.ok_value
    assert (metadata.request_id, metadata.wait_s) == ("9c41", 2.5)
    assert (metadata.model, metadata.adapter) == ("m0", "a3")
    assert (metadata.prompt_tokens, metadata.output_tokens) == (1460, 80)
    assert [part.tokens for part in metadata.prompt] == [800, 410]


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [ID, ("X-Gooseberryrun-Deadline-Ms", "soon")],
        [ID, ("X-Gooseberryrun-Token-Count", "many")],
        [ID, ("X-Gooseberryrun-Prompt-Prefix", "no-count")],
    ],
)
def test_malformed_requests_are_rejected(headers: list[tuple[str, str]]) -> None:
    assert isinstance(CODEC.decode_request(headers), Err)


def test_headers_that_only_the_system_sets_are_dropped() -> None:
    given = [
        ID,
        ("X-Gooseberryrun-Hold", "h"),
        ("X-Gooseberryrun-Pin-Ms", "1"),
        ("X-Gooseberryrun-Kv-Backup", "1.2.3.4:5"),
        ("Kv-From", "1.2.3.4:5/x"),
        ("X-Gooseberryrun-Expect-Instance", "i-evil"),
        ("X-Gooseberryrun-Urgency", "0"),
        ("Connection", "close, x-private"),
        ("X-Private", "1"),
        ("X-Other", "kept"),
    ]
    own = end_to_end(given)
    sent = dict(CODEC.encode_request(own, ForwardingMetadata("i-1", 1.5)))
    assert sent == {
        "X-Gooseberryrun-Request-Id": "9c41",
        "X-Other": "kept",
        "x-gooseberryrun-expect-instance": "i-1",
        "x-gooseberryrun-deadline-ms": "1500",
    }


def test_answers_are_told_apart() -> None:
    shed = CODEC.decode_response(503, [("X-Gooseberryrun-Not-Run", "1")])
    assert shed.is_not_run
    assert not shed.is_misdirected
    other = CODEC.decode_response(421, [])
    assert other.is_not_run
    assert other.is_misdirected
    failed = CODEC.decode_response(503, [("X-Gooseberryrun-Server-Stamp", "s")])
    assert not failed.is_not_run
    packed = CODEC.decode_response(200, [("Content-Encoding", "gzip")])
    assert packed.is_encoded
    assert not packed.is_signed


CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "path_prefix": "/a/",
            "kind": "stream",
            "timeout_ms": 15000,
            "service": "s1",
            "resumable": True,
            "unknown_field": 1,
        }
    ],
    "services": [
        {
            "name": "s1",
            "max_conns": 370,
            "engine": {
                "models": [{"name": "m0", "weights_mb": 72700.0, "adapters": 3000}],
                "weights_mb": 74600.0,
                "max_adapters": 6,
                "loads_per_s": 2.1,
            },
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


def test_configuration_is_decoded() -> None:
    record = decode_config_record(Position(0, 4), "config", json.dumps(CONFIG).encode())
    configuration = record.configuration
    assert configuration is not None
    route = configuration.routes[0]
    assert (route.kind, route.timeout_s, route.resumable) == (
        RouteKind.STREAM,
        15.0,
        True,
    )
    engine = configuration.services[0].engine
    assert engine is not None
    assert (engine.max_adapters, engine.models[0].size_mb) == (6, 72700.0)


ENTRY: dict[str, Any] = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "d",
    "slots": 64,
    "state": "ready",
    "seq": 4,
    "born": 1700,
    "models": [{"name": "m0", "version": 1, "adapters": ["a3@2"]}],
}


def test_runner_entry_is_decoded() -> None:
    record = decode_runner_record(Position(0, 1), "i-1", json.dumps(ENTRY).encode())
    assert record.runner is not None
    assert (record.runner.host, record.runner.port) == ("10.0.0.9", 8080)
    assert record.runner.models[0].adapters == {"a3": 2}


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"slots": "many"},
        {"address": "nowhere"},
        {"seq": None},
        {"service": None},
    ],
)
def test_entries_of_other_writers_name_no_runner(change: dict[str, Any]) -> None:
    value = json.dumps({**ENTRY, **change}).encode()
    record = decode_runner_record(Position(0, 1), "i-1", value)
    assert record.runner is None
    assert record.unreadable


def test_bytes_that_are_no_entry_name_no_runner() -> None:
    assert decode_runner_record(Position(0, 1), "i-1", b"\xff\xfe{").unreadable
    assert not decode_runner_record(Position(0, 1), "i-1", b"").unreadable


def test_platform_names_stay_in_their_folder() -> None:
    words = [
        "x-gooseberryrun-",
        "keyed.",
        "log-join",
        "log-read",
        "log-newest",
        "GOOSEBERRYRUN_BOOT",
        "gooseberryrun_platform",
    ]
    for path in (ROOT / "packages").rglob("*.py"):
        text = path.read_text(encoding="utf-8").lower()
        for word in words:
            assert word.lower() not in text, (path, word)


def test_template_renders_every_section_of_the_settings() -> None:
    text = (ROOT / "deploy" / "settings.toml.in").read_text(encoding="utf-8")
    deploy = tomllib.loads(
        (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    )
    assert deploy["roles"]["entry"]["template"] == "deploy/settings.toml.in"
    sections = (
        "vm",
        "peer",
        "entry",
        "store",
        "membership",
        "repeats",
        "usage",
        "stop",
    )
    for section in sections:
        assert f"[{section}]" in text
