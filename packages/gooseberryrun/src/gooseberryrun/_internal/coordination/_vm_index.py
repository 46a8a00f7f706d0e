"""Index of the platform's VM list."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from gooseberryrun._internal.state import Vm, VmKind, VmState, rank_nodes

MAX_VOTERS = 5
"""VMs of a failure domain that vote on leases; keeps heartbeats O(1) per VM."""


class VmIndex:
    """Listed VMs by kind, domain and service; rebuilt when the list changes."""

    def __init__(self, vms: Iterable[Vm]) -> None:
        self.entry_vms: list[str] = []
        self.engines: list[Vm] = []
        self.listed_leaving: set[str] = set()
        self._entry_by_domain: dict[str, list[str]] = defaultdict(list)
        self._engines_by_domain: dict[str, list[Vm]] = defaultdict(list)
        self._services: dict[str, list[Vm]] = defaultdict(list)
        self._voters: dict[str, list[str]] = {}
        for vm in sorted(vms, key=lambda vm: vm.id):
            self._add(vm)

    def _add(self, vm: Vm) -> None:
        if vm.state is VmState.LEAVING:
            self.listed_leaving.add(vm.id)
        if vm.kind is VmKind.ENTRY:
            self.entry_vms.append(vm.id)
            self._entry_by_domain[vm.domain].append(vm.id)
        elif vm.kind is VmKind.ENGINE:
            self.engines.append(vm)
            self._engines_by_domain[vm.domain].append(vm)
        else:
            self._services[vm.service].append(vm)

    def entry_vms_of(self, domain: str) -> list[str]:
        """Return the ids of a domain's entry VMs, sorted."""
        return self._entry_by_domain.get(domain, [])

    def engines_of(self, domain: str) -> list[Vm]:
        """Return a domain's engines, sorted by id."""
        return self._engines_by_domain.get(domain, [])

    def services(self, name: str) -> list[Vm]:
        """Return the servers of a plain service, sorted by id."""
        return self._services.get(name, [])

    def voters(self, domain: str) -> list[str]:
        """Return the entry VMs of a domain that vote on leases."""
        if domain not in self._voters:
            ranking = rank_nodes(domain, self.entry_vms_of(domain))
            self._voters[domain] = ranking[:MAX_VOTERS]
        return self._voters[domain]
