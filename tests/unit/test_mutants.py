"""Every mutant still finds the code that it switches off, and its test."""

from __future__ import annotations

import tomllib

import pytest

from tests.lib.mutants import ROOT, SOURCE

TEXT = (ROOT / "tests" / "mutants.toml").read_text(encoding="utf-8")
MUTANTS = tomllib.loads(TEXT)["mutant"]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant["name"])
def test_mutant_applies(mutant: dict[str, str]) -> None:
    path = SOURCE / "gooseberryrun" / "_internal" / mutant["file"]
    assert mutant["old"] in path.read_text(encoding="utf-8")
    file, _, name = mutant["test"].partition("::")
    function = name.partition("[")[0]
    assert f"def {function}(" in (ROOT / file).read_text(encoding="utf-8")
