"""``gooseberryctl causes``: why model requests were late, refused or failed."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from click.testing import CliRunner
from gooseberryctl._internal.cli import make_cli

T = "time=2026-04-24T06:02:"
DONE = "event=request route=chat status=200 reason=relayed prompt_tokens=9000"
LIMITS = "target_s=1 max_pause_s=0.5"
LOG = f"""\
{T}10.000Z level=INFO event=started vm=vm-a boot=b1
{T}10.500Z level=INFO {DONE} request=ok {LIMITS} first_event_s=0.4 longest_pause_s=0.2
{T}10.600Z level=INFO {DONE} request=gap {LIMITS} first_event_s=0.4 longest_pause_s=0.7
{T}10.700Z level=INFO event=adapter_wait request=slot runner=i-1 took_s=1.1
{T}11.000Z level=INFO {DONE} request=slot {LIMITS} first_event_s=1.4 longest_pause_s=0.2
{T}11.100Z level=INFO event=adapter_wait request=wait runner=i-1 took_s=1.1
{T}12.500Z level=INFO {DONE} request=wait {LIMITS} first_event_s=1.4 longest_pause_s=0.2
{T}13.000Z level=INFO {DONE} request=slow {LIMITS} first_event_s=1.4 longest_pause_s=0.2
{T}13.100Z level=INFO event=request request=no route=plan status=503 reason=overload \
prompt_tokens=9
{T}13.200Z level=INFO event=request request=bad route=plan status=502 reason=cut \
prompt_tokens=9
{T}13.300Z level=INFO event=request request=gone route=plan status=0 \
reason=caller_left prompt_tokens=9
{T}13.400Z level=INFO event=request request=p route=kit status=200 reason=relayed
{T}13.500Z level=INFO {DONE} request=half {LIMITS} first_event_s=
not a line of ours
"""
OWNER = f"""\
{T}11.050Z level=INFO event=prompt_admitted request=wait runner=i-1 ready_s=1.0
"""


def causes(folder: Path, *options: str) -> dict[str, Any]:
    (folder / "a.log").write_text(LOG, encoding="utf-8")
    (folder / "b.log").write_text(OWNER, encoding="utf-8")
    logs = [str(folder / "a.log"), str(folder / "b.log")]
    result = CliRunner().invoke(make_cli(), ["--json", "causes", *options, *logs])
    assert result.exit_code == 0, result.output
    output: dict[str, Any] = json.loads(result.stdout)
    return output


def test_each_cause_is_counted_by_route(tmp_path: Path) -> None:
    """The wait for the prompt is logged by the owner, in the log of another VM."""
    output = causes(tmp_path)
    chat, plan = output["rows"]
    assert (chat["route"], chat["requests"]) == ("chat", 5)
    for cause in ("in_time", "paused", "slot", "prompt", "runner"):
        assert chat[cause] == 1, cause
    assert (plan["refused"], plan["failed"], plan["left"]) == (1, 1, 1)


def test_bad_and_cut_lines_are_counted(tmp_path: Path) -> None:
    notes = causes(tmp_path)["notes"]
    assert notes == ["1 lines were no events", "1 lines lack figures"]


def test_windows_and_vms_can_be_told_apart(tmp_path: Path) -> None:
    windows = causes(tmp_path, "--by", "window")["rows"]
    assert [(row["window"], row["requests"]) for row in windows] == [(0.0, 3), (2.0, 5)]
    (row,) = causes(tmp_path, "--by", "vm")["rows"]
    assert (row["vm"], row["requests"]) == ("vm-a", 8)
