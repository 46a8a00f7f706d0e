"""The source text that each mutant replaces and the test it names exist."""

from __future__ import annotations

import tomllib

import pytest

from tests.lib.mutants import PACKAGE, ROOT

TEXT = (ROOT / "tests" / "mutants.toml").read_text(encoding="utf-8")
MUTANTS = tomllib.loads(TEXT)["mutant"]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant["name"])
def test_mutant_applies(mutant: dict[str, str]) -> None:
    path = ROOT / PACKAGE / "gooseberryrun" / "_internal" / mutant["file"]
    assert mutant["old"] in path.read_text(encoding="utf-8")
    test_file, _, test_id = mutant["test"].partition("::")
    function = test_id.partition("[")[0]
    assert f"def {function}(" in (ROOT / test_file).read_text(encoding="utf-8")
