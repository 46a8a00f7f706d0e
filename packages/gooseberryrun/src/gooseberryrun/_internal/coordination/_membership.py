"""Membership: the platform's lagging VM list, heartbeats and leaving notices."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from result import Err

from gooseberryrun._internal.state import (
    Clock,
    Settings,
    Vm,
    top_node,
)

from ._events import log_event
from ._messages import LeavingNotice
from ._ports import VmList
from ._vm_index import VmIndex

LEAVING_NOTICE_S = 8.0
"""Time for which a notice that a VM is leaving is valid."""
DOMAIN_TIMEOUT_S = 5.0
"""Time without a message from a domain after which it is considered unreachable."""
ABSENT_READS_TO_REMOVE = 2
"""Consecutive reads of the list without a VM before it is removed."""


@dataclass(slots=True)
class _Contact:
    boot: str
    at: float


@dataclass(frozen=True, slots=True)
class _LeavingReport:
    boot: str
    deadline: float


@dataclass(slots=True)
class _UnresponsiveVote:
    at: float
    unresponsive: frozenset[str]


class Membership:
    """Soft state about the VMs, on which no safety property depends."""

    def __init__(self, cfg: Settings, clock: Clock, vm_list: VmList, boot: str) -> None:
        self._cfg = cfg
        self._clock = clock
        self._vm_list = vm_list
        self._boot = boot
        self.local_vm = cfg.vm.id
        self.domain = cfg.vm.domain
        self._vms: dict[str, Vm] = {}
        self._index = VmIndex(())
        self._last_list: list[Vm] | None = None
        self._absent: dict[str, int] = {}
        self._contacts: dict[str, _Contact] = {}
        self._votes: dict[str, _UnresponsiveVote] = {}
        self._leaving_reports: dict[str, _LeavingReport] = {}
        self._leaving_engines: set[str] = set()
        self._drained: set[str] = set()
        self.version = 0
        self.started_at = clock.monotonic()
        self.listed_at = float("-inf")
        self.leaving = False

    def poll(self) -> None:
        """Read the platform's list; keep the last one while it is unreachable."""
        self._expire_leaving_reports()
        fetched = self._vm_list.fetch()
        if isinstance(fetched, Err):
            return
        self.listed_at = self._clock.monotonic()
        self.update_list(fetched.ok_value)

    def update_list(self, vms: list[Vm]) -> None:
        """Apply a new list; a VM is removed only after repeated absence.

        A list that is the same object as the last one is skipped.
        """
        if vms is self._last_list and not self._absent:
            return
        self._last_list = vms
        listed = {vm.id: vm for vm in vms}
        changed = False
        for vm in vms:
            self._absent.pop(vm.id, None)
            changed = self._vms.get(vm.id) != vm or changed
            self._vms[vm.id] = vm
        for vm_id in [known for known in self._vms if known not in listed]:
            self._absent[vm_id] = self._absent.get(vm_id, 0) + 1
            if self._absent[vm_id] >= ABSENT_READS_TO_REMOVE:
                self._remove(vm_id)
                changed = True
        if changed:
            self.version += 1
            self._index = VmIndex(self._vms.values())

    def _remove(self, vm_id: str) -> None:
        log_event("vm_dropped", vm=vm_id)
        del self._vms[vm_id]
        del self._absent[vm_id]
        self._leaving_reports.pop(vm_id, None)
        self._leaving_engines.discard(vm_id)
        self._contacts.pop(vm_id, None)

    def record_leaving_notices(self, notices: list[LeavingNotice]) -> None:
        """Record notices from peers that VMs are leaving."""
        now = self._clock.monotonic()
        for notice in notices:
            if notice.vm == self.local_vm or self._is_outdated(notice):
                continue
            known = self._leaving_reports.get(notice.vm)
            deadline = now + min(notice.left_s, LEAVING_NOTICE_S)
            if known is None or known.boot != notice.boot:
                log_event("vm_leaving", vm=notice.vm, boot=notice.boot)
                self.version += 1
            elif known.deadline >= deadline:
                continue
            self._leaving_reports[notice.vm] = _LeavingReport(notice.boot, deadline)

    def _is_outdated(self, notice: LeavingNotice) -> bool:
        contact = self._contacts.get(notice.vm)
        return bool(notice.boot) and contact is not None and contact.boot != notice.boot

    def leaving_notices(self) -> list[LeavingNotice]:
        """Return notices for all VMs known or reported to be leaving."""
        now = self._clock.monotonic()
        notices = {
            vm_id: LeavingNotice(vm_id, report.boot, report.deadline - now)
            for vm_id, report in self._leaving_reports.items()
            if report.deadline > now
        }
        for vm_id in self._leaving_engines:
            notices[vm_id] = LeavingNotice(vm_id, "", LEAVING_NOTICE_S)
        for vm_id in self._index.listed_leaving:
            notices[vm_id] = LeavingNotice(vm_id, "", LEAVING_NOTICE_S)
        if self.leaving:
            notices[self.local_vm] = LeavingNotice(
                self.local_vm, self._boot, LEAVING_NOTICE_S
            )
        return list(notices.values())

    def record_engine_leaving(self, vm_id: str, leaving: bool) -> None:
        """Record whether an engine reports that it is leaving."""
        if leaving is (vm_id in self._leaving_engines):
            return
        log_event("engine_leaving", vm=vm_id, leaving=leaving)
        self.version += 1
        if leaving:
            self._leaving_engines.add(vm_id)
        else:
            self._leaving_engines.discard(vm_id)

    def _expire_leaving_reports(self) -> None:
        now = self._clock.monotonic()
        old = [
            vm for vm, report in self._leaving_reports.items() if report.deadline <= now
        ]
        for vm_id in old:
            del self._leaving_reports[vm_id]
            self.version += 1

    def set_drained(self, vm_ids: set[str]) -> None:
        """Set the VMs that operators drain."""
        if vm_ids != self._drained:
            self._drained = set(vm_ids)
            self.version += 1

    def record_contact(self, vm_id: str, boot: str, leaving: bool) -> None:
        """Record a message from a VM; a new boot ends notices about the old one."""
        self._contacts[vm_id] = _Contact(boot, self._clock.monotonic())
        report = self._leaving_reports.get(vm_id)
        if report is not None and report.boot not in ("", boot):
            del self._leaving_reports[vm_id]
            self.version += 1
        if leaving:
            self.record_leaving_notices([LeavingNotice(vm_id, boot, LEAVING_NOTICE_S)])

    def record_unresponsive_vote(self, voter: str, unresponsive: list[str]) -> None:
        """Record which VMs of the domain a voter receives no messages from."""
        self._votes[voter] = _UnresponsiveVote(
            self._clock.monotonic(), frozenset(unresponsive)
        )

    def get(self, vm_id: str) -> Vm | None:
        """Return a listed VM, or None if the list does not contain it."""
        return self._vms.get(vm_id)

    def all(self) -> list[Vm]:
        """Return every listed VM."""
        return list(self._vms.values())

    def leaving_ids(self) -> list[str]:
        """Return the ids of the VMs known or reported to be leaving, sorted."""
        candidates = {
            self.local_vm,
            *self._index.listed_leaving,
            *self._leaving_engines,
        }
        candidates |= self._drained | self._leaving_reports.keys()
        return sorted(
            vm_id
            for vm_id in candidates & self._vms.keys()
            if self._is_leaving_id(vm_id)
        )

    def is_leaving(self, vm: Vm) -> bool:
        """Return whether a VM is leaving and must get no new work."""
        return self._is_leaving_id(vm.id)

    def _is_leaving_id(self, vm_id: str) -> bool:
        if vm_id == self.local_vm and self.leaving:
            return True
        return (
            vm_id in self._index.listed_leaving
            or vm_id in self._leaving_engines
            or vm_id in self._drained
            or self._is_reported_leaving(vm_id)
        )

    def _is_reported_leaving(self, vm_id: str) -> bool:
        report = self._leaving_reports.get(vm_id)
        return report is not None and report.deadline > self._clock.monotonic()

    def entry_vms(self, domain: str | None = None) -> list[str]:
        """Return the ids of the listed entry VMs, sorted."""
        if domain is None:
            return list(self._index.entry_vms)
        return list(self._index.entry_vms_of(domain))

    def engines(self) -> list[Vm]:
        """Return the engines that may get new work."""
        leaving = set(self.leaving_ids())
        return [vm for vm in self._index.engines if vm.id not in leaving]

    def domain_engines(self) -> list[Vm]:
        """Return every listed engine of this failure domain, leaving ones too."""
        return list(self._index.engines_of(self.domain))

    def services(self, name: str) -> list[Vm]:
        """Return the servers of a plain service, those of this domain first."""
        servers = [vm for vm in self._index.services(name) if not self.is_leaving(vm)]
        return sorted(servers, key=lambda vm: (vm.domain != self.domain, vm.id))

    def has_service(self, name: str) -> bool:
        """Return whether any server of a plain service is listed."""
        return bool(self._index.services(name))

    def vms_of_reachable_domains(self) -> list[str]:
        """Return the entry VMs of the domains that sent a message recently.

        Shortly after the start every domain is considered reachable.
        """
        now = self._clock.monotonic()
        reachable = {self.domain}
        for vm_id, contact in self._contacts.items():
            vm = self._vms.get(vm_id)
            if vm is not None and now - contact.at < DOMAIN_TIMEOUT_S:
                reachable.add(vm.domain)
        if now - self.started_at < DOMAIN_TIMEOUT_S:
            return self.entry_vms()
        return [vm for vm in self.entry_vms() if self._vms[vm].domain in reachable]

    def is_responsible_for(self, key: str) -> bool:
        """Return whether this VM is the one to do work that any VM may do."""
        return self.responsible_vm(key) == self.local_vm

    def responsible_vm(self, key: str) -> str | None:
        """Return the entry VM chosen by rendezvous hashing for work that any may do."""
        leaving = set(self.leaving_ids())
        return top_node(key, set(self.entry_vms()) - leaving)

    def other_entry_vms(self) -> list[str]:
        """Return the ids of the listed entry VMs without this one, sorted."""
        return [vm for vm in self.entry_vms() if vm != self.local_vm]

    def voters(self, domain: str | None = None) -> list[str]:
        """Return the VMs of a domain that vote on leases."""
        return list(self._index.voters(domain or self.domain))

    def unresponsive(self) -> list[str]:
        """Return the entry VMs of this domain from which no message arrives."""
        now = self._clock.monotonic()
        limit_s = self._cfg.peer.dead_after_s
        return [
            vm_id
            for vm_id in self.entry_vms(self.domain)
            if vm_id != self.local_vm and now - self._last_contact_at(vm_id) > limit_s
        ]

    def _last_contact_at(self, vm_id: str) -> float:
        contact = self._contacts.get(vm_id)
        return contact.at if contact is not None else self.started_at

    def boot_of(self, vm_id: str) -> str | None:
        """Return the boot id that a VM last sent, or None if it sent none."""
        if vm_id == self.local_vm:
            return self._boot
        contact = self._contacts.get(vm_id)
        return contact.boot if contact is not None else None

    def is_dead(self, vm_id: str) -> bool:
        """Return whether a majority of the domain's voters miss messages of a VM."""
        return vm_id in self._dead_vms()

    def _dead_vms(self) -> set[str]:
        now = self._clock.monotonic()
        voters = self._index.voters(self.domain)
        counts: Counter[str] = Counter()
        for voter in voters:
            if voter == self.local_vm:
                counts.update(self.unresponsive())
                continue
            vote = self._votes.get(voter)
            if vote is not None and now - vote.at < self._cfg.peer.dead_after_s:
                counts.update(vote.unresponsive)
        return {vm_id for vm_id, count in counts.items() if count > len(voters) // 2}

    def live_domain_vms(self) -> list[str]:
        """Return the VMs of this domain that may own runners: not dead, not leaving."""
        dead = self._dead_vms()
        return [
            vm_id
            for vm_id in self._index.entry_vms_of(self.domain)
            if vm_id not in dead and not self.is_leaving(self._vms[vm_id])
        ]

    def has_boot_ended(self, vm_id: str, boot: str) -> bool:
        """Return whether a boot of a VM has ended, as far as this VM can know."""
        if vm_id == self.local_vm:
            return boot != self._boot
        if vm_id not in self._vms:
            return bool(self._vms)
        last_boot = self.boot_of(vm_id)
        if last_boot is not None and last_boot != boot:
            return True
        return self._vms[vm_id].domain == self.domain and self.is_dead(vm_id)
