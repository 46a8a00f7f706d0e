"""Compares the transcript of an operator's session with a golden file.

Ages and network addresses are normalised. To accept an intended change, delete
``tests/golden/session.txt``, run this test twice and review the difference.
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
    """Runs commands and records the transcript."""

    def __init__(self, cluster: Cluster) -> None:
        address = cluster.vms["dakar-1"]["address"]
        self._options = ["--server", f"{address}:{ENTRY_PORT}"]
        self._options += ["--token", OPERATOR_TOKEN]
        self.lines: list[str] = []

    def run(self, *words: str) -> str:
        result = CliRunner().invoke(make_cli(), [*self._options, *words])
        displayed = [Path(word).name if "/" in word[:1] else word for word in words]
        self.lines.append(f"$ gooseberryctl {' '.join(displayed)}")
        self.lines.append(normalise(result.output).rstrip())
        self.lines.append(f"exit {result.exit_code}\n")
        return result.output


def test_operator_session(tmp_path: Path) -> None:
    declarations = tmp_path / "declared.toml"
    declarations.write_text(DECLARATIONS)
    with run_cluster(tmp_path / "run", **ONE_DOMAIN) as cluster:
        for number in range(40):
            cluster.operate(f"remove adapter a{number}@1")
        session = Session(cluster)
        session.run("ask", "show vms where seen_by = dakar-1 sort vm")
        session.run("ask", "show loaded")
        session.run("diff", str(declarations))
        session.run("apply", str(declarations))
        session.run("diff", str(declarations))
        session.run("apply", str(declarations), "--expect", "3")
        session.run("ask", "show adapters")
        session.run("ask", "show rules sort key")
        session.run("ask", "set rule model/crane class=sometimes")
        session.run("ask", "set adapter crane@3 expect 0")
        session.run("ask", "shwo loaded")
        session.run("ask", "show loaded where in_use")
        session.run("ask", "show colours")
        session.run("ask", "drain dakar-engine-1")
        wait_until(
            lambda: cluster.rows("show leaving where seen_by = dakar-1"), 10, "drain"
        )
        session.run("ask", "show leaving where seen_by = dakar-1")
        session.run("ask", "undrain dakar-engine-1")
        wait_until(lambda: not cluster.rows("show leaving"), 15, "undrain")
        session.run("ask", "show leaving")
        session.run("ask", "settle orders:nobody as ran")
        session.run("ask", "stop dakar-engine-1")
    transcript = "\n".join(session.lines)
    if not GOLDEN.exists():
        GOLDEN.write_text(transcript)
        raise AssertionError("golden file written; read it and run the test again")
    assert transcript == GOLDEN.read_text()
