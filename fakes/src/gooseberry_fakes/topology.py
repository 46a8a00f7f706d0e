"""The deployments of the demo and the tests, on loopback addresses."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

ENTRY_PORT = 8080
PEER_PORT = 7000
SERVER_PORT = 9000


@dataclass(frozen=True, slots=True)
class Deployment:
    """Shape of a deployment.

    ``engines`` and ``services`` are counts by domain, ``entry_vms`` is the count
    in each. ``slots``, ``batch`` and ``token_s`` apply to every engine.
    """

    name: str
    domains: tuple[str, ...]
    engines: tuple[int, ...]
    services: tuple[int, ...]
    service: str
    entry_vms: int = 3
    slots: int = 4
    batch: int = 8
    token_s: float = 0.01
    checks_fencing: bool = True
    service_options: dict[str, bool] = field(
        default_factory=lambda: {"lookup": True, "fencing": True}
    )
    store_rate: float = 2.0
    appends_per_s: float = 300.0
    retention_s: float = 3600.0
    list_lag_s: float = 0.5
    shared_engine_process: bool = False


PAPILLON = Deployment(
    name="papillon",
    domains=("dakar", "thies", "saint-louis"),
    engines=(2, 2, 1),
    services=(1, 1, 1),
    service="orders",
)
GUILD = Deployment(
    name="guild",
    domains=("esbjerg", "ribe", "varde"),
    engines=(2, 2, 2),
    services=(1, 1, 1),
    service="ledger",
    store_rate=3.0,
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (PAPILLON, GUILD)}


def list_vms(deployment: Deployment, net: int) -> list[dict[str, Any]]:
    """Return the VM list of a deployment on the addresses 127.``net``.x.y."""
    vms: list[dict[str, Any]] = []
    for number, domain in enumerate(deployment.domains):
        prefix = f"127.{net}.{number + 1}"
        for index in range(deployment.entry_vms):
            vms.append(
                {
                    "id": f"{domain}-{index + 1}",
                    "kind": "entry",
                    "domain": domain,
                    "address": f"{prefix}.{10 + index}",
                    "port": ENTRY_PORT,
                    "peer_port": PEER_PORT,
                }
            )
        for index in range(deployment.engines[number]):
            vms.append(
                {
                    "id": f"{domain}-engine-{index + 1}",
                    "kind": "engine",
                    "domain": domain,
                    "address": f"{prefix}.{50 + index}",
                    "port": SERVER_PORT,
                    "slots": deployment.slots,
                    "batch": deployment.batch,
                    "checks_fencing": deployment.checks_fencing,
                }
            )
        for index in range(deployment.services[number]):
            vms.append(
                {
                    "id": f"{domain}-{deployment.service}-{index + 1}",
                    "kind": "service",
                    "domain": domain,
                    "address": f"{prefix}.{80 + index}",
                    "port": SERVER_PORT,
                    "service": deployment.service,
                }
            )
    return vms
