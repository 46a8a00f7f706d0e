"""``gooseberryctl explain``: the log lines of a request and their context."""

from __future__ import annotations

import json
from pathlib import Path

from click.testing import CliRunner, Result
from gooseberryctl._internal.cli import make_cli

FIRST = """\
time=2026-04-24T06:02:10.000Z level=INFO event=started vm=vm-a boot=b1
time=2026-04-24T06:02:11.000Z level=INFO event=record_applied topic=runners key=i-1 \
offset=4 source=store says=draining
time=2026-04-24T06:02:11.500Z level=INFO event=record_applied topic=runners key=i-9 \
offset=5 source=store says=serving
time=2026-04-24T06:02:12.000Z level=INFO event=attempt request=r1 runner=i-1 \
took_s=0.04 sends=1 outcome="sent: ConnectionResetError(104, 'Connection reset')"
time=2026-04-24T06:02:12.100Z level=INFO event=request request=r1 status=502 \
reason=server_failed
time=2026-04-24T06:02:13.000Z level=INFO event=record_applied topic=runners key=i-1 \
offset=6 source=store says=removed
not a line of ours
"""
SECOND = """\
time=2026-04-24T06:02:11.900Z level=INFO event=acquire_refused request=r1 runner=i-1 \
reason=too_late
"""


def explain(folder: Path, request_id: str) -> Result:
    (folder / "a.log").write_text(FIRST, encoding="utf-8")
    (folder / "b.log").write_text(SECOND, encoding="utf-8")
    logs = [str(folder / "a.log"), str(folder / "b.log")]
    return CliRunner().invoke(make_cli(), ["--json", "explain", request_id, *logs])


def test_story_has_the_lines_of_every_vm_and_what_was_believed(tmp_path: Path) -> None:
    result = explain(tmp_path, "r1")
    assert result.exit_code == 0
    output = json.loads(result.stdout)
    events = [(row["vm"], row["event"]) for row in output["rows"]]
    assert events == [
        ("vm-a", "started"),
        ("vm-a", "record_applied"),
        (str(tmp_path / "b.log"), "acquire_refused"),
        ("vm-a", "attempt"),
        ("vm-a", "request"),
    ]
    assert "says=draining" in output["rows"][1]["details"]
    assert output["notes"] == ["1 lines were no events"]


LIMITED = """\
time=2026-04-24T06:02:10.000Z level=INFO event=started vm=vm-a boot=b1
time=2026-04-24T06:02:11.000Z level=INFO event=runner_limit runner=i-1 limit_per_s=1.5 \
age_s=0.3 source=vm-b
time=2026-04-24T06:02:11.500Z level=INFO event=runner_pause runner=i-2 pause_s=4.0
time=2026-04-24T06:02:12.100Z level=INFO event=request request=r1 status=503 \
reason=runners_limited
"""


def test_refusal_for_what_all_runners_said_is_shown_with_their_words(
    tmp_path: Path,
) -> None:
    """Such a request was sent nowhere, so its lines name no runner."""
    log = tmp_path / "a.log"
    log.write_text(LIMITED, encoding="utf-8")
    result = CliRunner().invoke(make_cli(), ["--json", "explain", "r1", str(log)])
    events = [row["event"] for row in json.loads(result.stdout)["rows"]]
    assert events == ["started", "runner_limit", "runner_pause", "request"]


def test_unknown_request_is_said_to_be_unknown(tmp_path: Path) -> None:
    output = json.loads(explain(tmp_path, "nobody").stdout)
    assert output["rows"] == []
    assert "no line names this request" in output["notes"]


def test_other_commands_still_need_a_server() -> None:
    result = CliRunner().invoke(make_cli(), ["ask", "show", "vms"], env={})
    assert result.exit_code == 2
    assert "Missing option '--server'" in result.output
