"""Mutation tests: run each test of ``tests/mutants.toml`` against its mutant.

A mutant replaces one text of the package's source in a scratch copy of the project.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = Path("packages", "gooseberryrun", "src")
SOURCES = [PACKAGE, Path("packages", "gooseberryctl", "src"), Path("fakes", "src")]
COPIED = ["deploy", "docs", "fakes", "packages", "platform", "tests", "pyproject.toml"]
"""What tests read, besides installed libraries; processes start from the copy, too."""
TIMEOUT_S = 240
NET = "180"
"""Loopback net of the mutants' runs, other than the nets of tools/test."""


def copy_tree(scratch: Path) -> Path:
    """Copy what the tests need into a scratch folder; return the copy."""
    tree = scratch / "tree"
    tree.mkdir()
    for name in COPIED:
        if (ROOT / name).is_dir():
            shutil.copytree(ROOT / name, tree / name)
        else:
            shutil.copy(ROOT / name, tree / name)
    return tree


def run_mutant(mutant: dict[str, str]) -> str:
    """Return ``fails`` if the test detects the mutant, else another outcome.

    A test that exceeds the timeout has detected it too.
    """
    with tempfile.TemporaryDirectory() as scratch:
        tree = copy_tree(Path(scratch))
        path = tree / PACKAGE / "gooseberryrun" / "_internal" / mutant["file"]
        text = path.read_text(encoding="utf-8")
        if mutant["old"] not in text:
            return "NOT APPLICABLE"
        path.write_text(text.replace(mutant["old"], mutant["new"]), encoding="utf-8")
        python_path = os.pathsep.join(str(tree / source) for source in SOURCES)
        env = {**os.environ, "PYTHONPATH": python_path, "GOOSEBERRY_TEST_NET": NET}
        command = [sys.executable, "-m", "pytest", "-q", "-x", mutant["test"]]
        command += [f"--basetemp={scratch}/run", "--tb=line"]
        try:
            completed = subprocess.run(
                command, cwd=tree, env=env, capture_output=True, timeout=TIMEOUT_S
            )
        except subprocess.TimeoutExpired:
            return "fails"
        return {0: "STILL PASSES", 1: "fails"}.get(completed.returncode, "DID NOT RUN")


@click.command()
@click.option("--only", default="", help="Word in the names of the mutants to run.")
def main(only: str) -> None:
    """Print a line for each mutant; exit non-zero if one was not detected."""
    text = (ROOT / "tests" / "mutants.toml").read_text(encoding="utf-8")
    undetected = 0
    for mutant in tomllib.loads(text)["mutant"]:
        if only not in mutant["name"]:
            continue
        started = time.monotonic()
        outcome = run_mutant(mutant)
        undetected += outcome != "fails"
        seconds = time.monotonic() - started
        click.echo(f"{outcome:15}{seconds:5.0f} s  {mutant['name']}  {mutant['test']}")
    sys.exit(1 if undetected else 0)


if __name__ == "__main__":
    main()
