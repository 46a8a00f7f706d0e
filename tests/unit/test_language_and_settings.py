"""Command language, settings, server-sent events and the codec of peer messages."""

from __future__ import annotations

import typing
from pathlib import Path

import gooseberryrun._internal.coordination as coordination
import gooseberryrun._internal.protocol as protocol
import gooseberryrun._internal.state as state
import pytest
from click.testing import CliRunner
from gooseberryrun._internal.cli import run
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

GOOD = """
[vm]
id = "dakar-1"
domain = "dakar"
address = "127.0.0.1"
[peer]
secret = "hidden-secret"
[operator]
token = "hidden-token"
[platform]
log_url = "http://127.0.0.1:1"
store_url = "http://127.0.0.1:2"
vm_list_url = "http://127.0.0.1:3"
"""


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("show loaded", coordination.Show("loaded")),
        (
            "show loaded where in_use > 0 and runner ~ dakar sort runner desc limit 3",
            coordination.Show(
                "loaded",
                [
                    coordination.Condition("in_use", ">", "0"),
                    coordination.Condition("runner", "~", "dakar"),
                ],
                "runner",
                True,
                3,
            ),
        ),
        (
            "set rule service/orders/kits class=once expect 12",
            coordination.Change(
                [
                    state.ConfigOp(
                        "put", "rules", "service/orders/kits", {"class": "once"}
                    )
                ],
                12,
            ),
        ),
        (
            "remove adapter a@1",
            coordination.Change([state.ConfigOp("remove", "adapters", "a@1")]),
        ),
        ("stop thies-1", coordination.Stop("thies-1")),
        (
            'settle "orders:a b" as not_run',
            coordination.Settle("orders:a b", state.RunOutcome.NOT_RUN),
        ),
    ],
)
def test_sentences(text: str, expected: coordination.Command) -> None:
    assert protocol.parse_command(text).unwrap() == expected


@pytest.mark.parametrize(
    ("text", "column"),
    [("shwo loaded", 1), ("show", 5), ("show loaded where in_use", 25), ("", 1)],
)
def test_an_error_points_at_the_place(text: str, column: int) -> None:
    parsed = protocol.parse_command(text)
    assert isinstance(parsed, Err)
    assert parsed.err_value.column == column


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.text(max_size=60))
def test_any_text_gives_a_command_or_an_error(text: str) -> None:
    parsed = protocol.parse_command(text)
    if isinstance(parsed, Err):
        assert parsed.err_value.column >= 1


def test_settings_report_every_fault_with_its_path(tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(
        GOOD + "\n[http]\nport = 70000\ncolour = 1\n[lease]\nmargin_s = -1\n"
    )
    loaded = state.load_settings(path)
    assert isinstance(loaded, Err)
    errors = sorted(loaded.err_value)
    assert [error.split(":")[0] for error in errors] == [
        "http.colour",
        "http.port",
        "lease.margin_s",
    ]


def test_check_and_print_hide_secrets(tmp_path: Path) -> None:
    path = tmp_path / "good.toml"
    path.write_text(GOOD)
    result = CliRunner().invoke(run, ["--settings", str(path), "--print-settings"])
    assert result.exit_code == 0
    assert "dakar-1" in result.output
    assert "hidden" not in result.output
    path.write_text("[vm]\nid = 1")
    result = CliRunner().invoke(run, ["--settings", str(path), "--check"])
    assert result.exit_code == 78


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.integers(1, 40), max_size=30))
def test_events_survive_any_split(sizes: list[int]) -> None:
    events = b"".join(b'data: {"model": "m@1", "n": %d}\n\n' % n for n in range(8))
    body = events + b"data: [DONE]\n\n"
    checker = protocol.EventChecker("m@1")
    received, count, done = b"", 0, False
    start = 0
    for size in [*sizes, len(body)]:
        block = checker.feed(body[start : start + size]).unwrap()
        start += size
        received += block.data
        count += block.events
        done = done or block.done
    assert (received, count, done) == (body, 8, True)


def test_every_peer_message_kind_has_a_codec() -> None:
    for cls in typing.get_args(coordination.PeerMessage):
        assert protocol.decode_message(cls.__name__, b"\xc1").is_err()
    ping = protocol.encode_message(coordination.Ping())
    assert protocol.decode_message(*ping).unwrap() == coordination.Ping()


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.sampled_from(["Heartbeat", "GrantRequest", "Nothing"]), st.binary())
def test_garbage_from_a_peer_is_an_error(kind: str, body: bytes) -> None:
    assert protocol.decode_message(kind, body).is_err()
