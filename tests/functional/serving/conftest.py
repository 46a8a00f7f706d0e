"""Fixtures of the tests against processes of entry VMs."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.lib.platform_site import Site


@pytest.fixture(name="site")
def _site(tmp_path: Path) -> Iterator[Site]:
    """Two entry VMs that know each other, with their backend servers."""
    site = Site(tmp_path, vms=2)
    site.wait_for_members()
    yield site
    site.close()
