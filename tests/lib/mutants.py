"""Runs each mutant of ``tests/mutants.toml`` in a scratch copy of the package."""

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
SOURCE = ROOT / "packages" / "gooseberryrun" / "src"
LIMIT_S = 240
NET = "180"
"""Loopback net of the scratch runs, apart from those of tools/test."""


def run_mutant(mutant: dict[str, str]) -> str:
    """Return ``fails`` if the test notices the mutant, else what happened."""
    with tempfile.TemporaryDirectory() as scratch:
        source = Path(scratch) / "src"
        shutil.copytree(SOURCE, source)
        path = source / "gooseberryrun" / "_internal" / mutant["file"]
        text = path.read_text(encoding="utf-8")
        if mutant["old"] not in text:
            return "NOT APPLICABLE"
        path.write_text(text.replace(mutant["old"], mutant["new"]), encoding="utf-8")
        env = {**os.environ, "PYTHONPATH": str(source), "GOOSEBERRY_TEST_NET": NET}
        command = [sys.executable, "-m", "pytest", "-q", "-x", mutant["test"]]
        command += [f"--basetemp={scratch}/run", "--tb=line"]
        try:
            done = subprocess.run(
                command, cwd=ROOT, env=env, capture_output=True, timeout=LIMIT_S
            )
        except subprocess.TimeoutExpired:
            return "fails"
        return {0: "STILL PASSES", 1: "fails"}.get(done.returncode, "DID NOT RUN")


@click.command()
@click.option("--only", default="", help="Word in the names of the mutants to run.")
def main(only: str) -> None:
    """Print a line for each mutant; exit non-zero if a test misses one."""
    text = (ROOT / "tests" / "mutants.toml").read_text(encoding="utf-8")
    missed = 0
    for mutant in tomllib.loads(text)["mutant"]:
        if only not in mutant["name"]:
            continue
        started = time.monotonic()
        verdict = run_mutant(mutant)
        missed += verdict != "fails"
        seconds = time.monotonic() - started
        click.echo(f"{verdict:15}{seconds:5.0f} s  {mutant['name']}  {mutant['test']}")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
