"""Commands quoted in the pages parse; paths and tests named there exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from gooseberryrun._internal.protocol import parse_command

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "operators.md").read_text(encoding="utf-8")
VERBS = "set|remove|drain|undrain|stop|settle"
COMMANDS = re.findall(rf"(?m)(?:^    |  )((?:{VERBS}) \S.*?)(?=  |$)", PAGE)
QUERIES = re.findall(r"(?m)ask '?(show .*?)'?$", PAGE)


@pytest.mark.parametrize("sentence", COMMANDS + QUERIES)
def test_sentence_is_understood(sentence: str) -> None:
    assert parse_command(sentence).is_ok()


def test_the_page_has_sentences_of_every_verb() -> None:
    assert {command.split()[0] for command in COMMANDS} == set(VERBS.split("|"))


def test_paths_named_in_the_pages_exist() -> None:
    for page in [*ROOT.glob("docs/*.md"), ROOT / "README.md"]:
        text = page.read_text(encoding="utf-8")
        for path in re.findall(r"`((?:docs|tools|deploy|tests)/[\w./-]+)`", text):
            assert (ROOT / path).exists(), f"{page.name}: {path}"
        for module in re.findall(r"`((?:state|coordination|protocol)/_\w+\.py)`", text):
            base = ROOT / "packages/gooseberryrun/src/gooseberryrun/_internal"
            assert (base / module).exists(), f"{page.name}: {module}"


def test_proofs_name_tests_that_exist() -> None:
    text = (ROOT / "docs" / "proofs.md").read_text(encoding="utf-8")
    test_ids = re.findall(r"`(tests/[\w/]+\.py)::(\w+)", text)
    assert test_ids
    for path, name in test_ids:
        assert f"def {name}(" in (ROOT / path).read_text(encoding="utf-8"), name
