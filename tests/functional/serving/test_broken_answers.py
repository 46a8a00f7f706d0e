"""Responses of runners that end early, have no framing or come twice."""

from __future__ import annotations

import http.client
from collections.abc import Iterator
from pathlib import Path

import pytest
from gooseberry_fakes.platform_runner import PlatformRunner

from tests.functional.serving.test_serving import stream, whole_stream
from tests.lib.platform_site import Site


@pytest.fixture(name="site")
def _site(tmp_path: Path) -> Iterator[Site]:
    site = Site(tmp_path)
    yield site
    site.close()


def warm_up(site: Site) -> tuple[PlatformRunner, PlatformRunner]:
    """Let one runner load an adapter; return it and the other one."""
    stream(site, "/chat/1", "warm", "a1")
    holder = next(r for r in site.models if "a1" in r.adapters)
    return holder, next(r for r in site.models if r is not holder)


def test_whole_answers_without_framing_are_served(site: Site) -> None:
    holder, _ = warm_up(site)
    for runner in [holder, *site.plain]:
        runner.fault, runner.fault_count = "unframed", 1
    assert stream(site, "/chat/1", "r1", "a1") == (200, whole_stream())
    status, body, _ = site.vms[0].send_request("POST", "/order/1", "r2", b"kit")
    assert (status, body) == (200, b"body of /order/1")


def test_unframed_stream_that_ends_within_an_event_does_not_look_complete(
    site: Site,
) -> None:
    """A clean close hid that the runner had broken the stream off."""
    holder, _ = warm_up(site)
    holder.fault, holder.fault_count = "unframed_cut", 1
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        stream(site, "/chat/1", "r1", "a1")


def test_unframed_stream_that_ends_within_an_event_is_resumed(site: Site) -> None:
    holder, other = warm_up(site)
    holder.fault, holder.fault_count = "unframed_cut", 1
    assert stream(site, "/plan/1", "r1", "a1") == (200, whole_stream())
    assert other.resumed == ["4"]


@pytest.mark.parametrize(
    "fault", ["error", "error_404", "unsigned", "half_head", "full", "reset"]
)
def test_failure_of_the_next_runner_never_enters_a_stream(
    site: Site, fault: str
) -> None:
    """A stream broke off, and the runner that was to go on with it failed.

    Callers would find the text of the failure in their stream, or an end that makes it
    look complete.
    """
    holder, other = warm_up(site)
    holder.fault, holder.fault_count = "cut", 1
    other.fault, other.fault_count = fault, 9
    try:
        found = stream(site, "/plan/1", "r1", "a1")
    except http.client.IncompleteRead as exc:
        assert exc.partial == b"".join(
            f"id: {n}\ndata: {n}\n\n".encode() for n in range(1, 5)
        )
    else:
        assert found == (200, whole_stream())
