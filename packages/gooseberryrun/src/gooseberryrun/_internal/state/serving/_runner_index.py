"""Registered runners by id, service and failure domain."""

from __future__ import annotations

import dataclasses

from ._runners import Runner
from ._software import SoftwareVersions, undeclared_software


class RunnerIndex:
    """Registered runners; lists of those that are not draining are cached."""

    def __init__(self) -> None:
        self.software = SoftwareVersions()
        self._by_id: dict[str, Runner] = {}
        self._by_service: dict[str, list[Runner]] = {}
        self._by_domain: dict[str, dict[str, list[Runner]]] = {}

    def get(self, runner_id: str) -> Runner | None:
        """Return a registered runner, None if there is none of that id."""
        return self._by_id.get(runner_id)

    def put(self, runner: Runner, now: float) -> None:
        """Add a runner or replace the one with its id."""
        self.software.replace(self._by_id.get(runner.id), runner, now)
        self.update(runner)

    def update(self, runner: Runner) -> None:
        """Replace a registered runner by one of the same version."""
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
        self.software.replace(self._by_id.pop(runner_id, None), None, now)
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

    def _clear_lists(self) -> None:
        self._by_service.clear()
        self._by_domain.clear()
