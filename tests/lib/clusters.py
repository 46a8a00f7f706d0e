"""Deployments of the functional tests."""

from __future__ import annotations

import itertools
import os
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

from gooseberry_fakes.cluster import Cluster
from gooseberry_fakes.topology import PAPILLON

_WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:])
_FIRST_NET = int(os.environ.get("GOOSEBERRY_TEST_NET", "60"))
_NETS = itertools.count(_FIRST_NET + 20 * _WORKER)
ADAPTERS = 40


@contextmanager
def run_cluster(
    tmp_path: Path,
    overrides: dict[str, dict[str, Any]] | None = None,
    relayed: bool = False,
    **shape: Any,
) -> Iterator[Cluster]:
    """Run a deployment and check at the end that no invariant was broken.

    Each deployment has its own loopback network. ``shape`` replaces fields of the
    ``papillon`` deployment.
    """
    shape.setdefault("store_rate", 20.0)
    deployment = replace(PAPILLON, **shape)
    policy = {"store_loads_per_s": deployment.store_rate}
    overrides = {"policy": policy, **(overrides or {})}
    cluster = Cluster(deployment, tmp_path, next(_NETS), overrides, relayed)
    with cluster:
        cluster.configure(ADAPTERS)
        cluster.wait_owned()
        yield cluster
        assert cluster.violations() == []
    assert cluster.broken_invariants() == []
