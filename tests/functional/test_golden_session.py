"""A whole operator's session, compared with a golden file.

Ids, times and versions are normalised. To accept a changed session on purpose, delete
``tests/golden/session.txt``, run this test twice and read the difference.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

from click.testing import CliRunner
from gooseberry_fakes.cluster import OPERATOR_TOKEN, Cluster
from gooseberry_fakes.topology import ENTRY_PORT
from gooseberryctl._internal.cli import make_cli

from tests.lib.clusters import run_cluster
from tests.lib.traffic import wait_until

GOLDEN = Path(__file__).parents[1] / "golden" / "session.txt"
ONE_DOMAIN: dict[str, Any] = {"domains": ("dakar",), "engines": (1,), "services": (1,)}
DECLARATIONS = """
[adapters."crane@1"]
[adapters."crane@2"]
[rules."service/orders/bookings"]
class = "once"
[rules."model/crane"]
class = "patient"
deadline_s = 600
[services.orders]
lookup = true
fencing = true
"""
_PATTERNS = (
    (re.compile(r"\d+\.\d+ s old"), "<age> s old"),
    (re.compile(r"127\.\d+\."), "127.<net>."),
    (re.compile(r"(?m)^(dakar-\d +\d+ +)[\d.e-]+$"), r"\1<age>"),
)


def normalise(text: str) -> str:
    for pattern, replacement in _PATTERNS:
        text = pattern.sub(replacement, text)
    return re.sub(r"(?<=\S) +", " ", text)


class Session:
    """Types commands and keeps the transcript."""

    def __init__(self, cluster: Cluster) -> None:
        address = cluster.vms["dakar-1"]["address"]
        self._options = ["--server", f"{address}:{ENTRY_PORT}"]
        self._options += ["--token", OPERATOR_TOKEN]
        self.lines: list[str] = []

    def type(self, *words: str) -> str:
        result = CliRunner().invoke(make_cli(), [*self._options, *words])
        shown = [Path(word).name if "/" in word[:1] else word for word in words]
        self.lines.append(f"$ gooseberryctl {' '.join(shown)}")
        self.lines.append(normalise(result.output).rstrip())
        self.lines.append(f"exit {result.exit_code}\n")
        return result.output


def test_operator_session(tmp_path: Path) -> None:
    declared = tmp_path / "declared.toml"
    declared.write_text(DECLARATIONS)
    with run_cluster(tmp_path / "run", **ONE_DOMAIN) as cluster:
        for number in range(40):
            cluster.operate(f"remove adapter a{number}@1")
        session = Session(cluster)
        session.type("ask", "show vms where seen_by = dakar-1 sort vm")
        session.type("ask", "show loaded")
        session.type("diff", str(declared))
        session.type("apply", str(declared))
        session.type("diff", str(declared))
        session.type("apply", str(declared), "--expect", "3")
        session.type("ask", "show adapters")
        session.type("ask", "show rules sort key")
        session.type("ask", "set rule model/crane class=sometimes")
        session.type("ask", "set adapter crane@3 expect 0")
        session.type("ask", "shwo loaded")
        session.type("ask", "show loaded where in_use")
        session.type("ask", "show colours")
        session.type("ask", "drain dakar-engine-1")
        wait_until(
            lambda: cluster.rows("show leaving where seen_by = dakar-1"), 10, "drain"
        )
        session.type("ask", "show leaving where seen_by = dakar-1")
        session.type("ask", "undrain dakar-engine-1")
        wait_until(lambda: not cluster.rows("show leaving"), 15, "undrain")
        session.type("ask", "show leaving")
        session.type("ask", "settle orders:nobody as ran")
        session.type("ask", "stop dakar-engine-1")
    transcript = "\n".join(session.lines)
    if not GOLDEN.exists():
        GOLDEN.write_text(transcript)
        raise AssertionError("golden file written; read it and run the test again")
    assert transcript == GOLDEN.read_text()
