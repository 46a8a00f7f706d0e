"""Parts of prompts that crash each runner that answers a request with them."""

from __future__ import annotations

import http.client
import itertools
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.lib.platform_site import MODEL, EntryVm, Site, wait_for

DEADLY = "dead"
MOST_CRASHES = 5
"""Crashes after which the rule of the users' platform allows no more requests."""
WATCHED_S = 12.0
"""Time for which requests with the deadly part come, without a pause."""


@pytest.fixture(name="site")
def _site(tmp_path: Path) -> Iterator[Site]:
    site = Site(tmp_path, vms=2, models=4)
    names = "members=2"
    wait_for(lambda: all(names in vm.log.read_text() for vm in site.vms), names)
    for runner in site.models:
        runner.deadly_parts.add(DEADLY)
    yield site
    site.close()


def ask(vm: EntryVm, number: int, *parts: str) -> int:
    """Request a stream whose last part and body are its own; return its status.

    The status is 0 if the response was cut short.
    """
    prompt = ",".join(f"{part}:10" for part in [*parts, f"own{number}"])
    headers = {
        "X_Gooseberryrun_Model": f"{MODEL}/a{number % 4}",
        "X_Gooseberryrun_Prompt_Prefix": prompt,
    }
    body = f"prompt {number}".encode()
    try:
        return vm.send_request("POST", "/chat/1", f"r{number}", body, **headers)[0]
    except (http.client.HTTPException, OSError):
        return 0


def test_part_that_crashes_its_runners_is_refused_whatever_the_request(
    site: Site,
) -> None:
    """No two requests were alike, so each crash was counted by itself, without end."""
    numbers = itertools.count()
    sound: list[int] = []
    deadline = time.monotonic() + WATCHED_S
    while time.monotonic() < deadline:
        number = next(numbers)
        vm = site.vms[number % 2]
        ask(vm, number, "first", "second", DEADLY)
        sound.append(ask(vm, next(numbers), "first", "second", "other"))
        time.sleep(0.05)
    crashes = sum(runner.crashes for runner in site.models)
    assert crashes <= MOST_CRASHES
    late = sound[len(sound) // 2 :]
    assert late.count(200) >= 0.9 * len(late)
