"""Registered runners by id, service and failure domain."""

from __future__ import annotations

import dataclasses

from ._runners import Runner
from ._software import SoftwareVersions, undeclared_software
from .placement import HomeRing


class RunnerIndex:
    """Registered runners; lists of those that are not draining are cached.

    The rings of the domains of each service are updated with every change, so that a
    look-up in them costs the same for any number of runners.
    """

    def __init__(self) -> None:
        self.software = SoftwareVersions()
        self._by_id: dict[str, Runner] = {}
        self._by_service: dict[str, list[Runner]] = {}
        self._by_domain: dict[str, dict[str, list[Runner]]] = {}
        self._rings: dict[str, dict[str, HomeRing]] = {}

    def get(self, runner_id: str) -> Runner | None:
        """Return a registered runner, None if there is none of that id."""
        return self._by_id.get(runner_id)

    def put(self, runner: Runner, now: float) -> None:
        """Add a runner or replace the one with its id."""
        self.software.replace(self._by_id.get(runner.id), runner, now)
        self.update(runner)

    def update(self, runner: Runner) -> None:
        """Replace a registered runner by one of the same version."""
        self._replace_in_rings(self._by_id.get(runner.id), runner)
        self._by_id[runner.id] = runner
        self._clear_lists()

    def record_restart(self, runner_id: str, born_ms: int, now: float) -> bool:
        """Replace a registered runner by a later incarnation of it; return if it is.

        Nothing else is known of that one, so its software counts as a version of its
        own.
        """
        known = self._by_id.get(runner_id)
        if known is None or known.born_ms >= born_ms:
            return False
        software = undeclared_software(runner_id, born_ms)
        restarted = dataclasses.replace(
            known, born_ms=born_ms, order_seq=0, software_version=software
        )
        self.put(restarted, now)
        return True

    def remove(self, runner_id: str, now: float) -> None:
        """Remove a runner; one that is not registered is ignored."""
        known = self._by_id.pop(runner_id, None)
        self._replace_in_rings(known, None)
        self.software.replace(known, None, now)
        self._clear_lists()

    def __len__(self) -> int:
        """Return the number of registered runners."""
        return len(self._by_id)

    def all(self) -> list[Runner]:
        """Return every registered runner."""
        return list(self._by_id.values())

    def of_service(self, service: str) -> list[Runner]:
        """Return the runners of a service that are not draining."""
        if service not in self._by_service:
            self._by_service[service] = [
                runner
                for runner in self._by_id.values()
                if runner.service == service and not runner.draining
            ]
        return self._by_service[service]

    def by_domain(self, service: str) -> dict[str, list[Runner]]:
        """Return the runners of a service that are not draining, by failure domain."""
        if service not in self._by_domain:
            found: dict[str, list[Runner]] = {}
            for runner in self.of_service(service):
                found.setdefault(runner.domain, []).append(runner)
            self._by_domain[service] = found
        return self._by_domain[service]

    def rings(self, service: str) -> dict[str, HomeRing]:
        """Return the ring of each domain with runners that are not draining."""
        return self._rings.get(service, {})

    def _replace_in_rings(self, before: Runner | None, after: Runner | None) -> None:
        old = _ring_of(before)
        new = _ring_of(after)
        if old == new:
            return
        if before is not None and old is not None:
            rings = self._rings[before.service]
            rings[before.domain].remove(before.id)
            if not rings[before.domain]:
                del rings[before.domain]
        if after is not None and new is not None:
            rings = self._rings.setdefault(after.service, {})
            rings.setdefault(after.domain, HomeRing()).add(after.id)

    def _clear_lists(self) -> None:
        self._by_service.clear()
        self._by_domain.clear()


def _ring_of(runner: Runner | None) -> tuple[str, str] | None:
    """Return the service and domain whose ring has a runner, None without one."""
    if runner is None or runner.draining:
        return None
    return runner.service, runner.domain
