"""Runs the commands of README and the operators' page as they are written."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from gooseberry_fakes.cluster import OPERATOR_TOKEN, Cluster
from gooseberry_fakes.topology import ENTRY_PORT

from tests.lib.clusters import run_cluster

ROOT = Path(__file__).parents[2]
ONE_DOMAIN: dict[str, Any] = {"domains": ("dakar",), "engines": (1,), "services": (1,)}
README = (ROOT / "README.md").read_text(encoding="utf-8")
PAGE = (ROOT / "docs" / "operators.md").read_text(encoding="utf-8")
SHELL_LINES = re.findall(
    r"(?m)^    ((?:gooseberryrun|gooseberryctl) .*?)\s*(?:#.*)?$", PAGE
)
TIMEOUT_S = 120


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    """Run a small deployment in a directory with the files that the page names."""
    path = tmp_path_factory.mktemp("commands")
    with run_cluster(path / "run", **ONE_DOMAIN) as running:
        (path / "vm.toml").write_text((path / "run" / "dakar-1.toml").read_text())
        (path / "declared.toml").write_text('[adapters."crane@1"]\n')
        yield running


def run_line(cluster: Cluster, line: str) -> subprocess.CompletedProcess[str]:
    scripts = str(Path(sys.executable).parent)
    environ = {
        **os.environ,
        "PATH": f"{scripts}:{os.environ['PATH']}",
        "GOOSEBERRYCTL_SERVER": f"{cluster.vms['dakar-1']['address']}:{ENTRY_PORT}",
        "GOOSEBERRYCTL_TOKEN": OPERATOR_TOKEN,
    }
    return subprocess.run(
        ["bash", "-c", line],
        cwd=cluster.run_dir.parent,
        env=environ,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


def test_the_page_has_commands() -> None:
    assert len(SHELL_LINES) >= 6


@pytest.mark.parametrize(
    "line", [line for line in SHELL_LINES if not line.endswith("vm.toml")]
)
def test_command_of_the_page_works(cluster: Cluster, line: str) -> None:
    """A command with ``--expect`` names an example revision and is rejected."""
    result = run_line(cluster, line)
    assert result.returncode == (3 if "--expect" in line else 0), result.stderr
    assert "Traceback" not in result.stderr
    assert OPERATOR_TOKEN not in result.stdout


def test_shell_completion_of_the_page_can_be_installed(cluster: Cluster) -> None:
    eval_command = re.search(r"`(eval .*?)`\.", PAGE)
    assert eval_command is not None
    result = run_line(cluster, f"{eval_command.group(1)} && complete -p gooseberryctl")
    assert result.returncode == 0, result.stderr
    assert "gooseberryctl" in result.stdout


def test_demo_of_the_readme_runs() -> None:
    command = re.search(r"(?m)^    (tools/demo \w+)", README)
    assert command is not None
    result = subprocess.run(
        command.group(1).split(),
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert result.returncode == 0, result.stdout + result.stderr


def test_test_command_of_the_readme_is_what_ci_runs() -> None:
    assert "\n    tools/test\n" in README
    ci = (ROOT / ".ci" / "run").read_text(encoding="utf-8")
    assert ci.rstrip().endswith("exec tools/test")
