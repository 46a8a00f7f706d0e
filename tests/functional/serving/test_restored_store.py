"""A store that comes back from an older copy, whose offsets are given out again."""

from __future__ import annotations

import time
from functools import partial

from tests.lib.platform_site import EntryVm, Site, make_config, wait_for

MAX_READS_PER_S = 8
"""Largest rate at which a VM that waits for records may read the store: four reads a
second of each of two topics."""


def has_route(vm: EntryVm, path: str) -> bool:
    status, _, _ = vm.send_request("GET", f"{path}x", "probe")
    return status == 200


def put_config(site: Site, version: int, path: str) -> None:
    site.store.put("keyed.op", "config", make_config(version, plain=path))


def wait_for_route(site: Site, path: str) -> None:
    for vm in site.vms:
        wait_for(partial(has_route, vm, path), f"{path} on {vm.name}")


def lose_two_configurations(site: Site) -> None:
    """Put two versions in force and restore a copy from before them."""
    saved = site.store.copy()
    put_config(site, 2, "/two/")
    put_config(site, 3, "/three/")
    wait_for_route(site, "/three/")
    site.store.restore(saved)


def test_configurations_written_after_a_restore_are_in_force(site: Site) -> None:
    """They had offsets below those of the lost ones and were taken for old."""
    lose_two_configurations(site)
    put_config(site, 3, "/three/")
    put_config(site, 4, "/four/")
    wait_for_route(site, "/four/")


def test_reads_stay_bounded_after_a_restore(site: Site) -> None:
    """Each read from a lost offset was repeated at once, without end."""
    lose_two_configurations(site)
    time.sleep(1.0)
    before = sum(site.store.calls[f"/v1/log-{call}"] for call in ("read", "newest"))
    time.sleep(1.0)
    reads = sum(site.store.calls[f"/v1/log-{call}"] for call in ("read", "newest"))
    assert reads - before <= MAX_READS_PER_S * len(site.vms)
