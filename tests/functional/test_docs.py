"""Sentences of the operators' page work as they are written."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from gooseberryrun._internal.protocol import parse_command

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "operators.md").read_text(encoding="utf-8")
VERBS = "set|remove|drain|undrain|stop|settle"
SENTENCES = re.findall(rf"(?m)(?:^    |  )((?:{VERBS}) \S.*?)(?=  |$)", PAGE)
SHOWS = re.findall(r"(?m)ask '?(show .*?)'?$", PAGE)


@pytest.mark.parametrize("sentence", SENTENCES + SHOWS)
def test_sentence_is_understood(sentence: str) -> None:
    assert parse_command(sentence).is_ok()


def test_the_page_has_sentences_of_every_verb() -> None:
    assert {sentence.split()[0] for sentence in SENTENCES} == set(VERBS.split("|"))


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
    nodes = re.findall(r"`(tests/[\w/]+\.py)::(\w+)", text)
    assert nodes
    for path, name in nodes:
        assert f"def {name}(" in (ROOT / path).read_text(encoding="utf-8"), name
